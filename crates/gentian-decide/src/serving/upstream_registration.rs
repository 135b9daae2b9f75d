//! What an upstream says of itself in its registration.

use std::net::SocketAddr;

use gentian_core::peer::UpstreamListing;
use gentian_core::{
    AdapterId, DomainId, ModelId, SequenceNumber, ServiceId, SlotCount, TimeSpan, UpstreamId,
};

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes work.
    Ready,
    /// It leaves, and takes no new work; it is gone after `remaining` if that is known.
    Draining {
        /// Time until the upstream is gone.
        remaining: Option<TimeSpan>,
    },
}

/// Registration of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRegistration {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Revision of the registration in the key-value service; an older one never replaces it.
    pub revision: SequenceNumber,
    /// Start of the upstream, in Unix milliseconds of its own clock; only compared for equality.
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Failure domain in which it stands.
    pub domain: DomainId,
    /// Whether it takes work.
    pub state: UpstreamState,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// Time for which it still bears little.
    pub cold_remaining: TimeSpan,
    /// What it holds; `None` for a plain service.
    pub models: Option<EngineModels>,
}

impl UpstreamRegistration {
    /// Adds the revision of the registration.
    pub fn with_revision(self, revision: SequenceNumber) -> Self {
        Self { revision, ..self }
    }

    /// Returns what entries need to know.
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
            state,
            slots: listing.slots,
            cold_remaining: listing.cold_remaining,
            models: listing.has_engine.then(EngineModels::default),
        }
    }
}

/// Models that an engine holds, in each tier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineModels {
    /// Loaded models.
    pub loaded: Vec<LoadedModel>,
    /// Models whose weights lie in host memory.
    pub in_host: Vec<ModelId>,
    /// Models whose weights lie on disk.
    pub on_disk: Vec<ModelId>,
}

/// A loaded model with its adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model.
    pub id: ModelId,
    /// Its loaded adapters.
    pub adapters: Vec<AdapterId>,
}
