//! A complete kernel survives any message of a peer, stays within its bounds and counts what it
//! refuses.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::change::{Change, Operation};
use buckthorn::config::excerpt::Excerpt;
use buckthorn::config::intent::Phase;
use buckthorn::config::position::Position;
use buckthorn::counter::{Counter, Counters};
use buckthorn::journal::check;
use buckthorn::journal::fold::State;
use buckthorn::journal::lease::Lease;
use buckthorn::journal::record::{self, Body, Claim, DomainRegistration, Record, Step};
use buckthorn::journal::tail;
use buckthorn::kernel::{Action, Event, Identity, Kernel, MAX_MESSAGES, Registry, TICK_INTERVAL};
use buckthorn::membership::member::{BackendServer, Departure, Member, Status};
use buckthorn::membership::plugin::MAX_MEMBERS;
use buckthorn::name::Name;
use buckthorn::node;
use buckthorn::poison::blocklist::{Level, MAX_ENTRIES, Notice};
use buckthorn::poison::crash::Crash;
use buckthorn::poison::fingerprint::{Fingerprint, Suspect};
use buckthorn::rollout::evidence::{BUCKETS, MAX_COUNT, MAX_ROUTES, OUTCOMES, Report, Tally};
use buckthorn::rollout::quarantine::{Accusation, Degree, MAX_ACCUSATIONS};
use buckthorn::routing::load;
use buckthorn::routing::table::Table;
use buckthorn::rpc::message::{Digest, Envelope, Message, StatusUpdate};
use buckthorn::tenant;
use buckthorn::usage::candidate::Impediment;
use buckthorn::usage::schedule::Schedule;
use buckthorn::usage::{self, collector, meter};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

/// Time at which the tests start.
const START: Time = Time::from_secs(1_700_000_000);

/// Maximum number of actions for an event, in addition to those for each item of its messages.
const BASE_ACTIONS: usize = 64;

/// Maximum number of actions for one item of a message.
const ACTIONS_PER_ITEM: usize = 16;

/// Creates a member with a backend server.
fn member(host: &str) -> Member {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    Member {
        host: host.into(),
        incarnation: START.0,
        sequence: 0,
        region: "bc-lower".into(),
        failure_domain: "bc-lower-a".into(),
        rpc: address,
        hop: address,
        status: Status::Alive,
        departure: None,
        backend_server: Some(BackendServer {
            service: "card-desk".into(),
            version: if host == "h1" { "v1" } else { "v2" }.into(),
            slots: 10,
            connections: 130,
            is_draining: false,
        }),
    }
}

/// Creates a record at an offset.
fn record(offset: u64, payload: impl Into<Name>) -> Record {
    Record {
        offset,
        id: format!("id-{offset}").into(),
        payload: payload.into(),
    }
}

/// One node under test.
struct Fixture {
    /// Kernel of the node.
    kernel: Kernel,
    /// Counters of the node.
    counters: Arc<Counters>,
    /// Current time.
    now: Time,
    /// Load registry of the routing table.
    loads: load::Registry,
    /// Identifier of the move in progress.
    move_id: Name,
}

impl Fixture {
    /// Creates a node with two peers that holds the lease and evaluates a move.
    fn new() -> Self {
        let local = member("own");
        let identity = Identity {
            host: local.host,
            incarnation: local.incarnation,
            region: local.region,
            failure_domain: local.failure_domain,
            rpc: local.rpc,
            hop: local.hop,
            seeds: vec![local.rpc],
        };
        let counters = Arc::new(Counters::new());
        let mut registry = Registry::default();
        node::register(&mut registry);
        let schedule = Schedule {
            window: Duration::from_secs(5),
            late: Duration::from_secs(10),
        };
        let (_, changes) = meter::channel(schedule);
        usage::plugin::register(&mut registry, schedule, Duration::from_secs(3), changes);
        tenant::plugin::register(&mut registry, Duration::from_secs(5));
        let mut fixture = Self {
            kernel: Kernel::new(identity, counters.clone(), 1, START, registry),
            counters,
            now: START,
            loads: load::Registry::default(),
            move_id: "".into(),
        };
        let members = Message::Members(vec![member("h1"), member("h2")]);
        fixture.receive_reply(vec![members, Message::Records(history())]);
        fixture.move_id = fixture.state().intent.moves[0].id.clone();
        let step = Step {
            term: 1,
            id: fixture.move_id.clone(),
            phase: Phase::Shifting,
            share: 50,
            reason: "canary".into(),
            at: START,
        };
        let step = record(fixture.state().next, record::encode(Body::Step(step)));
        fixture.receive_reply(vec![Message::Records(vec![step])]);
        assert!(fixture.state().intent.moves[0].phase.is_active());
        fixture.ticks(3);
        fixture
    }

    /// Returns the folded state.
    fn state(&self) -> &State {
        self.kernel.shared().tail.state()
    }

    /// Returns the value of a counter.
    fn count(&self, counter: Counter) -> u64 {
        self.counters.get(counter)
    }

    /// Passes an event to the kernel and checks every bound; `items` is the size of its messages.
    fn handle(&mut self, event: &Event, items: usize) -> Vec<Action> {
        let actions = self.kernel.handle(self.now, event);
        let shared = self.kernel.shared();
        let bound = BASE_ACTIONS + ACTIONS_PER_ITEM * items;
        assert!(
            actions.len() <= bound,
            "{} actions for {items} items",
            actions.len()
        );
        assert!(shared.view.len() <= MAX_MEMBERS);
        assert!(shared.quarantine.entries().len() <= MAX_ACCUSATIONS);
        assert!(shared.blocklist.notices(self.now).len() <= MAX_ENTRIES);
        let (records, bytes) = shared.tail.kept();
        assert!(records <= tail::MAX_RECORDS && bytes <= tail::MAX_BYTES);
        assert_eq!(check::check(shared.tail.state()), Ok(()));
        assert_eq!(shared.view.get("own"), Some(&shared.member));
        if actions
            .iter()
            .any(|action| matches!(action, Action::RebuildTable))
        {
            let identity = &shared.identity;
            Table::build(
                shared.tail.state(),
                &shared.view,
                &shared.quarantine,
                &mut self.loads,
                &identity.failure_domain,
                &identity.region,
            );
        }
        actions
    }

    /// Passes messages to the kernel as a peer's reply.
    fn receive_reply(&mut self, messages: Vec<Message>) -> Vec<Action> {
        let items = messages.iter().map(items).sum();
        let from = "h1".into();
        self.handle(&Event::Replied { from, messages }, items)
    }

    /// Runs some ticks.
    fn ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.now = self.now + TICK_INTERVAL;
            self.handle(&Event::Tick, 0);
        }
    }

    /// Passes an envelope to the kernel as a request or a reply, then runs some ticks.
    fn exchange(&mut self, envelope: Envelope, is_reply: bool) {
        let items = envelope.messages.iter().map(items).sum();
        let Envelope { from, messages } = envelope;
        let event = if is_reply {
            Event::Replied { from, messages }
        } else {
            Event::Received { from, messages }
        };
        self.handle(&event, items);
        self.ticks(6);
    }
}

/// Creates records that serve a service, claim the lease and plan a move.
fn history() -> Vec<Record> {
    let domain = DomainRegistration {
        name: "bc-lower-a".into(),
        region: "bc-lower".into(),
    };
    let claim = Claim {
        host: "own".into(),
        replaces: 0,
        at: START,
    };
    let change = Change {
        base: 0,
        author: "operator".into(),
        at: START,
        operations: vec![
            Operation::Serve {
                service: "card-desk".into(),
                route: "".into(),
                version: "v1".into(),
            },
            Operation::Move {
                service: "card-desk".into(),
                route: "".into(),
                from: "v1".into(),
                to: "v2".into(),
                start: START,
                deadline: START + Duration::from_secs(600),
            },
        ],
    };
    let bodies = [
        Body::Domain(domain),
        Body::Claim(claim),
        Body::Change(change),
    ];
    (0..)
        .zip(bodies)
        .map(|(offset, body)| record(offset, record::encode(body)))
        .collect()
}

/// Returns the size of a message in items.
fn items(message: &Message) -> usize {
    1 + match message {
        Message::Members(list) => list.len(),
        Message::StatusUpdates(list) => list.len(),
        Message::Records(list) => list.len(),
        Message::Accusations(list) => list.len(),
        Message::Crash(crash) => crash.suspects.len(),
        Message::Blocklist(list) => list.len(),
        _ => 0,
    }
}

/// Generates names, most of them known to the node.
fn any_name() -> impl Strategy<Value = Name> {
    let known = select(vec![
        "own",
        "h1",
        "h2",
        "card-desk",
        "v1",
        "v2",
        "bc-lower-a",
        "",
        "*",
    ]);
    prop_oneof![
        8 => known.prop_map(Name::from),
        1 => any::<String>().prop_map(Name::from),
        1 => (100_usize..400).prop_map(|length| "n".repeat(length).into()),
        1 => (0_u32..5_000).prop_map(|number| format!("x{number}").into()),
    ]
}

/// Generates numbers, many of them edge cases.
fn any_number() -> impl Strategy<Value = u64> {
    let day = 24 * 3_600 * 1_000_000;
    prop_oneof![
        0_u64..12,
        START.0 - 5..START.0 + 5,
        select(vec![
            START.0 + day,
            1 << 32,
            1 << 40,
            1 << 53,
            u64::MAX - 1,
            u64::MAX
        ]),
        any::<u64>(),
    ]
}

/// Generates members, many of them forged entries of known hosts.
fn any_member() -> impl Strategy<Value = Member> {
    let status = select(vec![
        Status::Alive,
        Status::Suspect,
        Status::Dead,
        Status::Left,
    ]);
    let server = prop::option::of((any_name(), any_name(), any::<u32>(), any::<bool>()));
    let departure = prop::option::of((any_name(), any::<u64>()));
    let names = (any_name(), any_name(), any_name());
    (names, any_number(), any_number(), status, server, departure).prop_map(
        |((host, region, failure_domain), incarnation, sequence, status, server, departure)| {
            Member {
                host,
                incarnation,
                sequence,
                region,
                failure_domain,
                status,
                departure: departure.map(|(instance, started)| Departure { instance, started }),
                backend_server: server.map(|(service, version, slots, is_draining)| {
                    BackendServer {
                        service,
                        version,
                        slots,
                        connections: slots,
                        is_draining,
                    }
                }),
                ..member("")
            }
        },
    )
}

/// Generates payloads of records, most of which can be decoded.
fn any_payload() -> impl Strategy<Value = Name> {
    let step =
        (any_name(), any_number(), any::<u16>(), any_number()).prop_map(|(id, term, share, at)| {
            Body::Step(Step {
                term,
                id,
                phase: Phase::Watching,
                share,
                reason: "lie".into(),
                at: Time(at),
            })
        });
    let claim = (any_name(), any_number(), any_number()).prop_map(|(host, replaces, at)| {
        Body::Claim(Claim {
            host,
            replaces,
            at: Time(at),
        })
    });
    let names = (any_name(), any_name(), any_name(), any_name());
    let change = (names, any_number(), any_number(), any_number(), 0_u64..6).prop_map(
        |((service, route, from, to), start, deadline, at, base)| {
            let shift = Operation::Move {
                service,
                route,
                from,
                to,
                start: Time(start),
                deadline: Time(deadline),
            };
            Body::Change(Change {
                base,
                author: "liar".into(),
                at: Time(at),
                operations: vec![shift],
            })
        },
    );
    let domain = (any_name(), any_name())
        .prop_map(|(name, region)| Body::Domain(DomainRegistration { name, region }));
    let body = prop_oneof![step, claim, change, domain];
    prop_oneof![
        4 => body.prop_map(|body| record::encode(body).into()),
        1 => any_number().prop_map(|schema| format!("{{\"schema\":{schema},\"body\":1}}").into()),
        1 => any::<String>().prop_map(Name::from),
    ]
}

/// Generates states, most of them inconsistent.
fn any_state() -> impl Strategy<Value = State> {
    let numbers = prop::array::uniform4(any_number());
    (numbers, prop::option::of(any_name()), any::<bool>()).prop_map(
        |([next, version, intent_version, term], holder, is_folded)| {
            let mut state = State::new();
            if is_folded {
                history().iter().for_each(|record| {
                    state.apply(record);
                });
            }
            State {
                next,
                version,
                intent_version,
                lease: Lease { term, holder },
                ..state
            }
        },
    )
}

/// Generates evidence of owners, most of it about the move in progress and much of it with
/// extreme counts.
fn any_report() -> impl Strategy<Value = Report> {
    let counts = prop::array::uniform6(any_number());
    let tally = (any_name(), counts, any_number()).prop_map(
        |(route, outcomes, count): (Name, [u64; OUTCOMES], u64)| Tally {
            route,
            outcomes,
            buckets: vec![count; BUCKETS],
        },
    );
    let owner = prop_oneof![
        4 => select(vec![("h1", "v1"), ("h2", "v2"), ("own", "v2")])
            .prop_map(|(host, version)| (host.into(), "card-desk".into(), version.into())),
        1 => (any_name(), any_name(), any_name()),
    ];
    let incarnation = prop_oneof![4 => Just(START.0), 1 => any_number()];
    let routes = prop::collection::vec(tally, 0..4);
    (owner, incarnation, any::<bool>(), routes, any::<bool>()).prop_map(
        |((host, service, version), incarnation, is_partial, mut routes, is_sorted)| {
            if is_sorted {
                routes.sort_by(|a, b| a.route.cmp(&b.route));
            }
            Report {
                host,
                incarnation,
                service,
                version,
                is_partial,
                routes,
            }
        },
    )
}

/// Counts of one lifetime of a node.
fn any_usage() -> impl Strategy<Value = collector::Report> {
    let parts = (any_number(), any_number(), any_name(), any_number());
    parts.prop_map(|(incarnation, at, tenant, number)| collector::Report {
        incarnation,
        at: Time(at),
        windows: vec![(number, vec![(tenant, number)]); 2],
    })
}

/// Generates messages of every kind.
fn any_message() -> impl Strategy<Value = Message> {
    let digest = || {
        (prop::array::uniform3(any_number()), any::<bool>()).prop_map(
            |([next, view, quarantine], is_synced)| Digest {
                next: Position::from(next),
                view,
                quarantine,
                blocklist: view,
                is_synced,
            },
        )
    };
    let update = (any_member(), any::<bool>()).prop_map(|(forged, is_known)| StatusUpdate {
        attributes_hash: if is_known {
            member("h1").attributes_hash()
        } else {
            7
        },
        ..forged.status_update()
    });
    let records = (0_u64..9, any_number(), any_payload()).prop_map(|(low, high, payload)| {
        let offset = if high % 3 == 0 { high } else { low };
        record(offset, payload)
    });
    let accusation = (any_name(), any_name(), any::<bool>(), any_number()).prop_map(
        |(id, host, is_suspect, at)| Accusation {
            id,
            host,
            degree: if is_suspect {
                Degree::Suspect
            } else {
                Degree::Fault
            },
            reason: "lie".into(),
            at: Time(at),
            seen: Time(at),
        },
    );
    let list = || 0..6;
    prop_oneof![
        1 => digest().prop_map(Message::Ping),
        1 => digest().prop_map(Message::Ack),
        1 => any_name().prop_map(|host| Message::PingRequest { host }),
        1 => (any_name(), any::<bool>())
            .prop_map(|(host, is_alive)| Message::PingResult { host, is_alive }),
        1 => prop::collection::vec(any_member(), list()).prop_map(Message::Members),
        1 => prop::collection::vec(update, list()).prop_map(Message::StatusUpdates),
        1 => prop::collection::vec(any_number(), 60..68).prop_map(Message::Buckets),
        1 => prop::collection::vec(any::<u16>(), 0..200).prop_map(Message::WantBuckets),
        1 => prop::collection::vec(any_name(), 0..200).prop_map(Message::WantMembers),
        1 => any_member().prop_map(Message::Join),
        1 => prop::collection::vec(records, list()).prop_map(Message::Records),
        1 => any_number().prop_map(|from| Message::Pull { from }),
        1 => any_state().prop_map(|state| Message::Snapshot(Arc::new(state))),
        1 => Just(Message::Busy),
        1 => prop::collection::vec(accusation, list()).prop_map(Message::Accusations),
        4 => any_report().prop_map(Message::Evidence),
        1 => any_number().prop_map(|version| Message::Applied { version }),
        1 => (any_number(), any_number()).prop_map(|(asked_at, next)| {
            Message::WantConfirmation { asked_at: Time(asked_at), next: next.into() }
        }),
        1 => (any_number(), any_number(), any_number()).prop_map(|(asked_at, next, age)| {
            let (asked_at, age) = (Time(asked_at), Duration::from_micros(age));
            Message::Confirmation { asked_at, next: next.into(), age }
        }),
        1 => any_usage().prop_map(Message::Usage),
        1 => (any_name(), any_usage()).prop_map(|entry| Message::PastUsage(vec![entry; 2])),
        1 => select(vec![Impediment::Gone, Impediment::Detached]).prop_map(Message::UsageImpeded),
        2 => (any::<u64>(), prop::collection::vec((0_u64..9, any::<u64>()), 0..80)).prop_map(
            |(id, suspects)| {
                let suspects = suspects.into_iter().map(|(fingerprint, call)| Suspect {
                    fingerprint: Fingerprint(fingerprint),
                    call,
                });
                Message::Crash(Crash { id, lost: 1, suspects: suspects.collect() })
            },
        ),
        2 => prop::collection::vec((any::<u64>(), any::<bool>(), any_number()), 0..300).prop_map(
            |notices| {
                let notices = notices.into_iter().map(|(fingerprint, is_blocked, remaining_ms)| {
                    let level = if is_blocked { Level::Blocked } else { Level::NoRetry };
                    Notice { fingerprint: Fingerprint(fingerprint), level, remaining_ms }
                });
                Message::Blocklist(notices.collect())
            },
        ),
        1 => any_number().prop_map(|next| Message::OrdersRead { next: next.into() }),
        1 => (any_number(), any_number(), any::<u64>()).prop_map(|(from, policy, decisions)| {
            Message::WantOrders { from: from.into(), policy, decisions }
        }),
        1 => (any::<bool>(), any_number(), "[A-Za-z0-9+/=]{0,40}").prop_map(
            |(is_reader, next, packed)| Message::Orders {
                is_reader,
                excerpt: Some(Box::new(Excerpt {
                    next: next.into(),
                    policy: Some((next.into(), serde_json::from_value(packed.into()).unwrap())),
                    rest: Vec::new(),
                })),
                decisions: Vec::new(),
            },
        ),
    ]
}

/// Generates envelopes.
fn any_envelope() -> impl Strategy<Value = Envelope> {
    (any_name(), prop::collection::vec(any_message(), 0..8))
        .prop_map(|(from, messages)| Envelope { from, messages })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(43),
        ..ProptestConfig::default()
    })]

    /// The node handles forged envelopes and stays within its bounds.
    #[test]
    fn any_envelope_leaves_the_node_within_its_bounds(
        exchanges in prop::collection::vec((any_envelope(), any::<bool>()), 1..6),
        pause in 0_u64..4_000,
    ) {
        let mut fixture = Fixture::new();
        for (envelope, is_reply) in exchanges {
            let text = serde_json::to_vec(&envelope).unwrap();
            // An envelope that cannot be decoded is refused before it reaches the kernel, but the
            // kernel must withstand it all the same.
            let decoded = serde_json::from_slice(&text);
            fixture.exchange(decoded.unwrap_or(envelope), is_reply);
        }
        fixture.now = fixture.now + Duration::from_secs(pause);
        fixture.ticks(20);
    }

    /// Bytes corrupted in transit give an error or an envelope that the node handles.
    #[test]
    fn any_bytes_are_an_envelope_or_an_error(
        envelope in any_envelope(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        noise in prop::collection::vec(any::<u8>(), 0..100),
    ) {
        prop_assert!(serde_json::from_slice::<Envelope>(&noise).is_err());
        let mut bytes = serde_json::to_vec(&envelope).unwrap();
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        if let Ok(envelope) = serde_json::from_slice(&bytes) {
            Fixture::new().exchange(envelope, false);
        }
    }
}

/// Creates evidence of an owner of the new version.
fn report(routes: Vec<Tally>) -> Report {
    Report {
        host: "h2".into(),
        incarnation: START.0,
        service: "card-desk".into(),
        version: "v2".into(),
        is_partial: false,
        routes,
    }
}

/// Creates a tally of a route with the same value in each count.
fn tally(route: &str, count: u64) -> Tally {
    Tally {
        route: route.into(),
        outcomes: [count; OUTCOMES],
        buckets: vec![count; BUCKETS],
    }
}

#[test]
fn an_envelope_with_too_many_messages_is_refused_whole() {
    let mut fixture = Fixture::new();
    let pull = Message::Pull { from: 0 };
    let actions = fixture.receive_reply(vec![pull; MAX_MESSAGES + 1]);
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(fixture.count(Counter::MessagesRefused), 1);
}

#[test]
fn only_one_pull_per_envelope_gets_a_reply() {
    let mut fixture = Fixture::new();
    let actions = fixture.receive_reply(vec![Message::Pull { from: 0 }; 5]);
    let replies = actions
        .iter()
        .filter(|action| matches!(action, Action::Reply(_)));
    assert_eq!(replies.count(), 1);
    assert_eq!(fixture.count(Counter::MessagesRefused), 4);
}

#[test]
fn invalid_evidence_is_refused() {
    let mut fixture = Fixture::new();
    let many = (0..=MAX_ROUTES + 1).map(|i| tally(&format!("/{i:04}"), 1));
    let short = Tally {
        buckets: vec![1],
        ..tally("/", 1)
    };
    let forged = [
        report(vec![tally("/", u64::MAX)]),
        report(vec![tally("/", MAX_COUNT + 1)]),
        report(vec![tally("/b", 1), tally("/a", 1)]),
        report(many.collect()),
        report(vec![short]),
        Report {
            host: "h".repeat(200).into(),
            ..report(Vec::new())
        },
    ];
    for (refused, forged) in (1..).zip(forged) {
        fixture.receive_reply(vec![Message::Evidence(forged)]);
        assert_eq!(fixture.count(Counter::MessagesRefused), refused);
    }
}

#[test]
fn repeated_maximum_counts_do_not_overflow() {
    let mut fixture = Fixture::new();
    for round in 0..60 {
        let count = if round % 2 == 0 { 0 } else { MAX_COUNT };
        for (host, version) in [("h1", "v1"), ("h2", "v2")] {
            let forged = Report {
                host: host.into(),
                version: version.into(),
                ..report(vec![tally("/", count), tally("/a", count)])
            };
            fixture.receive_reply(vec![Message::Evidence(forged)]);
        }
        fixture.ticks(3);
    }
    assert_eq!(fixture.count(Counter::MessagesRefused), 0);
    let mut sum = tally("/", MAX_COUNT);
    sum.add(&tally("/", u64::MAX));
    assert_eq!(sum, tally("/", MAX_COUNT));
}

#[test]
fn invalid_accusations_are_refused() {
    let accuse = |id: &str, host: &str, at: Time| Accusation {
        id: id.into(),
        host: host.into(),
        degree: Degree::Fault,
        reason: "lie".into(),
        at,
        seen: START,
    };
    let mut fixture = Fixture::new();
    let forged = vec![
        accuse("m", "h1", Time(u64::MAX)),
        accuse("", "h1", START),
        accuse("m", "", START),
        accuse(&"m".repeat(300), "h1", START),
        accuse("m", &"h".repeat(200), START),
    ];
    fixture.receive_reply(vec![Message::Accusations(forged)]);
    assert!(fixture.kernel.shared().quarantine.entries().is_empty());
    assert_eq!(fixture.count(Counter::MessagesRefused), 5);
    let many = (0..=MAX_ACCUSATIONS).map(|i| accuse(&format!("m{i}"), "h1", START));
    fixture.receive_reply(vec![Message::Accusations(many.collect())]);
    assert_eq!(
        fixture.kernel.shared().quarantine.entries().len(),
        MAX_ACCUSATIONS
    );
    assert_eq!(fixture.count(Counter::MessagesRefused), 6);
}

#[test]
fn a_member_with_more_slots_than_can_be_announced_is_refused() {
    let mut fixture = Fixture::new();
    let forged = ["h3", "h4"].map(|host| {
        let mut forged = member(host);
        forged.backend_server.as_mut().unwrap().slots = u32::MAX;
        forged
    });
    fixture.receive_reply(vec![Message::Members(forged.to_vec())]);
    fixture.ticks(3);
    assert!(fixture.kernel.shared().view.get("h3").is_none());
    assert_eq!(fixture.count(Counter::MessagesRefused), 2);
}

#[test]
fn records_kept_for_peers_are_bounded_in_bytes() {
    let mut fixture = Fixture::new();
    let payload: Name = "x".repeat(200_000).into();
    for _ in 0..60 {
        let next = fixture.state().next;
        fixture.receive_reply(vec![Message::Records(vec![record(next, payload.clone())])]);
    }
    let (records, bytes) = fixture.kernel.shared().tail.kept();
    assert!(records < 60 && bytes <= tail::MAX_BYTES);
    assert_eq!(fixture.count(Counter::RecordsRefused), 60);
}
