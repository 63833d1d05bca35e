//! State machine of the local backend server, driven by announcements, leaves and timeouts.
//!
//! A backend server announces itself every few seconds and expires after [`ANNOUNCEMENT_EXPIRY`]
//! without an announcement, or after [`HEARTBEAT_EXPIRY`] if it sends heartbeats. A leave is reported to the peers at once; new work is refused
//! [`DRAIN_GRACE`] later, and the backend server is removed once no calls are in flight.
//! Announcements that were sent before the leave but arrive after it are refused for
//! [`LEAVE_HOLD_DOWN`], unless they come from another incarnation of the backend server.

use std::time::Duration;

use super::announcement::Heartbeat;
use super::{Announcement, Refusal};
use crate::clock::Time;
use crate::membership::member::Departure;
use crate::name::Name;

/// Interval at which backend servers are expected to announce themselves.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);

/// Time without an announcement after which a backend server expires.
pub const ANNOUNCEMENT_EXPIRY: Duration = Duration::from_secs(10);

/// Time without a heartbeat after which a backend server that sends heartbeats expires. Heartbeats
/// arrive every 1 to 2 s and may be delayed by seconds.
pub const HEARTBEAT_EXPIRY: Duration = Duration::from_secs(6);

/// Time between reporting a leave to the peers and refusing new work, in which the peers stop
/// sending calls.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Time after a leave during which the same incarnation of a backend server cannot register again.
pub const LEAVE_HOLD_DOWN: Duration = Duration::from_secs(5);

/// Time for which heartbeats of an instance that left before it was registered are ignored, unless it
/// started again; they may arrive seconds late.
pub const UNREGISTERED_LEAVE_HOLD_DOWN: Duration = Duration::from_secs(30);

/// Registration of the backend server on the host of this node.
#[derive(Clone, Debug, Default)]
pub struct Registration {
    /// Current state.
    state: State,
    /// Last announcement of the backend server that left most recently, and when it left.
    departed: Option<(Announcement, Time)>,
    /// Latest instance that left without being registered.
    unregistered_leave: Option<UnregisteredLeave>,
    /// Departure of the backend server that most recently said that it leaves.
    announced_departure: Option<Departure>,
    /// Departure that an earlier process of the node acknowledged.
    recalled: Option<Departure>,
}

/// Leave of an instance that was not registered.
#[derive(Clone, Debug)]
struct UnregisteredLeave {
    /// Identifier of the instance.
    instance: Name,
    /// Latest start in milliseconds that the leave holds for.
    started: u64,
    /// When it was received.
    at: Time,
}

/// State of the backend server.
#[derive(Clone, Debug, Default)]
enum State {
    /// No backend server is registered.
    #[default]
    Absent,
    /// The backend server announces itself.
    Present {
        /// Last announcement.
        last: Announcement,
        /// When it was received.
        at: Time,
    },
    /// The backend server has left and finishes the calls in flight.
    Leaving {
        /// Last announcement.
        last: Announcement,
        /// When the leave was received.
        at: Time,
        /// Whether new work is refused, which starts [`DRAIN_GRACE`] after the leave.
        is_closed: bool,
    },
}

/// Transition of the registration, which the caller carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Nothing changed.
    Unchanged,
    /// A heartbeat of the registered backend server arrived.
    Refreshed,
    /// The backend server is new or has changed: admit calls to it and report it to the peers.
    Open,
    /// Report to the peers that the backend server is draining.
    Drain,
    /// Refuse new work; calls in flight continue.
    Close,
    /// The backend server has drained and is removed.
    Removed,
    /// The backend server has not announced itself in time and is removed.
    Expired,
}

/// Returns the time without an announcement after which a backend server expires.
fn expiry(last: &Announcement) -> Duration {
    match last.heartbeat {
        Some(_) => HEARTBEAT_EXPIRY,
        None => ANNOUNCEMENT_EXPIRY,
    }
}

impl Registration {
    /// Creates an empty registration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the last announcement, or `None` when no backend server is registered.
    pub fn current(&self) -> Option<&Announcement> {
        match &self.state {
            State::Absent => None,
            State::Present { last, .. } | State::Leaving { last, .. } => Some(last),
        }
    }

    /// Handles an announcement or a heartbeat; heartbeats are never refused.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Leaving`] for the same incarnation of a backend server that left less
    /// than [`LEAVE_HOLD_DOWN`] ago.
    pub fn announce(
        &mut self,
        announcement: &Announcement,
        now: Time,
    ) -> Result<Transition, Refusal> {
        if let Some(heartbeat) = &announcement.heartbeat {
            return Ok(self.heartbeat(announcement, heartbeat, now));
        }
        let is_held_down = self.departed.as_ref().is_some_and(|(departed, at)| {
            now.since(*at) < LEAVE_HOLD_DOWN && departed.is_same_incarnation(announcement)
        });
        if is_held_down {
            return Err(Refusal::Leaving);
        }
        let is_unchanged =
            matches!(&self.state, State::Present { last, .. } if *last == *announcement);
        self.state = State::Present {
            last: announcement.clone(),
            at: now,
        };
        Ok(if is_unchanged {
            Transition::Unchanged
        } else {
            Transition::Open
        })
    }

    /// Handles a heartbeat; one that is out of order or of an earlier incarnation is ignored.
    fn heartbeat(
        &mut self,
        announcement: &Announcement,
        heartbeat: &Heartbeat,
        now: Time,
    ) -> Transition {
        let departed = self.departed.as_ref().map(|(departed, _)| departed);
        let is_stale = |held: &Announcement| {
            held.heartbeat
                .is_some_and(|held| heartbeat.rank() < held.rank())
        };
        if self.current().is_some_and(is_stale) || departed.is_some_and(is_stale) {
            return Transition::Unchanged;
        }
        if departed.is_some_and(|departed| departed.is_same_incarnation(announcement))
            || self.left_unregistered(announcement, heartbeat, now)
            || self.left_before(announcement)
        {
            return Transition::Unchanged;
        }
        if heartbeat.is_draining {
            let is_present = matches!(&self.state, State::Present { last, .. }
                if last.is_same_incarnation(announcement));
            self.departed = Some((announcement.clone(), now));
            self.announced_departure = announcement.departure();
            if !is_present {
                return Transition::Unchanged;
            }
            return self.leave(now);
        }
        let is_unchanged = matches!(&self.state, State::Present { last, .. }
            if last.is_same_incarnation(announcement) && last.slots == announcement.slots);
        self.state = State::Present {
            last: announcement.clone(),
            at: now,
        };
        if is_unchanged {
            Transition::Refreshed
        } else {
            Transition::Open
        }
    }

    /// Whether a heartbeat is a late one of an instance that left before this node knew it.
    fn left_unregistered(
        &self,
        announcement: &Announcement,
        heartbeat: &Heartbeat,
        now: Time,
    ) -> bool {
        self.unregistered_leave.as_ref().is_some_and(|leave| {
            announcement.instance.as_ref() == Some(&leave.instance)
                && heartbeat.started <= leave.started
                && now.since(leave.at) < UNREGISTERED_LEAVE_HOLD_DOWN
        })
    }

    /// Whether an announcement is of the incarnation whose departure was recalled, or an earlier one.
    fn left_before(&self, announcement: &Announcement) -> bool {
        self.recalled.as_ref().is_some_and(|recalled| {
            announcement.departure().is_some_and(|departure| {
                departure.instance == recalled.instance && departure.started <= recalled.started
            })
        })
    }

    /// Returns the departure of the backend server that most recently said that it leaves, if its
    /// announcements identify it.
    pub fn departure(&self) -> Option<&Departure> {
        self.announced_departure.as_ref()
    }

    /// Handles a departure that an earlier process of the node acknowledged.
    pub fn recall(&mut self, departure: Departure, now: Time) -> Transition {
        self.recalled = Some(departure);
        if self.current().is_some_and(|last| self.left_before(last)) {
            return self.leave(now);
        }
        Transition::Unchanged
    }

    /// Handles the leave of an instance, which need not be the registered one. A leave that names a
    /// start, in milliseconds, holds for that start and earlier ones; any other one for all starts
    /// before it was received.
    pub fn leave_instance(
        &mut self,
        instance: &str,
        started: Option<u64>,
        now: Time,
    ) -> Transition {
        let current = self
            .current()
            .filter(|last| last.instance.as_deref() == Some(instance));
        if let Some(current) = current {
            let held = current.heartbeat.map(|heartbeat| heartbeat.started);
            return match (started, held) {
                // The leave was on its way while the backend server started again.
                (Some(started), Some(held)) if started < held => Transition::Unchanged,
                _ => self.depart(now),
            };
        }
        let is_absent = matches!(self.state, State::Absent);
        let known = [&self.announced_departure, &self.recalled];
        let is_newest = |started: u64| {
            let mut known = known.into_iter().flatten();
            known.all(|held| *held.instance != *instance || held.started < started)
        };
        if let Some(started) = started.filter(|started| is_absent && is_newest(*started)) {
            self.announced_departure = Some(Departure {
                instance: instance.into(),
                started,
            });
        }
        self.unregistered_leave = Some(UnregisteredLeave {
            instance: instance.into(),
            started: started.unwrap_or(now.as_millis().saturating_sub(1)),
            at: now,
        });
        Transition::Unchanged
    }

    /// Handles the departure of the registered backend server.
    pub fn depart(&mut self, now: Time) -> Transition {
        self.announced_departure = self.current().and_then(Announcement::departure);
        self.leave(now)
    }

    /// Drains the backend server, which need not leave itself.
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

    /// Advances timeouts and drains; `running` is the number of calls in flight.
    ///
    /// New work is refused one poll before the calls in flight are checked, so that no call can be
    /// admitted between the check and the removal.
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
