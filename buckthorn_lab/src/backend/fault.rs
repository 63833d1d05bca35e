//! Fault injection for the stand-in. A hash of the request id decides which fault a request gets,
//! so runs with the same ids get the same faults.

use std::time::Duration;

use buckthorn::name;

/// All requests, in permille.
const PERMILLE: u64 = 1_000;

/// Faults to inject; the default injects none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Share of requests answered with status 500, in permille.
    pub error_permille: u16,
    /// Share of requests whose response ends before its declared length, in permille.
    pub broken_permille: u16,
    /// Share of requests whose connection is closed after `reset_at` bytes of the body, or before
    /// the response when that is zero, in permille.
    pub reset_permille: u16,
    /// Bytes of the body sent before a connection is closed by `reset_permille`.
    pub reset_at: usize,
    /// Share of requests that never get a response, in permille.
    pub silent_permille: u16,
    /// Delay added to every response.
    pub delay: Duration,
    /// Whether requests beyond the slots are refused with status 503 instead of queued.
    pub is_shedding: bool,
    /// Path prefix that faults are limited to; empty for every path.
    pub route: String,
    /// Faults apply only while more than this many requests are running or queued.
    pub above_running: u32,
}

/// How the stand-in handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Sends the whole response.
    Respond,
    /// Responds with status 500.
    Error,
    /// Closes the connection after this many bytes of the body.
    BreakAt(usize),
    /// Closes the connection without a response.
    Reset,
    /// Never responds.
    Hang,
}

impl Faults {
    /// Whether faults apply to a request for `path` while `running` requests are in progress.
    pub fn applies_to(&self, path: &str, running: u32) -> bool {
        path.starts_with(&self.route) && running > self.above_running
    }

    /// Draws the behavior for a request that the faults apply to.
    pub fn behavior(&self, request_id: &str, body_bytes: usize) -> Behavior {
        let draw = name::rendezvous("fate", request_id) % PERMILLE;
        let kinds = [
            (self.error_permille, Behavior::Error),
            (self.broken_permille, Behavior::BreakAt(body_bytes / 2)),
            (self.reset_permille, self.reset()),
            (self.silent_permille, Behavior::Hang),
        ];
        let mut upper = 0;
        for (permille, behavior) in kinds {
            upper += u64::from(permille);
            if draw < upper {
                return behavior;
            }
        }
        Behavior::Respond
    }

    /// Behavior of the `reset_permille` fault.
    const fn reset(&self) -> Behavior {
        match self.reset_at {
            0 => Behavior::Reset,
            at => Behavior::BreakAt(at),
        }
    }
}
