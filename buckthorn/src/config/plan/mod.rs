//! The difference between the intent in force and a sheet.
//!
//! The sheet is the agreed plan for the day:
//!
//! - services and failure domains that it does not name stay as they are;
//! - moves that it no longer names are withdrawn when they have not begun, and go on when they
//!   have;
//! - rows that are in force already are no change, so that a sheet may be applied again at any
//!   time, also after its moves are done.
//!
//! [`compute`] checks the whole sheet against the state. It returns either every fault with its
//! line and column, or the operations that bring the intent in line with the sheet, with a
//! description of everything that changes or stays.

mod planner;

use std::fmt;

use serde::Serialize;

use super::change::{Change, Operation};
use super::intent::Intent;
use super::sheet::{Fault, Sheet};
use crate::clock::Time;
use crate::journal::fold::State;
use crate::name::Name;

/// Result of comparing a sheet with the state in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// Intent version that the plan is made on.
    pub base: u64,
    /// What changes and what stays, in order.
    pub lines: Vec<Line>,
    /// Operations to publish; empty when nothing changes.
    pub operations: Vec<Operation>,
}

/// Effect of a plan on a service and route, a move or a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Kind of the effect.
    pub effect: Effect,
    /// Line of the sheet, `None` for subjects that the sheet does not name.
    pub line: Option<u64>,
    /// The service and route, move or failure domain.
    pub subject: String,
    /// Description of the effect.
    pub text: String,
}

/// Kind of a plan's effect on its subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// The subject is added.
    Add,
    /// The subject is withdrawn.
    Remove,
    /// The subject changes.
    Change,
    /// The subject stays as it is.
    Keep,
    /// The subject stays as it is, which the operator may not expect.
    Warn,
}

impl Effect {
    /// Symbol at the start of a line.
    pub const fn symbol(self) -> char {
        match self {
            Self::Add => '+',
            Self::Remove => '-',
            Self::Change => '~',
            Self::Keep => '=',
            Self::Warn => '!',
        }
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {}: {}",
            self.effect.symbol(),
            self.subject,
            self.text
        )
    }
}

impl Plan {
    /// Whether there are operations to publish.
    pub fn is_change(&self) -> bool {
        !self.operations.is_empty()
    }

    /// Change that publishes the plan's operations.
    pub fn change(&self, author: impl Into<String>, at: Time) -> Change {
        Change {
            base: self.base,
            author: author.into(),
            at,
            operations: self.operations.clone(),
        }
    }
}

/// Compares a sheet with the state in force.
///
/// # Errors
///
/// Returns up to [`super::sheet::MAX_FAULTS`] faults, sorted by line.
pub fn compute(state: &State, sheet: &Sheet, now: Time) -> Result<Plan, Vec<Fault>> {
    planner::compare(state, sheet, now)
}

/// Plan that takes one failure domain out of service or brings it back, without a sheet.
///
/// # Errors
///
/// Fails when the failure domain is not known.
pub fn set_failure_domain(state: &State, name: &str, is_out: bool) -> Result<Plan, String> {
    let domain = state
        .intent
        .failure_domain(name)
        .ok_or_else(|| unknown_failure_domain(&state.intent, name))?;
    let (line, operation) = failure_domain_line(&domain.name, domain.is_out, is_out, None);
    Ok(Plan {
        base: state.intent_version,
        lines: vec![line],
        operations: operation.into_iter().collect(),
    })
}

/// Line for a failure domain, with an operation if its state changes.
fn failure_domain_line(
    name: &Name,
    was_out: bool,
    is_out: bool,
    line: Option<u64>,
) -> (Line, Option<Operation>) {
    let subject = format!("failure domain {name}");
    let place = if is_out { "out of" } else { "in" };
    if was_out == is_out {
        let line = Line {
            effect: Effect::Keep,
            line,
            subject,
            text: format!("stays {place} service"),
        };
        return (line, None);
    }
    let failure_domain = name.clone();
    let (text, operation) = if is_out {
        ("is taken out of service", Operation::Out { failure_domain })
    } else {
        (
            "is brought back into service",
            Operation::In { failure_domain },
        )
    };
    let line = Line {
        effect: Effect::Change,
        line,
        subject,
        text: text.into(),
    };
    (line, Some(operation))
}

/// Describes an unknown failure domain and lists the known ones.
fn unknown_failure_domain(intent: &Intent, name: &str) -> String {
    let known: Vec<&str> = intent.failure_domains.iter().map(|d| &*d.name).collect();
    if known.is_empty() {
        return format!("unknown failure domain {name}, none is registered");
    }
    format!(
        "unknown failure domain {name}, known are {}",
        known.join(", ")
    )
}

/// Formats a share in thousandths as a percentage.
pub fn percent(share: u16) -> String {
    if share.is_multiple_of(10) {
        return format!("{}%", share / 10);
    }
    format!("{}.{}%", share / 10, share % 10)
}
