//! Inputs of the kernel thread: events, and requests of the local backend server and of operators.

use crossbeam::channel::Sender;

use super::status::Status;
use crate::admin::{Announcement, Refusal};
use crate::kernel::Event;
use crate::name::Name;

/// Input of the kernel thread.
#[derive(Debug)]
pub(super) enum Input {
    /// An event for the kernel.
    Event(Event),
    /// The local backend server announced itself.
    Announce {
        /// Announcement, already validated.
        announcement: Announcement,
        /// Receives whether the announcement was accepted.
        reply: Sender<Result<(), Refusal>>,
    },
    /// The local backend server is leaving.
    Leave,
    /// An instance of the local backend server is leaving.
    LeaveInstance {
        /// Identifier of the instance.
        instance: Name,
        /// Start of the instance in milliseconds, if the leave names it.
        started: Option<u64>,
        /// Notified once the leave is processed.
        reply: Sender<()>,
    },
    /// Status request; the sender receives the status.
    GetStatus(Sender<Status>),
    /// Stops the thread.
    Stop,
}
