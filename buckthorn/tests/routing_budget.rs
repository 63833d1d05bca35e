//! Retry budget and retry rules: retries are a bounded share of calls, happen in one layer only, and
//! never repeat a call that may run at most once.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::routing::budget::{
    Attempt, Budget, CALL_CREDIT, Denial, Execution, Failure, Layer, MAX_CREDIT, Next,
    NextHopDeadline, RETRY_COST, Reason, decide, hedge, next_hop_deadline,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Failed attempt that every rule permits to retry.
const ATTEMPT: Attempt = Attempt {
    is_idempotent: true,
    ran: Execution::Unknown,
    failure: Failure::Reset,
    time_left: Some(Duration::from_millis(100)),
    attempts_left: 1,
    layer: Layer::Outermost,
    is_body_replayable: true,
    is_poison: false,
    is_in_progress: false,
};

#[test]
fn names_the_rule_that_forbids_a_retry() {
    let cases = [
        (ATTEMPT, Next::Retry(Reason::Reset)),
        (
            Attempt {
                is_idempotent: false,
                ..ATTEMPT
            },
            Next::GiveUp(Denial::NotIdempotent),
        ),
        (
            Attempt {
                is_idempotent: false,
                ran: Execution::NotRun,
                ..ATTEMPT
            },
            Next::Retry(Reason::NotRun),
        ),
        (
            Attempt {
                layer: Layer::Inner,
                ..ATTEMPT
            },
            Next::GiveUp(Denial::Layer),
        ),
        (
            Attempt {
                layer: Layer::Inner,
                ran: Execution::NotRun,
                ..ATTEMPT
            },
            Next::Retry(Reason::NotRun),
        ),
        (
            Attempt {
                attempts_left: 0,
                ..ATTEMPT
            },
            Next::GiveUp(Denial::Attempts),
        ),
        (
            Attempt {
                is_body_replayable: false,
                ..ATTEMPT
            },
            Next::GiveUp(Denial::Body),
        ),
        (
            Attempt {
                time_left: Some(Duration::from_millis(1)),
                ..ATTEMPT
            },
            Next::GiveUp(Denial::Deadline),
        ),
        (
            Attempt {
                failure: Failure::Timeout,
                ..ATTEMPT
            },
            Next::Retry(Reason::Timeout),
        ),
        (
            Attempt {
                failure: Failure::Connect,
                ..ATTEMPT
            },
            Next::Retry(Reason::Connect),
        ),
    ];
    for (attempt, expected) in cases {
        assert_eq!(decide(&Budget::new(), &attempt), expected, "{attempt:?}");
    }
}

#[test]
fn hedges_only_idempotent_calls_within_the_budget() {
    let budget = Budget::new();
    assert_eq!(hedge(&budget, &ATTEMPT), Next::Retry(Reason::Hedge));
    let not_idempotent = Attempt {
        is_idempotent: false,
        ran: Execution::NotRun,
        ..ATTEMPT
    };
    assert_eq!(
        hedge(&budget, &not_idempotent),
        Next::GiveUp(Denial::NotIdempotent)
    );
    while budget.spend() {}
    assert_eq!(hedge(&budget, &ATTEMPT), Next::GiveUp(Denial::Budget));
}

#[test]
fn retries_stay_a_bounded_share_of_calls() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let budget = Budget::new();
        let (mut calls, mut retries) = (0_u32, 0_u32);
        for _ in 0..10_000 {
            if rng.random_bool(0.5) {
                calls += 1;
                budget.earn();
            }
            if matches!(decide(&budget, &ATTEMPT), Next::Retry(_)) {
                retries += 1;
            }
            assert!(
                retries * RETRY_COST <= MAX_CREDIT + calls * CALL_CREDIT,
                "seed {seed}"
            );
        }
    }
}

#[test]
fn budget_is_exact_under_concurrent_use() {
    let budget = Budget::new();
    let spent: u32 = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| (0..1_000).filter(|_| budget.spend()).count() as u32))
            .collect();
        workers
            .into_iter()
            .map(|worker| worker.join().unwrap())
            .sum()
    });
    assert_eq!(spent, MAX_CREDIT / RETRY_COST);
}

#[test]
fn deadline_shrinks_at_every_hop_and_expires() {
    let now = Time::from_secs(1);
    assert_eq!(next_hop_deadline(None, now), NextHopDeadline::Unbounded);
    let mut left = Duration::from_secs(1);
    for _ in 0..12 {
        let NextHopDeadline::Within(rest) = next_hop_deadline(Some(now + left), now) else {
            panic!("a deadline of one second lasts twelve hops");
        };
        assert!(rest < left);
        left = rest;
    }
    assert_eq!(left, Duration::from_millis(976));
    assert_eq!(
        next_hop_deadline(Some(now + Duration::from_millis(1)), now),
        NextHopDeadline::Expired
    );
    assert_eq!(
        next_hop_deadline(Some(now - Duration::from_millis(1)), now),
        NextHopDeadline::Expired
    );
}

/// A service that sheds more than half of its calls: most of them are calls of requests that run at
/// the node's backend server, the others new requests of its callers.
#[test]
fn what_is_left_of_the_budget_goes_to_calls_in_progress() {
    const SHED: f64 = 0.55;
    const IN_PROGRESS: f64 = 0.75;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let budget = Budget::with_capacity(2 * RETRY_COST, RETRY_COST / 5);
    let [mut asked, mut granted] = [[0, 0]; 2];
    for _ in 0..10_000 {
        budget.earn();
        if !rng.random_bool(SHED) {
            continue;
        }
        let attempt = Attempt {
            is_in_progress: rng.random_bool(IN_PROGRESS),
            ..ATTEMPT
        };
        let is_granted = matches!(decide(&budget, &attempt), Next::Retry(_));
        let group = usize::from(attempt.is_in_progress);
        asked[group] += 1;
        granted[group] += u32::from(is_granted);
    }
    let [new, in_progress] =
        [0, 1].map(|group| f64::from(granted[group]) / f64::from(asked[group]));
    assert!(in_progress > 5.0 * new, "{new}, {in_progress}");
    // Hardly any credit lies idle.
    let credit = 10_000 / 5;
    assert!(granted[0] + granted[1] > credit * 19 / 20, "{granted:?}");
}

#[test]
fn new_requests_get_the_credit_that_calls_in_progress_do_not_ask_for() {
    let budget = Budget::with_capacity(2 * RETRY_COST, RETRY_COST / 2);
    let in_progress = Attempt {
        is_in_progress: true,
        ..ATTEMPT
    };
    let is_granted = |attempt| matches!(decide(&budget, attempt), Next::Retry(_));
    assert!(is_granted(&ATTEMPT) && is_granted(&ATTEMPT));
    assert!(!is_granted(&in_progress));
    budget.earn();
    budget.earn();
    assert!(!is_granted(&ATTEMPT) && is_granted(&in_progress));
    let mut denied = 0;
    while !is_granted(&ATTEMPT) {
        budget.earn();
        denied += 1;
    }
    assert!(denied < 8, "{denied}");
}
