//! Control protocol between nodes: messages, client and server.
//!
//! The only JSON-RPC method, [`METHOD`], takes an envelope of messages and returns one. Both sides
//! limit the size and nesting depth of what they read, and count the bytes they exchange.

pub mod client;
pub mod depth;
pub mod message;
pub mod server;

/// Name of the only JSON-RPC method.
pub const METHOD: &str = "exchange";

/// Maximum size of an envelope, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 1024 * 1024;

/// Estimated size of a client's request line and headers without the secret, in bytes.
pub const REQUEST_HEADER_BYTES: u64 = 130;

/// Estimated size of a server's status line and headers, in bytes.
pub const RESPONSE_HEADER_BYTES: u64 = 120;

/// Estimated size of the JSON-RPC frame around parameters or a result, in bytes.
pub const FRAME_BYTES: u64 = 60;
