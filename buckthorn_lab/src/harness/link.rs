//! Simulated links between hosts, and from hosts to the log.

use std::time::Duration;

use buckthorn::kernel::Identity;
use buckthorn::name::Name;
use rand::Rng;

/// Message loss and partitions in force.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Pairs of failure domains that cannot reach each other.
    pub domain_partitions: Vec<(Name, Name)>,
    /// Failure domains that cannot reach the log.
    pub log_partitions: Vec<Name>,
    /// Pairs of regions that cannot reach each other.
    pub region_partitions: Vec<(Name, Name)>,
    /// Hosts cut off from all others and from the log.
    pub isolated_hosts: Vec<Name>,
}

impl Links {
    /// Partitions a failure domain from others.
    pub fn partition(&mut self, failure_domain: &str, others: impl IntoIterator<Item = Name>) {
        for other in others {
            if *other != *failure_domain {
                self.domain_partitions.push((failure_domain.into(), other));
            }
        }
    }

    /// Removes every partition.
    pub fn heal(&mut self) {
        self.domain_partitions.clear();
        self.log_partitions.clear();
        self.region_partitions.clear();
        self.isolated_hosts.clear();
    }

    /// Returns whether no partition separates two hosts.
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

    /// Returns whether no partition separates a host from the log.
    pub fn can_reach_log(&self, from: &Identity) -> bool {
        !self.log_partitions.contains(&from.failure_domain)
            && !self.isolated_hosts.contains(&from.host)
    }

    /// Returns the random delay of one message; it is longer between failure domains and longest
    /// between regions.
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
