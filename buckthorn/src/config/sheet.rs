//! The planners' CSV sheet, checked row by row.
//!
//! [`parse`] reads what a spreadsheet exports: a byte-order mark, either line ending, quoted
//! fields, blank rows, stray spaces, columns in any order and columns of the planners' own. It
//! checks all that can be told from the sheet alone; what depends on the intent in force is checked
//! by [`super::plan`]. Every fault names the line and the column.

use std::fmt;
use std::io::Read as _;

use csv::{ByteRecord, ReaderBuilder};
use serde::Serialize;

use crate::clock::Time;
use crate::config::intent;
use crate::journal::fold;
use crate::name::Name;

/// Bytes of a sheet.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Rows of a sheet.
pub const MAX_ROWS: usize = 10_000;

/// Faults reported of one sheet.
pub const MAX_FAULTS: usize = 20;

/// Form of the times in a sheet.
const TIME_FORM: &str = "RFC 3339 with an offset, such as 2026-05-04T06:30:00+02:00";

/// Row put after the last one; a quoted field that is never closed swallows it.
const END_ROW: &[u8] = b"\n\0end";

/// Characters of a field that a fault shows.
const MAX_SHOWN_CHARS: usize = 60;

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
    pub fn is_on(&self, service: &str, route: &str) -> bool {
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
    let mut parser = Parser::default();
    parser.read(bytes);
    if parser.sheet.rows.is_empty() && parser.faults.is_empty() {
        parser.faults.push(fault(0, None, "no row names anything"));
    }
    if parser.faults.is_empty() {
        parser.find_contradictions();
    }
    if parser.faults.is_empty() {
        return Ok(parser.sheet);
    }
    parser.faults.sort_by_key(|f| f.line);
    parser.faults.truncate(MAX_FAULTS);
    Err(parser.faults)
}

/// Fault at a place.
pub(super) fn fault(line: u64, column: Option<Column>, text: impl Into<String>) -> Fault {
    Fault {
        line,
        column,
        text: text.into(),
    }
}

/// Rows and faults found so far.
#[derive(Debug, Default)]
struct Parser {
    /// Rows found.
    sheet: Sheet,
    /// Faults found.
    faults: Vec<Fault>,
}

/// Places of the columns in a row.
type Layout = [usize; Column::ALL.len()];

/// Fields of one row.
struct Fields<'a> {
    /// Line of the file.
    line: u64,
    /// Trimmed text of each column, in the order of [`Column::ALL`].
    texts: [&'a str; Column::ALL.len()],
}

impl Parser {
    /// Reads every row.
    fn read(&mut self, bytes: &[u8]) {
        let bytes = bytes.strip_prefix("\u{feff}".as_bytes()).unwrap_or(bytes);
        let mut reader = ReaderBuilder::new()
            .has_headers(false)
            .flexible(true)
            .from_reader(bytes.chain(END_ROW));
        let mut record = ByteRecord::new();
        let mut layout: Option<(Layout, usize)> = None;
        let mut rows = 0;
        while matches!(reader.read_byte_record(&mut record), Ok(true)) {
            let line = first_line(bytes, &record);
            if record.iter().any(|field| field.ends_with(END_ROW)) {
                let text = "a quoted field that starts on this row is not closed";
                self.faults.push(fault(line, None, text));
                return;
            }
            if record.len() == 1 && record.get(0) == END_ROW.strip_prefix(b"\n") {
                break;
            }
            let texts = match decode(&record, line) {
                Ok(texts) => texts,
                Err(fault) => {
                    self.faults.push(fault);
                    continue;
                }
            };
            if texts.iter().all(|text| text.is_empty()) {
                continue;
            }
            let Some((places, width)) = &layout else {
                match self.header(line, &texts) {
                    Some(places) => layout = Some((places, texts.len())),
                    None => return,
                }
                continue;
            };
            rows += 1;
            if rows > MAX_ROWS {
                let text = format!("more than {MAX_ROWS} rows");
                self.faults.push(fault(line, None, text));
                return;
            }
            if texts.iter().skip(*width).any(|text| !text.is_empty()) {
                let text = format!("more fields than the header's {width}");
                self.faults.push(fault(line, None, text));
                continue;
            }
            let fields = Fields {
                line,
                texts: places.map(|place| texts.get(place).copied().unwrap_or_default()),
            };
            match fields.entry() {
                Ok(entry) => self.add(line, entry),
                Err(mut faults) => self.faults.append(&mut faults),
            }
        }
        if layout.is_none() && self.faults.is_empty() {
            self.faults.push(fault(0, None, "empty, expected a header"));
        }
    }

    /// Places of the columns, or `None` with faults when the header is bad.
    fn header(&mut self, line: u64, texts: &[&str]) -> Option<Layout> {
        let mut places = Layout::default();
        for (place, column) in places.iter_mut().zip(Column::ALL) {
            let mut found =
                (0..texts.len()).filter(|&index| texts[index].eq_ignore_ascii_case(column.name()));
            match (found.next(), found.next()) {
                (Some(index), None) => *place = index,
                (Some(_), Some(_)) => {
                    let text = "named twice in the header";
                    self.faults.push(fault(line, Some(column), text));
                }
                (None, _) => {
                    let text = "missing in the header";
                    self.faults.push(fault(line, Some(column), text));
                }
            }
        }
        if self.faults.len() == Column::ALL.len() {
            self.faults.clear();
            let names = Column::ALL.map(Column::name).join(",");
            let text = format!("expected the header {names}");
            self.faults.push(fault(line, None, text));
        }
        self.faults.is_empty().then_some(places)
    }

    /// Adds a row unless an equal one is there.
    fn add(&mut self, line: u64, entry: Entry) {
        self.sheet.rows.push(Row { line, entry });
    }

    /// Drops repeats and finds rows that contradict others.
    fn find_contradictions(&mut self) {
        let mut rows: Vec<Row> = std::mem::take(&mut self.sheet.rows);
        // Rows on the same subject become neighbours; the sort is stable within a subject.
        rows.sort_by(|a, b| subject(&a.entry).cmp(&subject(&b.entry)));
        rows.dedup_by(|b, a| a.entry == b.entry);
        for group in rows.chunk_by(|a, b| subject(&a.entry).0 == subject(&b.entry).0) {
            self.faults.extend(contradictions(group));
        }
        rows.sort_by_key(|row| row.line);
        self.sheet.rows = rows;
    }
}

/// Subject of a row, its kind and its time, for sorting.
fn subject(entry: &Entry) -> ((u8, &str, &str), u8, Time, &str) {
    match entry {
        Entry::Serve(serve) => (
            (0, &serve.service, &serve.route),
            0,
            Time::default(),
            &serve.version,
        ),
        Entry::Move(entry) => ((0, &entry.service, &entry.route), 1, entry.start, &entry.to),
        Entry::Out(name) => ((1, name, ""), 0, Time::default(), ""),
        Entry::In(name) => ((1, name, ""), 1, Time::default(), ""),
    }
}

/// Contradictions among the rows of one subject, sorted by kind and time.
fn contradictions(group: &[Row]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for pair in group.windows(2) {
        let (first, second) = (&pair[0], &pair[1]);
        let line = second.line.max(first.line);
        let other = second.line.min(first.line);
        let found = match (&first.entry, &second.entry) {
            (Entry::Serve(a), Entry::Serve(b)) if a.version != b.version => {
                let text = format!("contradicts line {other}, which serves another version");
                Some((Column::To, text))
            }
            (Entry::Move(a), Entry::Move(b)) if a.to != b.from || a.deadline > b.start => {
                let text = format!(
                    "contradicts line {other}: a second move of the same route must start \
                     from the version and after the deadline of the first"
                );
                Some((Column::From, text))
            }
            (Entry::Out(_), Entry::In(_)) => {
                let text = format!("contradicts line {other}: both out and in");
                Some((Column::FailureDomain, text))
            }
            _ => None,
        };
        faults.extend(found.map(|(column, text)| fault(line, Some(column), text)));
    }
    let served = group.iter().find_map(|row| match &row.entry {
        Entry::Serve(serve) => Some((row.line, &serve.version)),
        _ => None,
    });
    let mut moves = group.iter().filter_map(|row| match &row.entry {
        Entry::Move(entry) => Some((row.line, entry)),
        _ => None,
    });
    if let (Some((line, version)), Some((other, first))) = (served, moves.next()) {
        let is_named = first.from == *version
            || first.to == *version
            || moves.any(|(_, entry)| entry.to == *version);
        if !is_named {
            let text = format!(
                "contradicts line {line}: {} is not the version that it serves, {version} is",
                first.from
            );
            faults.push(fault(other, Some(Column::From), text));
        }
    }
    faults
}

/// Line on which a record starts; blank lines before it are passed over.
fn first_line(bytes: &[u8], record: &ByteRecord) -> u64 {
    let Some(position) = record.position() else {
        return 0;
    };
    let rest = bytes.get(position.byte() as usize..).unwrap_or_default();
    let blank = rest
        .iter()
        .take_while(|byte| matches!(byte, b'\r' | b'\n'))
        .filter(|byte| **byte == b'\n')
        .count();
    position.line() + blank as u64
}

/// Trimmed texts of a record.
fn decode(record: &ByteRecord, line: u64) -> Result<Vec<&str>, Fault> {
    record
        .iter()
        .map(|field| match std::str::from_utf8(field) {
            Ok(text) => Ok(trim(text)),
            Err(_) => Err(fault(line, None, "not UTF-8")),
        })
        .collect()
}

/// Text without white space and invisible marks at its ends.
fn trim(text: &str) -> &str {
    text.trim_matches(|c: char| c.is_whitespace() || matches!(c, '\u{feff}' | '\u{200b}'))
}

impl Fields<'_> {
    /// Text of a column.
    fn text(&self, column: Column) -> &str {
        self.texts[column as usize]
    }

    /// What the row says, or all that is wrong with it.
    fn entry(&self) -> Result<Entry, Vec<Fault>> {
        use Column::{Deadline, FailureDomain, From, Route, Service, Start, To};
        let mut faults = Vec::new();
        let action = self.text(Column::Action).to_ascii_lowercase();
        let entry = match action.as_str() {
            "serve" => {
                self.expect_empty(&[From, Start, Deadline, FailureDomain], &mut faults);
                Entry::Serve(Serve {
                    service: self.name(Service, &mut faults),
                    route: self.route(Route, &mut faults),
                    version: self.name(To, &mut faults),
                })
            }
            "move" => {
                self.expect_empty(&[FailureDomain], &mut faults);
                Entry::Move(self.shift(&mut faults))
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
                    shown(self.text(Column::Action))
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

    /// Move of the row.
    fn shift(&self, faults: &mut Vec<Fault>) -> Move {
        let entry = Move {
            service: self.name(Column::Service, faults),
            route: self.route(Column::Route, faults),
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

    /// Name in a column that must be filled.
    fn name(&self, column: Column, faults: &mut Vec<Fault>) -> Name {
        let text = self.text(column);
        if text.is_empty() {
            faults.push(self.fault(column, "missing"));
        } else if let Err(what) = fold::check_name(column.name(), text, false) {
            faults.push(self.fault(column, what));
        }
        text.into()
    }

    /// Path prefix, which may be empty.
    fn route(&self, column: Column, faults: &mut Vec<Fault>) -> Name {
        let text = self.text(column);
        if let Err(what) = fold::check_name(column.name(), text, true) {
            faults.push(self.fault(column, what));
        }
        text.into()
    }

    /// Time in a column that must be filled.
    fn time(&self, column: Column, faults: &mut Vec<Fault>) -> Time {
        match parse_time(self.text(column)) {
            Ok(time) => time,
            Err(what) => {
                faults.push(self.fault(column, what));
                Time::default()
            }
        }
    }

    /// Checks that columns which the action does not use are empty.
    fn expect_empty(&self, columns: &[Column], faults: &mut Vec<Fault>) {
        for &column in columns {
            let text = self.text(column);
            if !text.is_empty() {
                let action = self.text(Column::Action);
                let text = format!("{} is not used by {action}", shown(text));
                faults.push(self.fault(column, text));
            }
        }
    }

    /// Fault in a column of this row.
    fn fault(&self, column: Column, text: impl Into<String>) -> Fault {
        fault(self.line, Some(column), text)
    }
}

/// Quoted start of a field.
fn shown(text: &str) -> String {
    let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    let dots = if start.len() < text.len() { "..." } else { "" };
    format!("{start:?}{dots}")
}

/// Time of a field.
fn parse_time(text: &str) -> Result<Time, String> {
    if text.is_empty() {
        return Err("missing".into());
    }
    let stamp: jiff::Timestamp = match text.parse() {
        Ok(stamp) => stamp,
        Err(_) if text.parse::<jiff::civil::DateTime>().is_ok() => {
            return Err(format!("{} has no zone, expected {TIME_FORM}", shown(text)));
        }
        Err(_) => return Err(format!("{} is no time, expected {TIME_FORM}", shown(text))),
    };
    u64::try_from(stamp.as_microsecond())
        .map(Time)
        .map_err(|_| format!("{} lies before 1970", shown(text)))
}
