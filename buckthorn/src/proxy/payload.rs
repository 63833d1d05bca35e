//! Request bodies: small ones are kept so that they can be resent, others are streamed once.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http_body_util::BodyExt;

use super::Plane;
use super::body::{self, Body, Ending, Fault, Monitor, Replayed};
use super::header;
use super::response::Reason;
use crate::counter::Counter;
use crate::poison::fingerprint::BODY_BYTES;

/// Longest wait for the beginning of a body that is streamed. It mostly arrives with the head; a
/// caller that sends it later is not held up.
const PEEK_TIMEOUT: Duration = Duration::from_millis(20);

/// Body of a request, kept or streamed.
#[derive(Debug)]
pub enum Payload {
    /// Kept in memory, so that it can be resent.
    Kept(Bytes),
    /// Streamed once.
    Streamed {
        /// The body; `None` after it was sent.
        body: Option<Body>,
        /// Its first bytes.
        beginning: Bytes,
    },
}

impl Payload {
    /// Reads a small body into memory and leaves a large one to be streamed.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing the body; no byte of it was sent on.
    pub async fn read<B>(plane: &Plane, parts: &Parts, body: Monitor<B>) -> Result<Self, Reason>
    where
        B: http_body::Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: Into<Fault>,
    {
        let declared = header::declared_length(&parts.headers).map_err(|_| Reason::BadRequest)?;
        if http_body::Body::is_end_stream(&body) {
            return Ok(Self::Kept(Bytes::new()));
        }
        let Some(length) = declared else {
            return Ok(Self::stream(body).await);
        };
        if length > plane.request_limits().body_bytes {
            return Err(Reason::BodySize);
        }
        if length > plane.limits.kept_body_bytes {
            return Ok(Self::stream(body).await);
        }
        let mut reservation = plane.kept_memory.reservation();
        if !reservation.grow(length as usize) {
            plane.counters.increment(Counter::BodiesNotKept);
            plane.shortage.record();
            return Ok(Self::stream(body).await);
        }
        let read = read_all(body, length as usize).await.map_err(reason)?;
        Ok(Self::Kept(reservation.hold(read)))
    }

    /// Leaves a body to be streamed after its beginning was read.
    async fn stream<B>(body: Monitor<B>) -> Self
    where
        B: http_body::Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: Into<Fault>,
    {
        let body = body.boxed_unsync();
        let (body, beginning) = Replayed::peek(body, BODY_BYTES, PEEK_TIMEOUT).await;
        Self::Streamed {
            body: Some(body),
            beginning,
        }
    }

    /// Returns the bytes by which the body is recognised: all of it, or its beginning.
    pub fn beginning(&self) -> &[u8] {
        match self {
            Self::Kept(bytes) => bytes,
            Self::Streamed { beginning, .. } => beginning,
        }
    }

    /// Returns the body for another attempt, `None` when it cannot be resent.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Kept(bytes) if bytes.is_empty() => Some(body::empty()),
            Self::Kept(bytes) => Some(body::full(bytes.clone())),
            Self::Streamed { body, .. } => body.take(),
        }
    }

    /// Returns whether the body can be resent.
    pub const fn is_kept(&self) -> bool {
        matches!(self, Self::Kept(_))
    }
}

/// Copies a body of a known length. The frames are not kept, as each would keep the whole buffer that
/// it was received in.
async fn read_all<B>(mut body: Monitor<B>, length: usize) -> Result<Vec<u8>, Fault>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Fault>,
{
    let mut read = Vec::with_capacity(length);
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame?.data_ref() {
            read.extend_from_slice(data);
        }
    }
    Ok(read)
}

/// Fault of a caller's request body, set when the body ends with one.
#[derive(Clone, Debug, Default)]
pub struct UploadStatus(Arc<OnceLock<Fault>>);

impl UploadStatus {
    /// Records how the body ended.
    pub fn record(&self, ending: Ending) {
        if let Ending::Fault(fault) = ending {
            // A body ends only once, so the cell is empty.
            let _ = self.0.set(fault);
        }
    }

    /// Returns the reason for a refusal, if the body had a fault.
    pub fn reason(&self) -> Option<Reason> {
        self.0.get().copied().map(reason)
    }
}

/// Maps a fault of the caller's body to the reason for a refusal.
const fn reason(fault: Fault) -> Reason {
    match fault {
        Fault::TooLarge => Reason::BodySize,
        Fault::Idle | Fault::Deadline => Reason::BodyTimeout,
        Fault::Short | Fault::Overlong | Fault::Lost => Reason::BodyShort,
    }
}
