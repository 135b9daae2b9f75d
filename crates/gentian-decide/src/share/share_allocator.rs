//! Decisions of the holder of a share seat.

use gentian_config::{ConfigSet, UpstreamSpec};
use gentian_core::peer::{SeatId, ShareGrant, ShareRequest, SlotGrant, SlotRequest};
use gentian_core::{BootId, FastMap, FenceNumber, MonoTime, SlotCount, TimeSpan, UpstreamId};

use super::{SequenceFilter, SlotLedger, SlotRamp, TokenLedger};

/// Validity of a slot grant. The entry counts it from the time it sent the request.
const SLOT_TTL: TimeSpan = TimeSpan::from_millis(1_000);
/// Once the grants of an earlier holder have expired, the time for entries to report the calls that
/// are still running.
const CALL_REPORT_TIME: TimeSpan = TimeSpan::from_millis(500);

/// Grants tokens and slots from the ledgers of one share seat.
#[derive(Debug)]
pub struct ShareAllocator {
    seat: SeatId,
    fence: FenceNumber,
    sequences: SequenceFilter,
    tokens: TokenLedger,
    slots: FastMap<UpstreamId, SlotLedger>,
    ramps: FastMap<UpstreamId, SlotRamp>,
    specs: FastMap<UpstreamId, UpstreamSpec>,
    grants_start: MonoTime,
}

impl ShareAllocator {
    /// Creates the allocator of a holder that starts to act now.
    pub fn new(seat: SeatId, fence: FenceNumber, now: MonoTime) -> Self {
        let is_first = fence == FenceNumber::new(1);
        let grants_start = if is_first { now } else { now + SLOT_TTL + CALL_REPORT_TIME };
        Self {
            seat,
            fence,
            sequences: SequenceFilter::new(),
            tokens: TokenLedger::new(fence),
            slots: FastMap::default(),
            ramps: FastMap::default(),
            specs: FastMap::default(),
            grants_start,
        }
    }

    /// Applies a configuration.
    pub fn update(&mut self, set: &ConfigSet, now: MonoTime) {
        self.tokens.update(set, now);
        self.specs = set.upstreams.iter().map(|(id, spec)| (id.clone(), spec.clone())).collect();
        self.slots.retain(|id, _| set.upstreams.contains_key(id));
        self.ramps.retain(|id, _| set.upstreams.contains_key(id));
    }

    /// Records the boot id of an upstream that responds.
    pub fn record_boot(&mut self, upstream: &UpstreamId, boot: BootId, now: MonoTime) {
        match self.ramps.get_mut(upstream) {
            Some(ramp) => ramp.record_boot(boot, now),
            None => {
                self.ramps.insert(upstream.clone(), SlotRamp::new(boot, now));
            }
        }
    }

    /// Records that an upstream does not respond. It is granted no slots until it responds again.
    pub fn record_no_response(&mut self, upstream: &UpstreamId) {
        if let Some(ramp) = self.ramps.get_mut(upstream) {
            ramp.record_no_response();
        }
    }

    /// Returns the grant for a request, or `None` if the request is late or a duplicate.
    pub fn handle_request(&mut self, request: &ShareRequest, now: MonoTime) -> Option<ShareGrant> {
        if !self.sequences.accept(request.entry, request.sequence, now) {
            return None;
        }
        self.sequences.remove_inactive(now);
        let tokens =
            request.tokens.iter().filter_map(|item| self.tokens.decide(item, now)).collect();
        let slots = request.slots.iter().filter_map(|item| self.decide_slots(item, request, now));
        let slots = slots.collect();
        let (seat, fence, sequence) = (self.seat, self.fence, request.sequence);
        Some(ShareGrant { seat, fence, sequence, tokens, slots, slot_ttl: SLOT_TTL })
    }

    fn decide_slots(
        &mut self,
        request: &SlotRequest,
        share_request: &ShareRequest,
        now: MonoTime,
    ) -> Option<SlotGrant> {
        let spec = self.specs.get(&request.upstream)?;
        if let Some(ramp) = self.ramps.get_mut(&request.upstream) {
            ramp.record_boot_age(request.boot, request.boot_age, now);
        }
        let ramp = self.ramps.get(&request.upstream);
        let capacity = match ramp {
            Some(ramp) => ramp.capacity(spec.fresh_slots, spec.slots, now),
            None => SlotCount::default(),
        };
        let grants_start = self.grants_start;
        let ledger = self
            .slots
            .entry(request.upstream.clone())
            .or_insert_with(|| SlotLedger::new(grants_start));
        Some(ledger.decide(request, share_request, capacity, SLOT_TTL, now))
    }
}
