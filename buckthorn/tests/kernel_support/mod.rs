//! Kernels with members that a test hands over.

use std::sync::Arc;

use buckthorn::clock::Time;
use buckthorn::counter::Counters;
use buckthorn::kernel::{Context, Event, Identity, Kernel, Plugin, Registry};
use buckthorn::membership::member::Member;

/// Merges members that the test hands over.
struct Feeder(Vec<Member>);

impl Plugin for Feeder {
    fn name(&self) -> &'static str {
        "feeder"
    }

    fn handle(&mut self, cx: &mut Context<'_>, _: &Event) {
        for member in self.0.drain(..) {
            cx.shared.view.merge(&member, cx.now);
        }
    }
}

/// Kernel of one member that knows all, with the plug-ins that the test registers.
pub(crate) fn kernel(
    own: &Member,
    all: &[Member],
    seed: u64,
    start: Time,
    register: impl FnOnce(&mut Registry),
) -> Kernel {
    let mut registry = Registry::default();
    registry.add(Feeder(all.to_vec()));
    register(&mut registry);
    let identity = Identity {
        host: own.host.clone(),
        incarnation: own.incarnation,
        region: own.region.clone(),
        failure_domain: own.failure_domain.clone(),
        rpc: own.rpc,
        hop: own.hop,
        seeds: Vec::new(),
    };
    Kernel::new(identity, Arc::new(Counters::new()), seed, start, registry)
}
