//! A set of operations published as one record, accepted or refused as a whole.

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::name::Name;

/// Operators' change of the intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Intent version that the change was planned on.
    pub base: u64,
    /// Who published it.
    pub author: String,
    /// When it was published, by the publisher's clock.
    pub at: Time,
    /// What it does, in order.
    pub operations: Vec<Operation>,
}

/// One operation of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Operation {
    /// Declares the version that serves a service or route.
    Serve {
        /// Service.
        service: Name,
        /// Path prefix, empty for the whole service.
        route: Name,
        /// Version.
        version: Name,
    },
    /// Moves traffic to another version by a deadline.
    Move {
        /// Service.
        service: Name,
        /// Path prefix, empty for the whole service.
        route: Name,
        /// Version that serves now.
        from: Name,
        /// Version that is to serve.
        to: Name,
        /// Earliest time of the first share.
        start: Time,
        /// Time by which all traffic is to be on `to`.
        deadline: Time,
    },
    /// Withdraws a move that has not ended.
    Cancel {
        /// Identifier of the move.
        id: Name,
    },
    /// Takes a failure domain out of service.
    Out {
        /// Failure domain.
        failure_domain: Name,
    },
    /// Brings a failure domain back into service.
    In {
        /// Failure domain.
        failure_domain: Name,
    },
}
