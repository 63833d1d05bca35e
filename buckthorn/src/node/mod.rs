//! A whole node: the kernel's thread, the log's threads, and the servers on its ports.
//!
//! The kernel's thread decides; a small tokio runtime carries calls and control messages; a few
//! plain threads wait on the platform's log. The path of a call reads the routing table and the
//! owner by one atomic pointer each.

mod adapter;
mod driver;
mod log;
pub mod settings;
pub mod status;
pub mod telemetry;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anyhow::Context as _;
use arc_swap::{ArcSwap, ArcSwapOption};
use crossbeam::channel::{self, Sender};
use slog::{Logger, info};
use tokio::runtime::{self, Runtime};

use self::adapter::Source;
pub use self::adapter::{NodeHandle, OperatorChannel, Peer, PlatformAdapter};
use self::driver::{Driver, Input, Path, Resources};
use self::log::Follower;
use self::settings::Settings;
use self::status::Status;
use self::telemetry::Statsd;
use crate::admin;
use crate::admin::announcement::Announcement;
use crate::admission::cold_rate::Tolerance;
use crate::clock::Clock;
use crate::counter::Counters;
use crate::kernel::{Event, Identity, Kernel, Registry};
use crate::log::client::Client;
use crate::log_event::LogEvent;
use crate::proxy::limit::Limits;
use crate::proxy::{Drained, Plane};
use crate::routing::load::Registry as Loads;
use crate::routing::table::Table;
use crate::secret::Secrets;
use crate::{config, journal, membership, name, proxy, rollout, rpc};

/// Inputs that may wait for the kernel's thread.
const MAX_INPUTS: usize = 4_096;

/// Control messages that may wait for the kernel's thread.
const MAX_INBOUND: usize = 512;

/// Longest wait for the kernel's thread to tell its status.
const INSPECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the word of leaving to reach the peers before calls are refused.
const LEAVE_GRACE: Duration = Duration::from_millis(500);

/// A running node.
pub struct Node {
    /// Addresses that the node listens on.
    addresses: Addresses,
    /// What the path of a call reads.
    path: Path,
    /// Inputs of the kernel's thread.
    inputs: Sender<Input>,
    /// Kernel's thread.
    kernel: Option<JoinHandle<()>>,
    /// Servers of callers and of other nodes.
    proxy: Option<proxy::Handle>,
    /// Server of the control protocol.
    rpc: rpc::server::Handle,
    /// Server of the operators' page.
    admin: Option<admin::Handle>,
    /// Runtime of the servers.
    runtime: Option<Runtime>,
    /// Longest wait for calls in flight at shutdown.
    drain_timeout: Duration,
    /// Time for callers to look elsewhere before the node leaves.
    leave_grace: Duration,
    /// Log of decisions.
    logger: Logger,
}

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Callers.
    pub callers: SocketAddr,
    /// Data path between nodes.
    pub hop: SocketAddr,
    /// Control protocol between nodes.
    pub rpc: SocketAddr,
    /// Announcements and the operators' page.
    pub admin: SocketAddr,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a thread cannot be started.
    pub fn start(settings: &Settings, logger: Logger) -> anyhow::Result<Self> {
        let log: Arc<dyn crate::log::Log> = Arc::new(Client::new(&settings.platform)?);
        Self::launch(settings, Source::Log(log), logger)
    }

    /// Starts a node on a platform that an adapter speaks to.
    ///
    /// The adapter hands in what it reads through [`Node::handle`].
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a thread cannot be started.
    pub fn start_with_adapter(
        adapter: PlatformAdapter,
        settings: &Settings,
        logger: Logger,
    ) -> anyhow::Result<Self> {
        Self::launch(settings, Source::Adapter(Box::new(adapter)), logger)
    }

    /// Binds the ports and starts the threads.
    fn launch(settings: &Settings, source: Source, logger: Logger) -> anyhow::Result<Self> {
        let clock = Clock::new();
        let counters = Arc::new(Counters::new());
        let callers = bind("listen", settings.listen)?;
        let hop = bind("hop-listen", settings.hop_listen)?;
        let control = bind("rpc-listen", settings.rpc_listen)?;
        let page = bind("admin-listen", settings.admin_listen)?;
        let path = Path {
            table: Arc::new(ArcSwap::from_pointee(Table::default())),
            owner: Arc::new(ArcSwapOption::empty()),
            counters: counters.clone(),
            clock: clock.clone(),
            peers: Arc::default(),
        };
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(settings.threads)
            .enable_all()
            .thread_name("buckthorn")
            .build()
            .context("the runtime could not be started")?;
        let (inputs, input_queue) = channel::bounded(MAX_INPUTS);
        let (inbound, inbound_queue) = channel::bounded(MAX_INBOUND);

        let addresses = Addresses {
            callers: callers.local_addr()?,
            hop: hop.local_addr()?,
            rpc: control.local_addr()?,
            admin: page.local_addr()?,
        };
        let identity = Identity {
            host: settings.host.clone(),
            incarnation: clock.now().0,
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            rpc: SocketAddr::new(settings.advertise, addresses.rpc.port()),
            hop: SocketAddr::new(settings.advertise, addresses.hop.port()),
            seeds: settings.seeds.clone(),
        };
        let (proxy, rpc, client) = runtime.block_on(async {
            let plane = plane(settings, &path, source.adapter(), logger.clone());
            let callers = tokio::net::TcpListener::from_std(callers)?;
            let hop = tokio::net::TcpListener::from_std(hop)?;
            let secrets = secrets(settings);
            let client = rpc::client::Client::new(
                &secrets,
                rpc::client::Timeouts::default(),
                counters.clone(),
            )?;
            let rpc = rpc::server::serve(
                settings.host.clone(),
                control,
                secrets,
                rpc::server::Limits::default(),
                counters.clone(),
                inbound,
            )?;
            anyhow::Ok((proxy::serve(plane, callers, hop), rpc, client))
        })?;

        let leave_grace = source
            .adapter()
            .map_or(Duration::ZERO, |adapter| adapter.leave_grace);
        let resources = Resources {
            follower: source.log().map(|log| Follower::start(log, &inputs)),
            operator_channel: source
                .adapter()
                .map(|adapter| adapter.operator_channel.clone()),
            loads: source.adapter().map_or_else(Loads::default, |adapter| {
                Loads::with_budgets(adapter.retry_slack, adapter.retry_ratio)
            }),
            cold_tolerance: source
                .adapter()
                .map_or_else(Tolerance::default, |adapter| adapter.cold_tolerance),
            client: Arc::new(client),
            runtime: runtime.handle().clone(),
            statsd: settings
                .statsd
                .map(|a| Statsd::new(a, counters.clone()))
                .transpose()?,
            logger: logger.clone(),
        };
        let seed = name::rendezvous(&settings.host, &identity.incarnation.to_string());
        let mut registry = Registry::default();
        match source {
            Source::Log(_) => register(&mut registry),
            Source::Adapter(adapter) => {
                register_with_adapter(&mut registry, adapter.max_apply_time)
            }
        }
        let kernel = Kernel::new(identity, counters.clone(), seed, clock.now(), registry);
        let driver = Driver::new(kernel, path.clone(), resources, inputs.clone());
        let kernel = thread::Builder::new()
            .name("kernel".into())
            .spawn(move || driver.run(&input_queue, &inbound_queue))
            .context("the kernel's thread could not be started")?;

        let handler = Handler {
            path: path.clone(),
            inputs: inputs.clone(),
        };
        let admin = {
            let _guard = runtime.enter();
            let access = admin::Access::for_address(addresses.admin, secrets(settings));
            admin::serve(page, access, handler)?
        };
        info!(logger, "{}", LogEvent::NodeStarted.name();
            "callers" => %addresses.callers, "hop" => %addresses.hop,
            "rpc" => %addresses.rpc, "admin" => %addresses.admin);
        Ok(Self {
            addresses,
            path,
            inputs,
            kernel: Some(kernel),
            proxy: Some(proxy),
            rpc,
            admin: Some(admin),
            runtime: Some(runtime),
            drain_timeout: settings.drain_timeout,
            leave_grace,
            logger,
        })
    }

    /// Handle for an adapter.
    pub fn handle(&self) -> NodeHandle {
        NodeHandle::new(self.path.clone(), self.inputs.clone())
    }

    /// Entry for announcements of the own backend server.
    pub fn admin_handler(&self) -> impl admin::Handler + use<> {
        Handler {
            path: self.path.clone(),
            inputs: self.inputs.clone(),
        }
    }

    /// Addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Counters.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.path.counters
    }

    /// Configuration version in force on the path of a call.
    pub fn version(&self) -> u64 {
        self.path.table.load().version
    }

    /// Routing table in force.
    pub fn table(&self) -> Arc<Table> {
        self.path.table.load_full()
    }

    /// Status, unless the kernel's thread does not answer in time.
    pub fn status(&self) -> Option<Status> {
        inspect(&self.inputs)
    }

    /// Shuts down gracefully: tells the peers, refuses new work, finishes what is in flight.
    pub fn shutdown(mut self) -> Drained {
        info!(self.logger, "{}", LogEvent::NodeStopping.name());
        // Callers look elsewhere meanwhile; the backend server goes on being used.
        thread::sleep(self.leave_grace);
        let _ = self.inputs.send(Input::Left);
        let _ = self.inputs.send(Input::Event(Event::Shutdown));
        thread::sleep(LEAVE_GRACE);
        let drained = match (&self.runtime, self.proxy.take()) {
            (Some(runtime), Some(proxy)) => runtime.block_on(proxy.drain(self.drain_timeout)),
            _ => Drained::Clean,
        };
        self.stop();
        info!(self.logger, "{}", LogEvent::NodeStopped.name(); "is_clean" => drained == Drained::Clean);
        drained
    }

    /// Stops at once, as a crash would: nobody is told and calls in flight are cut.
    pub fn kill(mut self) {
        self.stop();
    }

    /// Ends every thread.
    fn stop(&mut self) {
        self.rpc.stop();
        drop(self.admin.take());
        let _ = self.inputs.send(Input::Stop);
        if let Some(kernel) = self.kernel.take() {
            // A kernel that broke an invariant has told of it by its panic.
            let _ = kernel.join();
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Registers the plug-ins of a node whose orders come from an adapter and have to be in force within
/// a time.
pub fn register_with_adapter(registry: &mut Registry, max_apply_time: Duration) {
    membership::plugin::register_seeded(registry);
    config::intake::register(registry, max_apply_time);
    rollout::cutover::register(registry);
}

/// Adds every plug-in of a node, in the order in which they see events.
pub fn register(registry: &mut Registry) {
    membership::plugin::register(registry);
    journal::plugin::register(registry);
    rollout::plugin::register(registry);
}

/// Binds a listener and names the setting when that fails.
fn bind(flag: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .with_context(|| format!("--{flag}: {address} could not be bound"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Path of a call as the settings want it.
fn plane(
    settings: &Settings,
    path: &Path,
    adapter: Option<&PlatformAdapter>,
    logger: Logger,
) -> Arc<Plane> {
    let limits = adapter.map_or_else(Limits::default, |adapter| adapter.limits.clone());
    let limits = Limits {
        body_bytes: settings.max_body_bytes,
        caller_connections: settings.max_connections,
        ..limits
    };
    let mut builder = Plane::builder(
        settings.host.clone(),
        settings.failure_domain.clone(),
        secrets(settings),
    )
    .table(path.table.clone())
    .owner(path.owner.clone())
    .counters(path.counters.clone())
    .clock(path.clock.clone())
    .limits(limits)
    .logger(logger);
    if let Some(adapter) = adapter {
        builder = builder.contract(adapter.contract.clone());
    }
    Arc::new(builder.build())
}

/// Secrets shared by the nodes.
fn secrets(settings: &Settings) -> Secrets {
    let previous = settings.previous_secret.as_deref().map(Arc::from);
    Secrets::new(settings.secret.as_str(), previous)
}

/// Asks the kernel's thread for the status.
fn inspect(inputs: &Sender<Input>) -> Option<Status> {
    let (sender, receiver) = channel::bounded(1);
    inputs
        .send_timeout(Input::Inspect(sender), INSPECT_TIMEOUT)
        .ok()?;
    receiver.recv_timeout(INSPECT_TIMEOUT).ok()
}

/// Answers the operators' page.
struct Handler {
    /// What the path of a call reads.
    path: Path,
    /// Inputs of the kernel's thread.
    inputs: Sender<Input>,
}

impl admin::Handler for Handler {
    fn announce(&self, announcement: Announcement) -> Result<(), admin::Refusal> {
        let (reply, answer) = channel::bounded(1);
        let input = Input::Announced {
            announcement,
            reply,
        };
        self.inputs
            .try_send(input)
            .map_err(|_| admin::Refusal::Busy)?;
        answer
            .recv_timeout(INSPECT_TIMEOUT)
            .unwrap_or(Err(admin::Refusal::Busy))
    }

    fn leave(&self) {
        let _ = self.inputs.try_send(Input::Left);
    }

    fn leave_instance(&self, instance: &str) -> Result<(), admin::Refusal> {
        let (reply, answer) = channel::bounded(1);
        let instance = instance.into();
        self.inputs
            .try_send(Input::Departed { instance, reply })
            .map_err(|_| admin::Refusal::Busy)?;
        answer
            .recv_timeout(INSPECT_TIMEOUT)
            .map_err(|_| admin::Refusal::Busy)
    }

    fn status(&self) -> Option<serde_json::Value> {
        inspect(&self.inputs).and_then(|status| serde_json::to_value(status).ok())
    }

    fn is_ready(&self) -> bool {
        self.path.table.load().version > 0
    }

    fn counters(&self) -> &Arc<Counters> {
        &self.path.counters
    }
}
