//! Plug-in that receives operators' orders, which have a topic of their own.
//!
//! A node reads the topic itself or receives the orders from nodes that do ([`super::relay`]). Probes
//! carry the position up to which a node has read. A peer that has newer orders is asked for them soon
//! unless this node puts its reads off, and a read that makes no progress is restarted later. A node that reads new orders after a
//! failed read notifies a few peers at once, whose reads may hang for the same cause; they notify
//! others in turn. A node that starts where the topic cannot be read gets its first orders from a peer
//! in the same way.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::clock::Time;
use crate::kernel::{Action, Context, Event, OrderPolling, Plugin, Registry};
use crate::log_event::LogEvent;
use crate::membership::member::Member;
use crate::name::Name;
use crate::rpc::message::Message;

use super::excerpt::{CompressedPolicy, Excerpt};
use super::order::{Decision, Entry, Order, OrderBatch};
use super::policy::Policy;
use super::position::Position;
use super::relay::{Relay, RelayAction};

/// Fraction of the time within which an order has to be in force that a node waits for its own
/// read, or for its readers, before it reads the log anew because a peer has newer orders. Longer
/// than the delay by which reads are put off to batch orders.
const READ_GRACE_PART: f64 = 0.45;

/// Fraction of the time within which an order has to be in force after which a node that puts no read
/// off asks a peer for the newer orders that it has. A read that succeeds ends sooner. Together with
/// the delay of the peer's read and an interval of probes it is within that time.
const ASK_GRACE_PART: f64 = 0.1;

/// Peers that a node notifies of orders that it read after a failed read; each of them notifies as
/// many.
const NOTIFY_FANOUT: usize = 8;

/// Registers the plug-in; orders have to be in force within `bound`.
pub fn register(registry: &mut Registry, bound: Duration) {
    registry.add(Intake {
        read_grace: bound.mul_f64(READ_GRACE_PART),
        ask_grace: bound.mul_f64(ASK_GRACE_PART),
        read_at: None,
        ahead: None,
        is_monitor: true,
        relay: Relay::new(bound),
        compressed: None,
    });
}

/// Applies orders and published decisions as they are read or received.
#[derive(Debug)]
pub struct Intake {
    /// Time by which a peer may be ahead before the log is read anew.
    read_grace: Duration,
    /// Time by which a peer may be ahead before it is asked for its orders.
    ask_grace: Duration,
    /// When a read of the log last brought orders; the next one is put off.
    read_at: Option<Time>,
    /// Peer that is known to have newer orders.
    ahead: Option<Ahead>,
    /// Whether reads use short waits, as last requested.
    is_monitor: bool,
    /// Decides whether the node reads the log or follows other nodes.
    relay: Relay,
    /// Cached compressed policy with the position of its order; the policy is `None` when it is too
    /// large to send.
    compressed: Option<(Position, Option<CompressedPolicy>)>,
}

/// Peer that has newer orders than this node.
#[derive(Debug)]
struct Ahead {
    /// Host of the peer.
    host: Name,
    /// Time since which it, or another peer, is known to be ahead.
    since: Time,
    /// Whether a peer was asked since.
    is_asked: bool,
}

impl Plugin for Intake {
    fn name(&self) -> &'static str {
        "intake"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::OrdersRead(batch) => self.on_orders_read(cx, batch),
            Event::OrdersReadable(is_readable) => self.relay.set_log_available(*is_readable),
            Event::Shutdown => self.relay.set_log_available(false),
            Event::DecisionsRead(decisions) => apply_decisions(cx, decisions),
            Event::Unreachable { host, .. } => {
                let action = self.relay.on_unreachable(cx.now, host);
                self.execute(cx, action);
            }
            Event::Received { from, messages } | Event::Replied { from, messages } => {
                for message in messages {
                    self.on_message(cx, from, message);
                }
            }
            _ => {}
        }
    }
}

impl Intake {
    /// Requests orders when due. A node without a policy reads the log itself, and asks a peer only if
    /// that takes too long.
    fn tick(&mut self, cx: &mut Context<'_>) {
        let out = cx.shared.orders.domains_out();
        if cx.shared.orders.settle(cx.now) {
            log_domains_out(cx, &out);
            cx.act(Action::RebuildTable);
        }
        if cx.shared.is_stopping {
            return;
        }
        self.ask_peer(cx);
        let is_due = |ahead: &Ahead| cx.now.since(ahead.since) >= self.read_grace;
        let is_due = self.ahead.as_ref().is_some_and(is_due);
        if !cx.shared.is_synced {
            if is_due {
                self.ask_ahead(cx);
            }
            return;
        }
        let action = if !is_due {
            let shared = &cx.shared;
            self.relay.poll(cx.now, &shared.identity, &shared.view)
        } else if self.relay.is_following() {
            self.relay.fail(cx.now, "other nodes have newer orders")
        } else {
            self.catch_up(cx);
            RelayAction::Nothing
        };
        self.execute(cx, action);
        let is_monitor = self.relay.is_monitor() || cx.shared.is_confirmation_old;
        if self.is_monitor != is_monitor {
            self.is_monitor = is_monitor;
            cx.act(Action::MonitorOrders(self.is_monitor));
        }
    }

    /// Executes an action of the relay.
    fn execute(&mut self, cx: &mut Context<'_>, action: RelayAction) {
        let from = cx.shared.orders.next();
        cx.shared.is_following = self.relay.is_following();
        match action {
            RelayAction::Nothing => {}
            RelayAction::Request(hosts) => {
                let request = Message::WantOrders {
                    from,
                    policy: policy_version(cx),
                    decisions: cx.shared.orders.decisions_hash(),
                };
                for host in hosts {
                    if let Some(reader) = cx.shared.view.get(&host).cloned() {
                        cx.send(&reader, vec![request.clone()]);
                    }
                }
            }
            RelayAction::Follow => {
                cx.log_event(
                    LogEvent::OrdersSource,
                    "peers",
                    "readers of the failure domain replied",
                );
                cx.act(Action::ReadOrders(OrderPolling::Paused));
            }
            RelayAction::Read(reason) => {
                cx.log_event(LogEvent::OrdersSource, "log", reason);
                cx.act(Action::ReadOrders(OrderPolling::From(from)));
            }
        }
    }

    /// Applies orders read from the log, and notifies followers and, after a failure, other peers.
    fn on_orders_read(&mut self, cx: &mut Context<'_>, batch: &OrderBatch) {
        self.relay.set_log_available(true);
        self.read_at = Some(cx.now);
        let before = cx.shared.orders.next();
        let has_changed = self.apply(cx, batch);
        let next = cx.shared.orders.next();
        if next <= before {
            return;
        }
        let local_host = cx.shared.identity.host.clone();
        let mut notified: Vec<Member> = Vec::new();
        if has_changed && batch.follows_failure {
            let live = cx
                .shared
                .view
                .live()
                .filter(|member| member.host != local_host);
            notified.extend(live.cloned().choose_multiple(cx.rng, NOTIFY_FANOUT));
        }
        for host in self.relay.followers(cx.now) {
            let is_notified = notified.iter().any(|member| member.host == *host);
            notified.extend(cx.shared.view.get(host).filter(|_| !is_notified).cloned());
        }
        for peer in notified {
            cx.send(&peer, vec![Message::OrdersRead { next }]);
        }
    }

    /// Applies orders and returns whether anything changed. The node is synced once it has a
    /// policy.
    fn apply(&mut self, cx: &mut Context<'_>, batch: &OrderBatch) -> bool {
        self.ahead = None;
        let out = cx.shared.orders.domains_out();
        let has_changed = cx.shared.orders.apply(batch, cx.now);
        log_domains_out(cx, &out);
        cx.shared.is_synced = cx.shared.orders.policy().is_some();
        log_ignored(cx, batch);
        if has_changed {
            cx.act(Action::RebuildTable);
        }
        has_changed
    }

    /// Handles one message of a peer.
    fn on_message(&mut self, cx: &mut Context<'_>, from: &Name, message: &Message) {
        match message {
            Message::WantOrders {
                from: next,
                policy,
                decisions,
            } => self.reply(cx, from, (*next, *policy), *decisions),
            Message::Orders {
                is_reader,
                excerpt,
                decisions,
            } => {
                apply_decisions(cx, decisions);
                if let Some(excerpt) = excerpt {
                    self.apply_excerpt(cx, from, excerpt);
                }
                let action = self.relay.on_reply(cx.now, from, *is_reader);
                self.execute(cx, action);
            }
            Message::OrdersRead { next }
                if *next > cx.shared.orders.next() && self.relay.is_source(from) =>
            {
                let action = self.relay.on_notification(cx.now, from);
                self.execute(cx, action);
            }
            Message::OrdersRead { next } if *next > cx.shared.orders.next() => {
                self.record_ahead(cx, from);
                if !self.relay.is_following() {
                    self.catch_up(cx);
                }
            }
            Message::Ping(digest) | Message::Ack(digest)
                if digest.next > cx.shared.orders.next() =>
            {
                self.record_ahead(cx, from);
            }
            _ => {}
        }
    }

    /// Replies to a node that requests orders from a position on, serves a version of the policy and
    /// has the decisions with this hash.
    fn reply(
        &mut self,
        cx: &mut Context<'_>,
        from: &Name,
        (next, policy): (Position, u64),
        decisions_hash: u64,
    ) {
        if cx.shared.view.get(from).is_some() {
            self.relay.record_follower(cx.now, from);
        }
        let is_behind = next < cx.shared.orders.next()
            || next == cx.shared.orders.next() && policy < policy_version(cx);
        let excerpt = is_behind
            .then(|| {
                Excerpt::new(&cx.shared.orders, (next, policy), |at, p| {
                    self.compress(at, p)
                })
            })
            .transpose();
        // A node whose policy is too large to send is of no use as a reader.
        let is_reader = self.relay.is_reader() && excerpt.is_ok();
        let orders = &cx.shared.orders;
        let has_other_decisions = orders.decisions_hash() != decisions_hash;
        let decisions = has_other_decisions.then(|| orders.decisions().to_vec());
        cx.act(Action::Reply(vec![Message::Orders {
            is_reader,
            excerpt: excerpt.ok().flatten().map(Box::new),
            decisions: decisions.unwrap_or_default(),
        }]));
    }

    /// Compressed policy, from the cache if it was compressed before.
    fn compress(
        &mut self,
        position: Position,
        policy: &Policy,
    ) -> Result<CompressedPolicy, TooLarge> {
        let cached = self
            .compressed
            .as_ref()
            .filter(|(cached_position, _)| *cached_position == position);
        let compressed = match cached {
            Some((_, compressed)) => compressed.clone(),
            None => CompressedPolicy::new(policy).ok(),
        };
        self.compressed = Some((position, compressed.clone()));
        compressed.ok_or(TooLarge)
    }

    /// Applies orders that a reader sent; malformed ones make the node read the log itself.
    fn apply_excerpt(&mut self, cx: &mut Context<'_>, from: &Name, excerpt: &Excerpt) {
        // An excerpt that ends where this node has read to has only a policy that the log lost.
        let is_newer = excerpt.next > cx.shared.orders.next();
        let has_policy = excerpt.next == cx.shared.orders.next() && excerpt.policy.is_some();
        if !is_newer && !has_policy {
            return;
        }
        match excerpt.to_batch() {
            Ok(batch) => {
                self.apply(cx, &batch);
            }
            Err(error) => {
                let detail = format!("orders sent by {from}: {error:#}");
                cx.log_event(LogEvent::ConfigRefused, excerpt.next, detail);
                let action = self.relay.fail(cx.now, "a reader sent malformed orders");
                self.execute(cx, action);
            }
        }
    }

    /// Records that a peer has newer orders. The node waits for its own read, or its readers, until the
    /// next tick after `read_grace`.
    fn record_ahead(&mut self, cx: &Context<'_>, host: &Name) {
        let known = self.ahead.as_ref();
        let since = known.map_or(cx.now, |ahead| ahead.since);
        let is_asked = known.is_some_and(|ahead| ahead.is_asked);
        self.ahead = Some(Ahead {
            host: host.clone(),
            since,
            is_asked,
        });
    }

    /// Asks the peer that has newer orders for them, once, when this node's own reads or readers should
    /// have brought them.
    fn ask_peer(&mut self, cx: &mut Context<'_>) {
        let (now, read_grace) = (cx.now, self.read_grace);
        if self.read_at.is_some_and(|at| now.since(at) < read_grace) {
            return;
        }
        let ask_grace = self.ask_grace;
        let is_due = |ahead: &&mut Ahead| !ahead.is_asked && now.since(ahead.since) >= ask_grace;
        let Some(ahead) = self.ahead.as_mut().filter(is_due) else {
            return;
        };
        ahead.is_asked = true;
        let host = ahead.host.clone();
        let next = cx.shared.orders.next();
        let detail = format!("asked for its orders, as this node has read up to {next}");
        cx.log_event(LogEvent::OrdersBehind, &host, detail);
        self.execute(cx, RelayAction::Request(vec![host]));
    }

    /// Reads the log anew and asks the peer that has newer orders for them, as the read may be slow
    /// again.
    fn catch_up(&mut self, cx: &mut Context<'_>) {
        let from = cx.shared.orders.next();
        cx.act(Action::ReadOrders(OrderPolling::From(from)));
        self.ask_ahead(cx);
    }

    /// Asks the peer that has newer orders for them.
    fn ask_ahead(&mut self, cx: &mut Context<'_>) {
        let Some(ahead) = &mut self.ahead else {
            return;
        };
        ahead.since = cx.now;
        let host = ahead.host.clone();
        let from = cx.shared.orders.next();
        cx.log_event(
            LogEvent::OrdersBehind,
            &host,
            format!("this node has read up to {from}"),
        );
        self.execute(cx, RelayAction::Request(vec![host]));
    }
}

/// Version of the policy in force; 0 if there is none.
fn policy_version(cx: &Context<'_>) -> u64 {
    let policy = cx.shared.orders.policy();
    policy.map_or(0, |policy| policy.version)
}

/// Logs the failure domains out of service if they are not the same as before.
fn log_domains_out(cx: &mut Context<'_>, before: &[Name]) {
    let out = cx.shared.orders.domains_out();
    if out != before {
        let detail = format!("read up to {}", cx.shared.orders.next());
        cx.log_event(LogEvent::DomainsOut, out.join(","), detail);
    }
}

/// Logs a policy of a batch that is not in force after the batch was applied.
fn log_ignored(cx: &mut Context<'_>, batch: &OrderBatch) {
    for Entry { position, order } in &batch.entries {
        let Order::Policy(policy) = order else {
            continue;
        };
        let held = cx.shared.orders.policy_order();
        let Some((held_at, held)) = held.filter(|(_, held)| held.version != policy.version) else {
            continue;
        };
        let detail = format!("at {position}; in force: {} from {held_at}", held.version);
        cx.log_event(LogEvent::OrdersIgnored, policy.version, detail);
    }
}

/// Applies published decisions on moves.
fn apply_decisions(cx: &mut Context<'_>, decisions: &[Decision]) {
    if cx.shared.orders.apply_decisions(decisions) {
        cx.act(Action::RebuildTable);
    }
}

/// Error of a policy that exceeds the size of a control message.
#[derive(Debug)]
struct TooLarge;
