//! Messages on what organisations use: at once where much is used, and to a new hub on what was used
//! before.

use serde::{Deserialize, Serialize};

use crate::{FenceNumber, InstanceId, OrganisationId, VmId};

/// Tokens that an organisation used lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationUse {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens by equal slices of the window in which use is counted, the newest first.
    pub slices: Vec<u64>,
}

/// What one entry used lately, for a hub that doesn't know it yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseHistory {
    /// VM of the entry.
    pub vm: VmId,
    /// Instance id of the entry's process.
    pub instance: InstanceId,
    /// Use since the start of the process.
    pub uses: Vec<OrganisationUse>,
    /// What earlier processes on this VM may have used, as far as this one knows.
    pub earlier_uses: Vec<OrganisationUse>,
}

/// Reply of the hub: what all other entries used lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetUse {
    /// Identifies the hub, as in its summaries.
    pub hub: InstanceId,
    /// Fencing number of the hub's lease.
    pub fence: FenceNumber,
    /// Number of entries whose use the hub knows, including the recipient.
    pub known_entries: u32,
    /// Use of all other processes.
    pub uses: Vec<OrganisationUse>,
    /// The part of it of earlier processes on the recipient's VM, which a later hub will learn only
    /// from the recipient.
    pub earlier_uses: Vec<OrganisationUse>,
}

/// Tells the hub at once what an entry has spent, between two reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseReport {
    /// VM of the entry.
    pub vm: VmId,
    /// Instance id of the entry's process.
    pub instance: InstanceId,
    /// Tokens spent since the start of the process, by organisation.
    pub spent: Vec<(OrganisationId, u64)>,
    /// Whether one of the organisations is near its limit, so that the hub is to reply with a notice.
    pub wants_notice: bool,
}

/// Tells an entry at once what the others have spent, between two summaries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseNotice {
    /// Identifies the hub, as in its summaries.
    pub hub: InstanceId,
    /// Tokens that the other entries have spent since the hub began to count, by organisation.
    pub spent: Vec<(OrganisationId, u64)>,
}

/// Record of the use of all entries, for the case that all of them end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseTrace {
    /// Use of all entries.
    pub uses: Vec<OrganisationUse>,
}
