//! Attempts of a call: how many remain, and the response that the caller receives if all fail.

use http::Response;

use super::body::Body;
use super::header::Call;
use crate::name::Name;
use crate::routing::budget::{self, MAX_ATTEMPTS};

/// Attempts allowed under a policy's route. Most of them end at owners without reaching a backend
/// server.
const MAX_POLICY_ATTEMPTS: u32 = 6;

/// An attempt that did not succeed.
pub(super) struct FailedAttempt {
    /// Response to the caller if no further attempt is made.
    pub(super) response: Response<Body>,
    /// Whether the call was run.
    pub(super) ran: budget::Execution,
    /// Kind of the failure.
    pub(super) failure: budget::Failure,
    /// Whether the request may have reached a backend server.
    pub(super) may_have_reached_backend: bool,
    /// Whether the owner refused because it is out of service or draining, independent of its load.
    /// A retry elsewhere then adds no load to an overloaded backend server.
    pub(super) is_out_of_rotation: bool,
}

/// Tracks the attempts of a call.
pub(super) struct Attempts {
    /// Attempts that may still be made.
    remaining: u32,
    /// Backend servers that the call may still reach; `None` if its route sets no limit.
    max_backend_attempts: Option<u32>,
    /// Whether an earlier attempt may have reached a backend server.
    has_reached_backend: bool,
    /// Hosts that were already tried.
    pub(super) tried: Vec<Name>,
    /// Response of the last attempt that may have run.
    unknown: Option<Response<Body>>,
    /// Response of the last attempt that was not run.
    not_run: Option<Response<Body>>,
}

impl Attempts {
    /// Starts tracking a call with no attempts made.
    pub(super) fn new(call: &Call) -> Self {
        Self {
            remaining: if call.max_backend_attempts.is_some() {
                MAX_POLICY_ATTEMPTS
            } else {
                MAX_ATTEMPTS
            },
            max_backend_attempts: call.max_backend_attempts,
            has_reached_backend: false,
            tried: Vec::new(),
            unknown: None,
            not_run: None,
        }
    }

    /// Deducts a failed attempt from the remaining ones.
    pub(super) fn count(&mut self, failed: &FailedAttempt) {
        self.remaining -= 1;
        if failed.may_have_reached_backend {
            self.has_reached_backend = true;
            self.max_backend_attempts =
                self.max_backend_attempts.map(|left| left.saturating_sub(1));
        }
    }

    /// Returns whether the next attempt may repeat a run.
    pub(super) fn is_next_repeat(&self) -> bool {
        self.has_reached_backend
    }

    /// Returns the number of attempts left.
    pub(super) fn left(&self) -> u32 {
        match self.max_backend_attempts {
            Some(0) => 0,
            Some(_) | None => self.remaining,
        }
    }

    /// Returns the number of backend servers from which the remainder of a response may be requested
    /// if it is interrupted.
    pub(super) fn left_after_response(&self) -> u32 {
        let max = self.max_backend_attempts.unwrap_or(self.remaining);
        max.min(self.remaining).saturating_sub(1)
    }

    /// Keeps the response of a failed attempt and excludes its host.
    pub(super) fn record(&mut self, host: Name, failed: FailedAttempt) {
        self.tried.push(host);
        match failed.ran {
            budget::Execution::Unknown => self.unknown = Some(failed.response),
            budget::Execution::NotRun => self.not_run = Some(failed.response),
        }
    }

    /// Returns the response for the caller: an attempt that may have run takes precedence over
    /// later ones that did not run.
    pub(super) fn final_response(&mut self) -> Option<Response<Body>> {
        self.unknown.take().or_else(|| self.not_run.take())
    }
}
