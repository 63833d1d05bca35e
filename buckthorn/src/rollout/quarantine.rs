//! Containment of a version by what nodes tell each other, without the log.
//!
//! A judge (see [`super::evaluator`]) that finds a move's new version at fault raises an
//! [`Accusation`]. A version is quarantined once [`QUORUM`] distinct hosts accuse it, or the only
//! live host when a node is alone, so that one mistaken node cannot take a good version out of the
//! mesh. Within one move accusations only grow in number and degree, so the share that nodes give the
//! new version only falls; the end of the folded move ends them.
//!
//! Where the old version has no calls left to compare, judges first accuse with [`Degree::Suspect`]:
//! two of these lower the share as the controller would, and any later step in the log answers them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::intent::{Intent, Move};
use crate::journal::fold::{COMPARISON_SHARE, MAX_NAME_BYTES};
use crate::membership::plugin::MAX_SKEW;
use crate::name::{self, Name};

/// Distinct accusing hosts that quarantine a version.
pub const QUORUM: usize = 2;

/// Accusations kept for one move.
pub const MAX_PER_MOVE: usize = 8;

/// Accusations kept in all.
pub const MAX_ACCUSATIONS: usize = 512;

/// Time for which accusations of a move that the intent does not hold are kept.
pub const UNKNOWN_MOVE_RETENTION: Duration = Duration::from_secs(600);

/// Length of a move's identifier in bytes: service, version, hash and what joins them.
pub const MAX_ID_BYTES: usize = 2 * MAX_NAME_BYTES + 8;

/// Length of a reason in characters.
pub const MAX_REASON_CHARS: usize = 240;

/// What an accusation asks for, in rising order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Degree {
    /// The share is lowered, so that the versions can be compared.
    #[serde(rename = "doubt")]
    Suspect,
    /// The new version receives no new calls.
    #[default]
    Fault,
}

/// One node's word that a version is at fault on a move.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Accusation {
    /// Move whose new version is accused.
    pub id: Name,
    /// Host that accuses.
    pub host: Name,
    /// What it asks for.
    #[serde(default)]
    pub degree: Degree,
    /// Why, in words for the operator.
    pub reason: String,
    /// When it was raised, by the accuser's clock.
    pub at: Time,
    /// Time of the move's last step that the accuser knew, by the clock of whoever decided it.
    #[serde(default)]
    pub seen: Time,
}

impl Accusation {
    /// Whether a node can have raised this: bounded names, and a time that is not far ahead.
    pub fn is_plausible(&self, now: Time) -> bool {
        !self.id.is_empty()
            && self.id.len() <= MAX_ID_BYTES
            && !self.host.is_empty()
            && self.host.len() <= MAX_NAME_BYTES
            && self.at <= now + MAX_SKEW
    }
}

/// Accusations held and the quarantines that follow from them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Accusations, sorted by move and host.
    accusations: Vec<Accusation>,
    /// Moves whose new version is quarantined, sorted.
    entered: Vec<Name>,
    /// Moves whose share is lowered for a comparison, sorted.
    lowered: Vec<Name>,
}

/// What a merge of accusations did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merge {
    /// Accusations that were new, to be passed on.
    pub added: Vec<Accusation>,
    /// Moves whose new version is now quarantined.
    pub entered: Vec<Name>,
    /// Moves whose share is now lowered.
    pub lowered: Vec<Name>,
    /// Accusations for which there was no room.
    pub refused: u64,
}

impl Quarantine {
    /// No accusations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the new version of a move is to receive no new calls.
    pub fn is_quarantined(&self, move_id: &str) -> bool {
        self.entered
            .binary_search_by(|id| (**id).cmp(move_id))
            .is_ok()
    }

    /// Share of a move's new version, given the one in the log.
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

    /// Accusations held, sorted by move and host.
    pub fn entries(&self) -> &[Accusation] {
        &self.accusations
    }

    /// Hash over the accusations held, equal where the same hosts accuse the same moves alike.
    pub fn digest(&self) -> u64 {
        self.accusations.iter().fold(0, |digest, accusation| {
            let key = name::rendezvous(&accusation.id, &accusation.host);
            digest ^ key.rotate_left(accusation.degree as u32)
        })
    }

    /// Takes accusations in.
    ///
    /// `is_alone` says that they are this host's own and no other live host is known. Accusations
    /// of moves that have ended are dropped, those of moves not yet known are kept.
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
            let (is_lowered, is_entered) = (
                count(Degree::Suspect) >= quorum,
                count(Degree::Fault) >= quorum,
            );
            if is_lowered && insert(&mut self.lowered, id) {
                merge.lowered.push(id.clone());
            }
            if is_entered && insert(&mut self.entered, id) {
                merge.entered.push(id.clone());
            }
        }
        merge
    }

    /// Whether an accusation is not held and there is no room for any more.
    fn lacks_room(&self, accusation: &Accusation) -> bool {
        self.accusations.len() >= MAX_ACCUSATIONS
            && !self
                .for_move(&accusation.id)
                .any(|a| a.host == accusation.host)
    }

    /// Adds one accusation; says whether it was new.
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

    /// Accusations of one move.
    pub fn for_move<'a>(&'a self, move_id: &'a str) -> impl Iterator<Item = &'a Accusation> {
        self.accusations.iter().filter(move |a| *a.id == *move_id)
    }

    /// Drops what a later decision in the log has answered; says whether anything was dropped.
    ///
    /// Accusations of moves that the intent does not hold are dropped after [`UNKNOWN_MOVE_RETENTION`].
    pub fn prune(&mut self, intent: &Intent, now: Time) -> bool {
        let before = self.accusations.len();
        self.accusations.retain(|a| match intent.find_move(&a.id) {
            Some(entry) => !is_resolved(a, entry),
            None => now.since(a.at) < UNKNOWN_MOVE_RETENTION,
        });
        let accusations = &self.accusations;
        let is_held = |id: &Name| accusations.iter().any(|a| a.id == *id);
        self.entered.retain(is_held);
        self.lowered.retain(is_held);
        before != self.accusations.len()
    }
}

/// Whether a decision in the log has answered an accusation: the end of the move answers each, any
/// step later than what the accuser knew answers a doubt.
fn is_resolved(accusation: &Accusation, entry: &Move) -> bool {
    let is_later = entry.phase.is_active() && entry.changed > accusation.seen;
    entry.phase.is_ended() || (accusation.degree == Degree::Suspect && is_later)
}

/// Copy whose reason has a bounded length.
fn with_bounded_reason(accusation: &Accusation) -> Accusation {
    let reason = accusation.reason.chars().take(MAX_REASON_CHARS).collect();
    Accusation {
        reason,
        ..accusation.clone()
    }
}

/// Inserts into a sorted list; says whether it was new.
fn insert(list: &mut Vec<Name>, id: &Name) -> bool {
    match list.binary_search(id) {
        Ok(_) => false,
        Err(index) => {
            list.insert(index, id.clone());
            true
        }
    }
}
