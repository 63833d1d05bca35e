//! Containment of a version by what nodes tell each other, without the log.

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::name::Name;

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
pub struct Quarantine {}

impl Quarantine {
    /// No accusations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the new version of a move is to receive no new calls.
    pub fn is_quarantined(&self, _move_id: &str) -> bool {
        false
    }
}
