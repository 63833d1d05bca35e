//! Moves, good and bad, against baselines.
//!
//! Every case runs the product's own books, judges, controller, quarantine and fold over a model of
//! the service's owners, in virtual time and without sockets; the baselines run on the same calls.
//! A fault shows when the judges' rule, fed with every call at once, finds the new version guilty.

pub mod case;
pub mod policy;
pub mod service;

use std::fmt::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use serde::Serialize;

use crate::flags;
use case::{Case, Kind};
use policy::{End, Policy, RunResult};

/// Seed when none is given.
pub const SEED: u64 = 1;

/// Moves of each kind when no number is given.
pub const MOVES_PER_KIND: usize = 48;

/// Threads that run cases.
const THREADS: usize = 4;

/// Part of the planned calls that a bad version may harm.
pub const HARM_BOUND: f64 = 0.01;

/// Figures over some cases under one policy.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Statistics {
    /// What they are over.
    pub name: String,
    /// Policy.
    pub policy: &'static str,
    /// Moves.
    pub moves: usize,
    /// Moves done with all traffic moved by the deadline.
    pub on_time: usize,
    /// Moves done later.
    pub late: usize,
    /// Moves taken back.
    #[serde(rename = "taken_back")]
    pub rolled_back: usize,
    /// Moves still open at the end.
    pub open: usize,
    /// Part of all planned calls that bad versions harmed.
    pub harmed: f64,
    /// Largest such part in one move.
    pub harmed_worst: f64,
    /// Moves in which the part is within the bound.
    pub harm_bounded: usize,
    /// Moves with calls on the new version later than 2 s after its fault showed.
    pub late_moves: usize,
    /// Longest time from a fault's showing to the last call on the new version, in seconds.
    pub containment_worst: f64,
}

/// All figures of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Seed.
    pub seed: u64,
    /// Good moves together, by policy.
    pub good: Vec<Statistics>,
    /// Bad moves together, by policy.
    pub bad: Vec<Statistics>,
    /// Figures by kind and policy.
    pub kinds: Vec<Statistics>,
    /// Figures of bad moves under the product's policy, by calls a second.
    pub rates: Vec<Statistics>,
    /// Bytes of evidence that an owner sends each judge a second, on average.
    pub evidence_bytes: f64,
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the JSON cannot be written.
pub fn run(flags: &flags::Moves) -> anyhow::Result<()> {
    let seed = flags.seed.unwrap_or(SEED);
    let summary = measure(seed, flags.moves.unwrap_or(MOVES_PER_KIND), flags.verbose);
    print!("{}", table(&summary));
    if let Some(path) = &flags.json {
        std::fs::write(path, serde_json::to_string_pretty(&summary)?)?;
    }
    Ok(())
}

/// Measures `moves` moves of each kind under every policy.
pub fn measure(seed: u64, moves: usize, is_verbose: bool) -> Summary {
    let cases: Vec<Case> = Kind::GOOD
        .iter()
        .chain(&Kind::BAD)
        .flat_map(|&kind| (0..moves).map(move |index| Case::draw(kind, index, seed)))
        .collect();
    let mut runs = run_all(&cases);
    runs.sort_by_key(|(index, policy, _)| (*index, *policy as u8));
    if is_verbose {
        print_failures(&cases, &runs);
    }
    let figures = |name: &str, policy: Policy, is_in: &dyn Fn(&Case) -> bool| {
        let chosen = runs
            .iter()
            .filter(|(index, p, _)| *p == policy && is_in(&cases[*index]));
        Statistics::over(name, policy, chosen.map(|(_, _, run)| run))
    };
    let policies = [Policy::Product, Policy::Timer, Policy::Health];
    let judged = runs.iter().filter(|(_, p, _)| *p == Policy::Product);
    let bytes: f64 = judged.clone().map(|(_, _, run)| run.evidence_bytes).sum();
    let mut rates: Vec<f64> = cases.iter().map(|case| case.rate).collect();
    rates.sort_by(f64::total_cmp);
    rates.dedup();
    Summary {
        seed,
        good: policies
            .map(|p| figures("good", p, &|c| !c.kind.is_bad()))
            .into(),
        bad: policies
            .map(|p| figures("bad", p, &|c| c.kind.is_bad()))
            .into(),
        kinds: Kind::GOOD
            .iter()
            .chain(&Kind::BAD)
            .flat_map(|&kind| policies.map(|p| (kind, p)))
            .map(|(kind, p)| figures(&format!("{kind:?}"), p, &|c| c.kind == kind))
            .collect(),
        rates: rates
            .iter()
            .map(|&rate| {
                let is_in = |c: &Case| c.kind.is_bad() && c.rate == rate;
                figures(&format!("{rate} calls/s"), Policy::Product, &is_in)
            })
            .collect(),
        evidence_bytes: bytes / judged.count().max(1) as f64,
    }
}

/// Runs every case under every policy, on a few threads.
fn run_all(cases: &[Case]) -> Vec<(usize, Policy, RunResult)> {
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            let sender = sender.clone();
            let next = &next;
            scope.spawn(move || {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(case) = cases.get(index) else {
                        return;
                    };
                    for policy in [Policy::Product, Policy::Timer, Policy::Health] {
                        let run = policy::run(case, policy);
                        if sender.send((index, policy, run)).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    drop(sender);
    receiver.iter().collect()
}

/// Prints the cases in which the product's policy missed a target.
fn print_failures(cases: &[Case], runs: &[(usize, Policy, RunResult)]) {
    for (index, _, run) in runs.iter().filter(|(_, p, _)| *p == Policy::Product) {
        let case = &cases[*index];
        let is_wrong = match case.kind.is_bad() {
            true => run.end != End::RolledBack || run.late_calls > 0 || run.harm() > HARM_BOUND,
            false => run.end != End::OnTime,
        };
        if is_wrong {
            println!(
                "{:?} {} {}/s {:.0}s severity {:.2} factor {:.1} onset {:.2} lasting {:.2} load {:.2} hosts {}: {:?} harm {:.2}% late {} ({})",
                case.kind,
                case.service.name,
                case.rate,
                case.length,
                case.severity,
                case.slowdown,
                case.onset / case.length,
                case.disturbance_length / case.length,
                case.load_threshold,
                case.faulty_hosts,
                run.end,
                run.harm() * 100.0,
                run.late_calls,
                run.reason
            );
        }
    }
}

impl RunResult {
    /// Part of the planned calls that the new version harmed.
    pub fn harm(&self) -> f64 {
        self.harmed as f64 / self.planned
    }
}

impl Statistics {
    /// Figures over some runs.
    fn over<'a>(name: &str, policy: Policy, runs: impl Iterator<Item = &'a RunResult>) -> Self {
        let policy = match policy {
            Policy::Product => "judged",
            Policy::Timer => "timer",
            Policy::Health => "health",
        };
        let mut figures = Self {
            name: name.into(),
            policy,
            ..Self::default()
        };
        let (mut harmed, mut planned) = (0.0, 0.0);
        for run in runs {
            figures.moves += 1;
            match run.end {
                End::OnTime => figures.on_time += 1,
                End::Late => figures.late += 1,
                End::RolledBack => figures.rolled_back += 1,
                End::Open => figures.open += 1,
            }
            harmed += run.harmed as f64;
            planned += run.planned;
            figures.harmed_worst = figures.harmed_worst.max(run.harm());
            figures.harm_bounded += usize::from(run.harm() <= HARM_BOUND);
            figures.late_moves += usize::from(run.late_calls > 0);
            let containment = run.containment.unwrap_or(0.0);
            figures.containment_worst = figures.containment_worst.max(containment);
        }
        figures.harmed = harmed / f64::max(planned, 1.0);
        figures
    }
}

/// Table of a summary.
pub fn table(summary: &Summary) -> String {
    let mut text = format!("seed {}\n", summary.seed);
    let _ = writeln!(
        text,
        "{:<16} {:<7} {:>5} {:>7} {:>5} {:>6} {:>5} {:>8} {:>8} {:>7} {:>6} {:>7}",
        "moves",
        "policy",
        "moves",
        "on time",
        "late",
        "back",
        "open",
        "harmed",
        "worst",
        "bounded",
        "late",
        "worst s"
    );
    let sections = [&summary.good, &summary.bad, &summary.kinds, &summary.rates];
    for figures in sections.into_iter().flatten() {
        let _ = writeln!(
            text,
            "{:<16} {:<7} {:>5} {:>7} {:>5} {:>6} {:>5} {:>7.3}% {:>7.2}% {:>7} {:>6} {:>7.1}",
            figures.name,
            figures.policy,
            figures.moves,
            figures.on_time,
            figures.late,
            figures.rolled_back,
            figures.open,
            figures.harmed * 100.0,
            figures.harmed_worst * 100.0,
            figures.harm_bounded,
            figures.late_moves,
            figures.containment_worst
        );
    }
    let _ = writeln!(
        text,
        "evidence: {:.0} bytes/s from an owner to each judge",
        summary.evidence_bytes
    );
    text
}
