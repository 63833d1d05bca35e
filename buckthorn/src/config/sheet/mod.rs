//! The planners' CSV sheet, checked row by row.
//!
//! [`parse`] reads what a spreadsheet exports: a byte-order mark, either line ending, quoted
//! fields, blank rows, stray spaces, columns in any order and columns of the planners' own. It
//! checks all that can be told from the sheet alone; what depends on the intent in force is checked
//! by [`super::plan`]. Every fault names the line and the column.

mod contradiction;
mod parser;
mod row;

use std::fmt;

use serde::Serialize;

use crate::clock::Time;
use crate::config::intent;
use crate::name::Name;

/// Bytes of a sheet.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Rows of a sheet.
pub const MAX_ROWS: usize = 10_000;

/// Faults reported of one sheet.
pub const MAX_FAULTS: usize = 20;

/// Column of a sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Column {
    /// What the row does.
    Action,
    /// Service.
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
    /// Failure domain.
    FailureDomain,
}

impl Column {
    /// Every column, in the order of the documentation.
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

    /// Name in the header.
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

/// What is wrong with a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Line of the file, from 1; zero for the file as a whole.
    pub line: u64,
    /// Column, when one can be named.
    pub column: Option<Column>,
    /// What is wrong, in words.
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

/// A sheet that contradicts itself nowhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sheet {
    /// Rows in the order of the file, without repeats.
    pub rows: Vec<Row>,
}

/// Row of a sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Line of the file, from 1.
    pub line: u64,
    /// What the row says.
    pub entry: Entry,
}

/// What a row says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A version serves a route.
    Serve(Serve),
    /// A route moves to another version.
    Move(Move),
    /// A failure domain is taken out of service.
    Out(Name),
    /// A failure domain is in service.
    In(Name),
}

/// A version serves a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Serve {
    /// Service.
    pub service: Name,
    /// Path prefix, empty for the whole service.
    pub route: Name,
    /// Version.
    pub version: Name,
}

/// A route moves to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Service.
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

    /// Whether the move concerns a route.
    pub fn is_for_route(&self, service: &str, route: &str) -> bool {
        *self.service == *service && *self.route == *route
    }
}

impl Sheet {
    /// Moves with their lines, in the order of the file.
    pub fn moves(&self) -> impl Iterator<Item = (u64, &Move)> {
        self.rows.iter().filter_map(|row| match &row.entry {
            Entry::Move(entry) => Some((row.line, entry)),
            _ => None,
        })
    }
}

/// Reads a sheet.
///
/// # Errors
///
/// Gives up to [`MAX_FAULTS`] faults, in the order of the lines.
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
        faults.push(fault(0, None, "no row names anything"));
    }
    if faults.is_empty() {
        let (rows, contradictions) = contradiction::settle(rows);
        if contradictions.is_empty() {
            return Ok(Sheet { rows });
        }
        faults = contradictions;
    }
    faults.sort_by_key(|f| f.line);
    faults.truncate(MAX_FAULTS);
    Err(faults)
}

/// Fault at a place.
pub(super) fn fault(line: u64, column: Option<Column>, text: impl Into<String>) -> Fault {
    Fault {
        line,
        column,
        text: text.into(),
    }
}
