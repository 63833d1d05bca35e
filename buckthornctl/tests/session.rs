//! Publishing over logs whose replies say little.

use std::sync::Mutex;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::change::{Change, Operation};
use buckthorn::journal::record::Record;
use buckthorn::log::{AppendOutcome, Batch, Log};
use buckthornctl::session::{PublishOutcome, Session};

/// What a log does with an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// Takes it and says so.
    Done,
    /// Takes it; the reply is lost.
    Lost,
    /// Takes it only when the next append arrives; the reply is lost.
    Late,
    /// Does not take it; the reply is lost.
    Dropped,
    /// Refuses it.
    Refused,
}

/// Log that treats each append as told, the last fate for all that follow.
struct Script {
    /// What it holds.
    inner: Mutex<Inner>,
}

/// What a scripted log holds.
#[derive(Default)]
struct Inner {
    /// Fates to come, the next one last.
    fates: Vec<Fate>,
    /// Records taken.
    records: Vec<Record>,
    /// Records to be taken before the next append.
    late: Vec<(String, String)>,
    /// Reads that fail, from the first append on.
    failing_reads: u32,
}

impl Inner {
    /// Takes a record and gives its offset.
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

impl Script {
    /// Log with fates in order.
    fn new(fates: &[Fate], failing_reads: u32) -> Self {
        let mut fates = fates.to_vec();
        fates.reverse();
        Self {
            inner: Mutex::new(Inner {
                fates,
                failing_reads,
                ..Inner::default()
            }),
        }
    }

    /// Identifiers of the records, in order.
    fn ids(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        inner
            .records
            .iter()
            .map(|record| record.id.to_string())
            .collect()
    }
}

impl Log for Script {
    fn read(&self, _stream: &str, from: u64, _wait: Duration) -> anyhow::Result<Batch> {
        let mut inner = self.inner.lock().unwrap();
        let has_appended = !inner.records.is_empty() || !inner.late.is_empty();
        if has_appended && inner.failing_reads > 0 {
            inner.failing_reads -= 1;
            anyhow::bail!("the log is away");
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
        for (id, payload) in std::mem::take(&mut inner.late) {
            inner.push(&id, &payload);
        }
        let fate = match inner.fates.len() {
            1 => inner.fates[0],
            _ => inner.fates.pop().unwrap(),
        };
        let reason = String::from("lost");
        match fate {
            Fate::Done => AppendOutcome::Done {
                offset: inner.push(id, payload),
            },
            Fate::Lost => {
                inner.push(id, payload);
                AppendOutcome::Unknown { reason }
            }
            Fate::Late => {
                inner.late.push((id.into(), payload.into()));
                AppendOutcome::Unknown { reason }
            }
            Fate::Dropped => AppendOutcome::Unknown { reason },
            Fate::Refused => AppendOutcome::Refused { reason },
        }
    }
}

/// Publishes one change and gives what came of it and how often it was accepted.
fn publish(log: &Script, timeout: Duration) -> (PublishOutcome, usize) {
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
fn a_change_takes_effect_once_whatever_becomes_of_its_replies() {
    let long = Duration::from_secs(60);
    for fates in [
        &[Fate::Done][..],
        &[Fate::Lost],
        &[Fate::Dropped, Fate::Done],
        &[Fate::Refused, Fate::Refused, Fate::Lost],
        &[Fate::Late, Fate::Done],
        &[Fate::Late, Fate::Lost],
        &[Fate::Late, Fate::Late, Fate::Done],
    ] {
        for failing_reads in [0, 2] {
            let log = Script::new(fates, failing_reads);
            let (published, accepted) = publish(&log, long);
            assert_eq!(
                (published, accepted),
                (PublishOutcome::Accepted, 1),
                "{fates:?}"
            );
            let ids = log.ids();
            assert!(ids.iter().all(|id| *id == ids[0]), "{fates:?}: {ids:?}");
        }
    }
}

#[test]
fn a_lost_reply_is_looked_up_before_the_append_is_tried_again() {
    let log = Script::new(&[Fate::Lost, Fate::Done], 3);
    let (published, _) = publish(&log, Duration::from_secs(60));
    assert_eq!((published, log.ids().len()), (PublishOutcome::Accepted, 1));
}

#[test]
fn what_is_not_known_is_not_claimed() {
    let none = Duration::ZERO;
    let (published, _) = publish(&Script::new(&[Fate::Refused], 0), none);
    assert!(matches!(published, PublishOutcome::Failed { .. }));
    let (published, _) = publish(&Script::new(&[Fate::Dropped], 0), none);
    assert!(matches!(published, PublishOutcome::Unknown { .. }));
    let away = Script::new(&[Fate::Lost], u32::MAX);
    let (published, _) = publish(&away, none);
    let PublishOutcome::Unknown { id, .. } = published else {
        panic!("{published:?}");
    };
    assert_eq!(away.ids(), [id]);
    let (published, _) = publish(&Script::new(&[Fate::Done], u32::MAX), none);
    assert!(matches!(published, PublishOutcome::Unknown { .. }));
}
