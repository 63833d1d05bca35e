//! Retry storms and cold starts.
//!
//! Three tables: goodput of warm backend servers at 0.5 to 3 times their capacity; load on each
//! backend server relative to its capacity when all start cold; and retry amplification, the
//! attempts at the innermost of twelve layers per call at the outermost.

use std::time::Duration;

use buckthorn::routing::budget::{
    Attempt, Budget, Execution, Failure, Layer, MAX_ATTEMPTS, Next, decide,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::Serialize;

use super::mesh::{Mesh, Policy, RunConfig, SITES, Site, goodput};
use crate::flags;

/// Offered loads as fractions of the capacity.
pub const LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

/// Policies that are compared.
pub const POLICIES: [Policy; 4] = [
    Policy::Product,
    Policy::Fixed,
    Policy::Unlimited,
    Policy::Naive,
];

/// Number of layers in a chain of calls.
pub const DEPTH: u32 = 12;

/// Duration of a run.
const LENGTH: Duration = Duration::from_secs(20);

/// Goodput of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Goodput {
    /// Name of the deployment.
    pub site: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Offered load as a fraction of the capacity.
    pub load: f64,
    /// Successful calls per second as a fraction of the capacity.
    pub goodput: f64,
}

/// Load and goodput of one run that starts cold.
#[derive(Clone, Debug, Serialize)]
pub struct ColdStart {
    /// Name of the deployment.
    pub site: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Highest concurrency on a cold server relative to its capacity at that time.
    pub peak: f64,
    /// Share of the calls started on cold servers that exceeded the server's capacity.
    pub overloads: f64,
    /// Successful calls per second over the run as a fraction of the warm capacity.
    pub goodput: f64,
}

/// Retry amplification along a chain of calls.
#[derive(Clone, Debug, Serialize)]
pub struct Chain {
    /// Whether every layer retries without a budget.
    pub is_naive: bool,
    /// Probability at each layer of a failure with unknown execution.
    pub failure: f64,
    /// Attempts at the innermost layer per call at the outermost.
    pub amplification: f64,
}

/// Returns the parameters of a run without an outage.
fn run_config(site: Site, policy: Policy, load: f64, is_warm: bool, seed: u64) -> RunConfig {
    RunConfig {
        site,
        policy,
        load,
        is_warm,
        outage: None,
        length: LENGTH,
        seed,
    }
}

/// Measures the goodput of warm backend servers from 5 s to 19 s of the run.
pub fn measure_overload(site: usize, policy: Policy, load: f64, seed: u64) -> Goodput {
    let site = SITES[site];
    let run = Mesh::run(run_config(site, policy, load, true, seed));
    let span = (Duration::from_secs(5), LENGTH - Duration::from_secs(1));
    Goodput {
        site: site.name,
        policy: policy.name(),
        load,
        goodput: goodput(&run, &site, span.0, span.1),
    }
}

/// Measures a simultaneous cold start of all backend servers at 0.7 of the warm capacity.
pub fn measure_cold_start(site: usize, policy: Policy, seed: u64) -> ColdStart {
    let site = SITES[site];
    let run = Mesh::run(run_config(site, policy, 0.7, false, seed));
    ColdStart {
        site: site.name,
        policy: policy.name(),
        peak: run.cold_peak,
        overloads: run.cold_overloads as f64 / run.cold_calls.max(1) as f64,
        goodput: goodput(&run, &site, Duration::ZERO, LENGTH - Duration::from_secs(1)),
    }
}

/// Measures the attempts at the innermost layer per call at the outermost.
pub fn measure_chain(is_naive: bool, failure: f64, seed: u64) -> Chain {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let budgets: Vec<Budget> = (0..DEPTH).map(|_| Budget::new()).collect();
    let calls = 20_000;
    let mut attempts = 0;
    for _ in 0..calls {
        call_layer(&budgets, 0, is_naive, failure, &mut rng, &mut attempts);
    }
    let amplification = attempts as f64 / f64::from(calls);
    Chain {
        is_naive,
        failure,
        amplification,
    }
}

/// Makes the call of one layer and its retries; returns whether it succeeded. A layer can fail by
/// itself after its inner call succeeded.
fn call_layer(
    budgets: &[Budget],
    layer: u32,
    is_naive: bool,
    failure: f64,
    rng: &mut ChaCha8Rng,
    attempts: &mut u64,
) -> bool {
    budgets[layer as usize].earn();
    let mut attempts_left = MAX_ATTEMPTS;
    loop {
        attempts_left -= 1;
        let is_last = layer + 1 == DEPTH;
        *attempts += u64::from(is_last);
        let is_good = is_last || call_layer(budgets, layer + 1, is_naive, failure, rng, attempts);
        if is_good && !rng.random_bool(failure) {
            return true;
        }
        let attempt = Attempt {
            is_idempotent: true,
            ran: Execution::Unknown,
            failure: Failure::Status,
            time_left: None,
            attempts_left,
            layer: if layer == 0 {
                Layer::Outermost
            } else {
                Layer::Inner
            },
            is_body_replayable: true,
            is_poison: false,
            is_in_progress: false,
        };
        let is_retried = match is_naive {
            true => attempts_left > 0,
            false => matches!(decide(&budgets[layer as usize], &attempt), Next::Retry(_)),
        };
        if !is_retried {
            return false;
        }
    }
}

/// Runs the `storm` command: prints its tables and writes the JSON file if one is given.
///
/// # Errors
///
/// Fails if the JSON file cannot be written.
pub fn run(flags: &flags::Storm) -> anyhow::Result<()> {
    let seed = flags.seed.unwrap_or(1);
    println!("seed {seed}; goodput as a fraction of the capacity");
    let (mut overloads, mut cold_starts) = (Vec::new(), Vec::new());
    for (index, site) in SITES.iter().enumerate() {
        for policy in POLICIES {
            let row = LOADS.map(|load| measure_overload(index, policy, load, seed));
            let cells: Vec<String> = row
                .iter()
                .map(|g| format!("{:.1}: {:.3}", g.load, g.goodput))
                .collect();
            println!("{:12} {:14} {}", site.name, policy.name(), cells.join("  "));
            overloads.extend(row);
        }
        for policy in POLICIES {
            let row = measure_cold_start(index, policy, seed);
            println!(
                "{:12} {:14} cold start: peak {:.2}, over capacity {:.1}%, goodput {:.3}",
                site.name,
                policy.name(),
                row.peak,
                row.overloads * 100.0,
                row.goodput
            );
            cold_starts.push(row);
        }
    }
    let settings = [
        (false, 0.01),
        (false, 0.1),
        (false, 0.5),
        (true, 0.01),
        (true, 0.1),
    ];
    let chains = settings.map(|(is_naive, failure)| measure_chain(is_naive, failure, seed));
    for c in &chains {
        println!(
            "depth {DEPTH}, failure {:.2}, {}: amplification {:.3}",
            c.failure,
            if c.is_naive {
                "naive retries"
            } else {
                "product"
            },
            c.amplification
        );
    }
    if let Some(path) = &flags.json {
        let json =
            serde_json::json!({ "overload": overloads, "cold": cold_starts, "chain": chains });
        std::fs::write(path, serde_json::to_string_pretty(&json)?)?;
    }
    Ok(())
}
