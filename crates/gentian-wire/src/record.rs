//! Format of records in the key-value service: postcard without a tag.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A record could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError(postcard::Error);

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "stored record cannot be read: {}", self.0)
    }
}

impl std::error::Error for RecordError {}

/// Encodes a record.
///
/// # Errors
///
/// Returns an error if postcard cannot encode the type.
pub fn encode_record(record: &impl Serialize) -> Result<Vec<u8>, RecordError> {
    postcard::to_stdvec(record).map_err(RecordError)
}

/// Decodes a record.
///
/// # Errors
///
/// Returns an error if `bytes` are not a valid record of this type.
pub fn decode_record<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    postcard::from_bytes(bytes).map_err(RecordError)
}
