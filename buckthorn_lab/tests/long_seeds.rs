//! The long randomised simulation over a fixed set of seeds.

use buckthorn_lab::experiment::long;

/// First seed.
const FIRST_SEED: u64 = 1;

/// Number of seeds.
const SEEDS: u64 = 48;

/// Steps of each seed.
const STEPS: u64 = 200;

#[test]
fn fixed_seeds_violate_no_invariant() {
    let tally = long::run_seeds(FIRST_SEED, SEEDS, STEPS);
    assert_eq!(tally.steps, SEEDS * STEPS);
    // The invariants are only tested if the runs exercise the code that they guard.
    assert!(tally.accepted > 100, "{tally:?}");
    assert!(tally.refused > 100, "{tally:?}");
    assert!(tally.rolled_back > 10, "{tally:?}");
    assert!(tally.done > 0, "{tally:?}");
    assert!(tally.convergence_checks >= SEEDS, "{tally:?}");
}

#[test]
fn a_seed_determines_its_run() {
    assert_eq!(long::run_seed(7, 60), long::run_seed(7, 60));
}
