//! The kernel: one thread that owns the shared state and the plug-ins that act on it.
//!
//! Events come in with the time, actions go out; nothing here performs I/O. Plug-ins register
//! themselves in a [`Registry`] and see every event in the order of registration. The daemon and
//! the randomised runs drive the same kernel.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::clock::Time;
use crate::config::order::{Decision, OrderBatch, Orders};
use crate::counter::{Counter, Counters};
use crate::journal::lease::LeaseManager;
use crate::journal::tail::Tail;
use crate::log::{AppendOutcome, Batch};
use crate::log_event::{LogEntry, LogEvent};
use crate::membership::member::{BackendServer, Member};
use crate::membership::view::View;
use crate::name::Name;
use crate::rollout::evidence;
use crate::rollout::quarantine::Quarantine;
use crate::rpc::message::Message;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A regular beat, every [`TICK_INTERVAL`].
    Tick,
    /// A node sent messages; replies are given with [`Action::Reply`].
    Received {
        /// Host that sent them.
        from: Name,
        /// Messages, in order.
        messages: Vec<Message>,
    },
    /// A node answered messages that this one sent.
    Replied {
        /// Host that answered.
        from: Name,
        /// Messages, in order.
        messages: Vec<Message>,
    },
    /// Messages to a node could not be delivered or were not answered in time.
    Unreachable {
        /// Address they were sent to.
        address: SocketAddr,
        /// Host they were meant for, empty for a seed whose host is not known.
        host: Name,
    },
    /// A read of a stream returned.
    LogRead {
        /// Stream.
        stream: &'static str,
        /// What it returned.
        batch: Batch,
    },
    /// A read of a stream failed.
    LogReadFailed {
        /// Stream.
        stream: &'static str,
    },
    /// An append returned.
    Appended {
        /// Identifier of the record.
        id: Name,
        /// What came of it.
        result: AppendOutcome,
    },
    /// The own backend server announced itself, or expired or left (`None`).
    Announced(Option<BackendServer>),
    /// What the owner counted, at most once per tick.
    EvidenceCollected(evidence::Report),
    /// Operators' orders were read.
    OrdersRead(OrderBatch),
    /// Whether the last read of operators' orders succeeded.
    OrdersReadable(bool),
    /// Published decisions on moves were read.
    DecisionsRead(Vec<Decision>),
    /// A decision was published, or could not be.
    Published(PublishOutcome),
    /// Control addresses of nodes that can be joined through.
    Seeds(Vec<SocketAddr>),
    /// The process was asked to stop.
    Shutdown,
}

/// What came of publishing a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is published.
    Done(Decision),
    /// Others published meanwhile; what they did is read first.
    Conflict,
    /// Nothing is known of it, or it was refused.
    Failed(String),
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer the messages of the event being handled.
    Reply(Vec<Message>),
    /// Send messages to a node.
    Send {
        /// Host meant, empty for a seed whose host is not known.
        host: Name,
        /// Address of its control protocol.
        address: SocketAddr,
        /// Messages, in order.
        messages: Vec<Message>,
    },
    /// Read a stream from an offset; answered by `LogRead` or `LogReadFailed`. At most one read of a
    /// stream is under way at a time.
    Read {
        /// Stream.
        stream: &'static str,
        /// First offset wanted; [`LATEST`] for none, only the offsets.
        from: u64,
        /// How long the log may wait for the first record.
        wait: Duration,
    },
    /// Append a record to a stream; answered by `Appended`.
    Append {
        /// Stream.
        stream: &'static str,
        /// Identifier of the record.
        id: Name,
        /// Payload.
        payload: String,
    },
    /// The routing table has to be built anew: the state, view or quarantine changed.
    RebuildTable,
    /// How to read the operators' orders from now on.
    ReadOrders(OrderPolling),
    /// Read published decisions, or go on waiting for them.
    ReadDecisions,
    /// Publish a decision on a move.
    Publish(Decision),
    /// Log a decision or a change of what the node believes.
    Log(LogEntry),
}

/// How operators' orders are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderPolling {
    /// Not at all; they come from other nodes.
    Paused,
    /// From an offset on, at once, also where a read is under way.
    From(u64),
}

/// Messages that one envelope may hold; one with more is refused whole.
pub const MAX_MESSAGES: usize = 64;

/// Interval of [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Offset beyond every record, for asking a stream where it ends.
pub const LATEST: u64 = u64::MAX;

/// What a node is and where it can be reached.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Host.
    pub host: Name,
    /// Start time of the process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Region.
    pub region: Name,
    /// Failure domain.
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
    /// What this node is.
    pub identity: Identity,
    /// Own entry of the view.
    pub member: Member,
    /// Folded configuration and recent records.
    pub tail: Tail,
    /// Known members.
    pub view: View,
    /// Accusations and quarantines.
    pub quarantine: Quarantine,
    /// Controller lease as kept by this node.
    pub lease_manager: LeaseManager,
    /// Operators' orders, where they come from a topic of their own.
    pub orders: Orders,
    /// Whether orders and decisions come from other nodes.
    pub is_following: bool,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Whether the fold has once been as far as the log or a peer; no table is published before.
    pub is_synced: bool,
    /// Whether the process is stopping.
    pub is_stopping: bool,
}

/// What a plug-in is given with an event.
#[derive(Debug)]
pub struct Context<'a> {
    /// Present time.
    pub now: Time,
    /// Seeded random numbers.
    pub rng: &'a mut ChaCha8Rng,
    /// Shared state.
    pub shared: &'a mut Shared,
    /// What is to be done, in order.
    pub actions: &'a mut Vec<Action>,
}

impl Context<'_> {
    /// Adds something to do.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Logs a decision or a change of what the node believes.
    pub fn log_event(&mut self, line: LogEvent, subject: impl ToString, detail: impl ToString) {
        self.act(Action::Log(LogEntry::new(line, subject, detail)));
    }

    /// Sends messages to a member.
    pub fn send(&mut self, member: &Member, messages: Vec<Message>) {
        let (host, address) = (member.host.clone(), member.rpc);
        self.act(Action::Send {
            host,
            address,
            messages,
        });
    }
}

/// A part of the node that reacts to events.
pub trait Plugin: Send {
    /// Name in logs.
    fn name(&self) -> &'static str;

    /// Reacts to one event.
    fn handle(&mut self, cx: &mut Context<'_>, event: &Event);
}

/// Plug-ins in the order in which they see events.
#[derive(Default)]
pub struct Registry {
    /// Plug-ins registered so far.
    plugins: Vec<Box<dyn Plugin>>,
}

impl Registry {
    /// Adds a plug-in.
    pub fn add(&mut self, plugin: impl Plugin + 'static) {
        self.plugins.push(Box::new(plugin));
    }
}

/// The decision core of one node.
pub struct Kernel {
    /// Plug-ins.
    plugins: Vec<Box<dyn Plugin>>,
    /// Shared state.
    shared: Shared,
    /// Seeded random numbers.
    rng: ChaCha8Rng,
}

impl Kernel {
    /// Kernel with the given plug-ins.
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
            is_following: false,
            counters,
            is_synced: false,
            is_stopping: false,
            identity,
        };
        Self {
            plugins: registry.plugins,
            shared,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Shared state.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Lets every plug-in react to an event and returns what is to be done.
    pub fn handle(&mut self, now: Time, event: &Event) -> Vec<Action> {
        if is_overfull(event) {
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
            "invariant: a node never goes back to an older configuration version"
        );
        actions
    }
}

/// Whether an event brings more messages than an envelope may hold.
fn is_overfull(event: &Event) -> bool {
    match event {
        Event::Received { messages, .. } | Event::Replied { messages, .. } => {
            messages.len() > MAX_MESSAGES
        }
        _ => false,
    }
}
