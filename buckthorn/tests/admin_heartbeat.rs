//! Heartbeats of the local backend server: ordering, drains, leaves and expiry.

use std::time::Duration;

use buckthorn::admin::announcement::{Announcement, Heartbeat};
use buckthorn::admin::registration::{DRAIN_GRACE, HEARTBEAT_EXPIRY, Registration, Transition};
use buckthorn::clock::Time;
use buckthorn::membership::member::Departure;

const START: Time = Time::from_secs(1_000);

/// Builds a heartbeat of an instance.
fn heartbeat(instance: &str, started: u64, sequence: u64, is_draining: bool) -> Announcement {
    Announcement {
        service: "rungs".into(),
        version: "v1".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 12,
        connections: 24,
        instance: Some(instance.into()),
        heartbeat: Some(Heartbeat {
            started,
            sequence,
            is_draining,
            cold_remaining: Duration::ZERO,
        }),
    }
}

/// Passes a heartbeat to the registration and returns the transition.
fn announce(registration: &mut Registration, announcement: &Announcement, now: Time) -> Transition {
    registration.announce(announcement, now).unwrap()
}

#[test]
fn a_first_heartbeat_opens_and_later_ones_refresh() {
    let mut registration = Registration::new();
    let next = announce(&mut registration, &heartbeat("i-1", 100, 1, false), START);
    assert_eq!(next, Transition::Open);
    for sequence in 2..10 {
        let now = START + Duration::from_secs(sequence);
        let next = announce(
            &mut registration,
            &heartbeat("i-1", 100, sequence, false),
            now,
        );
        assert_eq!(next, Transition::Refreshed);
        assert_eq!(registration.poll(now, 0), Transition::Unchanged);
    }
}

#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_changes_nothing() {
    let mut registration = Registration::new();
    announce(&mut registration, &heartbeat("i-1", 100, 7, false), START);
    assert_eq!(
        announce(&mut registration, &heartbeat("i-2", 200, 1, false), START),
        Transition::Open
    );
    assert_eq!(
        announce(&mut registration, &heartbeat("i-1", 100, 8, false), START),
        Transition::Unchanged
    );
    assert_eq!(
        announce(&mut registration, &heartbeat("i-1", 100, 9, true), START),
        Transition::Unchanged
    );
    assert_eq!(
        registration.current().unwrap().instance.as_deref(),
        Some("i-2")
    );
}

#[test]
fn an_instance_that_starts_again_under_its_name_is_new() {
    let mut registration = Registration::new();
    announce(&mut registration, &heartbeat("i-1", 100, 40, false), START);
    assert_eq!(
        announce(&mut registration, &heartbeat("i-1", 300, 1, false), START),
        Transition::Open
    );
}

#[test]
fn a_drain_closes_and_a_late_ready_heartbeat_does_not_open_again() {
    let mut registration = Registration::new();
    announce(&mut registration, &heartbeat("i-1", 100, 3, false), START);
    assert_eq!(
        announce(&mut registration, &heartbeat("i-1", 100, 5, true), START),
        Transition::Drain
    );
    assert_eq!(
        announce(&mut registration, &heartbeat("i-1", 100, 4, false), START),
        Transition::Unchanged
    );
    let later = START + DRAIN_GRACE;
    assert_eq!(registration.poll(later, 1), Transition::Close);
    assert_eq!(registration.poll(later, 1), Transition::Unchanged);
    assert_eq!(registration.poll(later, 0), Transition::Removed);
    // The backend server keeps sending draining heartbeats until it exits.
    let next = announce(&mut registration, &heartbeat("i-1", 100, 6, true), later);
    assert_eq!(next, Transition::Unchanged);
    // A new incarnation of the backend server is admitted at once.
    assert_eq!(
        announce(&mut registration, &heartbeat("i-2", 200, 1, false), later),
        Transition::Open
    );
}

#[test]
fn a_draining_heartbeat_before_any_other_does_not_register() {
    let mut registration = Registration::new();
    assert_eq!(
        announce(&mut registration, &heartbeat("i-1", 100, 5, true), START),
        Transition::Unchanged
    );
    assert_eq!(
        announce(&mut registration, &heartbeat("i-1", 100, 4, false), START),
        Transition::Unchanged
    );
    assert!(registration.current().is_none());
}

#[test]
fn a_backend_server_expires_without_heartbeats_and_registers_again_with_the_next() {
    let mut registration = Registration::new();
    announce(&mut registration, &heartbeat("i-1", 100, 1, false), START);
    let almost = START + HEARTBEAT_EXPIRY - Duration::from_millis(1);
    assert_eq!(registration.poll(almost, 0), Transition::Unchanged);
    assert_eq!(
        registration.poll(START + HEARTBEAT_EXPIRY, 0),
        Transition::Expired
    );
    let later = START + HEARTBEAT_EXPIRY * 2;
    assert_eq!(
        announce(&mut registration, &heartbeat("i-1", 100, 2, false), later),
        Transition::Open
    );
}

/// A node that restarted between a backend server's last heartbeat and its leave forgot the leave, and
/// a late heartbeat brought the server back.
#[test]
fn a_leave_before_the_first_heartbeat_holds_against_late_heartbeats() {
    let started_ms = START.as_millis() - 60_000;
    let mut registration = Registration::new();
    assert_eq!(
        registration.leave_instance("i-1", None, START),
        Transition::Unchanged
    );
    for seconds in [0, 2, 20] {
        let late = heartbeat("i-1", started_ms, 40 + seconds, false);
        let now = START + Duration::from_secs(seconds);
        assert_eq!(
            announce(&mut registration, &late, now),
            Transition::Unchanged
        );
        assert!(registration.current().is_none());
    }
    // Another instance, or a later start of the same one, has not left.
    let now = START + Duration::from_secs(3);
    let mut other = registration.clone();
    let next = announce(&mut other, &heartbeat("i-2", started_ms, 1, false), now);
    assert_eq!(next, Transition::Open);
    let restarted = heartbeat("i-1", START.as_millis() + 1_000, 1, false);
    assert_eq!(
        announce(&mut registration, &restarted, now),
        Transition::Open
    );
}

/// A departure that an earlier process acknowledged holds for its incarnation and earlier ones only,
/// also when a late heartbeat registered the server first.
#[test]
fn a_recalled_departure_drains_its_incarnation_and_no_later_one() {
    let departure = Departure {
        instance: "i-1".into(),
        started: 5_000,
    };
    for is_registered in [false, true] {
        let mut registration = Registration::new();
        if is_registered {
            let late = heartbeat("i-1", 5_000, 7, false);
            let opened = announce(&mut registration, &late, START);
            assert_eq!(opened, Transition::Open);
        }
        let expected = if is_registered {
            Transition::Drain
        } else {
            Transition::Unchanged
        };
        assert_eq!(registration.recall(departure.clone(), START), expected);
        for (started, sequence) in [(5_000, 8), (4_000, 9)] {
            let late = heartbeat("i-1", started, sequence, false);
            let ignored = announce(&mut registration, &late, START);
            assert_eq!(ignored, Transition::Unchanged);
        }
        for next in [
            heartbeat("i-1", 5_001, 1, false),
            heartbeat("i-2", 5_000, 10, false),
        ] {
            let opened = announce(&mut registration.clone(), &next, START);
            assert_eq!(opened, Transition::Open);
        }
    }
}

/// A planned stop of the node drains its backend server, which serves on after the restart.
#[test]
fn a_drain_by_the_node_is_no_departure() {
    let mut registration = Registration::new();
    announce(&mut registration, &heartbeat("i-1", 100, 1, false), START);
    assert_eq!(registration.leave(START), Transition::Drain);
    announce(&mut registration, &heartbeat("i-1", 100, 2, false), START);
    assert_eq!(registration.departure(), None);
    announce(&mut registration, &heartbeat("i-1", 200, 1, false), START);
    assert_eq!(
        registration.leave_instance("i-1", None, START),
        Transition::Drain
    );
    let departure = Departure {
        instance: "i-1".into(),
        started: 200,
    };
    assert_eq!(registration.departure(), Some(&departure));
}

/// A leave that was on its way for seconds drained the lifetime that the server had begun meanwhile.
#[test]
fn a_leave_holds_for_the_lifetime_that_it_names_and_earlier_ones() {
    let mut registration = Registration::new();
    announce(&mut registration, &heartbeat("i-1", 200, 1, false), START);
    let late = registration.leave_instance("i-1", Some(100), START);
    assert_eq!(late, Transition::Unchanged);
    let next = announce(&mut registration, &heartbeat("i-1", 200, 2, false), START);
    assert_eq!(next, Transition::Refreshed);
    let own = registration.leave_instance("i-1", Some(200), START);
    assert_eq!(own, Transition::Drain);
    // The same for one that comes before the first heartbeat that this node hears.
    let mut restarted = Registration::new();
    restarted.leave_instance("i-1", Some(100), START);
    for (started, expected) in [
        (90, Transition::Unchanged),
        (100, Transition::Unchanged),
        (101, Transition::Open),
    ] {
        let heartbeat = heartbeat("i-1", started, 5, false);
        let got = announce(&mut restarted.clone(), &heartbeat, START);
        assert_eq!(got, expected, "started at {started}");
    }
}
