//! Interface between a node and a platform adapter.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;

use super::driver::{DataPath, Input};
use crate::admission::cold_rate::Tolerance;
use crate::clock::Time;
use crate::config::order::Decision;
use crate::kernel::{Event, OrderPolling};
use crate::log::Log;
use crate::membership::member::{Departure, Member};
use crate::name::Name;
use crate::poison::blocklist::Record;
use crate::proxy::contract::Contract;
use crate::proxy::limit::Limits;
use crate::rollout::exposure::Bound;
use crate::routing::budget::RetryBound;
use crate::usage::duty;
use crate::usage::schedule::Schedule;

/// Channel to the operators' records: orders are read from it, and decisions on moves are published
/// to it.
///
/// The outcome of a publication is delivered as [`Event::Published`].
pub trait OperatorChannel: Send + Sync {
    /// Starts publishing a decision without blocking.
    fn publish(&self, decision: &Decision);

    /// Changes how the operators' orders are read.
    fn read_orders(&self, polling: OrderPolling);

    /// Sets whether reads of the orders use short waits, from the next read on.
    fn monitor_orders(&self, is_monitor: bool);

    /// Requests one read of the published decisions; requests made during a read are combined into
    /// one.
    fn read_decisions(&self);

    /// Starts storing the departure of the local backend server without blocking; it is tried again
    /// until it is stored or another one replaces it.
    fn store_departure(&self, departure: Departure);

    /// Starts storing the list of poison requests without blocking. The outcome is delivered as
    /// [`Event::BlocklistStored`].
    fn store_blocklist(&self, records: &[Record]);
}

/// Channel for the duty of handing in usage.
///
/// The reply to a request is delivered as [`Event::Duty`].
pub trait DutyChannel: Send + Sync {
    /// Starts a request without blocking.
    fn send(&self, request: duty::Request);
}

/// How usage is counted and handed in.
#[derive(Clone)]
pub struct Usage {
    /// Channel for the duty of handing it in.
    pub channel: Arc<dyn DutyChannel>,
    /// Windows and when they are handed in.
    pub schedule: Schedule,
    /// Shortest time between two holders of the duty.
    pub lease: Duration,
}

/// Contract, limits and channel that a platform adapter provides to a node.
#[derive(Clone)]
pub struct PlatformAdapter {
    /// Contract with callers and backend servers, such as the names of headers.
    pub contract: Contract,
    /// Channel for orders and decisions on moves.
    pub operator_channel: Arc<dyn OperatorChannel>,
    /// Limits on external input; limits that the node's settings define take precedence.
    pub limits: Limits,
    /// Time for callers to switch to other nodes before a stopping node notifies its peers and
    /// refuses calls.
    pub leave_grace: Duration,
    /// Maximum time from the publication of an order until it is in force.
    pub max_apply_time: Duration,
    /// Allowed calls to cold backend servers beyond their rate.
    pub cold_tolerance: Tolerance,
    /// Allowed calls to a version that is not proven, in the window of its move.
    pub exposure_bound: Bound,
    /// Retries of a service that all nodes may make together; absent for the budgets that each node
    /// has by default.
    pub retry_bound: Option<RetryBound>,
    /// Time within which a key of a tenant stops working after it was taken away; absent where a
    /// node accepts keys however long ago it has read the policy.
    pub revocation: Option<Duration>,
    /// How usage is handed in; absent where it is not counted.
    pub usage: Option<Usage>,
}

/// Source of a node's configuration.
pub(super) enum ConfigSource {
    /// Log of the mesh's records.
    Log(Arc<dyn Log>),
    /// Platform adapter.
    Adapter(Box<PlatformAdapter>),
}

impl ConfigSource {
    /// Returns the platform adapter, if that is the source.
    pub(super) fn adapter(&self) -> Option<&PlatformAdapter> {
        match self {
            Self::Log(_) => None,
            Self::Adapter(adapter) => Some(adapter),
        }
    }

    /// Returns the log, if that is the source.
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
    /// Host identifier.
    pub host: Name,
    /// Failure domain of the host.
    pub failure_domain: Name,
    /// Address of the control protocol.
    pub rpc: SocketAddr,
}

impl Peer {
    /// Creates a peer from its entry in the membership view.
    pub(super) fn from_member(member: &Member) -> Self {
        Self {
            host: member.host.clone(),
            failure_domain: member.failure_domain.clone(),
            rpc: member.rpc,
        }
    }
}

/// Handle through which a platform adapter delivers events to a node and queries its state.
#[derive(Clone)]
pub struct NodeHandle {
    /// State shared with the data path.
    data_path: DataPath,
    /// Input queue of the kernel thread.
    inputs: Sender<Input>,
}

impl NodeHandle {
    /// Creates a handle from the state and the input queue of a node.
    pub(super) fn new(data_path: DataPath, inputs: Sender<Input>) -> Self {
        Self { data_path, inputs }
    }

    /// Delivers an event to the kernel; blocks while the input queue is full.
    ///
    /// # Errors
    ///
    /// Fails when the node has stopped.
    pub fn deliver(&self, event: Event) -> anyhow::Result<()> {
        let input = Input::Event(event);
        let sent = self.inputs.send(input);
        sent.map_err(|_| anyhow::anyhow!("the node has stopped"))
    }

    /// Returns the nodes known to be alive, including this one once it routes calls.
    pub fn peers(&self) -> Arc<Vec<Peer>> {
        self.data_path.peers.load_full()
    }

    /// Whether the node knows other live nodes.
    pub fn has_peers(&self) -> bool {
        self.data_path.peers.load().len() > 1
    }

    /// Returns the era of the operators' topic, as this node or its peers have read it.
    pub fn log_era(&self) -> u16 {
        self.data_path.log_era.load(Ordering::Relaxed)
    }

    /// Time of an earlier instant by the clock of the node.
    pub fn time_of(&self, instant: Instant) -> Time {
        // The time is taken first, so that a pause in between makes the result earlier.
        let now = self.data_path.clock.now();
        now - instant.elapsed()
    }

    /// Whether the node can route calls.
    pub fn is_synced(&self) -> bool {
        self.data_path.table.load().version > 0
    }
}
