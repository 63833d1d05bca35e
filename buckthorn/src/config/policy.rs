//! Routing policy: how callers' requests map to services, and what each service can bear.
//!
//! Operators replace the policy as a whole. A route is found by the host that a request names and
//! the longest prefix of its path; its split spreads requests over services by weight.

use std::cmp::Reverse;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admission::gate::Urgency;
use crate::name::Name;

/// Step of the low-discrepancy sequence that spreads requests over a split: the golden ratio's
/// fraction of 2^32 (R. Schretter, L. Kobbelt, "Golden Ratio Sequences for Low-Discrepancy
/// Sampling", 2012).
const GOLDEN_STEP: u32 = 0x9e37_79b9;

/// What operators publish about routes and services.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Policy {
    /// Version, rising with each publication.
    pub version: u64,
    /// Routes, sorted by host and, within a host, by falling length of the prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
}

/// Requests that a route's kind stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
}

/// Route of a host and a path prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct Route {
    /// Name that operators gave it.
    pub name: Name,
    /// Host that requests name, in lower case.
    pub host: Name,
    /// Prefix of the path.
    pub prefix: Name,
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// Backend servers that one request may be sent to.
    pub attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Rank among requests that wait for the same backend server; 0 goes first.
    pub urgency: Urgency,
    /// Services with their weights; never empty.
    pub split: Vec<SplitPart>,
    /// Requests spread so far.
    #[serde(skip)]
    turn: AtomicU32,
}

/// Part of a split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitPart {
    /// Service.
    pub service: Name,
    /// Weight relative to the other parts.
    pub weight: u32,
}

/// What a service's backend servers can bear.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Connections that a backend server accepts from all callers together.
    pub connections: u32,
    /// Requests a second that a cold backend server bears; none when it is never cold.
    pub cold_rate: Option<f64>,
}

impl Route {
    /// Route with the given match, kind and split.
    ///
    /// # Panics
    ///
    /// Panics when the split is empty or all its weights are zero.
    pub fn new(name: Name, host: &str, prefix: Name, kind: Kind, split: Vec<SplitPart>) -> Self {
        assert!(
            leads_somewhere(&split),
            "invariant: a route leads to at least one service"
        );
        Self {
            name,
            host: host.to_ascii_lowercase().into(),
            prefix,
            kind,
            attempts: 1,
            timeout: Duration::MAX,
            latency_target: Duration::MAX,
            urgency: 0,
            split,
            turn: AtomicU32::new(0),
        }
    }

    /// Service of the next request, evenly spread by weight.
    pub fn next_service(&self) -> &Name {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let point = (u64::from(turn.wrapping_mul(GOLDEN_STEP)) * total) >> 32;
        let mut edge = 0;
        let found = self.split.iter().find(|part| {
            edge += u64::from(part.weight);
            point < edge
        });
        &found.unwrap_or(&self.split[0]).service
    }
}

/// Whether a split has a service with a weight.
fn leads_somewhere(split: &[SplitPart]) -> bool {
    split.iter().any(|part| part.weight > 0)
}

impl Policy {
    /// Whether every route leads somewhere and all is in order, for a policy that was decoded.
    pub fn is_valid(&self) -> bool {
        let key = |route: &Route| (route.host.clone(), Reverse(route.prefix.len()));
        self.routes
            .iter()
            .all(|route| leads_somewhere(&route.split))
            && self.routes.is_sorted_by_key(key)
            && self.services.is_sorted_by(|a, b| a.name <= b.name)
    }

    /// Policy with routes and services in any order.
    pub fn new(version: u64, mut routes: Vec<Route>, mut services: Vec<Service>) -> Self {
        routes.sort_by(|a, b| {
            let lengths = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(lengths)
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            version,
            routes,
            services,
        }
    }

    /// Route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let start = self.routes.partition_point(|route| *route.host < *host);
        self.routes[start..]
            .iter()
            .take_while(|route| *route.host == *host)
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// Service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name))
            .ok()?;
        Some(&self.services[index])
    }
}
