//! Estimate of what a backend server takes, in virtual time.

use std::time::Duration;

use buckthorn::admission::capacity::{Capacity, Ended, Kind, State, Told};
use buckthorn::admission::gate::{Decision, Gate, Offer};
use buckthorn::admission::rank::Rank;
use buckthorn::admission::report::Report;
use buckthorn::clock::Time;
use buckthorn::rollout::evidence::Outcome;

const SLOTS: u32 = 6;
const START: Time = Time::from_secs(1_000);

/// Time of a call in milliseconds.
fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Kinds of the calls.
fn kinds() -> [Kind; 3] {
    ["/read/1", "/write/2", "/list/3?all"].map(Kind::of)
}

/// Records calls of a kind that took `time`, every 100 ms for `span`; returns the time of the last.
fn calls(capacity: &Capacity, kind: Kind, time: Duration, from: Time, span: Duration) -> Time {
    let mut now = from;
    while now.since(from) < span {
        now = now + millis(100);
        let call = Ended {
            kind,
            outcome: Outcome::Ok,
            latency: time,
            slot_time: time,
            running: 1,
        };
        capacity.record(&call, now);
    }
    now
}

/// Report of a server that runs `running` calls.
fn report(capacity: &Capacity, kind: Kind, running: u32, now: Time) -> Report {
    let state = State {
        running,
        waiting: 0,
        limit: SLOTS,
        cut: Rank::COUNT as u32,
    };
    capacity.report(kind, state, now)
}

/// Load: a server that slows down to 2.5 times its times and recovers.
#[test]
fn times_follow_a_change_within_two_seconds_and_are_forgotten() {
    let capacity = Capacity::default();
    let [kind, ..] = kinds();
    assert!(report(&capacity, kind, 0, START).kind_time.is_zero());
    let mut now = START;
    for time in [millis(100), millis(250), millis(100)] {
        now = calls(&capacity, kind, time, now, Duration::from_secs(2));
        let told = report(&capacity, kind, 0, now);
        for average in [told.kind_time, told.mean_time] {
            let error = average.abs_diff(time).as_secs_f64() / time.as_secs_f64();
            assert!(error < 0.25, "{average:?} after 2 s at {time:?}");
        }
    }
    let later = report(&capacity, kind, 0, now + Duration::from_secs(60));
    assert!(later.kind_time.is_zero() && later.mean_time.is_zero());
}

/// Load: three kinds, one of which the server is slow for.
#[test]
fn a_server_that_is_slow_for_one_kind_is_known_by_kind() {
    let capacity = Capacity::default();
    let times = [millis(100), millis(300), millis(100)];
    for round in 0..20 {
        let from = START + millis(200 * round);
        for (kind, time) in kinds().into_iter().zip(times) {
            calls(&capacity, kind, time, from, millis(100));
        }
    }
    for (kind, time) in kinds().into_iter().zip(times) {
        let told = report(&capacity, kind, 0, START + Duration::from_secs(4));
        assert_eq!(told.kind_time, time);
        assert!((millis(120)..millis(220)).contains(&told.mean_time));
    }
}

/// Load: calls that fail at once, and calls that never end.
#[test]
fn failures_do_not_make_a_server_look_fast_and_timeouts_make_it_look_slow() {
    let capacity = Capacity::default();
    let [kind, ..] = kinds();
    let now = calls(&capacity, kind, millis(100), START, Duration::from_secs(1));
    let mut ended = Ended {
        kind,
        outcome: Outcome::Error,
        latency: millis(1),
        slot_time: millis(1),
        running: 1,
    };
    for outcome in [
        Outcome::Error,
        Outcome::Reset,
        Outcome::Shed,
        Outcome::Cancelled,
    ] {
        ended.outcome = outcome;
        capacity.record(&ended, now);
    }
    assert_eq!(report(&capacity, kind, 0, now).kind_time, millis(100));
    ended.outcome = Outcome::Timeout;
    ended.latency = millis(1_000);
    ended.slot_time = ended.latency;
    capacity.record(&ended, now + millis(900));
    let told = report(&capacity, kind, 0, now + millis(900));
    assert!(told.kind_time > millis(300), "{told:?}");
}

/// Load: a neighbour slows a server down by 2.5 for moments, which the server tells.
#[test]
fn a_told_pace_lengthens_the_times_at_once_and_for_a_moment() {
    let capacity = Capacity::default();
    let [kind, ..] = kinds();
    let tell = |pace, now| {
        let told = Told::parse(&format!("1,0,6,{pace}")).unwrap();
        capacity.record_told(&told, 1, now);
    };
    let mut now = START;
    for _ in 0..20 {
        tell(100, now);
        now = calls(&capacity, kind, millis(100), now, millis(100));
    }
    tell(250, now);
    let told = report(&capacity, kind, 0, now);
    assert!(told.kind_time >= millis(200), "{told:?}");
    let later = report(&capacity, kind, 0, now + Duration::from_secs(1));
    assert_eq!(later.kind_time, millis(100));
}

/// Failure: a server that lies about its load.
#[test]
fn a_lie_never_lowers_what_was_measured_and_raises_it_within_bounds() {
    let [kind, ..] = kinds();
    for (lie, most_running) in [
        ("0,0,6,1", 4),
        ("0,0,600,100", 4),
        ("0,0,0,0", 4),
        ("4,0,6,4000000000", 4),
        ("99999999999,7,6,100", 4 + 2 * SLOTS),
    ] {
        let capacity = Capacity::default();
        let told = Told::parse(lie).unwrap();
        let mut now = START;
        for _ in 0..20 {
            capacity.record_told(&told, 4, now);
            now = calls(&capacity, kind, millis(100), now, millis(100));
        }
        let told = report(&capacity, kind, 4, now);
        assert!(
            (4..=most_running).contains(&told.running),
            "{lie}: {told:?}"
        );
        assert_eq!(told.limit, SLOTS, "{lie}");
        assert_eq!(told.kind_time, millis(100), "{lie}");
    }
    for malformed in ["", "1,2", "1,2,3,4,5", "a,b,c", "1,,3", "-1,0,6"] {
        assert!(Told::parse(malformed).is_err(), "{malformed:?}");
    }
}

/// Load: all slots in use at a server whose times grow with the square of the calls beyond three.
#[test]
fn the_limit_falls_below_the_slots_where_a_server_slows_down_before_it_is_full() {
    const GOOD: u32 = 3;
    let [kind, ..] = kinds();
    let run = |time: &dyn Fn(u32) -> Duration| {
        let capacity = Capacity::default();
        let mut now = START;
        for round in 0..240 {
            let running = 1 + round % SLOTS;
            let call = Ended {
                kind,
                outcome: Outcome::Ok,
                latency: time(running),
                slot_time: time(running),
                running,
            };
            now = now + millis(20);
            capacity.record(&call, now);
        }
        (capacity, now)
    };
    let overload = |running: u32| (f64::from(running) / f64::from(GOOD)).max(1.0).powi(2);
    let (slowing, now) = run(&|running| millis(100).mul_f64(overload(running)));
    assert_eq!(slowing.useful_limit(SLOTS, now), GOOD);
    let later = now + Duration::from_secs(10);
    assert_eq!(
        slowing.useful_limit(SLOTS, later),
        SLOTS,
        "it is tried again"
    );
    let (steady, now) = run(&|_| millis(100));
    assert_eq!(steady.useful_limit(SLOTS, now), SLOTS);
    assert_eq!(Capacity::default().useful_limit(SLOTS, now), SLOTS);
    // The gate takes the limit, but none above its slots.
    for (limit, expected) in [(GOOD, GOOD), (2 * SLOTS, SLOTS), (0, 1)] {
        let mut gate = Gate::fixed(SLOTS, START);
        gate.set_limit(limit);
        let offer = Offer {
            rank: Rank::new(3),
            deadline: None,
            max_wait: None,
        };
        let runs = |_: &u32| gate.offer(START, offer) == Decision::Run;
        assert_eq!((0..2 * SLOTS).filter(runs).count() as u32, expected);
    }
}

/// Load: calls of more kinds than are told apart.
#[test]
fn further_kinds_count_only_together() {
    let capacity = Capacity::default();
    for number in 0..1_000 {
        let kind = Kind::of(&format!("/kind-{number}/1"));
        calls(&capacity, kind, millis(100), START, millis(100));
    }
    let told = report(&capacity, Kind::of("/kind-999/1"), 0, START + millis(100));
    assert_eq!(
        (told.mean_time, told.kind_time),
        (millis(100), Duration::ZERO)
    );
}

/// Load: calls in progress and new ones wait together.
#[test]
fn waiting_calls_in_progress_are_reported() {
    let capacity = Capacity::default();
    let [kind, ..] = kinds();
    let state = State {
        running: SLOTS,
        waiting: 3,
        limit: SLOTS,
        cut: Rank::COUNT as u32,
    };
    let new = capacity.start_wait(Rank::new(3));
    let in_progress = capacity.start_wait(Rank::in_progress(3));
    assert_eq!(capacity.report(kind, state, START).waiting_in_progress, 1);
    drop((new, in_progress));
    assert_eq!(capacity.report(kind, state, START).waiting_in_progress, 0);
}
