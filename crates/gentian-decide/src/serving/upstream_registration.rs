//! Registration of an upstream in the key-value service.

use std::net::SocketAddr;

use gentian_core::peer::UpstreamListing;
use gentian_core::{
    AdapterId, DomainId, ModelId, ServiceId, SlotCount, SoftwareVersion, StoreRevision, TimeSpan,
    UpstreamId,
};

/// Whether an upstream accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It accepts requests.
    Ready,
    /// It is shutting down and accepts no new requests.
    Draining {
        /// Time until the upstream stops, if known.
        remaining: Option<TimeSpan>,
    },
}

/// Registration of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRegistration {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Revision of the record in the key-value service; an older record never replaces a newer one.
    pub revision: StoreRevision,
    /// Start time of the upstream in Unix milliseconds of its own clock; only compared for
    /// equality, to tell restarts apart.
    pub incarnation: u64,
    /// Service to which it belongs.
    pub service: ServiceId,
    /// Address for requests and load orders.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Version of its software; `None` if it is not known.
    pub version: Option<SoftwareVersion>,
    /// Whether it accepts requests.
    pub state: UpstreamState,
    /// Requests that it processes concurrently.
    pub slots: SlotCount,
    /// Remaining time during which it is cold and accepts only a reduced request rate.
    pub cold_remaining: TimeSpan,
    /// Models of the engine; `None` for a plain service, which has no engines.
    pub models: Option<EngineModels>,
}

impl UpstreamRegistration {
    /// Sets the revision of the registration.
    pub fn with_revision(self, revision: StoreRevision) -> Self {
        Self { revision, ..self }
    }

    /// Returns the part of the registration that entries need.
    pub fn listing(&self) -> UpstreamListing {
        UpstreamListing {
            upstream: self.id.clone(),
            revision: self.revision,
            incarnation: self.incarnation,
            service: self.service.clone(),
            address: self.address,
            domain: self.domain.clone(),
            slots: self.slots,
            is_ready: self.state == UpstreamState::Ready,
            has_engine: self.models.is_some(),
            cold_remaining: self.cold_remaining,
        }
    }
}

impl From<UpstreamListing> for UpstreamRegistration {
    fn from(listing: UpstreamListing) -> Self {
        let state = match listing.is_ready {
            true => UpstreamState::Ready,
            false => UpstreamState::Draining { remaining: None },
        };
        Self {
            id: listing.upstream,
            revision: listing.revision,
            incarnation: listing.incarnation,
            service: listing.service,
            address: listing.address,
            domain: listing.domain,
            version: None,
            state,
            slots: listing.slots,
            cold_remaining: listing.cold_remaining,
            models: listing.has_engine.then(EngineModels::default),
        }
    }
}

/// Models that an engine has available, by tier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineModels {
    /// Loaded models.
    pub loaded: Vec<LoadedModel>,
    /// Models whose weights are in host memory.
    pub in_host_memory: Vec<ModelId>,
    /// Models whose weights are on disk.
    pub on_disk: Vec<ModelId>,
}

/// A loaded model with its loaded adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model itself.
    pub id: ModelId,
    /// Its loaded adapters.
    pub adapters: Vec<AdapterId>,
}
