//! Reports on failure domains for operators.
//!
//! Every node sends the configuration version that it has applied to the first reader of its
//! failure domain. The reader appends a report to the log when something changed, at most once per
//! [`MIN_INTERVAL`], and at least once per [`MAX_INTERVAL`].

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::journal::record::REPORT_STREAM;
use crate::kernel::{Action, Context, Event, Plugin};
use crate::name::Name;
use crate::rpc::message::Message;

use super::member::{Member, Status};
use super::plugin::MAX_MEMBERS;
use super::readers;
use super::view::View;

/// Minimum interval between reports.
pub const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum interval between reports.
pub const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum number of lagging hosts that a report names.
pub const MAX_BEHIND: usize = 16;

/// Upper bound of the delay before a node notifies its reader of a new version.
const NOTIFY_DELAY: Duration = Duration::from_secs(1);

/// Upper bound of the delay before a node notifies a new reader.
const NEW_READER_DELAY: Duration = Duration::from_secs(3);

/// Mean interval between the first notification to a reader and the second.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(4);

/// Mean interval between later notifications.
const REPEAT_INTERVAL: Duration = Duration::from_secs(120);

/// State of one failure domain, as seen by its reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Failure domain that the report is about.
    pub failure_domain: Name,
    /// Host of the reader.
    pub host: Name,
    /// Time of the report, by the reader's clock.
    pub at: Time,
    /// Configuration version that the reader has applied.
    pub version: u64,
    /// Number of live nodes.
    pub nodes: usize,
    /// Number of live nodes not known to have applied that version.
    pub lagging: usize,
    /// First [`MAX_BEHIND`] lagging hosts by name.
    pub behind: Vec<Name>,
    /// Numbers of backend servers by service, version and state.
    pub backend_servers: Vec<BackendServerCount>,
}

/// Number of backend servers of one service and version in one state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BackendServerCount {
    /// Service that they provide.
    pub service: Name,
    /// Version of the service that they run.
    pub version: Name,
    /// State that they are in.
    pub state: BackendServerState,
    /// Number of backend servers.
    pub count: usize,
}

/// State of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendServerState {
    /// Accepts new calls.
    Serving,
    /// Accepts no new calls and finishes those in progress.
    Draining,
    /// Its node does not answer probes.
    Suspect,
}

/// Notifies the reader of this node's version, or appends reports if this node is the reader.
#[derive(Debug, Default)]
pub struct Reporter {
    /// Versions that nodes reported as applied, sorted by host.
    applied: Vec<(Name, u64)>,
    /// Version of the last or scheduled notification.
    version: u64,
    /// Target of the last or scheduled notification.
    reader: Option<Name>,
    /// Whether this version was sent to this reader; cleared if the reader is unreachable.
    is_notified: bool,
    /// When to notify the reader next.
    notify_at: Time,
    /// Last appended report, absent while another node is the reader.
    last_report: Option<Report>,
}

impl Plugin for Reporter {
    fn name(&self) -> &'static str {
        "report"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::Received { from, messages } => {
                for message in messages {
                    if let Message::Applied { version } = message {
                        self.record_version(cx, from, *version);
                    }
                }
            }
            Event::Unreachable { host, .. } if self.reader.as_ref() == Some(host) => {
                self.is_notified = false;
            }
            _ => {}
        }
    }
}

impl Reporter {
    /// Appends a report if this node is the reader, and notifies the reader.
    fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.shared.is_stopping {
            return;
        }
        let identity = &cx.shared.identity;
        let Some(reader) = readers(&cx.shared.view, &identity.failure_domain)
            .into_iter()
            .next()
        else {
            return;
        };
        if reader == identity.host {
            self.report(cx);
        } else {
            self.last_report = None;
        }
        self.notify_reader(cx, reader);
    }

    /// Notifies the reader of this node's version when that is due.
    fn notify_reader(&mut self, cx: &mut Context<'_>, reader: Name) {
        let version = cx.shared.tail.state().version;
        let mut jitter = |bound: Duration| bound.mul_f64(cx.rng.random_range(0.0..1.0));
        if self.reader.as_ref() != Some(&reader) {
            self.reader = Some(reader.clone());
            self.is_notified = false;
            self.notify_at = cx.now + jitter(NEW_READER_DELAY);
        }
        if self.version != version {
            self.version = version;
            self.is_notified = false;
            self.notify_at = self.notify_at.min(cx.now + jitter(NOTIFY_DELAY));
        }
        if cx.now < self.notify_at || version == 0 {
            return;
        }
        // The first notification may arrive before the reader knows that it is the reader.
        let interval = if self.is_notified {
            REPEAT_INTERVAL
        } else {
            CONFIRM_INTERVAL
        };
        self.is_notified = true;
        self.notify_at = cx.now + interval / 2 + jitter(interval);
        if reader == cx.shared.identity.host {
            return;
        }
        if let Some(member) = cx.shared.view.get(&reader).cloned() {
            cx.send(&member, vec![Message::Applied { version }]);
        }
    }

    /// Records the version of a member of the local failure domain.
    fn record_version(&mut self, cx: &Context<'_>, from: &Name, version: u64) {
        let local_domain = &cx.shared.identity.failure_domain;
        let is_near = |member: &Member| member.failure_domain == *local_domain;
        if !cx.shared.view.get(from).is_some_and(is_near) {
            return;
        }
        match self.applied.binary_search_by(|(host, _)| host.cmp(from)) {
            Ok(index) => self.applied[index].1 = version,
            Err(_) if self.applied.len() >= MAX_MEMBERS => {}
            Err(index) => self.applied.insert(index, (from.clone(), version)),
        }
    }

    /// Appends a report when one is due.
    fn report(&mut self, cx: &mut Context<'_>) {
        let age = self.last_report.as_ref().map(|last| cx.now.since(last.at));
        if age.is_some_and(|age| age < MIN_INTERVAL) {
            return;
        }
        let view = &cx.shared.view;
        self.applied
            .retain(|(host, _)| view.get(host).is_some_and(Member::is_usable));
        let report = self.build_report(cx);
        let is_due = match (&self.last_report, age) {
            (Some(last), Some(age)) => age >= MAX_INTERVAL || differs_besides_time(last, &report),
            _ => true,
        };
        if !is_due {
            return;
        }
        let payload = serde_json::to_string(&report).expect("reports serialize to JSON");
        let id = format!("report-{}-{}", report.host, cx.now.0).into();
        self.last_report = Some(report);
        cx.act(Action::Append {
            stream: REPORT_STREAM,
            id,
            payload,
        });
    }

    /// Builds a report of the current state.
    fn build_report(&self, cx: &Context<'_>) -> Report {
        let identity = &cx.shared.identity;
        let version = cx.shared.tail.state().version;
        let is_near = |member: &&Member| member.failure_domain == identity.failure_domain;
        let near = || cx.shared.view.live().filter(is_near);
        let lagging: Vec<Name> = near()
            .filter(|member| {
                member.host != identity.host && !self.has_applied(&member.host, version)
            })
            .map(|member| member.host.clone())
            .collect();
        Report {
            failure_domain: identity.failure_domain.clone(),
            host: identity.host.clone(),
            at: cx.now,
            version,
            nodes: near().count(),
            lagging: lagging.len(),
            behind: lagging.into_iter().take(MAX_BEHIND).collect(),
            backend_servers: count_backend_servers(&cx.shared.view, &identity.failure_domain),
        }
    }

    /// Whether a host has reported this version or a later one.
    fn has_applied(&self, host: &Name, version: u64) -> bool {
        self.applied
            .binary_search_by(|(held, _)| held.cmp(host))
            .is_ok_and(|index| self.applied[index].1 >= version)
    }
}

/// Whether two reports differ apart from their time.
fn differs_besides_time(last: &Report, next: &Report) -> bool {
    let last = Report {
        at: next.at,
        ..last.clone()
    };
    last != *next
}

/// Counts the backend servers of a failure domain by service, version and state.
fn count_backend_servers(view: &View, failure_domain: &str) -> Vec<BackendServerCount> {
    let mut counts: Vec<BackendServerCount> = Vec::new();
    let near = view
        .live()
        .filter(|member| *member.failure_domain == *failure_domain);
    for member in near {
        let Some(server) = &member.backend_server else {
            continue;
        };
        let state = match member.status {
            Status::Suspect => BackendServerState::Suspect,
            _ if server.is_draining => BackendServerState::Draining,
            _ => BackendServerState::Serving,
        };
        let key = (&server.service, &server.version, state);
        match counts.binary_search_by(|c| (&c.service, &c.version, c.state).cmp(&key)) {
            Ok(index) => counts[index].count += 1,
            Err(index) => {
                let entry = BackendServerCount {
                    service: server.service.clone(),
                    version: server.version.clone(),
                    state,
                    count: 1,
                };
                counts.insert(index, entry);
            }
        }
    }
    counts
}
