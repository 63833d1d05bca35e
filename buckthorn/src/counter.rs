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
    Calls "call.total" "Calls received from callers.",
    CallsOk "call.ok" "Calls with a complete response from a backend server.",
    CallsUnknown "call.unknown" "Calls whose outcome was reported to the caller as unknown.",
    DownloadsResumed "call.resumed" "Downloads that were resumed at another backend server.",
    CallerGone "call.caller_gone" "Callers that disconnected before their response.",
    RefusedNoRoute "refused.no_route" "Calls for a service or path without a route.",
    RefusedNoBackendServer "refused.no_backend_server" "Calls whose route has no usable backend server.",
    RefusedNotReady "refused.not_ready" "Calls that arrived before the first snapshot.",
    RefusedDraining "refused.draining" "Calls refused by a node that is shutting down.",
    RefusedDeadline "refused.deadline" "Calls whose deadline could not be met.",
    RefusedQueueFull "refused.queue_full" "Calls refused because the owner's queue was full.",
    RefusedShed "refused.shed" "Calls displaced by calls of higher priority.",
    RefusedOutOfService "refused.out_of_service" "Calls refused because the failure domain is out of service.",
    RefusedQuarantined "refused.quarantined" "Calls refused because the version is quarantined.",
    RefusedHeaderSize "refused.header_size" "Requests with headers over the limit.",
    RefusedHeaderTimeout "refused.header_timeout" "Requests whose headers took too long.",
    RefusedBodySize "refused.body_size" "Requests with a body over the limit.",
    RefusedBodyTimeout "refused.body_timeout" "Requests whose body stalled.",
    RefusedConnections "refused.connections" "Connections over the limit.",
    RefusedBadRequest "refused.bad_request" "Malformed requests.",
    RefusedUnauthenticated "refused.unauthenticated" "Peers or clients without the shared secret.",
    RefusedKeyInProgress "refused.key_in_progress" "Repeats of an idempotency key still in progress.",
    RefusedKeyReused "refused.key_reused" "Idempotency keys reused for a different request.",
    RefusedKeysFull "refused.keys_full" "Calls refused because the store of idempotency keys is full.",
    RefusedKeyResponseNotStored "refused.key_answer_not_kept" "Repeats of a key whose first response was too large to store.",
    RefusedByBackend "refused.backend" "Calls that the backend server itself refused as not run.",
    RefusedCold "refused.cold" "Calls over the rate limit of a cold backend server.",
    RefusedUnreachable "refused.unreachable" "Calls refused because no connection could be opened.",
    KeysNotReplicated "key.held_once" "Idempotency keys that could not be replicated to a second node.",
    ReplayedFromKey "call.answered_from_key" "Repeats that received the stored response of their key.",
    BrokenResponses "answer.broken" "Responses shorter or longer than declared.",
    LateResponses "answer.late" "Responses that arrived after the call had ended.",
    ConnectionsSilent "connection.silent" "Connections closed because the other end stopped responding.",
    ConnectionsStalled "connection.stalled" "Connections closed because the other end stopped reading.",
    ConnectionsOpened "connection.opened" "Connections opened to backend servers and peers.",
    // Retries.
    RetryNotRun "retry.not_run" "Retries of a call that was refused as not run.",
    RetryConnect "retry.connect" "Retries after a connection could not be opened.",
    RetryReset "retry.reset" "Retries of an idempotent call after a broken connection.",
    RetryTimeout "retry.timeout" "Retries of an idempotent call after a timeout.",
    RetryStatus "retry.status" "Retries of an idempotent call after a server error.",
    RetryHedge "retry.hedge" "Hedged second attempts of an idempotent call.",
    RetryDeniedBudget "retry_denied.budget" "Retries denied because the retry budget was exhausted.",
    RetryDeniedNotIdempotent "retry_denied.not_idempotent" "Retries denied because the call is not idempotent.",
    RetryDeniedDeadline "retry_denied.deadline" "Retries denied because the deadline is too near.",
    RetryDeniedAttempts "retry_denied.attempts" "Retries denied because no attempts remain.",
    RetryDeniedLayer "retry_denied.layer" "Retries denied because an outer layer retries.",
    RetryDeniedBody "retry_denied.body" "Retries denied because the request body was not buffered.",
    // Admission and routing.
    LimitRaised "limit.raised" "Increases of the concurrency limit.",
    LimitCut "limit.cut" "Decreases of the concurrency limit.",
    EjectedOutlier "eject.outlier" "Ejections of a backend server as an outlier.",
    EjectDenied "eject.denied" "Ejections denied because too few would remain.",
    PanicRouting "route.panic" "Calls sent to an ejected backend server because ejection was ignored.",
    SpilledOver "route.spilled" "Calls sent to another failure domain.",
    // Configuration.
    RecordsApplied "config.applied" "Log records accepted by the fold.",
    RecordsRefused "config.refused" "Log records refused by the fold.",
    RecordsDuplicate "config.duplicate" "Log records received more than once.",
    SnapshotsInstalled "config.snapshots" "Snapshots installed from a peer or a checkpoint.",
    SnapshotsRefused "config.snapshots_refused" "Snapshots refused as older or invalid.",
    LogReadFailures "log.read_failures" "Failed reads of the platform's log.",
    LogAppendFailures "log.append_failures" "Appends to the log that failed or whose outcome is unknown.",
    LogTakeovers "log.takeovers" "Times this node became a reader of the log.",
    LeaseClaims "lease.claims" "Claims of the controller lease appended.",
    LeaseLost "lease.lost" "Times this node lost the controller lease.",
    StepsDropped "lease.steps_dropped" "Decisions dropped because their term was wrong.",
    // Membership and distribution.
    ProbesFailed "member.probes_failed" "Probes without a reply.",
    Suspicions "member.suspicions" "Members suspected.",
    Refutations "member.refutations" "Suspicions of this node refuted.",
    MembersExpired "member.expired" "Members removed because no update about them was received for too long.",
    AnnouncementsExpired "announce.expired" "Backend servers removed because their heartbeats stopped.",
    AnnouncementsRefused "announce.refused" "Announcements of backend servers refused as malformed or over a limit.",
    MessagesRefused "peer.refused" "Messages from peers refused as malformed or too large.",
    MessagesSent "peer.sent" "Messages sent to peers.",
    PeersUnreachable "peer.unreachable" "Message exchanges with a peer that failed or could not be started.",
    ControlBytesIn "peer.bytes_in" "Bytes of control traffic received.",
    ControlBytesOut "peer.bytes_out" "Bytes of control traffic sent.",
    // Moves and quarantine.
    Accusations "quarantine.accusations" "Accusations of a new version raised by this node.",
    Quarantines "quarantine.entered" "Quarantines of a version that took effect at this node.",
    StepsTaken "move.steps" "Changes of a move's share decided by this node.",
    MovesHeld "move.held" "Decisions of this node to hold a move.",
    MovesDone "move.done" "Moves completed by this node.",
    MovesRolledBack "move.taken_back" "Moves rolled back by this node.",
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
