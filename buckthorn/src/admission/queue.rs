//! Queue of calls that wait for a slot, ordered by rank, then deadline, then arrival.
//!
//! Priority traffic (calls in progress, and new ones with an urgency below [`DEFAULT_URGENCY`]) goes
//! first but cannot starve other traffic: it leaves at least [`Queue::reserve`] places of the queue
//! free, and every [`FAIR_STRIDE`]th call taken is the oldest one of the other traffic. Calls in
//! progress have places of their own, so that new calls never take theirs.

use std::ops::Range;

use crate::clock::Time;

use super::gate::{DEFAULT_URGENCY, Refusal};
use super::rank::Rank;

/// One in this many calls taken is the oldest call that is not priority traffic.
pub const FAIR_STRIDE: u32 = 8;

/// One in this many places is reserved for other than priority traffic.
pub const RESERVE_DIVISOR: usize = 8;

/// Identifies a waiting call; numbers rise in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Place in the order of waiting calls.
    pub rank: Rank,
    /// Time at which the call began to wait.
    pub since: Time,
    /// Time at which the call stops waiting.
    pub until: Time,
    /// Reason for the refusal when `until` passes.
    pub expiry: Refusal,
    /// Identifies the call.
    pub ticket: Ticket,
}

/// Result of adding a call to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The call waits.
    Queued(Ticket),
    /// The first call waits; the second one, of lower priority, was removed for it.
    Displaced(Ticket, Waiter),
    /// The queue has no place for the call and holds none that it may displace.
    Full,
}

/// Bounded priority queue of waiting calls.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Waiting calls, sorted by [`Waiter::key`].
    waiters: Vec<Waiter>,
    /// Largest number of waiting calls that are new.
    capacity: usize,
    /// Largest number of waiting calls in progress.
    in_progress_capacity: usize,
    /// Ticket number of the next call.
    next: u64,
    /// Priority calls taken in a row.
    taken: u32,
}

impl Waiter {
    /// Returns the key by which calls are ordered.
    fn key(&self) -> (Rank, Time, Ticket) {
        (self.rank, self.until, self.ticket)
    }

    /// Returns whether the call is priority traffic.
    fn is_priority(&self) -> bool {
        self.rank.is_in_progress() || self.rank.urgency() < DEFAULT_URGENCY
    }
}

impl Queue {
    /// Creates an empty queue for at most `capacity` new calls and `in_progress_capacity` calls in
    /// progress.
    pub fn new(capacity: usize, in_progress_capacity: usize) -> Self {
        Self {
            waiters: Vec::with_capacity(capacity),
            capacity,
            in_progress_capacity,
            next: 1,
            taken: 0,
        }
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of waiting calls in progress.
    pub fn in_progress(&self) -> usize {
        self.waiters
            .partition_point(|waiter| waiter.rank.is_in_progress())
    }

    /// Returns the number of places reserved for other than priority traffic.
    pub fn reserve(&self) -> usize {
        (self.capacity / RESERVE_DIVISOR).max(1)
    }

    /// Returns the number of calls ahead of a new call with this priority and wait limit.
    pub fn ahead(&self, rank: Rank, until: Time) -> usize {
        let key = (rank, until, Ticket(self.next));
        self.waiters.partition_point(|waiter| waiter.key() < key)
    }

    /// Adds a call that waits until a time, and displaces one of lower priority if necessary.
    pub fn push(&mut self, rank: Rank, now: Time, until: Time, expiry: Refusal) -> Placement {
        let waiter = Waiter {
            rank,
            since: now,
            until,
            expiry,
            ticket: Ticket(self.next),
        };
        let displaced = match self.contested(&waiter) {
            None => None,
            Some(places) => match self.displace(&waiter, places) {
                Some(lower) => Some(lower),
                None => return Placement::Full,
            },
        };
        self.next += 1;
        let index = self.waiters.partition_point(|w| w.key() < waiter.key());
        self.waiters.insert(index, waiter);
        assert!(
            self.waiters.len() <= self.capacity + self.in_progress_capacity,
            "invariant: the queue is bounded"
        );
        match displaced {
            Some(lower) => Placement::Displaced(waiter.ticket, lower),
            None => Placement::Queued(waiter.ticket),
        }
    }

    /// Returns the calls of which one has to leave for a new one; `None` if there is a free place.
    fn contested(&self, new: &Waiter) -> Option<Range<usize>> {
        let in_progress = self.in_progress();
        if new.rank.is_in_progress() {
            return (in_progress >= self.in_progress_capacity).then_some(0..in_progress);
        }
        let priority = self.waiters.partition_point(Waiter::is_priority);
        let is_over_share =
            new.is_priority() && priority - in_progress + self.reserve() >= self.capacity;
        if is_over_share {
            // Priority traffic beyond its share may only displace priority traffic.
            return Some(in_progress..priority);
        }
        (self.len() - in_progress >= self.capacity).then_some(in_progress..self.len())
    }

    /// Removes the last of some calls if its priority is lower than that of `new`.
    fn displace(&mut self, new: &Waiter, calls: Range<usize>) -> Option<Waiter> {
        let last = calls.last()?;
        (self.waiters[last].rank > new.rank).then(|| self.waiters.remove(last))
    }

    /// Removes and returns a call whose wait limit has passed.
    pub fn expire(&mut self, now: Time) -> Option<Waiter> {
        let index = self.waiters.iter().position(|w| w.until <= now)?;
        Some(self.waiters.remove(index))
    }

    /// Removes and returns the next call to run.
    pub fn pop(&mut self) -> Option<Waiter> {
        if self.waiters.is_empty() {
            return None;
        }
        let index = self.fair_index().unwrap_or(0);
        let waiter = self.waiters.remove(index);
        self.taken = if waiter.is_priority() {
            self.taken + 1
        } else {
            0
        };
        Some(waiter)
    }

    /// Returns the index of the oldest call that is not priority traffic, if its turn has come.
    fn fair_index(&self) -> Option<usize> {
        if self.taken + 1 < FAIR_STRIDE {
            return None;
        }
        (0..self.waiters.len())
            .filter(|&index| !self.waiters[index].is_priority())
            .min_by_key(|&index| self.waiters[index].ticket)
    }

    /// Removes and returns the last call, to empty the queue.
    pub fn drain(&mut self) -> Option<Ticket> {
        self.waiters.pop().map(|waiter| waiter.ticket)
    }

    /// Removes a call; returns whether it was still waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let index = self.waiters.iter().position(|w| w.ticket == ticket);
        index.map(|index| self.waiters.remove(index)).is_some()
    }
}
