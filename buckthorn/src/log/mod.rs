//! Interface to the platform's append-only log.

pub mod client;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::journal::record::Record;

/// Result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Earliest offset that the log still holds.
    pub earliest: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records from the requested offset on, or from `earliest` if that is later.
    pub records: Vec<Record>,
}

/// Outcome of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log at this offset.
    Done {
        /// Offset of the record.
        offset: u64,
    },
    /// The record is not in the log.
    Refused {
        /// Reason of the refusal.
        reason: String,
    },
    /// The record may or may not be in the log.
    Unknown {
        /// Failure that leaves the outcome open.
        reason: String,
    },
}

/// Client of a log service. Deployments implement this trait for their own log.
pub trait Log: Send + Sync {
    /// Reads records from an offset, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be reached or responds with an error.
    fn read(&self, stream: &str, from: u64, wait: Duration) -> anyhow::Result<Batch>;

    /// Appends a record under an identifier chosen by the caller of this method.
    ///
    /// The log does not detect duplicates: after an unknown outcome, look up the identifier before
    /// trying again.
    fn append(&self, stream: &str, id: &str, payload: &str) -> AppendOutcome;
}
