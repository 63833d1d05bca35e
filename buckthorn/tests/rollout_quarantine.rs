//! Accusations: quorum, monotonic limits, digests and expiry.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::intent::{FULL_SHARE, Intent, Move, Phase};
use buckthorn::journal::fold::COMPARISON_SHARE;
use buckthorn::rollout::quarantine::{
    Accusation, Degree, MAX_ACCUSATIONS, MAX_PER_MOVE, Quarantine, UNKNOWN_MOVE_RETENTION,
};

/// Time at which accusations are raised.
const AT: Time = Time::from_secs(1_000);

/// Accusation against a move's new version by a host.
fn accusation(id: &str, host: &str, degree: Degree) -> Accusation {
    Accusation {
        id: id.into(),
        host: host.into(),
        degree,
        reason: "failed".into(),
        at: AT,
        seen: AT,
    }
}

/// Intent with one move in `phase`, last changed at `changed`.
fn intent(phase: Phase, changed: Time) -> Intent {
    let entry = Move {
        id: "m".into(),
        service: "card-desk".into(),
        route: "".into(),
        from: "v1".into(),
        to: "v2".into(),
        start: AT,
        deadline: AT + Duration::from_secs(600),
        phase,
        share: FULL_SHARE,
        reason: String::new(),
        changed,
    };
    Intent {
        moves: vec![entry],
        ..Intent::default()
    }
}

#[test]
fn one_host_cannot_quarantine_however_often_it_accuses() {
    let mut quarantine = Quarantine::new();
    let open = intent(Phase::Shifting, AT);
    for _ in 0..5 {
        quarantine.merge(&[accusation("m", "a", Degree::Fault)], &open, false);
    }
    assert_eq!(quarantine.effective_share("m", FULL_SHARE), FULL_SHARE);
    quarantine.merge(&[accusation("m", "b", Degree::Fault)], &open, false);
    assert!(quarantine.is_quarantined("m"));
    assert_eq!(quarantine.effective_share("m", FULL_SHARE), 0);
}

#[test]
fn lone_host_quarantines_by_its_own_accusation() {
    let mut quarantine = Quarantine::new();
    let open = intent(Phase::Shifting, AT);
    quarantine.merge(&[accusation("m", "a", Degree::Fault)], &open, true);
    assert!(quarantine.is_quarantined("m"));
}

#[test]
fn limit_only_falls_while_the_move_is_open() {
    let mut quarantine = Quarantine::new();
    let open = intent(Phase::Watching, AT);
    let accusations = [
        ("a", Degree::Suspect),
        ("b", Degree::Fault),
        ("b", Degree::Suspect),
        ("a", Degree::Fault),
        ("c", Degree::Suspect),
    ];
    let mut limits = vec![quarantine.effective_share("m", FULL_SHARE)];
    for (host, degree) in accusations {
        quarantine.merge(&[accusation("m", host, degree)], &open, false);
        quarantine.prune(&open, AT);
        limits.push(quarantine.effective_share("m", FULL_SHARE));
    }
    let expected = [
        FULL_SHARE,
        FULL_SHARE,
        COMPARISON_SHARE,
        COMPARISON_SHARE,
        0,
        0,
    ];
    assert_eq!(limits, expected);
}

#[test]
fn later_step_resolves_suspicions_and_only_the_end_resolves_faults() {
    let mut quarantine = Quarantine::new();
    let open = intent(Phase::Watching, AT);
    let suspicions = ["a", "b"].map(|host| accusation("m", host, Degree::Suspect));
    quarantine.merge(&suspicions, &open, false);
    let stepped = intent(Phase::Holding, AT + Duration::from_secs(1));
    assert!(quarantine.prune(&stepped, AT));
    assert_eq!(quarantine.effective_share("m", FULL_SHARE), FULL_SHARE);

    let faults = ["a", "b"].map(|host| accusation("m", host, Degree::Fault));
    quarantine.merge(&faults, &stepped, false);
    assert!(!quarantine.prune(&stepped, AT));
    assert!(quarantine.is_quarantined("m"));
    let ended = intent(Phase::RolledBack, AT + Duration::from_secs(2));
    assert!(quarantine.prune(&ended, AT));
    assert!(!quarantine.is_quarantined("m"));
    assert!(quarantine.merge(&faults, &ended, false).added.is_empty());
}

#[test]
fn digests_agree_once_entries_were_exchanged() {
    let open = intent(Phase::Shifting, AT);
    let (mut left, mut right) = (Quarantine::new(), Quarantine::new());
    left.merge(&[accusation("m", "a", Degree::Fault)], &open, false);
    right.merge(&[accusation("m", "a", Degree::Suspect)], &open, false);
    right.merge(&[accusation("m", "b", Degree::Fault)], &open, false);
    assert_ne!(left.digest(), right.digest());
    left.merge(right.entries(), &open, false);
    right.merge(left.entries(), &open, false);
    assert_eq!(left.digest(), right.digest());
    assert!(left.is_quarantined("m") && right.is_quarantined("m"));
}

#[test]
fn accusations_are_bounded_and_unknown_moves_expire() {
    let mut quarantine = Quarantine::new();
    let empty = Intent::default();
    for index in 0..2 * MAX_ACCUSATIONS {
        let id = format!("m{}", index / (2 * MAX_PER_MOVE));
        let host = format!("h{index}");
        quarantine.merge(&[accusation(&id, &host, Degree::Fault)], &empty, false);
    }
    assert!(quarantine.entries().len() <= MAX_ACCUSATIONS);
    assert!(quarantine.for_move("m0").count() <= MAX_PER_MOVE);
    quarantine.prune(&empty, AT + UNKNOWN_MOVE_RETENTION);
    assert!(quarantine.entries().is_empty());
    assert!(!quarantine.is_quarantined("m0"));
}
