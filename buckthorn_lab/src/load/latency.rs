//! Latency that ingress and owner add to a call, compared with calls sent directly to the backend
//! server and interleaved with them in one run.
//!
//! All components run in one process, each on its own threads, so that CPU time can be attributed
//! by thread name.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use buckthorn::admission::semaphore::Semaphore;
use buckthorn::clock::Clock;
use buckthorn::counter::Counters;
use buckthorn::proxy::owner::Owner;
use buckthorn::proxy::{self, Handle, Plane};
use buckthorn::rollout::evidence::Recorder;
use buckthorn::routing::load::Load;
use buckthorn::routing::table::{Endpoint, Route, Service, Share, Table};
use buckthorn::secret::Secrets;
use http_body_util::{BodyExt, Empty};
use oxhttp::model::Request;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::Settings;
use super::arrivals::PoissonArrivals;
use super::call::{Call, Kind, Mix};
use super::client::{Client, Outcome};
use super::tally::{LatencyHistogram, Summary, increment};
use crate::backend::{Ledger, Server, Settings as Backend};

/// Worker threads of each component.
const THREADS: usize = 2;
/// Rounds of concurrent calls before the measurement. They open connections and raise the owner's
/// limit, which starts at two calls, to the slots of the backend server.
const WARM_UP_ROUNDS: usize = 50;
/// Calls per HTTP client in their comparison.
const CLIENT_CALLS: usize = 2_000;
/// Maximum time for a node to drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Results of the measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Calls per second on each path.
    pub rate: f64,
    /// Latency of calls sent directly to the backend server.
    pub direct: Summary,
    /// Latency through an ingress node and an owner node.
    pub two_nodes: Summary,
    /// Latency through one node that is both ingress and owner.
    pub one_node: Summary,
    /// Median, 99th and 99.9th percentile added by two nodes, in milliseconds.
    pub added_two_nodes_ms: [f64; 3],
    /// Median, 99th and 99.9th percentile added by one node, in milliseconds.
    pub added_one_node_ms: [f64; 3],
    /// Calls without a correct response, by path and outcome.
    pub failed: Vec<(String, u64)>,
    /// CPU usage of the ingress node, in percent of one core.
    pub ingress_cpu_percent: f64,
    /// CPU usage of the owner node, in percent of one core.
    pub owner_cpu_percent: f64,
    /// Resident memory of the whole process, in MiB.
    pub process_rss_mb: f64,
    /// Latency of sequential calls over a pooled `hyper` connection.
    pub hyper_pooled: Summary,
    /// Latency of sequential calls with `oxhttp`, which opens a connection for each.
    pub oxhttp: Summary,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} calls/s on each path", self.rate)?;
        for (outcome, count) in &self.failed {
            writeln!(f, "failed {count}: {outcome}")?;
        }
        writeln!(
            f,
            "{:>22} {:>8} {:>9} {:>9} {:>9}",
            "", "calls", "p50 ms", "p99 ms", "p99.9 ms"
        )?;
        let rows = [
            ("direct", &self.direct),
            ("one node", &self.one_node),
            ("ingress and owner", &self.two_nodes),
            ("hyper, pooled", &self.hyper_pooled),
            ("oxhttp", &self.oxhttp),
        ];
        for (name, s) in rows {
            writeln!(
                f,
                "{name:>22} {:>8} {:>9.3} {:>9.3} {:>9.3}",
                s.count, s.p50_ms, s.p99_ms, s.p999_ms
            )?;
        }
        let [p50, p99, p999] = self.added_one_node_ms;
        writeln!(
            f,
            "added by one node: p50 {p50:.3} p99 {p99:.3} p99.9 {p999:.3} ms"
        )?;
        let [p50, p99, p999] = self.added_two_nodes_ms;
        writeln!(
            f,
            "added by two nodes: p50 {p50:.3} p99 {p99:.3} p99.9 {p999:.3} ms"
        )?;
        writeln!(
            f,
            "CPU: ingress {:.2}%, owner {:.2}% of a core; resident memory of the process {:.1} MB",
            self.ingress_cpu_percent, self.owner_cpu_percent, self.process_rss_mb
        )
    }
}

/// Node without control plane, on its own threads.
struct Node {
    /// Runtime with the node's threads.
    runtime: Runtime,
    /// Handle of the running servers.
    handle: Handle,
    /// State of the proxy.
    plane: Arc<Plane>,
    /// Address of the caller port.
    callers: SocketAddr,
    /// Address of the hop port.
    hop: SocketAddr,
}

/// Starts a runtime whose threads have the given name.
fn runtime(name: &str) -> anyhow::Result<Runtime> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name(name)
        .enable_all()
        .build()?;
    Ok(runtime)
}

/// Starts a node; it is an owner when a backend server is given.
fn node(host: &str, service: &str, backend: Option<SocketAddr>) -> anyhow::Result<Node> {
    let runtime = runtime(host)?;
    let clock = Clock::new();
    let counters = Arc::new(Counters::new());
    let settings = Backend::default();
    let owner = backend.map(|address| {
        let (slots, connections) = (settings.slots, settings.connections);
        let semaphore = Semaphore::new(clock.clone(), counters.clone(), slots);
        let recorder = Arc::new(Recorder::new());
        Arc::new(Owner::new(
            service,
            "v1",
            address,
            slots,
            connections,
            semaphore,
            recorder,
        ))
    });
    let plane = Plane::builder(host, "fd-1", Secrets::new("latency", None))
        .table(Arc::new(ArcSwap::default()))
        .owner(Arc::new(ArcSwapOption::from(owner)))
        .counters(counters)
        .clock(clock)
        .build();
    let plane = Arc::new(plane);
    let (callers, hop) = runtime.block_on(async {
        let callers = TcpListener::bind("127.0.0.1:0").await?;
        let hop = TcpListener::bind("127.0.0.1:0").await?;
        anyhow::Ok((callers, hop))
    })?;
    let addresses = (callers.local_addr()?, hop.local_addr()?);
    let served = plane.clone();
    let handle = runtime.block_on(async move { proxy::serve(served, callers, hop) });
    Ok(Node {
        runtime,
        handle,
        plane,
        callers: addresses.0,
        hop: addresses.1,
    })
}

/// Builds a routing table that sends a service to one node.
fn table(service: &str, host: &str, hop: SocketAddr) -> Table {
    let endpoint = Endpoint {
        host: host.into(),
        hop,
        failure_domain: "fd-1".into(),
        region: "lab".into(),
        slots: Backend::default().slots,
        load: Arc::new(Load::default()),
    };
    let share = Share {
        version: "v1".into(),
        permille: 1_000,
        move_id: None,
        endpoints: vec![endpoint],
        distance_ends: [1, 1],
    };
    let route = Route {
        prefix: "".into(),
        shares: vec![share],
    };
    Table {
        version: 1,
        services: vec![Service {
            name: service.into(),
            routes: vec![route],
            budget: Arc::default(),
        }],
        domains_out: Vec::new(),
        failure_domain: "fd-1".into(),
        region: "lab".into(),
        policy: None,
    }
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a component cannot be started.
pub fn measure(settings: &Settings) -> anyhow::Result<Report> {
    let service = settings.deployment.service(Kind::Lookup);
    let backend_runtime = runtime("backend")?;
    // Timers are coarse; without a service time only the path of the call differs.
    let instant = Backend {
        service_time: Duration::ZERO,
        ..Backend::default()
    };
    let backend = Server::start(instant, Arc::new(Ledger::new()));
    let backend = backend_runtime.block_on(backend)?;
    let ingress = node("ingress", service, None)?;
    let owner = node("owner", service, Some(backend.address()))?;
    for node in [&ingress, &owner] {
        node.plane
            .table
            .store(Arc::new(table(service, "owner", owner.hop)));
    }
    let targets = [backend.address(), ingress.callers, owner.callers];
    let callers = runtime("callers")?;
    let mut report = interleave(settings, &callers, targets)?;
    callers.block_on(compare_clients(backend.address(), &mut report))?;
    for node in [ingress, owner] {
        node.runtime.block_on(node.handle.drain(DRAIN_TIMEOUT));
        node.runtime.shutdown_background();
    }
    backend_runtime.shutdown_background();
    callers.shutdown_background();
    Ok(report)
}

/// Paths that calls take in turn, as named in reports.
const PATHS: [&str; 3] = ["direct", "ingress and owner", "one node"];

/// Results by path.
struct PathResults {
    /// Latencies in the order of [`PATHS`].
    latencies: [LatencyHistogram; 3],
    /// Calls without a correct response, by path and outcome.
    failed: Vec<(String, u64)>,
}

/// Sends calls on the three paths in turn.
fn interleave(
    settings: &Settings,
    runtime: &Runtime,
    targets: [SocketAddr; 3],
) -> anyhow::Result<Report> {
    let clients = targets.map(|target| Arc::new(Client::new(target, settings.timeout)));
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut mix = Mix::new(settings.deployment, format!("latency-{}", settings.seed));
    for _ in 0..WARM_UP_ROUNDS {
        for client in &clients {
            let slots = Backend::default().slots;
            let calls = (0..slots).map(|_| mix.draw_kind(Kind::Lookup, &mut rng));
            runtime.block_on(call_at_once(client, calls));
        }
    }
    let results = Arc::new(Mutex::new(PathResults {
        latencies: [
            LatencyHistogram::new()?,
            LatencyHistogram::new()?,
            LatencyHistogram::new()?,
        ],
        failed: Vec::new(),
    }));
    let (pending, mut all_ended) = mpsc::channel::<()>(1);
    let before = (cpu_ticks("ingress"), cpu_ticks("owner"), Instant::now());
    let mut arrivals =
        PoissonArrivals::new(settings.rate * clients.len() as f64, settings.duration);
    let mut path = 0;
    while let Some(intended) = arrivals.wait_next(&mut rng) {
        path = (path + 1) % clients.len();
        let call = mix.draw_kind(Kind::Lookup, &mut rng);
        let (client, results, pending) = (clients[path].clone(), results.clone(), pending.clone());
        runtime.spawn(async move {
            let outcome = client.call(&call).await;
            let latency = intended.elapsed();
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            match outcome {
                Outcome::Ok { .. } => results.latencies[path].record(latency),
                failure => increment(
                    &mut results.failed,
                    &format!("{}: {failure:?}", PATHS[path]),
                ),
            }
            drop(pending);
        });
    }
    drop(pending);
    runtime.block_on(all_ended.recv());
    let secs = before.2.elapsed().as_secs_f64();
    let percent = |ticks: u64| ticks as f64 / TICKS_PER_SECOND / secs * 100.0;
    let results = results.lock().unwrap_or_else(PoisonError::into_inner);
    let [direct, two_nodes, one_node] = &results.latencies;
    Ok(Report {
        rate: settings.rate,
        direct: direct.summary(),
        two_nodes: two_nodes.summary(),
        one_node: one_node.summary(),
        added_two_nodes_ms: added(two_nodes, direct),
        added_one_node_ms: added(one_node, direct),
        failed: results.failed.clone(),
        ingress_cpu_percent: percent(cpu_ticks("ingress") - before.0),
        owner_cpu_percent: percent(cpu_ticks("owner") - before.1),
        process_rss_mb: rss_mb(),
        hyper_pooled: Summary::default(),
        oxhttp: Summary::default(),
    })
}

/// Sends calls at the same time and waits for all of them.
async fn call_at_once(client: &Arc<Client>, calls: impl Iterator<Item = Call>) {
    let mut pending = JoinSet::new();
    for call in calls {
        let client = client.clone();
        pending.spawn(async move { client.call(&call).await });
    }
    pending.join_all().await;
}

/// Returns the quantiles on a path minus those of direct calls, in milliseconds.
fn added(path: &LatencyHistogram, direct: &LatencyHistogram) -> [f64; 3] {
    [0.5, 0.99, 0.999].map(|quantile| path.quantile_ms(quantile) - direct.quantile_ms(quantile))
}

/// Compares a pooled `hyper` connection with `oxhttp`: sequential calls, alternating.
async fn compare_clients(backend: SocketAddr, report: &mut Report) -> anyhow::Result<()> {
    let uri = format!("http://{backend}/cards/1");
    let stream = tokio::net::TcpStream::connect(backend).await?;
    stream.set_nodelay(true)?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, driver) = hyper::client::conn::http1::handshake(io).await?;
    tokio::spawn(driver);
    let (mut pooled, mut unpooled) = (LatencyHistogram::new()?, LatencyHistogram::new()?);
    for _ in 0..CLIENT_CALLS {
        let started = Instant::now();
        let request = http::Request::get("/cards/1")
            .header("host", "card-desk")
            .body(Empty::<bytes::Bytes>::new())?;
        sender.ready().await?;
        sender.send_request(request).await?.collect().await?;
        pooled.record(started.elapsed());
        let uri = uri.clone();
        let latency = tokio::task::spawn_blocking(move || {
            let started = Instant::now();
            let request = Request::get(uri).body(oxhttp::model::Body::empty())?;
            let response = oxhttp::Client::new().request(request)?;
            response.into_body().to_vec()?;
            anyhow::Ok(started.elapsed())
        });
        unpooled.record(latency.await??);
    }
    report.hyper_pooled = pooled.summary();
    report.oxhttp = unpooled.summary();
    Ok(())
}

/// Clock ticks per second in `/proc`, which Linux fixes at 100 for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the CPU time of this process's threads with a name in ticks; zero where it is unknown.
fn cpu_ticks(thread_name: &str) -> u64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0;
    };
    tasks
        .filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("stat")).ok())
        .filter_map(|stat| {
            let (name, rest) = stat.split_once('(')?.1.rsplit_once(')')?;
            // Fields 14 and 15 of the line are user and system time; see proc(5).
            let mut fields = rest.split_whitespace().skip(11);
            let user: u64 = fields.next()?.parse().ok()?;
            let system: u64 = fields.next()?.parse().ok()?;
            (name == thread_name).then_some(user + system)
        })
        .sum()
}

/// Returns the resident memory of this process in MiB; zero where it is unknown.
fn rss_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kilobytes = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().split(' ').next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1_024.0
}
