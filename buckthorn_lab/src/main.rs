//! Command line of the lab.

fn main() {}
