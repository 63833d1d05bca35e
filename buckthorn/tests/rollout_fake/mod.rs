//! A few kernels with the rollout plug-in, a fake log and lossless links, in virtual time.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::change::{Change, Operation};
use buckthorn::config::intent::{self, Move, Phase};
use buckthorn::counter::Counters;
use buckthorn::journal::fold::State;
use buckthorn::journal::record::{self, Body, Claim, Record};
use buckthorn::kernel::{
    Action, Context, Event, Identity, Kernel, Plugin, Registry, TICK_INTERVAL,
};
use buckthorn::log::{AppendOutcome, Batch};
use buckthorn::membership::member::{BackendServer, Member, Status};
use buckthorn::name::Name;
use buckthorn::rollout::evidence::{Outcome, Recorder};
use buckthorn::rollout::plugin;
use buckthorn::rpc::message::Message;

/// Service of the moves.
pub(crate) const SERVICE: &str = "card-desk";

/// What the fake log does with the next appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing unusual.
    None,
    /// Refuses appends and reads.
    Down,
    /// Takes appends and loses the replies.
    LoseReply,
}

/// Puts records and members that the test hands over into the shared state.
struct Feeder;

impl Plugin for Feeder {
    fn name(&self) -> &'static str {
        "feeder"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::LogRead { batch, .. } => {
                for record in &batch.records {
                    cx.shared.tail.push(record);
                }
            }
            Event::Received { messages, .. } => {
                for message in messages {
                    match message {
                        Message::Members(members) => {
                            for member in members {
                                cx.shared.view.merge(member, cx.now);
                            }
                        }
                        Message::Snapshot(state) => {
                            cx.shared.tail.install(State::clone(state));
                        }
                        _ => {}
                    }
                }
            }
            _ => {}
        }
    }
}

/// One node.
pub(crate) struct Node {
    /// Member as the others know it.
    pub(crate) member: Member,
    /// Decision core.
    pub(crate) kernel: Kernel,
    /// Counts of its owner.
    pub(crate) recorder: Arc<Recorder>,
    /// Whether it runs; a paused node gets no events.
    pub(crate) is_paused: bool,
    /// Whether it reads the log.
    pub(crate) is_cut_off: bool,
}

/// Kernels, log and links.
pub(crate) struct Mesh {
    /// Present time.
    pub(crate) now: Time,
    /// Nodes; the first holds the lease at the start.
    pub(crate) nodes: Vec<Node>,
    /// Records of the log.
    pub(crate) log: Vec<Record>,
    /// Reference fold of the log.
    pub(crate) state: State,
    /// What the log does with appends.
    pub(crate) fault: Fault,
    /// Appends held back by a slow log, with the node that made them.
    pub(crate) slow: Option<Vec<(usize, Name, String)>>,
}

impl Mesh {
    /// Mesh of `servers` old and as many new backend servers in three failure domains.
    pub(crate) fn new(seed: u64, servers: usize) -> Self {
        let now = Time::from_secs(1_000);
        let members: Vec<Member> = (0..2 * servers)
            .map(|index| member(index, if index < servers { "v1" } else { "v2" }, now))
            .collect();
        let mut mesh = Self {
            now,
            nodes: Vec::new(),
            log: Vec::new(),
            state: State::new(),
            fault: Fault::None,
            slow: None,
        };
        for member in &members {
            mesh.start(member.clone(), seed);
        }
        for node in &mut mesh.nodes {
            let from: Name = "test".into();
            let messages = vec![Message::Members(members.clone())];
            node.kernel.handle(now, &Event::Received { from, messages });
        }
        let host = members[0].host.clone();
        mesh.push(Body::Claim(Claim {
            host,
            replaces: 0,
            at: now,
        }));
        mesh.push(Body::Change(Change {
            base: 0,
            author: "test".into(),
            at: now,
            operations: vec![Operation::Serve {
                service: SERVICE.into(),
                route: "".into(),
                version: "v1".into(),
            }],
        }));
        mesh
    }

    /// Adds a node.
    fn start(&mut self, member: Member, seed: u64) {
        let identity = Identity {
            host: member.host.clone(),
            incarnation: member.incarnation,
            region: member.region.clone(),
            failure_domain: member.failure_domain.clone(),
            rpc: member.rpc,
            hop: member.hop,
            seeds: Vec::new(),
        };
        let mut registry = Registry::default();
        registry.add(Feeder);
        plugin::register(&mut registry);
        let seed = seed * 1_000 + self.nodes.len() as u64;
        let kernel = Kernel::new(
            identity,
            Arc::new(Counters::new()),
            seed,
            self.now,
            registry,
        );
        self.nodes.push(Node {
            member,
            kernel,
            recorder: Arc::new(Recorder::new()),
            is_paused: false,
            is_cut_off: false,
        });
    }

    /// Appends a record to the log.
    pub(crate) fn push(&mut self, body: Body) {
        self.push_payload("test".into(), record::encode(body));
    }

    /// Appends a payload to the log.
    fn push_payload(&mut self, id: Name, payload: String) {
        let record = Record {
            offset: self.log.len() as u64,
            id: format!("{id}-{}", self.log.len()).into(),
            payload: payload.into(),
        };
        self.state.apply(&record);
        self.log.push(record);
    }

    /// Publishes a move from v1 to v2.
    pub(crate) fn publish_move(&mut self, start: Time, deadline: Time) -> Name {
        let to: Name = "v2".into();
        self.publish(vec![Operation::Move {
            service: SERVICE.into(),
            route: "".into(),
            from: "v1".into(),
            to: to.clone(),
            start,
            deadline,
        }]);
        intent::move_id(SERVICE, "", "v1", &to, start, deadline)
    }

    /// Publishes operations.
    pub(crate) fn publish(&mut self, operations: Vec<Operation>) {
        self.push(Body::Change(Change {
            base: self.state.intent_version,
            author: "test".into(),
            at: self.now,
            operations,
        }));
    }

    /// Hands the lease to a host.
    pub(crate) fn claim(&mut self, index: usize, replaces: u64) {
        let host = self.nodes[index].member.host.clone();
        let at = self.now;
        self.push(Body::Claim(Claim { host, replaces, at }));
    }

    /// Changes a member in every node's view.
    pub(crate) fn update(&mut self, index: usize, change: impl FnOnce(&mut Member)) {
        let member = &mut self.nodes[index].member;
        member.sequence += 1;
        change(member);
        let messages = vec![Message::Members(vec![member.clone()])];
        self.tell_all(messages);
    }

    /// Hands messages to every node.
    pub(crate) fn tell_all(&mut self, messages: Vec<Message>) {
        for index in 0..self.nodes.len() {
            let (from, messages) = ("test".into(), messages.clone());
            self.deliver(index, &Event::Received { from, messages });
        }
    }

    /// Nodes that have quarantined the new version of a move.
    pub(crate) fn quarantining(&self, id: &str) -> usize {
        let nodes = self.nodes.iter();
        nodes
            .filter(|n| n.kernel.shared().quarantine.is_quarantined(id))
            .count()
    }

    /// Lowest share that a node gives the new version of a move.
    pub(crate) fn given(&self, id: &str) -> u16 {
        let share = self.entry(id).share;
        let limits = self.nodes.iter();
        limits
            .map(|n| n.kernel.shared().quarantine.effective_share(id, share))
            .min()
            .unwrap_or(share)
    }

    /// Move as the log has it.
    pub(crate) fn entry(&self, id: &str) -> &Move {
        self.state.intent.find_move(id).expect("move is known")
    }

    /// Phase of a move as the log has it.
    pub(crate) fn phase(&self, id: &str) -> Phase {
        self.entry(id).phase
    }

    /// Counts calls at every owner: `rate` a second for the service, split by the move's share.
    pub(crate) fn call(
        &self,
        share: u16,
        rate: u64,
        answer: impl Fn(&Member) -> (Outcome, Duration),
    ) {
        self.call_on("", share, rate, answer);
    }

    /// Counts calls of one route.
    pub(crate) fn call_on(
        &self,
        route: &str,
        share: u16,
        rate: u64,
        answer: impl Fn(&Member) -> (Outcome, Duration),
    ) {
        let interval = TICK_INTERVAL.as_millis() as u64;
        for node in &self.nodes {
            let server = node.member.backend_server.as_ref().expect("has a server");
            let is_new = &*server.version == "v2";
            let permille = if is_new { share } else { 1_000 - share };
            let servers = self.nodes.len() as u64 / 2;
            // Whole calls per tick, the remainder spread by the tick's number.
            let scaled = rate * interval * u64::from(permille) / servers;
            let tick = self.now.as_millis() / interval;
            let calls = (scaled * (tick + 1)) / 1_000_000 - (scaled * tick) / 1_000_000;
            for _ in 0..calls {
                let (outcome, latency) = answer(&node.member);
                node.recorder.record(route, outcome, latency);
            }
        }
    }

    /// Runs ticks up to `end`; `before` acts ahead of each.
    pub(crate) fn run_with(&mut self, end: Time, mut before: impl FnMut(&mut Self)) {
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            before(self);
            self.tick();
        }
    }

    /// One tick of every node.
    fn tick(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_paused {
                continue;
            }
            let next = self.nodes[index].kernel.shared().tail.state().next as usize;
            let can_read = !self.nodes[index].is_cut_off && self.fault != Fault::Down;
            if can_read && next < self.log.len() {
                let batch = Batch {
                    earliest: 0,
                    next: self.log.len() as u64,
                    records: self.log[next..].to_vec(),
                };
                self.deliver(
                    index,
                    &Event::LogRead {
                        stream: record::CONFIG_STREAM,
                        batch,
                    },
                );
            }
            let node = &self.nodes[index];
            let server = node.member.backend_server.clone().expect("has a server");
            let report = node.recorder.report(
                &node.member.host,
                node.member.incarnation,
                &server.service,
                &server.version,
            );
            self.deliver(index, &Event::EvidenceCollected(report));
            self.deliver(index, &Event::Tick);
        }
    }

    /// Hands an event to a node and carries out what it asks for.
    pub(crate) fn deliver(&mut self, index: usize, event: &Event) {
        if self.nodes[index].is_paused {
            return;
        }
        let actions = self.nodes[index].kernel.handle(self.now, event);
        for action in actions {
            match action {
                Action::Append { id, payload, .. } => self.append(index, id, payload),
                Action::Send { host, messages, .. } => {
                    let from = self.nodes[index].member.host.clone();
                    let target = self.nodes.iter().position(|n| n.member.host == host);
                    if let Some(target) = target {
                        self.deliver(target, &Event::Received { from, messages });
                    }
                }
                _ => {}
            }
        }
    }

    /// Carries out an append.
    pub(crate) fn append(&mut self, index: usize, id: Name, payload: String) {
        if let Some(slow) = &mut self.slow {
            slow.push((index, id, payload));
            return;
        }
        let is_reachable = !self.nodes[index].is_cut_off && self.fault != Fault::Down;
        let result = if is_reachable {
            self.push_payload(id.clone(), payload);
            match self.fault {
                Fault::LoseReply => AppendOutcome::Unknown {
                    reason: "reply lost".into(),
                },
                _ => AppendOutcome::Done {
                    offset: self.log.len() as u64 - 1,
                },
            }
        } else {
            AppendOutcome::Refused {
                reason: "log is down".into(),
            }
        };
        self.deliver(index, &Event::Appended { id, result });
    }
}

/// Member with a backend server of a version.
fn member(index: usize, version: &str, now: Time) -> Member {
    let port = 9_000 + index as u16;
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    Member {
        host: format!("host-{index:02}").into(),
        incarnation: now.0,
        sequence: 1,
        region: "bc-lower".into(),
        failure_domain: format!("domain-{}", index % 3).into(),
        rpc: address,
        hop: address,
        status: Status::Alive,
        backend_server: Some(BackendServer {
            service: SERVICE.into(),
            version: version.into(),
            slots: 10,
            connections: 130,
            is_draining: false,
        }),
    }
}
