//! Threads that wait on the platform's log for the kernel.
//!
//! Reads with a long poll and appends each have a thread of their own, so that none waits behind
//! another; the kernel has at most one read of a stream under way.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Sender};

use super::driver::Input;
use crate::journal::record::{CONFIG_STREAM, LEASE_STREAM};
use crate::kernel::Event;
use crate::log::{AppendOutcome, Log};
use crate::name::Name;

/// Jobs that may wait for a thread; the kernel never has more under way.
const MAX_JOBS: usize = 256;

/// Something to ask the log for.
#[derive(Debug)]
enum Job {
    /// Read a stream.
    Read {
        /// Stream.
        stream: &'static str,
        /// First offset wanted.
        from: u64,
        /// Longest wait for the first record.
        wait: Duration,
    },
    /// Append to a stream.
    Append {
        /// Stream.
        stream: &'static str,
        /// Identifier of the record.
        id: Name,
        /// Payload.
        payload: String,
    },
}

/// Threads that talk to the log.
#[derive(Debug)]
pub(super) struct Follower {
    /// Reads of the configuration stream.
    config: Sender<Job>,
    /// Reads of the lease stream.
    lease: Sender<Job>,
    /// Short reads of other streams.
    other: Sender<Job>,
    /// Appends.
    append: Sender<Job>,
}

impl Follower {
    /// Starts the threads; they end when this is dropped.
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
        // A full queue means that the kernel broke its bound; the read is then lost and due again.
        let _ = sender.try_send(Job::Read { stream, from, wait });
    }

    /// Starts an append; returns false when too many are under way.
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

/// Starts a thread that does jobs until its channel closes.
fn spawn(name: &str, log: Arc<dyn Log>, inputs: Sender<Input>) -> Sender<Job> {
    let (sender, jobs) = channel::bounded::<Job>(MAX_JOBS);
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(256 * 1024)
        .spawn(move || {
            for job in jobs {
                let event = perform(&*log, job);
                if inputs.send(Input::Event(event)).is_err() {
                    return;
                }
            }
        })
        .expect("threads can be started");
    sender
}

/// Does one job and tells what came of it.
fn perform(log: &dyn Log, job: Job) -> Event {
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
