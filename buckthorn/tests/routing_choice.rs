//! Choice of a backend server and ejection of outliers.

mod routing_support;

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::counter::Counter;
use buckthorn::name::Name;
use buckthorn::rollout::evidence::Outcome;
use buckthorn::routing::choice::{self, BULK_SPILL_LOAD, Choice, FULL_LOAD, choose};
use buckthorn::routing::load::{Health, Registry};
use buckthorn::routing::outlier::{self, EJECTION, MAX_FAILURES, PROBATION, Verdict};
use buckthorn::routing::table::{Endpoint, Share, Table};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use routing_support::{NOW, member, state, table, view};

/// Table with servers of `v1` in the given failure domains.
fn mesh(domains: &[usize], registry: &mut Registry) -> Table {
    let members = domains.iter().enumerate();
    let members = members.map(|(index, domain)| member(index, *domain, "v1"));
    table(&state(0, &[]), &view(members), registry)
}

/// The share of `v1`.
fn share(table: &Table) -> &Share {
    &table.resolve("cards", "/").unwrap().shares[0]
}

/// Chooses an endpoint, and panics if there is none.
fn chosen<'a>(table: &'a Table, now: Time, tried: &[Name], rng: &mut ChaCha8Rng) -> &'a Endpoint {
    let route = table.resolve("cards", "/").unwrap();
    match choose(table, route, now, tried, FULL_LOAD, rng) {
        Choice::Endpoint(_, endpoint) => endpoint,
        Choice::NoBackendServer => panic!("a backend server is known"),
    }
}

/// Records failures at an endpoint until it is ejected or its ejection is denied.
fn fail(share: &Share, endpoint: &Endpoint, now: Time) -> Verdict {
    (0..MAX_FAILURES)
        .map(|_| outlier::record(share, endpoint, Outcome::Reset, now))
        .find(|verdict| *verdict != Verdict::Unchanged)
        .unwrap_or(Verdict::Unchanged)
}

#[test]
fn calls_stay_in_the_local_failure_domain_until_it_is_full_then_go_by_distance() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut registry = Registry::default();
    let table = mesh(&[0, 0, 1, 1, 2, 3], &mut registry);
    let report = |domain: &str, permille: u32| {
        for endpoint in share(&table).endpoints.iter() {
            if &*endpoint.failure_domain == domain {
                endpoint.load.set_reported(permille);
            }
        }
    };
    for (full, expected) in [(vec![], "a"), (vec!["a"], "bc"), (vec!["a", "b", "c"], "d")] {
        for _ in 0..200 {
            full.iter().for_each(|domain| report(domain, 2_000));
            let endpoint = chosen(&table, NOW, &[], &mut rng);
            assert!(expected.contains(&*endpoint.failure_domain), "{full:?}");
            let counted = choice::counter(&table, endpoint, NOW);
            assert_eq!(counted.is_some(), expected != "a");
        }
    }
    // When all are full, the least loaded one is chosen rather than none.
    report("d", 3_000);
    assert_chosen_when_full(&table, &mut rng);
}

/// A burst that filled the only local server must not send all later calls, and the bytes of their
/// responses, to other failure domains: nothing but another call brings a newer report.
#[test]
fn a_single_local_server_is_tried_again_after_it_was_full() {
    const RESPONSE_BYTES: u64 = 90_000;
    const CALLS: u64 = 200;
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut registry = Registry::default();
    let table = mesh(&[0, 1, 2], &mut registry);
    share(&table).endpoints[0].load.set_reported(1_500);
    let mut bytes_between_domains = 0;
    for _ in 0..CALLS {
        let endpoint = chosen(&table, NOW, &[], &mut rng);
        if *endpoint.failure_domain != *"a" {
            bytes_between_domains += RESPONSE_BYTES;
        }
        // The server is idle again, which each response reports.
        endpoint.load.set_reported(0);
    }
    assert!(
        bytes_between_domains <= CALLS * RESPONSE_BYTES / 20,
        "{bytes_between_domains} bytes"
    );
}

/// Calls with large responses wait for a local server where others go elsewhere.
#[test]
fn calls_with_large_responses_leave_a_failure_domain_later() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut registry = Registry::default();
    let table = mesh(&[0, 0, 1, 2], &mut registry);
    let route = table.resolve("cards", "/").unwrap();
    for (permille, spill_load, is_local) in [
        (900, FULL_LOAD, true),
        (1_100, FULL_LOAD, false),
        (2_900, BULK_SPILL_LOAD, true),
        (3_100, BULK_SPILL_LOAD, false),
    ] {
        for endpoint in &share(&table).endpoints[..2] {
            endpoint.load.set_reported(permille);
        }
        let Choice::Endpoint(_, endpoint) = choose(&table, route, NOW, &[], spill_load, &mut rng)
        else {
            panic!("a backend server is known");
        };
        let expected = if is_local { "a" } else { "bc" };
        assert!(
            expected.contains(&*endpoint.failure_domain),
            "{permille} of {spill_load}"
        );
    }
}

/// Checks that a backend server is still chosen when every one is full.
fn assert_chosen_when_full(table: &Table, rng: &mut ChaCha8Rng) {
    share(table)
        .endpoints
        .iter()
        .for_each(|e| e.load.set_reported(4_000));
    chosen(table, NOW, &[], rng);
}

#[test]
fn spreads_calls_evenly_and_never_repeats_a_host() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut registry = Registry::default();
    let table = mesh(&[0; 22], &mut registry);
    for _ in 0..22 * 10 {
        chosen(&table, NOW, &[], &mut rng).load.start();
    }
    for endpoint in &share(&table).endpoints {
        let calls = endpoint.load.in_flight();
        assert!((8..=12).contains(&calls), "{calls} calls in flight");
    }
    let mut tried: Vec<Name> = Vec::new();
    for _ in 0..22 {
        let host = chosen(&table, NOW, &tried, &mut rng).host.clone();
        assert!(!tried.contains(&host));
        tried.push(host);
    }
    let route = table.resolve("cards", "/").unwrap();
    let choice = choose(&table, route, NOW, &tried, FULL_LOAD, &mut rng);
    assert!(matches!(choice, Choice::NoBackendServer));
}

#[test]
fn an_old_reported_load_does_not_exclude_a_server() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut registry = Registry::default();
    let table = mesh(&[0, 0, 0], &mut registry);
    share(&table).endpoints[0].load.set_reported(5_000);
    let returned = (0..500).any(|_| &*chosen(&table, NOW, &[], &mut rng).host == "h000");
    assert!(returned);
}

#[test]
fn ejects_an_outlier_and_readmits_it_with_few_calls() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut registry = Registry::default();
    let table = mesh(&[0; 6], &mut registry);
    let bad = &share(&table).endpoints[2];
    assert_eq!(fail(share(&table), bad, NOW), Verdict::Ejected);
    let picks = |now, rng: &mut ChaCha8Rng| {
        let hosts = (0..600).map(|_| &chosen(&table, now, &[], rng).host);
        hosts.filter(|host| **host == bad.host).count()
    };
    assert_eq!(picks(NOW, &mut rng), 0);
    let later = NOW + EJECTION;
    assert_eq!(bad.load.health(later), Health::Returning);
    let picked = picks(later, &mut rng);
    assert!((1..60).contains(&picked), "{picked} of 600 calls");
    // One failure on probation ejects again, for longer.
    outlier::record(share(&table), bad, Outcome::Reset, later);
    assert_eq!(bad.load.health(later + EJECTION), Health::Ejected);
    let recovered = later + EJECTION * 2;
    for _ in 0..PROBATION {
        outlier::record(share(&table), bad, Outcome::Ok, recovered);
    }
    assert_eq!(bad.load.health(recovered), Health::Healthy);
    assert!(picks(recovered, &mut rng) > 100);
}

#[test]
fn ejects_a_server_that_fails_more_often_than_the_others() {
    // Two failures for each good response never add up to the consecutive failures that eject, so
    // only the failure rate does.
    for (bad, expected) in [(0..1, 1), (0..6, 0)] {
        let mut registry = Registry::default();
        let table = mesh(&[0; 6], &mut registry);
        let mut now = NOW;
        let mut ejected = [false; 6];
        for step in 0..600 {
            now = now + Duration::from_millis(1);
            let index = step % 6;
            let is_bad = bad.contains(&index) && step / 6 % 3 != 0;
            let outcome = if is_bad { Outcome::Error } else { Outcome::Ok };
            let endpoint = &share(&table).endpoints[index];
            let host = &endpoint.host;
            let verdict = outlier::observe(&table, "cards", "/", host, outcome, now);
            ejected[index] |= verdict == Verdict::Ejected;
        }
        assert_eq!(ejected.iter().filter(|is_out| **is_out).count(), expected);
        assert!(expected == 0 || ejected[0]);
    }
}

#[test]
fn ejection_never_empties_a_service() {
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut registry = Registry::default();
        let count = rng.random_range(1..=12);
        let domains: Vec<usize> = (0..count).map(|_| rng.random_range(0..4)).collect();
        let table = mesh(&domains, &mut registry);
        let mut now = NOW;
        for _ in 0..500 {
            now = now + Duration::from_millis(rng.random_range(0..200));
            let endpoint = chosen(&table, now, &[], &mut rng);
            // A fault common to all backend servers: most calls fail everywhere.
            let outcome = if rng.random_bool(0.8) {
                Outcome::Timeout
            } else {
                Outcome::Ok
            };
            outlier::record(share(&table), endpoint, outcome, now);
            let endpoints = &share(&table).endpoints;
            let out = endpoints
                .iter()
                .filter(|e| e.load.health(now) == Health::Ejected)
                .count();
            assert!(
                out <= (count / 3).max(1),
                "seed {seed}: {out} of {count} ejected"
            );
            assert!(out < count, "seed {seed}: every server is ejected");
        }
    }
}

#[test]
fn ignores_ejection_when_most_are_ejected() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut registry = Registry::default();
    let before = mesh(&[0; 9], &mut registry);
    let endpoints = &share(&before).endpoints;
    for endpoint in &endpoints[..3] {
        assert_eq!(fail(share(&before), endpoint, NOW), Verdict::Ejected);
    }
    assert_eq!(fail(share(&before), &endpoints[3], NOW), Verdict::Denied);
    // All but one of the others leave, so more than half of the rest are ejected.
    let after = mesh(&[0; 4], &mut registry);
    let panics = (0..200)
        .map(|_| choice::counter(&after, chosen(&after, NOW, &[], &mut rng), NOW))
        .filter(|counter| *counter == Some(Counter::PanicRouting))
        .count();
    assert!((100..200).contains(&panics), "{panics} of 200");
}

#[test]
fn a_retry_falls_back_to_the_old_version_but_never_to_the_new_one() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut registry = Registry::default();
    let members = [member(0, 0, "v1"), member(1, 0, "v2")];
    let table = table(&state(500, &[]), &view(members), &mut registry);
    let route = table.resolve("cards", "/").unwrap();
    for _ in 0..100 {
        let fell_back = choose(&table, route, NOW, &["h001".into()], FULL_LOAD, &mut rng);
        assert!(matches!(fell_back, Choice::Endpoint(s, _) if &*s.version == "v1"));
    }
    let tried = ["h000".into()];
    let new = (0..1_000)
        .map(|_| choose(&table, route, NOW, &tried, FULL_LOAD, &mut rng))
        .filter(|choice| matches!(choice, Choice::Endpoint(..)))
        .count();
    assert!(
        (400..600).contains(&new),
        "{new} of 1000 on the new version"
    );
}
