//! Publishing to logs that lose, delay or refuse appends and their replies.

use std::sync::Mutex;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::change::{Change, Operation};
use buckthorn::journal::record::Record;
use buckthorn::log::{AppendOutcome, Batch, Log};
use buckthornctl::session::{PublishOutcome, Session};

/// How a scripted log handles an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Append {
    /// Stores the record and confirms it.
    Done,
    /// Stores the record; the reply is lost.
    ReplyLost,
    /// Stores the record only when the next append arrives; the reply is lost.
    Delayed,
    /// Drops the record; the reply is lost.
    Dropped,
    /// Refuses the append.
    Refused,
}

/// Log that handles appends as scripted; the last entry applies to all further appends.
struct ScriptedLog {
    /// Records and remaining script.
    inner: Mutex<ScriptState>,
}

/// Records and remaining script of a [`ScriptedLog`].
#[derive(Default)]
struct ScriptState {
    /// Handling of the appends to come, the next one last.
    script: Vec<Append>,
    /// Records stored, by offset.
    records: Vec<Record>,
    /// Identifiers and payloads to store before the next append.
    delayed: Vec<(String, String)>,
    /// Number of reads that fail, counted from the first append on.
    failing_reads: u32,
}

impl ScriptState {
    /// Stores a record and returns its offset.
    fn push(&mut self, id: &str, payload: &str) -> u64 {
        let offset = self.records.len() as u64;
        self.records.push(Record {
            offset,
            id: id.into(),
            payload: payload.into(),
        });
        offset
    }
}

impl ScriptedLog {
    /// Creates a log that handles appends in the given order.
    fn new(script: &[Append], failing_reads: u32) -> Self {
        let mut script = script.to_vec();
        script.reverse();
        Self {
            inner: Mutex::new(ScriptState {
                script,
                failing_reads,
                ..ScriptState::default()
            }),
        }
    }

    /// Identifiers of the stored records, in order.
    fn ids(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        inner
            .records
            .iter()
            .map(|record| record.id.to_string())
            .collect()
    }
}

impl Log for ScriptedLog {
    fn read(&self, _stream: &str, from: u64, _wait: Duration) -> anyhow::Result<Batch> {
        let mut inner = self.inner.lock().unwrap();
        let has_appended = !inner.records.is_empty() || !inner.delayed.is_empty();
        if has_appended && inner.failing_reads > 0 {
            inner.failing_reads -= 1;
            anyhow::bail!("the log is unreachable");
        }
        let next = inner.records.len() as u64;
        Ok(Batch {
            earliest: 0,
            next,
            records: inner.records[(from.min(next)) as usize..].to_vec(),
        })
    }

    fn append(&self, _stream: &str, id: &str, payload: &str) -> AppendOutcome {
        let mut inner = self.inner.lock().unwrap();
        for (id, payload) in std::mem::take(&mut inner.delayed) {
            inner.push(&id, &payload);
        }
        let append = match inner.script.len() {
            1 => inner.script[0],
            _ => inner.script.pop().unwrap(),
        };
        let reason = String::from("lost");
        match append {
            Append::Done => AppendOutcome::Done {
                offset: inner.push(id, payload),
            },
            Append::ReplyLost => {
                inner.push(id, payload);
                AppendOutcome::Unknown { reason }
            }
            Append::Delayed => {
                inner.delayed.push((id.into(), payload.into()));
                AppendOutcome::Unknown { reason }
            }
            Append::Dropped => AppendOutcome::Unknown { reason },
            Append::Refused => AppendOutcome::Refused { reason },
        }
    }
}

/// Publishes one change; returns the outcome and how often the fold accepted it.
fn publish(log: &ScriptedLog, timeout: Duration) -> (PublishOutcome, usize) {
    let mut session = Session::with_log(log, timeout).unwrap();
    let change = Change {
        base: 0,
        author: "ada".into(),
        at: Time::from_secs(1),
        operations: vec![Operation::Serve {
            service: "rungs".into(),
            route: "".into(),
            version: "v1".into(),
        }],
    };
    let published = session.publish(&change);
    let _ = session.refresh();
    let accepted = session.state().history.iter().filter(|e| e.is_accepted);
    (published, accepted.count())
}

#[test]
fn a_change_takes_effect_once_despite_lost_and_delayed_appends() {
    let long = Duration::from_secs(60);
    for script in [
        &[Append::Done][..],
        &[Append::ReplyLost],
        &[Append::Dropped, Append::Done],
        &[Append::Refused, Append::Refused, Append::ReplyLost],
        &[Append::Delayed, Append::Done],
        &[Append::Delayed, Append::ReplyLost],
        &[Append::Delayed, Append::Delayed, Append::Done],
    ] {
        for failing_reads in [0, 2] {
            let log = ScriptedLog::new(script, failing_reads);
            let (published, accepted) = publish(&log, long);
            assert_eq!(
                (published, accepted),
                (PublishOutcome::Accepted, 1),
                "{script:?}"
            );
            let ids = log.ids();
            assert!(ids.iter().all(|id| *id == ids[0]), "{script:?}: {ids:?}");
        }
    }
}

#[test]
fn the_log_is_searched_before_an_append_is_retried() {
    let log = ScriptedLog::new(&[Append::ReplyLost, Append::Done], 3);
    let (published, _) = publish(&log, Duration::from_secs(60));
    assert_eq!((published, log.ids().len()), (PublishOutcome::Accepted, 1));
}

#[test]
fn an_uncertain_outcome_is_reported_as_unknown() {
    let none = Duration::ZERO;
    let (published, _) = publish(&ScriptedLog::new(&[Append::Refused], 0), none);
    assert!(matches!(published, PublishOutcome::Failed { .. }));
    let (published, _) = publish(&ScriptedLog::new(&[Append::Dropped], 0), none);
    assert!(matches!(published, PublishOutcome::Unknown { .. }));
    let unreadable = ScriptedLog::new(&[Append::ReplyLost], u32::MAX);
    let (published, _) = publish(&unreadable, none);
    let PublishOutcome::Unknown { id, .. } = published else {
        panic!("{published:?}");
    };
    assert_eq!(unreadable.ids(), [id]);
    let (published, _) = publish(&ScriptedLog::new(&[Append::Done], u32::MAX), none);
    assert!(matches!(published, PublishOutcome::Unknown { .. }));
}
