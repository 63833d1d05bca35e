//! Load of backend servers as one ingress sees it, kept across table swaps.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use super::budget::{Budget, RETRY_COST};
use crate::clock::Time;
use crate::name::Name;

/// Part of the told load that is forgotten each time the backend server is passed over, so that
/// one told long ago does not keep it out for ever.
const FORGET_DIVISOR: u32 = 8;

/// Time for which a host that could not be reached is left out, unless there is no other. The
/// next call then tries it; one try costs at most the time of a connection attempt.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1_000);

/// Load of one backend server as seen from here.
#[derive(Debug, Default)]
pub struct Load {
    /// Calls from this ingress now in flight.
    in_flight: AtomicU32,
    /// Load told in the last response, in thousandths of its limit.
    reported: AtomicU32,
    /// Time until which the server is ejected, in microseconds since the Unix epoch.
    pub ejected_until: AtomicU64,
    /// Failures since the last good answer.
    /// End of the time for which the host is taken for unreachable from here, in microseconds.
    unreachable_until: AtomicU64,
    /// Failures in a row.
    pub(super) failures: AtomicU32,
    /// Good answers still needed before the server counts as recovered; zero when it does.
    pub(super) probation: AtomicU32,
    /// Ejections since the server last counted as recovered.
    pub(super) ejections: AtomicU32,
    /// Good answers of the present window.
    pub(super) good: AtomicU32,
    /// Failures of the present window.
    pub(super) bad: AtomicU32,
}

/// Whether a backend server may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// As any other.
    Healthy,
    /// Returning from an ejection: now and then.
    Returning,
    /// Not at all.
    Ejected,
}

impl Load {
    /// Counts a call that starts.
    #[inline]
    pub fn start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that ended.
    #[inline]
    pub fn end(&self) {
        let before = self.in_flight.fetch_sub(1, Ordering::Relaxed);
        assert!(before > 0, "invariant: a call in flight ends once");
    }

    /// Notes the load told in a response.
    #[inline]
    pub fn set_reported(&self, permille: u32) {
        self.reported.store(permille, Ordering::Relaxed);
    }

    /// Notes that another backend server was preferred.
    #[inline]
    pub(super) fn pass_over(&self) {
        let reported = self.reported();
        if reported > 0 {
            self.reported.store(
                reported - reported.div_ceil(FORGET_DIVISOR),
                Ordering::Relaxed,
            );
        }
    }

    /// Calls in flight from here.
    #[inline]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Load last told, in thousandths.
    #[inline]
    pub fn reported(&self) -> u32 {
        self.reported.load(Ordering::Relaxed)
    }

    /// Notes that the host could not be reached.
    pub fn mark_unreachable(&self, now: Time) {
        let until = now + UNREACHABLE_PAUSE;
        self.unreachable_until.store(until.0, Ordering::Relaxed);
    }

    /// Notes that the host answered.
    #[inline]
    pub fn mark_reachable(&self) {
        if self.unreachable_until.load(Ordering::Relaxed) > 0 {
            self.unreachable_until.store(0, Ordering::Relaxed);
        }
    }

    /// Whether the host is taken for unreachable.
    #[inline]
    pub fn is_unreachable(&self, now: Time) -> bool {
        now.0 < self.unreachable_until.load(Ordering::Relaxed)
    }

    /// Whether the server may be chosen.
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
    /// Retry budgets sorted by service.
    budgets: Vec<(Name, Arc<Budget>)>,
    /// Size of the retry budgets, where it differs from the default.
    budget_size: Option<Size>,
}

/// Size of the retry budgets, in thousandths of a retry.
#[derive(Debug)]
struct Size {
    /// Slack of all nodes together.
    slack: u32,
    /// This node's part of it.
    share: u32,
    /// What a call adds.
    earned: u32,
}

/// A number of retries in thousandths.
fn thousandths(retries: f64) -> u32 {
    (retries * f64::from(RETRY_COST)) as u32
}

impl Registry {
    /// Registry whose retry budgets share a slack, counted in retries, with the other nodes and
    /// earn `ratio` retries for a call.
    pub fn with_budgets(slack: f64, ratio: f64) -> Self {
        let size = Size {
            slack: thousandths(slack),
            share: thousandths(slack),
            earned: thousandths(ratio),
        };
        Self {
            budget_size: Some(size),
            ..Self::default()
        }
    }

    /// Shares the slack of the retry budgets with the other nodes.
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

    /// Drops loads and budgets that no table holds any longer.
    pub fn sweep(&mut self) {
        self.budgets
            .retain(|(_, budget)| Arc::strong_count(budget) > 1);
        self.entries.retain(|(_, load)| Arc::strong_count(load) > 1);
    }
}
