//! Kernels that start with members given by a test.

use std::sync::Arc;

use buckthorn::clock::Time;
use buckthorn::counter::Counters;
use buckthorn::kernel::{Context, Event, Identity, Kernel, Plugin, Registry};
use buckthorn::membership::member::{Member, Status};

/// Member of the mesh without a backend server.
pub(crate) fn member(index: usize, failure_domain: &str) -> Member {
    let address = ([127, 0, 0, 1], 1_000 + index as u16).into();
    Member {
        host: format!("h{index}").into(),
        incarnation: 1,
        sequence: 1,
        region: "region".into(),
        failure_domain: failure_domain.into(),
        rpc: address,
        hop: address,
        status: Status::Alive,
        departure: None,
        backend_server: None,
    }
}

/// Plug-in that merges the given members into the view at the first event.
struct MemberInjector(Vec<Member>);

impl Plugin for MemberInjector {
    fn name(&self) -> &'static str {
        "member-injector"
    }

    fn handle(&mut self, cx: &mut Context<'_>, _: &Event) {
        for member in self.0.drain(..) {
            cx.shared.view.merge(&member, cx.now);
        }
    }
}

/// Creates the kernel of one member that knows all others, with the plug-ins that `register` adds.
pub(crate) fn kernel(
    local: &Member,
    all: &[Member],
    seed: u64,
    start: Time,
    register: impl FnOnce(&mut Registry),
) -> Kernel {
    let mut registry = Registry::default();
    registry.add(MemberInjector(all.to_vec()));
    register(&mut registry);
    let identity = Identity {
        host: local.host.clone(),
        incarnation: local.incarnation,
        region: local.region.clone(),
        failure_domain: local.failure_domain.clone(),
        rpc: local.rpc,
        hop: local.hop,
        seeds: Vec::new(),
    };
    Kernel::new(identity, Arc::new(Counters::new()), seed, start, registry)
}
