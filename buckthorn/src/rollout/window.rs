//! Windows of counts that cover both versions over the same time, from owners' cumulative reports.
//!
//! A window closes when every owner that reports regularly has reported within it, at the latest
//! after [`MAX_WINDOW`], so that the counts of the old and the new version cover nearly the same
//! time. Counts of an owner that was silent for longer than [`REPORT_TIMEOUT`] cover a different
//! time than its peers' counts, so its next report only sets a baseline. The same applies to the
//! first report of an owner, of a new incarnation, and of a host whose version changed. A partial
//! report never sets a baseline, as the full history of its missing routes would later appear new.
//!
//! A backend server of the new version is slow at first because it is cold, so its latencies count
//! only after [`WARM_CALLS`] or [`WARM_TIME`]; its failures count at once.

use std::time::Duration;

use crate::clock::Time;
use crate::name::Name;

use super::evidence::{MAX_ROUTES, Report, Tally};

/// Shortest window.
pub const MIN_WINDOW: Duration = Duration::from_millis(400);

/// Time after which a window closes without the owners that have not reported.
pub const MAX_WINDOW: Duration = Duration::from_millis(1_200);

/// Time without a report after which an owner's next report only sets a baseline.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

/// Calls after which an owner's backend server counts as warm.
pub const WARM_CALLS: u64 = 20;

/// Time after an owner's first calls after which its backend server counts as warm.
pub const WARM_TIME: Duration = Duration::from_secs(30);

/// Most routes kept per owner; more than a single report contains.
pub const MAX_ROUTES_PER_OWNER: usize = 4 * MAX_ROUTES;

/// Which version of a move an owner's backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Version that the move replaces.
    Old,
    /// Version that the move introduces.
    New,
}

/// Collects owners' reports on one move and cuts them into windows.
#[derive(Clone, Debug)]
pub struct WindowBuilder {
    /// Owners, sorted by host.
    owners: Vec<Owner>,
    /// When the open window began.
    opened_at: Time,
}

/// Counts reported by one owner.
#[derive(Clone, Debug)]
struct Owner {
    /// Host of the owner.
    host: Name,
    /// Incarnation of its node.
    incarnation: u64,
    /// Version that its backend server runs.
    side: Side,
    /// Latest reported cumulative counts, sorted by route.
    latest: Vec<Tally>,
    /// Counts in the open window, sorted by route.
    pending: Vec<Tally>,
    /// When the owner last reported.
    last_report_at: Time,
    /// Calls counted since the baseline.
    calls: u64,
    /// When the first calls since the baseline were reported.
    first_calls_at: Option<Time>,
}

/// Counts of both versions over the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    /// Duration of the window.
    pub length: Duration,
    /// Old version's counts by host and route.
    pub old: Vec<(Name, Vec<Tally>)>,
    /// New version's counts by host and route.
    pub new: Vec<(Name, Vec<Tally>)>,
}

impl WindowBuilder {
    /// Builder without owners, with a window that opens now.
    pub fn new(now: Time) -> Self {
        Self {
            owners: Vec::new(),
            opened_at: now,
        }
    }

    /// Adds what a report counts beyond the previous one of the same owner.
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
        let is_restarted_or_moved = report.incarnation > owner.incarnation || owner.side != side;
        if is_restarted_or_moved || now.since(owner.last_report_at) > REPORT_TIMEOUT {
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

    /// Drops owners for which `is_live` returns `false`.
    pub fn retain(&mut self, mut is_live: impl FnMut(&str) -> bool) {
        self.owners.retain(|owner| is_live(&owner.host));
    }

    /// Number of owners of the new version that reported within [`REPORT_TIMEOUT`].
    pub fn reporting_owners(&self, now: Time) -> usize {
        self.owners
            .iter()
            .filter(|o| o.side == Side::New && now.since(o.last_report_at) <= REPORT_TIMEOUT)
            .count()
    }

    /// Closes the window if it has lasted for [`MIN_WINDOW`] and every owner that reports regularly
    /// has reported within it, or if it has lasted for [`MAX_WINDOW`].
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
    /// Owner whose first report only sets the baseline.
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

    /// Whether the owner's backend server is warm, so that its latencies count.
    fn is_warm(&self, now: Time) -> bool {
        let is_old_enough = |first_calls_at| now.since(first_calls_at) >= WARM_TIME;
        self.calls >= WARM_CALLS || self.first_calls_at.is_some_and(is_old_enough)
    }

    /// Adds a route's counts since the last report to the open window.
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
