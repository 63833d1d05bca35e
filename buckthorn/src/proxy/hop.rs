//! The hop between nodes: HTTP/2 with prior knowledge and one multiplexed connection per peer.
//!
//! Silent connections are detected in two ways: by PINGs while calls are in flight, and by a short
//! probe before the first call after an idle period. Calls that the protocol reports as not
//! processed (RFC 9113, sections 6.8 and 8.7) count as "not run".

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, Version, header as names};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::body::{self, Body};
use super::header::{DEADLINE, LOAD, REASON, ROLE, Role, SECRET};
use super::limit::Limits;
use super::response::{self, Reason};
use super::socket;
use crate::counter::{Counter, Counters};
use crate::secret::Secrets;

/// Number of peers beyond which those without a connection are removed.
const MAX_PEERS: usize = 1_024;

/// Time after a failed connection attempt during which no other is made.
const REOPEN_PAUSE: Duration = Duration::from_millis(250);

/// Bytes that a field counts beyond its name and value (RFC 9113, section 6.5.2).
const FIELD_OVERHEAD_BYTES: usize = 32;

/// Room for the fields that nodes add for each other, about 20 with their overhead, and the secret.
const ADDED_HEADER_BYTES: usize = 4 * 1024;

/// Why a call got no response from another node.
#[derive(Debug)]
pub enum HopError {
    /// The other node did not process the call.
    NotRun(Reason),
    /// The call may have run.
    Unknown(Reason),
}

/// A call to another node.
#[derive(Debug)]
pub struct HopRequest {
    /// Role of the receiving node.
    pub role: Role,
    /// Request whose target names the service.
    pub request: Request<Body>,
    /// Time by which the head of the response is needed.
    pub deadline: Instant,
    /// Time until the deadline, as sent to the node.
    pub timeout: Duration,
}

/// Connections to other nodes.
#[derive(Debug)]
pub struct Peers {
    /// Peers, sorted by address.
    peers: ArcSwap<Vec<(SocketAddr, Arc<Peer>)>>,
    /// Limits on connections and calls.
    limits: Limits,
    /// Counters of the node.
    counters: Arc<Counters>,
    /// Reference point of the timestamps in [`Peer`] and [`Connection`].
    origin: Instant,
}

/// Another node.
#[derive(Debug, Default)]
struct Peer {
    /// Current connection, if any.
    connection: ArcSwapOption<Connection>,
    /// Held while a connection is being opened, so that only one is opened at a time.
    opening: Mutex<()>,
    /// Time of the last failed connection attempt in microseconds since the origin, 0 for none.
    last_failure: AtomicU64,
}

/// One open connection.
#[derive(Debug)]
struct Connection {
    /// Handle that sends requests.
    sender: http2::SendRequest<Body>,
    /// Aborts the task that drives the connection.
    abort: AbortHandle,
    /// Time of the last response, in microseconds since the origin.
    last_response: AtomicU64,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Otherwise the driver ends by itself after the last call, when no sender is left.
        if self.sender.is_closed() {
            self.abort.abort();
        }
    }
}

impl Peers {
    /// Creates a registry without connections.
    pub fn new(counters: Arc<Counters>, limits: &Limits) -> Self {
        Self {
            peers: ArcSwap::default(),
            limits: limits.clone(),
            counters,
            origin: Instant::now(),
        }
    }

    /// Sends a call to another node and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// The error tells whether the call may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        secrets: &Secrets,
        outgoing: HopRequest,
    ) -> Result<Response<Incoming>, HopError> {
        let (deadline, role) = (outgoing.deadline, outgoing.role);
        let peer = self.peer(address);
        let connection =
            match tokio::time::timeout_at(deadline, self.connection(&peer, address, secrets)).await
            {
                Ok(Some(connection)) => connection,
                Ok(None) => return Err(HopError::NotRun(Reason::Unreachable)),
                Err(_) => return Err(HopError::NotRun(Reason::Timeout)),
            };
        let (parts, body) = add_hop_headers(outgoing, secrets).into_parts();
        let (body, is_body_failed) = body::flagged(body);
        let request = Request::from_parts(parts, body);
        let sent = connection.sender.clone().try_send_request(request);
        match tokio::time::timeout_at(deadline, sent).await {
            Ok(Ok(response)) if !response::is_final(response.status()) => {
                self.counters.increment(Counter::BrokenResponses);
                Err(HopError::Unknown(Reason::Broken))
            }
            Ok(Ok(response)) if is_head_refused(role, &response) => {
                // The connection may date from before a policy that allows longer heads.
                peer.connection.compare_and_swap(&connection, None);
                Err(HopError::NotRun(Reason::HeaderSize))
            }
            Ok(Ok(response)) => {
                connection
                    .last_response
                    .store(self.elapsed(), Ordering::Relaxed);
                Ok(response)
            }
            Ok(Err(mut error)) => {
                if is_body_failed.load(Ordering::Acquire) {
                    return Err(HopError::Unknown(Reason::BodyShort));
                }
                let is_not_sent = error.take_message().is_some();
                Err(self.classify(is_not_sent, error.error()))
            }
            Err(_) => Err(HopError::Unknown(Reason::Timeout)),
        }
    }

    /// Returns the microseconds since the origin.
    fn elapsed(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// Returns the peer at an address, registered if it is new.
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
        // Another thread may have registered the peer first.
        let peers = self.peers.load();
        match peers.binary_search_by_key(&address, |(a, _)| *a) {
            Ok(index) => peers[index].1.clone(),
            Err(_) => new,
        }
    }

    /// Returns a connection that is known to be alive, and opens one if there is none.
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
        // Calls that waited for a failed connection attempt do not each make another.
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

    /// Returns the connection of a peer if it accepts calls.
    fn usable(&self, peer: &Peer) -> Option<Arc<Connection>> {
        peer.connection
            .load_full()
            .filter(|connection| connection.sender.is_ready())
    }

    /// Returns whether the last response is so old that the connection must be probed.
    fn is_stale(&self, connection: &Connection) -> bool {
        let last_response = connection.last_response.load(Ordering::Relaxed);
        let age = Duration::from_micros(self.elapsed().saturating_sub(last_response));
        age > self.limits.probe_after
    }

    /// Returns whether the other node still responds on a connection.
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

    /// Closes a connection that went silent, and counts it once.
    fn drop_silent(&self, peer: &Peer, connection: &Arc<Connection>) {
        let previous = peer.connection.compare_and_swap(connection, None);
        let is_first = previous
            .as_ref()
            .is_some_and(|previous| Arc::ptr_eq(previous, connection));
        if is_first {
            self.counters.increment(Counter::ConnectionsSilent);
        }
        connection.abort.abort();
    }

    /// Opens a connection; `None` on failure.
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
            .max_header_list_size(header_list_bytes(self.limits.header_bytes, &self.limits))
            .max_send_buf_size(self.limits.hop_window_bytes as usize)
            .keep_alive_interval(self.limits.ping_interval)
            .keep_alive_timeout(self.limits.ping_timeout)
            .keep_alive_while_idle(false)
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        self.counters.increment(Counter::ConnectionsOpened);
        let counters = self.counters.clone();
        let task = tokio::spawn(async move {
            if driver.await.is_err_and(|error| error.is_timeout()) {
                counters.increment(Counter::ConnectionsSilent);
            }
        });
        Some(Connection {
            sender,
            abort: task.abort_handle(),
            last_response: AtomicU64::new(self.elapsed()),
        })
    }

    /// Determines from a failed request whether the call may have run.
    fn classify(&self, is_not_sent: bool, error: &hyper::Error) -> HopError {
        if is_not_sent || is_unprocessed(error) {
            return HopError::NotRun(Reason::Unreachable);
        }
        HopError::Unknown(Reason::Reset)
    }
}

/// Returns the flow-control window of a connection, large enough that a slow reader of one call
/// does not block the others.
pub fn connection_window(limits: &Limits) -> u32 {
    let bytes = u64::from(limits.hop_window_bytes) * u64::from(limits.hop_streams);
    bytes.min((1 << 31) - 1) as u32
}

/// Returns the limit on a head between nodes, which every legal head of `header_bytes` fits with what
/// nodes add to it.
pub fn header_list_bytes(header_bytes: usize, limits: &Limits) -> u32 {
    let bytes = header_bytes + limits.headers * FIELD_OVERHEAD_BYTES + ADDED_HEADER_BYTES;
    u32::try_from(bytes).unwrap_or(u32::MAX)
}

/// Returns whether the HTTP library of the other node refused the head of a call: an owner names the
/// load in all of its responses.
fn is_head_refused(role: Role, response: &Response<Incoming>) -> bool {
    role == Role::Owner
        && response.status() == StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
        && !response.headers().contains_key(LOAD)
        && !response.headers().contains_key(REASON)
}

/// Returns whether the other node reported that it did not process the request.
fn is_unprocessed(error: &hyper::Error) -> bool {
    use std::error::Error;

    let Some(error) = error.source().and_then(|e| e.downcast_ref::<h2::Error>()) else {
        return false;
    };
    let is_refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
    let is_shutdown = error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
    error.is_remote() && (is_refused || is_shutdown)
}

/// Adds the headers for the receiving node to a request.
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
