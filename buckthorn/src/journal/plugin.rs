//! Plug-in that follows the log, spreads its records between nodes and keeps the lease.
//!
//! In each failure domain a few members read the log and push what is new to some peers; every
//! node pushes each record on once, and digests carried by probes repair what a push missed. A
//! node that is no reader still asks the log now and then, so that a domain whose readers have
//! lost the platform is not left behind.

use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::checkpoint;
use super::fold::{Outcome, State};
use super::lease::LeaseAction;
use super::record::{
    self, Body, CHECKPOINT_STREAM, CONFIG_STREAM, Claim, DomainRegistration, LEASE_STREAM, Record,
    Renewal,
};
use super::tail::{InstallOutcome, PullReply};
use crate::clock::Time;
use crate::counter::Counter;
use crate::kernel::{Action, Context, Event, LATEST, Plugin, Registry};
use crate::log::{AppendOutcome, Batch};
use crate::log_event::LogEvent;
use crate::membership;
use crate::membership::member::Member;
use crate::name::{self, Name};
use crate::rpc::message::Message;

/// Peers of the own failure domain to which a node pushes a new record.
const PUSH_NEAR: usize = 3;

/// Peers of other failure domains to which a node pushes a new record.
const PUSH_FAR: usize = 1;

/// Longest wait of a reader's long poll.
const LONG_POLL: Duration = Duration::from_secs(5);

/// Mean interval at which a node that is no reader asks the log.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(20);

/// First step of the back-off after a failed read.
const BACKOFF_BASE: Duration = Duration::from_millis(200);

/// Longest back-off after a failed read.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Interval between attempts to make the own failure domain known.
const DOMAIN_INTERVAL: Duration = Duration::from_secs(5);

/// Whole states sent to peers in one second, so that a herd of restarts is spread.
const MAX_SNAPSHOTS_PER_SECOND: u32 = 8;

/// Adds the plug-in.
pub fn register(registry: &mut Registry) {
    registry.add(Journal::new());
}

/// Follows the log and spreads its records.
#[derive(Debug, Default)]
pub struct Journal {
    /// Reads of the configuration stream.
    config: Cursor,
    /// Reads of the lease stream.
    lease: Cursor,
    /// Next offset of the lease stream.
    lease_next: u64,
    /// Reads of the checkpoint stream.
    checkpoint: Cursor,
    /// Where the checkpoint stream is read when a gap has to be closed.
    search: Search,
    /// When the last checkpoint was appended, and the state's next offset then.
    checkpointed: Option<(Time, u64)>,
    /// When this node last asked to make its failure domain known.
    domain_asked: Option<Time>,
    /// Whether this node was a reader at the last tick.
    was_reader: bool,
    /// Whether this node held the lease at the last tick.
    was_holder: bool,
    /// Second in which snapshots were last sent, and how many.
    snapshots: (u64, u32),
    /// Whether a pull of the envelope in hand was answered; one envelope has one.
    is_pull_answered: bool,
}

/// Reads of one stream.
#[derive(Debug, Default)]
struct Cursor {
    /// Whether a read is under way.
    is_reading: bool,
    /// Earliest time of the next read.
    due: Time,
    /// Failed reads in a row.
    failures: u32,
}

/// Search for a checkpoint after a gap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Search {
    /// No gap is known.
    #[default]
    Idle,
    /// Read the stream from this offset.
    From(u64),
}

impl Cursor {
    /// Whether a read may start.
    fn is_free(&self, now: Time) -> bool {
        !self.is_reading && now >= self.due
    }

    /// Notes a read that returned.
    fn succeed(&mut self) {
        self.is_reading = false;
        self.failures = 0;
    }

    /// Notes a failed read and backs off with full jitter.
    fn fail(&mut self, now: Time, jitter: f64) {
        self.is_reading = false;
        self.failures = (self.failures + 1).min(16);
        let ceiling = (BACKOFF_BASE * 2u32.pow(self.failures)).min(BACKOFF_MAX);
        self.due = now + ceiling.mul_f64(jitter);
    }
}

impl Plugin for Journal {
    fn name(&self) -> &'static str {
        "journal"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::LogRead { stream, batch } => self.log_read(cx, stream, batch),
            Event::LogReadFailed { stream } => self.log_failed(cx, stream),
            Event::Received { from, messages } | Event::Replied { from, messages } => {
                self.is_pull_answered = false;
                for message in messages {
                    self.receive(cx, from, message);
                }
            }
            Event::Shutdown => cx.shared.is_stopping = true,
            Event::Appended { result, .. } if !matches!(result, AppendOutcome::Done { .. }) => {
                cx.shared.counters.increment(Counter::LogAppendFailures);
            }
            _ => {}
        }
    }
}

impl Journal {
    /// Journal that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts what is due.
    fn tick(&mut self, cx: &mut Context<'_>) {
        let is_reader = self.note_reader(cx);
        self.read_config(cx, is_reader);
        self.read_checkpoint(cx);
        if is_reader && !cx.shared.is_stopping {
            self.read_lease(cx);
            self.keep_lease(cx);
            self.make_domain_known(cx);
        }
        self.append_checkpoint(cx);
    }

    /// Whether this node reads the log for its failure domain; counts a takeover.
    fn note_reader(&mut self, cx: &mut Context<'_>) -> bool {
        let identity = &cx.shared.identity;
        let is_reader =
            membership::readers(&cx.shared.view, &identity.failure_domain).contains(&identity.host);
        if is_reader && !self.was_reader {
            cx.shared.counters.increment(Counter::LogTakeovers);
            self.config.due = cx.now;
        }
        self.was_reader = is_reader;
        is_reader
    }

    /// Reads the configuration stream when it is due.
    fn read_config(&mut self, cx: &mut Context<'_>, is_reader: bool) {
        if !self.config.is_free(cx.now) || self.search != Search::Idle {
            return;
        }
        self.config.is_reading = true;
        let from = cx.shared.tail.state().next;
        let wait = if is_reader { LONG_POLL } else { Duration::ZERO };
        cx.act(Action::Read {
            stream: CONFIG_STREAM,
            from,
            wait,
        });
    }

    /// Reads the lease stream when it is due.
    fn read_lease(&mut self, cx: &mut Context<'_>) {
        if !self.lease.is_free(cx.now) {
            return;
        }
        self.lease.is_reading = true;
        cx.act(Action::Read {
            stream: LEASE_STREAM,
            from: self.lease_next,
            wait: LONG_POLL,
        });
    }

    /// Reads the checkpoint stream while a gap has to be closed.
    fn read_checkpoint(&mut self, cx: &mut Context<'_>) {
        let Search::From(from) = self.search else {
            return;
        };
        if !self.checkpoint.is_free(cx.now) {
            return;
        }
        self.checkpoint.is_reading = true;
        cx.act(Action::Read {
            stream: CHECKPOINT_STREAM,
            from,
            wait: Duration::ZERO,
        });
    }

    /// Takes what a read returned.
    fn log_read(&mut self, cx: &mut Context<'_>, stream: &str, batch: &Batch) {
        match stream {
            CONFIG_STREAM => self.config_read(cx, batch),
            LEASE_STREAM => self.lease_read(cx, batch),
            CHECKPOINT_STREAM => self.checkpoint_read(cx, batch),
            _ => {}
        }
    }

    /// Takes configuration records from the log.
    fn config_read(&mut self, cx: &mut Context<'_>, batch: &Batch) {
        self.config.succeed();
        let next = cx.shared.tail.state().next;
        if batch.earliest > next {
            // The records in between were trimmed: only a checkpoint or a peer can close the gap.
            self.search = Search::From(LATEST);
            return;
        }
        self.ingest(cx, &batch.records);
        let has_more = cx.shared.tail.state().next < batch.next;
        if !has_more {
            sync(cx);
        }
        if !self.was_reader && !has_more {
            let spread = cx.rng.random_range(0.5..1.5);
            self.config.due = cx.now + FALLBACK_INTERVAL.mul_f64(spread);
        }
    }

    /// Takes renewals from the log.
    fn lease_read(&mut self, cx: &mut Context<'_>, batch: &Batch) {
        self.lease.succeed();
        self.lease_next = batch.next.max(self.lease_next);
        let renewals = batch
            .records
            .iter()
            .filter_map(|r| serde_json::from_str(&r.payload).ok());
        for renewal in renewals {
            let renewal: Renewal = renewal;
            cx.shared.lease_manager.on_renewal(&renewal, cx.now);
        }
    }

    /// Takes a checkpoint from the log, or asks for the last one.
    fn checkpoint_read(&mut self, cx: &mut Context<'_>, batch: &Batch) {
        self.checkpoint.succeed();
        if cx.shared.tail.resume_from_checkpoint(&batch.records) {
            cx.shared.counters.increment(Counter::SnapshotsInstalled);
            self.search = Search::Idle;
            cx.act(Action::RebuildTable);
            return;
        }
        if !batch.records.is_empty() {
            cx.shared.counters.increment(Counter::SnapshotsRefused);
            // The newest checkpoint is no further on than this node: try the records again.
            self.search = Search::Idle;
            self.config.fail(cx.now, cx.rng.random());
            return;
        }
        match batch.next.checked_sub(1) {
            Some(last) if last >= batch.earliest => self.search = Search::From(last),
            _ => {
                self.search = Search::Idle;
                self.config.fail(cx.now, cx.rng.random());
            }
        }
    }

    /// Takes a failed read.
    fn log_failed(&mut self, cx: &mut Context<'_>, stream: &str) {
        cx.shared.counters.increment(Counter::LogReadFailures);
        let cursor = match stream {
            CONFIG_STREAM => &mut self.config,
            LEASE_STREAM => &mut self.lease,
            CHECKPOINT_STREAM => &mut self.checkpoint,
            _ => return,
        };
        cursor.fail(cx.now, cx.rng.random());
    }

    /// Takes a message from a peer.
    fn receive(&mut self, cx: &mut Context<'_>, from: &Name, message: &Message) {
        match message {
            Message::Records(records) if self.ingest(cx, records) == Ingest::Gap => {
                let pull = Message::Pull {
                    from: cx.shared.tail.state().next,
                };
                send_to(cx, from, vec![pull]);
            }
            Message::Ping(digest) | Message::Ack(digest)
                if digest.is_synced && digest.next <= cx.shared.tail.state().next =>
            {
                sync(cx);
            }
            Message::Pull { .. } if self.is_pull_answered => {
                cx.shared.counters.increment(Counter::MessagesRefused);
            }
            Message::Pull { from: offset } => {
                self.is_pull_answered = true;
                self.answer_pull(cx, *offset);
            }
            Message::Snapshot(state) => self.install(cx, from, state),
            _ => {}
        }
    }

    /// Answers a peer that lags behind.
    fn answer_pull(&mut self, cx: &mut Context<'_>, from: u64) {
        let reply = match cx.shared.tail.reply_to_pull(from) {
            PullReply::Nothing => return,
            PullReply::Records(records) => Message::Records(records),
            PullReply::Snapshot(state) if self.may_send_snapshot(cx.now) => {
                Message::Snapshot(state)
            }
            PullReply::Snapshot(_) => Message::Busy,
        };
        cx.act(Action::Reply(vec![reply]));
    }

    /// Whether another snapshot may be sent within this second.
    fn may_send_snapshot(&mut self, now: Time) -> bool {
        let second = now.as_millis() / 1_000;
        if self.snapshots.0 != second {
            self.snapshots = (second, 0);
        }
        self.snapshots.1 += 1;
        self.snapshots.1 <= MAX_SNAPSHOTS_PER_SECOND
    }

    /// Installs a peer's state when it is further on.
    fn install(&mut self, cx: &mut Context<'_>, from: &str, state: &State) {
        let result = cx.shared.tail.install(state.clone());
        if result != InstallOutcome::Done {
            cx.shared.counters.increment(Counter::SnapshotsRefused);
            if let InstallOutcome::Invalid(what) = result {
                let subject = format!("snapshot of {from}");
                cx.log_event(LogEvent::ConfigRefused, subject, what);
            }
            return;
        }
        cx.shared.counters.increment(Counter::SnapshotsInstalled);
        self.search = Search::Idle;
        sync(cx);
        cx.act(Action::RebuildTable);
    }

    /// Applies records and pushes on those that were new.
    fn ingest(&mut self, cx: &mut Context<'_>, records: &[Record]) -> Ingest {
        let mut fresh = Vec::new();
        let mut result = Ingest::Complete;
        let version = cx.shared.tail.state().version;
        for record in records {
            let next = cx.shared.tail.state().next;
            let outcome = cx.shared.tail.push(record);
            match &outcome {
                Outcome::Gap => {
                    result = Ingest::Gap;
                    break;
                }
                Outcome::Applied | Outcome::Accepted => {
                    cx.shared.counters.increment(Counter::RecordsApplied);
                }
                Outcome::Duplicate => cx.shared.counters.increment(Counter::RecordsDuplicate),
                Outcome::Refused(refusal) => {
                    cx.shared.counters.increment(Counter::RecordsRefused);
                    let subject = format!("record {}", record.offset);
                    cx.log_event(LogEvent::ConfigRefused, subject, refusal);
                }
            }
            if cx.shared.tail.state().next > next {
                fresh.push(record.clone());
            }
        }
        if !fresh.is_empty() {
            push_on(cx, fresh);
        }
        if cx.shared.tail.state().version != version {
            cx.act(Action::RebuildTable);
        }
        result
    }

    /// Claims or renews the controller lease.
    fn keep_lease(&mut self, cx: &mut Context<'_>) {
        let rank = candidate_rank(cx);
        let jitter = cx.rng.random();
        let shared = &mut *cx.shared;
        let lease = &shared.tail.state().lease;
        let is_holder = shared.lease_manager.is_holder(lease);
        if self.was_holder && !is_holder {
            shared.counters.increment(Counter::LeaseLost);
        }
        self.was_holder = is_holder;
        match shared.lease_manager.poll(lease, cx.now, rank, jitter) {
            LeaseAction::Wait => {}
            LeaseAction::Claim { replaces } => {
                shared.counters.increment(Counter::LeaseClaims);
                let host = shared.identity.host.clone();
                let claim = Claim {
                    host,
                    replaces,
                    at: cx.now,
                };
                append(
                    cx,
                    "claim",
                    CONFIG_STREAM,
                    record::encode(Body::Claim(claim)),
                );
            }
            LeaseAction::Renew { term } => {
                let renewal = Renewal { term, at: cx.now };
                let payload = serde_json::to_string(&renewal).expect("renewals encode as JSON");
                append(cx, "renewal", LEASE_STREAM, payload);
            }
        }
    }

    /// Appends the own failure domain while the state lacks it.
    fn make_domain_known(&mut self, cx: &mut Context<'_>) {
        let identity = &cx.shared.identity;
        let state = cx.shared.tail.state();
        // Before the first claim this node cannot tell whether its fold is complete.
        let is_known = state
            .intent
            .failure_domain(&identity.failure_domain)
            .is_some();
        let is_recent = self
            .domain_asked
            .is_some_and(|asked| cx.now.since(asked) < DOMAIN_INTERVAL);
        if is_known || is_recent || self.config.failures > 0 || state.lease.term == 0 {
            return;
        }
        self.domain_asked = Some(cx.now);
        let domain = DomainRegistration {
            name: identity.failure_domain.clone(),
            region: identity.region.clone(),
        };
        append(
            cx,
            "domain",
            CONFIG_STREAM,
            record::encode(Body::Domain(domain)),
        );
    }

    /// Appends a checkpoint when one is due and this node holds the lease.
    fn append_checkpoint(&mut self, cx: &mut Context<'_>) {
        let state = cx.shared.tail.state();
        if !cx.shared.lease_manager.is_holder(&state.lease) {
            self.checkpointed = None;
            return;
        }
        let next = state.next;
        let is_due = self.checkpointed.is_none_or(|(at, from)| {
            cx.now.since(at) >= checkpoint::INTERVAL
                || next - from >= checkpoint::MAX_RECORDS_BETWEEN
        });
        if !is_due {
            return;
        }
        let payload = checkpoint::encode(state);
        self.checkpointed = Some((cx.now, next));
        append(cx, "checkpoint", CHECKPOINT_STREAM, payload);
    }
}

/// Whether a batch could be applied to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ingest {
    /// Every record was applied, refused or known.
    Complete,
    /// Records before the batch are missing.
    Gap,
}

/// Notes that the fold is as far as its source; the first table may be published.
fn sync(cx: &mut Context<'_>) {
    if !cx.shared.is_synced {
        cx.shared.is_synced = true;
        cx.act(Action::RebuildTable);
    }
}

/// Appends a record under an identifier that no other append has.
fn append(cx: &mut Context<'_>, kind: &str, stream: &'static str, payload: String) {
    let host = &cx.shared.identity.host;
    let salt: u32 = cx.rng.random();
    let id = format!("{kind}-{host}-{}-{salt:08x}", cx.now.0).into();
    cx.act(Action::Append {
        stream,
        id,
        payload,
    });
}

/// Sends messages to a host when the view knows it.
fn send_to(cx: &mut Context<'_>, host: &str, messages: Vec<Message>) {
    let Some(member) = cx.shared.view.get(host).cloned() else {
        return;
    };
    cx.send(&member, messages);
}

/// Pushes new records to a few peers, most of them near.
fn push_on(cx: &mut Context<'_>, records: Vec<Record>) {
    let identity = &cx.shared.identity;
    let others = cx.shared.view.live().filter(|m| m.host != identity.host);
    let is_near = |member: &&Member| member.failure_domain == identity.failure_domain;
    let mut peers: Vec<Member> = others
        .clone()
        .filter(is_near)
        .cloned()
        .choose_multiple(cx.rng, PUSH_NEAR);
    peers.extend(
        others
            .filter(|m| !is_near(m))
            .cloned()
            .choose_multiple(cx.rng, PUSH_FAR),
    );
    for peer in peers {
        cx.send(&peer, vec![Message::Records(records.clone())]);
    }
}

/// Place of this host among the candidates for the controller lease.
///
/// The order is one of rendezvous weights over the readers of all failure domains, so that every
/// candidate computes the same one from the same view.
fn candidate_rank(cx: &Context<'_>) -> usize {
    let identity = &cx.shared.identity;
    let own = name::rendezvous("lease", &identity.host);
    let mut domains: Vec<&Name> = cx.shared.view.live().map(|m| &m.failure_domain).collect();
    domains.sort();
    domains.dedup();
    domains
        .iter()
        .flat_map(|domain| membership::readers(&cx.shared.view, domain))
        .filter(|host| name::rendezvous("lease", host) > own)
        .count()
}
