//! The rollout plug-in in kernels, with a fake log between them.

#[path = "rollout_fake/mod.rs"]
mod fake;

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::intent::Phase;
use buckthorn::journal::record::{self, Body, Claim};
use buckthorn::name::Name;
use buckthorn::rollout::evidence::Outcome;
use fake::{Fault, Mesh};

/// Start of the moves.
const START: Time = Time::from_secs(1_010);

/// Deadline of the moves.
const DEADLINE: Time = Time::from_secs(1_310);

/// Runs with 100 good calls a second.
fn run_good(mesh: &mut Mesh, id: &Name, end: Time) {
    mesh.run_with(end, |mesh| {
        let share = mesh.entry(id).share;
        mesh.call(share, 100, |_| (Outcome::Ok, Duration::from_millis(5)));
    });
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
    mesh.slow = Some(Vec::new());
    run_good(&mut mesh, &id, Time::from_secs(1_150));
    let held = mesh.slow.take().unwrap_or_default();
    assert!(!held.is_empty(), "the holder had an append in flight");

    // Another host takes the lease over while the append is still under way.
    mesh.nodes[0].is_paused = true;
    let host = mesh.nodes[1].member.host.clone();
    let at = mesh.now;
    mesh.push(Body::Claim(Claim {
        host,
        replaces: 1,
        at,
    }));
    let share = mesh.entry(&id).share;
    for (index, id, payload) in held {
        mesh.append(index, id, payload);
    }
    assert_eq!(mesh.entry(&id).share, share, "a fenced step took effect");
    run_good(&mut mesh, &id, Time::from_secs(1_500));
    assert_eq!(mesh.phase(&id), Phase::Done);
}
