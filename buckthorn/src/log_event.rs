//! Events that a node logs.
//!
//! Each event is logged as one line, a JSON object with `ts`, `level`, `host`, `msg` (the name of
//! the event) and the fields listed here. The page docs/LOGS.md is generated from this list.

macro_rules! log_events {
    ($($variant:ident $name:literal $fields:literal $help:literal,)*) => {
        /// Event in the log of a node.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum LogEvent {
            $(#[doc = $help] $variant,)*
        }

        impl LogEvent {
            /// All events, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name of the event, in the field `msg`.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Fields of the line besides those of every line.
            pub const fn fields(self) -> &'static str {
                match self { $(Self::$variant => $fields,)* }
            }

            /// One-line description.
            pub const fn help(self) -> &'static str {
                match self { $(Self::$variant => $help,)* }
            }
        }
    };
}

log_events! {
    // Calls at the ingress.
    CallAttempt "call.attempt" "request, service, target, attempt, outcome, ran, next, version, left_ms, took_ms" "An attempt of a call ended: its outcome, whether it may have run, and what follows.",
    CallAnswered "call.answered" "request, service, status, reason, ran, attempts, version, took_ms" "A call got its final response.",
    CallAbandoned "call.abandoned" "request, service, attempts, version, took_ms" "The caller disconnected before its response.",
    CallRefused "call.refused" "request, status, reason, version" "A call was refused before a backend server was chosen.",
    ConnectionEvicted "connection.evicted" "phase" "A caller's connection was closed for another one: it made no progress in this phase, or was idle.",
    // Calls at the owner.
    OwnerRefused "owner.refused" "request, service, reason, running, queued, limit, version" "The owner refused a call as not run.",
    OwnerFailed "owner.failed" "request, service, instance, reason, ran, took_ms" "The backend server gave no response that could be forwarded.",
    CutChanged "owner.cut" "service, cut, before, queued, limit" "The owner refuses another first rank of new calls: its place in the order, 16 when it refuses none.",
    BackendLimited "backend.limited" "instance, limit" "The local backend server named another number of requests per second that it takes in its responses, or none any more.",
    BackendCapacity "backend.capacity" "instance, limit, slots" "The local backend server serves fewer calls with all slots in use than with `limit` of them, so no more run; equal to the slots when that is over.",
    BackendStateRefused "backend.state_refused" "instance, error" "A response of the local backend server named its state in a way that cannot be read; the state stays as it was.",
    LinesDropped "log.dropped" "class, lines" "Lines about calls that were dropped by the rate limit since the last such line.",
    // Configuration, membership and moves.
    ConfigApplied "config.applied" "version" "A configuration version came into force.",
    ConfigRefused "config.refused" "subject, detail" "A record, snapshot or order was refused as a whole.",
    OrdersSource "orders.source" "subject, detail" "From now on, operators' orders are read from the log or received from peers that read it.",
    OrdersBehind "orders.behind" "subject, detail" "A peer has newer orders that this node did not read in time; the node asks the peer, and later reads the log anew.",
    OrdersIgnored "orders.ignored" "subject, detail" "A policy that was read or received is not in force: its version, its position, and the policy in force.",
    PolicyConfirmation "policy.confirmation" "subject, detail" "The policy was last known to be the newest so long ago that keys of tenants may soon be refused (old), or is known to be again (current).",
    DutyTaken "duty.taken" "subject, detail" "This node holds a duty from now on, by the token named.",
    DutyLost "duty.lost" "subject, detail" "This node no longer holds a duty, of the token named.",
    UsageImpeded "usage.impeded" "subject, detail" "A candidate for the duty of handing in usage can't do it: its host and why.",
    UsageHandedIn "usage.handed_in" "subject, detail" "The platform accepted the usage of a window: its number, the token, and the time after its end.",
    EndpointEjected "endpoint.ejected" "target, service, outcome" "A backend server is ejected for a while because it fails more than the others.",
    DomainSilent "route.domain_silent" "failure_domain, target" "No host of a failure domain responds to this node, so it gets no calls but trials.",
    MemberChanged "member.changed" "subject, detail" "A node was discovered, suspected, found alive again, marked dead or left.",
    BackendAnnounced "backend.announced" "service, version, instance" "The local backend server registered or changed its announcement.",
    BackendLeaves "backend.leaves" "service" "The local backend server is draining or leaving.",
    BackendCrashed "backend.crashed" "subject, detail" "The local backend server crashed: the fingerprints of the calls that were lost, except of requests that have completed before.",
    RequestBlocked "request.blocked" "subject, detail" "A request, by its fingerprint, is no longer sent to another backend server after it was lost, or is refused, as it has crashed backend servers.",
    BackendExpired "backend.expired" "service" "The local backend server was removed because its heartbeats stopped.",
    DomainsOut "domains.out" "subject, detail" "The set of failure domains out of service changed.",
    MoveStep "move.step" "subject, detail" "A move changed the share of the new version.",
    MoveEvidence "move.evidence" "subject, detail" "Counts of both versions of a move at an evaluator, failed and slow calls, and the backend server of the new version with the most failures: at each change of the share, each second at a raised share, and at the end.",
    MoveFault "move.fault" "subject, detail" "This node found the new version to be at fault.",
    MoveEnded "move.ended" "subject, detail" "A move ended.",
    DecisionFailed "decision.failed" "subject, detail" "A decision on a move could not be published yet.",
    // Lifecycle of the process.
    NodeStarted "node.started" "callers, hop, rpc, admin" "The node accepts calls.",
    NodeStopping "node.stopping" "" "The node is draining.",
    NodeStopped "node.stopped" "is_clean" "The node stopped.",
}

/// Log entry that the kernel requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Event to log.
    pub event: LogEvent,
    /// Subject of the event: a service, a host or a record.
    pub subject: String,
    /// Details, such as the reason of a decision.
    pub detail: String,
}

impl LogEntry {
    /// Creates an entry about a subject.
    pub fn new(event: LogEvent, subject: impl ToString, detail: impl ToString) -> Self {
        Self {
            event,
            subject: subject.to_string(),
            detail: detail.to_string(),
        }
    }
}
