//! Moves that operators order with a window of seconds.
//!
//! The share of the new version follows a schedule over the window: small for most of it, so that a
//! fault shows before many calls meet it, then rising quickly. Two judges, the seats of
//! [`super::evaluator`], compare the versions by the owners' counts and tell every node what they find.
//! A node raises the share only while it hears of a judge that finds nothing wrong, and drops it to
//! zero on the first word of a fault; no node has to lead for that. The judges publish how the move
//! ended, the second only when the first does not.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::order::{Decision, Move, Orders, Phase};
use crate::counter::Counter;
use crate::kernel::{Action, Context, Event, Plugin, Publication, Registry};
use crate::logline::Line;
use crate::membership::member::Member;
use crate::name::Name;
use crate::rpc::message::Message;

use super::comparison::Comparison;
use super::evaluator;
use super::evidence::Report;

/// Interval of a judge's findings; a third of [`FINDING_LIFETIME`].
const FINDING_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a finding allows a share beyond the first; three findings may be lost.
const FINDING_LIFETIME: Duration = Duration::from_millis(1_300);

/// Wait between attempts to publish a decision; an append takes some 10 ms.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(400);

/// Head start of the first judge in publishing a decision.
const HEAD_START: Duration = Duration::from_millis(500);

/// Time for which the judges go on telling that a move has ended, for nodes that do not hear of it
/// otherwise.
const ENDED_BROADCAST_PERIOD: Duration = Duration::from_secs(5);

/// Interval at which published decisions are asked for while a move is open; a read waits for them
/// far longer.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the window, in thousandths, and the share of the new version from there on.
const SCHEDULE: [(u128, u16); 5] = [(0, 30), (650, 80), (750, 250), (820, 500), (880, 1_000)];

/// Part of the window, in thousandths, after which a version without a fault is completed; what is
/// left is for publishing it.
const COMPLETE_AT: u128 = 930;

/// Calls of the new version without which a move is not completed.
const MIN_CALLS: u64 = 15;

/// Registers the plug-in.
pub fn register(registry: &mut Registry) {
    registry.add(Cutover::default());
}

/// What a judge finds in a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Service.
    #[serde(rename = "s")]
    pub service: Name,
    /// Offset of the order.
    #[serde(rename = "o")]
    pub order: u64,
    /// Time since the order in milliseconds, as the judge knows it.
    #[serde(rename = "t")]
    pub elapsed_ms: u64,
    /// How far the move is; a running one is told only while nothing is wrong with it.
    #[serde(rename = "p")]
    pub phase: Phase,
}

/// Moves that this node follows.
#[derive(Debug, Default)]
pub struct Cutover {
    /// Moves whose end is not published, or was a moment ago.
    states: Vec<MoveState>,
    /// When published decisions were last asked for.
    read_at: Time,
}

/// One move as this node sees it.
#[derive(Debug)]
struct MoveState {
    /// Service.
    service: Name,
    /// Offset of the order.
    order: u64,
    /// Counts of both sides, at a judge.
    comparison: Comparison,
    /// When a judge last found nothing wrong.
    clean_at: Option<Time>,
    /// When this node last told its finding.
    broadcast_at: Time,
    /// When this node last tried to publish.
    published_at: Time,
    /// When the move ended in this node's view.
    ended_at: Option<Time>,
    /// When this node last sent its counts.
    reported_at: Time,
}

impl MoveState {
    /// Trial of a move that was just seen.
    fn new(entry: &Move) -> Self {
        Self {
            service: entry.service.clone(),
            order: entry.order,
            comparison: Comparison::default(),
            clean_at: None,
            broadcast_at: Time::default(),
            published_at: Time::default(),
            ended_at: None,
            reported_at: Time::default(),
        }
    }
}

impl Plugin for Cutover {
    fn name(&self) -> &'static str {
        "cutover"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::Observed(report) => self.report_counts(cx, report),
            Event::Received { messages, .. } | Event::Answered { messages, .. } => {
                for message in messages {
                    self.receive(cx, message);
                }
            }
            Event::Published(Publication::Done(decision)) => {
                cx.shared.orders.decide(std::slice::from_ref(decision));
                cx.act(Action::Rebuild);
            }
            Event::Published(Publication::Failed(reason)) => {
                cx.note(Line::DecisionFailed, "", reason);
            }
            _ => {}
        }
    }
}

impl Cutover {
    /// Moves every trial on.
    fn tick(&mut self, cx: &mut Context<'_>) {
        self.sync_states(cx);
        // A judge publishes where the topic of decisions ends, and has to read it for that.
        let reads = |state: &MoveState| {
            !cx.shared.is_following || evaluator_index(cx, state.order).is_some()
        };
        let mut open = self.states.iter().filter(|state| state.ended_at.is_none());
        if open.any(reads) && cx.now.since(self.read_at) >= READ_INTERVAL {
            self.read_at = cx.now;
            cx.act(Action::ReadDecisions);
        }
        let mut is_stale = false;
        for state in &mut self.states {
            let Some(entry) = cx.shared.orders.find(&state.service).cloned() else {
                continue;
            };
            is_stale |= match entry.phase {
                Phase::Running => advance(cx, state, &entry),
                Phase::Completed | Phase::RolledBack => handle_ended(cx, state, &entry),
            };
        }
        if is_stale {
            cx.act(Action::Rebuild);
        }
    }

    /// Keeps a trial for each move whose end is not published.
    fn sync_states(&mut self, cx: &Context<'_>) {
        let orders = &cx.shared.orders;
        self.states.retain(|state| {
            let entry = orders.find(&state.service);
            let entry = entry.filter(|entry| entry.order == state.order);
            let is_recent = state
                .ended_at
                .is_some_and(|at| cx.now.since(at) < ENDED_BROADCAST_PERIOD);
            entry.is_some_and(|entry| is_open(orders, entry) || is_recent)
        });
        for entry in orders.moves().iter().filter(|m| is_open(orders, m)) {
            if !self.states.iter().any(|state| state.order == entry.order) {
                self.states.push(MoveState::new(entry));
            }
        }
    }

    /// Sends the own backend server's counts to the judges of its service's move.
    fn report_counts(&mut self, cx: &mut Context<'_>, report: &Report) {
        let Some(state) = self.states.iter_mut().find(|t| t.service == report.service) else {
            return;
        };
        if cx.now.since(state.reported_at) < FINDING_INTERVAL {
            return;
        }
        state.reported_at = cx.now;
        let members: Vec<Member> = evaluators(cx, state.order).cloned().collect();
        for evaluator in members {
            if evaluator.host == cx.shared.identity.host {
                record_report(cx, state, report);
            } else {
                cx.send(&evaluator, vec![Message::Evidence(report.clone())]);
            }
        }
    }

    /// Takes counts and findings.
    fn receive(&mut self, cx: &mut Context<'_>, message: &Message) {
        match message {
            Message::Evidence(report) if report.is_valid() => {
                if let Some(state) = self.states.iter_mut().find(|t| t.service == report.service) {
                    record_report(cx, state, report);
                }
            }
            Message::Finding(finding) => self.apply_finding(cx, finding),
            _ => {}
        }
    }

    /// Takes over what a judge found.
    fn apply_finding(&mut self, cx: &mut Context<'_>, finding: &Finding) {
        let is_same = |state: &&mut MoveState| state.order == finding.order;
        let Some(state) = self.states.iter_mut().find(is_same) else {
            return;
        };
        if finding.phase != Phase::Running {
            let (service, phase) = (&finding.service, finding.phase);
            if cx.shared.orders.end(service, finding.order, phase) {
                if phase == Phase::RolledBack {
                    cx.shared.counters.hit(Counter::Quarantines);
                }
                cx.note(
                    Line::MoveEnded,
                    service,
                    format!("{phase:?}, as a judge tells"),
                );
                cx.act(Action::Rebuild);
            }
            return;
        }
        state.clean_at = Some(cx.now);
        let started = cx.now - Duration::from_millis(finding.elapsed_ms);
        let entry = cx.shared.orders.moves_mut().iter_mut();
        if let Some(entry) = entry.into_iter().find(|entry| entry.order == finding.order) {
            entry.started = entry.started.min(started);
        }
    }
}

/// Whether the end of a move is not published yet.
fn is_open(orders: &Orders, entry: &Move) -> bool {
    let decision = orders.decision(&entry.service);
    !decision.is_some_and(|d| d.order == entry.order && d.phase != Phase::Running)
}

/// Judges of a move.
fn evaluators<'a>(cx: &'a Context<'_>, order: u64) -> impl Iterator<Item = &'a Member> {
    evaluator::select(&cx.shared.view, &format!("move-{order}")).into_iter()
}

/// Place of this node among the judges of a move.
fn evaluator_index(cx: &Context<'_>, order: u64) -> Option<usize> {
    evaluators(cx, order).position(|member| member.host == cx.shared.identity.host)
}

/// Adds an owner's counts to a comparison.
fn record_report(cx: &Context<'_>, state: &mut MoveState, report: &Report) {
    if let Some(entry) = cx.shared.orders.find(&state.service) {
        let is_new = entry.version == report.version;
        state.comparison.record_report(report, is_new);
    }
}

/// Moves an open move on; returns whether routing changed.
fn advance(cx: &mut Context<'_>, state: &mut MoveState, entry: &Move) -> bool {
    let elapsed = cx.now.since(entry.started);
    let part = elapsed.as_millis() * 1_000 / entry.window.as_millis().max(1);
    let index = evaluator_index(cx, entry.order);
    if index.is_some() {
        if let Some(fault) = state.comparison.fault() {
            cx.shared.counters.hit(Counter::Accusations);
            let detail = format!("{} taken back: {fault}", entry.version);
            cx.note(Line::MoveFault, &entry.service, detail);
            cx.shared
                .orders
                .end(&entry.service, entry.order, Phase::RolledBack);
            return true;
        }
        state.clean_at = Some(cx.now);
        if cx.now.since(state.broadcast_at) >= FINDING_INTERVAL {
            state.broadcast_at = cx.now;
            broadcast(cx, entry);
        }
        let has_evidence = state.comparison.new_calls() >= MIN_CALLS;
        let head_start = HEAD_START * index.unwrap_or(0) as u32;
        let is_due = part >= COMPLETE_AT
            && elapsed >= entry.window.mul_f64(COMPLETE_AT as f64 / 1_000.0) + head_start;
        if has_evidence && is_due {
            publish(cx, state, entry, Phase::Completed);
        }
    }
    let is_clean = state
        .clean_at
        .is_some_and(|at| cx.now.since(at) < FINDING_LIFETIME);
    let share = share(part, is_clean);
    if share == entry.share {
        return false;
    }
    cx.shared.counters.hit(Counter::StepsTaken);
    let detail = format!(
        "{} gets {share} in 1000, order {}",
        entry.version, entry.order
    );
    cx.note(Line::MoveStep, &entry.service, detail);
    let entries = cx.shared.orders.moves_mut();
    if let Some(held) = entries.iter_mut().find(|held| held.order == entry.order) {
        held.share = share;
    }
    cx.shared.orders.touch();
    true
}

/// Tells and publishes that a move has ended.
fn handle_ended(cx: &mut Context<'_>, state: &mut MoveState, entry: &Move) -> bool {
    if state.ended_at.is_none() {
        let detail = format!(
            "{}: {:?}, order {}",
            entry.version, entry.phase, entry.order
        );
        cx.note(Line::MoveEnded, &entry.service, detail);
    }
    let ended_at = *state.ended_at.get_or_insert(cx.now);
    let Some(index) = evaluator_index(cx, entry.order) else {
        return false;
    };
    if cx.now.since(state.broadcast_at) >= FINDING_INTERVAL {
        state.broadcast_at = cx.now;
        broadcast(cx, entry);
    }
    if is_open(&cx.shared.orders, entry) && cx.now.since(ended_at) >= HEAD_START * index as u32 {
        publish(cx, state, entry, entry.phase);
    }
    false
}

/// Share of the new version in thousandths.
fn share(part: u128, is_clean: bool) -> u16 {
    if !is_clean {
        return SCHEDULE[0].1;
    }
    let reached = SCHEDULE.iter().rev().find(|(from, _)| part >= *from);
    reached.map_or(0, |(_, share)| *share)
}

/// Tells every node what this judge finds.
fn broadcast(cx: &mut Context<'_>, entry: &Move) {
    let finding = Finding {
        service: entry.service.clone(),
        order: entry.order,
        elapsed_ms: cx.now.since(entry.started).as_millis() as u64,
        phase: entry.phase,
    };
    let own = cx.shared.identity.host.clone();
    let live = cx.shared.view.live().filter(|member| member.host != own);
    let peers: Vec<Member> = live.cloned().collect();
    for peer in peers {
        cx.send(&peer, vec![Message::Finding(finding.clone())]);
    }
}

/// Publishes how a move ended, again until it is known to be published.
fn publish(cx: &mut Context<'_>, state: &mut MoveState, entry: &Move, phase: Phase) {
    if cx.now.since(state.published_at) < PUBLISH_INTERVAL {
        return;
    }
    state.published_at = cx.now;
    cx.shared.counters.hit(match phase {
        Phase::Completed => Counter::MovesDone,
        Phase::Running | Phase::RolledBack => Counter::MovesTakenBack,
    });
    cx.act(Action::Publish(Decision {
        service: entry.service.clone(),
        version: entry.version.clone(),
        order: entry.order,
        phase,
    }));
}
