//! Counts of lifetimes that ended, for candidates that were chosen afterwards.
//!
//! A node reports its own counts to whoever is a candidate, but one that stopped or was killed reported
//! only to the candidates of that time. Each of them passes these counts on to candidates that it has
//! not passed them to before.

use super::collector::{Collector, Report};
use crate::clock::Time;
use crate::membership::member::Member;
use crate::membership::view::View;
use crate::name::Name;

/// Reports that are passed on in one message. A report of 100 tenants takes some 6 KB.
const MAX_REPORTS: usize = 32;

/// Version of a report: its host, incarnation and time.
type Version = (Name, u64, Time);

/// Reports that were passed on, by candidate.
#[derive(Clone, Debug, Default)]
pub struct Handover {
    /// Host and incarnation of a candidate, with the reports passed on to it, sorted.
    passed: Vec<((Name, u64), Vec<Version>)>,
}

impl Handover {
    /// Forgets what was passed on to nodes that are no candidates any more, and reports that
    /// `collector` no longer holds.
    pub fn prune(&mut self, candidates: &[Member], collector: &Collector) {
        self.passed.retain(|((host, incarnation), _)| {
            let mut members = candidates.iter();
            members.any(|member| member.host == *host && member.incarnation == *incarnation)
        });
        for (_, versions) in &mut self.passed {
            versions.retain(|(host, incarnation, _)| collector.holds(host, *incarnation));
        }
    }

    /// Forgets what was passed on to a host, as it may not have arrived.
    pub fn forget(&mut self, host: &str) {
        self.passed.retain(|((held, _), _)| **held != *host);
    }

    /// Takes the next reports to pass on to a candidate.
    pub fn next(
        &mut self,
        candidate: &Member,
        collector: &Collector,
        view: &View,
    ) -> Vec<(Name, Report)> {
        let key = (candidate.host.clone(), candidate.incarnation);
        let index = match self.passed.binary_search_by(|(held, _)| held.cmp(&key)) {
            Ok(index) => index,
            Err(index) => {
                self.passed.insert(index, (key, Vec::new()));
                index
            }
        };
        let passed = &mut self.passed[index].1;
        let mut reports = Vec::new();
        for (host, report) in collector.reports().filter(|(h, r)| has_ended(view, h, r)) {
            let version = (host.clone(), report.incarnation, report.at);
            let Err(index) = passed.binary_search(&version) else {
                continue;
            };
            if reports.len() == MAX_REPORTS {
                break;
            }
            passed.insert(index, version);
            reports.push((host.clone(), report.clone()));
        }
        reports
    }
}

/// Whether the lifetime of a report has ended, as far as a view shows.
fn has_ended(view: &View, host: &Name, report: &Report) -> bool {
    let member = view.get(host).filter(|member| member.is_usable());
    member.is_none_or(|member| member.incarnation > report.incarnation)
}
