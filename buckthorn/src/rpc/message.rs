//! Messages of the control protocol between nodes.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::excerpt::Excerpt;
use crate::config::order::Decision;
use crate::config::position::Position;
use crate::journal::fold::State;
use crate::journal::record::Record;
use crate::membership::member::{Member, Status};
use crate::name::Name;
use crate::poison::blocklist::Notice;
use crate::poison::crash::Crash;
use crate::rollout::quarantine::Accusation;
use crate::rollout::{cutover, evidence};
use crate::usage::candidate::Impediment;
use crate::usage::collector::Report;

/// Messages that one node sends to another in one exchange. The reply is an envelope as well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Host of the sender.
    pub from: Name,
    /// Messages, handled in this order.
    pub messages: Vec<Message>,
}

/// Control message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Probes the receiver; carries the sender's digest.
    Ping(Digest),
    /// Replies to a ping or a join; carries the sender's digest.
    Ack(Digest),
    /// Requests an indirect probe: asks the receiver to probe a member for the sender.
    PingRequest {
        /// Member to probe.
        host: Name,
    },
    /// Result of an indirect probe.
    PingResult {
        /// Member that was probed.
        host: Name,
        /// Whether the member answered.
        is_alive: bool,
    },
    /// Whole entries of the sender's view.
    Members(Vec<Member>),
    /// Status updates about members whose attributes the receiver should already hold.
    #[serde(rename = "verdicts")]
    StatusUpdates(Vec<StatusUpdate>),
    /// Bucket hashes of the sender's view, for anti-entropy.
    Buckets(Vec<u64>),
    /// Requests these members whole.
    WantMembers(Vec<Name>),
    /// Requests status updates about the members of these buckets.
    WantBuckets(Vec<u16>),
    /// Joins the mesh; carries the sender's own entry. The reply contains members of the view.
    Join(Member),
    /// Log records, in offset order.
    Records(Vec<Record>),
    /// Requests records from an offset on; the reply may be a snapshot instead.
    Pull {
        /// First offset requested.
        from: u64,
    },
    /// The sender's whole folded state.
    Snapshot(Arc<State>),
    /// Refuses a pull because the sender has used up its rate of snapshots.
    Busy,
    /// Accusations against versions, for quarantine.
    Accusations(Vec<Accusation>),
    /// Cumulative evidence from one owner, for the move controller.
    Evidence(evidence::Report),
    /// Notifies the receiver that the sender has read the operators' orders up to a position. Sent
    /// to followers after every read that brought orders, and to other nodes only when reads had
    /// failed before.
    #[serde(rename = "ordered")]
    OrdersRead {
        /// Position of the next order.
        next: Position,
    },
    /// Requests operators' orders from a position on, sent to a node that reads them.
    WantOrders {
        /// First position requested.
        from: Position,
        /// Version of the sender's policy; 0 if it has none.
        #[serde(default)]
        policy: u64,
        /// Hash of the published decisions that the sender holds.
        decisions: u64,
    },
    /// Replies to [`Self::WantOrders`].
    Orders {
        /// Whether the sender reads the orders itself and its reads succeed.
        is_reader: bool,
        /// Orders that the receiver lacks, absent if there are none.
        excerpt: Option<Box<Excerpt>>,
        /// Published decisions, empty if the receiver's hash matches.
        decisions: Vec<Decision>,
    },
    /// Asks until when the receiver's policy was known to be the newest one.
    WantConfirmation {
        /// Time of the request by the sender's clock, returned in the reply.
        asked_at: Time,
        /// Position up to which the sender has the orders.
        next: Position,
    },
    /// Replies to [`Self::WantConfirmation`].
    Confirmation {
        /// Time of the request.
        asked_at: Time,
        /// Position at which the orders were known to end.
        next: Position,
        /// Time since they were last known to end there.
        age: Duration,
    },
    /// Requests of tenants that the sender has counted.
    Usage(Report),
    /// Replies to [`Self::Usage`] that the sender can't do the duty of handing in counts.
    UsageImpeded(Impediment),
    /// Requests of tenants that lifetimes of other nodes had counted before they ended.
    PastUsage(Vec<(Name, Report)>),
    /// Finding on a service's move by a node that evaluates it.
    Finding(cutover::Finding),
    /// Calls that were lost in a crash of the sender's backend server.
    Crash(Crash),
    /// Poison requests that are not sent to backend servers.
    Blocklist(Vec<Notice>),
    /// Notifies the failure domain's reader of the configuration version that the sender has
    /// applied.
    Applied {
        /// Applied configuration version.
        version: u64,
    },
}

/// Digest of a node's state, by which peers detect that they differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Next position in the configuration stream, or in the orders' topic if there is one.
    #[serde(rename = "o")]
    pub next: Position,
    /// Hash over the usable members of the view.
    #[serde(rename = "v")]
    pub view: u64,
    /// Hash over the held accusations.
    #[serde(rename = "q")]
    pub quarantine: u64,
    /// Hash over the list of poison requests; 0 if it is empty.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub blocklist: u64,
    /// Whether the sender's fold has ever caught up with the log, or with a peer that had.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_synced: bool,
}

/// Whether a field has the value that stands for an absent one.
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Liveness of a member, without its attributes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    /// Host of the member.
    #[serde(rename = "h")]
    pub host: Name,
    /// Incarnation that the status applies to.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Sequence that the status applies to.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Liveness, as known to the sender.
    #[serde(rename = "s")]
    pub status: Status,
    /// Hash of the attributes that the sender holds at this rank.
    #[serde(rename = "f")]
    pub attributes_hash: u32,
}
