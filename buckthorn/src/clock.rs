//! Time as the decision modules see it.
//!
//! Decision code never reads a clock: the time arrives with each event, so that a randomised run
//! drives the same code in virtual time.

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
    /// Time from whole milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Time from whole seconds since the Unix epoch.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Whole milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time elapsed since `earlier`, zero when `earlier` lies in the future.
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

/// Whole microseconds of a duration, the most that a time holds when there are more.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Wall clock that never steps backwards within one process.
#[derive(Clone, Debug)]
pub struct Clock {
    /// Wall time when the clock was made.
    base: Time,
    /// Monotonic instant of `base`.
    origin: Instant,
}

impl Clock {
    /// Clock anchored at the present wall time.
    pub fn new() -> Self {
        let base = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            base: Time(base.as_micros() as u64),
            origin: Instant::now(),
        }
    }

    /// Present time.
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
