//! Long randomised simulation of the control plane.
//!
//! Each seed drives a mesh of production kernels on simulated links through random steps:
//! conflicting changes by operators, undecodable records, kills and mass restarts, partitions
//! between failure domains, regions and the log, lost replies, trimmed records, and backend servers
//! that join, fail and leave. Invariants are asserted inside the program and, across nodes, after
//! every step. Every 50 steps all faults are removed and the mesh has to converge within the stated
//! bounds.

mod check;
mod simulation;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use anyhow::ensure;

use self::simulation::Simulation;
use crate::flags;

/// Number of seeds when the flag is absent.
const DEFAULT_SEEDS: u64 = 20;

/// Steps per seed when the flag is absent.
const DEFAULT_STEPS: u64 = 1_000;

/// Steps between two convergence checks.
const STEPS_PER_CONVERGENCE_CHECK: u64 = 50;

/// Totals of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Steps executed.
    pub steps: u64,
    /// Records in the configuration stream.
    pub records: u64,
    /// Operators' changes that were accepted.
    pub accepted: u64,
    /// Records that the journal fold refused.
    pub refused: u64,
    /// Moves that completed.
    pub done: u64,
    /// Moves that were rolled back.
    pub rolled_back: u64,
    /// Number of times that a node quarantined the version of a move.
    pub quarantines: u64,
    /// Number of convergence checks that passed.
    pub convergence_checks: u64,
}

impl Tally {
    /// Adds the totals of another seed.
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

/// Runs the `long` command and prints the totals.
///
/// # Errors
///
/// Fails if the number of seeds or steps is zero. A violated invariant panics, and its seed is
/// printed.
pub fn run(flags: &flags::Long) -> anyhow::Result<()> {
    let first = flags.seed.unwrap_or(1);
    let seeds = flags.seeds.unwrap_or(DEFAULT_SEEDS);
    let steps = flags.steps.unwrap_or(DEFAULT_STEPS);
    ensure!(
        seeds > 0 && steps > 0,
        "--seeds and --steps: expected numbers above zero"
    );
    let began = Instant::now();
    let tally = run_seeds(first, seeds, steps);
    println!(
        "{} steps over {seeds} seeds from {first} in {:.1} s: no invariant violated",
        tally.steps,
        began.elapsed().as_secs_f64()
    );
    println!(
        "records {}, changes accepted {}, refused {}, moves done {}, rolled back {}, quarantines \
         {}, convergence checks {}",
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

/// Runs seeds in parallel, on at most one thread per core, and sums their totals.
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

/// Runs one seed and returns its totals.
pub fn run_seed(seed: u64, steps: u64) -> Tally {
    // Names the seed if an invariant is violated; the panic alone does not say which seed its
    // thread was running.
    let guard = SeedReporter { seed };
    let mut simulation = Simulation::new(seed);
    for step in 1..=steps {
        simulation.step();
        simulation.check();
        if step % STEPS_PER_CONVERGENCE_CHECK == 0 {
            simulation.check_convergence();
        }
    }
    simulation.check_convergence();
    std::mem::forget(guard);
    Tally {
        steps,
        ..simulation.tally()
    }
}

/// Prints the seed when it is dropped, which happens only while a panic unwinds.
struct SeedReporter {
    /// Seed that is running.
    seed: u64,
}

impl Drop for SeedReporter {
    fn drop(&mut self) {
        eprintln!(
            "seed {} violated an invariant; reproduce with: long --seed {0} --seeds 1",
            self.seed
        );
    }
}
