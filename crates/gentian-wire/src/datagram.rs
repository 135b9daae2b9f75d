//! Datagram format: a keyed BLAKE3 tag, followed by a postcard message.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ClusterKey;

/// Largest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Length of the tag.
const TAG_BYTES: usize = 32;

/// Why a datagram could not be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// The tag does not match: the sender has another key, or the bytes were changed.
    WrongTag,
    /// The bytes are not a valid message.
    Malformed,
    /// The message does not fit into a datagram.
    TooLarge,
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WrongTag => "the tag does not match the cluster key",
            Self::Malformed => "the bytes are not a valid message",
            Self::TooLarge => "the message does not fit into a datagram",
        })
    }
}

impl std::error::Error for DatagramError {}

/// Encodes `message` and prepends its tag.
///
/// # Errors
///
/// Returns [`DatagramError::TooLarge`] if the result would exceed [`MAX_DATAGRAM_BYTES`], and
/// [`DatagramError::Malformed`] if the message cannot be encoded.
pub fn encode_datagram(
    message: &impl Serialize,
    key: &ClusterKey,
) -> Result<Vec<u8>, DatagramError> {
    let tag = vec![0; TAG_BYTES];
    let mut bytes = postcard::to_extend(message, tag).map_err(|_| DatagramError::Malformed)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLarge);
    }
    let hash = blake3::keyed_hash(key.bytes(), &bytes[TAG_BYTES..]);
    bytes[..TAG_BYTES].copy_from_slice(hash.as_bytes());
    Ok(bytes)
}

/// Checks the tag at the start of `bytes` and decodes the message after it.
///
/// # Errors
///
/// Returns [`DatagramError::WrongTag`] or [`DatagramError::Malformed`].
pub fn decode_datagram<M: DeserializeOwned>(
    bytes: &[u8],
    key: &ClusterKey,
) -> Result<M, DatagramError> {
    let (tag, body) = bytes.split_first_chunk::<TAG_BYTES>().ok_or(DatagramError::Malformed)?;
    if blake3::keyed_hash(key.bytes(), body) != *tag {
        return Err(DatagramError::WrongTag);
    }
    postcard::from_bytes(body).map_err(|_| DatagramError::Malformed)
}
