//! Control messages between nodes and the edge that carries them.

pub mod message;
