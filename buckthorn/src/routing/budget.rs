//! Retry budget and the rules of retrying.
