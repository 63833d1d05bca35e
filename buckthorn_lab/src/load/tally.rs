//! Results of a load: counts and latencies.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::call::{Call, Kind};
use super::client::Outcome;
use crate::backend::content::BodyFault;

/// Largest latency in a histogram, in microseconds; longer ones are recorded as this.
const MAX_MICROS: u64 = 120_000_000;

/// Histogram of latencies.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    /// Microseconds with three significant digits.
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    ///
    /// # Errors
    ///
    /// Fails when the histogram cannot be created.
    pub fn new() -> anyhow::Result<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, 3)?;
        Ok(Self { histogram })
    }

    /// Records a latency.
    pub fn record(&mut self, latency: Duration) {
        self.histogram.saturating_record(latency.as_micros() as u64);
    }

    /// Returns the latency at a quantile between 0 and 1, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Number of latencies recorded.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns count, quantiles and maximum.
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

/// Quantiles of recorded latencies.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Number of latencies recorded.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
    /// Maximum, in milliseconds.
    pub max_ms: f64,
}

/// Collects the outcomes of a running load.
#[derive(Debug)]
pub struct Tally {
    /// Report so far, without its latencies.
    report: Report,
    /// Latencies of calls with outcome [`Outcome::Ok`], by kind.
    latencies: Vec<(Kind, LatencyHistogram)>,
    /// First execution that responded to each order, sorted by request id.
    executions: Vec<(String, String)>,
}

/// Results of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Number of calls sent.
    pub sent: u64,
    /// Calls with a complete response.
    pub ok: u64,
    /// Calls that a node refused without running them, by reason.
    pub not_run: Vec<(String, u64)>,
    /// Calls that may have run although a node reported a failure, by reason.
    pub unknown: Vec<(String, u64)>,
    /// Calls with an error status from a backend server, by status.
    pub status: Vec<(String, u64)>,
    /// Calls whose connection broke before the response was complete.
    pub broken: u64,
    /// Calls for which no connection could be opened.
    pub unreachable: u64,
    /// Calls without a complete response before the timeout.
    pub gave_up: u64,
    /// Responses that ended as declared but lack bytes.
    #[serde(rename = "shorts")]
    pub truncated: u64,
    /// Responses that belong to another request, are corrupted or have excess bytes.
    #[serde(rename = "strangers")]
    pub mismatched: u64,
    /// Responses to an order from another execution than its first response.
    #[serde(rename = "doubles")]
    pub duplicates: u64,
    /// Latencies of calls with a complete response, by kind.
    pub latency: Vec<(String, Summary)>,
}

impl Tally {
    /// Creates an empty tally.
    ///
    /// # Errors
    ///
    /// Fails when the histograms cannot be created.
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

    /// Records the outcome of a call; `latency` is measured from its scheduled time.
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
                self.record_execution(call, execution);
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

    /// Records the execution that responded to an order and counts it when it is not the first.
    fn record_execution(&mut self, call: &Call, execution: String) {
        if call.kind != Kind::Order || execution.is_empty() {
            return;
        }
        match self.executions.binary_search_by(|(id, _)| id.cmp(&call.id)) {
            Ok(index) if self.executions[index].1 != execution => self.report.duplicates += 1,
            Ok(_) => {}
            Err(index) => self.executions.insert(index, (call.id.clone(), execution)),
        }
    }

    /// Returns the results so far.
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

/// Increments the count of a label; the list is sorted by label.
pub(crate) fn increment(counts: &mut Vec<(String, u64)>, label: &str) {
    match counts.binary_search_by(|(l, _)| l.as_str().cmp(label)) {
        Ok(index) => counts[index].1 += 1,
        Err(index) => counts.insert(index, (label.to_owned(), 1)),
    }
}

impl Report {
    /// Whether no response had a wrong body and no order ran twice.
    pub const fn is_clean(&self) -> bool {
        self.truncated == 0 && self.mismatched == 0 && self.duplicates == 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "sent {}, complete responses {}", self.sent, self.ok)?;
        for (label, list) in [
            ("refused, not run", &self.not_run),
            ("unknown outcome", &self.unknown),
            ("error status", &self.status),
        ] {
            for (reason, count) in list {
                writeln!(f, "  {label}: {reason} {count}")?;
            }
        }
        writeln!(
            f,
            "  broken {}, unreachable {}, timed out {}",
            self.broken, self.unreachable, self.gave_up
        )?;
        writeln!(
            f,
            "  duplicate executions {}, truncated {}, mismatched {}",
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
