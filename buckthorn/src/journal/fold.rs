//! Deterministic fold of log records into the configuration state.
//!
//! Every node applies the same records in the same order, so equal offsets mean equal states. A
//! record that is stale, malformed or invalid is refused as a whole and leaves the intent as it
//! was. The history, which is part of the state, records the refusal of an operators' change and of
//! a malformed record.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::amend;
use super::lease::Lease;
use super::record::{self, Body, Claim, DomainRegistration, Record, Step};
use crate::clock::Time;
use crate::config::change::{Change, Operation};
use crate::config::intent::{FailureDomain, Intent};
use crate::name::Name;

/// Maximum record identifiers kept to recognise duplicates.
pub const MAX_RECENT_IDS: usize = 512;

/// Maximum entries of the history.
pub const MAX_HISTORY: usize = 64;

/// Maximum ended moves kept in the intent, which operators see in the status.
pub const MAX_ENDED_MOVES: usize = 128;

/// Maximum services of an intent.
pub const MAX_SERVICES: usize = 4_096;

/// Maximum routes of a service.
pub const MAX_ROUTES: usize = 256;

/// Maximum failure domains of an intent.
pub const MAX_FAILURE_DOMAINS: usize = 256;

/// Maximum open moves.
pub const MAX_OPEN_MOVES: usize = 4_096;

/// Maximum bytes of a name or identifier.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum characters of a reason or a line of the history; longer texts are cut.
pub const MAX_TEXT_CHARS: usize = 1_024;

/// Share in thousandths to which a hold may lower a move, so that both versions get calls to
/// compare.
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
    /// Identifiers of the last records that changed the intent, oldest first.
    pub recent: Vec<Name>,
    /// History of accepted and refused records, oldest first.
    pub history: Vec<Entry>,
}

/// Line of the operators' history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset of the record.
    pub offset: u64,
    /// Identifier of the record.
    pub id: Name,
    /// Time of the record, by its author's clock.
    pub at: Time,
    /// Author of the record.
    pub author: String,
    /// Summary of its effect, or the reason of its refusal.
    pub text: String,
    /// Whether it took effect.
    pub is_accepted: bool,
}

/// Result of applying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record took effect and changed the configuration version.
    Applied,
    /// The record took effect without changing the configuration version.
    Accepted,
    /// The record was already applied.
    Duplicate,
    /// The record was refused as a whole.
    Refused(Refusal),
    /// The record lies beyond the next offset; records in between are missing.
    Gap,
}

/// Why a record was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The payload could not be decoded.
    Malformed(String),
    /// The change was planned on an intent that is no longer in force.
    Stale {
        /// Version that it was planned on.
        base: u64,
        /// Version in force.
        current: u64,
    },
    /// The record names a lease term that is not in force.
    Fenced {
        /// Term that it names.
        term: u64,
        /// Term in force.
        current: u64,
    },
    /// The record contradicts the state.
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

    /// Applies one record; its offset has to be the next one.
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
                self.add_history_entry(
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
                self.advance_version(record);
                self.intent_version = self.version;
                self.add_history_entry(record, change.at, &change.author, summary(change), true);
                Outcome::Applied
            }
            Err(refusal) => {
                self.add_history_entry(
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

    /// Applies a controller's decision about a move.
    fn apply_step(&mut self, record: &Record, step: &Step) -> Outcome {
        if step.term != self.lease.term {
            return Outcome::Refused(Refusal::Fenced {
                term: step.term,
                current: self.lease.term,
            });
        }
        match amend::advance(&mut self.intent, step) {
            Ok(()) => {
                self.advance_version(record);
                if step.phase.is_ended() {
                    let text = format!("move {}: {} ({})", step.id, step.phase, step.reason);
                    self.add_history_entry(record, step.at, "controller", text, true);
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
                self.advance_version(record);
                Outcome::Applied
            }
        }
    }

    /// Advances the configuration version to the record's offset plus one.
    fn advance_version(&mut self, record: &Record) {
        let version = record.offset + 1;
        assert!(
            version > self.version,
            "invariant: configuration version strictly increases"
        );
        self.version = version;
        self.recent.push(record.id.clone());
        trim(&mut self.recent, MAX_RECENT_IDS);
    }

    /// Adds an entry to the history, with its texts cut to their limits.
    fn add_history_entry(
        &mut self,
        record: &Record,
        at: Time,
        author: &str,
        text: String,
        is_accepted: bool,
    ) {
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
