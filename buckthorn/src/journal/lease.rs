//! Lease of the move controller, ordered by the log.
//!
//! A claim names the term it replaces; the first such claim in log order wins, every later one is
//! refused. Decisions carry the term, so a holder that was paused past its lease is fenced by the
//! order of records and not by any clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fold::{Outcome, Refusal};
use super::record::{Claim, Renewal};
use crate::clock::Time;
use crate::name::Name;

/// Interval between renewals of the holder.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Silence of the holder after which others may claim.
pub const LEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Lease in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Term in force, zero before the first claim.
    pub term: u64,
    /// Host that holds it.
    pub holder: Option<Name>,
    /// Offset of the last claim or renewal.
    pub renewed: u64,
}

impl Lease {
    /// Applies a claim.
    pub fn claim(&mut self, claim: &Claim, offset: u64) -> Outcome {
        if claim.replaces != self.term {
            let refusal = Refusal::Fenced {
                term: claim.replaces,
                current: self.term,
            };
            return Outcome::Refused(refusal);
        }
        self.term += 1;
        self.holder = Some(claim.host.clone());
        self.renewed = offset;
        Outcome::Noted
    }

    /// Applies a renewal.
    pub fn renew(&mut self, renewal: &Renewal, offset: u64) -> Outcome {
        if renewal.term != self.term {
            let refusal = Refusal::Fenced {
                term: renewal.term,
                current: self.term,
            };
            return Outcome::Refused(refusal);
        }
        self.renewed = offset;
        Outcome::Noted
    }
}

/// Decides when this node claims or renews.
#[derive(Clone, Debug)]
pub struct Keeper {
    /// This host.
    host: Name,
    /// Last `renewed` offset seen.
    seen: u64,
    /// When it was first seen here.
    seen_at: Time,
    /// Delay of this node's next claim beyond the timeout, against claims that cross.
    delay: Duration,
    /// When this node last appended a claim or renewal.
    appended_at: Option<Time>,
}

/// What the keeper asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
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

impl Keeper {
    /// Keeper of a host.
    pub fn new(host: Name, now: Time) -> Self {
        Self {
            host,
            seen: 0,
            seen_at: now,
            delay: Duration::ZERO,
            appended_at: None,
        }
    }

    /// Whether this host holds the lease as far as the fold knows.
    pub fn is_holder(&self, lease: &Lease) -> bool {
        lease.holder.as_ref() == Some(&self.host)
    }

    /// Decides what to append now.
    ///
    /// `rank` is this host's place among the candidates, zero for the preferred one; `jitter` lies
    /// in [0, 1).
    pub fn poll(&mut self, lease: &Lease, now: Time, rank: usize, jitter: f64) -> Next {
        if lease.renewed != self.seen || (lease.term == 0 && self.delay.is_zero()) {
            self.seen = lease.renewed;
            self.seen_at = now;
            self.delay = RENEW_INTERVAL.mul_f64(rank as f64 + jitter.max(0.01));
        }
        let interval_over = self
            .appended_at
            .is_none_or(|appended| now.since(appended) >= RENEW_INTERVAL);
        if !interval_over {
            return Next::Wait;
        }
        if self.is_holder(lease) {
            self.appended_at = Some(now);
            return Next::Renew { term: lease.term };
        }
        let patience = if lease.term == 0 {
            Duration::ZERO
        } else {
            LEASE_TIMEOUT
        };
        if now.since(self.seen_at) < patience + self.delay {
            return Next::Wait;
        }
        self.appended_at = Some(now);
        Next::Claim {
            replaces: lease.term,
        }
    }
}
