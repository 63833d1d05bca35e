//! Fake of the platform's log, in virtual time.

use std::time::Duration;

use buckthorn::journal::record::Record;
use buckthorn::kernel::{Event, LATEST};
use buckthorn::log::{AppendOutcome, Batch};
use buckthorn::name::Name;
use rand::Rng;

use super::{Due, Mesh};

/// Time that the log takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(5);

/// Time after which a request to a log that is away fails.
const FAILURE_TIME: Duration = Duration::from_millis(500);

/// Records in one answer.
const MAX_RECORDS: usize = 500;

/// Streams and readers of the log.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Whether it is away.
    pub is_down: bool,
    /// Chance that the reply to an append is lost after it took effect.
    pub reply_loss: f64,
    /// Reads answered so far.
    pub reads: u64,
    /// Streams by name.
    streams: Vec<(&'static str, Stream)>,
    /// Long polls in progress.
    waiting: Vec<Waiting>,
    /// Long polls so far.
    polls: u64,
}

/// One stream.
#[derive(Clone, Debug, Default)]
struct Stream {
    /// Earliest offset held.
    earliest: u64,
    /// Records held.
    records: Vec<Record>,
}

/// Long poll in progress.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    /// Number of the poll.
    poll: u64,
    /// Node that reads.
    node: usize,
    /// Its process.
    start: u64,
    /// Stream.
    stream: &'static str,
    /// First offset wanted.
    from: u64,
}

impl Log {
    /// Offset that the next record of a stream gets.
    pub fn next(&self, stream: &str) -> u64 {
        self.streams
            .iter()
            .find(|(name, _)| *name == stream)
            .map_or(0, |(_, s)| s.earliest + s.records.len() as u64)
    }

    /// Records held of a stream.
    pub fn records(&self, stream: &str) -> &[Record] {
        self.streams
            .iter()
            .find(|(name, _)| *name == stream)
            .map_or(&[], |(_, s)| &s.records)
    }

    /// Drops the records of a stream before an offset.
    pub fn trim(&mut self, stream: &'static str, before: u64) {
        let entry = self.stream(stream);
        let count = before.saturating_sub(entry.earliest) as usize;
        let count = count.min(entry.records.len());
        entry.records.drain(..count);
        entry.earliest += count as u64;
    }

    /// Adds a record.
    pub(super) fn push(&mut self, stream: &'static str, id: Name, payload: &str) -> u64 {
        let entry = self.stream(stream);
        let offset = entry.earliest + entry.records.len() as u64;
        entry.records.push(Record {
            offset,
            id,
            payload: payload.into(),
        });
        offset
    }

    /// Ends a long poll; `None` when it was answered before.
    pub(super) fn give_up(&mut self, poll: u64) -> Option<Waiting> {
        let index = self.waiting.iter().position(|w| w.poll == poll)?;
        Some(self.waiting.swap_remove(index))
    }

    /// Stream by name, made when it is new.
    fn stream(&mut self, name: &'static str) -> &mut Stream {
        let index = match self.streams.iter().position(|(n, _)| *n == name) {
            Some(index) => index,
            None => {
                self.streams.push((name, Stream::default()));
                self.streams.len() - 1
            }
        };
        &mut self.streams[index].1
    }

    /// What a read returns now.
    fn batch(&mut self, stream: &'static str, from: u64) -> Batch {
        let entry = self.stream(stream);
        let next = entry.earliest + entry.records.len() as u64;
        let first = from.max(entry.earliest).min(next) - entry.earliest;
        let records = if from == LATEST {
            Vec::new()
        } else {
            let held = &entry.records[first as usize..];
            held.iter().take(MAX_RECORDS).cloned().collect()
        };
        Batch {
            earliest: entry.earliest,
            next,
            records,
        }
    }
}

impl Mesh {
    /// Takes a read of a node.
    pub(super) fn read(&mut self, node: usize, stream: &'static str, from: u64, wait: Duration) {
        let start = self.nodes[node].starts;
        if self.log.is_down || !self.links.can_reach_log(&self.nodes[node].identity) {
            let event = Event::LogReadFailed { stream };
            self.schedule(FAILURE_TIME, Due::Deliver { node, start, event });
            return;
        }
        self.log.polls += 1;
        let poll = self.log.polls;
        let waiting = Waiting {
            poll,
            node,
            start,
            stream,
            from,
        };
        if from < self.log.next(stream) || from == LATEST || wait.is_zero() {
            self.answer_read(waiting);
            return;
        }
        self.log.waiting.push(waiting);
        self.schedule(wait, Due::PollEnds { poll });
    }

    /// Answers a read.
    pub(super) fn answer_read(&mut self, waiting: Waiting) {
        let Waiting {
            node,
            start,
            stream,
            from,
            ..
        } = waiting;
        let is_lost = self.rng.random_bool(self.links.loss);
        let is_reachable =
            !self.log.is_down && !is_lost && self.links.can_reach_log(&self.nodes[node].identity);
        let event = if is_reachable {
            self.log.reads += 1;
            let batch = self.log.batch(stream, from);
            Event::LogRead { stream, batch }
        } else {
            Event::LogReadFailed { stream }
        };
        let delay = if is_reachable {
            ANSWER_TIME
        } else {
            FAILURE_TIME
        };
        self.schedule(delay, Due::Deliver { node, start, event });
    }

    /// Answers the long polls of a stream.
    pub(super) fn wake(&mut self, stream: &'static str) {
        let (woken, rest): (Vec<Waiting>, Vec<Waiting>) = std::mem::take(&mut self.log.waiting)
            .into_iter()
            .partition(|w| w.stream == stream);
        self.log.waiting = rest;
        for waiting in woken {
            self.answer_read(waiting);
        }
    }

    /// Takes an append of a node.
    pub(super) fn append_from(
        &mut self,
        node: usize,
        stream: &'static str,
        id: Name,
        payload: &str,
    ) {
        self.nodes[node].appends += 1;
        let start = self.nodes[node].starts;
        if self.log.is_down || !self.links.can_reach_log(&self.nodes[node].identity) {
            let result = AppendOutcome::Unknown {
                reason: "the log is away".into(),
            };
            let event = Event::Appended { id, result };
            self.schedule(FAILURE_TIME, Due::Deliver { node, start, event });
            return;
        }
        let offset = self.log.push(stream, id.clone(), payload);
        self.wake(stream);
        let is_lost = self.rng.random_bool(self.log.reply_loss);
        let result = if is_lost {
            AppendOutcome::Unknown {
                reason: "the reply was lost".into(),
            }
        } else {
            AppendOutcome::Done { offset }
        };
        let event = Event::Appended { id, result };
        self.schedule(ANSWER_TIME, Due::Deliver { node, start, event });
    }
}
