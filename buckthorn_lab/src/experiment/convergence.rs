//! Time from the append of a change until every node has it in force, in virtual time.
//!
//! The nodes run production kernels and plug-ins on links that lose messages. A lost message is
//! detected only by a timeout, so the loss models broken connections rather than packets that TCP
//! retransmits. In the baseline every node polls the log on its own. Control bytes count the
//! serialised messages with estimated HTTP headers, both sent and received.

use std::time::Duration;

use anyhow::Context as _;
use buckthorn::config::change::{Change, Operation};
use buckthorn::journal::record::{self, Body, CONFIG_STREAM};
use buckthorn::kernel::{Action, Context, Event, Plugin, Registry};
use buckthorn::membership::member::BackendServer;
use buckthorn::{journal, membership, rollout};
use rand::seq::IteratorRandom;
use serde::Serialize;

use crate::flags;
use crate::harness::{Mesh, MeshConfig};

/// Seed when the flag is absent.
const DEFAULT_SEED: u64 = 1;

/// Node counts when the flag is absent.
const DEFAULT_NODES: &str = "9,30,90,270,780";

/// Changes measured in each case when the flag is absent.
const DEFAULT_CHANGES: u32 = 10;

/// Number of services that the backend servers are distributed over.
const SERVICES: usize = 70;

/// Time for a mesh to settle after its start.
const SETTLE_TIME: Duration = Duration::from_secs(90);

/// Time over which the control bytes of an idle mesh are counted.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Time after which a node that lacks the change counts as missing.
const MEASUREMENT_LIMIT: Duration = Duration::from_secs(60);

/// Resolution of the measured times.
const RESOLUTION: Duration = Duration::from_millis(10);

/// Time from the append to the start of a log outage.
const OUTAGE_DELAY: Duration = Duration::from_millis(20);

/// Interval at which a node of the baseline polls the log.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Percentage of the nodes that are killed at an append.
const DYING_PERCENT: usize = 5;

/// Bound on the longest time of any node and change.
const MAX_CONVERGENCE_TIME: Duration = Duration::from_secs(10);

/// Bound on the control bytes per node and second while idle.
const MAX_IDLE_BYTES: f64 = 3_000.0;

/// Fault injected at an append, in addition to message loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    /// No fault.
    None,
    /// A share of the nodes is killed.
    Deaths,
    /// The log goes down shortly after the append.
    #[serde(rename = "log_away")]
    LogDown,
}

impl Fault {
    /// All variants.
    const ALL: [Self; 3] = [Self::None, Self::Deaths, Self::LogDown];

    /// Returns the text shown in the table.
    const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Deaths => "deaths",
            Self::LogDown => "log away",
        }
    }
}

/// How records reach the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Propagation {
    /// Through the production plug-ins.
    Shipped,
    /// Every node polls the log on its own.
    Polling,
}

/// Result of one case; its fields are the keys of the JSON.
#[derive(Clone, Debug, Serialize)]
struct Row {
    /// Number of nodes.
    nodes: usize,
    /// How records reach the nodes.
    #[serde(rename = "way")]
    propagation: Propagation,
    /// Probability that a message is lost.
    loss: f64,
    /// Fault injected at each append.
    fault: Fault,
    /// Number of changes appended.
    changes: u32,
    /// Median propagation time over nodes and changes, in milliseconds.
    p50_ms: u64,
    /// 99th percentile of the propagation time over nodes and changes, in milliseconds.
    p99_ms: u64,
    /// Longest propagation time of any node and change, in milliseconds.
    worst_ms: u64,
    /// Pairs of node and change that exceeded the measurement limit.
    missing: usize,
    /// Control bytes per node and second without changes, under the same message loss.
    idle_bytes: f64,
    /// Reads served by the log per second of the case.
    log_reads: f64,
}

/// Content of the JSON file.
#[derive(Clone, Debug, Serialize)]
struct Output {
    /// Name of the experiment.
    experiment: &'static str,
    /// Seed of the runs.
    seed: u64,
    /// Results by case.
    rows: Vec<Row>,
}

/// Runs the `convergence` command: prints its tables and writes the JSON file if one is given.
///
/// # Errors
///
/// Fails if a flag is invalid, the JSON file cannot be written, or a case of the shipped
/// propagation takes longer than 10 s.
pub fn run(flags: &flags::Convergence) -> anyhow::Result<()> {
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let changes = flags.changes.unwrap_or(DEFAULT_CHANGES);
    let counts: Vec<usize> = flags
        .nodes
        .as_deref()
        .unwrap_or(DEFAULT_NODES)
        .split(',')
        .map(|n| n.trim().parse().context("--nodes: expected numbers"))
        .collect::<anyhow::Result<_>>()?;
    anyhow::ensure!(
        counts.iter().all(|n| (3..=4_000).contains(n)),
        "--nodes: expected between 3 and 4000"
    );
    let mut rows = Vec::new();
    println!(
        "{:>5}  {:<8} {:>5}  {:<8}  {:>7} {:>7} {:>8} {:>7}  {:>8} {:>9}",
        "nodes",
        "way",
        "loss",
        "fault",
        "p50 ms",
        "p99 ms",
        "worst ms",
        "missing",
        "idle B/s",
        "reads/s"
    );
    for &nodes in &counts {
        for propagation in [Propagation::Shipped, Propagation::Polling] {
            for row in measure(nodes, propagation, changes, seed) {
                println!("{}", format_row(&row));
                rows.push(row);
            }
        }
    }
    let check_result = check_bounds(&rows);
    if let Some(path) = &flags.json {
        let output = Output {
            experiment: "convergence",
            seed,
            rows,
        };
        std::fs::write(path, serde_json::to_vec_pretty(&output)?)
            .with_context(|| format!("--json: {}", path.display()))?;
    }
    check_result
}

/// Formats a row of the table.
fn format_row(row: &Row) -> String {
    let propagation = match row.propagation {
        Propagation::Shipped => "shipped",
        Propagation::Polling => "polling",
    };
    format!(
        "{:>5}  {:<8} {:>4}%  {:<8}  {:>7} {:>7} {:>8} {:>7}  {:>8.0} {:>9.1}",
        row.nodes,
        propagation,
        row.loss * 100.0,
        row.fault.as_str(),
        row.p50_ms,
        row.p99_ms,
        row.worst_ms,
        row.missing,
        row.idle_bytes,
        row.log_reads
    )
}

/// Checks the rows of the shipped propagation against the bounds and prints how many exceed them;
/// only the bound on time makes it fail.
fn check_bounds(rows: &[Row]) -> anyhow::Result<()> {
    let late = rows
        .iter()
        .filter(|row| row.propagation == Propagation::Shipped)
        .filter(|row| row.missing > 0 || row.worst_ms > MAX_CONVERGENCE_TIME.as_millis() as u64)
        .count();
    let over_budget = rows
        .iter()
        .filter(|row| row.propagation == Propagation::Shipped && row.idle_bytes > MAX_IDLE_BYTES)
        .count();
    println!(
        "over 10 s: {late} cases; over 3000 idle bytes per node and second: {over_budget} cases"
    );
    anyhow::ensure!(late == 0, "{late} cases did not converge within 10 s");
    Ok(())
}

/// Measures every combination of message loss and fault on one mesh.
fn measure(nodes: usize, propagation: Propagation, changes: u32, seed: u64) -> Vec<Row> {
    let mut config = MeshConfig::new(nodes, seed, register_shipped);
    config.failure_domains = if nodes < 27 { 3 } else { 9 };
    config.regions = 3;
    config.seeds = 6.min(nodes);
    if propagation == Propagation::Polling {
        config.register = register_polling;
    }
    let mut mesh = Mesh::new(&config);
    for node in 0..nodes {
        let server = BackendServer {
            service: format!("service-{}", node % SERVICES).into(),
            version: "v1".into(),
            slots: 10,
            connections: 130,
            is_draining: false,
        };
        mesh.deliver(node, &Event::Announced(Some(server)));
    }
    mesh.run(SETTLE_TIME);
    let mut rows = Vec::new();
    let mut change_number = 0;
    for loss in [0.0, 0.05, 0.2] {
        mesh.links.loss = loss;
        let bytes = mesh.bytes();
        mesh.run(IDLE_TIME);
        let idle = (mesh.bytes() - bytes) as f64 / IDLE_TIME.as_secs_f64() / nodes as f64;
        for fault in Fault::ALL {
            let (begin, reads) = (mesh.now(), mesh.log.reads);
            let mut times = Vec::new();
            for _ in 0..changes {
                change_number += 1;
                times.extend(measure_change(&mut mesh, fault, change_number));
            }
            let elapsed = mesh.now().since(begin).as_secs_f64();
            rows.push(Row {
                nodes,
                propagation,
                loss,
                fault,
                changes,
                p50_ms: quantile(&mut times, 0.5),
                p99_ms: quantile(&mut times, 0.99),
                worst_ms: quantile(&mut times, 1.0),
                missing: times.iter().filter(|t| t.is_none()).count(),
                idle_bytes: idle,
                log_reads: (mesh.log.reads - reads) as f64 / elapsed,
            });
        }
    }
    rows
}

/// Appends one change and returns the time that each live node took to apply it, `None` where it
/// exceeded the measurement limit.
fn measure_change(mesh: &mut Mesh, fault: Fault, change_number: usize) -> Vec<Option<Duration>> {
    let base = mesh
        .kernels()
        .map(|(_, kernel)| kernel.shared().tail.state().intent_version)
        .max()
        .unwrap_or(0);
    let payload = record::encode(Body::Change(Change {
        base,
        author: "convergence".into(),
        at: mesh.now(),
        operations: vec![Operation::Serve {
            service: format!("new-{change_number}").into(),
            route: "".into(),
            version: "v1".into(),
        }],
    }));
    let offset = mesh.append(CONFIG_STREAM, &format!("change-{change_number}"), &payload);
    let begin = mesh.now();
    let dead = if fault == Fault::Deaths {
        kill_random_nodes(mesh)
    } else {
        Vec::new()
    };
    let mut pending: Vec<usize> = mesh.kernels().map(|(i, _)| i).collect();
    let mut times = Vec::new();
    while !pending.is_empty() && mesh.now().since(begin) < MEASUREMENT_LIMIT {
        if fault == Fault::LogDown && mesh.now().since(begin) >= OUTAGE_DELAY {
            mesh.log.is_down = true;
        }
        mesh.run(RESOLUTION);
        let elapsed = mesh.now().since(begin);
        let is_behind = |&node: &usize| {
            mesh.kernel(node)
                .is_some_and(|kernel| kernel.shared().tail.state().next <= offset)
        };
        let before = pending.len();
        pending.retain(is_behind);
        times.extend((pending.len()..before).map(|_| Some(elapsed)));
    }
    times.extend(pending.iter().map(|_| None));
    mesh.log.is_down = false;
    for node in dead {
        mesh.start(node);
    }
    // The pause differs for each change, so that changes hit the nodes' timers at different phases.
    mesh.run(Duration::from_millis(
        3_000 + (change_number as u64 * 617) % 5_000,
    ));
    times
}

/// Kills a random share of the nodes and returns their indices.
fn kill_random_nodes(mesh: &mut Mesh) -> Vec<usize> {
    let count = (mesh.nodes.len() * DYING_PERCENT / 100).max(1);
    let mut rng = mesh.rng().clone();
    let dead = (0..mesh.nodes.len()).choose_multiple(&mut rng, count);
    // The choice used a clone; this advances the run's generator so that the next one differs.
    let _: u64 = rand::Rng::random(mesh.rng());
    for &node in &dead {
        mesh.kill(node);
    }
    dead
}

/// Returns a quantile in milliseconds; times beyond the measurement limit count as the limit.
fn quantile(times: &mut [Option<Duration>], q: f64) -> u64 {
    times.sort_by_key(|time| time.unwrap_or(MEASUREMENT_LIMIT));
    let index = ((times.len() as f64 * q).ceil() as usize).clamp(1, times.len().max(1)) - 1;
    times.get(index).map_or(0, |time| {
        time.unwrap_or(MEASUREMENT_LIMIT)
            .as_millis()
            .try_into()
            .unwrap_or(u64::MAX)
    })
}

/// Registers the production plug-ins.
fn register_shipped(registry: &mut Registry) {
    membership::register(registry);
    journal::plugin::register(registry);
    rollout::plugin::register(registry);
}

/// Registers the plug-in of the polling baseline.
fn register_polling(registry: &mut Registry) {
    registry.add(Poller::default());
}

/// Polls the log and exchanges nothing with other nodes.
#[derive(Debug, Default)]
struct Poller {
    /// When the next poll is due; `None` before the first tick.
    due: Option<buckthorn::clock::Time>,
}

impl Plugin for Poller {
    fn name(&self) -> &'static str {
        "poller"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => {
                let jitter: f64 = rand::Rng::random(cx.rng);
                let due = *self
                    .due
                    .get_or_insert(cx.now + POLL_INTERVAL.mul_f64(jitter));
                if cx.now < due {
                    return;
                }
                self.due = Some(cx.now + POLL_INTERVAL);
                let from = cx.shared.tail.state().next;
                cx.act(Action::Read {
                    stream: CONFIG_STREAM,
                    from,
                    wait: Duration::ZERO,
                });
            }
            Event::LogRead { batch, .. } => {
                for record in &batch.records {
                    cx.shared.tail.push(record);
                }
            }
            _ => {}
        }
    }
}
