//! Differences of owners' cumulative reports, cut into windows that cover both versions at once.
//!
//! A window closes when every owner that reports regularly has reported within it, at the latest
//! after [`MAX_WINDOW`], so that the counts of the old and the new version cover nearly the same
//! time. What an owner counted while it was silent for longer than [`REPORT_TIMEOUT`] covers another time
//! than its peers' counts, so its next report is only a baseline. The same holds for the first report of
//! an owner, of a new incarnation, and of a host whose version changed. A baseline is never taken from
//! a partial report, which would make the history of the routes it lacks look new.
//!
//! A backend server of the new version that has just got its first calls is slow because it is cold,
//! so its latencies count only after [`WARM_CALLS`] or [`WARM_TIME`]; its failures count at once.

use std::time::Duration;

use crate::clock::Time;
use crate::name::Name;

use super::evidence::{MAX_ROUTES, Report, Tally};

/// Shortest window.
pub const MIN_WINDOW: Duration = Duration::from_millis(400);

/// Time after which a window closes without the owners that lag.
pub const MAX_WINDOW: Duration = Duration::from_millis(1_200);

/// Silence after which an owner's next report is only a baseline.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

/// Calls after which an owner's backend server counts as warm.
pub const WARM_CALLS: u64 = 20;

/// Time after an owner's first call from which its backend server counts as warm.
pub const WARM_TIME: Duration = Duration::from_secs(30);

/// Routes remembered of one owner, more than one book of it holds.
pub const MAX_ROUTES_PER_OWNER: usize = 4 * MAX_ROUTES;

/// Version of a move that an owner's backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The version that the move leaves.
    Old,
    /// The version that the move goes to.
    New,
}

/// Owners of one move's versions.
#[derive(Clone, Debug)]
pub struct WindowBuilder {
    /// Owners sorted by host.
    owners: Vec<Owner>,
    /// When the present window opened.
    opened_at: Time,
}

/// One owner.
#[derive(Clone, Debug)]
struct Owner {
    /// Host.
    host: Name,
    /// Incarnation of its node.
    incarnation: u64,
    /// Version it owns.
    side: Side,
    /// Cumulative counts reported last, sorted by route.
    latest: Vec<Tally>,
    /// Counted since the present window opened, sorted by route.
    pending: Vec<Tally>,
    /// When it last reported.
    last_report_at: Time,
    /// Calls seen here.
    calls: u64,
    /// When its first calls were seen here.
    first_calls_at: Option<Time>,
}

/// Counts of both versions over the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    /// How long the window was.
    pub length: Duration,
    /// Old version's counts by owner.
    pub old: Vec<(Name, Vec<Tally>)>,
    /// New version's counts by owner.
    pub new: Vec<(Name, Vec<Tally>)>,
}

impl WindowBuilder {
    /// Ledger without owners.
    pub fn new(now: Time) -> Self {
        Self {
            owners: Vec::new(),
            opened_at: now,
        }
    }

    /// Takes a report in.
    pub fn record_report(&mut self, report: &Report, side: Side, now: Time) {
        let index = match self.owners.binary_search_by(|o| o.host.cmp(&report.host)) {
            Ok(index) => index,
            Err(_) if report.is_partial => return,
            Err(index) => {
                self.owners.insert(index, Owner::new(report, side, now));
                return;
            }
        };
        let owner = &mut self.owners[index];
        if report.incarnation < owner.incarnation {
            return;
        }
        let restarted_or_moved = report.incarnation > owner.incarnation || owner.side != side;
        if restarted_or_moved || now.since(owner.last_report_at) > REPORT_TIMEOUT {
            if !report.is_partial {
                *owner = Owner::new(report, side, now);
            }
            return;
        }
        owner.last_report_at = now;
        let is_warm = side == Side::Old || owner.is_warm(now);
        for tally in &report.routes {
            owner.add_counts(tally, is_warm);
        }
        if owner.first_calls_at.is_none() && owner.calls > 0 {
            owner.first_calls_at = Some(now);
        }
    }

    /// Forgets owners for which `is_live` says no.
    pub fn retain(&mut self, mut is_live: impl FnMut(&str) -> bool) {
        self.owners.retain(|owner| is_live(&owner.host));
    }

    /// Owners of the new version heard within the patience.
    pub fn reporting_owners(&self, now: Time) -> usize {
        self.owners
            .iter()
            .filter(|o| o.side == Side::New && now.since(o.last_report_at) <= REPORT_TIMEOUT)
            .count()
    }

    /// Closes the window if every owner that reports regularly has reported within it.
    pub fn close(&mut self, now: Time) -> Option<Window> {
        let length = now.since(self.opened_at);
        let is_awaited = |o: &Owner| {
            o.last_report_at <= self.opened_at && now.since(o.last_report_at) <= REPORT_TIMEOUT
        };
        let is_incomplete = length < MAX_WINDOW && self.owners.iter().any(is_awaited);
        if length < MIN_WINDOW || is_incomplete {
            return None;
        }
        self.opened_at = now;
        let mut window = Window {
            length,
            old: Vec::new(),
            new: Vec::new(),
        };
        for owner in &mut self.owners {
            if owner.pending.is_empty() {
                continue;
            }
            let entry = (owner.host.clone(), std::mem::take(&mut owner.pending));
            match owner.side {
                Side::Old => window.old.push(entry),
                Side::New => window.new.push(entry),
            }
        }
        Some(window)
    }
}

impl Owner {
    /// Owner whose first report is only a baseline.
    fn new(report: &Report, side: Side, now: Time) -> Self {
        Self {
            host: report.host.clone(),
            incarnation: report.incarnation,
            side,
            latest: report.routes.clone(),
            pending: Vec::new(),
            last_report_at: now,
            calls: 0,
            first_calls_at: None,
        }
    }

    /// Whether its latencies count.
    fn is_warm(&self, now: Time) -> bool {
        let is_old_enough = |first_calls_at| now.since(first_calls_at) >= WARM_TIME;
        self.calls >= WARM_CALLS || self.first_calls_at.is_some_and(is_old_enough)
    }

    /// Counts what a route gained since the last report.
    fn add_counts(&mut self, tally: &Tally, is_warm: bool) {
        let mut added = match self.latest.binary_search_by(|t| t.route.cmp(&tally.route)) {
            Ok(index) => {
                let added = tally.since(&self.latest[index]);
                self.latest[index] = tally.clone();
                added
            }
            Err(_) if self.latest.len() >= MAX_ROUTES_PER_OWNER => return,
            Err(index) => {
                self.latest.insert(index, tally.clone());
                tally.clone()
            }
        };
        if added.calls() + added.shed() == 0 {
            return;
        }
        self.calls = self.calls.saturating_add(added.calls());
        if !is_warm {
            added.buckets.fill(0);
        }
        match self.pending.binary_search_by(|t| t.route.cmp(&tally.route)) {
            Ok(index) => self.pending[index].add(&added),
            Err(index) => self.pending.insert(index, added),
        }
    }
}
