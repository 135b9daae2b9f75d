//! Splitting of a configuration into chunks, so that a small change transfers few bytes.

use std::fmt;

use gentian_core::FastMap;
use serde::{Deserialize, Serialize};

use crate::{ConfigFault, IniSection, parse_ini, write_ini};

/// Number of chunks of a stored configuration.
pub const CHUNK_COUNT: usize = 64;

/// Length of a chunk's digest: the first half of a BLAKE3 hash.
const DIGEST_BYTES: usize = 16;

/// Digest of the text of a chunk.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChunkDigest([u8; DIGEST_BYTES]);

impl ChunkDigest {
    /// Returns the digest of `text`.
    pub fn of(text: &str) -> Self {
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for ChunkDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ChunkDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChunkDigest({self})")
    }
}

/// Splits `text` by the digest of each section's header into [`CHUNK_COUNT`] chunks.
///
/// # Errors
///
/// Returns a fault for each line that is not valid INI.
pub fn split_chunks(text: &str) -> Result<Vec<String>, Vec<ConfigFault>> {
    let (sections, faults) = parse_ini(text);
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut groups: FastMap<usize, Vec<&IniSection>> = FastMap::default();
    for section in &sections {
        groups.entry(chunk_index(section)).or_default().push(section);
    }
    let chunk_text = |i| groups.remove(&i).map(write_ini).unwrap_or_default();
    Ok((0..CHUNK_COUNT).map(chunk_text).collect())
}

/// Joins chunks into one text.
pub fn join_chunks(chunks: impl IntoIterator<Item = impl AsRef<str>>) -> String {
    chunks.into_iter().fold(String::new(), |text, chunk| text + chunk.as_ref())
}

fn chunk_index(section: &IniSection) -> usize {
    let digest = blake3::hash(section.header().as_bytes());
    // One byte selects among up to 256 chunks.
    usize::from(digest.as_bytes()[0]) % CHUNK_COUNT
}
