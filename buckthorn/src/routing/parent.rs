//! Requests that run at the local backend server, as the parents of the calls that it makes.
//!
//! A call that a backend server makes arrives at the node beside it, as the requests of the host's
//! own callers do. It is known by its identifier where identifiers are hierarchical: that of a call
//! extends that of the request that it is made for. A caller could choose such an identifier, too, so
//! the request has to be one that runs at the backend server now.
//!
//! The call inherits from its request: the rank, and whether the run is a repeat, as the call then
//! repeats an earlier one.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use xxhash_rust::xxh3::xxh3_64;

use crate::admission::gate::Urgency;
use crate::admission::rank::Rank;

use super::repeat::REPEAT;

/// Requests that are known at once. Calls of further ones rank as new.
const CAPACITY: usize = 64;

/// Bits of an entry that hold the urgency.
const URGENCY_BITS: u32 = 3;

/// Bits above them that hold the probability of a repeat in thousandths. The bits above these hold the
/// hash of the identifier.
const REPEAT_BITS: u32 = 10;

/// Lowest bit of the hash of the identifier.
const HASH_SHIFT: u32 = URGENCY_BITS + REPEAT_BITS;

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

/// What a call inherits from the request that it is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Inherited {
    /// Rank of the call.
    pub rank: Rank,
    /// Probability in thousandths that the call repeats an earlier one.
    pub repeat_permille: u32,
}

impl Default for Parents {
    fn default() -> Self {
        Self([const { AtomicU64::new(0) }; CAPACITY])
    }
}

impl Parents {
    /// Registers a request, which is a repeat with a probability in thousandths, until the returned
    /// value is dropped.
    pub fn start(self: &Arc<Self>, id: &str, rank: Rank, repeat_permille: u32) -> Parent {
        let repeat = u64::from(repeat_permille.min(REPEAT)) << URGENCY_BITS;
        let entry = key(id) | repeat | u64::from(rank.urgency());
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

    /// Returns what a call inherits from the request with an identifier; `None` if that request does
    /// not run here.
    pub fn inherited(&self, id: &str) -> Option<Inherited> {
        let key = key(id);
        let entries = self.0.iter().map(|entry| entry.load(Ordering::Acquire));
        let found = entries
            .into_iter()
            .find(|entry| entry >> HASH_SHIFT == key >> HASH_SHIFT)?;
        let urgency = found & ((1 << URGENCY_BITS) - 1);
        let repeat = found >> URGENCY_BITS & ((1 << REPEAT_BITS) - 1);
        Some(Inherited {
            rank: Rank::in_progress(urgency as Urgency),
            repeat_permille: repeat as u32,
        })
    }
}

/// Returns the entry of an identifier without what its calls inherit, never zero.
fn key(id: &str) -> u64 {
    let hash = xxh3_64(id.as_bytes()) >> HASH_SHIFT;
    hash.max(1) << HASH_SHIFT
}

impl Drop for Parent {
    fn drop(&mut self) {
        if let Some(index) = self.index {
            self.parents.0[index].store(0, Ordering::Release);
        }
    }
}
