//! HTTP server of the admin API.
//!
//! Built on `hyper`, because the server of `oxhttp` neither reports the port that it bound nor can
//! be stopped, and limits neither the total time for a request's headers nor how much of a refused
//! body it reads.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, oneshot};

use super::{Announcement, Handler, Refusal, announcement};
use crate::counter::{Counter, Counters};
use crate::metrics;
use crate::secret::Secrets;

/// Maximum number of open connections; further ones wait until one is closed.
pub const MAX_CONNECTIONS: usize = 64;

/// Maximum size of a request's headers in bytes.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Timeout for reading a request's headers, and again for reading its body.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Access control of the admin API.
#[derive(Clone, Debug)]
pub enum Access {
    /// Every client may send requests, because the port is bound to loopback.
    Loopback,
    /// Requests need the shared secret as a bearer token.
    Secret(Arc<Secrets>),
}

impl Access {
    /// Returns [`Self::Loopback`] for a loopback address and [`Self::Secret`] for any other.
    pub fn for_address(address: SocketAddr, secrets: Secrets) -> Self {
        if address.ip().is_loopback() {
            Self::Loopback
        } else {
            Self::Secret(Arc::new(secrets))
        }
    }
}

/// Handle of a running server; dropping it stops the server.
#[derive(Debug)]
pub struct Handle {
    /// Address that the server listens on, including the bound port.
    address: SocketAddr,
    /// Stops the accept loop when dropped.
    _stop: oneshot::Sender<()>,
}

impl Handle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Response of the admin API.
type HttpResponse = Response<Full<Bytes>>;

/// Serves the admin API on a listener until the handle is dropped.
///
/// Has to be called within a tokio runtime.
///
/// # Errors
///
/// Fails when the listener cannot be registered with the runtime.
pub fn serve(
    listener: TcpListener,
    access: Access,
    handler: impl Handler,
) -> anyhow::Result<Handle> {
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let (stop, stopped) = oneshot::channel();
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        tokio::select! {
            () = accept(listener, access, handler) => {}
            _ = stopped => {}
        }
    });
    Ok(Handle {
        address,
        _stop: stop,
    })
}

/// Accepts connections, of which at most [`MAX_CONNECTIONS`] are open at a time.
async fn accept(listener: tokio::net::TcpListener, access: Access, handler: Arc<impl Handler>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // The process is most likely out of file descriptors; wait until some are closed.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (access, handler) = (access.clone(), handler.clone());
        tokio::spawn(async move {
            serve_connection(stream, &access, &handler).await;
            drop(permit);
        });
    }
}

/// Serves one connection and counts it when it fails before a request is complete.
async fn serve_connection(stream: TcpStream, access: &Access, handler: &Arc<impl Handler>) {
    let has_request = AtomicBool::new(false);
    let service = service_fn(|request| {
        has_request.store(true, Ordering::Relaxed);
        let (access, handler) = (access.clone(), handler.clone());
        async move { Ok::<_, Infallible>(route(request, &access, handler).await) }
    });
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    let Err(error) = result else {
        return;
    };
    let counter = if error.is_parse_too_large() {
        Counter::RefusedHeaderSize
    } else if error.is_parse() {
        Counter::RefusedBadRequest
    } else if error.is_timeout() && !has_request.load(Ordering::Relaxed) {
        // The same timeout closes a connection that idles after a request, which is not an error.
        Counter::RefusedHeaderTimeout
    } else {
        // Any other error only affects the client of this connection.
        return;
    };
    handler.counters().increment(counter);
}

/// Authenticates one request and dispatches it by method and path.
async fn route(
    request: Request<Incoming>,
    access: &Access,
    handler: Arc<impl Handler>,
) -> HttpResponse {
    if !is_allowed(&request, access) {
        handler
            .counters()
            .increment(Counter::RefusedUnauthenticated);
        return error_response(
            StatusCode::UNAUTHORIZED,
            "the shared secret is required as a bearer token",
        );
    }
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match (method, path.as_str()) {
        (Method::POST, "/v1/announce") => announce(request, handler).await,
        (Method::POST, "/v1/leave") => {
            handler.leave();
            json_response(StatusCode::OK, &json!({"leaving": true}))
        }
        (Method::GET, "/v1/status") => status(handler).await,
        (Method::GET, "/v1/counters") => counters(handler.counters()),
        (Method::GET, "/metrics") => metrics_response(handler.counters()),
        (Method::GET, "/v1/ready") => ready(handler.is_ready()),
        (Method::GET, "/v1/live") => json_response(StatusCode::OK, &json!({"live": true})),
        (
            _,
            "/v1/announce" | "/v1/leave" | "/v1/status" | "/v1/counters" | "/v1/ready" | "/v1/live"
            | "/metrics",
        ) => error_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "method not allowed for this path",
        ),
        _ => error_response(StatusCode::NOT_FOUND, "path not found"),
    }
}

/// Whether a request is allowed by the access control.
fn is_allowed(request: &Request<Incoming>, access: &Access) -> bool {
    match access {
        Access::Loopback => true,
        Access::Secret(secrets) => request
            .headers()
            .get(AUTHORIZATION)
            .is_some_and(|value| secrets.accepts_bearer(value.as_bytes())),
    }
}

/// Handles `POST /v1/announce` and counts refused announcements.
async fn announce(request: Request<Incoming>, handler: Arc<impl Handler>) -> HttpResponse {
    let counters = handler.counters().clone();
    let refused = |status, message: &str| {
        counters.increment(Counter::AnnouncementsRefused);
        error_response(status, message)
    };
    let body = Limited::new(request.into_body(), announcement::MAX_BYTES).collect();
    let body = match tokio::time::timeout(REQUEST_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            counters.increment(Counter::RefusedBodySize);
            let message = format!("longer than {} bytes", announcement::MAX_BYTES);
            return refused(StatusCode::PAYLOAD_TOO_LARGE, &message);
        }
        Ok(Err(_)) => return refused(StatusCode::BAD_REQUEST, "the body ended early"),
        Err(_) => {
            counters.increment(Counter::RefusedBodyTimeout);
            return refused(StatusCode::REQUEST_TIMEOUT, "timed out reading the body");
        }
    };
    let announcement = match Announcement::parse(&body) {
        Ok(announcement) => announcement,
        Err(error) => return refused(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    // The handler blocks until the kernel thread replies, which must not block the async workers.
    let result = tokio::task::spawn_blocking(move || handler.announce(announcement)).await;
    match result.unwrap_or(Err(Refusal::Busy)) {
        Ok(()) => json_response(StatusCode::OK, &json!({"announced": true})),
        Err(refusal @ Refusal::Busy) => {
            refused(StatusCode::SERVICE_UNAVAILABLE, &refusal.to_string())
        }
        Err(refusal @ Refusal::Leaving) => refused(StatusCode::CONFLICT, &refusal.to_string()),
    }
}

/// Handles `GET /v1/status`.
async fn status(handler: Arc<impl Handler>) -> HttpResponse {
    let status = tokio::task::spawn_blocking(move || handler.status()).await;
    match status {
        Ok(Some(status)) => json_response(StatusCode::OK, &status),
        _ => error_response(StatusCode::SERVICE_UNAVAILABLE, "the node does not reply"),
    }
}

/// Handles `GET /v1/counters`; counters at zero are included.
fn counters(counters: &Counters) -> HttpResponse {
    let list: serde_json::Map<String, Value> = counters
        .list()
        .map(|(counter, value)| (counter.name().to_owned(), value.into()))
        .collect();
    json_response(StatusCode::OK, &Value::Object(list))
}

/// Handles `GET /metrics`.
fn metrics_response(counters: &Arc<Counters>) -> HttpResponse {
    let Ok(text) = metrics::render(counters) else {
        let message = "the metrics could not be encoded";
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, message);
    };
    let mut response = Response::new(Full::from(text));
    let value = http::HeaderValue::from_static(metrics::CONTENT_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Handles `GET /v1/ready`.
fn ready(is_ready: bool) -> HttpResponse {
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    json_response(status, &json!({"ready": is_ready}))
}

/// Builds a JSON response with an error message.
fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    json_response(status, &json!({"error": message}))
}

/// Builds a response with a JSON body.
fn json_response(status: StatusCode, body: &Value) -> HttpResponse {
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}
