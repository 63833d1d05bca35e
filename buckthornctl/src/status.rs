//! What is in force, for people and for scripts.
//!
//! The configuration comes from the fold of the log, nodes and backend servers from the newest
//! report of each failure domain; a report is as old as it says.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::intent::{FULL_SHARE, Move};
use buckthorn::config::plan::percent;
use buckthorn::journal::fold::{self, State};
use buckthorn::membership::report::{self, MAX_INTERVAL, Report};
use serde::Serialize;

use crate::output::table;

/// Age from which a report is shown as old.
const OLD_AGE: Duration = MAX_INTERVAL.saturating_mul(2);

/// What is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Configuration version.
    pub version: u64,
    /// Version of the operators' last accepted change.
    pub intent_version: u64,
    /// Offset of the next record of the configuration stream.
    pub next_offset: u64,
    /// Host that decides about moves, if any.
    pub controller: Option<String>,
    /// Term of the controller's lease.
    pub term: u64,
    /// Services and routes with the share of each version.
    pub services: Vec<Route>,
    /// Moves, open ones first.
    pub moves: Vec<MoveStatus>,
    /// Failure domains.
    pub failure_domains: Vec<FailureDomain>,
    /// Nodes of each failure domain, by its newest report.
    pub nodes: Vec<NodeSummary>,
    /// Backend servers of each failure domain by kind, by its newest report.
    pub backend_servers: Vec<BackendServerSummary>,
}

/// Nodes of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeSummary {
    /// Failure domain.
    pub failure_domain: String,
    /// Live nodes.
    pub nodes: usize,
    /// Nodes that hold the configuration version, as far as the report tells.
    pub holding: usize,
    /// Version that the reporting node held.
    pub version: u64,
    /// Some of the nodes that are not known to hold that version.
    pub behind: Vec<String>,
    /// Host that reported.
    pub reported_by: String,
    /// When it reported, by its clock.
    pub reported_at: String,
    /// Age of the report in seconds.
    pub age_secs: u64,
}

/// Backend servers of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BackendServerSummary {
    /// Failure domain.
    pub failure_domain: String,
    /// Service.
    pub service: String,
    /// Version.
    pub version: String,
    /// State: serving, draining or suspect.
    pub state: String,
    /// How many there are.
    pub count: usize,
}

/// Route of a service with the share of each version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// Service.
    pub service: String,
    /// Path prefix, empty for the whole service.
    pub route: String,
    /// Versions and their shares.
    pub versions: Vec<VersionShare>,
}

/// Version of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VersionShare {
    /// Name.
    pub version: String,
    /// Share of traffic in thousandths.
    pub share: u16,
}

/// A move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MoveStatus {
    /// Identifier.
    pub id: String,
    /// Service.
    pub service: String,
    /// Path prefix, empty for the whole service.
    pub route: String,
    /// Version that serves at the start.
    pub from: String,
    /// Version that is to serve.
    pub to: String,
    /// Earliest time of the first share.
    pub start: String,
    /// Time by which all traffic is to be on `to`.
    pub deadline: String,
    /// Where it stands.
    pub state: String,
    /// Share on `to` in thousandths.
    pub share: u16,
    /// Reason of the last step.
    pub reason: String,
    /// Time of the last step.
    pub changed: String,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FailureDomain {
    /// Name.
    pub failure_domain: String,
    /// Region.
    pub region: String,
    /// Whether it is in service.
    pub is_in_service: bool,
}

/// Line of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HistoryEntry {
    /// Offset of the record.
    pub offset: u64,
    /// Identifier of the record.
    pub id: String,
    /// When it was made.
    pub at: String,
    /// Who made it.
    pub author: String,
    /// Whether it took effect.
    pub is_accepted: bool,
    /// What it did, or why it was refused.
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
    /// Status of a folded state and the newest reports.
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
                .map(|report| nodes(state.version, report, now))
                .collect(),
            backend_servers: reports.iter().flat_map(backend_servers).collect(),
        }
    }
}

/// Nodes of a report, measured against the version in force.
fn nodes(version: u64, report: &Report, now: Time) -> NodeSummary {
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

/// Backend servers of a report.
fn backend_servers(report: &Report) -> impl Iterator<Item = BackendServerSummary> {
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

/// Every route with the share of each version.
fn routes(state: &State) -> Vec<Route> {
    let mut routes = Vec::new();
    for service in &state.intent.services {
        for route in &service.routes {
            let mut versions = Vec::new();
            let moving = state.intent.active_move(&service.name, &route.prefix);
            let moved = moving.map_or(0, |entry| entry.share);
            versions.push(VersionShare {
                version: route.version.to_string(),
                share: FULL_SHARE - moved,
            });
            versions.extend(moving.map(|entry| VersionShare {
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

/// Status as text.
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

/// Row of a failure domain's nodes.
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
    let mark = if age >= OLD_AGE { ", out of touch" } else { "" };
    let age = format!(
        "reported {} s ago by {}{mark}",
        nodes.age_secs, nodes.reported_by
    );
    vec![nodes.failure_domain.clone(), held, age, behind]
}

/// History as text.
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

/// Heading with rows under it.
fn section(name: &str, rows: impl Iterator<Item = Vec<String>>) -> String {
    let rows: Vec<Vec<String>> = rows.collect();
    if rows.is_empty() {
        return format!("{name}: none");
    }
    format!("{name}\n{}", table(&rows))
}
