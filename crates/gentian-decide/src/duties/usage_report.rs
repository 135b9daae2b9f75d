//! Calls for the report of usage and their replies.
//!
//! Load pattern: one report a window, repeated while the platform's API is slow, down or cut off.

use std::fmt;

use gentian_core::peer::{UsageRecord, WindowCounts};
use gentian_core::{FenceNumber, MonoTime, WindowNumber};

/// Call that reports the usage of a window to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageCall {
    /// Fencing token: the fencing number of the hub's lease.
    pub fence: FenceNumber,
    /// What is reported.
    pub counts: WindowCounts,
    /// When the call was decided; it must not be sent much later.
    pub decided: MonoTime,
}

/// Result of a call to the platform's API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyReply {
    /// The call was carried out.
    Done,
    /// A higher fencing token was seen.
    Fenced,
    /// Too many calls were made.
    Limited,
    /// The API refused the call with this status.
    Refused(u16),
    /// The call was not sent.
    NotSent,
    /// No response arrived; the call may be carried out, even later.
    Unknown,
}

impl fmt::Display for DutyReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done => f.write_str("done"),
            Self::Fenced => f.write_str("fenced"),
            Self::Limited => f.write_str("limited"),
            Self::Refused(status) => write!(f, "refused-{status}"),
            Self::NotSent => f.write_str("not-sent"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}

/// Write that fixes the counts of a window, if no record of the window exists and the holder of the
/// lease is still the one with this fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageWrite {
    /// Fencing number of the hub's lease.
    pub fence: FenceNumber,
    /// The record.
    pub record: UsageRecord,
    /// Windows whose records are removed by the same transaction.
    pub removed: Vec<WindowNumber>,
}

/// Call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStoreTask {
    /// Reads the records of all windows for the hub with this fencing number.
    Read(FenceNumber),
    /// Fixes the counts of a window.
    Write(UsageWrite),
}

/// Reply to a [`UsageStoreTask`]. Each names the fencing number of the task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStoreReply {
    /// The stored records.
    Records(FenceNumber, Vec<UsageRecord>),
    /// The record was written.
    Written(UsageWrite),
    /// The record was not written, since there is one or another process holds the lease.
    Conflict(FenceNumber),
    /// No response arrived; a write may take effect, even later.
    Unknown(FenceNumber),
}

/// What the holder of the duty does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyTask {
    /// Calls the key-value service.
    Store(UsageStoreTask),
    /// Calls the platform's API.
    Report(UsageCall),
}
