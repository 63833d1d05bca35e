//! Report of a crash of a backend server.

use serde::{Deserialize, Serialize};

use super::fingerprint::Suspect;

/// Maximum suspects of one crash; more calls than that are rarely in progress at once.
pub const MAX_SUSPECTS: usize = 64;

/// Crash of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Random identifier.
    pub id: u64,
    /// Number of calls that were lost.
    pub lost: u32,
    /// Lost calls that may have caused the crash.
    pub suspects: Vec<Suspect>,
}
