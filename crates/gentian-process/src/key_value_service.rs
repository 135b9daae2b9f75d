//! The platform's key-value service as a struct of closures, so that another service needs only
//! another constructor.

use std::fmt;

use gentian_core::{LeaseId, StoreRevision, TimeSpan};

/// A record with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Name of the record.
    pub key: String,
    /// Value, or `None` if the record was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the last change.
    pub revision: StoreRevision,
}

/// Condition of a write: the last change of the record has this revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteCondition {
    /// Name of the record.
    pub key: String,
    /// Revision of its last change; zero if the record must not exist.
    pub revision: StoreRevision,
}

/// A change in a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueChange {
    /// Writes a value.
    Put {
        /// Name of the record.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// Time after which the service deletes the record, rounded up to whole seconds; `None` for
        /// a record that stays.
        ttl: Option<TimeSpan>,
    },
    /// Writes a value that the service deletes when the lease ends.
    PutLeased {
        /// Name of the record.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease.
        lease: LeaseId,
    },
    /// Deletes a record.
    Delete {
        /// Name of the record.
        key: String,
    },
}

impl ValueChange {
    /// Creates a change that writes `value` without a time limit.
    pub fn put(key: impl Into<String>, value: Vec<u8>) -> Self {
        Self::Put { key: key.into(), value, ttl: None }
    }
}

/// Changes that a watch delivers at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// Revision of the service when it sent the batch; changes up to this revision may still
    /// follow.
    pub revision: StoreRevision,
    /// The changes; empty if the service only confirms that the watch is alive.
    pub changes: Vec<StoredValue>,
}

/// Why a call of the key-value service failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyValueError {
    /// The call had no effect: it did not reach the service, or the service refused it.
    NotExecuted(String),
    /// There is no usable response: none arrived, its status is not 200, or it is malformed. A
    /// write may take effect, even later.
    Unknown(String),
}

impl fmt::Display for KeyValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotExecuted(cause) => write!(f, "key-value service not reached: {cause}"),
            Self::Unknown(cause) => write!(f, "key-value service did not answer: {cause}"),
        }
    }
}

impl std::error::Error for KeyValueError {}

/// How current the result of a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFreshness {
    /// The result includes every write that was confirmed before the read began.
    Fresh,
    /// The result may be seconds old, and older while the service is impaired.
    MayBeStale,
}

/// Values with the revision at which they were read.
pub type ReadResult = Result<(Vec<StoredValue>, StoreRevision), KeyValueError>;
type ReadFn = Box<dyn Fn(&str) -> ReadResult + Send + Sync>;
/// The new revision, or `None` if a condition was not met.
pub type WriteResult = Result<Option<StoreRevision>, KeyValueError>;
/// A watch and when it ends.
#[derive(Clone, Copy)]
pub struct WatchRequest<'a> {
    /// Prefix of the watched records.
    pub prefix: &'a str,
    /// Changes after this revision are delivered.
    pub after: StoreRevision,
    /// Time without a change after which the service answers all the same.
    pub wait: TimeSpan,
    /// Returns whether the watch still goes on; asked at short intervals while no response arrives,
    /// or after each part of a response that has begun.
    pub is_wanted: &'a dyn Fn() -> bool,
}

/// Handles a batch of a watch; returning `false` ends the watch.
pub type BatchHandler<'a> = &'a mut dyn FnMut(WatchBatch) -> bool;
type WriteFn = Box<dyn Fn(&[WriteCondition], &[ValueChange]) -> WriteResult + Send + Sync>;
type WatchFn =
    Box<dyn Fn(WatchRequest<'_>, BatchHandler<'_>) -> Result<(), KeyValueError> + Send + Sync>;

type GrantFn = Box<dyn Fn(TimeSpan) -> Result<LeaseId, KeyValueError> + Send + Sync>;
type LeaseFn = Box<dyn Fn(LeaseId) -> Result<bool, KeyValueError> + Send + Sync>;

/// Lease calls of the key-value service.
pub struct LeaseCalls {
    grant: GrantFn,
    renew: LeaseFn,
    revoke: LeaseFn,
}

impl LeaseCalls {
    /// Creates the calls from closures that grant a lease with a time to live, renew it, and revoke
    /// it. The last two return whether the lease still existed.
    pub fn new(
        grant: impl Fn(TimeSpan) -> Result<LeaseId, KeyValueError> + Send + Sync + 'static,
        renew: impl Fn(LeaseId) -> Result<bool, KeyValueError> + Send + Sync + 'static,
        revoke: impl Fn(LeaseId) -> Result<bool, KeyValueError> + Send + Sync + 'static,
    ) -> Self {
        Self { grant: Box::new(grant), renew: Box::new(renew), revoke: Box::new(revoke) }
    }

    /// Grants a lease that expires `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer; an unused lease may then exist.
    pub fn grant(&self, ttl: TimeSpan) -> Result<LeaseId, KeyValueError> {
        (self.grant)(ttl)
    }

    /// Renews a lease; returns `false` if it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer; the lease may then be renewed.
    pub fn renew(&self, lease: LeaseId) -> Result<bool, KeyValueError> {
        (self.renew)(lease)
    }

    /// Ends a lease and deletes its records; returns `false` if it had ended before.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer; the lease may then have ended.
    pub fn revoke(&self, lease: LeaseId) -> Result<bool, KeyValueError> {
        (self.revoke)(lease)
    }
}

/// Calls of the key-value service.
pub struct KeyValueService {
    read: ReadFn,
    read_prefix: ReadFn,
    write: WriteFn,
    watch: WatchFn,
    read_stale: Option<ReadFn>,
}

impl KeyValueService {
    /// Creates the service from closures that read one record, read all records below a prefix,
    /// write changes under conditions, and watch a prefix until the batch handler returns `false`.
    pub fn new(
        read: impl Fn(&str) -> ReadResult + Send + Sync + 'static,
        read_prefix: impl Fn(&str) -> ReadResult + Send + Sync + 'static,
        write: impl Fn(&[WriteCondition], &[ValueChange]) -> WriteResult + Send + Sync + 'static,
        watch: impl Fn(WatchRequest<'_>, BatchHandler<'_>) -> Result<(), KeyValueError>
        + Send
        + Sync
        + 'static,
    ) -> Self {
        Self {
            read: Box::new(read),
            read_prefix: Box::new(read_prefix),
            write: Box::new(write),
            watch: Box::new(watch),
            read_stale: None,
        }
    }

    /// Adds a cheaper prefix read whose result may be seconds old.
    pub fn with_stale_reads(
        self,
        read_stale: impl Fn(&str) -> ReadResult + Send + Sync + 'static,
    ) -> Self {
        Self { read_stale: Some(Box::new(read_stale)), ..self }
    }

    /// Reads one record.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer.
    pub fn read(&self, key: &str) -> Result<Option<StoredValue>, KeyValueError> {
        Ok((self.read)(key)?.0.pop())
    }

    /// Reads all records below `prefix`, with the revision of the service at the time of the read.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer.
    pub fn read_prefix(&self, prefix: &str) -> ReadResult {
        (self.read_prefix)(prefix)
    }

    /// Reads all records below `prefix`, using the cheaper stale read if `freshness` allows it and
    /// the service has one.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer.
    pub fn read_prefix_with(&self, prefix: &str, freshness: ReadFreshness) -> ReadResult {
        match (&self.read_stale, freshness) {
            (Some(read_stale), ReadFreshness::MayBeStale) => read_stale(prefix),
            _ => self.read_prefix(prefix),
        }
    }

    /// Writes all changes in one transaction if every condition is met; returns the new revision,
    /// or `None` if a condition was not met.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer; the changes may then take effect.
    pub fn write(&self, conditions: &[WriteCondition], changes: &[ValueChange]) -> WriteResult {
        (self.write)(conditions, changes)
    }

    /// Watches records until `handle_batch` returns `false`, the service sends no change within the
    /// wait of the request, or the watch is no longer wanted.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer at all, or the watch is no longer wanted.
    pub fn watch(
        &self,
        request: WatchRequest<'_>,
        handle_batch: BatchHandler<'_>,
    ) -> Result<(), KeyValueError> {
        (self.watch)(request, handle_batch)
    }
}
