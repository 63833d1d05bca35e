//! A fold of the configuration stream, and changes published to it.
//!
//! A change carries an identifier that no other attempt has. When the reply to its append is lost,
//! the stream is read up to its end for the identifier before the append is tried again, and the
//! fold takes an identifier once only; so a change never takes effect twice.

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

/// Ceiling of the first delay before something is tried again.
const RETRY_BASE: Duration = Duration::from_millis(100);

/// Ceiling of every delay before something is tried again.
const RETRY_CAP: Duration = Duration::from_secs(2);

/// Wait for a record whose append is still under way when its reply is lost.
const LATE_APPEND_WAIT: Duration = Duration::from_secs(1);

/// Checkpoints tried, from the newest.
const CHECKPOINTS_TRIED: u64 = 4;

/// Fold of the configuration stream.
pub struct Session<'a> {
    /// Log service.
    log: &'a dyn Log,
    /// Time to go on trying while the log is away.
    timeout: Duration,
    /// State folded so far.
    state: State,
    /// Identifier of the change being published and what the fold said of it.
    pending: Option<(String, Option<Verdict>)>,
}

/// What the fold said of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Verdict {
    /// It took effect.
    Accepted,
    /// It did not.
    Refused(String),
}

/// What came of publishing a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is in force.
    Accepted,
    /// The fold refused it.
    Refused {
        /// Why.
        reason: String,
    },
    /// It is not in the log.
    Failed {
        /// Why.
        reason: String,
    },
    /// It may be in the log.
    Unknown {
        /// Identifier to look for.
        id: String,
        /// Why nothing is known.
        reason: String,
    },
}

/// Delays with full jitter, bounded by a deadline.
struct Backoff {
    /// When to give up.
    deadline: Instant,
    /// Ceiling of the next delay.
    ceiling: Duration,
}

impl Backoff {
    /// Delays until a time from now has passed.
    fn new(timeout: Duration) -> Self {
        Self {
            deadline: Instant::now() + timeout,
            ceiling: RETRY_BASE,
        }
    }

    /// Sleeps before the next attempt, or returns false when the time is over.
    fn sleep(&mut self) -> bool {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let delay = self.ceiling.mul_f64(rand::rng().random::<f64>());
        std::thread::sleep(delay.min(left));
        self.ceiling = (self.ceiling * 2).min(RETRY_CAP);
        true
    }
}

impl<'a> Session<'a> {
    /// Session that has read the stream up to its end.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read within the timeout.
    pub fn open(settings: &'a Settings) -> anyhow::Result<Self> {
        Self::with_log(&*settings.log, settings.timeout)
    }

    /// Session on any log that has read the stream up to its end.
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

    /// State folded so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Reads up to the end of the stream, trying again until the timeout.
    ///
    /// # Errors
    ///
    /// Gives the last error.
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

    /// Waits for records beyond the state, once.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read.
    pub fn wait(&mut self, wait: Duration) -> anyhow::Result<()> {
        self.read(wait)
    }

    /// Reads up to the end of the stream, waiting for the first record.
    fn read(&mut self, wait: Duration) -> anyhow::Result<()> {
        let mut wait = wait;
        loop {
            let batch = self.log.read(CONFIG_STREAM, self.state.next, wait)?;
            wait = Duration::ZERO;
            if batch.earliest > self.state.next {
                self.resume(batch.earliest)?;
                continue;
            }
            if batch.next < self.state.next {
                bail!(
                    "the log ends at offset {}, but {} was read before",
                    batch.next,
                    self.state.next
                );
            }
            for record in &batch.records {
                let outcome = self.state.apply(record);
                if let Some((id, verdict)) = &mut self.pending
                    && **id == *record.id
                    && *verdict != Some(Verdict::Accepted)
                {
                    *verdict = Some(Verdict::of(&outcome));
                }
            }
            if self.state.next >= batch.next {
                return Ok(());
            }
            if batch.records.is_empty() {
                bail!(
                    "the log gives no record at offset {}, though it ends at {}",
                    self.state.next,
                    batch.next
                );
            }
        }
    }

    /// Goes on from a checkpoint after the log was trimmed.
    fn resume(&mut self, earliest: u64) -> anyhow::Result<()> {
        let end = self.log.read(CHECKPOINT_STREAM, u64::MAX, Duration::ZERO)?;
        let from = end.next.saturating_sub(CHECKPOINTS_TRIED);
        let batch = self.log.read(CHECKPOINT_STREAM, from, Duration::ZERO)?;
        let state = checkpoint::newest_valid_state(&batch.records)
            .filter(|state| state.next >= earliest)
            .with_context(|| {
                format!("the log was trimmed up to {earliest} and no checkpoint reaches that far")
            })?;
        if state.version < self.state.version {
            bail!("the checkpoint is older than what was read before");
        }
        self.state = state;
        if let Some((id, verdict @ None)) = &mut self.pending {
            let entry = self.state.history.iter().find(|entry| *entry.id == **id);
            *verdict = entry.map(|entry| match entry.is_accepted {
                true => Verdict::Accepted,
                false => Verdict::Refused(entry.text.clone()),
            });
        }
        Ok(())
    }

    /// Publishes a change and waits for what the fold says of it.
    pub fn publish(&mut self, change: &Change) -> PublishOutcome {
        let id = change_id(&change.author);
        let payload = record::encode(Body::Change(change.clone()));
        self.pending = Some((id.clone(), None));
        let published = self.publish_as(&id, &payload);
        self.pending = None;
        published
    }

    /// Publishes a change under its identifier.
    fn publish_as(&mut self, id: &str, payload: &str) -> PublishOutcome {
        let mut backoff = Backoff::new(self.timeout);
        loop {
            let (reason, wait) = match self.log.append(CONFIG_STREAM, id, payload) {
                AppendOutcome::Done { .. } => return self.settle(id),
                AppendOutcome::Refused { reason } => (reason, None),
                AppendOutcome::Unknown { reason } => (reason, Some(LATE_APPEND_WAIT)),
            };
            if let Some(wait) = wait {
                // The append is tried again only after the stream was read to its end.
                while let Err(error) = self.look_up(wait) {
                    if !backoff.sleep() {
                        return PublishOutcome::Unknown {
                            id: id.into(),
                            reason: format!("{reason}; then {error:#}"),
                        };
                    }
                }
            }
            if let Some(published) = self.verdict() {
                return published;
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

    /// Reads the stream to its end, waiting for a record that is still under way.
    fn look_up(&mut self, wait: Duration) -> anyhow::Result<()> {
        self.read(Duration::ZERO)?;
        if self.verdict().is_none() {
            self.read(wait)?;
        }
        Ok(())
    }

    /// Reads until the fold has seen a record that is in the log.
    fn settle(&mut self, id: &str) -> PublishOutcome {
        let mut backoff = Backoff::new(self.timeout);
        loop {
            let reason = match self.read(Duration::ZERO) {
                Ok(()) => "it is in the log but was not read back".to_owned(),
                Err(error) => format!("it is in the log, but {error:#}"),
            };
            if let Some(published) = self.verdict() {
                return published;
            }
            if !backoff.sleep() {
                return PublishOutcome::Unknown {
                    id: id.into(),
                    reason,
                };
            }
        }
    }

    /// What the fold said of the pending change.
    fn verdict(&self) -> Option<PublishOutcome> {
        let (_, verdict) = self.pending.as_ref()?;
        verdict.as_ref().map(|verdict| match verdict {
            Verdict::Accepted => PublishOutcome::Accepted,
            Verdict::Refused(reason) => PublishOutcome::Refused {
                reason: reason.clone(),
            },
        })
    }
}

impl Verdict {
    /// What an outcome says of a change.
    fn of(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Applied | Outcome::Accepted | Outcome::Duplicate => Self::Accepted,
            Outcome::Refused(Refusal::Stale { .. }) => {
                Self::Refused("someone else changed the intent first".into())
            }
            Outcome::Refused(refusal) => Self::Refused(refusal.to_string()),
            Outcome::Gap => Self::Refused("records before it are missing".into()),
        }
    }
}

/// Identifier of one attempt to change something.
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
