//! Outlier ejection of backend servers that fail more than the others of their version.
//!
//! A backend server is ejected after [`MAX_FAILURES`] consecutive failures, or when its failure rate
//! in a window of [`WINDOW`] calls exceeds that of the version's others by [`RATE_MARGIN`]. At most
//! one in [`MAX_EJECTED_DIVISOR`] of a version's backend servers is ejected at the same time (but
//! always at least one may be), and never the last one, so that a fault of the version itself or of
//! a shared dependency does not leave a service without backend servers. Each ejection lasts twice
//! as long as the one before, with at most [`MAX_DOUBLINGS`] doublings. A returning backend server
//! gets a small share of the calls until [`PROBATION`] of them succeeded; one failure before that
//! ejects it again.
//!
//! A refusal as not run is not a failure: the owner works and protects its backend server.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::load::Health;
use super::table::{Endpoint, Share, Table};
use crate::clock::Time;
use crate::counter::Counter;
use crate::rollout::evidence::Outcome;

/// Consecutive failures that cause an ejection.
pub const MAX_FAILURES: u32 = 5;

/// Number of calls in a window of the failure rate.
pub const WINDOW: u32 = 50;

/// Excess over the failure rate of the others that causes an ejection, in thousandths.
pub const RATE_MARGIN: u32 = 300;

/// At most one in this many backend servers of a version is ejected.
pub const MAX_EJECTED_DIVISOR: usize = 3;

/// Duration of the first ejection; each further one lasts twice as long as the one before.
pub const EJECTION: Duration = Duration::from_secs(5);

/// Maximum number of times that the duration is doubled.
pub const MAX_DOUBLINGS: u32 = 4;

/// Good responses after which a returning backend server counts as recovered.
pub const PROBATION: u32 = 5;

/// Effect of an outcome on the health of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The outcome caused no ejection.
    Unchanged,
    /// The backend server is ejected.
    Ejected,
    /// The backend server is an outlier, but too few others would remain.
    Denied,
}

impl Verdict {
    /// Counter incremented for the verdict, if any.
    pub const fn counter(self) -> Option<Counter> {
        match self {
            Self::Unchanged => None,
            Self::Ejected => Some(Counter::EjectedOutlier),
            Self::Denied => Some(Counter::EjectDenied),
        }
    }
}

/// Records a call's outcome at a host, if the table still routes the path there.
pub fn observe(
    table: &Table,
    service: &str,
    path: &str,
    host: &str,
    outcome: Outcome,
    now: Time,
) -> Verdict {
    let Some(route) = table.resolve(service, path) else {
        return Verdict::Unchanged;
    };
    let found = route.shares.iter().find_map(|share| {
        let endpoint = share.endpoints.iter().find(|e| &*e.host == host)?;
        Some((share, endpoint))
    });
    found.map_or(Verdict::Unchanged, |(share, endpoint)| {
        record(share, endpoint, outcome, now)
    })
}

/// Records a call's outcome at a backend server and ejects it if it is an outlier.
///
/// Must not be called for a refusal as not run.
pub fn record(share: &Share, endpoint: &Endpoint, outcome: Outcome, now: Time) -> Verdict {
    match outcome {
        // Neither outcome indicates a fault of the backend server.
        Outcome::Cancelled | Outcome::Shed => Verdict::Unchanged,
        Outcome::Ok => {
            record_good(endpoint);
            Verdict::Unchanged
        }
        Outcome::Error | Outcome::Broken | Outcome::Timeout | Outcome::Reset => {
            record_bad(share, endpoint, now)
        }
    }
}

/// Records a good response.
fn record_good(endpoint: &Endpoint) {
    let load = &endpoint.load;
    if load.failures.load(Ordering::Relaxed) > 0 {
        load.failures.store(0, Ordering::Relaxed);
    }
    let good = load.good.fetch_add(1, Ordering::Relaxed) + 1;
    if good + load.bad.load(Ordering::Relaxed) >= WINDOW {
        halve_window(endpoint);
    }
    if load.probation.load(Ordering::Relaxed) == 0 {
        return;
    }
    let step = |left: u32| left.checked_sub(1);
    let before = load
        .probation
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    if before == Ok(1) {
        load.ejections.store(0, Ordering::Relaxed);
    }
}

/// Records a failure and ejects the backend server if it is an outlier.
fn record_bad(share: &Share, endpoint: &Endpoint, now: Time) -> Verdict {
    let load = &endpoint.load;
    let failures = load.failures.fetch_add(1, Ordering::Relaxed) + 1;
    let bad = load.bad.fetch_add(1, Ordering::Relaxed) + 1;
    let calls = bad + load.good.load(Ordering::Relaxed);
    let is_due = calls >= WINDOW;
    let is_returning = load.health(now) == Health::Returning;
    let is_outlier =
        failures >= MAX_FAILURES || is_returning || is_due && exceeds_others(share, endpoint);
    if is_due {
        halve_window(endpoint);
    }
    if !is_outlier || load.health(now) == Health::Ejected {
        return Verdict::Unchanged;
    }
    if !may_eject(share, now) {
        return Verdict::Denied;
    }
    eject(endpoint, now);
    Verdict::Ejected
}

/// Halves the counts of the window, so that older calls count less.
fn halve_window(endpoint: &Endpoint) {
    let load = &endpoint.load;
    load.good
        .store(load.good.load(Ordering::Relaxed) / 2, Ordering::Relaxed);
    load.bad
        .store(load.bad.load(Ordering::Relaxed) / 2, Ordering::Relaxed);
}

/// Returns whether the failure rate exceeds that of the version's others by [`RATE_MARGIN`].
fn exceeds_others(share: &Share, endpoint: &Endpoint) -> bool {
    let (mut good, mut bad) = (0, 0);
    for other in &share.endpoints {
        if other.host != endpoint.host {
            good += other.load.good.load(Ordering::Relaxed);
            bad += other.load.bad.load(Ordering::Relaxed);
        }
    }
    let load = &endpoint.load;
    let rate = failure_rate(
        load.good.load(Ordering::Relaxed),
        load.bad.load(Ordering::Relaxed),
    );
    rate > failure_rate(good, bad) + RATE_MARGIN
}

/// Returns the failure rate in thousandths.
fn failure_rate(good: u32, bad: u32) -> u32 {
    bad * 1_000 / (good + bad).max(1)
}

/// Returns whether one more backend server of a version may be ejected.
fn may_eject(share: &Share, now: Time) -> bool {
    let ejected = share
        .endpoints
        .iter()
        .filter(|e| e.load.health(now) == Health::Ejected)
        .count();
    let max = (share.endpoints.len() / MAX_EJECTED_DIVISOR).max(1);
    ejected < max && ejected + 1 < share.endpoints.len()
}

/// Ejects a backend server; the duration depends on its earlier ejections.
fn eject(endpoint: &Endpoint, now: Time) {
    let load = &endpoint.load;
    let doublings = load
        .ejections
        .fetch_add(1, Ordering::Relaxed)
        .min(MAX_DOUBLINGS);
    let until = now + EJECTION * (1 << doublings);
    load.failures.store(0, Ordering::Relaxed);
    load.probation.store(PROBATION, Ordering::Relaxed);
    load.ejected_until.store(until.0, Ordering::Relaxed);
}
