//! Organisations, the tenants of the system.

use gentian_core::{OrganisationId, TokenCount, TokenRate};

use crate::SectionReader;

const DEFAULT_WEIGHT: u32 = 1;

/// An organisation with its share of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationSpec {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// Tokens or requests per second over all entries together.
    pub rate: TokenRate,
    /// Tokens or requests that may be used at once after an idle period.
    pub burst: TokenCount,
    /// Weight of the organisation among those with waiting requests.
    pub weight: u32,
}

impl OrganisationSpec {
    pub(crate) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let id = reader.name();
        let rate = reader.required("rate");
        let burst = reader.required("burst");
        let weight = reader.optional("weight").unwrap_or(DEFAULT_WEIGHT);
        if weight == 0 {
            reader.add_fault("weight", "'weight' must be at least 1");
        }
        Some(Self { id: id?, rate: rate?, burst: burst?, weight })
    }
}
