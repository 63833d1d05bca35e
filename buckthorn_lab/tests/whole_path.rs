//! End-to-end tests on loopback: nine nodes, the log, sheets, calls and failures.

use std::time::Duration;

use buckthorn::config::intent::Phase;
use buckthorn_lab::deployment::{Fleet, Plan, Upstream, wait};
use buckthorn_lab::load::call::Deployment;
use buckthorn_lab::load::{self, Report};
use buckthornctl::Exit;

/// Timeout against a hanging test; the time itself is not asserted.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Calls per second of each load.
const RATE: f64 = 150.0;

/// Duration of each load.
const LOAD_DURATION: Duration = Duration::from_secs(2);

/// Plan of the Fernleaf deployment with nine hosts in its three failure domains.
fn plan() -> Plan {
    let mut plan = Plan::new(Deployment::Fernleaf);
    let upstream = |service| Upstream {
        service,
        version: "v1",
    };
    plan.upstreams = vec![upstream("card-desk"); 6];
    plan.upstreams.extend(vec![upstream("proof-vault"); 3]);
    plan
}

/// Sends load through the nodes of one failure domain.
fn load(fleet: &Fleet, seed: u64) -> Report {
    let mut settings = load::Settings::new(fleet.targets(|h| h.failure_domain == "bc-lower-a"));
    settings.rate = RATE;
    settings.duration = LOAD_DURATION;
    settings.seed = seed;
    fleet
        .block_on(load::send(settings))
        .expect("the load is sent")
}

/// Asserts that every response was complete and matched its request, and that no order ran twice.
fn assert_correct(fleet: &Fleet, report: &Report) {
    assert!(report.sent > 0);
    assert_eq!((report.truncated, report.mismatched), (0, 0), "{report:?}");
    assert_eq!(fleet.ledger.duplicates(), Vec::<String>::new());
}

/// Waits until the last change of the intent is in force on every node.
fn wait_in_force(fleet: &Fleet) {
    let (exit, text) = fleet
        .run_ctl(&["--json", "status"])
        .expect("the arguments are valid");
    assert_eq!(exit, Exit::Done, "{text}");
    let status: serde_json::Value = serde_json::from_str(text.trim()).expect("status is JSON");
    let version = status["intent_version"]
        .as_u64()
        .expect("status has an intent version");
    fleet
        .wait_version(version, TIMEOUT)
        .expect("the version is in force on every node");
}

#[test]
fn calls_are_served_after_the_loss_of_a_node_and_of_the_log() {
    let mut fleet = Fleet::start(&plan()).expect("the deployment starts");
    fleet
        .wait_joined(TIMEOUT)
        .expect("the nodes know each other");

    // Before the first sheet, every call is refused as not run.
    let report = load(&fleet, 1);
    let not_run: u64 = report.not_run.iter().map(|(_, count)| count).sum();
    assert_eq!((report.ok, not_run), (0, report.sent), "{report:?}");
    assert_eq!(fleet.ledger.requests(), 0);

    // After a sheet is applied, all calls are served.
    let sheet = "action,service,route,from,to,start,deadline,failure_domain\r\n\
                 serve,card-desk,,,v1,,,\r\nserve,proof-vault,,,v1,,,\r\n";
    fleet.apply(sheet).expect("the sheet is applied");
    wait_in_force(&fleet);
    let report = load(&fleet, 2);
    assert_eq!(report.ok, report.sent, "{report:?}");
    assert_correct(&fleet, &report);

    // Applying the same sheet again changes nothing.
    let versions: Vec<u64> = fleet.nodes().map(|node| node.version()).collect();
    fleet.apply(sheet).expect("the sheet is applied again");
    assert_eq!(
        versions,
        fleet.nodes().map(|node| node.version()).collect::<Vec<_>>()
    );

    // A node is killed: responses stay correct, and once the other nodes have marked it dead, all
    // calls are served.
    fleet.kill_node(4);
    let report = load(&fleet, 3);
    assert_correct(&fleet, &report);
    let count = fleet.nodes().count();
    wait(TIMEOUT, "the others mark the killed node dead", || {
        fleet.nodes().all(|node| {
            let members = node.status().map(|status| status.members);
            members.is_some_and(|m| m.alive == count && m.suspect == 0)
        })
    })
    .expect("the killed node is marked dead");
    let report = load(&fleet, 4);
    assert_eq!(report.ok, report.sent, "{report:?}");

    // The log is stopped: calls are served, and a command reports that it failed.
    fleet.log.stop();
    let (exit, _) = fleet
        .run_ctl(&["--timeout", "1", "out", "bc-lower-b"])
        .expect("the arguments are valid");
    assert_eq!(exit, Exit::Failed);
    let report = load(&fleet, 5);
    assert_eq!(report.ok, report.sent, "{report:?}");
    assert_correct(&fleet, &report);

    // The log is back: a second sheet comes into force on every node, the restarted one included.
    fleet.log.restart().expect("the log starts again");
    fleet.start_node(4).expect("the node starts again");
    let sheet = "action,service,route,from,to,start,deadline,failure_domain\n\
                 serve,card-desk,,,v1,,,\nserve,card-desk,/archive,,v1,,,\n\
                 out,,,,,,,bc-lower-c\n";
    fleet.apply(sheet).expect("the second sheet is applied");
    fleet
        .wait_joined(TIMEOUT)
        .expect("the nodes know each other again");
    wait_in_force(&fleet);
    assert!(fleet.nodes().all(|node| node.table().is_out("bc-lower-c")));
    let before: Vec<u64> = fleet
        .hosts
        .iter()
        .map(|host| host.backend.requests())
        .collect();
    let report = load(&fleet, 6);
    assert_eq!(report.ok, report.sent, "{report:?}");
    assert_correct(&fleet, &report);
    for (host, before) in fleet.hosts.iter().zip(before) {
        if host.failure_domain == "bc-lower-c" {
            assert_eq!(
                host.backend.requests(),
                before,
                "{} got new calls while its failure domain was out",
                host.name
            );
        }
    }
}

#[test]
fn a_graceful_stop_of_each_node_in_turn_fails_no_call() {
    let mut fleet = Fleet::start(&plan()).expect("the deployment starts");
    fleet
        .wait_joined(TIMEOUT)
        .expect("the nodes know each other");
    fleet
        .apply(
            "action,service,route,from,to,start,deadline,failure_domain\n\
             serve,card-desk,,,v1,,,\nserve,proof-vault,,,v1,,,\n",
        )
        .expect("the sheet is applied");
    wait_in_force(&fleet);
    let mut settings = load::Settings::new(fleet.targets(|h| h.failure_domain == "bc-lower-a"));
    settings.rate = RATE;
    settings.duration = Duration::from_secs(8);
    let load = fleet.handle().spawn(load::send(settings));
    // Restarts the nodes outside of the callers' failure domain one by one.
    for index in (0..fleet.hosts.len()).filter(|index| index % 3 != 0) {
        let drained = fleet.stop_node(index);
        assert_eq!(drained, Some(buckthorn::proxy::Drained::Clean));
        fleet.start_node(index).expect("the node starts again");
        fleet
            .wait_joined(TIMEOUT)
            .expect("the nodes know each other again");
    }
    let report = fleet
        .block_on(load)
        .expect("the load ends")
        .expect("the load is sent");
    assert_eq!(report.ok, report.sent, "{report:?}");
    assert_correct(&fleet, &report);
}

#[test]
fn a_bad_version_is_rolled_back_and_the_old_one_serves() {
    let plan = plan().with_version("card-desk", "v2", 3);
    let fleet = Fleet::start(&plan).expect("the deployment starts");
    let faults = buckthorn_lab::backend::Faults {
        error_permille: 800,
        ..Default::default()
    };
    fleet.set_faults("card-desk", "v2", &faults);
    fleet
        .wait_joined(TIMEOUT)
        .expect("the nodes know each other");
    let now = buckthorn::clock::Clock::new().now();
    let deadline = now + Duration::from_secs(120);
    fleet
        .apply(&format!(
            "action,service,route,from,to,start,deadline,failure_domain\n\
             serve,card-desk,,,v1,,,\nserve,proof-vault,,,v1,,,\n\
             move,card-desk,,v1,v2,{now},{deadline},\n"
        ))
        .expect("the sheet is applied");
    let phase = || {
        let status = fleet.nodes().find_map(buckthorn::node::Node::status)?;
        Some(status.moves.first()?.phase)
    };
    let mut seed = 10;
    wait(TIMEOUT, "the bad version is rolled back", || {
        seed += 1;
        let report = load(&fleet, seed);
        assert_correct(&fleet, &report);
        phase() == Some(Phase::RolledBack)
    })
    .expect("the bad version is rolled back");
    let report = load(&fleet, 9);
    assert_eq!(report.ok, report.sent, "{report:?}");
}
