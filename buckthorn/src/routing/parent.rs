//! Requests that run at the local backend server, as the parents of the calls that it makes.
//!
//! A call that a backend server makes arrives at the node beside it, as the requests of the host's
//! own callers do. It is known by its identifier where identifiers are hierarchical: that of a call
//! extends that of the request that it is made for. A caller could choose such an identifier, too, so
//! the request has to be one that runs at the backend server now.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use xxhash_rust::xxh3::xxh3_64;

use crate::admission::gate::Urgency;
use crate::admission::rank::Rank;

/// Requests that are known at once. Calls of further ones rank as new.
const CAPACITY: usize = 64;

/// Bits of an entry that hold the urgency; the bits above hold the hash of the identifier.
const URGENCY_BITS: u32 = 3;

/// Requests that run at the local backend server.
///
/// Each entry is zero when it is free.
#[derive(Debug)]
pub struct Parents([AtomicU64; CAPACITY]);

/// A request that runs at the local backend server, until dropped.
#[derive(Debug)]
pub struct Parent {
    /// Requests that run there.
    parents: Arc<Parents>,
    /// Entry of this one; `None` if there was none free.
    index: Option<usize>,
}

impl Default for Parents {
    fn default() -> Self {
        Self([const { AtomicU64::new(0) }; CAPACITY])
    }
}

impl Parents {
    /// Registers a request until the returned value is dropped.
    pub fn start(self: &Arc<Self>, id: &str, rank: Rank) -> Parent {
        let entry = key(id) | u64::from(rank.urgency());
        let take = |place: &AtomicU64| {
            place
                .compare_exchange(0, entry, Ordering::AcqRel, Ordering::Relaxed)
                .is_ok()
        };
        Parent {
            parents: self.clone(),
            index: self.0.iter().position(take),
        }
    }

    /// Returns the rank of a call that is made for the request with an identifier; `None` if that
    /// request does not run here.
    pub fn rank(&self, id: &str) -> Option<Rank> {
        let key = key(id);
        let entries = self.0.iter().map(|entry| entry.load(Ordering::Acquire));
        let found = entries
            .into_iter()
            .find(|entry| entry >> URGENCY_BITS == key >> URGENCY_BITS)?;
        let urgency = found & ((1 << URGENCY_BITS) - 1);
        Some(Rank::in_progress(urgency as Urgency))
    }
}

/// Returns the entry of an identifier without its urgency, never zero.
fn key(id: &str) -> u64 {
    let hash = xxh3_64(id.as_bytes()) >> URGENCY_BITS;
    hash.max(1) << URGENCY_BITS
}

impl Drop for Parent {
    fn drop(&mut self) {
        if let Some(index) = self.index {
            self.parents.0[index].store(0, Ordering::Release);
        }
    }
}
