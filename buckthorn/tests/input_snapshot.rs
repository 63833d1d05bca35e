//! A state from a peer or a checkpoint that no fold can produce is refused as a whole.

#[path = "sheet_state/mod.rs"]
mod fixture;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use buckthorn::clock::Time;
use buckthorn::config::change::{Change, Operation};
use buckthorn::config::intent::{FailureDomain, Move, Phase, Route};
use buckthorn::counter::{Counter, Counters};
use buckthorn::journal::check::{self, MAX_OFFSET};
use buckthorn::journal::checkpoint;
use buckthorn::journal::fold::{MAX_HISTORY, MAX_RECENT_IDS, MAX_TEXT_CHARS, Outcome, State};
use buckthorn::journal::record::{self, Body, CHECKPOINT_STREAM, Claim, Record, Step};
use buckthorn::journal::tail::{InstallOutcome, Tail};
use buckthorn::kernel::{Action, Event, Identity, Kernel, Registry};
use buckthorn::log::Batch;
use buckthorn::name::Name;
use buckthorn::node;
use buckthorn::rpc::message::Message;
use fixture::StateFixture;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Present time of the tests.
const NOW: Time = Time::from_secs(1_700_000_000);

/// State with two services and three moves: an active, a completed and a waiting one.
fn state() -> State {
    let mut fixture = StateFixture::new(&["bc-lower-a", "bc-lower-b"]);
    let serve = |service: &str, route: &str| Operation::Serve {
        service: service.into(),
        route: route.into(),
        version: "v1".into(),
    };
    let move_of = |service: &str, from: &str, to: &str, start: u64| Operation::Move {
        service: service.into(),
        route: "".into(),
        from: from.into(),
        to: to.into(),
        start: Time::from_secs(start),
        deadline: Time::from_secs(start + 300),
    };
    let operations = vec![
        serve("card-desk", ""),
        serve("card-desk", "/cards"),
        serve("ledger", ""),
        move_of("card-desk", "v1", "v2", 1_000),
        move_of("card-desk", "v2", "v3", 2_000),
        move_of("ledger", "v1", "v2", 1_000),
    ];
    let change = Change {
        base: 0,
        author: "operator".into(),
        at: NOW,
        operations,
    };
    assert_eq!(fixture.change(change), Outcome::Applied);
    // The moves are sorted by identifier: those of card-desk come first.
    fixture.advance_a_move(2, 3);
    fixture.advance_a_move(0, 1);
    fixture.state
}

/// Name of a way to corrupt a state, and the function that does it.
type Fault = (&'static str, fn(&mut State));

/// Active move of a state.
fn active(state: &mut State) -> &mut Move {
    let moves = &mut state.intent.moves;
    moves.iter_mut().find(|m| m.phase.is_active()).unwrap()
}

/// Corruptions of a state, none of which a fold can produce.
const FAULTS: &[Fault] = &[
    ("offset beyond all", |s| s.next = u64::MAX),
    ("version beyond offset", |s| s.version = s.next + 1),
    ("intent version beyond version", |s| {
        s.intent_version = s.version + 1
    }),
    ("term beyond offset", |s| s.lease.term = u64::MAX),
    ("term without holder", |s| s.lease.holder = None),
    ("holder without name", |s| s.lease.holder = Some("".into())),
    ("long identifier", |s| s.recent.push("i".repeat(200).into())),
    ("many identifiers", |s| {
        s.recent = vec!["i".into(); MAX_RECENT_IDS + 1]
    }),
    ("long history", |s| {
        let entry = s.history[0].clone();
        s.next = 1_000;
        s.history = (0..=MAX_HISTORY as u64)
            .map(|offset| buckthorn::journal::fold::Entry {
                offset,
                ..entry.clone()
            })
            .collect();
    }),
    ("history ahead", |s| s.history[0].offset = s.next),
    ("history out of order", |s| s.history.swap(0, 1)),
    ("long line", |s| {
        s.history[0].text = "x".repeat(MAX_TEXT_CHARS + 1)
    }),
    ("services out of order", |s| s.intent.services.swap(0, 1)),
    ("service twice", |s| {
        let service = s.intent.services[0].clone();
        s.intent.services.insert(0, service);
    }),
    ("service in upper case", |s| {
        s.intent.services[0].name = "Card".into()
    }),
    ("routes out of order", |s| {
        s.intent.services[0].routes.swap(0, 1)
    }),
    ("route without slash", |s| {
        let route = Route {
            prefix: "cards".into(),
            version: "v1".into(),
        };
        s.intent.services[0].routes.push(route);
    }),
    ("no version", |s| {
        s.intent.services[1].routes[0].version = "".into()
    }),
    ("domains out of order", |s| {
        s.intent.failure_domains.swap(0, 1)
    }),
    ("many domains", |s| {
        let domain = |i| FailureDomain {
            name: format!("d{i:03}").into(),
            region: "r".into(),
            is_out: false,
        };
        s.intent.failure_domains = (0..=256).map(domain).collect();
    }),
    ("region without name", |s| {
        s.intent.failure_domains[0].region = "".into()
    }),
    ("moves out of order", |s| s.intent.moves.swap(0, 1)),
    ("identifier of another move", |s| {
        s.intent.moves[0].id = "a".into()
    }),
    ("share over all", |s| active(s).share = 1_001),
    ("share of a waiting move", |s| {
        active(s).phase = Phase::Waiting
    }),
    ("watching at less", |s| active(s).phase = Phase::Watching),
    ("old version does not serve", |s| {
        s.intent.services[0].routes[0].version = "v9".into()
    }),
    ("route of a move not served", |s| {
        s.intent.services.remove(1);
    }),
    ("long reason", |s| {
        active(s).reason = "x".repeat(MAX_TEXT_CHARS + 1)
    }),
    ("intent without version", |s| {
        (s.version, s.intent_version) = (0, 0)
    }),
];

/// Kernel with every plug-in and its counters.
fn kernel() -> (Kernel, Arc<Counters>) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let identity = Identity {
        host: "own".into(),
        incarnation: NOW.0,
        region: "bc-lower".into(),
        failure_domain: "bc-lower-a".into(),
        rpc: address,
        hop: address,
        seeds: Vec::new(),
    };
    let counters = Arc::new(Counters::new());
    let mut registry = Registry::default();
    node::register(&mut registry);
    (
        Kernel::new(identity, counters.clone(), 1, NOW, registry),
        counters,
    )
}

/// Record of the checkpoint stream.
fn record(offset: u64, payload: String) -> Record {
    Record {
        offset,
        id: format!("checkpoint-{offset}").into(),
        payload: payload.into(),
    }
}

#[test]
fn a_state_that_no_fold_produces_is_refused_and_counted() {
    for (what, corrupt) in FAULTS {
        let mut corrupted = state();
        corrupt(&mut corrupted);
        assert_ne!(corrupted, state(), "{what}");
        let (mut kernel, counters) = kernel();
        let before = kernel.shared().tail.state().clone();
        let event = Event::Replied {
            from: "peer".into(),
            messages: vec![Message::Snapshot(Arc::new(corrupted))],
        };
        let actions = kernel.handle(NOW, &event);
        assert_eq!(*kernel.shared().tail.state(), before, "{what}");
        assert_eq!(counters.get(Counter::SnapshotsRefused), 1, "{what}");
        assert!(!kernel.shared().is_synced, "{what}");
        let is_logged = |action: &Action| matches!(action, Action::Log(_));
        assert!(actions.iter().any(is_logged), "{what}");
    }
}

#[test]
fn a_state_that_a_fold_produces_is_installed() {
    let (mut kernel, counters) = kernel();
    let messages = vec![Message::Snapshot(Arc::new(state()))];
    let from: Name = "peer".into();
    kernel.handle(NOW, &Event::Received { from, messages });
    assert_eq!(**kernel.shared().tail.state(), state());
    assert_eq!(counters.get(Counter::SnapshotsInstalled), 1);
    assert_eq!(counters.get(Counter::SnapshotsRefused), 0);
}

#[test]
fn a_checkpoint_that_no_fold_produces_is_skipped_and_counted() {
    let good = record(0, checkpoint::encode(&state()));
    for (what, corrupt) in FAULTS {
        let mut corrupted = state();
        corrupt(&mut corrupted);
        let bad = record(1, checkpoint::encode(&corrupted));
        assert_eq!(
            checkpoint::newest_valid_state(&[good.clone(), bad.clone()]),
            Some(state()),
            "{what}"
        );
        let (mut kernel, counters) = kernel();
        let batch = Batch {
            earliest: 1,
            next: 2,
            records: vec![bad],
        };
        let event = Event::LogRead {
            stream: CHECKPOINT_STREAM,
            batch,
        };
        kernel.handle(NOW, &event);
        assert_eq!(kernel.shared().tail.state().next, 0, "{what}");
        assert_eq!(counters.get(Counter::SnapshotsRefused), 1, "{what}");
    }
}

/// Body of any kind, most of them valid for some state.
fn any_body() -> impl Strategy<Value = Body> {
    let service = prop::sample::select(vec!["card-desk", "ledger", "Bad Name"]);
    let route = prop::sample::select(vec!["", "/cards", "cards"]);
    let version = || prop::sample::select(vec!["v1", "v2", "v3", ""]);
    let time = || prop_oneof![0_u64..2_000_000_000, any::<u64>()].prop_map(Time);
    let operation = (0..5, service, route, version(), version(), time(), time()).prop_map(
        |(kind, service, route, from, to, start, deadline)| match kind {
            0 => Operation::Serve {
                service: service.into(),
                route: route.into(),
                version: from.into(),
            },
            1 => Operation::Out {
                failure_domain: "bc-lower-a".into(),
            },
            2 => Operation::Cancel { id: "none".into() },
            _ => Operation::Move {
                service: service.into(),
                route: route.into(),
                from: from.into(),
                to: to.into(),
                start: start.min(deadline),
                deadline: start.max(deadline),
            },
        },
    );
    let change = (prop::collection::vec(operation, 1..3), time()).prop_map(|(operations, at)| {
        Body::Change(Change {
            base: 0,
            author: "a".repeat(at.0 as usize % 300),
            at,
            operations,
        })
    });
    let phase = prop::sample::select(vec![
        Phase::Shifting,
        Phase::Holding,
        Phase::Watching,
        Phase::Done,
        Phase::RolledBack,
        Phase::Cancelled,
    ]);
    let share = prop_oneof![Just(0), Just(1_000), 0_u16..1_100];
    let step = (any::<u8>(), phase, share, time()).prop_map(|(which, phase, share, at)| {
        Body::Step(Step {
            term: 1,
            id: format!("{which}").into(),
            phase,
            share,
            reason: "r".repeat(share.into()),
            at,
        })
    });
    let claim = (0_u64..3).prop_map(|replaces| {
        Body::Claim(Claim {
            host: "own".into(),
            replaces,
            at: NOW,
        })
    });
    prop_oneof![4 => change, 6 => step, 1 => claim]
}

/// Fits a body to the state, so that most are accepted.
fn fit(body: Body, state: &State) -> Body {
    match body {
        Body::Change(change) => Body::Change(Change {
            base: state.intent_version,
            ..change
        }),
        Body::Step(step) => {
            let moves = &state.intent.moves;
            let which = step.id.parse::<usize>().unwrap_or(0) % moves.len().max(1);
            let id = moves.get(which).map_or(step.id, |m| m.id.clone());
            Body::Step(Step {
                term: state.lease.term,
                id,
                ..step
            })
        }
        other => other,
    }
}

/// Number that a forged state may hold.
fn any_number() -> impl Strategy<Value = u64> {
    prop_oneof![0_u64..12, Just(MAX_OFFSET), Just(u64::MAX), any::<u64>()]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    /// Every state that a fold produces passes the check.
    #[test]
    fn every_fold_passes_the_check(bodies in prop::collection::vec(any_body(), 1..40)) {
        let mut state = State::new();
        for body in bodies {
            let payload = record::encode(fit(body, &state));
            state.apply(&record(state.next, payload));
            prop_assert_eq!(check::check(&state), Ok(()));
        }
    }

    /// Records applied to any state that the check admits break no invariant.
    #[test]
    fn records_apply_to_every_state_that_is_installed(
        numbers in prop::array::uniform4(any_number()),
        fault in prop::option::of(0..FAULTS.len()),
        bodies in prop::collection::vec(any_body(), 1..8),
    ) {
        let mut forged = state();
        if let Some(fault) = fault {
            FAULTS[fault].1(&mut forged);
        }
        [forged.next, forged.version, forged.intent_version, forged.lease.term] = numbers;
        let mut tail = Tail::new();
        let is_valid = check::check(&forged).is_ok() && forged.next > 0;
        let result = tail.install(forged);
        prop_assert_eq!(result == InstallOutcome::Done, is_valid);
        for body in bodies {
            let state = tail.state();
            let payload = record::encode(fit(body, state));
            let next = state.next;
            tail.push(&record(next, payload));
            prop_assert_eq!(tail.state().next, next + 1);
        }
    }
}
