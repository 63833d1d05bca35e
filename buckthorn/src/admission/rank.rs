//! Order in which calls run when a backend server has too little room for all of them.
//!
//! Calls that a running request makes go before new requests: refusing one of them wastes what its
//! request has already run. Within both groups the urgency of the route decides (RFC 9218, 0 first).

use super::gate::Urgency;

/// Place of a call in the order; the smallest runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Whether no running request depends on the call.
    is_new: bool,
    /// Urgency of the call's route.
    urgency: Urgency,
}

impl Rank {
    /// Largest urgency of a rank.
    pub const MAX_URGENCY: Urgency = 7;

    /// Number of ranks.
    pub const COUNT: usize = 2 * (Self::MAX_URGENCY as usize + 1);

    /// Rank of a new request.
    pub const fn new(urgency: Urgency) -> Self {
        let urgency = if urgency > Self::MAX_URGENCY {
            Self::MAX_URGENCY
        } else {
            urgency
        };
        Self {
            is_new: true,
            urgency,
        }
    }

    /// Rank of a call that a running request makes.
    pub const fn in_progress(urgency: Urgency) -> Self {
        Self {
            is_new: false,
            ..Self::new(urgency)
        }
    }

    /// Returns whether a running request depends on the call.
    pub const fn is_in_progress(self) -> bool {
        !self.is_new
    }

    /// Returns the urgency of the call's route.
    pub const fn urgency(self) -> Urgency {
        self.urgency
    }

    /// Returns the place of the rank in the order, from zero.
    pub fn index(self) -> usize {
        let group = if self.is_new { Self::COUNT / 2 } else { 0 };
        group + usize::from(self.urgency)
    }

    /// Returns the rank with a place in the order; `None` beyond the last.
    pub fn from_index(index: usize) -> Option<Self> {
        if index >= Self::COUNT {
            return None;
        }
        Some(Self {
            is_new: index >= Self::COUNT / 2,
            urgency: (index % (Self::COUNT / 2)) as Urgency,
        })
    }
}
