//! Requests that run at the local backend server, as the parents of the calls that it makes.
//!
//! A call that a backend server makes does not name the request that it serves. Its ingress is the
//! node beside that backend server, though, which knows the requests that run there. Several of
//! them may be the parent, so the call takes the rank of the most urgent one: a rank that is too
//! low could fail an urgent request for the sake of a less urgent one.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::admission::gate::Urgency;
use crate::admission::rank::Rank;

/// Number of requests that run at the local backend server, by urgency.
#[derive(Debug, Default)]
pub struct Parents([AtomicU32; Rank::MAX_URGENCY as usize + 1]);

/// A request that runs at the local backend server, until dropped.
#[derive(Debug)]
pub struct Parent {
    /// Requests that run there.
    parents: Arc<Parents>,
    /// Urgency of this one.
    urgency: Urgency,
}

impl Parents {
    /// Counts a request of a rank until the returned value is dropped.
    pub fn start(self: &Arc<Self>, rank: Rank) -> Parent {
        let urgency = rank.urgency();
        self.0[usize::from(urgency)].fetch_add(1, Ordering::Relaxed);
        Parent {
            parents: self.clone(),
            urgency,
        }
    }

    /// Returns the rank of a call that the backend server makes; `None` while it runs no request, so
    /// that none can depend on the call.
    pub fn rank(&self) -> Option<Rank> {
        let is_running = |count: &AtomicU32| count.load(Ordering::Relaxed) > 0;
        let urgency = self.0.iter().position(is_running)?;
        Some(Rank::in_progress(urgency as Urgency))
    }
}

impl Drop for Parent {
    fn drop(&mut self) {
        self.parents.0[usize::from(self.urgency)].fetch_sub(1, Ordering::Relaxed);
    }
}
