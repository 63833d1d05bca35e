//! Containment of a faulty version by gossip between nodes, independent of the log.
//!
//! An evaluator (see [`super::evaluator`]) that finds a move's new version faulty raises an
//! [`Accusation`]. A version is quarantined once [`QUORUM`] distinct hosts accuse it, or the only
//! live host when a node is alone, so that one mistaken node cannot quarantine a good version.
//! Within one move accusations only grow in number and degree, so the share that nodes give the new
//! version only falls. The end of the move in the log clears them.
//!
//! If the old version has too few calls for a comparison, evaluators first accuse with
//! [`Degree::Suspect`]. Two of these lower the share as the controller would, and any later step in
//! the log clears them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::intent::{Intent, Move};
use crate::journal::fold::{COMPARISON_SHARE, MAX_NAME_BYTES};
use crate::membership::plugin::MAX_SKEW;
use crate::name::{self, Name};

/// Number of distinct accusing hosts that quarantine a version.
pub const QUORUM: usize = 2;

/// Most accusations kept for one move.
pub const MAX_PER_MOVE: usize = 8;

/// Most accusations kept in total.
pub const MAX_ACCUSATIONS: usize = 512;

/// Time for which accusations about a move that is not in the intent are kept.
pub const UNKNOWN_MOVE_RETENTION: Duration = Duration::from_secs(600);

/// Longest accepted move identifier in bytes: service, version, hash and separators.
pub const MAX_ID_BYTES: usize = 2 * MAX_NAME_BYTES + 8;

/// Longest kept reason in characters.
pub const MAX_REASON_CHARS: usize = 240;

/// Action that an accusation requests, in order of increasing severity.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Degree {
    /// Lower the share so that the versions can be compared.
    #[serde(rename = "doubt")]
    Suspect,
    /// Send no new calls to the new version.
    #[default]
    Fault,
}

/// One node's report that a move's new version is faulty or suspect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Accusation {
    /// Move whose new version is accused.
    pub id: Name,
    /// Host that raised the accusation.
    pub host: Name,
    /// Requested action; `Fault` if absent on the wire.
    #[serde(default)]
    pub degree: Degree,
    /// Explanation for the operator.
    pub reason: String,
    /// When it was raised, by the accuser's clock.
    pub at: Time,
    /// Time of the last step of the move that the accuser knew, by the clock of the node that
    /// decided the step.
    #[serde(default)]
    pub seen: Time,
}

impl Accusation {
    /// Whether the names are within bounds and the time is at most [`MAX_SKEW`] in the future.
    pub fn is_plausible(&self, now: Time) -> bool {
        !self.id.is_empty()
            && self.id.len() <= MAX_ID_BYTES
            && !self.host.is_empty()
            && self.host.len() <= MAX_NAME_BYTES
            && self.at <= now + MAX_SKEW
    }
}

/// Known accusations and the quarantines that result from them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Accusations, sorted by move and host.
    accusations: Vec<Accusation>,
    /// Moves whose new version is quarantined, sorted.
    quarantined: Vec<Name>,
    /// Moves whose share is lowered for a comparison, sorted.
    lowered: Vec<Name>,
}

/// Result of merging accusations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merge {
    /// Accusations that were new and have to be forwarded.
    pub added: Vec<Accusation>,
    /// Moves whose new version became quarantined.
    pub quarantined: Vec<Name>,
    /// Moves whose share became lowered.
    pub lowered: Vec<Name>,
    /// Accusations rejected because [`MAX_ACCUSATIONS`] are held.
    pub refused: u64,
}

impl Quarantine {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the new version of a move is quarantined and receives no new calls.
    pub fn is_quarantined(&self, move_id: &str) -> bool {
        self.quarantined
            .binary_search_by(|id| (**id).cmp(move_id))
            .is_ok()
    }

    /// Share of a move's new version after quarantine, from its `share` in the log.
    pub fn effective_share(&self, move_id: &str, share: u16) -> u16 {
        if self.is_quarantined(move_id) {
            return 0;
        }
        let is_lowered = self.lowered.iter().any(|id| **id == *move_id);
        if is_lowered {
            share.min(COMPARISON_SHARE)
        } else {
            share
        }
    }

    /// All accusations, sorted by move and host.
    pub fn entries(&self) -> &[Accusation] {
        &self.accusations
    }

    /// Hash of all accusations by move, host and degree, for anti-entropy.
    pub fn digest(&self) -> u64 {
        self.accusations.iter().fold(0, |digest, accusation| {
            let key = name::rendezvous(&accusation.id, &accusation.host);
            digest ^ key.rotate_left(accusation.degree as u32)
        })
    }

    /// Merges accusations and updates the quarantines.
    ///
    /// `is_alone` says that the accusations are this host's and no other live host is known.
    /// Accusations about moves that have ended are dropped; those about unknown moves are kept.
    pub fn merge(&mut self, accusations: &[Accusation], intent: &Intent, is_alone: bool) -> Merge {
        let mut merge = Merge::default();
        for accusation in accusations {
            if self.insert_accusation(accusation, intent) {
                merge.added.push(accusation.clone());
            } else if self.lacks_room(accusation) {
                merge.refused += 1;
            }
        }
        let quorum = if is_alone { 1 } else { QUORUM };
        for Accusation { id, .. } in &merge.added {
            let count = |degree| self.for_move(id).filter(|a| a.degree >= degree).count();
            let (is_lowered, is_quarantined) = (
                count(Degree::Suspect) >= quorum,
                count(Degree::Fault) >= quorum,
            );
            if is_lowered && insert(&mut self.lowered, id) {
                merge.lowered.push(id.clone());
            }
            if is_quarantined && insert(&mut self.quarantined, id) {
                merge.quarantined.push(id.clone());
            }
        }
        merge
    }

    /// Whether an accusation is not held and the set is full.
    fn lacks_room(&self, accusation: &Accusation) -> bool {
        self.accusations.len() >= MAX_ACCUSATIONS
            && !self
                .for_move(&accusation.id)
                .any(|a| a.host == accusation.host)
    }

    /// Adds or upgrades one accusation; returns whether anything changed.
    fn insert_accusation(&mut self, accusation: &Accusation, intent: &Intent) -> bool {
        let is_over = intent
            .find_move(&accusation.id)
            .is_some_and(|m| is_resolved(accusation, m));
        let is_held = self
            .for_move(&accusation.id)
            .any(|a| a.host == accusation.host);
        if is_over
            || self.accusations.len() >= MAX_ACCUSATIONS
            || (!is_held && self.for_move(&accusation.id).count() >= MAX_PER_MOVE)
        {
            return false;
        }
        let key = (&accusation.id, &accusation.host);
        match self
            .accusations
            .binary_search_by(|held| (&held.id, &held.host).cmp(&key))
        {
            Ok(index) if self.accusations[index].degree >= accusation.degree => false,
            Ok(index) => {
                self.accusations[index] = with_bounded_reason(accusation);
                true
            }
            Err(index) => {
                let held = with_bounded_reason(accusation);
                self.accusations.insert(index, held);
                true
            }
        }
    }

    /// Accusations about one move.
    pub fn for_move<'a>(&'a self, move_id: &'a str) -> impl Iterator<Item = &'a Accusation> {
        self.accusations.iter().filter(move |a| *a.id == *move_id)
    }

    /// Drops accusations that a later decision in the log resolves, and those about moves that are
    /// not in the intent after [`UNKNOWN_MOVE_RETENTION`]. Returns whether any were dropped.
    pub fn prune(&mut self, intent: &Intent, now: Time) -> bool {
        let before = self.accusations.len();
        self.accusations.retain(|a| match intent.find_move(&a.id) {
            Some(entry) => !is_resolved(a, entry),
            None => now.since(a.at) < UNKNOWN_MOVE_RETENTION,
        });
        let accusations = &self.accusations;
        let is_held = |id: &Name| accusations.iter().any(|a| a.id == *id);
        self.quarantined.retain(is_held);
        self.lowered.retain(is_held);
        before != self.accusations.len()
    }
}

/// Whether a decision in the log resolves an accusation. The end of the move resolves all of them;
/// a step later than the accuser knew resolves a [`Degree::Suspect`].
fn is_resolved(accusation: &Accusation, entry: &Move) -> bool {
    let is_later = entry.phase.is_active() && entry.changed > accusation.seen;
    entry.phase.is_ended() || (accusation.degree == Degree::Suspect && is_later)
}

/// Copy whose reason is truncated to [`MAX_REASON_CHARS`].
fn with_bounded_reason(accusation: &Accusation) -> Accusation {
    let reason = accusation.reason.chars().take(MAX_REASON_CHARS).collect();
    Accusation {
        reason,
        ..accusation.clone()
    }
}

/// Inserts into a sorted list; returns whether the entry was new.
fn insert(list: &mut Vec<Name>, id: &Name) -> bool {
    match list.binary_search(id) {
        Ok(_) => false,
        Err(index) => {
            list.insert(index, id.clone());
            true
        }
    }
}
