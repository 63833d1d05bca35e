//! Open-loop load that checks every answer.
//!
//! Arrivals do not wait for answers, and a latency counts from the time at which its call was meant
//! to be sent, so that a stall is seen in full.

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

/// Calls a second unless a flag gives another.
const DEFAULT_RATE: f64 = 220.0;
/// Length of a load unless a flag gives another.
const DEFAULT_DURATION: Duration = Duration::from_secs(10);
/// Time after which a caller gives up.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Times that an order of unknown outcome is repeated with its key.
const MAX_REPEATS: u32 = 3;
/// Pause before an order is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Callers' ports of nodes; calls are spread over them at random.
    pub targets: Vec<SocketAddr>,
    /// Deployment whose calls are mixed.
    pub deployment: Deployment,
    /// Calls a second in all.
    pub rate: f64,
    /// Length.
    pub duration: Duration,
    /// Time after which a caller gives up.
    pub timeout: Duration,
    /// Seed.
    pub seed: u64,
}

impl Settings {
    /// Load on the given targets with the defaults.
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

/// Sends a load and waits for all of its answers.
///
/// Runs the arrivals on a thread of its own; needs a tokio runtime with time and network.
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
    let (open, mut ended) = mpsc::channel::<()>(1);
    let runtime = tokio::runtime::Handle::current();
    let (shared, counted) = (clients, tally.clone());
    let sender = tokio::task::spawn_blocking(move || {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut mix = Mix::new(settings.deployment, format!("load-{}", settings.seed));
        let mut arrivals = PoissonArrivals::new(settings.rate, settings.duration);
        while let Some(intended) = arrivals.wait_next(&mut rng) {
            let call = mix.draw(&mut rng);
            let first = rng.random_range(0..shared.len());
            let (clients, tally, open) = (shared.clone(), counted.clone(), open.clone());
            runtime.spawn(async move {
                let outcome = see_through(&clients, first, &call).await;
                let latency = intended.elapsed();
                tally
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .record(&call, outcome, latency);
                drop(open);
            });
        }
    });
    sender.await?;
    // Ends when the last call has let go of its end of the channel.
    ended.recv().await;
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(tally.report())
}

/// Makes a call; an order of unknown outcome is repeated with its key at other nodes.
async fn see_through(clients: &[Client], first: usize, call: &Call) -> Outcome {
    let mut outcome = clients[first].call(call).await;
    if call.kind != call::Kind::Order {
        return outcome;
    }
    for repeat in 1..=MAX_REPEATS {
        let is_open = matches!(
            outcome,
            Outcome::Unknown(_) | Outcome::Broken | Outcome::GaveUp | Outcome::NotRun(_)
        );
        if !is_open {
            break;
        }
        tokio::time::sleep(REPEAT_PAUSE * repeat).await;
        let at = (first + repeat as usize) % clients.len();
        outcome = clients[at].call(call).await;
    }
    outcome
}

/// Runs the command.
///
/// # Errors
///
/// Fails when an answer was wrong, an order ran twice, or an input is bad.
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
        "an answer was wrong or an order ran twice"
    );
    Ok(())
}

/// Writes a report to a file, if one is named.
fn write_json(path: Option<&Path>, report: &impl serde::Serialize) -> anyhow::Result<()> {
    let Some(path) = path else { return Ok(()) };
    let json = serde_json::to_string_pretty(report)?;
    std::fs::write(path, json).with_context(|| format!("cannot write {}", path.display()))
}
