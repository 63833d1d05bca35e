//! Comparison of a new version with the old ones, using the owners' counts.
//!
//! The new version is faulty if it fails clearly more often or is clearly slower than the old ones,
//! on all its routes together or on one of them. Each report is a window of the sequential tests of
//! [`super::sequential`], which find a fault that begins late as fast as one present from the start.
//! The new version is tested against the old versions' rate of bad calls instead of their
//! concurrent calls, because at a full share the old versions receive none.

use std::cmp::Ordering;
use std::time::Duration;

use crate::name::Name;

use super::evaluation::MAX_ROUTES;
use super::evidence::{self, Report, Tally};
use super::poisson;
use super::sequential::{CallCounts, SequentialTest};

/// Level of a sequential test from which the new version is faulty.
const FAULT_LEVEL: f64 = 10.5;

/// Level of a sequential test from which the new version is not completed; to complete a faulty one
/// does more harm than to end the move of a sound one.
const SUSPECT_LEVEL: f64 = 5.5;

/// Probability by which so many failures of a sound version would occur, up to which they keep it from
/// being completed.
const SUSPECT_CHANCE: f64 = 0.005;

/// Failure rate that a sound version may have when the old versions have none: the usual one call in
/// 250.
const USUAL_FAILURE_RATE: f64 = 0.004;

/// Minimum number of failures for a fault. Three may occur by chance at the usual rate of one in
/// 250 calls.
const MIN_FAILURES: u64 = 4;

/// Tolerated ratio of the new version's failure rate to the old versions'.
const TOLERATED_FAILURES: f64 = 1.5;

/// Failure rate that is always tolerated.
const MIN_TOLERATED_RATE: f64 = 0.01;

/// Failure rate of the old versions from which failures count as common to both versions. Above it, too
/// few calls of the new version fail beyond the tolerated rate to tell a fault.
const COMMON_FAILURE_RATE: f64 = 0.15;

/// Failure rate assumed of the old versions before their calls are known.
const ASSUMED_FAILURE_RATE: f64 = 0.005;

/// Weight of the assumed failure rate, in calls.
const ASSUMED_CALLS: f64 = 20.0;

/// Calls of the old versions after which a call counts half in their recent failure rate.
const RECENT_OLD_CALLS: f64 = 400.0;

/// Calls of the new version after which a call counts half in its recent failure rate.
const RECENT_NEW_CALLS: f64 = 50.0;

/// Tolerated ratio of the new version's rate of slow responses to the old versions'.
const TOLERATED_SLOW_RESPONSES: f64 = 3.0;

/// Rate of slow responses that is always tolerated.
const MIN_TOLERATED_SLOW_RATE: f64 = 0.05;

/// Rate of slow responses of the old versions from which slowness counts as common to both versions.
const COMMON_SLOW_RATE: f64 = 0.25;

/// Calls required for an owner with fewer failures than the worst one to count as healthy.
const MIN_HEALTHY_CALLS: f64 = 10.0;

/// Healthy owners required to attribute a fault to a single other owner. With fewer, the one may be the
/// only owner with enough load to show a fault of the version.
const MIN_HEALTHY_OWNERS: usize = 8;

/// Successful responses of the new version required to compare latencies.
const MIN_RESPONSES: u64 = 16;

/// Successful responses of the old versions required to compare latencies.
const MIN_OLD_RESPONSES: u64 = 30;

/// Minimum number of slow responses for a fault.
const MIN_SLOW_RESPONSES: u64 = 5;

/// Fraction of slow responses since the start, in thousandths, from which a version is faulty. Up to
/// one in twenty of the old versions' responses lies above their 95th percentile by definition.
const MAX_SLOW_PERMILLE: u64 = 250;

/// Buckets above the old versions' 95th percentile beyond which a response is slow: half an octave.
const SLOW_BUCKETS: usize = 2;

/// Buckets between the medians from which a version is faulty: one and a half octaves.
const MEDIAN_BUCKETS: usize = 6;

/// Counts reported by one owner.
#[derive(Debug)]
struct Owner {
    /// Host of the owner.
    host: Name,
    /// Incarnation of the owner's node; a new one counts from zero.
    incarnation: u64,
    /// Whether its backend server runs the new version.
    is_new: bool,
    /// Latest cumulative counts.
    latest: Vec<Tally>,
}

/// Evidence on one route, or on all routes together.
#[derive(Debug)]
struct RouteEvidence {
    /// Route, empty for all routes together.
    route: Name,
    /// Counts of the new version since the start.
    new: Tally,
    /// Counts of the old versions since the start.
    old: Tally,
    /// Recent calls and failures of the new version, weighted by age.
    recent_new: CallCounts,
    /// Recent calls and failures of the old versions, weighted by age.
    recent_old: CallCounts,
    /// Recent responses of the old versions and the slow ones among them, weighted by age.
    recent_old_responses: CallCounts,
    /// Test of the new version's failed calls.
    failed: SequentialTest,
    /// Test of the new version's slow responses.
    slow: SequentialTest,
    /// Failures of the new version outside of faults common to both versions.
    own_failures: u64,
    /// Failures that a sound version would have had instead of them.
    expected_failures: f64,
}

/// Comparison of a move's versions.
#[derive(Debug)]
pub struct Comparison {
    /// Owners, sorted by host.
    owners: Vec<Owner>,
    /// Evidence on all routes together.
    all: RouteEvidence,
    /// Evidence by route, sorted by route.
    routes: Vec<RouteEvidence>,
    /// Whether the new version's servers have had time to warm up.
    is_warm: bool,
    /// Calls of the new version that its owners reported first, which ended at an unknown time.
    undated_calls: u64,
}

impl Default for Comparison {
    fn default() -> Self {
        Self {
            owners: Vec::new(),
            all: RouteEvidence::new("".into()),
            routes: Vec::new(),
            is_warm: false,
            undated_calls: 0,
        }
    }
}

impl Comparison {
    /// Adds what a report counts beyond the previous one of the same owner.
    pub fn record_report(&mut self, report: &Report, is_new: bool) {
        let added = self.replace_counts(report, is_new);
        for tally in &added {
            self.all.add(tally, is_new);
        }
        let all_rate = self.all.usual_failure_rate(ASSUMED_FAILURE_RATE);
        for tally in &added {
            let Some(evidence) = route_evidence(&mut self.routes, &tally.route) else {
                continue;
            };
            evidence.add(tally, is_new);
            if is_new {
                evidence.test(tally, all_rate, self.is_warm);
            }
        }
        if is_new {
            let mut sum = Tally::new("".into());
            added.iter().for_each(|tally| sum.add(tally));
            self.all.test(&sum, ASSUMED_FAILURE_RATE, self.is_warm);
        }
    }

    /// Stores an owner's latest counts and returns what they add to the comparison.
    ///
    /// The first counts of an old version's owner began before the move and only set a baseline.
    fn replace_counts(&mut self, report: &Report, is_new: bool) -> Vec<Tally> {
        let index = match self.owners.binary_search_by(|o| o.host.cmp(&report.host)) {
            Ok(index) => index,
            Err(index) => {
                self.owners.insert(index, Owner::new(report, is_new));
                let first = self.owners[index].first_counts();
                self.undated_calls += first.iter().map(Tally::ended).sum::<u64>();
                return first;
            }
        };
        let owner = &mut self.owners[index];
        if owner.incarnation != report.incarnation || owner.is_new != is_new {
            *owner = Owner::new(report, is_new);
            return owner.first_counts();
        }
        let added = report.routes.iter().map(|tally| {
            // A backend server that replaced another on the same host is counted from zero.
            let is_before = |t: &&Tally| t.route == tally.route && t.calls() <= tally.calls();
            let before = owner.latest.iter().find(is_before);
            before.map_or_else(|| tally.clone(), |before| tally.since(before))
        });
        let added = added.collect();
        owner.latest.clone_from(&report.routes);
        added
    }

    /// Starts to test the latencies of recent responses; servers that have just started are slow.
    pub fn assume_warm(&mut self) {
        self.is_warm = true;
    }

    /// Calls that the new version has handled, including failed ones.
    pub fn new_calls(&self) -> u64 {
        self.all.new.calls()
    }

    /// Calls of the new version and of all versions since the comparison began.
    pub fn exposed_and_all_calls(&self) -> (u64, u64) {
        // Sums of counts saturate.
        let exposed = self.all.new.ended().saturating_sub(self.undated_calls);
        (exposed, exposed + self.all.old.ended())
    }

    /// Median latency of the old versions' successful calls; zero without any.
    pub fn median_latency(&self) -> Duration {
        let median = self.all.old.quantile(0.5);
        median.map_or(Duration::ZERO, evidence::upper_edge)
    }

    /// Describes the counts of both versions since the start of the comparison.
    pub fn summary(&self) -> String {
        let (new, old) = (&self.all.new, &self.all.old);
        let (exposed, all) = self.exposed_and_all_calls();
        let mut summary = format!(
            "{} of {} calls failed, {} of {} calls to other versions; {exposed} of {all} calls so far",
            new.failed(),
            new.calls(),
            old.failed(),
            old.calls(),
        );
        let worst = self.new_owners(None).max_by(by_bad_calls);
        if let Some((host, counts)) = worst.filter(|(_, counts)| counts.bad > 0.0) {
            let CallCounts { calls, bad } = counts;
            summary += &format!("; most failed at {host}, {bad} of {calls}");
        }
        if let Some(limit) = self.all.slow_limit() {
            let slow = |tally: &Tally| (tally.slower_than(limit), tally.responses());
            let ((new_slow, new), (old_slow, old)) = (slow(new), slow(old));
            summary +=
                &format!("; {new_slow} of {new} slow, {old_slow} of {old} of other versions");
        }
        summary
    }

    /// Description of the new version's fault, if there is one.
    pub fn fault(&self) -> Option<String> {
        self.find_fault(|evidence, rate, _| evidence.fault(rate, FAULT_LEVEL))
    }

    /// Description of the weaker evidence that keeps the new version from being completed.
    pub fn suspicion(&self) -> Option<String> {
        self.find_fault(RouteEvidence::suspicion)
    }

    /// Whether so many calls of the old versions fail that failures of the new one tell nothing.
    pub fn is_common_fault(&self) -> bool {
        self.all
            .tolerated_failure_rate(ASSUMED_FAILURE_RATE)
            .is_none()
    }

    /// Description of a fault that a test finds, given the old versions' failure rate as far as they
    /// have few calls on the route, and the number of routes tested.
    fn find_fault(
        &self,
        test: impl Fn(&RouteEvidence, f64, usize) -> Option<String>,
    ) -> Option<String> {
        let all_rate = self.all.usual_failure_rate(ASSUMED_FAILURE_RATE);
        let on_route = |evidence: &RouteEvidence| {
            let fault = test(evidence, all_rate, self.routes.len())?;
            Some(format!("{fault} on {}", evidence.route))
                .filter(|_| !self.is_single_owner_fault(Some(&evidence.route)))
        };
        let fault = test(&self.all, ASSUMED_FAILURE_RATE, 1);
        fault
            .filter(|_| !self.is_single_owner_fault(None))
            .or_else(|| self.routes.iter().find_map(on_route))
    }

    /// Whether the new version fails at one owner only, on one route or on all together, and many others
    /// are healthy. The fault is then that backend server's, which outlier ejection handles.
    fn is_single_owner_fault(&self, route: Option<&Name>) -> bool {
        let worst = self.new_owners(route).max_by(by_bad_calls);
        let Some((worst_host, worst)) = worst else {
            return false;
        };
        let others = self
            .new_owners(route)
            .filter(|(host, _)| *host != worst_host);
        let others = others.fold(CallCounts::default(), |sum, (_, counts)| sum.plus(counts));
        let healthy = self.new_owners(None).filter(|(host, counts)| {
            *host != worst_host && counts.calls >= MIN_HEALTHY_CALLS && counts.bad < worst.bad
        });
        healthy.count() >= MIN_HEALTHY_OWNERS && others.rate() <= MIN_TOLERATED_RATE
    }

    /// Hosts of the new version's owners with the counts of their failed calls, on one route or on all
    /// together.
    fn new_owners(&self, route: Option<&Name>) -> impl Iterator<Item = (&Name, CallCounts)> {
        let is_wanted = move |tally: &&Tally| route.is_none_or(|route| tally.route == *route);
        let owners = self.owners.iter().filter(|owner| owner.is_new);
        owners.map(move |owner| {
            let tallies = owner.latest.iter().filter(is_wanted).map(failures);
            (
                &owner.host,
                tallies.fold(CallCounts::default(), CallCounts::plus),
            )
        })
    }
}

impl Owner {
    /// Owner with the counts of its first report.
    fn new(report: &Report, is_new: bool) -> Self {
        Self {
            host: report.host.clone(),
            incarnation: report.incarnation,
            is_new,
            latest: report.routes.clone(),
        }
    }

    /// Counts of the first report that belong to the move: those of the new version, whose calls
    /// began with the move.
    fn first_counts(&self) -> Vec<Tally> {
        if self.is_new {
            self.latest.clone()
        } else {
            Vec::new()
        }
    }
}

impl RouteEvidence {
    /// Evidence without calls.
    fn new(route: Name) -> Self {
        Self {
            new: Tally::new(route.clone()),
            old: Tally::new(route.clone()),
            route,
            recent_new: CallCounts::default(),
            recent_old: CallCounts::default(),
            recent_old_responses: CallCounts::default(),
            failed: SequentialTest::default(),
            slow: SequentialTest::default(),
            own_failures: 0,
            expected_failures: 0.0,
        }
    }

    /// Adds counts of one version.
    fn add(&mut self, added: &Tally, is_new: bool) {
        if is_new {
            self.new.add(added);
            self.recent_new
                .add_recent(failures(added), RECENT_NEW_CALLS);
            return;
        }
        self.old.add(added);
        self.recent_old
            .add_recent(failures(added), RECENT_OLD_CALLS);
        if let Some(limit) = self.slow_limit() {
            let responses = slow_responses(added, limit);
            self.recent_old_responses
                .add_recent(responses, RECENT_OLD_CALLS);
        }
    }

    /// Updates the tests with counts of the new version. `assumed_rate` is the old versions' failure
    /// rate as far as they have few calls on the route.
    fn test(&mut self, added: &Tally, assumed_rate: f64, is_warm: bool) {
        match self.tolerated_failure_rate(assumed_rate) {
            Some(tolerated) => {
                self.failed.compare_to_rate(failures(added), tolerated);
                self.own_failures = self.own_failures.saturating_add(added.failed());
                self.expected_failures +=
                    added.calls() as f64 * self.sound_failure_rate(assumed_rate);
            }
            None => self.failed = SequentialTest::default(),
        }
        if let Some(limit) = self.slow_limit().filter(|_| is_warm) {
            let usual = self.recent_old_responses.rate();
            let tolerated = (usual * TOLERATED_SLOW_RESPONSES).max(MIN_TOLERATED_SLOW_RATE);
            if usual < COMMON_SLOW_RATE {
                self.slow
                    .compare_to_rate(slow_responses(added, limit), tolerated);
            } else {
                self.slow = SequentialTest::default();
            }
        }
    }

    /// Recent failure rate of the old versions.
    fn usual_failure_rate(&self, assumed_rate: f64) -> f64 {
        let assumed = CallCounts {
            calls: ASSUMED_CALLS,
            bad: ASSUMED_CALLS * assumed_rate,
        };
        self.recent_old.plus(assumed).rate()
    }

    /// Failure rate up to which the new version is not faulty; `None` during a fault common to both
    /// versions, which is no evidence against the new one.
    fn tolerated_failure_rate(&self, assumed_rate: f64) -> Option<f64> {
        let usual = self.usual_failure_rate(assumed_rate);
        let tolerated = (usual * TOLERATED_FAILURES).max(MIN_TOLERATED_RATE);
        (usual < COMMON_FAILURE_RATE).then_some(tolerated)
    }

    /// Failure rate that a sound version may have at present.
    fn sound_failure_rate(&self, assumed_rate: f64) -> f64 {
        (self.usual_failure_rate(assumed_rate) * TOLERATED_FAILURES).max(USUAL_FAILURE_RATE)
    }

    /// Whether a sound version would have had so many failures with this chance at most.
    fn has_unlikely_failures(&self, assumed_rate: f64, max_chance: f64) -> bool {
        let chance = poisson::tail(self.own_failures, self.expected_failures);
        chance <= max_chance && self.recent_new.rate() >= self.sound_failure_rate(assumed_rate)
    }

    /// Whether the new version fails more often than tolerated. Failures of both versions that begin
    /// at once may be reported by the new version's owners first, so that the recent rates are
    /// compared as well.
    fn fails_too_often(&self, assumed_rate: f64, level: f64) -> bool {
        let tolerated = self.tolerated_failure_rate(assumed_rate);
        self.new.failed() >= MIN_FAILURES
            && self.failed.level() >= level
            && tolerated.is_some_and(|tolerated| self.recent_new.rate() >= tolerated)
    }

    /// Bucket above which a response is slow; `None` until the old versions have enough responses.
    fn slow_limit(&self) -> Option<usize> {
        let responses = self.old.responses();
        let quantile = self.old.quantile(0.95)?;
        (responses >= MIN_OLD_RESPONSES).then_some(quantile + SLOW_BUCKETS)
    }

    /// Description of the new version's fault, if the tests reach a level.
    fn fault(&self, assumed_rate: f64, level: f64) -> Option<String> {
        if self.fails_too_often(assumed_rate, level) {
            return Some(self.describe_failures(assumed_rate));
        }
        self.latency_fault(level)
    }

    /// Description of the evidence that keeps the new version from being completed. Each of several
    /// routes takes more evidence, as a sound version may be suspected on any of them.
    fn suspicion(&self, assumed_rate: f64, routes: usize) -> Option<String> {
        let routes = routes as f64;
        if self.has_unlikely_failures(assumed_rate, SUSPECT_CHANCE / routes) {
            return Some(self.describe_failures(assumed_rate));
        }
        self.fault(assumed_rate, SUSPECT_LEVEL + routes.ln())
    }

    /// Describes the new version's failures beside the old versions' rate.
    fn describe_failures(&self, assumed_rate: f64) -> String {
        let (failed, calls) = (self.new.failed(), self.new.calls());
        let usual = self.usual_failure_rate(assumed_rate) * 1_000.0;
        format!("{failed} of {calls} calls failed, usual are {usual:.0} in 1000")
    }

    /// Description of how the new version is slower than the old ones, if it is.
    fn latency_fault(&self, level: f64) -> Option<String> {
        let responses = self.new.responses();
        let limit = self.slow_limit().filter(|_| responses >= MIN_RESPONSES)?;
        let slow = self.new.slower_than(limit);
        let is_mostly_slow = slow * 1_000 >= MAX_SLOW_PERMILLE * responses;
        if slow >= MIN_SLOW_RESPONSES && (is_mostly_slow || self.slow.level() >= level) {
            return Some(format!("{slow} of {responses} answers were slow"));
        }
        let (median, usual) = (self.new.quantile(0.5)?, self.old.quantile(0.5)?);
        (median >= usual + MEDIAN_BUCKETS).then(|| "the median latency is far higher".to_owned())
    }
}

/// Evidence of a route, inserted if it is new; `None` beyond [`MAX_ROUTES`].
fn route_evidence<'a>(
    routes: &'a mut Vec<RouteEvidence>,
    route: &Name,
) -> Option<&'a mut RouteEvidence> {
    match routes.binary_search_by(|evidence| evidence.route.cmp(route)) {
        Ok(index) => Some(&mut routes[index]),
        Err(_) if routes.len() >= MAX_ROUTES => None,
        Err(index) => {
            routes.insert(index, RouteEvidence::new(route.clone()));
            Some(&mut routes[index])
        }
    }
}

/// Orders owners by their bad calls.
fn by_bad_calls((_, a): &(&Name, CallCounts), (_, b): &(&Name, CallCounts)) -> Ordering {
    a.bad.total_cmp(&b.bad)
}

/// Responses of a tally, with those in a bucket above `limit` as bad calls.
fn slow_responses(tally: &Tally, limit: usize) -> CallCounts {
    CallCounts {
        calls: tally.responses() as f64,
        bad: tally.slower_than(limit) as f64,
    }
}

/// Calls of a tally, with the failed ones as bad calls.
fn failures(tally: &Tally) -> CallCounts {
    CallCounts {
        calls: tally.calls() as f64,
        bad: tally.failed() as f64,
    }
}
