//! Lease of the move controller, ordered by the log.
//!
//! A claim names the term that it replaces; the first such claim in log order wins and every later
//! one is refused. Decisions carry the term as a fencing token, so a holder that was paused past
//! its lease is fenced by the order of records and not by any clock. Renewals have a stream of
//! their own that only the candidates read: they do not take part in the order, and other nodes do
//! not need them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fold::{Outcome, Refusal};
use super::record::{Claim, Renewal};
use crate::clock::Time;
use crate::name::Name;

/// Interval at which the holder renews the lease.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Time without a renewal after which other nodes may claim the lease.
pub const LEASE_TIMEOUT: Duration = Duration::from_secs(7);

/// Lease in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Term in force, 0 before the first claim.
    pub term: u64,
    /// Host that holds the lease, `None` before the first claim.
    pub holder: Option<Name>,
}

impl Lease {
    /// Applies a claim; refuses one that replaces another term than the current one.
    pub fn claim(&mut self, claim: &Claim) -> Outcome {
        if claim.replaces != self.term {
            let refusal = Refusal::Fenced {
                term: claim.replaces,
                current: self.term,
            };
            return Outcome::Refused(refusal);
        }
        self.term += 1;
        self.holder = Some(claim.host.clone());
        Outcome::Accepted
    }
}

/// Decides when this node claims or renews the lease.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    /// This host.
    host: Name,
    /// Last term seen in the fold.
    term: u64,
    /// Local time at which the last renewal or new term was seen.
    renewed_at: Time,
    /// Delay of this node's next claim beyond the timeout, which avoids concurrent claims.
    delay: Option<Duration>,
    /// Time at which this node last appended a claim or renewal.
    appended_at: Option<Time>,
}

/// Action that the lease manager asks of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing to do.
    Wait,
    /// Append a claim that replaces this term.
    Claim {
        /// Term to replace.
        replaces: u64,
    },
    /// Append a renewal.
    Renew {
        /// Term held.
        term: u64,
    },
}

impl LeaseManager {
    /// Lease manager of a host.
    pub fn new(host: Name, now: Time) -> Self {
        Self {
            host,
            term: 0,
            renewed_at: now,
            delay: None,
            appended_at: None,
        }
    }

    /// Whether this host holds the lease as far as the fold knows.
    pub fn is_holder(&self, lease: &Lease) -> bool {
        lease.holder.as_ref() == Some(&self.host)
    }

    /// Handles a renewal read from the log.
    pub fn on_renewal(&mut self, renewal: &Renewal, now: Time) {
        if renewal.term >= self.term {
            self.renewed_at = now;
            self.delay = None;
        }
    }

    /// Decides what to append now.
    ///
    /// `rank` is this host's position among the candidates, 0 for the preferred one; `jitter` lies
    /// in `0.0..1.0`.
    pub fn poll(&mut self, lease: &Lease, now: Time, rank: usize, jitter: f64) -> LeaseAction {
        if lease.term != self.term {
            self.term = lease.term;
            self.renewed_at = now;
            self.delay = None;
        }
        let delay = *self
            .delay
            .get_or_insert_with(|| RENEW_INTERVAL.mul_f64(rank as f64 + jitter.clamp(0.0, 1.0)));
        let is_early = self
            .appended_at
            .is_some_and(|appended| now.since(appended) < RENEW_INTERVAL);
        if is_early {
            return LeaseAction::Wait;
        }
        if self.is_holder(lease) {
            self.appended_at = Some(now);
            return LeaseAction::Renew { term: lease.term };
        }
        let timeout = if lease.term == 0 {
            Duration::ZERO
        } else {
            LEASE_TIMEOUT
        };
        if now.since(self.renewed_at) < timeout + delay {
            return LeaseAction::Wait;
        }
        self.appended_at = Some(now);
        LeaseAction::Claim {
            replaces: lease.term,
        }
    }
}
