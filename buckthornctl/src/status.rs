//! Status and history of the mesh, as text for people and JSON for scripts.
//!
//! The configuration is folded from the log. Nodes and backend servers come from the newest report
//! of each failure domain, which may be out of date; its age is part of the status.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::intent::{FULL_SHARE, Move};
use buckthorn::config::plan::percent;
use buckthorn::journal::fold::{self, State};
use buckthorn::membership::report::{self, MAX_INTERVAL, Report};
use serde::Serialize;

use crate::output::table;

/// Age from which a report is shown as out of touch: twice the longest interval between reports.
const STALE_AGE: Duration = MAX_INTERVAL.saturating_mul(2);

/// Configuration in force, and the nodes and backend servers last reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Configuration version.
    pub version: u64,
    /// Configuration version of the operators' last accepted change.
    pub intent_version: u64,
    /// Offset of the next record of the configuration stream.
    pub next_offset: u64,
    /// Host that holds the move controller's lease, if any.
    pub controller: Option<String>,
    /// Term of the move controller's lease.
    pub term: u64,
    /// Routes of all services, with the share of each version.
    pub services: Vec<Route>,
    /// Moves, open ones first, then by start.
    pub moves: Vec<MoveStatus>,
    /// Known failure domains and whether they are in service.
    pub failure_domains: Vec<FailureDomain>,
    /// Nodes of each failure domain, from its newest report.
    pub nodes: Vec<NodeSummary>,
    /// Backend servers of each failure domain by service, version and state, from its newest
    /// report.
    pub backend_servers: Vec<BackendServerSummary>,
}

/// Nodes of a failure domain, from its newest report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeSummary {
    /// Name of the failure domain.
    pub failure_domain: String,
    /// Number of live nodes.
    pub nodes: usize,
    /// Number of live nodes known to hold the configuration version in force; 0 if the report is
    /// about an earlier version.
    pub holding: usize,
    /// Configuration version that the reporting node held.
    pub version: u64,
    /// Hosts of some live nodes not known to hold that version.
    pub behind: Vec<String>,
    /// Host that wrote the report.
    pub reported_by: String,
    /// Time of the report, by the clock of that host.
    pub reported_at: String,
    /// Age of the report in seconds.
    pub age_secs: u64,
}

/// Backend servers of a failure domain with the same service, version and state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BackendServerSummary {
    /// Name of the failure domain.
    pub failure_domain: String,
    /// Name of the service.
    pub service: String,
    /// Version that the backend servers run.
    pub version: String,
    /// State: `serving`, `draining` or `suspect`.
    pub state: String,
    /// Number of backend servers.
    pub count: usize,
}

/// Route of a service with the share of each version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// Name of the service.
    pub service: String,
    /// Path prefix, empty for the whole service.
    pub route: String,
    /// Versions that serve the route: one, or two during a move.
    pub versions: Vec<VersionShare>,
}

/// Version of a route and its share of traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VersionShare {
    /// Name of the version.
    pub version: String,
    /// Share of traffic in thousandths.
    pub share: u16,
}

/// State of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MoveStatus {
    /// Identifier of the move.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Path prefix, empty for the whole service.
    pub route: String,
    /// Version that serves before the move.
    pub from: String,
    /// Version that serves once the move is done.
    pub to: String,
    /// Earliest time at which `to` gets traffic.
    pub start: String,
    /// Time by which all traffic is to be on `to`.
    pub deadline: String,
    /// Phase that the move is in.
    pub state: String,
    /// Share of traffic on `to`, in thousandths.
    pub share: u16,
    /// Reason given for the last step.
    pub reason: String,
    /// Time of the last step.
    pub changed: String,
}

/// Service state of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FailureDomain {
    /// Name of the failure domain.
    pub failure_domain: String,
    /// Region that the failure domain is in.
    pub region: String,
    /// False while an operator has taken the failure domain out of service.
    pub is_in_service: bool,
}

/// Accepted or refused change in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HistoryEntry {
    /// Offset of the record.
    pub offset: u64,
    /// Identifier of the record.
    pub id: String,
    /// Time of the change, by its author's clock.
    pub at: String,
    /// Author of the change.
    pub author: String,
    /// Whether the change took effect.
    pub is_accepted: bool,
    /// What the change did, or why it was refused.
    pub text: String,
}

impl From<&Move> for MoveStatus {
    fn from(entry: &Move) -> Self {
        Self {
            id: entry.id.to_string(),
            service: entry.service.to_string(),
            route: entry.route.to_string(),
            from: entry.from.to_string(),
            to: entry.to.to_string(),
            start: entry.start.to_string(),
            deadline: entry.deadline.to_string(),
            state: entry.phase.as_str().into(),
            share: entry.share,
            reason: entry.reason.clone(),
            changed: entry.changed.to_string(),
        }
    }
}

impl From<&fold::Entry> for HistoryEntry {
    fn from(entry: &fold::Entry) -> Self {
        Self {
            offset: entry.offset,
            id: entry.id.to_string(),
            at: entry.at.to_string(),
            author: entry.author.clone(),
            is_accepted: entry.is_accepted,
            text: entry.text.clone(),
        }
    }
}

impl Status {
    /// Builds the status from the folded state and the newest reports.
    pub fn new(state: &State, reports: &[Report], now: Time) -> Self {
        let mut moves: Vec<&Move> = state.intent.moves.iter().collect();
        moves.sort_by_key(|m| (m.phase.is_ended(), m.start, m.id.clone()));
        Self {
            version: state.version,
            intent_version: state.intent_version,
            next_offset: state.next,
            controller: state.lease.holder.as_ref().map(ToString::to_string),
            term: state.lease.term,
            services: routes(state),
            moves: moves.into_iter().map(Into::into).collect(),
            failure_domains: state
                .intent
                .failure_domains
                .iter()
                .map(|domain| FailureDomain {
                    failure_domain: domain.name.to_string(),
                    region: domain.region.to_string(),
                    is_in_service: !domain.is_out,
                })
                .collect(),
            nodes: reports
                .iter()
                .map(|report| node_summary(state.version, report, now))
                .collect(),
            backend_servers: reports.iter().flat_map(backend_server_summaries).collect(),
        }
    }
}

/// Summarizes the nodes of a report against the configuration version in force.
fn node_summary(version: u64, report: &Report, now: Time) -> NodeSummary {
    let is_current = report.version >= version;
    NodeSummary {
        failure_domain: report.failure_domain.to_string(),
        nodes: report.nodes,
        holding: match is_current {
            true => report.nodes.saturating_sub(report.lagging),
            false => 0,
        },
        version: report.version,
        behind: report.behind.iter().map(ToString::to_string).collect(),
        reported_by: report.host.to_string(),
        reported_at: report.at.to_string(),
        age_secs: now.since(report.at).as_secs(),
    }
}

/// Summarizes the backend servers of a report.
fn backend_server_summaries(report: &Report) -> impl Iterator<Item = BackendServerSummary> {
    report
        .backend_servers
        .iter()
        .map(|kind| BackendServerSummary {
            failure_domain: report.failure_domain.to_string(),
            service: kind.service.to_string(),
            version: kind.version.to_string(),
            state: match kind.state {
                report::BackendServerState::Serving => "serving",
                report::BackendServerState::Draining => "draining",
                report::BackendServerState::Suspect => "suspect",
            }
            .into(),
            count: kind.count,
        })
}

/// Lists every route with the share of each version.
fn routes(state: &State) -> Vec<Route> {
    let mut routes = Vec::new();
    for service in &state.intent.services {
        for route in &service.routes {
            let mut versions = Vec::new();
            let active_move = state.intent.active_move(&service.name, &route.prefix);
            let moved_share = active_move.map_or(0, |entry| entry.share);
            versions.push(VersionShare {
                version: route.version.to_string(),
                share: FULL_SHARE - moved_share,
            });
            versions.extend(active_move.map(|entry| VersionShare {
                version: entry.to.to_string(),
                share: entry.share,
            }));
            routes.push(Route {
                service: service.name.to_string(),
                route: route.prefix.to_string(),
                versions,
            });
        }
    }
    routes
}

/// Renders a status as text.
pub fn render(status: &Status) -> String {
    let controller = match &status.controller {
        Some(host) => format!("{host} (term {})", status.term),
        None => "none yet".into(),
    };
    let mut parts = vec![format!(
        "configuration version {} (operators' {}), controller {controller}",
        status.version, status.intent_version
    )];
    let services = status.services.iter().map(|route| {
        let versions: Vec<String> = route
            .versions
            .iter()
            .map(|v| format!("{} {}", v.version, percent(v.share)))
            .collect();
        vec![
            format!("{}{}", route.service, route.route),
            versions.join(", "),
        ]
    });
    parts.push(section("services", services));
    let moves = status.moves.iter().map(|entry| {
        vec![
            entry.id.clone(),
            entry.state.clone(),
            percent(entry.share),
            format!("by {}", entry.deadline),
            entry.reason.clone(),
        ]
    });
    parts.push(section("moves", moves));
    let domains = status.failure_domains.iter().map(|domain| {
        let state = if domain.is_in_service { "in" } else { "out" };
        vec![
            domain.failure_domain.clone(),
            domain.region.clone(),
            state.into(),
        ]
    });
    parts.push(section("failure domains", domains));
    let nodes = status
        .nodes
        .iter()
        .map(|nodes| nodes_row(status.version, nodes));
    parts.push(section("nodes", nodes));
    let servers = status.backend_servers.iter().map(|kind| {
        vec![
            kind.failure_domain.clone(),
            kind.service.clone(),
            kind.version.clone(),
            format!("{} {}", kind.count, kind.state),
        ]
    });
    parts.push(section("backend servers", servers));
    parts.join("\n")
}

/// Renders the table row of a failure domain's nodes.
fn nodes_row(version: u64, nodes: &NodeSummary) -> Vec<String> {
    let held = if nodes.version < version {
        format!("last reported version {}, not {version}", nodes.version)
    } else {
        format!(
            "{} of {} hold version {}",
            nodes.holding, nodes.nodes, nodes.version
        )
    };
    let behind = match nodes.behind.as_slice() {
        [] => String::new(),
        hosts => format!("not known to: {}", hosts.join(", ")),
    };
    let age = Duration::from_secs(nodes.age_secs);
    let stale_note = if age >= STALE_AGE {
        ", out of touch"
    } else {
        ""
    };
    let age = format!(
        "reported {} s ago by {}{stale_note}",
        nodes.age_secs, nodes.reported_by
    );
    vec![nodes.failure_domain.clone(), held, age, behind]
}

/// Renders the history as a table.
pub fn render_history(entries: &[HistoryEntry]) -> String {
    if entries.is_empty() {
        return "nothing has been published".into();
    }
    let rows: Vec<Vec<String>> = entries
        .iter()
        .map(|entry| {
            let result = if entry.is_accepted {
                "accepted"
            } else {
                "refused"
            };
            vec![
                entry.at.clone(),
                entry.author.clone(),
                result.into(),
                entry.text.clone(),
            ]
        })
        .collect();
    table(&rows)
}

/// Renders a heading with a table under it, or `none` without rows.
fn section(name: &str, rows: impl Iterator<Item = Vec<String>>) -> String {
    let rows: Vec<Vec<String>> = rows.collect();
    if rows.is_empty() {
        return format!("{name}: none");
    }
    format!("{name}\n{}", table(&rows))
}
