//! Bound on the calls that a version receives before it is known to be sound.
//!
//! The share of a new version follows [`SCHEDULE`], which spends less than a tenth of a window's
//! calls when traffic is steady. An evaluator also counts the calls, as traffic may rise while the
//! share is high.

use std::time::Duration;

use crate::clock::Time;

/// Elapsed part of the window and the share of the new version from then on, both in thousandths.
pub const SCHEDULE: [(u64, u16); 5] = [(0, 15), (720, 60), (770, 250), (795, 500), (805, 1_000)];

/// Share of the new version, in thousandths, up to which it counts as not raised.
pub const FIRST_SHARE: u16 = SCHEDULE[0].1;

/// Time from the end of a call until all nodes have heard of its failure.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// Shortest time over which the rate of calls is measured.
const RATE_INTERVAL: Duration = Duration::from_millis(400);

/// Part of the slack that is spent before the share is lowered; the rest is left for nodes that are
/// late to hear of it.
const SLACK_PART: f64 = 0.5;

/// Largest number of calls that a version may receive in a move's window before it is proven.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Part of the calls to its service.
    pub share: f64,
    /// Calls beyond that part.
    pub slack: f64,
}

/// Calls of a service that an evaluator has counted since some time in the window.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Calls of the new version.
    pub exposed: u64,
    /// Calls of all versions.
    pub all: u64,
    /// Recent calls of all versions per second.
    pub rate: f64,
    /// Median time from the start of a call to its end, when it is counted.
    pub latency: Duration,
    /// Elapsed part of the window at which the counts began, in thousandths.
    pub since: u64,
}

/// Rate of a count over the last second or so.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    /// Start of the measured time and the count then.
    start: Option<(Time, u64)>,
    /// Start of the next measured time and the count then.
    next: Option<(Time, u64)>,
    /// Latest time and count.
    latest: Option<(Time, u64)>,
}

impl Rate {
    /// Records the count at a time.
    pub fn record(&mut self, count: u64, now: Time) {
        let sample = (now, count);
        self.latest = Some(sample);
        let (next_at, _) = *self.next.get_or_insert(sample);
        if now.since(next_at) >= RATE_INTERVAL {
            self.start = self.next.replace(sample);
        }
    }

    /// Increase per second; zero until it has been measured for long enough.
    pub fn per_second(&self) -> f64 {
        let (Some((from, before)), Some((to, count))) = (self.start, self.latest) else {
            return 0.0;
        };
        count.saturating_sub(before) as f64 / to.since(from).as_secs_f64().max(f64::EPSILON)
    }
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 50.0,
        }
    }
}

impl Bound {
    /// Allows a version any number of calls.
    pub const UNBOUNDED: Self = Self {
        share: 1.0,
        slack: f64::INFINITY,
    };

    /// Whether the calls that the new version has had, and would have at `share` before its failures
    /// are known, use up the bound. `share` and `part`, the elapsed part of the window, are in
    /// thousandths.
    pub fn is_spent(&self, usage: Usage, part: u64, share: u16) -> bool {
        let counted_part = part.min(1_000).saturating_sub(usage.since) as f64 / 1_000.0;
        if counted_part <= 0.0 {
            return false;
        }
        let window_calls = usage.all as f64 / counted_part;
        let uncounted = scheduled_calls(usage.since) * window_calls;
        let lag = usage.latency + REPORT_LAG;
        let unreported = f64::from(share) / 1_000.0 * usage.rate * lag.as_secs_f64();
        let allowed = self.share * window_calls + self.slack * SLACK_PART;
        usage.exposed as f64 + uncounted + unreported >= allowed
    }
}

/// Share of the new version in thousandths that the schedule gives at an elapsed part of the window.
pub fn scheduled_share(part: u64) -> u16 {
    let reached = SCHEDULE.iter().rev().find(|(from, _)| part >= *from);
    reached.map_or(0, |(_, share)| *share)
}

/// Part of the window's calls that the schedule gives the new version up to an elapsed part of it.
fn scheduled_calls(part: u64) -> f64 {
    let ends = SCHEDULE[1..]
        .iter()
        .map(|(from, _)| *from)
        .chain([u64::MAX]);
    let steps = SCHEDULE.iter().zip(ends);
    let spent = steps
        .map(|((from, share), end)| part.min(end).saturating_sub(*from) as f64 * f64::from(*share));
    spent.sum::<f64>() / 1e6
}
