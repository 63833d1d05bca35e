//! Duty of handing in the counts, held by one node at a time.
//!
//! One record in the platform's store says who holds the duty, by which token, and which window was
//! handed in last. Each write replaces the record only if the topic still ends where the writer has
//! read it, so the order of records decides, as for the lease of the move controller
//! ([`crate::journal::lease`]), and no clock does. The token rises with each change of the holder.
//!
//! The holder writes the counts of a window before it hands them in, and that they were accepted
//! afterwards. Whoever takes over hands in what was written, so no window is handed in with two
//! different sums. A candidate takes over when a window is late and the record has not changed for
//! the duration of the lease. A holder acts only while it has seen its own record within that time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Counts;
use super::schedule::Schedule;
use crate::clock::Time;
use crate::config::position::Position;
use crate::name::Name;

/// Part of the lease within which a holder acts without reading its record again. The rest covers
/// the call itself.
const ACT_PART: f64 = 0.5;

/// Delay after a call that failed, or that exceeded the rate that the platform accepts.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time for which calls that concern the record fail before a candidate counts as having no access to
/// it; two calls that are repeated.
const DETACH_DELAY: Duration = RETRY_DELAY.saturating_mul(2);

/// Bits of a token that count holders; the era of the store stands above them, so that tokens rise
/// also when the store comes back from an older copy.
const HOLDER_BITS: u32 = 32;

/// Record of the duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Token, which rises with each holder.
    pub token: u64,
    /// Host that holds the duty.
    pub holder: Name,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Window that was last written.
    pub window: u64,
    /// Counts of that window, empty once they were accepted.
    pub counts: Counts,
    /// Whether the platform accepted the counts.
    pub is_accepted: bool,
    /// Time at which the holder took the duty, by its clock.
    #[serde(default)]
    pub since: Time,
}

/// Who holds the duty, as operators read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Host that holds the duty.
    pub holder: Name,
    /// Token of the holder.
    pub token: u64,
    /// Time at which the holder took the duty, by its clock.
    pub since: Time,
    /// Last window whose counts were written or accepted.
    pub window: u64,
    /// Whether the platform accepted the counts of that window.
    pub is_accepted: bool,
    /// Time at which the record was last known to be so.
    pub read_at: Time,
    /// Whether this node lacks access to the record.
    pub is_detached: bool,
}

/// Record as read, and the position at which its topic ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Record; absent before the first holder.
    pub record: Option<Record>,
    /// Position at which the topic ended.
    pub end: Position,
}

/// Request to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Read the record.
    Read,
    /// Write the record if its topic ends at the position.
    Write {
        /// Record to write.
        record: Record,
        /// Position at which the topic has to end.
        at: Position,
    },
    /// Hand in the counts of a window.
    HandIn {
        /// Host that holds the duty.
        holder: Name,
        /// Token of the holder.
        token: u64,
        /// Number of the window.
        window: u64,
        /// Counts of the window.
        counts: Counts,
    },
}

/// Reply of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The record was read.
    Read(Snapshot),
    /// The record was written; its topic ends at this position.
    Written(Position),
    /// Another node wrote first.
    Conflict,
    /// The counts were accepted.
    Accepted,
    /// A higher token was seen.
    Fenced,
    /// The rate that the platform accepts was exceeded.
    Throttled,
    /// The call failed, or its outcome is unknown.
    Failed,
}

/// Change that a reply makes, for logs and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Nothing to tell.
    None,
    /// This node holds the duty from now on, by a token.
    Taken(u64),
    /// This node no longer holds the duty, of a token.
    Lost(u64),
    /// A window was handed in.
    HandedIn(u64),
}

/// Decides what a candidate does for the duty.
#[derive(Debug)]
pub struct Keeper {
    /// This host.
    host: Name,
    /// Incarnation of this node.
    incarnation: u64,
    /// Windows and when they are handed in.
    schedule: Schedule,
    /// Time for which the record must not have changed before another node takes over.
    lease: Duration,
    /// Record as last read or written.
    known: Option<Snapshot>,
    /// Time at which the record was first known as it is.
    known_since: Time,
    /// Time of the last read or write that showed the record as it is.
    seen_at: Time,
    /// Request in progress, with the time at which it was sent.
    pending: Option<(Request, Time)>,
    /// Earliest time of the next request.
    retry_at: Time,
    /// Token by which this node held the duty when the record was last known.
    held: Option<u64>,
    /// Token of this node that the platform refused.
    fenced: Option<u64>,
    /// Window of the record that the platform accepted, until that is written.
    accepted: Option<u64>,
    /// Time since which calls that concern the record have failed.
    failing_since: Option<Time>,
}

impl Keeper {
    /// Keeper of a node that has read nothing yet.
    pub fn new(host: Name, incarnation: u64, schedule: Schedule, lease: Duration) -> Self {
        Self {
            host,
            incarnation,
            schedule,
            lease,
            known: None,
            known_since: Time::default(),
            seen_at: Time::default(),
            pending: None,
            retry_at: Time::default(),
            held: None,
            fenced: None,
            accepted: None,
            failing_since: None,
        }
    }

    /// Whether this node has had no access to the record for a while.
    pub fn is_detached(&self, now: Time) -> bool {
        self.failing_since
            .is_some_and(|since| now.since(since) >= DETACH_DELAY)
    }

    /// Who holds the duty, as far as this node knows.
    pub fn standing(&self, now: Time) -> Option<Standing> {
        let record = self.known.as_ref()?.record.as_ref()?;
        Some(Standing {
            holder: record.holder.clone(),
            token: record.token,
            since: record.since,
            window: record.window,
            is_accepted: record.is_accepted,
            read_at: self.seen_at,
            is_detached: self.is_detached(now),
        })
    }

    /// Token by which this node holds the duty, as far as it knows.
    pub fn token(&self) -> Option<u64> {
        let record = self.known.as_ref()?.record.as_ref()?;
        let is_own = record.holder == self.host && record.incarnation == self.incarnation;
        (is_own && self.fenced != Some(record.token)).then_some(record.token)
    }

    /// Decides on the next request of a candidate with the given rank, 0 for the preferred one.
    ///
    /// `counts` returns the sum of a window, and whether it includes each node. The caller passes the
    /// reply to [`Self::handle`]; nothing is decided before.
    pub fn poll(
        &mut self,
        now: Time,
        rank: usize,
        counts: impl Fn(u64) -> (Counts, bool),
    ) -> Option<Request> {
        if self.pending.is_some() || now < self.retry_at {
            return None;
        }
        let request = match &self.known {
            None => Request::Read,
            Some(known) if self.token().is_some() => self.act(now, known, counts)?,
            Some(known) => self.watch(now, known, rank)?,
        };
        self.pending = Some((request.clone(), now));
        Some(request)
    }

    /// Next request of the holder.
    fn act(
        &self,
        now: Time,
        known: &Snapshot,
        counts: impl Fn(u64) -> (Counts, bool),
    ) -> Option<Request> {
        let record = known.record.as_ref()?;
        if self.accepted == Some(record.window) {
            let record = Record {
                counts: Counts::new(),
                is_accepted: true,
                ..record.clone()
            };
            return Some(Request::Write {
                record,
                at: known.end,
            });
        }
        if !record.is_accepted && now < self.schedule.due(record.window) {
            if now.since(self.seen_at) > self.lease.mul_f64(ACT_PART) {
                return Some(Request::Read);
            }
            return Some(Request::HandIn {
                holder: self.host.clone(),
                token: record.token,
                window: record.window,
                counts: record.counts.clone(),
            });
        }
        let window = self.next_window(now, record);
        if now < self.schedule.end(window) {
            return None;
        }
        let (counts, is_complete) = counts(window);
        if !is_complete && now < self.schedule.cutoff(window) {
            return None;
        }
        let record = Record {
            window,
            counts,
            is_accepted: false,
            ..record.clone()
        };
        Some(Request::Write {
            record,
            at: known.end,
        })
    }

    /// Next request of a candidate that doesn't hold the duty.
    fn watch(&self, now: Time, known: &Snapshot, rank: usize) -> Option<Request> {
        let (observe_at, late_at) = match &known.record {
            Some(record) => {
                let window = record.window.saturating_add(u64::from(record.is_accepted));
                let schedule = &self.schedule;
                (schedule.observe(window), schedule.takeover(window, rank))
            }
            // The preferred candidate begins at once, and the others if it does not.
            None => {
                let at = self.known_since + self.lease * rank as u32;
                (at, at)
            }
        };
        let passed = [late_at, observe_at].into_iter().find(|at| now >= *at)?;
        if self.seen_at < passed {
            return Some(Request::Read);
        }
        if now < late_at {
            return None;
        }
        let Some(record) = &known.record else {
            let last = self.schedule.window_at(now).saturating_sub(1);
            return Some(self.claim(now, known, last));
        };
        (now.since(self.known_since) >= self.lease).then(|| self.claim(now, known, record.window))
    }

    /// Write that makes this node the holder; `window` is the last one if there is no record.
    fn claim(&self, now: Time, known: &Snapshot, window: u64) -> Request {
        let (token, window, counts, is_accepted) = match &known.record {
            Some(record) => (
                record.token,
                record.window,
                record.counts.clone(),
                record.is_accepted,
            ),
            None => (0, window, Counts::new(), true),
        };
        let era_floor = u64::from(known.end.era) << HOLDER_BITS;
        Request::Write {
            record: Record {
                token: token.max(era_floor).saturating_add(1),
                holder: self.host.clone(),
                incarnation: self.incarnation,
                window,
                counts,
                is_accepted,
                since: now,
            },
            at: known.end,
        }
    }

    /// Window that follows the one of the record, without those that are overdue.
    fn next_window(&self, now: Time, record: &Record) -> u64 {
        record
            .window
            .saturating_add(1)
            .max(self.schedule.first_open(now))
    }

    /// Handles the reply to the request in progress.
    pub fn handle(&mut self, now: Time, reply: Reply) -> Transition {
        let Some((request, sent_at)) = self.pending.take() else {
            return Transition::None;
        };
        if !matches!(request, Request::HandIn { .. }) {
            self.failing_since =
                (reply == Reply::Failed).then(|| self.failing_since.unwrap_or(sent_at));
        }
        match (reply, request) {
            (Reply::Read(snapshot), _) => self.learn(snapshot, sent_at),
            (Reply::Written(end), Request::Write { record, .. }) => {
                self.accepted = None;
                let record = Some(record);
                self.learn(Snapshot { record, end }, sent_at);
            }
            (Reply::Accepted, Request::HandIn { window, .. }) => {
                self.accepted = Some(window);
                return Transition::HandedIn(window);
            }
            (Reply::Fenced, Request::HandIn { token, .. }) => {
                self.fenced = Some(token);
                self.retry_at = now + self.lease;
            }
            // What is known is out of date, or may be.
            (_, Request::Write { .. }) => {
                self.known = None;
                self.retry_at = now + RETRY_DELAY;
            }
            _ => self.retry_at = now + RETRY_DELAY,
        }
        self.transition()
    }

    /// Whether this node began or ceased to hold the duty; undecided until the record is known.
    fn transition(&mut self) -> Transition {
        let token = self.token();
        if self.known.is_none() || token == self.held {
            return Transition::None;
        }
        match (std::mem::replace(&mut self.held, token), token) {
            (_, Some(token)) => Transition::Taken(token),
            (Some(token), None) => Transition::Lost(token),
            (None, None) => Transition::None,
        }
    }

    /// Takes over a record that was read or written by a call sent at `sent_at`.
    fn learn(&mut self, snapshot: Snapshot, sent_at: Time) {
        if self.known.as_ref() != Some(&snapshot) {
            self.known_since = sent_at;
        }
        self.seen_at = sent_at;
        self.known = Some(snapshot);
    }
}
