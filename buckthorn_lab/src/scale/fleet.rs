//! Runs a fleet of node processes and measures it.

use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::ensure;
use crossbeam::channel::{self, Receiver, Sender};

use buckthorn::clock::Clock;
use buckthorn::config::change::{Change, Operation};
use buckthorn::journal::fold::State;
use buckthorn::journal::record::{self, Body, CONFIG_STREAM};
use buckthorn::log::client::Client;
use buckthorn::log::{AppendOutcome, Log};

use super::Point;
use super::process::{AppliedVersion, Process, Spec, Usage};
use super::rate::{Rate, average};
use crate::log;

/// Failure domains of the design size, with their regions.
const FAILURE_DOMAINS: &[(&str, &str)] = &[
    ("a1", "a"),
    ("a2", "a"),
    ("a3", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("b3", "b"),
    ("c1", "c"),
    ("c2", "c"),
    ("c3", "c"),
];

/// Number of services of the design size.
const SERVICES: usize = 70;

/// Duration of the idle window, which gives the baseline rates.
const IDLE_WINDOW: Duration = Duration::from_secs(15);

/// Interval between announcements of each backend server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(4);

/// Number of changes published one after another.
const CHANGES: usize = 8;

/// Number of backend servers replaced one after another.
const REPLACEMENTS: usize = 8;

/// Pause between two changes or replacements.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Timeout for all nodes to know each other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for a change to be in force on every node; longer than the target of 10 s, so that a
/// missed target is measured.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Log stand-in and running nodes.
pub(super) struct Fleet {
    /// Log stand-in.
    log: log::Server,
    /// Client of the log stand-in.
    client: Client,
    /// Running nodes.
    nodes: Vec<Process>,
    /// Version of each node's backend server, by node index.
    versions: Vec<String>,
    /// Configuration versions that nodes logged as in force.
    in_force: Receiver<AppliedVersion>,
    /// When the backend servers were last announced.
    announced: Instant,
    /// Clock for times in changes.
    clock: Clock,
    /// When the latest start or restart of nodes began.
    started: Instant,
    /// Path of the daemon's executable.
    program: PathBuf,
    /// Sending end of `in_force`, for nodes started later.
    sender: Sender<AppliedVersion>,
}

impl Fleet {
    /// Starts the log stand-in and `count` nodes.
    pub(super) fn start(program: &Path, count: usize) -> anyhow::Result<Self> {
        let log = log::Server::start("127.0.0.1:0".parse()?)?;
        let client = Client::new(&log.url())?;
        let (sender, in_force) = channel::unbounded();
        let started = Instant::now();
        let mut nodes: Vec<Process> = Vec::with_capacity(count);
        for index in 0..count {
            let (failure_domain, region) = FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()];
            let seeds: Vec<_> = nodes.iter().take(3).map(|node| node.rpc).collect();
            let spec = Spec {
                program,
                host: format!("h{index:03}"),
                region,
                failure_domain,
                platform: &log.url(),
                seeds: &seeds,
            };
            nodes.push(Process::start(&spec, &sender)?);
        }
        let versions = vec!["v1".to_owned(); count];
        let announced = Instant::now();
        let clock = Clock::new();
        let mut fleet = Self {
            log,
            client,
            nodes,
            versions,
            in_force,
            announced,
            clock,
            started,
            program: program.to_owned(),
            sender,
        };
        fleet.announce_all()?;
        Ok(fleet)
    }

    /// Runs all measurements, then stops the nodes and the log.
    pub(super) fn measure(mut self) -> anyhow::Result<Point> {
        let mut point = Point {
            nodes: self.nodes.len(),
            ..Point::default()
        };
        point.join_s = self.wait_joined()?;
        self.publish_services()?;
        // Joins and first routing tables settle before the idle window.
        self.idle(Duration::from_secs(5))?;
        let baseline = self.measure_idle(&mut point)?;
        self.measure_changes(&mut point, &baseline)?;
        self.measure_replacements(&mut point, &baseline)?;
        self.measure_herd(&mut point, &baseline)?;
        self.nodes.drain(..).for_each(Process::kill);
        self.log.stop();
        Ok(point)
    }

    /// Waits until every node knows all others; returns the time since `started` in seconds.
    fn wait_joined(&mut self) -> anyhow::Result<f64> {
        let count = self.nodes.len() as u64;
        let limit = Instant::now() + JOIN_TIMEOUT;
        loop {
            let known = |node: &Process| {
                let status = node.status().ok()?;
                status.pointer("/members/alive")?.as_u64()
            };
            let lagging = self
                .nodes
                .iter()
                .filter(|node| known(node) != Some(count))
                .count();
            if lagging == 0 {
                return Ok(self.started.elapsed().as_secs_f64());
            }
            ensure!(
                Instant::now() < limit,
                "{lagging} of {count} nodes do not know all others"
            );
            self.idle(Duration::from_millis(500))?;
        }
    }

    /// Publishes the services of the design size.
    fn publish_services(&mut self) -> anyhow::Result<()> {
        let operations = (0..SERVICES)
            .map(|index| Operation::Serve {
                service: service(index).into(),
                route: "".into(),
                version: "v1".into(),
            })
            .collect();
        self.publish(operations).map(drop)
    }

    /// Sleeps for a duration while repeating the announcements.
    fn idle(&mut self, duration: Duration) -> anyhow::Result<()> {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            if self.announced.elapsed() >= ANNOUNCE_INTERVAL {
                self.announce_all()?;
            }
            thread::sleep(Duration::from_millis(50).min(duration));
        }
        Ok(())
    }

    /// Announces every node's backend server.
    fn announce_all(&mut self) -> anyhow::Result<()> {
        self.announced = Instant::now();
        for (index, node) in self.nodes.iter().enumerate() {
            node.announce(&service(index % SERVICES), &self.versions[index])?;
        }
        Ok(())
    }

    /// Samples the resource usage of every node.
    fn usages(&self) -> anyhow::Result<Vec<Usage>> {
        self.nodes.iter().map(Process::usage).collect()
    }

    /// Measures an idle window and returns the mean rates, the baseline of later measurements.
    fn measure_idle(&mut self, point: &mut Point) -> anyhow::Result<Rate> {
        let appends = self.log.appends();
        let (before, start) = (self.usages()?, Instant::now());
        self.idle(IDLE_WINDOW)?;
        let (after, elapsed) = (self.usages()?, start.elapsed().as_secs_f64());
        let rates: Vec<Rate> = before
            .iter()
            .zip(&after)
            .map(|(b, a)| Rate::between(b, a, elapsed))
            .collect();
        let mean = Rate::mean(&rates);
        point.memory_mb = average(after.iter().map(|c| c.memory)) / 1e6;
        point.memory_worst_mb = after.iter().map(|c| c.memory).fold(0.0, f64::max) / 1e6;
        point.cpu_percent = mean.cpu * 100.0;
        point.cpu_worst_percent = rates.iter().map(|r| r.cpu).fold(0.0, f64::max) * 100.0;
        point.bytes_per_s = mean.bytes;
        point.bytes_worst_per_s = rates.iter().map(|r| r.bytes).fold(0.0, f64::max);
        point.messages_per_s = mean.messages;
        point.appends_per_s = (self.log.appends() - appends) as f64 / elapsed;
        Ok(mean)
    }

    /// Measures cost and convergence of changes published one after another.
    fn measure_changes(&mut self, point: &mut Point, baseline: &Rate) -> anyhow::Result<()> {
        let (before, start) = (self.usages()?, Instant::now());
        let mut times = Vec::new();
        for index in 0..CHANGES {
            let operation = Operation::Serve {
                service: format!("extra-{index}").into(),
                route: "".into(),
                version: "v1".into(),
            };
            times.push(self.publish(vec![operation])?.as_secs_f64());
            self.idle(PAUSE)?;
        }
        let (after, elapsed) = (self.usages()?, start.elapsed().as_secs_f64());
        let extra = Rate::extra(&before, &after, elapsed, baseline);
        point.bytes_per_change = extra.bytes / CHANGES as f64;
        point.cpu_ms_per_change = extra.cpu * 1_000.0 / CHANGES as f64;
        times.sort_by(f64::total_cmp);
        point.converge_p50_s = times[times.len() / 2];
        point.converge_worst_s = times[times.len() - 1];
        Ok(())
    }

    /// Measures the cost of backend servers replaced one after another.
    fn measure_replacements(&mut self, point: &mut Point, baseline: &Rate) -> anyhow::Result<()> {
        let (before, start) = (self.usages()?, Instant::now());
        for index in 0..REPLACEMENTS.min(self.nodes.len()) {
            self.versions[index] = "v2".to_owned();
            self.nodes[index].announce(&service(index % SERVICES), "v2")?;
            self.idle(PAUSE)?;
        }
        let (after, elapsed) = (self.usages()?, start.elapsed().as_secs_f64());
        let extra = Rate::extra(&before, &after, elapsed, baseline);
        point.bytes_per_replacement = extra.bytes / REPLACEMENTS as f64;
        Ok(())
    }

    /// Measures the simultaneous restart of all nodes of a failure domain (thundering herd).
    fn measure_herd(&mut self, point: &mut Point, baseline: &Rate) -> anyhow::Result<()> {
        let count = self.nodes.len();
        let herd: Vec<usize> = (0..count).step_by(FAILURE_DOMAINS.len()).collect();
        let appends = self.log.appends();
        let is_other = |index: &usize| !index.is_multiple_of(FAILURE_DOMAINS.len());
        let seeds: Vec<_> = (0..count)
            .filter(is_other)
            .take(3)
            .map(|index| self.nodes[index].rpc)
            .collect();
        let before = self.usages()?;
        let start = Instant::now();
        for &index in &herd {
            self.nodes[index].crash();
        }
        let (failure_domain, region) = FAILURE_DOMAINS[0];
        let platform = self.log.url();
        let specs: Vec<Spec<'_>> = herd
            .iter()
            .map(|&index| Spec {
                program: &self.program,
                host: format!("h{index:03}"),
                region,
                failure_domain,
                platform: &platform,
                seeds: &seeds,
            })
            .collect();
        let sender = &self.sender;
        let started: Vec<anyhow::Result<Process>> = thread::scope(|scope| {
            let handles: Vec<_> = specs
                .iter()
                .map(|spec| scope.spawn(move || Process::start(spec, sender)))
                .collect();
            handles
                .into_iter()
                .map(|handle| {
                    handle
                        .join()
                        .unwrap_or_else(|_| anyhow::bail!("the start of a node panicked"))
                })
                .collect()
        });
        drop(specs);
        for (&index, node) in herd.iter().zip(started) {
            self.nodes[index] = node?;
        }
        self.announce_all()?;
        self.started = start;
        point.herd_nodes = herd.len();
        point.herd_s = self.wait_joined()?;
        point.herd_appends = (self.log.appends() - appends) as f64;
        let (after, elapsed) = (self.usages()?, start.elapsed().as_secs_f64());
        let of_others = |usages: &[Usage]| -> Vec<Usage> {
            (0..count)
                .filter(is_other)
                .map(|index| usages[index])
                .collect()
        };
        let extra = Rate::extra(&of_others(&before), &of_others(&after), elapsed, baseline);
        point.herd_bytes = extra.bytes;
        Ok(())
    }

    /// Publishes a change, waits until it is in force on every node, and returns the time from the
    /// append until the last node logged it.
    fn publish(&mut self, operations: Vec<Operation>) -> anyhow::Result<Duration> {
        let state = self.fold()?;
        let change = Change {
            base: state.intent_version,
            author: "scale".into(),
            at: self.clock.now(),
            operations,
        };
        let payload = record::encode(Body::Change(change));
        let id = format!("scale-{}", self.clock.now().0);
        let start = Instant::now();
        let version = match self.client.append(CONFIG_STREAM, &id, &payload) {
            AppendOutcome::Done { offset } => offset + 1,
            other => anyhow::bail!("the log did not accept a change: {other:?}"),
        };
        let mut last = start;
        loop {
            while let Ok(applied) = self.in_force.try_recv() {
                if applied.version >= version {
                    last = last.max(applied.at);
                }
            }
            if self.nodes.iter().all(|node| node.version() >= version) {
                while let Ok(applied) = self.in_force.try_recv() {
                    last = last.max(applied.at);
                }
                return Ok(last - start);
            }
            let lagging = self
                .nodes
                .iter()
                .filter(|node| node.version() < version)
                .count();
            ensure!(
                start.elapsed() < CHANGE_TIMEOUT,
                "version {version} is not in force on {lagging} nodes after {CHANGE_TIMEOUT:?}"
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Folds the configuration stream of the log into a state.
    fn fold(&self) -> anyhow::Result<State> {
        let mut state = State::new();
        loop {
            let batch = self
                .client
                .read(CONFIG_STREAM, state.next, Duration::ZERO)?;
            for record in &batch.records {
                state.apply(record);
            }
            if state.next >= batch.next {
                return Ok(state);
            }
        }
    }
}

/// Returns the name of the service with an index.
fn service(index: usize) -> String {
    format!("service-{index:02}")
}
