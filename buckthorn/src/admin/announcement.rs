//! What a backend server tells its own node of itself.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::journal::fold::MAX_NAME_BYTES;
use crate::name::Name;

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
        let announcement: Self =
            serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))?;
        check_name("service", &announcement.service)?;
        check_name("version", &announcement.version)?;
        check_number("slots", announcement.slots, MAX_SLOTS)?;
        check_number("connections", announcement.connections, MAX_CONNECTIONS)?;
        if announcement.address.port() == 0 || announcement.address.ip().is_unspecified() {
            return Err(Error::Field {
                name: "address",
                expected: "an IP number and port that the node can connect to".into(),
            });
        }
        Ok(announcement)
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
