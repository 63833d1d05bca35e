//! First rank of new calls that an owner has no room for.
//!
//! The cut follows how long calls wait, not how many there are, as in CoDel (RFC 8289): a queue that
//! empties now and then only absorbs a burst, but when every call of a rank waits too long for a
//! whole interval, there is less room than demand. The cut is one threshold in the order of ranks,
//! since calls of a less urgent rank wait longer. It concerns new calls only.

use std::time::Duration;

use super::gate::Urgency;
use super::rank::Rank;
use crate::clock::Time;

/// Time for which every call of a rank has to wait too long (RFC 8289, section 4.3).
pub const INTERVAL: Duration = Duration::from_millis(100);

/// A call waits too long when it waits for more than its longest wait divided by this: the rest of the
/// wait has to suffice for the next backend server if this one refuses.
pub const TARGET_DIVISOR: u32 = 2;

/// Time after the last call of a rank after which its wait is unknown.
pub const EXPIRY: Duration = Duration::from_secs(1);

/// Waits of new calls at one backend server.
#[derive(Clone, Debug, Default)]
pub struct Cut([Wait; Rank::MAX_URGENCY as usize + 1]);

/// Waits of the new calls of one urgency.
#[derive(Clone, Copy, Debug, Default)]
struct Wait {
    /// Time since which every call has waited too long or was refused.
    long_since: Option<Time>,
    /// Time of the last call.
    last: Time,
}

impl Cut {
    /// Records that a call ran after a wait, of which it would have borne `longest`.
    pub fn record_wait(&mut self, rank: Rank, wait: Duration, longest: Duration, now: Time) {
        if rank.is_in_progress() {
            return;
        }
        if wait > longest / TARGET_DIVISOR {
            return self.record_refusal(rank, now);
        }
        // More urgent calls wait no longer than this one.
        for wait in &mut self.0[..=usize::from(rank.urgency())] {
            wait.long_since = None;
        }
    }

    /// Records that a call was refused because its wait was or would have been too long.
    pub fn record_refusal(&mut self, rank: Rank, now: Time) {
        if rank.is_in_progress() {
            return;
        }
        let wait = &mut self.0[usize::from(rank.urgency())];
        if now.since(wait.last) >= EXPIRY {
            wait.long_since = None;
        }
        wait.long_since.get_or_insert(now);
        wait.last = now;
    }

    /// Records that no call waits.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the index of the first rank that is refused, [`Rank::COUNT`] when none is.
    pub fn index(&self, now: Time) -> usize {
        let is_refused = |wait: &Wait| {
            let is_long = |since| now.since(since) >= INTERVAL;
            wait.long_since.is_some_and(is_long) && now.since(wait.last) < EXPIRY
        };
        let urgency = self.0.iter().position(is_refused);
        urgency.map_or(Rank::COUNT, |urgency| Rank::new(urgency as Urgency).index())
    }
}
