//! Counts executions to detect requests that ran more than once.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Executions of requests that are not idempotent, by idempotency key or request id.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Number of executions by key, sorted by key.
    executions: Mutex<Vec<(String, u32)>>,
    /// Requests executed, idempotent ones included.
    requests: AtomicU64,
}

impl Ledger {
    /// Creates an empty ledger; several servers may share one.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts an execution of any request and returns its number, starting at 1.
    pub fn count_request(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the number of requests executed, idempotent ones included.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Records an execution of a request that is not idempotent.
    pub fn record(&self, key: &str) {
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match executions.binary_search_by(|(k, _)| k.as_str().cmp(key)) {
            Ok(index) => executions[index].1 += 1,
            Err(index) => executions.insert(index, (key.to_owned(), 1)),
        }
    }

    /// Returns how often the request with this key ran.
    pub fn executions(&self, key: &str) -> u32 {
        let executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let found = executions.binary_search_by(|(k, _)| k.as_str().cmp(key));
        found.map_or(0, |index| executions[index].1)
    }

    /// Returns the keys of requests that ran more than once.
    pub fn duplicates(&self) -> Vec<String> {
        let executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        executions
            .iter()
            .filter(|(_, n)| *n > 1)
            .map(|(key, _)| key.clone())
            .collect()
    }
}
