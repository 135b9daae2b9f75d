//! Limits of the weight store and the number of share seats.

use gentian_core::peer::{SeatId, SeatRole};
use gentian_core::{OrganisationId, ShardNumber, TimeSpan, UpstreamId};

use crate::SectionReader;

const DEFAULT_SHARE_SHARDS: u64 = 1;
const DEFAULT_LOAD_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
const DEFAULT_MAX_MODEL_LOADS: usize = 4;
const DEFAULT_MAX_ADAPTER_LOADS: usize = 30;

/// Limits of the weight store and the number of share seats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSpec {
    /// Number of share seats over which organisations and upstreams are sharded.
    pub share_shards: u64,
    /// Shortest time between the starts of two model loads that the weight store allows.
    pub load_interval: TimeSpan,
    /// Maximum number of concurrent model loads; the weight store serves that many at full speed.
    pub max_model_loads: usize,
    /// Maximum number of concurrent adapter loads.
    pub max_adapter_loads: usize,
}

impl FleetSpec {
    pub(crate) fn read(reader: &mut SectionReader<'_>) -> Self {
        let defaults = Self::default();
        let spec = Self {
            share_shards: reader.optional("share_shards").unwrap_or(defaults.share_shards),
            load_interval: reader.optional("load_interval").unwrap_or(defaults.load_interval),
            max_model_loads: reader.optional("model_loads").unwrap_or(defaults.max_model_loads),
            max_adapter_loads: reader
                .optional("adapter_loads")
                .unwrap_or(defaults.max_adapter_loads),
        };
        if spec.share_shards == 0 || spec.max_model_loads == 0 || spec.max_adapter_loads == 0 {
            reader.add_fault(
                "share_shards",
                "the numbers of share seats, model loads and adapter loads must be at least 1",
            );
        }
        spec
    }

    /// Returns the seat that grants the tokens of `organisation`.
    pub fn seat_of_organisation(&self, organisation: &OrganisationId) -> SeatId {
        self.seat_for_name(organisation.as_str())
    }

    /// Returns the seat that grants the concurrent calls at `upstream`.
    pub fn seat_of_upstream(&self, upstream: &UpstreamId) -> SeatId {
        self.seat_for_name(upstream.as_str())
    }

    /// Returns the placement seat.
    pub fn placement_seat(&self) -> SeatId {
        SeatId::new(SeatRole::Placement, ShardNumber::new(0))
    }

    /// Returns the share seats.
    pub fn share_seats(&self) -> impl Iterator<Item = SeatId> + use<> {
        let shards = 0..self.share_shards;
        shards.map(|shard| SeatId::new(SeatRole::Share, ShardNumber::new(shard)))
    }

    /// Returns every seat of the fleet.
    pub fn seats(&self) -> impl Iterator<Item = SeatId> + use<> {
        std::iter::once(self.placement_seat()).chain(self.share_seats())
    }

    fn seat_for_name(&self, name: &str) -> SeatId {
        let digest = blake3::hash(name.as_bytes());
        let (prefix, _) = digest.as_bytes().split_at(8);
        let number = prefix.iter().fold(0_u64, |number, byte| number << 8 | u64::from(*byte));
        SeatId::new(SeatRole::Share, ShardNumber::new(number % self.share_shards.max(1)))
    }
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            share_shards: DEFAULT_SHARE_SHARDS,
            load_interval: DEFAULT_LOAD_INTERVAL,
            max_model_loads: DEFAULT_MAX_MODEL_LOADS,
            max_adapter_loads: DEFAULT_MAX_ADAPTER_LOADS,
        }
    }
}
