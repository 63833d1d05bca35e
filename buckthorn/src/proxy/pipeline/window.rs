//! Decides which of the requests that were sent ahead are dispatched early.
//!
//! Requests run at the same time only if all of those from the first unanswered one on have safe
//! methods (RFC 9112, section 9.3.2), so that a caller sees the effect of a request that changes
//! something before later requests run. A bounded number runs ahead of the one that is answered
//! next.

use std::collections::VecDeque;

use http::Request;

use super::scanner::Head;

/// Requests that are kept until they may be dispatched.
const MAX_WAITING: usize = 64;

/// Requests of a connection that the HTTP library has not taken yet.
#[derive(Debug)]
pub struct Window {
    /// Requests that may be dispatched early, by rising index.
    waiting: VecDeque<(u64, Request<()>)>,
    /// Indices of requests that others may not run beside.
    barriers: VecDeque<u64>,
    /// Number of requests that run ahead at most.
    max_ahead: u64,
}

impl Window {
    /// Creates the window of a new connection; with `max_ahead` of zero nothing runs ahead.
    pub fn new(max_ahead: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            barriers: VecDeque::new(),
            max_ahead: max_ahead as u64,
        }
    }

    /// Returns whether no request waits to be dispatched.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request that begins on the connection, of which the library has taken `taken`.
    pub fn push(&mut self, head: Head, taken: u64) {
        if self.max_ahead == 0 {
            return;
        }
        if !head.is_safe {
            self.barriers.push_back(head.index);
        }
        let Some(request) = head.request else { return };
        // The library takes the next request by itself, and those that are left out here in their turn.
        if head.is_safe && head.index > taken && self.waiting.len() < MAX_WAITING {
            self.waiting.push_back((head.index, request));
        }
    }

    /// Returns the next request to dispatch early, when the library has taken `taken` requests and
    /// `answered` of them were answered.
    pub fn next(&mut self, taken: u64, answered: u64) -> Option<(u64, Request<()>)> {
        while self.barriers.front().is_some_and(|index| *index < answered) {
            self.barriers.pop_front();
        }
        let is_due = |index: u64| index < taken || index == answered;
        while self
            .waiting
            .front()
            .is_some_and(|(index, _)| is_due(*index))
        {
            self.waiting.pop_front();
        }
        let (index, _) = self.waiting.front()?;
        let is_ahead = *index <= answered + self.max_ahead;
        let is_free = self.barriers.front().is_none_or(|barrier| barrier > index);
        if is_ahead && is_free {
            return self.waiting.pop_front();
        }
        None
    }
}
