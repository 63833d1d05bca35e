//! Choice by expected completion, in virtual time.

mod routing_support;

use std::time::Duration;

use buckthorn::admission::capacity::Kind;
use buckthorn::admission::rank::Rank;
use buckthorn::admission::report::Report;
use buckthorn::clock::Time;
use buckthorn::routing::choice::{BULK_SPILL_LOAD, Choice, FULL_LOAD, choose_for};
use buckthorn::routing::completion::{self, Demand, Means};
use buckthorn::routing::load::Registry;
use buckthorn::routing::table::{Endpoint, Share, Table};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use routing_support::{NOW, member, state, table, view};

const LIMIT: u32 = 6;
const DRAWS: u32 = 2_000;

/// Table with servers of `v1` in the given failure domains.
fn mesh(domains: &[usize]) -> Table {
    let members = domains.iter().enumerate();
    let members = members.map(|(index, domain)| member(index, *domain, "v1"));
    table(&state(0, &[]), &view(members), &mut Registry::default())
}

/// The share of `v1`.
fn share(table: &Table) -> &Share {
    &table.resolve("cards", "/").unwrap().shares[0]
}

/// Demand of a new call of a kind.
fn demand(path: &str) -> Demand {
    Demand {
        kind: Kind::of(path),
        rank: Rank::new(3),
        spill_load: FULL_LOAD,
    }
}

/// Report of an owner.
fn report(running: u32, waiting: u32, mean_ms: u64, kind_ms: u64) -> Report {
    Report {
        running,
        waiting,
        waiting_in_progress: 0,
        limit: LIMIT,
        mean_time: Duration::from_millis(mean_ms),
        kind_time: Duration::from_millis(kind_ms),
        cut: Rank::COUNT as u32,
    }
}

/// Stores the report of an owner.
fn hear(endpoint: &Endpoint, path: &str, report: Report, at: Time) {
    let estimate = &endpoint.load.estimate;
    estimate.record(&report, Kind::of(path), 0, at);
}

/// Returns how many of [`DRAWS`] calls each server gets.
fn draw(table: &Table, demand: &Demand, now: Time, rng: &mut ChaCha8Rng) -> Vec<u32> {
    let route = table.resolve("cards", "/").unwrap();
    let endpoints = &share(table).endpoints;
    let mut counts = vec![0; endpoints.len()];
    for _ in 0..DRAWS {
        let Choice::Endpoint(_, chosen) = choose_for(table, route, now, &[], demand, rng) else {
            panic!("a backend server is known");
        };
        let index = endpoints.iter().position(|e| e.host == chosen.host);
        counts[index.unwrap()] += 1;
    }
    counts
}

/// Load: three kinds, for one of which one server is slow.
#[test]
fn a_server_slow_for_one_kind_gets_less_of_that_kind_alone() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let table = mesh(&[0; 4]);
    let endpoints = &share(&table).endpoints;
    for path in ["/read", "/write", "/list"] {
        for (index, endpoint) in endpoints.iter().enumerate() {
            let is_slow = index == 0 && path == "/list";
            let kind_ms = if is_slow { 300 } else { 100 };
            hear(endpoint, path, report(2, 0, 100, kind_ms), NOW);
        }
    }
    let even = DRAWS / 4;
    assert!(draw(&table, &demand("/list"), NOW, &mut rng)[0] < even / 2);
    for path in ["/read", "/write"] {
        let counts = draw(&table, &demand(path), NOW, &mut rng);
        assert!(counts[0] > even / 2, "{path}: {counts:?}");
    }
}

/// Load: servers whose speeds differ by three.
#[test]
fn fast_servers_get_more_calls_and_slow_ones_some() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let table = mesh(&[0; 6]);
    for (index, endpoint) in share(&table).endpoints.iter().enumerate() {
        let time = if index < 3 { 60 } else { 180 };
        hear(endpoint, "/read", report(3, 0, time, time), NOW);
    }
    let counts = draw(&table, &demand("/read"), NOW, &mut rng);
    let fast: u32 = counts[..3].iter().sum();
    assert!(fast > DRAWS * 3 / 4, "{counts:?}");
    assert!(fast < DRAWS, "a slow server is tried: {counts:?}");
}

/// Load: all ingresses hear of the same free server while the others are nearly full. What they
/// send it at once has to fit its slots and its queue.
#[test]
fn ingresses_that_see_the_same_free_server_do_not_all_choose_it() {
    const INGRESSES: u32 = 40;
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let table = mesh(&[0; 10]);
    for (index, endpoint) in share(&table).endpoints.iter().enumerate() {
        let running = if index == 0 { 0 } else { LIMIT - 1 };
        hear(endpoint, "/read", report(running, 0, 100, 100), NOW);
    }
    let counts = draw(&table, &demand("/read"), NOW, &mut rng);
    let at_free = counts[0] * INGRESSES / DRAWS;
    assert!(at_free <= 3 * LIMIT, "{at_free} calls at the free server");
    assert!(counts[0] > DRAWS / 10, "{counts:?}");
}

/// Load: a server that was full when it was last heard. Reports are some seconds old where few calls
/// go from an ingress to an owner.
#[test]
fn an_old_report_fades_to_the_mean() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let table = mesh(&[0; 4]);
    let endpoints = &share(&table).endpoints;
    for endpoint in &endpoints[1..] {
        hear(endpoint, "/read", report(2, 0, 100, 100), NOW);
    }
    hear(&endpoints[0], "/read", report(LIMIT, 6, 100, 100), NOW);
    assert_eq!(draw(&table, &demand("/read"), NOW, &mut rng)[0], 0);
    let later = NOW + Duration::from_secs(2);
    for endpoint in &endpoints[1..] {
        hear(endpoint, "/read", report(2, 0, 100, 100), later);
    }
    let counts = draw(&table, &demand("/read"), later, &mut rng);
    assert!(counts[0] > DRAWS / 8, "{counts:?}");
}

/// Failure: an owner that restarts, so that nothing is known of its server.
#[test]
fn a_server_without_reports_is_tried_but_not_flooded() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let table = mesh(&[0; 5]);
    for endpoint in &share(&table).endpoints[1..] {
        hear(endpoint, "/read", report(3, 0, 100, 100), NOW);
    }
    let counts = draw(&table, &demand("/read"), NOW, &mut rng);
    let even = DRAWS / 5;
    assert!(counts[0] > 0 && counts[0] <= even, "{counts:?}");
}

/// Failure: an ingress with old estimates. The refusal of a first try corrects them.
#[test]
fn a_refusal_corrects_an_old_estimate() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let table = mesh(&[0; 6]);
    let endpoints = &share(&table).endpoints;
    let demand = demand("/read");
    let old = NOW - Duration::from_secs(3);
    for endpoint in endpoints {
        hear(endpoint, "/read", report(0, 0, 100, 100), old);
    }
    hear(&endpoints[0], "/read", report(LIMIT, 2, 100, 100), NOW);
    hear(&endpoints[1], "/read", report(LIMIT, 1, 100, 100), NOW);
    let counts = draw(&table, &demand, NOW, &mut rng);
    let others = counts[2..].iter().sum::<u32>();
    assert!(counts[0] == 0 && others > DRAWS * 9 / 10, "{counts:?}");
    // Of those heard, the call waits at the one that completes it first.
    let means = Means::of(share(&table), demand.kind, NOW).unwrap();
    let hosts = [endpoints[0].host.clone(), endpoints[1].host.clone()];
    let earliest = completion::earliest(share(&table), &hosts, &means, &demand, NOW);
    assert_eq!(earliest.unwrap().0.host, endpoints[1].host);
    assert!(completion::has_room(
        share(&table),
        &hosts,
        &means,
        &demand,
        NOW
    ));
    for endpoint in &endpoints[2..] {
        hear(endpoint, "/read", report(LIMIT, 2, 100, 100), NOW);
    }
    assert!(!completion::has_room(
        share(&table),
        &[],
        &means,
        &demand,
        NOW
    ));
}

/// Load: calls in progress wait behind those alone that rank before them.
#[test]
fn calls_in_progress_count_only_the_calls_ahead_of_them() {
    let table = mesh(&[0; 2]);
    let endpoint = &share(&table).endpoints[0];
    hear(endpoint, "/read", report(LIMIT, 12, 100, 100), NOW);
    let new = demand("/read");
    let in_progress = Demand {
        rank: Rank::in_progress(3),
        ..new
    };
    let means = Means::of(share(&table), new.kind, NOW).unwrap();
    let [new, in_progress] =
        [new, in_progress].map(|demand| means.expect(endpoint, &demand, NOW).completion);
    // Twelve calls of 100 ms at six slots take 200 ms.
    assert!(
        (new - in_progress - 0.2).abs() < 0.01,
        "{new} {in_progress}"
    );
}

/// Load: the local servers are slower or busier than those of other failure domains.
#[test]
fn calls_leave_the_failure_domain_for_a_completion_that_is_earlier_by_a_margin() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let table = mesh(&[0, 0, 1, 1, 2, 2, 3]);
    let local = |table: &Table, demand: &Demand, rng: &mut ChaCha8Rng| {
        let counts = draw(table, demand, NOW, rng);
        f64::from(counts[..2].iter().sum::<u32>()) / f64::from(DRAWS)
    };
    let hear_all = |report_at: &dyn Fn(usize) -> Report| {
        for (index, endpoint) in share(&table).endpoints.iter().enumerate() {
            hear(endpoint, "/read", report_at(index), NOW);
        }
    };
    let demand = demand("/read");
    let bulk = Demand {
        spill_load: BULK_SPILL_LOAD,
        ..demand
    };
    hear_all(&|_| report(3, 0, 100, 100));
    assert_eq!(local(&table, &demand, &mut rng), 1.0);
    hear_all(&|index| report(if index < 2 { 4 } else { 1 }, 0, 100, 100));
    assert_eq!(local(&table, &demand, &mut rng), 1.0, "room is left");
    hear_all(&|index| {
        report(
            if index < 2 { LIMIT } else { 1 },
            if index < 2 { 6 } else { 0 },
            100,
            100,
        )
    });
    assert_eq!(local(&table, &demand, &mut rng), 0.0);
    assert_eq!(local(&table, &bulk, &mut rng), 1.0, "large responses stay");
    hear_all(&|index| {
        report(
            1,
            0,
            if index < 2 { 400 } else { 100 },
            if index < 2 { 400 } else { 100 },
        )
    });
    assert!(
        local(&table, &demand, &mut rng) < 0.1,
        "local servers are slow"
    );
}

/// Failure: a domain that is cut off reaches only its own servers.
#[test]
fn a_domain_that_is_cut_off_uses_its_own_servers() {
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let table = mesh(&[0, 0, 1, 1, 2]);
    for (index, endpoint) in share(&table).endpoints.iter().enumerate() {
        let running = if index < 2 { 2 * LIMIT } else { 0 };
        hear(endpoint, "/read", report(running, 0, 100, 100), NOW);
        if index >= 2 {
            endpoint.load.mark_unreachable(NOW);
        }
    }
    let counts = draw(&table, &demand("/read"), NOW, &mut rng);
    assert_eq!(counts[2..], [0, 0, 0]);
}
