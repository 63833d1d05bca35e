//! Probing of members, suspicion and refutation.
