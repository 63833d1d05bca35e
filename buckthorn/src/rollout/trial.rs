//! What a judge knows of one move: its evidence and how long its share has stood.

use crate::clock::Time;
use crate::config::intent::{Move, Phase};
use crate::name::Name;

use super::evidence::Report;

/// One move under judgement.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Move.
    pub id: Name,
    /// Phase and share seen last.
    stage: (Phase, u16),
    /// When the phase or share was first seen here.
    since: Time,
}

impl Trial {
    /// Trial of a move seen for the first time.
    pub fn new(entry: &Move, now: Time) -> Self {
        Self {
            id: entry.id.clone(),
            stage: (entry.phase, entry.share),
            since: now,
        }
    }

    /// Follows the move's phase and share.
    pub fn follow(&mut self, entry: &Move, now: Time) {
        if self.stage != (entry.phase, entry.share) {
            self.stage = (entry.phase, entry.share);
            self.since = now;
        }
    }

    /// When the present phase and share were first seen here.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Takes a report in.
    pub fn take(&mut self, _report: &Report, _now: Time) {}
}
