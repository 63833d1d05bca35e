//! HTTP server of announcements and of the operators' page.
//!
//! Built on `hyper`: `oxhttp`'s server neither tells the port that it bound nor stops, and it bounds
//! neither the total time of a request's headers nor what it reads of a refused body.

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

/// Connections at once; more wait until one ends.
pub const MAX_CONNECTIONS: usize = 64;

/// Bytes of a request's headers.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Time that a request's headers, and its body, may take.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Who may use the page.
#[derive(Clone, Debug)]
pub enum Access {
    /// Everyone who reaches the port, which is bound to loopback.
    Loopback,
    /// Whoever carries the shared secret.
    Secret(Arc<Secrets>),
}

impl Access {
    /// Access rule of an address.
    pub fn for_address(address: SocketAddr, secrets: Secrets) -> Self {
        if address.ip().is_loopback() {
            Self::Loopback
        } else {
            Self::Secret(Arc::new(secrets))
        }
    }
}

/// Running server; dropping it stops the server.
#[derive(Debug)]
pub struct Handle {
    /// Address that it listens on.
    address: SocketAddr,
    /// Ends the server when dropped.
    _stop: oneshot::Sender<()>,
}

impl Handle {
    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Reply of the page.
type Reply = Response<Full<Bytes>>;

/// Serves the page on a listener until the handle is dropped; needs to run in a tokio runtime.
///
/// # Errors
///
/// Fails when the listener cannot be used.
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

/// Accepts connections, at most [`MAX_CONNECTIONS`] at once.
async fn accept(listener: tokio::net::TcpListener, access: Access, handler: Arc<impl Handler>) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, most likely: wait for some to be closed.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (access, handler) = (access.clone(), handler.clone());
        tokio::spawn(async move {
            serve_connection(stream, &access, &handler).await;
            drop(place);
        });
    }
}

/// Serves one connection and counts why it was refused, if it was.
async fn serve_connection(stream: TcpStream, access: &Access, handler: &Arc<impl Handler>) {
    let has_asked = AtomicBool::new(false);
    let service = service_fn(|request| {
        has_asked.store(true, Ordering::Relaxed);
        let (access, handler) = (access.clone(), handler.clone());
        async move { Ok::<_, Infallible>(answer(request, &access, handler).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    let Err(error) = served else {
        return;
    };
    let counter = if error.is_parse_too_large() {
        Counter::RefusedHeaderSize
    } else if error.is_parse() {
        Counter::RefusedBadRequest
    } else if error.is_timeout() && !has_asked.load(Ordering::Relaxed) {
        // A connection that idles after a request ends by the same timeout and is no fault.
        Counter::RefusedHeaderTimeout
    } else {
        // Any other break harms the connection's own client only.
        return;
    };
    handler.counters().increment(counter);
}

/// Answers one request.
async fn answer(request: Request<Incoming>, access: &Access, handler: Arc<impl Handler>) -> Reply {
    if !is_allowed(&request, access) {
        handler
            .counters()
            .increment(Counter::RefusedUnauthenticated);
        return refuse(
            StatusCode::UNAUTHORIZED,
            "the shared secret is needed as a bearer token",
        );
    }
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match (method, path.as_str()) {
        (Method::POST, "/v1/announce") => announce(request, handler).await,
        (Method::POST, "/v1/leave") => {
            handler.leave();
            reply(StatusCode::OK, &json!({"leaving": true}))
        }
        (Method::GET, "/v1/status") => status(handler).await,
        (Method::GET, "/v1/counters") => counters(handler.counters()),
        (Method::GET, "/metrics") => scrape(handler.counters()),
        (Method::GET, "/v1/ready") => ready(handler.is_ready()),
        (Method::GET, "/v1/live") => reply(StatusCode::OK, &json!({"live": true})),
        (
            _,
            "/v1/announce" | "/v1/leave" | "/v1/status" | "/v1/counters" | "/v1/ready" | "/v1/live"
            | "/metrics",
        ) => refuse(
            StatusCode::METHOD_NOT_ALLOWED,
            "another method is needed for this path",
        ),
        _ => refuse(StatusCode::NOT_FOUND, "there is no such path"),
    }
}

/// Whether a request may use the page.
fn is_allowed(request: &Request<Incoming>, access: &Access) -> bool {
    match access {
        Access::Loopback => true,
        Access::Secret(secrets) => request
            .headers()
            .get(AUTHORIZATION)
            .is_some_and(|value| secrets.accepts_bearer(value.as_bytes())),
    }
}

/// Takes an announcement.
async fn announce(request: Request<Incoming>, handler: Arc<impl Handler>) -> Reply {
    let counters = handler.counters().clone();
    let refused = |status, what: &str| {
        counters.increment(Counter::AnnouncementsRefused);
        refuse(status, what)
    };
    let body = Limited::new(request.into_body(), announcement::MAX_BYTES).collect();
    let body = match tokio::time::timeout(REQUEST_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            counters.increment(Counter::RefusedBodySize);
            let what = format!("longer than {} bytes", announcement::MAX_BYTES);
            return refused(StatusCode::PAYLOAD_TOO_LARGE, &what);
        }
        Ok(Err(_)) => return refused(StatusCode::BAD_REQUEST, "the body broke off"),
        Err(_) => {
            counters.increment(Counter::RefusedBodyTimeout);
            return refused(StatusCode::REQUEST_TIMEOUT, "the body took too long");
        }
    };
    let announcement = match Announcement::parse(&body) {
        Ok(announcement) => announcement,
        Err(error) => return refused(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    // The kernel's thread is asked and waited for, which must not hold up the servers.
    let taken = tokio::task::spawn_blocking(move || handler.announce(announcement)).await;
    match taken.unwrap_or(Err(Refusal::Busy)) {
        Ok(()) => reply(StatusCode::OK, &json!({"announced": true})),
        Err(refusal @ Refusal::Busy) => {
            refused(StatusCode::SERVICE_UNAVAILABLE, &refusal.to_string())
        }
        Err(refusal @ Refusal::Leaving) => refused(StatusCode::CONFLICT, &refusal.to_string()),
    }
}

/// Tells the status.
async fn status(handler: Arc<impl Handler>) -> Reply {
    let status = tokio::task::spawn_blocking(move || handler.status()).await;
    match status {
        Ok(Some(status)) => reply(StatusCode::OK, &status),
        _ => refuse(StatusCode::SERVICE_UNAVAILABLE, "the node does not answer"),
    }
}

/// Tells every counter, zero included.
fn counters(counters: &Counters) -> Reply {
    let list: serde_json::Map<String, Value> = counters
        .list()
        .map(|(counter, value)| (counter.name().to_owned(), value.into()))
        .collect();
    reply(StatusCode::OK, &Value::Object(list))
}

/// Answer to a scraper.
fn scrape(counters: &Arc<Counters>) -> Reply {
    let Ok(text) = metrics::render(counters) else {
        let what = "the metrics could not be encoded";
        return refuse(StatusCode::INTERNAL_SERVER_ERROR, what);
    };
    let mut response = Response::new(Full::from(text));
    let value = http::HeaderValue::from_static(metrics::CONTENT_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Tells whether the node takes traffic.
fn ready(is_ready: bool) -> Reply {
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply(status, &json!({"ready": is_ready}))
}

/// Reply that says what is wrong.
fn refuse(status: StatusCode, what: &str) -> Reply {
    reply(status, &json!({"error": what}))
}

/// Reply with a JSON body.
fn reply(status: StatusCode, body: &Value) -> Reply {
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}
