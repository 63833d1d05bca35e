//! Folded state with the most recent records, which are kept for peers that lag behind.

use std::collections::VecDeque;
use std::sync::Arc;

use super::check;
use super::checkpoint;
use super::fold::{Outcome, State};
use super::record::Record;

/// Maximum records kept for peers.
pub const MAX_RECORDS: usize = 512;

/// Maximum bytes of payloads in one reply to a peer; a larger record is sent alone.
pub const MAX_BATCH_BYTES: usize = 256 * 1024;

/// Maximum bytes of payloads kept for peers.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;

/// State and the records applied most recently.
#[derive(Clone, Debug, Default)]
pub struct Tail {
    /// State folded so far.
    state: Arc<State>,
    /// Records before `state.next`, oldest first, without gaps.
    records: VecDeque<Record>,
    /// Bytes of the payloads of `records`.
    bytes: usize,
}

/// Outcome of installing a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstallOutcome {
    /// The state was installed.
    Done,
    /// The state is not newer than the current one.
    Older,
    /// The state failed [`check::check`], for this reason.
    Invalid(String),
}

/// Reply to the pull of a peer that lags behind.
#[derive(Clone, Debug)]
pub enum PullReply {
    /// The peer is up to date.
    Nothing,
    /// Records from the requested offset on.
    Records(Vec<Record>),
    /// The whole state, since the requested records are no longer kept.
    Snapshot(Arc<State>),
}

impl Tail {
    /// Tail before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// State folded so far.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Applies one record and keeps it.
    pub fn push(&mut self, record: &Record) -> Outcome {
        let outcome = Arc::make_mut(&mut self.state).apply(record);
        if !matches!(outcome, Outcome::Gap) && record.offset + 1 == self.state.next {
            let is_new = self
                .records
                .back()
                .is_none_or(|last| last.offset < record.offset);
            if is_new {
                self.bytes += record.payload.len();
                self.records.push_back(record.clone());
            }
        }
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let dropped = self.records.pop_front();
            self.bytes -= dropped.map_or(0, |record| record.payload.len());
        }
        outcome
    }

    /// Replaces the state by a newer one.
    ///
    /// An older or equal state is never installed, nor one that fails [`check::check`].
    pub fn install(&mut self, state: State) -> InstallOutcome {
        if state.next <= self.state.next || state.version < self.state.version {
            return InstallOutcome::Older;
        }
        if let Err(reason) = check::check(&state) {
            return InstallOutcome::Invalid(reason);
        }
        self.records.clear();
        self.bytes = 0;
        self.state = Arc::new(state);
        InstallOutcome::Done
    }

    /// Number of records kept for peers and bytes of their payloads.
    pub fn kept(&self) -> (usize, usize) {
        (self.records.len(), self.bytes)
    }

    /// Installs the newest valid state among records of the checkpoint stream, after a gap.
    ///
    /// Returns whether a newer state was installed.
    pub fn resume_from_checkpoint(&mut self, records: &[Record]) -> bool {
        checkpoint::newest_valid_state(records)
            .is_some_and(|state| self.install(state) == InstallOutcome::Done)
    }

    /// Reply to a node whose next offset is `from`.
    pub fn reply_to_pull(&self, from: u64) -> PullReply {
        if from >= self.state.next {
            return PullReply::Nothing;
        }
        let Some(first) = self.records.front().map(|r| r.offset) else {
            return PullReply::Snapshot(self.state.clone());
        };
        if from < first {
            return PullReply::Snapshot(self.state.clone());
        }
        let mut bytes = 0;
        let batch = self
            .records
            .iter()
            .skip((from - first) as usize)
            .take_while(|record| {
                let fits = bytes == 0 || bytes + record.payload.len() <= MAX_BATCH_BYTES;
                bytes += record.payload.len();
                fits
            })
            .cloned()
            .collect();
        PullReply::Records(batch)
    }
}
