//! Routing policy: the mapping of callers' requests to services, and the limits of each service.
//!
//! Operators replace the policy as a whole. A request's host and the longest matching prefix of its
//! path select the route, whose split spreads requests over services by weight.

use std::cmp::Reverse;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admission::gate::Urgency;
use crate::name::Name;
use crate::tenant::directory::Directory;

/// Step of the low-discrepancy sequence that spreads requests over a split: 2^32 divided by the
/// golden ratio (R. Schretter, L. Kobbelt, "Golden Ratio Sequences for Low-Discrepancy
/// Sampling", 2012).
const GOLDEN_STEP: u32 = 0x9e37_79b9;

/// Routes and services as operators publish them.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Policy {
    /// Version, which increases with each publication.
    pub version: u64,
    /// Routes, sorted by host and, within a host, by falling length of the prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Tenants and their keys; absent if callers need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Directory>,
    /// Limits on what callers send.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// Limits on what callers send; those of the node hold where one is absent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum bytes of the head of a request.
    pub header_bytes: Option<usize>,
    /// Maximum bytes of the body of a request.
    pub body_bytes: Option<u64>,
    /// Longest time that the head of a request may take.
    pub header_timeout: Option<Duration>,
    /// Longest time without a request on a connection.
    pub idle_timeout: Option<Duration>,
}

/// Whether a route's requests may be retried after they may have run, and what its responses are
/// like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run more than once, and their responses are large.
    Bulk,
    /// Requests may run at most once.
    NonIdempotent,
}

/// Route of a host and a path prefix, with its limits and split.
#[derive(Debug, Serialize, Deserialize)]
pub struct Route {
    /// Name given by operators.
    pub name: Name,
    /// Host that requests name, in lower case.
    pub host: Name,
    /// Path prefix that requests have to match.
    pub prefix: Name,
    /// Whether its requests may be retried, and whether its responses are large.
    pub kind: Kind,
    /// Maximum number of backend servers to which one request may be sent.
    pub attempts: u32,
    /// Maximum time until a caller gets a response.
    pub timeout: Duration,
    /// Time within which a response has its full value.
    pub latency_target: Duration,
    /// Priority among requests that wait for the same backend server; 0 is served first.
    pub urgency: Urgency,
    /// Whether its requests need no key of a tenant.
    #[serde(default)]
    pub is_public: bool,
    /// Services with their weights; never empty.
    pub split: Vec<SplitPart>,
    /// Requests routed so far, which index the low-discrepancy sequence.
    #[serde(skip)]
    request_count: AtomicU32,
}

/// Part of a split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitPart {
    /// Name of the service in the policy.
    pub service: Name,
    /// Weight relative to the other parts.
    pub weight: u32,
}

/// Limits of a service's backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, to which the splits of routes refer.
    pub name: Name,
    /// Maximum connections to one backend server from all callers together.
    pub connections: u32,
    /// Requests per second that a cold backend server can serve; `None` if it needs no warm-up.
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
            has_weighted_part(&split),
            "invariant: a route has at least one service with a weight above zero"
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
            is_public: false,
            split,
            request_count: AtomicU32::new(0),
        }
    }

    /// Service of the next request; spreads requests evenly by weight over any span. Nodes begin the
    /// sequence at the point `phase`, so that their first requests do not all go to one part.
    pub fn next_service(&self, phase: u32) -> &Name {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let request_count = self.request_count.fetch_add(1, Ordering::Relaxed);
        let point =
            (u64::from(request_count.wrapping_mul(GOLDEN_STEP).wrapping_add(phase)) * total) >> 32;
        let mut cumulative = 0;
        let found = self.split.iter().find(|part| {
            cumulative += u64::from(part.weight);
            point < cumulative
        });
        &found.unwrap_or(&self.split[0]).service
    }
}

/// Whether a split has a part with a weight above zero.
fn has_weighted_part(split: &[SplitPart]) -> bool {
    split.iter().any(|part| part.weight > 0)
}

impl Policy {
    /// Whether a decoded policy is sorted and each route has a service with a weight above zero.
    pub fn is_valid(&self) -> bool {
        let key = |route: &Route| (route.host.clone(), Reverse(route.prefix.len()));
        self.routes
            .iter()
            .all(|route| has_weighted_part(&route.split))
            && self.routes.is_sorted_by_key(key)
            && self.services.is_sorted_by(|a, b| a.name <= b.name)
            && self.tenants.as_ref().is_none_or(Directory::is_valid)
    }

    /// Policy of the given routes and services, which are sorted.
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
            tenants: None,
            limits: CallerLimits::default(),
        }
    }

    /// Sets the limits on what callers send.
    pub fn with_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Route of a request with this host and path.
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
