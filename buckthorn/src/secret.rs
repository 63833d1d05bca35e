//! Secrets shared by the nodes, compared in constant time; the previous one is accepted while
//! nodes change over.

use std::fmt;
use std::sync::Arc;

use subtle::ConstantTimeEq;

/// Scheme of the authorization header (RFC 6750).
const BEARER: &str = "Bearer ";

/// The secret in use and, during a rotation, the one before it.
#[derive(Clone)]
pub struct Secrets {
    /// Secret sent and accepted.
    current: Arc<str>,
    /// Secret still accepted.
    previous: Option<Arc<str>>,
}

impl Secrets {
    /// Secrets with an optional previous one.
    pub fn new(current: impl Into<Arc<str>>, previous: Option<Arc<str>>) -> Self {
        Self {
            current: current.into(),
            previous,
        }
    }

    /// Secret to send.
    pub fn current(&self) -> &str {
        &self.current
    }

    /// Value of the authorization header that this node presents.
    pub fn bearer(&self) -> String {
        format!("{BEARER}{}", self.current)
    }

    /// Whether the value of an authorization header holds an accepted secret.
    pub fn accepts_bearer(&self, header: &[u8]) -> bool {
        header
            .strip_prefix(BEARER.as_bytes())
            .is_some_and(|offered| self.accepts(offered))
    }

    /// Whether an offered secret is accepted; takes the same time for any secret of equal length.
    pub fn accepts(&self, offered: &[u8]) -> bool {
        let is_current = self.current.as_bytes().ct_eq(offered);
        let is_previous = self
            .previous
            .as_ref()
            .map_or(0.into(), |secret| secret.as_bytes().ct_eq(offered));
        !self.current.is_empty() && (is_current | is_previous).into()
    }
}

impl fmt::Debug for Secrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secrets(..)")
    }
}
