//! Control messages between nodes and the edge that carries them.
//!
//! One JSON-RPC method, [`METHOD`], takes an envelope of messages and returns one. Both sides
//! bound the size and depth of what they read, and count the bytes they exchange.

pub mod client;
pub mod depth;
pub mod message;
pub mod server;

/// Name of the only method.
pub const METHOD: &str = "exchange";

/// Bytes that one envelope may take.
pub const MAX_MESSAGE_BYTES: u32 = 1024 * 1024;

/// Bytes of the request line and headers that a client sends, without the secret.
pub const REQUEST_HEADER_BYTES: u64 = 130;

/// Bytes of the status line and headers that a server sends.
pub const RESPONSE_HEADER_BYTES: u64 = 120;

/// Bytes of the JSON-RPC frame around parameters or a result.
pub const FRAME_BYTES: u64 = 60;
