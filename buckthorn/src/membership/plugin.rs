//! Membership as a plug-in of the kernel.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::Time;
use crate::counter::Counter;
use crate::journal::record::JOIN_STREAM;
use crate::kernel::{Action, Context, Event, Plugin, Registry};
use crate::log::AppendOutcome;
use crate::log_event::LogEvent;
use crate::name::Name;
use crate::rpc::message::{Digest, Message};

use super::exchange::charge;
use super::gossip::{DeltaKind, Queue};
use super::join::{AddressRecord, Directory, Joiner};
use super::member::Status;
use super::prober::{ProbeAction, Prober};
use super::report::Reporter;
use super::sync::Syncer;

/// Time in which a suspected member may refute.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which the dead are remembered.
pub const DEAD_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Time for which those that left are remembered.
pub const LEFT_RETENTION: Duration = Duration::from_secs(3_600);

/// Pause of this process after which it forgets what it held of others.
pub const MAX_PAUSE: Duration = Duration::from_secs(30 * 60);

/// Members that a view holds.
pub const MAX_MEMBERS: usize = 4_096;

/// How far ahead of this node's clock an incarnation may lie.
pub const MAX_SKEW: Duration = Duration::from_secs(24 * 3_600);

/// Sequence beyond which a new incarnation begins.
pub(super) const MAX_SEQUENCE: u64 = 1 << 40;

/// Shortest time between refutations.
pub(super) const REFUTE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between pushes of deltas.
const PUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Bound of the random delay between attempts to reach a dead member.
const RETRY_INTERVAL: Duration = Duration::from_secs(20);

/// Shortest time between requests for records that a peer has and this node lacks.
pub(super) const PULL_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest time between accusations sent to peers that hold others.
pub(super) const ACCUSE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks for expired entries.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// Adds the plug-in.
pub fn register(registry: &mut Registry) {
    registry.add(Membership::default());
    registry.add(Reporter::default());
}

/// Registers membership that joins through seeds alone, which someone else keeps up to date.
pub fn register_seeded(registry: &mut Registry) {
    registry.add(Membership {
        is_seeded: true,
        ..Membership::default()
    });
}

/// Membership of one node.
#[derive(Debug, Default)]
pub struct Membership {
    /// Attempts to join.
    pub(super) joiner: Joiner,
    /// Whether addresses to join through come as seeds alone, not from the log.
    pub(super) is_seeded: bool,
    /// Addresses in the log.
    pub(super) directory: Directory,
    /// Probes.
    pub(super) prober: Prober,
    /// Deltas to be told.
    pub(super) queue: Queue,
    /// Comparison of views.
    pub(super) syncer: Syncer,
    /// Highest claim about this node that has to be refuted.
    pub(super) claim: Option<(u64, u64)>,
    /// Hosts whose facts are to be asked for.
    pub(super) lacking: Vec<Name>,
    /// Whether a peer holds an older word of this node than its last.
    pub(super) is_outdated: bool,
    /// When this node last refuted.
    pub(super) refuted: Time,
    /// When the view last changed.
    pub(super) changed: Time,
    /// Whether the change concerns routing.
    pub(super) is_routing_stale: bool,
    /// Last tick.
    pub(super) ticked: Time,
    /// When deltas are pushed next.
    pub(super) push_at: Time,
    /// When a dead member is tried next.
    pub(super) retry_at: Time,
    /// When records were last asked for.
    pub(super) pulled: Time,
    /// When expiry was last checked.
    pub(super) expired: Time,
    /// When accusations were last sent to a peer that holds others.
    pub(super) accused: Time,
}

impl Plugin for Membership {
    fn name(&self) -> &'static str {
        "membership"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::Received { from, messages } => self.receive(cx, from, messages),
            Event::Replied { from, messages } => self.answered(cx, from, messages),
            Event::Unreachable { host, .. } => self.prober.failed(host, cx.now),
            Event::Announced(backend_server) => self.announce(cx, backend_server.clone()),
            Event::Shutdown => self.leave(cx),
            Event::Seeds(seeds) => cx.shared.identity.seeds.clone_from(seeds),
            Event::LogRead { stream, batch } if *stream == JOIN_STREAM => {
                self.directory.read(batch, cx.now, cx.rng);
            }
            Event::Appended { id, result } if !matches!(result, AppendOutcome::Done { .. }) => {
                self.directory.not_appended(id, cx.now, cx.rng);
            }
            Event::LogReadFailed { stream } if *stream == JOIN_STREAM => {
                self.directory.failed(cx.now, cx.rng);
            }
            _ => {}
        }
        if std::mem::take(&mut self.is_routing_stale) {
            cx.act(Action::RebuildTable);
        }
    }
}

impl Membership {
    /// Does what is due.
    pub(super) fn tick(&mut self, cx: &mut Context<'_>) {
        let pause = cx.now.since(self.ticked);
        if self.ticked != Time::default() && pause > MAX_PAUSE {
            self.forget_others(cx);
        }
        self.ticked = cx.now;
        if cx.shared.member.status == Status::Left {
            return;
        }
        if !self.is_seeded {
            self.consult_log(cx);
        }
        self.join(cx);
        self.refute(cx);
        let polled = self
            .prober
            .poll(&cx.shared.view, &cx.shared.member, cx.now, cx.rng);
        for next in polled {
            self.follow(cx, next);
        }
        self.bury(cx);
        self.expire(cx);
        self.retry_dead(cx);
        self.push(cx);
    }

    /// Reads addresses from the log when they may be needed, and appends the own one.
    pub(super) fn consult_log(&mut self, cx: &mut Context<'_>) {
        let identity = &cx.shared.identity;
        let is_reader =
            || super::readers(&cx.shared.view, &identity.failure_domain).contains(&identity.host);
        if (!self.joiner.is_joined() || is_reader())
            && let Some(from) = self.directory.poll_read(cx.now)
        {
            cx.act(Action::Read {
                stream: JOIN_STREAM,
                from,
                wait: Duration::ZERO,
            });
        }
        let identity = &cx.shared.identity;
        if let Some(id) = self.directory.poll_append(&identity.host, cx.now, cx.rng) {
            let address = AddressRecord {
                host: identity.host.clone(),
                rpc: identity.rpc,
                failure_domain: identity.failure_domain.clone(),
            };
            let payload = serde_json::to_string(&address).expect("addresses encode as JSON");
            cx.act(Action::Append {
                stream: JOIN_STREAM,
                id,
                payload,
            });
        }
    }

    /// Joins through a seed: at the start, when no peer is live, and now and then through one that
    /// is not known, so that groups that were started apart find each other.
    pub(super) fn join(&mut self, cx: &mut Context<'_>) {
        let shared = &*cx.shared;
        if shared.view.live().nth(1).is_none() {
            self.joiner.lost();
        }
        if !self.joiner.is_due(cx.now) {
            return;
        }
        let is_live = |address: &SocketAddr| shared.view.live().any(|m| m.rpc == *address);
        let seeds: Vec<SocketAddr> = shared
            .identity
            .seeds
            .iter()
            .chain(self.directory.addresses())
            .copied()
            .filter(|address| !is_live(address))
            .collect();
        let Some(address) = self.joiner.draw(cx.now, &seeds, cx.rng) else {
            return;
        };
        let messages = vec![Message::Join(cx.shared.member.clone())];
        send_to(cx, address, messages);
    }

    /// Does what the prober asks for.
    pub(super) fn follow(&mut self, cx: &mut Context<'_>, next: ProbeAction) {
        match next {
            ProbeAction::Ping(host) => self.ping(cx, &host),
            ProbeAction::Ask { host, helpers } => {
                for helper in helpers {
                    let message = Message::PingRequest { host: host.clone() };
                    send(cx, &helper, vec![message]);
                }
            }
            ProbeAction::Suspect(host) => {
                cx.shared.counters.increment(Counter::ProbesFailed);
                if cx
                    .shared
                    .view
                    .set_status(&host, Status::Suspect, cx.now)
                    .is_some()
                {
                    cx.shared.counters.increment(Counter::Suspicions);
                    cx.log_event(
                        LogEvent::MemberChanged,
                        &host,
                        "suspected, no answer to probes",
                    );
                    self.changed = cx.now;
                    self.queue.push(&host, DeltaKind::Suspicion);
                }
            }
            ProbeAction::SuspectDomain(failure_domain) => self.suspect_domain(cx, &failure_domain),
            ProbeAction::Report { to, host, is_alive } => {
                send(cx, &to, vec![Message::PingResult { host, is_alive }]);
            }
        }
    }

    /// Suspects every member of a failure domain from which nothing is heard.
    pub(super) fn suspect_domain(&mut self, cx: &mut Context<'_>, failure_domain: &str) {
        let hosts: Vec<Name> = cx
            .shared
            .view
            .members()
            .filter(|m| m.status == Status::Alive && *m.failure_domain == *failure_domain)
            .map(|m| m.host.clone())
            .collect();
        for host in hosts {
            cx.shared.view.set_status(&host, Status::Suspect, cx.now);
            cx.shared.counters.increment(Counter::Suspicions);
            self.changed = cx.now;
            self.queue.push_quietly(&host);
        }
    }

    /// Sends a ping with deltas, and with what is held against its receiver.
    pub(super) fn ping(&mut self, cx: &mut Context<'_>, host: &Name) {
        let mut messages = vec![Message::Ping(digest(cx))];
        messages.extend(charge(&cx.shared.view, host));
        messages.extend(self.queue.piggyback(&cx.shared.view));
        send(cx, host, messages);
    }

    /// Turns suspicions that were not refuted into deaths.
    pub(super) fn bury(&mut self, cx: &mut Context<'_>) {
        let dead: Vec<Name> = cx
            .shared
            .view
            .entries()
            .iter()
            .filter(|entry| entry.member.status == Status::Suspect)
            .filter(|entry| cx.now.since(entry.changed) >= SUSPICION_TIMEOUT)
            .map(|entry| entry.member.host.clone())
            .collect();
        for host in dead {
            cx.shared.view.set_status(&host, Status::Dead, cx.now);
            cx.log_event(LogEvent::MemberChanged, &host, "dead after suspicion");
            self.changed = cx.now;
            self.is_routing_stale = true;
        }
    }

    /// Forgets the dead and those that left after their retention.
    pub(super) fn expire(&mut self, cx: &mut Context<'_>) {
        if cx.now.since(self.expired) < EXPIRE_INTERVAL {
            return;
        }
        self.expired = cx.now;
        let now = cx.now;
        let dropped = cx.shared.view.retain(|entry| {
            let age = now.since(entry.changed);
            match entry.member.status {
                Status::Alive | Status::Suspect => true,
                Status::Dead => age < DEAD_RETENTION,
                Status::Left => age < LEFT_RETENTION,
            }
        });
        cx.shared
            .counters
            .add(Counter::MembersExpired, dropped.len() as u64);
    }

    /// Forgets all other members after a pause in which the others may have forgotten deaths.
    pub(super) fn forget_others(&mut self, cx: &mut Context<'_>) {
        let own = cx.shared.member.host.clone();
        let dropped = cx.shared.view.retain(|entry| entry.member.host == own);
        cx.shared
            .counters
            .add(Counter::MembersExpired, dropped.len() as u64);
        self.queue = Queue::default();
        self.prober = Prober::default();
        self.is_routing_stale = true;
    }

    /// Tries a dead member now and then, so that both sides of a healed cut meet.
    pub(super) fn retry_dead(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.retry_at {
            return;
        }
        self.retry_at = cx.now + RETRY_INTERVAL.mul_f64(cx.rng.random_range(0.0..1.0));
        let dead = cx
            .shared
            .view
            .members()
            .filter(|member| member.status == Status::Dead)
            .choose(cx.rng);
        if let Some(host) = dead.map(|member| member.host.clone()) {
            self.ping(cx, &host);
        }
    }

    /// Pushes deltas to a member near and one far, so that no failure domain waits for a probe.
    pub(super) fn push(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.push_at || self.queue.is_empty() {
            return;
        }
        self.push_at = cx.now + PUSH_INTERVAL;
        for is_near in [true, false] {
            let Some(host) = push_target(cx, is_near) else {
                return;
            };
            let Some(messages) = self.queue.push_out(&cx.shared.view, cx.now) else {
                return;
            };
            send(cx, &host, messages);
        }
    }
}

/// Member that a push goes to: in the own failure domain or outside, or any other for want of one.
pub(super) fn push_target(cx: &mut Context<'_>, is_near: bool) -> Option<Name> {
    let own = &cx.shared.member;
    let others = || {
        cx.shared
            .view
            .live()
            .filter(|member| member.host != own.host)
    };
    others()
        .filter(|member| (member.failure_domain == own.failure_domain) == is_near)
        .choose(cx.rng)
        .or_else(|| others().choose(cx.rng))
        .map(|member| member.host.clone())
}

/// How far this node's fold and view are.
pub(super) fn digest(cx: &Context<'_>) -> Digest {
    Digest {
        // One of the two stays zero: orders come from the log or from a topic of their own.
        next: cx.shared.tail.state().next.max(cx.shared.orders.next()),
        view: cx.shared.view.digest(),
        quarantine: cx.shared.quarantine.digest(),
        is_synced: cx.shared.is_synced,
    }
}

/// Sends messages to a known member.
pub(super) fn send(cx: &mut Context<'_>, host: &str, messages: Vec<Message>) {
    let Some(member) = cx.shared.view.get(host) else {
        return;
    };
    let (host, address) = (member.host.clone(), member.rpc);
    cx.act(Action::Send {
        host,
        address,
        messages,
    });
}

/// Sends messages to an address whose host is not known.
pub(super) fn send_to(cx: &mut Context<'_>, address: SocketAddr, messages: Vec<Message>) {
    cx.act(Action::Send {
        host: Name::from(""),
        address,
        messages,
    });
}
