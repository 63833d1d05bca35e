//! Rollout controller: the lease holder's decisions about moves.
//!
//! A step is taken when it is due by the [`schedule`], the new version has received enough calls at
//! the current share, its owners report, its servers have capacity for the next share, and the
//! [`evaluation`] shows no fault. An unmet condition holds the move and is named in the reason; the
//! text before the colon is one of a closed set ([`Obstacle`]).
//!
//! From the last moment on, neither a common fault nor too few calls hold a move any longer, the
//! latter unless the share was lowered for a comparison. Every other obstacle still does.
//!
//! A version that performs worse than the old one over the same time is rolled back. If the old
//! version receives too few calls for this comparison, the share is first lowered to
//! [`COMPARISON_SHARE`].
//!
//! [`evaluation`]: super::evaluation

use std::time::Duration;

use crate::clock::Time;
use crate::config::intent::{FULL_SHARE, Move, Phase};
use crate::journal::fold::COMPARISON_SHARE;

use super::evaluation::{Evaluation, Verdict};
use super::schedule::{self, Plan};

/// Longest observation period at full share.
pub const MAX_WATCH: Duration = Duration::from_secs(900);

/// Shortest observation period at full share.
pub const MIN_WATCH: Duration = Duration::from_secs(30);

/// Divisor of a move's duration that gives its observation period at full share.
pub const WATCH_DIVISOR: u32 = 4;

/// Calls to the new version that always suffice at one share.
pub const ENOUGH_CALLS: f64 = 100.0;

/// Calls to the new version required at one share, however low the traffic is.
pub const MIN_CALLS: f64 = 10.0;

/// Calls to the new version required at one share once the share was lowered for a comparison.
pub const MIN_COMPARISON_CALLS: f64 = 40.0;

/// Fraction of the expected calls that is required before the next step.
pub const MIN_EXPECTED_PART: f64 = 0.5;

/// Fraction of the new version's slots that its calls may occupy at the next share.
pub const MAX_UTILIZATION: f64 = 0.8;

/// Fraction of calls shed by the new version's servers above which the share is not raised.
pub const MAX_SHED: f64 = 0.05;

/// Fraction of calls shed by the new version's servers above which the share is lowered at full
/// share.
pub const SHED_TO_LOWER: f64 = 0.2;

/// Share in thousandths above which the old version receives too few calls for a comparison.
pub const COMPARABLE_SHARE: u16 = 500;

/// Time past the deadline after which a move that is still held ends.
pub const OVERDUE_TIMEOUT: Duration = Duration::from_secs(600);

/// Time before the start from which obstacles are reported.
pub const OBSTACLE_LEAD: Duration = Duration::from_secs(600);

/// Shortest time between two holds of one move at the same share.
pub const HOLD_INTERVAL: Duration = Duration::from_secs(5);

/// State of the backend servers of a move's versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Servers of the old version that accept calls.
    pub old: usize,
    /// Servers of the new version that accept calls.
    pub new: usize,
    /// Total concurrency slots of the new version's servers.
    pub new_slots: u32,
    /// Whether nodes have quarantined the new version.
    pub is_quarantined: bool,
    /// Whether nodes have lowered the share for a comparison.
    pub is_lowered: bool,
}

/// Outcome of a decision about a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Leave the move as it is.
    Wait,
    /// Append a step.
    Step {
        /// Phase that the move enters.
        phase: Phase,
        /// Share on the new version, in thousandths.
        share: u16,
        /// Explanation for the operator, stored with the step.
        reason: String,
    },
}

/// Condition that holds a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The time until the deadline is shorter than the steps need.
    Deadline,
    /// No server of the new version accepts calls.
    NoServer,
    /// The new version's servers lack the slots for the next share.
    Capacity,
    /// The new version's servers shed too many calls.
    Shedding,
    /// Both versions currently fail or are slow.
    CommonFault,
    /// The new version is close to a rollback, or worse than the old version was earlier.
    Suspect,
    /// The new version is faulty, but no server of the old version accepts calls.
    NoRollbackTarget,
    /// Owners of the new version do not report.
    SilentOwners,
    /// The new version has received too few calls at the current share.
    TooFewCalls,
}

impl Obstacle {
    /// Every obstacle, in the order of the documentation.
    pub const ALL: [Self; 9] = [
        Self::Deadline,
        Self::NoServer,
        Self::Capacity,
        Self::Shedding,
        Self::CommonFault,
        Self::Suspect,
        Self::NoRollbackTarget,
        Self::SilentOwners,
        Self::TooFewCalls,
    ];

    /// Prefix of a hold's reason, up to the colon.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline too near",
            Self::NoServer => "no server",
            Self::Capacity => "capacity",
            Self::Shedding => "shedding",
            Self::CommonFault => "common fault",
            Self::Suspect => "doubt",
            Self::NoRollbackTarget => "no way back",
            Self::SilentOwners => "silent owners",
            Self::TooFewCalls => "thin evidence",
        }
    }

    /// Whether the move continues despite this obstacle from the last moment on. A comparison is
    /// always completed.
    fn yields_to_deadline(self, evaluation: &Evaluation) -> bool {
        match self {
            Self::TooFewCalls => !evaluation.was_compared(),
            Self::Deadline | Self::CommonFault => true,
            _ => false,
        }
    }
}

/// Decides the next step of a move and checks the invariants of that decision.
pub fn decide(entry: &Move, evaluation: &Evaluation, fleet: Fleet, now: Time) -> Decision {
    let decision = choose_decision(entry, evaluation, fleet, now);
    assert_invariants(entry, fleet, &decision, now);
    decision
}

/// Panics if a decision violates an invariant of moves.
fn assert_invariants(entry: &Move, fleet: Fleet, decision: &Decision, now: Time) {
    let Decision::Step { phase, share, .. } = decision else {
        return;
    };
    assert!(
        *share == 0 || now >= entry.start,
        "invariant: a move has no share before its start"
    );
    assert!(
        entry.share != 0 || *share <= schedule::MAX_CANARY,
        "invariant: the first share is at most the largest canary"
    );
    assert!(
        *share <= entry.share || !fleet.is_quarantined,
        "invariant: the share of a quarantined version never rises"
    );
    assert!(
        *share <= entry.share || fleet.new > 0,
        "invariant: a share rises only while a server of the new version accepts calls"
    );
    assert!(
        *phase != Phase::RolledBack || fleet.old > 0,
        "invariant: a rollback needs a server of the old version that accepts calls"
    );
    assert!(
        *phase != Phase::Done || entry.phase == Phase::Watching,
        "invariant: a move is done only after its observation at full share"
    );
}

/// Decides the next step of a move.
fn choose_decision(entry: &Move, evaluation: &Evaluation, fleet: Fleet, now: Time) -> Decision {
    if entry.phase.is_ended() {
        return Decision::Wait;
    }
    if entry.share == 0 {
        return start_move(entry, evaluation, fleet, now);
    }
    let verdict = evaluation.verdict(fleet.new == 1);
    let fault = match &verdict {
        Verdict::Regressed(reason) => Some(reason.clone()),
        _ if fleet.is_quarantined => Some("quarantined by the nodes".into()),
        _ => None,
    };
    if let Some(reason) = fault {
        return roll_back(entry, fleet, reason, now);
    }
    let is_wanted = fleet.is_lowered || needs_comparison(entry, evaluation, &verdict);
    if is_wanted && entry.share > COMPARISON_SHARE && fleet.old > 0 {
        let detail = match verdict {
            Verdict::Suspect(detail) | Verdict::Borderline(detail) => detail,
            _ if fleet.is_lowered => "lowered by the nodes before".into(),
            _ => format!("{:.0}% shed", evaluation.shed_ratio() * 100.0),
        };
        let reason = format!(
            "{}: share lowered to compare, {detail}",
            Obstacle::Suspect.as_str()
        );
        return step(Phase::Holding, COMPARISON_SHARE, reason);
    }
    match entry.phase {
        Phase::Watching => decide_watching(entry, evaluation, &verdict, now),
        _ => decide_rising(entry, evaluation, fleet, verdict, now),
    }
}

/// Observation period at full share, counted from the later of the deadline and the time at which
/// the share was reached.
pub fn watch_period(entry: &Move) -> Duration {
    (entry.deadline.since(entry.start) / WATCH_DIVISOR).clamp(MIN_WATCH, MAX_WATCH)
}

/// Decides about a move that has no share yet.
fn start_move(entry: &Move, evaluation: &Evaluation, fleet: Fleet, now: Time) -> Decision {
    if now + OBSTACLE_LEAD < entry.start {
        return Decision::Wait;
    }
    let (required, available) = (
        schedule::min_duration(),
        entry.deadline.since(entry.start.max(now)),
    );
    let obstacle = if fleet.new == 0 {
        Some((
            Obstacle::NoServer,
            format!("no server of {} takes work", entry.to),
        ))
    } else if available < required && entry.phase == Phase::Waiting {
        let text = format!(
            "the steps take {} s, the deadline leaves {} s",
            required.as_secs(),
            available.as_secs()
        );
        Some((Obstacle::Deadline, text))
    } else {
        None
    };
    match obstacle {
        Some(_) if now > entry.deadline + OVERDUE_TIMEOUT && entry.phase == Phase::Holding => step(
            Phase::Cancelled,
            0,
            format!("never began: {}", entry.reason),
        ),
        Some((obstacle, text)) => hold(entry, obstacle, &text, now),
        None if now < entry.start || fleet.is_quarantined => Decision::Wait,
        None => {
            let time =
                entry.deadline.since(entry.start) - schedule::reserve(entry.start, entry.deadline);
            let dwell = time / schedule::TYPICAL_STEPS;
            let canary = schedule::canary_share(evaluation.call_rate(), ENOUGH_CALLS as u64, dwell);
            step(Phase::Shifting, canary, "canary")
        }
    }
}

/// Rolls a move back, or holds it if no server of the old version accepts calls.
fn roll_back(entry: &Move, fleet: Fleet, reason: String, now: Time) -> Decision {
    if fleet.old == 0 {
        let text = format!("no server of {} is left, {reason}", entry.from);
        return hold(entry, Obstacle::NoRollbackTarget, &text, now);
    }
    step(Phase::RolledBack, 0, reason)
}

/// Whether the share has to be lowered to compare the versions.
fn needs_comparison(entry: &Move, evaluation: &Evaluation, verdict: &Verdict) -> bool {
    match verdict {
        Verdict::Suspect(_) | Verdict::Borderline(_) => entry.share > COMPARABLE_SHARE,
        _ => entry.phase == Phase::Watching && evaluation.shed_ratio() > SHED_TO_LOWER,
    }
}

/// Decides about a move at full share.
fn decide_watching(
    entry: &Move,
    evaluation: &Evaluation,
    verdict: &Verdict,
    now: Time,
) -> Decision {
    let is_over = now >= evaluation.since().max(entry.deadline) + watch_period(entry);
    let is_clean = *verdict == Verdict::Clean && !evaluation.has_common_fault();
    if !is_over || !is_clean || evaluation.reporting_owners(now) == 0 {
        return Decision::Wait;
    }
    step(Phase::Done, FULL_SHARE, "watched without a fault")
}

/// Decides about a move that has not reached full share.
fn decide_rising(
    entry: &Move,
    evaluation: &Evaluation,
    fleet: Fleet,
    verdict: Verdict,
    now: Time,
) -> Decision {
    let plan = schedule::plan(
        entry.share,
        schedule::MIN_CANARY,
        evaluation.since(),
        entry.start,
        entry.deadline,
    );
    let is_last_moment = now >= plan.last_moment;
    if fleet.is_lowered {
        // The step that lowers the share also ends the accusations behind it; wait for this.
        return Decision::Wait;
    }
    let is_settled = now.since(evaluation.since().max(entry.changed)) >= schedule::MIN_DWELL;
    let is_common = matches!(verdict, Verdict::CommonFault(_)) && evaluation.has_common_fault();
    if is_common && is_settled && evaluation.has_reached_full_share() {
        let reason = "common fault: both versions do alike, share restored";
        return step(Phase::Watching, FULL_SHARE, reason);
    }
    if now < plan.due && !(is_last_moment && is_settled) {
        return Decision::Wait;
    }
    match obstacle(entry, evaluation, fleet, verdict, plan, now) {
        Some((obstacle, _)) if is_last_moment && obstacle.yields_to_deadline(evaluation) => {
            raise(plan, format!("last moment: {}", obstacle.as_str()))
        }
        Some((_, text)) if is_overdue(entry, evaluation, now) => {
            let reason = format!("overdue: {text}");
            roll_back(entry, fleet, reason, now)
        }
        Some((obstacle, text)) => hold(entry, obstacle, &text, now),
        None if now > entry.deadline => raise(plan, "late: after the deadline".into()),
        None => raise(plan, "on schedule".into()),
    }
}

/// Whether a held move has been past its deadline and at its share for too long.
fn is_overdue(entry: &Move, evaluation: &Evaluation, now: Time) -> bool {
    entry.phase == Phase::Holding
        && now > entry.deadline + OVERDUE_TIMEOUT
        && now.since(evaluation.since()) > OVERDUE_TIMEOUT
}

/// Condition that holds a move before its next step, with details for the operator.
fn obstacle(
    entry: &Move,
    evaluation: &Evaluation,
    fleet: Fleet,
    verdict: Verdict,
    plan: Plan,
    now: Time,
) -> Option<(Obstacle, String)> {
    if fleet.new == 0 {
        let text = format!("no server of {} takes work", entry.to);
        return Some((Obstacle::NoServer, text));
    }
    match verdict {
        Verdict::Clean | Verdict::Regressed(_) => {}
        Verdict::CommonFault(why) => return Some((Obstacle::CommonFault, why)),
        Verdict::Borderline(why) | Verdict::Suspect(why) => return Some((Obstacle::Suspect, why)),
    }
    let busy = evaluation.concurrency() * f64::from(plan.next) / f64::from(FULL_SHARE);
    let slots = f64::from(fleet.new_slots) * MAX_UTILIZATION;
    if busy > slots {
        let text = format!(
            "{} of traffic needs {busy:.1} slots, {slots:.1} are usable",
            plan.next
        );
        return Some((Obstacle::Capacity, text));
    }
    if evaluation.shed_ratio() > MAX_SHED {
        let text = format!(
            "new servers shed {:.0}% of calls",
            evaluation.shed_ratio() * 100.0
        );
        return Some((Obstacle::Shedding, text));
    }
    let reporting = evaluation.reporting_owners(now);
    if reporting * 2 < fleet.new {
        let text = format!("{reporting} of {} owners report", fleet.new);
        return Some((Obstacle::SilentOwners, text));
    }
    let wanted = wanted_calls(entry, evaluation, plan);
    if (evaluation.new_version_calls() as f64) < wanted {
        let text = format!(
            "{} of {wanted:.0} calls, goes on by {} at the latest",
            evaluation.new_version_calls(),
            plan.last_moment
        );
        return Some((Obstacle::TooFewCalls, text));
    }
    None
}

/// Calls to the new version required before the next step.
fn wanted_calls(entry: &Move, evaluation: &Evaluation, plan: Plan) -> f64 {
    let dwell = plan.due.since(evaluation.since()).as_secs_f64();
    let expected = evaluation.call_rate() * dwell * f64::from(entry.share) / f64::from(FULL_SHARE);
    let fewest = if evaluation.was_compared() {
        MIN_COMPARISON_CALLS
    } else {
        MIN_CALLS
    };
    (expected * MIN_EXPECTED_PART).clamp(fewest, ENOUGH_CALLS)
}

/// Step to the next share of the plan.
fn raise(plan: Plan, reason: String) -> Decision {
    if plan.next == FULL_SHARE {
        return step(Phase::Watching, FULL_SHARE, reason);
    }
    step(Phase::Shifting, plan.next, reason)
}

/// Holds a move at its share, unless it is already held for the same reason or was held less than
/// [`HOLD_INTERVAL`] ago.
fn hold(entry: &Move, obstacle: Obstacle, text: &str, now: Time) -> Decision {
    let is_same = entry.reason.split(':').next() == Some(obstacle.as_str());
    let is_recent = now.since(entry.changed) < HOLD_INTERVAL;
    if entry.phase == Phase::Holding && (is_same || is_recent) {
        return Decision::Wait;
    }
    step(
        Phase::Holding,
        entry.share,
        format!("{}: {text}", obstacle.as_str()),
    )
}

/// Builds the decision to append a step.
fn step(phase: Phase, share: u16, reason: impl Into<String>) -> Decision {
    Decision::Step {
        phase,
        share,
        reason: reason.into(),
    }
}
