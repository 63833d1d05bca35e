//! What an adapter to a platform brings to a node, and how it hands in what it learns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;

use super::driver::{Input, Path};
use crate::admission::cold_rate::Tolerance;
use crate::config::order::Decision;
use crate::kernel::{Event, OrderPolling};
use crate::log::Log;
use crate::membership::member::Member;
use crate::name::Name;
use crate::proxy::contract::Contract;
use crate::proxy::limit::Limits;

/// Where the decisions of this node on moves are published; the outcome comes back as
/// [`Event::Published`].
pub trait OperatorChannel: Send + Sync {
    /// Starts to publish a decision; never blocks.
    fn publish(&self, decision: &Decision);

    /// Reads the operators' orders in another way from now on.
    fn read_orders(&self, reading: OrderPolling);

    /// Reads published decisions once, unless a read is under way.
    fn read_decisions(&self);
}

/// What an adapter to a platform brings.
#[derive(Clone)]
pub struct PlatformAdapter {
    /// Contract with callers and backend servers.
    pub contract: Contract,
    /// Where decisions on moves are published.
    pub operator_channel: Arc<dyn OperatorChannel>,
    /// Limits on what comes from outside; the settings' own go first.
    pub limits: Limits,
    /// Time for callers to look elsewhere before a node that stops tells its peers and refuses
    /// calls.
    pub leave_grace: Duration,
    /// Time in which an operators' order has to be in force.
    pub max_apply_time: Duration,
    /// How far cold backend servers may be loaded.
    pub cold_tolerance: Tolerance,
    /// Retries of a service for each of its calls.
    pub retry_ratio: f64,
    /// Retries of a service beyond that, on all nodes together.
    pub retry_slack: f64,
}

/// Where a node's orders come from.
pub(super) enum Source {
    /// The log of the mesh's own records.
    Log(Arc<dyn Log>),
    /// An adapter.
    Adapter(Box<PlatformAdapter>),
}

impl Source {
    /// What an adapter brought, if one did.
    pub(super) fn adapter(&self) -> Option<&PlatformAdapter> {
        match self {
            Self::Log(_) => None,
            Self::Adapter(adapter) => Some(adapter),
        }
    }

    /// Log of the mesh's own records, if that is the source.
    pub(super) fn log(&self) -> Option<&Arc<dyn Log>> {
        match self {
            Self::Log(log) => Some(log),
            Self::Adapter(_) => None,
        }
    }
}

/// A node that is known to be alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Host.
    pub host: Name,
    /// Failure domain.
    pub failure_domain: Name,
    /// Control address.
    pub rpc: SocketAddr,
}

impl Peer {
    /// What is known of a member.
    pub(super) fn of(member: &Member) -> Self {
        Self {
            host: member.host.clone(),
            failure_domain: member.failure_domain.clone(),
            rpc: member.rpc,
        }
    }
}

/// Hands a node what an adapter learns.
#[derive(Clone)]
pub struct NodeHandle {
    /// Shared state of the path of a call.
    path: Path,
    /// Entry to the kernel.
    inputs: Sender<Input>,
}

impl NodeHandle {
    /// Handle of the node with these parts.
    pub(super) fn new(path: Path, inputs: Sender<Input>) -> Self {
        Self { path, inputs }
    }

    /// Hands in an event.
    ///
    /// # Errors
    ///
    /// Fails when the node has stopped.
    pub fn deliver(&self, event: Event) -> anyhow::Result<()> {
        let input = Input::Event(event);
        let sent = self.inputs.send(input);
        sent.map_err(|_| anyhow::anyhow!("the node has stopped"))
    }

    /// Nodes known to be alive, this one included once it routes calls.
    pub fn peers(&self) -> Arc<Vec<Peer>> {
        self.path.peers.load_full()
    }

    /// Whether the node knows others.
    pub fn has_peers(&self) -> bool {
        self.path.peers.load().len() > 1
    }

    /// Whether the node can route calls.
    pub fn is_synced(&self) -> bool {
        self.path.table.load().version > 0
    }
}
