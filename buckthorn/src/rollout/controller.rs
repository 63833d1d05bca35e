//! Decisions of the lease's holder about moves.
//!
//! A step is taken when it is due by the [`schedule`], the new version has had enough calls at the
//! present share, its owners report, its servers can bear the next share, and the [`evaluation`] says
//! nothing against it. Whatever is missing holds the move and is named in the reason, whose part
//! before the colon is one of a closed set ([`Obstacle`]).
//!
//! From the last moment on, missing evidence no longer holds a move; what speaks against the new
//! version still does. A version found worse than the old one at the same time is taken back. Where
//! the old version has too few calls for that, the share is lowered to [`COMPARISON_SHARE`] until the
//! comparison is made.
//!
//! [`evaluation`]: super::evaluation

use std::time::Duration;

use crate::clock::Time;
use crate::config::intent::{FULL_SHARE, Move, Phase};
use crate::journal::fold::COMPARISON_SHARE;

use super::evaluation::{Trial, Verdict};
use super::schedule::{self, Plan};

/// Longest watch after all traffic is on the new version.
pub const MAX_WATCH: Duration = Duration::from_secs(900);

/// Shortest watch after all traffic is on the new version.
pub const MIN_WATCH: Duration = Duration::from_secs(30);

/// Part of a move's time for which it is watched, as a divisor.
pub const WATCH_DIVISOR: u32 = 4;

/// Calls on the new version that are enough at one share.
pub const ENOUGH_CALLS: f64 = 100.0;

/// Calls on the new version that are wanted at one share however thin the traffic is.
pub const FEWEST_CALLS: f64 = 10.0;

/// Calls on the new version that are wanted at one share once there was a suspicion.
pub const COMPARED_CALLS: f64 = 40.0;

/// Part of the expected calls that is wanted.
pub const EXPECTED_PART: f64 = 0.5;

/// Part of the new version's slots that the moved calls may take.
pub const MAX_BUSY: f64 = 0.8;

/// Part of offers shed by the new version's servers above which the share does not rise.
pub const MAX_SHED: f64 = 0.05;

/// Part of offers shed by the new version's servers above which the share is lowered.
pub const LOWERING_SHED: f64 = 0.2;

/// Share above which the old version's calls are too few to clear a suspicion, in thousandths.
pub const COMPARABLE_SHARE: u16 = 500;

/// Time past the deadline after which a move that is still blocked ends.
pub const OVERDUE: Duration = Duration::from_secs(600);

/// Time before the start from which obstacles are told.
pub const EARLY: Duration = Duration::from_secs(600);

/// Shortest time between two holds of one move at the same share.
pub const HOLD_INTERVAL: Duration = Duration::from_secs(5);

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
    /// Whether nodes have lowered the share for a comparison.
    pub is_lowered: bool,
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

/// Why a move does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The time from start to deadline is shorter than the steps take.
    Deadline,
    /// No server of the new version takes work.
    NoServer,
    /// The new version's servers cannot bear the next share.
    Capacity,
    /// The new version's servers shed calls.
    Shed,
    /// Both versions do badly at present.
    Common,
    /// The new version is nearly condemned, or worse than the old version was.
    Doubt,
    /// The new version is at fault, but no server of the old version is left.
    NoReturn,
    /// Owners of the new version do not report.
    Silent,
    /// Too few calls on the new version.
    Thin,
}

impl Obstacle {
    /// Every obstacle, in the order of the documentation.
    pub const ALL: [Self; 9] = [
        Self::Deadline,
        Self::NoServer,
        Self::Capacity,
        Self::Shed,
        Self::Common,
        Self::Doubt,
        Self::NoReturn,
        Self::Silent,
        Self::Thin,
    ];

    /// First words of the reason.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Deadline => "deadline too near",
            Self::NoServer => "no server",
            Self::Capacity => "capacity",
            Self::Shed => "shedding",
            Self::Common => "common fault",
            Self::Doubt => "doubt",
            Self::NoReturn => "no way back",
            Self::Silent => "silent owners",
            Self::Thin => "thin evidence",
        }
    }

    /// Whether the last moment overrides it. A comparison is not cut short.
    fn yields(self, trial: &Trial) -> bool {
        match self {
            Self::Thin => !trial.is_compared(),
            Self::Deadline | Self::Common => true,
            _ => false,
        }
    }
}

/// Decides about one move.
pub fn decide(entry: &Move, trial: &Trial, fleet: Fleet, now: Time) -> Decision {
    let decision = choose(entry, trial, fleet, now);
    check(entry, fleet, &decision, now);
    decision
}

/// Stops the process on a decision that breaks what moves promise.
fn check(entry: &Move, fleet: Fleet, decision: &Decision, now: Time) {
    let Decision::Step { phase, share, .. } = decision else {
        return;
    };
    assert!(
        *share == 0 || now >= entry.start,
        "invariant: no share before the start of a move"
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
        "invariant: a share rises only with a server that takes it"
    );
    assert!(
        *phase != Phase::TakenBack || fleet.old > 0,
        "invariant: traffic returns only to servers that take it"
    );
    assert!(
        *phase != Phase::Done || entry.phase == Phase::Watching,
        "invariant: a move is done only after its watch"
    );
}

/// Chooses what to do with one move.
fn choose(entry: &Move, trial: &Trial, fleet: Fleet, now: Time) -> Decision {
    if entry.phase.is_ended() {
        return Decision::Wait;
    }
    if entry.share == 0 {
        return begin(entry, trial, fleet, now);
    }
    let verdict = trial.verdict(fleet.new == 1);
    let fault = match &verdict {
        Verdict::Guilty(reason) => Some(reason.clone()),
        _ if fleet.is_quarantined => Some("quarantined by the nodes".into()),
        _ => None,
    };
    if let Some(reason) = fault {
        return take_back(entry, fleet, reason, now);
    }
    let is_wanted = fleet.is_lowered || needs_comparison(entry, trial, &verdict);
    if is_wanted && entry.share > COMPARISON_SHARE && fleet.old > 0 {
        let what = match verdict {
            Verdict::Suspect(what) | Verdict::Doubt(what) => what,
            _ if fleet.is_lowered => "lowered by the nodes before".into(),
            _ => format!("{:.0}% shed", trial.shed() * 100.0),
        };
        let reason = format!(
            "{}: share lowered to compare, {what}",
            Obstacle::Doubt.word()
        );
        return step(Phase::Holding, COMPARISON_SHARE, reason);
    }
    match entry.phase {
        Phase::Watching => watch(entry, trial, &verdict, now),
        _ => shift(entry, trial, fleet, verdict, now),
    }
}

/// Time for which a move is watched at full share, after its deadline if it was early.
pub fn watch_period(entry: &Move) -> Duration {
    (entry.deadline.since(entry.start) / WATCH_DIVISOR).clamp(MIN_WATCH, MAX_WATCH)
}

/// Decides about a move without any share yet.
fn begin(entry: &Move, trial: &Trial, fleet: Fleet, now: Time) -> Decision {
    if now + EARLY < entry.start {
        return Decision::Wait;
    }
    let (needed, given) = (
        schedule::shortest(),
        entry.deadline.since(entry.start.max(now)),
    );
    let obstacle = if fleet.new == 0 {
        Some((
            Obstacle::NoServer,
            format!("no server of {} takes work", entry.to),
        ))
    } else if given < needed && entry.phase == Phase::Waiting {
        let text = format!(
            "the steps take {} s, the deadline leaves {} s",
            needed.as_secs(),
            given.as_secs()
        );
        Some((Obstacle::Deadline, text))
    } else {
        None
    };
    match obstacle {
        Some(_) if now > entry.deadline + OVERDUE && entry.phase == Phase::Holding => step(
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
            let canary = schedule::canary(trial.rate(), ENOUGH_CALLS as u64, dwell);
            step(Phase::Shifting, canary, "canary")
        }
    }
}

/// Takes a move back, unless there is nothing to return to.
fn take_back(entry: &Move, fleet: Fleet, reason: String, now: Time) -> Decision {
    if fleet.old == 0 {
        let text = format!("no server of {} is left, {reason}", entry.from);
        return hold(entry, Obstacle::NoReturn, &text, now);
    }
    step(Phase::TakenBack, 0, reason)
}

/// Whether the share has to be lowered to learn more.
fn needs_comparison(entry: &Move, trial: &Trial, verdict: &Verdict) -> bool {
    match verdict {
        Verdict::Suspect(_) | Verdict::Doubt(_) => entry.share > COMPARABLE_SHARE,
        _ => entry.phase == Phase::Watching && trial.shed() > LOWERING_SHED,
    }
}

/// Decides about a move at full share.
fn watch(entry: &Move, trial: &Trial, verdict: &Verdict, now: Time) -> Decision {
    let is_over = now >= trial.since().max(entry.deadline) + watch_period(entry);
    let is_clean = *verdict == Verdict::Clean && !trial.is_excused();
    if !is_over || !is_clean || trial.heard(now) == 0 {
        return Decision::Wait;
    }
    step(Phase::Done, FULL_SHARE, "watched without a fault")
}

/// Decides about a move whose share is rising.
fn shift(entry: &Move, trial: &Trial, fleet: Fleet, verdict: Verdict, now: Time) -> Decision {
    let plan = schedule::plan(
        entry.share,
        schedule::MIN_CANARY,
        trial.since(),
        entry.start,
        entry.deadline,
    );
    let is_last_moment = now >= plan.last_moment;
    if fleet.is_lowered {
        // The nodes' doubts are answered by the step that lowered the share; they end with it.
        return Decision::Wait;
    }
    let is_settled = now.since(trial.since().max(entry.changed)) >= schedule::MIN_DWELL;
    let is_common = matches!(verdict, Verdict::Common(_)) && trial.is_excused();
    if is_common && is_settled && trial.was_full() {
        let reason = "common fault: both versions do alike, share restored";
        return step(Phase::Watching, FULL_SHARE, reason);
    }
    if now < plan.due && !(is_last_moment && is_settled) {
        return Decision::Wait;
    }
    match obstacle(entry, trial, fleet, verdict, plan, now) {
        Some((obstacle, _)) if is_last_moment && obstacle.yields(trial) => {
            raise(plan, format!("last moment: {}", obstacle.word()))
        }
        Some((_, text)) if is_overdue(entry, trial, now) => {
            let reason = format!("overdue: {text}");
            take_back(entry, fleet, reason, now)
        }
        Some((obstacle, text)) => hold(entry, obstacle, &text, now),
        None if now > entry.deadline => raise(plan, "late: after the deadline".into()),
        None => raise(plan, "on schedule".into()),
    }
}

/// Whether a blocked move is past its deadline for too long.
fn is_overdue(entry: &Move, trial: &Trial, now: Time) -> bool {
    entry.phase == Phase::Holding
        && now > entry.deadline + OVERDUE
        && now.since(trial.since()) > OVERDUE
}

/// What keeps a move from its next step.
fn obstacle(
    entry: &Move,
    trial: &Trial,
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
        Verdict::Clean | Verdict::Guilty(_) => {}
        Verdict::Common(what) => return Some((Obstacle::Common, what)),
        Verdict::Doubt(what) | Verdict::Suspect(what) => return Some((Obstacle::Doubt, what)),
    }
    let busy = trial.busy() * f64::from(plan.next) / f64::from(FULL_SHARE);
    let slots = f64::from(fleet.new_slots) * MAX_BUSY;
    if busy > slots {
        let text = format!(
            "{} of traffic needs {busy:.1} slots, {slots:.1} are usable",
            plan.next
        );
        return Some((Obstacle::Capacity, text));
    }
    if trial.shed() > MAX_SHED {
        let text = format!("new servers shed {:.0}% of calls", trial.shed() * 100.0);
        return Some((Obstacle::Shed, text));
    }
    let heard = trial.heard(now);
    if heard * 2 < fleet.new {
        let text = format!("{heard} of {} owners report", fleet.new);
        return Some((Obstacle::Silent, text));
    }
    let wanted = wanted(entry, trial, plan);
    if (trial.calls() as f64) < wanted {
        let text = format!(
            "{} of {wanted:.0} calls, goes on by {} at the latest",
            trial.calls(),
            plan.last_moment
        );
        return Some((Obstacle::Thin, text));
    }
    None
}

/// Calls on the new version wanted before the next step.
fn wanted(entry: &Move, trial: &Trial, plan: Plan) -> f64 {
    let dwell = plan.due.since(trial.since()).as_secs_f64();
    let expected = trial.rate() * dwell * f64::from(entry.share) / f64::from(FULL_SHARE);
    let fewest = if trial.is_compared() {
        COMPARED_CALLS
    } else {
        FEWEST_CALLS
    };
    (expected * EXPECTED_PART).clamp(fewest, ENOUGH_CALLS)
}

/// Raises the share.
fn raise(plan: Plan, reason: String) -> Decision {
    if plan.next == FULL_SHARE {
        return step(Phase::Watching, FULL_SHARE, reason);
    }
    step(Phase::Shifting, plan.next, reason)
}

/// Holds a move at its share, unless it is held for that reason already.
fn hold(entry: &Move, obstacle: Obstacle, text: &str, now: Time) -> Decision {
    let is_same = entry.reason.split(':').next() == Some(obstacle.word());
    let is_recent = now.since(entry.changed) < HOLD_INTERVAL;
    if entry.phase == Phase::Holding && (is_same || is_recent) {
        return Decision::Wait;
    }
    step(
        Phase::Holding,
        entry.share,
        format!("{}: {text}", obstacle.word()),
    )
}

/// A step to append.
fn step(phase: Phase, share: u16, reason: impl Into<String>) -> Decision {
    Decision::Step {
        phase,
        share,
        reason: reason.into(),
    }
}
