//! Service quality while a failure domain is out of service and after its return.
//!
//! One of three failure domains is taken out of service at 10 s and returns at 40 s with cold
//! backend servers. The run ends at 60 s, so the span after the return covers its first 20 s.

use std::time::Duration;

use serde::Serialize;

use super::mesh::{Mesh, Policy, RunConfig, SITES, success_rate_and_p99};
use crate::flags;

/// When the failure domain is taken out of service and when it returns.
pub const OUTAGE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(40));

/// Duration of a run.
pub const LENGTH: Duration = Duration::from_secs(60);

/// Offered loads as fractions of the capacity.
pub const LOADS: [f64; 3] = [0.5, 0.7, 0.9];

/// A row of the table: the calls of one priority in one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the deployment.
    pub site: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Offered load as a fraction of the capacity.
    pub load: f64,
    /// Priority as an RFC 9218 urgency; 0 is the highest.
    pub urgency: u8,
    /// Success rate and 99th percentile latency in milliseconds before the outage.
    pub before: (f64, f64),
    /// The same during the outage.
    pub during: (f64, f64),
    /// The same after the return.
    pub after: (f64, f64),
    /// Calls started in the domain during the outage, from three seconds after its start.
    pub late_work: u64,
}

/// Runs one deployment, policy and load, and returns a row for each priority.
pub fn measure(site: usize, policy: Policy, load: f64, seed: u64) -> Vec<Row> {
    let site = SITES[site];
    let config = RunConfig {
        site,
        policy,
        load,
        is_warm: true,
        outage: Some(OUTAGE),
        length: LENGTH,
        seed,
    };
    let run = Mesh::run(config);
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

/// Runs the `domain` command: prints its tables and writes the JSON file if one is given.
///
/// # Errors
///
/// Fails if the JSON file cannot be written.
pub fn run(flags: &flags::Domain) -> anyhow::Result<()> {
    let seed = flags.seed.unwrap_or(1);
    println!("seed {seed}; success rate and p99 in ms by priority");
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
