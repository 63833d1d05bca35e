//! Deployments inside one process: log stand-in, backend servers and nodes on loopback.
//!
//! The sizes are the users' present ones. Every host has one node and one backend server; a new
//! version runs on additional hosts, as it does for the users.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use buckthorn::node::settings::Settings;
use buckthorn::node::{Node, telemetry};
use buckthorn::proxy::Drained;
use buckthornctl::Exit;
use buckthornctl::flags::Buckthornctl;
use buckthornctl::output::Output;
use buckthornctl::settings::Environment;
use tokio::runtime::Runtime;

use crate::backend::announce::{self, Announcement};
use crate::backend::{self, Faults, Ledger};
use crate::load::call::Deployment;
use crate::log;

/// Shared secret of the embedded nodes.
const SECRET: &str = "a secret of the lab, not of anyone";

/// Interval between announcements of each backend server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks of a condition in [`wait`].
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Drain timeout of the embedded nodes, in seconds.
const DRAIN_TIMEOUT: &str = "20";

/// Description of a deployment to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Region of all hosts.
    pub region: &'static str,
    /// Failure domains in the region.
    pub failure_domains: [&'static str; 3],
    /// Backend servers, one host each, assigned to the failure domains in turn.
    pub upstreams: Vec<Upstream>,
    /// Settings of every backend server; the name is replaced by that of the host.
    pub backend: backend::Settings,
}

/// What the backend server of a host runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name of the service.
    pub service: &'static str,
    /// Version of the service.
    pub version: &'static str,
}

impl Plan {
    /// Plan of a deployment at its present size, with every service at `v1`.
    pub fn new(deployment: Deployment) -> Self {
        let (region, failure_domains, services, slots, connections) = match deployment {
            Deployment::Fernleaf => (
                "bc-lower",
                ["bc-lower-a", "bc-lower-b", "bc-lower-c"],
                [("card-desk", 10), ("proof-vault", 3)],
                10,
                130,
            ),
            Deployment::Otjiwarongo => (
                "nam-central",
                ["nam-central-a", "nam-central-b", "nam-central-c"],
                [("rungs", 8), ("replay", 3)],
                12,
                120,
            ),
        };
        let upstreams = services
            .into_iter()
            .flat_map(|(service, count)| (0..count).map(move |_| service))
            .map(|service| Upstream {
                service,
                version: "v1",
            })
            .collect();
        let backend = backend::Settings {
            slots,
            connections,
            service_time: Duration::from_millis(2),
            ..backend::Settings::default()
        };
        Self {
            region,
            failure_domains,
            upstreams,
            backend,
        }
    }

    /// Adds `count` hosts with a version of a service.
    pub fn with_version(
        mut self,
        service: &'static str,
        version: &'static str,
        count: usize,
    ) -> Self {
        self.upstreams
            .extend((0..count).map(|_| Upstream { service, version }));
        self
    }

    /// Keeps only the first `count` hosts.
    pub fn truncated(mut self, count: usize) -> Self {
        self.upstreams.truncate(count);
        self
    }
}

/// A running deployment.
pub struct Fleet {
    /// Log stand-in, which all nodes use.
    pub log: log::Server,
    /// Hosts in the order of the plan.
    pub hosts: Vec<Host>,
    /// Counts of executions, shared by all backend servers.
    pub ledger: Arc<Ledger>,
    /// Region of all hosts.
    region: &'static str,
    /// Runtime of the backend servers.
    runtime: Runtime,
    /// Announcements to repeat, with the admin address of the node.
    announcements: Arc<Mutex<Vec<(SocketAddr, Announcement)>>>,
}

/// Host with a backend server and its node.
pub struct Host {
    /// Host name.
    pub name: String,
    /// Failure domain of the host.
    pub failure_domain: &'static str,
    /// Service and version that the backend server runs.
    pub upstream: Upstream,
    /// Stand-in backend server.
    pub backend: backend::Server,
    /// Node; `None` after it was killed or stopped.
    pub node: Option<Node>,
}

impl Fleet {
    /// Starts all parts of a plan; does not wait until the nodes know each other.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a thread cannot be started.
    pub fn start(plan: &Plan) -> anyhow::Result<Self> {
        let log = log::Server::start("127.0.0.1:0".parse()?)?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .context("cannot start the runtime of the backend servers")?;
        let announcements = Arc::new(Mutex::new(Vec::new()));
        let mut fleet = Self {
            log,
            hosts: Vec::new(),
            ledger: Arc::new(Ledger::new()),
            region: plan.region,
            runtime,
            announcements,
        };
        for (index, upstream) in plan.upstreams.iter().enumerate() {
            let failure_domain = plan.failure_domains[index % plan.failure_domains.len()];
            fleet.add_host(
                format!("host-{index:02}"),
                failure_domain,
                upstream.clone(),
                plan,
            )?;
        }
        let shared = Arc::downgrade(&fleet.announcements);
        thread::spawn(move || {
            while let Some(announcements) = shared.upgrade() {
                announce_all(&announcements);
                drop(announcements);
                thread::sleep(ANNOUNCE_INTERVAL);
            }
        });
        Ok(fleet)
    }

    /// Adds a host and starts its backend server and node.
    fn add_host(
        &mut self,
        name: String,
        failure_domain: &'static str,
        upstream: Upstream,
        plan: &Plan,
    ) -> anyhow::Result<()> {
        let settings = backend::Settings {
            name: name.clone(),
            ..plan.backend.clone()
        };
        let start = backend::Server::start(settings, self.ledger.clone());
        let backend = self.runtime.block_on(start)?;
        let host = Host {
            name,
            failure_domain,
            upstream,
            backend,
            node: None,
        };
        self.hosts.push(host);
        self.start_node(self.hosts.len() - 1)
    }

    /// Starts the node of a host that has none.
    ///
    /// # Errors
    ///
    /// Fails when the host has a node or the node cannot be started.
    pub fn start_node(&mut self, index: usize) -> anyhow::Result<()> {
        let seeds = self.seeds(index);
        let host = &mut self.hosts[index];
        ensure!(host.node.is_none(), "{} already has a node", host.name);
        let settings = settings(host, self.region, &self.log.url(), &seeds)?;
        let node = Node::start(&settings, telemetry::silent())?;
        let admin = node.addresses().admin;
        let server = host.backend.settings();
        let announcement = Announcement {
            service: host.upstream.service.to_owned(),
            version: host.upstream.version.to_owned(),
            address: host.backend.address(),
            slots: server.slots,
            connections: server.connections,
        };
        // A failed announcement is repeated after `ANNOUNCE_INTERVAL`.
        let _ = announce::announce(admin, &announcement);
        host.node = Some(node);
        self.lock().push((admin, announcement));
        Ok(())
    }

    /// Returns the RPC addresses of up to three other running nodes, separated by commas.
    fn seeds(&self, index: usize) -> String {
        let others = self.hosts.iter().enumerate().filter(|(i, _)| *i != index);
        let addresses: Vec<String> = others
            .filter_map(|(_, host)| Some(host.node.as_ref()?.addresses().rpc.to_string()))
            .take(3)
            .collect();
        addresses.join(",")
    }

    /// Kills a host's node without a graceful shutdown; does nothing when it has none.
    pub fn kill_node(&mut self, index: usize) {
        let Some(node) = self.hosts[index].node.take() else {
            return;
        };
        let admin = node.addresses().admin;
        self.lock().retain(|(address, _)| *address != admin);
        node.kill();
    }

    /// Stops a host's node gracefully; `None` when it has none.
    pub fn stop_node(&mut self, index: usize) -> Option<Drained> {
        let node = self.hosts[index].node.take()?;
        let admin = node.addresses().admin;
        self.lock().retain(|(address, _)| *address != admin);
        Some(node.shutdown())
    }

    /// Sets the faults of every backend server with a version of a service.
    pub fn set_faults(&self, service: &str, version: &str, faults: &Faults) {
        let is_selected =
            |host: &&Host| host.upstream.service == service && host.upstream.version == version;
        for host in self.hosts.iter().filter(is_selected) {
            host.backend.set_faults(faults.clone());
        }
    }

    /// Returns the running nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.hosts.iter().filter_map(|host| host.node.as_ref())
    }

    /// Returns the caller addresses of the running nodes on the selected hosts.
    pub fn targets(&self, is_selected: impl Fn(&Host) -> bool) -> Vec<SocketAddr> {
        self.hosts
            .iter()
            .filter(|host| is_selected(host))
            .filter_map(|host| Some(host.node.as_ref()?.addresses().callers))
            .collect()
    }

    /// Waits until every node is synchronized and has exactly the running nodes as alive members;
    /// returns the time that took.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than `limit`.
    pub fn wait_joined(&self, limit: Duration) -> anyhow::Result<Duration> {
        let count = self.nodes().count();
        wait(limit, "every node knows all others", || {
            self.nodes().all(|node| {
                node.status()
                    .is_some_and(|status| status.members.alive == count && status.is_synced)
            })
        })
    }

    /// Waits until a configuration version is in force on every node; returns the time that took.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than `limit`.
    pub fn wait_version(&self, version: u64, limit: Duration) -> anyhow::Result<Duration> {
        let what = format!("version {version} is in force on every node");
        wait(limit, &what, || {
            self.nodes().all(|node| node.version() >= version)
        })
    }

    /// Runs `buckthornctl` against the log; returns its exit status and its output, standard error
    /// last.
    ///
    /// # Errors
    ///
    /// Fails when the arguments cannot be parsed.
    pub fn run_ctl(&self, args: &[&str]) -> anyhow::Result<(Exit, String)> {
        let url = self.log.url();
        let mut all = vec![
            "--platform".into(),
            url.into(),
            "--author".into(),
            "planner".into(),
        ];
        all.extend(args.iter().map(Into::into));
        let flags = Buckthornctl::from_vec(all)?;
        let settings = buckthornctl::settings::Settings::new(&flags, &Environment::default())?;
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = {
            let mut output = Output::new(flags.json, &mut out, &mut err);
            buckthornctl::run(&flags.subcommand, &settings, &mut output)
        };
        out.extend(err);
        Ok((exit, String::from_utf8_lossy(&out).into_owned()))
    }

    /// Applies a sheet with `buckthornctl apply`; returns its output.
    ///
    /// # Errors
    ///
    /// Fails when the sheet's file cannot be written or the sheet is not applied.
    pub fn apply(&self, sheet: &str) -> anyhow::Result<String> {
        let path = std::env::temp_dir().join(format!(
            "buckthorn-sheet-{}-{}.csv",
            std::process::id(),
            self.log.address().port()
        ));
        std::fs::write(&path, sheet)?;
        let result = self.run_ctl(&["apply", &path.to_string_lossy()]);
        // A leftover in the directory for temporary files is harmless.
        let _ = std::fs::remove_file(&path);
        let (exit, text) = result?;
        ensure!(
            exit == Exit::Done,
            "the sheet was not applied ({exit:?}): {text}"
        );
        Ok(text)
    }

    /// Runs a future to completion on the runtime of the backend servers.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }

    /// Handle of the runtime of the backend servers.
    pub fn handle(&self) -> &tokio::runtime::Handle {
        self.runtime.handle()
    }

    /// Locks the list of announcements.
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(SocketAddr, Announcement)>> {
        self.announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Polls until a condition holds; returns the time that took.
///
/// # Errors
///
/// Fails when it does not hold within `limit`.
pub fn wait(
    limit: Duration,
    what: &str,
    mut is_met: impl FnMut() -> bool,
) -> anyhow::Result<Duration> {
    let started = Instant::now();
    while !is_met() {
        ensure!(started.elapsed() < limit, "not within {limit:?}: {what}");
        thread::sleep(POLL_INTERVAL);
    }
    Ok(started.elapsed())
}

/// Sends every announcement once.
fn announce_all(announcements: &Mutex<Vec<(SocketAddr, Announcement)>>) {
    let list = announcements
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    for (node, announcement) in list {
        // A node killed since the list was copied is not in the next copy.
        let _ = announce::announce(node, &announcement);
    }
}

/// Builds the settings of an embedded node.
fn settings(host: &Host, region: &str, platform: &str, seeds: &str) -> anyhow::Result<Settings> {
    let settings = Settings::parse(|entry| {
        let value = match entry.flag {
            "host" => host.name.clone(),
            "region" => region.to_owned(),
            "failure-domain" => host.failure_domain.to_owned(),
            "listen" | "hop-listen" | "rpc-listen" | "admin-listen" => "127.0.0.1:0".to_owned(),
            "platform" => platform.to_owned(),
            "seeds" => seeds.to_owned(),
            "secret" => SECRET.to_owned(),
            "drain-timeout" => DRAIN_TIMEOUT.to_owned(),
            "threads" => "1".to_owned(),
            _ => return None,
        };
        Some(value)
    })?;
    Ok(settings)
}
