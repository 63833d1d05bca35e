//! Membership plug-in of the kernel.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::Time;
use crate::config::position::Position;
use crate::counter::Counter;
use crate::journal::record::JOIN_STREAM;
use crate::kernel::{Action, Context, Event, Plugin, Registry};
use crate::log::AppendOutcome;
use crate::log_event::LogEvent;
use crate::name::Name;
use crate::rpc::message::{Digest, Message};

use super::exchange::status_to_refute;
use super::gossip::{DeltaKind, Queue};
use super::join::{AddressRecord, Directory, Joiner};
use super::member::Status;
use super::prober::{ProbeAction, Prober};
use super::report::Reporter;
use super::sync::Syncer;

/// Time for which a member stays suspected before it is marked dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which dead members stay in the view.
pub const DEAD_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Time for which members that left stay in the view.
pub const LEFT_RETENTION: Duration = Duration::from_secs(3_600);

/// Pause of this process after which it drops all other members from its view.
pub const MAX_PAUSE: Duration = Duration::from_secs(30 * 60);

/// Maximum number of members in a view.
pub const MAX_MEMBERS: usize = 4_096;

/// Maximum time by which an incarnation or the time of an accusation may lie ahead of the local
/// clock.
pub const MAX_SKEW: Duration = Duration::from_secs(24 * 3_600);

/// Sequence from which a refutation starts a new incarnation.
pub(super) const MAX_SEQUENCE: u64 = 1 << 40;

/// Minimum interval between refutations.
pub(super) const REFUTE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between pushes of deltas.
const PUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Upper bound of the random delay between pings to dead members.
const RETRY_INTERVAL: Duration = Duration::from_secs(20);

/// Minimum interval between pulls of records that a peer has and this node lacks.
pub(super) const PULL_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum interval between sends of accusations to peers whose accusations differ.
pub(super) const ACCUSE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks for entries past their retention.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// Registers membership and its reporter.
pub fn register(registry: &mut Registry) {
    registry.add(Membership::default());
    registry.add(Reporter::default());
}

/// Registers membership that joins only through seeds, which [`Event::Seeds`] keeps up to date,
/// and neither reads nor writes addresses in the log.
pub fn register_seeded(registry: &mut Registry) {
    registry.add(Membership {
        is_seeded: true,
        ..Membership::default()
    });
}

/// Membership state of one node.
#[derive(Debug, Default)]
pub struct Membership {
    /// Schedule of join attempts.
    pub(super) joiner: Joiner,
    /// Whether addresses to join through come only from seeds, not from the log.
    pub(super) is_seeded: bool,
    /// Node addresses in the log.
    pub(super) directory: Directory,
    /// Failure detector.
    pub(super) prober: Prober,
    /// Deltas to gossip.
    pub(super) queue: Queue,
    /// Schedule of view comparisons.
    pub(super) syncer: Syncer,
    /// Incarnation and sequence of the highest claim about this node that has to be refuted.
    pub(super) claim: Option<(u64, u64)>,
    /// Hosts whose attributes have to be requested.
    pub(super) missing_attributes: Vec<Name>,
    /// Whether a peer holds an older entry of this node than the current one.
    pub(super) is_peer_outdated: bool,
    /// When this node last refuted.
    pub(super) refuted_at: Time,
    /// When the view last changed.
    pub(super) changed_at: Time,
    /// Whether the routing table has to be rebuilt.
    pub(super) is_routing_stale: bool,
    /// When the last tick was handled, zero before the first.
    pub(super) ticked_at: Time,
    /// When to push deltas next.
    pub(super) push_at: Time,
    /// When to ping a dead member next.
    pub(super) retry_at: Time,
    /// When records were last pulled.
    pub(super) pulled_at: Time,
    /// When entries were last checked for expiry.
    pub(super) expired_at: Time,
    /// When accusations were last sent to a peer whose accusations differ.
    pub(super) accused_at: Time,
}

impl Plugin for Membership {
    fn name(&self) -> &'static str {
        "membership"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::Received { from, messages } => self.handle_request(cx, from, messages),
            Event::Replied { from, messages } => self.handle_reply(cx, from, messages),
            Event::Unreachable { host, .. } => self.prober.on_unreachable(host, cx.now),
            Event::Announced(backend_server) => self.set_backend_server(cx, backend_server.clone()),
            Event::Departed(departure) => {
                if cx.shared.member.departure.as_ref() != Some(departure) {
                    cx.act(Action::StoreDeparture(departure.clone()));
                }
                self.set_departure(cx, departure);
            }
            Event::DepartureRead(Some(departure)) => self.recall(cx, departure),
            Event::Shutdown => self.leave(cx),
            Event::Seeds(seeds) => cx.shared.identity.seeds.clone_from(seeds),
            Event::LogRead { stream, batch } if *stream == JOIN_STREAM => {
                self.directory.on_read(batch, cx.now, cx.rng);
            }
            Event::Appended { id, result } if !matches!(result, AppendOutcome::Done { .. }) => {
                self.directory.on_append_failed(id, cx.now, cx.rng);
            }
            Event::LogReadFailed { stream } if *stream == JOIN_STREAM => {
                self.directory.on_read_failed(cx.now, cx.rng);
            }
            _ => {}
        }
        if std::mem::take(&mut self.is_routing_stale) {
            cx.act(Action::RebuildTable);
        }
    }
}

impl Membership {
    /// Runs all periodic work that is due.
    pub(super) fn tick(&mut self, cx: &mut Context<'_>) {
        let pause = cx.now.since(self.ticked_at);
        if self.ticked_at != Time::default() && pause > MAX_PAUSE {
            self.forget_others(cx);
        }
        self.ticked_at = cx.now;
        if cx.shared.member.status == Status::Left {
            return;
        }
        if !self.is_seeded {
            self.poll_directory(cx);
        }
        self.join(cx);
        self.refute(cx);
        let polled = self
            .prober
            .poll(&cx.shared.view, &cx.shared.member, cx.now, cx.rng);
        for action in polled {
            self.run_probe_action(cx, action);
        }
        self.mark_dead(cx);
        self.expire(cx);
        self.retry_dead(cx);
        self.push(cx);
    }

    /// Reads addresses from the log while this node is not joined or is a reader of its failure
    /// domain, and appends its own address from time to time.
    pub(super) fn poll_directory(&mut self, cx: &mut Context<'_>) {
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
            let payload = serde_json::to_string(&address).expect("addresses serialize to JSON");
            cx.act(Action::Append {
                stream: JOIN_STREAM,
                id,
                payload,
            });
        }
    }

    /// Joins through a seed at the start and when no peer is live. Also tries unknown addresses
    /// from time to time, so that groups that started separately merge.
    pub(super) fn join(&mut self, cx: &mut Context<'_>) {
        let shared = &*cx.shared;
        if shared.view.live().nth(1).is_none() {
            self.joiner.on_isolated();
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
        let Some(address) = self.joiner.next_seed(cx.now, &seeds, cx.rng) else {
            return;
        };
        let messages = vec![Message::Join(cx.shared.member.clone())];
        send_to_address(cx, address, messages);
    }

    /// Executes an action of the prober.
    pub(super) fn run_probe_action(&mut self, cx: &mut Context<'_>, action: ProbeAction) {
        match action {
            ProbeAction::Ping(host) => self.ping(cx, &host),
            ProbeAction::AskHelpers { host, helpers } => {
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
                        "suspected: no reply to probes",
                    );
                    self.changed_at = cx.now;
                    self.queue.push(&host, DeltaKind::Suspicion);
                }
            }
            ProbeAction::SuspectDomain(failure_domain) => self.suspect_domain(cx, &failure_domain),
            ProbeAction::Report { to, host, is_alive } => {
                send(cx, &to, vec![Message::PingResult { host, is_alive }]);
            }
        }
    }

    /// Suspects every alive member of a failure domain that has stopped answering probes.
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
            self.changed_at = cx.now;
            self.queue.push_piggyback_only(&host);
        }
    }

    /// Sends a ping with piggybacked deltas and with any suspicion about the receiver.
    pub(super) fn ping(&mut self, cx: &mut Context<'_>, host: &Name) {
        let mut messages = vec![Message::Ping(digest(cx))];
        messages.extend(status_to_refute(&cx.shared.view, host));
        messages.extend(self.queue.piggyback(&cx.shared.view));
        send(cx, host, messages);
    }

    /// Marks members dead whose suspicion was not refuted within [`SUSPICION_TIMEOUT`].
    pub(super) fn mark_dead(&mut self, cx: &mut Context<'_>) {
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
            cx.log_event(
                LogEvent::MemberChanged,
                &host,
                "dead: suspicion was not refuted",
            );
            self.changed_at = cx.now;
            self.is_routing_stale = true;
        }
    }

    /// Drops dead and left members after their retention.
    pub(super) fn expire(&mut self, cx: &mut Context<'_>) {
        if cx.now.since(self.expired_at) < EXPIRE_INTERVAL {
            return;
        }
        self.expired_at = cx.now;
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

    /// Drops all other members after a long pause: entries held from before it may be of members
    /// whose deaths the peers no longer remember.
    pub(super) fn forget_others(&mut self, cx: &mut Context<'_>) {
        let local = cx.shared.member.host.clone();
        let dropped = cx.shared.view.retain(|entry| entry.member.host == local);
        cx.shared
            .counters
            .add(Counter::MembersExpired, dropped.len() as u64);
        self.queue = Queue::default();
        self.prober = Prober::default();
        self.is_routing_stale = true;
    }

    /// Pings a dead member from time to time, so that both sides of a healed partition merge.
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

    /// Pushes deltas to one member of the local failure domain and one of another, so that no
    /// failure domain has to wait for a probe.
    pub(super) fn push(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.push_at || self.queue.is_empty() {
            return;
        }
        self.push_at = cx.now + PUSH_INTERVAL;
        for is_near in [true, false] {
            let Some(host) = push_target(cx, is_near) else {
                return;
            };
            let Some(messages) = self.queue.next_push(&cx.shared.view, cx.now) else {
                return;
            };
            send(cx, &host, messages);
        }
    }
}

/// Random target of a push: inside the local failure domain if `is_near`, outside it otherwise, or
/// any other member if there is none.
pub(super) fn push_target(cx: &mut Context<'_>, is_near: bool) -> Option<Name> {
    let local = &cx.shared.member;
    let others = || {
        cx.shared
            .view
            .live()
            .filter(|member| member.host != local.host)
    };
    others()
        .filter(|member| (member.failure_domain == local.failure_domain) == is_near)
        .choose(cx.rng)
        .or_else(|| others().choose(cx.rng))
        .map(|member| member.host.clone())
}

/// Digest of this node's fold, view and quarantine.
pub(super) fn digest(cx: &Context<'_>) -> Digest {
    Digest {
        // One of the two is always zero: orders come either from the log or from their own topic.
        next: Position::from(cx.shared.tail.state().next).max(cx.shared.orders.next()),
        view: cx.shared.view.digest(),
        quarantine: cx.shared.quarantine.digest(),
        blocklist: cx.shared.blocklist.digest(),
        is_synced: cx.shared.is_synced,
    }
}

/// Sends messages to a member of the view; does nothing if it is not known.
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
pub(super) fn send_to_address(cx: &mut Context<'_>, address: SocketAddr, messages: Vec<Message>) {
    cx.act(Action::Send {
        host: Name::from(""),
        address,
        messages,
    });
}
