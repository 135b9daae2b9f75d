//! Core types that every crate of the workspace depends on: identifiers, sizes, rates, time and
//! the catalogue of numbered log events.

mod byte_size;
mod event_code;
mod fast_map;
mod ids;
mod lease_id;
mod mono_time;
mod newtypes;
mod parse_error;
pub mod peer;
mod request_rate;
mod software_version;
mod store_revision;
mod time_span;
mod token_amounts;
mod wall_time;
mod work_id;

pub use byte_size::ByteSize;
pub use event_code::{EVENT_CATALOGUE, EventCode, EventInfo};
pub use fast_map::{FastMap, FastSet};
pub use ids::{
    AdapterId, BootId, ConfigVersion, DomainId, FenceNumber, InstanceId, KeyDigest, KeyId, ModelId,
    OrderId, OrganisationId, PublicationId, RequestId, RouteId, SequenceNumber, ServiceId,
    ShardNumber, StoreEra, StreamId, UpstreamId, VmId, WindowNumber,
};
pub use lease_id::LeaseId;
pub use mono_time::MonoTime;
pub use parse_error::ParseError;
pub use request_rate::RequestRate;
pub use software_version::SoftwareVersion;
pub use store_revision::StoreRevision;
pub use time_span::TimeSpan;
pub use token_amounts::{SlotCount, TokenCount, TokenRate};
pub use wall_time::{ClockOffset, WallTime};
pub use work_id::WorkId;
