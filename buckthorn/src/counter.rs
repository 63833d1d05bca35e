//! Counters of refusals, retries and other notable decisions.
//!
//! The set of counters is fixed at compile time, so every counter is listed from the start of the
//! process, including those at zero.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::metrics::Stages;

macro_rules! counters {
    ($($variant:ident $name:literal $help:literal,)*) => {
        /// Counter of one kind of event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Counter {
            $(#[doc = $help] $variant,)*
        }

        impl Counter {
            /// All counters, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name in the list for operators and in statsd.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// One-line description.
            pub const fn help(self) -> &'static str {
                match self { $(Self::$variant => $help,)* }
            }
        }
    };
}

counters! {
    // Calls.
    Calls "call.total" "Calls taken from callers.",
    CallsInProgress "call.in_progress" "Calls that the local backend server made for a request that it ran.",
    CallsOk "call.ok" "Calls answered in full by a backend server.",
    CallsUnknown "call.unknown" "Calls answered as unknown outcome.",
    CallsAhead "call.ahead" "Calls dispatched before earlier requests of their connection were answered.",
    DownloadsResumed "call.resumed" "Downloads that went on at another backend server.",
    CallerGone "call.caller_gone" "Callers that left before their answer.",
    RefusedNoRoute "refused.no_route" "Calls for a service or path that no route names.",
    RefusedNoBackendServer "refused.no_backend_server" "Calls whose route has no usable backend server.",
    RefusedNotReady "refused.not_ready" "Calls that came before the first snapshot.",
    RefusedDraining "refused.draining" "Calls refused by a node that is shutting down.",
    RefusedDeadline "refused.deadline" "Calls whose deadline could not be met.",
    RefusedQueueFull "refused.queue_full" "Calls refused by a full owner queue.",
    RefusedShed "refused.shed" "Calls displaced by calls of higher priority.",
    RefusedOutOfService "refused.out_of_service" "Calls refused because the failure domain is out.",
    RefusedQuarantined "refused.quarantined" "Calls refused because the version is quarantined.",
    RefusedHeaderSize "refused.header_size" "Requests with headers over the limit.",
    RefusedHeaderTimeout "refused.header_timeout" "Requests whose headers took too long.",
    RefusedBodySize "refused.body_size" "Requests with a body over the limit.",
    RefusedBodyTimeout "refused.body_timeout" "Requests whose body stalled.",
    RefusedConnections "refused.connections" "Connections over the limit.",
    BodiesNotKept "call.body_not_kept" "Request bodies that were streamed and not kept, as no memory was left for them.",
    ConnectionsEvicted "connection.evicted" "Connections of callers closed for another one, as they made no progress or were idle.",
    UnverifiedPeers "connection.unverified" "Connections between nodes closed before their peers showed that they know the shared secret.",
    RefusedBadRequest "refused.bad_request" "Requests that are malformed.",
    RefusedUnauthenticated "refused.unauthenticated" "Peers or clients without the shared secret.",
    RefusedUnknownKey "refused.unknown_key" "Calls without the key of a tenant on a route that needs one, or with a key of none.",
    RefusedUnconfirmed "refused.policy_unconfirmed" "Calls with a key at a node whose policy was last confirmed too long ago.",
    RefusedKeyInProgress "refused.key_in_progress" "Repeats of an idempotency key still in progress.",
    RefusedKeyReused "refused.key_reused" "Idempotency keys used again for another request.",
    RefusedKeysFull "refused.keys_full" "Calls refused because no more idempotency keys can be held.",
    RefusedKeyResponseNotStored "refused.key_answer_not_kept" "Repeats of a key whose first answer was too large to keep.",
    RefusedByBackend "refused.backend" "Calls that the backend server itself refused as not run.",
    RefusedCold "refused.cold" "Calls over the rate that a cold backend server bears.",
    RefusedRateLimited "refused.rate_limited" "Calls over the rate limit that the backend server names.",
    RefusedOverload "refused.overload" "Calls refused at the ingress because the owners heard lately would refuse them.",
    RefusedPoison "refused.poison" "Calls of requests that have crashed backend servers.",
    RefusedUnreachable "refused.unreachable" "Calls refused because no connection could be opened.",
    KeysNotReplicated "key.held_once" "Idempotency keys that could not be noted at a second node.",
    ReplayedFromKey "call.answered_from_key" "Repeats answered with the first outcome of their key.",
    BrokenResponses "answer.broken" "Answers shorter or longer than declared.",
    LateResponses "answer.late" "Answers that came after the call had ended.",
    ConnectionsSilent "connection.silent" "Connections dropped because they went silent.",
    ConnectionsStalled "connection.stalled" "Connections dropped because the other end stopped reading.",
    ConnectionsOpened "connection.opened" "Connections opened to backend servers and peers.",
    // Retries.
    RetryNotRun "retry.not_run" "Retries of a call that was refused as not run.",
    RetryConnect "retry.connect" "Retries after a connection could not be opened.",
    RetryReset "retry.reset" "Retries of an idempotent call after a broken connection.",
    RetryTimeout "retry.timeout" "Retries of an idempotent call after a timeout.",
    RetryStatus "retry.status" "Retries of an idempotent call after a server error.",
    RetryHedge "retry.hedge" "Hedged second attempts of an idempotent call.",
    RetryDeniedBudget "retry_denied.budget" "Retries denied because the budget was spent.",
    RetryDeniedNotIdempotent "retry_denied.not_idempotent" "Retries denied because the call is not idempotent.",
    RetryDeniedDeadline "retry_denied.deadline" "Retries denied because the deadline is too near.",
    RetryDeniedAttempts "retry_denied.attempts" "Retries denied because no attempts remain.",
    RetryDeniedLayer "retry_denied.layer" "Retries denied because an outer layer retries.",
    RetryDeniedPoison "retry_denied.poison" "Retries denied because the request may have crashed backend servers.",
    RetryDeniedBody "retry_denied.body" "Retries denied because the body was not kept.",
    // Admission and routing.
    LimitRaised "limit.raised" "Raises of the concurrency limit.",
    LimitCut "limit.cut" "Cuts of the concurrency limit.",
    EjectedOutlier "eject.outlier" "Ejections of a backend server as an outlier.",
    EjectDenied "eject.denied" "Ejections denied because too few would remain.",
    PanicRouting "route.panic" "Choices made among ejected backend servers for want of others.",
    FirstTryFull "route.first_try_full" "First tries that found a backend server without room.",
    DomainsSilent "route.domain_silent" "Failure domains skipped because none of their hosts responded.",
    SpilledOver "route.spilled" "Calls sent to another failure domain.",
    // Configuration.
    RecordsApplied "config.applied" "Log records accepted by the fold.",
    RecordsRefused "config.refused" "Log records refused by the fold.",
    RecordsDuplicate "config.duplicate" "Log records received more than once.",
    SnapshotsInstalled "config.snapshots" "Snapshots installed from a peer or a checkpoint.",
    SnapshotsRefused "config.snapshots_refused" "Snapshots refused as older or invalid.",
    LogReadFailures "log.read_failures" "Failed reads of the platform's log.",
    LogAppendFailures "log.append_failures" "Appends that failed or whose outcome is unknown.",
    LogTakeovers "log.takeovers" "Times this node became a reader of the log.",
    LeaseClaims "lease.claims" "Claims of the controller lease appended.",
    LeaseLost "lease.lost" "Times this node lost the controller lease.",
    StepsDropped "lease.steps_dropped" "Decisions dropped because their term was wrong.",
    // Usage.
    DutiesTaken "duty.taken" "Times this node took the duty of handing in usage.",
    DutiesLost "duty.lost" "Times this node lost the duty of handing in usage.",
    UsageHandedIn "usage.handed_in" "Windows of usage that this node handed in.",
    UsageImpeded "usage.impeded" "Times a candidate for the duty of handing in usage could not do it, or did not answer this node.",
    UsageFenced "usage.fenced" "Windows of usage refused because a higher token was seen.",
    UsageThrottled "usage.throttled" "Windows of usage refused because of the platform's rate.",
    UsageDropped "usage.dropped" "Requests not counted because the queue of counts was full.",
    // Membership and distribution.
    ProbesFailed "member.probes_failed" "Probes without an answer.",
    Suspicions "member.suspicions" "Members suspected.",
    Refutations "member.refutations" "Suspicions of this node refuted.",
    MembersExpired "member.expired" "Members removed after silence.",
    AnnouncementsExpired "announce.expired" "Backend servers expired after silence.",
    AnnouncementsRefused "announce.refused" "Announcements refused as malformed or over a limit.",
    MessagesRefused "peer.refused" "Messages from peers refused as malformed or too large.",
    MessagesSent "peer.sent" "Messages sent to peers.",
    PeersUnreachable "peer.unreachable" "Messages to peers that failed.",
    ControlBytesIn "peer.bytes_in" "Bytes of control traffic received.",
    ControlBytesOut "peer.bytes_out" "Bytes of control traffic sent.",
    // Moves and quarantine.
    Accusations "quarantine.accusations" "Accusations raised by this node.",
    Quarantines "quarantine.entered" "Versions quarantined in this node's view.",
    StepsTaken "move.steps" "Share steps decided by this node.",
    MovesHeld "move.held" "Holds decided by this node.",
    MovesDone "move.done" "Moves completed by this node.",
    MovesRolledBack "move.taken_back" "Moves taken back by this node.",
}

/// Values of all counters of a node.
#[derive(Debug)]
pub struct Counters {
    /// Values in the order of [`Counter::ALL`].
    values: Vec<AtomicU64>,
    /// Latency histograms of the stages of a call.
    pub stages: Stages,
}

impl Counters {
    /// Creates the counters, all at zero.
    pub fn new() -> Self {
        Self {
            values: Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            stages: Stages::default(),
        }
    }

    /// Adds one to a counter.
    #[inline]
    pub fn increment(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds `amount` to a counter.
    #[inline]
    pub fn add(&self, counter: Counter, amount: u64) {
        self.values[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    #[inline]
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Returns every counter with its value, including those at zero.
    pub fn list(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        Counter::ALL
            .iter()
            .map(|&counter| (counter, self.get(counter)))
    }
}

impl Default for Counters {
    fn default() -> Self {
        Self::new()
    }
}
