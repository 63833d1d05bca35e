//! HTTP/1.1 server of a port that takes few and small requests.
//!
//! Peers that send nothing or very slowly don't keep others out: when the port has no room for
//! another connection, the one that has made no progress for longest is closed.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::time::MissedTickBehavior;

use crate::counter::{Counter, Counters};
use crate::proxy::connections::{Admission, ConnectionState, Registry};
use crate::proxy::eviction::Timeouts;
use crate::proxy::socket::Socket;

/// Maximum size of a request's headers in bytes.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Timeout for reading a request's headers, for reading its body, and for a blocked write.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two checks of the timeouts of connections.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a failed accept, most likely because the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Response with its body in memory.
pub type HttpResponse = Response<Full<Bytes>>;

/// Settings of a port.
#[derive(Clone, Debug)]
pub struct Port {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Longest time without a request on a connection.
    pub idle_timeout: Duration,
    /// Counters of the node.
    pub counters: Arc<Counters>,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is too long.
    TooLong,
    /// It ended early.
    Short,
    /// It did not arrive in time.
    Timeout,
}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
///
/// Returns why the body was not read; that it was too long or too late is counted.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    counters: &Counters,
) -> Result<Bytes, BodyError> {
    match tokio::time::timeout(REQUEST_TIMEOUT, copy(body, max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            counters.increment(Counter::RefusedBodySize);
            Err(BodyError::TooLong)
        }
        Ok(Err(_)) => Err(BodyError::Short),
        Err(_) => {
            counters.increment(Counter::RefusedBodyTimeout);
            Err(BodyError::Timeout)
        }
    }
}

/// Copies a body. The frames are not kept, as each would keep the whole buffer that it was received
/// in.
async fn copy(
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
    let mut body = Limited::new(body, max_bytes);
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame?.data_ref() {
            read.extend_from_slice(data);
        }
    }
    Ok(read.freeze())
}

/// Serves requests on a listener; must be called inside a tokio runtime.
///
/// # Errors
///
/// Fails when the listener cannot be registered with the runtime.
pub fn serve<H, F>(
    listener: TcpListener,
    port: Port,
    handle: H,
) -> std::io::Result<impl Future<Output = ()> + Send>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    Ok(accept(listener, port, handle))
}

/// Accepts connections.
async fn accept<H, F>(listener: tokio::net::TcpListener, port: Port, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let mut registry = Registry::new(port.max_connections);
    let mut expiry = tokio::time::interval(EXPIRY_INTERVAL);
    expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = expiry.tick() => {
                registry.expire(&Timeouts {
                    head: REQUEST_TIMEOUT,
                    idle: port.idle_timeout,
                    is_shortage: false,
                });
                continue;
            }
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let state = match registry.admit() {
            Admission::Open(state) => state,
            Admission::Replaced(state, _) => {
                port.counters.increment(Counter::ConnectionsEvicted);
                state
            }
            Admission::Refused => {
                port.counters.increment(Counter::RefusedConnections);
                continue;
            }
        };
        let (port, handle) = (port.clone(), handle.clone());
        tokio::spawn(async move { serve_connection(stream, &state, &port, handle).await });
    }
}

/// Serves one connection and counts it when it fails before a request is complete.
async fn serve_connection<H, F>(
    stream: TcpStream,
    state: &Arc<ConnectionState>,
    port: &Port,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = HttpResponse>,
{
    let service = service_fn(|request: Request<Incoming>| {
        state.begin_request(!http_body::Body::is_end_stream(request.body()));
        let response = handle(request);
        async {
            let response = response.await;
            // Its body is in memory, so the connection is only held up by a reader that stalls.
            state.end_body();
            state.end_request();
            Ok::<_, Infallible>(response)
        }
    });
    let socket = Socket::new(stream, state.clone(), REQUEST_TIMEOUT);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_TIMEOUT.max(port.idle_timeout))
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    let is_head_late = || state.view().head_age.is_some();
    let counter = tokio::select! {
        result = connection => match result {
            Err(error) if error.is_parse_too_large() => Counter::RefusedHeaderSize,
            Err(error) if error.is_parse() => Counter::RefusedBadRequest,
            Err(error) if error.is_timeout() && is_head_late() => Counter::RefusedHeaderTimeout,
            // Any other error only affects the client of this connection.
            Ok(()) | Err(_) => return,
        },
        _ = state.closing() => match is_head_late() {
            true => Counter::RefusedHeaderTimeout,
            false => return,
        },
    };
    port.counters.increment(counter);
}
