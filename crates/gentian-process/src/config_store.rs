//! Publishing and reading the configuration.

use std::fmt;
use std::sync::Arc;

use gentian_config::{
    ChunkDigest, ConfigFault, ConfigSet, join_chunks, parse_config, split_chunks,
};
use gentian_core::{ConfigVersion, PublicationId, StoreRevision};
use gentian_wire::{decode_record, encode_record};

use crate::{
    ConfigHead, KeyValueError, KeyValueService, RecordKeys, StoredValue, ValueChange,
    WriteCondition,
};

/// Attempts to read a consistent head and chunks before they are reported as damaged; an attempt
/// also fails while a publication is in progress.
const MAX_READ_ATTEMPTS: usize = 5;
/// Largest value that the key-value service accepts.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// A configuration as stored in the key-value service.
#[derive(Clone, Debug)]
pub struct StoredConfig {
    /// Head record.
    pub head: ConfigHead,
    /// Revision of the head record; zero if there is none.
    pub revision: StoreRevision,
    /// Text of each chunk.
    pub chunks: Vec<String>,
    /// The parsed configuration.
    pub set: Arc<ConfigSet>,
}

impl StoredConfig {
    /// Creates the empty configuration that is in force before the first publication.
    pub fn new() -> Self {
        let (version, publication) = (ConfigVersion::default(), PublicationId::default());
        Self {
            head: ConfigHead { version, publication, chunks: Vec::new() },
            revision: StoreRevision::default(),
            chunks: Vec::new(),
            set: Arc::default(),
        }
    }
}

impl Default for StoredConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// Why a configuration could not be read, or why a publication failed or could not be confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigStoreError {
    /// The text has faults.
    Faults(Vec<ConfigFault>),
    /// Another operator published first; this is the current version.
    Conflict(ConfigVersion),
    /// A call of the key-value service failed; a publication may have taken effect.
    Service(KeyValueError),
    /// The stored configuration cannot be read, or a new head record cannot be encoded.
    Damaged(String),
    /// A chunk of this size in bytes exceeds the largest value of the key-value service.
    TooLarge(usize),
}

impl fmt::Display for ConfigStoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Faults(faults) => faults.iter().try_for_each(|fault| writeln!(f, "{fault}")),
            Self::Conflict(version) => write!(
                f,
                "another operator published version {version} first; read it with \
                 'gentian-ctl show' and publish again with it as the base"
            ),
            Self::Service(error) => {
                write!(f, "{error}; publish again with the same publication id")
            }
            Self::Damaged(cause) => write!(f, "the stored configuration is damaged: {cause}"),
            Self::TooLarge(bytes) => {
                write!(f, "a chunk has {bytes} bytes, the service accepts {MAX_VALUE_BYTES}")
            }
        }
    }
}

impl std::error::Error for ConfigStoreError {}

impl From<KeyValueError> for ConfigStoreError {
    fn from(error: KeyValueError) -> Self {
        Self::Service(error)
    }
}

/// Reads and writes the configuration in the key-value service.
#[derive(Clone)]
pub struct ConfigStore {
    service: Arc<KeyValueService>,
}

impl ConfigStore {
    /// Creates a store that uses `service`.
    pub fn new(service: Arc<KeyValueService>) -> Self {
        Self { service }
    }

    /// Reads the newest configuration; chunks that `known` already contains are not read again.
    ///
    /// # Errors
    ///
    /// Returns an error if the service fails or the stored configuration is damaged.
    pub fn read(&self, known: &StoredConfig) -> Result<StoredConfig, ConfigStoreError> {
        let mut cause = String::new();
        for _ in 0..MAX_READ_ATTEMPTS {
            let Some(value) = self.service.read(RecordKeys::CONFIG_HEAD)? else {
                return Ok(StoredConfig::new());
            };
            match self.read_chunks(&value, known)? {
                Ok(stored) => return Ok(stored),
                Err(fault) => cause = fault,
            }
        }
        Err(ConfigStoreError::Damaged(cause))
    }

    /// Publishes `text` as the successor of version `base`, or of the newest version if `base` is
    /// `None`. A retry with the same `publication` returns its version and publishes nothing again.
    ///
    /// # Errors
    ///
    /// Returns an error if the text has faults, another operator published first, or the service
    /// fails.
    pub fn publish(
        &self,
        text: &str,
        publication: PublicationId,
        base: Option<ConfigVersion>,
    ) -> Result<ConfigVersion, ConfigStoreError> {
        parse_config(text).map_err(ConfigStoreError::Faults)?;
        let chunks = split_chunks(text).map_err(ConfigStoreError::Faults)?;
        let largest = chunks.iter().map(String::len).max().unwrap_or(0);
        if largest > MAX_VALUE_BYTES {
            return Err(ConfigStoreError::TooLarge(largest));
        }
        let old = self.read(&StoredConfig::new())?;
        if old.head.publication == publication && old.revision > StoreRevision::default() {
            return Ok(old.head.version);
        }
        if base.is_some_and(|base| base != old.head.version) {
            return Err(ConfigStoreError::Conflict(old.head.version));
        }
        self.write(&old, chunks, publication)
    }

    fn write(
        &self,
        old: &StoredConfig,
        chunks: Vec<String>,
        publication: PublicationId,
    ) -> Result<ConfigVersion, ConfigStoreError> {
        let digests = chunks.iter().map(|chunk| ChunkDigest::of(chunk)).collect();
        let version = old.head.version.next();
        let head = ConfigHead { version, publication, chunks: digests };
        let bytes = encode_record(&head).map_err(|e| ConfigStoreError::Damaged(e.to_string()))?;
        let mut changes = vec![ValueChange::put(RecordKeys::CONFIG_HEAD, bytes)];
        for (i, chunk) in chunks.into_iter().enumerate() {
            if old.head.chunks.get(i) != head.chunks.get(i) {
                changes.push(ValueChange::put(RecordKeys::config_chunk(i), chunk.into_bytes()));
            }
        }
        let key = RecordKeys::CONFIG_HEAD.to_owned();
        let condition = WriteCondition { key, revision: old.revision };
        match self.service.write(&[condition], &changes) {
            Ok(Some(_)) => Ok(version),
            Ok(None) | Err(KeyValueError::Unknown(_)) => self.confirm_publication(publication),
            Err(error) => Err(error.into()),
        }
    }

    /// Determines whether a publication took effect by reading the configuration back.
    fn confirm_publication(
        &self,
        publication: PublicationId,
    ) -> Result<ConfigVersion, ConfigStoreError> {
        let stored = self.read(&StoredConfig::new())?;
        if stored.head.publication == publication {
            return Ok(stored.head.version);
        }
        Err(ConfigStoreError::Conflict(stored.head.version))
    }

    /// Reads the chunks of a head record. The inner error describes an inconsistency, such as one
    /// that is seen while a publication is in progress.
    fn read_chunks(
        &self,
        value: &StoredValue,
        known: &StoredConfig,
    ) -> Result<Result<StoredConfig, String>, KeyValueError> {
        let bytes = value.value.as_deref().unwrap_or_default();
        let head: ConfigHead = match decode_record(bytes) {
            Ok(head) => head,
            Err(error) => return Ok(Err(error.to_string())),
        };
        let mut chunks = Vec::with_capacity(head.chunks.len());
        for (i, digest) in head.chunks.iter().enumerate() {
            match self.read_chunk(i, *digest, known)? {
                Some(chunk) => chunks.push(chunk),
                None => return Ok(Err(format!("chunk {i} does not match its digest"))),
            }
        }
        let stored = parse_config(&join_chunks(&chunks)).map(|set| StoredConfig {
            head,
            revision: value.revision,
            chunks,
            set: Arc::new(set),
        });
        Ok(stored.map_err(|faults| format!("{} faults", faults.len())))
    }

    fn read_chunk(
        &self,
        index: usize,
        digest: ChunkDigest,
        known: &StoredConfig,
    ) -> Result<Option<String>, KeyValueError> {
        if known.head.chunks.get(index) == Some(&digest) {
            return Ok(known.chunks.get(index).cloned());
        }
        if digest == ChunkDigest::of("") {
            return Ok(Some(String::new()));
        }
        let stored = self.service.read(&RecordKeys::config_chunk(index))?;
        let text = stored.and_then(|stored| String::from_utf8(stored.value?).ok());
        Ok(text.filter(|text| ChunkDigest::of(text) == digest))
    }
}
