//! Retry budget and the rules of retrying.
//!
//! Each service has a token bucket that calls fill and retries empty, so that retries stay a
//! bounded share of the calls however many of them fail (the retry budget of "Site Reliability
//! Engineering", chapter 21). Its size is counted in thousandths of a retry.
//!
//! Work that may have run is repeated by the outermost layer only. A refusal as not run is tried
//! at another owner in every layer: the backend server did nothing for it, so such retries do not
//! multiply along a chain of calls.
//!
//! [`decide`] takes from the budget last, after every other rule has agreed.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::clock::Time;
use crate::counter::Counter;

/// Thousandths of a retry that one retry costs.
pub const RETRY_COST: u32 = 1_000;

/// Thousandths of a retry that one call earns.
pub const CALL_CREDIT: u32 = 100;

/// Thousandths of a retry that a budget holds at most, and at its start.
pub const MAX_CREDIT: u32 = 10 * RETRY_COST;

/// Attempts of one call, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Time that has to be left for an attempt to be of use.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(2);

/// Time kept back at each hop for the answer to travel outwards.
pub const HOP_RESERVE: Duration = Duration::from_millis(2);

/// Part of the time left that a hop keeps back at most.
pub const MAX_RESERVE_DIVISOR: u32 = 10;

/// Retries that a service may still make.
#[derive(Debug)]
pub struct Budget {
    /// Thousandths of a retry that may be spent.
    credit: AtomicU32,
    /// Most that it may hold.
    most: AtomicU32,
    /// What a call adds.
    earned: u32,
}

impl Budget {
    /// Full budget.
    pub const fn new() -> Self {
        Self::with_capacity(MAX_CREDIT, CALL_CREDIT)
    }

    /// Full budget that holds at most `most` and to which a call adds `earned`, in thousandths of
    /// a retry.
    pub const fn with_capacity(most: u32, earned: u32) -> Self {
        Self {
            credit: AtomicU32::new(most),
            most: AtomicU32::new(most),
            earned,
        }
    }

    /// Credits one call.
    #[inline]
    pub fn earn(&self) {
        // A full budget is the common case and needs no write.
        let most = self.most.load(Ordering::Relaxed);
        if self.credit.load(Ordering::Relaxed) >= most {
            return;
        }
        let _ = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                (credit < most).then(|| (credit + self.earned).min(most))
            });
    }

    /// Changes the most that it may hold.
    pub fn resize(&self, most: u32) {
        self.most.store(most, Ordering::Relaxed);
        self.credit.fetch_min(most, Ordering::Relaxed);
    }

    /// Takes one retry; returns false when none is left.
    pub fn spend(&self) -> bool {
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                credit.checked_sub(RETRY_COST)
            })
            .is_ok()
    }

    /// Thousandths of a retry left.
    pub fn credit(&self) -> u32 {
        self.credit.load(Ordering::Relaxed)
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

/// What is known of whether a failed attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The backend server received nothing of it.
    NotRun,
    /// It may have run, in part or whole.
    Unknown,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Refused by the owner, or by the protocol in its terms for "not processed".
    Refused,
    /// No connection could be opened.
    Connect,
    /// Connection broke before the whole answer.
    Reset,
    /// No answer in time.
    Timeout,
    /// Answered with a server error.
    Status,
}

/// Where in a chain of calls an ingress stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layer {
    /// Took the call from its caller; retries.
    Outermost,
    /// Carries a call made on behalf of another; an outer layer retries.
    Inner,
}

/// A failed attempt and what is left to the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Whether repeating the request has no further effect.
    pub is_idempotent: bool,
    /// Whether the attempt ran.
    pub ran: Execution,
    /// How it failed.
    pub failure: Failure,
    /// Time left until the deadline, if the call has one.
    pub time_left: Option<Duration>,
    /// Attempts left, this one not included.
    pub attempts_left: u32,
    /// Place in the chain of calls.
    pub layer: Layer,
    /// Whether the whole request body can be sent again.
    pub is_body_replayable: bool,
}

/// Why a call is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The attempt was refused as not run.
    NotRun,
    /// No connection could be opened.
    Connect,
    /// The connection broke.
    Reset,
    /// The answer did not come in time.
    Timeout,
    /// The answer was a server error.
    Status,
    /// The answer is late and a second attempt runs beside the first.
    Hedge,
}

/// Why a call is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It may have run and must run at most once.
    NotIdempotent,
    /// An outer layer retries.
    Layer,
    /// No attempts remain.
    Attempts,
    /// The request body was not kept.
    Body,
    /// The deadline is too near.
    Deadline,
    /// The service's budget is spent.
    Budget,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try again; the budget has paid for it.
    Retry(Reason),
    /// Answer the caller with the failure.
    GiveUp(Denial),
}

impl Reason {
    /// Counter of the retry.
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
    /// Counter of the denial.
    pub const fn counter(self) -> Counter {
        match self {
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
    /// Counter of the decision.
    pub const fn counter(self) -> Counter {
        match self {
            Self::Retry(reason) => reason.counter(),
            Self::GiveUp(denial) => denial.counter(),
        }
    }
}

/// Decides what follows a failed attempt.
pub fn decide(budget: &Budget, attempt: &Attempt) -> Next {
    match decide_without_budget(attempt) {
        Next::Retry(_) if !budget.spend() => Next::GiveUp(Denial::Budget),
        next => next,
    }
}

/// Decides whether a failed attempt is followed by another that costs the budget nothing, since
/// the failed one reached no backend server.
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

/// Decides whether a second attempt runs beside one whose answer is late.
///
/// The first attempt is still running, so only idempotent calls qualify whatever else holds.
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

/// First rule that forbids another attempt.
fn denial(attempt: &Attempt) -> Option<Denial> {
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

/// Reason under which a permitted retry is counted.
fn reason(attempt: &Attempt) -> Reason {
    match attempt.failure {
        Failure::Connect => Reason::Connect,
        _ if attempt.ran == Execution::NotRun => Reason::NotRun,
        Failure::Refused | Failure::Status => Reason::Status,
        Failure::Reset => Reason::Reset,
        Failure::Timeout => Reason::Timeout,
    }
}

/// Time that a call may still take at the next hop inwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextHopDeadline {
    /// The call has no deadline.
    Unbounded,
    /// The next hop has this long.
    Within(Duration),
    /// Too little is left to be of use.
    Expired,
}

/// Deadline to send inwards, as a duration so that clocks of two hosts need not agree.
///
/// A reserve is kept back so that an answer given just in time still reaches the caller.
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
