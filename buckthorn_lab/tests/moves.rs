//! A smaller version of the measurement of moves, with its targets as bounds.

use buckthorn_lab::experiment::moves::case::{Case, Kind, SERVICES};
use buckthorn_lab::experiment::moves::policy::{self, End, Policy, RunResult};
use buckthorn_lab::experiment::moves::{DEFAULT_SEED, HARM_BOUND};

/// First case: the first service at its third rate.
const FIRST: usize = 8;

/// Cases of each kind; kinds take turns at the four services.
const CASES: usize = 2;

/// Part of the measurement's times.
const SCALE: f64 = 0.3;

/// Threads that run cases.
const THREADS: usize = 4;

/// Runs the cases of some kinds under the product's policy.
fn run(kinds: &[Kind]) -> Vec<(Case, RunResult)> {
    let cases: Vec<Case> = kinds
        .iter()
        .enumerate()
        .flat_map(|(turn, &kind)| {
            let first = FIRST + (turn + 1) * CASES % SERVICES.len();
            (first..first + CASES).map(move |index| Case::draw(kind, index, DEFAULT_SEED))
        })
        .map(|mut case| {
            case.length *= SCALE;
            case.onset *= SCALE;
            case.disturbance_length *= SCALE;
            case
        })
        .collect();
    std::thread::scope(|scope| {
        let threads: Vec<_> = cases
            .chunks(cases.len().div_ceil(THREADS))
            .map(|chunk| {
                scope.spawn(move || {
                    let run = |case: &Case| (case.clone(), policy::run(case, Policy::Product));
                    chunk.iter().map(run).collect::<Vec<_>>()
                })
            })
            .collect();
        let joined = threads.into_iter().map(|thread| thread.join());
        joined.flat_map(|runs| runs.expect("no panic")).collect()
    })
}

/// Cases for which `is_wrong` holds, described.
fn wrong(runs: &[(Case, RunResult)], is_wrong: impl Fn(&RunResult) -> bool) -> Vec<String> {
    runs.iter()
        .filter(|(_, run)| is_wrong(run))
        .map(|(case, run)| format!("{case:?}: {run:?}"))
        .collect()
}

#[test]
fn good_moves_are_on_time() {
    let runs = run(&Kind::GOOD);
    let late = wrong(&runs, |run| run.end != End::OnTime);
    assert!(late.len() * 100 <= runs.len(), "{late:#?}");
    let back = wrong(&runs, |run| run.end == End::RolledBack);
    assert!(back.len() * 100 <= runs.len(), "{back:#?}");
}

#[test]
fn bad_versions_are_taken_back_and_harm_little() {
    let runs = run(&Kind::BAD);
    let missed = wrong(&runs, |run| run.end != End::RolledBack);
    assert!(missed.len() * 100 <= runs.len(), "{missed:#?}");
    let late = wrong(&runs, |run| run.late_calls > 0);
    assert!(late.is_empty(), "{late:#?}");
    let harmed: u64 = runs.iter().map(|(_, run)| run.harmed).sum();
    let planned: f64 = runs.iter().map(|(_, run)| run.planned).sum();
    assert!(
        harmed as f64 <= HARM_BOUND * planned,
        "{harmed} of {planned}"
    );
}
