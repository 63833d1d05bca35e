//! Time at which the policy of a node was last known to be the newest one.
//!
//! A key that was taken away must stop working within a bound, also on a node that can't hear of
//! it. A node therefore accepts keys only while its policy was confirmed within that bound, and
//! refuses calls with a key afterwards as not run: it can't tell a key that is in force from one that
//! was taken away. Calls on public routes and those of backend servers are served on.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::Time;

/// Part of the bound within which the policy has to be confirmed. The rest covers that clocks of
/// hosts run at different rates, and the time until a table takes effect.
const BOUND_PART: f64 = 0.9;

/// Confirmation of the policy, shared with the data path.
#[derive(Debug, Default)]
pub struct Confirmation {
    /// Time in microseconds at which the policy was last known to be the newest.
    confirmed_at: AtomicU64,
    /// Maximum age; absent where keys are accepted however old the policy is.
    max_age: Option<Duration>,
}

impl Confirmation {
    /// Confirmation of a deployment in which a key stops working within `revocation` after it was
    /// taken away.
    pub fn new(revocation: Option<Duration>) -> Self {
        Self {
            confirmed_at: AtomicU64::new(0),
            max_age: revocation.map(|bound| bound.mul_f64(BOUND_PART)),
        }
    }

    /// Records that the policy in force at `at` is the one of this node.
    pub fn confirm(&self, at: Time) {
        self.confirmed_at.fetch_max(at.0, Ordering::AcqRel);
    }

    /// Whether keys may be accepted by the policy of this node.
    pub fn is_current(&self, now: Time) -> bool {
        let confirmed_at = Time(self.confirmed_at.load(Ordering::Acquire));
        self.max_age
            .is_none_or(|max_age| now.since(confirmed_at) <= max_age)
    }
}
