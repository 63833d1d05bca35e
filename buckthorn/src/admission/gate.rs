//! Pure decision of who runs, waits or is refused.
//!
//! The gate reads no clock and performs no I/O. Whoever holds it offers calls, reports their ends,
//! and after each of both asks [`Gate::next`] until it has nothing more to say.
//!
//! What it guarantees: never more calls run than the limit allowed when the last of them entered;
//! the queue is bounded; each call that waits is settled once, to run or to be refused, so that a
//! refusal's word "not run" is true.

use std::time::Duration;

use crate::clock::Time;
use crate::counter::Counter;
use crate::rollout::evidence::Outcome;

use super::limit::{self, Change, Limit, Signal, Window};
use super::queue::{Placement, Queue, Ticket};

/// Places in the queue for each slot.
pub const QUEUE_PER_SLOT: usize = 2;

/// Longest wait of a call; later it has better prospects elsewhere.
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// Priority by RFC 9218 urgency, 0 (highest) to 7.
pub type Urgency = u8;

/// Urgency of calls that name none (RFC 9218, section 4.1).
pub const DEFAULT_URGENCY: Urgency = 3;

/// A call at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Priority.
    pub urgency: Urgency,
    /// Time by which the caller needs the answer.
    pub deadline: Option<Time>,
    /// Longest wait, where it is shorter than that of all calls.
    pub max_wait: Option<Duration>,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The queue is full of calls that go first.
    QueueFull,
    /// A call of higher priority took its place.
    Shed,
    /// Its deadline cannot be met.
    Deadline,
    /// The node or its backend server is leaving.
    Draining,
    /// No backend server is announced here.
    NoBackendServer,
    /// The failure domain is out of service.
    OutOfService,
    /// The version is quarantined.
    Quarantined,
    /// Over the rate that a cold backend server bears.
    Cold,
}

impl Refusal {
    /// Machine-readable reason in the answer.
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
        }
    }

    /// Counter of the refusal.
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
        }
    }
}

/// What became of an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs now.
    Run,
    /// It waits for [`Gate::next`] to settle it, until the given time at most, after which it is
    /// cancelled and refused with the given reason.
    Wait(Ticket, Time, Refusal),
    /// It is not run.
    Refuse(Refusal),
}

/// What to do with a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Run it; it holds a slot from now on.
    Run(Ticket),
    /// Refuse it.
    Refuse(Ticket, Refusal),
    /// Nothing until the next event.
    Idle,
}

/// Admission to one backend server.
#[derive(Clone, Debug)]
pub struct Gate {
    /// Concurrency limit.
    limit: Limit,
    /// Calls running.
    running: u32,
    /// Calls waiting.
    queue: Queue,
    /// Call displaced by the last offer and not yet told so.
    displaced: Option<Ticket>,
    /// Answers since the last judgement.
    window: Window,
    /// Whether no new call is let in.
    is_closed: bool,
}

impl Gate {
    /// Gate of a newly started backend server.
    pub fn new(slots: u32, now: Time) -> Self {
        Self::with_limit(Limit::new(slots, now))
    }

    /// Gate of a backend server that is known to bear its slots.
    pub fn warm(slots: u32, now: Time) -> Self {
        Self::with_limit(Limit::warm(slots, now))
    }

    /// Gate that lets all slots be used at any time.
    pub fn fixed(slots: u32, now: Time) -> Self {
        Self::with_limit(Limit::fixed(slots, now))
    }

    /// Gate with a limit.
    fn with_limit(limit: Limit) -> Self {
        Self {
            queue: Queue::new(limit.slots() as usize * QUEUE_PER_SLOT),
            limit,
            running: 0,
            displaced: None,
            window: Window::default(),
            is_closed: false,
        }
    }

    /// Calls running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Calls waiting.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Calls that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Whether no new call is let in.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Load in thousandths of the present limit, waiting calls included.
    pub fn load_permille(&self) -> u32 {
        (self.running + self.queued()) * 1_000 / self.limit()
    }

    /// Takes over the number of calls running from a caller that admitted some itself.
    ///
    /// Only allowed while none waits, since a free slot belongs to a waiting call first.
    pub fn set_running(&mut self, running: u32) {
        assert!(
            self.queue.is_empty() || running == self.running,
            "invariant: calls enter through the gate while others wait"
        );
        self.running = running;
    }

    /// Notes that the backend server was in use.
    pub fn mark_used(&mut self, at: Time) {
        self.limit.mark_used(at);
    }

    /// Decides on a call at the door.
    pub fn offer(&mut self, now: Time, offer: Offer) -> Decision {
        if self.is_closed {
            return Decision::Refuse(Refusal::Draining);
        }
        self.limit.decay(now);
        let (until, expiry) = self.give_up(now, &offer);
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
        let ahead = self.queue.ahead(offer.urgency, until) as u32;
        let wait = self.limit.mean() * (ahead + 1) / self.limit();
        if now + wait > until {
            return Decision::Refuse(expiry);
        }
        match self.queue.push(offer.urgency, until, expiry) {
            Placement::Queued(ticket) => Decision::Wait(ticket, until, expiry),
            Placement::Displaced(ticket, lower) => {
                assert!(
                    self.displaced.replace(lower).is_none(),
                    "invariant: a displaced call is told before the next offer"
                );
                Decision::Wait(ticket, until, expiry)
            }
            Placement::Full => Decision::Refuse(Refusal::QueueFull),
        }
    }

    /// Settles one waiting call, if one can be settled now.
    pub fn next(&mut self, now: Time) -> Next {
        if let Some(ticket) = self.displaced.take() {
            return Next::Refuse(ticket, Refusal::Shed);
        }
        if self.is_closed {
            return match self.queue.drain() {
                Some(ticket) => Next::Refuse(ticket, Refusal::Draining),
                None => Next::Idle,
            };
        }
        if let Some((ticket, refusal)) = self.queue.expire(now) {
            return Next::Refuse(ticket, refusal);
        }
        if self.running >= self.limit() {
            return Next::Idle;
        }
        let Some(ticket) = self.queue.pop() else {
            return Next::Idle;
        };
        self.admit();
        Next::Run(ticket)
    }

    /// Takes back a waiting call whose caller has left; says whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// Gives a slot back without a word on how the call ended.
    pub fn release(&mut self) {
        assert!(
            self.running > 0,
            "invariant: a slot is given back once by a call that ran"
        );
        self.running -= 1;
    }

    /// Gives a slot back and learns from how the call ended.
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

    /// Learns from a window of answers counted elsewhere.
    pub fn update_limit(&mut self, now: Time, window: &Window) -> Change {
        self.limit.mark_used(now);
        self.limit.update(now, window)
    }

    /// Learns that the backend server is overloaded.
    pub fn overload(&mut self, now: Time) -> Change {
        self.limit.overload(now)
    }

    /// What an outcome says of the backend server.
    pub fn signal(&self, outcome: Outcome, latency: Duration) -> Signal {
        self.limit.signal(outcome, latency)
    }

    /// Refuses every new and waiting call from now on; calls that run go on.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Gives a slot to a call.
    fn admit(&mut self) {
        assert!(
            !self.is_closed && self.running < self.limit() && self.limit() <= self.limit.slots(),
            "invariant: a call enters only below the limit, and the limit is at most the slots"
        );
        self.running += 1;
    }

    /// Time until which a call may wait, and the reason under which it is refused then.
    ///
    /// Half of a typical latency is taken as the least that an answer needs.
    fn give_up(&self, now: Time, offer: &Offer) -> (Time, Refusal) {
        let longest = now + offer.max_wait.unwrap_or(MAX_WAIT).min(MAX_WAIT);
        match offer
            .deadline
            .map(|deadline| deadline - self.limit.typical() / 2)
        {
            Some(last) if last <= longest => (last, Refusal::Deadline),
            Some(_) | None => (longest, Refusal::QueueFull),
        }
    }
}
