//! The path of a call: callers, the hop between nodes, and backend servers.
//!
//! A node takes calls as *ingress* from callers over HTTP/1.1, chooses a backend server and sends
//! the call to the node that *owns* it, over HTTP/2 ([`hop`]) or by a function call when that node
//! is itself ([`owner`]). The owner is the only way into its backend server, so its word that a
//! call was not run is true: it alone knows whether a byte of the request went there.
//!
//! Guarantees:
//! - an answer is given to the request that it belongs to: a connection whose call did not end in
//!   full is closed, never used again ([`pool`]);
//! - an answer that is shorter or longer than declared is an error towards the caller, never a
//!   short success ([`body`]);
//! - a call that is not idempotent has at most one attempt whose first byte left the owner
//!   ([`dispatch`]);
//! - bodies are streamed with back-pressure; what is buffered is bounded by [`limit::Limits`].

mod attempts;
pub mod body;
pub mod contract;
pub mod dispatch;
pub mod header;
pub mod hop;
pub mod ingress;
pub mod key;
pub mod keyed;
pub mod limit;
pub mod listen;
pub mod owner;
pub mod payload;
pub mod pool;
pub mod request_log;
pub mod response;
pub mod resume;
pub mod socket;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::counter::Board;
use crate::name::Name;
use crate::node::telemetry;
use crate::routing::table::Table;

use self::contract::Contract;
use self::limit::Limits;
use self::owner::Owner;
use crate::secret::Secrets;

/// Everything that the path of a call reads.
#[derive(Debug)]
pub struct Plane {
    /// Routing table in force.
    pub table: Arc<ArcSwap<Table>>,
    /// Owner of the backend server announced here, if any.
    pub owner: Arc<ArcSwapOption<Owner>>,
    /// Counters.
    pub counters: Arc<Board>,
    /// Clock.
    pub clock: Clock,
    /// Host of this node.
    pub host: Name,
    /// Failure domain of this node.
    pub failure_domain: Name,
    /// Secrets shared by the nodes.
    pub secrets: Secrets,
    /// Limits on what comes from outside.
    pub limits: Limits,
    /// Contract with callers and backend servers, where the platform has headers of its own.
    pub contract: Option<Contract>,
    /// Log of decisions on calls.
    pub logger: Logger,
    /// Bounds on the rates of its lines.
    pub(crate) rate_limiters: request_log::RateLimiters,
    /// Connections to other nodes.
    pub(crate) peers: hop::Peers,
    /// Idempotency keys held here.
    pub(crate) keys: key::Store,
    /// Whether the node refuses new work.
    is_draining: AtomicBool,
}

impl Plane {
    /// Starts building a plane of a host.
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
            logger: telemetry::silent(),
        }
    }

    /// An answer as the caller is told it.
    pub(crate) fn for_caller(
        &self,
        mut response: http::Response<body::Body>,
    ) -> http::Response<body::Body> {
        if let Some(contract) = &self.contract {
            response::rewrite_for_contract(&mut response, &contract.retry_after);
        }
        response
    }

    /// Identifier of a request, empty where it has none.
    pub(crate) fn request_id(&self, headers: &http::HeaderMap) -> String {
        let value = match &self.contract {
            Some(contract) => headers.get(&contract.headers.request_id),
            None => headers.get(header::REQUEST_ID),
        };
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    }

    /// Whether the node refuses new work.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }
}

/// Builder of a [`Plane`].
#[derive(Debug)]
pub struct Builder {
    /// Routing table in force.
    table: Arc<ArcSwap<Table>>,
    /// Owner of the backend server announced here.
    owner: Arc<ArcSwapOption<Owner>>,
    /// Counters.
    counters: Arc<Board>,
    /// Clock.
    clock: Clock,
    /// Host of this node.
    host: Name,
    /// Failure domain of this node.
    failure_domain: Name,
    /// Secrets shared by the nodes.
    secrets: Secrets,
    /// Limits.
    limits: Limits,
    /// Contract.
    contract: Option<Contract>,
    /// Log of decisions on calls.
    logger: Logger,
}

impl Builder {
    /// Sets the shared routing table.
    pub fn table(mut self, table: Arc<ArcSwap<Table>>) -> Self {
        self.table = table;
        self
    }

    /// Sets the shared owner.
    pub fn owner(mut self, owner: Arc<ArcSwapOption<Owner>>) -> Self {
        self.owner = owner;
        self
    }

    /// Sets the counters.
    pub fn counters(mut self, counters: Arc<Board>) -> Self {
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

    /// Contract with callers and backend servers.
    pub fn contract(mut self, contract: Contract) -> Self {
        self.contract = Some(contract);
        self
    }

    /// Log of decisions on calls.
    pub fn logger(mut self, logger: Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Builds the plane.
    pub fn build(self) -> Plane {
        Plane {
            peers: hop::Peers::new(self.counters.clone(), &self.limits),
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
            logger: self.logger,
            rate_limiters: request_log::RateLimiters::default(),
            is_draining: AtomicBool::new(false),
        }
    }
}

/// Starts serving callers and other nodes; needs to run inside a tokio runtime.
pub fn serve(plane: Arc<Plane>, callers: TcpListener, hop: TcpListener) -> Handle {
    let (stop, phase) = watch::channel(listen::Phase::Serving);
    let callers = tokio::spawn(listen::callers(plane.clone(), callers, phase.clone()));
    let hop = tokio::spawn(listen::hop(plane.clone(), hop, phase));
    Handle {
        plane,
        stop,
        callers,
        hop,
    }
}

/// What a drain came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drained {
    /// Every call in flight ended by itself.
    Clean,
    /// The time ran out; connections still open were cut.
    Cut,
}

/// Running servers of a plane.
#[derive(Debug)]
pub struct Handle {
    /// Plane served.
    plane: Arc<Plane>,
    /// Tells the servers to stop.
    stop: watch::Sender<listen::Phase>,
    /// Server of callers.
    callers: JoinHandle<()>,
    /// Server of other nodes.
    hop: JoinHandle<()>,
}

impl Handle {
    /// Shuts down gracefully: accepts no connection, refuses new work as not run, and returns when
    /// every call in flight has ended or `timeout` has passed.
    pub async fn drain(self, timeout: Duration) -> Drained {
        self.plane.is_draining.store(true, Ordering::Release);
        self.stop.send_replace(listen::Phase::Draining);
        let (callers, hop) = (self.callers, self.hop);
        let aborts = [callers.abort_handle(), hop.abort_handle()];
        let ended = tokio::time::timeout(timeout, async move {
            // A task that panicked has ended, too.
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
