//! What a node assumes of its backend server before it has heard from it and from others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthorn::admin::announcement::{Announcement, Heartbeat};
use buckthorn::admission::rate_limit::{Admission, Change};
use buckthorn::admission::semaphore::Semaphore;
use buckthorn::clock::{Clock, Time};
use buckthorn::counter::Counters;
use buckthorn::node::past::Past;
use buckthorn::proxy::owner::Owner;
use buckthorn::rollout::evidence::Recorder;

/// Start of the process.
const START: Time = Time::from_secs(1_000);
/// Calls that a cold backend server takes within a second.
const COLD_CALLS: usize = 5;
/// Time for which the backend server stays cold.
const COLD_TIME: Duration = Duration::from_secs(3);

fn heartbeat(started: Time, sequence: u64) -> Announcement {
    Announcement {
        service: "card-desk".into(),
        version: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 9,
        connections: 18,
        instance: Some("i-1".into()),
        heartbeat: Some(Heartbeat {
            started: started.as_millis(),
            sequence,
            is_draining: false,
            cold_remaining: COLD_TIME,
        }),
    }
}

/// Owner of a backend server that has just announced itself as cold.
fn owner(past: &mut Past, announcement: &Announcement, now: Time) -> Arc<Owner> {
    let semaphore = Semaphore::new(Clock::new(), Arc::new(Counters::new()), 9);
    let recorder = Arc::new(Recorder::new());
    let address = announcement.address;
    let owner = Owner::new("card-desk", "v1", address, 9, 18, semaphore, recorder);
    let owner = Arc::new(owner.with_instance(Some("i-1".into()), Some(COLD_CALLS)));
    past.introduce(&owner, announcement);
    owner.cold_limiter.set_cold_for(now, COLD_TIME);
    owner
}

fn cold_calls(owner: &Owner, now: Time) -> usize {
    (0..20).filter(|_| owner.cold_limiter.admit(now)).count()
}

fn calls_at_once(owner: &Owner, now: Time) -> usize {
    let admit = || owner.rate_limiter.admit(now, Duration::ZERO);
    (0..20).filter(|_| admit() == Admission::Now).count()
}

/// The owner of a cold backend server restarted and let in a second's calls twice.
#[test]
fn the_second_before_the_start_counts_as_full_for_a_cold_backend_server() {
    let before = START - Duration::from_secs(2);
    let mut past = Past::new(START, true);
    let owner = owner(&mut past, &heartbeat(before, 2), START);
    assert_eq!(cold_calls(&owner, START + Duration::from_millis(1_000)), 0);
    let later = START + Duration::from_millis(1_200);
    assert_eq!(cold_calls(&owner, later), COLD_CALLS);
    // Calls that were held back don't come all at once as soon as the server turns warm.
    let warm = later + Duration::from_millis(500);
    owner.cold_limiter.set_cold_for(warm, Duration::ZERO);
    assert_eq!(cold_calls(&owner, warm), 0);
    assert_eq!(cold_calls(&owner, START + Duration::from_millis(2_300)), 20);
}

/// The owner of a backend server that names a limit restarted and let in as many calls as it has
/// slots.
#[test]
fn few_calls_are_let_in_before_the_first_response_after_a_start() {
    let before = START - Duration::from_secs(60);
    let mut past = Past::new(START, true);
    let first = owner(&mut past, &heartbeat(before, 40), START);
    assert_eq!(calls_at_once(&first, START), 2);
    let later = START + Duration::from_secs(1);
    assert_eq!(
        first.rate_limiter.update(None, START, later),
        Change::Unchanged
    );
    assert_eq!(calls_at_once(&first, later), 20);
    let limited = owner(&mut Past::new(START, true), &heartbeat(before, 40), START);
    let change = limited.rate_limiter.update(Some(2.0), START, later);
    assert_eq!(change, Change::Limited(2.0));
}

#[test]
fn a_backend_server_that_started_later_has_no_past() {
    let after = START + Duration::from_secs(5);
    let mut past = Past::new(START, true);
    let owner = owner(&mut past, &heartbeat(after, 1), after);
    assert_eq!(cold_calls(&owner, after), COLD_CALLS);
    assert_eq!(calls_at_once(&owner, after), 20);
}

#[test]
fn a_new_owner_of_the_same_lifetime_goes_on_from_the_old_one() {
    let born = START + Duration::from_secs(5);
    let mut past = Past::new(START, true);
    let first = owner(&mut past, &heartbeat(born, 1), born);
    assert_eq!(cold_calls(&first, born), COLD_CALLS);
    first.rate_limiter.update(Some(1.0), born, born);
    let second = owner(&mut past, &heartbeat(born, 2), born);
    assert_eq!(cold_calls(&second, born), 0);
    assert_eq!(calls_at_once(&second, born), 1);
    let restarted = owner(&mut past, &heartbeat(born + COLD_TIME, 1), born + COLD_TIME);
    assert_eq!(calls_at_once(&restarted, born + COLD_TIME), 20);
}

#[test]
fn heartbeats_are_held_back_until_departures_are_known() {
    let hold = Duration::from_secs(3);
    let mut past = Past::new(START, true);
    for sequence in [7, 8, 6] {
        assert!(past.admit(heartbeat(START, sequence), START).is_none());
    }
    assert!(past.release(START).is_none());
    // Without the store and peers the node serves alone.
    let released = past.release(START + hold).unwrap();
    assert_eq!(released.heartbeat.unwrap().sequence, 8);
    let mut known = Past::new(START, true);
    known.set_known();
    assert!(known.admit(heartbeat(START, 7), START).is_some());
    // Nothing is kept outside of a node without a store.
    let mut without_store = Past::new(START, false);
    assert!(without_store.admit(heartbeat(START, 7), START).is_some());
}
