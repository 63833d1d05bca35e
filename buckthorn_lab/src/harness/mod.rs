//! Deterministic simulation of a mesh: production kernels on simulated links, with a simulated log,
//! in virtual time.
//!
//! Links lose and delay messages and can be partitioned between failure domains; the log can be
//! down. The seed alone determines a run. After every event the harness asserts two invariants that
//! hold under any fault: messages and membership views stay within their bounds.

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

/// Virtual time at which every run starts.
pub const START: Time = Time::from_secs(1_700_000_000);

/// Time after which a sender reports a peer that has not replied as unreachable.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes that the authorization header adds to each request.
const AUTHORIZATION_HEADER_BYTES: u64 = 40;

/// Size and layout of a simulated mesh.
#[derive(Clone, Debug)]
pub struct MeshConfig {
    /// Number of nodes, assigned to the failure domains in turn.
    pub nodes: usize,
    /// Number of failure domains, assigned to the regions in turn.
    pub failure_domains: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of seed nodes in each node's configuration.
    pub seeds: usize,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Registers the plug-ins of each kernel.
    pub register: fn(&mut Registry),
}

impl MeshConfig {
    /// Returns the configuration of a mesh with three failure domains in one region.
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

/// A simulated host and the statistics of its node process.
#[derive(Debug)]
pub struct Node {
    /// Host name, location and addresses, with the incarnation of the current process.
    pub identity: Identity,
    /// Offset of its clock from virtual time, in microseconds; negative when it is behind.
    pub skew: i64,
    /// Bytes of control traffic that it sent and received.
    pub bytes: u64,
    /// Control exchanges that it initiated.
    pub exchanges: u64,
    /// Counters of the current process.
    pub counters: Arc<Counters>,
    /// Number of times that its kernel asked for a rebuild of the routing table.
    pub rebuilds: u64,
    /// Appends to the log that it requested.
    pub appends: u64,
    /// Delay added to every message that it sends or receives.
    pub extra_delay: Duration,
    /// Current process; absent while it is stopped.
    process: Option<Process>,
    /// Incremented at each start and kill, so that tasks of earlier processes are recognised.
    generation: u64,
}

/// A running node process.
struct Process {
    /// Control-plane state machine of the process.
    kernel: Kernel,
}

impl std::fmt::Debug for Process {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Process")
    }
}

/// A scheduled task.
#[derive(Debug)]
enum Task {
    /// The next tick of a process.
    Tick { node: usize, generation: u64 },
    /// A control request arrives at its target.
    Request {
        from: usize,
        generation: u64,
        to: usize,
        address: SocketAddr,
        host: Name,
        messages: Vec<Message>,
        size: u64,
    },
    /// An event is delivered to a process.
    Deliver {
        node: usize,
        generation: u64,
        event: Event,
    },
    /// A long poll reaches its timeout.
    PollTimeout { poll_id: u64 },
}

/// Entry of the task queue, ordered by due time and then by insertion.
#[derive(Debug)]
struct QueueEntry {
    /// Virtual time at which the task is due.
    at: Time,
    /// Insertion number; breaks ties between entries due at the same time.
    order: u64,
    /// Task to run.
    task: Task,
}

impl PartialEq for QueueEntry {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A simulated mesh: its nodes, links and log.
#[derive(Debug)]
pub struct Mesh {
    /// Hosts by index.
    pub nodes: Vec<Node>,
    /// Links between hosts, and to the log.
    pub links: Links,
    /// The platform's log.
    pub log: Log,
    /// Registers the plug-ins of each kernel.
    register: fn(&mut Registry),
    /// Current virtual time.
    now: Time,
    /// Scheduled tasks, earliest first.
    queue: BinaryHeap<Reverse<QueueEntry>>,
    /// Number of entries inserted so far.
    order: u64,
    /// Random numbers of the run.
    rng: ChaCha8Rng,
}

impl Mesh {
    /// Creates a mesh and starts all its processes at the same time.
    pub fn new(config: &MeshConfig) -> Self {
        let mut mesh = Self::stopped(config);
        for node in 0..config.nodes {
            mesh.start(node);
        }
        mesh
    }

    /// Creates a mesh without starting a process.
    pub fn stopped(config: &MeshConfig) -> Self {
        let identities: Vec<Identity> = (0..config.nodes).map(|i| identity(config, i)).collect();
        let nodes = identities.into_iter().map(Node::new).collect();
        Self {
            nodes,
            links: Links::default(),
            log: Log::default(),
            register: config.register,
            now: START,
            queue: BinaryHeap::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(config.seed),
        }
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns the run's random number generator.
    pub fn rng(&mut self) -> &mut ChaCha8Rng {
        &mut self.rng
    }

    /// Returns the kernel of a node, or `None` while its process is stopped.
    pub fn kernel(&self, node: usize) -> Option<&Kernel> {
        Some(&self.nodes[node].process.as_ref()?.kernel)
    }

    /// Returns the kernels of all running processes with their node indices.
    pub fn kernels(&self) -> impl Iterator<Item = (usize, &Kernel)> {
        (0..self.nodes.len()).filter_map(|i| Some((i, self.kernel(i)?)))
    }

    /// Returns the indices of the nodes in a failure domain.
    pub fn nodes_in_domain(&self, failure_domain: &str) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&i| *self.nodes[i].identity.failure_domain == *failure_domain)
            .collect()
    }

    /// Starts a process on a host, replacing a running one.
    pub fn start(&mut self, node: usize) {
        let mut registry = Registry::default();
        (self.register)(&mut registry);
        let seed = self.rng.random();
        let at = self.local_time(node);
        let host = &mut self.nodes[node];
        host.generation += 1;
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
        let generation = host.generation;
        let delay = TICK_INTERVAL.mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(delay, Task::Tick { node, generation });
    }

    /// Stops the process of a host without a shutdown event.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].process = None;
        self.nodes[node].generation += 1;
    }

    /// Delivers an event other than received messages to a node immediately.
    pub fn deliver(&mut self, node: usize, event: &Event) {
        let reply = self.handle(node, event);
        assert!(reply.is_empty(), "only received messages get a reply");
    }

    /// Delivers messages to a node in the name of any host, also one outside the mesh, and returns
    /// the reply.
    pub fn inject(&mut self, from: &str, to: usize, messages: Vec<Message>) -> Vec<Message> {
        let from = Name::from(from);
        self.handle(to, &Event::Received { from, messages })
    }

    /// Appends an operator's record to the log, even while it is down, and returns its offset.
    pub fn append(&mut self, stream: &'static str, id: &str, payload: &str) -> u64 {
        let offset = self.log.push(stream, id.into(), payload);
        self.complete_polls(stream);
        offset
    }

    /// Advances virtual time, running every task that becomes due.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse(entry)) = self.queue.peek()
            && entry.at <= end
        {
            let Some(Reverse(entry)) = self.queue.pop() else {
                break;
            };
            self.now = entry.at;
            self.run_task(entry.task);
        }
        self.now = end;
    }

    /// Advances virtual time until a condition holds and returns the time taken; `None` if the
    /// condition does not hold at the limit.
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

    /// Returns the bytes of control traffic so far, summed over the nodes.
    pub fn bytes(&self) -> u64 {
        self.nodes.iter().map(|node| node.bytes).sum()
    }

    /// Returns the time on a host's clock, which includes its skew.
    fn local_time(&self, node: usize) -> Time {
        Time(self.now.0.saturating_add_signed(self.nodes[node].skew))
    }

    /// Schedules a task after a delay.
    fn schedule(&mut self, delay: Duration, task: Task) {
        self.order += 1;
        let entry = QueueEntry {
            at: self.now + delay,
            order: self.order,
            task,
        };
        self.queue.push(Reverse(entry));
    }

    /// Runs one due task.
    fn run_task(&mut self, task: Task) {
        match task {
            Task::Tick { node, generation } => {
                if self.is_current(node, generation) {
                    self.deliver(node, &Event::Tick);
                    self.schedule(TICK_INTERVAL, Task::Tick { node, generation });
                }
            }
            Task::Deliver {
                node,
                generation,
                event,
            } => {
                if self.is_current(node, generation) {
                    self.deliver(node, &event);
                }
            }
            Task::Request {
                from,
                generation,
                to,
                address,
                host,
                messages,
                size,
            } => {
                if self.nodes[to].process.is_some() {
                    self.nodes[to].bytes += size;
                }
                self.deliver_request(from, generation, to, address, host, messages);
            }
            Task::PollTimeout { poll_id } => {
                if let Some(poll) = self.log.end_poll(poll_id) {
                    self.reply_to_read(poll);
                }
            }
        }
    }

    /// Returns whether the process that a task was scheduled for is still running.
    fn is_current(&self, node: usize, generation: u64) -> bool {
        self.nodes[node].process.is_some() && self.nodes[node].generation == generation
    }

    /// Passes an event to a kernel, executes the actions it requests and returns its reply.
    fn handle(&mut self, node: usize, event: &Event) -> Vec<Message> {
        let now = self.local_time(node);
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
            self.execute(node, action, &mut reply);
        }
        reply
    }

    /// Executes one action of a kernel.
    fn execute(&mut self, node: usize, action: Action, reply: &mut Vec<Message>) {
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
            // The simulated log is the mesh's own, in which decisions are appended records.
            Action::ReadOrders(_)
            | Action::MonitorOrders(_)
            | Action::ConfirmPolicy(_)
            | Action::Duty(_)
            | Action::CollectEvidence
            | Action::RecallDeparture(_)
            | Action::StoreDeparture(_)
            | Action::UpdateBlocklist
            | Action::StoreBlocklist(_)
            | Action::ReadDecisions
            | Action::Publish(_)
            | Action::Log(_) => {}
        }
    }

    /// Sends a control request, which arrives after the link's delay or times out.
    fn send(&mut self, from: usize, host: Name, address: SocketAddr, messages: Vec<Message>) {
        let size =
            self.wire_size(from, &messages) + REQUEST_HEADER_BYTES + AUTHORIZATION_HEADER_BYTES;
        self.nodes[from].bytes += size;
        self.nodes[from].exchanges += 1;
        let generation = self.nodes[from].generation;
        let to = self.nodes.iter().position(|n| n.identity.rpc == address);
        let Some(to) = to.filter(|&to| self.is_delivered(from, to)) else {
            let event = Event::Unreachable { address, host };
            let node = from;
            self.schedule(
                EXCHANGE_TIMEOUT,
                Task::Deliver {
                    node,
                    generation,
                    event,
                },
            );
            return;
        };
        let delay = self.delay(from, to);
        let task = Task::Request {
            from,
            generation,
            to,
            address,
            host,
            messages,
            size,
        };
        self.schedule(delay, task);
    }

    /// Delivers a control request to its target and sends back the reply.
    fn deliver_request(
        &mut self,
        from: usize,
        generation: u64,
        to: usize,
        address: SocketAddr,
        host: Name,
        messages: Vec<Message>,
    ) {
        let (delay, node) = (self.delay(to, from), from);
        if self.nodes[to].process.is_none() {
            let event = Event::Unreachable { address, host };
            self.schedule(
                delay,
                Task::Deliver {
                    node,
                    generation,
                    event,
                },
            );
            return;
        }
        let sender = self.nodes[from].identity.host.clone();
        let event = Event::Received {
            from: sender,
            messages,
        };
        let messages = self.handle(to, &event);
        let size = self.wire_size(to, &messages) + RESPONSE_HEADER_BYTES;
        self.nodes[to].bytes += size;
        if !self.is_delivered(to, from) {
            let event = Event::Unreachable { address, host };
            self.schedule(
                EXCHANGE_TIMEOUT,
                Task::Deliver {
                    node,
                    generation,
                    event,
                },
            );
            return;
        }
        self.nodes[from].bytes += size;
        let from = self.nodes[to].identity.host.clone();
        let event = Event::Replied { from, messages };
        self.schedule(
            delay,
            Task::Deliver {
                node,
                generation,
                event,
            },
        );
    }

    /// Decides whether a message between two hosts is delivered, drawing a random loss.
    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from].identity, &self.nodes[to].identity);
        self.links.can_reach(from, to) && !self.rng.random_bool(self.links.loss)
    }

    /// Returns the delay of one message between two hosts.
    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let extra_delay = self.nodes[from].extra_delay + self.nodes[to].extra_delay;
        let (from, to) = (&self.nodes[from].identity, &self.nodes[to].identity);
        self.links.delay(from, to, &mut self.rng) + extra_delay
    }

    /// Returns the size of an encoded envelope with its frame; asserts that it is within its bound.
    fn wire_size(&self, from: usize, messages: &[Message]) -> u64 {
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
    /// Creates a host without a process.
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
            generation: 0,
        }
    }
}

/// Returns the identity of the node with an index.
fn identity(config: &MeshConfig, index: usize) -> Identity {
    let domain = index % config.failure_domains;
    let address = |port: u16, index: usize| {
        let [high, low] = (index as u16).to_be_bytes();
        SocketAddr::from(([10, 0, high, low], port))
    };
    let seeds = (0..config.seeds)
        .map(|i| {
            address(
                1,
                i * config.failure_domains.max(config.nodes / config.seeds) % config.nodes,
            )
        })
        .collect();
    Identity {
        host: format!("host-{index:04}").into(),
        incarnation: 0,
        region: format!("region-{}", domain % config.regions).into(),
        failure_domain: format!("domain-{domain}").into(),
        rpc: address(1, index),
        hop: address(2, index),
        seeds,
    }
}
