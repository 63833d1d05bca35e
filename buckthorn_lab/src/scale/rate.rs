//! Rates of nodes, from their costs at two times.

use super::process::Usage;

/// Rates of one node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    /// Share of a core.
    pub(super) cpu: f64,
    /// Control bytes a second, in and out.
    pub(super) bytes: f64,
    /// Control messages sent a second.
    pub(super) messages: f64,
}

impl Rate {
    /// Rate between two costs.
    pub(super) fn between(before: &Usage, after: &Usage, elapsed: f64) -> Self {
        let bytes = |usage: &Usage| usage.bytes_in + usage.bytes_out;
        Self {
            cpu: (after.cpu - before.cpu) / elapsed,
            bytes: (bytes(after) - bytes(before)) / elapsed,
            messages: (after.messages - before.messages) / elapsed,
        }
    }

    /// Mean of rates.
    pub(super) fn mean(rates: &[Self]) -> Self {
        Self {
            cpu: average(rates.iter().map(|r| r.cpu)),
            bytes: average(rates.iter().map(|r| r.bytes)),
            messages: average(rates.iter().map(|r| r.messages)),
        }
    }

    /// Whole cost of a window beyond the quiet rate, as a mean over the nodes.
    pub(super) fn extra(before: &[Usage], after: &[Usage], elapsed: f64, quiet: &Self) -> Self {
        let rates: Vec<Self> = before
            .iter()
            .zip(after)
            .map(|(b, a)| Self::between(b, a, elapsed))
            .collect();
        let mean = Self::mean(&rates);
        Self {
            cpu: (mean.cpu - quiet.cpu) * elapsed,
            bytes: (mean.bytes - quiet.bytes) * elapsed,
            messages: (mean.messages - quiet.messages) * elapsed,
        }
    }
}

/// Mean of some values, zero for none.
pub(super) fn average(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}
