//! Runs one move under the product's policy or a baseline, in virtual time.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::change::{Change, Operation};
use buckthorn::config::intent::{self, FULL_SHARE, Move, Phase};
use buckthorn::journal::fold::{Outcome, State};
use buckthorn::journal::record::{self, Body, Claim, Record, Step};
use buckthorn::kernel::TICK_INTERVAL;
use buckthorn::name::Name;
use buckthorn::rollout::controller::{self, Decision, Fleet};
use buckthorn::rollout::evaluation::{Evaluation, Verdict};
use buckthorn::rollout::evidence::Report;
use buckthorn::rollout::plugin::{APPEND_PAUSE, REPORT_INTERVAL};
use buckthorn::rollout::quarantine::{Accusation, Quarantine};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::case::{Case, Kind};
use super::service::{Model, NEW, OLD};

/// When the move is published.
const PUBLISHED: Time = Time::from_secs(1_000);

/// When the move starts.
const START: Time = Time::from_secs(1_030);

/// Longest time for an append to the log.
const MAX_APPEND_DELAY: Duration = Duration::from_millis(200);

/// Time for a step or an accusation to reach every ingress.
const PROPAGATION_DELAY: Duration = Duration::from_millis(400);

/// Time after a fault is detectable from which calls to the new version count as late.
const CONTAINMENT_LIMIT: Duration = Duration::from_secs(2);

/// Time after the deadline at which a run ends even if the move is still active.
const MAX_OVERTIME: Duration = Duration::from_secs(3_000);

/// Number of hosts that evaluate the move.
const EVALUATORS: usize = 3;

/// Policy that decides on the steps of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's controller, evaluation and quarantine.
    Product,
    /// Fixed steps on a timer, rolled back above an error rate.
    Timer,
    /// Fixed steps on a timer, rolled back on bad health reports.
    Health,
}

/// How a move ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Completed with all traffic shifted by the deadline.
    OnTime,
    /// Completed with all traffic shifted only after the deadline.
    Late,
    /// Rolled back or cancelled.
    TakenBack,
    /// Still active at the end of the run.
    Open,
}

/// Measurements of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// How the move ended.
    pub end: End,
    /// Reason of the last step; empty for the baselines.
    pub reason: String,
    /// Expected number of calls of the service from start to deadline.
    pub planned: f64,
    /// Calls harmed by the new version's fault.
    pub harmed: u64,
    /// Calls sent to the new version more than 2 s after its fault was detectable.
    pub late_calls: u64,
    /// Time from when the fault was detectable to the last call on the new version, in seconds;
    /// `None` if there was no such call.
    pub containment: Option<f64>,
    /// Average bytes of evidence per second that one owner sent to one evaluator.
    pub evidence_bytes: f64,
}

/// Runs a case under a policy.
pub fn run(case: &Case, policy: Policy) -> RunResult {
    match policy {
        Policy::Product => ProductRun::new(case).run(),
        Policy::Timer | Policy::Health => run_baseline(case, policy),
    }
}

/// Returns the seconds since the move's start, negative before it.
fn seconds(now: Time) -> f64 {
    (now.0 as f64 - START.0 as f64) / 1e6
}

/// Returns the deadline of a case.
fn deadline(case: &Case) -> Time {
    START + Duration::from_secs_f64(case.length)
}

/// State of a run under the product's policy.
struct ProductRun<'a> {
    /// Parameters of the move.
    case: &'a Case,
    /// Model of the service.
    model: Model<'a>,
    /// Random numbers for delays, losses and restarts.
    rng: ChaCha8Rng,
    /// Current virtual time.
    now: Time,
    /// State folded from the log.
    state: State,
    /// Identifier of the move.
    id: Name,
    /// Evaluations by evaluator; the first evaluator also holds the lease.
    evaluations: Vec<Evaluation>,
    /// Evaluation that receives every report without delay or loss.
    ideal_evaluation: Evaluation,
    /// Quarantine as held by every node.
    quarantine: Quarantine,
    /// Reports in transit: arrival time, evaluator, report.
    pending_reports: Vec<(Time, usize, Report)>,
    /// Accusations in transit with their arrival times.
    pending_accusations: Vec<(Time, Accusation)>,
    /// Step being appended, and when the append completes.
    pending_append: Option<(Time, Step)>,
    /// Time before which the holder takes no decision, after a failed append.
    paused_until: Time,
    /// Shares in transit to the ingresses with their arrival times.
    pending_shares: Vec<(Time, u16)>,
    /// Share in force at the ingresses.
    share: u16,
    /// When the ideal evaluation first found the new version regressed.
    detected_at: Option<Time>,
    /// Whether the share was full at the deadline.
    is_on_time: bool,
    /// Estimated bytes of evidence that all owners sent to one evaluator.
    evidence_bytes: u64,
    /// Measurements so far.
    run: RunResult,
}

impl<'a> ProductRun<'a> {
    /// Publishes the move and creates the run at its start.
    fn new(case: &'a Case) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(case.seed);
        let model = Model::new(case, ChaCha8Rng::seed_from_u64(rng.random()));
        let service: Name = case.service.name.into();
        let mut state = State::new();
        let deadline = deadline(case);
        let operations = vec![
            Operation::Serve {
                service: service.clone(),
                route: "".into(),
                version: OLD.into(),
            },
            Operation::Move {
                service: service.clone(),
                route: "".into(),
                from: OLD.into(),
                to: NEW.into(),
                start: START,
                deadline,
            },
        ];
        append_record(
            &mut state,
            Body::Claim(Claim {
                host: "host-00".into(),
                replaces: 0,
                at: PUBLISHED,
            }),
        );
        append_record(
            &mut state,
            Body::Change(Change {
                base: 0,
                author: "planner".into(),
                at: PUBLISHED,
                operations,
            }),
        );
        let id = intent::move_id(&service, "", OLD, NEW, START, deadline);
        let evaluation =
            Evaluation::new(state.intent.find_move(&id).expect("published"), PUBLISHED);
        Self {
            case,
            model,
            rng,
            now: PUBLISHED,
            state,
            id,
            evaluations: vec![evaluation.clone(); EVALUATORS],
            ideal_evaluation: evaluation,
            quarantine: Quarantine::new(),
            pending_reports: Vec::new(),
            pending_accusations: Vec::new(),
            pending_append: None,
            paused_until: PUBLISHED,
            pending_shares: Vec::new(),
            share: 0,
            detected_at: None,
            is_on_time: false,
            evidence_bytes: 0,
            run: RunResult::new(case),
        }
    }

    /// Runs until the move has ended and, unless it completed, no ingress sends traffic to the new
    /// version; at most [`MAX_OVERTIME`] past the deadline.
    fn run(mut self) -> RunResult {
        let deadline = deadline(self.case);
        while self.now < deadline + MAX_OVERTIME {
            self.now = self.now + TICK_INTERVAL;
            self.tick();
            if self.now <= deadline {
                self.is_on_time = self.entry().share == FULL_SHARE;
            }
            let phase = self.entry().phase;
            if phase.is_ended() && self.share == 0 || phase == Phase::Done {
                break;
            }
        }
        let entry = self.entry().clone();
        self.run.reason = entry.reason;
        self.run.end = match entry.phase {
            Phase::Done if self.is_on_time => End::OnTime,
            Phase::Done => End::Late,
            Phase::RolledBack | Phase::Cancelled => End::TakenBack,
            _ => End::Open,
        };
        let owners = self.model.servers.len() as f64;
        let time = self.now.since(PUBLISHED).as_secs_f64();
        self.run.evidence_bytes = self.evidence_bytes as f64 / owners / time;
        self.run
    }

    /// Returns the move as folded from the log.
    fn entry(&self) -> &Move {
        self.state.intent.find_move(&self.id).expect("published")
    }

    /// Returns whether the log is down.
    fn is_log_down(&self) -> bool {
        let kinds = [Kind::LogOutage, Kind::CommonInOutage, Kind::FailsInOutage];
        kinds.contains(&self.case.kind) && self.model.is_disturbed(seconds(self.now))
    }

    /// Runs one tick.
    fn tick(&mut self) {
        self.serve_calls();
        self.apply_disturbance();
        self.send_reports();
        self.deliver_messages();
        self.evaluate();
        self.complete_append();
        self.decide();
    }

    /// Serves this tick's calls.
    fn serve_calls(&mut self) {
        let now = self.now;
        self.pending_shares.retain(|&(at, share)| {
            if at <= now {
                self.share = share;
            }
            at > now
        });
        let share = self.quarantine.effective_share(&self.id, self.share);
        let at = seconds(now);
        let served = self.model.tick(at, TICK_INTERVAL.as_secs_f64(), share);
        assert!(
            served.new == 0 || now >= START,
            "invariant: no call on the new version before the start"
        );
        self.run.harmed += served.harmed;
        if let Some(detected_at) = self.detected_at.filter(|_| served.new > 0) {
            self.run.containment = Some(now.since(detected_at).as_secs_f64());
            if now.since(detected_at) > CONTAINMENT_LIMIT {
                self.run.late_calls += served.new;
            }
        }
    }

    /// Restarts nodes or changes the lease holder, depending on the case.
    fn apply_disturbance(&mut self) {
        let at = seconds(self.now);
        let step = TICK_INTERVAL.as_secs_f64();
        let is_onset = at >= self.case.onset && at - step < self.case.onset;
        match self.case.kind {
            Kind::Restarts if self.rng.random_bool(step / 20.0) => {
                let index = self.rng.random_range(0..self.model.servers.len());
                self.model.restart(index);
            }
            Kind::HolderChange if is_onset => {
                let entry = self.entry().clone();
                self.evaluations[0] = Evaluation::new(&entry, self.now);
            }
            _ => {}
        }
    }

    /// Sends the owners' evidence reports to the evaluators; those of lagging owners are late or
    /// lost.
    fn send_reports(&mut self) {
        let interval = REPORT_INTERVAL.as_millis() as u64;
        if !self.now.as_millis().is_multiple_of(interval) {
            return;
        }
        let is_lagging = matches!(self.case.kind, Kind::LaggingReports | Kind::FailsLagging);
        for index in 0..self.model.servers.len() {
            let report = self.model.report(index);
            self.ideal_evaluation.record_report(&report, self.now);
            if index == 0 && self.now.as_millis().is_multiple_of(10_000) {
                let text = serde_json::to_string(&report).expect("reports encode");
                let reports_per_sample = 10_000 / interval * self.model.servers.len() as u64;
                self.evidence_bytes += text.len() as u64 * reports_per_sample;
            }
            for evaluator in 0..EVALUATORS {
                let mut delay = self.rng.random_range(1..60);
                if is_lagging && index % 3 == 0 {
                    if self.rng.random_bool(0.2) {
                        continue;
                    }
                    delay += self.rng.random_range(0..3_000);
                }
                let at = self.now + Duration::from_millis(delay);
                self.pending_reports.push((at, evaluator, report.clone()));
            }
        }
    }

    /// Delivers the reports and accusations that are due.
    fn deliver_messages(&mut self) {
        let now = self.now;
        let evaluations = &mut self.evaluations;
        self.pending_reports.sort_by_key(|(at, _, _)| *at);
        self.pending_reports.retain(|(at, evaluator, report)| {
            if *at <= now {
                evaluations[*evaluator].record_report(report, now);
            }
            *at > now
        });
        let (intent, quarantine) = (&self.state.intent, &mut self.quarantine);
        // A node prunes accusations with its own fold, which steps in transit have not reached yet.
        if self.pending_shares.is_empty() {
            quarantine.prune(intent, now);
        }
        self.pending_accusations.retain(|(at, accusation)| {
            if *at <= now {
                quarantine.merge(std::slice::from_ref(accusation), intent, false);
            }
            *at > now
        });
    }

    /// Closes the evaluators' windows, raises accusations and updates the ideal evaluation.
    fn evaluate(&mut self) {
        let entry = self.entry().clone();
        let fleet = self.fleet();
        let is_sole = fleet.new == 1;
        let effective_share = self.quarantine.effective_share(&self.id, entry.share);
        for evaluator in 0..EVALUATORS {
            self.evaluations[evaluator].update_share(&entry, effective_share, self.now);
            if !self.evaluations[evaluator].close_window(self.now) {
                continue;
            }
            let Some((degree, reason)) = self.evaluations[evaluator].accusation(is_sole, self.now)
            else {
                continue;
            };
            let host: Name = format!("judge-{evaluator}").into();
            let covers = |a: &Accusation| a.host == host && a.degree >= degree;
            let is_held = self.quarantine.for_move(&self.id).any(covers);
            if is_held || self.pending_accusations.iter().any(|(_, a)| covers(a)) {
                continue;
            }
            let accusation = Accusation {
                id: self.id.clone(),
                host,
                degree,
                reason,
                at: self.now,
                seen: entry.changed,
            };
            self.pending_accusations
                .push((self.now + PROPAGATION_DELAY, accusation));
        }
        self.ideal_evaluation
            .update_share(&entry, effective_share, self.now);
        self.ideal_evaluation.close_window(self.now);
        let is_regressed = matches!(
            self.ideal_evaluation.verdict(is_sole),
            Verdict::Regressed(_)
        );
        if is_regressed && self.detected_at.is_none() {
            self.detected_at = Some(self.now);
        }
    }

    /// Completes the pending append when it is due; it fails while the log is down.
    fn complete_append(&mut self) {
        let Some((at, step)) = self.pending_append.take() else {
            return;
        };
        if self.now < at {
            self.pending_append = Some((at, step));
            return;
        }
        if self.is_log_down() {
            self.paused_until = self.now + APPEND_PAUSE;
            return;
        }
        let share = step.share;
        let outcome = append_record(&mut self.state, Body::Step(step));
        assert!(
            outcome == Outcome::Applied,
            "invariant: the fold applies every step of the holder: {outcome:?}"
        );
        self.pending_shares
            .push((self.now + PROPAGATION_DELAY, share));
    }

    /// Lets the lease holder decide on the next step, unless an append is pending or has failed
    /// recently.
    fn decide(&mut self) {
        if self.pending_append.is_some() || self.now < self.paused_until {
            return;
        }
        let decision =
            controller::decide(self.entry(), &self.evaluations[0], self.fleet(), self.now);
        if let Decision::Step {
            phase,
            share,
            reason,
        } = decision
        {
            let step = Step {
                term: self.state.lease.term,
                id: self.id.clone(),
                phase,
                share,
                reason,
                at: self.now,
            };
            let delay = self
                .rng
                .random_range(20..MAX_APPEND_DELAY.as_millis() as u64);
            self.pending_append = Some((self.now + Duration::from_millis(delay), step));
        }
    }

    /// Returns the servers that accept new calls and the state of the quarantine.
    fn fleet(&self) -> Fleet {
        let at = seconds(self.now);
        let count = |is_new| {
            let servers = self.model.servers.iter();
            servers
                .filter(|s| s.is_new == is_new && !self.model.is_out(s, at))
                .count()
        };
        Fleet {
            old: count(false),
            new: count(true),
            new_slots: count(true) as u32 * self.case.service.slots,
            is_quarantined: self.quarantine.is_quarantined(&self.id),
            is_lowered: self.quarantine.effective_share(&self.id, FULL_SHARE) < FULL_SHARE,
        }
    }
}

impl RunResult {
    /// Creates the result of a run at its start.
    fn new(case: &Case) -> Self {
        Self {
            end: End::Open,
            reason: String::new(),
            planned: case.rate * case.length,
            harmed: 0,
            late_calls: 0,
            containment: None,
            evidence_bytes: 0.0,
        }
    }
}

/// Folds a record into the state at its next offset.
fn append_record(state: &mut State, body: Body) -> Outcome {
    let record = Record {
        offset: state.next,
        id: format!("record-{}", state.next).into(),
        payload: record::encode(body).into(),
    };
    state.apply(&record)
}

/// Shares of the new version in the baselines' steps, in thousandths.
const BASELINE_SHARES: [u16; 6] = [10, 50, 100, 250, 500, 1_000];

/// Fraction of a move's time after which the baselines reach full share.
const BASELINE_RAMP_FRACTION: f64 = 0.8;

/// Error rate of the new version above which [`Policy::Timer`] rolls back.
const MAX_ERROR_RATE: f64 = 0.05;

/// Number of calls below which [`Policy::Timer`] does not evaluate the error rate.
const MIN_CALLS: f64 = 20.0;

/// Time constant over which [`Policy::Timer`] averages the error rate, in seconds.
const ERROR_WINDOW_SECS: f64 = 60.0;

/// Fraction of unhealthy servers from which [`Policy::Health`] rolls back.
const UNHEALTHY_THRESHOLD: f64 = 0.5;

/// Lag of the first health reports, in seconds.
const HEALTH_LAG_SECS: f64 = 5.0;

/// Runs a baseline, which raises the share on a timer and reads counts or health reports.
fn run_baseline(case: &Case, policy: Policy) -> RunResult {
    let mut rng = ChaCha8Rng::seed_from_u64(case.seed);
    let mut model = Model::new(case, ChaCha8Rng::seed_from_u64(rng.random()));
    let mut run = RunResult::new(case);
    let watch_period = (case.length / 4.0).clamp(30.0, 900.0);
    let step = TICK_INTERVAL.as_secs_f64();
    let (mut calls, mut failed) = (0.0f64, 0.0f64);
    let (mut previous_calls, mut previous_failed) = (0, 0);
    let mut unhealthy = 0.0;
    let mut at = 0.0;
    while at < case.length + watch_period {
        let stage =
            at / (case.length * BASELINE_RAMP_FRACTION) * (BASELINE_SHARES.len() - 1) as f64;
        let share = BASELINE_SHARES[(stage as usize).min(BASELINE_SHARES.len() - 1)];
        run.harmed += model.tick(at, step, share).harmed;
        at += step;

        // The baselines read counts and health every ten seconds.
        if !((at / step).round() as u64).is_multiple_of(100) {
            continue;
        }
        let (total_calls, total_failed) = status_counts(&model);
        let weight = (-10.0 / ERROR_WINDOW_SECS).exp();
        calls = calls * weight + total_calls.saturating_sub(previous_calls) as f64;
        failed = failed * weight + total_failed.saturating_sub(previous_failed) as f64;
        (previous_calls, previous_failed) = (total_calls, total_failed);
        let previous_unhealthy = unhealthy;
        unhealthy = model.unhealthy_share();
        let is_bad = match policy {
            Policy::Timer => calls >= MIN_CALLS && failed / calls > MAX_ERROR_RATE,
            _ => at > HEALTH_LAG_SECS && previous_unhealthy >= UNHEALTHY_THRESHOLD,
        };
        if is_bad {
            run.end = End::TakenBack;
            return run;
        }
    }
    run.end = End::OnTime;
    run
}

/// Returns the number of calls on the new version, and of those that failed visibly: by an error
/// status or without a response. A broken body behind a success status is not counted.
fn status_counts(model: &Model<'_>) -> (u64, u64) {
    use buckthorn::rollout::evidence::Outcome;
    let mut counts = (0, 0);
    for index in (0..model.servers.len()).filter(|&i| model.servers[i].is_new) {
        for tally in &model.report(index).routes {
            counts.0 += tally.calls();
            counts.1 += tally.failed() - tally.outcomes[Outcome::Broken as usize];
        }
    }
    counts
}
