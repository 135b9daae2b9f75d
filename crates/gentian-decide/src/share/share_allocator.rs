//! Everything that the holder of a share seat decides.

use gentian_config::{ConfigSet, UpstreamSpec};
use gentian_core::peer::{SeatId, ShareGrant, ShareRequest, SlotGrant, SlotRequest};
use gentian_core::{BootId, FastMap, FenceNumber, MonoTime, SlotCount, TimeSpan, UpstreamId};

use super::{SequenceFilter, SlotLedger, SlotRamp, TokenLedger};

/// Life of a slot grant, counted by the entry from its ask.
const SLOT_LIFE: TimeSpan = TimeSpan::from_millis(1_000);
/// Time after the life of old promises in which entries report calls that still run.
const REPORT_TIME: TimeSpan = TimeSpan::from_millis(500);

/// Ledgers of one share seat.
#[derive(Debug)]
pub struct ShareAllocator {
    seat: SeatId,
    fence: FenceNumber,
    sequences: SequenceFilter,
    tokens: TokenLedger,
    slots: FastMap<UpstreamId, SlotLedger>,
    ramps: FastMap<UpstreamId, SlotRamp>,
    specs: FastMap<UpstreamId, UpstreamSpec>,
    open_from: MonoTime,
}

impl ShareAllocator {
    /// Creates the ledgers of a holder that starts to act now.
    pub fn new(seat: SeatId, fence: FenceNumber, now: MonoTime) -> Self {
        let is_first = fence == FenceNumber::new(1);
        let open_from = if is_first { now } else { now + SLOT_LIFE + REPORT_TIME };
        Self {
            seat,
            fence,
            sequences: SequenceFilter::new(),
            tokens: TokenLedger::new(fence),
            slots: FastMap::default(),
            ramps: FastMap::default(),
            specs: FastMap::default(),
            open_from,
        }
    }

    /// Takes a configuration over.
    pub fn update(&mut self, set: &ConfigSet, now: MonoTime) {
        self.tokens.update(set, now);
        self.specs = set.upstreams.iter().map(|(id, spec)| (id.clone(), spec.clone())).collect();
        self.slots.retain(|id, _| set.upstreams.contains_key(id));
        self.ramps.retain(|id, _| set.upstreams.contains_key(id));
    }

    /// Notes the start of an upstream.
    pub fn record_boot(&mut self, upstream: &UpstreamId, boot: BootId, now: MonoTime) {
        match self.ramps.get_mut(upstream) {
            Some(ramp) => ramp.record_boot(boot, now),
            None => {
                self.ramps.insert(upstream.clone(), SlotRamp::new(boot, now));
            }
        }
    }

    /// Notes that an upstream does not answer; it gets no new calls until it answers again.
    pub fn record_no_response(&mut self, upstream: &UpstreamId) {
        if let Some(ramp) = self.ramps.get_mut(upstream) {
            ramp.record_no_response();
        }
    }

    /// Decides an ask; `None` if it is late or doubled.
    pub fn handle_request(&mut self, ask: &ShareRequest, now: MonoTime) -> Option<ShareGrant> {
        if !self.sequences.accept(ask.entry, ask.sequence, now) {
            return None;
        }
        self.sequences.forget_silent(now);
        let tokens = ask.tokens.iter().filter_map(|item| self.tokens.decide(item, now)).collect();
        let slots = ask.slots.iter().filter_map(|item| self.decide_slots(item, ask, now));
        let slots = slots.collect();
        let (seat, fence, sequence) = (self.seat, self.fence, ask.sequence);
        Some(ShareGrant { seat, fence, sequence, tokens, slots, slot_ttl: SLOT_LIFE })
    }

    fn decide_slots(
        &mut self,
        ask: &SlotRequest,
        whole: &ShareRequest,
        now: MonoTime,
    ) -> Option<SlotGrant> {
        let spec = self.specs.get(&ask.upstream)?;
        if let Some(ramp) = self.ramps.get_mut(&ask.upstream) {
            ramp.note_age(ask.boot, ask.boot_age, now);
        }
        let ramp = self.ramps.get(&ask.upstream);
        let capacity = match ramp {
            Some(ramp) => ramp.capacity(spec.fresh_slots, spec.slots, now),
            None => SlotCount::default(),
        };
        let open_from = self.open_from;
        let ledger =
            self.slots.entry(ask.upstream.clone()).or_insert_with(|| SlotLedger::new(open_from));
        Some(ledger.decide(ask, whole, capacity, SLOT_LIFE, now))
    }
}
