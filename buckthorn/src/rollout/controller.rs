//! Decisions of the lease's holder about moves.
