//! Bound on the calls that a version receives before it is known to be sound.
//!
//! The share of a new version follows a [`Schedule`], which spends less than a tenth of a window's
//! calls when traffic is steady. An evaluator also counts the calls, as traffic may rise while the
//! share is high.
//!
//! A fault that shows only under load shows seldom while calls spread well over all servers, and the
//! bound ends the watch before it is found. A version with few backend servers is therefore tried on
//! one of them before its share is full: this one receives the load of the busiest server at a full
//! share, for a part of the calls.

use std::time::Duration;

use crate::clock::Time;
use crate::config::intent::FULL_SHARE;

/// Elapsed part of the window and the share of the new version from then on, both in thousandths.
type Step = (u64, u16);

/// Steps of a version that is not tried on some of its backend servers.
const SCHEDULE: [Step; 5] = [
    (0, FIRST_SHARE),
    (720, 60),
    (770, 250),
    (795, 500),
    (FULL_FROM, FULL_SHARE),
];

/// Share of the new version, in thousandths, up to which it counts as not raised.
pub const FIRST_SHARE: u16 = 15;

/// Elapsed part of the window, in thousandths, from which the share is full.
const FULL_FROM: u64 = 805;

/// Most backend servers of a version that is tried on some of them. With more, a fault of one server
/// has to be told from one of the version, which takes calls to many.
const MAX_TRIED_SERVERS: usize = 8;

/// Load of a server on trial relative to the mean at a full share: that of the busiest server of a
/// service.
const TRIAL_LOAD: f64 = 1.5;

/// Part of the window's calls that a trial takes, in thousandths: as many as the steps between the first
/// and the full share of [`SCHEDULE`].
const TRIAL_CALLS: f64 = 14.25;

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

    /// Whether the calls that the new version has had, and would have by the schedule before its failures
    /// are known, use up the bound. `part`, the elapsed part of the window, is in thousandths.
    pub fn is_spent(&self, usage: Usage, part: u64, schedule: &Schedule) -> bool {
        let counted_part = part.min(1_000).saturating_sub(usage.since) as f64 / 1_000.0;
        if counted_part <= 0.0 {
            return false;
        }
        let window_calls = usage.all as f64 / counted_part;
        let uncounted = schedule.calls(usage.since) * window_calls;
        let lag = usage.latency + REPORT_LAG;
        let unreported = f64::from(schedule.share(part)) / 1_000.0 * usage.rate * lag.as_secs_f64();
        let allowed = self.share * window_calls + self.slack * SLACK_PART;
        usage.exposed as f64 + uncounted + unreported >= allowed
    }
}

/// Steps of the share of a new version over the window of its move.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Steps, sorted by the elapsed part.
    steps: Vec<Step>,
}

impl Schedule {
    /// Schedule of a version with this many backend servers.
    pub fn new(servers: usize) -> Self {
        if !is_tried(servers) {
            return Self {
                steps: SCHEDULE.to_vec(),
            };
        }
        let share = (TRIAL_LOAD / servers as f64).min(1.0);
        let length = (TRIAL_CALLS / share) as u64;
        let share = (share * f64::from(FULL_SHARE)) as u16;
        Self {
            steps: vec![
                (0, FIRST_SHARE),
                (FULL_FROM - length, share),
                (FULL_FROM, FULL_SHARE),
            ],
        }
    }

    /// Share of the new version in thousandths at an elapsed part of the window.
    pub fn share(&self, part: u64) -> u16 {
        let reached = self.steps.iter().rev().find(|(from, _)| part >= *from);
        reached.map_or(0, |(_, share)| *share)
    }

    /// Part of the window's calls that the new version has had at an elapsed part of it.
    fn calls(&self, part: u64) -> f64 {
        let ends = self.steps[1..]
            .iter()
            .map(|(from, _)| *from)
            .chain([u64::MAX]);
        let spent = self.steps.iter().zip(ends).map(|((from, share), end)| {
            part.min(end).saturating_sub(*from) as f64 * f64::from(*share)
        });
        spent.sum::<f64>() / 1e6
    }
}

/// Number of a version's backend servers that divide its calls at a share in thousandths.
pub fn serving(servers: usize, share: u16) -> usize {
    if !is_tried(servers) || share <= FIRST_SHARE || share >= FULL_SHARE {
        return servers;
    }
    let mean = servers as f64 * f64::from(share) / f64::from(FULL_SHARE);
    ((mean / TRIAL_LOAD).ceil() as usize).clamp(1, servers)
}

/// Whether a version with this many backend servers is tried on some of them.
fn is_tried(servers: usize) -> bool {
    (2..=MAX_TRIED_SERVERS).contains(&servers)
}
