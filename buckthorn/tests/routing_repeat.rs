//! Retry amplification through a service that calls another one, in virtual time.
//!
//! Guards against retries at one service that load another beyond its budget: the calls that a
//! retried call makes are repeats at the service that they go to.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::routing::budget::{
    Attempt, Budget, Execution, Failure, Layer, Next, RETRY_COST, decide,
};
use buckthorn::routing::repeat::{RECOGNITION, REPEAT, RepeatShare};
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

/// Where the callers' requests arrive, and what is known of the calls of backend servers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Callers {
    /// From other hosts, at nodes that charge each call by the share of repeats.
    Remote,
    /// From the host itself, at such nodes.
    Local,
    /// From the host itself, at nodes that recognise the calls of their backend server.
    Recognised,
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

impl Tally {
    /// Retries of rejected calls and repeats of earlier ones from a time on.
    fn repeats_from(&self, from: usize) -> u32 {
        self.repeats[from..].iter().sum()
    }
}

impl Host {
    /// Charge for a request of the host's own callers.
    fn caller_charge(&self, callers: Callers, now: Time) -> u32 {
        match callers {
            Callers::Remote => 0,
            Callers::Local => self.repeats.permille(),
            Callers::Recognised => self.repeats.unrecognised_permille(now),
        }
    }
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
        is_in_progress: false,
    };
    matches!(decide(budget, &failed), Next::Retry(_))
}

/// A call to the inner service from a run that is a repeat with a probability in thousandths.
struct InnerCall<'a> {
    host: &'a Host,
    run_permille: u32,
    callers: Callers,
    at: usize,
    rejected: f64,
}

/// Makes a call to the inner service; returns whether it succeeds.
fn call_inner(call: &InnerCall<'_>, tally: &mut Tally, rng: &mut ChaCha8Rng) -> bool {
    let host = call.host;
    let charge = match call.callers {
        Callers::Remote | Callers::Local => host.repeats.permille(),
        Callers::Recognised => {
            host.repeats.record_recognised(time(call.at));
            call.run_permille
        }
    };
    tally.requests[call.at] += 1;
    host.inner.earn();
    host.inner.charge_repeat(charge);
    for attempt in 0..3 {
        let is_repeat = call.run_permille == REPEAT || attempt > 0;
        tally.repeats[call.at] += u32::from(is_repeat);
        if !rng.random_bool(call.rejected) {
            return true;
        }
        if !is_retried(&host.inner, Execution::NotRun, 2 - attempt) {
            return false;
        }
    }
    false
}

/// Virtual time of a millisecond.
fn time(at: usize) -> Time {
    Time::from_secs(1_000) + Duration::from_millis(at as u64)
}

/// Plays calls to the outer service, each of whose runs calls the inner one twice, while the inner
/// one rejects a share of its arrivals.
fn play(seed: u64, per_second: usize, rejected: impl Fn(usize) -> f64) -> Tally {
    play_from(Callers::Remote, seed, per_second, rejected)
}

/// Plays the same with callers at some place.
fn play_from(
    callers: Callers,
    seed: u64,
    per_second: usize,
    rejected: impl Fn(usize) -> f64,
) -> Tally {
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
        let charge = ingress.caller_charge(callers, time(at));
        ingress.outer.earn();
        ingress.outer.charge_repeat(charge);
        for attempt in 0..3 {
            let host = &hosts[rng.random_range(0..OUTER_HOSTS)];
            let run_permille = if attempt > 0 { REPEAT } else { charge };
            host.repeats.record(run_permille);
            let call = InnerCall {
                host,
                run_permille,
                callers,
                at,
                rejected: rejected(at),
            };
            let is_good = (0..2).all(|_| call_inner(&call, &mut tally, &mut rng));
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

/// A service that sheds twice, with callers on the hosts of the backend servers: what they are charged
/// comes back with the runs that they cause.
#[test]
fn requests_of_local_callers_keep_no_budget_in_debt() {
    let sheds = |at: usize| {
        if matches!(at / 5_000, 1 | 4..) {
            0.55
        } else {
            0.0
        }
    };
    for seed in 0..5 {
        let play = |callers| play_from(callers, seed, 600, sheds);
        let [charged, recognised] = [Callers::Local, Callers::Recognised].map(play);
        assert_within_budget(&recognised, &format!("seed {seed}"));
        let second = 20_000;
        let [charged, recognised] = [charged, recognised].map(|t| t.repeats_from(second));
        assert!(
            charged * 2 < recognised,
            "seed {seed}: {charged} and {recognised}"
        );
    }
}

#[test]
fn calls_count_as_new_only_while_others_are_recognised() {
    let share = RepeatShare::default();
    (0..200).for_each(|_| share.record(REPEAT));
    let now = time(0);
    assert_eq!(share.unrecognised_permille(now), share.permille());
    share.record_recognised(now);
    assert_eq!(share.unrecognised_permille(now), 0);
    assert_eq!(
        share.unrecognised_permille(now + RECOGNITION),
        share.permille()
    );
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
