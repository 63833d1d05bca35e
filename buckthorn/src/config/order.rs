//! Operators' orders in force at a node: the policy, moves of services, failure domains out of
//! service, and the decisions on moves that the mesh has published.
//!
//! Orders are keyed, and each has its position in the platform's log. An order replaces another of
//! the same key only if its position is higher, so repeated and late reads are harmless and the
//! state never returns to an older version.
//!
//! A log that was restored from an older copy has lost orders that are in force here, and may return
//! older ones in their place, until the operators have written them again. Therefore policies are
//! ordered by their versions across eras, and other orders of the earlier era stay in force for a
//! grace period unless the log has a newer one. An order that is written again, or that the copy
//! kept, is the same order under a new position: a move keeps its progress.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::clock::Time;
use crate::name::Name;

use super::policy::Policy;
use super::position::Position;
use super::verdict::{Verdict, Verdicts};

/// Time after a restore of the log within which operators write again what it lost. Orders that have
/// to be in force within 5 s still are when they replace one that is kept for so long.
pub const RESTORE_GRACE: Duration = Duration::from_secs(2);

/// Maximum versions that one decision names as having failed.
pub const MAX_FAULTY: usize = 8;

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

/// Order with its position in the log.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Position in the log.
    pub position: Position,
    /// The order itself.
    pub order: Order,
}

/// Orders that were read or received together.
#[derive(Clone, Debug)]
pub struct OrderBatch {
    /// Whether the batch holds the newest order of every key, so that missing keys were withdrawn.
    pub is_complete: bool,
    /// Position after the last order that the batch covers; a key that a complete batch lacks is
    /// withdrawn only if its order has a lower position in the same era.
    pub end: Position,
    /// Whether the previous read failed, so that other nodes may lack these orders.
    pub follows_failure: bool,
    /// Orders with their positions.
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
    /// Position of the order.
    pub order: Position,
    /// Phase that was decided.
    pub phase: Phase,
    /// Versions of the service that failed under earlier orders, sorted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faulty: Vec<Name>,
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
    /// Position of the order; identifies the move.
    pub order: Position,
    /// Position of the same order in an earlier era.
    pub previous: Option<Position>,
    /// Time at which this node first read or received the order.
    pub started: Time,
    /// Share of the new version in thousandths.
    pub share: u16,
    /// Phase, as decided here, by other nodes or by a published decision.
    pub phase: Phase,
}

impl Move {
    /// Whether the move is that of the order at a position.
    pub fn is_of(&self, order: Position) -> bool {
        self.order == order || self.previous == Some(order)
    }
}

/// Failure domain that operators have named.
#[derive(Clone, Debug)]
struct Domain {
    /// Name of the failure domain.
    name: Name,
    /// Position of the newest order about it.
    position: Position,
    /// Whether it is out of service.
    is_out: bool,
}

/// How an order that was read or received relates to the one that is in force for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relation {
    /// It is the same order, or an older one.
    Old,
    /// It is the same order in a later era.
    Moved,
    /// It replaces the one in force.
    Newer,
    /// It is from a later era, and either older, kept by the copy, or written since the restore.
    Unclear,
}

/// Orders and decisions that are in force.
#[derive(Debug, Default)]
pub struct Orders {
    /// Policy with the position of its order.
    policy: Option<(Position, Arc<Policy>)>,
    /// Moves, sorted by service.
    moves: Vec<Move>,
    /// Failure domains, sorted by name.
    domains: Vec<Domain>,
    /// Published decisions, sorted by service.
    decisions: Vec<Decision>,
    /// Versions that did not complete their last move.
    verdicts: Verdicts,
    /// Position after the last order read.
    next: Position,
    /// Time at which this node learned that the log was restored, until the grace period is over.
    restored_at: Option<Time>,
    /// Orders of the era that take effect after the grace period, if nothing newer has.
    deferred: Vec<Entry>,
    /// Number of changes so far.
    revision: u64,
}

impl Orders {
    /// Policy in force.
    pub fn policy(&self) -> Option<&Arc<Policy>> {
        self.policy.as_ref().map(|(_, policy)| policy)
    }

    /// Policy in force with the position of its order.
    pub fn policy_order(&self) -> Option<(Position, &Arc<Policy>)> {
        self.policy
            .as_ref()
            .map(|(position, policy)| (*position, policy))
    }

    /// Failure domains that operators have named: position of the last order, name, whether out.
    pub fn domains(&self) -> impl Iterator<Item = (Position, &Name, bool)> {
        let domains = self.domains.iter();
        domains.map(|domain| (domain.position, &domain.name, domain.is_out))
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

    /// What is known of a version that did not complete its last move.
    pub fn verdict(&self, service: &str, version: &str) -> Option<Verdict> {
        self.verdicts.get(service, version)
    }

    /// Versions of a service that failed under earlier orders, sorted.
    pub fn faulty(&self, service: &str) -> Vec<Name> {
        let faulty = self.verdicts.faulty(service);
        faulty.take(MAX_FAULTY).cloned().collect()
    }

    /// Failure domains out of service, sorted.
    pub fn domains_out(&self) -> Vec<Name> {
        let out = self.domains.iter().filter(|domain| domain.is_out);
        out.map(|domain| domain.name.clone()).collect()
    }

    /// Position after the last order read.
    pub fn next(&self) -> Position {
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

    /// Applies orders and returns whether anything changed. Those of an era that is over are
    /// ignored, and the first batch of an era has to be complete.
    pub fn apply(&mut self, batch: &OrderBatch, now: Time) -> bool {
        let (before, era) = (self.revision, self.next.era);
        if batch.end.era < era || batch.end.era > era && !batch.is_complete {
            return false;
        }
        if batch.end.era > era {
            // The era itself is a change that other nodes and the adapter have to know of.
            let is_restore = self.next != Position::default();
            self.revision += u64::from(is_restore);
            self.restored_at = is_restore.then_some(now);
            self.deferred.clear();
        }
        for entry in &batch.entries {
            let relation = self.relation(entry);
            if relation == Relation::Unclear && self.restored_at.is_some() {
                self.defer(entry);
            } else {
                self.put(entry, relation, now);
            }
        }
        if batch.is_complete {
            self.drop_missing(batch);
        }
        self.next = self.next.max(batch.end);
        self.revision != before
    }

    /// Ends the grace period after a restore of the log once it is over: from then on only what the
    /// log has is in force, except that the policy never returns to an older version. Returns whether
    /// anything changed.
    pub fn settle(&mut self, now: Time) -> bool {
        let before = self.revision;
        if self
            .restored_at
            .is_none_or(|restored_at| now.since(restored_at) < RESTORE_GRACE)
        {
            return false;
        }
        self.restored_at = None;
        for entry in std::mem::take(&mut self.deferred) {
            let relation = self.relation(&entry);
            self.put(&entry, relation, now);
        }
        let era = self.next.era;
        let held = self.moves.len() + self.domains.len();
        self.retain_moves(|entry| entry.order.era == era);
        self.domains.retain(|domain| domain.position.era == era);
        self.revision += (held - self.moves.len() - self.domains.len()) as u64;
        self.revision != before
    }

    /// How an order relates to the one in force for its key.
    fn relation(&self, entry: &Entry) -> Relation {
        let (held, is_equal) = match &entry.order {
            // Versions order policies in all eras.
            Order::Policy(_) => return Relation::Newer,
            Order::Move {
                service,
                version,
                window,
            } => match self.find_move(service) {
                Some(held) => (
                    held.order,
                    held.version == *version && held.window == *window,
                ),
                None => return Relation::Newer,
            },
            Order::Withdraw { service } => match self.find_move(service) {
                Some(held) => (held.order, false),
                None => return Relation::Old,
            },
            Order::Domain { name, is_out } => match self.domain(name) {
                Some(held) => (held.position, held.is_out == *is_out),
                None => return Relation::Newer,
            },
        };
        let position = entry.position;
        if position <= held {
            Relation::Old
        } else if position.era == held.era {
            Relation::Newer
        } else if is_equal {
            Relation::Moved
        } else if position.offset >= held.offset
            || position.era == self.next.era && position >= self.next
        {
            // The copy has the order in force, or ends before its offset. What lies behind that,
            // and what was not there at an earlier read of the era, was written since.
            Relation::Newer
        } else {
            Relation::Unclear
        }
    }

    /// Keeps an order until the grace period is over.
    fn defer(&mut self, entry: &Entry) {
        let is_known = |held: &Entry| held.position == entry.position;
        if !self.deferred.iter().any(is_known) {
            self.deferred.push(entry.clone());
        }
    }

    /// Applies one order with its relation to the one in force.
    fn put(&mut self, entry: &Entry, relation: Relation, now: Time) {
        let position = entry.position;
        match &entry.order {
            Order::Policy(policy) => self.put_policy(position, policy),
            Order::Move {
                service,
                version,
                window,
            } => self.put_move(position, (service, version, *window), relation, now),
            Order::Withdraw { service } => self.withdraw(service, relation),
            Order::Domain { name, is_out } => self.put_domain(position, name, *is_out, relation),
        }
    }

    /// Failure domain that operators have named.
    fn domain(&self, name: &Name) -> Option<&Domain> {
        let index = self.domains.binary_search_by(|d| d.name.cmp(name)).ok()?;
        Some(&self.domains[index])
    }

    /// Applies published decisions and returns whether anything changed. Those on an order older than
    /// that of the decision already held are ignored.
    pub fn apply_decisions(&mut self, decisions: &[Decision]) -> bool {
        let before = self.revision;
        for decision in decisions {
            let key = &decision.service;
            match self.decisions.binary_search_by(|d| d.service.cmp(key)) {
                Ok(index) if self.decisions[index].order > decision.order => continue,
                Ok(index) => self.decisions[index] = decision.clone(),
                Err(index) => self.decisions.insert(index, decision.clone()),
            }
            self.record_verdicts(decision);
            self.apply_decision(&decision.service.clone());
        }
        self.revision != before
    }

    /// Ends an open move on the findings of other nodes, ahead of the published decision. Returns
    /// whether the move ended.
    pub fn end_move(&mut self, service: &str, order: Position, phase: Phase) -> bool {
        let Ok(index) = self.index(service) else {
            return false;
        };
        let entry = &mut self.moves[index];
        if !entry.is_of(order) || entry.phase != Phase::Running || phase == Phase::Running {
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

    /// Replaces the policy if both the position and the version are newer. The same version at a
    /// later position is the same policy, written again.
    fn put_policy(&mut self, position: Position, policy: &Arc<Policy>) {
        if let Some((held_position, held)) = &mut self.policy {
            if policy.version == held.version {
                *held_position = position.max(*held_position);
            }
            let is_stale = position.era == held_position.era && position <= *held_position;
            if is_stale || policy.version <= held.version {
                return;
            }
        }
        self.policy = Some((position, policy.clone()));
        self.revision += 1;
    }

    /// Replaces a service's move if it was ordered later.
    fn put_move(
        &mut self,
        position: Position,
        order: (&Name, &Name, Duration),
        relation: Relation,
        now: Time,
    ) {
        let (service, version, window) = order;
        let entry = Move {
            service: service.clone(),
            version: version.clone(),
            window,
            order: position,
            previous: None,
            started: now,
            share: 0,
            phase: Phase::Running,
        };
        match (self.index(service), relation) {
            (Ok(_), Relation::Old) => return,
            (Ok(index), Relation::Moved) => {
                let held = &mut self.moves[index];
                held.previous = Some(held.order);
                held.order = position;
            }
            (Ok(index), Relation::Newer | Relation::Unclear) => {
                let replaced = std::mem::replace(&mut self.moves[index], entry);
                self.retire(&replaced);
            }
            (Err(index), _) => self.moves.insert(index, entry),
        }
        self.revision += 1;
        self.apply_decision(service);
    }

    /// Removes a service's move if it was ordered earlier.
    fn withdraw(&mut self, service: &Name, relation: Relation) {
        if let Ok(index) = self.index(service)
            && relation != Relation::Old
        {
            let withdrawn = self.moves.remove(index);
            self.retire(&withdrawn);
            self.revision += 1;
        }
    }

    /// Sets a failure domain's state if the order is newer than the last one about it. A node that
    /// learned of a withdrawal only because the order is missing from a complete batch has no newer
    /// position for it, and sends the domain as in service under the position of that order.
    fn put_domain(&mut self, position: Position, name: &Name, is_out: bool, relation: Relation) {
        let domain = Domain {
            name: name.clone(),
            position,
            is_out,
        };
        match self.domains.binary_search_by(|d| d.name.cmp(name)) {
            Ok(index) => {
                let held = &self.domains[index];
                let is_withdrawal = position == held.position && held.is_out && !is_out;
                if relation == Relation::Old && !is_withdrawal {
                    return;
                }
                self.domains[index] = domain;
            }
            Err(index) => self.domains.insert(index, domain),
        }
        self.revision += 1;
    }

    /// Withdraws orders that a complete batch no longer contains. Those of an earlier era stay until
    /// [`Self::settle`].
    fn drop_missing(&mut self, batch: &OrderBatch) {
        let is_covered = |position: Position| position.era == batch.end.era && position < batch.end;
        for index in 0..self.domains.len() {
            let domain = &mut self.domains[index];
            let is_named = batch.entries.iter().any(
                |entry| matches!(&entry.order, Order::Domain { name, .. } if *name == domain.name),
            );
            if domain.is_out && is_covered(domain.position) && !is_named {
                domain.is_out = false;
                self.revision += 1;
            }
        }
        let before = self.moves.len();
        self.retain_moves(|m| {
            let is_named = batch.entries.iter().any(|entry| {
                matches!(&entry.order, Order::Move { service, .. } if *service == m.service)
            });
            is_named || !is_covered(m.order)
        });
        self.revision += (before - self.moves.len()) as u64;
    }

    /// Keeps the moves that a predicate accepts.
    fn retain_moves(&mut self, is_kept: impl Fn(&Move) -> bool) {
        let (kept, dropped) = std::mem::take(&mut self.moves)
            .into_iter()
            .partition(is_kept);
        self.moves = kept;
        let dropped: Vec<Move> = dropped;
        dropped.iter().for_each(|entry| self.retire(entry));
    }

    /// Remembers what is known of the version of a move that is not in force any more.
    fn retire(&mut self, entry: &Move) {
        let (service, version) = (&entry.service, &entry.version);
        self.verdicts
            .record(service, version, entry.order, entry.phase);
    }

    /// Remembers what a published decision tells of the versions of its service.
    fn record_verdicts(&mut self, decision: &Decision) {
        let (service, order) = (&decision.service, decision.order);
        let mut is_changed = false;
        let others = decision.faulty.iter().take(MAX_FAULTY);
        for version in others.filter(|version| **version != decision.version) {
            let phase = Phase::RolledBack;
            is_changed |= self.verdicts.record(service, version, order, phase);
        }
        if decision.phase != Phase::Running {
            let version = &decision.version;
            is_changed |= self
                .verdicts
                .record(service, version, order, decision.phase);
        }
        self.revision += u64::from(is_changed);
    }

    /// Sets a service's move to the phase that was published for it.
    fn apply_decision(&mut self, service: &Name) {
        let Ok(index) = self.decisions.binary_search_by(|d| d.service.cmp(service)) else {
            return;
        };
        let decision = &self.decisions[index];
        if let Ok(index) = self.moves.binary_search_by(|m| m.service.cmp(service)) {
            let entry = &mut self.moves[index];
            if entry.is_of(decision.order) && entry.phase != decision.phase {
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
