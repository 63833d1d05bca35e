//! Folds the configuration stream and publishes changes to it.
//!
//! Each change carries a unique identifier. When the reply to an append is lost, the stream is read
//! to its end in search of that identifier before the append is retried. The fold also applies an
//! identifier only once, so a change never takes effect twice.

use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use buckthorn::clock::Clock;
use buckthorn::config::change::Change;
use buckthorn::journal::checkpoint;
use buckthorn::journal::fold::{Outcome, Refusal, State};
use buckthorn::journal::record::{self, Body, CHECKPOINT_STREAM, CONFIG_STREAM};
use buckthorn::log::{AppendOutcome, Log};
use rand::Rng;

use crate::settings::Settings;

/// Upper bound of the jittered delay before the first retry.
const RETRY_BASE: Duration = Duration::from_millis(100);

/// Upper bound of the jittered delay before any retry.
const RETRY_CAP: Duration = Duration::from_secs(2);

/// How long to wait for a record whose append may still be in flight after its reply was lost.
const LATE_APPEND_WAIT: Duration = Duration::from_secs(1);

/// Number of checkpoints tried, starting from the newest.
const CHECKPOINTS_TRIED: u64 = 4;

/// Configuration state of one command, folded from the log.
pub struct Session<'a> {
    /// Log that holds the configuration and checkpoint streams.
    log: &'a dyn Log,
    /// How long to retry while the log is unreachable.
    timeout: Duration,
    /// State folded from the records read so far.
    state: State,
    /// Identifier of the change being published and its outcome, once its record has been folded.
    pending: Option<(String, Option<ChangeOutcome>)>,
}

/// Outcome of folding a published change.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ChangeOutcome {
    /// The change took effect.
    Accepted,
    /// The change had no effect, with the reason.
    Refused(String),
}

/// Outcome of publishing a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The change is in force.
    Accepted,
    /// The change is in the log, but the fold refused it.
    Refused {
        /// Reason given by the fold.
        reason: String,
    },
    /// The change is not in the log.
    Failed {
        /// Reason given by the log for the last attempt.
        reason: String,
    },
    /// The change may or may not be in the log, or may not have been folded.
    Unknown {
        /// Identifier of the change, to search the history for.
        id: String,
        /// Why the outcome is unknown.
        reason: String,
    },
}

/// Exponential backoff with full jitter, bounded by a deadline.
struct Backoff {
    /// Time after which no further attempt is made.
    deadline: Instant,
    /// Upper bound of the next delay; doubles up to [`RETRY_CAP`].
    ceiling: Duration,
}

impl Backoff {
    /// Starts a backoff that ends after `timeout`.
    fn new(timeout: Duration) -> Self {
        Self {
            deadline: Instant::now() + timeout,
            ceiling: RETRY_BASE,
        }
    }

    /// Sleeps before the next attempt, or returns false once the deadline has passed.
    fn sleep(&mut self) -> bool {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return false;
        }
        let delay = self.ceiling.mul_f64(rand::rng().random::<f64>());
        std::thread::sleep(delay.min(remaining));
        self.ceiling = (self.ceiling * 2).min(RETRY_CAP);
        true
    }
}

impl<'a> Session<'a> {
    /// Opens a session on the configured log and reads the configuration stream to its end.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read within the timeout.
    pub fn open(settings: &'a Settings) -> anyhow::Result<Self> {
        Self::with_log(&*settings.log, settings.timeout)
    }

    /// Opens a session on the given log and reads the configuration stream to its end.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read within the timeout.
    pub fn with_log(log: &'a dyn Log, timeout: Duration) -> anyhow::Result<Self> {
        let mut session = Self {
            log,
            timeout,
            state: State::new(),
            pending: None,
        };
        session.refresh()?;
        Ok(session)
    }

    /// Returns the state folded so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Reads to the end of the stream, retrying until the timeout.
    ///
    /// # Errors
    ///
    /// Returns the last error when no read succeeds within the timeout.
    pub fn refresh(&mut self) -> anyhow::Result<()> {
        let mut backoff = Backoff::new(self.timeout);
        loop {
            match self.read(Duration::ZERO) {
                Ok(()) => return Ok(()),
                Err(error) if !backoff.sleep() => return Err(error),
                Err(_) => {}
            }
        }
    }

    /// Waits up to `wait` for new records and folds them; does not retry.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read.
    pub fn wait(&mut self, wait: Duration) -> anyhow::Result<()> {
        self.read(wait)
    }

    /// Reads to the end of the stream, waiting up to `wait` for the first record.
    fn read(&mut self, wait: Duration) -> anyhow::Result<()> {
        let mut wait = wait;
        loop {
            let batch = self.log.read(CONFIG_STREAM, self.state.next, wait)?;
            wait = Duration::ZERO;
            if batch.earliest > self.state.next {
                self.resume_from_checkpoint(batch.earliest)?;
                continue;
            }
            if batch.next < self.state.next {
                bail!(
                    "the log ends at offset {}, but it was already read up to {}",
                    batch.next,
                    self.state.next
                );
            }
            for record in &batch.records {
                let fold_outcome = self.state.apply(record);
                if let Some((id, outcome)) = &mut self.pending
                    && **id == *record.id
                    && *outcome != Some(ChangeOutcome::Accepted)
                {
                    *outcome = Some(ChangeOutcome::from_fold(&fold_outcome));
                }
            }
            if self.state.next >= batch.next {
                return Ok(());
            }
            if batch.records.is_empty() {
                bail!(
                    "the log returned no record at offset {}, although it ends at {}",
                    self.state.next,
                    batch.next
                );
            }
        }
    }

    /// Replaces the state by that of the newest valid checkpoint, after the log was trimmed.
    fn resume_from_checkpoint(&mut self, earliest: u64) -> anyhow::Result<()> {
        let end = self.log.read(CHECKPOINT_STREAM, u64::MAX, Duration::ZERO)?;
        let from = end.next.saturating_sub(CHECKPOINTS_TRIED);
        let batch = self.log.read(CHECKPOINT_STREAM, from, Duration::ZERO)?;
        let state = checkpoint::newest_valid_state(&batch.records)
            .filter(|state| state.next >= earliest)
            .with_context(|| {
                format!("the log was trimmed up to {earliest} and no checkpoint reaches that far")
            })?;
        if state.version < self.state.version {
            bail!("the checkpoint is older than the state already read");
        }
        self.state = state;
        if let Some((id, outcome @ None)) = &mut self.pending {
            let entry = self.state.history.iter().find(|entry| *entry.id == **id);
            *outcome = entry.map(|entry| match entry.is_accepted {
                true => ChangeOutcome::Accepted,
                false => ChangeOutcome::Refused(entry.text.clone()),
            });
        }
        Ok(())
    }

    /// Publishes a change and waits until its record has been folded.
    pub fn publish(&mut self, change: &Change) -> PublishOutcome {
        let id = change_id(&change.author);
        let payload = record::encode(Body::Change(change.clone()));
        self.pending = Some((id.clone(), None));
        let outcome = self.publish_with_id(&id, &payload);
        self.pending = None;
        outcome
    }

    /// Appends an encoded change under its identifier, retrying until its outcome is known.
    fn publish_with_id(&mut self, id: &str, payload: &str) -> PublishOutcome {
        let mut backoff = Backoff::new(self.timeout);
        loop {
            let (reason, wait) = match self.log.append(CONFIG_STREAM, id, payload) {
                AppendOutcome::Done { .. } => return self.await_fold(id),
                AppendOutcome::Refused { reason } => (reason, None),
                AppendOutcome::Unknown { reason } => (reason, Some(LATE_APPEND_WAIT)),
            };
            if let Some(wait) = wait {
                // Retry the append only once the stream has been read to its end.
                while let Err(error) = self.await_pending(wait) {
                    if !backoff.sleep() {
                        return PublishOutcome::Unknown {
                            id: id.into(),
                            reason: format!("{reason}; reading the log then failed: {error:#}"),
                        };
                    }
                }
            }
            if let Some(outcome) = self.pending_outcome() {
                return outcome;
            }
            if !backoff.sleep() {
                return match wait {
                    None => PublishOutcome::Failed { reason },
                    Some(_) => PublishOutcome::Unknown {
                        id: id.into(),
                        reason,
                    },
                };
            }
        }
    }

    /// Reads the stream to its end, then waits for the pending record if it was not found.
    fn await_pending(&mut self, wait: Duration) -> anyhow::Result<()> {
        self.read(Duration::ZERO)?;
        if self.pending_outcome().is_none() {
            self.read(wait)?;
        }
        Ok(())
    }

    /// Reads until the pending record, which is known to be in the log, has been folded.
    fn await_fold(&mut self, id: &str) -> PublishOutcome {
        let mut backoff = Backoff::new(self.timeout);
        loop {
            let reason = match self.read(Duration::ZERO) {
                Ok(()) => "the change is in the log but was not read back".to_owned(),
                Err(error) => format!("the change is in the log, but {error:#}"),
            };
            if let Some(outcome) = self.pending_outcome() {
                return outcome;
            }
            if !backoff.sleep() {
                return PublishOutcome::Unknown {
                    id: id.into(),
                    reason,
                };
            }
        }
    }

    /// Outcome of the pending change, if its record has been folded.
    fn pending_outcome(&self) -> Option<PublishOutcome> {
        let (_, outcome) = self.pending.as_ref()?;
        outcome.as_ref().map(|outcome| match outcome {
            ChangeOutcome::Accepted => PublishOutcome::Accepted,
            ChangeOutcome::Refused(reason) => PublishOutcome::Refused {
                reason: reason.clone(),
            },
        })
    }
}

impl ChangeOutcome {
    /// Converts the fold's outcome for the record of a change.
    fn from_fold(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Applied | Outcome::Accepted | Outcome::Duplicate => Self::Accepted,
            Outcome::Refused(Refusal::Stale { .. }) => {
                Self::Refused("someone else changed the intent first".into())
            }
            Outcome::Refused(refusal) => Self::Refused(refusal.to_string()),
            Outcome::Gap => Self::Refused("earlier records are missing".into()),
        }
    }
}

/// Generates a unique identifier for a change from its author, the time and a random number.
fn change_id(author: &str) -> String {
    let now = Clock::new().now();
    let random: u64 = rand::rng().random();
    let author: String = author
        .chars()
        .filter(|c| c.is_ascii_alphanumeric() || matches!(c, '@' | '.' | '-' | '_'))
        .take(40)
        .collect();
    format!("{author}-{}-{random:016x}", now.as_millis())
}
