//! Sum of the counts of all nodes.
//!
//! A report holds all counts of one lifetime of a node in the windows that are not overdue, and
//! replaces the one before it. Lifetimes are kept apart by their incarnation, so a node that restarts
//! adds to what it counted before, and nothing counts twice.

use serde::{Deserialize, Serialize};

use super::Counts;
use crate::clock::Time;
use crate::name::Name;

/// Lifetimes of one host that are kept; a host that restarts more often within the windows that are
/// not overdue loses its oldest counts.
const MAX_LIFETIMES: usize = 8;

/// Reports that are kept, so that what peers pass on about others stays bounded.
const MAX_REPORTS: usize = 8_192;

/// Counts of one lifetime of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Time up to which the counts are complete.
    pub at: Time,
    /// Windows with their counts, sorted.
    pub windows: Vec<(u64, Counts)>,
}

/// Newest report of each lifetime of each node.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    /// Reports with their hosts, sorted by host and incarnation.
    reports: Vec<(Name, Report)>,
}

impl Collector {
    /// Merges a report of a host; windows outside `first..=last` are dropped.
    pub fn merge(&mut self, host: &Name, mut report: Report, first: u64, last: u64) {
        report
            .windows
            .retain(|(window, _)| (first..=last).contains(window));
        let key = (host, report.incarnation);
        match self.reports.binary_search_by_key(&key, entry_key) {
            Ok(index) if self.reports[index].1.at < report.at => self.reports[index].1 = report,
            Ok(_) => {}
            Err(index) if self.reports.len() < MAX_REPORTS => {
                self.reports.insert(index, (host.clone(), report));
                self.limit_lifetimes(host);
            }
            Err(_) => {}
        }
    }

    /// Reports with their hosts.
    pub fn reports(&self) -> impl Iterator<Item = (&Name, &Report)> {
        self.reports.iter().map(|(host, report)| (host, report))
    }

    /// Whether there is a report of a lifetime.
    pub fn holds(&self, host: &Name, incarnation: u64) -> bool {
        let key = (host, incarnation);
        self.reports.binary_search_by_key(&key, entry_key).is_ok()
    }

    /// Drops the oldest lifetime of a host that has too many.
    fn limit_lifetimes(&mut self, host: &Name) {
        let first = self.reports.partition_point(|(held, _)| held < host);
        let count = self.reports[first..].partition_point(|(held, _)| held == host);
        if count > MAX_LIFETIMES {
            self.reports.remove(first);
        }
    }

    /// Drops windows before the given one, and reports of which nothing is left and that ended
    /// before `oldest`.
    pub fn prune(&mut self, first: u64, oldest: Time) {
        for (_, report) in &mut self.reports {
            report.windows.retain(|(window, _)| *window >= first);
        }
        self.reports
            .retain(|(_, report)| !report.windows.is_empty() || report.at >= oldest);
    }

    /// Whether the counts of each host are complete up to a time.
    pub fn is_complete<'a>(&self, end: Time, hosts: impl IntoIterator<Item = &'a Name>) -> bool {
        hosts.into_iter().all(|host| {
            let after = self.reports.partition_point(|(held, _)| held <= host);
            let newest = self.reports[..after].last();
            newest.is_some_and(|(held, report)| held == host && report.at >= end)
        })
    }

    /// Sum of a window over all lifetimes of all nodes, without tenants that had no request.
    pub fn sum(&self, window: u64) -> Counts {
        let reports = self.reports.iter().map(|(_, report)| report);
        let windows = reports.filter_map(|report| {
            let index = report
                .windows
                .binary_search_by_key(&window, |(held, _)| *held);
            Some(&report.windows[index.ok()?].1)
        });
        let mut all: Counts = windows.flatten().cloned().collect();
        all.sort();
        let mut sum = Counts::new();
        for (tenant, count) in all {
            match sum.last_mut() {
                Some((last, total)) if *last == tenant => *total = total.saturating_add(count),
                _ => sum.push((tenant, count)),
            }
        }
        sum.retain(|(_, count)| *count > 0);
        sum
    }
}

/// Key by which reports are sorted.
fn entry_key((host, report): &(Name, Report)) -> (&Name, u64) {
    (host, report.incarnation)
}
