//! What a load came to: counts and latencies.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::call::{Call, Kind};
use super::client::Outcome;
use crate::backend::content::BodyFault;

/// Longest latency told apart, in microseconds.
const MAX_MICROS: u64 = 120_000_000;

/// Latencies in microseconds.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    /// Histogram with three significant digits.
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    /// No latencies.
    ///
    /// # Errors
    ///
    /// Fails when the histogram cannot be made.
    pub fn new() -> anyhow::Result<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, 3)?;
        Ok(Self { histogram })
    }

    /// Adds a latency.
    pub fn record(&mut self, latency: Duration) {
        self.histogram.saturating_record(latency.as_micros() as u64);
    }

    /// Milliseconds at a quantile.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Latencies added.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Summary of the latencies.
    pub fn summary(&self) -> Summary {
        Summary {
            count: self.count(),
            p50_ms: self.quantile_ms(0.5),
            p99_ms: self.quantile_ms(0.99),
            p999_ms: self.quantile_ms(0.999),
            max_ms: self.histogram.max() as f64 / 1_000.0,
        }
    }
}

/// Quantiles of latencies.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Calls.
    pub count: u64,
    /// Median in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile in milliseconds.
    pub p999_ms: f64,
    /// Longest in milliseconds.
    pub max_ms: f64,
}

/// Counts of a load while it runs.
#[derive(Debug)]
pub struct Tally {
    /// Report without its latencies.
    report: Report,
    /// Latencies of calls answered in full, by kind.
    latencies: Vec<(Kind, LatencyHistogram)>,
    /// Executions of orders by identifier, sorted.
    executions: Vec<(String, String)>,
}

/// What a load came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Calls sent.
    pub sent: u64,
    /// Calls answered in full.
    pub ok: u64,
    /// Calls refused as not run, by reason.
    pub not_run: Vec<(String, u64)>,
    /// Calls of unknown outcome, by reason.
    pub unknown: Vec<(String, u64)>,
    /// Calls answered with an error status by a backend server, by status.
    pub status: Vec<(String, u64)>,
    /// Calls whose answer or connection broke off.
    pub broken: u64,
    /// Calls that could not reach the node.
    pub unreachable: u64,
    /// Calls that the caller gave up.
    pub gave_up: u64,
    /// Answers that ended as declared and yet lack bytes.
    #[serde(rename = "shorts")]
    pub truncated: u64,
    /// Answers that belong to another request or have bytes too many.
    #[serde(rename = "strangers")]
    pub mismatched: u64,
    /// Orders that were answered by two executions.
    #[serde(rename = "doubles")]
    pub duplicates: u64,
    /// Latencies of calls answered in full, by kind.
    pub latency: Vec<(String, Summary)>,
}

impl Tally {
    /// Nothing counted.
    ///
    /// # Errors
    ///
    /// Fails when the histograms cannot be made.
    pub fn new() -> anyhow::Result<Self> {
        let latencies = Kind::ALL
            .into_iter()
            .map(|kind| Ok((kind, LatencyHistogram::new()?)))
            .collect::<anyhow::Result<_>>()?;
        Ok(Self {
            report: Report::default(),
            latencies,
            executions: Vec::new(),
        })
    }

    /// Counts a call; its latency counts from the time it was meant to be sent.
    pub fn record(&mut self, call: &Call, outcome: Outcome, latency: Duration) {
        let report = &mut self.report;
        report.sent += 1;
        match outcome {
            Outcome::Ok { execution } => {
                report.ok += 1;
                let found = self.latencies.iter_mut().find(|(k, _)| *k == call.kind);
                if let Some((_, latencies)) = found {
                    latencies.record(latency);
                }
                self.note_execution(call, execution);
            }
            Outcome::NotRun(reason) => increment(&mut report.not_run, &reason),
            Outcome::Unknown(reason) => increment(&mut report.unknown, &reason),
            Outcome::Status(status) => increment(&mut report.status, &status.to_string()),
            Outcome::Broken => report.broken += 1,
            Outcome::Wrong(BodyFault::Short) => report.truncated += 1,
            Outcome::Wrong(BodyFault::Long | BodyFault::Stranger) => report.mismatched += 1,
            Outcome::Unreachable => report.unreachable += 1,
            Outcome::GaveUp => report.gave_up += 1,
        }
    }

    /// Notes which execution answered an order.
    fn note_execution(&mut self, call: &Call, execution: String) {
        if call.kind != Kind::Order || execution.is_empty() {
            return;
        }
        match self.executions.binary_search_by(|(id, _)| id.cmp(&call.id)) {
            Ok(index) if self.executions[index].1 != execution => self.report.duplicates += 1,
            Ok(_) => {}
            Err(index) => self.executions.insert(index, (call.id.clone(), execution)),
        }
    }

    /// What the load came to.
    pub fn report(&self) -> Report {
        let mut report = self.report.clone();
        report.latency = self
            .latencies
            .iter()
            .filter(|(_, latency)| latency.count() > 0)
            .map(|(kind, latency)| (kind.as_str().to_owned(), latency.summary()))
            .collect();
        report
    }
}

/// Counts one more under a word; the list is sorted.
pub(crate) fn increment(counts: &mut Vec<(String, u64)>, word: &str) {
    match counts.binary_search_by(|(w, _)| w.as_str().cmp(word)) {
        Ok(index) => counts[index].1 += 1,
        Err(index) => counts.insert(index, (word.to_owned(), 1)),
    }
}

impl Report {
    /// Whether no answer was wrong and no order ran twice.
    pub const fn is_clean(&self) -> bool {
        self.truncated == 0 && self.mismatched == 0 && self.duplicates == 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "sent {}, answered in full {}", self.sent, self.ok)?;
        for (word, list) in [
            ("refused as not run", &self.not_run),
            ("unknown outcome", &self.unknown),
            ("error status", &self.status),
        ] {
            for (reason, count) in list {
                writeln!(f, "  {word}: {reason} {count}")?;
            }
        }
        writeln!(
            f,
            "  broken off {}, unreachable {}, given up {}",
            self.broken, self.unreachable, self.gave_up
        )?;
        writeln!(
            f,
            "  doubles {}, shorts {}, strangers {}",
            self.duplicates, self.truncated, self.mismatched
        )?;
        writeln!(
            f,
            "{:>10} {:>8} {:>9} {:>9} {:>9}",
            "", "calls", "p50 ms", "p99 ms", "p99.9 ms"
        )?;
        for (kind, s) in &self.latency {
            writeln!(
                f,
                "{kind:>10} {:>8} {:>9.3} {:>9.3} {:>9.3}",
                s.count, s.p50_ms, s.p99_ms, s.p999_ms
            )?;
        }
        Ok(())
    }
}
