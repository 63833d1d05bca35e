//! Time from a record's append until every node has it in force, in virtual time.
//!
//! The nodes are kernels with the plug-ins that ship, on links that lose messages; a lost message
//! is noticed only by its timeout, so the loss stands for connections that break, not for packets
//! that TCP sends again. In the baseline every node polls the log by itself. Control bytes are
//! those of the serialised messages with estimated HTTP headers, sent and received.

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

/// Seed when none is given.
const SEED: u64 = 1;

/// Node counts when none are given.
const NODES: &str = "9,30,90,270,780";

/// Changes measured in each case when no number is given.
const CHANGES: u32 = 10;

/// Services that the backend servers are dealt out to.
const SERVICES: usize = 70;

/// Time in which a mesh settles after its start.
const SETTLE_TIME: Duration = Duration::from_secs(90);

/// Time over which the idle bytes are counted.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Time after which a change counts as not converged.
const LIMIT: Duration = Duration::from_secs(60);

/// Resolution of the measurement.
const STEP: Duration = Duration::from_millis(10);

/// Time from the append to the log's outage.
const OUTAGE_DELAY: Duration = Duration::from_millis(20);

/// Interval at which the baseline's nodes poll the log.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Share of the nodes that die at an append, in percent.
const DYING_PERCENT: usize = 5;

/// Bound on the worst time.
const BOUND: Duration = Duration::from_secs(10);

/// Bound on control bytes of a node and second.
const BOUND_BYTES: f64 = 3_000.0;

/// What goes wrong at an append, besides loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    /// Nothing.
    None,
    /// Some nodes die.
    Deaths,
    /// The log goes away right after the append.
    #[serde(rename = "log_away")]
    LogDown,
}

impl Fault {
    /// Every fault.
    const ALL: [Self; 3] = [Self::None, Self::Deaths, Self::LogDown];

    /// Word in the table.
    const fn word(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Deaths => "deaths",
            Self::LogDown => "log away",
        }
    }
}

/// How nodes learn of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Propagation {
    /// As shipped.
    Shipped,
    /// Every node polls the log.
    Polling,
}

/// Result of one case.
#[derive(Clone, Debug, Serialize)]
struct Row {
    /// Nodes.
    nodes: usize,
    /// How nodes learn of records.
    #[serde(rename = "way")]
    propagation: Propagation,
    /// Chance that a message is lost.
    loss: f64,
    /// What else goes wrong.
    fault: Fault,
    /// Changes appended.
    changes: u32,
    /// Median over nodes and changes, in milliseconds.
    p50_ms: u64,
    /// 99th percentile over nodes and changes, in milliseconds.
    p99_ms: u64,
    /// Longest time of any node and change, in milliseconds.
    worst_ms: u64,
    /// Nodes and changes beyond the limit of the measurement.
    missing: usize,
    /// Control bytes of a node and second while nothing changes, loss included.
    idle_bytes: f64,
    /// Reads that the log answered in a second of the case.
    log_reads: f64,
}

/// Results as written to the JSON file.
#[derive(Clone, Debug, Serialize)]
struct Output {
    /// Name of the experiment.
    experiment: &'static str,
    /// Seed.
    seed: u64,
    /// Rows.
    rows: Vec<Row>,
}

/// Runs the command.
///
/// # Errors
///
/// Fails when a flag is bad, the file cannot be written, or the shipped way misses a bound.
pub fn run(flags: &flags::Convergence) -> anyhow::Result<()> {
    let seed = flags.seed.unwrap_or(SEED);
    let changes = flags.changes.unwrap_or(CHANGES);
    let counts: Vec<usize> = flags
        .nodes
        .as_deref()
        .unwrap_or(NODES)
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
                println!("{}", line(&row));
                rows.push(row);
            }
        }
    }
    let verdict = check(&rows);
    if let Some(path) = &flags.json {
        let output = Output {
            experiment: "convergence",
            seed,
            rows,
        };
        std::fs::write(path, serde_json::to_vec_pretty(&output)?)
            .with_context(|| format!("--json: {}", path.display()))?;
    }
    verdict
}

/// Line of the table.
fn line(row: &Row) -> String {
    let propagation = match row.propagation {
        Propagation::Shipped => "shipped",
        Propagation::Polling => "polling",
    };
    format!(
        "{:>5}  {:<8} {:>4}%  {:<8}  {:>7} {:>7} {:>8} {:>7}  {:>8.0} {:>9.1}",
        row.nodes,
        propagation,
        row.loss * 100.0,
        row.fault.word(),
        row.p50_ms,
        row.p99_ms,
        row.worst_ms,
        row.missing,
        row.idle_bytes,
        row.log_reads
    )
}

/// Compares the rows of the shipped way with the bounds.
fn check(rows: &[Row]) -> anyhow::Result<()> {
    let late = rows
        .iter()
        .filter(|row| row.propagation == Propagation::Shipped)
        .filter(|row| row.missing > 0 || row.worst_ms > BOUND.as_millis() as u64)
        .count();
    let heavy = rows
        .iter()
        .filter(|row| row.propagation == Propagation::Shipped && row.idle_bytes > BOUND_BYTES)
        .count();
    println!("over 10 s: {late} cases; over 3000 idle bytes a node and second: {heavy} cases");
    anyhow::ensure!(late == 0, "{late} cases did not converge within 10 s");
    Ok(())
}

/// Measures every case of one mesh.
fn measure(nodes: usize, propagation: Propagation, changes: u32, seed: u64) -> Vec<Row> {
    let mut plan = MeshConfig::new(nodes, seed, register_shipped);
    plan.failure_domains = if nodes < 27 { 3 } else { 9 };
    plan.regions = 3;
    plan.seeds = 6.min(nodes);
    if propagation == Propagation::Polling {
        plan.register = register_polling;
    }
    let mut mesh = Mesh::new(&plan);
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
    let mut name = 0;
    for loss in [0.0, 0.05, 0.2] {
        mesh.links.loss = loss;
        let bytes = mesh.bytes();
        mesh.run(IDLE_TIME);
        let idle = (mesh.bytes() - bytes) as f64 / IDLE_TIME.as_secs_f64() / nodes as f64;
        for fault in Fault::ALL {
            let (begin, reads) = (mesh.now(), mesh.log.reads);
            let mut times = Vec::new();
            for _ in 0..changes {
                name += 1;
                times.extend(change(&mut mesh, fault, name));
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

/// Appends one change and returns the time that each live node took, `None` beyond the limit.
fn change(mesh: &mut Mesh, fault: Fault, name: usize) -> Vec<Option<Duration>> {
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
            service: format!("new-{name}").into(),
            route: "".into(),
            version: "v1".into(),
        }],
    }));
    let offset = mesh.append(CONFIG_STREAM, &format!("change-{name}"), &payload);
    let begin = mesh.now();
    let dead = if fault == Fault::Deaths {
        kill_some(mesh)
    } else {
        Vec::new()
    };
    let mut waiting: Vec<usize> = mesh.kernels().map(|(i, _)| i).collect();
    let mut times = Vec::new();
    while !waiting.is_empty() && mesh.now().since(begin) < LIMIT {
        if fault == Fault::LogDown && mesh.now().since(begin) >= OUTAGE_DELAY {
            mesh.log.is_down = true;
        }
        mesh.run(STEP);
        let elapsed = mesh.now().since(begin);
        let is_behind = |&node: &usize| {
            mesh.kernel(node)
                .is_some_and(|kernel| kernel.shared().tail.state().next <= offset)
        };
        let before = waiting.len();
        waiting.retain(is_behind);
        times.extend((waiting.len()..before).map(|_| Some(elapsed)));
    }
    times.extend(waiting.iter().map(|_| None));
    mesh.log.is_down = false;
    for node in dead {
        mesh.start(node);
    }
    // Changes come at any phase of the nodes' timers.
    mesh.run(Duration::from_millis(3_000 + (name as u64 * 617) % 5_000));
    times
}

/// Kills a share of the nodes.
fn kill_some(mesh: &mut Mesh) -> Vec<usize> {
    let count = (mesh.nodes.len() * DYING_PERCENT / 100).max(1);
    let mut rng = mesh.rng().clone();
    let dead = (0..mesh.nodes.len()).choose_multiple(&mut rng, count);
    // The run's own numbers go on from a different place next time.
    let _: u64 = rand::Rng::random(mesh.rng());
    for &node in &dead {
        mesh.kill(node);
    }
    dead
}

/// Quantile in milliseconds; those beyond the limit count as the limit.
fn quantile(times: &mut [Option<Duration>], q: f64) -> u64 {
    times.sort_by_key(|time| time.unwrap_or(LIMIT));
    let index = ((times.len() as f64 * q).ceil() as usize).clamp(1, times.len().max(1)) - 1;
    times.get(index).map_or(0, |time| {
        time.unwrap_or(LIMIT)
            .as_millis()
            .try_into()
            .unwrap_or(u64::MAX)
    })
}

/// Plug-ins as shipped.
fn register_shipped(registry: &mut Registry) {
    membership::register(registry);
    journal::plugin::register(registry);
    rollout::plugin::register(registry);
}

/// Plug-in of the baseline.
fn register_polling(registry: &mut Registry) {
    registry.add(Poller::default());
}

/// Polls the log by itself and talks to nobody.
#[derive(Debug, Default)]
struct Poller {
    /// When the next poll is due.
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
