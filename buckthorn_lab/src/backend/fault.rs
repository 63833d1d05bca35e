//! Faults that the stand-in plays. Which request a fault meets follows from the request's id, so a
//! run with the same ids meets the same faults.

use std::time::Duration;

use buckthorn::name;

/// Thousandths of requests that all of them are.
const ALL: u64 = 1_000;

/// Faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Thousandths of requests answered with status 500.
    pub error_permille: u16,
    /// Thousandths of requests whose answer breaks off before its declared length.
    pub broken_permille: u16,
    /// Thousandths of requests whose connection is closed after `reset_at` bytes of the body, or
    /// before the answer when that is zero.
    pub reset_permille: u16,
    /// Bytes of the body that are sent before the connection is closed.
    pub reset_at: usize,
    /// Thousandths of requests that never get an answer.
    pub silent_permille: u16,
    /// Time added to every answer.
    pub delay: Duration,
    /// Requests over the slots are refused with status 503 instead of waiting.
    pub is_shedding: bool,
    /// Faults meet only paths with this prefix.
    pub route: String,
    /// Faults meet requests only while more than this many run.
    pub above_running: u32,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Answered in full.
    Respond,
    /// Answered with status 500.
    Error,
    /// The answer breaks off after so many bytes.
    BreakAt(usize),
    /// The connection is closed without an answer.
    Reset,
    /// Never answered.
    Hang,
}

impl Faults {
    /// Whether the faults meet a request on a path while `running` requests run.
    pub fn applies_to(&self, path: &str, running: u32) -> bool {
        path.starts_with(&self.route) && running > self.above_running
    }

    /// What becomes of a request that the faults meet.
    pub fn behavior(&self, request_id: &str, body_bytes: usize) -> Behavior {
        let draw = name::rendezvous("fate", request_id) % ALL;
        let kinds = [
            (self.error_permille, Behavior::Error),
            (self.broken_permille, Behavior::BreakAt(body_bytes / 2)),
            (self.reset_permille, self.reset()),
            (self.silent_permille, Behavior::Hang),
        ];
        let mut edge = 0;
        for (permille, behavior) in kinds {
            edge += u64::from(permille);
            if draw < edge {
                return behavior;
            }
        }
        Behavior::Respond
    }

    /// Fate of a request whose connection is closed.
    const fn reset(&self) -> Behavior {
        match self.reset_at {
            0 => Behavior::Reset,
            at => Behavior::BreakAt(at),
        }
    }
}
