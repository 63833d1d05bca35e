//! The beginning of a streamed body is read ahead without changing the body.

use std::time::Duration;

use buckthorn::proxy::body::{Body, Fault, Replayed};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};

const WAIT: Duration = Duration::from_millis(50);

/// Delay of a late part of a body.
const LATE: Duration = Duration::from_millis(800);

type Item = Result<Frame<Bytes>, Fault>;

fn data(text: &'static str) -> Item {
    Ok(Frame::data(Bytes::from_static(text.as_bytes())))
}

fn body(frames: Vec<Item>) -> Body {
    StreamBody::new(stream::iter(frames)).boxed_unsync()
}

#[tokio::test]
async fn the_beginning_does_not_depend_on_how_a_body_is_split() {
    for frames in [
        vec![data("one two three")],
        vec![data("one"), data(" "), data("two three")],
        vec![data("one two"), data(""), data(" three")],
    ] {
        let (replayed, beginning) = Replayed::peek(body(frames), 100, WAIT).await;
        assert_eq!(&*beginning, b"one two three");
        let whole = replayed.collect().await.unwrap().to_bytes();
        assert_eq!(&*whole, b"one two three");
    }
    let long = vec![data("one two"), data(" three"), data(" four")];
    let (replayed, beginning) = Replayed::peek(body(long), 8, WAIT).await;
    assert!(beginning.starts_with(b"one two "));
    let whole = replayed.collect().await.unwrap().to_bytes();
    assert_eq!(&*whole, b"one two three four");
}

/// A caller that sends its body later, for instance after an early response, is not held up.
#[tokio::test]
async fn a_body_that_comes_late_is_waited_for_only_a_moment() {
    let late = stream::once(async {
        tokio::time::sleep(LATE).await;
        data("late")
    });
    let frames = stream::iter([data("soon")]).chain(late);
    let body = StreamBody::new(Box::pin(frames)).boxed_unsync();
    let started = tokio::time::Instant::now();
    let (replayed, beginning) = Replayed::peek(body, 100, WAIT).await;
    assert!(started.elapsed() < LATE);
    assert_eq!(&*beginning, b"soon");
    let whole = replayed.collect().await.unwrap().to_bytes();
    assert_eq!(&*whole, b"soonlate");
}

#[tokio::test]
async fn a_fault_in_the_beginning_is_kept() {
    let frames = vec![data("one"), Err(Fault::Short)];
    let (replayed, beginning) = Replayed::peek(body(frames), 100, WAIT).await;
    assert_eq!(&*beginning, b"one");
    assert_eq!(replayed.collect().await.unwrap_err(), Fault::Short);
}
