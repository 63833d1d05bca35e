//! Body of a request: kept when it is small, so that it can be sent again, and streamed otherwise.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::Plane;
use super::body::{self, Body, Ending, Fault, Monitor};
use super::header;
use super::response::Reason;

/// Body of a request.
#[derive(Debug)]
pub enum Payload {
    /// Kept, so that it can be sent again.
    Kept(Bytes),
    /// Streamed once; `None` when it was sent.
    Streamed(Option<Body>),
}

impl Payload {
    /// Keeps a small body and leaves a large one to be streamed.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the body; nothing was sent on.
    pub async fn read(
        plane: &Plane,
        parts: &Parts,
        body: Monitor<Incoming>,
    ) -> Result<Self, Reason> {
        let declared = header::declared_length(&parts.headers).map_err(|_| Reason::BadRequest)?;
        if http_body::Body::is_end_stream(&body) {
            return Ok(Self::Kept(Bytes::new()));
        }
        let Some(length) = declared else {
            return Ok(Self::Streamed(Some(body.boxed_unsync())));
        };
        if length > plane.limits.body_bytes {
            return Err(Reason::BodySize);
        }
        if length > plane.limits.kept_body_bytes {
            return Ok(Self::Streamed(Some(body.boxed_unsync())));
        }
        match body.collect().await {
            Ok(collected) => Ok(Self::Kept(collected.to_bytes())),
            Err(fault) => Err(reason(fault)),
        }
    }

    /// Body for one more attempt, `None` when it cannot be sent again.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Kept(bytes) if bytes.is_empty() => Some(body::empty()),
            Self::Kept(bytes) => Some(body::full(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Whether the body can be sent again.
    pub const fn is_kept(&self) -> bool {
        matches!(self, Self::Kept(_))
    }
}

/// What was wrong with the body of a caller's request, known once it has ended.
#[derive(Clone, Debug, Default)]
pub struct UploadStatus(Arc<OnceLock<Fault>>);

impl UploadStatus {
    /// Notes how the body ended.
    pub fn record(&self, ending: Ending) {
        if let Ending::Fault(fault) = ending {
            // A body ends once.
            let _ = self.0.set(fault);
        }
    }

    /// Reason of a refusal, if the body was at fault.
    pub fn reason(&self) -> Option<Reason> {
        self.0.get().copied().map(reason)
    }
}

/// Reason of a refusal for a fault of the caller's body.
const fn reason(fault: Fault) -> Reason {
    match fault {
        Fault::TooLarge => Reason::BodySize,
        Fault::Idle => Reason::BodyTimeout,
        Fault::Short | Fault::Overlong | Fault::Lost => Reason::BodyShort,
    }
}
