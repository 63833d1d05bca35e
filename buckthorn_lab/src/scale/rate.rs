//! Rates of resource usage of nodes, computed from two samples of their counters.

use super::process::Usage;

/// Resource usage of one node per second, or in total from [`Rate::extra`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    /// CPU time in seconds, which per second is the share of one core.
    pub(super) cpu: f64,
    /// Control bytes received and sent.
    pub(super) bytes: f64,
    /// Control messages sent.
    pub(super) messages: f64,
}

impl Rate {
    /// Returns the rates between two samples taken `elapsed` seconds apart.
    pub(super) fn between(before: &Usage, after: &Usage, elapsed: f64) -> Self {
        let bytes = |usage: &Usage| usage.bytes_in + usage.bytes_out;
        Self {
            cpu: (after.cpu - before.cpu) / elapsed,
            bytes: (bytes(after) - bytes(before)) / elapsed,
            messages: (after.messages - before.messages) / elapsed,
        }
    }

    /// Returns the mean of the rates of several nodes.
    pub(super) fn mean(rates: &[Self]) -> Self {
        Self {
            cpu: average(rates.iter().map(|r| r.cpu)),
            bytes: average(rates.iter().map(|r| r.bytes)),
            messages: average(rates.iter().map(|r| r.messages)),
        }
    }

    /// Returns the total usage in a window beyond the baseline rate, as a mean over the nodes.
    pub(super) fn extra(before: &[Usage], after: &[Usage], elapsed: f64, baseline: &Self) -> Self {
        let rates: Vec<Self> = before
            .iter()
            .zip(after)
            .map(|(b, a)| Self::between(b, a, elapsed))
            .collect();
        let mean = Self::mean(&rates);
        Self {
            cpu: (mean.cpu - baseline.cpu) * elapsed,
            bytes: (mean.bytes - baseline.bytes) * elapsed,
            messages: (mean.messages - baseline.messages) * elapsed,
        }
    }
}

/// Returns the mean of the values, or zero when there are none.
pub(super) fn average(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}
