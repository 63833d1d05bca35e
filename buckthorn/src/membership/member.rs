//! A host, its node's addresses and its backend server.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::{self, Name};
use crate::rpc::message::StatusUpdate;

/// What is known of a host.
///
/// The host itself raises `sequence` with every change of its own facts; an entry with a higher
/// `(incarnation, sequence)` replaces one with a lower, and at equal numbers the worse status wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host.
    #[serde(rename = "h")]
    pub host: Name,
    /// Start time of the node's process, in microseconds since the Unix epoch.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Number of the last change within the incarnation.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Region.
    #[serde(rename = "r")]
    pub region: Name,
    /// Failure domain.
    #[serde(rename = "d")]
    pub failure_domain: Name,
    /// Address of the control protocol between nodes.
    #[serde(rename = "c")]
    pub rpc: SocketAddr,
    /// Address of the data path between nodes.
    #[serde(rename = "p")]
    pub hop: SocketAddr,
    /// Liveness.
    #[serde(rename = "s")]
    pub status: Status,
    /// Backend server announced on the host, if any.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub backend_server: Option<BackendServer>,
}

/// Liveness of a host, ordered from good to bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Answers probes.
    Alive,
    /// Has not answered; may refute.
    Suspect,
    /// Taken for dead.
    Dead,
    /// Left by its own word.
    Left,
}

/// Backend server announced to its node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Service it serves.
    #[serde(rename = "s")]
    pub service: Name,
    /// Version it runs.
    #[serde(rename = "v")]
    pub version: Name,
    /// Calls it runs at once.
    #[serde(rename = "k")]
    pub slots: u32,
    /// Connections it takes.
    #[serde(rename = "c")]
    pub connections: u32,
    /// Whether it is leaving and takes no new work.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_draining: bool,
}

impl Member {
    /// Rank for merging: a higher rank replaces a lower one.
    pub fn rank(&self) -> (u64, u64, Status) {
        (self.incarnation, self.sequence, self.status)
    }

    /// Hash of everything but rank: region, failure domain, addresses and backend server.
    pub fn attributes_hash(&self) -> u32 {
        let facts = (
            &self.region,
            &self.failure_domain,
            self.rpc,
            self.hop,
            &self.backend_server,
        );
        let text = serde_json::to_string(&facts).expect("facts encode as JSON");
        name::hash(&text) as u32
    }

    /// Liveness without the facts.
    pub fn status_update(&self) -> StatusUpdate {
        StatusUpdate {
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            status: self.status,
            attributes_hash: self.attributes_hash(),
        }
    }

    /// Whether calls may be sent to the host.
    pub fn is_usable(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }
}
