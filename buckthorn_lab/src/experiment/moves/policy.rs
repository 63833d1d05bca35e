//! The product's policy and the baselines, driven over one move in virtual time.

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

/// When moves are published.
const PUBLISHED: Time = Time::from_secs(1_000);

/// When moves start.
const START: Time = Time::from_secs(1_030);

/// Time for an append, at most.
const MAX_APPEND: Duration = Duration::from_millis(200);

/// Time for a step or an accusation to reach every ingress.
const SPREAD_TIME: Duration = Duration::from_millis(400);

/// Time after a fault shows from which no new call may go to the new version.
const GRACE: Duration = Duration::from_secs(2);

/// Time after the deadline at which a run ends in any case.
const LAST: Duration = Duration::from_secs(3_000);

/// Hosts that judge.
const JUDGES: usize = 3;

/// How moves are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's controller, judges and quarantine.
    Product,
    /// Fixed steps on a timer, taken back above an error threshold.
    Timer,
    /// Fixed steps on a timer, taken back on bad health reports.
    Health,
}

/// How a move ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All traffic moved by the deadline, and done.
    OnTime,
    /// Done, but not by the deadline.
    Late,
    /// Taken back.
    RolledBack,
    /// Still open at the end of the run.
    Open,
}

/// What one run gave.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// How the move ended.
    pub end: End,
    /// Last reason.
    pub reason: String,
    /// Calls of the service from start to deadline, as planned.
    pub planned: f64,
    /// Calls harmed by the new version's fault.
    pub harmed: u64,
    /// Calls sent to the new version later than the grace after its fault showed.
    pub late_calls: u64,
    /// Time from the fault's showing to the last call on the new version, in seconds.
    pub containment: Option<f64>,
    /// Bytes of evidence that one owner sent a second on average.
    pub evidence_bytes: f64,
}

/// Runs a case under a policy.
pub fn run(case: &Case, policy: Policy) -> RunResult {
    match policy {
        Policy::Product => ProductRun::new(case).run(),
        Policy::Timer | Policy::Health => run_timer(case, policy),
    }
}

/// Seconds after the start, negative before it.
fn seconds(now: Time) -> f64 {
    (now.0 as f64 - START.0 as f64) / 1e6
}

/// Deadline of a case.
fn deadline(case: &Case) -> Time {
    START + Duration::from_secs_f64(case.length)
}

/// Runs the product's policy.
struct ProductRun<'a> {
    /// Case.
    case: &'a Case,
    /// Service.
    model: Model<'a>,
    /// Random numbers of delays and losses.
    rng: ChaCha8Rng,
    /// Present time.
    now: Time,
    /// Folded log.
    state: State,
    /// Move.
    id: Name,
    /// Judges' trials; the first judge holds the lease.
    trials: Vec<Evaluation>,
    /// Trial that learns of every call at once.
    ideal: Evaluation,
    /// Accusations as every node has them.
    quarantine: Quarantine,
    /// Reports under way: time, judge, report.
    reports: Vec<(Time, usize, Report)>,
    /// Accusations under way.
    accusations: Vec<(Time, Accusation)>,
    /// Append under way, and until when the move is not decided anew.
    append: Option<(Time, Step)>,
    /// Time before which the move is not decided.
    pause: Time,
    /// Shares on their way to the ingresses.
    shares: Vec<(Time, u16)>,
    /// Share at the ingresses.
    share: u16,
    /// When the fault showed.
    shown: Option<Time>,
    /// Whether the share was full at the deadline.
    is_on_time: bool,
    /// Bytes of evidence sent to one target.
    bytes: u64,
    /// Run so far.
    run: RunResult,
}

impl<'a> ProductRun<'a> {
    /// Run at its start.
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
        push(
            &mut state,
            Body::Claim(Claim {
                host: "host-00".into(),
                replaces: 0,
                at: PUBLISHED,
            }),
        );
        push(
            &mut state,
            Body::Change(Change {
                base: 0,
                author: "planner".into(),
                at: PUBLISHED,
                operations,
            }),
        );
        let id = intent::move_id(&service, "", OLD, NEW, START, deadline);
        let trial = Evaluation::new(state.intent.find_move(&id).expect("published"), PUBLISHED);
        Self {
            case,
            model,
            rng,
            now: PUBLISHED,
            state,
            id,
            trials: vec![trial.clone(); JUDGES],
            ideal: trial,
            quarantine: Quarantine::new(),
            reports: Vec::new(),
            accusations: Vec::new(),
            append: None,
            pause: PUBLISHED,
            shares: Vec::new(),
            share: 0,
            shown: None,
            is_on_time: false,
            bytes: 0,
            run: RunResult::new(case),
        }
    }

    /// Runs to the end of the move.
    fn run(mut self) -> RunResult {
        let deadline = deadline(self.case);
        while self.now < deadline + LAST {
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
            Phase::RolledBack | Phase::Cancelled => End::RolledBack,
            _ => End::Open,
        };
        let owners = self.model.servers.len() as f64;
        let time = self.now.since(PUBLISHED).as_secs_f64();
        self.run.evidence_bytes = self.bytes as f64 / owners / time;
        self.run
    }

    /// Move as the log has it.
    fn entry(&self) -> &Move {
        self.state.intent.find_move(&self.id).expect("published")
    }

    /// Whether the log is down.
    fn is_log_down(&self) -> bool {
        let kinds = [Kind::LogOutage, Kind::CommonInOutage, Kind::FailsInOutage];
        kinds.contains(&self.case.kind) && self.model.is_disturbed(seconds(self.now))
    }

    /// One tick.
    fn tick(&mut self) {
        self.serve();
        self.disturb();
        self.report();
        self.deliver();
        self.judge();
        self.log();
        self.decide();
    }

    /// Serves this tick's calls.
    fn serve(&mut self) {
        let now = self.now;
        self.shares.retain(|&(at, share)| {
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
        if let Some(shown) = self.shown.filter(|_| served.new > 0) {
            self.run.containment = Some(now.since(shown).as_secs_f64());
            if now.since(shown) > GRACE {
                self.run.late_calls += served.new;
            }
        }
    }

    /// Restarts nodes and changes the lease's holder.
    fn disturb(&mut self) {
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
                self.trials[0] = Evaluation::new(&entry, self.now);
            }
            _ => {}
        }
    }

    /// Sends the owners' reports.
    fn report(&mut self) {
        let interval = REPORT_INTERVAL.as_millis() as u64;
        if !self.now.as_millis().is_multiple_of(interval) {
            return;
        }
        let is_lagging = matches!(self.case.kind, Kind::LaggingReports | Kind::FailsLagging);
        for index in 0..self.model.servers.len() {
            let report = self.model.report(index);
            self.ideal.record_report(&report, self.now);
            if index == 0 && self.now.as_millis().is_multiple_of(10_000) {
                let text = serde_json::to_string(&report).expect("reports encode");
                let reports = 10_000 / interval * self.model.servers.len() as u64;
                self.bytes += text.len() as u64 * reports;
            }
            for judge in 0..JUDGES {
                let mut delay = self.rng.random_range(1..60);
                if is_lagging && index % 3 == 0 {
                    if self.rng.random_bool(0.2) {
                        continue;
                    }
                    delay += self.rng.random_range(0..3_000);
                }
                let at = self.now + Duration::from_millis(delay);
                self.reports.push((at, judge, report.clone()));
            }
        }
    }

    /// Hands over the reports that have arrived.
    fn deliver(&mut self) {
        let now = self.now;
        let trials = &mut self.trials;
        self.reports.sort_by_key(|(at, _, _)| *at);
        self.reports.retain(|(at, judge, report)| {
            if *at <= now {
                trials[*judge].record_report(report, now);
            }
            *at > now
        });
        let (intent, quarantine) = (&self.state.intent, &mut self.quarantine);
        // A node drops accusations with its own fold, which the steps under way have not reached.
        if self.shares.is_empty() {
            quarantine.prune(intent, now);
        }
        self.accusations.retain(|(at, accusation)| {
            if *at <= now {
                quarantine.merge(std::slice::from_ref(accusation), intent, false);
            }
            *at > now
        });
    }

    /// Lets the judges evaluate what they have.
    fn judge(&mut self) {
        let entry = self.entry().clone();
        let fleet = self.fleet();
        let is_sole = fleet.new == 1;
        let given = self.quarantine.effective_share(&self.id, entry.share);
        for judge in 0..JUDGES {
            self.trials[judge].update_share(&entry, given, self.now);
            if !self.trials[judge].close_window(self.now) {
                continue;
            }
            let Some((degree, reason)) = self.trials[judge].accusation(is_sole, self.now) else {
                continue;
            };
            let host: Name = format!("judge-{judge}").into();
            let is_same = |a: &Accusation| a.host == host && a.degree >= degree;
            let is_held = self.quarantine.for_move(&self.id).any(is_same);
            if is_held || self.accusations.iter().any(|(_, a)| is_same(a)) {
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
            self.accusations.push((self.now + SPREAD_TIME, accusation));
        }
        self.ideal.update_share(&entry, given, self.now);
        self.ideal.close_window(self.now);
        let is_guilty = matches!(self.ideal.verdict(is_sole), Verdict::Regressed(_));
        if is_guilty && self.shown.is_none() {
            self.shown = Some(self.now);
        }
    }

    /// Lets the append under way arrive.
    fn log(&mut self) {
        let Some((at, step)) = self.append.take() else {
            return;
        };
        if self.now < at {
            self.append = Some((at, step));
            return;
        }
        if self.is_log_down() {
            self.pause = self.now + APPEND_PAUSE;
            return;
        }
        let share = step.share;
        let outcome = push(&mut self.state, Body::Step(step));
        assert!(
            outcome == Outcome::Applied,
            "invariant: the fold takes every step of the holder: {outcome:?}"
        );
        self.shares.push((self.now + SPREAD_TIME, share));
    }

    /// Lets the holder decide.
    fn decide(&mut self) {
        if self.append.is_some() || self.now < self.pause {
            return;
        }
        let decision = controller::decide(self.entry(), &self.trials[0], self.fleet(), self.now);
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
            let delay = self.rng.random_range(20..MAX_APPEND.as_millis() as u64);
            self.append = Some((self.now + Duration::from_millis(delay), step));
        }
    }

    /// Servers that take new work.
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
    /// Run at its start.
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

/// Appends a record to the folded state.
fn push(state: &mut State, body: Body) -> Outcome {
    let record = Record {
        offset: state.next,
        id: format!("record-{}", state.next).into(),
        payload: record::encode(body).into(),
    };
    state.apply(&record)
}

/// Shares of the baselines, in thousandths.
const TIMER_SHARES: [u16; 6] = [10, 50, 100, 250, 500, 1_000];

/// Part of a move's time by which the baselines reach full share.
const TIMER_PART: f64 = 0.8;

/// Failed part of the new version's calls above which the first baseline takes back.
const TIMER_THRESHOLD: f64 = 0.05;

/// Calls on which the first baseline judges, at least.
const TIMER_CALLS: f64 = 20.0;

/// Time over which the first baseline judges, in seconds.
const TIMER_WINDOW: f64 = 60.0;

/// Part of unhealthy servers from which the second baseline takes back.
const UNHEALTHY: f64 = 0.5;

/// Lag of health reports, in seconds.
const HEALTH_LAG: f64 = 5.0;

/// Runs a baseline.
fn run_timer(case: &Case, policy: Policy) -> RunResult {
    let mut rng = ChaCha8Rng::seed_from_u64(case.seed);
    let mut model = Model::new(case, ChaCha8Rng::seed_from_u64(rng.random()));
    let mut run = RunResult::new(case);
    let watch = (case.length / 4.0).clamp(30.0, 900.0);
    let step = TICK_INTERVAL.as_secs_f64();
    let (mut calls, mut failed) = (0.0f64, 0.0f64);
    let (mut seen_calls, mut seen_failed) = (0, 0);
    let mut unhealthy = 0.0;
    let mut at = 0.0;
    while at < case.length + watch {
        let stage = at / (case.length * TIMER_PART) * (TIMER_SHARES.len() - 1) as f64;
        let share = TIMER_SHARES[(stage as usize).min(TIMER_SHARES.len() - 1)];
        run.harmed += model.tick(at, step, share).harmed;
        at += step;

        // Counts are read every ten seconds.
        if !((at / step).round() as u64).is_multiple_of(100) {
            continue;
        }
        let (now_calls, now_failed) = status_counts(&model);
        let weight = (-10.0 / TIMER_WINDOW).exp();
        calls = calls * weight + now_calls.saturating_sub(seen_calls) as f64;
        failed = failed * weight + now_failed.saturating_sub(seen_failed) as f64;
        (seen_calls, seen_failed) = (now_calls, now_failed);
        let lagged = unhealthy;
        unhealthy = model.unhealthy_share();
        let is_bad = match policy {
            Policy::Timer => calls >= TIMER_CALLS && failed / calls > TIMER_THRESHOLD,
            _ => at > HEALTH_LAG && lagged >= UNHEALTHY,
        };
        if is_bad {
            run.end = End::RolledBack;
            return run;
        }
    }
    run.end = End::OnTime;
    run
}

/// Calls of the new version by status, and those with an error status or none.
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
