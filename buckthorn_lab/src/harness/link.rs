//! Fake links between hosts, and from hosts to the log.

use std::time::Duration;

use buckthorn::kernel::Identity;
use buckthorn::name::Name;
use rand::Rng;

/// Links of one run.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Chance that a message is lost.
    pub loss: f64,
    /// Pairs of failure domains that cannot reach each other.
    pub cuts: Vec<(Name, Name)>,
    /// Failure domains that cannot reach the log.
    pub log_cuts: Vec<Name>,
    /// Pairs of regions that cannot reach each other.
    pub region_cuts: Vec<(Name, Name)>,
    /// Hosts that nothing reaches and that reach nothing.
    pub dark: Vec<Name>,
}

impl Links {
    /// Cuts a failure domain off from others.
    pub fn cut(&mut self, failure_domain: &str, others: impl IntoIterator<Item = Name>) {
        for other in others {
            if *other != *failure_domain {
                self.cuts.push((failure_domain.into(), other));
            }
        }
    }

    /// Mends every cut.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.log_cuts.clear();
        self.region_cuts.clear();
        self.dark.clear();
    }

    /// Whether two hosts can reach each other.
    pub fn is_open(&self, from: &Identity, to: &Identity) -> bool {
        let is_between = |cuts: &[(Name, Name)], a: &Name, b: &Name| {
            cuts.iter()
                .any(|(x, y)| (x == a && y == b) || (x == b && y == a))
        };
        !is_between(&self.cuts, &from.failure_domain, &to.failure_domain)
            && !is_between(&self.region_cuts, &from.region, &to.region)
            && !self.dark.contains(&from.host)
            && !self.dark.contains(&to.host)
    }

    /// Whether a host can reach the log.
    pub fn reaches_log(&self, from: &Identity) -> bool {
        !self.log_cuts.contains(&from.failure_domain) && !self.dark.contains(&from.host)
    }

    /// Time that a message takes.
    pub fn delay(&self, from: &Identity, to: &Identity, rng: &mut impl Rng) -> Duration {
        let base = if from.region != to.region {
            Duration::from_millis(30)
        } else if from.failure_domain != to.failure_domain {
            Duration::from_micros(1_500)
        } else {
            Duration::from_micros(300)
        };
        base.mul_f64(rng.random_range(1.0..2.0))
    }
}
