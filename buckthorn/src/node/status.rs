//! Status of a node, as operators read it.

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::intent::Move;
use crate::kernel::Shared;
use crate::membership::member::Status as Liveness;
use crate::name::Name;
use crate::routing::table::Table;
use crate::usage::duty::Standing;

/// Status of one node, returned as JSON by `GET /v1/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Host identifier.
    pub host: Name,
    /// Region of the host.
    pub region: Name,
    /// Failure domain of the host.
    pub failure_domain: Name,
    /// Current time by the node's clock.
    pub now: Time,
    /// Configuration version of the routing table in force.
    pub version: u64,
    /// Next offset of the configuration stream to read.
    pub next: u64,
    /// Whether the node has a complete snapshot of the configuration.
    pub is_synced: bool,
    /// Whether the node is shutting down.
    pub is_stopping: bool,
    /// Host that holds the controller lease.
    pub controller: Option<Name>,
    /// Number of members by liveness.
    pub members: Members,
    /// Routes in force.
    pub routes: Vec<Route>,
    /// Moves, including those that ended most recently.
    pub moves: Vec<Move>,
    /// Failure domains out of service.
    pub out: Vec<Name>,
    /// Who holds the duty of handing in usage; absent on a node that takes no part in it.
    #[serde(default)]
    pub duty: Option<Standing>,
}

/// Number of members by liveness.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Members {
    /// Members that respond to probes.
    pub alive: usize,
    /// Members under suspicion.
    pub suspect: usize,
    /// Members marked dead.
    pub dead: usize,
    /// Members that announced their leave.
    pub left: usize,
}

/// A route of the table in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Service that the route belongs to.
    pub service: Name,
    /// Path prefix; empty for all paths of the service.
    pub prefix: Name,
    /// Traffic shares of the versions.
    pub shares: Vec<Share>,
}

/// A version's share of a route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Share {
    /// Version that receives the share.
    pub version: Name,
    /// Thousandths of the route's traffic.
    pub permille: u16,
    /// Number of backend servers that accept new work.
    pub backend_servers: usize,
}

/// Collects the status of a node from the kernel's state and the routing table.
pub(super) fn collect(shared: &Shared, table: &Table, now: Time) -> Status {
    let state = shared.tail.state();
    Status {
        host: shared.identity.host.clone(),
        region: shared.identity.region.clone(),
        failure_domain: shared.identity.failure_domain.clone(),
        now,
        version: table.version,
        next: state.next,
        is_synced: shared.is_synced,
        is_stopping: shared.is_stopping,
        controller: state.lease.holder.clone(),
        members: count(shared),
        routes: routes(table),
        moves: state.intent.moves.clone(),
        out: table.domains_out.clone(),
        duty: shared.duty.clone(),
    }
}

/// Counts the members by liveness.
fn count(shared: &Shared) -> Members {
    let mut members = Members::default();
    for member in shared.view.members() {
        let count = match member.status {
            Liveness::Alive => &mut members.alive,
            Liveness::Suspect => &mut members.suspect,
            Liveness::Dead => &mut members.dead,
            Liveness::Left => &mut members.left,
        };
        *count += 1;
    }
    members
}

/// Lists the routes of a table.
fn routes(table: &Table) -> Vec<Route> {
    let share = |share: &crate::routing::table::Share| Share {
        version: share.version.clone(),
        permille: share.permille,
        backend_servers: share.endpoints.len(),
    };
    table
        .services
        .iter()
        .flat_map(|service| service.routes.iter().map(move |route| (service, route)))
        .map(|(service, route)| Route {
            service: service.name.clone(),
            prefix: route.prefix.clone(),
            shares: route.shares.iter().map(share).collect(),
        })
        .collect()
}
