//! Client: one request on a new connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// A complete response.
    Answer,
    /// The connection was closed before the response was complete.
    Closed,
    /// The client stopped waiting.
    GaveUp,
    /// No connection could be opened.
    NoConnection,
}

/// Response to a request, as far as it was received.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub ended: Ended,
    /// Status, 0 without a head.
    pub status: u16,
    /// Bytes received.
    pub bytes: usize,
    /// Time from the sending to the end.
    pub took: Duration,
}

/// A request.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: String,
    /// Time budget.
    pub budget: Duration,
    /// Time after which the client stops waiting.
    pub patience: Duration,
}

/// Host of all routes.
pub const HOST: &str = "shop.example";

/// Identifier that no other request has.
pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Sends a request and waits for its end.
pub fn send(address: SocketAddr, request: &Request<'_>) -> Outcome {
    let started = Instant::now();
    let mut received = Vec::new();
    let ended = exchange(address, request, started, &mut received);
    let head_end = find(&received, b"\r\n\r\n");
    let head = head_end.map(|end| String::from_utf8_lossy(&received[..end]).to_ascii_lowercase());
    let status = head.and_then(|head| head.split(' ').nth(1)?.parse().ok());
    Outcome {
        ended,
        status: status.unwrap_or(0),
        bytes: received.len(),
        took: started.elapsed(),
    }
}

fn exchange(
    address: SocketAddr,
    request: &Request<'_>,
    started: Instant,
    received: &mut Vec<u8>,
) -> Ended {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
        return Ended::NoConnection;
    };
    let Request {
        method,
        path,
        id,
        budget,
        ..
    } = request;
    let body = if *method == "POST" { id.as_str() } else { "" };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nBuckthornworks-Request-Id: {id}\r\n\
         Buckthornworks-Deadline-Milliseconds: {}\r\nContent-Length: {}\r\n\r\n{body}",
        budget.as_millis(),
        body.len()
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return Ended::Closed;
    }
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let mut buffer = vec![0; 256 * 1024];
    loop {
        if is_complete(received) {
            return Ended::Answer;
        }
        if started.elapsed() >= request.patience {
            return Ended::GaveUp;
        }
        match stream.read(&mut buffer) {
            Ok(0) => return Ended::Closed,
            Ok(read) => received.extend_from_slice(&buffer[..read]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return Ended::Closed,
        }
    }
}

/// Whether the bytes are a complete response.
fn is_complete(received: &[u8]) -> bool {
    let Some(end) = find(&received[..received.len().min(16 * 1024)], b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
    let body = &received[end + 4..];
    match head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
    {
        Some(length) => body.len() >= length.trim().parse().unwrap_or(usize::MAX),
        None if head.contains("transfer-encoding: chunked") => body.ends_with(b"\r\n0\r\n\r\n"),
        None => false,
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
