//! Claims of entries to send a suspected request next.

use std::hash::BuildHasher;

use gentian_core::peer::ClaimNotice;
use gentian_core::{FastMap, MonoTime, TimeSpan, VmId, WorkId};
use rustc_hash::FxBuildHasher;

/// Time from a claim to the sending of the request, in which entries learn of each other's claims.
const CLAIM_SETTLE_TIME: TimeSpan = TimeSpan::from_millis(60);
/// Time for which a claim holds the other copies of the request back, from its last notice or from when
/// the request was sent.
const CLAIM_LIFE: TimeSpan = TimeSpan::from_secs(3);
/// Interval between two notices of a claim whose request still waits for an upstream.
const NOTICE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// The claim of one entry to send a request next.
#[derive(Clone, Debug)]
struct RequestClaim {
    vm: VmId,
    made: MonoTime,
    /// When its last notice was sent or arrived.
    notified: MonoTime,
    /// When this entry sent the request.
    sent: Option<MonoTime>,
}

/// Claims to send suspected requests, of which the copies at all entries are sent one after the other. If
/// several entries claim the same request, the one goes first whose hash with it is the lowest.
#[derive(Debug)]
pub(super) struct RequestClaims {
    vm: VmId,
    claims: FastMap<WorkId, RequestClaim>,
    notices: Vec<ClaimNotice>,
}

impl RequestClaims {
    /// Creates an account without claims of the entry on `vm`.
    pub(super) fn new(vm: VmId) -> Self {
        Self { vm, claims: FastMap::default(), notices: Vec::new() }
    }

    /// Returns whether this entry may send a copy of the request now; claims it if nobody else does.
    pub(super) fn may_send(&mut self, request: WorkId, now: MonoTime) -> bool {
        self.claims.retain(|_, claim| !claim.has_ended(now));
        let claim = self.claims.entry(request).or_insert_with(|| RequestClaim {
            vm: self.vm.clone(),
            made: now,
            notified: MonoTime::ORIGIN,
            sent: None,
        });
        if claim.vm != self.vm || claim.sent.is_some() {
            return false;
        }
        if claim.notified == MonoTime::ORIGIN || now.since(claim.notified) >= NOTICE_INTERVAL {
            claim.notified = now;
            self.notices.push(ClaimNotice { vm: self.vm.clone(), request });
        }
        now.since(claim.made) >= CLAIM_SETTLE_TIME
    }

    /// Records that this entry sends a copy of the request.
    pub(super) fn record_send(&mut self, request: WorkId, now: MonoTime) {
        if let Some(claim) = self.claims.get_mut(&request).filter(|claim| claim.vm == self.vm) {
            claim.sent = Some(now);
        }
    }

    /// Applies the claim of another entry.
    pub(super) fn handle_notice(&mut self, notice: &ClaimNotice, now: MonoTime) {
        let ClaimNotice { vm, request } = notice;
        let known = self.claims.get(request).filter(|claim| !claim.has_ended(now));
        let is_ahead = known.is_some_and(|claim| {
            claim.vm != *vm
                && (claim.sent.is_some() || rank(&claim.vm, *request) < rank(vm, *request))
        });
        if !is_ahead {
            let claim = RequestClaim { vm: vm.clone(), made: now, notified: now, sent: None };
            self.claims.insert(*request, claim);
        }
    }

    /// Ends the claim on a request that ended an upstream or was served.
    pub(super) fn end(&mut self, request: WorkId) {
        self.claims.remove(&request);
    }

    /// Ends this entry's own claim on a request whose attempt ended otherwise.
    pub(super) fn end_own(&mut self, request: WorkId) {
        let vm = &self.vm;
        self.claims.retain(|claimed, claim| *claimed != request || claim.vm != *vm);
    }

    /// Returns the notices for the other entries, and removes them.
    pub(super) fn take_notices(&mut self) -> Vec<ClaimNotice> {
        std::mem::take(&mut self.notices)
    }
}

impl RequestClaim {
    fn has_ended(&self, now: MonoTime) -> bool {
        now.since(self.sent.unwrap_or(self.notified).max(self.made)) >= CLAIM_LIFE
    }
}

fn rank(vm: &VmId, request: WorkId) -> u64 {
    FxBuildHasher.hash_one((vm, request))
}
