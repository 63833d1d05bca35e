//! A node of the mesh: the kernel thread, the log threads, and the servers on the node's ports.
//!
//! The kernel thread makes all decisions, a small tokio runtime handles calls and control messages,
//! and a few OS threads block on the platform's log. The data path reads the routing table and the
//! owner through one atomic pointer each.

mod adapter;
mod driver;
mod input;
mod log;
pub mod past;
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

use self::adapter::ConfigSource;
pub use self::adapter::{DutyChannel, NodeHandle, OperatorChannel, Peer, PlatformAdapter, Usage};
use self::driver::{DataPath, Driver, Input, Resources};
use self::log::LogWorkers;
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
use crate::proxy::crash_watch::Watch;
use crate::proxy::limit::Limits;
use crate::proxy::{Drained, Plane};
use crate::rollout::exposure::Bound;
use crate::routing::load::Registry as Loads;
use crate::routing::table::Table;
use crate::secret::Secrets;
use crate::tenant::confirmation::Confirmation;
use crate::usage::meter::{self, Meter};
use crate::{config, journal, membership, name, poison, proxy, rollout, rpc, tenant, usage};

/// Capacity of the kernel thread's input queue.
const MAX_INPUTS: usize = 4_096;

/// Capacity of the kernel thread's queue of control messages from peers.
const MAX_INBOUND: usize = 512;

/// Capacity of the kernel thread's queue of crashes of the local backend server.
const MAX_CRASHES: usize = 16;

/// Timeout for a reply of the kernel thread to a status request, an announcement or a leave.
const KERNEL_REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the leave to reach the peers before calls are refused.
const LEAVE_PROPAGATION: Duration = Duration::from_millis(500);

/// A running node.
pub struct Node {
    /// Addresses that the node listens on.
    addresses: Addresses,
    /// State shared with the data path.
    data_path: DataPath,
    /// Input queue of the kernel thread.
    inputs: Sender<Input>,
    /// Kernel thread.
    kernel: Option<JoinHandle<()>>,
    /// Servers for callers and for other nodes.
    proxy: Option<proxy::Handle>,
    /// Server of the control protocol.
    rpc: rpc::server::Handle,
    /// Server of the admin API.
    admin: Option<admin::Handle>,
    /// Runtime of the servers and of exchanges with peers.
    runtime: Option<Runtime>,
    /// Maximum time that a shutdown waits for calls in flight.
    drain_timeout: Duration,
    /// Time for callers to switch to other nodes before the node leaves.
    leave_grace: Duration,
    /// Logger of the node.
    logger: Logger,
}

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Calls from callers.
    pub callers: SocketAddr,
    /// Data path between nodes.
    pub hop: SocketAddr,
    /// Control protocol between nodes.
    pub rpc: SocketAddr,
    /// Admin API.
    pub admin: SocketAddr,
}

impl Node {
    /// Starts a node that reads its configuration from the platform's log.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a thread cannot be started.
    pub fn start(settings: &Settings, logger: Logger) -> anyhow::Result<Self> {
        let log: Arc<dyn crate::log::Log> = Arc::new(Client::new(&settings.platform)?);
        Self::launch(settings, ConfigSource::Log(log), logger)
    }

    /// Starts a node that receives its configuration from a platform adapter.
    ///
    /// The adapter delivers what it reads through [`Node::handle`].
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a thread cannot be started.
    pub fn start_with_adapter(
        adapter: PlatformAdapter,
        settings: &Settings,
        logger: Logger,
    ) -> anyhow::Result<Self> {
        Self::launch(settings, ConfigSource::Adapter(Box::new(adapter)), logger)
    }

    /// Binds the ports and starts the threads.
    fn launch(settings: &Settings, source: ConfigSource, logger: Logger) -> anyhow::Result<Self> {
        let clock = Clock::new();
        let counters = Arc::new(Counters::new());
        let caller_listener = bind("listen", settings.listen)?;
        let hop_listener = bind("hop-listen", settings.hop_listen)?;
        let rpc_listener = bind("rpc-listen", settings.rpc_listen)?;
        let admin_listener = bind("admin-listen", settings.admin_listen)?;
        let revocation = source.adapter().and_then(|adapter| adapter.revocation);
        let metering = source
            .adapter()
            .and_then(|adapter| adapter.usage.as_ref())
            .map(|usage| meter::channel(usage.schedule));
        let data_path = DataPath {
            table: Arc::new(ArcSwap::from_pointee(Table::default())),
            owner: Arc::new(ArcSwapOption::empty()),
            counters: counters.clone(),
            clock: clock.clone(),
            peers: Arc::default(),
            blocklist: Arc::default(),
            log_era: Arc::default(),
            confirmation: Arc::new(Confirmation::new(revocation)),
        };
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(settings.threads)
            .enable_all()
            .thread_name("buckthorn")
            .build()
            .context("failed to start the runtime")?;
        let (inputs, input_queue) = channel::bounded(MAX_INPUTS);
        let (inbound, inbound_queue) = channel::bounded(MAX_INBOUND);
        let (crashes, crash_queue) = channel::bounded(MAX_CRASHES);
        let watch = Arc::new(Watch::new(crashes, logger.clone()));

        let addresses = Addresses {
            callers: caller_listener.local_addr()?,
            hop: hop_listener.local_addr()?,
            rpc: rpc_listener.local_addr()?,
            admin: admin_listener.local_addr()?,
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
            let limits = source.adapter().map(|adapter| adapter.limits.clone());
            let control_connections = limits.unwrap_or_default().control_connections;
            let plane = build_plane(
                settings,
                &data_path,
                source.adapter(),
                metering.as_ref().map(|(meter, _)| meter.clone()),
                watch.clone(),
                logger.clone(),
            );
            let caller_listener = tokio::net::TcpListener::from_std(caller_listener)?;
            let hop_listener = tokio::net::TcpListener::from_std(hop_listener)?;
            let secrets = secrets(settings);
            let client = rpc::client::Client::new(
                &secrets,
                rpc::client::Timeouts::default(),
                counters.clone(),
            )?;
            let rpc = rpc::server::serve(
                settings.host.clone(),
                rpc_listener,
                secrets,
                rpc::server::Limits {
                    connections: control_connections,
                    ..rpc::server::Limits::default()
                },
                counters.clone(),
                inbound,
            )?;
            anyhow::Ok((
                proxy::serve(plane, caller_listener, hop_listener),
                rpc,
                client,
            ))
        })?;

        let leave_grace = source
            .adapter()
            .map_or(Duration::ZERO, |adapter| adapter.leave_grace);
        let resources = Resources {
            log_workers: source.log().map(|log| LogWorkers::start(log, &inputs)),
            operator_channel: source
                .adapter()
                .map(|adapter| adapter.operator_channel.clone()),
            duty_channel: source
                .adapter()
                .and_then(|adapter| adapter.usage.as_ref())
                .map(|usage| usage.channel.clone()),
            loads: source
                .adapter()
                .and_then(|adapter| adapter.retry_bound)
                .map_or_else(Loads::default, Loads::with_budgets),
            cold_tolerance: source
                .adapter()
                .map_or_else(Tolerance::default, |adapter| adapter.cold_tolerance),
            client: Arc::new(client),
            runtime: runtime.handle().clone(),
            statsd: settings
                .statsd
                .map(|address| Statsd::new(address, counters.clone()))
                .transpose()?,
            logger: logger.clone(),
        };
        let seed = name::rendezvous(&settings.host, &identity.incarnation.to_string());
        let mut registry = Registry::default();
        match source {
            ConfigSource::Log(_) => register(&mut registry),
            ConfigSource::Adapter(adapter) => {
                let bound = adapter.exposure_bound;
                register_with_adapter(&mut registry, adapter.max_apply_time, bound);
                if let Some(revocation) = revocation {
                    tenant::plugin::register(&mut registry, revocation);
                }
                if let (Some(usage), Some((_, changes))) = (&adapter.usage, metering) {
                    let (schedule, lease) = (usage.schedule, usage.lease);
                    usage::plugin::register(&mut registry, schedule, lease, changes);
                }
            }
        }
        let kernel = Kernel::new(identity, counters.clone(), seed, clock.now(), registry);
        let driver = Driver::new(kernel, data_path.clone(), resources, inputs.clone());
        let kernel = thread::Builder::new()
            .name("kernel".into())
            .spawn(move || driver.run(&input_queue, &inbound_queue, &crash_queue))
            .context("failed to start the kernel thread")?;

        let handler = Handler {
            data_path: data_path.clone(),
            inputs: inputs.clone(),
        };
        let admin = {
            let _guard = runtime.enter();
            let access = admin::Access::for_address(addresses.admin, secrets(settings));
            admin::serve(admin_listener, access, handler)?
        };
        info!(logger, "{}", LogEvent::NodeStarted.name();
            "callers" => %addresses.callers, "hop" => %addresses.hop,
            "rpc" => %addresses.rpc, "admin" => %addresses.admin);
        Ok(Self {
            addresses,
            data_path,
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

    /// Returns the handle through which an adapter delivers events.
    pub fn handle(&self) -> NodeHandle {
        NodeHandle::new(self.data_path.clone(), self.inputs.clone())
    }

    /// Returns a handler of admin requests, such as announcements of the local backend server.
    pub fn admin_handler(&self) -> impl admin::Handler + use<> {
        Handler {
            data_path: self.data_path.clone(),
            inputs: self.inputs.clone(),
        }
    }

    /// Returns the addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the counters of the node.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.data_path.counters
    }

    /// Returns the configuration version of the routing table in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.data_path.table.load().version
    }

    /// Returns the routing table in force.
    pub fn table(&self) -> Arc<Table> {
        self.data_path.table.load_full()
    }

    /// Returns the status, or `None` when the kernel thread does not reply in time.
    pub fn status(&self) -> Option<Status> {
        query_status(&self.inputs)
    }

    /// Shuts down gracefully: notifies the peers, refuses new work, and waits for calls in flight.
    pub fn shutdown(mut self) -> Drained {
        info!(self.logger, "{}", LogEvent::NodeStopping.name());
        // Callers switch to other nodes in this time, while the backend server stays in use.
        thread::sleep(self.leave_grace);
        let _ = self.inputs.send(Input::Leave);
        let _ = self.inputs.send(Input::Event(Event::Shutdown));
        thread::sleep(LEAVE_PROPAGATION);
        let drained = match (&self.runtime, self.proxy.take()) {
            (Some(runtime), Some(proxy)) => runtime.block_on(proxy.drain(self.drain_timeout)),
            _ => Drained::Clean,
        };
        self.stop();
        info!(self.logger, "{}", LogEvent::NodeStopped.name(); "is_clean" => drained == Drained::Clean);
        drained
    }

    /// Stops at once, like a crash: peers are not notified and calls in flight are cut.
    pub fn kill(mut self) {
        self.stop();
    }

    /// Stops the servers, the kernel thread and the runtime.
    fn stop(&mut self) {
        self.rpc.stop();
        drop(self.admin.take());
        let _ = self.inputs.send(Input::Stop);
        if let Some(kernel) = self.kernel.take() {
            // A violated invariant was already reported by the panic message.
            let _ = kernel.join();
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Registers the plug-ins of a node whose orders come from a platform adapter, in the order in
/// which they handle events.
///
/// Orders have to be in force within `max_apply_time`, and `exposure_bound` limits the calls to a
/// version that is not proven.
pub fn register_with_adapter(
    registry: &mut Registry,
    max_apply_time: Duration,
    exposure_bound: Bound,
) {
    membership::plugin::register_seeded(registry);
    config::intake::register(registry, max_apply_time);
    rollout::cutover::register(registry, exposure_bound);
    poison::containment::register(registry);
}

/// Registers the plug-ins of a node that reads the log, in the order in which they handle events.
pub fn register(registry: &mut Registry) {
    membership::plugin::register(registry);
    journal::plugin::register(registry);
    rollout::plugin::register(registry);
    poison::containment::register(registry);
}

/// Binds a listener; the error names the setting.
fn bind(flag: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .with_context(|| format!("--{flag}: failed to bind {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Builds the proxy's plane from the settings and the adapter's contract and limits.
fn build_plane(
    settings: &Settings,
    data_path: &DataPath,
    adapter: Option<&PlatformAdapter>,
    meter: Option<Meter>,
    watch: Arc<Watch>,
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
    .table(data_path.table.clone())
    .owner(data_path.owner.clone())
    .counters(data_path.counters.clone())
    .clock(data_path.clock.clone())
    .limits(limits)
    .blocklist(data_path.blocklist.clone())
    .confirmation(data_path.confirmation.clone())
    .watch(watch)
    .logger(logger);
    if let Some(meter) = meter {
        builder = builder.meter(meter);
    }
    if let Some(adapter) = adapter {
        builder = builder.contract(adapter.contract.clone());
    }
    Arc::new(builder.build())
}

/// Returns the secrets that the nodes share.
fn secrets(settings: &Settings) -> Secrets {
    let previous = settings.previous_secret.as_deref().map(Arc::from);
    Secrets::new(settings.secret.as_str(), previous)
}

/// Requests the status from the kernel thread.
fn query_status(inputs: &Sender<Input>) -> Option<Status> {
    let (sender, receiver) = channel::bounded(1);
    inputs
        .send_timeout(Input::GetStatus(sender), KERNEL_REPLY_TIMEOUT)
        .ok()?;
    receiver.recv_timeout(KERNEL_REPLY_TIMEOUT).ok()
}

/// Forwards requests of the admin API to the kernel thread.
struct Handler {
    /// State shared with the data path.
    data_path: DataPath,
    /// Input queue of the kernel thread.
    inputs: Sender<Input>,
}

impl admin::Handler for Handler {
    fn announce(&self, announcement: Announcement) -> Result<(), admin::Refusal> {
        let (reply, receiver) = channel::bounded(1);
        let input = Input::Announce {
            announcement,
            reply,
        };
        self.inputs
            .try_send(input)
            .map_err(|_| admin::Refusal::Busy)?;
        receiver
            .recv_timeout(KERNEL_REPLY_TIMEOUT)
            .unwrap_or(Err(admin::Refusal::Busy))
    }

    fn leave(&self) {
        let _ = self.inputs.try_send(Input::Leave);
    }

    fn leave_instance(&self, instance: &str, started: Option<u64>) -> Result<(), admin::Refusal> {
        let (reply, receiver) = channel::bounded(1);
        let input = Input::LeaveInstance {
            instance: instance.into(),
            started,
            reply,
        };
        self.inputs
            .try_send(input)
            .map_err(|_| admin::Refusal::Busy)?;
        receiver
            .recv_timeout(KERNEL_REPLY_TIMEOUT)
            .map_err(|_| admin::Refusal::Busy)
    }

    fn status(&self) -> Option<serde_json::Value> {
        query_status(&self.inputs).and_then(|status| serde_json::to_value(status).ok())
    }

    fn is_ready(&self) -> bool {
        self.data_path.table.load().version > 0
    }

    fn counters(&self) -> &Arc<Counters> {
        &self.data_path.counters
    }
}
