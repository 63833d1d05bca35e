//! Response bodies derived from their request. A reader can check that a body is complete and that
//! it belongs to the request.

use buckthorn::name;
use bytes::Bytes;

/// Request header with the request id.
pub const REQUEST_ID: &str = "x-request-id";
/// Response header that identifies the execution: server name and request number.
pub const EXECUTION: &str = "x-execution";
/// Body size unless the request has a `bytes` parameter.
pub const DEFAULT_BYTES: usize = 256;
/// Largest body size; a larger `bytes` parameter is clamped.
pub const MAX_BYTES: usize = 64 * 1024 * 1024;
/// Largest chunk of a streamed body, in bytes.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// Difference between a received body and the expected one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// Bytes are missing at the end.
    Short,
    /// Bytes follow the expected end.
    Long,
    /// The bytes differ: the body belongs to another request or was corrupted.
    Stranger,
}

/// Generates the body that belongs to a request.
#[derive(Clone, Debug)]
pub struct BodySource {
    /// Hash of path, query and request id.
    seed: u64,
    /// Offset of the next byte.
    at: usize,
    /// Size of the whole body in bytes.
    len: usize,
}

impl BodySource {
    /// Creates the generator for a request, positioned at the start of the body.
    pub fn new(path_and_query: &str, request_id: &str) -> Self {
        Self {
            seed: name::rendezvous(path_and_query, request_id),
            at: 0,
            len: wanted_bytes(path_and_query),
        }
    }

    /// Size of the whole body in bytes, regardless of the position.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether the body has no bytes.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Moves to an offset, at most to the end.
    pub fn seek(&mut self, at: usize) {
        self.at = at.min(self.len);
    }

    /// Returns the next bytes of the body, at most `max_bytes`; empty at the end.
    pub fn next_chunk(&mut self, max_bytes: usize) -> Bytes {
        let end = self.len.min(self.at + max_bytes);
        let chunk: Vec<u8> = (self.at..end).map(|at| byte(self.seed, at)).collect();
        self.at = end;
        chunk.into()
    }
}

/// Returns one byte of a body: each 8-byte word is a hash of the seed and the word's index.
#[inline]
fn byte(seed: u64, at: usize) -> u8 {
    let word = (seed ^ (at as u64 >> 3)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (word ^ (word >> 32)).to_le_bytes()[at & 7]
}

/// Returns the body size requested with the `bytes` query parameter.
fn wanted_bytes(path_and_query: &str) -> usize {
    path_and_query
        .split_once('?')
        .and_then(|(_, query)| {
            query
                .split('&')
                .find_map(|item| item.strip_prefix("bytes="))
        })
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(DEFAULT_BYTES)
        .min(MAX_BYTES)
}

/// Incremental check of a received body.
#[derive(Clone, Debug)]
pub struct BodyCheck {
    /// Expected body.
    source: BodySource,
    /// Whether a byte differed.
    is_mismatched: bool,
    /// Whether bytes followed the expected end.
    is_long: bool,
}

impl BodyCheck {
    /// Creates the check for the response to a request.
    pub fn new(path_and_query: &str, request_id: &str) -> Self {
        Self {
            source: BodySource::new(path_and_query, request_id),
            is_mismatched: false,
            is_long: false,
        }
    }

    /// Compares the next received bytes.
    pub fn update(&mut self, received: &[u8]) {
        let expected = self.source.next_chunk(received.len());
        self.is_long |= received.len() > expected.len();
        self.is_mismatched |= !received.starts_with(&expected);
    }

    /// Returns the result after the last bytes.
    ///
    /// # Errors
    ///
    /// Returns the difference from the expected body.
    pub fn finish(&self) -> Result<(), BodyFault> {
        if self.is_mismatched {
            return Err(BodyFault::Stranger);
        }
        if self.is_long {
            return Err(BodyFault::Long);
        }
        match self.source.at < self.source.len {
            true => Err(BodyFault::Short),
            false => Ok(()),
        }
    }
}
