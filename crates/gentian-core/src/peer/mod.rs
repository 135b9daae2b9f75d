//! Messages between the processes of the system, and the records that they store in the
//! key-value service. The types define no encoding of their own.
//!
//! During an upgrade, processes of two versions exchange these messages and read each other's
//! records. Members and variants therefore keep their order, by which postcard encodes them, and
//! their serde names, by a `rename` attribute where a member has been renamed.

mod config_query;
mod config_reply;
mod crash_report;
mod fleet_message;
mod member_record;
mod operator_notice;
mod peer_message;
mod permit_message;
mod placement_reply;
mod placement_request;
mod seat_id;
mod seat_query;
mod seat_record;
mod seat_reply;
mod share_grant;
mod share_request;
mod stream_origin;
mod suspect_report;
mod target_id;
mod upstream_view;
mod usage_message;
mod use_message;
mod version_message;
mod work_notice;

pub use config_query::ConfigQuery;
pub use config_reply::ConfigReply;
pub use crash_report::{CrashReport, SuspicionGrade};
pub use fleet_message::{
    EntryReport, FleetMessage, FleetSummary, HubAnnouncement, HubHandover, ListRead, ListingNotice,
    ResidentModels, ServingDemand, UpstreamListing, UpstreamWork,
};
pub use member_record::{MemberRecord, MemberRole};
pub use operator_notice::OperatorNotice;
pub use peer_message::PeerMessage;
pub use permit_message::{
    LimitNotice, PermitGrant, PermitReply, PermitRequest, RankedPermits, WantedPermits,
};
pub use placement_reply::PlacementReply;
pub use placement_request::{PlacementRequest, TargetDemand};
pub use seat_id::{SeatId, SeatRole};
pub use seat_query::SeatQuery;
pub use seat_record::{SeatElector, SeatRecord};
pub use seat_reply::SeatReply;
pub use share_grant::{ShareGrant, SlotGrant, TokenGrant};
pub use share_request::{ShareRequest, SlotRequest, TokenRequest};
pub use stream_origin::{
    OriginNotice, OriginQuery, OriginReply, OriginTrace, ServiceVersion, StreamOrigin,
};
pub use suspect_report::SuspectReport;
pub use target_id::TargetId;
pub use upstream_view::{ObjectPhase, ObjectView, UpstreamView};
pub use usage_message::{UsageCopy, UsageMessage, UsageRecord, UsageReply, WindowCounts};
pub use use_message::{FleetUse, OrganisationUse, UseHistory, UseNotice, UseReport, UseTrace};
pub use version_message::{VersionQuery, VersionReply};
pub use work_notice::{ClaimNotice, QuarantineNotice, ServedNotice, SuspectQuery, TrialNotice};
