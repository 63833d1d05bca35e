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
    pub domain_partitions: Vec<(Name, Name)>,
    /// Failure domains that cannot reach the log.
    pub log_partitions: Vec<Name>,
    /// Pairs of regions that cannot reach each other.
    pub region_partitions: Vec<(Name, Name)>,
    /// Hosts that nothing reaches and that reach nothing.
    pub isolated_hosts: Vec<Name>,
}

impl Links {
    /// Cuts a failure domain off from others.
    pub fn partition(&mut self, failure_domain: &str, others: impl IntoIterator<Item = Name>) {
        for other in others {
            if *other != *failure_domain {
                self.domain_partitions.push((failure_domain.into(), other));
            }
        }
    }

    /// Mends every cut.
    pub fn heal(&mut self) {
        self.domain_partitions.clear();
        self.log_partitions.clear();
        self.region_partitions.clear();
        self.isolated_hosts.clear();
    }

    /// Whether two hosts can reach each other.
    pub fn can_reach(&self, from: &Identity, to: &Identity) -> bool {
        let separates = |pairs: &[(Name, Name)], a: &Name, b: &Name| {
            pairs
                .iter()
                .any(|(x, y)| (x == a && y == b) || (x == b && y == a))
        };
        !separates(
            &self.domain_partitions,
            &from.failure_domain,
            &to.failure_domain,
        ) && !separates(&self.region_partitions, &from.region, &to.region)
            && !self.isolated_hosts.contains(&from.host)
            && !self.isolated_hosts.contains(&to.host)
    }

    /// Whether a host can reach the log.
    pub fn can_reach_log(&self, from: &Identity) -> bool {
        !self.log_partitions.contains(&from.failure_domain)
            && !self.isolated_hosts.contains(&from.host)
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
