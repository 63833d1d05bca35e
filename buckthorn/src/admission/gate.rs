//! Decides whether a call runs, waits or is refused.
//!
//! The gate reads no clock and performs no I/O. Its user offers calls and reports when they end,
//! and after each such event calls [`Gate::next`] until it returns [`Next::Idle`].
//!
//! Guarantees: the number of running calls never exceeds the limit in force when the last of them
//! was admitted; the queue is bounded; each waiting call is settled exactly once, either run or
//! refused, so a refusal as "not run" is always true.

use std::time::Duration;

use crate::clock::Time;
use crate::counter::Counter;
use crate::rollout::evidence::Outcome;

use super::cut::Cut;
use super::limit::{self, Change, Limit, Signal, Window};
use super::queue::{Placement, Queue, Ticket, Waiter};
use super::rank::Rank;

/// New calls that the queue holds for each slot.
pub const QUEUE_PER_SLOT: usize = 2;

/// Calls in progress that the queue holds for each slot. They are short, and as many as the requests
/// that run elsewhere make, so this only bounds the memory for them.
pub const IN_PROGRESS_PER_SLOT: usize = 16;

/// Longest time a call waits; after that a retry at another owner is more likely to succeed.
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// Priority by RFC 9218 urgency, 0 (highest) to 7.
pub type Urgency = u8;

/// Urgency of calls that specify none (RFC 9218, section 4.1).
pub const DEFAULT_URGENCY: Urgency = 3;

/// A call that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Place in the order of waiting calls.
    pub rank: Rank,
    /// Time by which the caller needs the response; absent when the call has no deadline.
    pub deadline: Option<Time>,
    /// Longest wait of this call. Without one, a call in progress waits until its deadline, and a new
    /// one for at most [`MAX_WAIT`], which also bounds a longer wait of it.
    pub max_wait: Option<Duration>,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The queue is full and no call in it has a lower priority, or the wait would be too long.
    QueueFull,
    /// A call of higher priority displaced it from the queue.
    Shed,
    /// The deadline cannot be met.
    Deadline,
    /// The node or its backend server is draining.
    Draining,
    /// No backend server has announced itself to this node.
    NoBackendServer,
    /// The failure domain is out of service.
    OutOfService,
    /// The version is quarantined.
    Quarantined,
    /// The call exceeds the rate limit of a cold backend server.
    Cold,
    /// The call exceeds the rate limit that the backend server names.
    RateLimited,
    /// The owners that were heard lately would refuse the call.
    Overload,
}

impl Refusal {
    /// Machine-readable reason in the response.
    pub const fn reason(self) -> &'static str {
        match self {
            Self::QueueFull => "queue-full",
            Self::Shed => "shed",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
            Self::NoBackendServer => "no-backend-server",
            Self::OutOfService => "out-of-service",
            Self::Quarantined => "quarantined",
            Self::Cold => "cold",
            Self::RateLimited => "rate-limited",
            Self::Overload => "overload",
        }
    }

    /// Counter incremented for the refusal.
    pub const fn counter(self) -> Counter {
        match self {
            Self::QueueFull => Counter::RefusedQueueFull,
            Self::Shed => Counter::RefusedShed,
            Self::Deadline => Counter::RefusedDeadline,
            Self::Draining => Counter::RefusedDraining,
            Self::NoBackendServer => Counter::RefusedNoBackendServer,
            Self::OutOfService => Counter::RefusedOutOfService,
            Self::Quarantined => Counter::RefusedQuarantined,
            Self::Cold => Counter::RefusedCold,
            Self::RateLimited => Counter::RefusedRateLimited,
            Self::Overload => Counter::RefusedOverload,
        }
    }
}

/// Result of offering a call to the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call runs now and holds a slot.
    Run,
    /// The call waits for [`Gate::next`] to settle it. If that has not happened by the given time,
    /// it is refused with the given reason.
    Wait(Ticket, Time, Refusal),
    /// The call is refused without having run.
    Refuse(Refusal),
}

/// What to do next about waiting calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Run the call; it now holds a slot.
    Run(Ticket),
    /// Refuse the call with the given reason.
    Refuse(Ticket, Refusal),
    /// Nothing to do until the next event.
    Idle,
}

/// Admission control of one backend server.
#[derive(Clone, Debug)]
pub struct Gate {
    limit: Limit,
    /// Number of calls running.
    running: u32,
    queue: Queue,
    /// Call displaced by the last offer and not yet refused by [`Gate::next`].
    displaced: Option<Waiter>,
    /// Waits of new calls, from which ingresses learn what is refused.
    cut: Cut,
    /// Outcomes since the limit was last updated.
    window: Window,
    /// Whether every new and waiting call is refused.
    is_closed: bool,
}

impl Gate {
    /// Creates the gate of a newly started backend server, whose limit starts low.
    pub fn new(slots: u32, now: Time) -> Self {
        Self::with_limit(Limit::new(slots, now))
    }

    /// Creates the gate of a backend server known to handle all its slots; the limit starts there.
    pub fn warm(slots: u32, now: Time) -> Self {
        Self::with_limit(Limit::warm(slots, now))
    }

    /// Creates a gate whose limit equals the slots until [`Gate::set_limit`] changes it.
    pub fn fixed(slots: u32, now: Time) -> Self {
        Self::with_limit(Limit::fixed(slots, now))
    }

    fn with_limit(limit: Limit) -> Self {
        Self {
            queue: Queue::new(
                limit.slots() as usize * QUEUE_PER_SLOT,
                limit.slots() as usize * IN_PROGRESS_PER_SLOT,
            ),
            limit,
            running: 0,
            displaced: None,
            cut: Cut::default(),
            window: Window::default(),
            is_closed: false,
        }
    }

    /// Returns the number of calls running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of calls waiting.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Returns the mean time of a call, zero when unknown.
    pub fn mean(&self) -> Duration {
        self.limit.mean()
    }

    /// Returns whether outcomes do not change the limit.
    pub fn is_fixed(&self) -> bool {
        self.limit.is_fixed()
    }

    /// Sets the limit of a gate whose limit is fixed.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit.set_fixed(limit);
    }

    /// Returns whether the gate is closed to new calls.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Returns the load in thousandths of the current limit, waiting calls included.
    pub fn load_permille(&self) -> u32 {
        (self.running + self.queued()) * 1_000 / self.limit()
    }

    /// Returns the index of the first rank that is refused, [`Rank::COUNT`] when none is.
    pub fn cut(&self, now: Time) -> usize {
        self.cut.index(now)
    }

    /// Sets the number of running calls, for a user that admits and releases some itself.
    ///
    /// The number may only change while no call waits, since a waiting call takes precedence for a
    /// free slot.
    pub fn set_running(&mut self, running: u32) {
        assert!(
            self.queue.is_empty() || running == self.running,
            "invariant: calls are admitted by the gate while others wait"
        );
        self.running = running;
    }

    /// Records that the backend server was in use at this time.
    pub fn mark_used(&mut self, at: Time) {
        self.limit.mark_used(at);
    }

    /// Decides whether a call runs, waits or is refused.
    pub fn offer(&mut self, now: Time, offer: Offer) -> Decision {
        if self.is_closed {
            return Decision::Refuse(Refusal::Draining);
        }
        self.limit.decay(now);
        let (until, expiry) = self.wait_limit(now, &offer);
        let has_room = self.queue.is_empty() && self.running < self.limit();
        if until <= now && !(has_room && expiry == Refusal::QueueFull) {
            return Decision::Refuse(expiry);
        }
        if self.running >= self.limit() {
            self.limit.raise_if_saturated(now);
        }
        if self.queue.is_empty() && self.running < self.limit() {
            self.admit();
            return Decision::Run;
        }
        if now + self.expected_wait(offer.rank, until) > until {
            self.cut.record_refusal(offer.rank, now);
            return Decision::Refuse(expiry);
        }
        match self.queue.push(offer.rank, now, until, expiry) {
            Placement::Queued(ticket) => Decision::Wait(ticket, until, expiry),
            Placement::Displaced(ticket, lower) => {
                assert!(
                    self.displaced.replace(lower).is_none(),
                    "invariant: a displaced call is refused before the next offer"
                );
                Decision::Wait(ticket, until, expiry)
            }
            Placement::Full => {
                self.cut.record_refusal(offer.rank, now);
                Decision::Refuse(Refusal::QueueFull)
            }
        }
    }

    /// Settles at most one waiting call and returns what to do with it.
    pub fn next(&mut self, now: Time) -> Next {
        if let Some(lower) = self.displaced.take() {
            self.cut.record_refusal(lower.rank, now);
            return Next::Refuse(lower.ticket, Refusal::Shed);
        }
        if self.is_closed {
            return match self.queue.drain() {
                Some(ticket) => Next::Refuse(ticket, Refusal::Draining),
                None => Next::Idle,
            };
        }
        if let Some(waiter) = self.queue.expire(now) {
            self.cut.record_refusal(waiter.rank, now);
            return Next::Refuse(waiter.ticket, waiter.expiry);
        }
        if self.running >= self.limit() {
            return Next::Idle;
        }
        let Some(waiter) = self.queue.pop() else {
            self.cut.reset();
            return Next::Idle;
        };
        let longest = waiter.until.since(waiter.since);
        let wait = now.since(waiter.since);
        self.cut.record_wait(waiter.rank, wait, longest, now);
        self.admit();
        Next::Run(waiter.ticket)
    }

    /// Removes a call from the queue; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// Releases a slot without recording an outcome.
    pub fn release(&mut self) {
        assert!(
            self.running > 0,
            "invariant: a slot is released once, by a call that ran"
        );
        self.running -= 1;
    }

    /// Releases a slot and records the call's outcome, which may change the limit.
    pub fn exit(&mut self, now: Time, outcome: Outcome, latency: Duration) -> Change {
        self.window.peak = self.window.peak.max(self.running);
        self.release();
        match self.limit.signal(outcome, latency) {
            Signal::None => return Change::Unchanged,
            Signal::Overload => return self.limit.overload(now),
            Signal::Good => self.window.add(latency),
            Signal::Error => self.window.errors += 1,
        }
        if self.window.len() < limit::window_size(self.limit()) {
            return Change::Unchanged;
        }
        let window = std::mem::take(&mut self.window);
        self.update_limit(now, &window)
    }

    /// Updates the limit from a window of outcomes that were counted outside the gate.
    pub fn update_limit(&mut self, now: Time, window: &Window) -> Change {
        self.limit.mark_used(now);
        self.limit.update(now, window)
    }

    /// Reduces the limit because the backend server is overloaded.
    pub fn overload(&mut self, now: Time) -> Change {
        self.limit.overload(now)
    }

    /// Classifies an outcome by what it indicates about the backend server's capacity.
    pub fn signal(&self, outcome: Outcome, latency: Duration) -> Signal {
        self.limit.signal(outcome, latency)
    }

    /// Refuses every new and waiting call from now on; running calls continue.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    fn admit(&mut self) {
        assert!(
            !self.is_closed && self.running < self.limit() && self.limit() <= self.limit.slots(),
            "invariant: a call is admitted only below the limit, and the limit is at most the slots"
        );
        self.running += 1;
    }

    /// Returns how long a call waits for those ahead of it.
    ///
    /// The mean latency is mostly that of new calls, and too long for calls in progress, which are
    /// refused only when their wait is over.
    fn expected_wait(&self, rank: Rank, until: Time) -> Duration {
        if rank.is_in_progress() {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead(rank, until) as u32;
        self.limit.mean() * (ahead + 1) / self.limit()
    }

    /// Returns the time until which a call may wait, and the reason for its refusal afterwards.
    fn wait_limit(&self, now: Time, offer: &Offer) -> (Time, Refusal) {
        let longest = now + longest_wait(offer);
        let reserve = self.response_time(offer.rank);
        match offer.deadline.map(|deadline| deadline - reserve) {
            Some(last) if last <= longest => (last, Refusal::Deadline),
            Some(_) | None => (longest, Refusal::QueueFull),
        }
    }

    /// Returns the time that a response takes at least.
    ///
    /// It is assumed to be half of the typical latency. That is mostly the latency of new calls, so
    /// a call in progress, which would fail its request, is not refused for it.
    fn response_time(&self, rank: Rank) -> Duration {
        if rank.is_in_progress() {
            return Duration::ZERO;
        }
        self.limit.typical() / 2
    }
}

/// Returns the time after which a call is refused whatever its deadline.
///
/// Refusing a call in progress wastes what its request has run, which a call that waits does not.
fn longest_wait(offer: &Offer) -> Duration {
    if offer.rank.is_in_progress() && offer.deadline.is_some() {
        return offer.max_wait.unwrap_or(Duration::MAX);
    }
    offer.max_wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
}
