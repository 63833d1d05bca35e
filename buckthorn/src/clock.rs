//! Time and clock of a node.
//!
//! Decision modules never read the clock: the time is passed in with each event, so that randomised
//! tests and simulations run the same code in virtual time.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Point in time, in microseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Creates a time from whole milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Creates a time from whole seconds since the Unix epoch.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Returns the whole milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this time.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(micros(rhs)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(micros(rhs)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stamp = i64::try_from(self.0)
            .ok()
            .and_then(|micros| jiff::Timestamp::from_microsecond(micros).ok());
        match stamp {
            Some(stamp) => write!(f, "{stamp:.3}"),
            None => write!(f, "{}us", self.0),
        }
    }
}

/// Converts a duration to whole microseconds, saturating at the largest [`Time`].
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Wall clock that never steps backwards within one process.
#[derive(Clone, Debug)]
pub struct Clock {
    /// Wall time when the clock was created.
    base: Time,
    /// Monotonic instant of `base`.
    origin: Instant,
}

impl Clock {
    /// Creates a clock anchored at the current wall time.
    pub fn new() -> Self {
        let base = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            base: Time(base.as_micros() as u64),
            origin: Instant::now(),
        }
    }

    /// Returns the current time.
    #[inline]
    pub fn now(&self) -> Time {
        self.base + self.origin.elapsed()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
