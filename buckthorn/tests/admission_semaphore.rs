//! The semaphore under concurrent use, and with callers that disconnect while waiting.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use buckthorn::admission::gate::{Gate, Offer, Refusal};
use buckthorn::admission::rank::Rank;
use buckthorn::admission::semaphore::Semaphore;
use buckthorn::clock::Clock;
use buckthorn::counter::Counters;
use buckthorn::rollout::evidence::Outcome;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Call without a deadline.
const CALL: Offer = Offer {
    rank: Rank::new(3),
    deadline: None,
    max_wait: None,
};

/// Semaphore of a newly started backend server with this many slots.
fn semaphore(slots: u32) -> Arc<Semaphore> {
    Semaphore::new(Clock::new(), Arc::new(Counters::new()), slots)
}

/// Semaphore whose limit starts at the slots.
fn warm_semaphore(slots: u32) -> Arc<Semaphore> {
    let clock = Clock::new();
    let gate = Gate::warm(slots, clock.now());
    Semaphore::with_gate(clock, Arc::new(Counters::new()), gate)
}

/// Multi-threaded runtime.
fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_time()
        .build()
        .unwrap()
}

#[test]
fn never_exceeds_the_limit_and_releases_every_slot() {
    for seed in 0..4 {
        let semaphore = warm_semaphore(8);
        let concurrent = Arc::new(AtomicU32::new(0));
        let callers = (0..64).map(|caller| {
            let (semaphore, concurrent) = (semaphore.clone(), concurrent.clone());
            let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + caller);
            async move {
                for _ in 0..200 {
                    let urgency = rng.random_range(0..8);
                    let duration = Duration::from_micros(rng.random_range(1..3_000));
                    let acquire = semaphore.acquire(Offer {
                        rank: Rank::new(urgency),
                        ..CALL
                    });
                    let Ok(acquired) = tokio::time::timeout(duration, acquire).await else {
                        continue;
                    };
                    let Ok(permit) = acquired else {
                        tokio::task::yield_now().await;
                        continue;
                    };
                    let running = concurrent.fetch_add(1, Ordering::SeqCst) + 1;
                    assert!(running <= 8, "{running} calls run in 8 slots");
                    tokio::task::yield_now().await;
                    concurrent.fetch_sub(1, Ordering::SeqCst);
                    match rng.random_range(0..8) {
                        0 => drop(permit),
                        1 => permit.finish(Outcome::Error, duration),
                        2 => permit.finish(Outcome::Timeout, duration),
                        _ => permit.finish(Outcome::Ok, duration),
                    }
                }
            }
        });
        runtime().block_on(async {
            let tasks: Vec<_> = callers.map(tokio::spawn).collect();
            for task in tasks {
                task.await.unwrap();
            }
        });
        assert_eq!(
            (semaphore.running(), semaphore.queued()),
            (0, 0),
            "seed {seed}"
        );
    }
}

#[tokio::test]
async fn a_cancelled_wait_frees_its_place_in_the_queue() {
    let semaphore = semaphore(1);
    let permit = semaphore.acquire(CALL).await.unwrap();
    let mut waiting = Box::pin(semaphore.acquire(CALL));
    let early = tokio::time::timeout(Duration::from_millis(1), &mut waiting).await;
    assert!(early.is_err());
    assert_eq!((semaphore.running(), semaphore.queued()), (1, 1));
    drop(waiting);
    assert_eq!((semaphore.running(), semaphore.queued()), (1, 0));
    drop(permit);
    assert_eq!(semaphore.running(), 0);
    drop(semaphore.acquire(CALL).await.unwrap());
}

#[tokio::test]
async fn a_wait_cancelled_after_admission_releases_the_slot() {
    let semaphore = semaphore(1);
    let permit = semaphore.acquire(CALL).await.unwrap();
    let mut waiting = Box::pin(semaphore.acquire(CALL));
    let early = tokio::time::timeout(Duration::from_millis(1), &mut waiting).await;
    assert!(early.is_err());
    permit.finish(Outcome::Ok, Duration::from_millis(1));
    assert_eq!(semaphore.running(), 1, "the slot went to the waiting call");
    drop(waiting);
    assert_eq!(semaphore.running(), 0);
}

#[tokio::test]
async fn closing_refuses_waiting_calls_and_lets_running_ones_finish() {
    let semaphore = semaphore(1);
    let permit = semaphore.acquire(CALL).await.unwrap();
    let (waited, ()) = tokio::join!(semaphore.acquire(CALL), async { semaphore.close() });
    assert_eq!(waited.unwrap_err(), Refusal::Draining);
    assert_eq!(
        semaphore.acquire(CALL).await.unwrap_err(),
        Refusal::Draining
    );
    assert_eq!(semaphore.running(), 1);
    permit.finish(Outcome::Ok, Duration::from_millis(1));
    assert_eq!(semaphore.running(), 0);
}
