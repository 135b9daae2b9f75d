//! Choice of the electors of a seat.

use std::hash::{Hash, Hasher};

use gentian_core::peer::{SeatElector, SeatId};
use gentian_core::{DomainId, FastSet, VmId};
use rustc_hash::FxHasher;

/// Largest number of electors of a seat.
const MAX_ELECTORS: usize = 5;

/// A process that can become an elector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ElectorCandidate {
    /// The process.
    pub elector: SeatElector,
    /// Failure domain of its VM.
    pub domain: DomainId,
}

/// Chooses the electors of `seat`: `holder` first, then the electors in `current` that are still
/// candidates, then others that are spread over failure domains and, by a hash, over VMs.
pub fn choose_electors(
    seat: SeatId,
    holder: &SeatElector,
    current: &[SeatElector],
    candidates: &[ElectorCandidate],
) -> Vec<SeatElector> {
    let mut chosen: Vec<SeatElector> = vec![holder.clone()];
    let is_candidate = |elector: &SeatElector| candidates.iter().any(|c| c.elector == *elector);
    chosen.extend(current.iter().filter(|e| *e != holder && is_candidate(e)).cloned());
    chosen.truncate(MAX_ELECTORS);
    let domain_of = |elector: &SeatElector| {
        candidates.iter().find(|c| c.elector == *elector).map(|c| c.domain.clone())
    };
    let mut domains: FastSet<DomainId> = chosen.iter().filter_map(domain_of).collect();
    let mut rest: Vec<&ElectorCandidate> = candidates.iter().collect();
    rest.sort_by_key(|candidate| vm_hash(seat, &candidate.elector.vm));
    while chosen.len() < MAX_ELECTORS {
        rest.retain(|candidate| !chosen.iter().any(|e| e.vm == candidate.elector.vm));
        let in_new_domain = rest.iter().find(|candidate| !domains.contains(&candidate.domain));
        let Some(next) = in_new_domain.or(rest.first()) else { break };
        domains.insert(next.domain.clone());
        chosen.push(next.elector.clone());
    }
    chosen
}

fn vm_hash(seat: SeatId, vm: &VmId) -> u64 {
    let mut hasher = FxHasher::default();
    (seat, vm).hash(&mut hasher);
    hasher.finish()
}
