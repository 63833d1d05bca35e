//! The gate under random events in virtual time: bounds, settlement of waiting calls, order and
//! draining.

use std::time::Duration;

use buckthorn::admission::gate::{
    DEFAULT_URGENCY, Decision, Gate, Next, Offer, QUEUE_PER_SLOT, Refusal,
};
use buckthorn::admission::limit::{Change, START_LIMIT};
use buckthorn::admission::queue::{FAIR_STRIDE, Ticket};
use buckthorn::admission::rank::Rank;
use buckthorn::clock::Time;
use buckthorn::rollout::evidence::Outcome;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Slots of the backend server.
const SLOTS: u32 = 10;

/// Latency of a healthy backend server.
const LATENCY: Duration = Duration::from_millis(20);

/// Call of a priority without a deadline, which may wait as long as the gate permits.
fn call(urgency: u8) -> Offer {
    Offer {
        rank: Rank::new(urgency),
        deadline: None,
        max_wait: None,
    }
}

/// Keeps a gate fully occupied for a time with calls that take `latency`, and returns how often the
/// limit was raised and cut.
fn run(gate: &mut Gate, now: &mut Time, duration: Duration, latency: Duration) -> (u32, u32) {
    let end = *now + duration;
    let (mut raised, mut cut) = (0, 0);
    while *now < end {
        while let Decision::Run = gate.offer(*now, call(DEFAULT_URGENCY)) {}
        *now = *now + latency;
        for _ in 0..gate.running() {
            match gate.exit(*now, Outcome::Ok, latency) {
                Change::Unchanged => {}
                Change::Raised => raised += 1,
                Change::Cut => cut += 1,
            }
        }
        while gate.next(*now) != Next::Idle {
            gate.exit(*now, Outcome::Cancelled, latency);
        }
    }
    (raised, cut)
}

/// Gate that was kept busy until its limit reached the slots.
fn warm(now: &mut Time) -> Gate {
    let mut gate = Gate::new(SLOTS, *now);
    run(&mut gate, now, Duration::from_secs(30), LATENCY);
    assert_eq!(gate.limit(), SLOTS);
    gate
}

#[test]
fn holds_its_invariants_under_random_events() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Time::from_secs(1_000);
        let slots = rng.random_range(1..=16);
        let mut gate = Gate::new(slots, now);
        let (mut waiting, mut settled): (Vec<Ticket>, Vec<Ticket>) = (Vec::new(), Vec::new());
        let mut running = 0_u32;
        for step in 0..4_000 {
            now = now + Duration::from_micros(rng.random_range(0..20_000));
            match rng.random_range(0..100) {
                0..60 => {
                    let deadline = rng
                        .random_bool(0.7)
                        .then(|| now + Duration::from_micros(rng.random_range(0..300_000)));
                    let urgency = rng.random_range(0..8);
                    match gate.offer(
                        now,
                        Offer {
                            rank: Rank::new(urgency),
                            deadline,
                            max_wait: None,
                        },
                    ) {
                        Decision::Run => running += 1,
                        Decision::Wait(ticket, until, _) => {
                            assert!(until > now, "seed {seed}");
                            waiting.push(ticket);
                        }
                        Decision::Refuse(_) => {}
                    }
                }
                60..95 if running > 0 => {
                    let outcome = match rng.random_range(0..20) {
                        0 => Outcome::Shed,
                        1 => Outcome::Error,
                        2 => Outcome::Timeout,
                        3 => Outcome::Reset,
                        _ => Outcome::Ok,
                    };
                    running -= 1;
                    gate.exit(
                        now,
                        outcome,
                        Duration::from_micros(rng.random_range(1..90_000)),
                    );
                }
                95..99 if !waiting.is_empty() => {
                    let ticket = waiting.swap_remove(rng.random_range(0..waiting.len()));
                    assert!(
                        gate.cancel(ticket),
                        "seed {seed}: a waiting call can be cancelled"
                    );
                }
                99 if step > 3_900 => gate.close(),
                _ => {}
            }
            loop {
                let (ticket, runs) = match gate.next(now) {
                    Next::Run(ticket) => (ticket, true),
                    Next::Refuse(ticket, _) => (ticket, false),
                    Next::Idle => break,
                };
                let index = waiting.iter().position(|t| *t == ticket);
                assert!(
                    index.is_some(),
                    "seed {seed}: settled {ticket:?} that was not waiting"
                );
                waiting.swap_remove(index.unwrap_or_default());
                settled.push(ticket);
                running += u32::from(runs);
            }
            assert_eq!(gate.running(), running, "seed {seed}");
            assert_eq!(gate.queued() as usize, waiting.len(), "seed {seed}");
            assert!((1..=slots).contains(&gate.limit()), "seed {seed}");
            assert!(
                running <= slots,
                "seed {seed}: {running} calls run in {slots} slots"
            );
            assert!(
                waiting.len() <= slots as usize * QUEUE_PER_SLOT,
                "seed {seed}"
            );
            assert!(
                waiting.is_empty() || running > 0,
                "seed {seed}: a call waits at a free backend server"
            );
        }
        settled.sort_unstable();
        assert!(
            settled.windows(2).all(|pair| pair[0] < pair[1]),
            "seed {seed}: settled twice"
        );
    }
}

#[test]
fn limit_starts_low_and_rises_while_responses_are_good() {
    let mut now = Time::from_secs(1_000);
    let mut gate = Gate::new(SLOTS, now);
    assert_eq!(gate.limit(), START_LIMIT);
    run(&mut gate, &mut now, Duration::from_secs(3), LATENCY);
    assert!(gate.limit() < SLOTS / 2, "limit {} after 3 s", gate.limit());
    run(&mut gate, &mut now, Duration::from_secs(30), LATENCY);
    assert_eq!(gate.limit(), SLOTS);
}

#[test]
fn latency_rise_alone_cuts_the_limit() {
    let mut now = Time::from_secs(1_000);
    let mut gate = warm(&mut now);
    run(&mut gate, &mut now, Duration::from_secs(2), LATENCY * 4);
    assert!(
        gate.limit() <= SLOTS / 2,
        "limit {} after 2 s",
        gate.limit()
    );
    // Health reports have no effect on the limit: the rise of latency alone cut it, and normal
    // latency alone restores it.
    run(&mut gate, &mut now, Duration::from_secs(30), LATENCY);
    assert_eq!(gate.limit(), SLOTS);
}

#[test]
fn cuts_once_for_calls_that_ran_concurrently() {
    let mut now = Time::from_secs(1_000);
    let mut gate = warm(&mut now);
    while let Decision::Run = gate.offer(now, call(DEFAULT_URGENCY)) {}
    let cuts = (0..SLOTS)
        .filter(|_| gate.exit(now, Outcome::Shed, LATENCY) == Change::Cut)
        .count();
    assert_eq!((cuts, gate.limit()), (1, 7));
}

#[test]
fn ignores_short_deadlines_and_cancelled_calls() {
    let mut now = Time::from_secs(1_000);
    let mut gate = warm(&mut now);
    for outcome in [Outcome::Cancelled, Outcome::Timeout] {
        for _ in 0..100 {
            assert_eq!(gate.offer(now, call(DEFAULT_URGENCY)), Decision::Run);
            gate.exit(now, outcome, Duration::from_millis(1));
        }
    }
    assert_eq!(gate.limit(), SLOTS);
}

#[test]
fn long_calls_do_not_hold_the_limit_down() {
    let mut now = Time::from_secs(1_000);
    let mut gate = Gate::new(SLOTS, now);
    for second in 0..20_u32 {
        // None of these calls ends.
        while let Decision::Run = gate.offer(now, call(DEFAULT_URGENCY)) {}
        while gate.next(now) != Next::Idle {}
        assert!(gate.limit() <= START_LIMIT + second);
        now = now + Duration::from_secs(1);
    }
    assert_eq!(gate.running(), SLOTS / 2);
}

#[test]
fn decays_when_idle() {
    let mut now = Time::from_secs(1_000);
    let mut gate = warm(&mut now);
    now = now + Duration::from_secs(60);
    gate.offer(now, call(DEFAULT_URGENCY));
    assert_eq!(gate.limit(), START_LIMIT);
}

#[test]
fn refuses_immediately_calls_that_cannot_finish_in_time() {
    let mut now = Time::from_secs(1_000);
    let mut gate = warm(&mut now);
    let offer = |left: Duration, now: Time| Offer {
        rank: Rank::new(DEFAULT_URGENCY),
        deadline: Some(now + left),
        max_wait: None,
    };
    let decision = gate.offer(now, offer(Duration::from_millis(5), now));
    assert_eq!(decision, Decision::Refuse(Refusal::Deadline));
    while let Decision::Run = gate.offer(now, call(DEFAULT_URGENCY)) {}
    for _ in 0..10 {
        gate.offer(now, call(DEFAULT_URGENCY - 1));
    }
    let decision = gate.offer(now, offer(Duration::from_millis(25), now));
    assert_eq!(decision, Decision::Refuse(Refusal::Deadline));
    let decision = gate.offer(now, offer(Duration::from_millis(500), now));
    assert!(matches!(decision, Decision::Wait(..)), "{decision:?}");
}

#[test]
fn displaces_a_lower_priority_and_takes_the_earliest_deadline() {
    let now = Time::from_secs(1_000);
    let mut gate = Gate::new(1, now);
    let at = |urgency, millis| Offer {
        rank: Rank::new(urgency),
        deadline: Some(now + Duration::from_millis(millis)),
        max_wait: None,
    };
    assert_eq!(gate.offer(now, at(3, 900)), Decision::Run);
    let ticket = |decision| match decision {
        Decision::Wait(ticket, ..) => ticket,
        other => panic!("{other:?}"),
    };
    let late = ticket(gate.offer(now, at(3, 800)));
    let early = ticket(gate.offer(now, at(3, 500)));
    let full = gate.offer(now, at(3, 100));
    assert_eq!(full, Decision::Refuse(Refusal::QueueFull));
    let urgent = ticket(gate.offer(now, at(1, 900)));
    assert_eq!(gate.next(now), Next::Refuse(late, Refusal::Shed));
    gate.exit(now, Outcome::Ok, LATENCY);
    assert_eq!(gate.next(now), Next::Run(urgent));
    gate.exit(now, Outcome::Ok, LATENCY);
    assert_eq!(gate.next(now), Next::Run(early));
}

#[test]
fn priority_traffic_goes_first_without_starving_other_traffic() {
    let mut now = Time::from_secs(1_000);
    let mut gate = warm(&mut now);
    let (mut priority, mut rest) = (0_u32, 0_u32);
    let mut urgent: Vec<Ticket> = Vec::new();
    while let Decision::Run = gate.offer(now, call(1)) {}
    for _ in 0..20_000 {
        now = now + Duration::from_millis(2);
        // Priority traffic alone exceeds what the backend server can handle.
        for urgency in [1, 1, 3] {
            if let Decision::Wait(ticket, ..) = gate.offer(now, call(urgency)) {
                urgent.extend((urgency == 1).then_some(ticket));
            }
            while let Next::Refuse(..) = gate.next(now) {}
        }
        gate.exit(now, Outcome::Ok, LATENCY);
        if let Next::Run(ticket) = gate.next(now) {
            if urgent.contains(&ticket) {
                priority += 1;
            } else {
                rest += 1;
            }
        }
        urgent.drain(..urgent.len().saturating_sub(100));
    }
    let share = f64::from(rest) / f64::from(rest + priority);
    let fair = 1.0 / f64::from(FAIR_STRIDE);
    assert!(
        (fair * 0.9..fair * 1.1).contains(&share),
        "share of the rest is {share}"
    );
}

#[test]
fn closing_refuses_waiting_calls_and_lets_running_ones_finish() {
    let now = Time::from_secs(1_000);
    let mut gate = Gate::new(1, now);
    assert_eq!(gate.offer(now, call(3)), Decision::Run);
    let Decision::Wait(ticket, ..) = gate.offer(now, call(3)) else {
        panic!("a second call waits");
    };
    gate.close();
    assert_eq!(gate.next(now), Next::Refuse(ticket, Refusal::Draining));
    assert_eq!(
        gate.offer(now, call(0)),
        Decision::Refuse(Refusal::Draining)
    );
    assert_eq!(gate.running(), 1);
    gate.exit(now, Outcome::Ok, LATENCY);
    assert_eq!((gate.next(now), gate.running()), (Next::Idle, 0));
}
