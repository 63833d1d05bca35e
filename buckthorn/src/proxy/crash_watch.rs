//! Detection of crashes of the local backend server.
//!
//! A crash breaks all connections to the backend server at once, and no new one can be opened. A
//! single broken connection is none, so a connection is opened to find out. The calls that were
//! lost are suspects, except those whose requests this node has seen complete: a poison request
//! never does.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam::channel::Sender;
use slog::{Logger, warn};
use tokio::net::TcpStream;

use crate::poison::crash::{Crash, MAX_SUSPECTS};
use crate::poison::fingerprint::{Fingerprint, Suspect};

/// Requests that are remembered as complete. At 200 calls a second they were seen within 40 s.
const COMPLETED: usize = 8 * 1024;

/// Time after a lost call in which the other calls that the same crash broke are noticed.
const SETTLE_TIME: Duration = Duration::from_millis(10);

/// Timeout for the connection that tells whether the backend server still runs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Watches the local backend server for crashes.
#[derive(Debug)]
pub struct Watch {
    /// Fingerprints of requests that completed; each has one place, which the next one takes.
    completed: Vec<AtomicU64>,
    /// Calls that were lost since the last check.
    lost: Mutex<Vec<Option<Suspect>>>,
    /// Queue of detected crashes.
    crashes: Sender<Crash>,
    /// Logger of the node.
    logger: Logger,
}

impl Watch {
    /// Creates a watch that reports crashes to a queue.
    pub fn new(crashes: Sender<Crash>, logger: Logger) -> Self {
        Self {
            completed: (0..COMPLETED).map(|_| AtomicU64::new(0)).collect(),
            lost: Mutex::default(),
            crashes,
            logger,
        }
    }

    /// Records that the backend server ran a request to its end.
    pub fn record_completed(&self, suspect: Option<Suspect>) {
        if let Some(Suspect { fingerprint, .. }) = suspect {
            self.place(fingerprint)
                .store(fingerprint.0, Ordering::Relaxed);
        }
    }

    /// Records that the connection of a call broke, and checks soon after the first one whether the
    /// backend server at an address has crashed.
    pub fn record_lost(self: &Arc<Self>, suspect: Option<Suspect>, address: SocketAddr) {
        let is_first = {
            let mut lost = self.lock();
            lost.push(suspect);
            lost.len() == 1
        };
        if is_first {
            let watch = self.clone();
            tokio::spawn(async move { watch.check(address).await });
        }
    }

    /// Reports a crash unless the backend server still accepts connections.
    async fn check(&self, address: SocketAddr) {
        tokio::time::sleep(SETTLE_TIME).await;
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let lost = std::mem::take(&mut *self.lock());
        if matches!(connected, Ok(Ok(_))) {
            return;
        }
        if let Err(error) = self.crashes.try_send(self.crash(&lost)) {
            warn!(self.logger, "crash not reported"; "error" => error.to_string());
        }
    }

    /// Locks the list of lost calls.
    fn lock(&self) -> MutexGuard<'_, Vec<Option<Suspect>>> {
        self.lost.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the crash in which these calls were lost.
    fn crash(&self, lost: &[Option<Suspect>]) -> Crash {
        let suspects = lost.iter().flatten();
        let is_unknown = |suspect: &&Suspect| !self.has_completed(suspect.fingerprint);
        Crash {
            id: rand::random(),
            lost: lost.len() as u32,
            suspects: suspects
                .filter(is_unknown)
                .take(MAX_SUSPECTS)
                .copied()
                .collect(),
        }
    }

    /// Whether a request is known to have completed.
    fn has_completed(&self, fingerprint: Fingerprint) -> bool {
        self.place(fingerprint).load(Ordering::Relaxed) == fingerprint.0
    }

    /// Place of a fingerprint among those of completed requests.
    fn place(&self, fingerprint: Fingerprint) -> &AtomicU64 {
        &self.completed[fingerprint.0 as usize % COMPLETED]
    }
}
