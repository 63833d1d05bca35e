//! Last report of a backend server's owner, as kept at an ingress.
//!
//! Reports of concurrent calls may be mixed when they are read, which an estimate tolerates.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::admission::capacity::Kind;
use crate::admission::report::Report;
use crate::clock::Time;

/// Kinds of calls whose time is kept for one backend server.
const MAX_KINDS: usize = 8;

/// Age from which a report is not used.
pub const EXPIRY: Duration = Duration::from_secs(10);

/// Time in which the moving average of the load takes over most of a change.
const LOAD_WINDOW: Duration = Duration::from_secs(1);

/// Smallest weight of a report in that average.
const MIN_WEIGHT: f64 = 0.1;

/// Bits of the time in an entry of a kind; the bits above hold the kind.
const TIME_BITS: u32 = 32;

/// Last report of one backend server.
#[derive(Debug, Default)]
pub struct Estimate {
    /// When the report was received, in microseconds since the Unix epoch; zero before the first.
    at: AtomicU64,
    /// Running calls in the low half, waiting ones in the high half.
    calls: AtomicU64,
    /// Limit in the low half, waiting calls in progress in the high half.
    limit: AtomicU64,
    /// Calls in flight from this ingress at the time of the report.
    in_flight: AtomicU32,
    /// Moving average of the load, in thousandths of the limit.
    usual_load: AtomicU32,
    /// Mean time of a call in microseconds.
    mean_time: AtomicU64,
    /// Times in microseconds by kind, each with the hash of the kind above [`TIME_BITS`].
    kinds: [AtomicU64; MAX_KINDS],
}

/// A report with its age, for calls of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Heard {
    /// Time since the report was received.
    pub age: Duration,
    /// Calls that ran.
    pub running: u32,
    /// Calls that waited.
    pub waiting: u32,
    /// Of those, calls that running requests make.
    pub waiting_in_progress: u32,
    /// Calls that may run at once.
    pub limit: u32,
    /// Calls in flight from this ingress at the time of the report.
    pub in_flight: u32,
    /// Moving average of running and waiting calls relative to the limit.
    pub usual_load: f64,
    /// Mean time of a call, zero when unknown.
    pub mean_time: Duration,
    /// Time of the kind, zero when unknown.
    pub kind_time: Duration,
}

impl Estimate {
    /// Stores the report that came with the response to a call of this kind.
    pub fn record(&self, report: &Report, kind: Kind, in_flight: u32, now: Time) {
        let relaxed = Ordering::Relaxed;
        self.calls
            .store(pair(report.waiting, report.running), relaxed);
        let limit = pair(report.waiting_in_progress, report.limit);
        self.limit.store(limit, relaxed);
        self.in_flight.store(in_flight, relaxed);
        self.add_load(report, now);
        self.mean_time
            .store(report.mean_time.as_micros() as u64, relaxed);
        let micros = report.kind_time.as_micros().min(u128::from(u32::MAX)) as u32;
        if micros > 0 {
            self.entry(kind).store(pair(kind.hash(), micros), relaxed);
        }
        self.at.store(now.0, relaxed);
    }

    /// Adds the load of a report to its moving average.
    fn add_load(&self, report: &Report, now: Time) {
        let calls = report.running.saturating_add(report.waiting);
        let load = 1_000.0 * f64::from(calls) / f64::from(report.limit.max(1));
        let at = self.at.load(Ordering::Relaxed);
        let age = now.since(Time(at));
        let usual = f64::from(self.usual_load.load(Ordering::Relaxed));
        let weight = if at == 0 || age >= EXPIRY {
            1.0
        } else {
            let weight = age.as_secs_f64() / (age + LOAD_WINDOW).as_secs_f64();
            weight.max(MIN_WEIGHT)
        };
        let usual = usual + (load - usual) * weight;
        self.usual_load.store(usual as u32, Ordering::Relaxed);
    }

    /// Returns the last report, unless it has expired.
    pub fn get(&self, kind: Kind, now: Time) -> Option<Heard> {
        let relaxed = Ordering::Relaxed;
        let at = self.at.load(relaxed);
        let age = now.since(Time(at));
        if at == 0 || age >= EXPIRY {
            return None;
        }
        let (waiting, running) = unpair(self.calls.load(relaxed));
        let (waiting_in_progress, limit) = unpair(self.limit.load(relaxed));
        let (found, micros) = unpair(self.entry(kind).load(relaxed));
        let kind_time = if found == kind.hash() { micros } else { 0 };
        Some(Heard {
            age,
            running,
            waiting,
            waiting_in_progress,
            limit: limit.max(1),
            in_flight: self.in_flight.load(relaxed),
            usual_load: f64::from(self.usual_load.load(relaxed)) / 1_000.0,
            mean_time: Duration::from_micros(self.mean_time.load(relaxed)),
            kind_time: Duration::from_micros(u64::from(kind_time)),
        })
    }

    /// Returns the entry that holds a kind or may take it; kinds beyond the entries displace others.
    fn entry(&self, kind: Kind) -> &AtomicU64 {
        let start = kind.hash() as usize % MAX_KINDS;
        let is_usable = |entry: &&AtomicU64| {
            let (found, _) = unpair(entry.load(Ordering::Relaxed));
            found == kind.hash() || found == 0
        };
        let (before, after) = self.kinds.split_at(start);
        let found = after.iter().chain(before).find(is_usable);
        found.unwrap_or(&self.kinds[start])
    }
}

/// Packs two numbers.
fn pair(high: u32, low: u32) -> u64 {
    u64::from(high) << TIME_BITS | u64::from(low)
}

/// Unpacks two numbers.
fn unpair(packed: u64) -> (u32, u32) {
    ((packed >> TIME_BITS) as u32, packed as u32)
}
