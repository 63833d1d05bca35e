//! What a backend server tells its own node of itself.
//!
//! Fields that are not known are passed over, so that a newer backend server can announce itself to
//! an older node.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::journal::amend;
use crate::journal::fold::MAX_NAME_BYTES;
use crate::membership::member::BackendServer;
use crate::name::Name;

/// Bytes of an announcement.
pub const MAX_BYTES: usize = 16 * 1024;

/// Nesting of objects and arrays in an announcement.
pub const MAX_DEPTH: usize = 16;

/// Calls that a backend server may say it runs at once.
pub const MAX_SLOTS: u32 = 10_000;

/// Connections that a backend server may say it takes.
pub const MAX_CONNECTIONS: u32 = 100_000;

/// Announcement of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service it serves.
    pub service: Name,
    /// Version it runs.
    pub version: Name,
    /// Address that its node reaches it at.
    pub address: SocketAddr,
    /// Calls it runs at once.
    pub slots: u32,
    /// Connections it takes.
    pub connections: u32,
    /// Distinguishes one start of the backend server from the next, when given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<Name>,
    /// What a heartbeat adds, where the backend server sends heartbeats.
    #[serde(skip)]
    pub heartbeat: Option<Heartbeat>,
}

/// What a heartbeat says beyond an announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// When the backend server started, by its own clock in milliseconds; a later start is a new
    /// incarnation.
    pub started: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Whether the backend server is about to leave.
    pub is_draining: bool,
    /// How long it stays cold.
    pub cold_remaining: Duration,
}

impl Heartbeat {
    /// Order of heartbeats.
    pub fn rank(&self) -> (u64, u64) {
        (self.started, self.sequence)
    }
}

/// What is wrong with an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Not the expected JSON.
    Malformed(String),
    /// A field is empty, too long or out of bounds.
    Field {
        /// Field.
        name: &'static str,
        /// What was expected.
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
    /// Parses and checks the body of an announcement.
    ///
    /// # Errors
    ///
    /// Names the first field that is not as expected.
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

    /// Checks every field.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of bounds.
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
                expected: "an IP number and port that the node can connect to".into(),
            });
        }
        Ok(())
    }

    /// What the peers are told.
    pub fn backend_server(&self, is_draining: bool) -> BackendServer {
        BackendServer {
            service: self.service.clone(),
            version: self.version.clone(),
            slots: self.slots,
            connections: self.connections,
            is_draining,
        }
    }

    /// Whether another announcement comes from the same start of the same backend server.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        let started = |a: &Self| a.heartbeat.map(|heartbeat| heartbeat.started);
        started(self) == started(other)
            && self.service == other.service
            && self.version == other.version
            && self.address == other.address
            && self.instance == other.instance
    }
}

/// Checks a name's length and characters.
fn check_name(name: &'static str, text: &str) -> Result<(), Error> {
    let is_visible = text.chars().all(|c| !c.is_control() && !c.is_whitespace());
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !is_visible {
        let expected = format!("1 to {MAX_NAME_BYTES} visible characters");
        return Err(Error::Field { name, expected });
    }
    Ok(())
}

/// Checks a number's bounds.
fn check_number(name: &'static str, number: u32, most: u32) -> Result<(), Error> {
    if !(1..=most).contains(&number) {
        let expected = format!("a number between 1 and {most}");
        return Err(Error::Field { name, expected });
    }
    Ok(())
}

/// Deepest nesting of objects and arrays in a JSON text.
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
