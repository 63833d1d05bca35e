//! Edge for the own backend server and for operators on the host.
//!
//! `POST /v1/announce` and `POST /v1/leave` come from the backend server or its supervisor;
//! `GET /v1/status`, `/v1/counters`, `/v1/ready` and `/v1/live` are the operators' page. The port
//! is bound to loopback, or each request has to carry the shared secret as a bearer token.

pub mod announcement;

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, oneshot};

use self::announcement::Announcement;
use crate::counter::{Board, Counter};
use crate::proxy::secret::Secrets;

/// Bytes of a request body.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

/// Connections at once.
pub const MAX_CONNECTIONS: usize = 64;

/// Time that a request's headers, and its body, may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an announcement was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The node has too much to do.
    Busy,
}

/// What the page asks of the node.
pub trait Handler: Send + Sync + 'static {
    /// Takes an announcement of the own backend server.
    ///
    /// # Errors
    ///
    /// Says why it was not taken.
    fn announce(&self, announcement: Announcement) -> Result<(), Refusal>;

    /// Starts the drain of the own backend server.
    fn leave(&self);

    /// Status of the node, unless it does not answer in time.
    fn status(&self) -> Option<Value>;

    /// Whether the node takes traffic.
    fn is_ready(&self) -> bool;

    /// Counters of the node.
    fn counters(&self) -> &Arc<Board>;
}

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
    pub fn of(address: SocketAddr, secrets: Secrets) -> Self {
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
            let service = service_fn(|request| {
                let (access, handler) = (access.clone(), handler.clone());
                async move { Ok::<_, Infallible>(answer(request, &access, handler).await) }
            });
            // A connection that breaks harms its own client only.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(REQUEST_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(place);
        });
    }
}

/// Answers one request.
async fn answer(request: Request<Incoming>, access: &Access, handler: Arc<impl Handler>) -> Reply {
    if !is_allowed(&request, access) {
        handler.counters().hit(Counter::RefusedUnauthenticated);
        return refuse(
            StatusCode::UNAUTHORIZED,
            "the shared secret is needed as a bearer token",
        );
    }
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match (method, path.as_str()) {
        (Method::POST, "/v1/announce") => announce(request, &*handler).await,
        (Method::POST, "/v1/leave") => {
            handler.leave();
            reply(StatusCode::OK, &json!({"leaving": true}))
        }
        (Method::GET, "/v1/status") => status(handler).await,
        (Method::GET, "/v1/counters") => counters(handler.counters()),
        (Method::GET, "/v1/ready") => ready(handler.is_ready()),
        (Method::GET, "/v1/live") => reply(StatusCode::OK, &json!({"live": true})),
        (
            _,
            "/v1/announce" | "/v1/leave" | "/v1/status" | "/v1/counters" | "/v1/ready" | "/v1/live",
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
            .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
            .is_some_and(|offered| secrets.accepts(offered)),
    }
}

/// Takes an announcement.
async fn announce(request: Request<Incoming>, handler: &impl Handler) -> Reply {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    let refused = |status, what: &str| {
        handler.counters().hit(Counter::AnnouncementsRefused);
        refuse(status, what)
    };
    let body = match tokio::time::timeout(REQUEST_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            let what = format!("the body is broken or over {MAX_BODY_BYTES} bytes");
            return refused(StatusCode::PAYLOAD_TOO_LARGE, &what);
        }
        Err(_) => return refused(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    };
    match Announcement::parse(&body) {
        Err(error) => refused(StatusCode::BAD_REQUEST, &error.to_string()),
        Ok(announcement) => match handler.announce(announcement) {
            Ok(()) => reply(StatusCode::OK, &json!({"announced": true})),
            Err(Refusal::Busy) => refused(StatusCode::SERVICE_UNAVAILABLE, "the node is busy"),
        },
    }
}

/// Tells the status.
async fn status(handler: Arc<impl Handler>) -> Reply {
    // The kernel's thread is asked and waited for, which must not hold up the servers.
    let status = tokio::task::spawn_blocking(move || handler.status()).await;
    match status {
        Ok(Some(status)) => reply(StatusCode::OK, &status),
        _ => refuse(StatusCode::SERVICE_UNAVAILABLE, "the node does not answer"),
    }
}

/// Tells every counter, zero included.
fn counters(board: &Board) -> Reply {
    let list: serde_json::Map<String, Value> = board
        .list()
        .map(|(counter, value)| (counter.name().to_owned(), value.into()))
        .collect();
    reply(StatusCode::OK, &Value::Object(list))
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
