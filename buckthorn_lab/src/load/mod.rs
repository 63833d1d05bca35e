//! Open-loop load generator that checks every response.
//!
//! Arrivals do not wait for responses, and latency is measured from the scheduled time of a call,
//! so that a stall shows in full (no coordinated omission).

pub mod arrivals;
pub mod call;
pub mod client;
pub mod latency;
pub mod tally;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, ensure};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::sync::mpsc;

pub use tally::Report;

use self::arrivals::PoissonArrivals;
use self::call::{Call, Deployment, Mix};
use self::client::{Client, Outcome};
use self::tally::Tally;
use crate::flags;

/// Calls per second unless `--rate` is given.
const DEFAULT_RATE: f64 = 220.0;
/// Duration of a load unless `--secs` is given.
const DEFAULT_DURATION: Duration = Duration::from_secs(10);
/// Timeout of a call.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of retries of an order, with the same idempotency key.
const MAX_RETRIES: u32 = 3;
/// Backoff before the first retry of an order; it grows linearly.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Caller ports of nodes; each call picks one at random.
    pub targets: Vec<SocketAddr>,
    /// Deployment whose traffic mix is sent.
    pub deployment: Deployment,
    /// Calls per second, over all targets.
    pub rate: f64,
    /// Time during which calls arrive.
    pub duration: Duration,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Settings {
    /// Default settings for the given targets.
    pub fn new(targets: impl Into<Vec<SocketAddr>>) -> Self {
        Self {
            targets: targets.into(),
            deployment: Deployment::default(),
            rate: DEFAULT_RATE,
            duration: DEFAULT_DURATION,
            timeout: DEFAULT_TIMEOUT,
            seed: 1,
        }
    }
}

/// Sends a load and waits until every call has ended.
///
/// Schedules the arrivals on a blocking thread; needs a tokio runtime with time and I/O enabled.
///
/// # Errors
///
/// Fails when there is no target.
pub async fn send(settings: Settings) -> anyhow::Result<Report> {
    ensure!(!settings.targets.is_empty(), "a load needs a target");
    let clients: Vec<_> = settings
        .targets
        .iter()
        .map(|target| Client::new(*target, settings.timeout))
        .collect();
    let clients: Arc<[Client]> = clients.into();
    let tally = Arc::new(Mutex::new(Tally::new()?));
    let (pending, mut all_ended) = mpsc::channel::<()>(1);
    let runtime = tokio::runtime::Handle::current();
    let (all_clients, shared_tally) = (clients, tally.clone());
    let sender = tokio::task::spawn_blocking(move || {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut mix = Mix::new(settings.deployment, format!("load-{}", settings.seed));
        let mut arrivals = PoissonArrivals::new(settings.rate, settings.duration);
        while let Some(intended) = arrivals.wait_next(&mut rng) {
            let call = mix.draw(&mut rng);
            let first = rng.random_range(0..all_clients.len());
            let (clients, tally, pending) =
                (all_clients.clone(), shared_tally.clone(), pending.clone());
            runtime.spawn(async move {
                let outcome = call_with_retries(&clients, first, &call).await;
                let latency = intended.elapsed();
                tally
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .record(&call, outcome, latency);
                drop(pending);
            });
        }
    });
    sender.await?;
    // Returns when the last call has dropped its sender.
    all_ended.recv().await;
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(tally.report())
}

/// Sends a call. An order that was refused as not run or whose outcome is unknown is retried at
/// other nodes, with the same idempotency key.
async fn call_with_retries(clients: &[Client], first: usize, call: &Call) -> Outcome {
    let mut outcome = clients[first].call(call).await;
    if call.kind != call::Kind::Order {
        return outcome;
    }
    for retry in 1..=MAX_RETRIES {
        let is_retryable = matches!(
            outcome,
            Outcome::Unknown(_) | Outcome::Broken | Outcome::GaveUp | Outcome::NotRun(_)
        );
        if !is_retryable {
            break;
        }
        tokio::time::sleep(RETRY_BACKOFF * retry).await;
        let index = (first + retry as usize) % clients.len();
        outcome = clients[index].call(call).await;
    }
    outcome
}

/// Runs the `load` command.
///
/// # Errors
///
/// Fails when a response had a wrong body, an order ran twice, or a flag is invalid.
pub fn run(flags: &flags::Load) -> anyhow::Result<()> {
    let deployment = match &flags.deployment {
        Some(name) => Deployment::parse(name)?,
        None => Deployment::default(),
    };
    let mut settings = Settings::new(flags.target.clone());
    settings.deployment = deployment;
    settings.rate = flags.rate.unwrap_or(DEFAULT_RATE);
    settings.duration = flags.secs.map_or(DEFAULT_DURATION, Duration::from_secs);
    settings.seed = flags.seed.unwrap_or(settings.seed);
    if flags.latency {
        let report = latency::measure(&settings)?;
        print!("{report}");
        return write_json(flags.json.as_deref(), &report);
    }
    ensure!(
        !settings.targets.is_empty(),
        "load needs --target or --latency"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let report = runtime.block_on(send(settings))?;
    print!("{report}");
    write_json(flags.json.as_deref(), &report)?;
    ensure!(
        report.is_clean(),
        "a response had a wrong body or an order ran twice"
    );
    Ok(())
}

/// Writes a report as JSON when a path is given.
fn write_json(path: Option<&Path>, report: &impl serde::Serialize) -> anyhow::Result<()> {
    let Some(path) = path else { return Ok(()) };
    let json = serde_json::to_string_pretty(report)?;
    std::fs::write(path, json).with_context(|| format!("cannot write {}", path.display()))
}
