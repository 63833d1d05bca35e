//! Tail of the Poisson distribution, for counts of rare events.
//!
//! Above [`MAX_MEAN`] expected events the tail is not computed; the sequential tests have found a
//! difference long before.

/// Most expected events for which the tail is computed; `exp(-MAX_MEAN)` is still a normal number.
const MAX_MEAN: f64 = 700.0;

/// Most terms that are summed; the tail is negligible beyond them.
const MAX_TERMS: u64 = 2_000;

/// Returns the probability of at least `count` events when `mean` are expected; 1 if more than
/// [`MAX_MEAN`] are.
pub(super) fn tail(count: u64, mean: f64) -> f64 {
    if mean > MAX_MEAN {
        return 1.0;
    }
    let (mut term, mut below) = ((-mean).exp(), 0.0);
    for number in 1..=count.min(MAX_TERMS) {
        below += term;
        term *= mean / number as f64;
    }
    (1.0 - below).max(0.0)
}
