//! Notice of the hub on the records of the operators.

use serde::{Deserialize, Serialize};

use crate::StoreRevision;

/// States how recent the operators' records are that the hub has read, so that an entry whose watch
/// is never answered reads them again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorNotice {
    /// Revision of the newest of these records.
    pub revision: StoreRevision,
}
