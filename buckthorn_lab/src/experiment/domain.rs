//! A failure domain that leaves and returns.
//!
//! One of three failure domains goes out at 10 s and returns, its backend servers cold, at 40 s.
//! The run ends at 60 s. The span after the return is the first 20 s of it.

use std::time::Duration;

use serde::Serialize;

use super::mesh::{Mesh, Policy, RunConfig, SITES, success_rate_and_p99};
use crate::flags;

/// When the failure domain goes out and when it returns.
pub const OUTAGE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(40));

/// Length of a run.
pub const LENGTH: Duration = Duration::from_secs(60);

/// Loads as parts of the capacity.
pub const LOADS: [f64; 3] = [0.5, 0.7, 0.9];

/// One line of the table: a priority in one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Deployment.
    pub site: &'static str,
    /// Policy.
    pub policy: &'static str,
    /// Load as a part of the capacity.
    pub load: f64,
    /// Priority.
    pub urgency: u8,
    /// Share of good answers and 99th percentile in milliseconds before.
    pub before: (f64, f64),
    /// The same while the domain is out.
    pub during: (f64, f64),
    /// The same after its return.
    pub after: (f64, f64),
    /// Calls begun in the domain later than three seconds after it went out.
    pub late_work: u64,
}

/// Measures one setting.
pub fn measure(site: usize, policy: Policy, load: f64, seed: u64) -> Vec<Row> {
    let site = SITES[site];
    let plan = RunConfig {
        site,
        policy,
        load,
        is_warm: true,
        outage: Some(OUTAGE),
        length: LENGTH,
        seed,
    };
    let run = Mesh::run(plan);
    [1, 3, 5]
        .map(|urgency| Row {
            site: site.name,
            policy: policy.name(),
            load,
            urgency,
            before: success_rate_and_p99(&run, urgency, Duration::ZERO, OUTAGE.0),
            during: success_rate_and_p99(&run, urgency, OUTAGE.0, OUTAGE.1),
            after: success_rate_and_p99(&run, urgency, OUTAGE.1, LENGTH - Duration::from_secs(1)),
            late_work: run.late_work,
        })
        .to_vec()
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the file for the JSON cannot be written.
pub fn run(flags: &flags::Domain) -> anyhow::Result<()> {
    let seed = flags.seed.unwrap_or(1);
    println!("seed {seed}; share of good answers and p99 in ms by priority");
    println!(
        "site         policy       load urgency  before          out             returned        late work"
    );
    let mut rows = Vec::new();
    for site in 0..SITES.len() {
        for load in LOADS {
            for policy in [Policy::Product, Policy::Fixed] {
                rows.extend(measure(site, policy, load, seed));
            }
        }
    }
    for r in &rows {
        let cell = |(share, p99): (f64, f64)| format!("{:6.2}% {p99:6.1}", share * 100.0);
        println!(
            "{:12} {:12} {:4.1} {:7}  {}  {}  {}  {}",
            r.site,
            r.policy,
            r.load,
            r.urgency,
            cell(r.before),
            cell(r.during),
            cell(r.after),
            r.late_work
        );
    }
    if let Some(path) = &flags.json {
        std::fs::write(path, serde_json::to_string_pretty(&rows)?)?;
    }
    Ok(())
}
