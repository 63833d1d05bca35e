//! Client of the log service over HTTP.
//!
//! The protocol is described in `docs/PROTOCOLS.md`, section "Log service". Each request uses a
//! connection of its own, so a connection that stalls affects only one request.
//!
//! An append is `Refused` only when no byte of the request left this host or when the service
//! itself says that nothing was appended. Every other failure is `Unknown`.

use std::io::{self, Read};
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail, ensure};
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Method, Request, Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};

use super::{AppendOutcome, Batch, Log};
use crate::journal::record::Record;

/// Maximum wait of one long poll.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// Timeout of connecting and of each read and write, beyond the wait of a long poll.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum records requested in one read.
pub const MAX_RECORDS: usize = 256;

/// Maximum bytes of a record's payload.
pub const MAX_PAYLOAD_BYTES: usize = 1024 * 1024;

/// Maximum bytes of a response.
pub const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;

/// Maximum bytes of an error response, or of the response to an append.
const MAX_ERROR_BYTES: u64 = 4 * 1024;

/// Client of one log service.
#[derive(Clone, Debug)]
pub struct Client {
    /// Scheme and authority, without a trailing slash.
    base: String,
    /// Timeout of connecting and of each read and write.
    timeout: Duration,
}

/// Body of an append.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct AppendRequest<'a> {
    /// Identifier chosen by the client.
    id: &'a str,
    /// Payload of the record.
    payload: &'a str,
}

/// Response to an append that took effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct AppendResponse {
    /// Offset of the record.
    offset: u64,
}

/// Response to a request that failed.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ErrorResponse {
    /// Reason of the failure.
    #[serde(default)]
    error: String,
    /// Whether the record was appended; `None` if the service does not know.
    #[serde(default)]
    appended: Option<bool>,
}

impl Client {
    /// Client of the log service at a URL such as `http://10.0.0.5:7400`.
    ///
    /// # Errors
    ///
    /// Fails when the URL is not of this form.
    pub fn new(url: &str) -> anyhow::Result<Self> {
        let uri: Uri = url
            .parse()
            .with_context(|| format!("platform URL {url:?} is not a URL"))?;
        ensure!(
            uri.scheme_str() == Some("http"),
            "platform URL {url:?} does not start with http://"
        );
        let authority = uri
            .authority()
            .with_context(|| format!("platform URL {url:?} names no host"))?;
        ensure!(
            !authority.as_str().contains('@'),
            "platform URL {url:?} holds a user name"
        );
        ensure!(
            matches!(uri.path(), "" | "/") && uri.query().is_none(),
            "platform URL {url:?} holds a path or query"
        );
        Ok(Self {
            base: format!("http://{authority}"),
            timeout: REPLY_TIMEOUT,
        })
    }

    /// Sets the timeout of connecting and of each read and write.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends one request.
    fn send(&self, request: Request<Body>, timeout: Duration) -> io::Result<Response<Body>> {
        oxhttp::Client::new()
            .with_global_timeout(timeout)
            .request(request)
    }

    /// URL of a stream's records.
    fn records_url(&self, stream: &str) -> String {
        format!("{}/v1/streams/{stream}/records", self.base)
    }
}

impl Log for Client {
    fn read(&self, stream: &str, from: u64, wait: Duration) -> anyhow::Result<Batch> {
        check_stream(stream)?;
        let wait = wait.min(MAX_WAIT);
        let url = format!(
            "{}?from={from}&wait_ms={}&limit={MAX_RECORDS}",
            self.records_url(stream),
            wait.as_millis()
        );
        let request = Request::builder().uri(&url).body(Body::empty())?;
        let timeout = wait + self.timeout;
        let deadline = Instant::now() + timeout;
        let response = self
            .send(request, timeout)
            .with_context(|| format!("no response from the log at {}", self.base))?;
        let status = response.status();
        if status != StatusCode::OK {
            let failure = read_failure(response, deadline);
            bail!("the log responded with {status}: {}", failure.error);
        }
        let bytes = read_body(response, MAX_RESPONSE_BYTES, deadline)
            .with_context(|| format!("the log's response was cut off at {}", self.base))?;
        let batch: Batch =
            serde_json::from_slice(&bytes).context("the log's response is malformed")?;
        check_batch(&batch, from)?;
        Ok(batch)
    }

    fn append(&self, stream: &str, id: &str, payload: &str) -> AppendOutcome {
        let request = match self.append_request(stream, id, payload) {
            Ok(request) => request,
            Err(error) => {
                return AppendOutcome::Refused {
                    reason: format!("{error:#}"),
                };
            }
        };
        let deadline = Instant::now() + self.timeout;
        match self.send(request, self.timeout) {
            Ok(response) => append_outcome(response, deadline),
            // The operating system reports a refused connection only while connecting, before the
            // request is sent.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                AppendOutcome::Refused {
                    reason: format!("the log at {} refuses connections", self.base),
                }
            }
            Err(error) => AppendOutcome::Unknown {
                reason: format!("no response from the log at {}: {error}", self.base),
            },
        }
    }
}

impl Client {
    /// Builds the request of an append.
    ///
    /// # Errors
    ///
    /// Fails when the record cannot be sent as it is.
    fn append_request(
        &self,
        stream: &str,
        id: &str,
        payload: &str,
    ) -> anyhow::Result<Request<Body>> {
        check_stream(stream)?;
        ensure!(
            payload.len() <= MAX_PAYLOAD_BYTES,
            "the payload has {} bytes, the limit is {MAX_PAYLOAD_BYTES}",
            payload.len()
        );
        let body = serde_json::to_string(&AppendRequest { id, payload })?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(self.records_url(stream))
            .header(CONTENT_TYPE, "application/json")
            .body(Body::from(body))?;
        Ok(request)
    }
}

/// Outcome of an append according to its response.
fn append_outcome(response: Response<Body>, deadline: Instant) -> AppendOutcome {
    let status = response.status();
    if status.is_success() {
        let parsed = read_body(response, MAX_ERROR_BYTES, deadline)
            .map_err(anyhow::Error::from)
            .and_then(|bytes| Ok(serde_json::from_slice::<AppendResponse>(&bytes)?));
        return match parsed {
            Ok(response) => AppendOutcome::Done {
                offset: response.offset,
            },
            Err(error) => AppendOutcome::Unknown {
                reason: format!("the log's response is malformed: {error:#}"),
            },
        };
    }
    let failure = read_failure(response, deadline);
    let reason = format!("the log responded with {status}: {}", failure.error);
    match failure.appended {
        Some(false) => AppendOutcome::Refused { reason },
        _ => AppendOutcome::Unknown { reason },
    }
}

/// Reads an error response; one that cannot be read leaves open whether the record was appended.
fn read_failure(response: Response<Body>, deadline: Instant) -> ErrorResponse {
    let unreadable = ErrorResponse {
        error: "no reason given".into(),
        appended: None,
    };
    let Ok(bytes) = read_body(response, MAX_ERROR_BYTES, deadline) else {
        return unreadable;
    };
    serde_json::from_slice(&bytes).unwrap_or(unreadable)
}

/// Reads a whole body up to a size limit and a deadline.
fn read_body(response: Response<Body>, limit: u64, deadline: Instant) -> io::Result<Vec<u8>> {
    let mut body = response.into_body().take(limit + 1);
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        let len = body.read(&mut chunk)?;
        if len == 0 {
            return Ok(bytes);
        }
        bytes.extend_from_slice(&chunk[..len]);
        if bytes.len() as u64 > limit {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("more than {limit} bytes"),
            ));
        }
        if Instant::now() >= deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
    }
}

/// Checks that a stream's name can be part of a URL path without escapes.
fn check_stream(stream: &str) -> anyhow::Result<()> {
    let is_valid = !stream.is_empty()
        && stream
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_'));
    ensure!(
        is_valid,
        "stream name {stream:?} is empty or holds characters other than letters, digits, - and _"
    );
    Ok(())
}

/// Checks that the records of a batch start at the requested offset and have no gaps.
fn check_batch(batch: &Batch, from: u64) -> anyhow::Result<()> {
    ensure!(
        batch.earliest <= batch.next,
        "the log's earliest offset {} is greater than its next offset {}",
        batch.earliest,
        batch.next
    );
    let Some(Record { offset: first, .. }) = batch.records.first() else {
        return Ok(());
    };
    ensure!(
        *first == from.max(batch.earliest),
        "the log's records start at {first}, asked for {from}"
    );
    for (record, expected) in batch.records.iter().zip(*first..) {
        ensure!(
            record.offset == expected && record.offset < batch.next,
            "the log's records are out of order at offset {}",
            record.offset
        );
    }
    Ok(())
}
