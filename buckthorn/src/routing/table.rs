//! Routing table: the intent resolved to backend servers that the node knows.
//!
//! A route never points at a backend server that the view lacks: a version holds no share until a
//! server of it is known. When the old version's last server is gone during a move, the new
//! version takes the whole route, since the alternative is to refuse every call; a quarantined one
//! never does. The whole table is replaced by one pointer swap.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::intent::{FULL_SHARE, Move, Phase};
use crate::config::order::{self, Orders};
use crate::config::policy::Policy;
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
    pub domains_out: Vec<Name>,
    /// Failure domain of this node.
    pub failure_domain: Name,
    /// Region of this node.
    pub region: Name,
    /// Policy that callers' requests are routed by, where operators publish one.
    pub policy: Option<Arc<Policy>>,
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
    /// Version shares; they sum to [`FULL_SHARE`]. One without endpoints stands alone, when no server
    /// of the route is known.
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
    /// Backend servers of the version that take new work, sorted by distance from this node, then
    /// by host.
    pub endpoints: Vec<Endpoint>,
    /// Numbers of endpoints in the own failure domain, and in the own region up to there.
    pub distance_ends: [usize; 2],
}

impl Share {
    /// Endpoints of the own failure domain, of the region's others, and of other regions.
    pub fn by_distance(&self) -> [&[Endpoint]; 3] {
        let (near, far) = self.endpoints.split_at(self.distance_ends[1]);
        let (own, region) = near.split_at(self.distance_ends[0]);
        [own, region, far]
    }
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
        table.finish(view, registry)
    }

    /// Checks a new table and forgets the loads that it does not name.
    fn finish(self, view: &View, registry: &mut Registry) -> Self {
        self.check(view);
        registry.sweep();
        self
    }

    /// Resolves operators' orders against a view.
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
        table.finish(view, registry)
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

    /// Asserts that every route points at backend servers that the view holds.
    fn check(&self, view: &View) {
        for service in &self.services {
            for route in &service.routes {
                let sum: u16 = route.shares.iter().map(|share| share.permille).sum();
                assert!(
                    sum == FULL_SHARE,
                    "invariant: the shares of a route make up the whole"
                );
                for share in &route.shares {
                    let holds = |endpoint| self.holds(view, &service.name, share, endpoint);
                    assert!(
                        (route.shares.len() == 1 || !share.endpoints.is_empty())
                            && share.endpoints.iter().all(holds),
                        "invariant: no route points at a resource that the node lacks"
                    );
                }
            }
        }
    }

    /// Whether the view holds an endpoint as one that takes new work for a version.
    fn holds(&self, view: &View, service: &Name, share: &Share, endpoint: &Endpoint) -> bool {
        let Some(member) = view.get(&endpoint.host) else {
            return false;
        };
        let serves = member.backend_server.as_ref().is_some_and(|server| {
            server.service == *service && server.version == share.version && !server.is_draining
        });
        serves && member.is_usable() && !self.is_out(&member.failure_domain)
    }

    /// Whether a failure domain is out of service.
    pub fn is_out(&self, failure_domain: &str) -> bool {
        self.domains_out
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

/// Where this node is.
#[derive(Clone, Copy)]
struct Place<'a> {
    /// Failure domain.
    failure_domain: &'a Name,
    /// Region.
    region: &'a Name,
}

impl Place<'_> {
    /// Distance of an endpoint: own failure domain, own region, elsewhere.
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

/// Version shares of a route.
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
    // A route that nobody serves keeps its version, so that the status can name it.
    if !old.is_empty() || new.is_none() {
        shares.push(share(serving, FULL_SHARE - permille, None, old, place));
    }
    if let Some((entry, _, new)) = new {
        shares.push(share(&entry.to, permille, Some(&entry.id), new, place));
    }
    shares
}

/// Share of one version.
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

/// Spreads a share over versions by their slots; versions that get nothing are left out.
fn spread(versions: Vec<(Name, Vec<Endpoint>)>, given: u16) -> Vec<(Name, u16, Vec<Endpoint>)> {
    let slots = |endpoints: &[Endpoint]| -> u32 { endpoints.iter().map(|e| e.slots).sum() };
    let mut left_slots: u32 = versions.iter().map(|(_, endpoints)| slots(endpoints)).sum();
    let mut left = given;
    let mut shares = Vec::with_capacity(versions.len());
    for (version, endpoints) in versions {
        let own = slots(&endpoints);
        let part = u32::from(left) * own / left_slots.max(1);
        left_slots -= own;
        left -= part as u16;
        if part > 0 {
            shares.push((version, part as u16, endpoints));
        }
    }
    shares
}

/// What backend servers are looked up in.
struct Resolver<'a> {
    /// Known members.
    view: &'a View,
    /// Loads.
    registry: &'a mut Registry,
    /// Failure domains out of service, sorted.
    out: &'a [Name],
}

impl Resolver<'_> {
    /// Shares of a service's versions: the one that it moves to has what the move gives it, the
    /// others share the rest by their slots.
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
        let given = entry.map_or(0, |entry| match entry.phase {
            order::Phase::Running if old.is_empty() => FULL_SHARE,
            order::Phase::Running => entry.share,
            order::Phase::Completed => FULL_SHARE,
            order::Phase::RolledBack => 0,
        });
        let given = if new.is_empty() { 0 } else { given };
        let is_moving = |version: &Name| entry.is_some_and(|entry| entry.version == *version);
        let mut shares = spread(old, FULL_SHARE - given);
        shares.extend(spread(new, given));
        if shares.is_empty() {
            // Nobody serves it; the empty share makes the refusal say so.
            shares.push(("".into(), FULL_SHARE, Vec::new()));
        }
        shares
            .into_iter()
            .map(|(version, permille, endpoints)| {
                let move_id = is_moving(&version).then(|| service.clone());
                share(&version, permille, move_id.as_ref(), endpoints, place)
            })
            .collect()
    }

    /// Backend servers of a version that take new work, sorted by host.
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
                    load: self.registry.load(&member.host, member.incarnation),
                })
            })
            .collect()
    }
}
