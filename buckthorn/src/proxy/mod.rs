//! The path of a call: callers, the hop between nodes, and backend servers.
