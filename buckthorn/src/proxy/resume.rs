//! Resumes interrupted downloads at another backend server.
//!
//! The response to an idempotent GET with a strong entity tag and a declared length is resumed by
//! `Range` and `If-Range` (RFC 9110, sections 13.1.5 and 14.2). Under a policy the kind of the route
//! says whether a call is idempotent; the request for the remainder counts as one of the route's
//! attempts and ends at the deadline of the call. The remainder is accepted only if its entity
//! tag, offset and total length match the first response; otherwise the caller sees the
//! interruption.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header as names};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;

use super::Plane;
use super::body::{self, Body, Fault};
use super::dispatch::{AttemptResult, attempt, choose_endpoint, layer, service_budget};
use super::header::{self, Call};
use crate::counter::Counter;
use crate::name::Name;
use crate::routing::budget::{self, Next};
use crate::routing::first_try::Tries;

/// State needed to request the remainder of a download.
struct Download {
    /// Plane of the node.
    plane: Arc<Plane>,
    /// Call that the download belongs to.
    call: Call,
    /// Head of the request.
    parts: Parts,
    /// Strong entity tag of the first response.
    tag: HeaderValue,
    /// Length of the complete body in bytes.
    length: u64,
    /// Hosts whose response was interrupted or that refused.
    tried: Vec<Name>,
    /// Attempts left.
    attempts_left: u32,
}

/// Future of the remainder, and the state needed if that is interrupted as well.
type Pending = Pin<Box<dyn Future<Output = Option<(Body, Download)>> + Send>>;

/// Body of a download that is resumed when interrupted.
struct ResumableBody {
    /// Body that is currently read.
    inner: Body,
    /// Bytes returned to the reader so far.
    offset: u64,
    /// Length of the complete body in bytes.
    length: u64,
    /// State needed to resume, `None` while a request is pending or after no attempt is left.
    download: Option<Download>,
    /// Pending request for the remainder, with the fault that caused it.
    pending: Option<(Pending, Fault)>,
}

/// Makes the body of a response resumable if the request and response allow it, by at most
/// `attempts_left` further requests.
pub(super) fn make_resumable(
    plane: &Arc<Plane>,
    call: &Call,
    parts: &Parts,
    host: Name,
    attempts_left: u32,
    response: Response<Body>,
) -> Response<Body> {
    let Some((tag, length)) = resumable(call, parts, &response) else {
        return response;
    };
    let download = Download {
        plane: plane.clone(),
        call: call.clone(),
        parts: parts.clone(),
        tag,
        length,
        tried: vec![host],
        attempts_left,
    };
    response.map(|inner| {
        ResumableBody {
            inner,
            offset: 0,
            length,
            download: Some(download),
            pending: None,
        }
        .boxed_unsync()
    })
}

/// Returns the entity tag and length of a response that can be resumed.
fn resumable(call: &Call, parts: &Parts, response: &Response<Body>) -> Option<(HeaderValue, u64)> {
    // The request for the remainder has no body, so one with a body would be another request.
    let is_plain_get = parts.method == Method::GET
        && !parts.headers.contains_key(names::RANGE)
        && !parts.headers.contains_key(names::TRANSFER_ENCODING)
        && header::declared_length(&parts.headers).is_ok_and(|length| length.unwrap_or(0) == 0);
    if !call.is_idempotent || !is_plain_get || response.status() != StatusCode::OK {
        return None;
    }
    let length = header::declared_length(response.headers()).ok()??;
    Some((strong_tag(response.headers())?.clone(), length))
}

/// Returns the strong entity tag, `None` when it is weak or absent.
fn strong_tag(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers
        .get(names::ETAG)
        .filter(|tag| tag.as_bytes().starts_with(b"\""))
}

impl Download {
    /// Requests the remainder from an offset at other backend servers.
    async fn resume(mut self, offset: u64) -> Option<(Body, Self)> {
        let budget = service_budget(&self.plane, &self.call)?;
        let is_bounded = self.call.max_backend_attempts.is_some();
        self.parts.headers.insert(
            names::RANGE,
            HeaderValue::from_str(&format!("bytes={offset}-")).ok()?,
        );
        self.parts.headers.insert(names::IF_RANGE, self.tag.clone());
        loop {
            let next = budget::decide(
                &budget,
                &budget::Attempt {
                    is_idempotent: self.call.is_idempotent,
                    ran: budget::Execution::Unknown,
                    failure: budget::Failure::Reset,
                    time_left: is_bounded.then(|| self.call.deadline.since(self.plane.clock.now())),
                    attempts_left: self.attempts_left,
                    layer: layer(&self.call),
                    is_body_replayable: true,
                    is_poison: self.plane.block_level(&self.call).is_some(),
                    is_in_progress: self.call.rank.is_in_progress(),
                },
            );
            self.plane.counters.increment(next.counter());
            if matches!(next, Next::GiveUp(_)) {
                return None;
            }
            self.attempts_left -= 1;
            let endpoint =
                choose_endpoint(&self.plane, &self.call, &self.tried, &mut Tries::over()).ok()?;
            if !is_bounded {
                // The original deadline applied to the head of the first response.
                self.call.deadline = self.plane.clock.now() + self.plane.limits.call_timeout;
            }
            let request = Request::from_parts(self.parts.clone(), body::empty());
            let result = attempt(&self.plane, &self.call, &endpoint, request).await;
            self.tried.push(endpoint.host);
            if let AttemptResult::Answered(response) = result
                && self.is_remainder(offset, &response)
            {
                self.plane.counters.increment(Counter::DownloadsResumed);
                return Some((response.into_body(), self));
            }
        }
    }

    /// Returns whether a response is exactly the remainder from an offset.
    fn is_remainder(&self, offset: u64, response: &Response<Body>) -> bool {
        let expected_range = format!("bytes {offset}-{}/{}", self.length - 1, self.length);
        let headers = response.headers();
        let is_expected_range = headers
            .get(names::CONTENT_RANGE)
            .is_some_and(|value| value.as_bytes() == expected_range.as_bytes());
        response.status() == StatusCode::PARTIAL_CONTENT
            && is_expected_range
            && strong_tag(headers) == Some(&self.tag)
    }
}

impl http_body::Body for ResumableBody {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let this = &mut *self;
        loop {
            if let Some((pending, fault)) = &mut this.pending {
                let fault = *fault;
                let rest = ready!(pending.as_mut().poll(cx));
                this.pending = None;
                let Some((rest, download)) = rest else {
                    return Poll::Ready(Some(Err(fault)));
                };
                this.inner = rest;
                this.download = Some(download);
            }
            let fault = match ready!(Pin::new(&mut this.inner).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    this.offset += frame.data_ref().map_or(0, Bytes::len) as u64;
                    return Poll::Ready(Some(Ok(frame)));
                }
                Some(Err(fault)) => fault,
                None if this.offset < this.length => Fault::Short,
                None => return Poll::Ready(None),
            };
            let is_broken_off = matches!(fault, Fault::Short | Fault::Lost | Fault::Idle);
            let download = this
                .download
                .take()
                .filter(|_| is_broken_off && this.offset < this.length);
            match download {
                Some(download) => {
                    this.pending = Some((Box::pin(download.resume(this.offset)), fault))
                }
                None => return Poll::Ready(Some(Err(fault))),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.offset == self.length && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length - self.offset.min(self.length))
    }
}
