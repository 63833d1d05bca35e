//! HTTP client that pools connections, sends one call at a time on each and checks every response.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::call::{Call, Kind};
use crate::backend::content::{self, BodyCheck, EXECUTION, REQUEST_ID};

/// Open connection.
type Sender = http1::SendRequest<Full<Bytes>>;

/// Outcome of a call, as its caller sees it.
///
/// The variant names are written to `latency.json` through `Debug`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response to this request.
    Ok {
        /// Identifier of the execution, empty when the response has none.
        execution: String,
    },
    /// Refused by a node, which reports that the call did not run; with the reason.
    NotRun(String),
    /// Failed at a node, which reports that the call may have run; with the reason.
    Unknown(String),
    /// Error status from the backend server.
    Status(u16),
    /// The connection broke before the response was complete.
    Broken,
    /// The response ended as declared, but its body is not the expected one.
    Wrong(content::BodyFault),
    /// No connection could be opened.
    Unreachable,
    /// No complete response before the caller's timeout.
    GaveUp,
}

/// Client of one node or backend server.
#[derive(Debug)]
pub struct Client {
    /// Address of the server.
    address: SocketAddr,
    /// Open connections not in use.
    idle: Mutex<Vec<Sender>>,
    /// Timeout of a call, also sent as its deadline.
    timeout: Duration,
}

impl Client {
    /// Creates a client without connections.
    pub const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
            timeout,
        }
    }

    /// Sends a call and checks its response, within the timeout.
    pub async fn call(&self, call: &Call) -> Outcome {
        match tokio::time::timeout(self.timeout, self.exchange(call)).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::GaveUp,
        }
    }

    /// Sends a call and checks its response.
    async fn exchange(&self, call: &Call) -> Outcome {
        let Some(mut sender) = self.connection().await else {
            return Outcome::Unreachable;
        };
        let Ok(response) = sender.send_request(self.request(call)).await else {
            return Outcome::Broken;
        };
        let (head, body) = response.into_parts();
        let Some(check) = read_body(call, body).await else {
            return Outcome::Broken;
        };
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
        classify(&Response::from_parts(head, ()), &check)
    }

    /// Takes an idle connection or opens a new one; `None` when that fails.
    async fn connection(&self) -> Option<Sender> {
        loop {
            let idle = self
                .idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .pop();
            let Some(mut sender) = idle else { break };
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(driver);
        Some(sender)
    }

    /// Builds the HTTP request of a call.
    fn request(&self, call: &Call) -> Request<Full<Bytes>> {
        let body = match call.kind {
            Kind::Order => Bytes::from(format!("{{\"order\":\"{}\"}}", call.id)),
            Kind::Lookup | Kind::Download | Kind::Check => Bytes::new(),
        };
        let mut request = Request::new(Full::new(body));
        if call.kind == Kind::Order {
            *request.method_mut() = Method::POST;
        }
        *request.uri_mut() = call.path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        insert(headers, header::HOST.as_str(), call.service);
        insert(headers, REQUEST_ID, &call.id);
        insert(headers, "priority", &format!("u={}", call.kind.urgency()));
        let deadline = self.timeout.as_millis().to_string();
        insert(headers, "x-buckthorn-deadline-ms", &deadline);
        if call.kind == Kind::Order {
            insert(headers, "idempotency-key", &call.id);
        }
        request
    }
}

/// Sets a header; the generated values are always valid.
fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

/// Reads a body to its end and checks it on the way; `None` when it is incomplete.
async fn read_body(call: &Call, mut body: Incoming) -> Option<BodyCheck> {
    let mut check = BodyCheck::new(&call.path, &call.id);
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.ok()?.data_ref() {
            check.update(data);
        }
    }
    Some(check)
}

/// Determines the outcome of a call whose response ended as declared.
fn classify(head: &Response<()>, check: &BodyCheck) -> Outcome {
    let text = |name| {
        let value = head.headers().get(name).and_then(|v| v.to_str().ok());
        value.map(str::to_owned)
    };
    let ran = text("x-buckthorn-ran");
    if let (Some(ran), Some(reason)) = (ran, text("x-buckthorn-reason")) {
        return match ran.as_str() {
            "not-run" => Outcome::NotRun(reason),
            _ => Outcome::Unknown(reason),
        };
    }
    if !head.status().is_success() {
        return Outcome::Status(head.status().as_u16());
    }
    match check.finish() {
        Ok(()) => Outcome::Ok {
            execution: text(EXECUTION).unwrap_or_default(),
        },
        Err(fault) => Outcome::Wrong(fault),
    }
}
