//! What a failure domain tells operators of itself.
//!
//! Every node tells the first reader of its failure domain which configuration version it has in
//! force; the reader appends a report to the log when something changed, at most once in
//! [`MIN_INTERVAL`], and in any case once in [`MAX_INTERVAL`].

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

/// Shortest time between reports.
pub const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time between reports.
pub const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// Hosts that a report names as behind.
pub const MAX_BEHIND: usize = 16;

/// Longest delay before a node tells its reader of a new version.
const TELL_DELAY: Duration = Duration::from_secs(1);

/// Longest delay before a node tells a new reader.
const NEW_READER_DELAY: Duration = Duration::from_secs(3);

/// Mean interval between the first word to a reader and the second.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(4);

/// Mean interval between repeats to the reader.
const REPEAT_INTERVAL: Duration = Duration::from_secs(120);

/// State of one failure domain, as its reader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Failure domain.
    pub failure_domain: Name,
    /// Host that reports.
    pub host: Name,
    /// When, by its clock.
    pub at: Time,
    /// Configuration version that the reader has in force.
    pub version: u64,
    /// Live nodes.
    pub nodes: usize,
    /// Live nodes that are not known to have that version in force.
    pub lagging: usize,
    /// The first of those by name.
    pub behind: Vec<Name>,
    /// Backend servers by service, version and state.
    pub backend_servers: Vec<BackendServerCount>,
}

/// Backend servers of one kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BackendServerCount {
    /// Service.
    pub service: Name,
    /// Version.
    pub version: Name,
    /// State.
    pub state: BackendServerState,
    /// How many there are.
    pub count: usize,
}

/// State of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendServerState {
    /// Takes new work.
    Serving,
    /// Takes no new work and finishes what it has.
    Draining,
    /// Its node does not answer probes.
    Suspect,
}

/// Tells the reader of the own version, and reports when this node is the reader.
#[derive(Debug, Default)]
pub struct Reporter {
    /// Versions that nodes told of, sorted by host.
    applied: Vec<(Name, u64)>,
    /// Version last told or scheduled.
    version: u64,
    /// Reader last told or scheduled.
    reader: Option<Name>,
    /// Whether the reader was told a second time, or need not be told soon.
    is_confirmed: bool,
    /// When to tell the reader next.
    tell_at: Time,
    /// Last report and when it was appended.
    reported: Option<Report>,
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
                        self.note(cx, from, *version);
                    }
                }
            }
            Event::Unreachable { host, .. } if self.reader.as_ref() == Some(host) => {
                self.is_confirmed = false;
            }
            _ => {}
        }
    }
}

impl Reporter {
    /// Tells the reader, or reports.
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
            self.reported = None;
        }
        self.tell(cx, reader);
    }

    /// Tells the reader of the own version when it is due.
    fn tell(&mut self, cx: &mut Context<'_>, reader: Name) {
        let version = cx.shared.tail.state().version;
        let mut spread = |bound: Duration| bound.mul_f64(cx.rng.random_range(0.0..1.0));
        if self.reader.as_ref() != Some(&reader) {
            self.reader = Some(reader.clone());
            self.is_confirmed = false;
            self.tell_at = cx.now + spread(NEW_READER_DELAY);
        }
        if self.version != version {
            self.version = version;
            self.is_confirmed = false;
            self.tell_at = self.tell_at.min(cx.now + spread(TELL_DELAY));
        }
        if cx.now < self.tell_at || version == 0 {
            return;
        }
        // The first word may come before the reader knows that it is one.
        let interval = if self.is_confirmed {
            REPEAT_INTERVAL
        } else {
            CONFIRM_INTERVAL
        };
        self.is_confirmed = true;
        self.tell_at = cx.now + interval / 2 + spread(interval);
        if reader == cx.shared.identity.host {
            return;
        }
        if let Some(member) = cx.shared.view.get(&reader).cloned() {
            cx.send(&member, vec![Message::Applied { version }]);
        }
    }

    /// Notes the version of a member of the own failure domain.
    fn note(&mut self, cx: &Context<'_>, from: &Name, version: u64) {
        let own = &cx.shared.identity.failure_domain;
        let is_near = |member: &Member| member.failure_domain == *own;
        if !cx.shared.view.get(from).is_some_and(is_near) {
            return;
        }
        match self.applied.binary_search_by(|(host, _)| host.cmp(from)) {
            Ok(index) => self.applied[index].1 = version,
            Err(_) if self.applied.len() >= MAX_MEMBERS => {}
            Err(index) => self.applied.insert(index, (from.clone(), version)),
        }
    }

    /// Appends a report when it is due.
    fn report(&mut self, cx: &mut Context<'_>) {
        let age = self.reported.as_ref().map(|last| cx.now.since(last.at));
        if age.is_some_and(|age| age < MIN_INTERVAL) {
            return;
        }
        let view = &cx.shared.view;
        self.applied
            .retain(|(host, _)| view.get(host).is_some_and(Member::is_usable));
        let report = self.summarise(cx);
        let is_due = match (&self.reported, age) {
            (Some(last), Some(age)) => age >= MAX_INTERVAL || differs(last, &report),
            _ => true,
        };
        if !is_due {
            return;
        }
        let payload = serde_json::to_string(&report).expect("reports encode as JSON");
        let id = format!("report-{}-{}", report.host, cx.now.0).into();
        self.reported = Some(report);
        cx.act(Action::Append {
            stream: REPORT_STREAM,
            id,
            payload,
        });
    }

    /// Report as of now.
    fn summarise(&self, cx: &Context<'_>) -> Report {
        let identity = &cx.shared.identity;
        let version = cx.shared.tail.state().version;
        let is_near = |member: &&Member| member.failure_domain == identity.failure_domain;
        let near = || cx.shared.view.live().filter(is_near);
        let lagging: Vec<Name> = near()
            .filter(|member| member.host != identity.host && !self.holds(&member.host, version))
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
            backend_servers: count(&cx.shared.view, &identity.failure_domain),
        }
    }

    /// Whether a host told of a version or a later one.
    fn holds(&self, host: &Name, version: u64) -> bool {
        self.applied
            .binary_search_by(|(held, _)| held.cmp(host))
            .is_ok_and(|index| self.applied[index].1 >= version)
    }
}

/// Whether two reports differ in more than their time.
fn differs(last: &Report, next: &Report) -> bool {
    let last = Report {
        at: next.at,
        ..last.clone()
    };
    last != *next
}

/// Backend servers of a failure domain by kind.
fn count(view: &View, failure_domain: &str) -> Vec<BackendServerCount> {
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
