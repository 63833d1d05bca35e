//! The planners' CSV sheet, checked row by row.
//!
//! [`parse`] reads what a spreadsheet exports: a byte-order mark, either line ending, quoted
//! fields, blank rows, stray spaces, columns in any order and additional columns. It checks the
//! sheet by itself; [`super::plan`] checks it against the intent in force. Every fault names the
//! line and, where there is one, the column.

mod contradiction;
mod parser;
mod row;

use std::fmt;

use serde::Serialize;

use crate::clock::Time;
use crate::config::intent;
use crate::name::Name;

/// Maximum bytes of a sheet.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Maximum rows of a sheet, without the header.
pub const MAX_ROWS: usize = 10_000;

/// Maximum faults reported for one sheet.
pub const MAX_FAULTS: usize = 20;

/// Column of a sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Column {
    /// Action of the row: `serve`, `move`, `out` or `in`.
    Action,
    /// Name of the service, which is the host of its calls.
    Service,
    /// Path prefix.
    Route,
    /// Version that serves before a move.
    From,
    /// Version that serves, or is to serve.
    To,
    /// Earliest time of a move.
    Start,
    /// Latest time of a move.
    Deadline,
    /// Name of the failure domain.
    FailureDomain,
}

impl Column {
    /// Every column, in the documented order.
    pub const ALL: [Self; 8] = [
        Self::Action,
        Self::Service,
        Self::Route,
        Self::From,
        Self::To,
        Self::Start,
        Self::Deadline,
        Self::FailureDomain,
    ];

    /// Name of the column in the header.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Action => "action",
            Self::Service => "service",
            Self::Route => "route",
            Self::From => "from",
            Self::To => "to",
            Self::Start => "start",
            Self::Deadline => "deadline",
            Self::FailureDomain => "failure_domain",
        }
    }
}

/// Error in a sheet, with its location.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Line of the file, counted from 1; 0 for the file as a whole.
    pub line: u64,
    /// Column, if the fault concerns a single one.
    pub column: Option<Column>,
    /// Description of the fault.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.column) {
            (0, _) => write!(f, "sheet: {}", self.text),
            (line, None) => write!(f, "line {line}: {}", self.text),
            (line, Some(column)) => {
                write!(f, "line {line}, column {}: {}", column.name(), self.text)
            }
        }
    }
}

/// Parsed sheet without contradictions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sheet {
    /// Rows in the order of the file, without duplicates.
    pub rows: Vec<Row>,
}

/// Row of a sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Line of the file, counted from 1.
    pub line: u64,
    /// Content of the row.
    pub entry: Entry,
}

/// Content of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// Declares the version that serves a route.
    Serve(Serve),
    /// Moves a route to another version.
    Move(Move),
    /// Takes a failure domain out of service.
    Out(Name),
    /// Brings a failure domain into service.
    In(Name),
}

/// Declaration of the version that serves a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Serve {
    /// Name of the service, which is the host of its calls.
    pub service: Name,
    /// Path prefix, empty for the whole service.
    pub route: Name,
    /// Version that serves the route.
    pub version: Name,
}

/// Move of a route to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Name of the service, which is the host of its calls.
    pub service: Name,
    /// Path prefix, empty for the whole service.
    pub route: Name,
    /// Version that serves at the start.
    pub from: Name,
    /// Version that is to serve.
    pub to: Name,
    /// Earliest time of the first share.
    pub start: Time,
    /// Time by which all traffic is to be on `to`.
    pub deadline: Time,
}

impl Move {
    /// Identifier of the move in the intent.
    pub fn id(&self) -> Name {
        intent::move_id(
            &self.service,
            &self.route,
            &self.from,
            &self.to,
            self.start,
            self.deadline,
        )
    }

    /// Whether the move is one of this service and route.
    pub fn is_for_route(&self, service: &str, route: &str) -> bool {
        *self.service == *service && *self.route == *route
    }
}

impl Sheet {
    /// Moves with their line numbers, in the order of the file.
    pub fn moves(&self) -> impl Iterator<Item = (u64, &Move)> {
        self.rows.iter().filter_map(|row| match &row.entry {
            Entry::Move(entry) => Some((row.line, entry)),
            _ => None,
        })
    }
}

/// Parses and checks a sheet.
///
/// # Errors
///
/// Returns up to [`MAX_FAULTS`] faults, sorted by line.
pub fn parse(bytes: &[u8]) -> Result<Sheet, Vec<Fault>> {
    if bytes.len() > MAX_BYTES {
        let text = format!("{} bytes, the limit is {MAX_BYTES}", bytes.len());
        return Err(vec![fault(0, None, text)]);
    }
    if bytes.starts_with(&[0xff, 0xfe]) || bytes.starts_with(&[0xfe, 0xff]) {
        let text = "written as UTF-16, expected UTF-8";
        return Err(vec![fault(0, None, text)]);
    }
    let (rows, mut faults) = parser::read(bytes);
    if rows.is_empty() && faults.is_empty() {
        faults.push(fault(0, None, "the sheet has no rows"));
    }
    if faults.is_empty() {
        let (rows, contradictions) = contradiction::check(rows);
        if contradictions.is_empty() {
            return Ok(Sheet { rows });
        }
        faults = contradictions;
    }
    faults.sort_by_key(|f| f.line);
    faults.truncate(MAX_FAULTS);
    Err(faults)
}

/// Fault at a line and column.
pub(super) fn fault(line: u64, column: Option<Column>, text: impl Into<String>) -> Fault {
    Fault {
        line,
        column,
        text: text.into(),
    }
}
