//! Confirmation of the policy by peers, in virtual time: a key goes away while nodes are cut off.

mod kernel_support;

use std::sync::Arc;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::order::{Entry, Order, OrderBatch};
use buckthorn::config::policy::Policy;
use buckthorn::config::position::Position;
use buckthorn::config::{intake, relay};
use buckthorn::kernel::{Action, Event, Kernel};
use buckthorn::membership::member::Member;
use buckthorn::rpc::message::Message;
use buckthorn::tenant::confirmation::Confirmation;
use buckthorn::tenant::plugin;
use kernel_support::{kernel, member};

/// Time within which a key stops working.
const BOUND: Duration = Duration::from_secs(5);

/// Time within which orders are in force.
const APPLY: Duration = Duration::from_millis(2_500);

/// Time of a message from one node to another and back.
const ROUND_TRIP: Duration = Duration::from_millis(50);

const TICK: Duration = Duration::from_millis(100);

/// Nodes of one failure domain, of which only the first in the order of readers reads the orders.
struct Mesh {
    members: Vec<Member>,
    kernels: Vec<Kernel>,
    confirmations: Vec<Confirmation>,
    /// Index of the node that reads the orders.
    reader: usize,
    /// Whether a node is cut off from the others.
    is_cut: Vec<bool>,
    /// Whether the reader reaches the store.
    is_readable: bool,
    next: Position,
    now: Time,
}

impl Mesh {
    fn new(count: usize) -> Self {
        let now = Time::from_secs(1_000);
        let members: Vec<Member> = (0..count).map(|index| member(index, "fd")).collect();
        let kernels: Vec<Kernel> = members
            .iter()
            .map(|local| {
                kernel(local, &members, 1, now, |registry| {
                    intake::register(registry, APPLY);
                    plugin::register(registry, BOUND);
                })
            })
            .collect();
        let mut mesh = Self {
            confirmations: members
                .iter()
                .map(|_| Confirmation::new(Some(BOUND)))
                .collect(),
            reader: 0,
            is_cut: vec![false; count],
            is_readable: true,
            next: Position::new(0, 1),
            now,
            members,
            kernels,
        };
        for node in 0..count {
            mesh.deliver(node, &Event::OrdersRead(policy(1, mesh.next)));
        }
        let view = &mesh.kernels[0].shared().view;
        let root = relay::ranked(view, "fd")[0].clone();
        mesh.reader = mesh.index(&root);
        mesh
    }

    fn index(&self, host: &str) -> usize {
        self.members.iter().position(|m| *m.host == *host).unwrap()
    }

    /// Passes an event to a node and carries its messages about confirmations.
    fn deliver(&mut self, node: usize, event: &Event) -> Vec<Message> {
        let mut replies = Vec::new();
        for action in self.kernels[node].handle(self.now, event) {
            match action {
                Action::ConfirmPolicy(at) => self.confirmations[node].confirm(at),
                Action::Reply(messages) => replies.extend(messages),
                Action::Send { host, messages, .. } => {
                    let to = self.index(&host);
                    let is_wanted = |m: &Message| matches!(m, Message::WantConfirmation { .. });
                    if self.is_cut[node] || self.is_cut[to] || !messages.iter().all(is_wanted) {
                        continue;
                    }
                    let from = self.members[node].host.clone();
                    let messages = self.deliver(to, &Event::Received { from, messages });
                    // The reply arrives later than the state that it tells of.
                    self.now = self.now + ROUND_TRIP;
                    self.deliver(
                        node,
                        &Event::Replied {
                            from: host,
                            messages,
                        },
                    );
                    self.now = self.now - ROUND_TRIP;
                }
                _ => {}
            }
        }
        replies
    }

    /// Runs all nodes for a time; the reader reads once in a quarter of the bound.
    fn run(&mut self, time: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + time;
        let mut read_at = Time::default();
        while self.now < end {
            self.now = self.now + TICK;
            if self.is_readable && self.now.since(read_at) >= plugin::read_wait(BOUND) {
                let (at, next) = (read_at.max(self.now - plugin::read_wait(BOUND)), self.next);
                read_at = self.now;
                self.deliver(self.reader, &Event::OrdersConfirmed { at, next });
            }
            for node in 0..self.members.len() {
                self.deliver(node, &Event::Tick);
            }
            check(self);
        }
    }

    fn is_current(&self, node: usize) -> bool {
        self.confirmations[node].is_current(self.now)
    }
}

fn policy(version: u64, next: Position) -> OrderBatch {
    let policy = Policy::new(version, Vec::new(), Vec::new());
    OrderBatch {
        is_complete: true,
        end: next,
        follows_failure: false,
        entries: vec![Entry {
            position: Position::new(0, next.offset - 1),
            order: Order::Policy(Arc::new(policy)),
        }],
    }
}

#[test]
fn keys_are_accepted_all_the_time_while_one_node_of_fifty_reads() {
    let mut mesh = Mesh::new(50);
    mesh.run(BOUND, |_| {});
    mesh.run(BOUND * 4, |mesh| {
        let old = (0..50).filter(|node| !mesh.is_current(*node)).count();
        assert_eq!(old, 0, "at {}", mesh.now);
    });
}

#[test]
fn a_node_that_is_cut_off_accepts_no_key_past_the_bound_and_does_so_again_afterwards() {
    let mut mesh = Mesh::new(8);
    mesh.run(BOUND, |_| {});
    let cut = (mesh.reader + 1) % 8;
    mesh.is_cut[cut] = true;
    let cut_at = mesh.now;
    mesh.run(BOUND * 3, |mesh| {
        let is_late = mesh.now.since(cut_at) > BOUND;
        assert!(!(is_late && mesh.is_current(cut)), "at {}", mesh.now);
        let others = (0..8).filter(|node| *node != cut);
        assert!(others.into_iter().all(|node| mesh.is_current(node)));
    });
    mesh.is_cut[cut] = false;
    mesh.run(BOUND, |_| {});
    assert!(mesh.is_current(cut));
}

#[test]
fn no_node_confirms_a_policy_for_another_that_lacks_its_orders() {
    let mut mesh = Mesh::new(8);
    mesh.run(BOUND, |_| {});
    // The reader learns of a key that was taken away; the others are not told.
    mesh.next = Position::new(0, 2);
    mesh.deliver(mesh.reader, &Event::OrdersRead(policy(2, mesh.next)));
    let changed_at = mesh.now;
    mesh.run(BOUND * 3, |mesh| {
        let is_late = mesh.now.since(changed_at) > BOUND;
        for node in (0..8).filter(|node| *node != mesh.reader) {
            assert!(!(is_late && mesh.is_current(node)), "at {}", mesh.now);
        }
        assert!(mesh.is_current(mesh.reader));
    });
}

#[test]
fn nodes_that_are_always_a_little_behind_keep_accepting_keys() {
    let mut mesh = Mesh::new(8);
    mesh.run(BOUND, |_| {});
    // A new order comes each half second, and reaches the other nodes a second after the reader.
    let reader = mesh.reader;
    let mut behind = Vec::new();
    for number in 2..40 {
        let next = Position::new(0, number);
        mesh.next = next;
        mesh.deliver(reader, &Event::OrdersRead(policy(number, next)));
        behind.push(next);
        if behind.len() > 2 {
            let next = behind.remove(0);
            for node in (0..8).filter(|node| *node != reader) {
                mesh.deliver(node, &Event::OrdersRead(policy(next.offset, next)));
            }
        }
        mesh.run(TICK * 5, |mesh| {
            let are_current = (0..8).all(|node| mesh.is_current(node));
            assert!(are_current, "at {}", mesh.now);
        });
    }
}

#[test]
fn no_node_accepts_a_key_past_the_bound_while_the_store_is_away() {
    let mut mesh = Mesh::new(8);
    mesh.run(BOUND, |_| {});
    mesh.is_readable = false;
    let lost_at = mesh.now;
    mesh.run(BOUND * 3, |mesh| {
        let is_late = mesh.now.since(lost_at) > BOUND;
        let is_accepting = (0..8).any(|node| mesh.is_current(node));
        assert!(!(is_late && is_accepting), "at {}", mesh.now);
    });
    mesh.is_readable = true;
    mesh.run(BOUND, |_| {});
    assert!((0..8).all(|node| mesh.is_current(node)));
}

#[test]
fn a_reply_to_a_request_of_the_future_confirms_nothing() {
    let mut mesh = Mesh::new(2);
    let messages = vec![Message::Confirmation {
        asked_at: mesh.now + BOUND * 100,
        next: mesh.next,
        age: Duration::ZERO,
    }];
    let from = mesh.members[1].host.clone();
    mesh.deliver(0, &Event::Replied { from, messages });
    assert!(!mesh.is_current(0));
}

#[test]
fn without_a_bound_keys_are_accepted_however_old_the_policy_is() {
    assert!(Confirmation::new(None).is_current(Time(u64::MAX)));
}
