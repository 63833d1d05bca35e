//! Control messages between nodes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::excerpt::Excerpt;
use crate::config::order::Decision;
use crate::journal::fold::State;
use crate::journal::record::Record;
use crate::membership::member::{Member, Status};
use crate::name::Name;
use crate::rollout::quarantine::Accusation;
use crate::rollout::{cutover, evidence};

/// Messages that one node sends another in one exchange; the answer is such a list too.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Host that sends.
    pub from: Name,
    /// Messages, in order.
    pub messages: Vec<Message>,
}

/// One control message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks for a sign of life; tells how far the sender's fold and view are.
    Ping(Digest),
    /// Answers a ping.
    Ack(Digest),
    /// Asks the receiver to probe a member on the sender's behalf.
    PingRequest {
        /// Member to probe.
        host: Name,
    },
    /// Result of a probe made on request.
    PingResult {
        /// Member probed.
        host: Name,
        /// Whether it answered.
        is_alive: bool,
    },
    /// Entries of the sender's view.
    Members(Vec<Member>),
    /// Liveness of members whose facts the receiver should hold already.
    #[serde(rename = "verdicts")]
    StatusUpdates(Vec<StatusUpdate>),
    /// Hashes of the sender's view by bucket, for finding what differs.
    Buckets(Vec<u64>),
    /// Asks for these members whole.
    WantMembers(Vec<Name>),
    /// Asks for verdicts on the members of these buckets.
    WantBuckets(Vec<u16>),
    /// Asks for everything: a node that has just started.
    Join(Member),
    /// Log records, in offset order.
    Records(Vec<Record>),
    /// Asks for records from an offset, or a snapshot.
    Pull {
        /// First offset wanted.
        from: u64,
    },
    /// Whole folded state.
    Snapshot(Arc<State>),
    /// Tells the sender that the receiver is busy sending snapshots.
    Busy,
    /// Accusations against versions.
    Accusations(Vec<Accusation>),
    /// Cumulative evidence of one owner, for the move controller.
    Evidence(evidence::Report),
    /// Operators' orders were read up to an offset, after reads had failed.
    #[serde(rename = "ordered")]
    OrdersRead {
        /// Offset of the next order.
        next: u64,
    },
    /// Asks a node that reads operators' orders for those from an offset on.
    WantOrders {
        /// First offset wanted.
        from: u64,
        /// Mark of the published decisions that the sender knows.
        decisions: u64,
    },
    /// Answers [`Self::WantOrders`].
    Orders {
        /// Whether the sender reads orders itself and its reads succeed.
        is_reader: bool,
        /// Orders that the receiver lacks, if there are any.
        excerpt: Option<Box<Excerpt>>,
        /// Published decisions, where the receiver's mark is another.
        decisions: Vec<Decision>,
    },
    /// What a judge of a service's move finds.
    Finding(cutover::Finding),
    /// Tells the domain's reader which configuration version the sender has in force.
    Applied {
        /// Configuration version.
        version: u64,
    },
}

/// How far a node's fold and view are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Next offset of the configuration stream.
    #[serde(rename = "o")]
    pub next: u64,
    /// Hash over the view.
    #[serde(rename = "v")]
    pub view: u64,
    /// Hash over the accusations held.
    #[serde(rename = "q")]
    pub quarantine: u64,
    /// Whether the sender's fold has once been as far as the log or a peer that was.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_synced: bool,
}

/// Liveness of a member without its facts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    /// Host.
    #[serde(rename = "h")]
    pub host: Name,
    /// Incarnation judged.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Sequence judged.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Liveness.
    #[serde(rename = "s")]
    pub status: Status,
    /// Hash of the facts that the sender holds at this rank.
    #[serde(rename = "f")]
    pub attributes_hash: u32,
}
