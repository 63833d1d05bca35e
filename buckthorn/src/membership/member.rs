//! Members of the mesh: a host, the addresses of its node, and its backend server.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::{self, Name};
use crate::rpc::message::StatusUpdate;

/// Membership entry of one host.
///
/// Only the host itself raises `sequence`, with every change of its attributes. An entry with a
/// higher `(incarnation, sequence)` replaces one with a lower; if they are equal, the worse status
/// wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host name, unique in the mesh.
    #[serde(rename = "h")]
    pub host: Name,
    /// Start time of the node's process, in microseconds since the Unix epoch.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Number of the last change within the incarnation, from 0.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Region of the host.
    #[serde(rename = "r")]
    pub region: Name,
    /// Failure domain of the host.
    #[serde(rename = "d")]
    pub failure_domain: Name,
    /// Address of the control protocol between nodes.
    #[serde(rename = "c")]
    pub rpc: SocketAddr,
    /// Address of the data path between nodes.
    #[serde(rename = "p")]
    pub hop: SocketAddr,
    /// Liveness, as known to the node that holds the entry.
    #[serde(rename = "s")]
    pub status: Status,
    /// Backend server announced on the host, if any.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub backend_server: Option<BackendServer>,
    /// Backend server that most recently said that it leaves. Peers keep it for the next process of
    /// the node, so it is no attribute that has to match.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub departure: Option<Departure>,
}

/// Incarnation of a backend server that left its host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Instance that left.
    #[serde(rename = "i")]
    pub instance: Name,
    /// Its start time by its own clock, in milliseconds.
    #[serde(rename = "t")]
    pub started: u64,
}

/// Liveness of a host, ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Answers probes.
    Alive,
    /// Did not answer probes; may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced that it is leaving.
    Left,
}

/// Backend server, as announced to the node on its host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Service that it provides.
    #[serde(rename = "s")]
    pub service: Name,
    /// Version of the service that it runs.
    #[serde(rename = "v")]
    pub version: Name,
    /// Maximum number of concurrent calls.
    #[serde(rename = "k")]
    pub slots: u32,
    /// Maximum number of connections.
    #[serde(rename = "c")]
    pub connections: u32,
    /// Whether it is draining and accepts no new calls.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_draining: bool,
}

impl Member {
    /// Merge precedence: an entry with a higher rank replaces one with a lower rank.
    pub fn rank(&self) -> (u64, u64, Status) {
        (self.incarnation, self.sequence, self.status)
    }

    /// Hash of the attributes: region, failure domain, addresses and backend server.
    pub fn attributes_hash(&self) -> u32 {
        let attributes = (
            &self.region,
            &self.failure_domain,
            self.rpc,
            self.hop,
            &self.backend_server,
        );
        let text = serde_json::to_string(&attributes).expect("attributes serialize to JSON");
        name::hash(&text) as u32
    }

    /// Status update with this entry's rank.
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
