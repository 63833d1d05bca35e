//! Plug-in that reports the counts of this node and, on a candidate, sums and hands in those of all.
//!
//! Every node sends its counts to each candidate, twice a window and while it stops, and to one that was
//! just chosen at once. A candidate that stops or has no access to the record says so in its reply, and
//! the sender chooses others beside it.

use std::time::Duration;

use crossbeam::channel::Receiver;

use super::Counts;
use super::candidate::{self, Impediment, Impediments};
use super::collector::{Collector, Report};
use super::duty::{Keeper, Reply, Transition};
use super::handover::Handover;
use super::meter::{Change, Tally};
use super::schedule::Schedule;
use crate::clock::Time;
use crate::counter::Counter;
use crate::kernel::{Action, Context, Event, Plugin, Registry};
use crate::log_event::LogEvent;
use crate::membership::member::Member;
use crate::name::{self, Name};
use crate::rpc::message::Message;

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
        reported: Vec::new(),
        impediments: Impediments::default(),
        handover: Handover::default(),
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
    /// Hosts and incarnations of the candidates that the counts were sent to in this slot.
    reported: Vec<(Name, u64)>,
    /// Nodes known to be impeded.
    impediments: Impediments,
    /// Counts of lifetimes that ended, as passed on to other candidates.
    handover: Handover,
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
                    self.receive(cx, from, message);
                }
            }
            Event::Replied { from, messages } => {
                for message in messages {
                    if let Message::UsageImpeded(impediment) = message {
                        self.impede(cx, from, *impediment);
                    }
                }
            }
            Event::Unreachable { host, .. }
                if self.reported.iter().any(|(reported, _)| reported == host) =>
            {
                self.handover.forget(host);
                self.impede(cx, host, Impediment::Detached);
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
        self.impediments.prune(cx.now);
        let candidates = candidate::choose(&cx.shared.view, &self.impediments);
        self.report(cx, &candidates);
        self.hand_over(cx, &candidates);
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
        if slot != self.slot {
            self.slot = slot;
            self.reported.clear();
        }
        for candidate in candidates {
            let key = (candidate.host.clone(), candidate.incarnation);
            if self.reported.contains(&key) {
                continue;
            }
            self.reported.push(key);
            let report = Report {
                incarnation: cx.shared.identity.incarnation,
                at: cx.now,
                windows: self.tally.windows.clone(),
            };
            if candidate.host == host {
                self.collect(cx, &host, report);
            } else {
                cx.send(candidate, vec![Message::Usage(report)]);
            }
        }
    }

    /// Passes the counts of lifetimes that ended on to candidates that may not have them.
    fn hand_over(&mut self, cx: &mut Context<'_>, candidates: &[Member]) {
        self.handover.prune(candidates, &self.collector);
        let local_host = cx.shared.identity.host.clone();
        for candidate in candidates.iter().filter(|m| m.host != local_host) {
            let view = &cx.shared.view;
            let reports = self.handover.next(candidate, &self.collector, view);
            if !reports.is_empty() {
                cx.send(candidate, vec![Message::PastUsage(reports)]);
            }
        }
    }

    /// Handles a message of another node.
    fn receive(&mut self, cx: &mut Context<'_>, from: &Name, message: &Message) {
        match message {
            Message::Usage(report) => {
                if cx.shared.view.get(from).is_none() {
                    cx.shared.counters.increment(Counter::MessagesRefused);
                    return;
                }
                self.collect(cx, from, report.clone());
                if let Some(impediment) = self.impediment(cx) {
                    cx.act(Action::Reply(vec![Message::UsageImpeded(impediment)]));
                }
            }
            Message::PastUsage(reports) => {
                for (host, report) in reports {
                    self.collect(cx, host, report.clone());
                }
            }
            _ => {}
        }
    }

    /// Why this node can't do the duty, if so.
    fn impediment(&self, cx: &Context<'_>) -> Option<Impediment> {
        if cx.shared.is_stopping {
            return Some(Impediment::Gone);
        }
        let keeper = self.keeper.as_ref()?;
        keeper.is_detached(cx.now).then_some(Impediment::Detached)
    }

    /// Notes that a member can't do the duty.
    fn impede(&mut self, cx: &mut Context<'_>, host: &str, impediment: Impediment) {
        let Some(member) = cx.shared.view.get(host).cloned() else {
            return;
        };
        if self.impediments.get(&member) != Some(impediment) {
            cx.shared.counters.increment(Counter::UsageImpeded);
            cx.log_event(LogEvent::UsageImpeded, host, format!("{impediment:?}"));
        }
        let period = match impediment {
            Impediment::Gone => self.schedule.window + self.schedule.late,
            Impediment::Detached => self.schedule.window,
        };
        self.impediments.add(&member, impediment, cx.now, period);
    }

    /// Collects a report.
    fn collect(&mut self, cx: &Context<'_>, host: &Name, report: Report) {
        let first = self.schedule.first_open(cx.now);
        let last = self.schedule.window_at(cx.now) + 1;
        self.collector.merge(host, report, first, last);
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
        if self.impediment(cx) == Some(Impediment::Detached) {
            let host = cx.shared.identity.host.clone();
            self.impede(cx, &host, Impediment::Detached);
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
        let transition = keeper.handle(cx.now, reply.clone());
        cx.shared.duty = keeper.standing(cx.now);
        match transition {
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
