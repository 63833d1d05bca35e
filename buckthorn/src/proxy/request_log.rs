//! Log of calls: a line for each attempt and one for the response.
//!
//! Every call that failed or was retried is logged, and one in [`SAMPLE_INTERVAL`] of the others.
//! The rate of lines is limited, and a separate line reports how many were dropped.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{Response, StatusCode};
use slog::{Logger, info};

use super::Plane;
use super::body::Body;
use super::header::Call;
use super::response;
use crate::clock::Time;
use crate::log_event::LogEvent;
use crate::metrics::Stage;
use crate::name;

/// One in this many successful calls is logged. They are selected by the hash of the request
/// identifier, so that all nodes log the same ones; calls without an identifier are not selected.
pub const SAMPLE_INTERVAL: u64 = 128;

/// Maximum lines of one class per second: a quarter of the capacity of the writer's queue.
pub const MAX_LINES_PER_SECOND: u64 = 250;

/// Number of bits that hold the count of lines in the current second.
const COUNT_BITS: u32 = 24;

/// Class of lines with a separate rate limit, so that a flood of one class does not hide another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Final responses to callers.
    Response,
    /// Single attempts.
    Attempt,
    /// Refusals and failures at owners.
    Owner,
}

impl Class {
    /// Returns the name in the line that reports dropped lines.
    const fn name(self) -> &'static str {
        match self {
            Self::Response => "answer",
            Self::Attempt => "attempt",
            Self::Owner => "owner",
        }
    }
}

/// Rate limiters of all classes, indexed by [`Class`].
#[derive(Debug, Default)]
pub struct RateLimiters([RateLimiter; 3]);

/// Limits the rate of lines.
#[derive(Debug, Default)]
pub struct RateLimiter {
    /// Current second in the upper bits, and the count of its lines in the lower [`COUNT_BITS`].
    packed: AtomicU64,
    /// Dropped lines that were not reported yet.
    dropped: AtomicU64,
}

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may, after this many dropped lines are reported.
    Write(u64),
    /// It is dropped.
    Drop,
}

impl RateLimiter {
    /// Counts a line, and decides whether it is within the limit of the current second.
    pub fn take(&self, now: Time) -> Decision {
        let second = now.as_millis() / 1_000;
        let mask = (1 << COUNT_BITS) - 1;
        let packed = self
            .packed
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |packed| {
                let is_same_second = packed >> COUNT_BITS == second;
                let count = if is_same_second { packed & mask } else { 0 };
                Some(second << COUNT_BITS | (count + 1).min(mask))
            });
        let before = packed.unwrap_or(0);
        let is_same_second = before >> COUNT_BITS == second;
        if is_same_second && before & mask >= MAX_LINES_PER_SECOND {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Decision::Drop;
        }
        Decision::Write(self.dropped.swap(0, Ordering::Relaxed))
    }
}

/// Returns whether a line may be written, and first reports lines that were dropped before it.
pub(super) fn may_write(plane: &Plane, class: Class) -> bool {
    match plane.rate_limiters.0[class as usize].take(plane.clock.now()) {
        Decision::Drop => false,
        Decision::Write(0) => true,
        Decision::Write(dropped) => {
            info!(plane.logger, "{}", LogEvent::LinesDropped.name(); "class" => class.name(),
                "lines" => dropped);
            true
        }
    }
}

/// Log record of one attempt.
#[derive(Debug)]
struct Attempt {
    /// Host that the attempt was sent to.
    target: String,
    /// Status, or the reason for a refusal.
    outcome: String,
    /// Whether the call was run.
    ran: &'static str,
    /// Name of the counter for the next step.
    next: &'static str,
    /// Time left until the call's deadline.
    left: Duration,
    /// Duration of the attempt.
    took: Duration,
}

/// Collects the attempts of a call and logs them when it ends.
pub(super) struct RequestLog<'a> {
    /// Plane of the node.
    plane: &'a Plane,
    /// Logger that the lines are written to.
    logger: &'a Logger,
    /// Identifier of the request, empty when it has none.
    request_id: String,
    /// Service that is called.
    service: &'a str,
    /// Configuration version when the call was received.
    version: u64,
    /// When the call was received.
    started: Time,
    /// When the current attempt started.
    attempt_started: Time,
    /// Attempts that have ended.
    attempts: Vec<Attempt>,
    /// Whether the call was finished by a response.
    is_ended: bool,
}

impl<'a> RequestLog<'a> {
    /// Creates the log of a call that starts now.
    pub(super) fn new(plane: &'a Plane, call: &'a Call, request_id: String) -> Self {
        let now = plane.clock.now();
        Self {
            plane,
            logger: &plane.logger,
            request_id,
            service: &call.service,
            version: plane.table.load().version,
            started: now,
            attempt_started: now,
            attempts: Vec::new(),
            is_ended: false,
        }
    }

    /// Marks the start of an attempt.
    pub(super) fn start_attempt(&mut self) {
        self.attempt_started = self.plane.clock.now();
    }

    /// Records the result of an attempt and the next step.
    pub(super) fn record_attempt(
        &mut self,
        target: &str,
        response: &Response<Body>,
        next: &'static str,
        left: Duration,
    ) {
        let took = self.plane.clock.now().since(self.attempt_started);
        let stages = &self.plane.counters.stages;
        stages.get(Stage::Attempt).observe(took);
        self.attempts.push(Attempt {
            target: target.to_owned(),
            outcome: outcome(response),
            ran: ran(response),
            next,
            left,
            took,
        });
    }

    /// Logs the call with its response if it failed, was retried or is sampled.
    pub(super) fn finish(mut self, response: &Response<Body>) {
        self.is_ended = true;
        let status = response.status();
        let is_plain = self.attempts.len() <= 1 && !is_failure(status);
        if is_plain && !is_sampled(&self.request_id) {
            return;
        }
        self.write_attempts();
        if may_write(self.plane, Class::Response) {
            info!(self.logger, "{}", LogEvent::CallAnswered.name();
                "request" => &self.request_id, "service" => self.service,
                "status" => status.as_u16(), "reason" => reason(response),
                "ran" => ran(response), "attempts" => self.attempts.len(),
                "version" => self.version, "took_ms" => self.elapsed_ms());
        }
    }

    /// Returns the time since the call was received, in milliseconds.
    fn elapsed_ms(&self) -> u64 {
        self.plane.clock.now().since(self.started).as_millis() as u64
    }

    /// Logs the attempts, within the rate limit.
    fn write_attempts(&self) {
        for (index, attempt) in self.attempts.iter().enumerate() {
            if !may_write(self.plane, Class::Attempt) {
                return;
            }
            info!(self.logger, "{}", LogEvent::CallAttempt.name();
                "request" => &self.request_id, "service" => self.service,
                "target" => &attempt.target, "attempt" => index + 1,
                "outcome" => &attempt.outcome, "ran" => attempt.ran, "next" => attempt.next,
                "version" => self.version, "left_ms" => attempt.left.as_millis() as u64,
                "took_ms" => attempt.took.as_millis() as u64);
        }
    }
}

impl Drop for RequestLog<'_> {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        self.write_attempts();
        if may_write(self.plane, Class::Response) {
            info!(self.logger, "{}", LogEvent::CallAbandoned.name();
                "request" => &self.request_id, "service" => self.service,
                "attempts" => self.attempts.len(), "version" => self.version,
                "took_ms" => self.elapsed_ms());
        }
    }
}

/// Returns whether a status is a client or server error.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() || status.is_client_error()
}

/// Returns whether a successful call is logged.
fn is_sampled(request_id: &str) -> bool {
    !request_id.is_empty() && name::hash(request_id).is_multiple_of(SAMPLE_INTERVAL)
}

/// Returns the reason of a refusal, empty for a backend server's response.
fn reason(response: &Response<Body>) -> &str {
    let value = response.headers().get(super::header::REASON);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Returns the status of a backend server's response, or the reason of a refusal.
fn outcome(response: &Response<Body>) -> String {
    match reason(response) {
        "" => response.status().as_u16().to_string(),
        reason => reason.to_owned(),
    }
}

/// Returns whether a call was run, as written in the log.
fn ran(response: &Response<Body>) -> &'static str {
    if !response::is_refusal(response) {
        "run"
    } else if response::is_not_run(response) {
        "not-run"
    } else {
        "unknown"
    }
}
