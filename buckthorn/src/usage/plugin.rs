//! Plug-in that reports the counts of this node and, on a candidate, sums and hands in those of all.
//!
//! The candidates are the first nodes by rendezvous in different failure domains, so that the loss of
//! one domain leaves others with the counts. Every node sends its counts to each of them, twice a
//! window and while it stops.

use std::time::Duration;

use crossbeam::channel::Receiver;

use super::Counts;
use super::collector::{Collector, Report};
use super::duty::{Keeper, Reply, Transition};
use super::meter::{Change, Tally};
use super::schedule::Schedule;
use crate::clock::Time;
use crate::counter::Counter;
use crate::kernel::{Action, Context, Event, Plugin, Registry};
use crate::log_event::LogEvent;
use crate::membership::member::Member;
use crate::membership::view::View;
use crate::name::{self, Name};
use crate::rpc::message::Message;

/// Nodes that collect counts and may hold the duty.
const CANDIDATES: usize = 3;

/// Key of the rendezvous hash that chooses candidates.
const CANDIDATE_KEY: &str = "usage.candidate";

/// Reports of a node within a window.
const REPORTS_PER_WINDOW: u32 = 2;

/// Reports of a node that stops, within a window.
const LAST_REPORTS_PER_WINDOW: u32 = 10;

/// Part of a window by which the reports of the nodes are spread, so that they don't arrive at a
/// candidate all at once.
const SPREAD_PART: f64 = 0.2;

/// Subject of log entries.
const DUTY: &str = "usage";

/// Registers the plug-in; a duty changes its holder no sooner than after `lease`.
pub fn register(
    registry: &mut Registry,
    schedule: Schedule,
    lease: Duration,
    changes: Receiver<Change>,
) {
    registry.add(Reporter {
        schedule,
        lease,
        changes,
        tally: Tally::default(),
        collector: Collector::default(),
        keeper: None,
        started_at: None,
        slot: 0,
    });
}

/// Reports counts and takes part in the duty of handing them in.
struct Reporter {
    /// Windows and when they are handed in.
    schedule: Schedule,
    /// Duration of the lease of the duty.
    lease: Duration,
    /// Changes that the data path counted.
    changes: Receiver<Change>,
    /// Counts of this node.
    tally: Tally,
    /// Counts of all nodes, on a candidate.
    collector: Collector,
    /// Decides on the duty; absent before the first tick.
    keeper: Option<Keeper>,
    /// Time of the first tick.
    started_at: Option<Time>,
    /// Number of the last time slot in which counts were reported.
    slot: u64,
}

impl Plugin for Reporter {
    fn name(&self) -> &'static str {
        "usage"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::Received { from, messages } => {
                for message in messages {
                    if let Message::Usage(report) = message {
                        self.collect(cx, from, report);
                    }
                }
            }
            Event::Duty(reply) => self.on_reply(cx, reply),
            _ => {}
        }
    }
}

impl Reporter {
    /// Counts, reports, and does what is due for the duty.
    fn tick(&mut self, cx: &mut Context<'_>) {
        let started_at = *self.started_at.get_or_insert(cx.now);
        let first = self.schedule.first_open(cx.now);
        for change in self.changes.try_iter() {
            self.tally.apply(change);
        }
        self.tally.prune(first);
        self.collector.prune(first, self.schedule.end(first));
        if !cx.shared.is_synced {
            return;
        }
        let candidates = candidates(&cx.shared.view);
        self.report(cx, &candidates);
        // A node that has just started may not know the others yet.
        let is_settled = cx.now.since(started_at) >= self.lease;
        let local_host = &cx.shared.identity.host;
        let rank = candidates.iter().position(|m| m.host == *local_host);
        if let Some(rank) = rank.filter(|_| is_settled && !cx.shared.is_stopping) {
            self.poll(cx, rank);
        }
    }

    /// Sends the counts of this node to the candidates, if a report is due.
    fn report(&mut self, cx: &mut Context<'_>, candidates: &[Member]) {
        let host = cx.shared.identity.host.clone();
        let reports = if cx.shared.is_stopping {
            LAST_REPORTS_PER_WINDOW
        } else {
            REPORTS_PER_WINDOW
        };
        let spread = (name::hash(&host) % 1_000) as f64 / 1_000.0;
        let delay = self.schedule.window.mul_f64(SPREAD_PART * spread);
        let slots = Schedule {
            window: self.schedule.window / reports,
            ..self.schedule
        };
        let slot = slots.window_at(cx.now - delay);
        if slot == self.slot {
            return;
        }
        self.slot = slot;
        let report = Report {
            incarnation: cx.shared.identity.incarnation,
            at: cx.now,
            windows: self.tally.windows.clone(),
        };
        for candidate in candidates {
            if candidate.host == host {
                self.collect(cx, &host, &report);
            } else {
                cx.send(candidate, vec![Message::Usage(report.clone())]);
            }
        }
    }

    /// Collects a report of a known member.
    fn collect(&mut self, cx: &Context<'_>, host: &Name, report: &Report) {
        if cx.shared.view.get(host).is_none() {
            cx.shared.counters.increment(Counter::MessagesRefused);
            return;
        }
        let first = self.schedule.first_open(cx.now);
        let last = self.schedule.window_at(cx.now) + 1;
        self.collector.merge(host, report.clone(), first, last);
    }

    /// Sends the request that is due for the duty.
    fn poll(&mut self, cx: &mut Context<'_>, rank: usize) {
        let identity = &cx.shared.identity;
        let keeper = self.keeper.get_or_insert_with(|| {
            let (host, incarnation) = (identity.host.clone(), identity.incarnation);
            Keeper::new(host, incarnation, self.schedule, self.lease)
        });
        let (schedule, collector, view) = (self.schedule, &self.collector, &cx.shared.view);
        let counts = |window: u64| -> (Counts, bool) {
            let hosts = view.live().map(|member| &member.host);
            let is_complete = collector.is_complete(schedule.end(window), hosts);
            (collector.sum(window), is_complete)
        };
        if let Some(request) = keeper.poll(cx.now, rank, counts) {
            cx.act(Action::Duty(request));
        }
    }

    /// Handles a reply of the platform.
    fn on_reply(&mut self, cx: &mut Context<'_>, reply: &Reply) {
        let counter = match reply {
            Reply::Fenced => Some(Counter::UsageFenced),
            Reply::Throttled => Some(Counter::UsageThrottled),
            _ => None,
        };
        if let Some(counter) = counter {
            cx.shared.counters.increment(counter);
        }
        let Some(keeper) = &mut self.keeper else {
            return;
        };
        match keeper.handle(cx.now, reply.clone()) {
            Transition::None => {}
            Transition::Taken(token) => {
                cx.shared.counters.increment(Counter::DutiesTaken);
                cx.log_event(LogEvent::DutyTaken, DUTY, format!("token {token}"));
            }
            Transition::Lost(token) => {
                cx.shared.counters.increment(Counter::DutiesLost);
                cx.log_event(LogEvent::DutyLost, DUTY, format!("token {token}"));
            }
            Transition::HandedIn(window) => {
                cx.shared.counters.increment(Counter::UsageHandedIn);
                let token = keeper.token().unwrap_or_default();
                let after = cx.now.since(self.schedule.end(window)).as_millis();
                let detail = format!("token {token}, {after} ms after its end");
                cx.log_event(LogEvent::UsageHandedIn, window, detail);
            }
        }
    }
}

/// Nodes that collect counts, the preferred one first.
fn candidates(view: &View) -> Vec<Member> {
    let mut ranked: Vec<(u64, &Member)> = view
        .live()
        .map(|member| (name::rendezvous(CANDIDATE_KEY, &member.host), member))
        .collect();
    ranked.sort_unstable_by(|(a, first), (b, second)| (b, &second.host).cmp(&(a, &first.host)));
    let mut domains: Vec<&Name> = Vec::new();
    let (apart, together): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|(_, member)| {
        let Err(index) = domains.binary_search(&&member.failure_domain) else {
            return false;
        };
        domains.insert(index, &member.failure_domain);
        true
    });
    let chosen = apart.into_iter().chain(together).take(CANDIDATES);
    chosen.map(|(_, member)| member.clone()).collect()
}
