//! A mesh, its operators and its backend servers, and the random steps that befall them.

use std::time::Duration;

use buckthorn::config::change::{Change, Operation};
use buckthorn::config::intent::Phase;
use buckthorn::journal::checkpoint;
use buckthorn::journal::record::{
    self, Body, CHECKPOINT_STREAM, CONFIG_STREAM, LEASE_STREAM, Step,
};
use buckthorn::kernel::Event;
use buckthorn::membership::member::BackendServer;
use buckthorn::name::Name;
use buckthorn::node;
use buckthorn::rollout::evidence::{Outcome, Recorder};
use rand::Rng;
use rand::seq::IndexedRandom;

use super::Tally;
use super::check::{IN_FORCE_AFTER, NO_NEW_WORK_AFTER, Reference, Watch, has_route_to};
use crate::harness::{Mesh, MeshConfig};

/// Services that operators use.
const SERVICES: [&str; 3] = ["card-desk", "proof-vault", "rungs"];

/// Versions that operators use.
const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "bad"];

/// Routes that operators use.
const ROUTES: [&str; 3] = ["", "", "/seeding"];

/// Calls that a backend server answers within one step.
const CALLS: std::ops::Range<usize> = 0..60;

/// Longest time that passes within one step.
const MAX_STEP_MILLIS: u64 = 3_000;

/// Chance that a message is lost while a change spreads at a time of rest.
const REST_LOSS: f64 = 0.2;

/// Time of rest before agreement is asked for: members that were cut off rejoin first.
const MEND: Duration = Duration::from_secs(90);

/// One backend server and what its owner counted.
struct Server {
    /// What it announces.
    announced: BackendServer,
    /// Counts of its owner.
    recorder: Recorder,
}

/// Everything of one seed.
pub(super) struct Simulation {
    /// Mesh.
    mesh: Mesh,
    /// Fold of the whole log.
    reference: Reference,
    /// What each process showed.
    watches: Vec<Watch>,
    /// Backend servers by node.
    servers: Vec<Option<Server>>,
    /// Changes appended so far, for identifiers.
    changes: u64,
    /// Times of rest.
    convergence_checks: u64,
}

impl Simulation {
    /// World of a seed.
    pub(super) fn new(seed: u64) -> Self {
        let nodes = 6 + (seed % 4) as usize * 3;
        let plan = MeshConfig {
            failure_domains: 3,
            regions: 1 + (seed % 3) as usize,
            ..MeshConfig::new(nodes, seed, node::register)
        };
        let mesh = Mesh::new(&plan);
        let mut simulation = Self {
            mesh,
            reference: Reference::default(),
            watches: (0..nodes).map(|_| Watch::default()).collect(),
            servers: (0..nodes).map(|_| None).collect(),
            changes: 0,
            convergence_checks: 0,
        };
        for node in 0..nodes {
            simulation.announce(node, SERVICES[node % 2], "v1");
        }
        simulation.mesh.run(Duration::from_secs(10));
        simulation
    }

    /// What came of it.
    pub(super) fn tally(&self) -> Tally {
        Tally {
            steps: 0,
            records: self.mesh.log.next(CONFIG_STREAM),
            accepted: self.reference.accepted,
            refused: self.reference.refused,
            done: self.reference.count("done"),
            rolled_back: self.reference.count("taken back"),
            quarantines: self.watches.iter().map(|w| w.quarantines).sum(),
            convergence_checks: self.convergence_checks,
        }
    }

    /// Takes one random step and lets some time pass.
    pub(super) fn step(&mut self) {
        let node = self.draw(self.watches.len());
        match self.draw(100) {
            0..16 => self.publish_random(),
            16..19 => self.race(),
            19..21 => self.publish_nonsense(),
            21 => self.publish_stale_step(),
            22..30 => self.mesh.kill(node),
            30..44 => self.start(node),
            44..46 => self.restart_domain(),
            46 => self.restart_all(),
            47..51 => self.cut(),
            51..54 => self.mesh.log.is_down = true,
            54..60 => self.mesh.log.is_down = false,
            60..63 => self.mesh.log.reply_loss = 0.5,
            63..66 => self.mesh.log.reply_loss = 0.0,
            66..68 => self.mesh.links.loss = 0.2,
            68..71 => self.mesh.links.loss = 0.0,
            71..79 => self.heal(),
            79..82 => self.trim(),
            82..90 => self.announce_random(node),
            90..92 => self.leave(node),
            _ => {}
        }
        self.observe();
        let millis = self.mesh.rng().random_range(1..MAX_STEP_MILLIS);
        self.mesh.run(Duration::from_millis(millis));
        self.reference.follow(&self.mesh);
    }

    /// Checks every node.
    pub(super) fn check(&mut self) {
        for (node, kernel) in self.mesh.kernels() {
            self.watches[node].check(kernel, &self.reference);
        }
    }

    /// Mends everything and checks that the mesh agrees, and goes on agreeing, within its bounds.
    pub(super) fn rest(&mut self) {
        self.heal();
        self.mesh.links.loss = 0.0;
        self.mesh.log.is_down = false;
        self.mesh.log.reply_loss = 0.0;
        for node in 0..self.watches.len() {
            if self.mesh.kernel(node).is_none() {
                self.start(node);
            }
        }
        self.mesh.run(MEND);
        self.reference.follow(&self.mesh);
        self.check();
        self.check_members();
        self.check_change();
        self.check_out();
        self.check_leave();
        self.convergence_checks += 1;
    }

    /// Checks that every node knows every other and their backend servers.
    fn check_members(&self) {
        for (node, kernel) in self.mesh.kernels() {
            for (other, server) in self.servers.iter().enumerate() {
                let host = &self.mesh.nodes[other].identity.host;
                let member = kernel.shared().view.get(host);
                let member = member.unwrap_or_else(|| panic!("node {node} lacks {host}"));
                assert!(
                    member.is_usable(),
                    "node {node} takes {host} for {:?}",
                    member.status
                );
                assert_eq!(
                    member.backend_server.as_ref(),
                    server.as_ref().map(|s| &s.announced),
                    "node {node} knows the backend server of {host}"
                );
            }
        }
    }

    /// Checks that an accepted change is in force everywhere in time, also when messages are lost.
    fn check_change(&mut self) {
        self.mesh.links.loss = if self.draw(2) == 0 { 0.0 } else { REST_LOSS };
        let service: Name = format!("extra-{}", self.changes % 8).into();
        let operation = Operation::Serve {
            service,
            route: "".into(),
            version: "v1".into(),
        };
        let offset = self.append(vec![operation]);
        let took = self.mesh.run_until(IN_FORCE_AFTER, |mesh| {
            mesh.kernels()
                .all(|(_, kernel)| kernel.shared().tail.state().next > offset)
        });
        assert!(
            took.is_some(),
            "a change is in force everywhere within {IN_FORCE_AFTER:?}"
        );
        self.mesh.links.loss = 0.0;
        self.reference.follow(&self.mesh);
        self.check();
    }

    /// Checks that a failure domain taken out gets no new work, and brings it back.
    fn check_out(&mut self) {
        let failure_domain: Name = format!("domain-{}", self.draw(3)).into();
        self.append(vec![Operation::Out {
            failure_domain: failure_domain.clone(),
        }]);
        self.mesh.run(NO_NEW_WORK_AFTER);
        self.reference.follow(&self.mesh);
        assert!(
            self.reference.state().intent.is_out(&failure_domain),
            "a known failure domain can be taken out"
        );
        for (node, kernel) in self.mesh.kernels() {
            assert!(
                !has_route_to(kernel, |_, domain| *domain == *failure_domain),
                "node {node} sends no new work to {failure_domain} after {NO_NEW_WORK_AFTER:?}"
            );
        }
        self.append(vec![Operation::In { failure_domain }]);
        self.mesh.run(NO_NEW_WORK_AFTER);
        self.reference.follow(&self.mesh);
        self.check();
    }

    /// Checks that a leaving backend server gets no new work.
    fn check_leave(&mut self) {
        let node = self.draw(self.watches.len());
        self.announce(node, SERVICES[0], "v1");
        self.mesh.run(NO_NEW_WORK_AFTER);
        self.leave(node);
        self.mesh.run(NO_NEW_WORK_AFTER);
        let host = self.mesh.nodes[node].identity.host.clone();
        for (other, kernel) in self.mesh.kernels() {
            assert!(
                !has_route_to(kernel, |h, _| *h == *host),
                "node {other} sends no new work to {host} after {NO_NEW_WORK_AFTER:?}"
            );
        }
        self.reference.follow(&self.mesh);
        self.check();
        self.announce(node, SERVICES[node % 2], "v1");
    }

    /// Number below a limit.
    fn draw(&mut self, limit: usize) -> usize {
        self.mesh.rng().random_range(0..limit)
    }

    /// Name out of some.
    fn pick(&mut self, names: &[&'static str]) -> Name {
        (*names.choose(self.mesh.rng()).expect("there are names")).into()
    }

    /// Appends a change on the intent in force.
    fn append(&mut self, operations: Vec<Operation>) -> u64 {
        self.reference.follow(&self.mesh);
        let base = self.reference.state().intent_version;
        self.append_on(base, operations)
    }

    /// Appends a change on a base.
    fn append_on(&mut self, base: u64, operations: Vec<Operation>) -> u64 {
        self.changes += 1;
        let change = Change {
            base,
            author: "operator".into(),
            at: self.mesh.now(),
            operations,
        };
        let id = format!("change-{}", self.changes);
        self.mesh
            .append(CONFIG_STREAM, &id, &record::encode(Body::Change(change)))
    }

    /// Random operation.
    fn operation(&mut self) -> Operation {
        let service = self.pick(&SERVICES);
        let route = self.pick(&ROUTES);
        let now = self.mesh.now();
        match self.draw(10) {
            0..3 => Operation::Serve {
                service,
                route,
                version: "v1".into(),
            },
            3..7 => {
                let serving = self
                    .reference
                    .state()
                    .intent
                    .service(&service)
                    .and_then(|s| s.route(&route))
                    .map(|r| r.version.clone());
                let from = match serving {
                    Some(version) => version,
                    None => self.pick(&VERSIONS),
                };
                let to = self.pick(&VERSIONS);
                let start = now + Duration::from_secs(self.draw(20) as u64);
                let deadline = start + Duration::from_secs(20 + self.draw(200) as u64);
                Operation::Move {
                    service,
                    route,
                    from,
                    to,
                    start,
                    deadline,
                }
            }
            7 => {
                let moves = &self.reference.state().intent.moves;
                let ids: Vec<Name> = moves.iter().map(|m| m.id.clone()).collect();
                let id = ids
                    .choose(self.mesh.rng())
                    .cloned()
                    .unwrap_or_else(|| "none".into());
                Operation::Cancel { id }
            }
            8 => Operation::Out {
                failure_domain: format!("domain-{}", self.draw(4)).into(),
            },
            _ => Operation::In {
                failure_domain: format!("domain-{}", self.draw(4)).into(),
            },
        }
    }

    /// Publishes one to three random operations.
    fn publish_random(&mut self) {
        if self.mesh.log.is_down {
            return;
        }
        let count = 1 + self.draw(3);
        let operations = (0..count).map(|_| self.operation()).collect();
        self.append(operations);
    }

    /// Two operators publish on the same base; at most one may be accepted.
    fn race(&mut self) {
        if self.mesh.log.is_down {
            return;
        }
        self.reference.follow(&self.mesh);
        let base = self.reference.state().intent_version;
        let accepted = self.reference.accepted;
        for _ in 0..2 {
            let operation = self.operation();
            self.append_on(base, vec![operation]);
        }
        self.reference.follow(&self.mesh);
        assert!(
            self.reference.accepted <= accepted + 1,
            "one of two on the same base at most"
        );
    }

    /// Publishes a record that no node can read.
    fn publish_nonsense(&mut self) {
        self.changes += 1;
        let id = format!("nonsense-{}", self.changes);
        let payload = match self.draw(4) {
            0 => "not JSON at all",
            1 => r#"{"schema":9,"body":{"kind":"change"}}"#,
            2 => r#"{"schema":1,"body":{"kind":"change","base":0}}"#,
            _ => {
                r#"{"schema":1,"body":{"kind":"step","term":1,"id":"x","phase":"done","share":1000,"reason":"","at":0}}"#
            }
        };
        self.mesh.append(CONFIG_STREAM, &id, payload);
    }

    /// Publishes a decision under a term that is not in force, as a paused holder would.
    fn publish_stale_step(&mut self) {
        self.reference.follow(&self.mesh);
        let state = self.reference.state();
        let open: Vec<Name> = state
            .intent
            .moves
            .iter()
            .filter(|m| !m.phase.is_ended())
            .map(|m| m.id.clone())
            .collect();
        let in_force = state.lease.term;
        let Some(id) = open.choose(self.mesh.rng()).cloned() else {
            return;
        };
        let step = Step {
            term: if self.draw(2) == 0 {
                in_force.wrapping_sub(1)
            } else {
                in_force + 1
            },
            id,
            phase: Phase::RolledBack,
            share: 0,
            reason: "decided by a holder that was paused".into(),
            at: self.mesh.now(),
        };
        self.changes += 1;
        let id = format!("stale-{}", self.changes);
        self.mesh
            .append(CONFIG_STREAM, &id, &record::encode(Body::Step(step)));
    }

    /// Starts a process on a host; its backend server announces itself to it again.
    fn start(&mut self, node: usize) {
        self.mesh.start(node);
        if let Some(server) = &mut self.servers[node] {
            server.recorder = Recorder::new();
            let event = Event::Announced(Some(server.announced.clone()));
            self.mesh.deliver(node, &event);
        }
    }

    /// Restarts a whole failure domain at once.
    fn restart_domain(&mut self) {
        let failure_domain = format!("domain-{}", self.draw(3));
        for node in self.mesh.nodes_in_domain(&failure_domain) {
            self.start(node);
        }
    }

    /// Restarts every process at once.
    fn restart_all(&mut self) {
        for node in 0..self.watches.len() {
            self.start(node);
        }
    }

    /// Cuts something off.
    fn cut(&mut self) {
        let failure_domain = format!("domain-{}", self.draw(3));
        match self.draw(4) {
            0 => {
                let others = (0..3).map(|i| format!("domain-{i}").into());
                self.mesh.links.partition(&failure_domain, others);
            }
            1 => self.mesh.links.log_partitions.push(failure_domain.into()),
            2 => {
                let pair = ("region-0".into(), "region-1".into());
                self.mesh.links.region_partitions.push(pair);
            }
            _ => {
                let node = self.draw(self.watches.len());
                let host = self.mesh.nodes[node].identity.host.clone();
                self.mesh.links.isolated_hosts.push(host);
            }
        }
    }

    /// Mends every cut.
    fn heal(&mut self) {
        self.mesh.links.heal();
    }

    /// Trims the log as far as the last checkpoint allows.
    fn trim(&mut self) {
        let state = checkpoint::newest_valid_state(self.mesh.log.records(CHECKPOINT_STREAM));
        let Some(state) = state else { return };
        self.reference.follow(&self.mesh);
        self.mesh.log.trim(CONFIG_STREAM, state.next);
        let renewals = self.mesh.log.next(LEASE_STREAM);
        self.mesh.log.trim(LEASE_STREAM, renewals.saturating_sub(2));
        let checkpoints = self.mesh.log.next(CHECKPOINT_STREAM);
        self.mesh
            .log
            .trim(CHECKPOINT_STREAM, checkpoints.saturating_sub(1));
    }

    /// Announces a backend server.
    fn announce(&mut self, node: usize, service: &str, version: &str) {
        let announced = BackendServer {
            service: service.into(),
            version: version.into(),
            slots: 10,
            connections: 130,
            is_draining: false,
        };
        self.servers[node] = Some(Server {
            announced: announced.clone(),
            recorder: Recorder::new(),
        });
        if self.mesh.kernel(node).is_some() {
            self.mesh.deliver(node, &Event::Announced(Some(announced)));
        }
    }

    /// Announces a random backend server.
    fn announce_random(&mut self, node: usize) {
        let (service, version) = (self.pick(&SERVICES), self.pick(&VERSIONS));
        self.announce(node, &service, &version);
    }

    /// Lets a backend server leave; it drains and is gone.
    fn leave(&mut self, node: usize) {
        let Some(server) = self.servers[node].take() else {
            return;
        };
        if self.mesh.kernel(node).is_none() {
            return;
        }
        let draining = BackendServer {
            is_draining: true,
            ..server.announced
        };
        self.mesh.deliver(node, &Event::Announced(Some(draining)));
        self.mesh.run(Duration::from_millis(500));
        if self.mesh.kernel(node).is_some() {
            self.mesh.deliver(node, &Event::Announced(None));
        }
    }

    /// Lets backend servers answer calls and hands their owners' counts to the kernels.
    fn observe(&mut self) {
        for node in 0..self.servers.len() {
            let calls = self.mesh.rng().random_range(CALLS);
            let draws: Vec<f64> = (0..calls).map(|_| self.mesh.rng().random()).collect();
            let Some(server) = &self.servers[node] else {
                continue;
            };
            let Some(kernel) = self.mesh.kernel(node) else {
                continue;
            };
            let is_bad = &*server.announced.version == "bad";
            for draw in draws {
                let is_failed = draw < if is_bad { 0.6 } else { 0.01 };
                let outcome = if is_failed {
                    Outcome::Error
                } else {
                    Outcome::Ok
                };
                server
                    .recorder
                    .record("", outcome, Duration::from_micros(4_000));
            }
            let incarnation = kernel.shared().identity.incarnation;
            let host = &self.mesh.nodes[node].identity.host;
            let announced = &server.announced;
            let report =
                server
                    .recorder
                    .report(host, incarnation, &announced.service, &announced.version);
            self.mesh.deliver(node, &Event::EvidenceCollected(report));
        }
    }
}
