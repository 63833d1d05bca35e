//! Times at which the counts of a window are handed in.

use std::time::Duration;

use crate::clock::Time;

/// Part of the time for handing in after which the holder no longer waits for missing counts.
const CUTOFF_PART: f64 = 0.4;

/// Part of the time for handing in after which the other candidates read the record, so that they know
/// since when it has not changed when they take over.
const OBSERVE_PART: f64 = 0.2;

/// Part of the time for handing in after which the first of the other candidates takes over.
const TAKEOVER_PART: f64 = 0.45;

/// Part of the time for handing in by which each further candidate takes over later.
const RANK_PART: f64 = 0.05;

/// Windows of the wall clock: window `k` begins `k` times its length after the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Length of a window, above zero.
    pub window: Duration,
    /// Time after the end of a window by which its counts are due, above zero.
    pub late: Duration,
}

impl Schedule {
    /// Window that a time lies in.
    pub fn window_at(&self, time: Time) -> u64 {
        (u128::from(time.0) / self.window.as_micros()) as u64
    }

    /// End of a window.
    pub fn end(&self, window: u64) -> Time {
        let micros = self.window.as_micros() as u64;
        Time(micros.saturating_mul(window.saturating_add(1)))
    }

    /// Time by which the counts of a window are due.
    pub fn due(&self, window: u64) -> Time {
        self.end(window) + self.late
    }

    /// Time from which the holder hands in a window although counts may be missing.
    pub fn cutoff(&self, window: u64) -> Time {
        self.end(window) + self.late.mul_f64(CUTOFF_PART)
    }

    /// Time from which the other candidates read whether a window was handed in.
    pub fn observe(&self, window: u64) -> Time {
        self.end(window) + self.late.mul_f64(OBSERVE_PART)
    }

    /// Time from which the candidate of a rank takes over if a window was not handed in.
    pub fn takeover(&self, window: u64, rank: usize) -> Time {
        let part = TAKEOVER_PART + RANK_PART * rank as f64;
        self.end(window) + self.late.mul_f64(part)
    }

    /// First window whose counts are not overdue.
    pub fn first_open(&self, now: Time) -> u64 {
        self.window_at(now - self.late)
    }
}
