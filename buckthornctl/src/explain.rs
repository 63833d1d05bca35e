//! Explains what happened to one request, from the logs of the nodes.
//!
//! The log lines that name the request are sorted by time, and a sentence states its outcome and
//! attempts. Lines that cannot be parsed are skipped, since logs may be cut off anywhere.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;

use anyhow::Context as _;
use buckthorn::log_event::LogEvent;
use serde_json::{Map, Value, json};

use crate::Exit;
use crate::output::Output;

/// Fields left out of the list of `name=value` pairs, since every line has them.
const COMMON_FIELDS: [&str; 5] = ["ts", "level", "host", "msg", "request"];

/// Parsed log line that names the request.
#[derive(Clone, Debug)]
struct Entry(Map<String, Value>);

impl Entry {
    /// Parses a log line; `None` if it is malformed or names another request.
    fn parse(line: &str, request: &str) -> Option<Self> {
        // Log collectors often put a prefix before the JSON object.
        let start = line.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
        let is_match = fields.get("request").and_then(Value::as_str) == Some(request);
        is_match.then_some(Self(fields))
    }

    /// Text of a field, empty if it is missing.
    fn text(&self, name: &str) -> &str {
        self.0.get(name).and_then(Value::as_str).unwrap_or("")
    }

    /// Number in a field, 0 if it is missing.
    fn number(&self, name: &str) -> u64 {
        self.0.get(name).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Whether the line logs this event.
    fn is(&self, event: LogEvent) -> bool {
        self.text("msg") == event.name()
    }

    /// Renders the line for people: time, host, event, then the remaining fields.
    fn to_line(&self) -> String {
        let (at, host, what) = (self.text("ts"), self.text("host"), self.text("msg"));
        let mut text = format!("{at} {host} {what}");
        for (name, value) in &self.0 {
            if !COMMON_FIELDS.contains(&name.as_str()) {
                // Writing to a string cannot fail.
                let _ = write!(text, " {name}={value}");
            }
        }
        text
    }
}

/// Explains a request from the given log files, or from standard input if none is given.
pub fn run(request: &str, logs: &[PathBuf], output: &mut Output<'_>) -> Exit {
    let entries = match collect_entries(request, logs) {
        Ok(entries) => entries,
        Err(error) => return output.bad_input(&error),
    };
    if entries.is_empty() {
        let what = format!(
            "no line names {request}: either it went well and is not one of the calls that are \
             logged, or lines are missing; look for {} lines",
            LogEvent::LinesDropped.name()
        );
        return output.fail(Exit::Failed, what);
    }
    let cause = cause(&entries);
    let mut text = String::new();
    for entry in &entries {
        let _ = writeln!(text, "{}", entry.to_line());
    }
    text.push_str(&cause);
    let lines: Vec<&Map<String, Value>> = entries.iter().map(|entry| &entry.0).collect();
    output.result(
        &json!({"request": request, "cause": cause, "lines": lines}),
        text,
    );
    Exit::Done
}

/// Collects the lines of a request from all logs, sorted by time.
fn collect_entries(request: &str, logs: &[PathBuf]) -> anyhow::Result<Vec<Entry>> {
    let mut entries = Vec::new();
    if logs.is_empty() {
        read_log(std::io::stdin().lock(), request, &mut entries)?;
    }
    for path in logs {
        let file = std::fs::File::open(path)
            .with_context(|| format!("cannot read the log {}", path.display()))?;
        read_log(file, request, &mut entries)
            .with_context(|| format!("cannot read the log {}", path.display()))?;
    }
    // The sort is stable: lines with equal times stay in the order in which they were read.
    entries.sort_by(|a: &Entry, b| a.text("ts").cmp(b.text("ts")));
    Ok(entries)
}

/// Appends the lines of a request from one log.
fn read_log(log: impl Read, request: &str, entries: &mut Vec<Entry>) -> anyhow::Result<()> {
    let mut log = BufReader::new(log);
    let mut bytes = Vec::new();
    while log.read_until(b'\n', &mut bytes)? > 0 {
        let line = String::from_utf8_lossy(&bytes);
        entries.extend(Entry::parse(&line, request));
        bytes.clear();
    }
    Ok(())
}

/// States the outcome of the request and its attempts in one sentence.
fn cause(entries: &[Entry]) -> String {
    let attempts: Vec<&Entry> = entries
        .iter()
        .filter(|e| e.is(LogEvent::CallAttempt))
        .collect();
    if let Some(refused) = entries.iter().find(|e| e.is(LogEvent::CallRefused)) {
        return format!(
            "Refused with {} before a backend server was chosen: {} under configuration {}.",
            refused.number("status"),
            meaning(refused.text("reason")),
            refused.number("version")
        );
    }
    if let Some(abandoned) = entries.iter().find(|e| e.is(LogEvent::CallAbandoned)) {
        let took = abandoned.number("took_ms");
        return format!("The caller left after {took} ms, before its answer.");
    }
    let Some(answered) = entries.iter().rfind(|e| e.is(LogEvent::CallAnswered)) else {
        return "The line of the answer is missing; the node's log is needed in which the call \
                began."
            .to_owned();
    };
    let status = answered.number("status");
    let is_incomplete = answered.number("attempts") as usize > attempts.len();
    let mut text = if status < 400 {
        format!("Answered with {status}")
    } else if answered.text("reason").is_empty() {
        match attempts.last() {
            Some(attempt) => {
                let target = attempt.text("target");
                format!("The backend server of {target} itself answered {status}")
            }
            None => format!("A backend server itself answered {status}"),
        }
    } else {
        format!("Failed with {status}: {}", meaning(answered.text("reason")))
    };
    for attempt in &attempts {
        let _ = write!(
            text,
            "; attempt {} at {}: {} after {} ms, then {}",
            attempt.number("attempt"),
            attempt.text("target"),
            attempt.text("outcome"),
            attempt.number("took_ms"),
            attempt.text("next")
        );
    }
    if let Some(owner) = entries.iter().rfind(|e| e.is(LogEvent::OwnerRefused)) {
        let _ = write!(
            text,
            "; its owner {} had {} calls running of {} and {} waiting",
            owner.text("host"),
            owner.number("running"),
            owner.number("limit"),
            owner.number("queued")
        );
    }
    if is_incomplete {
        text.push_str("; lines of some attempts are missing");
    }
    text.push('.');
    text
}

/// Explains the wire text of a reason; unknown reasons are returned as they are.
fn meaning(reason: &str) -> &str {
    match reason {
        "no-route" => "no route matches",
        "not-ready" => "the node had no configuration yet",
        "unknown-key" => "it had no key of a tenant that the node knew",
        "policy-unconfirmed" => {
            "the node had heard for too long nothing of which keys are in force"
        }
        "draining" => "the node was stopping",
        "no-backend-server" => "no usable backend server was known",
        "queue-full" => "every queue that was asked was full",
        "shed" => "calls of higher priority took its place",
        "deadline" => "its deadline could not be met",
        "cold" => "the backend servers were cold and had their share",
        "out-of-service" => "the failure domain was out of service",
        "quarantined" => "the version gets no traffic",
        "backend-refused" => "the backend server refused it without running it",
        "unreachable" => "the host could not be reached",
        "reset" => "the connection broke off while it may have run",
        "timeout" => "there was no answer in time",
        "broken-answer" => "the answer was broken, unsigned or another request's",
        other => other,
    }
}
