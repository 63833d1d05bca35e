//! A smaller version of the moves experiment, with its targets as bounds.

use buckthorn_lab::experiment::moves::case::{Case, Kind, SERVICES};
use buckthorn_lab::experiment::moves::policy::{self, End, Policy, RunResult};
use buckthorn_lab::experiment::moves::{DEFAULT_SEED, HARM_BOUND};

/// Index of the first case: the first service at its third rate.
const FIRST: usize = 8;

/// Cases of each kind; successive kinds start at different ones of the four services.
const CASES: usize = 2;

/// Factor by which the experiment's times are shortened.
const SCALE: f64 = 0.3;

/// Number of threads that run cases.
const THREADS: usize = 4;

/// Runs cases of some kinds under the product's policy.
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

/// Describes the cases for which `is_failure` holds.
fn describe_failures(
    runs: &[(Case, RunResult)],
    is_failure: impl Fn(&RunResult) -> bool,
) -> Vec<String> {
    runs.iter()
        .filter(|(_, run)| is_failure(run))
        .map(|(case, run)| format!("{case:?}: {run:?}"))
        .collect()
}

#[test]
fn good_moves_are_on_time() {
    let runs = run(&Kind::GOOD);
    let late = describe_failures(&runs, |run| run.end != End::OnTime);
    assert!(late.len() * 100 <= runs.len(), "{late:#?}");
    let rolled_back = describe_failures(&runs, |run| run.end == End::TakenBack);
    assert!(rolled_back.len() * 100 <= runs.len(), "{rolled_back:#?}");
}

#[test]
fn bad_versions_are_rolled_back_and_harm_few_calls() {
    let runs = run(&Kind::BAD);
    let missed = describe_failures(&runs, |run| run.end != End::TakenBack);
    assert!(missed.len() * 100 <= runs.len(), "{missed:#?}");
    let late = describe_failures(&runs, |run| run.late_calls > 0);
    assert!(late.is_empty(), "{late:#?}");
    let harmed: u64 = runs.iter().map(|(_, run)| run.harmed).sum();
    let planned: f64 = runs.iter().map(|(_, run)| run.planned).sum();
    assert!(
        harmed as f64 <= HARM_BOUND * planned,
        "{harmed} of {planned}"
    );
}
