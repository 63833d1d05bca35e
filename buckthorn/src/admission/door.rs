//! The gate made safe to share between the threads that carry calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use super::gate::{Offer, Refusal};
use crate::clock::Clock;
use crate::counter::Board;
use crate::rollout::evidence::Outcome;

/// Entry to one backend server.
#[derive(Debug)]
pub struct Door {
    /// Calls running.
    running: AtomicU32,
    /// Calls that may run at once.
    limit: AtomicU32,
    /// Whether no new call is let in.
    is_closed: AtomicBool,
}

/// Right to run one call; gives the slot back when finished or dropped.
#[derive(Debug)]
pub struct Permit {
    /// Door that gave it.
    door: Arc<Door>,
}

impl Door {
    /// Door of a backend server with this many slots.
    pub fn new(_clock: Clock, _counters: Arc<Board>, slots: u32) -> Arc<Self> {
        Arc::new(Self {
            running: AtomicU32::new(0),
            limit: AtomicU32::new(slots),
            is_closed: AtomicBool::new(false),
        })
    }

    /// Waits for a slot, or says why the call is not run.
    ///
    /// # Errors
    ///
    /// Returns the refusal; the call has not run.
    pub async fn enter(self: &Arc<Self>, _offer: Offer) -> Result<Permit, Refusal> {
        if self.is_closed.load(Ordering::Acquire) {
            return Err(Refusal::Draining);
        }
        let limit = self.limit.load(Ordering::Relaxed);
        self.running
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| {
                (n < limit).then_some(n + 1)
            })
            .map(|_| Permit { door: self.clone() })
            .map_err(|_| Refusal::QueueFull)
    }

    /// Refuses every new call from now on; calls in flight go on.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Release);
    }

    /// Calls running now.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Load in thousandths of the present limit, told to ingresses.
    pub fn load_permille(&self) -> u32 {
        self.running() * 1_000 / self.limit.load(Ordering::Relaxed).max(1)
    }
}

impl Permit {
    /// Reports how the call ended and gives the slot back.
    pub fn finish(self, _outcome: Outcome, _latency: Duration) {}
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.door.running.fetch_sub(1, Ordering::AcqRel);
    }
}
