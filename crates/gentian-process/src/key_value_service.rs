//! The platform's key-value service as a struct of closures, so that another service can be met by
//! another constructor.

use std::fmt;

use gentian_core::{LeaseId, SequenceNumber, TimeSpan};

/// A stored value with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Name of the record.
    pub key: String,
    /// Value; `None` if the record was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the last change.
    pub revision: SequenceNumber,
}

/// A write takes effect only if the record's last change has this revision; zero if there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteCondition {
    /// Name of the record.
    pub key: String,
    /// Revision of its last change.
    pub revision: SequenceNumber,
}

/// One change of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueChange {
    /// Writes a value.
    Put {
        /// Name of the record.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// Time after which the service deletes the record; rounded up to seconds.
        ttl: Option<TimeSpan>,
    },
    /// Writes a value that goes with a lease.
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
    /// Creates the change that writes `value` for good.
    pub fn put(key: impl Into<String>, value: Vec<u8>) -> Self {
        Self::Put { key: key.into(), value, ttl: None }
    }
}

/// Changes that a watch delivers together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// Revision of the service when it sent the batch; changes up to there may still follow.
    pub revision: SequenceNumber,
    /// The changes; empty for a sign of life.
    pub changes: Vec<StoredValue>,
}

/// Why a call of the service failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyValueError {
    /// The call did not reach the service.
    NotSent(String),
    /// No answer came; a write may take effect, even later.
    Unknown(String),
}

impl fmt::Display for KeyValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "key-value service not reached: {cause}"),
            Self::Unknown(cause) => write!(f, "key-value service did not answer: {cause}"),
        }
    }
}

impl std::error::Error for KeyValueError {}

/// How old a read may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFreshness {
    /// It shows every write that was confirmed before it began.
    Fresh,
    /// It may be seconds old, longer while the service has trouble.
    MayBeStale,
}

/// Values with the revision at which they were read.
pub type ReadResult = Result<(Vec<StoredValue>, SequenceNumber), KeyValueError>;
type ReadFn = Box<dyn Fn(&str) -> ReadResult + Send + Sync>;
/// The new revision, or `None` if a condition does not hold.
pub type WriteResult = Result<Option<SequenceNumber>, KeyValueError>;
/// Takes a batch of a watch; `false` ends the watch.
pub type BatchHandler<'a> = &'a mut dyn FnMut(WatchBatch) -> bool;
type WriteFn = Box<dyn Fn(&[WriteCondition], &[ValueChange]) -> WriteResult + Send + Sync>;
type WatchFn =
    Box<dyn Fn(&str, SequenceNumber, BatchHandler<'_>) -> Result<(), KeyValueError> + Send + Sync>;

type GrantFn = Box<dyn Fn(TimeSpan) -> Result<LeaseId, KeyValueError> + Send + Sync>;
type LeaseFn = Box<dyn Fn(LeaseId) -> Result<bool, KeyValueError> + Send + Sync>;

/// Calls for leases of the key-value service.
pub struct LeaseCalls {
    grant: GrantFn,
    renew: LeaseFn,
    revoke: LeaseFn,
}

impl LeaseCalls {
    /// Creates the calls: make a lease with a life, renew it, end it; the last two say whether the
    /// lease was still there.
    pub fn new(
        grant: impl Fn(TimeSpan) -> Result<LeaseId, KeyValueError> + Send + Sync + 'static,
        renew: impl Fn(LeaseId) -> Result<bool, KeyValueError> + Send + Sync + 'static,
        revoke: impl Fn(LeaseId) -> Result<bool, KeyValueError> + Send + Sync + 'static,
    ) -> Self {
        Self { grant: Box::new(grant), renew: Box::new(renew), revoke: Box::new(revoke) }
    }

    /// Makes a lease that lives for `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gives no answer; an unused lease may then exist.
    pub fn grant(&self, ttl: TimeSpan) -> Result<LeaseId, KeyValueError> {
        (self.grant)(ttl)
    }

    /// Renews a lease; `false` if it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gives no answer; the lease may then be renewed.
    pub fn renew(&self, lease: LeaseId) -> Result<bool, KeyValueError> {
        (self.renew)(lease)
    }

    /// Ends a lease and removes its records; `false` if it had ended before.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gives no answer; the lease may then have ended.
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
    /// Creates the service from its calls: one record, a prefix, conditional writes, and a watch from
    /// a revision on that hands over batches until it is told to stop.
    pub fn new(
        read: impl Fn(&str) -> ReadResult + Send + Sync + 'static,
        read_prefix: impl Fn(&str) -> ReadResult + Send + Sync + 'static,
        write: impl Fn(&[WriteCondition], &[ValueChange]) -> WriteResult + Send + Sync + 'static,
        watch: impl Fn(&str, SequenceNumber, BatchHandler<'_>) -> Result<(), KeyValueError>
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

    /// Adds a cheaper read of a prefix whose result may be seconds old.
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
    /// Returns an error if the service gives no answer.
    pub fn read(&self, key: &str) -> Result<Option<StoredValue>, KeyValueError> {
        Ok((self.read)(key)?.0.pop())
    }

    /// Reads every record below `prefix`, with the revision of the whole.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gives no answer.
    pub fn read_prefix(&self, prefix: &str) -> ReadResult {
        (self.read_prefix)(prefix)
    }

    /// Reads every record below `prefix`; a read that may be stale is cheaper if the service has one.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gives no answer.
    pub fn read_prefix_with(&self, prefix: &str, freshness: ReadFreshness) -> ReadResult {
        match (&self.read_stale, freshness) {
            (Some(read_stale), ReadFreshness::MayBeStale) => read_stale(prefix),
            _ => self.read_prefix(prefix),
        }
    }

    /// Writes all changes together if every condition holds; returns the new revision, or `None`
    /// if a condition does not hold.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gives no answer; the changes may then take effect.
    pub fn write(&self, conditions: &[WriteCondition], changes: &[ValueChange]) -> WriteResult {
        (self.write)(conditions, changes)
    }

    /// Watches the records below `prefix` from `revision` on, until `take` returns `false` or a
    /// while passes without a change.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gives no answer at all.
    pub fn watch(
        &self,
        prefix: &str,
        revision: SequenceNumber,
        take: BatchHandler<'_>,
    ) -> Result<(), KeyValueError> {
        (self.watch)(prefix, revision, take)
    }
}
