//! Deterministic fold of log records into the configuration state.
//!
//! Every node applies the same records in the same order, so equal offsets mean equal states. A
//! record that is stale, malformed or invalid is refused as a whole and leaves the intent as it
//! was; the refusal itself is part of the state.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::amend;
use super::lease::Lease;
use super::record::{self, Body, Claim, DomainRegistration, Record, Step};
use crate::clock::Time;
use crate::config::change::{Change, Operation};
use crate::config::intent::{FailureDomain, Intent};
use crate::name::Name;

/// Change identifiers remembered for recognising duplicates.
pub const MAX_RECENT_IDS: usize = 512;

/// Refusals and changes kept for the operators' history.
pub const MAX_HISTORY: usize = 64;

/// Ended moves kept for the operators' status.
pub const MAX_ENDED_MOVES: usize = 128;

/// Services that an intent may hold.
pub const MAX_SERVICES: usize = 4_096;

/// Routes that a service may hold.
pub const MAX_ROUTES: usize = 256;

/// Failure domains that an intent may hold.
pub const MAX_FAILURE_DOMAINS: usize = 256;

/// Moves that may be open at once.
pub const MAX_OPEN_MOVES: usize = 4_096;

/// Length of a name or identifier in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Characters kept of a reason or a line of the history.
pub const MAX_TEXT_CHARS: usize = 1_024;

/// Share to which a hold may lower a move in order to compare the versions, in thousandths.
pub const COMPARISON_SHARE: u16 = 200;

/// State folded from the configuration stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to apply.
    pub next: u64,
    /// Configuration version: one more than the offset of the last record that changed the intent.
    pub version: u64,
    /// Version of the operators' last accepted change.
    pub intent_version: u64,
    /// Intent in force.
    pub intent: Intent,
    /// Lease of the move controller.
    pub lease: Lease,
    /// Identifiers of the last records that changed something, oldest first.
    pub recent: Vec<Name>,
    /// What was accepted and refused, oldest first.
    pub history: Vec<Entry>,
}

/// Line of the operators' history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset of the record.
    pub offset: u64,
    /// Identifier of the record.
    pub id: Name,
    /// When it was made, by its maker's clock.
    pub at: Time,
    /// Who made it.
    pub author: String,
    /// What it did, or why it was refused.
    pub text: String,
    /// Whether it took effect.
    pub is_accepted: bool,
}

/// What the fold did with a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Took effect and changed the configuration version.
    Applied,
    /// Took effect without changing the configuration version.
    Accepted,
    /// Already applied.
    Duplicate,
    /// Refused as a whole.
    Refused(Refusal),
    /// Lies beyond the next offset; records between are missing.
    Gap,
}

/// Why a record was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Payload could not be read.
    Malformed(String),
    /// Planned on an intent that is no longer in force.
    Stale {
        /// Version that it was planned on.
        base: u64,
        /// Version in force.
        current: u64,
    },
    /// Decided under a term that is not in force.
    Fenced {
        /// Term that it names.
        term: u64,
        /// Term in force.
        current: u64,
    },
    /// Contradicts the state.
    Invalid(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(what) => write!(f, "{what}"),
            Self::Stale { base, current } => {
                write!(
                    f,
                    "planned on intent version {base}, but {current} is in force"
                )
            }
            Self::Fenced { term, current } => {
                write!(f, "decided under term {term}, but {current} is in force")
            }
            Self::Invalid(what) => write!(f, "{what}"),
        }
    }
}

impl State {
    /// State before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one record.
    pub fn apply(&mut self, record: &Record) -> Outcome {
        if record.offset < self.next {
            return Outcome::Duplicate;
        }
        if record.offset > self.next {
            return Outcome::Gap;
        }
        let before = self.version;
        self.next = record.offset + 1;
        let body = if record.id.len() > MAX_NAME_BYTES {
            Err(format!("identifier longer than {MAX_NAME_BYTES} bytes"))
        } else {
            record::decode(&record.payload)
        };
        let outcome = match body {
            Ok(body) => self.apply_body(record, body),
            Err(what) => {
                let refusal = Refusal::Malformed(what);
                self.note(
                    record,
                    Time::default(),
                    "unknown",
                    refusal.to_string(),
                    false,
                );
                Outcome::Refused(refusal)
            }
        };
        assert!(
            self.version >= before,
            "invariant: configuration version never decreases"
        );
        outcome
    }

    /// Applies a decoded record.
    fn apply_body(&mut self, record: &Record, body: Body) -> Outcome {
        match body {
            Body::Change(change) => self.apply_change(record, &change),
            Body::Step(step) => self.apply_step(record, &step),
            Body::Claim(claim) => self.apply_claim(&claim),
            Body::Domain(domain) => self.apply_domain(record, domain),
        }
    }

    /// Applies an operators' change, as a whole or not at all.
    fn apply_change(&mut self, record: &Record, change: &Change) -> Outcome {
        if self.recent.contains(&record.id) {
            return Outcome::Duplicate;
        }
        let attempt = if change.base == self.intent_version {
            amend::amend(&self.intent, change).map_err(Refusal::Invalid)
        } else {
            Err(Refusal::Stale {
                base: change.base,
                current: self.intent_version,
            })
        };
        match attempt {
            Ok(intent) => {
                self.intent = intent;
                self.bump(record);
                self.intent_version = self.version;
                self.note(record, change.at, &change.author, summary(change), true);
                Outcome::Applied
            }
            Err(refusal) => {
                self.note(
                    record,
                    change.at,
                    &change.author,
                    refusal.to_string(),
                    false,
                );
                Outcome::Refused(refusal)
            }
        }
    }

    /// Applies a controller's decision.
    fn apply_step(&mut self, record: &Record, step: &Step) -> Outcome {
        if step.term != self.lease.term {
            return Outcome::Refused(Refusal::Fenced {
                term: step.term,
                current: self.lease.term,
            });
        }
        match amend::advance(&mut self.intent, step) {
            Ok(()) => {
                self.bump(record);
                if step.phase.is_ended() {
                    let text = format!("move {}: {} ({})", step.id, step.phase, step.reason);
                    self.note(record, step.at, "controller", text, true);
                }
                Outcome::Applied
            }
            Err(what) => Outcome::Refused(Refusal::Invalid(what)),
        }
    }

    /// Applies a claim of the lease; the first claim of a term in log order wins.
    fn apply_claim(&mut self, claim: &Claim) -> Outcome {
        if let Err(what) = amend::check_name("host", &claim.host, false) {
            return Outcome::Refused(Refusal::Invalid(what));
        }
        self.lease.claim(claim)
    }

    /// Adds a failure domain.
    fn apply_domain(&mut self, record: &Record, domain: DomainRegistration) -> Outcome {
        let checked = amend::check_name("failure domain", &domain.name, false)
            .and_then(|()| amend::check_name("region", &domain.region, false));
        if let Err(what) = checked {
            return Outcome::Refused(Refusal::Invalid(what));
        }
        let domains = &mut self.intent.failure_domains;
        match domains.binary_search_by(|d| d.name.cmp(&domain.name)) {
            Ok(_) => Outcome::Duplicate,
            Err(_) if domains.len() >= MAX_FAILURE_DOMAINS => {
                let what = format!("more than {MAX_FAILURE_DOMAINS} failure domains");
                Outcome::Refused(Refusal::Invalid(what))
            }
            Err(index) => {
                let entry = FailureDomain {
                    name: domain.name,
                    region: domain.region,
                    is_out: false,
                };
                domains.insert(index, entry);
                self.bump(record);
                Outcome::Applied
            }
        }
    }

    /// Moves the configuration version to the record's offset.
    fn bump(&mut self, record: &Record) {
        let version = record.offset + 1;
        assert!(
            version > self.version,
            "invariant: configuration version strictly increases"
        );
        self.version = version;
        self.recent.push(record.id.clone());
        trim(&mut self.recent, MAX_RECENT_IDS);
    }

    /// Adds a line to the history.
    fn note(&mut self, record: &Record, at: Time, author: &str, text: String, is_accepted: bool) {
        let author = author.chars().take(MAX_NAME_BYTES).collect();
        let id: String = record.id.chars().take(MAX_NAME_BYTES).collect();
        let text = text.chars().take(MAX_TEXT_CHARS).collect();
        let entry = Entry {
            offset: record.offset,
            id: id.into(),
            at,
            author,
            text,
            is_accepted,
        };
        self.history.push(entry);
        trim(&mut self.history, MAX_HISTORY);
    }
}

/// Drops the oldest entries over a limit.
fn trim<T>(entries: &mut Vec<T>, limit: usize) {
    if entries.len() > limit {
        entries.drain(..entries.len() - limit);
    }
}

/// One-line summary of a change.
fn summary(change: &Change) -> String {
    let words: Vec<String> = change
        .operations
        .iter()
        .map(|operation| match operation {
            Operation::Serve {
                service,
                route,
                version,
            } => {
                format!("serve {service}{route} {version}")
            }
            Operation::Move {
                service,
                route,
                from,
                to,
                ..
            } => {
                format!("move {service}{route} {from} to {to}")
            }
            Operation::Cancel { id } => format!("cancel {id}"),
            Operation::Out { failure_domain } => format!("out {failure_domain}"),
            Operation::In { failure_domain } => format!("in {failure_domain}"),
        })
        .collect();
    words.join("; ")
}
