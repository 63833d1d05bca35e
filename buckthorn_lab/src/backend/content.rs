//! Bodies that are derived from their request, so that whoever reads one can tell whether it is
//! whole and whether it is the answer to that request.

use buckthorn::name;
use bytes::Bytes;

/// Header that names a request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that names the execution that gave an answer.
pub const EXECUTION: &str = "x-execution";
/// Bytes of a body unless the request asks for another size.
pub const DEFAULT_BYTES: usize = 256;
/// Largest body that a request may ask for.
pub const MAX_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of one part of a streamed body.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// What is wrong with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It ended early.
    Short,
    /// It went on too long.
    Long,
    /// It belongs to another request, or its bytes changed on the way.
    Stranger,
}

/// Generator of the body that belongs to a request.
#[derive(Clone, Debug)]
pub struct BodySource {
    /// Hash of the request.
    seed: u64,
    /// Position of the next byte.
    at: usize,
    /// Bytes of the body.
    len: usize,
}

impl BodySource {
    /// Body of a request.
    pub fn new(path_and_query: &str, request_id: &str) -> Self {
        Self {
            seed: name::rendezvous(path_and_query, request_id),
            at: 0,
            len: wanted_bytes(path_and_query),
        }
    }

    /// Bytes of the whole body.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether the body has no bytes.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Moves to a position.
    pub fn seek(&mut self, at: usize) {
        self.at = at.min(self.len);
    }

    /// Next part of the body, empty at its end.
    pub fn next_chunk(&mut self, max_bytes: usize) -> Bytes {
        let end = self.len.min(self.at + max_bytes);
        let part: Vec<u8> = (self.at..end).map(|at| byte(self.seed, at)).collect();
        self.at = end;
        part.into()
    }
}

/// Byte of a body: each word of eight is a mix of the seed and its position.
#[inline]
fn byte(seed: u64, at: usize) -> u8 {
    let word = (seed ^ (at as u64 >> 3)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (word ^ (word >> 32)).to_le_bytes()[at & 7]
}

/// Bytes that a request asks for with `?bytes=`.
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

/// Checks a body as it comes.
#[derive(Clone, Debug)]
pub struct BodyCheck {
    /// Body that is expected.
    source: BodySource,
    /// Whether a byte was wrong.
    is_stranger: bool,
    /// Whether bytes came after the end.
    is_long: bool,
}

impl BodyCheck {
    /// Check of the answer to a request.
    pub fn new(path_and_query: &str, request_id: &str) -> Self {
        Self {
            source: BodySource::new(path_and_query, request_id),
            is_stranger: false,
            is_long: false,
        }
    }

    /// Takes the next part.
    pub fn update(&mut self, part: &[u8]) {
        let expected = self.source.next_chunk(part.len());
        self.is_long |= part.len() > expected.len();
        self.is_stranger |= !part.starts_with(&expected);
    }

    /// Says what is wrong with the body, if anything.
    ///
    /// # Errors
    ///
    /// Returns the fault.
    pub fn finish(&self) -> Result<(), BodyFault> {
        if self.is_stranger {
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
