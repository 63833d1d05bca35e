//! Rate limit that a backend server names in its responses.
//!
//! Calls start at even intervals, with a small burst after a pause (the generic cell rate algorithm).
//! A call that comes too early reserves the next free time and waits for it, or is refused if that
//! is later than it may wait.
//!
//! A limit holds until a response to a request that was sent after the limit was last named does not
//! name one; earlier responses may only be late. While no response was seen since the process started,
//! a low limit is assumed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::clock::Time;

/// Time whose calls may start at once after a pause.
const BURST: Duration = Duration::from_millis(500);

/// Lowest rate in calls per second; without calls there would be no responses that lift the limit.
const MIN_RATE: f64 = 0.5;

/// Limit that is assumed until the first response; two calls may then start at once.
const ASSUMED_LIMIT: f64 = 2.0;

/// Rate limit of a backend server, as last named by it.
#[derive(Debug, Default)]
pub struct RateLimiter {
    /// Whether there is a limit; read without the lock.
    is_limited: AtomicBool,
    /// State; the lock is held only for a few arithmetic operations.
    inner: Mutex<Inner>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Inner {
    /// Calls per second that the backend server takes; `None` without a limit.
    limit: Option<f64>,
    /// When the limit was last named.
    named_at: Time,
    /// Time at which the next call would start if all started at even intervals.
    next: Time,
    /// Whether the limit is assumed, as no response was seen.
    is_assumed: bool,
}

/// How a response changed the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The limit is as before.
    Unchanged,
    /// The limit is new or has another value, in calls per second.
    Limited(f64),
    /// There is no limit any more.
    Lifted,
}

/// When a call may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Now.
    Now,
    /// After this time, which is reserved for the call.
    After(Duration),
    /// Later than the call may wait.
    Refused,
}

impl RateLimiter {
    /// Assumes a limit until the first response, as an earlier process may have known one.
    pub fn assume_limited(&self) {
        let mut inner = self.lock();
        inner.limit = Some(ASSUMED_LIMIT);
        inner.is_assumed = true;
        self.is_limited.store(true, Ordering::Release);
    }

    /// Takes over what another limiter of the same backend server knows.
    pub fn inherit(&self, other: &Self) {
        let known = other.lock();
        let mut inner = self.lock();
        *inner = *known;
        self.is_limited
            .store(inner.limit.is_some(), Ordering::Release);
    }

    /// Records the limit that a response names, in calls per second, if any. The response belongs to
    /// a request that was sent at `sent_at`.
    pub fn update(&self, limit: Option<f64>, sent_at: Time, now: Time) -> Change {
        if limit.is_none() && !self.is_limited.load(Ordering::Acquire) {
            return Change::Unchanged;
        }
        let mut inner = self.lock();
        let is_late = sent_at < inner.named_at;
        let was_assumed = std::mem::take(&mut inner.is_assumed);
        let before = inner.limit.filter(|_| !was_assumed);
        match limit {
            Some(_) => {
                inner.named_at = now;
                inner.limit = limit;
            }
            None if is_late => return Change::Unchanged,
            None => inner.limit = None,
        }
        self.is_limited
            .store(inner.limit.is_some(), Ordering::Release);
        match limit {
            _ if limit == before => Change::Unchanged,
            Some(limit) => Change::Limited(limit),
            None => Change::Lifted,
        }
    }

    /// Decides when a call may start that may wait for at most `max_wait`.
    pub fn admit(&self, now: Time, max_wait: Duration) -> Admission {
        if !self.is_limited.load(Ordering::Acquire) {
            return Admission::Now;
        }
        let mut inner = self.lock();
        let Some(limit) = inner.limit else {
            return Admission::Now;
        };
        let next = inner.next.max(now);
        let wait = next.since(now).saturating_sub(BURST);
        if wait > max_wait {
            return Admission::Refused;
        }
        inner.next = next + Duration::from_secs_f64(1.0 / limit.max(MIN_RATE));
        if wait.is_zero() {
            Admission::Now
        } else {
            Admission::After(wait)
        }
    }

    /// Returns the load in thousandths of what may start at once after a pause, zero without a limit.
    pub fn load_permille(&self, now: Time) -> u32 {
        if !self.is_limited.load(Ordering::Acquire) {
            return 0;
        }
        let reserved = self.lock().next.since(now).as_millis();
        (reserved * 1_000 / BURST.as_millis()) as u32
    }

    /// Locks the state. A poisoned lock is still used, since a panic elsewhere does not invalidate
    /// the state.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
