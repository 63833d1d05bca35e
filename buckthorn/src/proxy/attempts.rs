//! Attempts of a call so far, how many are left, and what the caller is told in the end.

use http::Response;

use super::body::Body;
use super::header::Call;
use crate::name::Name;
use crate::routing::budget::{self, MAX_ATTEMPTS};

/// Attempts under a policy's route, most of which end at owners without reaching a backend server.
const MAX_POLICY_ATTEMPTS: u32 = 6;

/// An attempt without a good answer.
pub(super) struct FailedAttempt {
    /// What the caller is told if it was the last.
    pub(super) response: Response<Body>,
    /// Whether it ran.
    pub(super) ran: budget::Ran,
    /// How it failed.
    pub(super) failure: budget::Failure,
    /// Whether the request may have reached a backend server.
    pub(super) may_have_reached_backend: bool,
    /// Whether the owner refused since it is out of service, whatever its load. Asking another
    /// one puts no load on a backend server that has none to spare.
    pub(super) is_out_of_rotation: bool,
}

/// Attempts of a call so far.
pub(super) struct Attempts {
    /// Attempts left.
    remaining: u32,
    /// Backend servers that the call may still reach, where its route says so.
    max_backend_attempts: Option<u32>,
    /// Hosts that were tried.
    pub(super) tried: Vec<Name>,
    /// What came of the last attempt that may have run.
    unknown: Option<Response<Body>>,
    /// What came of the last attempt.
    last: Option<Response<Body>>,
}

impl Attempts {
    /// None made yet.
    pub(super) fn new(call: &Call) -> Self {
        Self {
            remaining: if call.max_backend_attempts.is_some() {
                MAX_POLICY_ATTEMPTS
            } else {
                MAX_ATTEMPTS
            },
            max_backend_attempts: call.max_backend_attempts,
            tried: Vec::new(),
            unknown: None,
            last: None,
        }
    }

    /// Counts a failed attempt.
    pub(super) fn count(&mut self, failed: &FailedAttempt) {
        self.remaining -= 1;
        if failed.may_have_reached_backend {
            self.max_backend_attempts =
                self.max_backend_attempts.map(|left| left.saturating_sub(1));
        }
    }

    /// Attempts left.
    pub(super) fn left(&self) -> u32 {
        match self.max_backend_attempts {
            Some(0) => 0,
            Some(_) | None => self.remaining,
        }
    }

    /// Keeps what came of an attempt.
    pub(super) fn record(&mut self, host: Name, failed: FailedAttempt) {
        self.tried.push(host);
        match failed.ran {
            budget::Ran::Unknown => self.unknown = Some(failed.response),
            budget::Ran::NotRun => self.last = Some(failed.response),
        }
    }

    /// What the caller is told: an attempt that may have run outweighs later ones that did not.
    pub(super) fn final_response(&mut self) -> Option<Response<Body>> {
        self.unknown.take().or_else(|| self.last.take())
    }
}
