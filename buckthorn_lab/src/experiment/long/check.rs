//! Invariants across nodes, and within one process over time.

use std::time::Duration;

use buckthorn::config::intent::{FULL_SHARE, Intent};
use buckthorn::journal::fold::{Outcome, State};
use buckthorn::journal::record::{self, Body, CONFIG_STREAM, Record};
use buckthorn::kernel::Kernel;
use buckthorn::name::Name;
use buckthorn::routing::load::Registry;
use buckthorn::routing::table::Table;

use crate::harness::Mesh;

/// Time within which a failure domain that was taken out, or a backend server that leaves, gets no
/// new work from a node that can be reached.
pub(super) const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);

/// Time within which an accepted change is in force on every node that can be reached.
pub(super) const IN_FORCE_AFTER: Duration = Duration::from_secs(10);

/// Fold of the whole log, never trimmed, against which every node is held.
#[derive(Debug, Default)]
pub(super) struct Reference {
    /// State after the last record.
    state: State,
    /// Hash of the state after each offset.
    hashes: Vec<u64>,
    /// Changes of operators accepted.
    pub(super) accepted: u64,
    /// Records refused.
    pub(super) refused: u64,
    /// Moves that have ended, with how.
    ended: Vec<(Name, &'static str)>,
}

impl Reference {
    /// State after the last record.
    pub(super) fn state(&self) -> &State {
        &self.state
    }

    /// Moves that ended with a word.
    pub(super) fn count(&self, word: &str) -> u64 {
        self.ended.iter().filter(|(_, w)| *w == word).count() as u64
    }

    /// Folds the records that came since the last time.
    pub(super) fn follow(&mut self, mesh: &Mesh) {
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

    /// Folds one record and checks what a fold must keep.
    fn fold(&mut self, record: &Record) {
        let before = self.state.clone();
        let outcome = self.state.apply(record);
        let after = &self.state;
        match &outcome {
            Outcome::Applied => {
                assert_eq!(
                    after.version,
                    record.offset + 1,
                    "a version is its offset and one"
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
                    "a noted record changes no intent"
                );
            }
            Outcome::Gap => panic!("the reference saw a gap at {}", record.offset),
        }
        check_fencing(&before, &self.state, record, &outcome);
        self.check_ended(&before.intent);
        self.hashes.push(hash(&self.state));
        assert_eq!(
            self.hashes.len() as u64,
            self.state.next + 1,
            "one hash an offset"
        );
    }

    /// Checks that no move comes back after it ended.
    fn check_ended(&mut self, before: &Intent) {
        for entry in &self.state.intent.moves {
            let was = before.find_move(&entry.id);
            if let Some(was) = was.filter(|was| was.phase.is_ended()) {
                assert_eq!(was, entry, "an ended move never changes");
            } else if entry.phase.is_ended() {
                self.ended.push((entry.id.clone(), entry.phase.as_str()));
            }
        }
    }

    /// Checks that a node's state is the one that the log gives at its offset.
    pub(super) fn check_state(&self, state: &State) {
        let at = state.next as usize;
        assert!(
            at < self.hashes.len(),
            "a node is no further on than the log"
        );
        assert_eq!(
            hash(state),
            self.hashes[at],
            "equal offsets mean equal states"
        );
    }
}

/// Checks that a decision takes effect under the term in force only, and that a claim replaces it.
fn check_fencing(before: &State, after: &State, record: &Record, outcome: &Outcome) {
    let took_effect = matches!(outcome, Outcome::Applied | Outcome::Accepted);
    match record::decode(&record.payload) {
        Ok(Body::Step(step)) if took_effect => {
            assert_eq!(
                step.term, before.lease.term,
                "a decision of another term is dropped"
            );
        }
        Ok(Body::Claim(claim)) if took_effect => {
            assert_eq!(
                claim.replaces, before.lease.term,
                "a claim names the term it replaces"
            );
            assert_eq!(
                after.lease.term,
                before.lease.term + 1,
                "terms rise one by one"
            );
        }
        _ => assert_eq!(before.lease, after.lease, "only a claim changes the lease"),
    }
}

/// Incarnation and sequence of a member.
type Rank = (u64, u64);

/// Hash of a state.
fn hash(state: &State) -> u64 {
    let text = serde_json::to_string(state).expect("states encode as JSON");
    buckthorn::name::hash(&text)
}

/// What one process showed so far.
#[derive(Debug, Default)]
pub(super) struct Watch {
    /// Incarnation of the process.
    incarnation: u64,
    /// Highest configuration version shown.
    version: u64,
    /// Highest next offset shown.
    next: u64,
    /// Moves shown as quarantined.
    quarantined: Vec<Name>,
    /// Rank of each member shown, sorted by host.
    ranks: Vec<(Name, Rank)>,
    /// Loads of its tables.
    loads: Registry,
    /// Quarantines seen.
    pub(super) quarantines: u64,
}

impl Watch {
    /// Checks one node after a step.
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
            "a node never goes back to an older version"
        );
        assert!(state.next >= self.next, "a fold never goes back");
        (self.version, self.next) = (state.version, state.next);
        reference.check_state(state);
        self.check_ranks(kernel);
        self.check_quarantine(kernel);
        if shared.is_synced {
            self.check_table(kernel);
        }
    }

    /// Checks that no entry of the view goes back while it is held.
    fn check_ranks(&mut self, kernel: &Kernel) {
        let shown: Vec<(Name, Rank)> = kernel
            .shared()
            .view
            .members()
            .map(|member| (member.host.clone(), (member.incarnation, member.sequence)))
            .collect();
        for (host, rank) in &shown {
            let before = self.ranks.binary_search_by(|(h, _)| h.cmp(host));
            if let Ok(index) = before {
                assert!(
                    *rank >= self.ranks[index].1,
                    "an entry of the view never goes back"
                );
            }
        }
        self.ranks = shown;
    }

    /// Checks that a quarantine only tightens until the fold knows the move's end.
    fn check_quarantine(&mut self, kernel: &Kernel) {
        let shared = kernel.shared();
        let intent = &shared.tail.state().intent;
        let is_open = |id: &Name| intent.find_move(id).is_some_and(|m| !m.phase.is_ended());
        for id in &self.quarantined {
            assert!(
                !is_open(id) || shared.quarantine.is_quarantined(id),
                "a quarantine only tightens until the log ends it"
            );
        }
        self.quarantined.retain(is_open);
        for entry in intent
            .moves
            .iter()
            .filter(|m| shared.quarantine.is_quarantined(&m.id))
        {
            if is_open(&entry.id) && !self.quarantined.contains(&entry.id) {
                self.quarantined.push(entry.id.clone());
                self.quarantines += 1;
            }
        }
    }

    /// Checks the table that a node would have in force.
    fn check_table(&mut self, kernel: &Kernel) {
        let shared = kernel.shared();
        let table = table(kernel, &mut self.loads);
        for service in &table.services {
            for route in &service.routes {
                let sum: u16 = route.shares.iter().map(|s| s.permille).sum();
                assert_eq!(sum, FULL_SHARE, "shares of a route are the whole");
                for share in &route.shares {
                    let is_contained = share
                        .move_id
                        .as_ref()
                        .is_some_and(|id| shared.quarantine.is_quarantined(id));
                    assert!(!is_contained, "a quarantined version holds no share");
                    for endpoint in &share.endpoints {
                        let member = shared.view.get(&endpoint.host);
                        let member = member.expect("a route points at known hosts only");
                        let server = member.backend_server.as_ref();
                        let server = server.expect("a route points at backend servers only");
                        assert!(member.is_usable(), "a route points at live hosts only");
                        assert!(!server.is_draining, "a leaving backend server has no route");
                        assert!(
                            server.service == service.name && server.version == share.version,
                            "a route points at servers of its version"
                        );
                        assert!(
                            !shared.tail.state().intent.is_out(&member.failure_domain),
                            "a failure domain that is out has no route"
                        );
                    }
                }
            }
        }
    }
}

/// Table that a node would have in force.
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

/// Whether any route of a node leads to a host for which `is_meant` holds.
pub(super) fn has_route_to(kernel: &Kernel, is_meant: impl Fn(&str, &str) -> bool) -> bool {
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
                            .any(|e| is_meant(&e.host, &e.failure_domain))
                })
        })
}
