//! Parser and checks of the fields of one row.

use super::{Column, Entry, Fault, Move, Serve, fault};
use crate::clock::Time;
use crate::journal::amend;
use crate::name::Name;

/// Format of the times in a sheet, for error messages.
const TIME_FORM: &str = "RFC 3339 with an offset, such as 2026-05-04T06:30:00+02:00";

/// Maximum characters of a field that a fault quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// Fields of one row, not yet checked.
pub(super) struct Fields<'a> {
    /// Line of the file.
    pub(super) line: u64,
    /// Trimmed text of each column, in the order of [`Column::ALL`].
    pub(super) texts: [&'a str; Column::ALL.len()],
}

impl Fields<'_> {
    /// Text of a column.
    fn text(&self, column: Column) -> &str {
        self.texts[column as usize]
    }

    /// Parses the row, or returns all its faults.
    pub(super) fn entry(&self) -> Result<Entry, Vec<Fault>> {
        use Column::{Deadline, FailureDomain, From, Route, Service, Start, To};
        let mut faults = Vec::new();
        let action = self.text(Column::Action).to_ascii_lowercase();
        let entry = match action.as_str() {
            "serve" => {
                self.expect_empty(&[From, Start, Deadline, FailureDomain], &mut faults);
                Entry::Serve(Serve {
                    service: self.service(&mut faults),
                    route: self.route(&mut faults),
                    version: self.name(To, &mut faults),
                })
            }
            "move" => {
                self.expect_empty(&[FailureDomain], &mut faults);
                Entry::Move(self.move_entry(&mut faults))
            }
            "out" | "in" => {
                let others = [Service, Route, From, To, Start, Deadline];
                self.expect_empty(&others, &mut faults);
                let name = self.name(FailureDomain, &mut faults);
                if action == "out" {
                    Entry::Out(name)
                } else {
                    Entry::In(name)
                }
            }
            "" => return Err(vec![self.fault(Column::Action, "missing")]),
            _ => {
                let text = format!(
                    "unknown action {}, expected serve, move, out or in",
                    quote(self.text(Column::Action))
                );
                return Err(vec![self.fault(Column::Action, text)]);
            }
        };
        if faults.is_empty() {
            Ok(entry)
        } else {
            Err(faults)
        }
    }

    /// Parses a move.
    fn move_entry(&self, faults: &mut Vec<Fault>) -> Move {
        let entry = Move {
            service: self.service(faults),
            route: self.route(faults),
            from: self.name(Column::From, faults),
            to: self.name(Column::To, faults),
            start: self.time(Column::Start, faults),
            deadline: self.time(Column::Deadline, faults),
        };
        if faults.is_empty() && entry.deadline <= entry.start {
            faults.push(self.fault(Column::Deadline, "not after start"));
        }
        if faults.is_empty() && entry.from == entry.to {
            faults.push(self.fault(Column::To, "the same version as from"));
        }
        entry
    }

    /// Service name in lower case, since host names are case-insensitive.
    fn service(&self, faults: &mut Vec<Fault>) -> Name {
        let text = self.text(Column::Service).to_ascii_lowercase();
        self.required(Column::Service, &text, amend::check_service, faults)
    }

    /// Checked name in a required column.
    fn name(&self, column: Column, faults: &mut Vec<Fault>) -> Name {
        let check = |text: &str| amend::check_name(column.name(), text, false);
        self.required(column, self.text(column), check, faults)
    }

    /// Checked text of a required column.
    fn required(
        &self,
        column: Column,
        text: &str,
        check: impl Fn(&str) -> Result<(), String>,
        faults: &mut Vec<Fault>,
    ) -> Name {
        if text.is_empty() {
            faults.push(self.fault(column, "missing"));
        } else if let Err(what) = check(text) {
            faults.push(self.fault(column, what));
        }
        text.into()
    }

    /// Checked path prefix, which may be empty.
    fn route(&self, faults: &mut Vec<Fault>) -> Name {
        let text = self.text(Column::Route);
        if let Err(what) = amend::check_route(text) {
            faults.push(self.fault(Column::Route, what));
        }
        text.into()
    }

    /// Time in a required column; adds a fault if it is missing or invalid.
    fn time(&self, column: Column, faults: &mut Vec<Fault>) -> Time {
        match parse_time(self.text(column)) {
            Ok(time) => time,
            Err(what) => {
                faults.push(self.fault(column, what));
                Time::default()
            }
        }
    }

    /// Adds a fault for each of the given columns that is not empty; the action does not use them.
    fn expect_empty(&self, columns: &[Column], faults: &mut Vec<Fault>) {
        for &column in columns {
            let text = self.text(column);
            if !text.is_empty() {
                let action = self.text(Column::Action);
                let text = format!("{} is not used by {action}", quote(text));
                faults.push(self.fault(column, text));
            }
        }
    }

    /// Fault in a column of this row.
    fn fault(&self, column: Column, text: impl Into<String>) -> Fault {
        fault(self.line, Some(column), text)
    }
}

/// Quotes the start of a field.
fn quote(text: &str) -> String {
    let start: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    let ellipsis = if start.len() < text.len() { "..." } else { "" };
    format!("{start:?}{ellipsis}")
}

/// Parses an RFC 3339 time with an offset.
fn parse_time(text: &str) -> Result<Time, String> {
    if text.is_empty() {
        return Err("missing".into());
    }
    let timestamp: jiff::Timestamp = match text.parse() {
        Ok(timestamp) => timestamp,
        Err(_) if text.parse::<jiff::civil::DateTime>().is_ok() => {
            return Err(format!(
                "{} has no UTC offset, expected {TIME_FORM}",
                quote(text)
            ));
        }
        Err(_) => return Err(format!("{} is invalid, expected {TIME_FORM}", quote(text))),
    };
    u64::try_from(timestamp.as_microsecond())
        .map(Time)
        .map_err(|_| format!("{} is before 1970", quote(text)))
}
