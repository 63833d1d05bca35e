//! Decisions of the rollout controller about one move.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::intent::{FULL_SHARE, Move, Phase};
use buckthorn::rollout::controller::{self, Decision, Fleet, OVERDUE_TIMEOUT, Obstacle};
use buckthorn::rollout::evaluation::Evaluation;
use buckthorn::rollout::evidence::{Outcome, Recorder};
use buckthorn::rollout::schedule::MAX_CANARY;

/// Start of the move.
const START: Time = Time::from_secs(1_000);

/// Deadline of the move.
const DEADLINE: Time = Time::from_secs(1_600);

/// Servers of both versions.
const FLEET: Fleet = Fleet {
    old: 3,
    new: 3,
    new_slots: 30,
    is_quarantined: false,
    is_lowered: false,
};

/// Move in `phase` at `share`.
fn entry(phase: Phase, share: u16) -> Move {
    Move {
        id: "m".into(),
        service: "proof-vault".into(),
        route: "".into(),
        from: "v1".into(),
        to: "v2".into(),
        start: START,
        deadline: DEADLINE,
        phase,
        share,
        reason: String::new(),
        changed: START,
    }
}

/// Phase, share and reason of a decision, which must be a step.
fn step(decision: Decision) -> (Phase, u16, String) {
    match decision {
        Decision::Step {
            phase,
            share,
            reason,
        } => (phase, share, reason),
        Decision::Wait => panic!("no step was decided"),
    }
}

/// Prefix of the reason for which a move at 10% is held; panics unless it is held.
fn holding_obstacle(fleet: Fleet, evaluation: &Evaluation, now: Time) -> String {
    let (phase, share, reason) = step(controller::decide(
        &entry(Phase::Shifting, 100),
        evaluation,
        fleet,
        now,
    ));
    assert_eq!((phase, share), (Phase::Holding, 100));
    reason.split(':').next().unwrap_or_default().to_owned()
}

/// Evaluation after reports of both versions' owners until `now`, with `calls` successful calls of
/// `latency` per owner and report.
fn evaluation(now: Time, calls: u64, latency: Duration) -> Evaluation {
    let mut evaluation = Evaluation::new(&entry(Phase::Shifting, 100), START);
    let recorders: Vec<Recorder> = (0..6).map(|_| Recorder::new()).collect();
    let mut at = START;
    while at <= now {
        for (index, recorder) in recorders.iter().enumerate() {
            for _ in 0..calls {
                recorder.record("", Outcome::Ok, latency);
            }
            let (host, version) = (format!("h{index}"), ["v1", "v2"][index / 3]);
            let report = recorder.report(&host.into(), 1, &"proof-vault".into(), &version.into());
            evaluation.record_report(&report, at);
        }
        evaluation.close_window(at);
        at = at + Duration::from_millis(500);
    }
    evaluation
}

#[test]
fn share_stays_zero_before_the_start() {
    let evaluation = Evaluation::new(&entry(Phase::Waiting, 0), START);
    let before = Time::from_secs(999);
    let waiting = entry(Phase::Waiting, 0);
    assert_eq!(
        controller::decide(&waiting, &evaluation, FLEET, before),
        Decision::Wait
    );
    let (phase, share, _) = step(controller::decide(&waiting, &evaluation, FLEET, START));
    assert!(phase == Phase::Shifting && share <= MAX_CANARY);
}

#[test]
fn quarantined_version_is_rolled_back_without_local_evidence() {
    let evaluation = Evaluation::new(&entry(Phase::Shifting, 100), START);
    let fleet = Fleet {
        is_quarantined: true,
        ..FLEET
    };
    let decision = controller::decide(&entry(Phase::Shifting, 100), &evaluation, fleet, DEADLINE);
    assert_eq!(step(decision).0, Phase::RolledBack);
}

#[test]
fn each_obstacle_holds_and_is_named() {
    let now = Time::from_secs(1_500);
    let reported = evaluation(now, 1, Duration::from_millis(5));
    let no_new_server = Fleet { new: 0, ..FLEET };
    assert_eq!(
        holding_obstacle(no_new_server, &reported, now),
        Obstacle::NoServer.as_str()
    );
    let silent = Evaluation::new(&entry(Phase::Shifting, 100), START);
    assert_eq!(
        holding_obstacle(FLEET, &silent, now),
        Obstacle::SilentOwners.as_str()
    );
    let thin = evaluation(now, 0, Duration::from_millis(5));
    assert_eq!(
        holding_obstacle(FLEET, &thin, now),
        Obstacle::TooFewCalls.as_str()
    );
    let busy = evaluation(now, 40, Duration::from_secs(1));
    assert_eq!(
        holding_obstacle(FLEET, &busy, now),
        Obstacle::Capacity.as_str()
    );
}

#[test]
fn thin_evidence_holds_only_until_the_last_moment() {
    let now = DEADLINE - Duration::from_secs(1);
    let thin = evaluation(now, 0, Duration::from_millis(5));
    let (phase, share, reason) = step(controller::decide(
        &entry(Phase::Holding, 100),
        &thin,
        FLEET,
        now,
    ));
    assert!(phase == Phase::Shifting && share > 100, "{phase} {share}");
    assert!(reason.starts_with("last moment"), "{reason}");
}

#[test]
fn overdue_move_ends() {
    let now = DEADLINE + OVERDUE_TIMEOUT + Duration::from_secs(1);
    let evaluation = Evaluation::new(&entry(Phase::Holding, 100), START);
    let (phase, _, reason) = step(controller::decide(
        &entry(Phase::Holding, 100),
        &evaluation,
        FLEET,
        now,
    ));
    assert_eq!(phase, Phase::RolledBack);
    assert!(reason.starts_with("overdue"), "{reason}");
    let no_new_server = Fleet { new: 0, ..FLEET };
    let never = controller::decide(&entry(Phase::Holding, 0), &evaluation, no_new_server, now);
    assert_eq!(step(never).0, Phase::Cancelled);
}

#[test]
fn watch_lasts_beyond_the_deadline() {
    let full = entry(Phase::Watching, FULL_SHARE);
    let early = evaluation(DEADLINE, 1, Duration::from_millis(5));
    assert_eq!(
        controller::decide(&full, &early, FLEET, DEADLINE),
        Decision::Wait
    );
    let end = DEADLINE + controller::watch_period(&full);
    let late = evaluation(end, 1, Duration::from_millis(5));
    assert_eq!(
        step(controller::decide(&full, &late, FLEET, end)).0,
        Phase::Done
    );
}

#[test]
fn share_does_not_rise_while_the_nodes_have_lowered_it() {
    let now = Time::from_secs(1_500);
    let reported = evaluation(now, 1, Duration::from_millis(5));
    let held = entry(Phase::Holding, 200);
    let lowered = Fleet {
        is_lowered: true,
        ..FLEET
    };
    assert_eq!(
        controller::decide(&held, &reported, lowered, now),
        Decision::Wait
    );
    let (phase, share, _) = step(controller::decide(&held, &reported, FLEET, now));
    assert!(phase == Phase::Shifting && share > 200);
    let full = entry(Phase::Watching, FULL_SHARE);
    let (phase, share, _) = step(controller::decide(&full, &reported, lowered, now));
    assert_eq!((phase, share), (Phase::Holding, 200));
}
