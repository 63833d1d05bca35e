//! What owners count of the calls that their backend servers answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Cumulative counts of one owner, since its node started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Host of the owner.
    pub host: Name,
    /// Incarnation of the owner's node.
    pub incarnation: u64,
    /// Service.
    pub service: Name,
    /// Version that the backend server runs.
    pub version: Name,
}

/// How a call to the own backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered in full.
    Ok,
    /// Answered with a server error.
    Error,
    /// Answered, but the body broke its declared length or framing.
    Broken,
    /// Not answered in time.
    Timeout,
    /// Connection refused, reset or closed before an answer.
    Reset,
    /// Refused by the backend server as overloaded.
    Shed,
    /// The caller left first; says nothing of the version.
    Cancelled,
}

/// Counts kept by the owner, written on the path of a request.
#[derive(Debug, Default)]
pub struct Book {}

impl Book {
    /// Empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one call.
    pub fn record(&self, _route: &str, _outcome: Outcome, _latency: Duration) {}
}
