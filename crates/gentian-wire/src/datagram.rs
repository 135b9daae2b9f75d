//! Datagrams: a postcard message behind a keyed BLAKE3 tag.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ClusterKey;

/// Largest datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

const TAG_BYTES: usize = 32;

/// Why a datagram could not be opened or sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// The tag does not match; the sender has another key, or the bytes changed.
    WrongTag,
    /// The bytes are not a message.
    Malformed,
    /// The message does not fit a datagram.
    TooLarge,
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WrongTag => "the tag does not match the cluster key",
            Self::Malformed => "the bytes are not a message",
            Self::TooLarge => "the message does not fit a datagram",
        })
    }
}

impl std::error::Error for DatagramError {}

/// Encodes `message` behind its tag.
///
/// # Errors
///
/// Returns [`DatagramError::TooLarge`] if the result would exceed [`MAX_DATAGRAM_BYTES`].
pub fn seal_datagram(message: &impl Serialize, key: &ClusterKey) -> Result<Vec<u8>, DatagramError> {
    let tag = vec![0; TAG_BYTES];
    let mut bytes = postcard::to_extend(message, tag).map_err(|_| DatagramError::Malformed)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLarge);
    }
    let hash = blake3::keyed_hash(key.bytes(), &bytes[TAG_BYTES..]);
    bytes[..TAG_BYTES].copy_from_slice(hash.as_bytes());
    Ok(bytes)
}

/// Checks the tag of `bytes` and decodes the message behind it.
///
/// # Errors
///
/// Returns [`DatagramError::WrongTag`] or [`DatagramError::Malformed`].
pub fn open_datagram<M: DeserializeOwned>(
    bytes: &[u8],
    key: &ClusterKey,
) -> Result<M, DatagramError> {
    let (tag, body) = bytes.split_first_chunk::<TAG_BYTES>().ok_or(DatagramError::Malformed)?;
    if blake3::keyed_hash(key.bytes(), body) != *tag {
        return Err(DatagramError::WrongTag);
    }
    postcard::from_bytes(body).map_err(|_| DatagramError::Malformed)
}
