//! Long randomised runs of the decision code.
//!
//! Each seed drives a mesh of whole kernels on fake links through random steps: operators who race
//! each other, records that cannot be read, kills and herd restarts, cuts between failure domains,
//! regions and the log, lost replies, trimmed records, backend servers that come, turn bad and
//! leave. Invariants are asserted inside the program and, across nodes, after every step; every
//! few hundred steps all faults are mended and the mesh has to agree within the stated bounds.

mod check;
mod simulation;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use anyhow::ensure;

use self::simulation::Simulation;
use crate::flags;

/// Seeds when none are given.
const DEFAULT_SEEDS: u64 = 20;

/// Steps of a seed when none are given.
const DEFAULT_STEPS: u64 = 1_000;

/// Steps between two times of rest.
const STEPS_BETWEEN_RESTS: u64 = 50;

/// What a run came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Steps taken.
    pub steps: u64,
    /// Records in the configuration streams.
    pub records: u64,
    /// Changes of operators that were accepted.
    pub accepted: u64,
    /// Records that the fold refused.
    pub refused: u64,
    /// Moves that ended as done.
    pub done: u64,
    /// Moves that ended as taken back.
    pub rolled_back: u64,
    /// Times at which a node held a move's version under quarantine.
    pub quarantines: u64,
    /// Times of rest at which the mesh agreed.
    pub convergence_checks: u64,
}

impl Tally {
    /// Adds the tally of another seed.
    fn add(&mut self, other: &Self) {
        self.steps += other.steps;
        self.records += other.records;
        self.accepted += other.accepted;
        self.refused += other.refused;
        self.done += other.done;
        self.rolled_back += other.rolled_back;
        self.quarantines += other.quarantines;
        self.convergence_checks += other.convergence_checks;
    }
}

/// Runs the command.
///
/// # Errors
///
/// Fails when no steps are asked for; a broken invariant stops the process and names its seed.
pub fn run(flags: &flags::Long) -> anyhow::Result<()> {
    let first = flags.seed.unwrap_or(1);
    let seeds = flags.seeds.unwrap_or(DEFAULT_SEEDS);
    let steps = flags.steps.unwrap_or(DEFAULT_STEPS);
    ensure!(
        seeds > 0 && steps > 0,
        "--seeds and --steps: expected numbers over zero"
    );
    let began = Instant::now();
    let tally = run_seeds(first, seeds, steps);
    println!(
        "{} steps over {seeds} seeds from {first} in {:.1} s: no invariant broken",
        tally.steps,
        began.elapsed().as_secs_f64()
    );
    println!(
        "records {}, changes accepted {}, refused {}, moves done {}, taken back {}, quarantines \
         {}, rests {}",
        tally.records,
        tally.accepted,
        tally.refused,
        tally.done,
        tally.rolled_back,
        tally.quarantines,
        tally.convergence_checks
    );
    Ok(())
}

/// Runs seeds side by side on the machine's cores.
pub fn run_seeds(first: u64, seeds: u64, steps: u64) -> Tally {
    let next = AtomicU64::new(first);
    let workers = thread::available_parallelism()
        .map_or(1, usize::from)
        .min(seeds as usize);
    thread::scope(|scope| {
        let work = || {
            let mut tally = Tally::default();
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + seeds {
                    return tally;
                }
                tally.add(&run_seed(seed, steps));
            }
        };
        let handles: Vec<_> = (0..workers).map(|_| scope.spawn(work)).collect();
        let mut total = Tally::default();
        for handle in handles {
            match handle.join() {
                Ok(tally) => total.add(&tally),
                Err(panic) => std::panic::resume_unwind(panic),
            }
        }
        total
    })
}

/// Runs one seed.
pub fn run_seed(seed: u64, steps: u64) -> Tally {
    // The seed is named when an invariant breaks, whatever thread it breaks on.
    let guard = Announce { seed };
    let mut simulation = Simulation::new(seed);
    for step in 1..=steps {
        simulation.step();
        simulation.check();
        if step % STEPS_BETWEEN_RESTS == 0 {
            simulation.rest();
        }
    }
    simulation.rest();
    std::mem::forget(guard);
    Tally {
        steps,
        ..simulation.tally()
    }
}

/// Names the seed when it is dropped, which happens only while unwinding.
struct Announce {
    /// Seed.
    seed: u64,
}

impl Drop for Announce {
    fn drop(&mut self) {
        eprintln!(
            "seed {} broke an invariant; repeat with: long --seed {0} --seeds 1",
            self.seed
        );
    }
}
