//! The rollout plug-in on several nodes that share a fake log.

#[path = "rollout_fake/mod.rs"]
mod fake;

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::change::Operation;
use buckthorn::config::intent::{self, Phase};
use buckthorn::journal::fold::COMPARISON_SHARE;
use buckthorn::journal::record::{self, Body};
use buckthorn::membership::member::Member;
use buckthorn::name::Name;
use buckthorn::rollout::evidence::Outcome;
use buckthorn::rollout::plugin::APPEND_TIMEOUT;
use buckthorn::rpc::message::Message;
use fake::{Fault, Mesh};

/// Start of the moves.
const START: Time = Time::from_secs(1_010);

/// Deadline of the moves.
const DEADLINE: Time = Time::from_secs(1_310);

/// Latency of all calls.
const LATENCY: Duration = Duration::from_millis(5);

/// Runs until `end` with 100 calls per second that end as `outcome` says.
fn run(mesh: &mut Mesh, id: &Name, end: Time, outcome: impl Fn(&Member) -> Outcome) {
    mesh.run_with(end, |mesh| {
        let share = mesh.effective_share(id);
        mesh.record_calls(share, 100, |member| (outcome(member), LATENCY));
    });
}

/// Runs until `end` with 100 successful calls per second.
fn run_good(mesh: &mut Mesh, id: &Name, end: Time) {
    run(mesh, id, end, |_| Outcome::Ok);
}

/// Outcome of a call while the new version fails every call.
fn fail_new(member: &Member) -> Outcome {
    match is_new(member) {
        true => Outcome::Error,
        false => Outcome::Ok,
    }
}

/// Whether a member runs the new version.
fn is_new(member: &Member) -> bool {
    member
        .backend_server
        .as_ref()
        .is_some_and(|server| &*server.version == "v2")
}

#[test]
fn good_move_reaches_full_share_and_is_done() {
    let mut mesh = Mesh::new(1, 4);
    let id = mesh.publish_move(START, DEADLINE);
    run_good(&mut mesh, &id, DEADLINE);
    assert_eq!(mesh.phase(&id), Phase::Watching);
    run_good(&mut mesh, &id, Time::from_secs(1_500));
    assert_eq!(mesh.phase(&id), Phase::Done);
}

#[test]
fn lost_replies_take_no_step_twice() {
    let mut mesh = Mesh::new(2, 4);
    let id = mesh.publish_move(START, DEADLINE);
    mesh.fault = Fault::LoseReply;
    run_good(&mut mesh, &id, Time::from_secs(1_500));
    assert_eq!(mesh.phase(&id), Phase::Done);
    let mut shares: Vec<(u16, Phase)> = Vec::new();
    for record in &mesh.log {
        if let Ok(Body::Step(step)) = record::decode(&record.payload) {
            shares.push((step.share, step.phase));
        }
    }
    let steps = shares.len();
    shares.dedup();
    assert_eq!(steps, shares.len(), "a step was repeated: {shares:?}");
}

#[test]
fn move_goes_on_after_a_log_outage_over_its_deadline() {
    let mut mesh = Mesh::new(3, 4);
    let id = mesh.publish_move(START, DEADLINE);
    run_good(&mut mesh, &id, Time::from_secs(1_100));
    let share = mesh.entry(&id).share;
    mesh.fault = Fault::Down;
    run_good(&mut mesh, &id, Time::from_secs(1_400));
    assert_eq!(mesh.entry(&id).share, share);
    mesh.fault = Fault::None;
    run_good(&mut mesh, &id, Time::from_secs(1_600));
    assert_eq!(mesh.phase(&id), Phase::Done);
}

#[test]
fn paused_holder_is_fenced() {
    let mut mesh = Mesh::new(4, 4);
    let id = mesh.publish_move(START, DEADLINE);
    run_good(&mut mesh, &id, Time::from_secs(1_100));
    mesh.delayed = Some(Vec::new());
    run_good(&mut mesh, &id, Time::from_secs(1_150));
    let delayed = mesh.delayed.take().unwrap_or_default();
    let max_appends = 50 / APPEND_TIMEOUT.as_secs() as usize + 1;
    assert!(
        (1..=max_appends).contains(&delayed.len()),
        "{} appends in flight",
        delayed.len()
    );

    // Another host takes over the lease while the appends are still in flight.
    mesh.nodes[0].is_paused = true;
    mesh.claim(1, 1);
    let share = mesh.entry(&id).share;
    for (index, id, payload) in delayed {
        mesh.append(index, id, payload);
    }
    assert_eq!(mesh.entry(&id).share, share, "a fenced step took effect");
    run_good(&mut mesh, &id, Time::from_secs(1_500));
    assert_eq!(mesh.phase(&id), Phase::Done);
}

#[test]
fn bad_version_is_rolled_back_from_the_canary() {
    let mut mesh = Mesh::new(5, 4);
    let id = mesh.publish_move(START, DEADLINE);
    let mut largest = 0;
    mesh.run_with(DEADLINE, |mesh| {
        largest = largest.max(mesh.entry(&id).share);
        mesh.record_calls(mesh.effective_share(&id), 100, |member| {
            (fail_new(member), LATENCY)
        });
    });
    assert_eq!(mesh.phase(&id), Phase::RolledBack);
    assert!(largest <= 100, "share rose to {largest}");
    let quarantining_nodes = mesh.quarantining_nodes(&id);
    assert_eq!(quarantining_nodes, 0, "the quarantine outlasts the move");
}

#[test]
fn common_fault_rejects_neither_version() {
    let mut mesh = Mesh::new(6, 4);
    let id = mesh.publish_move(START, DEADLINE);
    run_good(&mut mesh, &id, Time::from_secs(1_080));
    run(&mut mesh, &id, Time::from_secs(1_120), |_| Outcome::Error);
    run_good(&mut mesh, &id, DEADLINE);
    assert_eq!(mesh.phase(&id), Phase::Watching);

    // At full share the old version receives no calls until the share is lowered to compare.
    run(&mut mesh, &id, Time::from_secs(1_330), |_| Outcome::Error);
    run_good(&mut mesh, &id, Time::from_secs(1_600));
    assert_eq!(mesh.phase(&id), Phase::Done);
}

#[test]
fn one_faulty_owner_does_not_cause_a_rollback() {
    let mut mesh = Mesh::new(7, 4);
    let id = mesh.publish_move(START, DEADLINE);
    let faulty = mesh.nodes[7].member.host.clone();
    run(&mut mesh, &id, Time::from_secs(1_600), |member| {
        match member.host == faulty {
            true => Outcome::Error,
            false => Outcome::Ok,
        }
    });
    assert_eq!(mesh.quarantining_nodes(&id), 0);
    assert_eq!(mesh.phase(&id), Phase::Done);
}

#[test]
fn nodes_contain_a_bad_version_while_the_log_is_down() {
    let mut mesh = Mesh::new(8, 4);
    let id = mesh.publish_move(START, DEADLINE);
    run_good(&mut mesh, &id, Time::from_secs(1_150));
    mesh.fault = Fault::Down;
    run(&mut mesh, &id, Time::from_secs(1_160), fail_new);
    assert_eq!(mesh.quarantining_nodes(&id), mesh.nodes.len());
    assert_eq!(mesh.phase(&id), Phase::Shifting);
    mesh.fault = Fault::None;
    run(&mut mesh, &id, Time::from_secs(1_170), fail_new);
    assert_eq!(mesh.phase(&id), Phase::RolledBack);
}

#[test]
fn nodes_compare_at_full_share_while_the_log_is_down() {
    let mut mesh = Mesh::new(9, 4);
    let id = mesh.publish_move(START, DEADLINE);
    run_good(&mut mesh, &id, DEADLINE);
    mesh.fault = Fault::Down;
    let mut lowest = mesh.effective_share(&id);
    mesh.run_with(Time::from_secs(1_330), |mesh| {
        let effective_share = mesh.effective_share(&id);
        assert!(
            effective_share <= lowest,
            "the share rose under accusations"
        );
        lowest = effective_share;
        mesh.record_calls(effective_share, 100, |member| (fail_new(member), LATENCY));
    });
    assert_eq!(mesh.quarantining_nodes(&id), mesh.nodes.len());
    assert_eq!(mesh.phase(&id), Phase::Watching);
}

#[test]
fn suspicion_from_a_common_fault_ends_with_the_next_step() {
    let mut mesh = Mesh::new(10, 4);
    let id = mesh.publish_move(START, DEADLINE);
    run_good(&mut mesh, &id, DEADLINE);
    mesh.fault = Fault::Down;
    run(&mut mesh, &id, Time::from_secs(1_330), |_| Outcome::Error);
    assert_eq!(mesh.effective_share(&id), COMPARISON_SHARE);
    assert_eq!(mesh.quarantining_nodes(&id), 0);
    mesh.fault = Fault::None;
    run_good(&mut mesh, &id, Time::from_secs(1_700));
    assert_eq!(mesh.phase(&id), Phase::Done);
    let steps = mesh
        .log
        .iter()
        .filter(|record| record.id.starts_with("step"));
    assert!(steps.count() < 30, "too many steps: the share oscillates");
}

#[test]
fn holder_cut_off_is_replaced() {
    let mut mesh = Mesh::new(11, 4);
    let id = mesh.publish_move(START, DEADLINE);
    run_good(&mut mesh, &id, Time::from_secs(1_100));
    mesh.nodes[0].is_log_unreachable = true;
    run_good(&mut mesh, &id, Time::from_secs(1_120));
    let share = mesh.entry(&id).share;
    run_good(&mut mesh, &id, Time::from_secs(1_160));
    assert_eq!(
        mesh.entry(&id).share,
        share,
        "a node without the lease decided"
    );
    mesh.claim(5, 1);
    run_good(&mut mesh, &id, Time::from_secs(1_600));
    assert_eq!(mesh.phase(&id), Phase::Done);
}

#[test]
fn second_of_two_concurrent_claims_decides_nothing() {
    let mut mesh = Mesh::new(12, 4);
    let id = mesh.publish_move(START, DEADLINE);
    run_good(&mut mesh, &id, Time::from_secs(1_050));
    mesh.claim(1, 1);
    mesh.claim(2, 1);
    run_good(&mut mesh, &id, Time::from_secs(1_600));
    assert_eq!(mesh.phase(&id), Phase::Done);
    let second = mesh.nodes[2].member.host.clone();
    let has_decided = |record: &record::Record| record.id.contains(&*second);
    assert!(!mesh.log.iter().any(has_decided));
}

#[test]
fn holder_that_starts_from_a_snapshot_goes_on() {
    let mut mesh = Mesh::new(13, 4);
    let id = mesh.publish_move(START, DEADLINE);
    mesh.nodes[3].is_log_unreachable = true;
    run_good(&mut mesh, &id, Time::from_secs(1_100));

    // The log no longer has the records that node 3 lacks, so it receives a snapshot of the state
    // and claims the lease.
    let messages = vec![Message::Snapshot(mesh.state.clone().into())];
    mesh.broadcast(messages);
    mesh.nodes[3].is_log_unreachable = false;
    mesh.nodes[0].is_paused = true;
    mesh.claim(3, 1);
    run_good(&mut mesh, &id, Time::from_secs(1_600));
    assert_eq!(mesh.phase(&id), Phase::Done);
}

#[test]
fn superseded_move_gets_no_further_step() {
    let mut mesh = Mesh::new(14, 4);
    let id = mesh.publish_move(START, DEADLINE);
    run_good(&mut mesh, &id, Time::from_secs(1_100));
    let later = mesh.publish_move(Time::from_secs(1_120), Time::from_secs(1_420));
    run_good(&mut mesh, &later, Time::from_secs(1_700));
    assert_eq!(mesh.phase(&id), Phase::RolledBack);
    assert_eq!(mesh.phase(&later), Phase::Done);
}

#[test]
fn move_reaches_full_share_while_a_failure_domain_is_out() {
    let mut mesh = Mesh::new(15, 4);
    let id = mesh.publish_move(START, DEADLINE);
    for name in ["domain-0", "domain-1", "domain-2"] {
        mesh.push(Body::Domain(record::DomainRegistration {
            name: name.into(),
            region: "bc-lower".into(),
        }));
    }
    run_good(&mut mesh, &id, Time::from_secs(1_100));
    mesh.publish(vec![Operation::Out {
        failure_domain: "domain-1".into(),
    }]);
    run_good(&mut mesh, &id, DEADLINE);
    assert_eq!(mesh.phase(&id), Phase::Watching);
}

#[test]
fn bad_version_is_held_when_the_old_servers_are_gone() {
    let mut mesh = Mesh::new(16, 4);
    let id = mesh.publish_move(START, DEADLINE);
    run_good(&mut mesh, &id, Time::from_secs(1_150));
    let share = mesh.entry(&id).share;
    run(&mut mesh, &id, Time::from_secs(1_150), fail_new);
    for index in 0..4 {
        mesh.update(index, |member| {
            if let Some(server) = &mut member.backend_server {
                server.is_draining = true;
            }
        });
    }
    run(&mut mesh, &id, Time::from_secs(1_200), fail_new);
    let entry = mesh.entry(&id);
    assert_eq!((entry.phase, entry.share), (Phase::Holding, share));
    assert!(entry.reason.starts_with("no way back"), "{}", entry.reason);
    assert_eq!(mesh.quarantining_nodes(&id), 0);
}

#[test]
fn move_that_cannot_meet_its_deadline_is_held_before_its_start() {
    let mut mesh = Mesh::new(17, 4);
    let start = Time::from_secs(1_100);
    let id = mesh.publish_move(start, start + Duration::from_secs(8));
    run_good(&mut mesh, &id, Time::from_secs(1_010));
    let entry = mesh.entry(&id);
    assert_eq!((entry.phase, entry.share), (Phase::Holding, 0));
    assert!(
        entry.reason.starts_with("deadline too near"),
        "{}",
        entry.reason
    );
    run_good(&mut mesh, &id, Time::from_secs(1_400));
    assert_eq!(mesh.phase(&id), Phase::Done);
}

#[test]
fn two_moves_of_one_service_are_evaluated_separately() {
    let mut mesh = Mesh::new(18, 4);
    mesh.publish(vec![Operation::Serve {
        service: fake::SERVICE.into(),
        route: "/orders".into(),
        version: "v1".into(),
    }]);
    let whole = mesh.publish_move(START, DEADLINE);
    let to: Name = "v2".into();
    let orders = Operation::Move {
        service: fake::SERVICE.into(),
        route: "/orders".into(),
        from: "v1".into(),
        to: to.clone(),
        start: START,
        deadline: DEADLINE,
    };
    mesh.publish(vec![orders]);
    let orders = intent::move_id(fake::SERVICE, "/orders", "v1", &to, START, DEADLINE);
    mesh.run_with(Time::from_secs(1_600), |mesh| {
        let (share, other) = (mesh.effective_share(&whole), mesh.effective_share(&orders));
        mesh.record_calls(share, 100, |_| (Outcome::Ok, LATENCY));
        mesh.record_route_calls("/orders", other, 100, |member| (fail_new(member), LATENCY));
    });
    assert_eq!(mesh.phase(&orders), Phase::RolledBack);
    assert_eq!(mesh.phase(&whole), Phase::Done);
}
