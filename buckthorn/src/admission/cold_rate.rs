//! Rate limit of a cold backend server.
//!
//! The limit applies to every sliding second, since a cold backend server also fails on short
//! bursts. While it is unknown whether the backend server is cold, for example after its
//! connections broke, it is assumed to be cold until the next heartbeat reports otherwise.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::clock::Time;

/// Fraction of the slack that the limit uses. The rest covers calls that are delayed between the
/// limiter and the backend server and then arrive together.
const SLACK_PART: f64 = 0.5;

/// Sliding window over which calls are counted. It is slightly longer than a second, since calls
/// reach the backend server some time after they were admitted.
const WINDOW: Duration = Duration::from_millis(1_100);

/// How long a backend server is assumed to be cold without a heartbeat: about two heartbeat
/// intervals.
const MAX_ASSUMED_COLD: Duration = Duration::from_secs(3);

/// How far the calls within a second may exceed the rate of a cold backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Factor applied to the rate.
    pub overshoot: f64,
    /// Number of calls beyond that.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            overshoot: 1.0,
            slack: 0.0,
        }
    }
}

impl Tolerance {
    /// Returns the calls that may start within a second at a backend server that handles `rate`
    /// calls per second while cold; at least one.
    pub fn max_calls(&self, rate: f64) -> usize {
        let calls = rate * self.overshoot + self.slack * SLACK_PART;
        (calls.floor() as usize).max(1)
    }
}

/// Rate limiter of a backend server while it is cold.
#[derive(Debug)]
pub struct ColdRateLimiter {
    /// State; the lock is held only for a few arithmetic operations.
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// Calls that may start within a window; `None` if the backend server is never limited.
    max_calls: Option<usize>,
    /// End of the reported cold period.
    cold_until: Time,
    /// Time until which the backend server is assumed to be cold.
    assumed_cold_until: Time,
    /// Time until which a window counts as full, as it is unknown which calls started in it.
    full_until: Time,
    /// Whether a call was refused for that. Those that wait come together afterwards, so the limit
    /// then holds for one more window, also when the backend server turns warm in it.
    was_held: bool,
    /// Times of the calls that started within the last window.
    starts: VecDeque<Time>,
}

impl ColdRateLimiter {
    /// Creates a limiter that admits this many calls within a second while the backend server is
    /// cold; `None` means no limit.
    pub fn new(max_calls: Option<usize>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                max_calls,
                cold_until: Time::default(),
                assumed_cold_until: Time::default(),
                full_until: Time::default(),
                was_held: false,
                starts: VecDeque::new(),
            }),
        }
    }

    /// Sets the limit, when the policy changes.
    pub fn set_max_calls(&self, max_calls: Option<usize>) {
        self.lock().max_calls = max_calls;
    }

    /// Records how long the backend server reports that it will stay cold.
    pub fn set_cold_for(&self, now: Time, left: Duration) {
        let mut inner = self.lock();
        inner.cold_until = now + left;
        inner.assumed_cold_until = Time::default();
    }

    /// Assumes that the backend server is cold until the next heartbeat, or for at most 3 s without
    /// one.
    pub fn assume_cold(&self, now: Time) {
        self.lock().assumed_cold_until = now + MAX_ASSUMED_COLD;
    }

    /// Takes the second before a time for full, as an earlier process may have admitted calls in it.
    pub fn assume_full(&self, at: Time) {
        self.lock().full_until = at + WINDOW;
    }

    /// Takes over what another limiter of the same backend server knows.
    pub fn inherit(&self, other: &Self) {
        let known = other.lock();
        let mut inner = self.lock();
        inner.cold_until = known.cold_until;
        inner.assumed_cold_until = known.assumed_cold_until;
        inner.full_until = known.full_until;
        inner.was_held = known.was_held;
        inner.starts.clone_from(&known.starts);
    }

    /// Returns whether the backend server is cold or assumed to be, so that the limit applies.
    pub fn is_cold(&self, now: Time) -> bool {
        self.lock().is_cold(now)
    }

    /// Returns whether a call may start now, and counts it if so.
    pub fn admit(&self, now: Time) -> bool {
        let mut inner = self.lock();
        while inner
            .starts
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            inner.starts.pop_front();
        }
        let is_full = inner
            .max_calls
            .is_some_and(|max| inner.starts.len() >= max || now < inner.full_until);
        let is_after_hold = inner.was_held && now < inner.full_until + WINDOW;
        if is_full && (inner.is_cold(now) || is_after_hold) {
            inner.was_held |= now < inner.full_until;
            return false;
        }
        // Starts are also counted while warm, so that the limit covers the last second as soon as
        // the backend server turns cold.
        inner.starts.push_back(now);
        true
    }

    /// Locks the state. A poisoned lock is still used, since a panic elsewhere does not invalidate
    /// the state.
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Returns whether the backend server is cold or assumed to be.
    fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until || now < self.assumed_cold_until
    }
}
