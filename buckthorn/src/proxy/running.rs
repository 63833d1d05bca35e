//! Calls that run on the local backend server, and what their end is recorded as.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Plane;
use super::crash_watch::Watch;
use super::header;
use super::owner::{Admitted, Owner};
use crate::admission::breaker::CircuitBreaker;
use crate::admission::capacity::{Capacity, Ended, Kind};
use crate::admission::semaphore::Permit;
use crate::clock::Clock;
use crate::counter::Counters;
use crate::name::Name;
use crate::poison::fingerprint::Suspect;
use crate::rollout::evidence::{Outcome, Recorder};
use crate::routing::parent::Parent;

/// A call that is running on the backend server.
pub(super) struct Call {
    /// Permit of the semaphore, released when the call ends.
    permit: Permit,
    /// Records the outcome of the call.
    recorder: Arc<Recorder>,
    /// Circuit breaker of the backend server.
    circuit_breaker: Arc<CircuitBreaker>,
    /// Counters of the node.
    pub(super) counters: Arc<Counters>,
    /// Route under which the call is recorded.
    route: Name,
    /// Kind of the call.
    kind: Kind,
    /// Estimate of what the backend server takes.
    capacity: Arc<Capacity>,
    /// Clock of the node.
    clock: Clock,
    /// When the call was sent to the backend server.
    pub(super) started: Instant,
    /// Reports how the call ended.
    pub(super) watch: CallWatch,
    /// Counts the call as a parent of those that the backend server makes.
    _parent: Parent,
}

/// Reports the end of a call to the watch of the backend server, if there is one.
pub(super) struct CallWatch {
    /// Watch of the backend server.
    watch: Option<Arc<Watch>>,
    /// Identity of the request.
    suspect: Option<Suspect>,
    /// Address of the backend server.
    address: SocketAddr,
}

impl CallWatch {
    /// Reports that the backend server ran the call to its end.
    pub(super) fn record_completed(&self) {
        if let Some(watch) = &self.watch {
            watch.record_completed(self.suspect);
        }
    }

    /// Reports that the connection of the call broke.
    pub(super) fn record_lost(&self) {
        if let Some(watch) = &self.watch {
            watch.record_lost(self.suspect, self.address);
        }
    }
}

impl Call {
    /// Starts the call of an admitted request with this identifier, which is a repeat with this
    /// probability in thousandths.
    pub(super) fn start(
        plane: &Plane,
        owner: &Owner,
        call: &header::Call,
        admitted: Admitted,
        request_id: &str,
        repeat_permille: u32,
    ) -> Self {
        Self {
            permit: admitted.permit,
            recorder: owner.recorder.clone(),
            circuit_breaker: owner.circuit_breaker.clone(),
            counters: plane.counters.clone(),
            route: admitted.route,
            kind: Kind::of(&call.path),
            capacity: owner.capacity.clone(),
            clock: plane.clock.clone(),
            started: Instant::now(),
            watch: CallWatch {
                watch: plane.watch.clone(),
                suspect: call.suspect,
                address: owner.address,
            },
            _parent: plane.parents.start(request_id, call.rank, repeat_permille),
        }
    }

    /// Records the outcome of the call and releases its permit.
    pub(super) fn finish(self, outcome: Outcome, latency: Duration) {
        self.recorder.record(&self.route, outcome, latency);
        let ended = Ended {
            kind: self.kind,
            outcome,
            latency,
            slot_time: self.started.elapsed(),
            running: self.permit.running(),
        };
        self.capacity.record(&ended, self.clock.now());
        self.permit.finish(outcome, latency);
    }
}

/// Records a call as cancelled if it is dropped while it waits for its response.
pub(super) struct CancelGuard(Option<Call>);

impl CancelGuard {
    /// Guards a call.
    pub(super) fn new(call: Call) -> Self {
        Self(Some(call))
    }

    /// Disarms the guard and returns the call.
    pub(super) fn release(mut self) -> Option<Call> {
        self.0.take()
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(run) = self.0.take() {
            let latency = run.started.elapsed();
            run.circuit_breaker.record_no_response(latency);
            run.finish(Outcome::Cancelled, latency);
        }
    }
}
