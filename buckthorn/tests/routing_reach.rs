//! Hosts and failure domains that do not respond, in virtual time.

mod routing_support;

use std::time::Duration;

use buckthorn::admission::capacity::Kind;
use buckthorn::admission::rank::Rank;
use buckthorn::clock::Time;
use buckthorn::routing::choice::{Choice, FULL_LOAD, choose_for};
use buckthorn::routing::completion::Demand;
use buckthorn::routing::load::Registry;
use buckthorn::routing::reach::{PAUSE, SILENCE};
use buckthorn::routing::table::{Endpoint, Table};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use routing_support::{NOW, member, state, table, view};

const DRAWS: u32 = 200;

/// A mesh without reports, so that calls prefer their own failure domain.
struct Mesh {
    table: Table,
    rng: ChaCha8Rng,
}

impl Mesh {
    /// Creates a mesh with a server in each of the given failure domains.
    fn new(domains: &[usize]) -> Self {
        let members = domains.iter().enumerate();
        let members = members.map(|(index, domain)| member(index, *domain, "v1"));
        Self {
            table: table(&state(0, &[]), &view(members), &mut Registry::default()),
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn endpoints(&self) -> &[Endpoint] {
        &self.table.resolve("cards", "/").unwrap().shares[0].endpoints
    }

    /// Indices of the servers that calls are sent to.
    fn chosen(&mut self, now: Time) -> Vec<usize> {
        let demand = Demand {
            kind: Kind::of("/"),
            rank: Rank::new(3),
            spill_load: FULL_LOAD,
        };
        let route = self.table.resolve("cards", "/").unwrap();
        let mut chosen: Vec<usize> = (0..DRAWS)
            .map(|_| {
                let choice = choose_for(&self.table, route, now, &[], &demand, &mut self.rng);
                let Choice::Endpoint(share, endpoint) = choice else {
                    panic!("a server is known");
                };
                let endpoints = share.endpoints.iter();
                endpoints
                    .clone()
                    .position(|e| e.host == endpoint.host)
                    .unwrap()
            })
            .collect();
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }
}

/// Failure: a failure domain is cut off while this node has no server in its own.
#[test]
fn a_failure_domain_that_is_cut_off_is_skipped_after_three_of_its_hosts() {
    let mut mesh = Mesh::new(&[1, 1, 1, 1, 1, 1, 2, 2]);
    mesh.endpoints()[3].load.mark_reachable(NOW);
    let found = NOW + SILENCE;
    for index in 0..2 {
        assert!(!mesh.endpoints()[index].load.mark_silent(found));
    }
    assert!(
        !mesh.endpoints()[0].load.mark_silent(found),
        "counted before"
    );
    assert_eq!(mesh.chosen(found), [2, 3, 4, 5, 6, 7]);
    assert!(mesh.endpoints()[2].load.mark_silent(found));
    assert_eq!(mesh.chosen(found), [6, 7]);
    assert!(
        !mesh.endpoints()[4].load.mark_silent(found),
        "found already"
    );
}

/// Failure: a cut that lasts for several pauses, and its end.
#[test]
fn one_call_in_each_pause_is_a_trial_until_one_is_answered() {
    let mut mesh = Mesh::new(&[1, 1, 1, 1, 2]);
    for index in 0..3 {
        mesh.endpoints()[index].load.mark_silent(NOW);
    }
    let mut now = NOW;
    for _ in 0..4 {
        assert_eq!(mesh.chosen(now), [4]);
        now = now + PAUSE;
        assert_eq!(mesh.chosen(now), [0, 1, 2, 3, 4]);
        mesh.endpoints()[3].load.start_call(now);
        assert_eq!(mesh.chosen(now), [4], "others wait for the trial");
    }
    mesh.endpoints()[3].load.mark_reachable(now);
    assert_eq!(mesh.chosen(now), [0, 1, 2, 3, 4]);
}

/// Failure: half of a failure domain's hosts lose power at the same moment.
#[test]
fn hosts_that_stop_among_others_that_respond_do_not_exclude_these() {
    let mut mesh = Mesh::new(&[1, 1, 1, 1, 1, 1, 1, 1]);
    let found = NOW + Duration::from_millis(500);
    for index in 0..4 {
        mesh.endpoints()[4 + index].load.mark_reachable(found);
        mesh.endpoints()[index].load.mark_silent(found);
    }
    assert_eq!(mesh.chosen(found), [4, 5, 6, 7]);
    // Connections that are reset are noticed at once, before others had time to respond.
    let mut mesh = Mesh::new(&[1, 1, 1, 1, 1, 1, 1, 1]);
    mesh.endpoints()[7].load.mark_reachable(NOW);
    for index in 0..4 {
        assert!(!mesh.endpoints()[index].load.mark_silent(NOW));
    }
    assert_eq!(mesh.chosen(NOW), [4, 5, 6, 7]);
}

/// Failure: a host that hangs while many calls are about to be sent.
#[test]
fn a_host_gets_one_call_after_its_pause_until_it_responds() {
    let mut mesh = Mesh::new(&[0, 0, 0]);
    mesh.endpoints()[0].load.mark_unreachable(NOW);
    assert_eq!(mesh.chosen(NOW), [1, 2]);
    let later = NOW + PAUSE;
    assert_eq!(mesh.chosen(later), [0, 1, 2]);
    mesh.endpoints()[0].load.start_call(later);
    assert_eq!(mesh.chosen(later), [1, 2]);
    mesh.endpoints()[0].load.mark_reachable(later);
    assert_eq!(mesh.chosen(later), [0, 1, 2]);
}
