//! Invariants across nodes, and of each process over time.

use std::time::Duration;

use buckthorn::config::intent::{FULL_SHARE, Intent};
use buckthorn::journal::fold::{Outcome, State};
use buckthorn::journal::record::{self, Body, CONFIG_STREAM, Record};
use buckthorn::kernel::Kernel;
use buckthorn::name::Name;
use buckthorn::routing::load::Registry;
use buckthorn::routing::table::Table;

use crate::harness::Mesh;

/// Time after which no reachable node routes new calls to a failure domain that was taken out of
/// service or to a backend server that is leaving.
pub(super) const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);

/// Time after which an accepted change is in force on every reachable node.
pub(super) const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(10);

/// Fold of the whole, untrimmed log; the expected state of every node at each offset.
#[derive(Debug, Default)]
pub(super) struct Reference {
    /// State after the last record.
    state: State,
    /// Hash of the state by next offset, starting with the empty state.
    hashes: Vec<u64>,
    /// Number of operators' changes that were accepted.
    pub(super) accepted: u64,
    /// Number of records that were refused.
    pub(super) refused: u64,
    /// Moves that have ended, with the text of their final phase.
    ended: Vec<(Name, &'static str)>,
}

impl Reference {
    /// Returns the state after the last record.
    pub(super) fn state(&self) -> &State {
        &self.state
    }

    /// Returns the number of moves that ended in a phase, given by its text.
    pub(super) fn count(&self, phase: &str) -> u64 {
        self.ended.iter().filter(|(_, p)| *p == phase).count() as u64
    }

    /// Folds the records appended since the previous call.
    pub(super) fn fold_new_records(&mut self, mesh: &Mesh) {
        if self.hashes.is_empty() {
            self.hashes.push(hash(&self.state));
        }
        let records = mesh.log.records(CONFIG_STREAM);
        let fresh = records
            .iter()
            .filter(|r| r.offset >= self.state.next)
            .cloned();
        for record in fresh.collect::<Vec<_>>() {
            self.fold(&record);
        }
    }

    /// Folds one record and checks the invariants of the fold.
    fn fold(&mut self, record: &Record) {
        let before = self.state.clone();
        let outcome = self.state.apply(record);
        let after = &self.state;
        match &outcome {
            Outcome::Applied => {
                assert_eq!(
                    after.version,
                    record.offset + 1,
                    "the version is the record's offset plus one"
                );
                self.accepted += u64::from(matches!(
                    record::decode(&record.payload),
                    Ok(Body::Change(_))
                ));
            }
            Outcome::Refused(_) => {
                self.refused += 1;
                assert_eq!(
                    before.intent, after.intent,
                    "a refused record changes no intent"
                );
                assert_eq!(
                    before.version, after.version,
                    "a refused record changes no version"
                );
            }
            Outcome::Accepted | Outcome::Duplicate => {
                assert_eq!(
                    before.intent, after.intent,
                    "an accepted or duplicate record changes no intent"
                );
            }
            Outcome::Gap => panic!("the reference found a gap at offset {}", record.offset),
        }
        check_fencing(&before, &self.state, record, &outcome);
        self.check_ended_moves(&before.intent);
        self.hashes.push(hash(&self.state));
        assert_eq!(
            self.hashes.len() as u64,
            self.state.next + 1,
            "there is one hash per offset"
        );
    }

    /// Checks that ended moves never change, and records the moves that ended.
    fn check_ended_moves(&mut self, before: &Intent) {
        for entry in &self.state.intent.moves {
            let previous = before.find_move(&entry.id);
            if let Some(previous) = previous.filter(|previous| previous.phase.is_ended()) {
                assert_eq!(previous, entry, "an ended move never changes");
            } else if entry.phase.is_ended() {
                self.ended.push((entry.id.clone(), entry.phase.as_str()));
            }
        }
    }

    /// Checks that a node's state equals the reference at the same offset.
    pub(super) fn check_state(&self, state: &State) {
        let at = state.next as usize;
        assert!(at < self.hashes.len(), "a node is not ahead of the log");
        assert_eq!(
            hash(state),
            self.hashes[at],
            "nodes at the same offset have the same state"
        );
    }
}

/// Checks that steps take effect only under the current lease term, and that a claim replaces that
/// term with the next one.
fn check_fencing(before: &State, after: &State, record: &Record, outcome: &Outcome) {
    let is_effective = matches!(outcome, Outcome::Applied | Outcome::Accepted);
    match record::decode(&record.payload) {
        Ok(Body::Step(step)) if is_effective => {
            assert_eq!(
                step.term, before.lease.term,
                "a step under another term has no effect"
            );
        }
        Ok(Body::Claim(claim)) if is_effective => {
            assert_eq!(
                claim.replaces, before.lease.term,
                "a claim names the term it replaces"
            );
            assert_eq!(
                after.lease.term,
                before.lease.term + 1,
                "terms increase by one"
            );
        }
        _ => assert_eq!(before.lease, after.lease, "only a claim changes the lease"),
    }
}

/// Incarnation and sequence number of a member, which order its updates.
type Rank = (u64, u64);

/// Returns the hash of a state's JSON encoding.
fn hash(state: &State) -> u64 {
    let text = serde_json::to_string(state).expect("states encode as JSON");
    buckthorn::name::hash(&text)
}

/// Observations of one node since its current process started.
#[derive(Debug, Default)]
pub(super) struct NodeHistory {
    /// Incarnation of the observed process.
    incarnation: u64,
    /// Highest configuration version observed.
    version: u64,
    /// Highest next offset observed.
    next: u64,
    /// Active moves observed in quarantine.
    quarantined: Vec<Name>,
    /// Rank of each member in the last observed view, sorted by host.
    ranks: Vec<(Name, Rank)>,
    /// Endpoint loads for building its routing tables.
    loads: Registry,
    /// Number of quarantines observed, over all processes of the node.
    pub(super) quarantines: u64,
}

impl NodeHistory {
    /// Checks a node after a step.
    pub(super) fn check(&mut self, kernel: &Kernel, reference: &Reference) {
        let shared = kernel.shared();
        let state = shared.tail.state();
        if self.incarnation != shared.identity.incarnation {
            let quarantines = self.quarantines;
            *self = Self {
                incarnation: shared.identity.incarnation,
                quarantines,
                ..Self::default()
            };
        }
        assert!(
            state.version >= self.version,
            "a node never returns to an older version"
        );
        assert!(
            state.next >= self.next,
            "the fold's next offset never decreases"
        );
        (self.version, self.next) = (state.version, state.next);
        reference.check_state(state);
        self.check_ranks(kernel);
        self.check_quarantine(kernel);
        if shared.is_synced {
            self.check_table(kernel);
        }
    }

    /// Checks that no member's rank decreases while it stays in the view.
    fn check_ranks(&mut self, kernel: &Kernel) {
        let current: Vec<(Name, Rank)> = kernel
            .shared()
            .view
            .members()
            .map(|member| (member.host.clone(), (member.incarnation, member.sequence)))
            .collect();
        for (host, rank) in &current {
            let before = self.ranks.binary_search_by(|(h, _)| h.cmp(host));
            if let Ok(index) = before {
                assert!(
                    *rank >= self.ranks[index].1,
                    "a member's rank in the view never decreases"
                );
            }
        }
        self.ranks = current;
    }

    /// Checks that a move stays in quarantine until the fold has its end.
    fn check_quarantine(&mut self, kernel: &Kernel) {
        let shared = kernel.shared();
        let intent = &shared.tail.state().intent;
        let is_active = |id: &Name| intent.find_move(id).is_some_and(|m| !m.phase.is_ended());
        for id in &self.quarantined {
            assert!(
                !is_active(id) || shared.quarantine.is_quarantined(id),
                "a quarantine lasts until the log ends the move"
            );
        }
        self.quarantined.retain(is_active);
        for entry in intent
            .moves
            .iter()
            .filter(|m| shared.quarantine.is_quarantined(&m.id))
        {
            if is_active(&entry.id) && !self.quarantined.contains(&entry.id) {
                self.quarantined.push(entry.id.clone());
                self.quarantines += 1;
            }
        }
    }

    /// Checks the routing table that a node would build from its state.
    fn check_table(&mut self, kernel: &Kernel) {
        let shared = kernel.shared();
        let table = table(kernel, &mut self.loads);
        for service in &table.services {
            for route in &service.routes {
                let sum: u16 = route.shares.iter().map(|s| s.permille).sum();
                assert_eq!(sum, FULL_SHARE, "the shares of a route add up to the whole");
                for share in &route.shares {
                    let is_contained = share
                        .move_id
                        .as_ref()
                        .is_some_and(|id| shared.quarantine.is_quarantined(id));
                    assert!(!is_contained, "a quarantined version holds no share");
                    for endpoint in &share.endpoints {
                        let member = shared.view.get(&endpoint.host);
                        let member = member.expect("a route leads only to known hosts");
                        let server = member.backend_server.as_ref();
                        let server =
                            server.expect("a route leads only to hosts with a backend server");
                        assert!(member.is_usable(), "a route leads only to live hosts");
                        assert!(
                            !server.is_draining,
                            "no route leads to a draining backend server"
                        );
                        assert!(
                            server.service == service.name && server.version == share.version,
                            "a route leads to backend servers of its service and version"
                        );
                        assert!(
                            !shared.tail.state().intent.is_out(&member.failure_domain),
                            "no route leads to a failure domain that is out of service"
                        );
                    }
                }
            }
        }
    }
}

/// Builds the routing table that a node would have in force.
pub(super) fn table(kernel: &Kernel, loads: &mut Registry) -> Table {
    let shared = kernel.shared();
    Table::build(
        shared.tail.state(),
        &shared.view,
        &shared.quarantine,
        loads,
        &shared.identity.failure_domain,
        &shared.identity.region,
    )
}

/// Returns whether any route of a node leads to an endpoint whose host and failure domain match.
pub(super) fn has_route_to(kernel: &Kernel, matches: impl Fn(&str, &str) -> bool) -> bool {
    table(kernel, &mut Registry::default())
        .services
        .iter()
        .any(|service| {
            service
                .routes
                .iter()
                .flat_map(|route| &route.shares)
                .any(|share| {
                    share.permille > 0
                        && share
                            .endpoints
                            .iter()
                            .any(|e| matches(&e.host, &e.failure_domain))
                })
        })
}
