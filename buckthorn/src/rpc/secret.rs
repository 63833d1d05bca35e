//! Secret shared by the nodes, with the previous one accepted while it is rotated.

use subtle::ConstantTimeEq;

/// Scheme of the authorization header.
const SCHEME: &str = "Bearer ";

/// Shared secret.
#[derive(Clone)]
pub struct Secret {
    /// Secret that this node presents.
    current: String,
    /// Secret that is accepted besides.
    previous: Option<String>,
}

impl Secret {
    /// Secret without a previous one.
    pub fn new(current: impl Into<String>) -> Self {
        Self {
            current: current.into(),
            previous: None,
        }
    }

    /// Accepts another secret besides while nodes change over.
    pub fn with_previous(mut self, previous: Option<String>) -> Self {
        self.previous = previous;
        self
    }

    /// Value of the authorization header that this node presents.
    pub fn header(&self) -> String {
        format!("{SCHEME}{}", self.current)
    }

    /// Whether the value of an authorization header holds an accepted secret.
    ///
    /// The time taken depends on the lengths only.
    pub fn accepts(&self, header: &[u8]) -> bool {
        let Some(token) = header.strip_prefix(SCHEME.as_bytes()) else {
            return false;
        };
        let current = token.ct_eq(self.current.as_bytes());
        let previous = match &self.previous {
            Some(previous) => token.ct_eq(previous.as_bytes()),
            None => subtle::Choice::from(0),
        };
        (current | previous).into()
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}
