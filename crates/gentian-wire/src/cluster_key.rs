//! Secret key shared by all processes of one system.

use std::fmt;
use std::str::FromStr;

use gentian_core::ParseError;

/// Context string of the BLAKE3 key derivation.
const KEY_CONTEXT: &str = "gentianwheel 2026 datagram authentication";
const MIN_SECRET_BYTES: usize = 16;

/// Key that authenticates datagrams.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey([u8; 32]);

impl ClusterKey {
    pub(crate) fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

impl FromStr for ClusterKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() < MIN_SECRET_BYTES {
            return Err(ParseError::new("cluster key", "..", "at least 16 characters"));
        }
        Ok(Self(blake3::derive_key(KEY_CONTEXT, text.as_bytes())))
    }
}
