//! Server of the control protocol.
//!
//! A request is authenticated by its headers before its body is read. A connection is closed if it
//! is idle for [`IDLE_TIMEOUT`], if its headers take longer than that, or after a request without the
//! secret. When there is no room for another connection, the oldest one on which no request had the
//! secret is closed. A request is answered within [`REQUEST_TIMEOUT`].

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use jsonrpsee::RpcModule;
use jsonrpsee::core::http_helpers;
use jsonrpsee::server::{
    BatchRequestConfig, Server, ServerConfig, ServerHandle, StopHandle, stop_channel,
};
use jsonrpsee::types::{ErrorObjectOwned, Params};
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;
use tower::Service;

use crate::counter::{Counter, Counters};

use super::message::{Envelope, Message};
use super::{MAX_MESSAGE_BYTES, METHOD, RESPONSE_HEADER_BYTES, depth};
use crate::proxy::connections::{Admission, ConnectionState, Registry};
use crate::proxy::eviction::{Timeouts, VERIFY_TIMEOUT};
use crate::proxy::socket::Socket;
use crate::secret::Secrets;

/// Time after which an idle connection is closed, and time limit for receiving headers.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limit from the end of a request's headers to its response.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between two checks of the timeouts of connections.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// JSON-RPC error code: the queue of inbound envelopes is full.
pub const CODE_BUSY: i32 = -32_001;

/// JSON-RPC error code: the node is stopping.
pub const CODE_STOPPING: i32 = -32_002;

/// Limits of the server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of an envelope, in bytes.
    pub message_bytes: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 256,
            message_bytes: MAX_MESSAGE_BYTES,
        }
    }
}

/// Received envelope that awaits its reply.
#[derive(Debug)]
pub struct Inbound {
    /// Received envelope.
    pub envelope: Envelope,
    /// Takes the messages of the reply; if it is dropped, the sender gets [`CODE_STOPPING`].
    pub reply: oneshot::Sender<Vec<Message>>,
}

/// Handle of a running server; dropping it stops the server.
#[derive(Debug)]
pub struct Handle {
    /// Address that the server listens on.
    address: SocketAddr,
    /// Stops the server when asked to or when dropped.
    server: ServerHandle,
}

impl Handle {
    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting requests; requests in progress are completed.
    pub fn stop(&self) {
        // An error means that the server has already stopped.
        let _ = self.server.stop();
    }
}

/// State shared by all connections.
struct Shared {
    /// Secrets that requests may authenticate with.
    secrets: Secrets,
    /// Limits of the server.
    limits: Limits,
    /// Counters of the node.
    counters: Arc<Counters>,
    /// Queue of received envelopes.
    inbound: crossbeam::channel::Sender<Inbound>,
}

/// Serves the control protocol on a listener until the handle is dropped.
///
/// `host` is the sender given in replies. Must be called within a Tokio runtime.
///
/// # Errors
///
/// Fails if the listener cannot be registered with the runtime.
pub fn serve(
    host: crate::name::Name,
    listener: TcpListener,
    secrets: Secrets,
    limits: Limits,
    counters: Arc<Counters>,
    inbound: crossbeam::channel::Sender<Inbound>,
) -> anyhow::Result<Handle> {
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let shared = Arc::new(Shared {
        secrets,
        limits,
        counters,
        inbound,
    });
    let (stop, server) = stop_channel();
    tokio::spawn(accept(listener, host, shared, stop));
    Ok(Handle { address, server })
}

/// Creates the JSON-RPC module with its only method.
fn module(host: crate::name::Name, shared: Arc<Shared>) -> anyhow::Result<RpcModule<Arc<Shared>>> {
    let mut module = RpcModule::new(shared);
    module.register_async_method(METHOD, move |params, shared, _| {
        let host = host.clone();
        async move {
            let messages = exchange(&params, &shared).await?;
            Ok::<_, ErrorObjectOwned>(Envelope {
                from: host,
                messages,
            })
        }
    })?;
    Ok(module)
}

/// Passes one envelope to the node and waits for the reply.
async fn exchange(params: &Params<'_>, shared: &Shared) -> Result<Vec<Message>, ErrorObjectOwned> {
    if !depth::is_within(params.as_str().unwrap_or_default(), depth::MAX_DEPTH) {
        shared.counters.increment(Counter::MessagesRefused);
        return Err(rpc_error(-32_602, "nested too deep"));
    }
    let envelope = params.one::<Envelope>().inspect_err(|_| {
        shared.counters.increment(Counter::MessagesRefused);
    })?;
    let (reply, receiver) = oneshot::channel();
    if shared
        .inbound
        .try_send(Inbound { envelope, reply })
        .is_err()
    {
        shared.counters.increment(Counter::MessagesRefused);
        return Err(rpc_error(CODE_BUSY, "busy"));
    }
    receiver
        .await
        .map_err(|_| rpc_error(CODE_STOPPING, "stopping"))
}

/// Builds a JSON-RPC error.
fn rpc_error(code: i32, text: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, text, None::<()>)
}

/// Accepts connections until the server is stopped.
async fn accept(
    listener: tokio::net::TcpListener,
    host: crate::name::Name,
    shared: Arc<Shared>,
    stop: StopHandle,
) {
    let module = match module(host, shared.clone()) {
        Ok(module) => module,
        Err(error) => panic!("invariant: the only method is registered once: {error}"),
    };
    let config = ServerConfig::builder()
        .max_request_body_size(shared.limits.message_bytes)
        .max_response_body_size(shared.limits.message_bytes)
        .max_connections(shared.limits.connections as u32)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .http_only()
        .build();
    let builder = Server::builder().set_config(config).to_service_builder();
    let mut registry = Registry::for_nodes(shared.limits.connections);
    let mut expiry = tokio::time::interval(EXPIRY_INTERVAL);
    expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let stream = tokio::select! {
            () = stop.clone().shutdown() => return,
            _ = expiry.tick() => {
                registry.expire(&Timeouts {
                    head: VERIFY_TIMEOUT,
                    idle: VERIFY_TIMEOUT,
                    is_shortage: false,
                });
                continue;
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    // Usually the process is out of file descriptors; wait for connections to
                    // close.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
        };
        let state = match registry.admit() {
            Admission::Open(state) | Admission::Replaced(state, _) => state,
            Admission::Refused => {
                shared.counters.increment(Counter::RefusedConnections);
                continue;
            }
        };
        let service = builder.clone().build(module.clone(), stop.clone());
        let (shared, stop) = (shared.clone(), stop.clone());
        tokio::spawn(handle_connection(stream, state, service, shared, stop));
    }
}

/// JSON-RPC service of one connection.
type Rpc =
    jsonrpsee::server::TowerService<tower::layer::util::Identity, tower::layer::util::Identity>;

/// Serves one connection.
async fn handle_connection(
    stream: tokio::net::TcpStream,
    state: Arc<ConnectionState>,
    service: Rpc,
    shared: Arc<Shared>,
    stop: StopHandle,
) {
    // With Nagle's algorithm, small responses would wait for the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let counters = shared.counters.clone();
    let verified = state.clone();
    let service = service_fn(move |request| {
        let (service, shared) = (service.clone(), shared.clone());
        let state = verified.clone();
        async move {
            Ok::<_, std::convert::Infallible>(respond(request, &state, service, &shared).await)
        }
    });
    let socket = Socket::new(stream, state.clone(), IDLE_TIMEOUT);
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(16 * 1024)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = state.in_turns(connection.as_mut()) => {}
        _ = state.closing() => counters.increment(Counter::UnverifiedPeers),
        () = stop.shutdown() => {
            connection.as_mut().graceful_shutdown();
            // The peer detects a broken connection itself.
            let _ = state.in_turns(connection).await;
        }
    }
}

/// Authenticates one request, serves it and counts its bytes.
async fn respond(
    request: http::Request<Incoming>,
    state: &ConnectionState,
    mut service: Rpc,
    shared: &Arc<Shared>,
) -> http::Response<http_helpers::Body> {
    let counters = shared.counters.clone();
    counters.add(Counter::ControlBytesIn, header_bytes(request.headers()));
    let is_accepted = request
        .headers()
        .get(http::header::AUTHORIZATION)
        .is_some_and(|value| shared.secrets.accepts_bearer(value.as_bytes()));
    if !is_accepted {
        counters.increment(Counter::RefusedUnauthenticated);
        let mut response = empty_response(http::StatusCode::UNAUTHORIZED);
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
        return response;
    }
    state.verify();
    let body_counters = counters.clone();
    let request = request.map(|body| {
        body.map_frame(move |frame| {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            body_counters.add(Counter::ControlBytesIn, bytes as u64);
            frame
        })
    });
    let response = match tokio::time::timeout(REQUEST_TIMEOUT, service.call(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => empty_response(http::StatusCode::INTERNAL_SERVER_ERROR),
        Err(_) => {
            counters.increment(Counter::MessagesRefused);
            empty_response(http::StatusCode::GATEWAY_TIMEOUT)
        }
    };
    if response.status() == http::StatusCode::PAYLOAD_TOO_LARGE {
        counters.increment(Counter::MessagesRefused);
    }
    let bytes = response.body().size_hint().lower();
    counters.add(Counter::ControlBytesOut, RESPONSE_HEADER_BYTES + bytes);
    response
}

/// Builds a response without a body.
fn empty_response(status: http::StatusCode) -> http::Response<http_helpers::Body> {
    let mut response = http::Response::new(http_helpers::Body::empty());
    *response.status_mut() = status;
    response
}

/// Size of a request's head including the request line, in bytes.
fn header_bytes(headers: &http::HeaderMap) -> u64 {
    let fields: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    (fields + "POST / HTTP/1.1\r\n\r\n".len()) as u64
}
