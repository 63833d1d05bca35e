//! Thin program around the `buckthorn` library.

fn main() {}
