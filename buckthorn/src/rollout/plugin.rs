//! Kernel plug-in that carries out moves recorded in the log.
//!
//! Owners send their reports to the lease holder and to the move's evaluators while a move affects
//! their service. The holder appends its decisions as steps, with at most one append in flight per
//! move. After an append whose outcome is unknown it decides again from the folded state, where a
//! repeated step is harmless. Evaluators raise accusations, which every node forwards once;
//! remaining differences are repaired through the digest in pings.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;

use crate::clock::Time;
use crate::config::intent::{FULL_SHARE, Intent, Move, Phase};
use crate::counter::Counter;
use crate::journal::record::{self, Body, Step};
use crate::kernel::{Action, Context, Event, Plugin, Registry};
use crate::log::AppendOutcome;
use crate::log_event::LogEvent;
use crate::membership::member::Member;
use crate::name::Name;
use crate::rpc::message::Message;

use super::controller::{self, Decision, Fleet};
use super::evaluation::Evaluation;
use super::evaluator;
use super::evidence::Report;
use super::quarantine::Accusation;

/// Interval between an owner's reports to the lease holder and the evaluators.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time before a move's start from which owners report.
pub const REPORT_LEAD: Duration = Duration::from_secs(60);

/// Time without a reply after which an append counts as lost.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after an append, which ends early once the fold shows the step.
pub const APPEND_PAUSE: Duration = Duration::from_secs(1);

/// Number of peers to which a new accusation is forwarded.
pub const FANOUT: usize = 4;

/// Number of reports that repeat a changed route, to tolerate lost messages.
pub const CHANGE_REPEATS: usize = 4;

/// Interval, in reports, at which one contains all routes.
pub const FULL_REPORT_PERIOD: u64 = 8;

/// Adds the plug-in to a kernel.
pub fn register(registry: &mut Registry) {
    registry.add(Rollout::default());
}

/// Plug-in that moves traffic between versions.
#[derive(Debug, Default)]
pub struct Rollout {
    /// Evaluations of the moves that this node evaluates, sorted by move identifier.
    evaluations: Vec<Evaluation>,
    /// Appends in flight, and pauses after completed ones.
    pending: Vec<Pending>,
    /// Latest reports of the local owner, oldest first, at most [`CHANGE_REPEATS`].
    recent_reports: VecDeque<Report>,
    /// Hosts that received the last report.
    targets: Vec<Name>,
    /// Number of reports sent so far.
    report_count: u64,
    /// When the local owner last reported.
    reported_at: Option<Time>,
    /// Number of the last step appended, for unique record identifiers.
    step_number: u64,
}

/// An append in flight, or the pause after it.
#[derive(Clone, Debug)]
struct Pending {
    /// Identifier of the move.
    move_id: Name,
    /// Identifier of the appended record.
    record: Name,
    /// Phase and share that the step leads to.
    goal: (Phase, u16),
    /// When the move may be decided again if it has not reached the goal before.
    retry_at: Time,
}

impl Plugin for Rollout {
    fn name(&self) -> &'static str {
        "rollout"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::EvidenceCollected(report) => self.send_report(cx, report),
            Event::Received { messages, .. } | Event::Replied { messages, .. } => {
                for message in messages {
                    self.receive(cx, message);
                }
            }
            Event::Appended { id, result } => self.appended(cx, id, result),
            _ => {}
        }
    }
}

impl Rollout {
    /// Evaluates the folded moves and, as lease holder, decides about them.
    fn tick(&mut self, cx: &mut Context<'_>) {
        let state = cx.shared.tail.state().clone();
        if cx.shared.quarantine.prune(&state.intent, cx.now) {
            cx.act(Action::RebuildTable);
        }
        self.sync_evaluations(cx, &state.intent);
        self.evaluate(cx, &state.intent);
        self.pending.retain(|pending| {
            let entry = state.intent.find_move(&pending.move_id);
            let is_reached = entry.is_some_and(|m| (m.phase, m.share) == pending.goal);
            cx.now < pending.retry_at && !is_reached
        });
        if cx.shared.is_stopping || !cx.shared.lease_manager.is_holder(&state.lease) {
            return;
        }
        for index in 0..self.evaluations.len() {
            let Some(entry) = state.intent.find_move(&self.evaluations[index].id) else {
                continue;
            };
            if self.pending.iter().any(|p| p.move_id == entry.id) {
                continue;
            }
            let fleet = fleet(cx, &state.intent, entry);
            let decision = controller::decide(entry, &self.evaluations[index], fleet, cx.now);
            if let Decision::Step {
                phase,
                share,
                reason,
            } = decision
                && (!phase.is_active()
                    || entry.phase.is_active()
                    || state.intent.is_startable(entry))
            {
                let step = Step {
                    term: state.lease.term,
                    id: entry.id.clone(),
                    phase,
                    share,
                    reason,
                    at: cx.now,
                };
                self.append(cx, step);
            }
        }
    }

    /// Updates the evaluations of open moves, adds those of newly assigned moves and drops those of
    /// ended moves.
    fn sync_evaluations(&mut self, cx: &Context<'_>, intent: &Intent) {
        self.evaluations.retain(|evaluation| {
            intent
                .find_move(&evaluation.id)
                .is_some_and(|m| !m.phase.is_ended())
        });
        for entry in intent.moves.iter().filter(|m| is_evaluated(m, cx.now)) {
            match self.evaluations.binary_search_by(|e| e.id.cmp(&entry.id)) {
                Ok(index) => {
                    let share = cx.shared.quarantine.effective_share(&entry.id, entry.share);
                    self.evaluations[index].update_share(entry, share, cx.now);
                    self.evaluations[index].exclude_routes(inner_routes(intent, entry));
                }
                Err(index) => {
                    if is_evaluator(cx, &entry.id) {
                        self.evaluations
                            .insert(index, Evaluation::new(entry, cx.now));
                    }
                }
            }
        }
    }

    /// Evaluates complete windows and raises accusations against faulty versions.
    fn evaluate(&mut self, cx: &mut Context<'_>, intent: &Intent) {
        for evaluation in &mut self.evaluations {
            let view = &cx.shared.view;
            evaluation.retain(|host| view.get(host).is_some_and(Member::is_usable));
            if !evaluation.close_window(cx.now) {
                continue;
            }
            let Some(entry) = intent.find_move(&evaluation.id) else {
                continue;
            };
            let fleet = fleet(cx, intent, entry);
            let Some((degree, reason)) = evaluation.accusation(fleet.new == 1, cx.now) else {
                continue;
            };
            let local_host = cx.shared.identity.host.clone();
            let is_known = cx
                .shared
                .quarantine
                .for_move(&entry.id)
                .any(|a| a.host == local_host && a.degree >= degree);
            if fleet.old == 0 || is_known {
                continue;
            }
            let is_alone = !cx.shared.view.live().any(|m| m.host != local_host);
            let accusation = Accusation {
                id: entry.id.clone(),
                host: local_host,
                degree,
                reason,
                at: cx.now,
                seen: entry.changed,
            };
            cx.shared.counters.increment(Counter::Accusations);
            merge_accusations(cx, &[accusation], is_alone);
        }
    }

    /// Appends a step to the log.
    fn append(&mut self, cx: &mut Context<'_>, step: Step) {
        let identity = &cx.shared.identity;
        self.step_number += 1;
        let id: Name = format!(
            "step-{}-{:x}-{}",
            identity.host, identity.incarnation, self.step_number
        )
        .into();
        cx.shared.counters.increment(match step.phase {
            Phase::Holding => Counter::MovesHeld,
            Phase::Done => Counter::MovesDone,
            Phase::RolledBack => Counter::MovesRolledBack,
            _ => Counter::StepsTaken,
        });
        let detail = format!("{} at {}: {}", step.phase, step.share, step.reason);
        cx.log_event(LogEvent::MoveStep, &step.id, detail);
        self.pending.push(Pending {
            move_id: step.id.clone(),
            record: id.clone(),
            goal: (step.phase, step.share),
            retry_at: cx.now + APPEND_TIMEOUT,
        });
        cx.act(Action::Append {
            stream: record::CONFIG_STREAM,
            id,
            payload: record::encode(Body::Step(step)),
        });
    }

    /// Handles the outcome of an append.
    ///
    /// The move is decided again once the fold shows the step, at the latest after
    /// [`APPEND_PAUSE`]. After a refused append it waits for the whole pause.
    fn appended(&mut self, cx: &Context<'_>, id: &Name, result: &AppendOutcome) {
        let Some(pending) = self.pending.iter_mut().find(|p| p.record == *id) else {
            return;
        };
        if !matches!(result, AppendOutcome::Done { .. }) {
            cx.shared.counters.increment(Counter::LogAppendFailures);
        }
        pending.retry_at = cx.now + APPEND_PAUSE;
    }

    /// Sends the local owner's report to the lease holder and the evaluators when it is due.
    fn send_report(&mut self, cx: &mut Context<'_>, report: &Report) {
        let is_due = self
            .reported_at
            .is_none_or(|at| cx.now.since(at) >= REPORT_INTERVAL);
        if !is_due {
            return;
        }
        let state = cx.shared.tail.state().clone();
        let mut targets: Vec<Member> = Vec::new();
        for entry in state.intent.moves.iter().filter(|m| concerns(m, report)) {
            if !is_reported(entry, cx.now) {
                continue;
            }
            let holder = state.lease.holder.as_ref();
            let holder = holder.and_then(|host| cx.shared.view.get(host));
            targets.extend(holder.filter(|m| m.is_usable()).cloned());
            let evaluators = evaluator::select(&cx.shared.view, &entry.id);
            targets.extend(evaluators.into_iter().cloned());
        }
        if targets.is_empty() {
            return;
        }
        self.reported_at = Some(cx.now);
        targets.sort_by(|a, b| a.host.cmp(&b.host));
        targets.dedup_by(|a, b| a.host == b.host);
        let reduced = self.reduce_report(report);
        for target in &targets {
            let is_known = self.targets.contains(&target.host);
            let report = if is_known { &reduced } else { report };
            if target.host == cx.shared.identity.host {
                self.record_report(cx, report);
            } else {
                cx.send(target, vec![Message::Evidence(report.clone())]);
            }
        }
        self.targets = targets.into_iter().map(|m| m.host).collect();
    }

    /// Copy of a report without the routes that are unchanged since the oldest recent report. Every
    /// [`FULL_REPORT_PERIOD`]th report stays complete.
    fn reduce_report(&mut self, report: &Report) -> Report {
        let mut reduced = report.clone();
        let is_same_owner = |r: &Report| r.version == report.version && r.service == report.service;
        self.report_count += 1;
        let oldest = self.recent_reports.front().filter(|r| is_same_owner(r));
        if let Some(oldest) =
            oldest.filter(|_| !self.report_count.is_multiple_of(FULL_REPORT_PERIOD))
        {
            reduced
                .routes
                .retain(|tally| !oldest.routes.contains(tally));
            reduced.is_partial = true;
        }
        self.recent_reports.push_back(report.clone());
        if self.recent_reports.len() > CHANGE_REPEATS {
            self.recent_reports.pop_front();
        }
        reduced
    }

    /// Handles a message from another node.
    fn receive(&mut self, cx: &mut Context<'_>, message: &Message) {
        match message {
            Message::Evidence(report) if !report.is_valid() => {
                cx.shared.counters.increment(Counter::MessagesRefused);
            }
            Message::Evidence(report) => self.record_report(cx, report),
            Message::Accusations(accusations) => {
                let (plausible, implausible): (Vec<_>, Vec<_>) = accusations
                    .iter()
                    .cloned()
                    .partition(|accusation| accusation.is_plausible(cx.now));
                let refused = implausible.len() as u64;
                cx.shared.counters.add(Counter::MessagesRefused, refused);
                merge_accusations(cx, &plausible, false);
            }
            _ => {}
        }
    }

    /// Adds an owner's report to the evaluations that it concerns.
    fn record_report(&mut self, cx: &Context<'_>, report: &Report) {
        let state = cx.shared.tail.state();
        for evaluation in &mut self.evaluations {
            let entry = state.intent.find_move(&evaluation.id);
            if entry.is_some_and(|entry| concerns(entry, report)) {
                evaluation.record_report(report, cx.now);
            }
        }
    }
}

/// Merges accusations and forwards new ones to at most [`FANOUT`] random live peers.
fn merge_accusations(cx: &mut Context<'_>, accusations: &[Accusation], is_alone: bool) {
    let state = cx.shared.tail.state().clone();
    let merge = cx
        .shared
        .quarantine
        .merge(accusations, &state.intent, is_alone);
    let counters = &cx.shared.counters;
    counters.add(Counter::MessagesRefused, merge.refused);
    for id in &merge.lowered {
        cx.log_event(
            LogEvent::MoveFault,
            id,
            "share lowered to compare the versions",
        );
        cx.act(Action::RebuildTable);
    }
    for id in &merge.quarantined {
        cx.shared.counters.increment(Counter::Quarantines);
        cx.log_event(LogEvent::MoveFault, id, "new version quarantined");
        cx.act(Action::RebuildTable);
    }
    if merge.added.is_empty() {
        return;
    }
    let local_host = cx.shared.identity.host.clone();
    let mut peers: Vec<Member> = cx
        .shared
        .view
        .live()
        .filter(|m| m.host != local_host)
        .cloned()
        .collect();
    for _ in 0..FANOUT.min(peers.len()) {
        let peer = peers.swap_remove(cx.rng.random_range(0..peers.len()));
        cx.send(&peer, vec![Message::Accusations(merge.added.clone())]);
    }
}

/// Whether owners currently report on a move.
fn is_reported(entry: &Move, now: Time) -> bool {
    entry.phase.is_active() || (entry.phase == Phase::Waiting && now + REPORT_LEAD >= entry.start)
}

/// Routes of a move's service that lie within the move's prefix but are routed separately.
fn inner_routes<'a>(intent: &'a Intent, entry: &'a Move) -> impl Iterator<Item = Name> + 'a {
    let routes = intent.service(&entry.service).into_iter();
    routes
        .flat_map(|service| &service.routes)
        .map(|route| &route.prefix)
        .filter(|prefix| prefix.len() > entry.route.len() && prefix.starts_with(&*entry.route))
        .cloned()
}

/// Whether a move is currently evaluated: while owners report on it, and from
/// [`controller::OBSTACLE_LEAD`] before its start.
fn is_evaluated(entry: &Move, now: Time) -> bool {
    is_reported(entry, now)
        || (entry.phase == Phase::Waiting && now + controller::OBSTACLE_LEAD >= entry.start)
}

/// Whether a report is about one of a move's versions.
fn concerns(entry: &Move, report: &Report) -> bool {
    entry.service == report.service && (entry.from == report.version || entry.to == report.version)
}

/// Whether this node evaluates a move, as lease holder or as a selected evaluator.
fn is_evaluator(cx: &Context<'_>, move_id: &str) -> bool {
    let local_host = &cx.shared.identity.host;
    let lease = &cx.shared.tail.state().lease;
    cx.shared.lease_manager.is_holder(lease)
        || evaluator::select(&cx.shared.view, move_id)
            .iter()
            .any(|member| member.host == *local_host)
}

/// Counts the backend servers of a move's versions that accept calls.
fn fleet(cx: &Context<'_>, intent: &Intent, entry: &Move) -> Fleet {
    let mut fleet = Fleet {
        is_quarantined: cx.shared.quarantine.is_quarantined(&entry.id),
        is_lowered: cx.shared.quarantine.effective_share(&entry.id, FULL_SHARE) < FULL_SHARE,
        ..Fleet::default()
    };
    let usable = cx
        .shared
        .view
        .live()
        .filter(|member| !intent.is_out(&member.failure_domain))
        .filter_map(|member| member.backend_server.as_ref())
        .filter(|server| server.service == entry.service && !server.is_draining);
    for server in usable {
        if server.version == entry.to {
            fleet.new += 1;
            fleet.new_slots += server.slots;
        } else if server.version == entry.from {
            fleet.old += 1;
        }
    }
    fleet
}
