//! Load and health of backend servers as seen by this ingress, kept across table swaps.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use super::budget::{Budget, RETRY_COST, RetryBound};
use super::estimate::Estimate;
use super::pressure::Pressure;
use super::reach;
use crate::clock::Time;
use crate::name::Name;

/// Each time a backend server is passed over, its reported load decays by the load divided by this,
/// so that a load reported long ago does not exclude it forever.
const REPORTED_DECAY_DIVISOR: u32 = 8;

/// Load and health of one backend server as seen from this node.
#[derive(Debug, Default)]
pub struct Load {
    /// Number of calls in flight from this ingress.
    in_flight: AtomicU32,
    /// Load reported in the last response, in thousandths of the backend server's limit.
    reported: AtomicU32,
    /// Last report of the owner.
    pub estimate: Estimate,
    /// What the owner told last about its room.
    pub pressure: Pressure,
    /// Time until which the backend server is ejected, in microseconds since the Unix epoch.
    pub ejected_until: AtomicU64,
    /// Reachability of the host.
    host: reach::Host,
    /// Reachability of its failure domain.
    domain: Arc<reach::Domain>,
    /// Consecutive failures since the last good response or ejection.
    pub(super) failures: AtomicU32,
    /// Good responses still needed until the backend server counts as recovered, then zero.
    pub(super) probation: AtomicU32,
    /// Ejections since the backend server last counted as recovered.
    pub(super) ejections: AtomicU32,
    /// Good responses in the current window.
    pub(super) good: AtomicU32,
    /// Failures in the current window.
    pub(super) bad: AtomicU32,
}

/// Whether a backend server may be chosen for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The backend server may be chosen.
    Healthy,
    /// The ejection is over; the backend server is chosen for a small share of the calls.
    Returning,
    /// The backend server is not chosen.
    Ejected,
}

impl Load {
    /// Records the start of a call.
    #[inline]
    pub fn start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the end of a call.
    #[inline]
    pub fn end(&self) {
        let before = self.in_flight.fetch_sub(1, Ordering::Relaxed);
        assert!(before > 0, "invariant: a call in flight ends exactly once");
    }

    /// Sets the load reported in a response, in thousandths.
    #[inline]
    pub fn set_reported(&self, permille: u32) {
        self.reported.store(permille, Ordering::Relaxed);
    }

    /// Decays the reported load because another backend server was preferred.
    #[inline]
    pub(super) fn decay_reported(&self) {
        let reported = self.reported();
        if reported > 0 {
            self.reported.store(
                reported - reported.div_ceil(REPORTED_DECAY_DIVISOR),
                Ordering::Relaxed,
            );
        }
    }

    /// Returns the number of calls in flight from this ingress.
    #[inline]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the last reported load, decayed since then, in thousandths.
    #[inline]
    pub fn reported(&self) -> u32 {
        self.reported.load(Ordering::Relaxed)
    }

    /// Records that the host could not be reached; returns whether it had responded before.
    pub fn mark_unreachable(&self, now: Time) -> bool {
        self.host.mark_unreachable(now)
    }

    /// Records that the host, which is in another failure domain than this node, did not respond.
    /// Returns whether the whole failure domain is skipped from now on.
    pub fn mark_silent(&self, now: Time) -> bool {
        let had_responded = self.host.mark_unreachable(now);
        self.domain.record_silent(had_responded, now)
    }

    /// Records that the host responded.
    #[inline]
    pub fn mark_reachable(&self, now: Time) {
        self.host.mark_reachable();
        self.domain.record_response(now);
    }

    /// Records that the host responded, but cannot serve at the moment.
    pub fn mark_unable(&self, now: Time) {
        self.host.mark_unreachable(now);
        self.domain.record_response(now);
    }

    /// Records that a call is sent to the host.
    #[inline]
    pub fn start_call(&self, now: Time) {
        self.host.start_call(now);
        self.domain.start_call(now);
    }

    /// Returns whether the host or its failure domain counts as unreachable.
    #[inline]
    pub fn is_unreachable(&self, now: Time) -> bool {
        self.host.is_unreachable(now) || self.domain.is_unreachable(now)
    }

    /// Returns whether the backend server may be chosen.
    #[inline]
    pub fn health(&self, now: Time) -> Health {
        if now.0 < self.ejected_until.load(Ordering::Relaxed) {
            return Health::Ejected;
        }
        match self.probation.load(Ordering::Relaxed) {
            0 => Health::Healthy,
            _ => Health::Returning,
        }
    }
}

/// Loads by host and incarnation, and retry budgets by service, kept across table swaps.
#[derive(Debug, Default)]
pub struct Registry {
    /// Loads sorted by key.
    entries: Vec<((Name, u64), Arc<Load>)>,
    /// Reachability of failure domains, sorted by name.
    domains: Vec<(Name, Arc<reach::Domain>)>,
    /// Retry budgets sorted by service.
    budgets: Vec<(Name, Arc<Budget>)>,
    /// Size of the retry budgets, if it differs from the default.
    budget_size: Option<BudgetSize>,
}

/// Size of the retry budgets, in thousandths of a retry.
#[derive(Debug)]
struct BudgetSize {
    /// Slack shared by all nodes.
    slack: u32,
    /// This node's share of the slack.
    share: u32,
    /// Credit that a call adds.
    earned: u32,
}

/// Converts a number of retries to thousandths.
fn thousandths(retries: f64) -> u32 {
    (retries * f64::from(RETRY_COST)) as u32
}

impl Registry {
    /// Creates a registry whose retry budgets share the slack of a bound with the other nodes.
    pub fn with_budgets(bound: RetryBound) -> Self {
        let size = BudgetSize {
            slack: thousandths(bound.slack),
            share: thousandths(bound.slack),
            earned: thousandths(bound.ratio),
        };
        Self {
            budget_size: Some(size),
            ..Self::default()
        }
    }

    /// Divides the slack of the retry budgets by the number of nodes. The capacity of a budget is
    /// at least one retry.
    pub fn share_slack(&mut self, nodes: usize) {
        let Some(size) = &mut self.budget_size else {
            return;
        };
        let share = size.slack / u32::try_from(nodes).unwrap_or(u32::MAX).max(1);
        if share != size.share {
            size.share = share;
            for (_, budget) in &self.budgets {
                budget.resize(share.max(RETRY_COST));
            }
        }
    }

    /// Returns the load of a host's incarnation in a failure domain, creating it if necessary.
    pub fn load(&mut self, host: &Name, incarnation: u64, failure_domain: &Name) -> Arc<Load> {
        let key = (host.clone(), incarnation);
        match self.entries.binary_search_by(|(k, _)| k.cmp(&key)) {
            Ok(index) => self.entries[index].1.clone(),
            Err(index) => {
                let load = Arc::new(Load {
                    domain: self.domain(failure_domain),
                    ..Load::default()
                });
                self.entries.insert(index, (key, load.clone()));
                load
            }
        }
    }

    /// Returns the reachability of a failure domain, creating it if necessary.
    fn domain(&mut self, name: &Name) -> Arc<reach::Domain> {
        match self.domains.binary_search_by(|(known, _)| known.cmp(name)) {
            Ok(index) => self.domains[index].1.clone(),
            Err(index) => {
                let domain = Arc::default();
                self.domains
                    .insert(index, (name.clone(), Arc::clone(&domain)));
                domain
            }
        }
    }

    /// Returns the retry budget of a service, creating it if necessary.
    pub fn budget(&mut self, service: &Name) -> Arc<Budget> {
        match self.budgets.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => self.budgets[index].1.clone(),
            Err(index) => {
                let budget = match &self.budget_size {
                    Some(size) => Budget::with_capacity(size.share.max(RETRY_COST), size.earned),
                    None => Budget::new(),
                };
                let budget = Arc::new(budget);
                self.budgets
                    .insert(index, (service.clone(), budget.clone()));
                budget
            }
        }
    }

    /// Drops loads and budgets that no table references any longer.
    pub fn sweep(&mut self) {
        self.budgets
            .retain(|(_, budget)| Arc::strong_count(budget) > 1);
        self.entries.retain(|(_, load)| Arc::strong_count(load) > 1);
        self.domains
            .retain(|(_, domain)| Arc::strong_count(domain) > 1);
    }
}
