//! Membership as a plug-in of the kernel.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::admin::announcement::{MAX_CONNECTIONS, MAX_SLOTS};
use crate::clock::Time;
use crate::counter::Counter;
use crate::journal::record::JOIN_STREAM;
use crate::kernel::{Action, Context, Event, Plugin, Registry};
use crate::name::Name;
use crate::platform::Append;
use crate::rpc::message::{Digest, Message, Verdict};

use super::gossip::{Kind, Queue};
use super::join::{self, Address, Directory, Joiner};
use super::member::{BackendServer, Member, Status};
use super::prober::{Next, Prober};
use super::report::Reporter;
use super::sync::{self, Syncer};
use super::view::{Merge, View};

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
const MAX_SEQUENCE: u64 = 1 << 40;

/// Shortest time between refutations.
const REFUTE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between pushes of deltas.
const PUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Members that one push goes to.
const PUSH_FANOUT: usize = 2;

/// Chance that a push stays in the own failure domain.
const PUSH_NEAR: f64 = 0.7;

/// Bound of the random delay between attempts to reach a dead member.
const RETRY_INTERVAL: Duration = Duration::from_secs(20);

/// Shortest time between requests for records that a peer has and this node lacks.
const PULL_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest time between accusations sent to peers that hold others.
const ACCUSE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks for expired entries.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// Adds the plug-in.
pub fn register(registry: &mut Registry) {
    registry.add(Membership::default());
    registry.add(Reporter::default());
}

/// Membership of one node.
#[derive(Debug, Default)]
pub struct Membership {
    /// Attempts to join.
    joiner: Joiner,
    /// Addresses in the log.
    directory: Directory,
    /// Probes.
    prober: Prober,
    /// Deltas to be told.
    queue: Queue,
    /// Comparison of views.
    syncer: Syncer,
    /// Highest claim about this node that has to be refuted.
    claim: Option<(u64, u64)>,
    /// Whether a peer holds an older word of this node than its last.
    is_outdated: bool,
    /// When this node last refuted.
    refuted: Time,
    /// When the view last changed.
    changed: Time,
    /// Whether the change concerns routing.
    is_routing_stale: bool,
    /// Last tick.
    ticked: Time,
    /// When deltas are pushed next.
    push_at: Time,
    /// When a dead member is tried next.
    retry_at: Time,
    /// When records were last asked for.
    pulled: Time,
    /// When expiry was last checked.
    expired: Time,
    /// When accusations were last sent to a peer that holds others.
    accused: Time,
}

impl Plugin for Membership {
    fn name(&self) -> &'static str {
        "membership"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::Received { from, messages } => self.receive(cx, from, messages),
            Event::Answered { from, messages } => self.answered(cx, from, messages),
            Event::Unreachable { host, .. } => self.prober.failed(host, cx.now),
            Event::Announced(backend_server) => self.announce(cx, backend_server.clone()),
            Event::Shutdown => self.leave(cx),
            Event::LogRead { stream, batch } if *stream == JOIN_STREAM => {
                self.directory.read(batch, cx.now, cx.rng);
            }
            Event::Appended { id, result } if !matches!(result, Append::Done { .. }) => {
                self.directory.not_appended(id, cx.now, cx.rng);
            }
            Event::LogFailed { stream } if *stream == JOIN_STREAM => {
                self.directory.failed(cx.now, cx.rng);
            }
            _ => {}
        }
        if std::mem::take(&mut self.is_routing_stale) {
            cx.act(Action::Rebuild);
        }
    }
}

impl Membership {
    /// Does what is due.
    fn tick(&mut self, cx: &mut Context<'_>) {
        let pause = cx.now.since(self.ticked);
        if self.ticked != Time::default() && pause > MAX_PAUSE {
            self.forget_others(cx);
        }
        self.ticked = cx.now;
        if cx.shared.member.status == Status::Left {
            return;
        }
        self.consult_log(cx);
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
    fn consult_log(&mut self, cx: &mut Context<'_>) {
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
            let address = Address {
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
    fn join(&mut self, cx: &mut Context<'_>) {
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
    fn follow(&mut self, cx: &mut Context<'_>, next: Next) {
        match next {
            Next::Ping(host) => self.ping(cx, &host),
            Next::Ask { host, helpers } => {
                for helper in helpers {
                    let message = Message::PingRequest { host: host.clone() };
                    send(cx, &helper, vec![message]);
                }
            }
            Next::Suspect(host) => {
                cx.shared.counters.hit(Counter::ProbesFailed);
                if cx
                    .shared
                    .view
                    .set_status(&host, Status::Suspect, cx.now)
                    .is_some()
                {
                    cx.shared.counters.hit(Counter::Suspicions);
                    self.changed = cx.now;
                    self.queue.push(&host, Kind::Suspicion);
                }
            }
            Next::Report { to, host, is_alive } => {
                send(cx, &to, vec![Message::PingResult { host, is_alive }]);
            }
        }
    }

    /// Sends a ping with deltas, and with what is held against its receiver.
    fn ping(&mut self, cx: &mut Context<'_>, host: &Name) {
        let mut messages = vec![Message::Ping(digest(cx))];
        messages.extend(charge(&cx.shared.view, host));
        messages.extend(self.queue.piggyback(&cx.shared.view));
        send(cx, host, messages);
    }

    /// Answers messages of a peer.
    fn receive(&mut self, cx: &mut Context<'_>, from: &Name, messages: &[Message]) {
        self.hear(cx, from);
        let mut reply = Vec::new();
        for message in messages {
            match message {
                Message::Ping(theirs) => {
                    reply.push(Message::Ack(digest(cx)));
                    reply.extend(charge(&cx.shared.view, from));
                    reply.extend(self.queue.piggyback(&cx.shared.view));
                    self.catch_up(cx, from, theirs);
                }
                Message::PingRequest { host } => {
                    if cx.shared.view.get(host).is_some()
                        && let Some(next) = self.prober.request(host, from, cx.now)
                    {
                        self.follow(cx, next);
                    }
                }
                Message::Buckets(theirs) => reply.extend(sync::compare(&cx.shared.view, theirs)),
                Message::Join(member) => {
                    self.absorb(cx, member);
                    reply.push(Message::Ack(digest(cx)));
                    reply.push(join::answer(&cx.shared.view, member));
                }
                _ => self.take(cx, message),
            }
        }
        if std::mem::take(&mut self.is_outdated) {
            reply.push(Message::Members(vec![cx.shared.member.clone()]));
        }
        if !reply.is_empty() {
            cx.act(Action::Reply(reply));
        }
    }

    /// Takes the answer of a peer.
    fn answered(&mut self, cx: &mut Context<'_>, from: &Name, messages: &[Message]) {
        self.hear(cx, from);
        let is_first = !self.joiner.is_joined();
        for message in messages {
            match message {
                Message::Ack(theirs) => self.catch_up(cx, from, theirs),
                Message::WantBuckets(wanted) => {
                    let messages = sync::send(&cx.shared.view, wanted);
                    if !messages.is_empty() {
                        send(cx, from, messages);
                    }
                }
                Message::Members(members) => {
                    self.syncer.note(members.len());
                    if is_first && *from != cx.shared.member.host {
                        self.joiner.joined();
                    }
                    self.take(cx, message);
                }
                _ => self.take(cx, message),
            }
        }
        if std::mem::take(&mut self.is_outdated) {
            let word = Message::Members(vec![cx.shared.member.clone()]);
            send(cx, from, vec![word]);
        }
        if is_first && self.joiner.is_joined() {
            let buckets = self.syncer.begin(&cx.shared.view, cx.now);
            send(cx, from, vec![buckets]);
        }
    }

    /// Takes a message that is the same in a request and in an answer.
    fn take(&mut self, cx: &mut Context<'_>, message: &Message) {
        match message {
            Message::Members(members) if members.len() > sync::MAX_MEMBERS => {
                cx.shared.counters.hit(Counter::MessagesRefused);
            }
            Message::Members(members) => {
                for member in members {
                    self.absorb(cx, member);
                }
            }
            Message::Verdicts(verdicts) => {
                for verdict in verdicts {
                    self.judge(cx, verdict);
                }
            }
            Message::PingResult {
                host,
                is_alive: true,
            } => self.hear(cx, host),
            _ => {}
        }
    }

    /// Notes a sign of life.
    fn hear(&mut self, cx: &mut Context<'_>, from: &Name) {
        for next in self.prober.heard(from) {
            self.follow(cx, next);
        }
    }

    /// Acts on a peer's digest.
    fn catch_up(&mut self, cx: &mut Context<'_>, from: &Name, theirs: &Digest) {
        if theirs.next > cx.shared.tail.state().next && cx.now.since(self.pulled) >= PULL_INTERVAL {
            self.pulled = cx.now;
            let from_offset = cx.shared.tail.state().next;
            send(cx, from, vec![Message::Pull { from: from_offset }]);
        }
        if theirs.view == cx.shared.view.digest() {
            self.queue.credit(&cx.shared.view);
        } else if self.syncer.is_due(cx.now, self.changed) {
            let buckets = self.syncer.begin(&cx.shared.view, cx.now);
            send(cx, from, vec![buckets]);
        }
        let is_accusing = theirs.quarantine != cx.shared.quarantine.digest()
            && !cx.shared.quarantine.entries().is_empty()
            && cx.now.since(self.accused) >= ACCUSE_INTERVAL;
        if is_accusing {
            self.accused = cx.now;
            let entries = cx.shared.quarantine.entries().to_vec();
            send(cx, from, vec![Message::Accusations(entries)]);
        }
    }

    /// Merges what a peer says of a member.
    fn absorb(&mut self, cx: &mut Context<'_>, member: &Member) {
        if member.host == cx.shared.member.host {
            self.defend(cx, member.rank());
            return;
        }
        if !is_plausible(member, cx.now) {
            cx.shared.counters.hit(Counter::MessagesRefused);
            return;
        }
        let mut member = member.clone();
        let held = cx.shared.view.get(&member.host);
        let kind = match held {
            None if !member.is_usable() => return,
            None if cx.shared.view.len() >= MAX_MEMBERS => {
                cx.shared.counters.hit(Counter::MessagesRefused);
                return;
            }
            None => Kind::Member,
            Some(held) if member.rank() <= held.rank() => return,
            Some(held) => {
                if held.is_usable() && member.status == Status::Dead {
                    member.status = Status::Suspect;
                }
                if held.facts() == member.facts() {
                    Kind::Verdict
                } else {
                    Kind::Member
                }
            }
        };
        self.is_routing_stale |=
            kind == Kind::Member || held.is_some_and(|held| held.is_usable() != member.is_usable());
        if cx.shared.view.merge(&member, cx.now) == Merge::Changed {
            self.changed = cx.now;
            let is_suspicion = kind == Kind::Verdict && member.status == Status::Suspect;
            let kind = if is_suspicion { Kind::Suspicion } else { kind };
            self.queue.push(&member.host, kind);
        }
    }

    /// Merges a verdict; one on facts that are not held waits for a comparison of views.
    fn judge(&mut self, cx: &mut Context<'_>, verdict: &Verdict) {
        if verdict.host == cx.shared.member.host {
            let rank = (verdict.incarnation, verdict.sequence, verdict.status);
            self.defend(cx, rank);
            return;
        }
        let Some(held) = cx.shared.view.get(&verdict.host) else {
            return;
        };
        if held.facts() != verdict.facts {
            return;
        }
        let mut member = held.clone();
        member.incarnation = verdict.incarnation;
        member.sequence = verdict.sequence;
        member.status = verdict.status;
        self.absorb(cx, &member);
    }

    /// Notes a claim about this node that is not its own.
    fn defend(&mut self, cx: &Context<'_>, claim: (u64, u64, Status)) {
        let member = &cx.shared.member;
        if claim < member.rank() {
            self.is_outdated = true;
            return;
        }
        if claim == member.rank() || member.status == Status::Left {
            return;
        }
        if claim.0 > (cx.now + MAX_SKEW).0 {
            cx.shared.counters.hit(Counter::MessagesRefused);
            return;
        }
        self.claim = self.claim.max(Some((claim.0, claim.1)));
    }

    /// Refutes claims by a higher rank, at a bounded rate.
    fn refute(&mut self, cx: &mut Context<'_>) {
        if cx.now.since(self.refuted) < REFUTE_INTERVAL {
            return;
        }
        let Some((incarnation, sequence)) = self.claim.take() else {
            return;
        };
        self.refuted = cx.now;
        let member = &mut cx.shared.member;
        if incarnation > member.incarnation || sequence >= MAX_SEQUENCE {
            // The host ran before under a clock that was ahead, or another process claims it.
            member.incarnation = incarnation.max(member.incarnation) + 1;
            member.sequence = 0;
        } else {
            member.sequence = member.sequence.max(sequence);
        }
        cx.shared.counters.hit(Counter::Refutations);
        self.restate(cx, Kind::Verdict);
    }

    /// Takes over what the own backend server announced.
    fn announce(&mut self, cx: &mut Context<'_>, backend_server: Option<BackendServer>) {
        if cx.shared.member.backend_server == backend_server {
            return;
        }
        cx.shared.member.backend_server = backend_server;
        self.restate(cx, Kind::Member);
        self.push_at = cx.now;
        self.push(cx);
    }

    /// Leaves by own word and tells peers at once.
    fn leave(&mut self, cx: &mut Context<'_>) {
        if cx.shared.member.status == Status::Left {
            return;
        }
        cx.shared.is_stopping = true;
        cx.shared.member.status = Status::Left;
        self.restate(cx, Kind::Verdict);
        for _ in 0..3 {
            self.push_at = cx.now;
            self.push(cx);
        }
    }

    /// Raises the own sequence and spreads the own entry.
    fn restate(&mut self, cx: &mut Context<'_>, kind: Kind) {
        cx.shared.member.sequence += 1;
        let merged = cx.shared.view.merge(&cx.shared.member, cx.now);
        assert!(
            merged == Merge::Changed,
            "invariant: a node's own word outranks what is held of it"
        );
        self.changed = cx.now;
        self.is_routing_stale |= kind == Kind::Member;
        self.queue.push(&cx.shared.member.host, kind);
    }

    /// Turns suspicions that were not refuted into deaths.
    fn bury(&mut self, cx: &mut Context<'_>) {
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
            self.changed = cx.now;
            self.is_routing_stale = true;
        }
    }

    /// Forgets the dead and those that left after their retention.
    fn expire(&mut self, cx: &mut Context<'_>) {
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
    fn forget_others(&mut self, cx: &mut Context<'_>) {
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
    fn retry_dead(&mut self, cx: &mut Context<'_>) {
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

    /// Pushes deltas to a few members.
    fn push(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.push_at || self.queue.is_empty() {
            return;
        }
        self.push_at = cx.now + PUSH_INTERVAL;
        for _ in 0..PUSH_FANOUT {
            let Some(host) = push_target(cx) else {
                return;
            };
            let Some(messages) = self.queue.push_out(&cx.shared.view, cx.now) else {
                return;
            };
            send(cx, &host, messages);
        }
    }
}

/// Member that a push goes to.
fn push_target(cx: &mut Context<'_>) -> Option<Name> {
    let is_near = cx.rng.random_bool(PUSH_NEAR);
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

/// What is held against a member that is not taken for alive, so that it can refute.
fn charge(view: &View, host: &str) -> Option<Message> {
    let member = view.get(host)?;
    (member.status != Status::Alive).then(|| Message::Verdicts(vec![member.verdict()]))
}

/// How far this node's fold and view are.
fn digest(cx: &Context<'_>) -> Digest {
    Digest {
        next: cx.shared.tail.state().next,
        view: cx.shared.view.digest(),
        quarantine: cx.shared.quarantine.digest(),
        is_synced: cx.shared.is_synced,
    }
}

/// Whether an entry may be true.
fn is_plausible(member: &Member, now: Time) -> bool {
    const MAX_NAME_BYTES: usize = crate::journal::fold::MAX_NAME_BYTES;
    let names = [&member.host, &member.region, &member.failure_domain];
    member.incarnation <= (now + MAX_SKEW).0
        && names
            .iter()
            .all(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES)
        && member.backend_server.as_ref().is_none_or(|server| {
            server.service.len() <= MAX_NAME_BYTES
                && server.version.len() <= MAX_NAME_BYTES
                && server.slots <= MAX_SLOTS
                && server.connections <= MAX_CONNECTIONS
        })
}

/// Sends messages to a known member.
fn send(cx: &mut Context<'_>, host: &str, messages: Vec<Message>) {
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
fn send_to(cx: &mut Context<'_>, address: SocketAddr, messages: Vec<Message>) {
    cx.act(Action::Send {
        host: Name::from(""),
        address,
        messages,
    });
}
