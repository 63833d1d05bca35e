//! Circuit breaker for a backend server that accepts calls and never responds.
//!
//! Such a backend server would occupy every slot for a whole timeout. After several calls in a row
//! without a response it gets one call at a time, until it responds to one. A slow backend server
//! responds from time to time, which closes the breaker again. Callers that disconnect early do not
//! open it.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Consecutive calls without a response that open the breaker.
const MAX_UNANSWERED: u32 = 4;

/// Shortest wait that counts as a call without a response. Callers that disconnect or whose
/// deadline passes sooner say nothing about the backend server: most responses take longer than
/// some deadlines.
const MIN_UNANSWERED_WAIT: Duration = Duration::from_millis(250);

/// Counts consecutive calls without a response and limits a silent backend server to one call.
#[derive(Debug, Default)]
pub struct CircuitBreaker {
    /// Consecutive calls without a response.
    unanswered: AtomicU32,
}

impl CircuitBreaker {
    /// Records a response, good or bad, which closes the breaker.
    pub fn record_response(&self) {
        if self.unanswered.load(Ordering::Relaxed) > 0 {
            self.unanswered.store(0, Ordering::Relaxed);
        }
    }

    /// Records a call that got no response before its caller disconnected or its deadline passed.
    pub fn record_no_response(&self, wait: Duration) {
        if wait >= MIN_UNANSWERED_WAIT {
            self.unanswered.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns whether a call may be sent while `running` calls run, itself included.
    pub fn admits(&self, running: u32) -> bool {
        self.unanswered.load(Ordering::Relaxed) < MAX_UNANSWERED || running <= 1
    }
}
