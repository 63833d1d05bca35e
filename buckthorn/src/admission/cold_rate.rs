//! Rate limit of a cold backend server.
//!
//! The limit holds over every sliding second, since a cold backend server fails on short bursts as
//! well. While it is unsure whether the backend server is cold, for instance after its connections
//! broke, it is taken for cold until the next heartbeat says otherwise.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::clock::Time;

/// Part of the slack that is used: the rest is for calls that are held up between the limit and the
/// backend server, and then come together.
const SLACK_PART: f64 = 0.5;

/// Span over which calls are counted; a little over a second, since calls arrive later than they
/// are let in.
const WINDOW: Duration = Duration::from_millis(1_100);

/// Longest time that a doubt lasts without a heartbeat: about two heartbeat intervals.
const MAX_DOUBT: Duration = Duration::from_secs(3);

/// How far a cold backend server may be loaded beyond its rate within a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Factor on the rate.
    pub overshoot: f64,
    /// Calls beyond that.
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
    /// Calls that may start within a second at a backend server that bears `rate` calls a second.
    pub fn max_calls(&self, rate: f64) -> usize {
        let calls = rate * self.overshoot + self.slack * SLACK_PART;
        (calls.floor() as usize).max(1)
    }
}

/// Rate limit of a backend server while it is cold.
#[derive(Debug)]
pub struct ColdRateLimiter {
    /// State, locked for a few steps of arithmetic.
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// Calls that may start within a window; none when the backend server is never limited.
    calls: Option<usize>,
    /// End of the cold period.
    until: Time,
    /// End of a doubt.
    doubt: Time,
    /// Starts within the last window.
    starts: VecDeque<Time>,
}

impl ColdRateLimiter {
    /// Limit for a backend server that may get so many calls within a second while cold.
    pub fn new(calls: Option<usize>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                calls,
                until: Time::default(),
                doubt: Time::default(),
                starts: VecDeque::new(),
            }),
        }
    }

    /// Takes over the limit of a new policy.
    pub fn set_max_calls(&self, calls: Option<usize>) {
        self.lock().calls = calls;
    }

    /// Notes how long the backend server says that it stays cold.
    pub fn set_cold_for(&self, now: Time, left: Duration) {
        let mut inner = self.lock();
        inner.until = now + left;
        inner.doubt = Time::default();
    }

    /// Takes the backend server for cold until it says otherwise.
    pub fn assume_cold(&self, now: Time) {
        self.lock().doubt = now + MAX_DOUBT;
    }

    /// Whether the limit is in force.
    pub fn is_cold(&self, now: Time) -> bool {
        self.lock().is_cold(now)
    }

    /// Whether a call may start now; counts it if so.
    pub fn admit(&self, now: Time) -> bool {
        let mut inner = self.lock();
        while inner
            .starts
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            inner.starts.pop_front();
        }
        let is_full = inner.calls.is_some_and(|calls| inner.starts.len() >= calls);
        if is_full && inner.is_cold(now) {
            return false;
        }
        // Starts are counted while warm too, so that a turn to cold finds the last second's.
        inner.starts.push_back(now);
        true
    }

    /// State; a panic elsewhere does not spoil it.
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Whether the limit is in force.
    fn is_cold(&self, now: Time) -> bool {
        now < self.until || now < self.doubt
    }
}
