//! Kernels on fake links, with a fake log, in virtual time.
//!
//! Each kernel is the one that ships, with the plug-ins that ship; links lose and delay messages,
//! can be cut between failure domains, and the log can be away. A run is decided by its seed. The
//! harness asserts on every step what must hold whatever happens: bounded messages and views.

mod link;
mod log;

pub use link::Links;
pub use log::Log;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::counter::Counters;
use buckthorn::kernel::{Action, Event, Identity, Kernel, Registry, TICK_INTERVAL};
use buckthorn::membership::plugin::MAX_MEMBERS;
use buckthorn::name::Name;
use buckthorn::rpc::message::{Envelope, Message};
use buckthorn::rpc::{FRAME_BYTES, MAX_MESSAGE_BYTES, REQUEST_HEADER_BYTES, RESPONSE_HEADER_BYTES};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time at which every run begins.
pub const START: Time = Time::from_secs(1_700_000_000);

/// Time after which a sender gives up on an answer.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of the authorization header.
const SECRET_BYTES: u64 = 40;

/// What a mesh is made of.
#[derive(Clone, Debug)]
pub struct MeshConfig {
    /// Nodes, dealt out over the failure domains.
    pub nodes: usize,
    /// Failure domains, dealt out over the regions.
    pub failure_domains: usize,
    /// Regions.
    pub regions: usize,
    /// Seeds that each node knows.
    pub seeds: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Adds the plug-ins.
    pub register: fn(&mut Registry),
}

impl MeshConfig {
    /// Mesh of some nodes in three failure domains of one region.
    pub fn new(nodes: usize, seed: u64, register: fn(&mut Registry)) -> Self {
        Self {
            nodes,
            failure_domains: 3,
            regions: 1,
            seeds: 3,
            seed,
            register,
        }
    }
}

/// One host.
#[derive(Debug)]
pub struct Node {
    /// What it is.
    pub identity: Identity,
    /// How far its clock is ahead, in microseconds; may be negative.
    pub skew: i64,
    /// Bytes of control traffic it sent and received.
    pub bytes: u64,
    /// Exchanges it began.
    pub exchanges: u64,
    /// Counters of the present process.
    pub counters: Arc<Counters>,
    /// Times its routing table was to be built anew.
    pub rebuilds: u64,
    /// Appends that it asked for.
    pub appends: u64,
    /// Added to every delay of its messages.
    pub extra_delay: Duration,
    /// Present process, if it runs.
    process: Option<Process>,
    /// Processes started so far.
    starts: u64,
}

/// Running process.
struct Process {
    /// Decision core.
    kernel: Kernel,
}

impl std::fmt::Debug for Process {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Process")
    }
}

/// Something that is to happen.
#[derive(Debug)]
enum Due {
    /// A beat of a process.
    Tick { node: usize, start: u64 },
    /// A request arrives.
    Request {
        from: usize,
        start: u64,
        to: usize,
        address: SocketAddr,
        host: Name,
        messages: Vec<Message>,
        size: u64,
    },
    /// An event reaches a process.
    Deliver {
        node: usize,
        start: u64,
        event: Event,
    },
    /// A long poll ends without records.
    PollEnds { poll: u64 },
}

/// Entry of the queue, ordered by time and then by when it was made.
#[derive(Debug)]
struct Entry {
    /// When it is due.
    at: Time,
    /// Order among entries of the same time.
    order: u64,
    /// What happens.
    due: Due,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Nodes, links and log of one run.
#[derive(Debug)]
pub struct Mesh {
    /// Hosts.
    pub nodes: Vec<Node>,
    /// Links between hosts, and to the log.
    pub links: Links,
    /// The platform's log.
    pub log: Log,
    /// Adds the plug-ins.
    register: fn(&mut Registry),
    /// Present time.
    now: Time,
    /// What is to happen.
    queue: BinaryHeap<Reverse<Entry>>,
    /// Entries made so far.
    order: u64,
    /// Random numbers.
    rng: ChaCha8Rng,
}

impl Mesh {
    /// Mesh in which every process starts at once.
    pub fn new(plan: &MeshConfig) -> Self {
        let mut mesh = Self::stopped(plan);
        for node in 0..plan.nodes {
            mesh.start(node);
        }
        mesh
    }

    /// Mesh in which no process runs yet.
    pub fn stopped(plan: &MeshConfig) -> Self {
        let identities: Vec<Identity> = (0..plan.nodes).map(|i| identity(plan, i)).collect();
        let nodes = identities.into_iter().map(Node::new).collect();
        Self {
            nodes,
            links: Links::default(),
            log: Log::default(),
            register: plan.register,
            now: START,
            queue: BinaryHeap::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
        }
    }

    /// Present time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Random numbers of the run.
    pub fn rng(&mut self) -> &mut ChaCha8Rng {
        &mut self.rng
    }

    /// Kernel of a node that runs.
    pub fn kernel(&self, node: usize) -> Option<&Kernel> {
        Some(&self.nodes[node].process.as_ref()?.kernel)
    }

    /// Kernels that run.
    pub fn kernels(&self) -> impl Iterator<Item = (usize, &Kernel)> {
        (0..self.nodes.len()).filter_map(|i| Some((i, self.kernel(i)?)))
    }

    /// Nodes of a failure domain.
    pub fn nodes_in_domain(&self, failure_domain: &str) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&i| *self.nodes[i].identity.failure_domain == *failure_domain)
            .collect()
    }

    /// Starts a process on a host, in place of one that runs.
    pub fn start(&mut self, node: usize) {
        let mut registry = Registry::default();
        (self.register)(&mut registry);
        let seed = self.rng.random();
        let at = self.local(node);
        let host = &mut self.nodes[node];
        host.starts += 1;
        host.counters = Arc::new(Counters::new());
        host.identity.incarnation = at.0;
        let kernel = Kernel::new(
            host.identity.clone(),
            host.counters.clone(),
            seed,
            at,
            registry,
        );
        host.process = Some(Process { kernel });
        let start = host.starts;
        let delay = TICK_INTERVAL.mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(delay, Due::Tick { node, start });
    }

    /// Ends the process of a host without its knowing.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].process = None;
        self.nodes[node].starts += 1;
    }

    /// Lets an event happen on a node now.
    pub fn deliver(&mut self, node: usize, event: &Event) {
        let reply = self.handle(node, event);
        assert!(reply.is_empty(), "only received messages are answered");
    }

    /// Lets a host send messages to a node, whether or not it is part of the mesh.
    pub fn inject(&mut self, from: &str, to: usize, messages: Vec<Message>) -> Vec<Message> {
        let from = Name::from(from);
        self.handle(to, &Event::Received { from, messages })
    }

    /// Appends a record to the log on behalf of an operator.
    pub fn append(&mut self, stream: &'static str, id: &str, payload: &str) -> u64 {
        let offset = self.log.push(stream, id.into(), payload);
        self.wake(stream);
        offset
    }

    /// Lets time pass.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse(entry)) = self.queue.peek()
            && entry.at <= end
        {
            let Some(Reverse(entry)) = self.queue.pop() else {
                break;
            };
            self.now = entry.at;
            self.process(entry.due);
        }
        self.now = end;
    }

    /// Lets time pass until a condition holds; returns how long it took, or `None` at the limit.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut is_met: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        const STEP: Duration = Duration::from_millis(50);
        let begin = self.now;
        while self.now.since(begin) < limit {
            if is_met(self) {
                return Some(self.now.since(begin));
            }
            self.run(STEP);
        }
        is_met(self).then_some(limit)
    }

    /// Bytes of control traffic so far, summed over the nodes.
    pub fn bytes(&self) -> u64 {
        self.nodes.iter().map(|node| node.bytes).sum()
    }

    /// Time on a host's clock.
    fn local(&self, node: usize) -> Time {
        Time(self.now.0.saturating_add_signed(self.nodes[node].skew))
    }

    /// Adds an entry to the queue.
    fn schedule(&mut self, delay: Duration, due: Due) {
        self.order += 1;
        let entry = Entry {
            at: self.now + delay,
            order: self.order,
            due,
        };
        self.queue.push(Reverse(entry));
    }

    /// Lets one entry happen.
    fn process(&mut self, due: Due) {
        match due {
            Due::Tick { node, start } => {
                if self.is_current(node, start) {
                    self.deliver(node, &Event::Tick);
                    self.schedule(TICK_INTERVAL, Due::Tick { node, start });
                }
            }
            Due::Deliver { node, start, event } => {
                if self.is_current(node, start) {
                    self.deliver(node, &event);
                }
            }
            Due::Request {
                from,
                start,
                to,
                address,
                host,
                messages,
                size,
            } => {
                if self.nodes[to].process.is_some() {
                    self.nodes[to].bytes += size;
                }
                self.request(from, start, to, address, host, messages);
            }
            Due::PollEnds { poll } => {
                if let Some(waiting) = self.log.give_up(poll) {
                    self.answer_read(waiting);
                }
            }
        }
    }

    /// Whether the process that something was meant for still runs.
    fn is_current(&self, node: usize, start: u64) -> bool {
        self.nodes[node].process.is_some() && self.nodes[node].starts == start
    }

    /// Lets a kernel react, and acts on what it wants; returns its reply.
    fn handle(&mut self, node: usize, event: &Event) -> Vec<Message> {
        let now = self.local(node);
        let Some(process) = &mut self.nodes[node].process else {
            return Vec::new();
        };
        let actions = process.kernel.handle(now, event);
        assert!(
            process.kernel.shared().view.len() <= MAX_MEMBERS,
            "invariant: views are bounded"
        );
        let mut reply = Vec::new();
        for action in actions {
            self.act(node, action, &mut reply);
        }
        reply
    }

    /// Does what a kernel wants.
    fn act(&mut self, node: usize, action: Action, reply: &mut Vec<Message>) {
        match action {
            Action::Reply(messages) => reply.extend(messages),
            Action::Send {
                host,
                address,
                messages,
            } => self.send(node, host, address, messages),
            Action::Read { stream, from, wait } => self.read(node, stream, from, wait),
            Action::Append {
                stream,
                id,
                payload,
            } => self.append_from(node, stream, id, &payload),
            Action::RebuildTable => self.nodes[node].rebuilds += 1,
            // The harness plays the mesh's own log, whose decisions are appended.
            Action::ReadOrders(_) | Action::ReadDecisions | Action::Publish(_) | Action::Log(_) => {
            }
        }
    }

    /// Puts a request on the wire.
    fn send(&mut self, from: usize, host: Name, address: SocketAddr, messages: Vec<Message>) {
        let size = self.size(from, &messages) + REQUEST_HEADER_BYTES + SECRET_BYTES;
        self.nodes[from].bytes += size;
        self.nodes[from].exchanges += 1;
        let start = self.nodes[from].starts;
        let to = self.nodes.iter().position(|n| n.identity.rpc == address);
        let Some(to) = to.filter(|&to| self.passes(from, to)) else {
            let event = Event::Unreachable { address, host };
            let node = from;
            self.schedule(EXCHANGE_TIMEOUT, Due::Deliver { node, start, event });
            return;
        };
        let delay = self.delay(from, to);
        let due = Due::Request {
            from,
            start,
            to,
            address,
            host,
            messages,
            size,
        };
        self.schedule(delay, due);
    }

    /// Lets a request arrive, and puts the answer on the wire.
    fn request(
        &mut self,
        from: usize,
        start: u64,
        to: usize,
        address: SocketAddr,
        host: Name,
        messages: Vec<Message>,
    ) {
        let (delay, node) = (self.delay(to, from), from);
        if self.nodes[to].process.is_none() {
            let event = Event::Unreachable { address, host };
            self.schedule(delay, Due::Deliver { node, start, event });
            return;
        }
        let sender = self.nodes[from].identity.host.clone();
        let event = Event::Received {
            from: sender,
            messages,
        };
        let messages = self.handle(to, &event);
        let size = self.size(to, &messages) + RESPONSE_HEADER_BYTES;
        self.nodes[to].bytes += size;
        if !self.passes(to, from) {
            let event = Event::Unreachable { address, host };
            self.schedule(EXCHANGE_TIMEOUT, Due::Deliver { node, start, event });
            return;
        }
        self.nodes[from].bytes += size;
        let from = self.nodes[to].identity.host.clone();
        let event = Event::Replied { from, messages };
        self.schedule(delay, Due::Deliver { node, start, event });
    }

    /// Whether one message passes between two hosts now.
    fn passes(&mut self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from].identity, &self.nodes[to].identity);
        self.links.can_reach(from, to) && !self.rng.random_bool(self.links.loss)
    }

    /// Time that one message takes.
    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let extra_delay = self.nodes[from].extra_delay + self.nodes[to].extra_delay;
        let (from, to) = (&self.nodes[from].identity, &self.nodes[to].identity);
        self.links.delay(from, to, &mut self.rng) + extra_delay
    }

    /// Size of an envelope with its frame; asserts its bound.
    fn size(&self, from: usize, messages: &[Message]) -> u64 {
        let envelope = Envelope {
            from: self.nodes[from].identity.host.clone(),
            messages: messages.to_vec(),
        };
        let bytes = serde_json::to_vec(&envelope).expect("envelopes encode as JSON");
        assert!(
            bytes.len() <= MAX_MESSAGE_BYTES as usize,
            "invariant: messages are bounded"
        );
        bytes.len() as u64 + FRAME_BYTES
    }
}

impl Node {
    /// Host without a process.
    fn new(identity: Identity) -> Self {
        Self {
            identity,
            skew: 0,
            bytes: 0,
            exchanges: 0,
            counters: Arc::new(Counters::new()),
            rebuilds: 0,
            appends: 0,
            extra_delay: Duration::ZERO,
            process: None,
            starts: 0,
        }
    }
}

/// What the node of an index is.
fn identity(plan: &MeshConfig, index: usize) -> Identity {
    let domain = index % plan.failure_domains;
    let address = |port: u16, index: usize| {
        let [high, low] = (index as u16).to_be_bytes();
        SocketAddr::from(([10, 0, high, low], port))
    };
    let seeds = (0..plan.seeds)
        .map(|i| {
            address(
                1,
                i * plan.failure_domains.max(plan.nodes / plan.seeds) % plan.nodes,
            )
        })
        .collect();
    Identity {
        host: format!("host-{index:04}").into(),
        incarnation: 0,
        region: format!("region-{}", domain % plan.regions).into(),
        failure_domain: format!("domain-{domain}").into(),
        rpc: address(1, index),
        hop: address(2, index),
        seeds,
    }
}
