//! Routing table: the intent resolved to backend servers that the node knows.
//!
//! A route never points at a backend server that the view lacks: a move's new version holds no
//! share until a server of it is known. The whole table is replaced by one pointer swap.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::intent::{FULL_SHARE, Move, Phase};
use crate::journal::fold::State;
use crate::membership::view::View;
use crate::name::Name;
use crate::rollout::quarantine::Quarantine;

use super::budget::Budget;
use super::load::{Load, Registry};

/// Resolved routes of every service.
#[derive(Debug, Default)]
pub struct Table {
    /// Configuration version that the table was built from, zero before the first.
    pub version: u64,
    /// Services sorted by name.
    pub services: Vec<Service>,
    /// Failure domains out of service, sorted.
    pub out: Vec<Name>,
    /// Failure domain of this node.
    pub failure_domain: Name,
    /// Region of this node.
    pub region: Name,
}

/// A service's resolved routes.
#[derive(Debug)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Routes sorted by prefix.
    pub routes: Vec<Route>,
    /// Retry budget, kept across table swaps.
    pub budget: Arc<Budget>,
}

/// A resolved route.
#[derive(Debug)]
pub struct Route {
    /// Path prefix, empty for the whole service.
    pub prefix: Name,
    /// Version shares; they sum to [`FULL_SHARE`] when any server is known.
    pub shares: Vec<Share>,
}

/// Share of a route's traffic for one version.
#[derive(Debug)]
pub struct Share {
    /// Version.
    pub version: Name,
    /// Thousandths of the route's traffic.
    pub permille: u16,
    /// Move that gave the share, for the new version only.
    pub move_id: Option<Name>,
    /// Backend servers of the version that take new work, sorted by host.
    pub endpoints: Vec<Endpoint>,
}

/// A backend server that takes new work.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Host.
    pub host: Name,
    /// Address of its node's data path.
    pub hop: SocketAddr,
    /// Failure domain.
    pub failure_domain: Name,
    /// Region.
    pub region: Name,
    /// Calls that the backend server runs at once.
    pub slots: u32,
    /// Load as seen from here.
    pub load: Arc<Load>,
}

impl Table {
    /// Resolves a state against a view.
    pub fn build(
        state: &State,
        view: &View,
        quarantine: &Quarantine,
        registry: &mut Registry,
        failure_domain: &Name,
        region: &Name,
    ) -> Self {
        let out: Vec<Name> = state
            .intent
            .failure_domains
            .iter()
            .filter(|domain| domain.is_out)
            .map(|domain| domain.name.clone())
            .collect();
        let services = state
            .intent
            .services
            .iter()
            .map(|service| Service {
                name: service.name.clone(),
                budget: registry.budget(&service.name),
                routes: service
                    .routes
                    .iter()
                    .map(|route| {
                        let entry = state.intent.active_move(&service.name, &route.prefix);
                        let mut build = |version: &Name| {
                            endpoints(view, registry, &out, &service.name, version)
                        };
                        Route {
                            prefix: route.prefix.clone(),
                            shares: shares(&route.version, entry, quarantine, &mut build),
                        }
                    })
                    .collect(),
            })
            .collect();
        let table = Self {
            version: state.version,
            services,
            out,
            failure_domain: failure_domain.clone(),
            region: region.clone(),
        };
        registry.sweep();
        table
    }

    /// Service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()?;
        Some(&self.services[index])
    }

    /// Route of a call: the longest prefix of the service that matches the path.
    pub fn resolve(&self, service: &str, path: &str) -> Option<&Route> {
        self.service(service)?.route(path)
    }

    /// Whether a failure domain is out of service.
    pub fn is_out(&self, failure_domain: &str) -> bool {
        self.out
            .binary_search_by(|name| (**name).cmp(failure_domain))
            .is_ok()
    }
}

impl Service {
    /// Route of a path: the longest prefix that matches.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| matches_prefix(path, &route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}

/// Whether a path lies under a prefix, on whole segments.
fn matches_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.is_empty() || prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?'])
}

/// Version shares of a route.
fn shares(
    serving: &Name,
    entry: Option<&Move>,
    quarantine: &Quarantine,
    endpoints: &mut impl FnMut(&Name) -> Vec<Endpoint>,
) -> Vec<Share> {
    let old = |permille, endpoints| Share {
        version: serving.clone(),
        permille,
        move_id: None,
        endpoints,
    };
    let old_endpoints = endpoints(serving);
    let Some(entry) = entry.filter(|m| m.phase != Phase::Waiting && m.share > 0) else {
        return vec![old(FULL_SHARE, old_endpoints)];
    };
    let new_endpoints = endpoints(&entry.to);
    let share = quarantine.limit(&entry.id, entry.share);
    if new_endpoints.is_empty() || share == 0 {
        return vec![old(FULL_SHARE, old_endpoints)];
    }
    let new = Share {
        version: entry.to.clone(),
        permille: share,
        move_id: Some(entry.id.clone()),
        endpoints: new_endpoints,
    };
    vec![old(FULL_SHARE - share, old_endpoints), new]
}

/// Backend servers of a version that take new work.
fn endpoints(
    view: &View,
    registry: &mut Registry,
    out: &[Name],
    service: &Name,
    version: &Name,
) -> Vec<Endpoint> {
    view.live()
        .filter(|member| out.binary_search(&member.failure_domain).is_err())
        .filter_map(|member| {
            let server = member.backend_server.as_ref()?;
            let serves =
                server.service == *service && server.version == *version && !server.is_draining;
            serves.then(|| Endpoint {
                host: member.host.clone(),
                hop: member.hop,
                failure_domain: member.failure_domain.clone(),
                region: member.region.clone(),
                slots: server.slots,
                load: registry.load(&member.host, member.incarnation),
            })
        })
        .collect()
}
