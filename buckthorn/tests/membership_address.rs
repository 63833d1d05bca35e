//! Hosts that get the address of another one that is gone.

use std::sync::Arc;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::counter::Counters;
use buckthorn::kernel::{Event, Identity, Kernel, Registry};
use buckthorn::membership::member::{BackendServer, Member, Status};
use buckthorn::membership::plugin;
use buckthorn::rpc::message::Message;

const NOW: Time = Time::from_secs(1_000);

/// Member at a port of loopback that started at a second.
fn member(host: &str, port: u16, started: u64, service: &str) -> Member {
    let address = ([127, 0, 0, 1], port).into();
    Member {
        host: host.into(),
        incarnation: Time::from_secs(started).0,
        sequence: 1,
        region: "r".into(),
        failure_domain: "a".into(),
        rpc: address,
        hop: address,
        status: Status::Alive,
        backend_server: Some(BackendServer {
            service: service.into(),
            version: "v1".into(),
            slots: 9,
            connections: 18,
            is_draining: false,
        }),
    }
}

/// Kernel of a node on port 1.
fn kernel() -> Kernel {
    let own = member("own", 1, 900, "none");
    let identity = Identity {
        host: own.host,
        incarnation: own.incarnation,
        region: own.region,
        failure_domain: own.failure_domain,
        rpc: own.rpc,
        hop: own.hop,
        seeds: Vec::new(),
    };
    let mut registry = Registry::default();
    plugin::register_seeded(&mut registry);
    Kernel::new(identity, Arc::new(Counters::new()), 1, NOW, registry)
}

/// Hands members in.
fn tell(kernel: &mut Kernel, members: Vec<Member>) {
    let event = Event::Received {
        from: "peer".into(),
        messages: vec![Message::Members(members)],
    };
    kernel.handle(NOW + Duration::from_secs(1), &event);
}

/// Hosts that are usable, beside the own one.
fn usable(kernel: &Kernel) -> Vec<String> {
    let live = kernel.shared().view.live();
    let others = live.filter(|member| &*member.host != "own");
    others.map(|member| member.host.to_string()).collect()
}

#[test]
fn the_later_host_has_the_address() {
    let mut kernel = kernel();
    tell(&mut kernel, vec![member("b-7", 7, 910, "rungs")]);
    assert_eq!(usable(&kernel), ["b-7"]);
    tell(&mut kernel, vec![member("b-10", 7, 930, "replay")]);
    assert_eq!(usable(&kernel), ["b-10"]);
    // What peers still hold of the earlier one does not bring it back.
    tell(&mut kernel, vec![member("b-7", 7, 910, "rungs")]);
    assert_eq!(usable(&kernel), ["b-10"]);
}

#[test]
fn an_earlier_host_that_is_learned_later_is_not_taken_in() {
    let mut kernel = kernel();
    tell(&mut kernel, vec![member("b-10", 7, 930, "replay")]);
    tell(&mut kernel, vec![member("b-7", 7, 910, "rungs")]);
    assert_eq!(usable(&kernel), ["b-10"]);
}

#[test]
fn nobody_else_has_the_own_address() {
    let mut kernel = kernel();
    tell(&mut kernel, vec![member("stranger", 1, 990, "rungs")]);
    assert!(usable(&kernel).is_empty());
}

#[test]
fn hosts_at_other_addresses_stay() {
    let mut kernel = kernel();
    let members = (2..20).map(|port| member(&format!("h{port}"), port, 900, "rungs"));
    tell(&mut kernel, members.collect());
    assert_eq!(usable(&kernel).len(), 18);
}
