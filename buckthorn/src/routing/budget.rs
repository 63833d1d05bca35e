//! Retry budget and retry rules.
//!
//! Each service has a token bucket that calls fill and retries drain, so that retries stay a
//! bounded share of the calls however many of them fail (the retry budget of "Site Reliability
//! Engineering", chapter 21). Its credit is counted in thousandths of a retry.
//!
//! A call that may have run is retried by the outermost layer only. A call refused as not run is
//! retried at another owner in every layer: the backend server did no work for it, so such retries
//! do not multiply along a chain of calls.
//!
//! [`decide`] checks the budget last, so that only retries that every other rule permits use it.
//! Calls in progress come first: what a budget could not grant them is held back from retries of new
//! requests, whose failure wastes less, until some of these have given way.

use std::sync::atomic::{AtomicI64, AtomicU32, Ordering};
use std::time::Duration;

use crate::clock::Time;
use crate::counter::Counter;

/// Credit that one retry costs, in thousandths of a retry.
pub const RETRY_COST: u32 = 1_000;

/// Credit that one call adds by default, in thousandths of a retry.
pub const CALL_CREDIT: u32 = 100;

/// Default capacity of a budget, in thousandths of a retry; a new budget is full.
pub const MAX_CREDIT: u32 = 10 * RETRY_COST;

/// Largest debt of a budget, in thousandths of a retry. Repeats that a budget doesn't grant, since
/// another service's did, are paid off by later calls.
pub const MAX_DEBT: u32 = 20 * RETRY_COST;

/// Maximum number of attempts of one call, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Shortest time left in which an attempt can still be useful.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(2);

/// Time reserved at each hop for the response to travel back.
pub const HOP_RESERVE: Duration = Duration::from_millis(2);

/// A hop reserves at most the time left divided by this.
pub const MAX_RESERVE_DIVISOR: u32 = 10;

/// Retries of a service that all nodes may make together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries that each call adds to its service's retry budget.
    pub ratio: f64,
    /// Retries that are allowed beyond the ratio within a window, shared by all nodes.
    pub slack: f64,
}

/// Retry budget of a service.
#[derive(Debug)]
pub struct Budget {
    /// Available credit, in thousandths of a retry; negative while in debt.
    credit: AtomicI64,
    /// Largest credit.
    capacity: AtomicU32,
    /// Credit that a call adds.
    earned: u32,
    /// Credit that is held back for calls in progress.
    held: AtomicI64,
}

impl Budget {
    /// Creates a full budget with the default capacity and credit for each call.
    pub const fn new() -> Self {
        Self::with_capacity(MAX_CREDIT, CALL_CREDIT)
    }

    /// Creates a full budget that holds at most `capacity` and to which a call adds `earned`, in
    /// thousandths of a retry.
    pub const fn with_capacity(capacity: u32, earned: u32) -> Self {
        Self {
            credit: AtomicI64::new(capacity as i64),
            capacity: AtomicU32::new(capacity),
            earned,
            held: AtomicI64::new(0),
        }
    }

    /// Adds the credit of one call.
    #[inline]
    pub fn earn(&self) {
        // A full budget is the common case and needs no write.
        let capacity = i64::from(self.capacity.load(Ordering::Relaxed));
        if self.credit.load(Ordering::Relaxed) >= capacity {
            return;
        }
        let _ = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                (credit < capacity).then(|| (credit + i64::from(self.earned)).min(capacity))
            });
    }

    /// Changes the capacity; credit beyond it is lost.
    pub fn resize(&self, capacity: u32) {
        self.capacity.store(capacity, Ordering::Relaxed);
        self.credit
            .fetch_min(i64::from(capacity), Ordering::Relaxed);
    }

    /// Takes the credit for one retry of a new request; returns false when too little is left beside
    /// what is held back. Half of that is then released, so that it does not lie idle.
    pub fn spend(&self) -> bool {
        let held = self.held.load(Ordering::Relaxed);
        let is_spent = self.take(held);
        if !is_spent && held > 0 {
            self.held.store(held / 2, Ordering::Relaxed);
        }
        is_spent
    }

    /// Takes the credit for one retry of a call in progress; returns false when too little is left,
    /// and holds the credit back for the next one.
    pub fn spend_in_progress(&self) -> bool {
        let is_spent = self.take(0);
        if !is_spent {
            let capacity = i64::from(self.capacity.load(Ordering::Relaxed));
            self.held.store(capacity, Ordering::Relaxed);
        }
        is_spent
    }

    /// Takes the credit for one retry and leaves at least `rest`.
    fn take(&self, rest: i64) -> bool {
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                let left = credit - i64::from(RETRY_COST);
                (left >= rest).then_some(left)
            })
            .is_ok()
    }

    /// Charges a call that is itself a repeat with the given probability in thousandths, because
    /// the call that it serves may have been retried.
    pub fn charge_repeat(&self, permille: u32) {
        if permille == 0 {
            return;
        }
        let charge = |credit: i64| Some((credit - i64::from(permille)).max(-i64::from(MAX_DEBT)));
        // The closure never declines.
        let _ = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, charge);
    }

    /// Returns the available credit, in thousandths of a retry; negative while in debt.
    pub fn credit(&self) -> i64 {
        self.credit.load(Ordering::Relaxed)
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

/// Whether a failed attempt ran, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The backend server received no part of the attempt.
    NotRun,
    /// The attempt may have run, partially or completely.
    Unknown,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The owner refused it, or the protocol signalled that it was not processed.
    Refused,
    /// No connection could be opened.
    Connect,
    /// The connection broke before the response was complete.
    Reset,
    /// No response arrived in time.
    Timeout,
    /// The response was a server error.
    Status,
}

/// Position of an ingress in a chain of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layer {
    /// The ingress received the call from its caller and may retry.
    Outermost,
    /// The call was made on behalf of another one, whose ingress retries.
    Inner,
}

/// A failed attempt and the remaining time and attempts of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Whether repeating the request has no additional effect.
    pub is_idempotent: bool,
    /// Whether the attempt ran.
    pub ran: Execution,
    /// How the attempt failed.
    pub failure: Failure,
    /// Time left until the deadline; absent when the call has no deadline.
    pub time_left: Option<Duration>,
    /// Remaining attempts, this one not included.
    pub attempts_left: u32,
    /// Position of this ingress in the chain of calls.
    pub layer: Layer,
    /// Whether the complete request body is buffered and can be sent again.
    pub is_body_replayable: bool,
    /// Whether the request may have crashed the backend servers that it was sent to.
    pub is_poison: bool,
    /// Whether a running request depends on the call.
    pub is_in_progress: bool,
}

/// Why a call is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The attempt was refused as not run.
    NotRun,
    /// No connection could be opened.
    Connect,
    /// The connection broke before the response was complete.
    Reset,
    /// No response arrived in time.
    Timeout,
    /// The response was a server error.
    Status,
    /// The response is late, so a second attempt runs concurrently.
    Hedge,
}

/// Why a call is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request may have crashed backend servers.
    Poison,
    /// The call may have run and must run at most once.
    NotIdempotent,
    /// An outer layer retries the call.
    Layer,
    /// No attempts remain.
    Attempts,
    /// The request body was not buffered.
    Body,
    /// The deadline is too near.
    Deadline,
    /// The service's retry budget is exhausted.
    Budget,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Retry the call; the budget was already charged.
    Retry(Reason),
    /// Return the failure to the caller.
    GiveUp(Denial),
}

impl Reason {
    /// Counter incremented for the retry.
    pub const fn counter(self) -> Counter {
        match self {
            Self::NotRun => Counter::RetryNotRun,
            Self::Connect => Counter::RetryConnect,
            Self::Reset => Counter::RetryReset,
            Self::Timeout => Counter::RetryTimeout,
            Self::Status => Counter::RetryStatus,
            Self::Hedge => Counter::RetryHedge,
        }
    }
}

impl Denial {
    /// Counter incremented for the denial.
    pub const fn counter(self) -> Counter {
        match self {
            Self::Poison => Counter::RetryDeniedPoison,
            Self::NotIdempotent => Counter::RetryDeniedNotIdempotent,
            Self::Layer => Counter::RetryDeniedLayer,
            Self::Attempts => Counter::RetryDeniedAttempts,
            Self::Body => Counter::RetryDeniedBody,
            Self::Deadline => Counter::RetryDeniedDeadline,
            Self::Budget => Counter::RetryDeniedBudget,
        }
    }
}

impl Next {
    /// Counter incremented for the decision.
    pub const fn counter(self) -> Counter {
        match self {
            Self::Retry(reason) => reason.counter(),
            Self::GiveUp(denial) => denial.counter(),
        }
    }
}

/// Decides whether a failed attempt is retried, and charges the budget if so.
pub fn decide(budget: &Budget, attempt: &Attempt) -> Next {
    let next = decide_without_budget(attempt);
    if matches!(next, Next::GiveUp(_)) {
        return next;
    }
    let is_granted = if attempt.is_in_progress {
        budget.spend_in_progress()
    } else {
        budget.spend()
    };
    if is_granted {
        next
    } else {
        Next::GiveUp(Denial::Budget)
    }
}

/// Decides whether a failed attempt is retried without charging the budget.
///
/// Used when the attempt reached no backend server.
pub fn decide_without_budget(attempt: &Attempt) -> Next {
    if let Some(denial) = denial(attempt) {
        return Next::GiveUp(denial);
    }
    assert!(
        attempt.is_idempotent || attempt.ran == Execution::NotRun,
        "invariant: a non-idempotent request runs at most once"
    );
    Next::Retry(reason(attempt))
}

/// Decides whether a second attempt runs concurrently with one whose response is late.
///
/// The first attempt is still running, so only idempotent calls qualify.
pub fn hedge(budget: &Budget, attempt: &Attempt) -> Next {
    let running = Attempt {
        ran: Execution::Unknown,
        ..*attempt
    };
    match decide(budget, &running) {
        Next::Retry(_) => Next::Retry(Reason::Hedge),
        next @ Next::GiveUp(_) => next,
    }
}

/// Returns the first rule that forbids another attempt.
fn denial(attempt: &Attempt) -> Option<Denial> {
    if attempt.is_poison {
        return Some(Denial::Poison);
    }
    if attempt.ran == Execution::Unknown && !attempt.is_idempotent {
        return Some(Denial::NotIdempotent);
    }
    if attempt.ran == Execution::Unknown && attempt.layer == Layer::Inner {
        return Some(Denial::Layer);
    }
    if attempt.attempts_left == 0 {
        return Some(Denial::Attempts);
    }
    if !attempt.is_body_replayable {
        return Some(Denial::Body);
    }
    if attempt
        .time_left
        .is_some_and(|left| left < MIN_ATTEMPT_TIME)
    {
        return Some(Denial::Deadline);
    }
    None
}

/// Returns the reason that a permitted retry is counted under.
fn reason(attempt: &Attempt) -> Reason {
    match attempt.failure {
        Failure::Connect => Reason::Connect,
        _ if attempt.ran == Execution::NotRun => Reason::NotRun,
        Failure::Refused | Failure::Status => Reason::Status,
        Failure::Reset => Reason::Reset,
        Failure::Timeout => Reason::Timeout,
    }
}

/// Time that a call may still take at the next hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextHopDeadline {
    /// The call has no deadline.
    Unbounded,
    /// The next hop may take this long.
    Within(Duration),
    /// Less than [`MIN_ATTEMPT_TIME`] is left.
    Expired,
}

/// Computes the deadline to send to the next hop.
///
/// It is a duration, so that the clocks of the two hosts need not agree. Part of the time left is
/// reserved so that a response sent just in time still reaches the caller.
pub fn next_hop_deadline(deadline: Option<Time>, now: Time) -> NextHopDeadline {
    let Some(deadline) = deadline else {
        return NextHopDeadline::Unbounded;
    };
    let left = deadline.since(now);
    let rest = left - HOP_RESERVE.min(left / MAX_RESERVE_DIVISOR);
    if rest < MIN_ATTEMPT_TIME {
        return NextHopDeadline::Expired;
    }
    NextHopDeadline::Within(rest)
}
