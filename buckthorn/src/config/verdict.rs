//! What is known of versions whose move is over, is not in force any more, or was decided before this
//! process started. It outlives the order that the version was judged under, so that the next order
//! does not take a version that failed for one that serves.

use crate::name::Name;

use super::order::Phase;
use super::position::Position;

/// Maximum versions that are remembered; those of the oldest orders are forgotten first.
pub const MAX_ENTRIES: usize = 256;

/// What is known of a version that did not complete its move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its order was replaced or withdrawn before it was judged.
    Unproven,
    /// It was rolled back.
    Faulty,
}

/// Version with what is known of it.
#[derive(Clone, Debug)]
struct Entry {
    /// Name of the service in the policy.
    service: Name,
    /// Version of the service.
    version: Name,
    /// What is known of it.
    verdict: Verdict,
    /// Position of the order that it was judged under.
    order: Position,
}

/// Versions that did not complete their last move.
#[derive(Clone, Debug, Default)]
pub struct Verdicts {
    /// Entries, sorted by service and version.
    entries: Vec<Entry>,
}

impl Verdicts {
    /// Records the phase in which the move of a service to a version ended or was given up. Returns
    /// whether anything changed.
    pub fn record(
        &mut self,
        service: &Name,
        version: &Name,
        order: Position,
        phase: Phase,
    ) -> bool {
        let verdict = match phase {
            Phase::Running => Verdict::Unproven,
            Phase::RolledBack => Verdict::Faulty,
            Phase::Completed => return self.clear(service, version, order),
        };
        let entry = Entry {
            service: service.clone(),
            version: version.clone(),
            verdict,
            order,
        };
        match self.index(service, version) {
            Ok(index) => {
                let held = &mut self.entries[index];
                // A version that failed has to complete a later move.
                let is_weaker = held.verdict == Verdict::Faulty && verdict == Verdict::Unproven;
                if is_weaker || order < held.order {
                    return false;
                }
                std::mem::replace(held, entry).verdict != verdict
            }
            Err(index) => {
                self.entries.insert(index, entry);
                self.drop_oldest();
                true
            }
        }
    }

    /// What is known of a version, `None` if it may serve.
    pub fn get(&self, service: &str, version: &str) -> Option<Verdict> {
        let index = self.index(service, version).ok()?;
        Some(self.entries[index].verdict)
    }

    /// Versions of a service that were rolled back, sorted.
    pub fn faulty(&self, service: &str) -> impl Iterator<Item = &Name> {
        let entries = self.entries.iter();
        entries
            .filter(move |e| *e.service == *service && e.verdict == Verdict::Faulty)
            .map(|entry| &entry.version)
    }

    /// Forgets a version that has completed a later move.
    fn clear(&mut self, service: &str, version: &str, order: Position) -> bool {
        let Ok(index) = self.index(service, version) else {
            return false;
        };
        let is_later = self.entries[index].order <= order;
        if is_later {
            self.entries.remove(index);
        }
        is_later
    }

    /// Drops the versions of the oldest orders while there are too many.
    fn drop_oldest(&mut self) {
        while self.entries.len() > MAX_ENTRIES {
            let orders = self.entries.iter().enumerate();
            let Some((index, _)) = orders.min_by_key(|(_, entry)| entry.order) else {
                return;
            };
            self.entries.remove(index);
        }
    }

    /// Index of a version, or the index at which to insert it.
    fn index(&self, service: &str, version: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| (&*e.service, &*e.version).cmp(&(service, version)))
    }
}
