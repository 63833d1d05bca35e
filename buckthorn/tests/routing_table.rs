//! Routing table resolved from random membership views and intents.

mod routing_support;

use buckthorn::config::intent::FULL_SHARE;
use buckthorn::membership::member::{Member, Status};
use buckthorn::name::Name;
use buckthorn::routing::load::Registry;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use routing_support::{DOMAINS, member, state, table, view};

#[test]
fn routes_point_only_at_usable_backend_servers() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut registry = Registry::default();
        let out: Vec<&str> = DOMAINS
            .iter()
            .map(|(name, _)| *name)
            .filter(|_| rng.random_bool(0.3))
            .collect();
        let members: Vec<Member> = (0..rng.random_range(0..12))
            .map(|index| {
                let version = if rng.random_bool(0.5) { "v1" } else { "v2" };
                let mut member = member(index, rng.random_range(0..4), version);
                member.status = match rng.random_range(0..5) {
                    0 => Status::Dead,
                    1 => Status::Suspect,
                    _ => Status::Alive,
                };
                if let Some(server) = &mut member.backend_server {
                    server.is_draining = rng.random_bool(0.2);
                }
                member
            })
            .collect();
        let share = rng.random_range(0..=FULL_SHARE);
        // Building the table asserts that every endpoint is usable; this checks that the usable ones
        // are in the table.
        let table = table(&state(share, &out), &view(members.clone()), &mut registry);
        let accepts_calls = |version: &str| {
            members.iter().any(|m| {
                let server = m.backend_server.as_ref().unwrap();
                m.is_usable()
                    && !out.contains(&&*m.failure_domain)
                    && &*server.version == version
                    && !server.is_draining
            })
        };
        let route = table.resolve("cards", "/").unwrap();
        let has_server = accepts_calls("v1") || share > 0 && accepts_calls("v2");
        let is_served = !route.shares[0].endpoints.is_empty();
        assert_eq!(is_served, has_server, "seed {seed}");
        for share in &route.shares {
            assert!(accepts_calls(&share.version) || !has_server, "seed {seed}");
            let [local, region, far] = share.by_distance();
            assert!(
                local.iter().all(|e| &*e.failure_domain == "a"),
                "seed {seed}"
            );
            let is_west = |e: &&Name| &***e == "west";
            assert!(
                region.iter().map(|e| &e.region).all(|r| is_west(&r)),
                "seed {seed}"
            );
            assert!(far.iter().all(|e| &*e.region == "east"), "seed {seed}");
        }
    }
}

#[test]
fn the_new_version_takes_over_when_the_old_one_is_gone() {
    let mut registry = Registry::default();
    let members = [member(0, 0, "v2")];
    let table = table(&state(50, &[]), &view(members), &mut registry);
    let shares = &table.resolve("cards", "/").unwrap().shares;
    assert_eq!((shares.len(), shares[0].permille), (1, FULL_SHARE));
    assert_eq!(&*shares[0].version, "v2");
}

#[test]
fn the_new_version_holds_no_share_until_a_server_of_it_is_known() {
    let mut registry = Registry::default();
    let members = [member(0, 0, "v1")];
    let table = table(&state(50, &[]), &view(members), &mut registry);
    let shares = &table.resolve("cards", "/").unwrap().shares;
    assert_eq!((shares.len(), shares[0].permille), (1, FULL_SHARE));
}

#[test]
fn loads_and_budgets_survive_a_table_swap_and_are_dropped_with_the_last_table() {
    let mut registry = Registry::default();
    let members = view([member(0, 0, "v1")]);
    let first = table(&state(0, &[]), &members, &mut registry);
    let load = |t: &buckthorn::routing::table::Table| {
        t.resolve("cards", "/").unwrap().shares[0].endpoints[0]
            .load
            .clone()
    };
    load(&first).start();
    first.service("cards").unwrap().budget.spend();
    let second = table(&state(0, &[]), &members, &mut registry);
    drop(first);
    assert_eq!(load(&second).in_flight(), 1);
    let credit = second.service("cards").unwrap().budget.credit();
    assert_eq!(credit, 9_000);
    drop(second);
    registry.sweep();
    let third = table(&state(0, &[]), &members, &mut registry);
    assert_eq!(load(&third).in_flight(), 0);
}
