//! Event-driven model of callers, ingresses, owners and backend servers in virtual time.
//!
//! Ingresses use the product's table, choice and retry budget, owners the product's gate. A backend
//! server bears a fifth of its slots when cold and all of them when warm. It warms with the calls
//! it answers and cools while idle. Beyond what it bears, service time grows with the square of
//! the excess, so that its throughput falls the more it is given.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use buckthorn::admission::gate::{DEFAULT_URGENCY, Decision, Gate, Next, Offer};
use buckthorn::admission::queue::Ticket;
use buckthorn::clock::Time;
use buckthorn::config::intent::{FailureDomain, Intent, Route, Service};
use buckthorn::journal::fold::State;
use buckthorn::membership::member::{BackendServer, Member, Status};
use buckthorn::membership::view::View;
use buckthorn::name::Name;
use buckthorn::rollout::evidence::Outcome;
use buckthorn::rollout::quarantine::Quarantine;
use buckthorn::routing::budget::{self, Attempt, Execution, Failure, Layer, MAX_ATTEMPTS};
use buckthorn::routing::choice::{Choice, choose};
use buckthorn::routing::load::Registry;
use buckthorn::routing::table::{Endpoint, Table};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Start of every run.
pub const START: Time = Time::from_secs(1_000_000);

/// Mean service time of a warm backend server that is not overloaded.
pub const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Time within which a caller needs its answer.
pub const DEADLINE: Duration = Duration::from_millis(250);

/// Time within which every node holds a change of the configuration.
const CONVERGENCE: Duration = Duration::from_secs(2);

/// Part of the slots that a cold backend server bears.
const COLD_SHARE: f64 = 0.2;

/// Calls that warm a backend server by the natural constant's part.
const WARMING_CALLS: f64 = 200.0;

/// Idle time that cools it by the same part.
const COOLING: Duration = Duration::from_secs(10);

/// Failure domains.
const DOMAINS: [&str; 3] = ["fd-1", "fd-2", "fd-3"];

/// Deployment's sizes.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Name.
    pub name: &'static str,
    /// Backend servers.
    pub servers: usize,
    /// Slots of each.
    pub slots: u32,
    /// One way between failure domains.
    pub inter_domain_delay: Duration,
}

/// Both deployments.
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
    /// Calls a second that all backend servers answer when warm.
    pub fn capacity(&self) -> f64 {
        self.servers as f64 * f64::from(self.slots) / SERVICE_TIME.as_secs_f64()
    }
}

/// How calls are routed, admitted and retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's choice, gate and budget.
    Product,
    /// Round robin, a fixed limit with a queue in order of arrival, no retries.
    Fixed,
    /// Round robin without a limit or retries.
    Unlimited,
    /// Round robin, a fixed limit, and every failure retried at once.
    Naive,
}

impl Policy {
    /// Name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::Fixed => "fixed limit",
            Self::Unlimited => "no limit",
            Self::Naive => "naive retries",
        }
    }
}

/// One run's setting.
#[derive(Clone, Copy, Debug)]
pub struct RunConfig {
    /// Deployment.
    pub site: Site,
    /// Policy.
    pub policy: Policy,
    /// Offered calls as a part of the capacity.
    pub load: f64,
    /// Whether the backend servers are warm and known to be so at the start.
    pub is_warm: bool,
    /// When the first failure domain goes out and when it returns.
    pub outage: Option<(Duration, Duration)>,
    /// Length of the run.
    pub length: Duration,
    /// Seed.
    pub seed: u64,
}

/// A finished call.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// When it was sent, since the start.
    pub sent: Duration,
    /// Priority.
    pub urgency: u8,
    /// Time to a good answer, or `None`.
    pub latency: Option<Duration>,
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// Finished calls.
    pub records: Vec<Record>,
    /// Calls begun at backend servers of the domain that is out, later than three seconds after.
    pub late_work: u64,
    /// Calls begun at backend servers that are not yet warm.
    pub cold_starts: u64,
    /// Those of them that began beyond what the server bears.
    pub cold_overloads: u64,
    /// Greatest load on such a server as a part of what it bears.
    pub cold_peak: f64,
    /// Calls begun at backend servers.
    pub begun: u64,
}

/// A call on its way.
#[derive(Clone, Debug)]
struct Call {
    /// When it was sent.
    sent: Time,
    /// Priority.
    urgency: u8,
    /// Whether it may be repeated.
    is_idempotent: bool,
    /// Node that took it.
    ingress: usize,
    /// Attempts left.
    attempts_left: u32,
    /// Hosts tried.
    tried: Vec<Name>,
    /// Present endpoint.
    endpoint: Option<Endpoint>,
    /// Whether the caller has its answer or left.
    is_over: bool,
}

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a call.
    Arrive,
    /// A call reaches its owner.
    Reach(usize, usize),
    /// A backend server answers a call that began then.
    Finish(usize, usize, Time),
    /// An answer reaches the ingress, with the owner's load.
    Answer(usize, Reply, u32),
    /// A node learns whether the first failure domain is out.
    Learn(usize, bool),
    /// Owners look for calls that have waited too long.
    Sweep(usize),
}

/// What an owner answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    /// The backend server's answer, which may be late.
    Done,
    /// Refused as not run for want of room.
    Full,
    /// Refused as not run since the failure domain is out of service.
    Out,
}

/// A node and its backend server.
struct Node {
    /// Own entry of the view.
    member: Member,
    /// Table in force.
    table: Table,
    /// Loads and budgets.
    registry: Registry,
    /// Product's gate.
    gate: Gate,
    /// Calls waiting at the gate.
    waiting: Vec<(Ticket, usize)>,
    /// Calls waiting at the baseline's limit.
    line: VecDeque<usize>,
    /// Calls that run.
    running: u32,
    /// Warmth in 0..=1.
    warmth: f64,
    /// Last sign of work.
    worked: Time,
    /// Next endpoint of the round robin.
    turn: usize,
    /// Whether the node holds that its failure domain is out.
    is_out: bool,
}

/// The model.
pub struct Mesh {
    /// Setting.
    plan: RunConfig,
    /// Random numbers.
    rng: ChaCha8Rng,
    /// Present time.
    now: Time,
    /// Events to come.
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    /// Number of the next event.
    next: u64,
    /// Nodes.
    nodes: Vec<Node>,
    /// Calls.
    calls: Vec<Call>,
    /// Known members.
    view: View,
    /// Measurement.
    run: RunResult,
}

/// Member of a node.
fn member(site: &Site, index: usize) -> Member {
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
        backend_server: Some(BackendServer {
            service: "service".into(),
            version: "v1".into(),
            slots: site.slots,
            connections: 130,
            is_draining: false,
        }),
    }
}

/// State with the first failure domain in or out.
fn state(is_out: bool) -> State {
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
    /// Runs a plan.
    pub fn run(plan: RunConfig) -> RunResult {
        let mut mesh = Self::new(plan);
        let end = START + plan.length;
        while let Some(Reverse((at, _, event))) = mesh.events.pop() {
            if at > end {
                break;
            }
            mesh.now = at;
            mesh.handle(event);
        }
        mesh.run
    }

    /// Model at its start.
    fn new(plan: RunConfig) -> Self {
        let mut view = View::new();
        let members: Vec<Member> = (0..plan.site.servers)
            .map(|i| member(&plan.site, i))
            .collect();
        for member in &members {
            view.merge(member, START);
        }
        let slots = plan.site.slots;
        let node = |member: Member| Node {
            member,
            table: Table::default(),
            registry: Registry::default(),
            gate: if plan.is_warm {
                Gate::warm(slots, START)
            } else {
                Gate::new(slots, START)
            },
            waiting: Vec::new(),
            line: VecDeque::new(),
            running: 0,
            warmth: if plan.is_warm { 1.0 } else { 0.0 },
            worked: START,
            turn: 0,
            is_out: false,
        };
        let mut mesh = Self {
            plan,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now: START,
            events: BinaryHeap::new(),
            next: 0,
            nodes: members.into_iter().map(node).collect(),
            calls: Vec::new(),
            view,
            run: RunResult::default(),
        };
        for index in 0..mesh.nodes.len() {
            mesh.learn(index, false);
            mesh.at(START, Event::Sweep(index));
            for (at, is_out) in plan
                .outage
                .iter()
                .flat_map(|(o, i)| [(*o, true), (*i, false)])
            {
                let delay = mesh.rng.random_range(Duration::ZERO..CONVERGENCE);
                mesh.at(START + at + delay, Event::Learn(index, is_out));
            }
        }
        mesh.at(START, Event::Arrive);
        mesh
    }

    /// Plans an event.
    fn at(&mut self, time: Time, event: Event) {
        self.next += 1;
        self.events.push(Reverse((time, self.next, event)));
    }

    /// Handles one event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(node, call) => self.reach(node, call),
            Event::Finish(node, call, begun) => self.finish(node, call, begun),
            Event::Answer(call, reply, load) => self.answer(call, reply, load),
            Event::Learn(node, is_out) => self.learn(node, is_out),
            Event::Sweep(node) => {
                self.settle(node);
                self.at(self.now + Duration::from_millis(10), Event::Sweep(node));
            }
        }
    }

    /// Builds a node's table anew.
    fn learn(&mut self, index: usize, is_out: bool) {
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

    /// A caller sends a call to a random node.
    fn arrive(&mut self) {
        let rate = self.plan.site.capacity() * self.plan.load;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.at(self.now + Duration::from_secs_f64(gap), Event::Arrive);
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
            is_over: false,
        });
        self.send(self.calls.len() - 1);
    }

    /// Picks a backend server and sends the call to its owner.
    fn send(&mut self, id: usize) {
        let call = &mut self.calls[id];
        call.attempts_left -= 1;
        let node = &mut self.nodes[call.ingress];
        let Some(route) = node.table.resolve("service", "/") else {
            return self.end(id, false);
        };
        let endpoint = if self.plan.policy == Policy::Product {
            match choose(&node.table, route, self.now, &call.tried, &mut self.rng) {
                Choice::Endpoint(_, endpoint) => Some(endpoint.clone()),
                Choice::NoBackendServer => None,
            }
        } else {
            node.turn += 1;
            let endpoints = &route.shares[0].endpoints;
            Some(endpoints[node.turn % endpoints.len()].clone())
        };
        let Some(endpoint) = endpoint else {
            return self.end(id, false);
        };
        endpoint.load.start();
        call.tried.push(endpoint.host.clone());
        let found = self
            .nodes
            .iter()
            .position(|n| n.member.host == endpoint.host);
        let owner = found.expect("the table points at nodes of the mesh");
        call.endpoint = Some(endpoint);
        let delay = self.delay(self.calls[id].ingress, owner);
        self.at(self.now + delay, Event::Reach(owner, id));
    }

    /// One way between two nodes.
    fn delay(&self, a: usize, b: usize) -> Duration {
        let is_near = a % DOMAINS.len() == b % DOMAINS.len();
        if is_near {
            Duration::from_micros(100)
        } else {
            self.plan.site.inter_domain_delay
        }
    }

    /// A call is at its owner.
    fn reach(&mut self, index: usize, id: usize) {
        let deadline = self.calls[id].sent + DEADLINE;
        let urgency = self.calls[id].urgency;
        let (policy, slots) = (self.plan.policy, self.plan.site.slots);
        let node = &mut self.nodes[index];
        if node.is_out {
            return self.reply(index, id, Reply::Out);
        }
        if policy == Policy::Product {
            let offer = Offer {
                urgency,
                deadline: Some(deadline),
                max_wait: None,
            };
            match node.gate.offer(self.now, offer) {
                Decision::Run => self.begin(index, id),
                Decision::Wait(ticket, ..) => node.waiting.push((ticket, id)),
                Decision::Refuse(_) => self.reply(index, id, Reply::Full),
            }
            return self.settle(index);
        }
        if policy == Policy::Unlimited || node.running < slots {
            return self.begin(index, id);
        }
        if node.line.len() < 2 * slots as usize {
            return node.line.push_back(id);
        }
        self.reply(index, id, Reply::Full);
    }

    /// Settles the calls that wait at a gate.
    fn settle(&mut self, index: usize) {
        loop {
            let (ticket, runs) = match self.nodes[index].gate.next(self.now) {
                Next::Run(ticket) => (ticket, true),
                Next::Refuse(ticket, _) => (ticket, false),
                Next::Idle => return,
            };
            let waiting = &mut self.nodes[index].waiting;
            let found = waiting.iter().position(|(t, _)| *t == ticket);
            let (_, id) = waiting.remove(found.expect("only waiting calls are settled"));
            if runs {
                self.begin(index, id);
            } else {
                self.reply(index, id, Reply::Full);
            }
        }
    }

    /// A backend server begins a call.
    fn begin(&mut self, index: usize, id: usize) {
        let since = self.now.since(START);
        let left = Duration::from_secs(3);
        let node = &mut self.nodes[index];
        let is_first = &*node.member.failure_domain == DOMAINS[0];
        let is_late = |(start, end): (Duration, Duration)| (start + left..end).contains(&since);
        self.run.late_work += u64::from(is_first && self.plan.outage.is_some_and(is_late));
        let idle = self.now.since(node.worked).as_secs_f64() / COOLING.as_secs_f64();
        node.warmth *= if node.running == 0 {
            (-idle).exp()
        } else {
            1.0
        };
        node.running += 1;
        node.worked = self.now;
        let bears =
            f64::from(self.plan.site.slots) * (COLD_SHARE + (1.0 - COLD_SHARE) * node.warmth);
        let ratio = f64::from(node.running) / bears;
        self.run.begun += 1;
        if node.warmth < 0.9 {
            self.run.cold_starts += 1;
            self.run.cold_overloads += u64::from(ratio > 1.0);
            self.run.cold_peak = self.run.cold_peak.max(ratio);
        }
        let factor = ratio.max(1.0).powi(2) * self.rng.random_range(0.5..1.5);
        let end = self.now + SERVICE_TIME.mul_f64(factor.min(10_000.0));
        self.at(end, Event::Finish(index, id, self.now));
    }

    /// A backend server answers a call.
    fn finish(&mut self, index: usize, id: usize, begun: Time) {
        let latency = self.now.since(begun);
        let is_late = self.now > self.calls[id].sent + DEADLINE;
        let node = &mut self.nodes[index];
        node.running -= 1;
        node.worked = self.now;
        node.warmth += (1.0 - node.warmth) / WARMING_CALLS;
        if self.plan.policy == Policy::Product {
            let outcome = if is_late {
                Outcome::Timeout
            } else {
                Outcome::Ok
            };
            node.gate.exit(self.now, outcome, latency);
            self.settle(index);
        } else if let Some(next) = node.line.pop_front() {
            self.begin(index, next);
        }
        self.reply(index, id, Reply::Done);
    }

    /// Sends an answer to the ingress.
    fn reply(&mut self, index: usize, id: usize, reply: Reply) {
        let load = self.nodes[index].gate.load_permille();
        let delay = self.delay(index, self.calls[id].ingress);
        self.at(self.now + delay, Event::Answer(id, reply, load));
    }

    /// An answer is at the ingress.
    fn answer(&mut self, id: usize, reply: Reply, load: u32) {
        let is_good = reply == Reply::Done;
        let call = &self.calls[id];
        if let Some(endpoint) = &call.endpoint {
            endpoint.load.end();
            endpoint.load.set_reported(load);
        }
        let left = (call.sent + DEADLINE).since(self.now);
        if is_good || left.is_zero() {
            return self.end(id, is_good && !left.is_zero());
        }
        let is_retried = match self.plan.policy {
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
                };
                let next = service.map(|service| match reply {
                    Reply::Out => budget::decide_without_budget(&attempt),
                    Reply::Done | Reply::Full => budget::decide(&service.budget, &attempt),
                });
                matches!(next, Some(budget::Next::Retry(_)))
            }
        };
        if is_retried {
            self.send(id)
        } else {
            self.end(id, false)
        }
    }

    /// Records the end of a call.
    fn end(&mut self, id: usize, is_good: bool) {
        let call = &mut self.calls[id];
        if std::mem::replace(&mut call.is_over, true) {
            return;
        }
        self.run.records.push(Record {
            sent: call.sent.since(START),
            urgency: call.urgency,
            latency: is_good.then(|| self.now.since(call.sent)),
        });
    }
}

/// Share of good answers and the 99th percentile of their latency in milliseconds, of the calls of
/// a priority sent in a span.
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

/// Good answers a second in a span, as a part of the capacity.
pub fn goodput(run: &RunResult, site: &Site, from: Duration, to: Duration) -> f64 {
    let good = |r: &&Record| r.latency.is_some() && (from..to).contains(&r.sent);
    let count = run.records.iter().filter(good).count() as f64;
    count / (to - from).as_secs_f64() / site.capacity()
}
