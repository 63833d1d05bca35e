//! Simulated mesh with operators and backend servers, and the random steps that act on them.

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
use super::check::{MAX_DRAIN_DELAY, MAX_PROPAGATION_TIME, NodeHistory, Reference, has_route_to};
use crate::harness::{Mesh, MeshConfig};

/// Services in the operators' changes.
const SERVICES: [&str; 3] = ["card-desk", "proof-vault", "rungs"];

/// Versions in the operators' changes; backend servers of version "bad" fail most of their calls.
const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "bad"];

/// Routes in the operators' changes; the empty route is drawn more often.
const ROUTES: [&str; 3] = ["", "", "/seeding"];

/// Number of calls that a backend server serves in one step.
const CALLS_PER_STEP: std::ops::Range<usize> = 0..60;

/// Upper bound on the duration of one step, in milliseconds.
const MAX_STEP_MS: u64 = 3_000;

/// Probability of message loss in half of the checks that a change propagates.
const CONVERGENCE_LOSS: f64 = 0.2;

/// Time between the removal of all faults and the convergence check, in which members that were
/// partitioned away rejoin.
const RECOVERY_TIME: Duration = Duration::from_secs(90);

/// A backend server and the evidence that its owner recorded.
struct Server {
    /// Announcement to its owner.
    announced: BackendServer,
    /// Call outcomes recorded by its owner.
    recorder: Recorder,
}

/// State of the simulation of one seed.
pub(super) struct Simulation {
    /// Simulated mesh.
    mesh: Mesh,
    /// Expected state of the nodes.
    reference: Reference,
    /// Observations by node.
    histories: Vec<NodeHistory>,
    /// Backend servers by node; `None` where none is announced.
    servers: Vec<Option<Server>>,
    /// Number of records appended by operators; makes their identifiers unique.
    changes: u64,
    /// Number of convergence checks that passed.
    convergence_checks: u64,
}

impl Simulation {
    /// Creates the mesh of a seed, announces its backend servers and lets it settle.
    pub(super) fn new(seed: u64) -> Self {
        let nodes = 6 + (seed % 4) as usize * 3;
        let config = MeshConfig {
            failure_domains: 3,
            regions: 1 + (seed % 3) as usize,
            ..MeshConfig::new(nodes, seed, node::register)
        };
        let mesh = Mesh::new(&config);
        let mut simulation = Self {
            mesh,
            reference: Reference::default(),
            histories: (0..nodes).map(|_| NodeHistory::default()).collect(),
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

    /// Returns the totals so far; the caller fills in the steps.
    pub(super) fn tally(&self) -> Tally {
        Tally {
            steps: 0,
            records: self.mesh.log.next(CONFIG_STREAM),
            accepted: self.reference.accepted,
            refused: self.reference.refused,
            done: self.reference.count("done"),
            rolled_back: self.reference.count("taken back"),
            quarantines: self
                .histories
                .iter()
                .map(|history| history.quarantines)
                .sum(),
            convergence_checks: self.convergence_checks,
        }
    }

    /// Executes one random step and advances time.
    pub(super) fn step(&mut self) {
        let node = self.random_below(self.histories.len());
        match self.random_below(100) {
            0..16 => self.publish_random(),
            16..19 => self.publish_conflicting(),
            19..21 => self.publish_invalid(),
            21 => self.publish_stale_step(),
            22..30 => self.mesh.kill(node),
            30..44 => self.start(node),
            44..46 => self.restart_domain(),
            46 => self.restart_all(),
            47..51 => self.partition_random(),
            51..54 => self.mesh.log.is_down = true,
            54..60 => self.mesh.log.is_down = false,
            60..63 => self.mesh.log.reply_loss = 0.5,
            63..66 => self.mesh.log.reply_loss = 0.0,
            66..68 => self.mesh.links.loss = 0.2,
            68..71 => self.mesh.links.loss = 0.0,
            71..79 => self.heal(),
            79..82 => self.trim_log(),
            82..90 => self.announce_random(node),
            90..92 => self.withdraw(node),
            _ => {}
        }
        self.report_evidence();
        let millis = self.mesh.rng().random_range(1..MAX_STEP_MS);
        self.mesh.run(Duration::from_millis(millis));
        self.reference.fold_new_records(&self.mesh);
    }

    /// Checks the invariants of every node.
    pub(super) fn check(&mut self) {
        for (node, kernel) in self.mesh.kernels() {
            self.histories[node].check(kernel, &self.reference);
        }
    }

    /// Removes all faults and checks that the mesh converges, and that later changes take effect
    /// within their bounds.
    pub(super) fn check_convergence(&mut self) {
        self.heal();
        self.mesh.links.loss = 0.0;
        self.mesh.log.is_down = false;
        self.mesh.log.reply_loss = 0.0;
        for node in 0..self.histories.len() {
            if self.mesh.kernel(node).is_none() {
                self.start(node);
            }
        }
        self.mesh.run(RECOVERY_TIME);
        self.reference.fold_new_records(&self.mesh);
        self.check();
        self.check_members();
        self.check_change();
        self.check_domain_outage();
        self.check_withdrawal();
        self.convergence_checks += 1;
    }

    /// Checks that every node has every other in its view, with its backend server.
    fn check_members(&self) {
        for (node, kernel) in self.mesh.kernels() {
            for (other, server) in self.servers.iter().enumerate() {
                let host = &self.mesh.nodes[other].identity.host;
                let member = kernel.shared().view.get(host);
                let member = member
                    .unwrap_or_else(|| panic!("{host} is missing from the view of node {node}"));
                assert!(
                    member.is_usable(),
                    "node {node} has {host} as {:?}",
                    member.status
                );
                assert_eq!(
                    member.backend_server.as_ref(),
                    server.as_ref().map(|s| &s.announced),
                    "node {node} has the backend server of {host} in its view"
                );
            }
        }
    }

    /// Checks that an accepted change is in force on every node in time, also under message loss.
    fn check_change(&mut self) {
        self.mesh.links.loss = if self.random_below(2) == 0 {
            0.0
        } else {
            CONVERGENCE_LOSS
        };
        let service: Name = format!("extra-{}", self.changes % 8).into();
        let operation = Operation::Serve {
            service,
            route: "".into(),
            version: "v1".into(),
        };
        let offset = self.append(vec![operation]);
        let elapsed = self.mesh.run_until(MAX_PROPAGATION_TIME, |mesh| {
            mesh.kernels()
                .all(|(_, kernel)| kernel.shared().tail.state().next > offset)
        });
        assert!(
            elapsed.is_some(),
            "a change is in force on every node within {MAX_PROPAGATION_TIME:?}"
        );
        self.mesh.links.loss = 0.0;
        self.reference.fold_new_records(&self.mesh);
        self.check();
    }

    /// Checks that a failure domain taken out of service gets no new calls, then returns it to
    /// service.
    fn check_domain_outage(&mut self) {
        let failure_domain: Name = format!("domain-{}", self.random_below(3)).into();
        self.append(vec![Operation::Out {
            failure_domain: failure_domain.clone(),
        }]);
        self.mesh.run(MAX_DRAIN_DELAY);
        self.reference.fold_new_records(&self.mesh);
        assert!(
            self.reference.state().intent.is_out(&failure_domain),
            "a known failure domain can be taken out of service"
        );
        for (node, kernel) in self.mesh.kernels() {
            assert!(
                !has_route_to(kernel, |_, domain| *domain == *failure_domain),
                "node {node} routes no new calls to {failure_domain} after {MAX_DRAIN_DELAY:?}"
            );
        }
        self.append(vec![Operation::In { failure_domain }]);
        self.mesh.run(MAX_DRAIN_DELAY);
        self.reference.fold_new_records(&self.mesh);
        self.check();
    }

    /// Checks that a leaving backend server gets no new calls.
    fn check_withdrawal(&mut self) {
        let node = self.random_below(self.histories.len());
        self.announce(node, SERVICES[0], "v1");
        self.mesh.run(MAX_DRAIN_DELAY);
        self.withdraw(node);
        self.mesh.run(MAX_DRAIN_DELAY);
        let host = self.mesh.nodes[node].identity.host.clone();
        for (other, kernel) in self.mesh.kernels() {
            assert!(
                !has_route_to(kernel, |h, _| *h == *host),
                "node {other} routes no new calls to {host} after {MAX_DRAIN_DELAY:?}"
            );
        }
        self.reference.fold_new_records(&self.mesh);
        self.check();
        self.announce(node, SERVICES[node % 2], "v1");
    }

    /// Returns a random number below a limit.
    fn random_below(&mut self, limit: usize) -> usize {
        self.mesh.rng().random_range(0..limit)
    }

    /// Returns a random one of some names.
    fn random_name(&mut self, names: &[&'static str]) -> Name {
        (*names
            .choose(self.mesh.rng())
            .expect("the list of names is not empty"))
        .into()
    }

    /// Appends an operator's change based on the current intent version and returns its offset.
    fn append(&mut self, operations: Vec<Operation>) -> u64 {
        self.reference.fold_new_records(&self.mesh);
        let base = self.reference.state().intent_version;
        self.append_on(base, operations)
    }

    /// Appends an operator's change based on a given intent version and returns its offset.
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

    /// Returns a random operation, which may be invalid in the current state.
    fn random_operation(&mut self) -> Operation {
        let service = self.random_name(&SERVICES);
        let route = self.random_name(&ROUTES);
        let now = self.mesh.now();
        match self.random_below(10) {
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
                    None => self.random_name(&VERSIONS),
                };
                let to = self.random_name(&VERSIONS);
                let start = now + Duration::from_secs(self.random_below(20) as u64);
                let deadline = start + Duration::from_secs(20 + self.random_below(200) as u64);
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
                failure_domain: format!("domain-{}", self.random_below(4)).into(),
            },
            _ => Operation::In {
                failure_domain: format!("domain-{}", self.random_below(4)).into(),
            },
        }
    }

    /// Publishes a change of one to three random operations.
    fn publish_random(&mut self) {
        if self.mesh.log.is_down {
            return;
        }
        let count = 1 + self.random_below(3);
        let operations = (0..count).map(|_| self.random_operation()).collect();
        self.append(operations);
    }

    /// Publishes two changes on the same base version, of which at most one may be accepted.
    fn publish_conflicting(&mut self) {
        if self.mesh.log.is_down {
            return;
        }
        self.reference.fold_new_records(&self.mesh);
        let base = self.reference.state().intent_version;
        let accepted = self.reference.accepted;
        for _ in 0..2 {
            let operation = self.random_operation();
            self.append_on(base, vec![operation]);
        }
        self.reference.fold_new_records(&self.mesh);
        assert!(
            self.reference.accepted <= accepted + 1,
            "at most one of two changes on the same base is accepted"
        );
    }

    /// Publishes a record that is not JSON, has an unknown schema or is incomplete, or a step of an
    /// unknown move.
    fn publish_invalid(&mut self) {
        self.changes += 1;
        let id = format!("nonsense-{}", self.changes);
        let payload = match self.random_below(4) {
            0 => "not JSON at all",
            1 => r#"{"schema":9,"body":{"kind":"change"}}"#,
            2 => r#"{"schema":1,"body":{"kind":"change","base":0}}"#,
            _ => {
                r#"{"schema":1,"body":{"kind":"step","term":1,"id":"x","phase":"done","share":1000,"reason":"","at":0}}"#
            }
        };
        self.mesh.append(CONFIG_STREAM, &id, payload);
    }

    /// Publishes a step under a term that is not in force, as a lease holder would after a pause.
    fn publish_stale_step(&mut self) {
        self.reference.fold_new_records(&self.mesh);
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
            term: if self.random_below(2) == 0 {
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

    /// Starts a process on a host, to which its backend server announces itself again.
    fn start(&mut self, node: usize) {
        self.mesh.start(node);
        if let Some(server) = &mut self.servers[node] {
            server.recorder = Recorder::new();
            let event = Event::Announced(Some(server.announced.clone()));
            self.mesh.deliver(node, &event);
        }
    }

    /// Restarts all processes of a failure domain at the same time.
    fn restart_domain(&mut self) {
        let failure_domain = format!("domain-{}", self.random_below(3));
        for node in self.mesh.nodes_in_domain(&failure_domain) {
            self.start(node);
        }
    }

    /// Restarts all processes at the same time.
    fn restart_all(&mut self) {
        for node in 0..self.histories.len() {
            self.start(node);
        }
    }

    /// Adds a random partition: a failure domain from the others or from the log, two regions from
    /// each other, or a host from everything.
    fn partition_random(&mut self) {
        let failure_domain = format!("domain-{}", self.random_below(3));
        match self.random_below(4) {
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
                let node = self.random_below(self.histories.len());
                let host = self.mesh.nodes[node].identity.host.clone();
                self.mesh.links.isolated_hosts.push(host);
            }
        }
    }

    /// Removes every partition.
    fn heal(&mut self) {
        self.mesh.links.heal();
    }

    /// Trims the log up to the last valid checkpoint.
    fn trim_log(&mut self) {
        let state = checkpoint::newest_valid_state(self.mesh.log.records(CHECKPOINT_STREAM));
        let Some(state) = state else { return };
        self.reference.fold_new_records(&self.mesh);
        self.mesh.log.trim(CONFIG_STREAM, state.next);
        let renewals = self.mesh.log.next(LEASE_STREAM);
        self.mesh.log.trim(LEASE_STREAM, renewals.saturating_sub(2));
        let checkpoints = self.mesh.log.next(CHECKPOINT_STREAM);
        self.mesh
            .log
            .trim(CHECKPOINT_STREAM, checkpoints.saturating_sub(1));
    }

    /// Announces a backend server to the node on its host, if that is running.
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

    /// Announces a backend server of a random service and version.
    fn announce_random(&mut self, node: usize) {
        let (service, version) = (self.random_name(&SERVICES), self.random_name(&VERSIONS));
        self.announce(node, &service, &version);
    }

    /// Makes a backend server leave: it drains, then withdraws its announcement.
    fn withdraw(&mut self, node: usize) {
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

    /// Simulates calls on all backend servers and reports their outcomes to the owners' kernels.
    fn report_evidence(&mut self) {
        for node in 0..self.servers.len() {
            let calls = self.mesh.rng().random_range(CALLS_PER_STEP);
            let samples: Vec<f64> = (0..calls).map(|_| self.mesh.rng().random()).collect();
            let Some(server) = &self.servers[node] else {
                continue;
            };
            let Some(kernel) = self.mesh.kernel(node) else {
                continue;
            };
            let is_bad = &*server.announced.version == "bad";
            for sample in samples {
                let is_failed = sample < if is_bad { 0.6 } else { 0.01 };
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
