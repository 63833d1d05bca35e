//! Receiving side of the control protocol.
//!
//! A request is authenticated by its headers before its body is read. Connections that stay idle
//! for [`IDLE_TIMEOUT`] are closed, and so are those whose headers or body take longer.

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
use tokio::sync::{Semaphore, oneshot};
use tower::Service;

use crate::counter::{Counter, Counters};

use super::message::{Envelope, Message};
use super::{MAX_MESSAGE_BYTES, METHOD, RESPONSE_HEADER_BYTES, depth};
use crate::secret::Secrets;

/// Silence after which a connection is closed, and the longest that headers may take.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time from a request's headers to its answer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// JSON-RPC error: the node has too many envelopes waiting.
pub const CODE_BUSY: i32 = -32_001;

/// JSON-RPC error: the node is stopping.
pub const CODE_STOPPING: i32 = -32_002;

/// Bounds of the server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Bytes of one envelope.
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

/// An envelope that awaits its answer.
#[derive(Debug)]
pub struct Inbound {
    /// What was sent.
    pub envelope: Envelope,
    /// Takes the messages of the answer; dropping it answers with an error.
    pub reply: oneshot::Sender<Vec<Message>>,
}

/// Running server; dropping it stops the server.
#[derive(Debug)]
pub struct Handle {
    /// Address that it listens on.
    address: SocketAddr,
    /// Stops the server.
    server: ServerHandle,
}

impl Handle {
    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops taking requests; those in progress are answered.
    pub fn stop(&self) {
        // An error says that the server has stopped already.
        let _ = self.server.stop();
    }
}

/// What every request needs.
struct Shared {
    /// Accepted secrets.
    secrets: Secrets,
    /// Bounds.
    limits: Limits,
    /// Counters.
    counters: Arc<Counters>,
    /// Where envelopes go.
    inbound: crossbeam::channel::Sender<Inbound>,
}

/// Serves the control protocol on a listener until the handle is dropped.
///
/// `host` is the name under which this node answers. Must be called within a tokio runtime.
///
/// # Errors
///
/// Fails when the listener cannot be used.
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

/// Module with the one method.
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

/// Hands one envelope to the node and awaits its answer.
async fn exchange(params: &Params<'_>, shared: &Shared) -> Result<Vec<Message>, ErrorObjectOwned> {
    if !depth::is_within(params.as_str().unwrap_or_default(), depth::MAX_DEPTH) {
        shared.counters.increment(Counter::MessagesRefused);
        return Err(refusal(-32_602, "nested too deep"));
    }
    let envelope = params.one::<Envelope>().inspect_err(|_| {
        shared.counters.increment(Counter::MessagesRefused);
    })?;
    let (reply, answer) = oneshot::channel();
    if shared
        .inbound
        .try_send(Inbound { envelope, reply })
        .is_err()
    {
        shared.counters.increment(Counter::MessagesRefused);
        return Err(refusal(CODE_BUSY, "busy"));
    }
    answer.await.map_err(|_| refusal(CODE_STOPPING, "stopping"))
}

/// Error of the JSON-RPC kind.
fn refusal(code: i32, text: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, text, None::<()>)
}

/// Takes connections until told to stop.
async fn accept(
    listener: tokio::net::TcpListener,
    host: crate::name::Name,
    shared: Arc<Shared>,
    stop: StopHandle,
) {
    let module = match module(host, shared.clone()) {
        Ok(module) => module,
        Err(error) => panic!("invariant: one method registers once: {error}"),
    };
    let config = ServerConfig::builder()
        .max_request_body_size(shared.limits.message_bytes)
        .max_response_body_size(shared.limits.message_bytes)
        .max_connections(shared.limits.connections as u32)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .http_only()
        .build();
    let builder = Server::builder().set_config(config).to_service_builder();
    let permits = Arc::new(Semaphore::new(shared.limits.connections));
    loop {
        let stream = tokio::select! {
            () = stop.clone().shutdown() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    // Out of descriptors: wait for connections to close.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            shared.counters.increment(Counter::RefusedConnections);
            continue;
        };
        let service = builder.clone().build(module.clone(), stop.clone());
        let (shared, stop) = (shared.clone(), stop.clone());
        tokio::spawn(async move {
            connection(stream, service, shared, stop).await;
            drop(permit);
        });
    }
}

/// Service of the library for one connection.
type Rpc =
    jsonrpsee::server::TowerService<tower::layer::util::Identity, tower::layer::util::Identity>;

/// Serves one connection.
async fn connection(
    stream: tokio::net::TcpStream,
    service: Rpc,
    shared: Arc<Shared>,
    stop: StopHandle,
) {
    // Without it small answers wait for the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let (service, shared) = (service.clone(), shared.clone());
        async move { Ok::<_, std::convert::Infallible>(respond(request, service, &shared).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(16 * 1024)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => {}
        () = stop.shutdown() => {
            connection.as_mut().graceful_shutdown();
            // The peer sees an error of its own when the connection breaks.
            let _ = connection.await;
        }
    }
}

/// Answers one request.
async fn respond(
    request: http::Request<Incoming>,
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
        return plain(http::StatusCode::UNAUTHORIZED);
    }
    let counted = counters.clone();
    let request = request.map(|body| {
        body.map_frame(move |frame| {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            counted.add(Counter::ControlBytesIn, bytes as u64);
            frame
        })
    });
    let response = match tokio::time::timeout(REQUEST_TIMEOUT, service.call(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => plain(http::StatusCode::INTERNAL_SERVER_ERROR),
        Err(_) => {
            counters.increment(Counter::MessagesRefused);
            plain(http::StatusCode::GATEWAY_TIMEOUT)
        }
    };
    if response.status() == http::StatusCode::PAYLOAD_TOO_LARGE {
        counters.increment(Counter::MessagesRefused);
    }
    let bytes = response.body().size_hint().lower();
    counters.add(Counter::ControlBytesOut, RESPONSE_HEADER_BYTES + bytes);
    response
}

/// Answer without a body.
fn plain(status: http::StatusCode) -> http::Response<http_helpers::Body> {
    let mut response = http::Response::new(http_helpers::Body::empty());
    *response.status_mut() = status;
    response
}

/// Bytes of a request's head, the request line included.
fn header_bytes(headers: &http::HeaderMap) -> u64 {
    let fields: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    (fields + "POST / HTTP/1.1\r\n\r\n".len()) as u64
}
