//! Discrete-event model of callers, ingresses, owners and backend servers in virtual time.
//!
//! Ingresses run the product's routing table, endpoint choice and retry budget; owners run its
//! admission gate. A backend server has the capacity of a fifth of its slots when cold and of all
//! of them when warm. It warms up with the calls it serves and cools down while idle. Above its
//! capacity, service time grows with the square of the overload, so throughput falls as concurrency
//! rises.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use buckthorn::admission::gate::{DEFAULT_URGENCY, Decision, Gate, Next, Offer};
use buckthorn::admission::queue::Ticket;
use buckthorn::admission::rank::Rank;
use buckthorn::clock::Time;
use buckthorn::config::intent::{FailureDomain, Intent, Route, Service};
use buckthorn::journal::fold::State;
use buckthorn::membership::member::{BackendServer, Member, Status};
use buckthorn::membership::view::View;
use buckthorn::name::Name;
use buckthorn::rollout::evidence::Outcome;
use buckthorn::rollout::quarantine::Quarantine;
use buckthorn::routing::budget::{self, Attempt, Execution, Failure, Layer, MAX_ATTEMPTS};
use buckthorn::routing::choice::{Choice, FULL_LOAD, choose};
use buckthorn::routing::load::Registry;
use buckthorn::routing::table::{Endpoint, Table};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Virtual time at which every run starts.
pub const START: Time = Time::from_secs(1_000_000);

/// Mean service time of a warm backend server that is not overloaded.
pub const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Time after which a caller no longer uses a response.
pub const DEADLINE: Duration = Duration::from_millis(250);

/// Longest time for a configuration change to reach a node.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Capacity of a cold backend server as a share of its slots.
const COLD_CAPACITY_SHARE: f64 = 0.2;

/// Number of calls that reduces a backend server's missing warmth by a factor of e.
const WARM_UP_CALLS: f64 = 200.0;

/// Idle time that reduces a backend server's warmth by a factor of e.
const COOL_DOWN_TIME: Duration = Duration::from_secs(10);

/// Names of the failure domains; the first is the one taken out of service.
const DOMAINS: [&str; 3] = ["fd-1", "fd-2", "fd-3"];

/// Size and network delays of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of backend servers.
    pub servers: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// One-way delay between failure domains.
    pub inter_domain_delay: Duration,
}

/// Deployments that the experiments run on.
pub const SITES: [Site; 2] = [
    Site {
        name: "fernleaf",
        servers: 10,
        slots: 10,
        inter_domain_delay: Duration::from_micros(500),
    },
    Site {
        name: "otjiwarongo",
        servers: 8,
        slots: 12,
        inter_domain_delay: Duration::from_micros(1_500),
    },
];

impl Site {
    /// Returns the calls per second that all backend servers can serve together when warm.
    pub fn capacity(&self) -> f64 {
        self.servers as f64 * f64::from(self.slots) / SERVICE_TIME.as_secs_f64()
    }
}

/// How calls are routed, admitted and retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's endpoint choice, admission gate and retry budget.
    Product,
    /// Round robin, a fixed concurrency limit with a FIFO queue, no retries.
    Fixed,
    /// Round robin, no concurrency limit and no retries.
    Unlimited,
    /// Round robin, a fixed concurrency limit, and every failure retried without delay or budget.
    Naive,
}

impl Policy {
    /// Returns the name used in tables and in the JSON.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::Fixed => "fixed limit",
            Self::Unlimited => "no limit",
            Self::Naive => "naive retries",
        }
    }
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct RunConfig {
    /// Deployment to simulate.
    pub site: Site,
    /// Routing, admission and retry policy.
    pub policy: Policy,
    /// Offered load as a fraction of the capacity.
    pub load: f64,
    /// Whether the backend servers start warm and the gates start with their full limit.
    pub is_warm: bool,
    /// When the first failure domain is taken out of service and when it returns.
    pub outage: Option<(Duration, Duration)>,
    /// Duration of the run.
    pub length: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A finished call.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// Time from the start of the run to when the call was sent.
    pub sent: Duration,
    /// Priority as an RFC 9218 urgency; 0 is the highest.
    pub urgency: u8,
    /// Time to a successful response; `None` if there was none in time.
    pub latency: Option<Duration>,
}

/// Measurements of one run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// Finished calls, in the order in which they finished.
    pub records: Vec<Record>,
    /// Calls started on backend servers of the first failure domain during its outage, from three
    /// seconds after its start.
    pub late_work: u64,
    /// Calls started on backend servers whose warmth is below 0.9.
    pub cold_calls: u64,
    /// Those of them that exceeded the server's capacity.
    pub cold_overloads: u64,
    /// Highest concurrency on such a server relative to its capacity.
    pub cold_peak: f64,
    /// Calls started on backend servers.
    pub calls_started: u64,
}

/// State of a call.
#[derive(Clone, Debug)]
struct Call {
    /// When the caller sent it.
    sent: Time,
    /// Priority as an RFC 9218 urgency; 0 is the highest.
    urgency: u8,
    /// Whether it is safe to retry after it ran.
    is_idempotent: bool,
    /// Index of the node that received it from the caller.
    ingress: usize,
    /// Number of attempts left.
    attempts_left: u32,
    /// Hosts of the attempts so far.
    tried: Vec<Name>,
    /// Endpoint of the current attempt.
    endpoint: Option<Endpoint>,
    /// Whether its outcome has been recorded.
    is_finished: bool,
}

/// A simulation event; numbers are the indices of nodes and calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a call.
    Arrive,
    /// A call reaches its owner (node, call).
    ReachOwner(usize, usize),
    /// A backend server finishes a call (node, call, time at which service started).
    Finish(usize, usize, Time),
    /// A response reaches the ingress (call, response, load reported by the owner).
    Response(usize, OwnerResponse, u32),
    /// A node learns whether the first failure domain is out of service.
    UpdateConfig(usize, bool),
    /// An owner starts or rejects the calls waiting at its gate.
    CheckQueue(usize),
}

/// Response of an owner to an ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum OwnerResponse {
    /// The backend server served the call, perhaps too late.
    Done,
    /// Rejected by admission control without running.
    Refused,
    /// Rejected without running because the failure domain is out of service.
    DomainOut,
}

/// A node and its backend server.
struct Node {
    /// The node's entry in the membership view.
    member: Member,
    /// Routing table in force.
    table: Table,
    /// Endpoint loads and retry budgets.
    registry: Registry,
    /// Admission gate, used by [`Policy::Product`].
    gate: Gate,
    /// Calls queued at the gate.
    waiting: Vec<(Ticket, usize)>,
    /// Calls queued at a baseline's fixed limit.
    fifo: VecDeque<usize>,
    /// Number of calls running on the backend server.
    running: u32,
    /// Warmth of the backend server, from 0 (cold) to 1.
    warmth: f64,
    /// When it last started or finished a call.
    last_active: Time,
    /// Position of the round robin over endpoints.
    round_robin: usize,
    /// Whether, in the node's configuration, its failure domain is out of service.
    is_out: bool,
}

/// Discrete-event simulation of the nodes, their backend servers and callers.
pub struct Mesh {
    /// Parameters of the run.
    config: RunConfig,
    /// Random numbers of the run.
    rng: ChaCha8Rng,
    /// Current virtual time.
    now: Time,
    /// Scheduled events, earliest first; the number breaks ties in order of scheduling.
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    /// Number of the event scheduled last.
    sequence: u64,
    /// Nodes by index.
    nodes: Vec<Node>,
    /// Calls by index.
    calls: Vec<Call>,
    /// Membership view, shared by all nodes.
    view: View,
    /// Measurements so far.
    result: RunResult,
}

/// Returns the membership entry of a node.
pub(super) fn member(site: &Site, index: usize) -> Member {
    let address = ([127, 0, 0, 1], 1_000 + index as u16).into();
    Member {
        host: format!("h{index:02}").into(),
        incarnation: 1,
        sequence: 1,
        region: "region".into(),
        failure_domain: DOMAINS[index % DOMAINS.len()].into(),
        rpc: address,
        hop: address,
        status: Status::Alive,
        departure: None,
        backend_server: Some(BackendServer {
            service: "service".into(),
            version: "v1".into(),
            slots: site.slots,
            connections: 130,
            is_draining: false,
        }),
    }
}

/// Returns the configuration state with the first failure domain in or out of service.
pub(super) fn state(is_out: bool) -> State {
    let domain = |name: &&str| FailureDomain {
        name: (*name).into(),
        region: "region".into(),
        is_out: is_out && *name == DOMAINS[0],
    };
    let route = Route {
        prefix: "".into(),
        version: "v1".into(),
    };
    State {
        version: 1 + u64::from(is_out),
        intent: Intent {
            services: vec![Service {
                name: "service".into(),
                routes: vec![route],
            }],
            moves: Vec::new(),
            failure_domains: DOMAINS.iter().map(domain).collect(),
        },
        ..State::default()
    }
}

impl Mesh {
    /// Runs a simulation to its end and returns its measurements.
    pub fn run(config: RunConfig) -> RunResult {
        let mut mesh = Self::new(config);
        let end = START + config.length;
        while let Some(Reverse((at, _, event))) = mesh.events.pop() {
            if at > end {
                break;
            }
            mesh.now = at;
            mesh.handle(event);
        }
        mesh.result
    }

    /// Creates the simulation with its initial events.
    fn new(config: RunConfig) -> Self {
        let mut view = View::new();
        let members: Vec<Member> = (0..config.site.servers)
            .map(|i| member(&config.site, i))
            .collect();
        for member in &members {
            view.merge(member, START);
        }
        let slots = config.site.slots;
        let node = |member: Member| Node {
            member,
            table: Table::default(),
            registry: Registry::default(),
            gate: if config.is_warm {
                Gate::warm(slots, START)
            } else {
                Gate::new(slots, START)
            },
            waiting: Vec::new(),
            fifo: VecDeque::new(),
            running: 0,
            warmth: if config.is_warm { 1.0 } else { 0.0 },
            last_active: START,
            round_robin: 0,
            is_out: false,
        };
        let mut mesh = Self {
            config,
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            now: START,
            events: BinaryHeap::new(),
            sequence: 0,
            nodes: members.into_iter().map(node).collect(),
            calls: Vec::new(),
            view,
            result: RunResult::default(),
        };
        for index in 0..mesh.nodes.len() {
            mesh.rebuild_table(index, false);
            mesh.schedule(START, Event::CheckQueue(index));
            for (at, is_out) in config
                .outage
                .iter()
                .flat_map(|(o, i)| [(*o, true), (*i, false)])
            {
                let delay = mesh.rng.random_range(Duration::ZERO..MAX_PROPAGATION_TIME);
                mesh.schedule(START + at + delay, Event::UpdateConfig(index, is_out));
            }
        }
        mesh.schedule(START, Event::Arrive);
        mesh
    }

    /// Schedules an event.
    fn schedule(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    /// Handles one event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::ReachOwner(node, call) => self.receive(node, call),
            Event::Finish(node, call, started) => self.finish(node, call, started),
            Event::Response(call, response, load) => self.handle_response(call, response, load),
            Event::UpdateConfig(node, is_out) => self.rebuild_table(node, is_out),
            Event::CheckQueue(node) => {
                self.process_gate(node);
                self.schedule(
                    self.now + Duration::from_millis(10),
                    Event::CheckQueue(node),
                );
            }
        }
    }

    /// Applies a configuration to a node and rebuilds its routing table.
    fn rebuild_table(&mut self, index: usize, is_out: bool) {
        let node = &mut self.nodes[index];
        node.is_out = is_out && &*node.member.failure_domain == DOMAINS[0];
        let (domain, region) = (&node.member.failure_domain, &node.member.region);
        let quarantine = Quarantine::new();
        let registry = &mut node.registry;
        node.table = Table::build(
            &state(is_out),
            &self.view,
            &quarantine,
            registry,
            domain,
            region,
        );
    }

    /// Sends a new call to a random node and schedules the next arrival of a Poisson process.
    fn arrive(&mut self) {
        let rate = self.config.site.capacity() * self.config.load;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(self.now + Duration::from_secs_f64(gap), Event::Arrive);
        let urgency = match self.rng.random_range(0..10) {
            0 => 1,
            1..=7 => DEFAULT_URGENCY,
            _ => 5,
        };
        let ingress = self.rng.random_range(0..self.nodes.len());
        if let Some(service) = self.nodes[ingress].table.service("service") {
            service.budget.earn();
        }
        self.calls.push(Call {
            sent: self.now,
            urgency,
            is_idempotent: self.rng.random_bool(0.8),
            ingress,
            attempts_left: MAX_ATTEMPTS,
            tried: Vec::new(),
            endpoint: None,
            is_finished: false,
        });
        self.send(self.calls.len() - 1);
    }

    /// Chooses an endpoint and sends an attempt of the call to its owner.
    fn send(&mut self, id: usize) {
        let call = &mut self.calls[id];
        call.attempts_left -= 1;
        let node = &mut self.nodes[call.ingress];
        let Some(route) = node.table.resolve("service", "/") else {
            return self.finish_call(id, false);
        };
        let endpoint = if self.config.policy == Policy::Product {
            match choose(
                &node.table,
                route,
                self.now,
                &call.tried,
                FULL_LOAD,
                &mut self.rng,
            ) {
                Choice::Endpoint(_, endpoint) => Some(endpoint.clone()),
                Choice::NoBackendServer => None,
            }
        } else {
            node.round_robin += 1;
            let endpoints = &route.shares[0].endpoints;
            Some(endpoints[node.round_robin % endpoints.len()].clone())
        };
        let Some(endpoint) = endpoint else {
            return self.finish_call(id, false);
        };
        endpoint.load.start();
        call.tried.push(endpoint.host.clone());
        let found = self
            .nodes
            .iter()
            .position(|n| n.member.host == endpoint.host);
        let owner = found.expect("the routing table only contains nodes of the mesh");
        call.endpoint = Some(endpoint);
        let delay = self.delay(self.calls[id].ingress, owner);
        self.schedule(self.now + delay, Event::ReachOwner(owner, id));
    }

    /// Returns the one-way delay between two nodes.
    fn delay(&self, a: usize, b: usize) -> Duration {
        let is_near = a % DOMAINS.len() == b % DOMAINS.len();
        if is_near {
            Duration::from_micros(100)
        } else {
            self.config.site.inter_domain_delay
        }
    }

    /// Admits, queues or rejects a call at its owner.
    fn receive(&mut self, index: usize, id: usize) {
        let deadline = self.calls[id].sent + DEADLINE;
        let urgency = self.calls[id].urgency;
        let (policy, slots) = (self.config.policy, self.config.site.slots);
        let node = &mut self.nodes[index];
        if node.is_out {
            return self.respond(index, id, OwnerResponse::DomainOut);
        }
        if policy == Policy::Product {
            let offer = Offer {
                rank: Rank::new(urgency),
                deadline: Some(deadline),
                max_wait: None,
            };
            match node.gate.offer(self.now, offer) {
                Decision::Run => self.start_service(index, id),
                Decision::Wait(ticket, ..) => node.waiting.push((ticket, id)),
                Decision::Refuse(_) => self.respond(index, id, OwnerResponse::Refused),
            }
            return self.process_gate(index);
        }
        if policy == Policy::Unlimited || node.running < slots {
            return self.start_service(index, id);
        }
        if node.fifo.len() < 2 * slots as usize {
            return node.fifo.push_back(id);
        }
        self.respond(index, id, OwnerResponse::Refused);
    }

    /// Starts or rejects the queued calls that a gate decides on now.
    fn process_gate(&mut self, index: usize) {
        loop {
            let (ticket, runs) = match self.nodes[index].gate.next(self.now) {
                Next::Run(ticket) => (ticket, true),
                Next::Refuse(ticket, _) => (ticket, false),
                Next::Idle => return,
            };
            let waiting = &mut self.nodes[index].waiting;
            let found = waiting.iter().position(|(t, _)| *t == ticket);
            let (_, id) = waiting.remove(found.expect("the gate decides only on queued calls"));
            if runs {
                self.start_service(index, id);
            } else {
                self.respond(index, id, OwnerResponse::Refused);
            }
        }
    }

    /// Starts a call on a backend server.
    fn start_service(&mut self, index: usize, id: usize) {
        let elapsed = self.now.since(START);
        let drain_time = Duration::from_secs(3);
        let node = &mut self.nodes[index];
        let is_in_outage_domain = &*node.member.failure_domain == DOMAINS[0];
        let is_late =
            |(start, end): (Duration, Duration)| (start + drain_time..end).contains(&elapsed);
        self.result.late_work +=
            u64::from(is_in_outage_domain && self.config.outage.is_some_and(is_late));
        let idle = self.now.since(node.last_active).as_secs_f64() / COOL_DOWN_TIME.as_secs_f64();
        node.warmth *= if node.running == 0 {
            (-idle).exp()
        } else {
            1.0
        };
        node.running += 1;
        node.last_active = self.now;
        let server_capacity = f64::from(self.config.site.slots)
            * (COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * node.warmth);
        let ratio = f64::from(node.running) / server_capacity;
        self.result.calls_started += 1;
        if node.warmth < 0.9 {
            self.result.cold_calls += 1;
            self.result.cold_overloads += u64::from(ratio > 1.0);
            self.result.cold_peak = self.result.cold_peak.max(ratio);
        }
        let factor = ratio.max(1.0).powi(2) * self.rng.random_range(0.5..1.5);
        let end = self.now + SERVICE_TIME.mul_f64(factor.min(10_000.0));
        self.schedule(end, Event::Finish(index, id, self.now));
    }

    /// Finishes a call on a backend server and starts the next queued one.
    fn finish(&mut self, index: usize, id: usize, started: Time) {
        let latency = self.now.since(started);
        let is_late = self.now > self.calls[id].sent + DEADLINE;
        let node = &mut self.nodes[index];
        node.running -= 1;
        node.last_active = self.now;
        node.warmth += (1.0 - node.warmth) / WARM_UP_CALLS;
        if self.config.policy == Policy::Product {
            let outcome = if is_late {
                Outcome::Timeout
            } else {
                Outcome::Ok
            };
            node.gate.exit(self.now, outcome, latency);
            self.process_gate(index);
        } else if let Some(next) = node.fifo.pop_front() {
            self.start_service(index, next);
        }
        self.respond(index, id, OwnerResponse::Done);
    }

    /// Sends a response to the ingress.
    fn respond(&mut self, index: usize, id: usize, response: OwnerResponse) {
        let load = self.nodes[index].gate.load_permille();
        let delay = self.delay(index, self.calls[id].ingress);
        self.schedule(self.now + delay, Event::Response(id, response, load));
    }

    /// Handles a response at the ingress: finishes the call or retries it.
    fn handle_response(&mut self, id: usize, response: OwnerResponse, load: u32) {
        let is_good = response == OwnerResponse::Done;
        let call = &self.calls[id];
        if let Some(endpoint) = &call.endpoint {
            endpoint.load.end();
            endpoint.load.set_reported(load);
        }
        let left = (call.sent + DEADLINE).since(self.now);
        if is_good || left.is_zero() {
            return self.finish_call(id, is_good && !left.is_zero());
        }
        let is_retried = match self.config.policy {
            Policy::Fixed | Policy::Unlimited => false,
            Policy::Naive => call.attempts_left > 0,
            Policy::Product => {
                let service = self.nodes[call.ingress].table.service("service");
                let attempt = Attempt {
                    is_idempotent: call.is_idempotent,
                    ran: Execution::NotRun,
                    failure: Failure::Refused,
                    time_left: Some(left),
                    attempts_left: call.attempts_left,
                    layer: Layer::Outermost,
                    is_body_replayable: true,
                    is_poison: false,
                    is_in_progress: false,
                };
                let next = service.map(|service| match response {
                    OwnerResponse::DomainOut => budget::decide_without_budget(&attempt),
                    OwnerResponse::Done | OwnerResponse::Refused => {
                        budget::decide(&service.budget, &attempt)
                    }
                });
                matches!(next, Some(budget::Next::Retry(_)))
            }
        };
        if is_retried {
            self.send(id)
        } else {
            self.finish_call(id, false)
        }
    }

    /// Records the outcome of a call once.
    fn finish_call(&mut self, id: usize, is_good: bool) {
        let call = &mut self.calls[id];
        if std::mem::replace(&mut call.is_finished, true) {
            return;
        }
        self.result.records.push(Record {
            sent: call.sent.since(START),
            urgency: call.urgency,
            latency: is_good.then(|| self.now.since(call.sent)),
        });
    }
}

/// Returns the success rate and the 99th percentile latency in milliseconds of the calls of one
/// priority that were sent in a time span.
pub fn success_rate_and_p99(
    run: &RunResult,
    urgency: u8,
    from: Duration,
    to: Duration,
) -> (f64, f64) {
    let sent = |r: &&Record| r.urgency == urgency && (from..to).contains(&r.sent);
    let records: Vec<&Record> = run.records.iter().filter(sent).collect();
    let mut good: Vec<Duration> = records.iter().filter_map(|r| r.latency).collect();
    good.sort_unstable();
    let share = good.len() as f64 / records.len().max(1) as f64;
    let p99 = good.get(good.len().saturating_sub(1) * 99 / 100);
    (share, p99.map_or(0.0, |p| p.as_secs_f64() * 1_000.0))
}

/// Returns the successful calls per second in a time span as a fraction of the capacity.
pub fn goodput(run: &RunResult, site: &Site, from: Duration, to: Duration) -> f64 {
    let good = |r: &&Record| r.latency.is_some() && (from..to).contains(&r.sent);
    let count = run.records.iter().filter(good).count() as f64;
    count / (to - from).as_secs_f64() / site.capacity()
}
