//! Detection of rows that contradict others of the same sheet.

use super::{Column, Entry, Fault, Row, fault};
use crate::clock::Time;

/// Removes duplicate rows and returns the rest in the order of the lines, with a fault for each row
/// that contradicts another.
pub(super) fn check(mut rows: Vec<Row>) -> (Vec<Row>, Vec<Fault>) {
    // Rows on the same subject become neighbours; the sort is stable within a subject.
    rows.sort_by(|a, b| sort_key(&a.entry).cmp(&sort_key(&b.entry)));
    rows.dedup_by(|b, a| a.entry == b.entry);
    let faults = rows
        .chunk_by(|a, b| sort_key(&a.entry).0 == sort_key(&b.entry).0)
        .flat_map(contradictions)
        .collect();
    rows.sort_by_key(|row| row.line);
    (rows, faults)
}

/// Sort key of a row: its subject, kind, time and version.
fn sort_key(entry: &Entry) -> ((u8, &str, &str), u8, Time, &str) {
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

/// Contradictions among the rows of one subject, which are sorted by kind and time.
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
