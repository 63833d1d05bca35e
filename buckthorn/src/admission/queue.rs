//! Calls that wait for a slot, ordered by priority, then deadline, then arrival.
//!
//! Priority traffic (urgency below [`DEFAULT_URGENCY`]) goes first but starves nobody: it fills at
//! most the queue less [`Queue::reserve`] places, and every [`FAIR_STRIDE`]th call taken is the one
//! of the remaining traffic that has waited longest.

use crate::clock::Time;

use super::gate::{DEFAULT_URGENCY, Refusal, Urgency};

/// One in this many calls taken is the oldest outside priority traffic.
pub const FAIR_STRIDE: u32 = 8;

/// One in this many places is kept free of priority traffic.
pub const RESERVE_DIVISOR: usize = 8;

/// Number of a call that waits, rising with arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Priority.
    pub urgency: Urgency,
    /// Time at which it gives up.
    pub until: Time,
    /// Reason under which it is refused then.
    pub expiry: Refusal,
    /// Its number.
    pub ticket: Ticket,
}

/// What became of a call that asked to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It waits.
    Queued(Ticket),
    /// It waits in place of a call of lower priority.
    Displaced(Ticket, Ticket),
    /// The queue is full of calls that go first.
    Full,
}

/// Bounded queue.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Waiting calls, sorted by [`Waiter::key`].
    waiters: Vec<Waiter>,
    /// Most calls that wait.
    capacity: usize,
    /// Number of the next call.
    next: u64,
    /// Calls taken since the last one taken for fairness.
    taken: u32,
}

impl Waiter {
    /// Order in which calls are taken.
    fn key(&self) -> (Urgency, Time, Ticket) {
        (self.urgency, self.until, self.ticket)
    }

    /// Whether it is priority traffic.
    fn is_priority(&self) -> bool {
        self.urgency < DEFAULT_URGENCY
    }
}

impl Queue {
    /// Empty queue for at most `capacity` calls.
    pub fn new(capacity: usize) -> Self {
        Self {
            waiters: Vec::with_capacity(capacity),
            capacity,
            next: 1,
            taken: 0,
        }
    }

    /// Calls waiting.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Places that priority traffic leaves to the rest.
    pub fn reserve(&self) -> usize {
        (self.capacity / RESERVE_DIVISOR).max(1)
    }

    /// Calls that would be taken before a call of this priority and deadline.
    pub fn ahead(&self, urgency: Urgency, until: Time) -> usize {
        let key = (urgency, until, Ticket(self.next));
        self.waiters.partition_point(|waiter| waiter.key() < key)
    }

    /// Lets a call wait until a time, in place of a lower one if the queue is full.
    pub fn push(&mut self, urgency: Urgency, until: Time, expiry: Refusal) -> Placement {
        let waiter = Waiter {
            urgency,
            until,
            expiry,
            ticket: Ticket(self.next),
        };
        let priority = self.waiters.partition_point(Waiter::is_priority);
        let is_over_share = waiter.is_priority() && priority + self.reserve() >= self.capacity;
        let displaced = match (is_over_share, self.len() < self.capacity) {
            (false, true) => None,
            // Priority traffic over its share displaces priority traffic only.
            (true, _) => match self.displace(&waiter, priority) {
                Some(ticket) => Some(ticket),
                None => return Placement::Full,
            },
            (false, false) => match self.displace(&waiter, self.len()) {
                Some(ticket) => Some(ticket),
                None => return Placement::Full,
            },
        };
        self.next += 1;
        let index = self.waiters.partition_point(|w| w.key() < waiter.key());
        self.waiters.insert(index, waiter);
        assert!(
            self.waiters.len() <= self.capacity,
            "invariant: the queue is bounded"
        );
        match displaced {
            Some(ticket) => Placement::Displaced(waiter.ticket, ticket),
            None => Placement::Queued(waiter.ticket),
        }
    }

    /// Takes out the last of the first `end` calls if its priority is lower than the new one's.
    fn displace(&mut self, new: &Waiter, end: usize) -> Option<Ticket> {
        let last = end.checked_sub(1)?;
        (self.waiters[last].urgency > new.urgency).then(|| self.waiters.remove(last).ticket)
    }

    /// Takes out a call that has waited as long as it could, and names its refusal.
    pub fn expire(&mut self, now: Time) -> Option<(Ticket, Refusal)> {
        let index = self.waiters.iter().position(|w| w.until <= now)?;
        let waiter = self.waiters.remove(index);
        Some((waiter.ticket, waiter.expiry))
    }

    /// Takes out the next call to run.
    pub fn pop(&mut self) -> Option<Ticket> {
        if self.waiters.is_empty() {
            return None;
        }
        let index = self.fair().unwrap_or(0);
        let waiter = self.waiters.remove(index);
        self.taken = if waiter.is_priority() {
            self.taken + 1
        } else {
            0
        };
        Some(waiter.ticket)
    }

    /// Place of the oldest call outside priority traffic, if it is its turn.
    fn fair(&self) -> Option<usize> {
        if self.taken + 1 < FAIR_STRIDE {
            return None;
        }
        (0..self.waiters.len())
            .filter(|&index| !self.waiters[index].is_priority())
            .min_by_key(|&index| self.waiters[index].ticket)
    }

    /// Takes out any call.
    pub fn drain(&mut self) -> Option<Ticket> {
        self.waiters.pop().map(|waiter| waiter.ticket)
    }

    /// Takes out a call by its number; says whether it was still waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let index = self.waiters.iter().position(|w| w.ticket == ticket);
        index.map(|index| self.waiters.remove(index)).is_some()
    }
}
