//! Plug-in that keeps the confirmation of the policy current.
//!
//! A read of the orders that reaches their end confirms the policy from the time at which the read
//! was sent. The nodes of a failure domain form a tree, ordered like the readers of the orders: its
//! root reads with short waits, and the others ask their parent. The age that a reply names counts
//! from the time of the request, by the clock of the node that asked, so no delay on the way and no
//! difference of clocks makes a policy look newer than it is. A node whose confirmation grows old
//! all the same asks another node at random, of any failure domain, and reads with short waits.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::clock::Time;
use crate::config::position::Position;
use crate::config::relay;
use crate::kernel::{Action, Context, Event, OrderPolling, Plugin, Registry};
use crate::log_event::LogEvent;
use crate::membership::member::Member;
use crate::name::Name;
use crate::rpc::message::Message;

/// Children of a node in the tree. With six, the tree of 50 nodes has three levels.
const FANOUT: usize = 6;

/// Requests to the parent within the bound. With three levels and the reads of the root, the age
/// of a confirmation stays below two thirds of the bound.
const REQUESTS_PER_BOUND: u32 = 8;

/// Part of the bound from which a confirmation is old. Above the age that is normal after orders were
/// read, and early enough to find another node that has a newer one.
const OLD_PART: f64 = 0.65;

/// Registers the plug-in; keys stop working within `bound` after they were taken away.
pub fn register(registry: &mut Registry, bound: Duration) {
    registry.add(Confirmer::new(bound));
}

/// Longest wait of a read by the root of the tree, or by a node whose confirmation is old.
pub fn read_wait(bound: Duration) -> Duration {
    bound / 4
}

/// Keeps the confirmation of the policy current.
#[derive(Debug)]
pub struct Confirmer {
    /// Time within which a key stops working.
    bound: Duration,
    /// Latest times at which the orders were known to end at a position, sorted by both.
    confirmed: Vec<(Time, Position)>,
    /// Time of the last requests; absent before the first order.
    asked_at: Option<Time>,
}

impl Plugin for Confirmer {
    fn name(&self) -> &'static str {
        "confirmer"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::OrdersConfirmed { at, next } => self.confirm(cx, *at, *next),
            Event::Received { messages, .. } | Event::Replied { messages, .. } => {
                for message in messages {
                    self.on_message(cx, message);
                }
            }
            _ => {}
        }
    }
}

impl Confirmer {
    /// Confirmer of a node that has read nothing yet.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            confirmed: Vec::new(),
            asked_at: None,
        }
    }

    /// Asks for a confirmation when one is due.
    fn tick(&mut self, cx: &mut Context<'_>) {
        let interval = self.bound / REQUESTS_PER_BOUND;
        if !cx.shared.is_synced {
            return;
        }
        // The read that brought the first orders confirms them in the next event.
        let asked_at = *self.asked_at.get_or_insert(cx.now);
        if cx.now.since(asked_at) < interval {
            return;
        }
        self.asked_at = Some(cx.now);
        let age = cx.now.since(self.confirmed_at());
        let is_old = age > self.bound.mul_f64(OLD_PART);
        self.set_old(cx, is_old);
        if age < interval {
            return;
        }
        let mut asked: Vec<Member> = parent(cx).into_iter().collect();
        if is_old {
            let others = cx.shared.view.live().filter(|member| {
                let is_asked = asked.iter().any(|other| other.host == member.host);
                member.host != cx.shared.identity.host && !is_asked
            });
            let other = others.cloned().choose(cx.rng);
            asked.extend(other);
        }
        for member in asked {
            let request = Message::WantConfirmation {
                asked_at: cx.now,
                next: cx.shared.orders.next(),
            };
            cx.send(&member, vec![request]);
        }
    }

    /// Reads the orders with short waits while the confirmation is old, from now on.
    fn set_old(&self, cx: &mut Context<'_>, is_old: bool) {
        if cx.shared.is_confirmation_old == is_old {
            return;
        }
        cx.shared.is_confirmation_old = is_old;
        let detail = format!("confirmed until {}", self.confirmed_at());
        let subject = if is_old { "old" } else { "current" };
        cx.log_event(LogEvent::PolicyConfirmation, subject, detail);
        if is_old && !cx.shared.is_following {
            let from = cx.shared.orders.next();
            cx.act(Action::ReadOrders(OrderPolling::From(from)));
        }
    }

    /// Handles a message of a peer.
    fn on_message(&mut self, cx: &mut Context<'_>, message: &Message) {
        match message {
            Message::WantConfirmation { asked_at, next } => {
                if let Some((at, next)) = self.confirmed_before(*next) {
                    let reply = Message::Confirmation {
                        asked_at: *asked_at,
                        next,
                        age: cx.now.since(at),
                    };
                    cx.act(Action::Reply(vec![reply]));
                }
            }
            // A time that this node can't have sent confirms nothing.
            Message::Confirmation {
                asked_at,
                next,
                age,
            } if *asked_at <= cx.now => self.confirm(cx, *asked_at - *age, *next),
            _ => {}
        }
    }

    /// Confirms the policy as of a time at which the orders ended at `next`, unless this node lacks
    /// some of them.
    fn confirm(&mut self, cx: &mut Context<'_>, at: Time, next: Position) {
        if next > cx.shared.orders.next() || at <= self.confirmed_at() || !cx.shared.is_synced {
            return;
        }
        match self.confirmed.last_mut() {
            Some((held, last)) if *last >= next => *held = at,
            _ => self.confirmed.push((at, next)),
        }
        let bound = self.bound;
        self.confirmed.retain(|(held, _)| at.since(*held) <= bound);
        cx.act(Action::ConfirmPolicy(at));
    }

    /// Time at which the policy of this node was last known to be the newest.
    fn confirmed_at(&self) -> Time {
        self.confirmed.last().map_or(Time::default(), |(at, _)| *at)
    }

    /// Latest confirmation of a node that has the orders before `next`. A node that lags behind while
    /// many orders come is confirmed up to those that it has.
    fn confirmed_before(&self, next: Position) -> Option<(Time, Position)> {
        let count = self.confirmed.partition_point(|(_, end)| *end <= next);
        self.confirmed[..count].last().copied()
    }
}

/// Parent of this node in the tree of its failure domain; `None` for the root.
fn parent(cx: &Context<'_>) -> Option<Member> {
    let identity = &cx.shared.identity;
    let ranked: Vec<&Name> = relay::ranked(&cx.shared.view, &identity.failure_domain);
    let index = ranked.iter().position(|host| **host == identity.host)?;
    let parent = ranked[index.checked_sub(1)? / FANOUT];
    cx.shared.view.get(parent).cloned()
}
