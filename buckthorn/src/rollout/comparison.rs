//! Concurrent comparison of a new version with the old ones, by the owners' counts.
//!
//! A version is at fault when it fails or slows down clearly more than the old ones do over the
//! same time, on all its routes together or on one of them.

use crate::name::Name;

use super::evidence::{Report, Tally};

/// Failures below which nothing is concluded: three may come by chance at the usual rate of one in
/// 250 calls.
const MIN_FAILURES: u64 = 4;

/// Share of failures, in thousandths, below which nothing is concluded.
const MIN_FAILED_PERMILLE: u64 = 80;

/// Times as many failures as the old versions have, from which on a version is at fault.
const FAILURE_FACTOR: u64 = 4;

/// Share of failures that is taken for usual where the old versions show fewer, in thousandths.
const USUAL_FAILED_PERMILLE: u64 = 5;

/// Calls without which an owner does not speak for the version.
const MIN_HEALTHY_CALLS: u64 = 10;

/// Owners that have to serve the version well for a fault to be put on one of them.
const MIN_HEALTHY_OWNERS: usize = 2;

/// Good answers of the new version that a comparison of latencies needs.
const MIN_RESPONSES: u64 = 16;

/// Good answers of the old versions that a comparison of latencies needs.
const MIN_OLD_RESPONSES: u64 = 30;

/// Slow answers below which nothing is concluded.
const MIN_SLOW_RESPONSES: u64 = 5;

/// Share of slow answers, in thousandths, from which on a version is at fault; one in twenty of the
/// old versions' answers is slow by definition.
const MAX_SLOW_PERMILLE: u64 = 250;

/// Buckets above the old versions' 95th percentile from which on an answer is slow: half an octave.
const SLOW_BUCKETS: usize = 2;

/// Buckets between the medians from which on a version is at fault: one octave and a half.
const MEDIAN_BUCKETS: usize = 6;

/// Counts of one owner since the comparison began.
#[derive(Debug)]
struct Owner {
    /// Host.
    host: Name,
    /// Incarnation; another one counts from zero.
    incarnation: u64,
    /// Whether it serves the new version.
    is_new: bool,
    /// Counts when the comparison began.
    baseline: Vec<Tally>,
    /// Newest counts.
    latest: Vec<Tally>,
}

/// Comparison of a move's versions.
#[derive(Debug, Default)]
pub struct Comparison {
    /// Owners in the order in which they reported.
    owners: Vec<Owner>,
}

impl Comparison {
    /// Takes an owner's counts.
    pub fn record_report(&mut self, report: &Report, is_new: bool) {
        let known = self
            .owners
            .iter_mut()
            .find(|owner| owner.host == report.host);
        match known {
            Some(owner) if owner.incarnation == report.incarnation && owner.is_new == is_new => {
                owner.latest.clone_from(&report.routes);
            }
            Some(owner) => *owner = Owner::new(report, is_new),
            None => self.owners.push(Owner::new(report, is_new)),
        }
    }

    /// Calls that the new version has answered.
    pub fn new_calls(&self) -> u64 {
        self.total(true, None).calls()
    }

    /// What the new version is at fault for, if it is.
    pub fn fault(&self) -> Option<String> {
        let routes = self.routes();
        let routes = routes.iter().map(Some);
        std::iter::once(None).chain(routes).find_map(|route| {
            let new = self.total(true, route);
            let old = self.total(false, route);
            let fault = failure_fault(&new, &old).or_else(|| latency_fault(&new, &old))?;
            if self.is_single_owner_fault(route) {
                return None;
            }
            Some(match route {
                Some(route) => format!("{fault} on {route}"),
                None => fault,
            })
        })
    }

    /// Whether nearly all that is wrong with the new version is wrong at one owner, while others
    /// serve it well: then it is that backend server, which routing leaves out.
    fn is_single_owner_fault(&self, route: Option<&Name>) -> bool {
        let wanted = |tally: &&Tally| route.is_none_or(|route| tally.route == *route);
        let sum_counts = |owner: &Owner| {
            let tallies = owner.latest.iter().filter(wanted);
            tallies.fold((0, 0), |(failed, calls), tally| {
                (failed + tally.failed(), calls + tally.calls())
            })
        };
        let sums: Vec<(u64, u64)> = self
            .owners
            .iter()
            .filter(|o| o.is_new)
            .map(sum_counts)
            .collect();
        let failed: u64 = sums.iter().map(|(failed, _)| failed).sum();
        let largest = sums.iter().map(|(failed, _)| *failed).max().unwrap_or(0);
        let healthy = sums
            .iter()
            .filter(|(failed, calls)| *failed < largest && *calls >= MIN_HEALTHY_CALLS)
            .count();
        failed >= MIN_FAILURES && healthy >= MIN_HEALTHY_OWNERS && (failed - largest) * 10 <= failed
    }

    /// Routes that the new version has served.
    fn routes(&self) -> Vec<Name> {
        let owners = self.owners.iter().filter(|owner| owner.is_new);
        let tallies = owners.flat_map(|owner| &owner.latest);
        let mut routes: Vec<Name> = tallies.map(|tally| tally.route.clone()).collect();
        routes.sort_unstable();
        routes.dedup();
        routes
    }

    /// Counts of one side, on one route or on all.
    fn total(&self, is_new: bool, route: Option<&Name>) -> Tally {
        let mut total = Tally::new(route.cloned().unwrap_or_else(|| "".into()));
        for owner in self.owners.iter().filter(|owner| owner.is_new == is_new) {
            let wanted = |tally: &&Tally| route.is_none_or(|route| tally.route == *route);
            for tally in owner.latest.iter().filter(wanted) {
                let baseline = owner
                    .baseline
                    .iter()
                    .find(|baseline| baseline.route == tally.route);
                match baseline {
                    Some(baseline) => total.add(&tally.since(baseline)),
                    None => total.add(tally),
                }
            }
        }
        total
    }
}

impl Owner {
    /// Owner whose counts start now; those of the new version started with the move.
    fn new(report: &Report, is_new: bool) -> Self {
        let baseline = if is_new {
            Vec::new()
        } else {
            report.routes.clone()
        };
        Self {
            host: report.host.clone(),
            incarnation: report.incarnation,
            is_new,
            baseline,
            latest: report.routes.clone(),
        }
    }
}

/// Says how a version fails more than the others.
fn failure_fault(new: &Tally, old: &Tally) -> Option<String> {
    let (failed, calls) = (new.failed(), new.calls());
    let rate = permille(failed, calls);
    let usual = permille(old.failed(), old.calls()).max(USUAL_FAILED_PERMILLE);
    let is_fault =
        failed >= MIN_FAILURES && rate >= MIN_FAILED_PERMILLE && rate >= usual * FAILURE_FACTOR;
    is_fault.then(|| format!("{failed} of {calls} calls failed, usual are {usual} in 1000"))
}

/// Says how a version is slower than the others.
fn latency_fault(new: &Tally, old: &Tally) -> Option<String> {
    let answers: u64 = new.buckets.iter().sum();
    let old_responses: u64 = old.buckets.iter().sum();
    if answers < MIN_RESPONSES || old_responses < MIN_OLD_RESPONSES {
        return None;
    }
    let slow = new.slower_than(old.quantile(0.95)? + SLOW_BUCKETS);
    if slow >= MIN_SLOW_RESPONSES && permille(slow, answers) >= MAX_SLOW_PERMILLE {
        return Some(format!("{slow} of {answers} answers were slow"));
    }
    let (median, usual) = (new.quantile(0.5)?, old.quantile(0.5)?);
    (median >= usual + MEDIAN_BUCKETS).then(|| "the median latency is far higher".to_owned())
}

/// Share in thousandths.
fn permille(part: u64, whole: u64) -> u64 {
    part * 1_000 / whole.max(1)
}
