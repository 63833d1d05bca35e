//! Heartbeats of the own backend server: their order, drains, leaves and silence.

use std::time::Duration;

use buckthorn::admin::announcement::{Announcement, Heartbeat};
use buckthorn::admin::registration::{DRAIN_GRACE, HEARTBEAT_EXPIRY, Registration, Transition};
use buckthorn::clock::Time;

const START: Time = Time::from_secs(1_000);

/// Heartbeat of an instance.
fn beat(instance: &str, started: u64, sequence: u64, is_draining: bool) -> Announcement {
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

/// Takes a heartbeat.
fn take(registration: &mut Registration, announcement: &Announcement, now: Time) -> Transition {
    registration.announce(announcement, now).unwrap()
}

#[test]
fn a_first_heartbeat_opens_and_later_ones_refresh() {
    let mut registration = Registration::new();
    let next = take(&mut registration, &beat("i-1", 100, 1, false), START);
    assert_eq!(next, Transition::Open);
    for sequence in 2..10 {
        let now = START + Duration::from_secs(sequence);
        let next = take(&mut registration, &beat("i-1", 100, sequence, false), now);
        assert_eq!(next, Transition::Refreshed);
        assert_eq!(registration.poll(now, 0), Transition::Unchanged);
    }
}

#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_changes_nothing() {
    let mut registration = Registration::new();
    take(&mut registration, &beat("i-1", 100, 7, false), START);
    assert_eq!(
        take(&mut registration, &beat("i-2", 200, 1, false), START),
        Transition::Open
    );
    assert_eq!(
        take(&mut registration, &beat("i-1", 100, 8, false), START),
        Transition::Unchanged
    );
    assert_eq!(
        take(&mut registration, &beat("i-1", 100, 9, true), START),
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
    take(&mut registration, &beat("i-1", 100, 40, false), START);
    assert_eq!(
        take(&mut registration, &beat("i-1", 300, 1, false), START),
        Transition::Open
    );
}

#[test]
fn a_drain_closes_and_a_late_ready_does_not_open_again() {
    let mut registration = Registration::new();
    take(&mut registration, &beat("i-1", 100, 3, false), START);
    assert_eq!(
        take(&mut registration, &beat("i-1", 100, 5, true), START),
        Transition::Drain
    );
    assert_eq!(
        take(&mut registration, &beat("i-1", 100, 4, false), START),
        Transition::Unchanged
    );
    let later = START + DRAIN_GRACE;
    assert_eq!(registration.poll(later, 1), Transition::Close);
    assert_eq!(registration.poll(later, 1), Transition::Unchanged);
    assert_eq!(registration.poll(later, 0), Transition::Removed);
    // It goes on saying that it drains until it ends.
    let next = take(&mut registration, &beat("i-1", 100, 6, true), later);
    assert_eq!(next, Transition::Unchanged);
    // The next start of the backend server is let in at once.
    assert_eq!(
        take(&mut registration, &beat("i-2", 200, 1, false), later),
        Transition::Open
    );
}

#[test]
fn a_node_that_hears_a_draining_backend_server_first_does_not_open() {
    let mut registration = Registration::new();
    assert_eq!(
        take(&mut registration, &beat("i-1", 100, 5, true), START),
        Transition::Unchanged
    );
    assert_eq!(
        take(&mut registration, &beat("i-1", 100, 4, false), START),
        Transition::Unchanged
    );
    assert!(registration.current().is_none());
}

#[test]
fn silence_withdraws_a_backend_server_and_a_heartbeat_brings_it_back() {
    let mut registration = Registration::new();
    take(&mut registration, &beat("i-1", 100, 1, false), START);
    let almost = START + HEARTBEAT_EXPIRY - Duration::from_millis(1);
    assert_eq!(registration.poll(almost, 0), Transition::Unchanged);
    assert_eq!(
        registration.poll(START + HEARTBEAT_EXPIRY, 0),
        Transition::Expired
    );
    let later = START + HEARTBEAT_EXPIRY * 2;
    assert_eq!(
        take(&mut registration, &beat("i-1", 100, 2, false), later),
        Transition::Open
    );
}
