//! Retry amplification through a service that calls another one, in virtual time.
//!
//! Guards against retries at one service that load another beyond its budget: the calls that a
//! retried call makes are repeats at the service that they go to.

use std::time::Duration;

use buckthorn::routing::budget::{
    Attempt, Budget, Execution, Failure, Layer, Next, RETRY_COST, decide,
};
use buckthorn::routing::repeat::{REPEAT, RepeatShare};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Arrivals beyond the first that a service may get for each of its requests.
const RATIO: f64 = 0.2;
/// Arrivals beyond that which it may get in a window.
const SLACK: f64 = 64.0;
/// Window in which arrivals and requests are counted.
const WINDOW_MS: usize = 10_000;
/// Part of the allowed retries that nodes use, as on the platform.
const SHARE: f64 = 0.8;
const HOSTS: usize = 30;
/// Hosts whose backend servers belong to the outer service.
const OUTER_HOSTS: usize = 20;

fn budget() -> Budget {
    let cost = f64::from(RETRY_COST);
    let capacity = (SLACK * SHARE / HOSTS as f64 * cost) as u32;
    Budget::with_capacity(capacity.max(RETRY_COST), (RATIO * SHARE * cost) as u32)
}

struct Host {
    outer: Budget,
    inner: Budget,
    repeats: RepeatShare,
}

/// Counts at the inner service, by millisecond.
struct Tally {
    requests: Vec<u32>,
    repeats: Vec<u32>,
}

/// Whether a failed attempt of an idempotent call is retried.
fn is_retried(budget: &Budget, ran: Execution, attempts_left: u32) -> bool {
    let failed = Attempt {
        is_idempotent: true,
        ran,
        failure: Failure::Status,
        time_left: Some(Duration::from_millis(100)),
        attempts_left,
        layer: Layer::Outermost,
        is_body_replayable: true,
        is_poison: false,
    };
    matches!(decide(budget, &failed), Next::Retry(_))
}

/// Makes a call to the inner service from a run at `host`; returns whether it succeeds.
fn call_inner(
    host: &Host,
    is_repeat: bool,
    rejected: f64,
    at: usize,
    tally: &mut Tally,
    rng: &mut ChaCha8Rng,
) -> bool {
    tally.requests[at] += 1;
    host.inner.earn();
    host.inner.charge_repeat(host.repeats.permille());
    for attempt in 0..3 {
        tally.repeats[at] += u32::from(is_repeat || attempt > 0);
        if !rng.random_bool(rejected) {
            return true;
        }
        if !is_retried(&host.inner, Execution::NotRun, 2 - attempt) {
            return false;
        }
    }
    false
}

/// Plays calls to the outer service, each of whose runs calls the inner one twice, while the inner
/// one rejects a share of its arrivals.
fn play(seed: u64, per_second: usize, rejected: impl Fn(usize) -> f64) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|_| Host {
            outer: budget(),
            inner: budget(),
            repeats: RepeatShare::default(),
        })
        .collect();
    let span = 4 * WINDOW_MS;
    let mut tally = Tally {
        requests: vec![0; span],
        repeats: vec![0; span],
    };
    for call in 0..span * per_second / 1_000 {
        let at = call * 1_000 / per_second;
        let ingress = &hosts[rng.random_range(0..HOSTS)];
        ingress.outer.earn();
        for attempt in 0..3 {
            let host = &hosts[rng.random_range(0..OUTER_HOSTS)];
            let is_repeat = attempt > 0;
            host.repeats.record(if is_repeat { REPEAT } else { 0 });
            let is_good =
                (0..2).all(|_| call_inner(host, is_repeat, rejected(at), at, &mut tally, &mut rng));
            if is_good || !is_retried(&ingress.outer, Execution::Unknown, 2 - attempt) {
                break;
            }
        }
    }
    tally
}

/// Asserts that no window has more repeats than the budget allows.
fn assert_within_budget(tally: &Tally, case: &str) {
    let sum = |counts: &[u32]| f64::from(counts.iter().sum::<u32>());
    for start in (0..tally.requests.len() - WINDOW_MS).step_by(100) {
        let window = start..start + WINDOW_MS;
        let repeats = sum(&tally.repeats[window.clone()]);
        let allowed = RATIO * sum(&tally.requests[window]) + SLACK;
        assert!(
            repeats <= allowed,
            "{case}: {repeats} repeats from {start} ms on, allowed {allowed}"
        );
    }
}

#[test]
fn repeats_stay_within_the_budget_of_a_service_whose_servers_all_shed() {
    for seed in 0..5 {
        for per_second in [100, 400, 1_200] {
            for rejected in [0.2, 0.55, 1.0] {
                let tally = play(seed, per_second, |_| rejected);
                let case = format!("seed {seed}, {per_second} calls/s, {rejected} rejected");
                assert_within_budget(&tally, &case);
            }
        }
    }
}

#[test]
fn repeats_stay_within_the_budget_when_a_service_sheds_from_a_moment_on() {
    for seed in 0..5 {
        let tally = play(seed, 600, |at| if at < 15_000 { 0.0 } else { 0.55 });
        assert_within_budget(&tally, &format!("seed {seed}"));
    }
}

#[test]
fn the_share_of_repeats_follows_recent_runs() {
    let share = RepeatShare::default();
    for _ in 0..200 {
        share.record(REPEAT);
    }
    assert!(share.permille() > 990, "{}", share.permille());
    for _ in 0..100 {
        share.record(0);
    }
    assert!(share.permille() < 10, "{}", share.permille());
    // One run in five is a repeat.
    let mut sum = 0;
    for run in 0..1_000 {
        share.record(if run % 5 == 0 { REPEAT } else { 0 });
        sum += share.permille();
    }
    assert!((180..220).contains(&(sum / 1_000)), "{}", sum / 1_000);
}

#[test]
fn a_charge_is_paid_off_by_later_calls() {
    let budget = Budget::with_capacity(2 * RETRY_COST, RETRY_COST / 5);
    for _ in 0..10 {
        budget.charge_repeat(REPEAT);
    }
    assert_eq!(budget.credit(), -8 * i64::from(RETRY_COST));
    for _ in 0..44 {
        assert!(!budget.spend());
        budget.earn();
    }
    budget.earn();
    assert!(budget.spend());
}
