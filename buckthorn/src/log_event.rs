//! Catalogue of the lines that a node logs.
//!
//! Each line is a JSON object with `ts`, `level`, `host`, `msg` (one of the names here) and the
//! fields listed for it. The page docs/LOGS.md is made from this catalogue.

macro_rules! lines {
    ($($variant:ident $name:literal $fields:literal $help:literal,)*) => {
        /// What a line tells.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum LogEvent {
            $(#[doc = $help] $variant,)*
        }

        impl LogEvent {
            /// Every line, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name, in the field `msg`.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Fields beside those of every line.
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

lines! {
    // The path of a call, at the ingress.
    CallAttempt "call.attempt" "request, service, target, attempt, outcome, ran, next, version, left_ms, took_ms" "An attempt of a call ended: what came of it, whether it may have run, and what follows.",
    CallAnswered "call.answered" "request, service, status, reason, ran, attempts, version, took_ms" "A call got its final answer.",
    CallAbandoned "call.abandoned" "request, service, attempts, version, took_ms" "The caller left before its answer.",
    CallRefused "call.refused" "request, status, reason, version" "A call was refused before a backend server was chosen.",
    // The path of a call, at the owner.
    OwnerRefused "owner.refused" "request, service, reason, running, queued, limit, version" "The owner refused a call as not run.",
    OwnerFailed "owner.failed" "request, service, instance, reason, ran, took_ms" "The backend server gave no answer that could be passed on.",
    LinesDropped "log.dropped" "class, lines" "Lines of calls left out to bound their rate, since the last such line.",
    // What the node believes.
    ConfigApplied "config.applied" "version" "A configuration is in force.",
    ConfigRefused "config.refused" "subject, detail" "A record, snapshot or order was refused as a whole.",
    OrdersSource "orders.source" "subject, detail" "Operators' orders come from the log or from peers that read it, from now on.",
    EndpointEjected "endpoint.ejected" "target, service, outcome" "A backend server is left out for a while since it fails more than the others.",
    MemberChanged "member.changed" "subject, detail" "A node was learned, suspected, found alive again, dead or left.",
    BackendAnnounced "backend.announced" "service, version, instance" "The own backend server is new or has changed.",
    BackendLeaves "backend.leaves" "service" "The own backend server drains or leaves.",
    BackendExpired "backend.expired" "service" "The own backend server was silent for too long.",
    DomainsOut "domains.out" "subject, detail" "The failure domains that are out of service.",
    MoveStep "move.step" "subject, detail" "A move gives the new version another share.",
    MoveFault "move.fault" "subject, detail" "This node found the new version at fault.",
    MoveEnded "move.ended" "subject, detail" "A move has ended.",
    DecisionFailed "decision.failed" "subject, detail" "A decision on a move could not be published yet.",
    // The process and what it depends on.
    NodeStarted "node.started" "callers, hop, rpc, admin" "The node serves.",
    NodeStopping "node.stopping" "" "The node drains.",
    NodeStopped "node.stopped" "is_clean" "The node has stopped.",
}

/// Something that the kernel wants logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Line.
    pub event: LogEvent,
    /// What it is about: a service, a host, a record.
    pub subject: String,
    /// What decided it.
    pub detail: String,
}

impl LogEntry {
    /// Note about a subject.
    pub fn new(event: LogEvent, subject: impl ToString, detail: impl ToString) -> Self {
        Self {
            event,
            subject: subject.to_string(),
            detail: detail.to_string(),
        }
    }
}
