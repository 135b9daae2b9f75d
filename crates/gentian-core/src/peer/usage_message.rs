//! Messages between entries and the hub on how many requests began to run, and the stored record of
//! a window's counts.

use serde::{Deserialize, Serialize};

use crate::{
    FenceNumber, InstanceId, MonoTime, OrganisationId, SequenceNumber, StoreEra, VmId, WallTime,
    WindowNumber,
};

/// Requests of each organisation that began to run in one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowNumber,
    /// Requests by organisation; one that is absent has none, or as many as stated before.
    pub counts: Vec<(OrganisationId, u64)>,
}

/// Tells the hub how many requests began to run through an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageMessage {
    /// VM of the entry.
    pub vm: VmId,
    /// Instance id of the entry's process.
    pub instance: InstanceId,
    /// Fencing number of the hub to which it is sent: only its confirmations are taken into account.
    pub fence: FenceNumber,
    /// Position of the message in the entry's sequence.
    pub sequence: SequenceNumber,
    /// When it was sent, by the entry's monotonic clock; the reply repeats it.
    pub sent: MonoTime,
    /// When it was sent, by the entry's clock of day.
    pub wall_time: WallTime,
    /// First window in which the process counted.
    pub counting_since: WindowNumber,
    /// The counts of all windows before this one are final and contained in this message or in
    /// earlier ones that the hub has confirmed.
    pub complete_before: WindowNumber,
    /// Totals that changed since the last message that the hub confirmed.
    pub windows: Vec<WindowCounts>,
}

/// Confirms a [`UsageMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReply {
    /// Fencing number of the hub's lease.
    pub fence: FenceNumber,
    /// Sequence number of the message.
    pub sequence: SequenceNumber,
    /// When the message was sent, by the entry's monotonic clock.
    pub sent: MonoTime,
    /// Time of day in the fleet when the reply was sent.
    pub wall_time: WallTime,
    /// The counts of all windows before this one are fixed or given up, so that later changes have
    /// no effect.
    pub fixed_before: WindowNumber,
}

/// What the hub counted itself, as other entries keep it and tell its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCopy {
    /// Instance id of the hub's process.
    pub instance: InstanceId,
    /// Totals by window.
    pub windows: Vec<WindowCounts>,
}

/// Stored counts of one window, which are reported exactly so.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Era of the key-value service in which the record was written.
    pub era: StoreEra,
    /// When it was written, all reports of windows before this one were confirmed or given up.
    pub delivered_before: WindowNumber,
    /// The counts, sorted by organisation.
    pub counts: WindowCounts,
}
