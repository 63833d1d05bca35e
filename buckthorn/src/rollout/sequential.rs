//! Sequential tests of the new version against the old one.
//!
//! **Concurrent test.** Of the bad calls that both versions have in one window, those on the new
//! version are binomial with probability `q = w·n / (w·n + m)`, for `n` calls on the new and `m` on
//! the old version and a ratio `w` of their rates (conditional test of two Poisson rates:
//! Przyborowski and Wilenski, Biometrika 31, 1940). The null hypothesis is `w` at most the tolerated
//! ratio; a fault common to both versions leaves `w` as it was and so condemns neither. The
//! likelihood ratios of the alternatives [`RATIOS`] are accumulated by the Shiryaev-Roberts
//! recursion `R = (R + 1) L` and averaged. As `R - t` is a martingale under the null, the chance of
//! reaching a threshold `c` within `t` informative windows is at most `t / c` (Doob; the e-detectors
//! of Shin, Ramdas and Rinaldo, 2023, rest on the same fact). The `+ 1` lets the test react to a
//! fault that begins late as fast as to one that is there from the start.
//!
//! **Reference test.** The same recursion on the new version's calls alone against the rate that
//! the old version had earlier. It reacts fast where the old version has few calls left, but cannot
//! tell a common fault, so it only asks for a comparison.
//!
//! **One host.** Each test runs once on all hosts of the new version and once without each host;
//! the version is judged by the weakest of the latter. A single faulty host therefore cannot condemn
//! a version of several servers.

use crate::name::Name;

/// Rate ratios of the alternatives.
pub const RATIOS: [f64; 4] = [2.0, 5.0, 20.0, 200.0];

/// Chance per move that a good version is condemned by the concurrent tests.
pub const FALSE_ALARM: f64 = 0.002;

/// Informative windows in a move for which the chance is stated.
pub const HORIZON: f64 = 10_000.0;

/// Largest value that a concurrent test keeps, so that evidence of a fault that has passed fades.
const MAX_CONCURRENT: f64 = 1e9;

/// Largest value that a reference test keeps.
const MAX_REFERENCE: f64 = 2e5;

/// Calls and how many of them were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// Calls.
    pub calls: f64,
    /// Bad calls among them.
    pub bad: f64,
}

/// Shiryaev-Roberts statistics by alternative.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SequentialTest {
    /// Statistic of each ratio.
    values: [f64; RATIOS.len()],
}

/// A test on all hosts and one without each of them.
#[derive(Clone, Debug, Default)]
pub struct LeaveOneOut {
    /// Test on all hosts.
    all: SequentialTest,
    /// Tests without one host, sorted by host.
    without: Vec<(Name, SequentialTest)>,
}

impl CallCounts {
    /// Sum.
    pub fn plus(self, other: Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            bad: self.bad + other.bad,
        }
    }

    /// Difference.
    fn minus(self, other: Self) -> Self {
        Self {
            calls: self.calls - other.calls,
            bad: self.bad - other.bad,
        }
    }

    /// Both parts scaled.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            calls: self.calls * factor,
            bad: self.bad * factor,
        }
    }

    /// Part of the calls that were bad.
    pub fn rate(self) -> f64 {
        if self.calls > 0.0 {
            self.bad / self.calls
        } else {
            0.0
        }
    }
}

impl SequentialTest {
    /// Updates with one window of both versions.
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

    /// Updates with one window of the new version against a rate.
    fn compare_to_rate(&mut self, new: CallCounts, rate: f64) {
        if new.calls <= 0.0 {
            return;
        }
        self.update(MAX_REFERENCE, |ratio| {
            let alternative = 1.0 - (1.0 - rate).powf(ratio);
            let good = (new.calls - new.bad).max(0.0);
            new.bad * (alternative / rate).ln() + good * ((1.0 - alternative) / (1.0 - rate)).ln()
        });
    }

    /// One step of the recursion.
    fn update(&mut self, limit: f64, log_ratio: impl Fn(f64) -> f64) {
        for (value, ratio) in self.values.iter_mut().zip(RATIOS) {
            let next = (*value + 1.0) * log_ratio(ratio).clamp(-200.0, 200.0).exp();
            *value = next.min(limit);
        }
    }

    /// Logarithm of the statistic averaged over the alternatives.
    fn level(&self) -> f64 {
        (self.values.iter().sum::<f64>() / RATIOS.len() as f64)
            .max(f64::MIN_POSITIVE)
            .ln()
    }
}

impl LeaveOneOut {
    /// Updates with one window: the new version's counts by host, sorted, and the old version's.
    pub fn compare(&mut self, hosts: &[(Name, CallCounts)], old: CallCounts, tolerated: f64) {
        self.update_all(hosts, |test, new| test.compare(new, old, tolerated));
    }

    /// Updates with one window of the new version against a rate.
    pub fn compare_to_rate(&mut self, hosts: &[(Name, CallCounts)], rate: f64) {
        self.update_all(hosts, |test, new| test.compare_to_rate(new, rate));
    }

    /// Updates every test with the counts of the hosts that it takes in.
    fn update_all(
        &mut self,
        hosts: &[(Name, CallCounts)],
        update: impl Fn(&mut SequentialTest, CallCounts),
    ) {
        for (host, _) in hosts {
            // Until a host has calls, the test without it equals the test on all.
            if let Err(index) = self.without.binary_search_by(|(h, _)| h.cmp(host)) {
                self.without.insert(index, (host.clone(), self.all));
            }
        }
        let total = hosts
            .iter()
            .fold(CallCounts::default(), |sum, (_, count)| sum.plus(*count));
        update(&mut self.all, total);
        for (host, test) in &mut self.without {
            let own = hosts
                .binary_search_by(|(h, _)| h.cmp(host))
                .map_or(CallCounts::default(), |index| hosts[index].1);
            update(test, total.minus(own));
        }
    }

    /// Level of the evidence on all hosts.
    pub fn level(&self) -> f64 {
        self.all.level()
    }

    /// Level that judges the version: on all hosts if it has a single server, else the weakest of
    /// those without one host.
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
