//! Moves that operators order with a window of seconds.
//!
//! The share of the new version follows a schedule over the window: it stays small for most of the
//! window, so that a fault is detected before it affects many calls, and then rises quickly. Two
//! evaluators, chosen by [`super::evaluator`], compare the versions using the owners' counts and
//! broadcast their findings. A node raises the share only while it receives findings without a
//! fault, and drops it to zero on the first report of a fault; this needs no leader. The evaluators
//! publish how the move ended, the second one only if the first one does not.

use std::ops::ControlFlow;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::intent::FULL_SHARE;
use crate::config::order::{Decision, Move, Orders, Phase};
use crate::config::position::Position;
use crate::counter::Counter;
use crate::kernel::{Action, Context, Event, Plugin, PublishOutcome, Registry, TICK_INTERVAL};
use crate::log_event::LogEvent;
use crate::membership::member::{BackendServer, Member};
use crate::name::Name;
use crate::rpc::message::Message;

use super::evaluator;
use super::evidence::{Report, Tally};
use super::exposure::{Bound, FIRST_SHARE, Schedule};
use super::trial::{Conclusion, Trial};

/// Interval at which an evaluator broadcasts findings and an owner sends counts; about a third of the
/// time for which a finding permits a raised share.
const FINDING_INTERVAL: Duration = Duration::from_millis(400);

/// Time that each owner of a service adds to the interval of the owners' counts at a raised share, so
/// that an evaluator receives at most a hundred reports per second.
const REPORT_SPACING: Duration = Duration::from_millis(10);

/// Interval between attempts to publish a decision; an append takes about 10 ms.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(400);

/// Time that an evaluator waits for each evaluator ranked before it to publish a decision.
const HEAD_START: Duration = Duration::from_millis(500);

/// Time for which evaluators keep broadcasting that a move has ended, for nodes that have not
/// received it otherwise.
const ENDED_BROADCAST_PERIOD: Duration = Duration::from_secs(5);

/// Interval at which reads of published decisions are requested while a move is open; a read itself
/// waits far longer for new ones.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which an evaluator logs the counts of both versions while the share is raised.
const EVIDENCE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Adds the plug-in to a kernel. A version that is not proven receives at most `bound` calls.
pub fn register(registry: &mut Registry, bound: Bound) {
    registry.add(Cutover {
        bound,
        states: Vec::new(),
        read_at: Time::default(),
    });
}

/// Result of an evaluator's comparison, broadcast to all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Service whose traffic is moved.
    #[serde(rename = "s")]
    pub service: Name,
    /// Position of the order in its topic, which identifies the move.
    #[serde(rename = "o")]
    pub order: Position,
    /// Time since the move started in milliseconds, by the evaluator's clock.
    #[serde(rename = "t")]
    pub elapsed_ms: u64,
    /// Phase of the move; `Running` is sent only while no fault is found.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Largest share of the new version, in thousandths, that the evaluator permits while the move
    /// runs.
    #[serde(rename = "m", default = "full_share")]
    pub max_share: u16,
    /// Whether the evaluator found the new version sound at a full share.
    #[serde(rename = "v", default)]
    pub is_proven: bool,
}

/// Share that a finding permits if it names none.
const fn full_share() -> u16 {
    FULL_SHARE
}

/// Plug-in that carries out ordered moves.
#[derive(Debug)]
pub struct Cutover {
    /// Largest number of calls of a version that is not proven.
    bound: Bound,
    /// Moves whose end is not published, or that ended within [`ENDED_BROADCAST_PERIOD`].
    states: Vec<MoveState>,
    /// When published decisions were last read.
    read_at: Time,
}

/// State of one move on this node.
#[derive(Debug)]
struct MoveState {
    /// Service whose traffic is moved.
    service: Name,
    /// Version that it moves to.
    version: Name,
    /// Position of the order in its topic.
    order: Position,
    /// Counts and permissions that decide on the share; without counts unless this node is an
    /// evaluator.
    trial: Trial,
    /// When this node last broadcast its finding.
    broadcast_at: Time,
    /// When this node last tried to publish.
    published_at: Time,
    /// When this node first saw the move as ended.
    ended_at: Option<Time>,
    /// When this node last sent its owner's counts.
    reported_at: Time,
    /// Calls that this node last reported.
    reported_calls: u64,
    /// When this node last logged the counts of both versions.
    logged_at: Time,
}

impl MoveState {
    /// State of a newly seen move.
    fn new(entry: &Move) -> Self {
        Self {
            service: entry.service.clone(),
            version: entry.version.clone(),
            order: entry.order,
            trial: Trial::default(),
            broadcast_at: Time::default(),
            published_at: Time::default(),
            ended_at: None,
            reported_at: Time::default(),
            reported_calls: 0,
            logged_at: Time::default(),
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
            Event::EvidenceCollected(report) => self.report_counts(cx, report),
            Event::Received { from, messages } | Event::Replied { from, messages } => {
                for message in messages {
                    self.receive(cx, from, message);
                }
            }
            Event::Published(PublishOutcome::Done(decision)) => {
                cx.shared
                    .orders
                    .apply_decisions(std::slice::from_ref(decision));
                cx.act(Action::RebuildTable);
            }
            Event::Published(PublishOutcome::Failed(reason)) => {
                cx.log_event(LogEvent::DecisionFailed, "", reason);
            }
            _ => {}
        }
    }
}

impl Cutover {
    /// Synchronizes the tracked moves with the orders and advances each.
    fn tick(&mut self, cx: &mut Context<'_>) {
        self.sync_states(cx);
        // A decision is accepted only from a node that has read the topic to its end, so an
        // evaluator reads the topic itself.
        let reads = |state: &MoveState| {
            !cx.shared.is_following || evaluator_index(cx, &state.service, &state.version).is_some()
        };
        let mut open = self.states.iter().filter(|state| state.ended_at.is_none());
        if open.any(reads) && cx.now.since(self.read_at) >= READ_INTERVAL {
            self.read_at = cx.now;
            cx.act(Action::ReadDecisions);
        }
        self.request_counts(cx);
        let mut is_stale = false;
        for state in &mut self.states {
            let Some(entry) = cx.shared.orders.find_move(&state.service).cloned() else {
                continue;
            };
            is_stale |= match entry.phase {
                Phase::Running => advance(cx, state, &entry, self.bound),
                Phase::Completed | Phase::RolledBack => handle_ended(cx, state, &entry),
            };
        }
        if is_stale {
            cx.act(Action::RebuildTable);
        }
    }

    /// Drops the state of moves that are over and adds state for newly opened ones. A move whose order
    /// was written again after a restore of the log keeps its state.
    fn sync_states(&mut self, cx: &mut Context<'_>) {
        for state in &mut self.states {
            let Some(entry) = cx.shared.orders.find_move(&state.service).cloned() else {
                continue;
            };
            if !entry.is_of(state.order) {
                continue;
            }
            state.order = entry.order;
            if entry.phase != Phase::Running {
                log_end(cx, state, &entry);
            }
        }
        let orders = &cx.shared.orders;
        self.states.retain(|state| {
            let entry = orders.find_move(&state.service);
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

    /// Requests the local backend server's counts when they are due at a raised share.
    fn request_counts(&self, cx: &mut Context<'_>) {
        let Some(server) = &cx.shared.member.backend_server else {
            return;
        };
        let mut states = self.states.iter();
        let Some(state) = states.find(|state| state.service == server.service) else {
            return;
        };
        let age = cx.now.since(state.reported_at);
        if raised_interval(cx, state).is_some_and(|interval| age >= interval) {
            cx.act(Action::CollectEvidence);
        }
    }

    /// Sends the local backend server's counts to the evaluators of its service's move.
    fn report_counts(&mut self, cx: &mut Context<'_>, report: &Report) {
        let Some(state) = self.states.iter_mut().find(|s| s.service == report.service) else {
            return;
        };
        let age = cx.now.since(state.reported_at);
        let calls = report.routes.iter().map(Tally::ended).sum();
        let is_unchanged = calls == state.reported_calls && age < FINDING_INTERVAL;
        if is_unchanged || age < raised_interval(cx, state).unwrap_or(FINDING_INTERVAL) {
            return;
        }
        state.reported_at = cx.now;
        state.reported_calls = calls;
        let evaluators = evaluators(cx, &state.service, &state.version);
        let members: Vec<Member> = evaluators.cloned().collect();
        for evaluator in members {
            if evaluator.host == cx.shared.identity.host {
                record_report(cx, state, report);
            } else {
                cx.send(&evaluator, vec![Message::Evidence(report.clone())]);
            }
        }
    }

    /// Handles counts from owners and findings from evaluators.
    fn receive(&mut self, cx: &mut Context<'_>, from: &Name, message: &Message) {
        match message {
            Message::Evidence(report) if report.is_valid() => {
                if let Some(state) = self.states.iter_mut().find(|s| s.service == report.service) {
                    record_report(cx, state, report);
                }
            }
            Message::Finding(finding) => self.apply_finding(cx, from, finding),
            _ => {}
        }
    }

    /// Applies an evaluator's finding.
    fn apply_finding(&mut self, cx: &mut Context<'_>, from: &Name, finding: &Finding) {
        let mut moves = cx.shared.orders.moves().iter();
        let Some(order) = moves
            .find(|entry| entry.is_of(finding.order))
            .map(|entry| entry.order)
        else {
            return;
        };
        let is_same = |state: &&mut MoveState| state.order == order;
        let Some(state) = self.states.iter_mut().find(is_same) else {
            return;
        };
        if finding.phase != Phase::Running {
            let (service, phase) = (&finding.service, finding.phase);
            if cx.shared.orders.end_move(service, finding.order, phase) {
                if phase == Phase::RolledBack {
                    cx.shared.counters.increment(Counter::Quarantines);
                }
                cx.log_event(
                    LogEvent::MoveEnded,
                    service,
                    format!("{phase:?}, reported by an evaluator"),
                );
                cx.act(Action::RebuildTable);
            }
            return;
        }
        state.trial.permit(from, finding.max_share, cx.now);
        if finding.is_proven {
            state.trial.accept_proof(cx.now);
        }
        let started = cx.now - Duration::from_millis(finding.elapsed_ms);
        let entries = cx.shared.orders.moves_mut().iter_mut();
        if let Some(entry) = entries.into_iter().find(|entry| entry.order == order) {
            entry.started = entry.started.min(started);
        }
    }
}

/// Whether no final decision about the move is published yet, or it was lost by the log.
fn is_open(orders: &Orders, entry: &Move) -> bool {
    let decision = orders.decision(&entry.service);
    !decision.is_some_and(|d| d.order == entry.order && d.phase != Phase::Running)
}

/// Evaluators of the move of a service to a version, in order of rank. They stay the same when the
/// order is written again, since they hold the counts of the move.
fn evaluators<'a>(
    cx: &'a Context<'_>,
    service: &Name,
    version: &Name,
) -> impl Iterator<Item = &'a Member> + use<'a> {
    evaluator::select(&cx.shared.view, &format!("move-{service}-{version}")).into_iter()
}

/// Rank of this node among the evaluators of a move, if it is one.
fn evaluator_index(cx: &Context<'_>, service: &Name, version: &Name) -> Option<usize> {
    evaluators(cx, service, version).position(|member| member.host == cx.shared.identity.host)
}

/// Interval at which this node's owner sends its counts while the share is raised, when late counts
/// prolong a fault the most; `None` at the first share.
fn raised_interval(cx: &Context<'_>, state: &MoveState) -> Option<Duration> {
    let shared = &cx.shared;
    let entry = shared.orders.find_move(&state.service)?;
    if entry.phase != Phase::Running || entry.share <= FIRST_SHARE {
        return None;
    }
    let servers = shared.view.live().filter_map(|m| m.backend_server.as_ref());
    let owners = servers
        .filter(|server| server.service == state.service)
        .count();
    Some((REPORT_SPACING * owners as u32).clamp(TICK_INTERVAL, FINDING_INTERVAL))
}

/// Adds an owner's counts to the comparison of a move's versions.
fn record_report(cx: &Context<'_>, state: &mut MoveState, report: &Report) {
    if let Some(entry) = cx.shared.orders.find_move(&state.service) {
        let part = elapsed_part(entry, cx.now);
        let is_new = entry.version == report.version;
        state.trial.record_report(report, is_new, part, cx.now);
    }
}

/// Elapsed part of a move's window in thousandths.
fn elapsed_part(entry: &Move, now: Time) -> u64 {
    let elapsed = now.since(entry.started).as_millis();
    (elapsed * 1_000 / entry.window.as_millis().max(1)) as u64
}

/// Number of backend servers of a move's new version that accept new calls.
fn servers(cx: &Context<'_>, entry: &Move) -> usize {
    let out = cx.shared.orders.domains_out();
    let live = cx.shared.view.live();
    let usable = live.filter(|member| out.binary_search(&member.failure_domain).is_err());
    let servers = usable.filter_map(|member| member.backend_server.as_ref());
    let is_new = |server: &&BackendServer| {
        server.service == entry.service && server.version == entry.version && !server.is_draining
    };
    servers.filter(is_new).count()
}

/// Advances a running move; returns whether routing changed.
fn advance(cx: &mut Context<'_>, state: &mut MoveState, entry: &Move, bound: Bound) -> bool {
    let part = elapsed_part(entry, cx.now);
    let schedule = Schedule::new(servers(cx, entry));
    let rank = evaluator_index(cx, &entry.service, &entry.version);
    if let Some(rank) = rank
        && evaluate(cx, state, entry, rank, (&schedule, bound)).is_break()
    {
        return true;
    }
    let share = state.trial.share(part, &schedule, cx.now);
    if share == entry.share {
        return false;
    }
    if rank.is_some() {
        log_evidence(cx, state, entry);
    }
    cx.shared.counters.increment(Counter::StepsTaken);
    let detail = format!(
        "{} at share {share} of 1000, order {}",
        entry.version, entry.order
    );
    cx.log_event(LogEvent::MoveStep, &entry.service, detail);
    let entries = cx.shared.orders.moves_mut();
    if let Some(current) = entries
        .iter_mut()
        .find(|current| current.order == entry.order)
    {
        current.share = share;
    }
    cx.shared.orders.bump_revision();
    true
}

/// Logs the end of a move when this node first sees it, and returns when that was.
fn log_end(cx: &mut Context<'_>, state: &mut MoveState, entry: &Move) -> Time {
    if let Some(ended_at) = state.ended_at {
        return ended_at;
    }
    state.ended_at = Some(cx.now);
    let (version, phase, order) = (&entry.version, entry.phase, entry.order);
    let detail = format!("{version}: {phase:?}, order {order}");
    cx.log_event(LogEvent::MoveEnded, &entry.service, detail);
    if evaluator_index(cx, &entry.service, version).is_some() {
        log_evidence(cx, state, entry);
    }
    cx.now
}

/// Logs the counts of both versions of a move.
fn log_evidence(cx: &mut Context<'_>, state: &mut MoveState, entry: &Move) {
    state.logged_at = cx.now;
    let (version, share) = (&entry.version, entry.share);
    let summary = state.trial.comparison.summary();
    let detail = format!("{version} at share {share} of 1000: {summary}");
    cx.log_event(LogEvent::MoveEvidence, &entry.service, detail);
}

/// Evaluates a running move as the evaluator of this rank, and tells the other nodes. Breaks if the
/// move ends.
fn evaluate(
    cx: &mut Context<'_>,
    state: &mut MoveState,
    entry: &Move,
    rank: usize,
    (schedule, bound): (&Schedule, Bound),
) -> ControlFlow<()> {
    let part = elapsed_part(entry, cx.now);
    let max_share = match state.trial.conclude(part, schedule, bound, cx.now) {
        Conclusion::RollBack(reason) => {
            cx.shared.counters.increment(Counter::Accusations);
            let detail = format!("{} rolled back: {reason}", entry.version);
            cx.log_event(LogEvent::MoveFault, &entry.service, detail);
            roll_back(cx, state, entry);
            return ControlFlow::Break(());
        }
        Conclusion::Permit(max_share) => max_share,
        Conclusion::Complete => FULL_SHARE,
    };
    let is_lowered = max_share < state.trial.permitted_share(cx.now);
    let host = cx.shared.identity.host.clone();
    state.trial.permit(&host, max_share, cx.now);
    if is_lowered || cx.now.since(state.broadcast_at) >= FINDING_INTERVAL {
        state.broadcast_at = cx.now;
        broadcast(cx, entry, max_share, state.trial.is_proven());
    }
    if entry.share > FIRST_SHARE {
        state.trial.comparison.assume_warm();
        if cx.now.since(state.logged_at) >= EVIDENCE_LOG_INTERVAL {
            log_evidence(cx, state, entry);
        }
    }
    if state.trial.may_complete(HEAD_START * rank as u32, cx.now) {
        publish(cx, state, entry, Phase::Completed);
    }
    ControlFlow::Continue(())
}

/// Ends a move on this node and tells the others at once.
fn roll_back(cx: &mut Context<'_>, state: &mut MoveState, entry: &Move) {
    let phase = Phase::RolledBack;
    cx.shared
        .orders
        .end_move(&entry.service, entry.order, phase);
    state.broadcast_at = cx.now;
    let ended = Move {
        phase,
        ..entry.clone()
    };
    broadcast(cx, &ended, 0, false);
}

/// Broadcasts and publishes how a move ended. Never changes routing, so it returns `false`.
fn handle_ended(cx: &mut Context<'_>, state: &mut MoveState, entry: &Move) -> bool {
    let ended_at = log_end(cx, state, entry);
    let Some(index) = evaluator_index(cx, &entry.service, &entry.version) else {
        return false;
    };
    if cx.now.since(state.broadcast_at) >= FINDING_INTERVAL {
        state.broadcast_at = cx.now;
        broadcast(cx, entry, FULL_SHARE, false);
    }
    if is_open(&cx.shared.orders, entry) && cx.now.since(ended_at) >= HEAD_START * index as u32 {
        publish(cx, state, entry, entry.phase);
    }
    false
}

/// Sends this evaluator's finding to every live node.
fn broadcast(cx: &mut Context<'_>, entry: &Move, max_share: u16, is_proven: bool) {
    let finding = Finding {
        service: entry.service.clone(),
        order: entry.order,
        elapsed_ms: cx.now.since(entry.started).as_millis() as u64,
        phase: entry.phase,
        max_share,
        is_proven,
    };
    cx.broadcast(&Message::Finding(finding));
}

/// Publishes how a move ended, at most once per [`PUBLISH_INTERVAL`]; the caller repeats this until
/// the decision is known to be published.
fn publish(cx: &mut Context<'_>, state: &mut MoveState, entry: &Move, phase: Phase) {
    if cx.now.since(state.published_at) < PUBLISH_INTERVAL {
        return;
    }
    state.published_at = cx.now;
    cx.shared.counters.increment(match phase {
        Phase::Completed => Counter::MovesDone,
        Phase::Running | Phase::RolledBack => Counter::MovesRolledBack,
    });
    cx.act(Action::Publish(Decision {
        service: entry.service.clone(),
        version: entry.version.clone(),
        order: entry.order,
        phase,
        faulty: cx.shared.orders.faulty(&entry.service),
    }));
}
