//! Admin API for the local backend server and for operators on the host.
//!
//! The backend server or its supervisor calls `POST /v1/announce` and `POST /v1/leave`; operators
//! use `GET /v1/status`, `/v1/counters`, `/v1/ready` and `/v1/live`. The port is bound to loopback,
//! or each request has to carry the shared secret as a bearer token. [`announcement`] parses and
//! validates announcements, [`listen`] accepts connections, [`registration`] holds the state machine
//! of the backend server, and [`server`] serves the API over HTTP.

pub mod announcement;
pub mod listen;
pub mod registration;
pub mod server;

use std::fmt;
use std::sync::Arc;

use serde_json::Value;

pub use self::announcement::Announcement;
pub use self::registration::Registration;
pub use self::server::{Access, Handle, serve};
use crate::counter::Counters;

/// Reason why an announcement was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The kernel thread's queue is full, or the thread did not reply in time.
    Busy,
    /// The backend server left less than [`registration::LEAVE_HOLD_DOWN`] ago.
    Leaving,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Busy => "the node is busy",
            Self::Leaving => "the backend server has just left",
        })
    }
}

/// Interface of the node that the admin API calls.
///
/// `announce`, `leave_instance` and `status` wait for the kernel thread and may block.
pub trait Handler: Send + Sync + 'static {
    /// Handles an announcement of the local backend server.
    ///
    /// # Errors
    ///
    /// Returns the reason when the announcement is refused.
    fn announce(&self, announcement: Announcement) -> Result<(), Refusal>;

    /// Starts draining the local backend server.
    fn leave(&self);

    /// Starts draining the local backend server if `instance` is its current instance; otherwise late
    /// heartbeats of `instance` are ignored from now on. If the leave names when the instance `started`,
    /// in milliseconds, it holds for that start and earlier ones only.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Busy`] when the kernel thread does not accept or process the request in
    /// time.
    fn leave_instance(&self, instance: &str, started: Option<u64>) -> Result<(), Refusal>;

    /// Returns the status of the node, or `None` when the kernel thread does not reply in time.
    fn status(&self) -> Option<Value>;

    /// Whether the node has a routing table and can accept traffic.
    fn is_ready(&self) -> bool;

    /// Returns the counters of the node.
    fn counters(&self) -> &Arc<Counters>;
}
