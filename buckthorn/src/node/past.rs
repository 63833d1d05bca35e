//! What a node may assume about its backend server before it has heard from it and from others.
//!
//! A process that has just started doesn't remember what an earlier one let in, which limit the
//! backend server named, or that it left. Until it has heard, it takes the last second for full, a
//! limit for named, and an announcement for one that may be late. An owner that replaces another one
//! in the same process goes on from its state.

use std::sync::Arc;
use std::time::Duration;

use crate::admin::Announcement;
use crate::clock::Time;
use crate::membership::member::Departure;
use crate::proxy::owner::Owner;

/// Time after the start for which heartbeats are held back at most while neither the platform's store
/// nor a peer was heard from. A node without them serves alone from then on.
const MAX_HOLD: Duration = Duration::from_secs(3);

/// Knowledge of the time before the current owner.
#[derive(Debug)]
pub struct Past {
    /// Start of the process.
    started: Time,
    /// Whether it is known which backend server left before the start.
    is_known: bool,
    /// Latest heartbeat that is held back until then.
    held: Option<Announcement>,
    /// Last owner, and the start of its backend server that it belongs to.
    previous: Option<(Arc<Owner>, Departure)>,
}

impl Past {
    /// Creates the knowledge of a process that has just started. `is_kept` tells whether departures are
    /// kept outside of the node.
    pub fn new(started: Time, is_kept: bool) -> Self {
        Self {
            started,
            is_known: !is_kept,
            held: None,
            previous: None,
        }
    }

    /// Records that the node knows which backend server left before its start.
    pub fn set_known(&mut self) {
        self.is_known = true;
    }

    /// Returns an announcement to be handled now, or holds it back.
    pub fn admit(&mut self, announcement: Announcement, now: Time) -> Option<Announcement> {
        let Some(heartbeat) = announcement.heartbeat else {
            return Some(announcement);
        };
        if self.is_settled(now) {
            return Some(announcement);
        }
        let held = self.held.as_ref().and_then(|held| held.heartbeat);
        if held.is_none_or(|held| held.rank() <= heartbeat.rank()) {
            self.held = Some(announcement);
        }
        None
    }

    /// Returns the heartbeat that was held back, once it may be handled.
    pub fn release(&mut self, now: Time) -> Option<Announcement> {
        if self.is_settled(now) {
            self.held.take()
        } else {
            None
        }
    }

    /// Prepares a new owner by what is known of the calls that its backend server got before.
    pub fn introduce(&mut self, owner: &Arc<Owner>, announcement: &Announcement) {
        let Some(lifetime) = announcement.departure() else {
            return;
        };
        match self.previous.take() {
            Some((previous, known)) if known == lifetime => {
                owner.cold_limiter.inherit(&previous.cold_limiter);
                owner.rate_limiter.inherit(&previous.rate_limiter);
            }
            _ if lifetime.started <= self.started.as_millis() => {
                owner.cold_limiter.assume_full(self.started);
                owner.rate_limiter.assume_limited();
            }
            _ => {}
        }
        self.previous = Some((owner.clone(), lifetime));
    }

    /// Whether heartbeats are no longer held back.
    fn is_settled(&self, now: Time) -> bool {
        self.is_known || now.since(self.started) >= MAX_HOLD
    }
}
