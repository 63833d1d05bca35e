//! Secret shared by the nodes, compared in constant time.
//!
//! During a rotation the previous secret is accepted as well, until every node uses the new one.

use std::fmt;
use std::sync::Arc;

use subtle::ConstantTimeEq;

/// Scheme of the `Authorization` header, with the space after it (RFC 6750).
const BEARER: &str = "Bearer ";

/// The current secret and, during a rotation, the previous one.
#[derive(Clone)]
pub struct Secrets {
    /// Secret that is sent and accepted.
    current: Arc<str>,
    /// Secret that is still accepted during a rotation.
    previous: Option<Arc<str>>,
}

impl Secrets {
    /// Creates the secrets; `previous` is only set during a rotation.
    pub fn new(current: impl Into<Arc<str>>, previous: Option<Arc<str>>) -> Self {
        Self {
            current: current.into(),
            previous,
        }
    }

    /// Returns the secret to send.
    pub fn current(&self) -> &str {
        &self.current
    }

    /// Returns the value of the `Authorization` header that this node sends.
    pub fn bearer(&self) -> String {
        format!("{BEARER}{}", self.current)
    }

    /// Returns whether the value of an `Authorization` header contains an accepted secret.
    pub fn accepts_bearer(&self, header: &[u8]) -> bool {
        header
            .strip_prefix(BEARER.as_bytes())
            .is_some_and(|offered| self.accepts(offered))
    }

    /// Returns whether a secret is accepted, in a time that only depends on the secrets' lengths.
    ///
    /// An empty current secret accepts nothing.
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
