//! The data plane: carries calls from callers over the hop between nodes to backend servers.
//!
//! As *ingress*, a node accepts calls from callers over HTTP/1.1, chooses a backend server and
//! sends the call to the node that *owns* it: over HTTP/2 ([`hop`]), or by a function call when
//! the node owns it itself ([`owner`]). A backend server is reached only through its owner, so the
//! owner knows whether any byte of a request was sent and can report reliably that a call was not
//! run.
//!
//! Guarantees:
//! - a response is only ever returned for its own request: a connection whose call did not complete
//!   is closed and never reused ([`pool`]);
//! - a response that is shorter or longer than declared reaches the caller as an error, never as a
//!   truncated success ([`body`]);
//! - a call that is not idempotent has at most one attempt whose first byte left the owner
//!   ([`dispatch`]);
//! - bodies are streamed with back-pressure; buffering is bounded by [`limit::Limits`].

mod attempts;
mod backend_state;
pub mod body;
pub mod connections;
pub mod contract;
pub mod crash_watch;
mod deadline;
pub mod dispatch;
pub mod eviction;
pub mod header;
pub mod hop;
pub mod ingress;
pub mod key;
pub mod keyed;
pub mod limit;
pub mod listen;
pub mod memory;
pub mod overload;
pub mod owner;
pub mod payload;
pub mod pipeline;
pub mod pool;
pub mod request_log;
pub mod response;
pub mod resume;
mod running;
pub mod shortage;
pub mod socket;
mod tenant;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::counter::Counters;
use crate::name::Name;
use crate::node::telemetry;
use crate::poison::blocklist::{Blocklist, Level};
use crate::routing::parent::Parents;
use crate::routing::repeat::RepeatShare;
use crate::routing::table::Table;

use self::contract::Contract;
use self::crash_watch::Watch;
use self::limit::{Limits, RequestLimits};
use self::owner::Owner;
use crate::secret::Secrets;
use crate::tenant::confirmation::Confirmation;
use crate::usage::meter::Meter;

/// Shared state of the data plane of one node.
#[derive(Debug)]
pub struct Plane {
    /// Current routing table, replaced whenever the configuration changes.
    pub table: Arc<ArcSwap<Table>>,
    /// Owner of the backend server announced to this node, if any.
    pub owner: Arc<ArcSwapOption<Owner>>,
    /// Counters of the node.
    pub counters: Arc<Counters>,
    /// Clock that deadlines and timestamps are taken from.
    pub clock: Clock,
    /// Host on which this node runs.
    pub host: Name,
    /// Failure domain that this node's host is in.
    pub failure_domain: Name,
    /// Secrets with which nodes authenticate to each other.
    pub secrets: Secrets,
    /// Limits on connections, requests and responses.
    pub limits: Limits,
    /// Contract with callers and backend servers, when the platform defines its own headers.
    pub contract: Option<Contract>,
    /// Poison requests, which are not sent to backend servers.
    pub blocklist: Arc<ArcSwap<Blocklist>>,
    /// Confirmation of the policy, which keys of callers need.
    pub confirmation: Arc<Confirmation>,
    /// Counts the requests of tenants; absent where usage is not handed in.
    pub meter: Option<Meter>,
    /// Watch of the local backend server for crashes; absent where nothing handles its reports.
    pub watch: Option<Arc<Watch>>,
    /// Logger for decisions on calls.
    pub logger: Logger,
    /// Rate limits of the log lines about calls.
    pub(crate) rate_limiters: request_log::RateLimiters,
    /// Connections to other nodes.
    pub(crate) peers: hop::Peers,
    /// Share of repeats among the runs of the local backend server.
    pub(crate) repeat_share: RepeatShare,
    /// Requests that run at the local backend server.
    pub(crate) parents: Arc<Parents>,
    /// Idempotency keys held by this node.
    pub(crate) keys: key::Store,
    /// Shortage of connections, memory or slots of the local backend server.
    pub(crate) shortage: Arc<shortage::Shortage>,
    /// Memory left for bodies that are kept.
    pub(crate) kept_memory: memory::Memory,
    /// Whether the node drains and refuses new calls.
    is_draining: AtomicBool,
}

impl Plane {
    /// Creates a builder for the plane of a host.
    pub fn builder(
        host: impl Into<Name>,
        failure_domain: impl Into<Name>,
        secrets: Secrets,
    ) -> Builder {
        Builder {
            table: Arc::default(),
            owner: Arc::default(),
            counters: Arc::default(),
            clock: Clock::new(),
            host: host.into(),
            failure_domain: failure_domain.into(),
            secrets,
            limits: Limits::default(),
            contract: None,
            blocklist: Arc::default(),
            confirmation: Arc::default(),
            meter: None,
            watch: None,
            logger: telemetry::silent(),
        }
    }

    /// Converts a response to the form that the contract with the caller prescribes.
    pub(crate) fn for_caller(
        &self,
        mut response: http::Response<body::Body>,
    ) -> http::Response<body::Body> {
        if let Some(contract) = &self.contract {
            response::rewrite_for_contract(&mut response, &contract.retry_after);
        }
        response
    }

    /// Returns the identifier of a request, empty when it has none.
    pub(crate) fn request_id(&self, headers: &http::HeaderMap) -> String {
        let value = match &self.contract {
            Some(contract) => headers.get(&contract.headers.request_id),
            None => headers.get(header::REQUEST_ID),
        };
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    }

    /// Returns the restriction on the request of a call, if it crashes backend servers.
    pub(crate) fn block_level(&self, call: &header::Call) -> Option<Level> {
        let fingerprint = call.suspect?.fingerprint;
        let blocklist = self.blocklist.load();
        blocklist.level(fingerprint, self.clock.now())
    }

    /// Returns the limits of callers' requests under the current policy.
    pub(crate) fn request_limits(&self) -> RequestLimits {
        let table = self.table.load();
        let policy = table.policy.as_ref();
        RequestLimits::new(&self.limits, policy.map(|policy| &policy.limits))
    }

    /// Returns whether the node drains and refuses new calls.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }
}

/// Builder of a [`Plane`].
#[derive(Debug)]
pub struct Builder {
    /// Current routing table, replaced whenever the configuration changes.
    table: Arc<ArcSwap<Table>>,
    /// Owner of the backend server announced to this node.
    owner: Arc<ArcSwapOption<Owner>>,
    /// Counters of the node.
    counters: Arc<Counters>,
    /// Clock that deadlines and timestamps are taken from.
    clock: Clock,
    /// Host on which this node runs.
    host: Name,
    /// Failure domain that this node's host is in.
    failure_domain: Name,
    /// Secrets with which nodes authenticate to each other.
    secrets: Secrets,
    /// Limits on connections, requests and responses.
    limits: Limits,
    /// Contract with callers and backend servers.
    contract: Option<Contract>,
    /// Poison requests, which are not sent to backend servers.
    blocklist: Arc<ArcSwap<Blocklist>>,
    /// Confirmation of the policy.
    confirmation: Arc<Confirmation>,
    /// Counts the requests of tenants.
    meter: Option<Meter>,
    /// Watch of the local backend server for crashes.
    watch: Option<Arc<Watch>>,
    /// Logger for decisions on calls.
    logger: Logger,
}

impl Builder {
    /// Sets the shared routing table.
    pub fn table(mut self, table: Arc<ArcSwap<Table>>) -> Self {
        self.table = table;
        self
    }

    /// Sets the shared owner of the local backend server.
    pub fn owner(mut self, owner: Arc<ArcSwapOption<Owner>>) -> Self {
        self.owner = owner;
        self
    }

    /// Sets the counters.
    pub fn counters(mut self, counters: Arc<Counters>) -> Self {
        self.counters = counters;
        self
    }

    /// Sets the clock.
    pub fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the limits.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the contract with callers and backend servers.
    pub fn contract(mut self, contract: Contract) -> Self {
        self.contract = Some(contract);
        self
    }

    /// Sets the shared list of poison requests.
    pub fn blocklist(mut self, blocklist: Arc<ArcSwap<Blocklist>>) -> Self {
        self.blocklist = blocklist;
        self
    }

    /// Sets the shared confirmation of the policy.
    pub fn confirmation(mut self, confirmation: Arc<Confirmation>) -> Self {
        self.confirmation = confirmation;
        self
    }

    /// Sets the meter of the requests of tenants.
    pub fn meter(mut self, meter: Meter) -> Self {
        self.meter = Some(meter);
        self
    }

    /// Sets the watch of the local backend server for crashes.
    pub fn watch(mut self, watch: Arc<Watch>) -> Self {
        self.watch = Some(watch);
        self
    }

    /// Sets the logger for decisions on calls.
    pub fn logger(mut self, logger: Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Builds the plane.
    pub fn build(self) -> Plane {
        Plane {
            peers: hop::Peers::new(self.counters.clone(), &self.limits),
            repeat_share: RepeatShare::default(),
            parents: Arc::default(),
            shortage: Arc::default(),
            kept_memory: memory::Memory::new(self.limits.kept_bytes),
            keys: key::Store::new(self.limits.keys, self.limits.key_window),
            table: self.table,
            owner: self.owner,
            counters: self.counters,
            clock: self.clock,
            host: self.host,
            failure_domain: self.failure_domain,
            secrets: self.secrets,
            limits: self.limits,
            contract: self.contract,
            blocklist: self.blocklist,
            confirmation: self.confirmation,
            meter: self.meter,
            watch: self.watch,
            logger: self.logger,
            rate_limiters: request_log::RateLimiters::default(),
            is_draining: AtomicBool::new(false),
        }
    }
}

/// Starts serving callers and other nodes; must be called inside a tokio runtime.
pub fn serve(plane: Arc<Plane>, callers: TcpListener, hop: TcpListener) -> Handle {
    let (phase_sender, phase) = watch::channel(listen::Phase::Serving);
    let callers = tokio::spawn(listen::callers(plane.clone(), callers, phase.clone()));
    let hop = tokio::spawn(listen::hop(plane.clone(), hop, phase));
    Handle {
        plane,
        phase_sender,
        callers,
        hop,
    }
}

/// Result of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drained {
    /// Every call in flight completed.
    Clean,
    /// The timeout expired and the remaining connections were closed.
    Cut,
}

/// Running servers of a plane.
#[derive(Debug)]
pub struct Handle {
    /// Plane that is served.
    plane: Arc<Plane>,
    /// Signals the servers to drain.
    phase_sender: watch::Sender<listen::Phase>,
    /// Task that serves callers.
    callers: JoinHandle<()>,
    /// Task that serves other nodes.
    hop: JoinHandle<()>,
}

impl Handle {
    /// Shuts down gracefully: stops accepting connections, refuses new calls as not run, and
    /// returns when every call in flight has ended or `timeout` has expired.
    pub async fn drain(self, timeout: Duration) -> Drained {
        self.plane.is_draining.store(true, Ordering::Release);
        self.phase_sender.send_replace(listen::Phase::Draining);
        let (callers, hop) = (self.callers, self.hop);
        let aborts = [callers.abort_handle(), hop.abort_handle()];
        let ended = tokio::time::timeout(timeout, async move {
            // A task that panicked has ended as well.
            let _ = callers.await;
            let _ = hop.await;
        });
        match ended.await {
            Ok(()) => Drained::Clean,
            Err(_) => {
                aborts.iter().for_each(tokio::task::AbortHandle::abort);
                Drained::Cut
            }
        }
    }
}
