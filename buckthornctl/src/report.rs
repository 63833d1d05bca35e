//! Reads the newest report of each failure domain from the report stream.

use std::time::Duration;

use buckthorn::journal::record::REPORT_STREAM;
use buckthorn::log::Log;
use buckthorn::log::client::MAX_RECORDS;
use buckthorn::membership::report::Report;
use buckthorn::name::Name;

/// Upper bound on reads of the report stream, each of up to [`MAX_RECORDS`] records.
pub const MAX_READS: usize = 16;

/// Reads the newest reports, sorted by failure domain.
///
/// The stream is read backwards from its end until a report of each `wanted` failure domain is
/// found, [`MAX_READS`] reads are made or the stream begins. Records that cannot be parsed are
/// skipped.
///
/// # Errors
///
/// Fails when the log cannot be read.
pub fn read_newest(log: &dyn Log, wanted: &[&str]) -> anyhow::Result<Vec<Report>> {
    let mut newest: Vec<Report> = Vec::new();
    let is_found = |newest: &[Report], name: &str| {
        newest
            .binary_search_by(|report| (*report.failure_domain).cmp(name))
            .is_ok()
    };
    let mut end = log.read(REPORT_STREAM, u64::MAX, Duration::ZERO)?.next;
    for _ in 0..MAX_READS {
        let from = end.saturating_sub(MAX_RECORDS as u64);
        let batch = log.read(REPORT_STREAM, from, Duration::ZERO)?;
        let chunk = batch.records.iter().filter(|record| record.offset < end);
        // Within a chunk, the last report of a failure domain is the newest.
        let mut reports: Vec<Report> = chunk
            .filter_map(|record| serde_json::from_str(&record.payload).ok())
            .collect();
        reports.reverse();
        for report in reports {
            insert(&mut newest, report);
        }
        end = from;
        let is_complete = wanted.iter().all(|name| is_found(&newest, name));
        if is_complete || end <= batch.earliest {
            break;
        }
    }
    Ok(newest)
}

/// Inserts a report unless its failure domain already has one, which is newer.
fn insert(newest: &mut Vec<Report>, report: Report) {
    let key: &Name = &report.failure_domain;
    if let Err(index) = newest.binary_search_by(|existing| existing.failure_domain.cmp(key)) {
        newest.insert(index, report);
    }
}
