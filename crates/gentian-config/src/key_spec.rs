//! Callers' keys, stored as digests only.

use gentian_core::{KeyDigest, KeyId, OrganisationId};

use crate::SectionReader;

/// A key with which callers of one organisation authenticate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeySpec {
    /// Name of the key.
    pub id: KeyId,
    /// Organisation to which the key belongs.
    pub organisation: OrganisationId,
    /// Digest of the key.
    pub digest: KeyDigest,
}

impl KeySpec {
    pub(crate) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let id = reader.name();
        let organisation = reader.required("organisation");
        let digest = reader.required("digest");
        Some(Self { id: id?, organisation: organisation?, digest: digest? })
    }
}

/// Returns the digest under which a key is configured.
pub fn digest_key(key: &str) -> KeyDigest {
    KeyDigest::new(*blake3::hash(key.as_bytes()).as_bytes())
}
