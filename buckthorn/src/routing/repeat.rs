//! Retry amplification along chains of calls.
//!
//! A retried call runs again at its backend server, and the calls that the backend server makes on
//! its behalf are then repeats as well, though each of them is a first attempt at its own ingress.
//! Those repeats have to fit into the retry budget of the service that they go to; otherwise two
//! services that each retry a fifth of their calls load a third one with two fifths.
//!
//! A call that a backend server makes doesn't name the call that it serves. Its ingress is the node
//! beside that backend server, though, which knows the share of repeats among the recent runs
//! there, and charges the budget with that share of a retry for each such call.
//!
//! The requests of the host's own callers arrive like those calls. They repeat nothing, but if they
//! were charged too, and charged the nodes that they reach in turn, the share would never fall again:
//! every budget would stay in debt after the first burst of retries. So where a backend server's calls
//! are recognised as such ([`super::parent`]), each is charged by the run that it is made for, and the
//! others are not charged.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use super::budget::RETRY_COST;
use crate::clock::Time;

/// Certain repeat, in thousandths.
pub const REPEAT: u32 = RETRY_COST;

/// Weight of the latest run in the share is one over this: the share follows the last 16 runs or so,
/// which is a fraction of a second at a busy backend server.
const WEIGHT_DIVISOR: u32 = 16;

/// Fraction bits of the stored share, so that the small steps of the average are not rounded away.
const FRACTION_BITS: u32 = 10;

/// Time after a recognised call for which calls that are not recognised count as new requests.
pub const RECOGNITION: Duration = Duration::from_secs(10);

/// Share of repeats among the recent runs of a backend server.
#[derive(Debug, Default)]
pub struct RepeatShare {
    /// Share in thousandths with [`FRACTION_BITS`].
    share: AtomicU32,
    /// When a call of the backend server was recognised last, in microseconds since the Unix epoch.
    recognised_at: AtomicU64,
}

impl RepeatShare {
    /// Records the start of a run, which is a repeat with the given probability in thousandths.
    pub fn record(&self, permille: u32) {
        let latest = permille.min(REPEAT) << FRACTION_BITS;
        let average = |share: u32| Some(share - share / WEIGHT_DIVISOR + latest / WEIGHT_DIVISOR);
        // The closure never declines.
        let _ = self
            .share
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, average);
    }

    /// Returns the share of repeats, in thousandths.
    pub fn permille(&self) -> u32 {
        self.share.load(Ordering::Relaxed) >> FRACTION_BITS
    }

    /// Records that a call of the backend server was recognised.
    pub fn record_recognised(&self, now: Time) {
        self.recognised_at.store(now.0, Ordering::Relaxed);
    }

    /// Returns the probability in thousandths that a call which was not recognised is made on behalf of
    /// a repeat.
    pub fn unrecognised_permille(&self, now: Time) -> u32 {
        let recognised_at = Time(self.recognised_at.load(Ordering::Relaxed));
        if now.since(recognised_at) < RECOGNITION {
            return 0;
        }
        self.permille()
    }
}
