//! Latency histograms, and counters and histograms in the OpenMetrics text format.
//!
//! While a call runs, only atomics are incremented; `prometheus-client` renders the text on each
//! scrape.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::registry::{Registry, Unit};

use crate::counter::Counters;

/// Prefix of all metric names.
const PREFIX: &str = "buckthorn";

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Media type of the rendered text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Upper bounds of the buckets in microseconds: they roughly double from 250 µs, the time that a hop
/// adds, to 8 s, beyond the longest timeouts.
const BOUNDS_US: [u64; 16] = [
    250, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 64_000, 125_000, 250_000, 500_000,
    1_000_000, 2_000_000, 4_000_000, 8_000_000,
];

/// Measured stage of a call, or of an operation that calls depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// From a caller's request to the head of its response, at the ingress.
    Call,
    /// One attempt, from ingress to owner and back.
    Attempt,
    /// Wait for a slot at the owner.
    Queue,
    /// From the request to the backend server until the head of its response.
    Backend,
    /// A request to the platform's store that does not wait for records.
    Store,
}

impl Stage {
    /// All stages.
    pub const ALL: [Self; 5] = [
        Self::Call,
        Self::Attempt,
        Self::Queue,
        Self::Backend,
        Self::Store,
    ];

    /// Name of the stage's histogram, without prefix and unit.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Call => "call_duration",
            Self::Attempt => "attempt_duration",
            Self::Queue => "owner_queue_duration",
            Self::Backend => "backend_duration",
            Self::Store => "store_call_duration",
        }
    }

    /// One-line description.
    pub const fn help(self) -> &'static str {
        match self {
            Self::Call => "Time from a caller's request to the head of its answer",
            Self::Attempt => "Time of one attempt, from ingress to owner and back",
            Self::Queue => "Time that a call waited at the owner",
            Self::Backend => "Time to the head of the backend server's answer",
            Self::Store => {
                "Time of an answered call to the platform's store that waits for nothing"
            }
        }
    }
}

/// Histogram of one stage.
#[derive(Debug, Default)]
pub struct Histogram {
    /// Number of durations in each bucket; the last bucket has no upper bound.
    buckets: [AtomicU64; BOUNDS_US.len() + 1],
    /// Sum of the durations in microseconds.
    sum_us: AtomicU64,
}

impl Histogram {
    /// Records a duration.
    #[inline]
    pub fn observe(&self, duration: Duration) {
        let us = duration.as_micros() as u64;
        let index = BOUNDS_US.partition_point(|bound| *bound < us);
        self.buckets[index].fetch_add(1, Ordering::Relaxed);
        self.sum_us.fetch_add(us, Ordering::Relaxed);
    }

    /// Returns the number of durations recorded so far.
    pub fn count(&self) -> u64 {
        let buckets = self.buckets.iter();
        buckets.map(|bucket| bucket.load(Ordering::Relaxed)).sum()
    }
}

/// Histograms of all stages.
#[derive(Debug, Default)]
pub struct Stages([Histogram; Stage::ALL.len()]);

impl Stages {
    /// Returns the histogram of a stage.
    #[inline]
    pub fn get(&self, stage: Stage) -> &Histogram {
        &self.0[stage as usize]
    }
}

/// Collects counters and histograms for a scrape.
#[derive(Debug)]
struct CounterCollector(Arc<Counters>);

impl Collector for CounterCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for (counter, value) in self.0.list() {
            let name = counter.name().replace('.', "_");
            let help = counter.help().trim_end_matches('.');
            let metric = encoder.encode_descriptor(&name, help, None, MetricType::Counter)?;
            ConstCounter::new(value).encode(metric)?;
        }
        for stage in Stage::ALL {
            let unit = Unit::Seconds;
            let metric = encoder.encode_descriptor(
                stage.name(),
                stage.help(),
                Some(&unit),
                MetricType::Histogram,
            )?;
            encode_histogram(self.0.stages.get(stage), metric)?;
        }
        Ok(())
    }
}

/// Encodes one histogram; the library accumulates the buckets.
fn encode_histogram(
    histogram: &Histogram,
    mut metric: MetricEncoder<'_>,
) -> Result<(), fmt::Error> {
    let counts = histogram.buckets.iter().map(|b| b.load(Ordering::Relaxed));
    let bounds = BOUNDS_US.iter().map(|us| *us as f64 / MICROS_PER_SECOND);
    let buckets: Vec<(f64, u64)> = bounds.chain([f64::MAX]).zip(counts).collect();
    let sum = histogram.sum_us.load(Ordering::Relaxed) as f64 / MICROS_PER_SECOND;
    let count = buckets.iter().map(|(_, count)| count).sum();
    metric.encode_histogram::<NoLabelSet>(sum, count, &buckets, None)
}

/// Renders every counter and histogram in the OpenMetrics text format.
///
/// # Errors
///
/// Returns an error if the library cannot encode a metric.
pub fn render(counters: &Arc<Counters>) -> Result<String, fmt::Error> {
    let mut registry = Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(CounterCollector(counters.clone())));
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}
