//! A folded state to which tests apply records.

use buckthorn::clock::Time;
use buckthorn::config::change::Change;
use buckthorn::config::intent::{FULL_SHARE, Phase};
use buckthorn::journal::fold::{Outcome, State};
use buckthorn::journal::record::{self, Body, Claim, DomainRegistration, Record, Step};

/// State under test.
pub(crate) struct StateFixture {
    /// State folded so far.
    pub(crate) state: State,
}

impl StateFixture {
    /// State with failure domains and a lease.
    pub(crate) fn new(failure_domains: &[&str]) -> Self {
        let mut fixture = Self {
            state: State::new(),
        };
        for name in failure_domains {
            let domain = DomainRegistration {
                name: (*name).into(),
                region: "bc-lower".into(),
            };
            fixture.push(Body::Domain(domain));
        }
        let claim = Claim {
            host: "host-1".into(),
            replaces: 0,
            at: Time(1),
        };
        fixture.push(Body::Claim(claim));
        fixture
    }

    /// Applies an operators' change.
    pub(crate) fn change(&mut self, change: Change) -> Outcome {
        self.push(Body::Change(change))
    }

    /// Applies a controller's decision and asserts that it is accepted.
    pub(crate) fn step(&mut self, id: &str, phase: Phase, share: u16) {
        let step = Step {
            term: self.state.lease.term,
            id: id.into(),
            phase,
            share,
            reason: "as planned".into(),
            at: Time(2),
        };
        assert_eq!(self.push(Body::Step(step)), Outcome::Applied);
    }

    /// Advances one of the open moves by up to three steps, or rolls it back if `steps` is 5.
    pub(crate) fn advance_a_move(&mut self, which: usize, steps: usize) {
        let open = self
            .state
            .intent
            .moves
            .iter()
            .filter(|m| !m.phase.is_ended());
        let Some(id) = open.map(|m| m.id.clone()).nth(which) else {
            return;
        };
        let path = [
            (Phase::Shifting, 10),
            (Phase::Watching, FULL_SHARE),
            (Phase::Done, FULL_SHARE),
        ];
        if steps == 5 {
            return self.step(&id, Phase::RolledBack, 0);
        }
        for &(phase, share) in path.iter().take(steps) {
            let entry = self.state.intent.find_move(&id).unwrap();
            if entry.phase == Phase::Watching && phase != Phase::Done {
                continue;
            }
            if entry.phase == Phase::Waiting && !self.state.intent.is_startable(entry) {
                return;
            }
            self.step(&id, phase, share.max(entry.share));
        }
    }

    /// Applies a record.
    fn push(&mut self, body: Body) -> Outcome {
        let offset = self.state.next;
        let record = Record {
            offset,
            id: format!("id-{offset}").into(),
            payload: record::encode(body).into(),
        };
        self.state.apply(&record)
    }
}
