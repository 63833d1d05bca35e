//! Finds the heads of requests in the bytes of a connection.
//!
//! Bodies with a declared length are skipped. Behind a body in chunks, a malformed or overlong head, an
//! upgrade, or a request that closes its connection, nothing is looked for any more; the HTTP
//! library decides what these bytes are.

use bytes::{Buf, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Version};

/// A request that begins on a connection.
#[derive(Debug)]
pub struct Head {
    /// Index on the connection, from zero.
    pub index: u64,
    /// Whether its method is safe (RFC 9110, section 9.2.1), so that later requests may run beside
    /// it.
    pub is_safe: bool,
    /// The request; absent if it has a body or may not be dispatched from its head alone.
    pub request: Option<Request<()>>,
}

/// Finds the heads of requests in a stream of bytes.
#[derive(Debug)]
pub struct Scanner {
    /// Bytes of a head that is not complete.
    partial: BytesMut,
    /// Bytes of a body that are still to come.
    body_left: u64,
    /// Index of the next head.
    next_index: u64,
    /// Whether nothing is looked for any more.
    is_stopped: bool,
    /// Largest head in bytes.
    max_bytes: usize,
    /// Largest number of header fields.
    max_headers: usize,
}

/// What follows a head.
enum After {
    /// The next head, after a body of this many bytes.
    Head(u64),
    /// Bytes that only the HTTP library can tell apart.
    Unknown,
}

impl Scanner {
    /// Creates a scanner with the limits that the HTTP library applies as well.
    pub fn new(max_bytes: usize, max_headers: usize) -> Self {
        Self {
            partial: BytesMut::new(),
            body_left: 0,
            next_index: 0,
            is_stopped: max_headers == 0,
            max_bytes,
            max_headers,
        }
    }

    /// Takes the next bytes and returns the heads that end in them.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Vec<Head> {
        let mut heads = Vec::new();
        while !self.is_stopped && !bytes.is_empty() {
            let skipped = self.body_left.min(bytes.len() as u64);
            self.body_left -= skipped;
            bytes.advance(skipped as usize);
            if bytes.is_empty() {
                break;
            }
            self.partial.extend_from_slice(bytes);
            bytes = &[];
            while !self.is_stopped && self.body_left == 0 && !self.partial.is_empty() {
                match self.take_head() {
                    Some(head) => heads.push(head),
                    None => break,
                }
            }
            self.skip_partial();
        }
        if self.is_stopped || self.partial.is_empty() {
            self.partial = BytesMut::new();
        }
        heads
    }

    /// Skips what has arrived of a body behind the last head.
    fn skip_partial(&mut self) {
        let skipped = self.body_left.min(self.partial.len() as u64);
        self.body_left -= skipped;
        self.partial.advance(skipped as usize);
    }

    /// Takes a complete head off the partial bytes, and the part of its body that follows.
    fn take_head(&mut self) -> Option<Head> {
        let mut fields = vec![httparse::EMPTY_HEADER; self.max_headers];
        let mut parsed = httparse::Request::new(&mut fields);
        let length = match parsed.parse(&self.partial) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.partial.len() < self.max_bytes => return None,
            Ok(httparse::Status::Partial) | Err(_) => {
                self.is_stopped = true;
                return None;
            }
        };
        let Some(request) = request(&parsed) else {
            self.is_stopped = true;
            return None;
        };
        self.partial.advance(length);
        let index = self.next_index;
        self.next_index += 1;
        let is_safe = request.method().is_safe();
        let body = match after(&request) {
            After::Head(body) => body,
            After::Unknown => {
                self.is_stopped = true;
                return Some(Head {
                    index,
                    is_safe,
                    request: None,
                });
            }
        };
        self.body_left = body;
        self.skip_partial();
        Some(Head {
            index,
            is_safe,
            request: (body == 0).then_some(request),
        })
    }
}

/// Builds a request from a parsed head; `None` if it is malformed.
fn request(parsed: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = parsed.path?.parse().ok()?;
    *request.version_mut() = match parsed.version? {
        0 => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    let headers = request.headers_mut();
    headers.reserve(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(request)
}

/// Returns what follows the head of a request.
fn after(request: &Request<()>) -> After {
    let headers = request.headers();
    let is_last = request.version() != Version::HTTP_11
        || request.method() == Method::CONNECT
        || [TRANSFER_ENCODING, UPGRADE, EXPECT]
            .iter()
            .any(|name| headers.contains_key(name))
        || closes(headers);
    if is_last {
        return After::Unknown;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => After::Head(0),
        (Some(length), None) => match length.to_str().ok().and_then(|text| text.parse().ok()) {
            Some(length) => After::Head(length),
            None => After::Unknown,
        },
        (Some(_), Some(_)) => After::Unknown,
    }
}

/// Returns whether a request says that it is the last one of its connection.
fn closes(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
