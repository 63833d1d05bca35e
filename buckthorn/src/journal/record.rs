//! Records of the configuration stream.

use serde::{Deserialize, Serialize};

#[cfg(doc)]
use super::fold::State;
use crate::clock::Time;
use crate::config::change::Change;
use crate::config::intent::Phase;
use crate::name::Name;

/// Schema that this release reads and writes.
pub const SCHEMA: u32 = 1;

/// Name of the configuration stream in the platform's log.
pub const CONFIG_STREAM: &str = "config";

/// Name of the stream of checkpoints; each record's payload is a [`State`] as JSON text.
pub const CHECKPOINT_STREAM: &str = "checkpoints";

/// Name of the stream of lease renewals; each payload is a [`Renewal`].
pub const LEASE_STREAM: &str = "lease";

/// Name of the stream of per-domain reports.
pub const REPORT_STREAM: &str = "reports";

/// Name of the stream of node addresses for cold starts.
pub const JOIN_STREAM: &str = "joins";

/// Record of the platform's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Offset in the stream.
    pub offset: u64,
    /// Identifier chosen by the node or operator that appended the record.
    pub id: Name,
    /// Payload; in the configuration stream an [`Envelope`] as JSON text.
    pub payload: Name,
}

/// Payload of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Schema of the body.
    pub schema: u32,
    /// Content of the record.
    pub body: Body,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Body {
    /// Operators' change.
    Change(Change),
    /// The controller's decision about a move.
    Step(Step),
    /// Claim of the controller lease.
    Claim(Claim),
    /// Registration of a failure domain.
    Domain(DomainRegistration),
}

/// Controller's decision about a move, fenced by the lease's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Term under which it was decided.
    pub term: u64,
    /// Identifier of the move.
    pub id: Name,
    /// Phase that the move enters.
    pub phase: Phase,
    /// Share on the new version, in thousandths.
    pub share: u16,
    /// Reason, shown to operators.
    pub reason: String,
    /// Time of the decision.
    pub at: Time,
}

/// Claim of the controller lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Host that claims the lease.
    pub host: Name,
    /// Term that the claim replaces.
    pub replaces: u64,
    /// Time of the claim.
    pub at: Time,
}

/// Renewal of the controller lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Term that is renewed.
    pub term: u64,
    /// Time of the renewal.
    pub at: Time,
}

/// Registration of a failure domain by one of its nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRegistration {
    /// Name of the failure domain.
    pub name: Name,
    /// Region of the failure domain.
    pub region: Name,
}

/// Encodes a body as the payload of a record.
pub fn encode(body: Body) -> String {
    serde_json::to_string(&Envelope {
        schema: SCHEMA,
        body,
    })
    .expect("bodies encode as JSON")
}

/// Decodes the payload of a record.
///
/// # Errors
///
/// Describes the fault of a payload that is malformed or of another schema.
pub fn decode(payload: &str) -> Result<Body, String> {
    /// The part of the envelope that every schema shares.
    #[derive(Deserialize)]
    struct Head {
        /// Schema of the body.
        schema: u32,
    }

    let head: Head = serde_json::from_str(payload).map_err(|e| format!("malformed: {e}"))?;
    if head.schema != SCHEMA {
        return Err(format!(
            "unknown schema {}, this release reads {SCHEMA}",
            head.schema
        ));
    }
    let envelope: Envelope =
        serde_json::from_str(payload).map_err(|e| format!("malformed: {e}"))?;
    Ok(envelope.body)
}
