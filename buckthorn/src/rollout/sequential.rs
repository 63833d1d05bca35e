//! Sequential tests of the new version against the old one.
//!
//! **Concurrent test.** Given the number of bad calls of both versions in one window, the number on
//! the new version is binomial with probability `q = w·n / (w·n + m)`, for `n` calls to the new and
//! `m` to the old version and a ratio `w` of their bad-call rates (conditional test of two Poisson
//! rates: Przyborowski and Wilenski, Biometrika 31, 1940). The null hypothesis is that `w` is at
//! most the tolerated ratio; a fault common to both versions leaves `w` unchanged and so rejects
//! neither. The likelihood ratios of the alternatives [`RATIOS`] are accumulated by the
//! Shiryaev-Roberts recursion `R = (R + 1) L` and averaged. As `R - t` is a martingale under the
//! null hypothesis, the probability of reaching a threshold `c` within `t` informative windows is
//! at most `t / c` (Doob; the e-detectors of Shin, Ramdas and Rinaldo, 2023, rest on the same
//! fact). The `+ 1` lets the test detect a fault that begins late as fast as one present from the
//! start.
//!
//! **Reference test.** The same recursion on the new version's calls alone, against the rate that
//! the old version had earlier. It detects faults fast when the old version receives few calls, but
//! cannot distinguish a common fault, so it only requests a comparison.
//!
//! **Leave one out.** Each test runs once on all hosts of the new version and once without each
//! host; the verdict uses the lowest level of the latter. A single faulty host therefore cannot
//! cause the rejection of a version with several servers.

use crate::name::Name;

/// Bad-call rate ratios of the alternative hypotheses.
pub const RATIOS: [f64; 4] = [2.0, 5.0, 20.0, 200.0];

/// Probability per move that the concurrent tests reject a good version.
pub const FALSE_ALARM: f64 = 0.002;

/// Number of informative windows in a move for which [`FALSE_ALARM`] holds.
pub const HORIZON: f64 = 10_000.0;

/// Cap on the statistic of a concurrent test, so that evidence of a past fault decays.
const MAX_CONCURRENT: f64 = 1e9;

/// Cap on the statistic of a reference test.
const MAX_REFERENCE: f64 = 2e5;

/// Number of calls and of bad calls among them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// All calls.
    pub calls: f64,
    /// Bad calls among them.
    pub bad: f64,
}

/// Shiryaev-Roberts statistics by alternative hypothesis.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SequentialTest {
    /// Statistic for each ratio in [`RATIOS`].
    values: [f64; RATIOS.len()],
}

/// A test on all hosts and one test without each host.
#[derive(Clone, Debug, Default)]
pub struct LeaveOneOut {
    /// Test on all hosts.
    all: SequentialTest,
    /// Tests without one host, sorted by the host left out.
    without: Vec<(Name, SequentialTest)>,
}

impl CallCounts {
    /// Sum of both counts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            bad: self.bad + other.bad,
        }
    }

    /// Difference of both counts.
    fn minus(self, other: Self) -> Self {
        Self {
            calls: self.calls - other.calls,
            bad: self.bad - other.bad,
        }
    }

    /// Multiplies both counts by a factor.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            calls: self.calls * factor,
            bad: self.bad * factor,
        }
    }

    /// Adds later counts and weights the earlier ones by age: a call counts half after `half_calls`
    /// more.
    pub fn add_recent(&mut self, added: Self, half_calls: f64) {
        let retained = (-added.calls / half_calls).exp2();
        *self = self.scaled(retained).plus(added);
    }

    /// Fraction of bad calls, zero without calls.
    pub fn rate(self) -> f64 {
        if self.calls > 0.0 {
            self.bad / self.calls
        } else {
            0.0
        }
    }
}

impl SequentialTest {
    /// Updates the test with one window of both versions; `tolerated` is the tolerated rate ratio.
    fn compare(&mut self, new: CallCounts, old: CallCounts, tolerated: f64) {
        if new.calls <= 0.0 || old.calls <= 0.0 || new.bad + old.bad <= 0.0 {
            return;
        }
        let odds = tolerated * new.calls / old.calls;
        let null = odds / (1.0 + odds);
        self.update(MAX_CONCURRENT, |ratio| {
            let alternative = ratio * odds / (1.0 + ratio * odds);
            new.bad * (alternative / null).ln()
                + old.bad * ((1.0 - alternative) / (1.0 - null)).ln()
        });
    }

    /// Updates the test with one window of the new version against a fixed rate.
    pub fn compare_to_rate(&mut self, new: CallCounts, rate: f64) {
        if new.calls <= 0.0 {
            return;
        }
        self.update(MAX_REFERENCE, |ratio| {
            let alternative = 1.0 - (1.0 - rate).powf(ratio);
            let good = (new.calls - new.bad).max(0.0);
            new.bad * (alternative / rate).ln() + good * ((1.0 - alternative) / (1.0 - rate)).ln()
        });
    }

    /// One step of the recursion, with values capped at `limit`.
    fn update(&mut self, limit: f64, log_ratio: impl Fn(f64) -> f64) {
        for (value, ratio) in self.values.iter_mut().zip(RATIOS) {
            let next = (*value + 1.0) * log_ratio(ratio).clamp(-200.0, 200.0).exp();
            *value = next.min(limit);
        }
    }

    /// Logarithm of the statistic averaged over the alternatives.
    pub fn level(&self) -> f64 {
        (self.values.iter().sum::<f64>() / RATIOS.len() as f64)
            .max(f64::MIN_POSITIVE)
            .ln()
    }
}

impl LeaveOneOut {
    /// Updates the tests with one window: the new version's counts, sorted by host, and the old
    /// version's sum.
    pub fn compare(&mut self, hosts: &[(Name, CallCounts)], old: CallCounts, tolerated: f64) {
        self.update_all(hosts, |test, new| test.compare(new, old, tolerated));
    }

    /// Updates the tests with one window of the new version against a fixed rate.
    pub fn compare_to_rate(&mut self, hosts: &[(Name, CallCounts)], rate: f64) {
        self.update_all(hosts, |test, new| test.compare_to_rate(new, rate));
    }

    /// Updates each test with the sum over the hosts that it includes.
    fn update_all(
        &mut self,
        hosts: &[(Name, CallCounts)],
        update: impl Fn(&mut SequentialTest, CallCounts),
    ) {
        for (host, _) in hosts {
            // Until a host has calls, the test without it equals the test on all hosts.
            if let Err(index) = self.without.binary_search_by(|(h, _)| h.cmp(host)) {
                self.without.insert(index, (host.clone(), self.all));
            }
        }
        let total = hosts
            .iter()
            .fold(CallCounts::default(), |sum, (_, count)| sum.plus(*count));
        update(&mut self.all, total);
        for (host, test) in &mut self.without {
            let excluded = hosts
                .binary_search_by(|(h, _)| h.cmp(host))
                .map_or(CallCounts::default(), |index| hosts[index].1);
            update(test, total.minus(excluded));
        }
    }

    /// Level of the test on all hosts.
    pub fn level(&self) -> f64 {
        self.all.level()
    }

    /// Level used for the verdict: that on all hosts if the version has a single server, otherwise
    /// the lowest of those without one host.
    pub fn verdict_level(&self, is_sole: bool) -> f64 {
        if is_sole {
            return self.level();
        }
        if self.without.len() < 2 {
            return f64::NEG_INFINITY;
        }
        self.without
            .iter()
            .map(|(_, test)| test.level())
            .fold(f64::INFINITY, f64::min)
    }
}
