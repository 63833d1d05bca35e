//! HTTP/1.1 messages on blocking sockets, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub start: String,
    /// Header fields with lower-case names.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header field.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response, zero when it has none.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// How a body was received.
#[derive(Clone, Debug)]
pub struct Body {
    /// Bytes that arrived.
    pub bytes: Vec<u8>,
    /// Whether its framing says that it is whole.
    pub is_whole: bool,
}

/// Connection with the bytes that were read ahead.
pub struct Connection {
    /// Socket.
    pub stream: TcpStream,
    /// Bytes that were read and not consumed.
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects within a time.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    /// Returns whether the peer has not closed the connection.
    pub fn is_open(&self) -> bool {
        let mut byte = [0];
        if self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut byte);
        let is_open = matches!(&peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        let _ = self.stream.set_nonblocking(false);
        is_open
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; returns whether there were any.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` when the connection ended before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse(&text)));
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads the body that a head announces; a response without a length ends with the connection.
    pub fn read_body(&mut self, head: &Head, is_response: bool) -> Body {
        if head.get("transfer-encoding").is_some() {
            return self.read_chunks();
        }
        let length = head
            .get("content-length")
            .and_then(|text| text.parse().ok());
        match length {
            Some(length) => {
                let is_whole = self.fill_to(length);
                let length = length.min(self.buffer.len());
                let bytes = self.buffer.drain(..length).collect();
                Body { bytes, is_whole }
            }
            None if is_response => {
                while self.fill().unwrap_or(false) {}
                let bytes = std::mem::take(&mut self.buffer);
                Body {
                    bytes,
                    is_whole: true,
                }
            }
            None => Body {
                bytes: Vec::new(),
                is_whole: true,
            },
        }
    }

    /// Reads until the buffer has a number of bytes.
    fn fill_to(&mut self, length: usize) -> bool {
        while self.buffer.len() < length {
            if !self.fill().unwrap_or(false) {
                return false;
            }
        }
        true
    }

    /// Reads a line without its end.
    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !self.fill().unwrap_or(false) {
                return None;
            }
        }
    }

    /// Reads a body in chunks.
    fn read_chunks(&mut self) -> Body {
        let mut bytes = Vec::new();
        loop {
            let size = self.read_line();
            let size = size.and_then(|line| usize::from_str_radix(line.trim(), 16).ok());
            let Some(size) = size else {
                return Body {
                    bytes,
                    is_whole: false,
                };
            };
            let is_here = self.fill_to(size + 2);
            let here = size.min(self.buffer.len());
            bytes.extend(self.buffer.drain(..here));
            if !is_here {
                return Body {
                    bytes,
                    is_whole: false,
                };
            }
            self.buffer.drain(..2);
            if size == 0 {
                return Body {
                    bytes,
                    is_whole: true,
                };
            }
        }
    }
}

/// Sends a request on a new connection and returns the status and body of its response; `None`
/// without a complete response in time.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<(Head, Body)> {
    let deadline = Instant::now() + timeout;
    let mut connection = Connection::open(address, timeout).ok()?;
    let left = deadline.saturating_duration_since(Instant::now());
    let left = left.max(Duration::from_millis(1));
    connection.stream.set_read_timeout(Some(left)).ok()?;
    connection.send(request).ok()?;
    let head = connection.read_head().ok()??;
    let body = connection.read_body(&head, true);
    body.is_whole.then_some((head, body))
}

/// Returns where a pattern begins.
fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}

/// Parses a head.
fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(key, value)| (key.trim().to_lowercase(), value.trim().to_owned()));
    Head {
        start,
        fields: fields.collect(),
    }
}
