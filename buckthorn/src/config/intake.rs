//! Plug-in that takes operators' orders from a topic of their own.
//!
//! A node reads the topic itself or has the orders from nodes that do ([`super::relay`]). A read that
//! hangs is cut short when a peer knows newer orders: probes carry the offset up to which a node has
//! read, and a node that reads news after a failure tells a few peers at once, since their reads may
//! hang for the same cause, and they tell others.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::clock::Time;
use crate::kernel::{Action, Context, Event, OrderPolling, Plugin, Registry};
use crate::log_event::LogEvent;
use crate::membership::member::Member;
use crate::name::Name;
use crate::rpc::message::Message;

use super::excerpt::{CompressedPolicy, Excerpt};
use super::order::{Decision, OrderBatch};
use super::policy::Policy;
use super::relay::{Relay, RelayAction};

/// Part of the time in which an order has to be in force that a read, or a reader, gets before the log
/// is read anew for newer orders at a peer; more than reads are put off to gather orders.
const READ_GRACE_PART: f64 = 0.45;

/// Peers that a node tells of orders that it read after a failure; each of them tells as many.
const NOTIFY_FANOUT: usize = 8;

/// Registers the plug-in of a node whose orders have to be in force within a time.
pub fn register(registry: &mut Registry, bound: Duration) {
    registry.add(Intake {
        grace: bound.mul_f64(READ_GRACE_PART),
        behind: None,
        relay: Relay::new(bound),
        packed: None,
    });
}

/// Puts orders and published decisions in force as they are read.
#[derive(Debug)]
pub struct Intake {
    /// Time that a read or a reader gets before the log is read anew.
    grace: Duration,
    /// When a peer was first seen to know newer orders.
    behind: Option<Time>,
    /// Where orders come from.
    relay: Relay,
    /// Policy in compressed form with the offset of its order; none when it is too large to pass on.
    packed: Option<(u64, Option<CompressedPolicy>)>,
}

impl Plugin for Intake {
    fn name(&self) -> &'static str {
        "intake"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::OrdersRead(feed) => self.take(cx, feed),
            Event::OrdersReadable(is_readable) => self.relay.set_log_available(*is_readable),
            Event::Shutdown => self.relay.set_log_available(false),
            Event::DecisionsRead(decisions) => decide(cx, decisions),
            Event::Unreachable { host, .. } => {
                let next = self.relay.on_unreachable(cx.now, host);
                self.follow_up(cx, next);
            }
            Event::Received { from, messages } | Event::Replied { from, messages } => {
                for message in messages {
                    self.read_message(cx, from, message);
                }
            }
            _ => {}
        }
    }
}

impl Intake {
    /// Asks for orders when that is due; a node without a policy reads by itself.
    fn tick(&mut self, cx: &mut Context<'_>) {
        if !cx.shared.is_synced || cx.shared.is_stopping {
            return;
        }
        let is_behind = self.relay.is_following()
            && self
                .behind
                .is_some_and(|since| cx.now.since(since) >= self.grace);
        let next = if is_behind {
            self.relay.fail(cx.now, "other nodes know newer orders")
        } else {
            let shared = &cx.shared;
            self.relay.poll(cx.now, &shared.identity, &shared.view)
        };
        self.follow_up(cx, next);
    }

    /// Carries out what the relay wants.
    fn follow_up(&mut self, cx: &mut Context<'_>, next: RelayAction) {
        let from = cx.shared.orders.next();
        cx.shared.is_following = self.relay.is_following();
        match next {
            RelayAction::Nothing => {}
            RelayAction::Ask(hosts) => {
                let decisions = cx.shared.orders.decisions_hash();
                for host in hosts {
                    if let Some(reader) = cx.shared.view.get(&host).cloned() {
                        cx.send(&reader, vec![Message::WantOrders { from, decisions }]);
                    }
                }
            }
            RelayAction::Follow => {
                cx.log_event(
                    LogEvent::OrdersSource,
                    "peers",
                    "readers of the failure domain answer",
                );
                cx.act(Action::ReadOrders(OrderPolling::Paused));
            }
            RelayAction::Read(reason) => {
                cx.log_event(LogEvent::OrdersSource, "log", reason);
                cx.act(Action::ReadOrders(OrderPolling::From(from)));
            }
        }
    }

    /// Takes orders that were read; a node serves from the first policy on.
    fn take(&mut self, cx: &mut Context<'_>, feed: &OrderBatch) {
        let before = cx.shared.orders.next();
        let has_changed = self.apply(cx, feed);
        let next = cx.shared.orders.next();
        if next <= before {
            return;
        }
        let own = cx.shared.identity.host.clone();
        let mut told: Vec<Member> = Vec::new();
        if has_changed && feed.follows_failure {
            let live = cx.shared.view.live().filter(|member| member.host != own);
            told.extend(live.cloned().choose_multiple(cx.rng, NOTIFY_FANOUT));
        }
        for host in self.relay.followers(cx.now) {
            let is_told = told.iter().any(|member| member.host == *host);
            told.extend(cx.shared.view.get(host).filter(|_| !is_told).cloned());
        }
        for peer in told {
            cx.send(&peer, vec![Message::OrdersRead { next }]);
        }
    }

    /// Puts orders in force and tells whether anything changed.
    fn apply(&mut self, cx: &mut Context<'_>, feed: &OrderBatch) -> bool {
        self.behind = None;
        let out = cx.shared.orders.domains_out();
        let has_changed = cx.shared.orders.apply(feed, cx.now);
        let now_out = cx.shared.orders.domains_out();
        if now_out != out {
            let detail = format!("read up to offset {}", cx.shared.orders.next());
            cx.log_event(LogEvent::DomainsOut, now_out.join(","), detail);
        }
        cx.shared.is_synced = cx.shared.orders.policy().is_some();
        if has_changed {
            cx.act(Action::RebuildTable);
        }
        has_changed
    }

    /// Reads one message of a peer.
    fn read_message(&mut self, cx: &mut Context<'_>, from: &Name, message: &Message) {
        match message {
            Message::WantOrders {
                from: next,
                decisions,
            } => self.answer(cx, from, *next, *decisions),
            Message::Orders {
                is_reader,
                excerpt,
                decisions,
            } => {
                decide(cx, decisions);
                if let Some(excerpt) = excerpt {
                    self.take_excerpt(cx, from, excerpt);
                }
                let next = self.relay.on_reply(cx.now, from, *is_reader);
                self.follow_up(cx, next);
            }
            Message::OrdersRead { next }
                if *next > cx.shared.orders.next() && self.relay.is_source(from) =>
            {
                let next = self.relay.on_notification(cx.now, from);
                self.follow_up(cx, next);
            }
            Message::OrdersRead { next } => self.compare(cx, *next, Duration::ZERO),
            Message::Ping(digest) | Message::Ack(digest) => {
                self.compare(cx, digest.next, self.grace);
            }
            _ => {}
        }
    }

    /// Answers a node that asks for orders from an offset on, and has decisions with a mark.
    fn answer(&mut self, cx: &mut Context<'_>, from: &Name, next: u64, mark: u64) {
        if cx.shared.view.get(from).is_some() {
            self.relay.record_follower(cx.now, from);
        }
        let excerpt = (next < cx.shared.orders.next())
            .then(|| Excerpt::new(&cx.shared.orders, next, |o, p| self.pack(o, p)))
            .transpose();
        // A node that cannot pass its orders on is no reader to others.
        let is_reader = self.relay.is_reader() && excerpt.is_ok();
        let orders = &cx.shared.orders;
        let has_other = orders.decisions_hash() != mark;
        let decisions = has_other.then(|| orders.decisions().to_vec());
        cx.act(Action::Reply(vec![Message::Orders {
            is_reader,
            excerpt: excerpt.ok().flatten().map(Box::new),
            decisions: decisions.unwrap_or_default(),
        }]));
    }

    /// Policy in compressed form, made once.
    fn pack(&mut self, offset: u64, policy: &Policy) -> Result<CompressedPolicy, TooLarge> {
        let held = self.packed.as_ref().filter(|(held, _)| *held == offset);
        let packed = match held {
            Some((_, packed)) => packed.clone(),
            None => CompressedPolicy::new(policy).ok(),
        };
        self.packed = Some((offset, packed.clone()));
        packed.ok_or(TooLarge)
    }

    /// Puts orders in force that a reader passed on.
    fn take_excerpt(&mut self, cx: &mut Context<'_>, from: &Name, excerpt: &Excerpt) {
        if excerpt.next <= cx.shared.orders.next() {
            return;
        }
        match excerpt.to_batch() {
            Ok(feed) => {
                self.apply(cx, &feed);
            }
            Err(error) => {
                let detail = format!("orders passed on by {from}: {error:#}");
                cx.log_event(LogEvent::ConfigRefused, excerpt.next, detail);
                let next = self
                    .relay
                    .fail(cx.now, "a reader passed on malformed orders");
                self.follow_up(cx, next);
            }
        }
    }

    /// Reads the log anew when a peer has known newer orders for longer than a read may take; readers
    /// that a node follows get as long, whoever tells.
    fn compare(&mut self, cx: &mut Context<'_>, next: u64, grace: Duration) {
        let held = cx.shared.orders.next();
        if next <= held {
            return;
        }
        let behind = *self.behind.get_or_insert(cx.now);
        if !self.relay.is_following() && cx.now.since(behind) >= grace {
            self.behind = Some(cx.now);
            cx.act(Action::ReadOrders(OrderPolling::From(held)));
        }
    }
}

/// Takes published decisions on moves.
fn decide(cx: &mut Context<'_>, decisions: &[Decision]) {
    if cx.shared.orders.apply_decisions(decisions) {
        cx.act(Action::RebuildTable);
    }
}

/// The policy takes more than a control message may.
#[derive(Debug)]
struct TooLarge;
