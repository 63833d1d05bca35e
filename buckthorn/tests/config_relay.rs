//! Distribution of orders through the readers of a failure domain, in virtual time.

mod kernel_support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::excerpt::{CompressedPolicy, Excerpt};
use buckthorn::config::intake;
use buckthorn::config::order::{Decision, Entry, Order, OrderBatch, Orders, Phase};
use buckthorn::config::policy::{Kind, Policy, Route, Service, SplitPart};
use buckthorn::config::position::Position;
use buckthorn::kernel::{Action, Event, Kernel, OrderPolling, TICK_INTERVAL};
use buckthorn::membership::member::Member;
use buckthorn::name::Name;
use buckthorn::rollout::cutover;
use buckthorn::rollout::exposure::Bound;
use buckthorn::rpc::message::{Digest, Message};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: Time = Time::from_secs(1_000);
/// Time within which an order has to be in force.
const BOUND: Duration = Duration::from_secs(2);
/// Time after which an exchange with a host that is gone fails.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

struct Node {
    kernel: Kernel,
    /// Offset from which it reads the log; `None` while it follows readers.
    reads: Option<u64>,
    /// Era of the log in which it last read.
    era: u16,
    is_dead: bool,
    /// Whether its reads hang: the log neither responds nor fails.
    is_log_silent: bool,
    is_log_lost: bool,
    /// Whether it reads with short waits.
    is_monitor: bool,
    /// Reads of published decisions that it asked for.
    decision_reads: u64,
}

struct Mesh {
    now: Time,
    members: Vec<Member>,
    nodes: Vec<Node>,
    log: Vec<Order>,
    /// Number of times that the log was restored.
    era: u16,
    /// Exchanges that will fail: time, index of the sender, index of the receiver.
    failures: Vec<(Time, usize, usize)>,
    /// Number of reads of the log.
    log_reads: u64,
    /// Number of policies that nodes sent to each other.
    policies_sent: u64,
}

fn member(index: usize) -> Member {
    kernel_support::member(index, "a")
}

fn policy(version: u64, routes: usize) -> Order {
    let routes = (0..routes).map(|number| {
        let part = SplitPart {
            service: "desk".into(),
            weight: 1,
        };
        let prefix: Name = format!("/p{number}/").into();
        Route::new(
            prefix.clone(),
            "shop.example",
            prefix,
            Kind::Idempotent,
            vec![part],
        )
    });
    Order::Policy(Arc::new(Policy::new(version, routes.collect(), Vec::new())))
}

impl Mesh {
    /// Nodes of one failure domain that have read a first policy.
    fn new(count: usize) -> Self {
        let members: Vec<Member> = (0..count).map(member).collect();
        let nodes = members.iter().map(|member| Node {
            kernel: kernel_support::kernel(member, &members, 1, START, |registry| {
                intake::register(registry, BOUND);
                cutover::register(registry, Bound::default());
            }),
            reads: Some(0),
            era: 0,
            is_dead: false,
            is_log_silent: false,
            is_log_lost: false,
            is_monitor: true,
            decision_reads: 0,
        });
        let nodes = nodes.collect();
        let mut mesh = Self {
            now: START,
            members,
            nodes,
            log: vec![policy(1, 3)],
            era: 0,
            failures: Vec::new(),
            log_reads: 0,
            policies_sent: 0,
        };
        mesh.run(Duration::from_secs(5));
        mesh
    }

    fn handle(&mut self, index: usize, event: &Event) -> Vec<Message> {
        let mut reply = Vec::new();
        for action in self.nodes[index].kernel.handle(self.now, event) {
            match action {
                Action::Send { host, messages, .. } => self.send(index, &host, messages),
                Action::Reply(messages) => reply.extend(messages),
                Action::ReadOrders(OrderPolling::Paused) => self.nodes[index].reads = None,
                Action::MonitorOrders(is_monitor) => self.nodes[index].is_monitor = is_monitor,
                Action::ReadDecisions => self.nodes[index].decision_reads += 1,
                Action::ReadOrders(OrderPolling::From(from)) => {
                    self.nodes[index].reads = Some(from.offset);
                    self.log_reads += 1;
                }
                _ => {}
            }
        }
        reply
    }

    fn send(&mut self, from: usize, host: &Name, messages: Vec<Message>) {
        let to = self.members.iter().position(|m| m.host == *host).unwrap();
        if self.nodes[to].is_dead {
            self.failures.push((self.now + EXCHANGE_TIMEOUT, from, to));
            return;
        }
        let sender = self.members[from].host.clone();
        let event = Event::Received {
            from: sender,
            messages,
        };
        let messages = self.handle(to, &event);
        let is_policy = |message: &Message| {
            matches!(message, Message::Orders { excerpt: Some(excerpt), .. }
                if excerpt.policy.is_some())
        };
        self.policies_sent += messages.iter().filter(|m| is_policy(m)).count() as u64;
        let replied = Event::Replied {
            from: host.clone(),
            messages,
        };
        self.handle(from, &replied);
    }

    fn step(&mut self) {
        self.now = self.now + TICK_INTERVAL;
        let due: Vec<_> = self
            .failures
            .extract_if(.., |(at, ..)| *at <= self.now)
            .collect();
        for (_, from, to) in due {
            let (host, address) = (self.members[to].host.clone(), self.members[to].rpc);
            self.handle(from, &Event::Unreachable { address, host });
        }
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.is_dead {
                continue;
            }
            self.handle(index, &Event::Tick);
            self.read(index);
        }
    }

    /// Lets a node read the orders that the log has for it.
    fn read(&mut self, index: usize) {
        let node = &self.nodes[index];
        let end = self.log.len() as u64;
        if node.era != self.era {
            return self.read_newest(index);
        }
        let Some(from) = node.reads.filter(|from| *from < end) else {
            return;
        };
        if node.is_log_silent || node.is_log_lost {
            return;
        }
        let orders = self.log[from as usize..].iter().cloned();
        let entries = orders.zip(from..);
        let batch = OrderBatch {
            is_complete: false,
            end: Position::new(self.era, end),
            follows_failure: false,
            entries: entries
                .map(|(order, offset)| Entry {
                    position: Position::new(self.era, offset),
                    order,
                })
                .collect(),
        };
        self.nodes[index].reads = Some(end);
        self.log_reads += 1;
        self.handle(index, &Event::OrdersRead(batch));
    }

    /// Lets a node read the newest order of each key, as it does when the log was restored.
    fn read_newest(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.reads.is_none() || node.is_log_silent || node.is_log_lost {
            return;
        }
        let end = self.log.len() as u64;
        (node.reads, node.era) = (Some(end), self.era);
        self.log_reads += 1;
        let key = |order: &Order| match order {
            Order::Policy(_) => "policy".into(),
            Order::Move { service, .. } | Order::Withdraw { service } => format!("move {service}"),
            Order::Domain { name, .. } => format!("domain {name}"),
        };
        let is_deleted = |order: &Order| {
            matches!(
                order,
                Order::Withdraw { .. } | Order::Domain { is_out: false, .. }
            )
        };
        let newest = self.log.iter().enumerate().filter(|(offset, order)| {
            let mut later = self.log[offset + 1..].iter();
            !is_deleted(order) && !later.any(|other| key(other) == key(order))
        });
        let entries = newest.map(|(offset, order)| Entry {
            position: Position::new(self.era, offset as u64),
            order: order.clone(),
        });
        let batch = OrderBatch {
            is_complete: true,
            end: Position::new(self.era, end),
            follows_failure: true,
            entries: entries.collect(),
        };
        self.handle(index, &Event::OrdersRead(batch));
    }

    /// Restores the log from a copy with `kept` orders.
    fn restore(&mut self, kept: usize) {
        self.log.truncate(kept);
        self.era += 1;
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Nodes that read the log.
    fn readers(&self) -> Vec<usize> {
        let readers = self.nodes.iter().enumerate();
        let readers = readers.filter(|(_, node)| node.reads.is_some() && !node.is_dead);
        readers.map(|(index, _)| index).collect()
    }

    /// Publishes an order and returns the time until it is in force at every live node whose reads
    /// do not hang.
    fn order(&mut self, order: Order) -> Duration {
        self.log.push(order);
        let (end, start) = (Position::new(self.era, self.log.len() as u64), self.now);
        let is_behind = |node: &Node| {
            !node.is_dead && !node.is_log_silent && node.kernel.shared().orders.next() < end
        };
        while self.nodes.iter().any(is_behind) {
            self.step();
            assert!(
                self.now.since(start) < Duration::from_secs(30),
                "never in force"
            );
        }
        self.now.since(start)
    }
}

#[test]
fn few_nodes_read_for_all_of_a_failure_domain() {
    for (nodes, readers) in [(1, 1), (3, 3), (4, 3), (5, 3), (25, 5), (87, 10)] {
        let mut mesh = Mesh::new(nodes);
        assert_eq!(mesh.readers().len(), readers, "of {nodes} nodes");
        let reads_before = mesh.log_reads;
        assert!(mesh.order(policy(2, 3)) <= TICK_INTERVAL * 2);
        assert_eq!(mesh.log_reads - reads_before, readers as u64);
        assert_eq!(mesh.policies_sent, (nodes - readers) as u64);
    }
}

#[test]
fn one_reader_of_a_failure_domain_is_its_monitor() {
    for nodes in [1, 3, 25] {
        let mut mesh = Mesh::new(nodes);
        let monitors = |mesh: &Mesh| {
            let nodes = mesh.nodes.iter().enumerate();
            let nodes = nodes.filter(|(_, node)| node.is_monitor && !node.is_dead);
            nodes.map(|(index, _)| index).collect::<Vec<_>>()
        };
        let [monitor] = monitors(&mesh)[..] else {
            panic!("{:?} of {nodes} nodes", monitors(&mesh));
        };
        assert!(mesh.readers().contains(&monitor));
        // The monitor survives its own orders.
        mesh.order(policy(2, 3));
        assert_eq!(monitors(&mesh), [monitor]);
    }
}

/// A reader that has just restarted replies to its followers before its first read has ended.
#[test]
fn a_reader_that_has_read_nothing_yet_is_not_followed() {
    let mut mesh = Mesh::new(25);
    let readers = mesh.readers();
    for reader in &readers {
        let members = mesh.members.clone();
        let node = &mut mesh.nodes[*reader];
        node.kernel =
            kernel_support::kernel(&members[*reader], &members, 1, mesh.now, |registry| {
                intake::register(registry, BOUND);
                cutover::register(registry, Bound::default());
            });
        node.reads = Some(0);
        node.is_log_silent = true;
    }
    let took = mesh.order(policy(2, 3));
    assert!(took < BOUND, "{took:?}");
}

#[test]
fn orders_of_every_kind_reach_followers() {
    let mut mesh = Mesh::new(25);
    let domain = |is_out| Order::Domain {
        name: "b".into(),
        is_out,
    };
    mesh.order(domain(true));
    mesh.order(Order::Move {
        service: "desk".into(),
        version: "v2".into(),
        window: Duration::from_secs(12),
    });
    for node in &mesh.nodes {
        let orders = &node.kernel.shared().orders;
        assert_eq!(orders.domains_out(), ["b".into()]);
        assert_eq!(orders.find_move("desk").unwrap().order, 2.into());
    }
    mesh.order(domain(false));
    mesh.order(Order::Withdraw {
        service: "desk".into(),
    });
    for node in &mesh.nodes {
        let orders = &node.kernel.shared().orders;
        assert!(orders.domains_out().is_empty() && orders.find_move("desk").is_none());
    }
    assert_eq!(mesh.policies_sent, 0);
}

#[test]
fn decisions_reach_followers() {
    let mut mesh = Mesh::new(25);
    mesh.order(Order::Move {
        service: "desk".into(),
        version: "v2".into(),
        window: Duration::from_secs(12),
    });
    let decision = Decision {
        service: "desk".into(),
        version: "v2".into(),
        order: 1.into(),
        phase: Phase::Completed,
        faulty: Vec::new(),
    };
    mesh.run(BOUND);
    // Readers read decisions, and so do the evaluators of the move, which have to know the end of
    // the topic.
    let asking = mesh.nodes.iter().filter(|node| node.decision_reads > 0);
    assert!(asking.count() <= mesh.readers().len() + 2);
    for reader in mesh.readers() {
        assert!(mesh.nodes[reader].decision_reads > 0);
        mesh.handle(reader, &Event::DecisionsRead(vec![decision.clone()]));
    }
    mesh.run(BOUND);
    for node in &mesh.nodes {
        let orders = &node.kernel.shared().orders;
        assert_eq!(orders.find_move("desk").unwrap().phase, Phase::Completed);
    }
}

#[test]
fn an_order_is_in_force_in_time_when_all_readers_die() {
    for offset in 0..12 {
        let mut mesh = Mesh::new(25);
        mesh.run(TICK_INTERVAL * offset);
        for reader in mesh.readers() {
            mesh.nodes[reader].is_dead = true;
        }
        let took = mesh.order(policy(2, 3));
        assert!(took < BOUND, "{took:?}");
        assert!(mesh.readers().len() > 3);
    }
}

#[test]
fn an_order_is_in_force_in_time_when_reads_of_two_readers_hang() {
    let mut mesh = Mesh::new(25);
    let readers = mesh.readers();
    for first in 0..readers.len() {
        for second in first + 1..readers.len() {
            let mut mesh = Mesh::new(25);
            mesh.nodes[readers[first]].is_log_silent = true;
            mesh.nodes[readers[second]].is_log_silent = true;
            let took = mesh.order(policy(2, 3));
            assert!(took < BOUND, "{took:?}");
        }
    }
    // A node that is notified of newer orders by a node other than its readers reads the log
    // itself.
    for reader in &readers {
        mesh.nodes[*reader].is_log_silent = true;
    }
    let follower = (0..25).find(|index| !readers.contains(index)).unwrap();
    mesh.log.push(policy(2, 3));
    let ordered = Event::Received {
        from: "elsewhere".into(),
        messages: vec![Message::OrdersRead { next: 2.into() }],
    };
    mesh.handle(follower, &ordered);
    mesh.run(BOUND / 2);
    assert_eq!(mesh.nodes[follower].kernel.shared().orders.next(), 2.into());
}

/// A reader whose reads took longer than the time after which they were restarted never received a
/// policy that all its peers had.
#[test]
fn a_reader_whose_reads_make_no_progress_receives_orders_from_a_peer() {
    let mut mesh = Mesh::new(25);
    let readers = mesh.readers();
    let (slow, peer) = (readers[0], readers[1]);
    mesh.nodes[slow].is_log_silent = true;
    mesh.order(policy(2, 3));
    let ordered_at = mesh.now;
    let next = Position::from(mesh.log.len() as u64);
    let from = mesh.members[peer].host.clone();
    while mesh.nodes[slow].kernel.shared().orders.next() < next {
        if mesh
            .now
            .since(ordered_at)
            .subsec_millis()
            .is_multiple_of(500)
        {
            let digest = Digest {
                next,
                view: 0,
                quarantine: 0,
                blocklist: 0,
                is_synced: true,
            };
            let messages = vec![Message::Ack(digest)];
            let from = from.clone();
            mesh.handle(slow, &Event::Replied { from, messages });
        }
        mesh.step();
        let took = mesh.now.since(ordered_at);
        assert!(took < BOUND, "not in force {took:?} after its peers");
    }
}

/// A node whose own read hung waited for it as long as for one that is put off, after it had heard from
/// a peer. The peer may have put its read off for 0.35 of the bound, and probes come once a second.
#[test]
fn a_node_whose_read_hangs_has_an_order_in_time_when_it_hears_of_it_last() {
    let mut mesh = Mesh::new(25);
    let readers = mesh.readers();
    let (slow, peer) = (readers[0], readers[1]);
    mesh.nodes[slow].is_log_silent = true;
    mesh.run(BOUND);
    mesh.order(policy(2, 3));
    let next = Position::from(mesh.log.len() as u64);
    let from = mesh.members[peer].host.clone();
    let heard_at = mesh.now;
    let digest = Digest {
        next,
        view: 0,
        quarantine: 0,
        blocklist: 0,
        is_synced: true,
    };
    let messages = vec![Message::Ack(digest)];
    mesh.handle(slow, &Event::Replied { from, messages });
    while mesh.nodes[slow].kernel.shared().orders.next() < next {
        mesh.step();
        let took = mesh.now.since(heard_at) + BOUND.mul_f64(0.35) + Duration::from_secs(1);
        assert!(took <= BOUND, "in force after {took:?}");
    }
}

#[test]
fn followers_of_a_reader_that_lost_the_log_choose_another_or_read_it() {
    let mut mesh = Mesh::new(25);
    let readers = mesh.readers();
    let lose = |mesh: &mut Mesh, index: usize| {
        mesh.nodes[index].is_log_lost = true;
        mesh.handle(index, &Event::OrdersReadable(false));
    };
    lose(&mut mesh, readers[0]);
    mesh.run(BOUND);
    // Two readers are enough to follow.
    assert_eq!(mesh.readers(), readers);
    for reader in &readers[1..] {
        lose(&mut mesh, *reader);
    }
    mesh.run(BOUND);
    assert_eq!(mesh.readers().len(), 25);
    for reader in &readers {
        mesh.nodes[*reader].is_log_lost = false;
        mesh.handle(*reader, &Event::OrdersReadable(true));
    }
    mesh.run(Duration::from_secs(30));
    assert_eq!(mesh.readers(), readers);
}

#[test]
fn a_follower_backs_off_when_its_readers_keep_failing() {
    let mut mesh = Mesh::new(25);
    let readers = mesh.readers();
    let reads_before = mesh.log_reads;
    for _ in 0..600 {
        // The readers reply for long enough to be followed, and then fail for a second.
        let phase = mesh.now.since(START).as_secs() % 6;
        for reader in &readers {
            mesh.nodes[*reader].is_dead = phase == 0;
        }
        mesh.step();
    }
    let reads = mesh.log_reads - reads_before;
    // A node that never follows reads the log once in fifteen seconds.
    assert!(reads <= 25 * 5, "{reads} reads in a minute");
}

#[test]
fn a_policy_too_large_to_be_sent_is_read_by_all() {
    let mut mesh = Mesh::new(9);
    assert_eq!(mesh.readers().len(), 3);
    // Names without a pattern do not compress.
    let routes = (0..12_000_u64).map(|number| {
        let name = |key: &str| {
            format!(
                "{:x}",
                buckthorn::name::rendezvous(key, &number.to_string())
            )
        };
        let part = SplitPart {
            service: name("service").into(),
            weight: 1,
        };
        let prefix = format!("/{}{}/", name("a"), name("b"));
        let route = format!("{}{}", name("c"), name("d"));
        Route::new(
            route.into(),
            &name("host"),
            prefix.into(),
            Kind::Idempotent,
            vec![part],
        )
    });
    let large = Policy::new(2, routes.collect(), Vec::new());
    assert!(CompressedPolicy::new(&large).is_err());
    let took = mesh.order(Order::Policy(Arc::new(large)));
    assert!(took < BOUND, "{took:?}");
}

#[test]
fn a_malformed_excerpt_is_refused_and_the_node_reads_by_itself() {
    let mut mesh = Mesh::new(25);
    let readers = mesh.readers();
    let follower = (0..25).find(|index| !readers.contains(index)).unwrap();
    let bad: CompressedPolicy = serde_json::from_str("\"bm8gZGVmbGF0ZQ==\"").unwrap();
    let excerpt = Excerpt {
        next: 9.into(),
        policy: Some((8.into(), bad)),
        rest: Vec::new(),
    };
    let replied = Event::Replied {
        from: mesh.members[readers[0]].host.clone(),
        messages: vec![Message::Orders {
            is_reader: true,
            excerpt: Some(Box::new(excerpt)),
            decisions: Vec::new(),
        }],
    };
    mesh.handle(follower, &replied);
    assert_eq!(mesh.nodes[follower].kernel.shared().orders.next(), 1.into());
    assert!(mesh.readers().contains(&follower));
}

fn any_route() -> impl Strategy<Value = Route> {
    let split = prop::collection::vec(("[a-z]{1,4}", 1_u32..9), 1..3);
    let times = (1_u64..90_000, 1_u64..90_000, 1_u32..5, 0_u8..4);
    (
        "[a-z]{1,6}",
        "[a-c]",
        "/([a-z]{1,3}/){0,3}",
        any::<bool>(),
        split,
        times,
    )
        .prop_map(
            |(name, host, prefix, is_safe, split, (timeout, target, attempts, urgency))| {
                let kind = if is_safe {
                    Kind::Idempotent
                } else {
                    Kind::NonIdempotent
                };
                let parts = split.into_iter().map(|(service, weight)| SplitPart {
                    service: service.into(),
                    weight,
                });
                let mut route =
                    Route::new(name.into(), &host, prefix.into(), kind, parts.collect());
                route.timeout = Duration::from_millis(timeout);
                route.latency_target = Duration::from_millis(target);
                route.attempts = attempts;
                route.urgency = urgency;
                route
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(44),
        ..ProptestConfig::default()
    })]

    /// A policy is unchanged by compression and decompression.
    #[test]
    fn a_policy_round_trips_through_compression(
        version in any::<u64>(),
        routes in prop::collection::vec(any_route(), 0..20),
        services in prop::collection::vec(("[a-z]{1,4}", any::<u32>(), prop::option::of(1.0..99.0)), 0..5),
    ) {
        let names: BTreeSet<String> = services.iter().map(|(name, ..)| name.clone()).collect();
        prop_assume!(names.len() == services.len());
        let services = services.into_iter().map(|(name, connections, cold_rate)| Service {
            name: name.into(),
            connections,
            cold_rate,
        });
        let policy = Policy::new(version, routes, services.collect());
        let decompressed = CompressedPolicy::new(&policy).unwrap().decompress().unwrap();
        prop_assert_eq!(format!("{decompressed:?}"), format!("{policy:?}"));
    }

    /// Text that is not a compressed policy is an error, not a panic.
    #[test]
    fn any_text_is_a_policy_or_an_error(text in "[A-Za-z0-9+/=]{0,200}") {
        let compressed: CompressedPolicy = serde_json::from_value(text.into()).unwrap();
        let _ = compressed.decompress();
    }
}

#[test]
fn an_excerpt_has_a_policy_only_for_nodes_that_lack_it() {
    let mut orders = Orders::default();
    let batch = OrderBatch {
        is_complete: true,
        end: 5.into(),
        follows_failure: false,
        entries: vec![Entry {
            position: 4.into(),
            order: policy(1, 3),
        }],
    };
    orders.apply(&batch, START);
    let excerpt = |from, version| {
        let known = (Position::from(from), version);
        Excerpt::new(&orders, known, |_, policy| CompressedPolicy::new(policy)).unwrap()
    };
    assert!(excerpt(4, 0).policy.is_some());
    assert!(excerpt(4, 1).policy.is_none());
    assert!(excerpt(5, 0).policy.is_none());
}

/// A reader whose history was deleted sees that a failure domain is back in service only by the
/// missing order, which has no offset; its followers kept the domain out for good.
#[test]
fn a_withdrawal_that_the_sender_saw_as_a_missing_order_reaches_the_receiver() {
    let batch = |end, is_complete, entries: Vec<(u64, Order)>| OrderBatch {
        is_complete,
        end: Position::from(end),
        follows_failure: false,
        entries: entries
            .into_iter()
            .map(|(offset, order)| Entry {
                position: offset.into(),
                order,
            })
            .collect(),
    };
    let out = Order::Domain {
        name: "b".into(),
        is_out: true,
    };
    let first = batch(5, true, vec![(3, policy(1, 3)), (4, out)]);
    let (mut reader, mut follower) = (Orders::default(), Orders::default());
    reader.apply(&first, START);
    follower.apply(&first, START);
    assert_eq!(follower.domains_out(), ["b".into()]);
    reader.apply(&batch(7, true, vec![(6, policy(2, 3))]), START);
    assert!(reader.domains_out().is_empty());
    let excerpt = |orders: &Orders, from: u64| {
        let compress = |_, policy: &Policy| CompressedPolicy::new(policy);
        Excerpt::new(orders, (from.into(), 0), compress)
            .unwrap()
            .to_batch()
            .unwrap()
    };
    let late = excerpt(&follower, 5);
    follower.apply(&excerpt(&reader, 5), START);
    assert!(follower.domains_out().is_empty());
    // An older state that arrives late doesn't take it out again.
    follower.apply(&late, START);
    assert!(follower.domains_out().is_empty());
}

fn out(is_out: bool) -> Order {
    Order::Domain {
        name: "b".into(),
        is_out,
    }
}

/// Followers refused what their readers sent, since it ended at a lower offset than their own.
#[test]
fn orders_reach_followers_in_time_after_the_log_was_restored() {
    for (kept, again) in [(1, 0), (1, 3), (2, 1), (4, 0)] {
        let mut mesh = Mesh::new(25);
        for version in 2..6 {
            mesh.order(policy(version, 3));
        }
        mesh.restore(kept);
        mesh.log.extend((0..again).map(|_| policy(5, 3)));
        mesh.run(BOUND);
        // A follower that a peer told of the restore reads by itself for some seconds.
        let readers = mesh.readers().len();
        assert!(readers < 12, "{readers} of 25 nodes read");
        let reads = mesh.log_reads;
        let took = mesh.order(policy(6, 3));
        assert!(took < BOUND, "{took:?}");
        for node in &mesh.nodes {
            assert_eq!(node.kernel.shared().orders.policy().unwrap().version, 6);
        }
        // A reader that a peer is ahead of reads once more.
        assert!(mesh.log_reads - reads <= 2 * readers as u64);
    }
}

/// A node that restarted while its failure domain was cut off from the log stayed without a policy until
/// the end of the cut, though all its peers had one.
#[test]
fn a_node_that_starts_while_it_cannot_read_the_log_gets_the_policy_from_a_peer() {
    let mut mesh = Mesh::new(25);
    mesh.order(policy(2, 3));
    mesh.run(BOUND);
    let (started, peer) = (7, mesh.members[3].host.clone());
    let members = mesh.members.clone();
    let node = &mut mesh.nodes[started];
    node.kernel = kernel_support::kernel(&members[started], &members, 1, mesh.now, |registry| {
        intake::register(registry, BOUND);
        cutover::register(registry, Bound::default());
    });
    (node.reads, node.is_log_silent) = (Some(0), true);
    let digest = Digest {
        next: Position::from(mesh.log.len() as u64),
        view: 0,
        quarantine: 0,
        blocklist: 0,
        is_synced: true,
    };
    let probed = Event::Received {
        from: peer,
        messages: vec![Message::Ping(digest)],
    };
    mesh.handle(started, &probed);
    mesh.run(BOUND);
    let shared = mesh.nodes[started].kernel.shared();
    assert!(shared.is_synced);
    assert_eq!(shared.orders.policy().unwrap().version, 2);
}

#[test]
fn a_node_that_is_cut_off_from_the_log_learns_of_the_restore_from_peers() {
    let mut mesh = Mesh::new(25);
    mesh.order(policy(2, 3));
    mesh.order(policy(3, 3));
    let readers = mesh.readers();
    mesh.nodes[readers[0]].is_log_silent = true;
    mesh.restore(1);
    mesh.log.push(policy(3, 3));
    let took = mesh.order(policy(4, 3));
    assert!(took < BOUND, "{took:?}");
    mesh.run(BOUND);
    let orders = &mesh.nodes[readers[0]].kernel.shared().orders;
    assert_eq!(orders.policy().unwrap().version, 4);
}

/// An order of the part that was lost, which operators did not write again, must not come back from
/// the memory of a node that missed the restore.
#[test]
fn an_order_that_the_log_lost_does_not_return_from_a_peer() {
    let mut mesh = Mesh::new(25);
    mesh.order(out(true));
    let readers = mesh.readers();
    mesh.nodes[readers[0]].is_dead = true;
    mesh.restore(1);
    mesh.run(Duration::from_secs(8));
    let is_out = |node: &Node| !node.kernel.shared().orders.domains_out().is_empty();
    assert!(mesh.nodes.iter().all(|node| node.is_dead == is_out(node)));
    mesh.nodes[readers[0]].is_dead = false;
    for _ in 0..80 {
        mesh.run(TICK_INTERVAL);
        let mut others = mesh.nodes.iter().enumerate();
        assert!(others.all(|(index, node)| index == readers[0] || !is_out(node)));
    }
    assert!(!mesh.nodes.iter().any(is_out));
}

#[test]
fn an_order_that_the_log_lost_holds_until_it_is_written_again() {
    let mut mesh = Mesh::new(25);
    mesh.order(out(true));
    mesh.restore(1);
    for _ in 0..15 {
        mesh.run(TICK_INTERVAL);
        for node in &mesh.nodes {
            assert_eq!(node.kernel.shared().orders.domains_out(), ["b".into()]);
        }
    }
    mesh.order(out(true));
    mesh.run(Duration::from_secs(8));
    for node in &mesh.nodes {
        assert_eq!(node.kernel.shared().orders.domains_out(), ["b".into()]);
    }
    mesh.order(out(false));
    for node in &mesh.nodes {
        assert!(node.kernel.shared().orders.domains_out().is_empty());
    }
}

/// The log has an older policy than the mesh, and a node that starts knows no other.
#[test]
fn a_node_that_starts_after_the_restore_gets_the_newer_policy_from_its_peers() {
    let mut mesh = Mesh::new(25);
    mesh.order(policy(2, 3));
    mesh.restore(1);
    mesh.run(BOUND);
    let follower = (0..25)
        .find(|index| !mesh.readers().contains(index))
        .unwrap();
    let members = mesh.members.clone();
    let node = &mut mesh.nodes[follower];
    node.kernel = kernel_support::kernel(&members[follower], &members, 1, mesh.now, |registry| {
        intake::register(registry, BOUND);
        cutover::register(registry, Bound::default());
    });
    (node.reads, node.era) = (Some(0), 0);
    mesh.run(BOUND * 2);
    for node in &mesh.nodes {
        assert_eq!(node.kernel.shared().orders.policy().unwrap().version, 2);
    }
}
