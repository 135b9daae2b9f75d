//! API key of a request.

use std::fmt;

use gentian_config::digest_key;
use gentian_core::KeyDigest;

/// A caller's API key; `Debug` does not print it.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey(String);

impl CallerKey {
    /// Creates a key from its text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the digest by which the configuration refers to the key.
    pub fn digest(&self) -> KeyDigest {
        digest_key(&self.0)
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}
