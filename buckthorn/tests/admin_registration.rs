//! Transitions of the registration on announcements, leaves and timeouts.

use std::time::Duration;

use buckthorn::admin::registration::{
    ANNOUNCE_INTERVAL, ANNOUNCEMENT_EXPIRY, DRAIN_GRACE, LEAVE_HOLD_DOWN, Transition,
};
use buckthorn::admin::{Announcement, Refusal, Registration};
use buckthorn::clock::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Time of the first announcement.
const START: Time = Time::from_secs(1_000);

/// Builds an announcement of a version.
fn announcement(version: &str) -> Announcement {
    Announcement {
        service: "rungs".into(),
        version: version.into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 12,
        connections: 120,
        instance: None,
        heartbeat: None,
    }
}

/// Builds a registration that received an announcement of `v1` at [`START`].
fn announced() -> Registration {
    let mut registration = Registration::new();
    let next = registration.announce(&announcement("v1"), START);
    assert_eq!(next, Ok(Transition::Open));
    registration
}

#[test]
fn a_repeated_announcement_changes_nothing() {
    let mut registration = announced();
    let later = START + ANNOUNCE_INTERVAL;
    assert_eq!(
        registration.announce(&announcement("v1"), later),
        Ok(Transition::Unchanged)
    );
    assert_eq!(
        registration.announce(&announcement("v2"), later),
        Ok(Transition::Open)
    );
    assert_eq!(registration.current(), Some(&announcement("v2")));
}

#[test]
fn silence_expires_the_backend_server_once() {
    let mut registration = announced();
    let end = START + ANNOUNCEMENT_EXPIRY;
    assert_eq!(
        registration.poll(end - Duration::from_micros(1), 0),
        Transition::Unchanged
    );
    assert_eq!(registration.poll(end, 3), Transition::Expired);
    assert_eq!(registration.poll(end, 3), Transition::Unchanged);
    assert_eq!(registration.current(), None);
    assert_eq!(
        registration.announce(&announcement("v1"), end),
        Ok(Transition::Open)
    );
}

#[test]
fn a_leave_drains_before_the_backend_server_is_gone() {
    assert_eq!(Registration::new().leave(START), Transition::Unchanged);
    let mut registration = announced();
    assert_eq!(registration.leave(START), Transition::Drain);
    assert_eq!(registration.leave(START), Transition::Unchanged);
    assert_eq!(registration.poll(START, 0), Transition::Unchanged);
    let closing = START + DRAIN_GRACE;
    assert_eq!(registration.poll(closing, 0), Transition::Close);
    assert_eq!(registration.poll(closing, 0), Transition::Removed);

    let mut registration = announced();
    registration.leave(START);
    assert_eq!(registration.poll(closing, 2), Transition::Close);
    assert_eq!(
        registration.poll(closing + ANNOUNCEMENT_EXPIRY, 1),
        Transition::Unchanged
    );
    assert_eq!(
        registration.poll(closing + ANNOUNCEMENT_EXPIRY, 0),
        Transition::Removed
    );
}

#[test]
fn an_announcement_sent_before_the_leave_does_not_register_again() {
    for removed_before in [false, true] {
        let mut registration = announced();
        registration.leave(START);
        if removed_before {
            registration.poll(START + DRAIN_GRACE, 0);
            assert_eq!(
                registration.poll(START + DRAIN_GRACE, 0),
                Transition::Removed
            );
        }
        let delayed = registration.announce(&announcement("v1"), START + ANNOUNCE_INTERVAL);
        assert_eq!(delayed, Err(Refusal::Leaving));
        let again = registration.announce(&announcement("v1"), START + LEAVE_HOLD_DOWN);
        assert_eq!(again, Ok(Transition::Open));
    }
}

#[test]
fn another_incarnation_is_accepted_during_the_hold_down() {
    let mut restarted = announcement("v1");
    restarted.instance = Some("2".into());
    for next in [announcement("v2"), restarted] {
        let mut registration = announced();
        registration.leave(START);
        assert_eq!(registration.announce(&next, START), Ok(Transition::Open));
        assert_eq!(
            registration.poll(START + DRAIN_GRACE, 0),
            Transition::Unchanged
        );
    }
}

/// Configuration with a fixed seed, so that every run draws the same cases.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

#[test]
fn the_service_is_a_host_name_in_lower_case() {
    let parse = |service: &str| {
        let mut value = serde_json::to_value(announcement("v1")).unwrap();
        value["service"] = service.into();
        Announcement::parse(value.to_string().as_bytes())
    };
    assert_eq!(&*parse("Card-Desk").unwrap().service, "card-desk");
    for invalid in ["", "a b", "a:80", "caf\u{e9}", "a/b"] {
        assert!(parse(invalid).is_err(), "{invalid}");
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// After a leave, the same incarnation is not registered again before the hold-down ends.
    #[test]
    fn a_leave_starts_a_hold_down(steps in prop::collection::vec((0_u8..4, 0_u64..3_000, 0_usize..3), 1..80)) {
        let mut registration = Registration::new();
        let mut now = START;
        let mut left: Option<Time> = None;
        for (kind, millis, running) in steps {
            now = now + Duration::from_millis(millis);
            let next = match kind {
                0 => registration.announce(&announcement("v1"), now).unwrap_or(Transition::Unchanged),
                1 => registration.leave(now),
                _ => registration.poll(now, running),
            };
            match next {
                Transition::Open => {
                    prop_assert!(left.is_none_or(|at| now.since(at) >= LEAVE_HOLD_DOWN));
                    left = None;
                }
                Transition::Drain => left = Some(now),
                Transition::Close => prop_assert!(left.is_some_and(|at| now.since(at) >= DRAIN_GRACE)),
                Transition::Removed => prop_assert_eq!(running, 0),
                Transition::Expired => prop_assert!(left.is_none_or(|at| now.since(at) >= LEAVE_HOLD_DOWN)),
                Transition::Unchanged => {}
                Transition::Refreshed => prop_assert!(false, "only heartbeats refresh a registration"),
            }
        }
    }

    /// Any input is accepted or refused with a reason.
    #[test]
    fn any_announcement_is_accepted_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Err(error) = Announcement::parse(&bytes) {
            prop_assert!(!error.to_string().is_empty());
        }
    }

    /// An announcement that is encoded and parsed is unchanged.
    #[test]
    fn an_announcement_round_trips(
        service in "[a-z-]{1,40}",
        version in "[a-z0-9.]{1,20}",
        slots in 1_u32..1_000,
        connections in 1_u32..1_000,
        instance in prop::option::of("[a-z0-9]{1,8}"),
    ) {
        let announcement = Announcement {
            service: service.into(),
            version: version.into(),
            slots,
            connections,
            instance: instance.map(Into::into),
            ..announcement("v1")
        };
        let bytes = serde_json::to_vec(&announcement).unwrap();
        prop_assert_eq!(Announcement::parse(&bytes), Ok(announcement));
    }
}
