//! Decisions of the lease's holder about moves.

use std::time::Duration;

use crate::clock::Time;
use crate::config::intent::{FULL_SHARE, Move, Phase};

use super::schedule;
use super::trial::Trial;

/// Longest watch after all traffic is on the new version.
pub const MAX_WATCH: Duration = Duration::from_secs(900);

/// Shortest watch after all traffic is on the new version.
pub const MIN_WATCH: Duration = Duration::from_secs(30);

/// Backend servers that a decision counts on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Servers of the old version that take new work.
    pub old: usize,
    /// Servers of the new version that take new work.
    pub new: usize,
    /// Slots of the new version's servers.
    pub new_slots: u32,
    /// Whether nodes have quarantined the new version.
    pub is_quarantined: bool,
}

/// What to do with a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing.
    Wait,
    /// Append a step.
    Step {
        /// Phase that the move enters.
        phase: Phase,
        /// Share on the new version, in thousandths.
        share: u16,
        /// Why.
        reason: String,
    },
}

/// Decides about one move.
pub fn decide(entry: &Move, trial: &Trial, fleet: Fleet, now: Time) -> Decision {
    match entry.phase {
        Phase::Done | Phase::TakenBack | Phase::Cancelled => Decision::Wait,
        Phase::Watching => watch(entry, trial, now),
        Phase::Waiting if now < entry.start => Decision::Wait,
        Phase::Waiting | Phase::Shifting | Phase::Holding => shift(entry, trial, fleet, now),
    }
}

/// Time for which a move is watched at full share.
pub fn watch_period(entry: &Move) -> Duration {
    (entry.deadline.since(entry.start) / 4).clamp(MIN_WATCH, MAX_WATCH)
}

/// Decides about a move at full share.
fn watch(entry: &Move, trial: &Trial, now: Time) -> Decision {
    if now.since(trial.since()) < watch_period(entry) {
        return Decision::Wait;
    }
    step(Phase::Done, FULL_SHARE, "watched without a fault")
}

/// Decides about a move whose share is rising.
fn shift(entry: &Move, trial: &Trial, fleet: Fleet, now: Time) -> Decision {
    if fleet.new == 0 {
        return hold(entry, format!("no server of {} is known", entry.to));
    }
    let canary = schedule::MIN_CANARY;
    let plan = schedule::plan(
        entry.share,
        canary,
        trial.since(),
        entry.start,
        entry.deadline,
    );
    if now < plan.due {
        return Decision::Wait;
    }
    if plan.next == FULL_SHARE {
        return step(Phase::Watching, FULL_SHARE, "all traffic moved");
    }
    step(Phase::Shifting, plan.next, "on schedule")
}

/// Holds a move at its share, unless it is held for that reason already.
fn hold(entry: &Move, reason: String) -> Decision {
    if entry.phase == Phase::Holding && entry.reason == reason {
        return Decision::Wait;
    }
    step(Phase::Holding, entry.share, reason)
}

/// A step to append.
fn step(phase: Phase, share: u16, reason: impl Into<String>) -> Decision {
    Decision::Step {
        phase,
        share,
        reason: reason.into(),
    }
}
