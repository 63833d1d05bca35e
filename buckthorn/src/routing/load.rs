//! Load of backend servers as one ingress sees it, kept across table swaps.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use super::budget::Budget;
use crate::name::Name;

/// Load of one backend server as seen from here.
#[derive(Debug, Default)]
pub struct Load {
    /// Calls from this ingress now in flight.
    in_flight: AtomicU32,
    /// Load told in the last response, in thousandths of its limit.
    told: AtomicU32,
    /// Time until which the server is ejected, in microseconds since the Unix epoch.
    pub ejected_until: AtomicU64,
}

impl Load {
    /// Counts a call that starts.
    pub fn start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that ended.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Notes the load told in a response.
    pub fn tell(&self, permille: u32) {
        self.told.store(permille, Ordering::Relaxed);
    }

    /// Calls in flight from here.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Load last told, in thousandths.
    pub fn told(&self) -> u32 {
        self.told.load(Ordering::Relaxed)
    }
}

/// Loads by host and incarnation, and retry budgets by service, kept across table swaps.
#[derive(Debug, Default)]
pub struct Registry {
    /// Loads sorted by key.
    entries: Vec<((Name, u64), Arc<Load>)>,
    /// Retry budgets sorted by service.
    budgets: Vec<(Name, Arc<Budget>)>,
}

impl Registry {
    /// Load of a host's incarnation, made when it is new.
    pub fn load(&mut self, host: &Name, incarnation: u64) -> Arc<Load> {
        let key = (host.clone(), incarnation);
        match self.entries.binary_search_by(|(k, _)| k.cmp(&key)) {
            Ok(index) => self.entries[index].1.clone(),
            Err(index) => {
                let load = Arc::new(Load::default());
                self.entries.insert(index, (key, load.clone()));
                load
            }
        }
    }

    /// Retry budget of a service, made when it is new.
    pub fn budget(&mut self, service: &Name) -> Arc<Budget> {
        match self.budgets.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => self.budgets[index].1.clone(),
            Err(index) => {
                let budget = Arc::new(Budget::new());
                self.budgets
                    .insert(index, (service.clone(), budget.clone()));
                budget
            }
        }
    }

    /// Drops loads and budgets that no table holds any longer.
    pub fn sweep(&mut self) {
        self.budgets
            .retain(|(_, budget)| Arc::strong_count(budget) > 1);
        self.entries.retain(|(_, load)| Arc::strong_count(load) > 1);
    }
}
