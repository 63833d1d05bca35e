//! Rollouts of good and bad versions under the product's policy and under baselines.
//!
//! Every case runs the product's evidence recorder, evaluation, controller, quarantine and journal
//! fold over a model of the service's owners, in virtual time and without sockets. The baselines
//! run on calls from the same seed. A fault counts as detectable from the time at which an
//! evaluation that receives every report without delay finds the new version regressed.

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

/// Seed when the flag is absent.
pub const DEFAULT_SEED: u64 = 1;

/// Moves of each kind when the flag is absent.
pub const DEFAULT_MOVES_PER_KIND: usize = 48;

/// Number of threads that run cases.
const THREADS: usize = 4;

/// Bound on the fraction of the planned calls that a bad version harms.
pub const HARM_BOUND: f64 = 0.01;

/// Statistics of a group of cases under one policy; its fields are the keys of the JSON.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Statistics {
    /// Name of the group: good, bad, a kind or a rate.
    pub name: String,
    /// Name of the policy.
    pub policy: &'static str,
    /// Number of moves.
    pub moves: usize,
    /// Moves that completed with all traffic shifted by the deadline.
    pub on_time: usize,
    /// Moves that completed after the deadline.
    pub late: usize,
    /// Moves that were rolled back.
    #[serde(rename = "taken_back")]
    pub rolled_back: usize,
    /// Moves still active at the end of the run.
    pub open: usize,
    /// Fraction of all planned calls that bad versions harmed.
    pub harmed: f64,
    /// Largest such fraction in one move.
    pub harmed_worst: f64,
    /// Moves in which the fraction is at most [`HARM_BOUND`].
    pub harm_bounded: usize,
    /// Moves with calls on the new version more than 2 s after its fault was detectable.
    pub late_moves: usize,
    /// Longest time from when a fault was detectable to the last call on the new version, in
    /// seconds.
    pub containment_worst: f64,
}

/// Statistics of one measurement, as written to the JSON file.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Seed of the cases.
    pub seed: u64,
    /// All moves to a good version, by policy.
    pub good: Vec<Statistics>,
    /// All moves to a bad version, by policy.
    pub bad: Vec<Statistics>,
    /// Statistics by kind and policy.
    pub kinds: Vec<Statistics>,
    /// Moves to a bad version under the product's policy, by calls per second.
    pub rates: Vec<Statistics>,
    /// Average bytes of evidence per second that an owner sends to each evaluator.
    pub evidence_bytes: f64,
}

/// Runs the `moves` command: prints its tables and writes the JSON file if one is given.
///
/// # Errors
///
/// Fails if the JSON file cannot be written.
pub fn run(flags: &flags::Moves) -> anyhow::Result<()> {
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let summary = measure(
        seed,
        flags.moves.unwrap_or(DEFAULT_MOVES_PER_KIND),
        flags.verbose,
    );
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
        print_missed_targets(&cases, &runs);
    }
    let statistics = |name: &str, policy: Policy, includes: &dyn Fn(&Case) -> bool| {
        let matching_runs = runs
            .iter()
            .filter(|(index, p, _)| *p == policy && includes(&cases[*index]));
        Statistics::from_runs(name, policy, matching_runs.map(|(_, _, run)| run))
    };
    let policies = [Policy::Product, Policy::Timer, Policy::Health];
    let product_runs = runs.iter().filter(|(_, p, _)| *p == Policy::Product);
    let bytes: f64 = product_runs
        .clone()
        .map(|(_, _, run)| run.evidence_bytes)
        .sum();
    let mut rates: Vec<f64> = cases.iter().map(|case| case.rate).collect();
    rates.sort_by(f64::total_cmp);
    rates.dedup();
    Summary {
        seed,
        good: policies
            .map(|p| statistics("good", p, &|c| !c.kind.is_bad()))
            .into(),
        bad: policies
            .map(|p| statistics("bad", p, &|c| c.kind.is_bad()))
            .into(),
        kinds: Kind::GOOD
            .iter()
            .chain(&Kind::BAD)
            .flat_map(|&kind| policies.map(|p| (kind, p)))
            .map(|(kind, p)| statistics(&format!("{kind:?}"), p, &|c| c.kind == kind))
            .collect(),
        rates: rates
            .iter()
            .map(|&rate| {
                let includes = |c: &Case| c.kind.is_bad() && c.rate == rate;
                statistics(&format!("{rate} calls/s"), Policy::Product, &includes)
            })
            .collect(),
        evidence_bytes: bytes / product_runs.count().max(1) as f64,
    }
}

/// Runs every case under every policy in parallel; the order of the results is not deterministic.
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
fn print_missed_targets(cases: &[Case], runs: &[(usize, Policy, RunResult)]) {
    for (index, _, run) in runs.iter().filter(|(_, p, _)| *p == Policy::Product) {
        let case = &cases[*index];
        let missed_target = match case.kind.is_bad() {
            true => {
                run.end != End::TakenBack
                    || run.late_calls > 0
                    || run.harmed_fraction() > HARM_BOUND
            }
            false => run.end != End::OnTime,
        };
        if missed_target {
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
                run.harmed_fraction() * 100.0,
                run.late_calls,
                run.reason
            );
        }
    }
}

impl RunResult {
    /// Returns the fraction of the planned calls that the new version harmed.
    pub fn harmed_fraction(&self) -> f64 {
        self.harmed as f64 / self.planned
    }
}

impl Statistics {
    /// Computes the statistics of some runs.
    fn from_runs<'a>(
        name: &str,
        policy: Policy,
        runs: impl Iterator<Item = &'a RunResult>,
    ) -> Self {
        let policy = match policy {
            Policy::Product => "judged",
            Policy::Timer => "timer",
            Policy::Health => "health",
        };
        let mut statistics = Self {
            name: name.into(),
            policy,
            ..Self::default()
        };
        let (mut harmed, mut planned) = (0.0, 0.0);
        for run in runs {
            statistics.moves += 1;
            match run.end {
                End::OnTime => statistics.on_time += 1,
                End::Late => statistics.late += 1,
                End::TakenBack => statistics.rolled_back += 1,
                End::Open => statistics.open += 1,
            }
            harmed += run.harmed as f64;
            planned += run.planned;
            statistics.harmed_worst = statistics.harmed_worst.max(run.harmed_fraction());
            statistics.harm_bounded += usize::from(run.harmed_fraction() <= HARM_BOUND);
            statistics.late_moves += usize::from(run.late_calls > 0);
            let containment = run.containment.unwrap_or(0.0);
            statistics.containment_worst = statistics.containment_worst.max(containment);
        }
        statistics.harmed = harmed / f64::max(planned, 1.0);
        statistics
    }
}

/// Formats a summary as a table.
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
    for statistics in sections.into_iter().flatten() {
        let _ = writeln!(
            text,
            "{:<16} {:<7} {:>5} {:>7} {:>5} {:>6} {:>5} {:>7.3}% {:>7.2}% {:>7} {:>6} {:>7.1}",
            statistics.name,
            statistics.policy,
            statistics.moves,
            statistics.on_time,
            statistics.late,
            statistics.rolled_back,
            statistics.open,
            statistics.harmed * 100.0,
            statistics.harmed_worst * 100.0,
            statistics.harm_bounded,
            statistics.late_moves,
            statistics.containment_worst
        );
    }
    let _ = writeln!(
        text,
        "evidence: {:.0} bytes/s from an owner to each evaluator",
        summary.evidence_bytes
    );
    text
}
