//! Concurrency limit that follows what the backend server can bear.
//!
//! The limit starts at [`START_LIMIT`] and lies in `[1, slots]`. It rises by one slot for each
//! window of good answers, at most once in [`RAISE_INTERVAL`], and only when at least half of it
//! was in use. It is cut by [`CUT_FACTOR`] when the backend server sheds, resets or times out,
//! when many answers are errors, or when the latency of a window is more than [`OVERLOAD_RISE`] above the
//! server's own baseline. A limit that was not used for a while decays, because an idle server
//! may turn cold. Long calls, such as downloads, give no answers to learn from; while they hold
//! every place and nothing speaks of overload, the limit rises up to half of the slots.
//!
//! Latency is compared on a logarithmic scale, so that a few long answers among many short ones
//! do not look like a slow server. Its unit is 1/[`STEPS_PER_DOUBLING`] of a doubling.

use std::time::Duration;

use crate::clock::Time;
use crate::rollout::evidence::Outcome;

/// Calls that a newly started backend server runs at once.
pub const START_LIMIT: u32 = 2;

/// Part of the slots up to which calls that run long let the limit rise without answers.
pub const LONG_CALL_DIVISOR: u32 = 2;

/// Shortest time between two raises of the limit.
pub const RAISE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest time between two cuts, so that calls already running cause one cut, not many.
pub const CUT_INTERVAL: Duration = Duration::from_millis(100);

/// What a cut leaves of the limit.
pub const CUT_FACTOR: f64 = 0.7;

/// Idle time after which the limit is halved, and halved again each time as much passes.
pub const IDLE_HALVING: Duration = Duration::from_secs(5);

/// Steps of the latency scale to one doubling.
pub const STEPS_PER_DOUBLING: u32 = 256;

/// Rise over the baseline that counts as overload, on the latency scale.
pub const OVERLOAD_RISE: u32 = STEPS_PER_DOUBLING;

/// Part of the difference by which the baseline follows a lower latency.
const FALL_DIVISOR: i64 = 8;

/// Part of the difference by which the baseline follows a higher latency.
const RISE_DIVISOR: i64 = 64;

/// Smallest number of answers in a window.
pub const MIN_WINDOW: u32 = 20;

/// Answers in a window for each call that may run at once.
pub const WINDOW_PER_SLOT: u32 = 4;

/// One error in this many answers counts as overload.
const ERROR_DIVISOR: u32 = 4;

/// Timeouts shorter than this many typical latencies say nothing of the backend server.
const TIMEOUT_FACTOR: u32 = 2;

/// Answers of one backend server since the last judgement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Good answers.
    pub good: u32,
    /// Errors and broken answers.
    pub errors: u32,
    /// Sum of the good answers' latencies on the latency scale.
    pub scale_sum: u64,
    /// Sum of the good answers' latencies in microseconds.
    pub micros_sum: u64,
    /// Most calls that ran at once.
    pub peak: u32,
}

/// What a judgement did to the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Unchanged,
    /// Raised it.
    Raised,
    /// Cut it.
    Cut,
}

/// What an outcome says of the backend server's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Nothing.
    None,
    /// A good answer.
    Good,
    /// An error, which may come from the version or from overload.
    Error,
    /// Overload.
    Overload,
}

/// Concurrency limit of one backend server.
#[derive(Clone, Debug)]
pub struct Limit {
    /// Announced slots.
    slots: u32,
    /// Limit, in `[1, slots]`; its whole part counts.
    value: f64,
    /// Latency to expect, on the latency scale times [`STEPS_PER_DOUBLING`]; zero before the first window.
    baseline: i64,
    /// Smoothed mean latency, zero before the first window.
    mean: Duration,
    /// Time of the last raise or cut.
    changed: Time,
    /// Time of the last cut.
    cut: Time,
    /// Time of the last sign of use.
    used: Time,
    /// Whether the limit stays at the slots.
    is_fixed: bool,
}

impl Window {
    /// Adds a good answer.
    pub fn add(&mut self, latency: Duration) {
        self.good += 1;
        self.scale_sum += u64::from(to_log_scale(latency));
        self.micros_sum += latency.as_micros() as u64;
    }

    /// Answers counted.
    pub fn len(&self) -> u32 {
        self.good + self.errors
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Limit {
    /// Limit of a newly started backend server.
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

    /// Limit that stays at the slots, for a backend server whose slots are exact.
    pub fn fixed(slots: u32, now: Time) -> Self {
        Self {
            is_fixed: true,
            ..Self::warm(slots, now)
        }
    }

    /// Limit of a backend server that is known to bear its slots.
    pub fn warm(slots: u32, now: Time) -> Self {
        let cold = Self::new(slots, now);
        Self {
            value: f64::from(cold.slots),
            ..cold
        }
    }

    /// Calls that may run at once.
    pub fn get(&self) -> u32 {
        let limit = self.value as u32;
        assert!(
            (1..=self.slots).contains(&limit),
            "invariant: the limit lies between one and the announced slots"
        );
        limit
    }

    /// Announced slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Smoothed mean latency, zero when unknown.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Latency to expect of a typical call, zero when unknown.
    pub fn typical(&self) -> Duration {
        from_log_scale((self.baseline / i64::from(STEPS_PER_DOUBLING)) as u32)
    }

    /// Notes that the backend server was in use.
    pub fn mark_used(&mut self, at: Time) {
        self.used = self.used.max(at);
    }

    /// Halves a limit for each [`IDLE_HALVING`] since the last sign of use.
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

    /// What an outcome says of the backend server.
    pub fn signal(&self, outcome: Outcome, latency: Duration) -> Signal {
        match outcome {
            Outcome::Ok => Signal::Good,
            Outcome::Error | Outcome::Broken => Signal::Error,
            Outcome::Shed | Outcome::Reset => Signal::Overload,
            Outcome::Timeout if latency >= self.typical() * TIMEOUT_FACTOR => Signal::Overload,
            Outcome::Timeout | Outcome::Cancelled => Signal::None,
        }
    }

    /// Judges a full window.
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
        let is_slow = self.follow(level as i64 * i64::from(STEPS_PER_DOUBLING));
        if is_slow {
            return self.overload(now);
        }
        self.raise(now, window.peak)
    }

    /// Cuts the limit, once in [`CUT_INTERVAL`].
    pub fn overload(&mut self, now: Time) -> Change {
        if self.is_fixed || now.since(self.cut) < CUT_INTERVAL.max(self.mean) {
            return Change::Unchanged;
        }
        self.value = (self.value * CUT_FACTOR).max(1.0);
        self.cut = now;
        self.changed = now;
        Change::Cut
    }

    /// Raises a limit that long calls have held in full since its last change.
    pub fn raise_if_saturated(&mut self, now: Time) -> Change {
        if now.since(self.used) > RAISE_INTERVAL || self.get() >= self.slots / LONG_CALL_DIVISOR {
            return Change::Unchanged;
        }
        self.raise(now, self.get())
    }

    /// Raises the limit by one slot if it was in use and its last change lies back far enough.
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

    /// Moves the baseline towards a level and tells whether the level lies too far above it.
    fn follow(&mut self, level: i64) -> bool {
        if self.baseline == 0 {
            self.baseline = level;
            return false;
        }
        let difference = level - self.baseline;
        // At the lowest limit there is nothing left to cut, so the level is the baseline.
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

/// Answers in a window at a limit.
pub fn window_size(limit: u32) -> u32 {
    MIN_WINDOW.max(limit * WINDOW_PER_SLOT)
}

/// Latency on the logarithmic scale: the binary logarithm of its microseconds, with the part
/// between two powers interpolated linearly.
pub fn to_log_scale(latency: Duration) -> u32 {
    let micros = latency.as_micros().clamp(1, u128::from(u32::MAX)) as u64;
    let octave = micros.ilog2();
    let rest = ((micros << 8) >> octave) as u32 - STEPS_PER_DOUBLING;
    octave * STEPS_PER_DOUBLING + rest
}

/// Latency of a point on the logarithmic scale.
pub fn from_log_scale(point: u32) -> Duration {
    let octave = (point / STEPS_PER_DOUBLING).min(32);
    let micros = (u64::from(point % STEPS_PER_DOUBLING + STEPS_PER_DOUBLING) << octave) >> 8;
    Duration::from_micros(if point == 0 { 0 } else { micros })
}
