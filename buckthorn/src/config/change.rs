//! Operators' changes of the intent: operations that are published in one record and accepted or
//! refused together.

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::name::Name;

/// Change of the intent, published by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Intent version that the change was planned on.
    pub base: u64,
    /// Operator who published the change.
    pub author: String,
    /// Time of publication, by the publisher's clock.
    pub at: Time,
    /// Operations, applied in order.
    pub operations: Vec<Operation>,
}

/// One operation of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Operation {
    /// Declares the version that serves a service or route.
    Serve {
        /// Name of the service, which is the host of its calls.
        service: Name,
        /// Path prefix, empty for the whole service.
        route: Name,
        /// Version that serves the route.
        version: Name,
    },
    /// Moves traffic to another version by a deadline.
    Move {
        /// Name of the service, which is the host of its calls.
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
    /// Withdraws an open move; traffic on its new version returns to the old one.
    Cancel {
        /// Identifier of the move.
        id: Name,
    },
    /// Takes a failure domain out of service.
    Out {
        /// Name of the failure domain.
        failure_domain: Name,
    },
    /// Brings a failure domain back into service.
    In {
        /// Name of the failure domain.
        failure_domain: Name,
    },
}
