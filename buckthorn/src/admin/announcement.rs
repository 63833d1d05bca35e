//! Announcement that a backend server sends to the node on its host.
//!
//! Unknown fields are ignored, so that a newer backend server can announce itself to an older node.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::journal::amend;
use crate::journal::fold::MAX_NAME_BYTES;
use crate::membership::member::{BackendServer, Departure};
use crate::name::Name;

/// Maximum size of an announcement in bytes.
pub const MAX_BYTES: usize = 16 * 1024;

/// Maximum nesting of objects and arrays in an announcement.
pub const MAX_DEPTH: usize = 16;

/// Maximum of [`Announcement::slots`].
pub const MAX_SLOTS: u32 = 10_000;

/// Maximum of [`Announcement::connections`].
pub const MAX_CONNECTIONS: u32 = 100_000;

/// Announcement of a backend server, as sent to `POST /v1/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service that the backend server belongs to, a host name in lower case.
    pub service: Name,
    /// Version that the backend server runs.
    pub version: Name,
    /// Address at which the node connects to the backend server.
    pub address: SocketAddr,
    /// Number of calls that the backend server runs concurrently.
    pub slots: u32,
    /// Number of connections that the backend server accepts.
    pub connections: u32,
    /// Identifier of one start of the backend server; absent when it does not send one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<Name>,
    /// Additional fields of a heartbeat; absent when the backend server only announces itself.
    #[serde(skip)]
    pub heartbeat: Option<Heartbeat>,
}

/// Fields of a heartbeat beyond those of an announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Start time of the backend server by its own clock, in milliseconds; a later start time is a
    /// new incarnation.
    pub started: u64,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Whether the backend server is draining before it leaves.
    pub is_draining: bool,
    /// Remaining time for which the backend server stays cold.
    pub cold_remaining: Duration,
}

impl Heartbeat {
    /// Returns the sort key of heartbeats: incarnation, then sequence number.
    pub fn rank(&self) -> (u64, u64) {
        (self.started, self.sequence)
    }
}

/// Reason why an announcement is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body is too long, nested too deeply, or not the expected JSON.
    Malformed(String),
    /// A field is empty, too long or out of bounds.
    Field {
        /// Name of the field.
        name: &'static str,
        /// Description of the valid values.
        expected: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(what) => write!(f, "malformed announcement: {what}"),
            Self::Field { name, expected } => write!(f, "{name}: expected {expected}"),
        }
    }
}

impl std::error::Error for Error {}

impl Announcement {
    /// Parses and validates the body of an announcement.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid field.
    pub fn parse(body: &[u8]) -> Result<Self, Error> {
        if body.len() > MAX_BYTES {
            return Err(Error::Malformed(format!("longer than {MAX_BYTES} bytes")));
        }
        if depth(body) > MAX_DEPTH {
            let what = format!("nested deeper than {MAX_DEPTH} levels");
            return Err(Error::Malformed(what));
        }
        let mut announcement: Self =
            serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))?;
        announcement.service = announcement.service.to_ascii_lowercase().into();
        announcement.check()?;
        Ok(announcement)
    }

    /// Validates every field.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first field that is out of bounds.
    pub fn check(&self) -> Result<(), Error> {
        if amend::check_service(&self.service).is_err() {
            return Err(Error::Field {
                name: "service",
                expected: format!(
                    "a host name of 1 to {MAX_NAME_BYTES} letters, digits, -, . and _"
                ),
            });
        }
        check_name("version", &self.version)?;
        if let Some(instance) = &self.instance {
            check_name("instance", instance)?;
        }
        check_number("slots", self.slots, MAX_SLOTS)?;
        check_number("connections", self.connections, MAX_CONNECTIONS)?;
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(Error::Field {
                name: "address",
                expected: "an IP address and port that the node can connect to".into(),
            });
        }
        Ok(())
    }

    /// Returns the entry of the backend server in this node's membership record.
    pub fn backend_server(&self, is_draining: bool) -> BackendServer {
        BackendServer {
            service: self.service.clone(),
            version: self.version.clone(),
            slots: self.slots,
            connections: self.connections,
            is_draining,
        }
    }

    /// Returns what identifies the incarnation after it left; `None` if the announcement names no
    /// instance and start time.
    pub fn departure(&self) -> Option<Departure> {
        Some(Departure {
            instance: self.instance.clone()?,
            started: self.heartbeat?.started,
        })
    }

    /// Whether another announcement comes from the same incarnation of the same backend server.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        let started = |a: &Self| a.heartbeat.map(|heartbeat| heartbeat.started);
        started(self) == started(other)
            && self.service == other.service
            && self.version == other.version
            && self.address == other.address
            && self.instance == other.instance
    }
}

/// Checks that a name has 1 to [`MAX_NAME_BYTES`] bytes of visible characters.
fn check_name(name: &'static str, text: &str) -> Result<(), Error> {
    let is_visible = text.chars().all(|c| !c.is_control() && !c.is_whitespace());
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !is_visible {
        let expected = format!("1 to {MAX_NAME_BYTES} visible characters");
        return Err(Error::Field { name, expected });
    }
    Ok(())
}

/// Checks that a number is at least 1 and at most `max`.
fn check_number(name: &'static str, number: u32, max: u32) -> Result<(), Error> {
    if !(1..=max).contains(&number) {
        let expected = format!("a number between 1 and {max}");
        return Err(Error::Field { name, expected });
    }
    Ok(())
}

/// Returns the maximum nesting of objects and arrays in a JSON text.
fn depth(bytes: &[u8]) -> usize {
    let (mut depth, mut deepest) = (0_usize, 0);
    let (mut is_string, mut is_escaped) = (false, false);
    for byte in bytes {
        if is_string {
            is_string = is_escaped || *byte != b'"';
            is_escaped = !is_escaped && *byte == b'\\';
            continue;
        }
        match byte {
            b'"' => is_string = true,
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}
