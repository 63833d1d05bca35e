//! Ends the body of a response at the deadline of its call, also when the reader does not poll it.
//!
//! A body that a caller reads slowly, or not at all, would otherwise keep the backend server busy
//! until the connection of the caller is closed.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, timeout_at};

use super::body::{Body, Fault};

/// Frames that are read ahead of the reader.
const FRAMES_AHEAD: usize = 1;

/// Body that a task reads until the deadline.
struct Relayed {
    /// Frames from the task; closed without an end when the deadline passed.
    frames: Receiver<Option<Result<Frame<Bytes>, Fault>>>,
    /// Size of the body as it was when the task began.
    size: SizeHint,
    /// Whether the end or a fault was returned to the reader.
    is_ended: bool,
}

/// Returns a body with the same frames that fails at a deadline. What it is read from is dropped
/// then, which cancels the call.
pub(super) fn end_at(body: Body, deadline: Instant) -> Body {
    let size = http_body::Body::size_hint(&body);
    let (sender, frames) = channel(FRAMES_AHEAD);
    tokio::spawn(async move {
        // The reader notices by the closed channel.
        let _ = timeout_at(deadline, relay(body, sender)).await;
    });
    let relayed = Relayed {
        frames,
        size,
        is_ended: false,
    };
    relayed.boxed_unsync()
}

/// Relays the frames of a body until it ends or its reader is gone.
async fn relay(mut body: Body, sender: Sender<Option<Result<Frame<Bytes>, Fault>>>) {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return,
        };
        let is_last = !matches!(frame, Some(Ok(_)));
        if sender.send(frame).await.is_err() || is_last {
            return;
        }
    }
}

impl http_body::Body for Relayed {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        let frame = ready!(self.frames.poll_recv(cx)).unwrap_or(Some(Err(Fault::Deadline)));
        self.is_ended = !matches!(frame, Some(Ok(_)));
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}
