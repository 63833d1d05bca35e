//! Membership of simulated meshes under faults, in virtual time with fixed seeds.

use std::time::Duration;

use buckthorn::counter::Counter;
use buckthorn::journal::record::{CONFIG_STREAM, REPORT_STREAM};
use buckthorn::kernel::{Event, Registry};
use buckthorn::membership::member::{BackendServer, Member, Status};
use buckthorn::membership::plugin::MAX_SKEW;
use buckthorn::membership::report::{BackendServerState, Report};
use buckthorn::rpc::message::{Message, StatusUpdate};
use buckthorn::{journal, membership};
use buckthorn_lab::harness::{Mesh, MeshConfig};
use rand::Rng;

/// Registers the plug-ins of the runs.
fn register(registry: &mut Registry) {
    membership::register(registry);
    journal::plugin::register(registry);
}

/// Creates a mesh of nodes in three failure domains and runs it until it has converged.
fn settled(nodes: usize, seed: u64) -> Mesh {
    let mut mesh = Mesh::new(&MeshConfig::new(nodes, seed, register));
    assert!(
        mesh.run_until(secs(60), has_converged).is_some(),
        "seed {seed}"
    );
    mesh
}

/// Returns a duration in whole seconds.
const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Returns whether the live members in every running process's view are exactly the running
/// processes, at their current ranks.
fn has_converged(mesh: &Mesh) -> bool {
    let running: Vec<_> = mesh
        .kernels()
        .map(|(_, kernel)| {
            let member = &kernel.shared().member;
            (member.host.clone(), member.rank())
        })
        .collect();
    mesh.kernels().all(|(_, kernel)| {
        let held = kernel.shared().view.live();
        held.map(|m| (m.host.clone(), m.rank()))
            .eq(running.iter().cloned())
    })
}

/// Returns the status of one node in the view of another.
fn status(mesh: &Mesh, observer: usize, node: usize) -> Option<Status> {
    let host = &mesh.nodes[node].identity.host;
    Some(mesh.kernel(observer)?.shared().view.get(host)?.status)
}

/// Returns the sum of a counter over the nodes.
fn total(mesh: &Mesh, counter: Counter) -> u64 {
    mesh.nodes.iter().map(|n| n.counters.get(counter)).sum()
}

/// Returns a backend server of a version.
fn server(version: &str) -> BackendServer {
    BackendServer {
        service: "card-desk".into(),
        version: version.into(),
        slots: 10,
        connections: 130,
        is_draining: false,
    }
}

/// Returns whether every process has a node's backend server in its view with a version.
fn holds_version(mesh: &Mesh, node: usize, version: &str) -> bool {
    let host = &mesh.nodes[node].identity.host;
    mesh.kernels().all(|(_, kernel)| {
        kernel
            .shared()
            .view
            .get(host)
            .and_then(|m| m.backend_server.as_ref())
            .is_some_and(|s| *s.version == *version)
    })
}

#[test]
fn nodes_that_start_together_find_each_other_under_loss() {
    for (seed, loss) in [(1, 0.0), (2, 0.05), (3, 0.2)] {
        let mut mesh = Mesh::new(&MeshConfig::new(24, seed, register));
        mesh.links.loss = loss;
        assert!(
            mesh.run_until(secs(60), has_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn an_announcement_reaches_everybody_within_three_seconds() {
    for seed in 1..=5 {
        let mut mesh = settled(18, seed);
        mesh.deliver(4, &Event::Announced(Some(server("v1"))));
        let reached = mesh.run_until(secs(3), |mesh| holds_version(mesh, 4, "v1"));
        assert!(reached.is_some(), "seed {seed}");
        mesh.deliver(4, &Event::Shutdown);
        let left = mesh.run_until(secs(3), |mesh| {
            (0..18).all(|i| status(mesh, i, 4) == Some(Status::Left))
        });
        assert!(left.is_some(), "seed {seed}");
    }
}

#[test]
fn a_dead_node_leaves_every_view_and_a_new_process_replaces_it() {
    for seed in 1..=5 {
        let mut mesh = settled(18, seed);
        mesh.kill(7);
        assert!(
            mesh.run_until(secs(15), has_converged).is_some(),
            "seed {seed}"
        );
        mesh.start(7);
        assert!(
            mesh.run_until(secs(10), has_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_live_node_stays_a_member_under_loss() {
    for seed in 1..=3 {
        let mut mesh = settled(12, seed);
        mesh.links.loss = 0.2;
        for _ in 0..60 {
            mesh.run(secs(1));
            for (observer, node) in [(0, 1), (3, 11), (7, 4)] {
                assert_ne!(status(&mesh, observer, node), Some(Status::Dead));
            }
        }
        mesh.links.loss = 0.0;
        assert!(
            mesh.run_until(secs(10), has_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn two_failure_domains_that_lose_each_other_stay_members_through_a_third() {
    for seed in 1..=3 {
        let mut mesh = settled(12, seed);
        mesh.links.partition("domain-0", ["domain-1".into()]);
        for _ in 0..60 {
            mesh.run(secs(1));
            let dead = mesh
                .kernels()
                .flat_map(|(_, kernel)| kernel.shared().view.members())
                .filter(|member| member.status == Status::Dead)
                .count();
            assert_eq!(dead, 0, "seed {seed}");
        }
    }
}

#[test]
fn a_failure_domain_cut_off_for_an_hour_rejoins_with_the_changes_of_both_sides() {
    let mut mesh = settled(6, 1);
    let inside = mesh.nodes_in_domain("domain-0");
    let others = ["domain-1".into(), "domain-2".into()];
    mesh.links.partition("domain-0", others);
    let partitioned = mesh.run_until(secs(20), |mesh| {
        (0..6).all(|i| {
            (0..6).all(|j| {
                let is_far = inside.contains(&i) != inside.contains(&j);
                status(mesh, i, j) == Some(if is_far { Status::Dead } else { Status::Alive })
            })
        })
    });
    assert!(partitioned.is_some(), "both sides consider each other dead");
    let rebuilds: u64 = mesh.nodes.iter().map(|n| n.rebuilds).sum();
    mesh.run(secs(1_800));
    let after: u64 = mesh.nodes.iter().map(|n| n.rebuilds).sum();
    assert_eq!(
        rebuilds, after,
        "routing tables are not rebuilt while the partition lasts"
    );
    mesh.deliver(inside[0], &Event::Announced(Some(server("v2"))));
    let outside = (0..6).find(|i| !inside.contains(i)).unwrap();
    mesh.deliver(outside, &Event::Announced(Some(server("v3"))));
    mesh.run(secs(1_800));

    mesh.links.heal();
    let healed = mesh.run_until(secs(60), |mesh| {
        for (i, j) in [(inside[0], inside[1]), (outside, (outside + 3) % 6)] {
            let observed = status(mesh, i, j);
            assert!(
                matches!(observed, Some(Status::Alive | Status::Suspect)),
                "a neighbour stays usable while the partition heals: {observed:?}"
            );
        }
        has_converged(mesh)
    });
    assert!(healed.is_some());
    assert!(holds_version(&mesh, inside[0], "v2"));
    assert!(holds_version(&mesh, outside, "v3"));
}

#[test]
fn a_failure_domain_or_everything_restarts_with_the_log_down() {
    for seed in 1..=3 {
        let mut mesh = settled(18, seed);
        mesh.log.is_down = true;
        for node in mesh.nodes_in_domain("domain-1") {
            mesh.start(node);
        }
        assert!(
            mesh.run_until(secs(30), has_converged).is_some(),
            "seed {seed}"
        );
        for node in 0..18 {
            mesh.start(node);
        }
        assert!(
            mesh.run_until(secs(60), has_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_host_restarted_with_a_clock_that_is_behind_is_accepted() {
    let mut mesh = settled(9, 1);
    mesh.kill(5);
    assert!(mesh.run_until(secs(20), has_converged).is_some());
    // The clock is an hour behind, so the new incarnation is lower than the one its peers have.
    mesh.nodes[5].skew = -3_600_000_000;
    mesh.start(5);
    assert!(mesh.run_until(secs(20), has_converged).is_some());
    mesh.deliver(5, &Event::Announced(Some(server("v9"))));
    let reached = mesh.run_until(secs(5), |mesh| holds_version(mesh, 5, "v9"));
    assert!(reached.is_some());
}

#[test]
fn a_process_paused_for_a_week_spreads_no_expired_members() {
    let mut mesh = settled(9, 1);
    // A process reads the time only from its events, so a forward jump of its clock is equivalent
    // to a pause.
    let host = mesh.nodes[8].identity.host.clone();
    mesh.nodes[8].skew = 7 * 24 * 3_600 * 1_000_000;
    mesh.run(secs(5));
    let view = &mesh.kernel(8).unwrap().shared().view;
    assert!(view.get(&host).is_some());
    assert!(mesh.nodes[8].counters.get(Counter::MembersExpired) >= 8);
    assert!(mesh.run_until(secs(30), has_converged).is_some());
}

#[test]
fn a_lying_peer_neither_removes_members_nor_grows_views() {
    let mut mesh = settled(9, 1);
    let now = mesh.now();
    let death_claims: Vec<StatusUpdate> = mesh
        .kernel(0)
        .unwrap()
        .shared()
        .view
        .members()
        .map(|m| StatusUpdate {
            status: Status::Dead,
            ..m.status_update()
        })
        .collect();
    let template: Member = mesh.kernel(0).unwrap().shared().member.clone();
    let mut rng = mesh.rng().clone();
    for round in 0..30_u64 {
        let invented = (0..100).map(|i| Member {
            host: format!("ghost-{round}-{i}").into(),
            incarnation: (now + MAX_SKEW).0 + 10_000_000_000,
            ..template.clone()
        });
        let mut future_member = template.clone();
        future_member.host = mesh.nodes[3].identity.host.clone();
        future_member.incarnation = u64::MAX;
        let messages = vec![
            Message::StatusUpdates(death_claims.clone()),
            Message::Members(invented.collect()),
            Message::Members(vec![future_member]),
            Message::Buckets(vec![rng.random(); 3]),
            Message::WantBuckets(vec![9_999; 100]),
        ];
        mesh.inject("liar", rng.random_range(0..9), messages);
        mesh.run(secs(1));
        for (_, kernel) in mesh.kernels() {
            assert_eq!(kernel.shared().view.live().count(), 9, "round {round}");
        }
    }
    assert!(mesh.run_until(secs(10), has_converged).is_some());
    assert!(total(&mesh, Counter::MessagesRefused) > 0);
}

#[test]
fn one_slow_peer_neither_leaves_nor_takes_others_with_it() {
    let mut mesh = settled(9, 1);
    mesh.nodes[4].extra_delay = Duration::from_millis(150);
    for _ in 0..60 {
        mesh.run(secs(1));
        for observer in 0..9 {
            for node in 0..9 {
                assert_ne!(status(&mesh, observer, node), Some(Status::Dead));
            }
        }
    }
}

#[test]
fn random_faults_end_in_agreement() {
    for seed in 1..=4 {
        let mut mesh = settled(12, seed);
        let mut rng = mesh.rng().clone();
        for _ in 0..40 {
            let node = rng.random_range(0..12);
            match rng.random_range(0..7) {
                0 => mesh.kill(node),
                1 | 2 => mesh.start(node),
                3 => mesh.links.loss = rng.random_range(0.0..0.3),
                4 => mesh
                    .links
                    .partition("domain-0", ["domain-1".into(), "domain-2".into()]),
                5 => mesh.links.heal(),
                _ => mesh.deliver(node, &Event::Announced(Some(server("v1")))),
            }
            mesh.run(Duration::from_millis(rng.random_range(100..5_000)));
        }
        mesh.links.heal();
        mesh.links.loss = 0.0;
        // Groups without a live seed find each other through the log.
        assert!(
            mesh.run_until(secs(180), has_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn nodes_whose_seeds_are_gone_find_each_other_through_the_log() {
    for seed in 1..=3 {
        let config = MeshConfig::new(9, seed, register);
        let mut mesh = Mesh::stopped(&config);
        let seeds = mesh.nodes[0].identity.seeds.clone();
        for node in 0..9 {
            if !seeds.contains(&mesh.nodes[node].identity.rpc) {
                mesh.start(node);
            }
        }
        mesh.log.is_down = true;
        mesh.run(secs(90));
        assert!(
            !has_converged(&mesh),
            "without the log the groups do not find each other"
        );
        mesh.log.is_down = false;
        assert!(
            mesh.run_until(secs(120), has_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn each_failure_domain_reports_its_versions_and_backend_servers() {
    let mut mesh = settled(9, 1);
    for node in 0..9 {
        mesh.deliver(node, &Event::Announced(Some(server("v1"))));
    }
    mesh.run(secs(10));
    let lines = mesh.log.records(REPORT_STREAM).len();
    for domain in ["domain-0", "domain-1", "domain-2"] {
        let report = last_report(&mesh, domain);
        assert_eq!((report.nodes, report.lagging), (3, 0), "{report:?}");
        assert_eq!(report.backend_servers.len(), 1);
        assert_eq!(report.backend_servers[0].count, 3);
        assert_eq!(report.backend_servers[0].state, BackendServerState::Serving);
        let next = mesh.log.next(CONFIG_STREAM);
        assert!(report.version > 0 && report.version <= next);
    }
    // Without changes, each domain reports once a minute.
    mesh.run(secs(120));
    let more = mesh.log.records(REPORT_STREAM).len() - lines;
    assert!((3..=9).contains(&more), "{more}");

    // An isolated node is no longer counted.
    let behind = mesh.nodes_in_domain("domain-1")[1];
    mesh.links
        .isolated_hosts
        .push(mesh.nodes[behind].identity.host.clone());
    mesh.run(secs(30));
    assert_eq!(last_report(&mesh, "domain-1").nodes, 2);
}

/// Returns the last report of a failure domain.
fn last_report(mesh: &Mesh, failure_domain: &str) -> Report {
    mesh.log
        .records(REPORT_STREAM)
        .iter()
        .filter_map(|record| serde_json::from_str::<Report>(&record.payload).ok())
        .rfind(|report| *report.failure_domain == *failure_domain)
        .unwrap()
}

#[test]
fn a_healed_partition_is_detected_without_seeds_and_without_the_log() {
    for seed in 1..=3 {
        let mut config = MeshConfig::new(9, seed, register);
        config.seeds = 1;
        let mut mesh = Mesh::new(&config);
        assert!(
            mesh.run_until(secs(60), has_converged).is_some(),
            "seed {seed}"
        );
        mesh.kill(0);
        mesh.log.is_down = true;
        let others = ["domain-0".into(), "domain-2".into()];
        mesh.links.partition("domain-1", others);
        mesh.run(secs(60));
        mesh.links.heal();
        assert!(
            mesh.run_until(secs(60), has_converged).is_some(),
            "seed {seed}"
        );
    }
}
