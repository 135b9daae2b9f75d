//! Keys of the records in the key-value service.

use gentian_core::peer::{MemberRole, SeatId};
use gentian_core::{OrganisationId, RouteId, VmId};

/// Keys of records. Every process watches the keys below [`RecordKeys::WATCHED`].
pub struct RecordKeys;

impl RecordKeys {
    /// Prefix of the records that every process watches.
    pub const WATCHED: &'static str = "/gentian/state/";
    /// Key of the configuration's head record.
    pub const CONFIG_HEAD: &'static str = "/gentian/state/config";
    /// Prefix of the records of seat holders.
    pub const HOLDERS: &'static str = "/gentian/state/holder/";
    /// Prefix of the member records of all processes that have started. They are not deleted when a
    /// process stops.
    pub const MEMBERS: &'static str = "/gentian/state/member/";

    /// Returns the key of a chunk of the configuration.
    pub fn config_chunk(index: usize) -> String {
        format!("/gentian/chunk/{index:03}")
    }

    /// Returns the key of a seat's record, which changes with each renewal.
    pub fn seat(seat: SeatId) -> String {
        format!("/gentian/seat/{seat}")
    }

    /// Returns the key of the record of a seat's holder, which changes only with the holder.
    pub fn holder(seat: SeatId) -> String {
        format!("{}{seat}", Self::HOLDERS)
    }

    /// Returns the key of the member record of the process with this role on `vm`.
    pub fn member(vm: &VmId, role: MemberRole) -> String {
        format!("{}{vm}/{role}", Self::MEMBERS)
    }

    /// Returns the key of the record of a non-idempotent request.
    pub fn intent(route: &RouteId, organisation: Option<&OrganisationId>, digest: &str) -> String {
        let owner = organisation.map_or("-", OrganisationId::as_str);
        format!("/gentian/intent/{route}/{owner}/{digest}")
    }
}
