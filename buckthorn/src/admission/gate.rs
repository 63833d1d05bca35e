//! Pure decision of who runs, waits or is refused.

use crate::clock::Time;
use crate::counter::Counter;

/// Priority by RFC 9218 urgency, 0 (highest) to 7.
pub type Urgency = u8;

/// Urgency of calls that name none (RFC 9218, section 4.1).
pub const DEFAULT_URGENCY: Urgency = 3;

/// A call at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Priority.
    pub urgency: Urgency,
    /// Time by which the caller needs the answer.
    pub deadline: Option<Time>,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The queue is full of calls that go first.
    QueueFull,
    /// A call of higher priority took its place.
    Shed,
    /// Its deadline cannot be met.
    Deadline,
    /// The node or its backend server is leaving.
    Draining,
    /// No backend server is announced here.
    NoBackendServer,
    /// The failure domain is out of service.
    OutOfService,
    /// The version is quarantined.
    Quarantined,
}

impl Refusal {
    /// Machine-readable reason in the answer.
    pub const fn reason(self) -> &'static str {
        match self {
            Self::QueueFull => "queue-full",
            Self::Shed => "shed",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
            Self::NoBackendServer => "no-backend-server",
            Self::OutOfService => "out-of-service",
            Self::Quarantined => "quarantined",
        }
    }

    /// Counter of the refusal.
    pub const fn counter(self) -> Counter {
        match self {
            Self::QueueFull => Counter::RefusedQueueFull,
            Self::Shed => Counter::RefusedShed,
            Self::Deadline => Counter::RefusedDeadline,
            Self::Draining => Counter::RefusedDraining,
            Self::NoBackendServer => Counter::RefusedNoBackendServer,
            Self::OutOfService => Counter::RefusedOutOfService,
            Self::Quarantined => Counter::RefusedQuarantined,
        }
    }
}
