//! Threads that perform the kernel's reads and appends on the platform's log.
//!
//! Long-poll reads of each stream, other reads, and appends have separate threads, so that none is
//! blocked by another. The kernel has at most one read of a stream in progress.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Sender};

use super::driver::Input;
use crate::journal::record::{CONFIG_STREAM, LEASE_STREAM};
use crate::kernel::Event;
use crate::log::{AppendOutcome, Log};
use crate::name::Name;

/// Capacity of a thread's queue; the kernel never has more jobs in progress.
const MAX_JOBS: usize = 256;

/// Request to the log.
#[derive(Debug)]
enum Job {
    /// Reads records of a stream.
    Read {
        /// Name of the stream.
        stream: &'static str,
        /// Offset of the first record to read.
        from: u64,
        /// Maximum time that the log waits for the first record.
        wait: Duration,
    },
    /// Appends a record to a stream.
    Append {
        /// Name of the stream.
        stream: &'static str,
        /// Identifier of the record.
        id: Name,
        /// Content of the record.
        payload: String,
    },
}

/// Queues of the threads that access the log.
#[derive(Debug)]
pub(super) struct LogWorkers {
    /// Long-poll reads of the configuration stream.
    config: Sender<Job>,
    /// Long-poll reads of the lease stream.
    lease: Sender<Job>,
    /// Short reads of other streams.
    other: Sender<Job>,
    /// Appends.
    append: Sender<Job>,
}

impl LogWorkers {
    /// Starts the threads, which end when the workers are dropped.
    pub(super) fn start(log: &Arc<dyn Log>, inputs: &Sender<Input>) -> Self {
        let spawn = |name: &str| spawn(name, log.clone(), inputs.clone());
        Self {
            config: spawn("log-config"),
            lease: spawn("log-lease"),
            other: spawn("log-other"),
            append: spawn("log-append"),
        }
    }

    /// Starts a read.
    pub(super) fn read(&self, stream: &'static str, from: u64, wait: Duration) {
        let sender = match stream {
            CONFIG_STREAM => &self.config,
            LEASE_STREAM => &self.lease,
            _ => &self.other,
        };
        // The queue is full only if the kernel exceeded its limit. The read is then dropped and the
        // kernel repeats it.
        let _ = sender.try_send(Job::Read { stream, from, wait });
    }

    /// Starts an append; returns false when the queue is full.
    pub(super) fn append(&self, stream: &'static str, id: Name, payload: String) -> bool {
        self.append
            .try_send(Job::Append {
                stream,
                id,
                payload,
            })
            .is_ok()
    }
}

/// Starts a thread that executes jobs until its queue is closed.
fn spawn(name: &str, log: Arc<dyn Log>, inputs: Sender<Input>) -> Sender<Job> {
    let (sender, jobs) = channel::bounded::<Job>(MAX_JOBS);
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(256 * 1024)
        .spawn(move || {
            for job in jobs {
                let event = execute(&*log, job);
                if inputs.send(Input::Event(event)).is_err() {
                    return;
                }
            }
        })
        .expect("threads can be started");
    sender
}

/// Executes one job and returns its outcome as an event.
fn execute(log: &dyn Log, job: Job) -> Event {
    match job {
        Job::Read { stream, from, wait } => match log.read(stream, from, wait) {
            Ok(batch) => Event::LogRead { stream, batch },
            Err(_) => Event::LogReadFailed { stream },
        },
        Job::Append {
            stream,
            id,
            payload,
        } => {
            let result: AppendOutcome = log.append(stream, &id, &payload);
            Event::Appended { id, result }
        }
    }
}
