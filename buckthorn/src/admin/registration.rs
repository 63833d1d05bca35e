//! What follows from announcements, leaves and silence of the own backend server.
//!
//! A backend server announces itself every few seconds; silence for [`ANNOUNCEMENT_EXPIRY`] withdraws it. A
//! leave is told to the peers at once; [`DRAIN_GRACE`] later new work is refused, and once nothing
//! is in flight the backend server is gone. Announcements that cross the leave on their way are
//! refused for [`LEAVE_HOLD_DOWN`], unless they come from another start of the backend server.

use std::time::Duration;

use super::announcement::Heartbeat;
use super::{Announcement, Refusal};
use crate::clock::Time;

/// Interval at which backend servers are asked to announce themselves.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);

/// Silence after which a backend server is withdrawn.
pub const ANNOUNCEMENT_EXPIRY: Duration = Duration::from_secs(10);

/// Silence after which a backend server that sends heartbeats is withdrawn: they come every 1 to
/// 2 s and may be seconds late.
pub const HEARTBEAT_EXPIRY: Duration = Duration::from_secs(6);

/// Time between telling the peers of a leave and refusing new work.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Time after a leave during which the same start of a backend server cannot return.
pub const LEAVE_HOLD_DOWN: Duration = Duration::from_secs(5);

/// The backend server of one host, as far as its node has been told.
#[derive(Clone, Debug, Default)]
pub struct Registration {
    /// What holds now.
    state: State,
    /// Who took its leave last, and when.
    departed: Option<(Announcement, Time)>,
}

/// What holds of the backend server.
#[derive(Clone, Debug, Default)]
enum State {
    /// Nothing is known.
    #[default]
    Absent,
    /// It announces itself.
    Present {
        /// Last announcement.
        last: Announcement,
        /// When it came.
        at: Time,
    },
    /// It has taken its leave and finishes what is in flight.
    Leaving {
        /// Last announcement.
        last: Announcement,
        /// When the leave came.
        at: Time,
        /// Whether new work is refused.
        is_closed: bool,
    },
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Nothing changed.
    Unchanged,
    /// The backend server is known and well.
    Refreshed,
    /// The backend server is new or has changed: let it in and tell the peers.
    Open,
    /// Tell the peers that it drains.
    Drain,
    /// Refuse new work; what is in flight goes on.
    Close,
    /// It has drained: forget it.
    Removed,
    /// It was silent for too long: forget it.
    Expired,
}

/// Silence after which a backend server is withdrawn.
fn expiry(last: &Announcement) -> Duration {
    match last.heartbeat {
        Some(_) => HEARTBEAT_EXPIRY,
        None => ANNOUNCEMENT_EXPIRY,
    }
}

impl Registration {
    /// Registration before the first announcement.
    pub fn new() -> Self {
        Self::default()
    }

    /// The last announcement, unless the backend server is gone.
    pub fn current(&self) -> Option<&Announcement> {
        match &self.state {
            State::Absent => None,
            State::Present { last, .. } | State::Leaving { last, .. } => Some(last),
        }
    }

    /// Takes an announcement.
    ///
    /// # Errors
    ///
    /// Refuses a backend server that has just taken its leave.
    pub fn announce(
        &mut self,
        announcement: &Announcement,
        now: Time,
    ) -> Result<Transition, Refusal> {
        if let Some(heartbeat) = &announcement.heartbeat {
            return Ok(self.heartbeat(announcement, heartbeat, now));
        }
        let is_held = self.departed.as_ref().is_some_and(|(departed, at)| {
            now.since(*at) < LEAVE_HOLD_DOWN && departed.is_same_incarnation(announcement)
        });
        if is_held {
            return Err(Refusal::Leaving);
        }
        let is_known = matches!(&self.state, State::Present { last, .. } if *last == *announcement);
        self.state = State::Present {
            last: announcement.clone(),
            at: now,
        };
        Ok(if is_known {
            Transition::Unchanged
        } else {
            Transition::Open
        })
    }

    /// Takes a heartbeat; one that is late, or of an earlier incarnation, changes nothing.
    fn heartbeat(
        &mut self,
        announcement: &Announcement,
        beat: &Heartbeat,
        now: Time,
    ) -> Transition {
        let departed = self.departed.as_ref().map(|(departed, _)| departed);
        let is_past =
            |held: &Announcement| held.heartbeat.is_some_and(|held| beat.rank() < held.rank());
        if self.current().is_some_and(is_past) || departed.is_some_and(is_past) {
            return Transition::Unchanged;
        }
        if departed.is_some_and(|departed| departed.is_same_incarnation(announcement)) {
            return Transition::Unchanged;
        }
        if beat.is_draining {
            let is_present = matches!(&self.state, State::Present { last, .. }
                if last.is_same_incarnation(announcement));
            self.departed = Some((announcement.clone(), now));
            if !is_present {
                return Transition::Unchanged;
            }
            return self.leave(now);
        }
        let is_known = matches!(&self.state, State::Present { last, .. }
            if last.is_same_incarnation(announcement) && last.slots == announcement.slots);
        self.state = State::Present {
            last: announcement.clone(),
            at: now,
        };
        if is_known {
            Transition::Refreshed
        } else {
            Transition::Open
        }
    }

    /// Takes the backend server's leave.
    pub fn leave(&mut self, now: Time) -> Transition {
        let State::Present { last, .. } = &self.state else {
            return Transition::Unchanged;
        };
        let last = last.clone();
        self.departed = Some((last.clone(), now));
        self.state = State::Leaving {
            last,
            at: now,
            is_closed: false,
        };
        Transition::Drain
    }

    /// Does what is due by the clock; `running` is the number of calls in flight.
    ///
    /// New work is refused before calls in flight are counted, so that none slips in between.
    pub fn poll(&mut self, now: Time, running: usize) -> Transition {
        match &mut self.state {
            State::Present { last, at } if now.since(*at) >= expiry(last) => {
                self.state = State::Absent;
                Transition::Expired
            }
            State::Leaving { at, is_closed, .. } if now.since(*at) >= DRAIN_GRACE => {
                if !std::mem::replace(is_closed, true) {
                    return Transition::Close;
                }
                if running > 0 {
                    return Transition::Unchanged;
                }
                self.state = State::Absent;
                Transition::Removed
            }
            State::Absent | State::Present { .. } | State::Leaving { .. } => Transition::Unchanged,
        }
    }
}
