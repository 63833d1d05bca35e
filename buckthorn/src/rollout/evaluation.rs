//! Evaluation of one move: evidence by route, and the time at the current share.
//!
//! Two kinds of bad calls are tested, on all routes together and on each route: failed calls
//! (server error, broken body, timeout, reset) and calls slower than a latency limit. A route's
//! limit is the old version's [`SLOW_QUANTILE`] before the window, plus [`SLOW_MARGIN`] buckets.

use std::time::Duration;

use crate::clock::Time;
use crate::config::intent::{FULL_SHARE, Move, Phase};
use crate::journal::fold::COMPARISON_SHARE;
use crate::name::Name;

use super::controller::COMPARABLE_SHARE;
use super::evidence::{self, BUCKETS, OTHER_ROUTES, Report, Tally};
use super::quarantine::Degree;
use super::sequential::{CallCounts, FALSE_ALARM, HORIZON, LeaveOneOut};
use super::window::{Side, Window, WindowBuilder};

/// Quantile of the old version's latency on which the limit for slow calls is based.
pub const SLOW_QUANTILE: f64 = 0.95;

/// Buckets between that quantile and the limit; two buckets are a factor of 1.41.
pub const SLOW_MARGIN: usize = 2;

/// Weighted calls of the old version required for a latency limit or a baseline rate.
pub const MIN_REFERENCE_CALLS: f64 = 50.0;

/// Half-life of recent counts.
pub const RECENT_HALF_LIFE: Duration = Duration::from_secs(15);

/// Half-life of the old version's baseline.
pub const REFERENCE_HALF_LIFE: Duration = Duration::from_secs(120);

/// Calls of the new version during which recent counts keep at least half of their weight.
pub const RECENT_CALLS: f64 = 20.0;

/// Calls of the old version during which its baseline keeps at least half of its weight.
pub const REFERENCE_CALLS: f64 = 200.0;

/// Calls of both versions compared in one batch, so that a batch contains both versions even under
/// low traffic.
pub const BATCH_CALLS: f64 = 20.0;

/// Calls at which a batch is closed even if it contains only one version.
pub const MAX_BATCH_CALLS: f64 = 400.0;

/// Level of the reference test at which the versions have to be compared.
pub const SUSPECT_LEVEL: f64 = 9.2;

/// Level of the concurrent test that rejects the new version once the share was lowered for a
/// comparison.
pub const COMPARED_LEVEL: f64 = 11.5;

/// Distance below the rejecting level from which a move is held.
pub const BORDERLINE_MARGIN: f64 = 5.0;

/// Time for which evaluators leave a suspect version to the controller before they accuse it.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Comparisons after which a version that becomes suspect again is rejected, as its fault shows
/// only at a high share.
pub const MAX_COMPARISONS: u32 = 2;

/// Recent bad calls of the old version required to establish a common fault in a comparison.
pub const MIN_COMMON_BAD_CALLS: f64 = 5.0;

/// Most routes of one move evaluated separately. Each owner's limit is lower, but owners may report
/// different routes.
pub const MAX_ROUTES: usize = 32;

/// Recent bad calls, weighted by age, below which a version is not considered faulty.
pub const MIN_BAD_CALLS: f64 = 1.5;

/// Kind of bad call that is tested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Server error, broken body, timeout or reset.
    Failed,
    /// Slower than the latency limit of its route.
    Slow,
}

/// Conclusion about the new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No evidence against it.
    Clean,
    /// Both versions currently fail or are slow.
    CommonFault(String),
    /// Worse than the old version was earlier, with too few current calls to the old version for a
    /// comparison.
    Suspect(String),
    /// Within [`BORDERLINE_MARGIN`] of the rejecting level.
    Borderline(String),
    /// Worse than the old version over the same time.
    Regressed(String),
}

/// Tests of one kind of bad call on one route.
#[derive(Clone, Debug, Default)]
struct BadCallTest {
    /// New version against the old one over the same time.
    concurrent: LeaveOneOut,
    /// New version against the old one's baseline rate.
    reference: LeaveOneOut,
    /// New version's counts in the open batch, sorted by host.
    batch_new: Vec<(Name, CallCounts)>,
    /// Old version's counts in the open batch.
    batch_old: CallCounts,
    /// New version's recent counts, weighted by age.
    new: CallCounts,
    /// Old version's recent counts, weighted by age.
    old: CallCounts,
    /// Old version's counts over a longer time, without common faults.
    baseline: CallCounts,
}

/// Evidence on one route, or on all routes together.
#[derive(Clone, Debug)]
struct RouteEvidence {
    /// Route, empty for all routes together.
    name: Name,
    /// Failed calls.
    failed: BadCallTest,
    /// Slow calls.
    slow: BadCallTest,
    /// Old version's calls by latency bucket, weighted by age.
    latencies: [f64; BUCKETS],
    /// Bucket above which a call is slow; `None` until there are enough calls.
    limit: Option<usize>,
    /// New version's calls at the current share.
    stage_new: u64,
    /// Old version's calls at the current share.
    stage_old: u64,
}

/// Evaluation of one move.
#[derive(Clone, Debug)]
pub struct Evaluation {
    /// Identifier of the move.
    pub id: Name,
    /// Old version.
    from: Name,
    /// New version.
    to: Name,
    /// Path prefix of the moved route.
    prefix: Name,
    /// Longer prefixes within it that the service routes separately.
    excluded: Vec<Name>,
    /// Latest known phase and effective share.
    phase_and_share: (Phase, u16),
    /// When the current share was first seen on this node.
    since: Time,
    /// Owners' counts in the open window.
    window_builder: WindowBuilder,
    /// Evidence on all routes together.
    all: RouteEvidence,
    /// Evidence by route, sorted by route.
    routes: Vec<RouteEvidence>,
    /// Number of times the share was lowered for a comparison.
    comparisons: u32,
    /// Whether a comparison has shown a common fault that is not over.
    has_common_fault: bool,
    /// Since when the verdict has been [`Verdict::Suspect`].
    suspected_since: Option<Time>,
    /// Whether the new version has ever received all traffic.
    has_reached_full_share: bool,
    /// Recent calls per second to both versions.
    call_rate: f64,
    /// Recent mean number of concurrent calls to both versions.
    concurrency: f64,
    /// New version's recent calls including shed ones, with the shed ones as bad calls.
    shed: CallCounts,
}

impl Kind {
    /// Tolerated ratio of the new version's bad-call rate to the old version's.
    fn tolerated(self) -> f64 {
        match self {
            Self::Failed => 1.5,
            Self::Slow => 3.0,
        }
    }

    /// Fraction of calls by which the new version must exceed the tolerated rate to be faulty.
    fn floor(self) -> f64 {
        match self {
            Self::Failed => 0.005,
            Self::Slow => 0.03,
        }
    }

    /// Text in reasons.
    fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Slow => "slow",
        }
    }
}

/// Weight that counts keep after `time` and `calls`, whichever keeps more.
fn retained_weight(time: Duration, half_life: Duration, calls: f64, half_calls: f64) -> f64 {
    decay(time, half_life).max((-calls / half_calls).exp2())
}

/// Weight that counts keep after `time` with a half-life.
fn decay(time: Duration, half_life: Duration) -> f64 {
    (-time.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

impl BadCallTest {
    /// Adds one window to the tests and the recent counts.
    fn record_window(
        &mut self,
        kind: Kind,
        hosts: &[(Name, CallCounts)],
        old: CallCounts,
        length: Duration,
    ) {
        self.add_to_batch(hosts, old);
        if self.is_batch_full() {
            self.concurrent
                .compare(&self.batch_new, self.batch_old, kind.tolerated());
            self.batch_new.clear();
            self.batch_old = CallCounts::default();
        }
        let is_outlying = old.bad >= 2.0 && old.rate() > self.common_rate(kind);
        if is_outlying || self.is_common(kind) {
            // A fault common to both versions is no evidence against the new one.
            self.reference = LeaveOneOut::default();
        } else if self.baseline.calls >= MIN_REFERENCE_CALLS {
            self.reference
                .compare_to_rate(hosts, self.tolerated_rate(kind));
        }
        let new = hosts
            .iter()
            .fold(CallCounts::default(), |sum, h| sum.plus(h.1));
        let recent = retained_weight(length, RECENT_HALF_LIFE, new.calls, RECENT_CALLS);
        self.new = self.new.scaled(recent).plus(new);
        self.old = self.old.scaled(recent).plus(old);
        if old.calls > 0.0 && !is_outlying && !self.is_common(kind) {
            let factor = retained_weight(length, REFERENCE_HALF_LIFE, old.calls, REFERENCE_CALLS);
            self.baseline = self.baseline.scaled(factor).plus(old);
        }
    }

    /// Adds one window to the open batch.
    fn add_to_batch(&mut self, hosts: &[(Name, CallCounts)], old: CallCounts) {
        for (host, count) in hosts {
            match self.batch_new.binary_search_by(|(h, _)| h.cmp(host)) {
                Ok(index) => self.batch_new[index].1 = self.batch_new[index].1.plus(*count),
                Err(index) => self.batch_new.insert(index, (host.clone(), *count)),
            }
        }
        self.batch_old = self.batch_old.plus(old);
    }

    /// Whether the batch has enough calls of both versions, or [`MAX_BATCH_CALLS`] in total.
    fn is_batch_full(&self) -> bool {
        let new: f64 = self.batch_new.iter().map(|(_, count)| count.calls).sum();
        let old = self.batch_old.calls;
        (new > 0.0 && old > 0.0 && new + old >= BATCH_CALLS) || new + old >= MAX_BATCH_CALLS
    }

    /// Bad-call rate that the new version may have, from the old version's baseline.
    fn tolerated_rate(&self, kind: Kind) -> f64 {
        (self.baseline.rate() * kind.tolerated()).clamp(kind.floor(), 0.5)
    }

    /// Whether the old version is currently far worse than its baseline.
    fn is_common(&self, kind: Kind) -> bool {
        let is_known = self.baseline.calls >= MIN_REFERENCE_CALLS;
        is_known && self.old.bad >= 2.0 && self.old.rate() > self.common_rate(kind)
    }

    /// Bad-call rate of the old version above which a common fault is assumed.
    fn common_rate(&self, kind: Kind) -> f64 {
        (5.0 * self.baseline.rate()).clamp(10.0 * kind.floor(), 0.5)
    }

    /// Whether the new version's recent rate exceeds the tolerated multiple of `base` by the floor.
    fn exceeds_tolerance(&self, kind: Kind, base: f64) -> bool {
        let excess = self.new.rate() - kind.tolerated() * base;
        self.new.bad >= MIN_BAD_CALLS && excess >= kind.floor()
    }
}

impl RouteEvidence {
    /// Evidence without any calls.
    fn new(name: Name) -> Self {
        Self {
            name,
            failed: BadCallTest::default(),
            slow: BadCallTest::default(),
            latencies: [0.0; BUCKETS],
            limit: None,
            stage_new: 0,
            stage_old: 0,
        }
    }

    /// Adds one window: the new version's tallies, sorted by host, and the old version's sum.
    fn record_window(&mut self, new: &[(Name, Tally)], old: &Tally, length: Duration) {
        let count = |tally: &Tally| CallCounts {
            calls: tally.calls() as f64,
            bad: tally.failed() as f64,
        };
        let hosts: Vec<_> = new.iter().map(|(h, t)| (h.clone(), count(t))).collect();
        self.failed
            .record_window(Kind::Failed, &hosts, count(old), length);
        if let Some(limit) = self.limit {
            let count = |tally: &Tally| CallCounts {
                calls: tally.buckets.iter().sum::<u64>() as f64,
                bad: tally.slower_than(limit) as f64,
            };
            let hosts: Vec<_> = new.iter().map(|(h, t)| (h.clone(), count(t))).collect();
            self.slow
                .record_window(Kind::Slow, &hosts, count(old), length);
        }
        let calls = new.iter().map(|(_, t)| t.calls()).sum();
        self.stage_new = self.stage_new.saturating_add(calls);
        self.stage_old = self.stage_old.saturating_add(old.calls());
        self.update_latency_limit(old, length);
    }

    /// Updates the latency limit with the old version's latencies, except during a common fault.
    fn update_latency_limit(&mut self, old: &Tally, length: Duration) {
        let is_representative =
            !self.slow.is_common(Kind::Slow) && !self.failed.is_common(Kind::Failed);
        if old.calls() == 0 || !is_representative {
            return;
        }
        let calls = old.calls() as f64;
        let factor = retained_weight(length, REFERENCE_HALF_LIFE, calls, REFERENCE_CALLS);
        for (weight, count) in self.latencies.iter_mut().zip(&old.buckets) {
            *weight = *weight * factor + *count as f64;
        }
        let total: f64 = self.latencies.iter().sum();
        if total < MIN_REFERENCE_CALLS {
            return;
        }
        let mut seen = 0.0;
        let quantile = self.latencies.iter().position(|weight| {
            seen += weight;
            seen >= SLOW_QUANTILE * total
        });
        self.limit = quantile.map(|bucket| (bucket + SLOW_MARGIN).min(BUCKETS - 1));
    }

    /// Verdict on this route. `threshold` is the rejecting level; `is_sole` says that the new
    /// version has a single server.
    fn verdict(&self, threshold: f64, is_sole: bool) -> Verdict {
        let mut worst = Verdict::Clean;
        for (kind, test) in [(Kind::Failed, &self.failed), (Kind::Slow, &self.slow)] {
            let reason = || self.reason(kind, test);
            let level = test.concurrent.verdict_level(is_sole);
            let exceeds_tolerance = test.exceeds_tolerance(kind, test.old.rate());
            let is_uncontradicted = exceeds_tolerance || test.old.calls < RECENT_CALLS;
            let exceeds_baseline = test.exceeds_tolerance(kind, test.baseline.rate());
            let verdict = if level >= threshold && exceeds_tolerance {
                Verdict::Regressed(reason())
            } else if level >= threshold - BORDERLINE_MARGIN && exceeds_tolerance {
                Verdict::Borderline(reason())
            } else if test.is_common(kind) && exceeds_baseline {
                Verdict::CommonFault(reason())
            } else if test.reference.verdict_level(is_sole) >= SUSPECT_LEVEL
                && exceeds_baseline
                && is_uncontradicted
            {
                Verdict::Suspect(reason())
            } else {
                Verdict::Clean
            };
            worst = worst.worse_of(verdict);
        }
        worst
    }

    /// Describes the recent rates of one kind of bad call.
    fn reason(&self, kind: Kind, test: &BadCallTest) -> String {
        let place = if self.name.is_empty() {
            String::new()
        } else {
            format!(" on {}", self.name)
        };
        let limit = match (kind, self.limit) {
            (Kind::Slow, Some(limit)) => {
                let millis = evidence::upper_edge(limit).as_secs_f64() * 1e3;
                format!(" (over {millis:.1} ms)")
            }
            _ => String::new(),
        };
        format!(
            "{}{limit}{place}: {:.1}% of recent calls, old version {:.1}%",
            kind.as_str(),
            test.new.rate() * 100.0,
            test.old.rate() * 100.0
        )
    }
}

impl Verdict {
    /// Rank by severity.
    fn severity(&self) -> u8 {
        match self {
            Self::Clean => 0,
            Self::Suspect(_) => 1,
            Self::CommonFault(_) => 2,
            Self::Borderline(_) => 3,
            Self::Regressed(_) => 4,
        }
    }

    /// The more severe of two verdicts; `self` if they are equally severe.
    fn worse_of(self, other: Self) -> Self {
        if other.severity() > self.severity() {
            other
        } else {
            self
        }
    }
}

impl Evaluation {
    /// Evaluation of a move that starts now, without evidence.
    pub fn new(entry: &Move, now: Time) -> Self {
        Self {
            id: entry.id.clone(),
            from: entry.from.clone(),
            to: entry.to.clone(),
            prefix: entry.route.clone(),
            excluded: Vec::new(),
            phase_and_share: (entry.phase, entry.share),
            since: now,
            window_builder: WindowBuilder::new(now),
            all: RouteEvidence::new("".into()),
            routes: Vec::new(),
            comparisons: 0,
            has_common_fault: false,
            suspected_since: None,
            has_reached_full_share: entry.share == FULL_SHARE,
            call_rate: 0.0,
            concurrency: 0.0,
            shed: CallCounts::default(),
        }
    }

    /// Updates the phase and the new version's effective share on the nodes.
    ///
    /// A lower share counts as a comparison and resets the tests.
    pub fn update_share(&mut self, entry: &Move, effective_share: u16, now: Time) {
        let share = self.phase_and_share.1;
        self.phase_and_share.0 = entry.phase;
        if share == effective_share {
            return;
        }
        self.phase_and_share.1 = effective_share;
        self.since = now;
        self.has_reached_full_share |= effective_share == FULL_SHARE;
        for route in self.routes.iter_mut().chain([&mut self.all]) {
            route.stage_new = 0;
            route.stage_old = 0;
            if effective_share < share {
                route.failed.concurrent = LeaveOneOut::default();
                route.slow.concurrent = LeaveOneOut::default();
                route.failed.reference = LeaveOneOut::default();
                route.slow.reference = LeaveOneOut::default();
            }
        }
        if effective_share < share {
            self.comparisons += 1;
        }
    }

    /// Sets the routes within the move's prefix that the move does not affect.
    pub fn exclude_routes(&mut self, prefixes: impl Iterator<Item = Name>) {
        self.excluded = prefixes.collect();
    }

    /// When the current share was first seen on this node.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Adds an owner's report; one about another version is ignored.
    pub fn record_report(&mut self, report: &Report, now: Time) {
        let side = if report.version == self.to {
            Side::New
        } else if report.version == self.from {
            Side::Old
        } else {
            return;
        };
        self.window_builder.record_report(report, side, now);
    }

    /// Drops owners for which `is_live` returns `false`.
    pub fn retain(&mut self, is_live: impl FnMut(&str) -> bool) {
        self.window_builder.retain(is_live);
    }

    /// Evaluates the window if it is complete; returns whether it was.
    pub fn close_window(&mut self, now: Time) -> bool {
        let Some(window) = self.window_builder.close(now) else {
            return false;
        };
        self.evaluate(&window);
        self.update_common_fault();
        match self.verdict(false) {
            Verdict::Suspect(_) => {
                self.suspected_since.get_or_insert(now);
            }
            _ => self.suspected_since = None,
        }
        true
    }

    /// Adds a complete window to the evidence of its routes and to the load figures.
    fn evaluate(&mut self, window: &Window) {
        let (prefix, excluded) = (self.prefix.clone(), self.excluded.clone());
        let is_covered = |route: &str| {
            let is_excluded = excluded.iter().any(|p| route.starts_with(&**p));
            route == OTHER_ROUTES || (route.starts_with(&*prefix) && !is_excluded)
        };
        let mut names: Vec<Name> = window
            .old
            .iter()
            .chain(&window.new)
            .flat_map(|(_, tallies)| tallies.iter().map(|t| t.route.clone()))
            .filter(|route| is_covered(route))
            .collect();
        names.sort();
        names.dedup();
        for name in &names {
            if self.routes.len() >= MAX_ROUTES {
                break;
            }
            if let Err(index) = self.routes.binary_search_by(|r| r.name.cmp(name)) {
                self.routes.insert(index, RouteEvidence::new(name.clone()));
            }
        }
        let length = window.length;
        for route in &mut self.routes {
            let is_route = |name: &str| *name == *route.name;
            let (new, old) = sum_tallies(window, is_route);
            route.record_window(&new, &old, length);
        }
        let (new, old) = sum_tallies(window, is_covered);
        self.all.record_window(&new, &old, length);
        self.update_load(&new, &old, length);
    }

    /// Updates whether a comparison has shown a common fault that is not over.
    fn update_common_fault(&mut self) {
        let tests = [
            (Kind::Failed, &self.all.failed),
            (Kind::Slow, &self.all.slow),
        ];
        let is_detected = tests
            .iter()
            .any(|(kind, test)| test.is_common(*kind) && test.old.bad >= MIN_COMMON_BAD_CALLS);
        let is_over = tests
            .iter()
            .all(|(kind, test)| test.new.rate() <= test.tolerated_rate(*kind));
        self.has_common_fault =
            !is_over && (self.has_common_fault || (self.comparisons > 0 && is_detected));
    }

    /// Updates the recent call rate, concurrency and shed calls.
    fn update_load(&mut self, new: &[(Name, Tally)], old: &Tally, length: Duration) {
        let weight = decay(length, RECENT_HALF_LIFE);
        let seconds = length.as_secs_f64().max(1e-3);
        let tallies = || new.iter().map(|(_, tally)| tally).chain([old]);
        let calls: u64 = tallies().map(Tally::calls).sum();
        let concurrency: f64 = tallies().map(busy_seconds).sum();
        self.call_rate = self.call_rate * weight + calls as f64 / seconds * (1.0 - weight);
        self.concurrency = self.concurrency * weight + concurrency / seconds * (1.0 - weight);
        let shed: u64 = new.iter().map(|(_, tally)| tally.shed()).sum();
        let offered: u64 = new.iter().map(|(_, t)| t.calls() + t.shed()).sum();
        let recent = CallCounts {
            calls: offered as f64,
            bad: shed as f64,
        };
        self.shed = self.shed.scaled(weight).plus(recent);
    }

    /// Verdict over all routes; `is_sole` says that the new version has a single server.
    pub fn verdict(&self, is_sole: bool) -> Verdict {
        let base = if self.comparisons > 0 {
            COMPARED_LEVEL
        } else {
            (HORIZON * 4.0 / FALSE_ALARM).ln()
        };
        let by_route = base + (self.routes.len().max(1) as f64).ln();
        let verdict = self
            .routes
            .iter()
            .map(|route| route.verdict(by_route, is_sole))
            .fold(self.all.verdict(base, is_sole), Verdict::worse_of);
        match verdict {
            Verdict::Suspect(_) if self.has_common_fault => Verdict::Clean,
            Verdict::Suspect(reason) if self.is_load_fault() => {
                Verdict::Regressed(format!("only at a high share, {reason}"))
            }
            verdict => verdict,
        }
    }

    /// Whether a suspect version has passed [`MAX_COMPARISONS`] comparisons and has a higher share
    /// again, which points to a fault under load.
    fn is_load_fault(&self) -> bool {
        self.comparisons >= MAX_COMPARISONS && self.phase_and_share.1 > COMPARISON_SHARE
    }

    /// Whether the share has ever been lowered for a comparison.
    pub fn was_compared(&self) -> bool {
        self.comparisons > 0
    }

    /// Whether a comparison has shown a common fault that is not over.
    pub fn has_common_fault(&self) -> bool {
        self.has_common_fault
    }

    /// Whether the new version has ever received all traffic.
    pub fn has_reached_full_share(&self) -> bool {
        self.has_reached_full_share
    }

    /// Recent calls per second to both versions.
    pub fn call_rate(&self) -> f64 {
        self.call_rate
    }

    /// Recent mean number of concurrent calls to both versions.
    pub fn concurrency(&self) -> f64 {
        self.concurrency
    }

    /// Fraction of the new version's recent calls that its servers shed.
    pub fn shed_ratio(&self) -> f64 {
        self.shed.rate()
    }

    /// New version's calls at the current share.
    pub fn new_version_calls(&self) -> u64 {
        self.all.stage_new
    }

    /// Number of owners of the new version that reported recently.
    pub fn reporting_owners(&self, now: Time) -> usize {
        self.window_builder.reporting_owners(now)
    }

    /// Degree and reason of the accusation to raise against the new version, if any.
    ///
    /// A suspect version is first left to the controller, which lowers the share if it can. It is
    /// accused once it has been suspect at a high share for [`SUSPECT_TIMEOUT`].
    pub fn accusation(&self, is_sole: bool, now: Time) -> Option<(Degree, String)> {
        match self.verdict(is_sole) {
            Verdict::Regressed(reason) => Some((Degree::Fault, reason)),
            Verdict::Suspect(reason) if self.is_unresolved(now) => Some((Degree::Suspect, reason)),
            _ => None,
        }
    }

    /// Whether the version has been suspect at a high share for [`SUSPECT_TIMEOUT`].
    fn is_unresolved(&self, now: Time) -> bool {
        let is_old = |since| now.since(since) >= SUSPECT_TIMEOUT;
        self.phase_and_share.1 > COMPARABLE_SHARE && self.suspected_since.is_some_and(is_old)
    }
}

/// Sums the tallies of the wanted routes: the new version's by host, the old version's in total.
fn sum_tallies(window: &Window, is_wanted: impl Fn(&str) -> bool) -> (Vec<(Name, Tally)>, Tally) {
    let sum = |tallies: &[Tally]| {
        let mut sum = Tally::new("".into());
        for tally in tallies.iter().filter(|t| is_wanted(&t.route)) {
            sum.add(tally);
        }
        sum
    };
    let new = window.new.iter().map(|(h, t)| (h.clone(), sum(t)));
    let mut old = Tally::new("".into());
    for (_, tallies) in &window.old {
        old.add(&sum(tallies));
    }
    (new.collect(), old)
}

/// Total duration of the successful calls in seconds, from the upper edges of their buckets.
fn busy_seconds(tally: &Tally) -> f64 {
    let seconds =
        |(bucket, count): (usize, &u64)| evidence::upper_edge(bucket).as_secs_f64() * *count as f64;
    tally.buckets.iter().enumerate().map(seconds).sum()
}
