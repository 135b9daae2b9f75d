//! Messages between processes.

use serde::{Deserialize, Serialize};

use super::{
    ConfigQuery, ConfigReply, PlacementReply, PlacementRequest, SeatQuery, SeatReply, ShareGrant,
    ShareRequest,
};

/// A message from one process of the system to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Holder to elector.
    #[serde(rename = "SeatQuestion")]
    SeatQuery(SeatQuery),
    /// Elector to holder.
    #[serde(rename = "SeatAnswer")]
    SeatReply(SeatReply),
    /// Entry to share seat.
    #[serde(rename = "ShareAsk")]
    ShareRequest(ShareRequest),
    /// Share seat to entry.
    ShareGrant(ShareGrant),
    /// Entry to placement seat.
    #[serde(rename = "PlacementAsk")]
    PlacementRequest(PlacementRequest),
    /// Placement seat to entry.
    #[serde(rename = "PlacementTell")]
    PlacementReply(PlacementReply),
    /// Process that cannot reach the key-value service to any other process.
    #[serde(rename = "ConfigQuestion")]
    ConfigQuery(ConfigQuery),
    /// Reply to a configuration query.
    #[serde(rename = "ConfigAnswer")]
    ConfigReply(ConfigReply),
}
