//! Shortage of room at a node, and the uploads that are cut during one.
//!
//! An upload holds a slot of a backend server while it is sent. As long as a slot, a connection or
//! memory was lacking lately, uploads that make no progress are cut; otherwise they may take their
//! time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use super::eviction::{MIN_STALL, PROGRESS_BYTES};

/// Time for which a shortage lasts after something was lacking. In this time callers come back that
/// were refused.
const DURATION: Duration = Duration::from_secs(2);

/// When room was lacking last.
#[derive(Debug)]
pub struct Shortage {
    /// Reference point of the timestamp.
    origin: Instant,
    /// Time until which the shortage lasts, in microseconds since the origin.
    until: AtomicU64,
}

impl Default for Shortage {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            until: AtomicU64::new(0),
        }
    }
}

impl Shortage {
    /// Records that room is lacking.
    pub fn record(&self) {
        let until = (self.origin.elapsed() + DURATION).as_micros() as u64;
        self.until.store(until, Ordering::Relaxed);
    }

    /// Returns whether room was lacking lately.
    pub fn is_current(&self) -> bool {
        let until = Duration::from_micros(self.until.load(Ordering::Relaxed));
        self.origin.elapsed() < until
    }
}

/// Progress of an upload. Only the time in which the caller is waited for counts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Time waited for the caller since the last progress, before the current wait.
    waited: Duration,
    /// Bytes received since the last progress.
    bytes: u64,
    /// Begin of the current wait.
    waiting_since: Option<Instant>,
}

impl Progress {
    /// Records bytes that arrived.
    pub fn record(&mut self, bytes: u64, now: Instant) {
        if let Some(since) = self.waiting_since.take() {
            self.waited += now.saturating_duration_since(since);
        }
        self.bytes += bytes;
        if self.bytes >= PROGRESS_BYTES {
            (self.bytes, self.waited) = (0, Duration::ZERO);
        }
    }

    /// Records that the upload waits for the caller, and returns whether it has stalled.
    pub fn is_stalled(&mut self, now: Instant) -> bool {
        let since = *self.waiting_since.get_or_insert(now);
        self.waited + now.saturating_duration_since(since) >= MIN_STALL
    }
}
