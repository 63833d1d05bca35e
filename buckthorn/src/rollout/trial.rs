//! Trial of a move's new version: the share that it may have, and whether it is proven.
//!
//! Each evaluator concludes from the owners' counts whether the version is faulty, how far its share
//! may rise, or that it is sound. A node gives the version the share of the schedule, as far as all
//! evaluators permit it that were heard lately.

use std::time::Duration;

use crate::clock::Time;
use crate::config::intent::FULL_SHARE;
use crate::name::Name;

use super::comparison::Comparison;
use super::evidence::Report;
use super::exposure::{Bound, FIRST_SHARE, Rate, Schedule, Usage};

/// Time for which an evaluator permits a share above the first one; two consecutive findings of it may
/// be lost.
const PERMISSION_LIFETIME: Duration = Duration::from_millis(1_300);

/// Elapsed part of the window, in thousandths, at which a version without a fault is completed if it
/// has had enough calls.
const COMPLETE_AT: u64 = 900;

/// Elapsed part of the window, in thousandths, from which few calls are enough; the rest is left for
/// publishing the decision.
const LAST_MOMENT: u64 = 940;

/// Calls at a full share that are always enough to complete a move.
const ENOUGH_CALLS: u64 = 60;

/// Calls at a full share that are enough under low traffic once the bound is spent.
const MIN_CALLS: u64 = 10;

/// Calls at a full share that are enough at the last moment.
const MIN_LAST_CALLS: u64 = 5;

/// Divisor of a service's calls so far that gives the calls at a full share that are enough once the
/// bound is spent.
const CALLS_DIVISOR: u64 = 20;

/// Time at a full share before a move is completed, for calls to the old version to end.
const MIN_FULL_TIME: Duration = Duration::from_millis(500);

/// Permission of one evaluator to raise the share.
#[derive(Debug)]
struct Permission {
    /// Host of the evaluator.
    host: Name,
    /// Largest permitted share in thousandths.
    max_share: u16,
    /// When it was received.
    at: Time,
}

/// What an evaluator concludes about a running move.
pub enum Conclusion {
    /// The new version is faulty.
    RollBack(String),
    /// The share may rise up to this one, in thousandths.
    Permit(u16),
    /// The new version may receive all calls for good.
    Complete,
}

/// Trial of one move's new version on one node.
#[derive(Debug, Default)]
pub struct Trial {
    /// Counts of both versions.
    pub comparison: Comparison,
    /// Part of the window, in thousandths, at which the counts began.
    counted_since: Option<u64>,
    /// Recent rate of the counted calls.
    rate: Rate,
    /// Latest permissions of the evaluators.
    permissions: Vec<Permission>,
    /// When the share became full on this node, unless it was lowered since.
    full_since: Option<Time>,
    /// Calls of the new version before its share was first full on this node.
    calls_before_full: Option<u64>,
    /// When this node or another evaluator concluded that the new version is sound.
    proven_at: Option<Time>,
}

impl Trial {
    /// Adds an owner's counts at an elapsed part of the window in thousandths.
    pub fn record_report(&mut self, report: &Report, is_new: bool, part: u64, now: Time) {
        self.counted_since.get_or_insert(part);
        self.comparison.record_report(report, is_new);
        let (_, all) = self.comparison.exposed_and_all_calls();
        self.rate.record(all, now);
    }

    /// Share of the new version in thousandths at an elapsed part of the window, as the schedule and
    /// the evaluators permit it.
    pub fn share(&mut self, part: u64, schedule: &Schedule, now: Time) -> u16 {
        let share = schedule.share(part).min(self.permitted_share(now));
        if share < FULL_SHARE {
            self.full_since = None;
        } else {
            self.full_since.get_or_insert(now);
            let calls = self.comparison.new_calls();
            self.calls_before_full.get_or_insert(calls);
        }
        share
    }

    /// Accepts the conclusion of another evaluator that the new version is sound.
    pub fn accept_proof(&mut self, now: Time) {
        self.proven_at.get_or_insert(now);
    }

    /// Whether the new version was found sound.
    pub fn is_proven(&self) -> bool {
        self.proven_at.is_some()
    }

    /// Whether the move may be completed by an evaluator that leaves others this head start.
    pub fn may_complete(&self, head_start: Duration, now: Time) -> bool {
        let has_lasted = |since: Option<Time>, time| since.is_some_and(|at| now.since(at) >= time);
        has_lasted(self.proven_at, head_start) && has_lasted(self.full_since, MIN_FULL_TIME)
    }

    /// Stores an evaluator's permission in place of its last one.
    pub fn permit(&mut self, host: &Name, max_share: u16, now: Time) {
        self.permissions.retain(|permission| {
            permission.host != *host && now.since(permission.at) < PERMISSION_LIFETIME
        });
        self.permissions.push(Permission {
            host: host.clone(),
            max_share,
            at: now,
        });
    }

    /// Largest share that all evaluators permit which were heard lately; the first share if there
    /// are none.
    pub fn permitted_share(&self, now: Time) -> u16 {
        let valid = self
            .permissions
            .iter()
            .filter(|permission| now.since(permission.at) < PERMISSION_LIFETIME);
        valid
            .map(|permission| permission.max_share)
            .min()
            .unwrap_or(FIRST_SHARE)
    }

    /// Calls of the new version that have ended since its share became full.
    fn calls_at_full_share(&self) -> u64 {
        self.calls_before_full.map_or(0, |before| {
            self.comparison.new_calls().saturating_sub(before)
        })
    }

    /// Concludes from the counts how the move goes on.
    pub fn conclude(
        &mut self,
        part: u64,
        schedule: &Schedule,
        bound: Bound,
        now: Time,
    ) -> Conclusion {
        if let Some(fault) = self.comparison.fault() {
            return Conclusion::RollBack(fault);
        }
        if self.proven_at.is_some() {
            return Conclusion::Complete;
        }
        if self.comparison.is_common_fault() {
            return Conclusion::Permit(FIRST_SHARE);
        }
        let (exposed, all) = self.comparison.exposed_and_all_calls();
        let usage = Usage {
            exposed,
            all,
            rate: self.rate.per_second(),
            latency: self.comparison.median_latency(),
            since: self.counted_since.unwrap_or(part),
        };
        let is_spent = bound.is_spent(usage, part, schedule);
        if !is_spent && part < COMPLETE_AT {
            return Conclusion::Permit(FULL_SHARE);
        }
        let enough_calls = if is_spent {
            (all / CALLS_DIVISOR).clamp(MIN_CALLS, ENOUGH_CALLS)
        } else if part >= LAST_MOMENT {
            MIN_LAST_CALLS
        } else {
            ENOUGH_CALLS
        };
        match self.comparison.suspicion() {
            Some(reason) if is_spent || part >= LAST_MOMENT => Conclusion::RollBack(reason),
            None if self.calls_at_full_share() >= enough_calls => {
                self.proven_at = Some(now);
                Conclusion::Complete
            }
            _ if is_spent => Conclusion::Permit(FIRST_SHARE),
            _ => Conclusion::Permit(FULL_SHARE),
        }
    }
}
