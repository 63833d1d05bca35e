//! Edge to the platform's append-only log.

pub mod client;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::journal::record::Record;

/// What a read returned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Earliest offset still held.
    pub earliest: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records from the offset asked for, or from `earliest` when that is later.
    pub records: Vec<Record>,
}

/// What came of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log at this offset.
    Done {
        /// Its offset.
        offset: u64,
    },
    /// The log refused it; it is not in the log.
    Refused {
        /// Why.
        reason: String,
    },
    /// Nothing is known: the record may or may not be in the log.
    Unknown {
        /// Why.
        reason: String,
    },
}

/// Client of the log service; the users' real log takes its place behind this trait.
pub trait Log: Send + Sync {
    /// Reads records from an offset, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be reached or answers with an error.
    fn read(&self, stream: &str, from: u64, wait: Duration) -> anyhow::Result<Batch>;

    /// Appends a record under an identifier made by the caller.
    ///
    /// The log does not recognise repeats: whoever cannot tell whether an append took effect looks
    /// its identifier up before trying again.
    fn append(&self, stream: &str, id: &str, payload: &str) -> AppendOutcome;
}
