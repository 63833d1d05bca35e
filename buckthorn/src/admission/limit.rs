//! Adaptive concurrency limit of a backend server.
//!
//! The limit starts at [`START_LIMIT`] and stays within `[1, slots]`. It rises by one slot for each
//! window of good responses, at most once in [`RAISE_INTERVAL`], and only when at least half of it
//! was in use. It is multiplied by [`CUT_FACTOR`] when the backend server sheds, resets or times
//! out, when many responses are errors, or when the mean latency of a window is more than
//! [`OVERLOAD_RISE`] above the server's baseline. An unused limit decays, because an idle server
//! may turn cold. Long calls, such as downloads, produce no outcomes to adapt to; while they occupy
//! the whole limit and nothing indicates overload, it rises up to half of the slots.
//!
//! Latency is compared on a logarithmic scale, so that a few long calls among many short ones do
//! not look like a slow server. The unit is 1/[`STEPS_PER_DOUBLING`] of a doubling.

use std::time::Duration;

use crate::clock::Time;
use crate::rollout::evidence::Outcome;

/// Limit of a newly started backend server.
pub const START_LIMIT: u32 = 2;

/// Without outcomes, long calls raise the limit to at most the slots divided by this.
pub const LONG_CALL_DIVISOR: u32 = 2;

/// Shortest time between two raises of the limit.
pub const RAISE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest time between two cuts, so that calls already running cause one cut, not many.
pub const CUT_INTERVAL: Duration = Duration::from_millis(100);

/// Factor by which a cut multiplies the limit.
pub const CUT_FACTOR: f64 = 0.7;

/// Idle time after which the limit is halved; each further such period halves it again.
pub const IDLE_HALVING: Duration = Duration::from_secs(5);

/// Steps of the logarithmic latency scale for one doubling.
pub const STEPS_PER_DOUBLING: u32 = 256;

/// Rise above the baseline that counts as overload, on the logarithmic scale.
pub const OVERLOAD_RISE: u32 = STEPS_PER_DOUBLING;

/// The baseline moves towards a lower latency by the difference divided by this.
const FALL_DIVISOR: i64 = 8;

/// The baseline moves towards a higher latency by the difference divided by this.
const RISE_DIVISOR: i64 = 64;

/// Smallest number of outcomes in a window.
pub const MIN_WINDOW: u32 = 20;

/// Number of outcomes in a window for each call of the limit.
pub const WINDOW_PER_SLOT: u32 = 4;

/// More than one error in this many outcomes counts as overload.
const ERROR_DIVISOR: u32 = 4;

/// Timeouts shorter than this many typical latencies say nothing about the backend server.
const TIMEOUT_FACTOR: u32 = 2;

/// Outcomes at one backend server since the limit was last updated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Number of good responses.
    pub good: u32,
    /// Number of errors and broken responses.
    pub errors: u32,
    /// Sum of the latencies of good responses on the logarithmic scale.
    pub scale_sum: u64,
    /// Sum of the latencies of good responses in microseconds.
    pub micros_sum: u64,
    /// Largest number of calls running at once.
    pub peak: u32,
}

/// Effect of an update on the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The limit stays as it was.
    Unchanged,
    /// The limit was raised by a slot.
    Raised,
    /// The limit was reduced.
    Cut,
}

/// What an outcome indicates about the backend server's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The outcome says nothing about capacity.
    None,
    /// A good response.
    Good,
    /// An error, caused by the version or by overload.
    Error,
    /// The backend server is overloaded.
    Overload,
}

/// Concurrency limit of one backend server.
#[derive(Clone, Debug)]
pub struct Limit {
    /// Announced number of slots.
    slots: u32,
    /// Limit within `[1, slots]`, rounded down when applied.
    value: f64,
    /// Baseline latency on the logarithmic scale, times [`STEPS_PER_DOUBLING`]; zero before the
    /// first window.
    baseline: i64,
    /// Smoothed mean latency, zero before the first window.
    mean: Duration,
    /// Time of the last raise or cut.
    changed: Time,
    /// Time of the last cut.
    cut: Time,
    /// Time at which the backend server was last in use.
    used: Time,
    /// Whether outcomes do not change the limit.
    is_fixed: bool,
}

impl Window {
    /// Adds a good response.
    pub fn add(&mut self, latency: Duration) {
        self.good += 1;
        self.scale_sum += u64::from(to_log_scale(latency));
        self.micros_sum += latency.as_micros() as u64;
    }

    /// Returns the number of outcomes counted.
    pub fn len(&self) -> u32 {
        self.good + self.errors
    }

    /// Returns whether no outcome was counted.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Limit {
    /// Creates the limit of a newly started backend server.
    pub fn new(slots: u32, now: Time) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            value: f64::from(START_LIMIT.min(slots)),
            baseline: 0,
            mean: Duration::ZERO,
            changed: now,
            cut: Time::default(),
            used: now,
            is_fixed: false,
        }
    }

    /// Creates a limit that equals the slots until [`Limit::set_fixed`] changes it, for a backend server
    /// whose slots are exact.
    pub fn fixed(slots: u32, now: Time) -> Self {
        Self {
            is_fixed: true,
            ..Self::warm(slots, now)
        }
    }

    /// Sets a fixed limit to a number of calls within the slots; an adaptive one stays as it is.
    pub fn set_fixed(&mut self, limit: u32) {
        if self.is_fixed {
            self.value = f64::from(limit.clamp(1, self.slots));
        }
    }

    /// Creates the limit of a backend server known to handle all its slots.
    pub fn warm(slots: u32, now: Time) -> Self {
        let cold = Self::new(slots, now);
        Self {
            value: f64::from(cold.slots),
            ..cold
        }
    }

    /// Returns the number of calls that may run at once.
    pub fn get(&self) -> u32 {
        let limit = self.value as u32;
        assert!(
            (1..=self.slots).contains(&limit),
            "invariant: the limit is between one and the announced slots"
        );
        limit
    }

    /// Returns whether outcomes do not change the limit.
    pub fn is_fixed(&self) -> bool {
        self.is_fixed
    }

    /// Returns the announced number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the smoothed mean latency, zero when unknown.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the baseline latency of a typical call, zero when unknown.
    pub fn typical(&self) -> Duration {
        from_log_scale((self.baseline / i64::from(STEPS_PER_DOUBLING)) as u32)
    }

    /// Records that the backend server was in use at this time.
    pub fn mark_used(&mut self, at: Time) {
        self.used = self.used.max(at);
    }

    /// Halves the limit for each [`IDLE_HALVING`] since the last use, down to [`START_LIMIT`].
    pub fn decay(&mut self, now: Time) -> Change {
        let idle = now.since(self.used).as_micros() / IDLE_HALVING.as_micros();
        self.mark_used(now);
        let start = f64::from(START_LIMIT.min(self.slots));
        if idle == 0 || self.value <= start || self.is_fixed {
            return Change::Unchanged;
        }
        self.value = (self.value / 2_f64.powi(idle.min(32) as i32)).max(start);
        self.changed = now;
        Change::Cut
    }

    /// Classifies an outcome by what it indicates about the backend server's capacity.
    pub fn signal(&self, outcome: Outcome, latency: Duration) -> Signal {
        match outcome {
            Outcome::Ok => Signal::Good,
            Outcome::Error | Outcome::Broken => Signal::Error,
            Outcome::Shed | Outcome::Reset => Signal::Overload,
            Outcome::Timeout if latency >= self.typical() * TIMEOUT_FACTOR => Signal::Overload,
            Outcome::Timeout | Outcome::Cancelled => Signal::None,
        }
    }

    /// Updates the limit from a full window.
    pub fn update(&mut self, now: Time, window: &Window) -> Change {
        if window.errors * ERROR_DIVISOR > window.len() {
            return self.overload(now);
        }
        let Some(level) = window.scale_sum.checked_div(u64::from(window.good)) else {
            return Change::Unchanged;
        };
        let mean = Duration::from_micros(window.micros_sum / u64::from(window.good));
        self.mean = if self.mean.is_zero() {
            mean
        } else {
            (self.mean * 3 + mean) / 4
        };
        let is_slow = self.update_baseline(level as i64 * i64::from(STEPS_PER_DOUBLING));
        if is_slow {
            return self.overload(now);
        }
        self.raise(now, window.peak)
    }

    /// Cuts the limit because of overload, at most once in [`CUT_INTERVAL`] or in the mean latency,
    /// whichever is longer.
    pub fn overload(&mut self, now: Time) -> Change {
        if self.is_fixed || now.since(self.cut) < CUT_INTERVAL.max(self.mean) {
            return Change::Unchanged;
        }
        self.value = (self.value * CUT_FACTOR).max(1.0);
        self.cut = now;
        self.changed = now;
        Change::Cut
    }

    /// Raises a limit that is fully occupied by long calls, which produce no outcomes, up to the
    /// slots divided by [`LONG_CALL_DIVISOR`].
    pub fn raise_if_saturated(&mut self, now: Time) -> Change {
        if now.since(self.used) > RAISE_INTERVAL || self.get() >= self.slots / LONG_CALL_DIVISOR {
            return Change::Unchanged;
        }
        self.raise(now, self.get())
    }

    /// Raises the limit by one slot if at least half of it was in use and [`RAISE_INTERVAL`] has
    /// passed since its last change.
    fn raise(&mut self, now: Time, peak: u32) -> Change {
        let is_used = peak * 2 >= self.get();
        let is_due = now.since(self.changed) >= RAISE_INTERVAL;
        let max = f64::from(self.slots);
        if !is_used || !is_due || self.value >= max {
            return Change::Unchanged;
        }
        self.value = (self.value + 1.0).min(max);
        self.changed = now;
        Change::Raised
    }

    /// Moves the baseline towards a latency and returns whether that is too far above it.
    fn update_baseline(&mut self, level: i64) -> bool {
        if self.baseline == 0 {
            self.baseline = level;
            return false;
        }
        let difference = level - self.baseline;
        // At the lowest limit nothing is left to cut, so the baseline adapts quickly to the level.
        let is_lowest = self.get() == 1;
        let divisor = if difference < 0 || is_lowest {
            FALL_DIVISOR
        } else {
            RISE_DIVISOR
        };
        self.baseline += difference / divisor;
        !is_lowest && difference > i64::from(OVERLOAD_RISE * STEPS_PER_DOUBLING)
    }
}

/// Returns the number of outcomes that make up a window at this limit.
pub fn window_size(limit: u32) -> u32 {
    MIN_WINDOW.max(limit * WINDOW_PER_SLOT)
}

/// Converts a latency to the logarithmic scale: the binary logarithm of its microseconds,
/// interpolated linearly between powers of two.
pub fn to_log_scale(latency: Duration) -> u32 {
    let micros = latency.as_micros().clamp(1, u128::from(u32::MAX)) as u64;
    let octave = micros.ilog2();
    let rest = ((micros << 8) >> octave) as u32 - STEPS_PER_DOUBLING;
    octave * STEPS_PER_DOUBLING + rest
}

/// Converts a point on the logarithmic scale back to a latency.
pub fn from_log_scale(point: u32) -> Duration {
    let octave = (point / STEPS_PER_DOUBLING).min(32);
    let micros = (u64::from(point % STEPS_PER_DOUBLING + STEPS_PER_DOUBLING) << octave) >> 8;
    Duration::from_micros(if point == 0 { 0 } else { micros })
}
