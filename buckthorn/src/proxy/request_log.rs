//! What is logged of a call: a line for each attempt and one for the answer.
//!
//! Failures and retries are logged always, other calls one in [`SAMPLE_INTERVAL`]; the rate of all lines of
//! calls is bounded, and what is left out is counted in a line of its own.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{Response, StatusCode};
use slog::{Logger, info};

use super::Plane;
use super::body::Body;
use super::header::Call;
use super::response;
use crate::clock::Time;
use crate::logline::Line;
use crate::metrics::Stage;
use crate::name;

/// One in so many calls that went well is logged; chosen by its identifier, so that all nodes log
/// the same ones.
pub const SAMPLE_INTERVAL: u64 = 128;

/// Lines of one class in a second, a quarter of what the writer's queue takes at once.
pub const MAX_LINES_PER_SECOND: u64 = 250;

/// Bits that hold the lines of the present second.
const COUNT_BITS: u32 = 24;

/// Class of lines with an allowance of its own, so that a flood of one hides no other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Final answers.
    Answer,
    /// Attempts.
    Attempt,
    /// What owners refuse or fail.
    Owner,
}

impl Class {
    /// Name in the line that counts what was left out.
    const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Attempt => "attempt",
            Self::Owner => "owner",
        }
    }
}

/// Bounds of the rates of all classes.
#[derive(Debug, Default)]
pub struct RateLimiters([RateLimiter; 3]);

/// Bounds the rate of lines.
#[derive(Debug, Default)]
pub struct RateLimiter {
    /// Second, and the lines in it.
    packed: AtomicU64,
    /// Lines left out and not told yet.
    dropped: AtomicU64,
}

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may, after telling of so many lines that were left out.
    Write(u64),
    /// It is left out.
    Drop,
}

impl RateLimiter {
    /// Takes one line of this second's allowance.
    pub fn take(&self, now: Time) -> Decision {
        let second = now.as_millis() / 1_000;
        let mask = (1 << COUNT_BITS) - 1;
        let packed = self
            .packed
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |packed| {
                let is_same = packed >> COUNT_BITS == second;
                let count = if is_same { packed & mask } else { 0 };
                Some(second << COUNT_BITS | (count + 1).min(mask))
            });
        let before = packed.unwrap_or(0);
        let is_same = before >> COUNT_BITS == second;
        if is_same && before & mask >= MAX_LINES_PER_SECOND {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Decision::Drop;
        }
        Decision::Write(self.dropped.swap(0, Ordering::Relaxed))
    }
}

/// Whether a line of a call may be written; tells first of those that were left out.
pub(super) fn may_write(plane: &Plane, class: Class) -> bool {
    match plane.rate_limiters.0[class as usize].take(plane.clock.now()) {
        Decision::Drop => false,
        Decision::Write(0) => true,
        Decision::Write(dropped) => {
            info!(plane.logger, "{}", Line::LinesDropped.name(); "class" => class.name(),
                "lines" => dropped);
            true
        }
    }
}

/// One attempt, as it is logged.
#[derive(Debug)]
struct Attempt {
    /// Host that it went to.
    target: String,
    /// Status, or the reason of a refusal.
    outcome: String,
    /// Whether it ran.
    ran: &'static str,
    /// Counter of what follows.
    next: &'static str,
    /// Time left of the call.
    left: Duration,
    /// Time that it took.
    took: Duration,
}

/// A call's attempts so far.
pub(super) struct RequestLog<'a> {
    /// Path of a call.
    plane: &'a Plane,
    /// Log.
    logger: &'a Logger,
    /// Identifier of the request.
    request: String,
    /// Service.
    service: &'a str,
    /// Configuration in force when the call came.
    version: u64,
    /// When the call came.
    started: Time,
    /// When the present attempt began.
    attempt_started: Time,
    /// Attempts that ended.
    attempts: Vec<Attempt>,
    /// Whether the answer was logged.
    is_ended: bool,
}

impl<'a> RequestLog<'a> {
    /// Trail of a call that starts.
    pub(super) fn new(plane: &'a Plane, call: &'a Call, request: String) -> Self {
        let now = plane.clock.now();
        Self {
            plane,
            logger: &plane.logger,
            request,
            service: &call.service,
            version: plane.table.load().version,
            started: now,
            attempt_started: now,
            attempts: Vec::new(),
            is_ended: false,
        }
    }

    /// Notes that an attempt starts.
    pub(super) fn start_attempt(&mut self) {
        self.attempt_started = self.plane.clock.now();
    }

    /// Notes how an attempt ended and what follows.
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

    /// Logs the call, if it is to be logged.
    pub(super) fn finish(mut self, response: &Response<Body>) {
        self.is_ended = true;
        let status = response.status();
        let is_plain = self.attempts.len() <= 1 && !is_failure(status);
        if is_plain && !is_sampled(&self.request) {
            return;
        }
        self.write_attempts();
        if may_write(self.plane, Class::Answer) {
            info!(self.logger, "{}", Line::CallAnswered.name();
                "request" => &self.request, "service" => self.service,
                "status" => status.as_u16(), "reason" => reason(response),
                "ran" => ran(response), "attempts" => self.attempts.len(),
                "version" => self.version, "took_ms" => self.elapsed_ms());
        }
    }

    /// Time since the call came, in milliseconds.
    fn elapsed_ms(&self) -> u64 {
        self.plane.clock.now().since(self.started).as_millis() as u64
    }

    /// Logs the attempts, within the allowance.
    fn write_attempts(&self) {
        for (index, attempt) in self.attempts.iter().enumerate() {
            if !may_write(self.plane, Class::Attempt) {
                return;
            }
            info!(self.logger, "{}", Line::CallAttempt.name();
                "request" => &self.request, "service" => self.service,
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
        if may_write(self.plane, Class::Answer) {
            info!(self.logger, "{}", Line::CallAbandoned.name();
                "request" => &self.request, "service" => self.service,
                "attempts" => self.attempts.len(), "version" => self.version,
                "took_ms" => self.elapsed_ms());
        }
    }
}

/// Whether a status says that the caller did not get what it asked for.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() || status.is_client_error()
}

/// Whether a call that went well is logged.
fn is_sampled(request: &str) -> bool {
    !request.is_empty() && name::hash(request).is_multiple_of(SAMPLE_INTERVAL)
}

/// Reason that an answer names, empty for a backend server's answer.
fn reason(response: &Response<Body>) -> &str {
    let value = response.headers().get(super::header::REASON);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Status of a backend server's answer, or the reason of a refusal.
fn outcome(response: &Response<Body>) -> String {
    match reason(response) {
        "" => response.status().as_u16().to_string(),
        reason => reason.to_owned(),
    }
}

/// Whether a call ran, in the words of the answers.
fn ran(response: &Response<Body>) -> &'static str {
    if !response::is_refusal(response) {
        "run"
    } else if response::is_not_run(response) {
        "not-run"
    } else {
        "unknown"
    }
}
