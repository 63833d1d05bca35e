//! What a node tells operators of itself.

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::intent::Move;
use crate::kernel::Shared;
use crate::membership::member::Status as Liveness;
use crate::name::Name;
use crate::routing::table::Table;

/// Status of one node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Host.
    pub host: Name,
    /// Region.
    pub region: Name,
    /// Failure domain.
    pub failure_domain: Name,
    /// Present time of the node.
    pub now: Time,
    /// Configuration version in force on the path of a call.
    pub version: u64,
    /// Next offset of the configuration stream.
    pub next: u64,
    /// Whether the node holds a complete snapshot.
    pub is_synced: bool,
    /// Whether the node is shutting down.
    pub is_stopping: bool,
    /// Holder of the controller lease.
    pub controller: Option<Name>,
    /// Members by liveness.
    pub members: Members,
    /// Routes in force.
    pub routes: Vec<Route>,
    /// Moves, the last that have ended included.
    pub moves: Vec<Move>,
    /// Failure domains out of service.
    pub out: Vec<Name>,
}

/// Count of members by liveness.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Members {
    /// Answer probes.
    pub alive: usize,
    /// Under suspicion.
    pub suspect: usize,
    /// Taken for dead.
    pub dead: usize,
    /// Left by their own word.
    pub left: usize,
}

/// A route as it is in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Service.
    pub service: Name,
    /// Path prefix, empty for the whole service.
    pub prefix: Name,
    /// Version shares.
    pub shares: Vec<Share>,
}

/// A version's share of a route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Share {
    /// Version.
    pub version: Name,
    /// Thousandths of the route's traffic.
    pub permille: u16,
    /// Backend servers that take new work.
    pub backend_servers: usize,
}

/// Status of a node from its kernel's state and its table.
pub(super) fn of(shared: &Shared, table: &Table, now: Time) -> Status {
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

/// Routes of a table.
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
