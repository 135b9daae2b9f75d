//! Concurrent calls of one upstream that one entry may have in flight.

use gentian_core::peer::{SlotGrant, SlotRequest};
use gentian_core::{BootId, MonoTime, SlotCount, TimeSpan, UpstreamId};

use super::report_timer::ReportTimer;
use super::request_backoff::RequestBackoff;

/// Remaining validity below which a limit that is needed is requested again.
const RENEW_BEFORE_EXPIRY: TimeSpan = TimeSpan::from_millis(600);

/// Time for which the peak of calls in flight is kept as the expected demand.
const PEAK_TTL: TimeSpan = TimeSpan::from_secs(2);
/// Time for which a report of a changed number of calls waits for another request, while the
/// upstream's utilisation is at least [`BUSY_UTILISATION`].
const SHORT_REPORT_DELAY: TimeSpan = TimeSpan::from_millis(50);
/// The same for a utilisation below [`BUSY_UTILISATION`].
const LONG_REPORT_DELAY: TimeSpan = TimeSpan::from_millis(250);
/// Utilisation of an upstream from which on reports are sent sooner and no slots are requested
/// ahead of demand.
const BUSY_UTILISATION: f64 = 0.5;

/// Limit of an entry on the calls in flight at an upstream, and their current number.
#[derive(Debug)]
pub struct SlotAllowance {
    upstream: UpstreamId,
    /// Limit of the last grant, in force until `expires_at`.
    limit: SlotCount,
    expires_at: MonoTime,
    /// Calls in flight from this entry.
    in_use: SlotCount,
    /// Value of `in_use` in the last request.
    reported: SlotCount,
    report: ReportTimer,
    backoff: RequestBackoff,
    /// Calls that wait for a free slot.
    waiting: SlotCount,
    /// Highest number of calls in flight, kept for [`PEAK_TTL`].
    peak: SlotCount,
    peak_at: MonoTime,
    /// Slots in use or granted in the whole fleet, according to the last grant.
    occupied: SlotCount,
    /// Capacity of the upstream, according to the last grant.
    capacity: SlotCount,
    boot: Option<BootId>,
    boot_seen_at: MonoTime,
}

impl SlotAllowance {
    /// Creates an allowance without a granted limit.
    pub fn new(upstream: UpstreamId) -> Self {
        let zero = SlotCount::default();
        Self {
            upstream,
            limit: zero,
            expires_at: MonoTime::ORIGIN,
            in_use: zero,
            reported: zero,
            report: ReportTimer::default(),
            backoff: RequestBackoff::default(),
            waiting: zero,
            peak: zero,
            peak_at: MonoTime::ORIGIN,
            occupied: zero,
            capacity: zero,
            boot: None,
            boot_seen_at: MonoTime::ORIGIN,
        }
    }

    /// Records the current boot id of the upstream.
    pub fn record_boot(&mut self, boot: BootId, now: MonoTime) {
        if self.boot != Some(boot) {
            self.boot = Some(boot);
            self.boot_seen_at = now;
        }
    }

    /// Starts a call if the limit allows it, and returns whether it did.
    pub fn start_call(&mut self, now: MonoTime) -> bool {
        if now >= self.expires_at || self.in_use >= self.limit {
            return false;
        }
        self.in_use = self.in_use.next();
        if self.in_use >= self.peak {
            self.peak = self.in_use;
            self.peak_at = now;
        }
        true
    }

    /// Ends a call.
    pub fn end_call(&mut self) {
        self.in_use = SlotCount::new(self.in_use.get().saturating_sub(1));
    }

    /// Records one more call that waits for a free slot here.
    pub fn record_waiting_call(&mut self) {
        self.waiting = self.waiting.next();
    }

    /// Resets the number of waiting calls before they are counted again.
    pub fn clear_waiting_calls(&mut self) {
        self.waiting = SlotCount::default();
    }

    /// Returns the calls in flight from this entry.
    pub fn in_use(&self) -> SlotCount {
        self.in_use
    }

    /// Returns whether a call could start now.
    pub fn has_free_slot(&self, now: MonoTime) -> bool {
        now < self.expires_at && self.in_use < self.limit
    }

    /// Returns the fraction of the upstream's capacity that is in use or granted according to the last
    /// grant, adjusted by the change in this entry's own calls since its last request.
    pub fn utilisation(&self) -> f64 {
        let own = self.in_use.get() as f64 - self.reported.get() as f64;
        let capacity = self.capacity.get().max(1) as f64;
        (self.occupied.get() as f64 + own) / capacity
    }

    /// Applies a grant whose request was sent at `sent_at`.
    pub fn handle_grant(
        &mut self,
        grant: &SlotGrant,
        ttl: TimeSpan,
        sent_at: MonoTime,
        now: MonoTime,
    ) {
        let is_partial = grant.limit.get() < self.in_use.get() + self.waiting.get();
        self.backoff.record_grant(is_partial, now);
        self.limit = grant.limit;
        self.expires_at = sent_at + ttl;
        self.occupied = grant.occupied;
        self.capacity = grant.capacity;
    }

    /// Returns how many slots beyond those in use are requested ahead of demand. It is zero after a
    /// time without calls, and from [`BUSY_UTILISATION`] on.
    fn extra_slots(&mut self, now: MonoTime) -> u64 {
        if now.since(self.peak_at) > PEAK_TTL {
            self.peak = self.in_use;
            self.peak_at = now;
        }
        if self.peak == SlotCount::default() || self.utilisation() >= BUSY_UTILISATION {
            return 0;
        }
        self.peak.get().saturating_sub(self.in_use.get()) + 1
    }

    /// Makes a request if more slots are needed and the backoff has elapsed, if a report is due, or
    /// if the limit expires soon and slots are wanted.
    pub fn make_request(&mut self, now: MonoTime) -> Option<SlotRequest> {
        let in_use_or_waiting = self.in_use.get() + self.waiting.get();
        let requested =
            SlotCount::new(in_use_or_waiting.max(self.in_use.get() + self.extra_slots(now)));
        let is_expiring = now + RENEW_BEFORE_EXPIRY >= self.expires_at;
        let has_limit = now < self.expires_at;
        let needs_slots = in_use_or_waiting > self.in_use.get()
            && (in_use_or_waiting > self.limit.get() || !has_limit);
        let delay = if self.utilisation() < BUSY_UTILISATION {
            LONG_REPORT_DELAY
        } else {
            SHORT_REPORT_DELAY
        };
        let is_report_due = self.report.is_due(self.in_use != self.reported, delay, now);
        let is_needed = (needs_slots && self.backoff.has_elapsed(now))
            || is_report_due
            || (is_expiring && requested > SlotCount::default());
        if !is_needed {
            return None;
        }
        self.reported = self.in_use;
        self.report.clear();
        Some(SlotRequest {
            upstream: self.upstream.clone(),
            in_use: self.in_use,
            wanted: requested,
            limit: if has_limit { self.limit } else { SlotCount::default() },
            boot: self.boot,
            boot_age: now.since(self.boot_seen_at),
        })
    }
}
