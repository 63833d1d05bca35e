//! The hop between nodes: HTTP/2 with prior knowledge, many calls on one connection per peer.
//!
//! A connection that went silent is found in two ways: PINGs while calls are in flight, and a
//! short probe before the first call after a pause. What the protocol itself says about calls that
//! were not processed (RFC 9113, sections 6.8 and 8.7) counts as "not run".

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use http::{HeaderValue, Method, Request, Response, Uri, Version, header as names};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::body::{self, Body};
use super::header::{DEADLINE, ROLE, Role, SECRET};
use super::limit::Limits;
use super::response::Reason;
use super::socket;
use crate::counter::{Board, Counter};
use crate::secret::Secrets;

/// Peers remembered; beyond this, those without a connection are forgotten.
const MAX_PEERS: usize = 1_024;

/// Time after a failed attempt to open a connection in which no other is made.
const REOPEN_PAUSE: Duration = Duration::from_millis(250);

/// Why a call got no answer from another node.
#[derive(Debug)]
pub enum HopError {
    /// The other node did not process it.
    NotRun(Reason),
    /// It may have run.
    Unknown(Reason),
}

/// A call as another node gets it.
#[derive(Debug)]
pub struct HopRequest {
    /// Part that the node is asked to play.
    pub role: Role,
    /// Request; its target names the service.
    pub request: Request<Body>,
    /// Time by which the head of the answer is needed.
    pub deadline: Instant,
    /// Time that the node is told it has.
    pub timeout: Duration,
}

/// Connections to other nodes.
#[derive(Debug)]
pub struct Peers {
    /// Peers sorted by address.
    peers: ArcSwap<Vec<(SocketAddr, Arc<Peer>)>>,
    /// Settings of connections.
    limits: Limits,
    /// Counters.
    counters: Arc<Board>,
    /// Origin of the times of last answers.
    origin: Instant,
}

/// Another node.
#[derive(Debug, Default)]
struct Peer {
    /// Connection in use.
    connection: ArcSwapOption<Connection>,
    /// Held by whoever opens a connection.
    opening: Mutex<()>,
    /// When a connection could not be opened last, in microseconds since the origin.
    last_failure: AtomicU64,
}

/// One open connection.
#[derive(Debug)]
struct Connection {
    /// Sends requests.
    sender: http2::SendRequest<Body>,
    /// Ends the connection.
    abort: AbortHandle,
    /// Time of the last answer, in microseconds since the origin.
    last_response: AtomicU64,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The driver ends by itself when the last call has ended and no sender is left.
        if self.sender.is_closed() {
            self.abort.abort();
        }
    }
}

impl Peers {
    /// No connections.
    pub fn new(counters: Arc<Board>, limits: &Limits) -> Self {
        Self {
            peers: ArcSwap::default(),
            limits: limits.clone(),
            counters,
            origin: Instant::now(),
        }
    }

    /// Sends a call to another node and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether the call can have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        secrets: &Secrets,
        outgoing: HopRequest,
    ) -> Result<Response<Incoming>, HopError> {
        let deadline = outgoing.deadline;
        let peer = self.peer(address);
        let connection =
            match tokio::time::timeout_at(deadline, self.connection(&peer, address, secrets)).await
            {
                Ok(Some(connection)) => connection,
                Ok(None) => return Err(HopError::NotRun(Reason::Unreachable)),
                Err(_) => return Err(HopError::NotRun(Reason::Timeout)),
            };
        let request = add_hop_headers(outgoing, secrets);
        let sent = connection.sender.clone().try_send_request(request);
        match tokio::time::timeout_at(deadline, sent).await {
            Ok(Ok(response)) => {
                connection
                    .last_response
                    .store(self.elapsed(), Ordering::Relaxed);
                Ok(response)
            }
            Ok(Err(mut error)) => {
                let is_not_sent = error.take_message().is_some();
                Err(self.classify(is_not_sent, error.error()))
            }
            Err(_) => Err(HopError::Unknown(Reason::Timeout)),
        }
    }

    /// Microseconds since the origin.
    fn elapsed(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// Peer at an address, remembered from now on.
    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let peers = self.peers.load();
        if let Ok(index) = peers.binary_search_by_key(&address, |(a, _)| *a) {
            return peers[index].1.clone();
        }
        let new = Arc::new(Peer::default());
        self.peers.rcu(|peers| {
            let mut peers = Vec::clone(peers);
            if peers.len() >= MAX_PEERS {
                peers.retain(|(_, peer)| peer.connection.load().is_some());
            }
            if let Err(index) = peers.binary_search_by_key(&address, |(a, _)| *a) {
                peers.insert(index, (address, new.clone()));
            }
            peers
        });
        // Another thread may have been first.
        let peers = self.peers.load();
        match peers.binary_search_by_key(&address, |(a, _)| *a) {
            Ok(index) => peers[index].1.clone(),
            Err(_) => new,
        }
    }

    /// Connection that is known to be alive, opened when there is none.
    async fn connection(
        &self,
        peer: &Peer,
        address: SocketAddr,
        secrets: &Secrets,
    ) -> Option<Arc<Connection>> {
        if let Some(connection) = self.usable(peer) {
            if !self.is_stale(&connection) || self.probe(&connection, secrets).await {
                return Some(connection);
            }
            self.drop_silent(peer, &connection);
        }
        let _opening = peer.opening.lock().await;
        if let Some(connection) = self
            .usable(peer)
            .filter(|connection| !self.is_stale(connection))
        {
            return Some(connection);
        }
        // Calls that waited for an attempt that failed do not make one each.
        let last_failure = Duration::from_micros(peer.last_failure.load(Ordering::Relaxed));
        if !last_failure.is_zero()
            && self.origin.elapsed().saturating_sub(last_failure) < REOPEN_PAUSE
        {
            return None;
        }
        let Some(connection) = self.open(address).await else {
            peer.last_failure
                .store(self.elapsed().max(1), Ordering::Relaxed);
            return None;
        };
        let connection = Arc::new(connection);
        peer.connection.store(Some(connection.clone()));
        Some(connection)
    }

    /// Connection of a peer that takes calls.
    fn usable(&self, peer: &Peer) -> Option<Arc<Connection>> {
        peer.connection
            .load_full()
            .filter(|connection| connection.sender.is_ready())
    }

    /// Whether a connection has not been heard from for so long that it has to be tried.
    fn is_stale(&self, connection: &Connection) -> bool {
        let last_response = connection.last_response.load(Ordering::Relaxed);
        let age = Duration::from_micros(self.elapsed().saturating_sub(last_response));
        age > self.limits.probe_after
    }

    /// Whether the other node still answers on a connection.
    async fn probe(&self, connection: &Connection, secrets: &Secrets) -> bool {
        let mut request = Request::new(body::empty());
        *request.method_mut() = Method::HEAD;
        *request.uri_mut() = Uri::from_static("http://node/");
        let outgoing = HopRequest {
            role: Role::Probe,
            request,
            deadline: Instant::now() + self.limits.ping_timeout,
            timeout: self.limits.ping_timeout,
        };
        let deadline = outgoing.deadline;
        let sent = connection
            .sender
            .clone()
            .send_request(add_hop_headers(outgoing, secrets));
        let is_alive = matches!(
            tokio::time::timeout_at(deadline, sent).await,
            Ok(Ok(response)) if response.status().is_success()
        );
        if is_alive {
            connection
                .last_response
                .store(self.elapsed(), Ordering::Relaxed);
        }
        is_alive
    }

    /// Closes a connection that fell silent.
    fn drop_silent(&self, peer: &Peer, connection: &Arc<Connection>) {
        let held = peer.connection.compare_and_swap(connection, None);
        let is_first = held
            .as_ref()
            .is_some_and(|held| Arc::ptr_eq(held, connection));
        if is_first {
            self.counters.hit(Counter::ConnectionsSilent);
        }
        connection.abort.abort();
    }

    /// Opens a connection.
    async fn open(&self, address: SocketAddr) -> Option<Connection> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.limits.connect_timeout, connect)
            .await
            .ok()?
            .ok()?;
        socket::keep_alive(&stream);
        let (sender, driver) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(self.limits.hop_window_bytes)
            .initial_connection_window_size(connection_window(&self.limits))
            .initial_max_send_streams(self.limits.hop_streams as usize)
            .max_header_list_size(self.limits.header_bytes as u32)
            .max_send_buf_size(self.limits.hop_window_bytes as usize)
            .keep_alive_interval(self.limits.ping_interval)
            .keep_alive_timeout(self.limits.ping_timeout)
            .keep_alive_while_idle(false)
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        self.counters.hit(Counter::ConnectionsOpened);
        let counters = self.counters.clone();
        let task = tokio::spawn(async move {
            if driver.await.is_err_and(|error| error.is_timeout()) {
                counters.hit(Counter::ConnectionsSilent);
            }
        });
        Some(Connection {
            sender,
            abort: task.abort_handle(),
            last_response: AtomicU64::new(self.elapsed()),
        })
    }

    /// What a failed request says about the call.
    fn classify(&self, is_not_sent: bool, error: &hyper::Error) -> HopError {
        if is_not_sent || is_unprocessed(error) {
            return HopError::NotRun(Reason::Unreachable);
        }
        HopError::Unknown(Reason::Reset)
    }
}

/// Bytes in flight on one connection: enough that a slow reader of one call holds up no other.
pub fn connection_window(limits: &Limits) -> u32 {
    let bytes = u64::from(limits.hop_window_bytes) * u64::from(limits.hop_streams);
    bytes.min((1 << 31) - 1) as u32
}

/// Whether the other node says that it did not process the request.
fn is_unprocessed(error: &hyper::Error) -> bool {
    use std::error::Error;

    let Some(error) = error.source().and_then(|e| e.downcast_ref::<h2::Error>()) else {
        return false;
    };
    let is_refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
    let is_shutdown = error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
    error.is_remote() && (is_refused || is_shutdown)
}

/// Adds what the other node needs to know to a request.
fn add_hop_headers(outgoing: HopRequest, secrets: &Secrets) -> Request<Body> {
    let HopRequest {
        role,
        mut request,
        timeout,
        ..
    } = outgoing;
    let headers = request.headers_mut();
    headers.remove(names::HOST);
    if let Ok(secret) = HeaderValue::from_str(secrets.current()) {
        headers.insert(SECRET, secret);
    }
    headers.insert(ROLE, HeaderValue::from_static(role.as_str()));
    headers.insert(DEADLINE, HeaderValue::from(timeout.as_millis() as u64));
    *request.version_mut() = Version::HTTP_2;
    request
}
