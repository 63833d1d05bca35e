//! The ingress's part: reads a caller's call and sees it through.

use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;

use super::answer::{self, Ran, Reason};
use super::body::{Body, Monitor};
use super::header::{Call, LOAD, PART, SECRET};
use super::payload::{Payload, Upload};
use super::{Plane, dispatch, keyed};
use crate::admission::gate::Refusal;
use crate::counter::Counter;

/// Carries a caller's call.
pub async fn carry(plane: &Arc<Plane>, request: Request<Monitor<Incoming>>) -> Response<Body> {
    plane.counters.hit(Counter::Calls);
    if plane.is_draining() {
        let reason = Reason::Refused(Refusal::Draining);
        return answer::refuse(&plane.counters, reason, Ran::NotRun);
    }
    let (mut parts, body) = request.into_parts();
    let now = plane.clock.now();
    let call = match Call::parse(&parts, now, plane.limits.call_timeout) {
        Ok(call) => call,
        Err(detail) => {
            return answer::refuse_with(&plane.counters, Reason::BadRequest, Ran::NotRun, detail);
        }
    };
    // These speak between nodes only.
    parts.headers.remove(SECRET);
    parts.headers.remove(PART);
    let upload = parts.extensions.remove::<Upload>().unwrap_or_default();
    let mut departure = Departure(Some(plane.clone()));
    let response = match Payload::read(plane, &parts, body).await {
        Ok(payload) if call.is_keyed() => keyed::carry(plane, call, parts, payload).await,
        Ok(payload) => dispatch::dispatch(plane, &call, parts, payload).await,
        Err(reason) => answer::refuse(&plane.counters, reason, Ran::NotRun),
    };
    departure.0 = None;
    finish(plane, blame_upload(plane, &upload, response))
}

/// Names a fault of the caller's streamed body instead of what it led to further in.
fn blame_upload(plane: &Plane, upload: &Upload, response: Response<Body>) -> Response<Body> {
    let Some(reason) = upload.reason() else {
        return response;
    };
    if !answer::is_refusal(&response) || answer::is_not_run(&response) {
        return response;
    }
    answer::refuse(&plane.counters, reason, Ran::Unknown)
}

/// Counts a caller that leaves before the head of its answer.
struct Departure(Option<Arc<Plane>>);

impl Drop for Departure {
    fn drop(&mut self) {
        if let Some(plane) = &self.0 {
            plane.counters.hit(Counter::CallerGone);
        }
    }
}

/// Counts an answer and makes it fit for the caller.
fn finish(plane: &Plane, mut response: Response<Body>) -> Response<Body> {
    let is_unknown = answer::is_refusal(&response) && !answer::is_not_run(&response);
    if is_unknown {
        plane.counters.hit(Counter::CallsUnknown);
    }
    response.headers_mut().remove(LOAD);
    response
}
