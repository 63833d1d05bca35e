//! What a backend server takes now, as its owner measures it and as the server tells.
//!
//! The owner keeps an average of the time that calls take, for each kind of call and for all
//! together, and of the time at each number of running calls. Averages follow a change within a
//! second or two and expire when nothing renews them.
//!
//! A backend server may tell its load in its responses. What it tells only raises what the owner has
//! measured: calls that the owner does not know of add to its own, and a pace above the average pace
//! of the measured calls makes the times longer. A server that always tells the same, whatever it
//! is, changes nothing.
//!
//! Everything is held in atomics. Concurrent updates may lose a sample, which an average tolerates.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context, ensure};

use super::rank::Rank;
use super::report::Report;
use crate::clock::Time;
use crate::rollout::evidence::{self, Outcome};

/// Time in which an average takes over most of a change.
const WINDOW: Duration = Duration::from_millis(1_000);

/// Age at which an average that was not renewed is unknown again.
const EXPIRY: Duration = Duration::from_secs(10);

/// Age up to which told load holds; it changes within fractions of a second.
const TOLD_EXPIRY: Duration = Duration::from_millis(500);

/// Smallest weight of a sample, so that single calls of a busy server do not shift its average.
const MIN_WEIGHT: f64 = 1.0 / 32.0;

/// Largest weight of a sample, so that an idle server's average is not that of its last call.
const MAX_WEIGHT: f64 = 0.5;

/// Kinds of calls that are told apart at one backend server; further ones count only together.
pub const MAX_KINDS: usize = 16;

/// Largest factor by which a told pace makes times longer.
const MAX_PACE_FACTOR: f64 = 4.0;

/// Usual pace of a backend server in hundredths.
const USUAL_PACE: u32 = 100;

/// Largest number in a told load, against absurd values.
const MAX_TOLD: u32 = 100_000;

/// Largest number of running calls whose times are told apart.
const MAX_LEVELS: usize = 32;

/// Calls at a number of running calls before its time is known.
const MIN_LEVEL_CALLS: u32 = 20;

/// The limit is lowered when all slots serve less than this share of what fewer serve.
const USEFUL_SHARE: f64 = 0.7;

/// The limit is at least the slots divided by this.
const LOWEST_LIMIT_DIVISOR: u32 = 3;

/// Kind of a call: the route under which evidence is recorded, as a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind(u32);

impl Kind {
    /// Returns the kind of a call with this path.
    pub fn of(path: &str) -> Self {
        // FNV-1a, which is the same on all nodes.
        let hash = evidence::route_key("", path)
            .bytes()
            .fold(0x811c_9dc5_u32, |hash, byte| {
                (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
            });
        Self(hash.max(1))
    }

    /// Returns the hash, which is not zero.
    pub const fn hash(self) -> u32 {
        self.0
    }
}

/// Load that a backend server tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// Time that work takes now in hundredths of the usual time, if the server tells it.
    pub pace: Option<u32>,
}

impl Told {
    /// Parses running calls, waiting calls and slots, and optionally the pace, separated by commas.
    ///
    /// # Errors
    ///
    /// Returns an error unless there are three or four whole numbers.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut numbers = [0; 4];
        let mut count = 0;
        for field in text.split(',') {
            ensure!(count < numbers.len(), "more than four numbers");
            let field = field.trim();
            let number: u64 = field
                .parse()
                .with_context(|| format!("number {field:?} is malformed"))?;
            numbers[count] = number.min(u64::from(MAX_TOLD)) as u32;
            count += 1;
        }
        ensure!(count >= 3, "fewer than three numbers");
        let [running, waiting, slots, pace] = numbers;
        Ok(Self {
            running,
            waiting,
            slots,
            pace: (count == 4 && pace > 0).then_some(pace),
        })
    }
}

/// Moving average of samples at irregular times.
#[derive(Debug, Default)]
struct Average {
    /// Value in the unit of the samples.
    value: AtomicU64,
    /// Time of the last sample in microseconds since the Unix epoch; zero before the first.
    at: AtomicU64,
}

impl Average {
    /// Adds a sample. The longer the last one is ago, the more it weighs.
    fn add(&self, sample: u64, now: Time) {
        let value = match self.get(now) {
            None => sample,
            Some(value) => {
                let age = now.since(Time(self.at.load(Ordering::Relaxed)));
                let weight = age.as_secs_f64() / (age + WINDOW).as_secs_f64();
                let weight = weight.clamp(MIN_WEIGHT, MAX_WEIGHT);
                (value as f64 + (sample as f64 - value as f64) * weight) as u64
            }
        };
        self.value.store(value.max(1), Ordering::Relaxed);
        self.at.store(now.0, Ordering::Relaxed);
    }

    /// Adds a lower bound of a sample, which counts if it is above the average.
    fn add_at_least(&self, bound: u64, now: Time) {
        if self.get(now).is_none_or(|value| bound > value) {
            self.add(bound, now);
        }
    }

    /// Returns the average, unless it has expired.
    fn get(&self, now: Time) -> Option<u64> {
        let at = self.at.load(Ordering::Relaxed);
        (at > 0 && now.since(Time(at)) < EXPIRY).then(|| self.value.load(Ordering::Relaxed))
    }
}

/// Time of the calls of one kind.
#[derive(Debug, Default)]
struct KindTime {
    /// Hash of the kind; zero while unused.
    kind: AtomicU32,
    /// Microseconds until the head of a response.
    time: Average,
}

/// Calls at one number of running calls.
#[derive(Debug, Default)]
struct Level {
    /// Number of calls.
    calls: AtomicU32,
    /// Time in thousandths of the average time of the call's kind.
    relative_time: Average,
}

/// Value that the backend server told, with its time.
#[derive(Debug, Default)]
struct ToldValue {
    /// Value.
    value: AtomicU32,
    /// When it was told, in microseconds since the Unix epoch.
    at: AtomicU64,
}

impl ToldValue {
    /// Stores a value.
    fn set(&self, value: u32, now: Time) {
        self.value.store(value, Ordering::Relaxed);
        self.at.store(now.0, Ordering::Relaxed);
    }

    /// Returns the value, unless it has expired.
    fn get(&self, now: Time) -> Option<u32> {
        let at = Time(self.at.load(Ordering::Relaxed));
        (now.since(at) < TOLD_EXPIRY).then(|| self.value.load(Ordering::Relaxed))
    }
}

/// Estimate of what one backend server takes.
#[derive(Debug, Default)]
pub struct Capacity {
    /// Microseconds for which a call holds its slot.
    slot_time: Average,
    /// Times by kind.
    kinds: [KindTime; MAX_KINDS],
    /// Times by the number of running calls, from one.
    levels: [Level; MAX_LEVELS],
    /// Average of the told pace over the measured calls.
    usual_pace: Average,
    /// Pace that was told last.
    pace: ToldValue,
    /// Calls that the server told beyond those that its owner knew of.
    unknown_calls: ToldValue,
    /// Calls in progress that wait at the owner.
    waiting_in_progress: AtomicU32,
}

/// A call at the gate, counted among the waiting ones until dropped.
#[derive(Debug)]
pub struct Wait<'a>(Option<&'a AtomicU32>);

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.0 {
            count.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// A call that ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Kind of the call.
    pub kind: Kind,
    /// How the call ended.
    pub outcome: Outcome,
    /// Time until the head of the response, or until the call ended without one.
    pub latency: Duration,
    /// Time for which the call held its slot.
    pub slot_time: Duration,
    /// Calls that ran when it ended, itself included.
    pub running: u32,
}

impl Capacity {
    /// Counts a call that is about to wait for a slot.
    pub fn start_wait(&self, rank: Rank) -> Wait<'_> {
        if !rank.is_in_progress() {
            return Wait(None);
        }
        self.waiting_in_progress.fetch_add(1, Ordering::Relaxed);
        Wait(Some(&self.waiting_in_progress))
    }

    /// Records the end of a call. Failures end early and would make a server look fast; of a call
    /// that ended without a response only the time that it took at least is known.
    pub fn record(&self, call: &Ended, now: Time) {
        let (latency, slot_time) = (micros(call.latency), micros(call.slot_time));
        match call.outcome {
            Outcome::Ok => {
                self.record_level(call, now);
                self.slot_time.add(slot_time, now);
                if let Some(kind) = self.claim(call.kind) {
                    kind.time.add(latency, now);
                }
            }
            Outcome::Timeout | Outcome::Cancelled => {
                self.slot_time.add_at_least(slot_time, now);
                if let Some(kind) = self.claim(call.kind) {
                    kind.time.add_at_least(latency, now);
                }
            }
            Outcome::Error | Outcome::Broken | Outcome::Reset | Outcome::Shed => {}
        }
    }

    /// Records the load that a response tells, while the owner knows of `running` calls.
    pub fn record_told(&self, told: &Told, running: u32, now: Time) {
        let calls = told.running.saturating_add(told.waiting);
        self.unknown_calls.set(calls.saturating_sub(running), now);
        if let Some(pace) = told.pace {
            self.usual_pace.add(u64::from(pace), now);
            self.pace.set(pace, now);
        }
    }

    /// Returns the number of calls that the server takes well, at most `slots`. It is lower where all
    /// slots together serve clearly less than fewer do. What is known of more calls than that expires,
    /// so that they are tried again.
    pub fn useful_limit(&self, slots: u32, now: Time) -> u32 {
        let Some(full) = self.served(slots, now) else {
            return slots;
        };
        let lowest = slots.div_ceil(LOWEST_LIMIT_DIVISOR);
        let best = (lowest..slots)
            .filter_map(|running| Some((running, self.served(running, now)?)))
            .max_by(|(_, a), (_, b)| a.total_cmp(b));
        match best {
            Some((running, served)) if full < served * USEFUL_SHARE => running,
            Some(_) | None => slots,
        }
    }

    /// Returns the calls that the server ends in the usual time of one call while this many run;
    /// `None` where that is unknown.
    fn served(&self, running: u32, now: Time) -> Option<f64> {
        let level = self.levels.get(running.checked_sub(1)? as usize)?;
        if level.calls.load(Ordering::Relaxed) < MIN_LEVEL_CALLS {
            return None;
        }
        let time = level.relative_time.get(now)?;
        Some(f64::from(running) * 1_000.0 / time as f64)
    }

    /// Returns the report for a call of this kind, while `running` calls run and `waiting` wait.
    pub fn report(&self, kind: Kind, state: State, now: Time) -> Report {
        let factor = self.pace_factor(now);
        let time = |average: Option<u64>| {
            Duration::from_micros((average.unwrap_or_default() as f64 * factor) as u64)
        };
        let slots = state.limit.max(1);
        // Calls beyond the owner's own, within reason.
        let unknown = self.unknown_calls.get(now).unwrap_or_default();
        Report {
            running: state.running + unknown.min(2 * slots),
            waiting: state.waiting,
            waiting_in_progress: self
                .waiting_in_progress
                .load(Ordering::Relaxed)
                .min(state.waiting),
            limit: slots,
            mean_time: time(self.slot_time.get(now)),
            kind_time: time(self.find(kind).and_then(|found| found.time.get(now))),
            cut: state.cut,
        }
    }

    /// Returns how much longer calls take at the pace told last than the measured ones took.
    fn pace_factor(&self, now: Time) -> f64 {
        let (Some(pace), Some(usual)) = (self.pace.get(now), self.usual_pace.get(now)) else {
            return 1.0;
        };
        let factor = f64::from(pace) / usual.max(u64::from(USUAL_PACE)) as f64;
        factor.clamp(1.0, MAX_PACE_FACTOR)
    }

    /// Records the time of a call at the number of calls that ran beside it.
    fn record_level(&self, call: &Ended, now: Time) {
        let usual = self.find(call.kind).and_then(|kind| kind.time.get(now));
        let level = call.running.checked_sub(1);
        let level = level.and_then(|index| self.levels.get(index as usize));
        let (Some(usual), Some(level)) = (usual, level) else {
            return;
        };
        if level.relative_time.get(now).is_none() {
            level.calls.store(0, Ordering::Relaxed);
        }
        level.calls.fetch_add(1, Ordering::Relaxed);
        // Calls pile up while a neighbour slows the server down, which says nothing of their number.
        let relative = micros(call.latency) as f64 * 1_000.0 / usual.max(1) as f64;
        let relative = (relative / self.pace_factor(now)) as u64;
        level.relative_time.add(relative, now);
    }

    /// Returns the entry of a kind.
    fn find(&self, kind: Kind) -> Option<&KindTime> {
        let is_same = |entry: &&KindTime| entry.kind.load(Ordering::Relaxed) == kind.0;
        self.kinds.iter().find(is_same)
    }

    /// Returns the entry of a kind, taking an unused one for a new kind.
    fn claim(&self, kind: Kind) -> Option<&KindTime> {
        self.kinds.iter().find(|entry| {
            let claimed =
                entry
                    .kind
                    .compare_exchange(0, kind.0, Ordering::Relaxed, Ordering::Relaxed);
            claimed.map_or_else(|found| found == kind.0, |_| true)
        })
    }
}

/// Calls at the owner.
#[derive(Clone, Copy, Debug)]
pub struct State {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that may run at once.
    pub limit: u32,
    /// Index of the first rank that is refused.
    pub cut: u32,
}

/// Returns a time in microseconds.
fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros())
        .unwrap_or(u64::MAX / 2_000)
        .min(u64::MAX / 2_000)
}
