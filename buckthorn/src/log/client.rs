//! Client of the log service over HTTP.
//!
//! The protocol is described in `docs/PROTOCOLS.md`, section "Log service". Each request uses a
//! connection of its own, so a connection that went silent harms one request and no later one.
//!
//! The result of an append is truthful: `Refused` is given only when no byte of the request left
//! this host or when the service itself says that nothing was appended. Everything else that is
//! not a success is `Unknown`.

use std::io::{self, Read};
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail, ensure};
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Method, Request, Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};

use super::{AppendOutcome, Batch, Log};
use crate::journal::record::Record;

/// Longest wait of one long poll.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// Time that connecting, and each read and write, may take beyond a long poll's wait.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Records asked for in one read.
pub const MAX_RECORDS: usize = 256;

/// Bytes of payload in one record.
pub const MAX_PAYLOAD_BYTES: usize = 1024 * 1024;

/// Bytes of one response.
pub const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;

/// Bytes of an error response that are shown.
const MAX_ERROR_BYTES: u64 = 4 * 1024;

/// Client of one log service.
#[derive(Clone, Debug)]
pub struct Client {
    /// Scheme and authority, without a trailing slash.
    base: String,
    /// Time that connecting, and each read and write, may take.
    timeout: Duration,
}

/// Body of an append.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Draft<'a> {
    /// Identifier made by the client.
    id: &'a str,
    /// Payload.
    payload: &'a str,
}

/// Answer to an append that took effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Accepted {
    /// Offset of the record.
    offset: u64,
}

/// Answer to a request that failed.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Failure {
    /// What went wrong.
    #[serde(default)]
    error: String,
    /// Whether the record was appended, when the service knows.
    #[serde(default)]
    appended: Option<bool>,
}

impl Client {
    /// Client of the log service at a URL such as `http://10.0.0.5:7400`.
    ///
    /// # Errors
    ///
    /// Says what is wrong with a URL that is not of this form.
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

    /// Sets the time that connecting, and each read and write, may take.
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
    fn records(&self, stream: &str) -> String {
        format!("{}/v1/streams/{stream}/records", self.base)
    }
}

impl Log for Client {
    fn read(&self, stream: &str, from: u64, wait: Duration) -> anyhow::Result<Batch> {
        check_stream(stream)?;
        let wait = wait.min(MAX_WAIT);
        let url = format!(
            "{}?from={from}&wait_ms={}&limit={MAX_RECORDS}",
            self.records(stream),
            wait.as_millis()
        );
        let request = Request::builder().uri(&url).body(Body::empty())?;
        let timeout = wait + self.timeout;
        let deadline = Instant::now() + timeout;
        let response = self
            .send(request, timeout)
            .with_context(|| format!("no answer from the log at {}", self.base))?;
        let status = response.status();
        if status != StatusCode::OK {
            let failure = read_failure(response, deadline);
            bail!("the log answered {status}: {}", failure.error);
        }
        let bytes = read_body(response, MAX_RESPONSE_BYTES, deadline)
            .with_context(|| format!("the log's answer broke off at {}", self.base))?;
        let batch: Batch =
            serde_json::from_slice(&bytes).context("the log's answer is malformed")?;
        check_batch(&batch, from)?;
        Ok(batch)
    }

    fn append(&self, stream: &str, id: &str, payload: &str) -> AppendOutcome {
        let request = match self.draft(stream, id, payload) {
            Ok(request) => request,
            Err(error) => {
                return AppendOutcome::Refused {
                    reason: format!("{error:#}"),
                };
            }
        };
        let deadline = Instant::now() + self.timeout;
        match self.send(request, self.timeout) {
            Ok(response) => outcome(response, deadline),
            // The kernel reports a refused connection only while connecting, before the request.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                AppendOutcome::Refused {
                    reason: format!("the log at {} refuses connections", self.base),
                }
            }
            Err(error) => AppendOutcome::Unknown {
                reason: format!("no answer from the log at {}: {error}", self.base),
            },
        }
    }
}

impl Client {
    /// Request of an append.
    ///
    /// # Errors
    ///
    /// Fails when the record cannot be sent as it is.
    fn draft(&self, stream: &str, id: &str, payload: &str) -> anyhow::Result<Request<Body>> {
        check_stream(stream)?;
        ensure!(
            payload.len() <= MAX_PAYLOAD_BYTES,
            "the payload has {} bytes, the limit is {MAX_PAYLOAD_BYTES}",
            payload.len()
        );
        let body = serde_json::to_string(&Draft { id, payload })?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(self.records(stream))
            .header(CONTENT_TYPE, "application/json")
            .body(Body::from(body))?;
        Ok(request)
    }
}

/// What a response says of an append.
fn outcome(response: Response<Body>, deadline: Instant) -> AppendOutcome {
    let status = response.status();
    if status.is_success() {
        let parsed = read_body(response, MAX_ERROR_BYTES, deadline)
            .map_err(anyhow::Error::from)
            .and_then(|bytes| Ok(serde_json::from_slice::<Accepted>(&bytes)?));
        return match parsed {
            Ok(accepted) => AppendOutcome::Done {
                offset: accepted.offset,
            },
            Err(error) => AppendOutcome::Unknown {
                reason: format!("the log's answer is malformed: {error:#}"),
            },
        };
    }
    let failure = read_failure(response, deadline);
    let reason = format!("the log answered {status}: {}", failure.error);
    match failure.appended {
        Some(false) => AppendOutcome::Refused { reason },
        _ => AppendOutcome::Unknown { reason },
    }
}

/// Reads the body of a failed request; one that cannot be read says nothing.
fn read_failure(response: Response<Body>, deadline: Instant) -> Failure {
    let silent = Failure {
        error: "no reason given".into(),
        appended: None,
    };
    let Ok(bytes) = read_body(response, MAX_ERROR_BYTES, deadline) else {
        return silent;
    };
    serde_json::from_slice(&bytes).unwrap_or(silent)
}

/// Reads a whole body within a size and a time.
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

/// Checks that a stream's name can stand in a path.
fn check_stream(stream: &str) -> anyhow::Result<()> {
    let is_plain = !stream.is_empty()
        && stream
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_'));
    ensure!(is_plain, "stream name {stream:?} is not plain ASCII");
    Ok(())
}

/// Checks that the records of a batch lie where they must.
fn check_batch(batch: &Batch, from: u64) -> anyhow::Result<()> {
    ensure!(
        batch.earliest <= batch.next,
        "the log's earliest offset {} lies beyond its next {}",
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
