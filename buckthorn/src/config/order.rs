//! Operators' orders as a node holds them: the policy, moves of services, failure domains out of
//! service, and the decisions on moves that the mesh has published.
//!
//! Orders come keyed, each with its offset in the platform's log. A key only moves forward, so
//! repeated and late reads are harmless, and the state never goes back to an older version.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::clock::Time;
use crate::name::Name;

use super::policy::Policy;

/// What operators ask for.
#[derive(Clone, Debug)]
pub enum Order {
    /// Put a policy in force.
    Policy(Arc<Policy>),
    /// Move a service's traffic to a version.
    Move {
        /// Service.
        service: Name,
        /// Version to move to.
        version: Name,
        /// Time in which the move is to be completed.
        window: Duration,
    },
    /// Forget the move of a service.
    Withdraw {
        /// Service.
        service: Name,
    },
    /// Take a failure domain out of service or back.
    Domain {
        /// Failure domain.
        name: Name,
        /// Whether it is out.
        is_out: bool,
    },
}

/// Order with its place in the log.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Offset.
    pub offset: u64,
    /// Order.
    pub order: Order,
}

/// Orders read together.
#[derive(Clone, Debug)]
pub struct OrderBatch {
    /// Whether these are the newest orders of all keys, so that what is missing was withdrawn.
    pub is_complete: bool,
    /// Offset up to which withdrawn keys are known to be missing.
    pub end: u64,
    /// Whether the read before had failed, so that other nodes may not have these yet.
    pub follows_failure: bool,
    /// Orders.
    pub entries: Vec<Entry>,
}

/// How far a move is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Under way.
    Running,
    /// The new version has taken over.
    Completed,
    /// The new version was taken back.
    RolledBack,
}

/// Published decision on a move.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Decision {
    /// Service.
    pub service: Name,
    /// Version that it moves to.
    pub version: Name,
    /// Offset of the order.
    pub order: u64,
    /// How far the move is.
    pub phase: Phase,
}

/// Move that was ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Service.
    pub service: Name,
    /// Version to move to.
    pub version: Name,
    /// Time in which it is to be completed.
    pub window: Duration,
    /// Offset of the order; identifies the move.
    pub order: u64,
    /// When the order was given, as far as this node knows.
    pub started: Time,
    /// Share of the new version in thousandths.
    pub share: u16,
    /// How far it is.
    pub phase: Phase,
}

/// Failure domain that operators have named.
#[derive(Clone, Debug)]
struct Domain {
    /// Name.
    name: Name,
    /// Offset of the order that said so last.
    offset: u64,
    /// Whether it is out.
    is_out: bool,
}

/// Orders and decisions that are in force.
#[derive(Debug, Default)]
pub struct Orders {
    /// Policy with the offset of its order.
    policy: Option<(u64, Arc<Policy>)>,
    /// Moves, sorted by service.
    moves: Vec<Move>,
    /// Failure domains, sorted by name.
    domains: Vec<Domain>,
    /// Published decisions, sorted by service.
    decisions: Vec<Decision>,
    /// Offset after the last order read.
    next: u64,
    /// Number of changes.
    revision: u64,
}

impl Orders {
    /// Policy in force.
    pub fn policy(&self) -> Option<&Arc<Policy>> {
        self.policy.as_ref().map(|(_, policy)| policy)
    }

    /// Policy in force with the offset of its order.
    pub fn policy_order(&self) -> Option<(u64, &Arc<Policy>)> {
        self.policy
            .as_ref()
            .map(|(offset, policy)| (*offset, policy))
    }

    /// Failure domains that operators have named: offset of the last order, name, whether out.
    pub fn domains(&self) -> impl Iterator<Item = (u64, &Name, bool)> {
        let domains = self.domains.iter();
        domains.map(|domain| (domain.offset, &domain.name, domain.is_out))
    }

    /// Moves, sorted by service.
    pub fn moves(&self) -> &[Move] {
        &self.moves
    }

    /// Moves that may change their share or phase; call [`Self::bump_revision`] after a change.
    pub fn moves_mut(&mut self) -> &mut [Move] {
        &mut self.moves
    }

    /// Move of a service.
    pub fn find_move(&self, service: &str) -> Option<&Move> {
        let index = self.index(service).ok()?;
        Some(&self.moves[index])
    }

    /// Failure domains out of service, sorted.
    pub fn domains_out(&self) -> Vec<Name> {
        let out = self.domains.iter().filter(|domain| domain.is_out);
        out.map(|domain| domain.name.clone()).collect()
    }

    /// Offset after the last order read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Counts a change made through [`Self::moves_mut`].
    pub fn bump_revision(&mut self) {
        self.revision += 1;
    }

    /// Takes orders and tells whether anything changed.
    pub fn apply(&mut self, feed: &OrderBatch, now: Time) -> bool {
        let before = self.revision;
        for Entry { offset, order } in &feed.entries {
            match order {
                Order::Policy(policy) => self.put_policy(*offset, policy),
                Order::Move {
                    service,
                    version,
                    window,
                } => self.put_move(*offset, (service, version, *window), now),
                Order::Withdraw { service } => self.withdraw(*offset, service),
                Order::Domain { name, is_out } => self.put_domain(*offset, name, *is_out),
            }
        }
        if feed.is_complete {
            self.drop_missing(feed);
        }
        self.next = self.next.max(feed.end);
        self.revision != before
    }

    /// Takes published decisions and tells whether anything changed.
    pub fn apply_decisions(&mut self, decisions: &[Decision]) -> bool {
        let before = self.revision;
        for decision in decisions {
            let key = &decision.service;
            match self.decisions.binary_search_by(|d| d.service.cmp(key)) {
                Ok(index) => self.decisions[index] = decision.clone(),
                Err(index) => self.decisions.insert(index, decision.clone()),
            }
            self.settle(&decision.service.clone());
        }
        self.revision != before
    }

    /// Ends an open move on what other nodes said, ahead of the published decision.
    pub fn end_move(&mut self, service: &str, order: u64, phase: Phase) -> bool {
        let Ok(index) = self.index(service) else {
            return false;
        };
        let entry = &mut self.moves[index];
        if entry.order != order || entry.phase != Phase::Running || phase == Phase::Running {
            return false;
        }
        entry.phase = phase;
        self.revision += 1;
        true
    }

    /// Place of a service's move.
    fn index(&self, service: &str) -> Result<usize, usize> {
        self.moves.binary_search_by(|m| (*m.service).cmp(service))
    }

    /// Takes a policy that is newer by its offset and its version.
    fn put_policy(&mut self, offset: u64, policy: &Arc<Policy>) {
        let is_newer = self
            .policy
            .as_ref()
            .is_none_or(|(held, old)| offset > *held && policy.version > old.version);
        if is_newer {
            self.policy = Some((offset, policy.clone()));
            self.revision += 1;
        }
    }

    /// Takes a move that was ordered later than the one held.
    fn put_move(&mut self, offset: u64, order: (&Name, &Name, Duration), now: Time) {
        let (service, version, window) = order;
        let entry = Move {
            service: service.clone(),
            version: version.clone(),
            window,
            order: offset,
            started: now,
            share: 0,
            phase: Phase::Running,
        };
        match self.index(service) {
            Ok(index) if self.moves[index].order >= offset => return,
            Ok(index) => self.moves[index] = entry,
            Err(index) => self.moves.insert(index, entry),
        }
        self.revision += 1;
        self.settle(service);
    }

    /// Forgets a move that was ordered earlier.
    fn withdraw(&mut self, offset: u64, service: &Name) {
        if let Ok(index) = self.index(service)
            && self.moves[index].order < offset
        {
            self.moves.remove(index);
            self.revision += 1;
        }
    }

    /// Takes the later word on a failure domain.
    fn put_domain(&mut self, offset: u64, name: &Name, is_out: bool) {
        let domain = Domain {
            name: name.clone(),
            offset,
            is_out,
        };
        match self.domains.binary_search_by(|d| d.name.cmp(name)) {
            Ok(index) if self.domains[index].offset >= offset => return,
            Ok(index) => self.domains[index] = domain,
            Err(index) => self.domains.insert(index, domain),
        }
        self.revision += 1;
    }

    /// Withdraws what a complete feed no longer names.
    fn drop_missing(&mut self, feed: &OrderBatch) {
        for index in 0..self.domains.len() {
            let domain = &mut self.domains[index];
            let is_named = feed.entries.iter().any(
                |entry| matches!(&entry.order, Order::Domain { name, .. } if *name == domain.name),
            );
            if domain.is_out && domain.offset < feed.end && !is_named {
                domain.is_out = false;
                self.revision += 1;
            }
        }
        let before = self.moves.len();
        self.moves.retain(|m| {
            let is_named = feed.entries.iter().any(|entry| {
                matches!(&entry.order, Order::Move { service, .. } if *service == m.service)
            });
            is_named || m.order >= feed.end
        });
        self.revision += (before - self.moves.len()) as u64;
    }

    /// Brings a move to the phase that was published for it.
    fn settle(&mut self, service: &Name) {
        let Ok(held) = self.decisions.binary_search_by(|d| d.service.cmp(service)) else {
            return;
        };
        let decision = &self.decisions[held];
        if let Ok(index) = self.moves.binary_search_by(|m| m.service.cmp(service)) {
            let entry = &mut self.moves[index];
            if entry.order == decision.order && entry.phase != decision.phase {
                entry.phase = decision.phase;
                self.revision += 1;
            }
        }
    }

    /// Published decisions, sorted by service.
    pub fn decisions(&self) -> &[Decision] {
        &self.decisions
    }

    /// Mark that differs, but for a chance in 2^64, when the decisions do.
    pub fn decisions_hash(&self) -> u64 {
        let mut hasher = Xxh3Default::new();
        self.decisions.hash(&mut hasher);
        hasher.finish()
    }

    /// Published decision on a service's last move.
    pub fn decision(&self, service: &str) -> Option<&Decision> {
        let index = self
            .decisions
            .binary_search_by(|d| (*d.service).cmp(service))
            .ok()?;
        Some(&self.decisions[index])
    }
}
