//! Event-driven core of a node: the shared state and the plug-ins that act on it.
//!
//! The kernel takes events together with the time and returns actions; it performs no I/O and runs
//! on one thread. Plug-ins register themselves in a [`Registry`] and receive every event in the
//! order of registration. The daemon and the randomised simulations drive the same kernel.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::clock::Time;
use crate::config::order::{Decision, OrderBatch, Orders};
use crate::config::position::Position;
use crate::counter::{Counter, Counters};
use crate::journal::lease::LeaseManager;
use crate::journal::tail::Tail;
use crate::log::{AppendOutcome, Batch};
use crate::log_event::{LogEntry, LogEvent};
use crate::membership::member::{BackendServer, Departure, Member};
use crate::membership::view::View;
use crate::name::Name;
use crate::poison::blocklist::{Blocklist, Record};
use crate::poison::crash::Crash;
use crate::rollout::evidence;
use crate::rollout::quarantine::Quarantine;
use crate::rpc::message::Message;
use crate::usage::duty;

/// Input of the kernel.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer event, every [`TICK_INTERVAL`].
    Tick,
    /// Another node sent messages; the reply is given with [`Action::Reply`].
    Received {
        /// Host of the sender.
        from: Name,
        /// Messages, in order.
        messages: Vec<Message>,
    },
    /// Another node replied to messages that this node sent.
    Replied {
        /// Host of the replying node.
        from: Name,
        /// Messages, in order.
        messages: Vec<Message>,
    },
    /// Messages to a node could not be delivered or got no reply in time.
    Unreachable {
        /// Address that the messages were sent to.
        address: SocketAddr,
        /// Host that the messages were addressed to, empty for a seed whose host is unknown.
        host: Name,
    },
    /// A read of a log stream succeeded.
    LogRead {
        /// Stream.
        stream: &'static str,
        /// Records that it returned and the offsets of the stream.
        batch: Batch,
    },
    /// A read of a log stream failed.
    LogReadFailed {
        /// Stream.
        stream: &'static str,
    },
    /// An append to a log stream completed or failed.
    Appended {
        /// Identifier of the record.
        id: Name,
        /// Outcome of the append.
        result: AppendOutcome,
    },
    /// The local backend server announced itself; `None` if it expired or left.
    Announced(Option<BackendServer>),
    /// The local backend server said that it leaves.
    Departed(Departure),
    /// The departure that the platform's store keeps for this host was read; `None` if there is none.
    DepartureRead(Option<Departure>),
    /// The local backend server crashed.
    BackendCrashed(Crash),
    /// Evidence that this node counted as owner, at most once per tick.
    EvidenceCollected(evidence::Report),
    /// Operators' orders were read from their topic.
    OrdersRead(OrderBatch),
    /// A read of operators' orders that was sent at `at` reached their end.
    OrdersConfirmed {
        /// Time at which the orders were known to end there.
        at: Time,
        /// Position at which the orders ended.
        next: Position,
    },
    /// Reports whether the last read of operators' orders succeeded.
    OrdersReadable(bool),
    /// Published decisions on moves were read.
    DecisionsRead(Vec<Decision>),
    /// A decision was published, or could not be.
    Published(PublishOutcome),
    /// The list of poison requests that the platform's store keeps was read.
    BlocklistRead(Vec<Record>),
    /// The list of poison requests was stored, or could not be.
    BlocklistStored(bool),
    /// The platform replied to a request for the duty of handing in usage.
    Duty(duty::Reply),
    /// New list of control addresses of nodes to join through.
    Seeds(Vec<SocketAddr>),
    /// The process was asked to stop.
    Shutdown,
}

/// Outcome of publishing a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The decision was published.
    Done(Decision),
    /// Another node published first; its decisions have to be read before a retry.
    Conflict,
    /// The decision was refused or its outcome is unknown, for this reason.
    Failed(String),
}

/// Output of the kernel, to be executed by the driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Reply to the messages of the event being handled.
    Reply(Vec<Message>),
    /// Send messages to a node.
    Send {
        /// Host to send to, empty for a seed whose host is unknown.
        host: Name,
        /// Address of the host's control protocol.
        address: SocketAddr,
        /// Messages, in order.
        messages: Vec<Message>,
    },
    /// Read a stream from an offset; completed by [`Event::LogRead`] or [`Event::LogReadFailed`].
    /// At most one read of a stream is in progress at a time.
    Read {
        /// Stream.
        stream: &'static str,
        /// First offset to read; [`LATEST`] to get only the stream's offsets and no records.
        from: u64,
        /// Time for which the log may wait for the first record.
        wait: Duration,
    },
    /// Append a record to a stream; completed by [`Event::Appended`].
    Append {
        /// Stream.
        stream: &'static str,
        /// Identifier of the record.
        id: Name,
        /// Payload of the record.
        payload: String,
    },
    /// Rebuild the routing table, because the state, view or quarantine changed.
    RebuildTable,
    /// Change how the operators' orders are read.
    ReadOrders(OrderPolling),
    /// Read the operators' orders with short waits, or no longer, so that a read that the log
    /// swallowed is noticed soon.
    MonitorOrders(bool),
    /// The policy in force was the newest one at this time, once the table is rebuilt.
    ConfirmPolicy(Time),
    /// Read published decisions, or continue to wait for them.
    ReadDecisions,
    /// Publish a decision on a move.
    Publish(Decision),
    /// Send a request for the duty of handing in usage; answered by [`Event::Duty`].
    Duty(duty::Request),
    /// Collect the owner's counts now; answered by [`Event::EvidenceCollected`].
    CollectEvidence,
    /// Refuse announcements of a backend server that left before this process started, and drain it
    /// if it is registered.
    RecallDeparture(Departure),
    /// Keep the departure of the local backend server in the platform's store.
    StoreDeparture(Departure),
    /// Pass the list of poison requests to the data path.
    UpdateBlocklist,
    /// Keep the list of poison requests in the platform's store; completed by
    /// [`Event::BlocklistStored`].
    StoreBlocklist(Vec<Record>),
    /// Log a decision or a change of the node's state.
    Log(LogEntry),
}

/// How a node reads the operators' orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderPolling {
    /// The node does not read them; other nodes send them.
    Paused,
    /// The node reads from a position on, starting at once even if a read is in progress.
    From(Position),
}

/// Maximum number of messages in an envelope; an envelope with more is refused whole.
pub const MAX_MESSAGES: usize = 64;

/// Interval of [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Offset beyond every record, used to find the end of a stream.
pub const LATEST: u64 = u64::MAX;

/// Identity of a node and the addresses at which it can be reached.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Host name of the node.
    pub host: Name,
    /// Start time of the process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Region of the host.
    pub region: Name,
    /// Failure domain of the host.
    pub failure_domain: Name,
    /// Address of the control protocol.
    pub rpc: SocketAddr,
    /// Address of the data path between nodes.
    pub hop: SocketAddr,
    /// Addresses of nodes to join through.
    pub seeds: Vec<SocketAddr>,
}

/// State shared by the plug-ins.
#[derive(Debug)]
pub struct Shared {
    /// Identity of this node.
    pub identity: Identity,
    /// This node's entry in the view.
    pub member: Member,
    /// Folded configuration and recent records.
    pub tail: Tail,
    /// Known members of the mesh, including this node.
    pub view: View,
    /// Accusations and the quarantines that follow from them.
    pub quarantine: Quarantine,
    /// Controller lease as known to this node.
    pub lease_manager: LeaseManager,
    /// Operators' orders; used only if they come from a topic of their own.
    pub orders: Orders,
    /// Requests that crash backend servers.
    pub blocklist: Blocklist,
    /// Whether orders and decisions are received from other nodes instead of read.
    pub is_following: bool,
    /// Whether the policy was last confirmed so long ago that reads should use short waits.
    pub is_confirmation_old: bool,
    /// Counters of the node.
    pub counters: Arc<Counters>,
    /// Whether the fold has ever caught up with the log or a synced peer or, if orders come from a
    /// topic of their own, whether they include a policy. No routing table is published before.
    pub is_synced: bool,
    /// Whether the process is stopping.
    pub is_stopping: bool,
    /// Who holds the duty of handing in usage, on a node that takes part in it.
    pub duty: Option<duty::Standing>,
}

/// Context in which a plug-in handles an event.
#[derive(Debug)]
pub struct Context<'a> {
    /// Current time.
    pub now: Time,
    /// Seeded random number generator.
    pub rng: &'a mut ChaCha8Rng,
    /// State shared by the plug-ins.
    pub shared: &'a mut Shared,
    /// Actions to execute, in order.
    pub actions: &'a mut Vec<Action>,
}

impl Context<'_> {
    /// Adds an action.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Adds a log entry about a decision or a change of the node's state.
    pub fn log_event(&mut self, event: LogEvent, subject: impl ToString, detail: impl ToString) {
        self.act(Action::Log(LogEntry::new(event, subject, detail)));
    }

    /// Adds a send of a message to every other live member.
    pub fn broadcast(&mut self, message: &Message) {
        let local_host = &self.shared.identity.host;
        let live = self.shared.view.live();
        let peers: Vec<Member> = live.filter(|m| m.host != *local_host).cloned().collect();
        for peer in peers {
            self.send(&peer, vec![message.clone()]);
        }
    }

    /// Adds a send of messages to a member.
    pub fn send(&mut self, member: &Member, messages: Vec<Message>) {
        let (host, address) = (member.host.clone(), member.rpc);
        self.act(Action::Send {
            host,
            address,
            messages,
        });
    }
}

/// Part of a node that handles events.
pub trait Plugin: Send {
    /// Name of the plug-in in logs.
    fn name(&self) -> &'static str;

    /// Handles one event.
    fn handle(&mut self, cx: &mut Context<'_>, event: &Event);
}

/// Plug-ins in the order in which they receive events.
#[derive(Default)]
pub struct Registry {
    /// Registered plug-ins.
    plugins: Vec<Box<dyn Plugin>>,
}

impl Registry {
    /// Adds a plug-in.
    pub fn add(&mut self, plugin: impl Plugin + 'static) {
        self.plugins.push(Box::new(plugin));
    }
}

/// Event-driven core of one node.
pub struct Kernel {
    /// Plug-ins in the order in which they receive events.
    plugins: Vec<Box<dyn Plugin>>,
    /// State shared by the plug-ins.
    shared: Shared,
    /// Seeded random number generator.
    rng: ChaCha8Rng,
}

impl Kernel {
    /// Creates a kernel with the given plug-ins.
    pub fn new(
        identity: Identity,
        counters: Arc<Counters>,
        seed: u64,
        now: Time,
        registry: Registry,
    ) -> Self {
        let member = Member {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
            sequence: 0,
            region: identity.region.clone(),
            failure_domain: identity.failure_domain.clone(),
            rpc: identity.rpc,
            hop: identity.hop,
            status: crate::membership::member::Status::Alive,
            backend_server: None,
            departure: None,
        };
        let mut view = View::new();
        view.merge(&member, now);
        let shared = Shared {
            lease_manager: LeaseManager::new(identity.host.clone(), now),
            member,
            tail: Tail::new(),
            view,
            quarantine: Quarantine::new(),
            orders: Orders::default(),
            blocklist: Blocklist::default(),
            is_following: false,
            is_confirmation_old: false,
            counters,
            is_synced: false,
            is_stopping: false,
            duty: None,
            identity,
        };
        Self {
            plugins: registry.plugins,
            shared,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the state shared by the plug-ins.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Passes an event to every plug-in and returns the actions to execute.
    pub fn handle(&mut self, now: Time, event: &Event) -> Vec<Action> {
        if exceeds_message_limit(event) {
            self.shared.counters.increment(Counter::MessagesRefused);
            return Vec::new();
        }
        let version = self.shared.tail.state().version;
        let mut actions = Vec::new();
        for plugin in &mut self.plugins {
            let mut cx = Context {
                now,
                rng: &mut self.rng,
                shared: &mut self.shared,
                actions: &mut actions,
            };
            plugin.handle(&mut cx, event);
        }
        assert!(
            self.shared.tail.state().version >= version,
            "invariant: the configuration version of a node never decreases"
        );
        actions
    }
}

/// Returns whether an event carries more than [`MAX_MESSAGES`] messages.
fn exceeds_message_limit(event: &Event) -> bool {
    match event {
        Event::Received { messages, .. } | Event::Replied { messages, .. } => {
            messages.len() > MAX_MESSAGES
        }
        _ => false,
    }
}
