//! Refusal at the ingress and the return of refused callers, without network or clock.

use std::time::Duration;

use buckthorn::admission::backoff::{self, MIN_DELAY, Refused};
use buckthorn::admission::cut::{Cut, INTERVAL};
use buckthorn::admission::rank::Rank;
use buckthorn::admission::report::Report;
use buckthorn::clock::Time;
use buckthorn::poison::fingerprint::Fingerprint;
use buckthorn::routing::pressure::{self, EXPIRY, Outlook, Pressure};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Start of virtual time.
const START: Time = Time::from_secs(1_000);

/// Longest wait of a call.
const LONGEST: Duration = Duration::from_millis(250);

/// Report of an owner that refuses new requests from an urgency on.
fn report(urgency: Option<u8>) -> Report {
    Report {
        waiting: 9,
        limit: 10,
        mean_time: Duration::from_millis(200),
        cut: urgency.map_or(Rank::COUNT, |urgency| Rank::new(urgency).index()) as u32,
        ..Report::default()
    }
}

/// Owners that told a report at the start.
fn owners(count: usize, urgency: Option<u8>) -> Vec<Pressure> {
    let owners: Vec<Pressure> = (0..count).map(|_| Pressure::default()).collect();
    let told = |owner: &Pressure| owner.record(&report(urgency), START);
    owners.iter().for_each(told);
    owners
}

/// Chance that a new request of an urgency is refused.
fn refusal(owners: &[Pressure], urgency: u8, now: Time) -> f64 {
    pressure::outlook(owners, Rank::new(urgency), now).refusal
}

/// A burst of the kind that can wait: it is refused at the first hop, and the others are not.
#[test]
fn a_burst_is_refused_by_a_chance_that_follows_the_cuts() {
    let (none, half) = (owners(20, None), owners(10, Some(2)));
    assert_eq!(refusal(&none, 7, START), 0.0);
    let all = owners(20, Some(2));
    let chances = [0, 1, 2, 7].map(|urgency| refusal(&all, urgency, START));
    assert_eq!(chances[..2], [0.0, 0.0]);
    assert!(chances[2] > 0.75 && chances[3] < 1.0, "{chances:?}");
    let mixed: Vec<Pressure> = half.into_iter().chain(owners(10, None)).collect();
    assert!(refusal(&mixed, 2, START) < 0.25);
    // Calls in progress are never refused by a cut.
    let in_progress = pressure::outlook(&all, Rank::in_progress(7), START);
    assert_eq!(in_progress.refusal, 0.0);
}

/// An ingress with old cuts, or in a failure domain that is cut off from the owners.
#[test]
fn an_ingress_that_hears_nothing_refuses_nothing() {
    let all = owners(20, Some(0));
    assert!(refusal(&all, 0, START) > 0.0);
    assert_eq!(refusal(&all, 0, START + EXPIRY), 0.0);
    // One owner of its own failure domain alone is not taken for all.
    let now = START + EXPIRY;
    all[0].record(&report(Some(0)), now);
    assert!(refusal(&all, 0, now) < 0.2);
}

/// An owner that restarts knows no waits, and its first report replaces the cut at the ingress.
#[test]
fn an_owner_that_restarts_has_no_cut() {
    let mut cut = Cut::default();
    cut.record_refusal(Rank::new(1), START);
    let now = START + INTERVAL;
    cut.record_refusal(Rank::new(1), now);
    assert_eq!(cut.index(now), Rank::new(1).index());
    let restarted = Cut::default();
    assert_eq!(restarted.index(now), Rank::COUNT);
    let owners = owners(1, Some(1));
    owners[0].record(&report(None), now);
    assert_eq!(refusal(&owners, 1, now), 0.0);
}

#[test]
fn the_cut_follows_waits_of_a_whole_interval_and_ends_with_a_short_one() {
    let mut cut = Cut::default();
    let mut now = START;
    for _ in 0..2 {
        cut.record_wait(Rank::new(2), LONGEST, LONGEST, now);
        assert_eq!(cut.index(now), Rank::COUNT, "a burst is absorbed");
        now = now + INTERVAL;
        cut.record_wait(Rank::new(2), LONGEST, LONGEST, now);
        cut.record_wait(Rank::new(1), LONGEST / 10, LONGEST, now);
        assert_eq!(cut.index(now), Rank::new(2).index());
        cut.record_wait(Rank::new(2), LONGEST / 10, LONGEST, now);
        assert_eq!(cut.index(now), Rank::COUNT);
    }
    cut.record_refusal(Rank::new(2), now);
    now = now + EXPIRY * 2;
    cut.record_refusal(Rank::new(2), now);
    assert_eq!(cut.index(now), Rank::COUNT, "old waits say nothing");
}

/// Repeaters: ten tries at once, against one try and another after a wait.
#[test]
fn callers_who_repeat_at_once_get_no_more_than_those_who_wait() {
    let outlook = Outlook {
        refusal: 0.8,
        ..Outlook::default()
    };
    let usual = Duration::from_millis(1_200);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut repeaters, mut waiters) = (0, 0);
    for caller in 0..2_000 {
        let start = START + Duration::from_micros(rng.random_range(0..10_000_000));
        let deadline = start + usual;
        let mut is_served = |after: u64| {
            // The deadline as it is read differs by the delay on the way.
            let read = deadline + Duration::from_micros(rng.random_range(0..2_000));
            let left = usual - Duration::from_millis(after);
            let place = pressure::place(Fingerprint(caller), read);
            !pressure::refuses(&outlook, place, left, usual)
        };
        repeaters += u32::from((0..10).any(&mut is_served));
        waiters += u32::from([0, 300].into_iter().any(&mut is_served));
    }
    assert!(repeaters < waiters, "{repeaters} against {waiters}");
}

#[test]
fn refused_callers_return_by_rank_spread_and_in_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let refused = Refused {
        backlog: Duration::from_millis(100),
        beyond: 0.0,
        left: Duration::from_millis(3_000),
        target_left: Duration::from_millis(2_000),
        service_time: Duration::from_millis(400),
    };
    let mut draw = |refused: &Refused| {
        let mut delays: Vec<Duration> = (0..100)
            .filter_map(|_| backoff::delay(refused, &mut rng))
            .collect();
        delays.sort_unstable();
        delays
    };
    let first = draw(&refused);
    let later = draw(&Refused {
        beyond: 2.0,
        ..refused
    });
    assert!(first[99] - first[0] > refused.backlog / 2, "spread");
    assert!(first[99] < later[0], "{:?} and {:?}", first[99], later[0]);
    assert!(later[99] <= refused.left / 3);
    // A return that can still be served within the latency target is not put off beyond it.
    let urgent = Refused {
        target_left: Duration::from_millis(550),
        ..refused
    };
    assert!(draw(&urgent)[99] <= urgent.target_left - urgent.service_time);
    // None where a retry cannot help.
    let hopeless = [
        Refused {
            left: Duration::from_millis(450),
            ..refused
        },
        Refused {
            left: MIN_DELAY * 2,
            service_time: Duration::ZERO,
            ..refused
        },
        Refused {
            backlog: refused.left,
            ..refused
        },
    ];
    for refused in hopeless {
        assert!(draw(&refused).is_empty(), "{refused:?}");
    }
}
