//! Edge for the own backend server and for operators on the host.
//!
//! `POST /v1/announce` and `POST /v1/leave` come from the backend server or its supervisor;
//! `GET /v1/status`, `/v1/counters`, `/v1/ready` and `/v1/live` are the operators' page. The port
//! is bound to loopback, or each request has to carry the shared secret as a bearer token.
//! [`announcement`] checks what a backend server says of itself, [`registration`] decides what
//! follows from it, and [`server`] speaks HTTP.

pub mod announcement;
pub mod registration;
pub mod server;

use std::fmt;
use std::sync::Arc;

use serde_json::Value;

pub use self::announcement::Announcement;
pub use self::registration::Registration;
pub use self::server::{Access, Handle, serve};
use crate::counter::Counters;

/// Why an announcement was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The node has too much to do.
    Busy,
    /// The backend server has just taken its leave.
    Leaving,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Busy => "the node is busy",
            Self::Leaving => "the backend server has just taken its leave",
        })
    }
}

/// What the page asks of the node; announcing and the status may block.
pub trait Handler: Send + Sync + 'static {
    /// Takes an announcement of the own backend server.
    ///
    /// # Errors
    ///
    /// Says why it was not taken.
    fn announce(&self, announcement: Announcement) -> Result<(), Refusal>;

    /// Starts the drain of the own backend server.
    fn leave(&self);

    /// Takes the leave of an instance; one that is not the present one changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when the node is too busy to take it.
    fn leave_instance(&self, instance: &str) -> Result<(), Refusal>;

    /// Status of the node, unless it does not answer in time.
    fn status(&self) -> Option<Value>;

    /// Whether the node takes traffic.
    fn is_ready(&self) -> bool;

    /// Counters of the node.
    fn counters(&self) -> &Arc<Counters>;
}
