//! Counts of the requests that began to run on the local backend server.

use crossbeam::channel::{self, Receiver, Sender};

use super::Counts;
use super::schedule::Schedule;
use crate::clock::Time;
use crate::name::Name;

/// Capacity of the queue between the data path and the kernel, which empties it at each tick.
const MAX_QUEUED: usize = 65_536;

/// Change of a count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A request of the tenant began to run in the window.
    Began(u64, Name),
    /// A request that had been counted was not run.
    Withdrawn(u64, Name),
}

/// Counts the requests of tenants on the data path, without a lock.
#[derive(Clone, Debug)]
pub struct Meter {
    /// Queue of changes.
    changes: Sender<Change>,
    /// Windows by which requests are counted.
    schedule: Schedule,
}

/// A request that was counted as running.
#[derive(Debug)]
pub struct Run {
    /// Queue of changes.
    changes: Sender<Change>,
    /// Window in which it began.
    window: u64,
    /// Tenant that it belongs to.
    tenant: Name,
}

/// Creates a meter and the queue of its changes.
pub fn channel(schedule: Schedule) -> (Meter, Receiver<Change>) {
    let (changes, receiver) = channel::bounded(MAX_QUEUED);
    (Meter { changes, schedule }, receiver)
}

impl Meter {
    /// Counts a request that begins to run at `now`; `None` if the queue is full.
    pub fn begin(&self, tenant: &str, now: Time) -> Option<Run> {
        let run = Run {
            changes: self.changes.clone(),
            window: self.schedule.window_at(now),
            tenant: tenant.into(),
        };
        let change = Change::Began(run.window, run.tenant.clone());
        self.changes.try_send(change).ok()?;
        Some(run)
    }
}

impl Run {
    /// Takes the count back, as the backend server did not run the request.
    pub fn withdraw(self) {
        // A full queue leaves the request counted.
        let _ = self
            .changes
            .try_send(Change::Withdrawn(self.window, self.tenant));
    }
}

/// Counts of one node, by window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Windows with their counts, sorted.
    pub windows: Vec<(u64, Counts)>,
}

impl Tally {
    /// Applies a change.
    pub fn apply(&mut self, change: Change) {
        let (Change::Began(window, tenant) | Change::Withdrawn(window, tenant)) = &change;
        let counts = match self.windows.binary_search_by_key(window, |(held, _)| *held) {
            Ok(index) => &mut self.windows[index].1,
            Err(index) => {
                self.windows.insert(index, (*window, Counts::new()));
                &mut self.windows[index].1
            }
        };
        let index = match counts.binary_search_by(|(held, _)| held.cmp(tenant)) {
            Ok(index) => index,
            Err(index) => {
                counts.insert(index, (tenant.clone(), 0));
                index
            }
        };
        let count = &mut counts[index].1;
        *count = match change {
            Change::Began(..) => *count + 1,
            Change::Withdrawn(..) => count.saturating_sub(1),
        };
    }

    /// Drops the windows before the given one.
    pub fn prune(&mut self, first: u64) {
        self.windows.retain(|(window, _)| *window >= first);
    }
}
