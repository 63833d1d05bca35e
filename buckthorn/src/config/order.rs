//! Operators' orders in force at a node: the policy, moves of services, failure domains out of
//! service, and the decisions on moves that the mesh has published.
//!
//! Orders are keyed, and each has its offset in the platform's log. An order replaces another of
//! the same key only if its offset is higher, so repeated and late reads are harmless and the state
//! never returns to an older version.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::clock::Time;
use crate::name::Name;

use super::policy::Policy;

/// Order published by operators.
#[derive(Clone, Debug)]
pub enum Order {
    /// Replaces the policy.
    Policy(Arc<Policy>),
    /// Moves a service's traffic to a version.
    Move {
        /// Name of the service in the policy.
        service: Name,
        /// Version to move to.
        version: Name,
        /// Time within which the move is to be completed.
        window: Duration,
    },
    /// Withdraws the move of a service.
    Withdraw {
        /// Name of the service in the policy.
        service: Name,
    },
    /// Takes a failure domain out of service or brings it back.
    Domain {
        /// Name of the failure domain.
        name: Name,
        /// Whether it is out of service.
        is_out: bool,
    },
}

/// Order with its offset in the log.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Offset in the log.
    pub offset: u64,
    /// The order itself.
    pub order: Order,
}

/// Orders that were read or received together.
#[derive(Clone, Debug)]
pub struct OrderBatch {
    /// Whether the batch holds the newest order of every key, so that missing keys were withdrawn.
    pub is_complete: bool,
    /// Offset after the last order that the batch covers; a key that a complete batch lacks is
    /// withdrawn only if its order has a lower offset.
    pub end: u64,
    /// Whether the previous read failed, so that other nodes may lack these orders.
    pub follows_failure: bool,
    /// Orders with their offsets.
    pub entries: Vec<Entry>,
}

/// Phase of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Traffic is being moved.
    Running,
    /// The new version serves all traffic.
    Completed,
    /// Traffic was returned to the old version.
    RolledBack,
}

/// Published decision on a move.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Decision {
    /// Name of the service in the policy.
    pub service: Name,
    /// Version that it moves to.
    pub version: Name,
    /// Offset of the order.
    pub order: u64,
    /// Phase that was decided.
    pub phase: Phase,
}

/// Move that was ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Name of the service in the policy.
    pub service: Name,
    /// Version to move to.
    pub version: Name,
    /// Time within which it is to be completed.
    pub window: Duration,
    /// Offset of the order; identifies the move.
    pub order: u64,
    /// Time at which this node first read or received the order.
    pub started: Time,
    /// Share of the new version in thousandths.
    pub share: u16,
    /// Phase, as decided here, by other nodes or by a published decision.
    pub phase: Phase,
}

/// Failure domain that operators have named.
#[derive(Clone, Debug)]
struct Domain {
    /// Name of the failure domain.
    name: Name,
    /// Offset of the newest order about it.
    offset: u64,
    /// Whether it is out of service.
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
    /// Number of changes so far.
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

    /// Moves, for changes of their share or phase; call [`Self::bump_revision`] after a change.
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

    /// Records a change made through [`Self::moves_mut`].
    pub fn bump_revision(&mut self) {
        self.revision += 1;
    }

    /// Applies orders and returns whether anything changed.
    pub fn apply(&mut self, batch: &OrderBatch, now: Time) -> bool {
        let before = self.revision;
        for Entry { offset, order } in &batch.entries {
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
        if batch.is_complete {
            self.drop_missing(batch);
        }
        self.next = self.next.max(batch.end);
        self.revision != before
    }

    /// Applies published decisions and returns whether anything changed.
    pub fn apply_decisions(&mut self, decisions: &[Decision]) -> bool {
        let before = self.revision;
        for decision in decisions {
            let key = &decision.service;
            match self.decisions.binary_search_by(|d| d.service.cmp(key)) {
                Ok(index) => self.decisions[index] = decision.clone(),
                Err(index) => self.decisions.insert(index, decision.clone()),
            }
            self.apply_decision(&decision.service.clone());
        }
        self.revision != before
    }

    /// Ends an open move on the findings of other nodes, ahead of the published decision. Returns
    /// whether the move ended.
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

    /// Index of a service's move, or the index at which to insert it.
    fn index(&self, service: &str) -> Result<usize, usize> {
        self.moves.binary_search_by(|m| (*m.service).cmp(service))
    }

    /// Replaces the policy if both the offset and the version are newer.
    fn put_policy(&mut self, offset: u64, policy: &Arc<Policy>) {
        let is_newer = self
            .policy
            .as_ref()
            .is_none_or(|(old_offset, old)| offset > *old_offset && policy.version > old.version);
        if is_newer {
            self.policy = Some((offset, policy.clone()));
            self.revision += 1;
        }
    }

    /// Replaces a service's move if it was ordered later.
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
        self.apply_decision(service);
    }

    /// Removes a service's move if it was ordered earlier.
    fn withdraw(&mut self, offset: u64, service: &Name) {
        if let Ok(index) = self.index(service)
            && self.moves[index].order < offset
        {
            self.moves.remove(index);
            self.revision += 1;
        }
    }

    /// Sets a failure domain's state if the order is newer than the last one about it. A node that
    /// learned of a withdrawal only because the order is missing from a complete batch has no newer
    /// offset for it, and sends the domain as in service under the offset of that order.
    fn put_domain(&mut self, offset: u64, name: &Name, is_out: bool) {
        let domain = Domain {
            name: name.clone(),
            offset,
            is_out,
        };
        match self.domains.binary_search_by(|d| d.name.cmp(name)) {
            Ok(index) => {
                let held = &self.domains[index];
                let is_withdrawal = offset == held.offset && held.is_out && !is_out;
                if held.offset >= offset && !is_withdrawal {
                    return;
                }
                self.domains[index] = domain;
            }
            Err(index) => self.domains.insert(index, domain),
        }
        self.revision += 1;
    }

    /// Withdraws orders that a complete batch no longer contains.
    fn drop_missing(&mut self, batch: &OrderBatch) {
        for index in 0..self.domains.len() {
            let domain = &mut self.domains[index];
            let is_named = batch.entries.iter().any(
                |entry| matches!(&entry.order, Order::Domain { name, .. } if *name == domain.name),
            );
            if domain.is_out && domain.offset < batch.end && !is_named {
                domain.is_out = false;
                self.revision += 1;
            }
        }
        let before = self.moves.len();
        self.moves.retain(|m| {
            let is_named = batch.entries.iter().any(|entry| {
                matches!(&entry.order, Order::Move { service, .. } if *service == m.service)
            });
            is_named || m.order >= batch.end
        });
        self.revision += (before - self.moves.len()) as u64;
    }

    /// Sets a service's move to the phase that was published for it.
    fn apply_decision(&mut self, service: &Name) {
        let Ok(index) = self.decisions.binary_search_by(|d| d.service.cmp(service)) else {
            return;
        };
        let decision = &self.decisions[index];
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

    /// Hash of the decisions; collides with probability 2^-64.
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
