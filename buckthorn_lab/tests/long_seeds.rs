//! A fixed set of seeds of the long randomised run.

use buckthorn_lab::experiment::long;

/// First seed.
const FIRST_SEED: u64 = 1;

/// Seeds.
const SEEDS: u64 = 48;

/// Steps of each seed.
const STEPS: u64 = 200;

#[test]
fn no_invariant_breaks_over_a_fixed_set_of_seeds() {
    let tally = long::run_seeds(FIRST_SEED, SEEDS, STEPS);
    assert_eq!(tally.steps, SEEDS * STEPS);
    // A run in which nothing happens would prove nothing.
    assert!(tally.accepted > 100, "{tally:?}");
    assert!(tally.refused > 100, "{tally:?}");
    assert!(tally.rolled_back > 10, "{tally:?}");
    assert!(tally.done > 0, "{tally:?}");
    assert!(tally.convergence_checks >= SEEDS, "{tally:?}");
}

#[test]
fn a_seed_decides_its_run() {
    assert_eq!(long::run_seed(7, 60), long::run_seed(7, 60));
}
