//! Plug-in that follows the log, distributes its records among nodes and maintains the lease.
//!
//! In each failure domain a few members read the log and push new records to some peers; every node
//! forwards each record once, and the digests that probes carry repair missed pushes. Nodes that
//! are not readers still read the log occasionally, so that a failure domain whose readers have
//! lost the platform does not fall behind.

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

/// Peers of the local failure domain to which a node pushes a new record.
const PUSH_LOCAL_PEERS: usize = 3;

/// Peers of other failure domains to which a node pushes a new record.
const PUSH_REMOTE_PEERS: usize = 1;

/// Maximum wait of a reader's long poll.
const LONG_POLL: Duration = Duration::from_secs(5);

/// Mean interval at which a node that is not a reader reads the log.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(20);

/// Base of the exponential backoff after a failed read.
const BACKOFF_BASE: Duration = Duration::from_millis(200);

/// Maximum backoff after a failed read.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Interval between attempts to register the local failure domain.
const DOMAIN_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum snapshots sent per second, which spreads the load of many nodes that restart at once.
const MAX_SNAPSHOTS_PER_SECOND: u32 = 8;

/// Registers the plug-in.
pub fn register(registry: &mut Registry) {
    registry.add(Journal::new());
}

/// Follows the log, distributes its records and maintains the lease.
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
    /// Search for a checkpoint that closes a gap.
    checkpoint_search: CheckpointSearch,
    /// Time of the last appended checkpoint and the state's next offset then; `None` while this
    /// node does not hold the lease.
    last_checkpoint: Option<(Time, u64)>,
    /// Time at which this node last appended the registration of its failure domain.
    domain_registered_at: Option<Time>,
    /// Whether this node was a reader at the last tick.
    was_reader: bool,
    /// Whether this node held the lease at the last tick.
    was_holder: bool,
    /// Second in which snapshots were last requested, and the number of requests in it.
    snapshots: (u64, u32),
    /// Whether a pull of the current envelope was handled; further pulls in it are refused.
    has_replied_to_pull: bool,
}

/// State of the reads of one stream.
#[derive(Debug, Default)]
struct Cursor {
    /// Whether a read is under way.
    is_reading: bool,
    /// Earliest time of the next read.
    due: Time,
    /// Consecutive failed reads.
    failures: u32,
}

/// Search for a checkpoint after a gap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CheckpointSearch {
    /// No gap is known.
    #[default]
    Idle,
    /// The stream is to be read from this offset.
    From(u64),
}

impl Cursor {
    /// Whether a read may start.
    fn is_free(&self, now: Time) -> bool {
        !self.is_reading && now >= self.due
    }

    /// Records a read that succeeded.
    fn succeed(&mut self) {
        self.is_reading = false;
        self.failures = 0;
    }

    /// Records a failed read and backs off with full jitter.
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
            Event::LogRead { stream, batch } => self.on_log_read(cx, stream, batch),
            Event::LogReadFailed { stream } => self.on_log_failed(cx, stream),
            Event::Received { from, messages } | Event::Replied { from, messages } => {
                self.has_replied_to_pull = false;
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
    /// Journal that has read nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the reads and appends that are due.
    fn tick(&mut self, cx: &mut Context<'_>) {
        let is_reader = self.update_reader_role(cx);
        self.read_config(cx, is_reader);
        self.read_checkpoint(cx);
        if is_reader && !cx.shared.is_stopping {
            self.read_lease(cx);
            self.maintain_lease(cx);
            self.register_domain(cx);
        }
        self.append_checkpoint(cx);
    }

    /// Updates and returns whether this node is a reader of its failure domain; counts takeovers.
    fn update_reader_role(&mut self, cx: &mut Context<'_>) -> bool {
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
        if !self.config.is_free(cx.now) || self.checkpoint_search != CheckpointSearch::Idle {
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

    /// Reads the checkpoint stream while there is a gap to close.
    fn read_checkpoint(&mut self, cx: &mut Context<'_>) {
        let CheckpointSearch::From(from) = self.checkpoint_search else {
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

    /// Handles a successful read of a stream.
    fn on_log_read(&mut self, cx: &mut Context<'_>, stream: &str, batch: &Batch) {
        match stream {
            CONFIG_STREAM => self.on_config_read(cx, batch),
            LEASE_STREAM => self.on_lease_read(cx, batch),
            CHECKPOINT_STREAM => self.on_checkpoint_read(cx, batch),
            _ => {}
        }
    }

    /// Handles a read of the configuration stream.
    fn on_config_read(&mut self, cx: &mut Context<'_>, batch: &Batch) {
        self.config.succeed();
        let next = cx.shared.tail.state().next;
        if batch.earliest > next {
            // The records in between were trimmed; only a checkpoint or a peer can close the gap.
            self.checkpoint_search = CheckpointSearch::From(LATEST);
            return;
        }
        self.ingest(cx, &batch.records);
        let has_more = cx.shared.tail.state().next < batch.next;
        if !has_more {
            mark_synced(cx);
        }
        if !self.was_reader && !has_more {
            let spread = cx.rng.random_range(0.5..1.5);
            self.config.due = cx.now + FALLBACK_INTERVAL.mul_f64(spread);
        }
    }

    /// Handles a read of the lease stream.
    fn on_lease_read(&mut self, cx: &mut Context<'_>, batch: &Batch) {
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

    /// Handles a read of the checkpoint stream: installs a checkpoint, or locates the last one.
    fn on_checkpoint_read(&mut self, cx: &mut Context<'_>, batch: &Batch) {
        self.checkpoint.succeed();
        if cx.shared.tail.resume_from_checkpoint(&batch.records) {
            cx.shared.counters.increment(Counter::SnapshotsInstalled);
            self.checkpoint_search = CheckpointSearch::Idle;
            cx.act(Action::RebuildTable);
            return;
        }
        if !batch.records.is_empty() {
            cx.shared.counters.increment(Counter::SnapshotsRefused);
            // No checkpoint among these records is valid and newer than this node's state: retry the
            // configuration stream.
            self.checkpoint_search = CheckpointSearch::Idle;
            self.config.fail(cx.now, cx.rng.random());
            return;
        }
        match batch.next.checked_sub(1) {
            Some(last) if last >= batch.earliest => {
                self.checkpoint_search = CheckpointSearch::From(last)
            }
            _ => {
                self.checkpoint_search = CheckpointSearch::Idle;
                self.config.fail(cx.now, cx.rng.random());
            }
        }
    }

    /// Handles a failed read of a stream.
    fn on_log_failed(&mut self, cx: &mut Context<'_>, stream: &str) {
        cx.shared.counters.increment(Counter::LogReadFailures);
        let cursor = match stream {
            CONFIG_STREAM => &mut self.config,
            LEASE_STREAM => &mut self.lease,
            CHECKPOINT_STREAM => &mut self.checkpoint,
            _ => return,
        };
        cursor.fail(cx.now, cx.rng.random());
    }

    /// Handles a message of a peer.
    fn receive(&mut self, cx: &mut Context<'_>, from: &Name, message: &Message) {
        match message {
            Message::Records(records) if self.ingest(cx, records) == IngestResult::Gap => {
                let pull = Message::Pull {
                    from: cx.shared.tail.state().next,
                };
                send_to(cx, from, vec![pull]);
            }
            Message::Ping(digest) | Message::Ack(digest)
                if digest.is_synced && digest.next <= cx.shared.tail.state().next.into() =>
            {
                mark_synced(cx);
            }
            Message::Pull { .. } if self.has_replied_to_pull => {
                cx.shared.counters.increment(Counter::MessagesRefused);
            }
            Message::Pull { from: offset } => {
                self.has_replied_to_pull = true;
                self.reply_to_pull(cx, *offset);
            }
            Message::Snapshot(state) => self.install(cx, from, state),
            _ => {}
        }
    }

    /// Replies to a peer that lags behind.
    fn reply_to_pull(&mut self, cx: &mut Context<'_>, from: u64) {
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

    /// Installs a peer's state if it is newer and valid.
    fn install(&mut self, cx: &mut Context<'_>, from: &str, state: &State) {
        let result = cx.shared.tail.install(state.clone());
        if result != InstallOutcome::Done {
            cx.shared.counters.increment(Counter::SnapshotsRefused);
            if let InstallOutcome::Invalid(reason) = result {
                let subject = format!("snapshot of {from}");
                cx.log_event(LogEvent::ConfigRefused, subject, reason);
            }
            return;
        }
        cx.shared.counters.increment(Counter::SnapshotsInstalled);
        self.checkpoint_search = CheckpointSearch::Idle;
        mark_synced(cx);
        cx.act(Action::RebuildTable);
    }

    /// Applies records and forwards the new ones.
    fn ingest(&mut self, cx: &mut Context<'_>, records: &[Record]) -> IngestResult {
        let mut new_records = Vec::new();
        let mut result = IngestResult::Complete;
        let version = cx.shared.tail.state().version;
        for record in records {
            let next = cx.shared.tail.state().next;
            let outcome = cx.shared.tail.push(record);
            match &outcome {
                Outcome::Gap => {
                    result = IngestResult::Gap;
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
                new_records.push(record.clone());
            }
        }
        if !new_records.is_empty() {
            forward_records(cx, new_records);
        }
        if cx.shared.tail.state().version != version {
            cx.act(Action::RebuildTable);
        }
        result
    }

    /// Claims or renews the controller lease.
    fn maintain_lease(&mut self, cx: &mut Context<'_>) {
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

    /// Registers the local failure domain while the state lacks it.
    fn register_domain(&mut self, cx: &mut Context<'_>) {
        let identity = &cx.shared.identity;
        let state = cx.shared.tail.state();
        // Before the first claim this node does not know whether its fold is complete.
        let is_known = state
            .intent
            .failure_domain(&identity.failure_domain)
            .is_some();
        let is_recent = self
            .domain_registered_at
            .is_some_and(|registered| cx.now.since(registered) < DOMAIN_INTERVAL);
        if is_known || is_recent || self.config.failures > 0 || state.lease.term == 0 {
            return;
        }
        self.domain_registered_at = Some(cx.now);
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

    /// Appends a checkpoint if one is due and this node holds the lease.
    fn append_checkpoint(&mut self, cx: &mut Context<'_>) {
        let state = cx.shared.tail.state();
        if !cx.shared.lease_manager.is_holder(&state.lease) {
            self.last_checkpoint = None;
            return;
        }
        let next = state.next;
        let is_due = self.last_checkpoint.is_none_or(|(at, from)| {
            cx.now.since(at) >= checkpoint::INTERVAL
                || next - from >= checkpoint::MAX_RECORDS_BETWEEN
        });
        if !is_due {
            return;
        }
        let payload = checkpoint::encode(state);
        self.last_checkpoint = Some((cx.now, next));
        append(cx, "checkpoint", CHECKPOINT_STREAM, payload);
    }
}

/// Outcome of applying a batch of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IngestResult {
    /// Every record was applied, refused or a duplicate.
    Complete,
    /// Records before one of the batch are missing.
    Gap,
}

/// Marks the fold as caught up with its source; the first routing table may be published.
fn mark_synced(cx: &mut Context<'_>) {
    if !cx.shared.is_synced {
        cx.shared.is_synced = true;
        cx.act(Action::RebuildTable);
    }
}

/// Appends a record under a unique identifier.
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

/// Sends messages to a host if the view has it.
fn send_to(cx: &mut Context<'_>, host: &str, messages: Vec<Message>) {
    let Some(member) = cx.shared.view.get(host).cloned() else {
        return;
    };
    cx.send(&member, messages);
}

/// Pushes new records to a few peers, most of them in the local failure domain.
fn forward_records(cx: &mut Context<'_>, records: Vec<Record>) {
    let identity = &cx.shared.identity;
    let others = cx.shared.view.live().filter(|m| m.host != identity.host);
    let is_local = |member: &&Member| member.failure_domain == identity.failure_domain;
    let mut peers: Vec<Member> = others
        .clone()
        .filter(is_local)
        .cloned()
        .choose_multiple(cx.rng, PUSH_LOCAL_PEERS);
    peers.extend(
        others
            .filter(|m| !is_local(m))
            .cloned()
            .choose_multiple(cx.rng, PUSH_REMOTE_PEERS),
    );
    for peer in peers {
        cx.send(&peer, vec![Message::Records(records.clone())]);
    }
}

/// Rank of this host among the candidates for the controller lease.
///
/// The candidates are the readers of all failure domains, ranked by rendezvous hash, so that equal
/// views give equal ranks.
fn candidate_rank(cx: &Context<'_>) -> usize {
    let identity = &cx.shared.identity;
    let local_weight = name::rendezvous("lease", &identity.host);
    let mut domains: Vec<&Name> = cx.shared.view.live().map(|m| &m.failure_domain).collect();
    domains.sort();
    domains.dedup();
    domains
        .iter()
        .flat_map(|domain| membership::readers(&cx.shared.view, domain))
        .filter(|host| name::rendezvous("lease", host) > local_weight)
        .count()
}
