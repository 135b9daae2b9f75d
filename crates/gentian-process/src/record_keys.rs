//! Names of the records in the key-value service.

use gentian_core::peer::{MemberRole, SeatId};
use gentian_core::{OrganisationId, RouteId, VmId};

/// Names of records. Every process watches what stands below [`RecordKeys::WATCHED`].
pub struct RecordKeys;

impl RecordKeys {
    /// Prefix of the records that every process watches.
    pub const WATCHED: &'static str = "/gentian/state/";
    /// The head of the configuration.
    pub const CONFIG_HEAD: &'static str = "/gentian/state/config";
    /// Prefix of the holders of seats.
    pub const HOLDERS: &'static str = "/gentian/state/holder/";
    /// Prefix of the running processes.
    pub const MEMBERS: &'static str = "/gentian/state/member/";

    /// Returns the name of a chunk of the configuration.
    pub fn config_chunk(index: usize) -> String {
        format!("/gentian/chunk/{index:03}")
    }

    /// Returns the name of a seat's record, which changes with each renewal.
    pub fn seat(seat: SeatId) -> String {
        format!("/gentian/seat/{seat}")
    }

    /// Returns the name of the record of a seat's holder, which changes with the holder only.
    pub fn holder(seat: SeatId) -> String {
        format!("{}{seat}", Self::HOLDERS)
    }

    /// Returns the name of the record of a running process.
    pub fn member(vm: &VmId, role: MemberRole) -> String {
        format!("{}{vm}/{role}", Self::MEMBERS)
    }

    /// Returns the name of the record of a non-idempotent call.
    pub fn intent(route: &RouteId, organisation: Option<&OrganisationId>, digest: &str) -> String {
        let owner = organisation.map_or("-", OrganisationId::as_str);
        format!("/gentian/intent/{route}/{owner}/{digest}")
    }
}
