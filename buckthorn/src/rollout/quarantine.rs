//! Containment of a version by what nodes tell each other, without the log.
//!
//! A judge (see [`super::judge`]) that finds a move's new version at fault raises an
//! [`Accusation`]. A version is quarantined once [`QUORUM`] distinct hosts accuse it, or the only
//! live host when a node is alone, so that one mistaken node cannot take a good version out of the
//! mesh. Within one move the set of accusations only grows; it ends when the folded move has ended.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::intent::Intent;
use crate::name::{self, Name};

/// Distinct accusing hosts that quarantine a version.
pub const QUORUM: usize = 2;

/// Accusations kept for one move.
pub const MAX_PER_MOVE: usize = 8;

/// Accusations kept in all.
pub const MAX_ACCUSATIONS: usize = 512;

/// Time for which accusations of a move that the intent does not hold are kept.
pub const UNKNOWN_KEPT: Duration = Duration::from_secs(600);

/// Length of a reason in characters.
pub const MAX_REASON_CHARS: usize = 240;

/// One node's word that a version is at fault on a move.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Accusation {
    /// Move whose new version is accused.
    pub id: Name,
    /// Host that accuses.
    pub host: Name,
    /// Why, in words for the operator.
    pub reason: String,
    /// When it was raised, by the accuser's clock.
    pub at: Time,
}

/// Accusations held and the quarantines that follow from them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Accusations, sorted by move and host.
    accusations: Vec<Accusation>,
    /// Moves whose new version is quarantined, sorted.
    entered: Vec<Name>,
}

/// What a merge of accusations did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merge {
    /// Accusations that were new, to be passed on.
    pub fresh: Vec<Accusation>,
    /// Moves whose new version is now quarantined.
    pub entered: Vec<Name>,
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

    /// Accusations held, sorted by move and host.
    pub fn entries(&self) -> &[Accusation] {
        &self.accusations
    }

    /// Hash over the accusations held, equal where the same hosts accuse the same moves.
    pub fn digest(&self) -> u64 {
        self.accusations.iter().fold(0, |digest, accusation| {
            digest ^ name::rendezvous(&accusation.id, &accusation.host)
        })
    }

    /// Takes accusations in.
    ///
    /// `is_alone` says that they are this host's own and no other live host is known. Accusations
    /// of moves that have ended are dropped, those of moves not yet known are kept.
    pub fn merge(&mut self, accusations: &[Accusation], intent: &Intent, is_alone: bool) -> Merge {
        let mut merge = Merge::default();
        for accusation in accusations {
            if self.insert(accusation, intent) {
                merge.fresh.push(accusation.clone());
            }
        }
        let quorum = if is_alone { 1 } else { QUORUM };
        for accusation in &merge.fresh {
            if self.accusers(&accusation.id) < quorum {
                continue;
            }
            if let Err(index) = self.entered.binary_search(&accusation.id) {
                self.entered.insert(index, accusation.id.clone());
                merge.entered.push(accusation.id.clone());
            }
        }
        merge
    }

    /// Adds one accusation; says whether it was new.
    fn insert(&mut self, accusation: &Accusation, intent: &Intent) -> bool {
        let has_ended = intent
            .find_move(&accusation.id)
            .is_some_and(|m| m.phase.is_ended());
        if has_ended
            || self.accusations.len() >= MAX_ACCUSATIONS
            || self.accusers(&accusation.id) >= MAX_PER_MOVE
        {
            return false;
        }
        let key = (&accusation.id, &accusation.host);
        match self
            .accusations
            .binary_search_by(|held| (&held.id, &held.host).cmp(&key))
        {
            Ok(_) => false,
            Err(index) => {
                let mut held = accusation.clone();
                held.reason = held.reason.chars().take(MAX_REASON_CHARS).collect();
                self.accusations.insert(index, held);
                true
            }
        }
    }

    /// Distinct hosts that accuse a move's new version.
    fn accusers(&self, move_id: &str) -> usize {
        self.of(move_id).count()
    }

    /// Accusations of one move.
    pub fn of<'a>(&'a self, move_id: &'a str) -> impl Iterator<Item = &'a Accusation> {
        self.accusations.iter().filter(move |a| *a.id == *move_id)
    }

    /// Drops what concerns moves that have ended in the log; says whether anything was dropped.
    ///
    /// Accusations of moves that the intent does not hold are dropped after [`UNKNOWN_KEPT`].
    pub fn prune(&mut self, intent: &Intent, now: Time) -> bool {
        let before = self.accusations.len() + self.entered.len();
        self.accusations.retain(|a| match intent.find_move(&a.id) {
            Some(entry) => !entry.phase.is_ended(),
            None => now.since(a.at) < UNKNOWN_KEPT,
        });
        let accusations = &self.accusations;
        self.entered
            .retain(|id| accusations.iter().any(|a| a.id == *id));
        before != self.accusations.len() + self.entered.len()
    }
}
