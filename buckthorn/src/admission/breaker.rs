//! Sign of life of a backend server, by the calls that it leaves without an answer.
//!
//! A backend server that takes calls and never answers would hold every slot for a whole timeout.
//! Once several calls in a row went without an answer it gets one call at a time, until one is
//! answered. A slow backend server answers now and then, which ends the suspicion; callers that
//! leave early do not raise it.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Calls without an answer in a row from which on a backend server is taken for silent.
const MAX_UNANSWERED: u32 = 4;

/// Wait without an answer that counts. Callers that leave or whose deadline passes sooner say nothing
/// about the backend server: most answers take longer than some deadlines.
const MIN_PATIENCE: Duration = Duration::from_millis(250);

/// Calls left without an answer.
#[derive(Debug, Default)]
pub struct CircuitBreaker {
    /// Such calls in a row.
    unanswered: AtomicU32,
}

impl CircuitBreaker {
    /// Notes an answer, good or bad.
    pub fn record_response(&self) {
        if self.unanswered.load(Ordering::Relaxed) > 0 {
            self.unanswered.store(0, Ordering::Relaxed);
        }
    }

    /// Notes a call that got no answer until its caller left or its deadline passed.
    pub fn record_no_response(&self, wait: Duration) {
        if wait >= MIN_PATIENCE {
            self.unanswered.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Whether a call may go to the backend server while `running` run, itself included.
    pub fn admits(&self, running: u32) -> bool {
        self.unanswered.load(Ordering::Relaxed) < MAX_UNANSWERED || running <= 1
    }
}
