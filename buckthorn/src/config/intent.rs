//! The routing intent: services, routes, moves and failure domains in force.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::name::{self, Name};

/// Share of all traffic, in thousandths.
pub const FULL_SHARE: u16 = 1_000;

/// Routing intent in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Open moves and the most recent ended ones, sorted by identifier.
    pub moves: Vec<Move>,
    /// Known failure domains, sorted by name.
    pub failure_domains: Vec<FailureDomain>,
}

/// A service and its routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name, the `Host` of a call.
    pub name: Name,
    /// Routes, sorted by prefix.
    pub routes: Vec<Route>,
}

/// A path prefix and the version that serves it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix, empty for the whole service.
    pub prefix: Name,
    /// Version that serves the route outside of moves.
    pub version: Name,
}

/// Planned shift of traffic from one version to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Identifier, derived from the other fields by [`move_id`].
    pub id: Name,
    /// Name of the service, which is the host of its calls.
    pub service: Name,
    /// Path prefix, empty for the whole service.
    pub route: Name,
    /// Version that serves at the start.
    pub from: Name,
    /// Version that is to serve.
    pub to: Name,
    /// Earliest time of the first share.
    pub start: Time,
    /// Time by which all traffic is to be on `to`.
    pub deadline: Time,
    /// Phase of the move.
    pub phase: Phase,
    /// Share of traffic on `to`, in thousandths.
    pub share: u16,
    /// Reason of the last step, shown to operators.
    pub reason: String,
    /// Time of the last step, by the clock of the node or operator that decided it.
    pub changed: Time,
}

/// Phase of a move in the intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Not begun.
    Waiting,
    /// The share is rising.
    Shifting,
    /// The share is held because evidence or capacity is missing.
    Holding,
    /// All traffic is on the new version, which is still being watched for faults.
    Watching,
    /// Completed; the new version serves the route.
    Done,
    /// Rolled back to the old version.
    #[serde(rename = "taken_back")]
    RolledBack,
    /// Withdrawn before it began, or replaced.
    Cancelled,
}

impl Phase {
    /// Whether the move has ended and can no longer change.
    pub const fn is_ended(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack | Self::Cancelled)
    }

    /// Whether the move has begun and not ended.
    pub const fn is_active(self) -> bool {
        matches!(self, Self::Shifting | Self::Holding | Self::Watching)
    }

    /// Text for operators, also stored in the history.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Shifting => "shifting",
            Self::Holding => "holding",
            Self::Watching => "watching",
            Self::Done => "done",
            Self::RolledBack => "taken back",
            Self::Cancelled => "cancelled",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Failure domain known to the intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureDomain {
    /// Name, by which nodes and operators refer to the failure domain.
    pub name: Name,
    /// Region of the failure domain.
    pub region: Name,
    /// Whether operators have taken it out of service.
    pub is_out: bool,
}

impl Intent {
    /// Service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()?;
        Some(&self.services[index])
    }

    /// Move by identifier.
    pub fn find_move(&self, id: &str) -> Option<&Move> {
        let index = self.moves.binary_search_by(|m| (*m.id).cmp(id)).ok()?;
        Some(&self.moves[index])
    }

    /// Failure domain by name.
    pub fn failure_domain(&self, name: &str) -> Option<&FailureDomain> {
        let index = self
            .failure_domains
            .binary_search_by(|d| (*d.name).cmp(name))
            .ok()?;
        Some(&self.failure_domains[index])
    }

    /// Whether a failure domain is known and out of service.
    pub fn is_out(&self, failure_domain: &str) -> bool {
        self.failure_domain(failure_domain)
            .is_some_and(|d| d.is_out)
    }

    /// Whether a move may begin: its old version serves and no other move of its route is active.
    pub fn is_startable(&self, entry: &Move) -> bool {
        let serving = self
            .service(&entry.service)
            .and_then(|service| service.route(&entry.route));
        serving.is_some_and(|route| route.version == entry.from)
            && self
                .active_move(&entry.service, &entry.route)
                .is_none_or(|other| other.id == entry.id)
    }

    /// Active move of a service and route, if any.
    pub fn active_move(&self, service: &str, route: &str) -> Option<&Move> {
        self.moves
            .iter()
            .find(|m| *m.service == *service && *m.route == *route && m.phase.is_active())
    }
}

impl Service {
    /// Route by its exact prefix.
    pub fn route(&self, prefix: &str) -> Option<&Route> {
        let index = self
            .routes
            .binary_search_by(|r| (*r.prefix).cmp(prefix))
            .ok()?;
        Some(&self.routes[index])
    }
}

/// Identifier of a move; moves with equal fields have equal identifiers.
pub fn move_id(
    service: &str,
    route: &str,
    from: &str,
    to: &str,
    start: Time,
    deadline: Time,
) -> Name {
    let key = format!(
        "{service}\n{route}\n{from}\n{to}\n{}\n{}",
        start.0, deadline.0
    );
    format!("{service}-{to}-{:06x}", name::hash(&key) & 0xff_ffff).into()
}
