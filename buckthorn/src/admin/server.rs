//! HTTP server of the admin API.
//!
//! Built on `hyper`, because the server of `oxhttp` neither reports the port that it bound nor can
//! be stopped, and limits neither the total time for a request's headers nor how much of a refused
//! body it reads. [`listen`] accepts the connections. Each carries one request, so that a client which
//! sends many without reading the responses doesn't keep the port and the kernel thread busy.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use http::header::{AUTHORIZATION, CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::listen::{self, BodyError, HttpResponse, Port};
pub use super::listen::{MAX_HEADER_BYTES, REQUEST_TIMEOUT};
use super::{Announcement, Handler, Refusal, announcement};
use crate::counter::{Counter, Counters};
use crate::metrics;
use crate::secret::Secrets;

/// Maximum number of open connections; a further one takes the place of one that makes no progress.
pub const MAX_CONNECTIONS: usize = 64;

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
    let address = listener.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    let handler = Arc::new(handler);
    let port = Port {
        max_connections: MAX_CONNECTIONS,
        idle_timeout: REQUEST_TIMEOUT,
        counters: handler.counters().clone(),
    };
    let accepting = listen::serve(listener, port, move |request| {
        let (access, handler) = (access.clone(), handler.clone());
        async move {
            let mut response = route(request, &access, handler).await;
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
            response
        }
    })?;
    tokio::spawn(async move {
        tokio::select! {
            () = accepting => {}
            _ = stopped => {}
        }
    });
    Ok(Handle {
        address,
        _stop: stop,
    })
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
    let body = request.into_body();
    let refused = |status, message: &str| {
        counters.increment(Counter::AnnouncementsRefused);
        error_response(status, message)
    };
    let body = match listen::read_body(body, announcement::MAX_BYTES, &counters).await {
        Ok(body) => body,
        Err(BodyError::TooLong) => {
            let message = format!("longer than {} bytes", announcement::MAX_BYTES);
            return refused(StatusCode::PAYLOAD_TOO_LARGE, &message);
        }
        Err(BodyError::Short) => return refused(StatusCode::BAD_REQUEST, "the body ended early"),
        Err(BodyError::Timeout) => {
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
