//! Lease of the move controller, ordered by the log.
//!
//! A claim names the term it replaces; the first such claim in log order wins, every later one is
//! refused. Decisions carry the term, so a holder that was paused past its lease is fenced by the
//! order of records and not by any clock. Renewals go to a stream of their own, which only the
//! candidates read: they order nothing, and the other nodes need not be told of them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fold::{Outcome, Refusal};
use super::record::{Claim, Renewal};
use crate::clock::Time;
use crate::name::Name;

/// Interval between renewals of the holder.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Silence of the holder after which others may claim.
pub const LEASE_TIMEOUT: Duration = Duration::from_secs(7);

/// Lease in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Term in force, zero before the first claim.
    pub term: u64,
    /// Host that holds it.
    pub holder: Option<Name>,
}

impl Lease {
    /// Applies a claim.
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

/// Decides when this node claims or renews.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    /// This host.
    host: Name,
    /// Last term seen.
    term: u64,
    /// When the holder last gave a sign of life, as seen here.
    heard_at: Time,
    /// Delay of this node's next claim beyond the timeout, against claims that cross.
    delay: Option<Duration>,
    /// When this node last appended a claim or renewal.
    appended_at: Option<Time>,
}

/// What the keeper asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing.
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
    /// Keeper of a host.
    pub fn new(host: Name, now: Time) -> Self {
        Self {
            host,
            term: 0,
            heard_at: now,
            delay: None,
            appended_at: None,
        }
    }

    /// Whether this host holds the lease as far as the fold knows.
    pub fn is_holder(&self, lease: &Lease) -> bool {
        lease.holder.as_ref() == Some(&self.host)
    }

    /// Notes a renewal read from the log.
    pub fn on_renewal(&mut self, renewal: &Renewal, now: Time) {
        if renewal.term >= self.term {
            self.heard_at = now;
            self.delay = None;
        }
    }

    /// Decides what to append now.
    ///
    /// `rank` is this host's place among the candidates, zero for the preferred one; `jitter` lies
    /// in `0.0..1.0`.
    pub fn poll(&mut self, lease: &Lease, now: Time, rank: usize, jitter: f64) -> LeaseAction {
        if lease.term != self.term {
            self.term = lease.term;
            self.heard_at = now;
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
        let patience = if lease.term == 0 {
            Duration::ZERO
        } else {
            LEASE_TIMEOUT
        };
        if now.since(self.heard_at) < patience + delay {
            return LeaseAction::Wait;
        }
        self.appended_at = Some(now);
        LeaseAction::Claim {
            replaces: lease.term,
        }
    }
}
