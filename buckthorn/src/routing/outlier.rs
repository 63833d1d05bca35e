//! Ejection of backend servers that fail more than the others of their version.
//!
//! A backend server is ejected after [`MAX_FAILURES`] failures in a row, or when its share of
//! failures in a window of [`WINDOW`] answers exceeds that of the version's others by
//! [`RATE_MARGIN`]. At most one in [`MAX_EJECTED_DIVISOR`] of a version's backend servers is ejected
//! at once, and never the last one, so that a fault of the version itself or of something they
//! share empties no service. Ejections last longer each time. A server that returns gets a trickle
//! of calls until [`PROBATION`] of them were answered well.
//!
//! A refusal as not run is no failure: the owner is there and protects its backend server.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::load::Health;
use super::table::{Endpoint, Share, Table};
use crate::clock::Time;
use crate::counter::Counter;
use crate::rollout::evidence::Outcome;

/// Failures in a row that eject.
pub const MAX_FAILURES: u32 = 5;

/// Answers in a window of the failure rate.
pub const WINDOW: u32 = 50;

/// Failure rate above that of the others that ejects, in thousandths.
pub const RATE_MARGIN: u32 = 300;

/// One in this many backend servers of a version is ejected at most.
pub const MAX_EJECTED_DIVISOR: usize = 3;

/// Length of the first ejection; the following ones double it.
pub const EJECTION: Duration = Duration::from_secs(5);

/// Doublings of an ejection's length at most.
pub const MAX_DOUBLINGS: u32 = 4;

/// Good answers after which a returning server counts as recovered.
pub const PROBATION: u32 = 5;

/// What a result did to a backend server's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Unchanged,
    /// It is ejected.
    Ejected,
    /// It would be ejected, but too few others would remain.
    Denied,
}

impl Verdict {
    /// Counter of the verdict, if it has one.
    pub const fn counter(self) -> Option<Counter> {
        match self {
            Self::Unchanged => None,
            Self::Ejected => Some(Counter::EjectedOutlier),
            Self::Denied => Some(Counter::EjectDenied),
        }
    }
}

/// Counts the end of a call at a host, if the table still routes the path there.
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

/// Counts the end of a call at a backend server and ejects it when it is an outlier.
///
/// Not to be called for a refusal as not run.
pub fn record(share: &Share, endpoint: &Endpoint, outcome: Outcome, now: Time) -> Verdict {
    match outcome {
        // Neither says that the server is at fault.
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

/// Counts a good answer.
fn record_good(endpoint: &Endpoint) {
    let load = &endpoint.load;
    if load.failures.load(Ordering::Relaxed) > 0 {
        load.failures.store(0, Ordering::Relaxed);
    }
    let good = load.good.fetch_add(1, Ordering::Relaxed) + 1;
    if good + load.bad.load(Ordering::Relaxed) >= WINDOW {
        halve(endpoint);
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

/// Counts a failure and ejects the server when it is an outlier.
fn record_bad(share: &Share, endpoint: &Endpoint, now: Time) -> Verdict {
    let load = &endpoint.load;
    let failures = load.failures.fetch_add(1, Ordering::Relaxed) + 1;
    let bad = load.bad.fetch_add(1, Ordering::Relaxed) + 1;
    let answers = bad + load.good.load(Ordering::Relaxed);
    let is_due = answers >= WINDOW;
    let is_returning = load.health(now) == Health::Returning;
    let is_outlier =
        failures >= MAX_FAILURES || is_returning || is_due && is_worse(share, endpoint);
    if is_due {
        halve(endpoint);
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

/// Ages the window by half.
fn halve(endpoint: &Endpoint) {
    let load = &endpoint.load;
    load.good
        .store(load.good.load(Ordering::Relaxed) / 2, Ordering::Relaxed);
    load.bad
        .store(load.bad.load(Ordering::Relaxed) / 2, Ordering::Relaxed);
}

/// Whether the failure rate lies well above that of the version's others.
fn is_worse(share: &Share, endpoint: &Endpoint) -> bool {
    let (mut good, mut bad) = (0, 0);
    for other in &share.endpoints {
        if other.host != endpoint.host {
            good += other.load.good.load(Ordering::Relaxed);
            bad += other.load.bad.load(Ordering::Relaxed);
        }
    }
    let load = &endpoint.load;
    let own = rate(
        load.good.load(Ordering::Relaxed),
        load.bad.load(Ordering::Relaxed),
    );
    own > rate(good, bad) + RATE_MARGIN
}

/// Failure rate in thousandths.
fn rate(good: u32, bad: u32) -> u32 {
    bad * 1_000 / (good + bad).max(1)
}

/// Whether one more backend server of a version may be ejected.
fn may_eject(share: &Share, now: Time) -> bool {
    let ejected = share
        .endpoints
        .iter()
        .filter(|e| e.load.health(now) == Health::Ejected)
        .count();
    let max = (share.endpoints.len() / MAX_EJECTED_DIVISOR).max(1);
    ejected < max && ejected + 1 < share.endpoints.len()
}

/// Ejects a backend server for a while.
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
