//! CSV parser: turns the bytes of a file into checked rows.

use std::io::Read as _;

use csv::{ByteRecord, ReaderBuilder};

use super::row::Fields;
use super::{Column, Fault, MAX_ROWS, Row, fault};

/// Sentinel row appended to the file. An unclosed quoted field extends over it, which reveals the
/// missing quote.
const END_ROW: &[u8] = b"\n\0end";

/// Parses every row; the rows are complete only if there are no faults.
pub(super) fn read(bytes: &[u8]) -> (Vec<Row>, Vec<Fault>) {
    let mut parser = Parser::default();
    parser.read(bytes);
    (parser.rows, parser.faults)
}

/// Accumulates rows and faults.
#[derive(Debug, Default)]
struct Parser {
    /// Rows parsed without a fault.
    rows: Vec<Row>,
    /// Faults in the order in which they were found.
    faults: Vec<Fault>,
}

/// Index in a record of each column, in the order of [`Column::ALL`].
type Layout = [usize; Column::ALL.len()];

impl Parser {
    /// Parses the header and every row, up to a fault that makes the rest unreadable.
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
            let Some((indices, width)) = &layout else {
                match self.parse_header(line, &texts) {
                    Some(indices) => layout = Some((indices, texts.len())),
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
                texts: indices.map(|index| texts.get(index).copied().unwrap_or_default()),
            };
            match fields.entry() {
                Ok(entry) => self.rows.push(Row { line, entry }),
                Err(mut faults) => self.faults.append(&mut faults),
            }
        }
        if layout.is_none() && self.faults.is_empty() {
            self.faults.push(fault(0, None, "empty, expected a header"));
        }
    }

    /// Layout given by the header; `None` with faults if the header is invalid.
    fn parse_header(&mut self, line: u64, texts: &[&str]) -> Option<Layout> {
        let mut indices = Layout::default();
        for (slot, column) in indices.iter_mut().zip(Column::ALL) {
            let mut found =
                (0..texts.len()).filter(|&index| texts[index].eq_ignore_ascii_case(column.name()));
            match (found.next(), found.next()) {
                (Some(index), None) => *slot = index,
                (Some(_), Some(_)) => {
                    let text = "appears twice in the header";
                    self.faults.push(fault(line, Some(column), text));
                }
                (None, _) => {
                    let text = "missing from the header";
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
        self.faults.is_empty().then_some(indices)
    }
}

/// Line on which a record starts. The reader's position may lie before blank lines, which are
/// skipped.
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

/// Decodes a record as UTF-8 and trims its fields.
fn decode(record: &ByteRecord, line: u64) -> Result<Vec<&str>, Fault> {
    record
        .iter()
        .map(|field| match std::str::from_utf8(field) {
            Ok(text) => Ok(trim(text)),
            Err(_) => Err(fault(line, None, "not UTF-8")),
        })
        .collect()
}

/// Trims white space, byte-order marks and zero-width spaces.
fn trim(text: &str) -> &str {
    text.trim_matches(|c: char| c.is_whitespace() || matches!(c, '\u{feff}' | '\u{200b}'))
}
