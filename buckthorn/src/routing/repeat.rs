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

use std::sync::atomic::{AtomicU32, Ordering};

use super::budget::RETRY_COST;

/// Certain repeat, in thousandths.
pub const REPEAT: u32 = RETRY_COST;

/// Weight of the latest run in the share is one over this: the share follows the last 16 runs or so,
/// which is a fraction of a second at a busy backend server.
const WEIGHT_DIVISOR: u32 = 16;

/// Fraction bits of the stored share, so that the small steps of the average are not rounded away.
const FRACTION_BITS: u32 = 10;

/// Share of repeats among the recent runs of a backend server.
#[derive(Debug, Default)]
pub struct RepeatShare(AtomicU32);

impl RepeatShare {
    /// Records the start of a run, which is a repeat with the given probability in thousandths.
    pub fn record(&self, permille: u32) {
        let latest = permille.min(REPEAT) << FRACTION_BITS;
        let average = |share: u32| Some(share - share / WEIGHT_DIVISOR + latest / WEIGHT_DIVISOR);
        // The closure never declines.
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, average);
    }

    /// Returns the share of repeats, in thousandths.
    pub fn permille(&self) -> u32 {
        self.0.load(Ordering::Relaxed) >> FRACTION_BITS
    }
}
