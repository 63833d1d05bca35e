//! Simulation of the platform's log, in virtual time.

use std::time::Duration;

use buckthorn::journal::record::Record;
use buckthorn::kernel::{Event, LATEST};
use buckthorn::log::{AppendOutcome, Batch};
use buckthorn::name::Name;
use rand::Rng;

use super::{Mesh, Task};

/// Time that the log takes to reply.
const REPLY_TIME: Duration = Duration::from_millis(5);

/// Time after which a request to an unreachable log fails.
const FAILURE_TIME: Duration = Duration::from_millis(500);

/// Most records in the reply to one read.
const MAX_BATCH_RECORDS: usize = 500;

/// Streams of the log and the long polls on them.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Whether the log is unreachable from every node.
    pub is_down: bool,
    /// Probability that the reply to an append is lost after the record was stored.
    pub reply_loss: f64,
    /// Number of reads served.
    pub reads: u64,
    /// Streams with their names.
    streams: Vec<(&'static str, Stream)>,
    /// Long polls that wait for records.
    pending_polls: Vec<LongPoll>,
    /// Identifier of the last poll.
    last_poll_id: u64,
}

/// A stream of records with consecutive offsets.
#[derive(Clone, Debug, Default)]
struct Stream {
    /// Lowest offset that has not been trimmed.
    earliest: u64,
    /// Records from that offset on.
    records: Vec<Record>,
}

/// A read of a node, which waits until its stream has records or it times out.
#[derive(Clone, Debug)]
pub(super) struct LongPoll {
    /// Identifier of the poll.
    poll_id: u64,
    /// Index of the reading node.
    node: usize,
    /// Generation of the reading process; see `Node::generation`.
    generation: u64,
    /// Stream to read.
    stream: &'static str,
    /// Offset to read from.
    from: u64,
}

impl Log {
    /// Returns the offset of the next record appended to a stream.
    pub fn next(&self, stream: &str) -> u64 {
        self.streams
            .iter()
            .find(|(name, _)| *name == stream)
            .map_or(0, |(_, s)| s.earliest + s.records.len() as u64)
    }

    /// Returns the records of a stream that have not been trimmed.
    pub fn records(&self, stream: &str) -> &[Record] {
        self.streams
            .iter()
            .find(|(name, _)| *name == stream)
            .map_or(&[], |(_, s)| &s.records)
    }

    /// Trims the records of a stream before an offset.
    pub fn trim(&mut self, stream: &'static str, before: u64) {
        let entry = self.stream(stream);
        let count = before.saturating_sub(entry.earliest) as usize;
        let count = count.min(entry.records.len());
        entry.records.drain(..count);
        entry.earliest += count as u64;
    }

    /// Appends a record to a stream and returns its offset.
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

    /// Removes a long poll; `None` if it has already been completed.
    pub(super) fn end_poll(&mut self, poll_id: u64) -> Option<LongPoll> {
        let index = self
            .pending_polls
            .iter()
            .position(|poll| poll.poll_id == poll_id)?;
        Some(self.pending_polls.swap_remove(index))
    }

    /// Returns a stream by name, creating it if necessary.
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

    /// Returns the result of a read at this moment.
    fn batch(&mut self, stream: &'static str, from: u64) -> Batch {
        let entry = self.stream(stream);
        let next = entry.earliest + entry.records.len() as u64;
        let first = from.max(entry.earliest).min(next) - entry.earliest;
        let records = if from == LATEST {
            Vec::new()
        } else {
            let held = &entry.records[first as usize..];
            held.iter().take(MAX_BATCH_RECORDS).cloned().collect()
        };
        Batch {
            earliest: entry.earliest,
            next,
            records,
        }
    }
}

impl Mesh {
    /// Serves a read of a node at once, or as a long poll if there are no records yet.
    pub(super) fn read(&mut self, node: usize, stream: &'static str, from: u64, wait: Duration) {
        let generation = self.nodes[node].generation;
        if self.log.is_down || !self.links.can_reach_log(&self.nodes[node].identity) {
            let event = Event::LogReadFailed { stream };
            self.schedule(
                FAILURE_TIME,
                Task::Deliver {
                    node,
                    generation,
                    event,
                },
            );
            return;
        }
        self.log.last_poll_id += 1;
        let poll_id = self.log.last_poll_id;
        let poll = LongPoll {
            poll_id,
            node,
            generation,
            stream,
            from,
        };
        if from < self.log.next(stream) || from == LATEST || wait.is_zero() {
            self.reply_to_read(poll);
            return;
        }
        self.log.pending_polls.push(poll);
        self.schedule(wait, Task::PollTimeout { poll_id });
    }

    /// Replies to a read, which fails if the log is down, unreachable or the message is lost.
    pub(super) fn reply_to_read(&mut self, poll: LongPoll) {
        let LongPoll {
            node,
            generation,
            stream,
            from,
            ..
        } = poll;
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
            REPLY_TIME
        } else {
            FAILURE_TIME
        };
        self.schedule(
            delay,
            Task::Deliver {
                node,
                generation,
                event,
            },
        );
    }

    /// Completes the long polls of a stream.
    pub(super) fn complete_polls(&mut self, stream: &'static str) {
        let (ready, rest): (Vec<LongPoll>, Vec<LongPoll>) =
            std::mem::take(&mut self.log.pending_polls)
                .into_iter()
                .partition(|poll| poll.stream == stream);
        self.log.pending_polls = rest;
        for poll in ready {
            self.reply_to_read(poll);
        }
    }

    /// Serves an append of a node; a lost reply leaves its outcome unknown to the node.
    pub(super) fn append_from(
        &mut self,
        node: usize,
        stream: &'static str,
        id: Name,
        payload: &str,
    ) {
        self.nodes[node].appends += 1;
        let generation = self.nodes[node].generation;
        if self.log.is_down || !self.links.can_reach_log(&self.nodes[node].identity) {
            let result = AppendOutcome::Unknown {
                reason: "the log is down".into(),
            };
            let event = Event::Appended { id, result };
            self.schedule(
                FAILURE_TIME,
                Task::Deliver {
                    node,
                    generation,
                    event,
                },
            );
            return;
        }
        let offset = self.log.push(stream, id.clone(), payload);
        self.complete_polls(stream);
        let is_lost = self.rng.random_bool(self.log.reply_loss);
        let result = if is_lost {
            AppendOutcome::Unknown {
                reason: "the reply was lost".into(),
            }
        } else {
            AppendOutcome::Done { offset }
        };
        let event = Event::Appended { id, result };
        self.schedule(
            REPLY_TIME,
            Task::Deliver {
                node,
                generation,
                event,
            },
        );
    }
}
