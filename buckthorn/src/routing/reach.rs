//! Which hosts and failure domains respond to this ingress.
//!
//! A host that does not respond is skipped for a pause. The first call after the pause is a trial:
//! others skip the host until that call gets a response, or for another pause.
//!
//! When a failure domain is cut off, each of its hosts would cost calls before it is found to be
//! unreachable, and a trial after each pause. So all of it is skipped once several of its hosts have
//! gone silent and none has responded for a while, and one call is a trial for all of them. Where
//! single hosts stop, the others respond within that time.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::Time;

/// How long a host or failure domain is skipped, unless there is no other. The trial after it costs
/// at most the time of a connection attempt.
pub const PAUSE: Duration = Duration::from_millis(1_000);

/// Hosts of a failure domain that went silent since its last response, from which all of it is
/// skipped. As many members of a failure domain that stay silent make the membership suspect it.
pub const SILENT_HOSTS: u32 = 3;

/// Shortest time without a response from a failure domain after which it is skipped. Hosts that stop
/// at the same moment are found within less, while others of their failure domain respond.
pub const SILENCE: Duration = Duration::from_millis(250);

/// Pause in which no call is sent.
#[derive(Debug, Default)]
struct Pause {
    /// End in microseconds since the Unix epoch; zero while there is none.
    until: AtomicU64,
}

impl Pause {
    /// Starts a pause; returns whether there was none.
    fn start(&self, now: Time) -> bool {
        let until = now + PAUSE;
        self.until.swap(until.0, Ordering::Relaxed) == 0
    }

    /// Ends the pause.
    fn end(&self) {
        if self.until.load(Ordering::Relaxed) > 0 {
            self.until.store(0, Ordering::Relaxed);
        }
    }

    /// Returns whether calls are to be sent elsewhere.
    fn skips(&self, now: Time) -> bool {
        now.0 < self.until.load(Ordering::Relaxed)
    }

    /// Starts another pause for other calls if a call is a trial after the last one.
    fn start_trial(&self, now: Time) {
        let until = self.until.load(Ordering::Relaxed);
        if until > 0 && now.0 >= until {
            self.until.store((now + PAUSE).0, Ordering::Relaxed);
        }
    }
}

/// Reachability of one host.
#[derive(Debug, Default)]
pub struct Host {
    /// Pause after the host did not respond.
    pause: Pause,
}

impl Host {
    /// Records that the host could not be reached; returns whether it had responded before.
    pub fn mark_unreachable(&self, now: Time) -> bool {
        self.pause.start(now)
    }

    /// Records that the host responded.
    #[inline]
    pub fn mark_reachable(&self) {
        self.pause.end();
    }

    /// Records that a call is sent to the host.
    #[inline]
    pub fn start_call(&self, now: Time) {
        self.pause.start_trial(now);
    }

    /// Returns whether the host counts as unreachable.
    #[inline]
    pub fn is_unreachable(&self, now: Time) -> bool {
        self.pause.skips(now)
    }
}

/// Reachability of a failure domain other than that of this node.
#[derive(Debug, Default)]
pub struct Domain {
    /// Pause after the failure domain went silent.
    pause: Pause,
    /// Hosts that went silent since the last response.
    silent: AtomicU32,
    /// Time of the last response, in microseconds since the Unix epoch; zero before the first.
    last_response: AtomicU64,
}

impl Domain {
    /// Records that a host of the failure domain did not respond, and whether it `had_responded`
    /// before. Returns whether the failure domain is skipped from now on.
    pub fn record_silent(&self, had_responded: bool, now: Time) -> bool {
        let before = self
            .silent
            .fetch_add(u32::from(had_responded), Ordering::Relaxed);
        let silent = before + u32::from(had_responded);
        let last_response = Time(self.last_response.load(Ordering::Relaxed));
        let is_silent = silent >= SILENT_HOSTS && now.since(last_response) >= SILENCE;
        is_silent && self.pause.start(now)
    }

    /// Records that a host of the failure domain responded.
    pub fn record_response(&self, now: Time) {
        self.last_response.store(now.0, Ordering::Relaxed);
        if self.silent.load(Ordering::Relaxed) > 0 {
            self.silent.store(0, Ordering::Relaxed);
        }
        self.pause.end();
    }

    /// Records that a call is sent to a host of the failure domain.
    #[inline]
    pub fn start_call(&self, now: Time) {
        self.pause.start_trial(now);
    }

    /// Returns whether the failure domain counts as cut off.
    #[inline]
    pub fn is_unreachable(&self, now: Time) -> bool {
        self.pause.skips(now)
    }
}
