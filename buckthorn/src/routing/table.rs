//! Routing table: the intent resolved to backend servers known to the node.
//!
//! A route never points at a backend server that is missing from the membership view: the new
//! version of a move gets no share until one of its backend servers is known. When the old
//! version's last backend server leaves during a move, the new version gets the whole route, since
//! the alternative is to refuse every call; a quarantined version never does. The whole table is
//! replaced by one pointer swap.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::intent::{FULL_SHARE, Move, Phase};
use crate::config::order::{self, Orders};
use crate::config::policy::Policy;
use crate::config::verdict::Verdict;
use crate::journal::fold::State;
use crate::membership::view::View;
use crate::name::{self, Name};
use crate::rollout::exposure;
use crate::rollout::quarantine::Quarantine;

use super::budget::Budget;
use super::load::{Load, Registry};

/// Resolved routes of every service.
#[derive(Debug, Default)]
pub struct Table {
    /// Configuration version that the table was built from, zero before the first.
    pub version: u64,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Failure domains out of service, sorted.
    pub domains_out: Vec<Name>,
    /// Failure domain of this node.
    pub failure_domain: Name,
    /// Region of this node.
    pub region: Name,
    /// Policy for routing callers' requests; absent until operators publish one.
    pub policy: Option<Arc<Policy>>,
}

/// A service's resolved routes.
#[derive(Debug)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Routes, sorted by prefix.
    pub routes: Vec<Route>,
    /// Retry budget, kept across table swaps.
    pub budget: Arc<Budget>,
}

/// A route resolved to version shares.
#[derive(Debug)]
pub struct Route {
    /// Path prefix, empty for the whole service.
    pub prefix: Name,
    /// Version shares; they sum to [`FULL_SHARE`]. A share has no endpoints only when it is the only
    /// one, because the route has no backend server that may receive calls.
    pub shares: Vec<Share>,
}

/// Share of a route's traffic for one version.
#[derive(Debug)]
pub struct Share {
    /// Version; empty if no version of the service may receive calls.
    pub version: Name,
    /// Thousandths of the route's traffic.
    pub permille: u16,
    /// Move that assigned the share; only present for the new version.
    pub move_id: Option<Name>,
    /// Backend servers of the version that accept new calls, sorted by distance from this node,
    /// then by host.
    pub endpoints: Vec<Endpoint>,
    /// End indices in `endpoints` of those in the local failure domain and of those in the local
    /// region.
    pub distance_ends: [usize; 2],
}

impl Share {
    /// Returns the endpoints of the local failure domain, of the region's others, and of other
    /// regions.
    pub fn by_distance(&self) -> [&[Endpoint]; 3] {
        let (near, far) = self.endpoints.split_at(self.distance_ends[1]);
        let (local, region) = near.split_at(self.distance_ends[0]);
        [local, region, far]
    }
}

/// A backend server that accepts new calls.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Host that runs the backend server.
    pub host: Name,
    /// Address at which its node accepts calls from other nodes.
    pub hop: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: Name,
    /// Region of the host.
    pub region: Name,
    /// Number of calls that the backend server can run at once.
    pub slots: u32,
    /// Load and health as seen from this node.
    pub load: Arc<Load>,
}

impl Table {
    /// Resolves a configuration state against a membership view.
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
        let place = Place {
            failure_domain,
            region,
        };
        let mut resolver = Resolver {
            view,
            registry,
            out: &out,
        };
        let services = state
            .intent
            .services
            .iter()
            .map(|service| Service {
                name: service.name.clone(),
                budget: resolver.registry.budget(&service.name),
                routes: service
                    .routes
                    .iter()
                    .map(|route| {
                        let entry = state.intent.active_move(&service.name, &route.prefix);
                        let mut find = |version: &Name| resolver.endpoints(&service.name, version);
                        Route {
                            prefix: route.prefix.clone(),
                            shares: shares(&route.version, entry, quarantine, &mut find, &place),
                        }
                    })
                    .collect(),
            })
            .collect();
        let table = Self {
            version: state.version,
            services,
            domains_out: out,
            failure_domain: failure_domain.clone(),
            region: region.clone(),
            policy: None,
        };
        table.validate_and_sweep(view, registry)
    }

    /// Validates a new table and drops the loads that it does not reference.
    fn validate_and_sweep(self, view: &View, registry: &mut Registry) -> Self {
        self.assert_valid(view);
        registry.sweep();
        self
    }

    /// Resolves operators' orders against a membership view.
    pub fn from_orders(
        orders: &Orders,
        view: &View,
        registry: &mut Registry,
        failure_domain: &Name,
        region: &Name,
    ) -> Self {
        let out = orders.domains_out();
        let place = Place {
            failure_domain,
            region,
        };
        let mut resolver = Resolver {
            view,
            registry,
            out: &out,
        };
        let policy = orders.policy().cloned();
        let named = policy.iter().flat_map(|policy| &policy.services);
        let services = named
            .map(|service| Service {
                name: service.name.clone(),
                budget: resolver.registry.budget(&service.name),
                routes: vec![Route {
                    prefix: "".into(),
                    shares: resolver.version_shares(&service.name, orders, &place),
                }],
            })
            .collect();
        let table = Self {
            version: orders.revision(),
            services,
            domains_out: out,
            failure_domain: failure_domain.clone(),
            region: region.clone(),
            policy,
        };
        table.validate_and_sweep(view, registry)
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()?;
        Some(&self.services[index])
    }

    /// Returns the route of a call: the longest prefix of the service that matches the path.
    pub fn resolve(&self, service: &str, path: &str) -> Option<&Route> {
        self.service(service)?.route(path)
    }

    /// Asserts that shares are complete and every endpoint is usable according to the view.
    fn assert_valid(&self, view: &View) {
        for service in &self.services {
            for route in &service.routes {
                let sum: u16 = route.shares.iter().map(|share| share.permille).sum();
                assert!(
                    sum == FULL_SHARE,
                    "invariant: the shares of a route sum to the whole"
                );
                for share in &route.shares {
                    let is_usable = |endpoint| self.is_usable(view, &service.name, share, endpoint);
                    assert!(
                        (route.shares.len() == 1 || !share.endpoints.is_empty())
                            && share.endpoints.iter().all(is_usable),
                        "invariant: no route points at a backend server that the node does not know"
                    );
                }
            }
        }
    }

    /// Returns whether an endpoint is in the view and accepts new calls for the version.
    fn is_usable(&self, view: &View, service: &Name, share: &Share, endpoint: &Endpoint) -> bool {
        let Some(member) = view.get(&endpoint.host) else {
            return false;
        };
        let serves = member.backend_server.as_ref().is_some_and(|server| {
            server.service == *service && server.version == share.version && !server.is_draining
        });
        serves && member.is_usable() && !self.is_out(&member.failure_domain)
    }

    /// Returns whether a failure domain is out of service.
    pub fn is_out(&self, failure_domain: &str) -> bool {
        self.domains_out
            .binary_search_by(|name| (**name).cmp(failure_domain))
            .is_ok()
    }
}

impl Service {
    /// Returns the route of a path: the longest prefix that matches.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| matches_prefix(path, &route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}

/// Returns whether a path starts with a prefix, comparing whole segments.
fn matches_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.is_empty() || prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?'])
}

/// Location of this node.
#[derive(Clone, Copy)]
struct Place<'a> {
    failure_domain: &'a Name,
    region: &'a Name,
}

impl Place<'_> {
    /// Returns the distance of an endpoint: 0 in the local failure domain, 1 in the local region,
    /// 2 elsewhere.
    fn distance(&self, endpoint: &Endpoint) -> u8 {
        if endpoint.failure_domain == *self.failure_domain {
            return 0;
        }
        if endpoint.region == *self.region {
            1
        } else {
            2
        }
    }
}

/// Resolves the version shares of a route.
fn shares(
    serving: &Name,
    entry: Option<&Move>,
    quarantine: &Quarantine,
    find: &mut impl FnMut(&Name) -> Vec<Endpoint>,
    place: &Place<'_>,
) -> Vec<Share> {
    let old = find(serving);
    let entry = entry.filter(|m| m.phase != Phase::Waiting && m.share > 0);
    let limited = entry.map(|m| (m, quarantine.effective_share(&m.id, m.share)));
    let new = limited
        .filter(|(_, permille)| *permille > 0)
        .map(|(entry, permille)| (entry, permille, find(&entry.to)))
        .filter(|(.., endpoints)| !endpoints.is_empty());
    let permille = match &new {
        Some((_, permille, _)) if !old.is_empty() => *permille,
        Some(_) => FULL_SHARE,
        None => 0,
    };
    let mut shares = Vec::with_capacity(2);
    // A route without backend servers keeps a share, so that the status can show its version.
    if !old.is_empty() || new.is_none() {
        shares.push(share(serving, FULL_SHARE - permille, None, old, place));
    }
    if let Some((entry, _, new)) = new {
        shares.push(share(&entry.to, permille, Some(&entry.id), new, place));
    }
    shares
}

/// Creates the share of one version.
fn share(
    version: &Name,
    permille: u16,
    move_id: Option<&Name>,
    mut endpoints: Vec<Endpoint>,
    place: &Place<'_>,
) -> Share {
    // The sort is stable, so endpoints at one distance stay sorted by host.
    endpoints.sort_by_key(|endpoint| place.distance(endpoint));
    let count = |far| endpoints.partition_point(|e| place.distance(e) < far);
    Share {
        version: version.clone(),
        permille,
        move_id: move_id.cloned(),
        distance_ends: [count(1), count(2)],
        endpoints,
    }
}

/// Distributes a share over versions in proportion to their slots; versions that get nothing are
/// omitted.
fn distribute(versions: Vec<(Name, Vec<Endpoint>)>, total: u16) -> Vec<(Name, u16, Vec<Endpoint>)> {
    let slots = |endpoints: &[Endpoint]| -> u32 { endpoints.iter().map(|e| e.slots).sum() };
    let mut left_slots: u32 = versions.iter().map(|(_, endpoints)| slots(endpoints)).sum();
    let mut left = total;
    let mut shares = Vec::with_capacity(versions.len());
    for (version, endpoints) in versions {
        let version_slots = slots(&endpoints);
        let part = u32::from(left) * version_slots / left_slots.max(1);
        left_slots -= version_slots;
        left -= part as u16;
        if part > 0 {
            shares.push((version, part as u16, endpoints));
        }
    }
    shares
}

/// Returns the versions that may serve beside a move's target. One whose order was replaced before it
/// was proven may only if there is no other, and one that failed only if no order is in force either,
/// with which operators accept what there is.
fn serving(
    versions: Vec<(Name, Vec<Endpoint>)>,
    service: &Name,
    orders: &Orders,
) -> Vec<(Name, Vec<Endpoint>)> {
    let has_order = orders.find_move(service).is_some();
    let rank = |version: &Name| match orders.verdict(service, version) {
        None => 0,
        Some(Verdict::Unproven) => 1,
        Some(Verdict::Faulty) => 2,
    };
    let best = versions.iter().map(|(version, _)| rank(version)).min();
    let is_allowed = |rank| Some(rank) == best && (rank < 2 || !has_order);
    versions
        .into_iter()
        .filter(|(version, _)| is_allowed(rank(version)))
        .collect()
}

/// Returns those of a new version's backend servers that divide its calls at a share in thousandths.
/// All nodes choose the same ones.
fn on_trial(version: &Name, share: u16, mut endpoints: Vec<Endpoint>) -> Vec<Endpoint> {
    let count = exposure::serving(endpoints.len(), share);
    if count < endpoints.len() {
        endpoints.sort_by_key(|endpoint| name::rendezvous(version, &endpoint.host));
        endpoints.truncate(count);
        endpoints.sort_by(|a, b| a.host.cmp(&b.host));
    }
    endpoints
}

/// Looks up the endpoints of a version.
struct Resolver<'a> {
    view: &'a View,
    registry: &'a mut Registry,
    /// Failure domains out of service, sorted.
    out: &'a [Name],
}

impl Resolver<'_> {
    /// Resolves the shares of a service's versions: the target version gets the share that its order
    /// assigns, and the others that may serve divide the rest in proportion to their slots.
    fn version_shares(&mut self, service: &Name, orders: &Orders, place: &Place<'_>) -> Vec<Share> {
        let entry = orders.find_move(service);
        let mut versions: Vec<Name> = self
            .view
            .live()
            .filter_map(|member| member.backend_server.as_ref())
            .filter(|server| server.service == *service)
            .map(|server| server.version.clone())
            .collect();
        versions.sort_unstable();
        versions.dedup();
        let (new, old): (Vec<_>, Vec<_>) = versions
            .into_iter()
            .map(|version| {
                let endpoints = self.endpoints(service, &version);
                (version, endpoints)
            })
            .filter(|(_, endpoints)| !endpoints.is_empty())
            .partition(|(version, _)| entry.is_some_and(|entry| entry.version == *version));
        let old = serving(old, service, orders);
        let new_share = entry.map_or(0, |entry| match entry.phase {
            order::Phase::Running if old.is_empty() => FULL_SHARE,
            order::Phase::Running => entry.share,
            order::Phase::Completed => FULL_SHARE,
            order::Phase::RolledBack => 0,
        });
        let new_share = if new.is_empty() { 0 } else { new_share };
        let new = new
            .into_iter()
            .map(|(version, endpoints)| {
                let endpoints = on_trial(&version, new_share, endpoints);
                (version, endpoints)
            })
            .collect();
        let is_target = |version: &Name| entry.is_some_and(|entry| entry.version == *version);
        let mut shares = distribute(old, FULL_SHARE - new_share);
        shares.extend(distribute(new, new_share));
        if shares.is_empty() {
            // No backend server may receive calls; with an empty share they are refused for that.
            shares.push(("".into(), FULL_SHARE, Vec::new()));
        }
        shares
            .into_iter()
            .map(|(version, permille, endpoints)| {
                let move_id = is_target(&version).then(|| service.clone());
                share(&version, permille, move_id.as_ref(), endpoints, place)
            })
            .collect()
    }

    /// Returns the backend servers of a version that accept new calls, sorted by host.
    fn endpoints(&mut self, service: &Name, version: &Name) -> Vec<Endpoint> {
        self.view
            .live()
            .filter(|member| self.out.binary_search(&member.failure_domain).is_err())
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
                    load: self.registry.load(
                        &member.host,
                        member.incarnation,
                        &member.failure_domain,
                    ),
                })
            })
            .collect()
    }
}
