//! Concurrent calls of one upstream that one entry may have in flight.

use gentian_core::peer::{SlotGrant, SlotRequest};
use gentian_core::{BootId, MonoTime, SlotCount, TimeSpan, UpstreamId};

use super::report_timer::ReportTimer;
use super::request_backoff::RequestBackoff;

/// Remaining validity below which a limit that is needed is requested again.
const RENEW_BEFORE_EXPIRY: TimeSpan = TimeSpan::from_millis(600);

/// Time for which the highest number of calls in flight is expected to recur.
const PEAK_TTL: TimeSpan = TimeSpan::from_secs(2);
/// Time for which a report of ended calls waits for another request: short from
/// [`MAX_HEADROOM_LOAD`] on, and long below it.
const SHORT_REPORT_DELAY: TimeSpan = TimeSpan::from_millis(50);
const LONG_REPORT_DELAY: TimeSpan = TimeSpan::from_millis(250);
/// Load of an upstream from which on no calls are requested ahead of demand.
const MAX_HEADROOM_LOAD: f64 = 0.5;

/// Limit of an entry on the calls in flight at an upstream, and their present number.
#[derive(Debug)]
pub struct SlotAllowance {
    upstream: UpstreamId,
    limit: SlotCount,
    expires_at: MonoTime,
    in_use: SlotCount,
    reported: SlotCount,
    report: ReportTimer,
    backoff: RequestBackoff,
    waiting: SlotCount,
    peak: SlotCount,
    peak_at: MonoTime,
    occupied: SlotCount,
    capacity: SlotCount,
    boot: Option<BootId>,
    boot_seen_at: MonoTime,
}

impl SlotAllowance {
    /// Creates an allowance without a granted limit.
    pub fn new(upstream: UpstreamId) -> Self {
        let none = SlotCount::default();
        Self {
            upstream,
            limit: none,
            expires_at: MonoTime::ORIGIN,
            in_use: none,
            reported: none,
            report: ReportTimer::default(),
            backoff: RequestBackoff::default(),
            waiting: none,
            peak: none,
            peak_at: MonoTime::ORIGIN,
            occupied: none,
            capacity: none,
            boot: None,
            boot_seen_at: MonoTime::ORIGIN,
        }
    }

    /// Records the current start of the upstream.
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

    /// Returns the fraction of the upstream's capacity that is in use: that of the last grant, plus
    /// the change in this entry's own calls since its last request.
    pub fn load(&self) -> f64 {
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
        let is_short = grant.limit.get() < self.in_use.get() + self.waiting.get();
        self.backoff.record_grant(is_short, now);
        self.limit = grant.limit;
        self.expires_at = sent_at + ttl;
        self.occupied = grant.occupied;
        self.capacity = grant.capacity;
    }

    /// Returns how many calls beyond those in flight are requested ahead of demand. It is zero after
    /// a time without calls, and from [`MAX_HEADROOM_LOAD`] on.
    fn headroom(&mut self, now: MonoTime) -> u64 {
        if now.since(self.peak_at) > PEAK_TTL {
            self.peak = self.in_use;
            self.peak_at = now;
        }
        if self.peak == SlotCount::default() || self.load() >= MAX_HEADROOM_LOAD {
            return 0;
        }
        self.peak.get().saturating_sub(self.in_use.get()) + 1
    }

    /// Makes a request, unless no call is wanted and no change is to be reported.
    pub fn make_request(&mut self, now: MonoTime) -> Option<SlotRequest> {
        let needed = self.in_use.get() + self.waiting.get();
        let requested = SlotCount::new(needed.max(self.in_use.get() + self.headroom(now)));
        let is_expiring = now + RENEW_BEFORE_EXPIRY >= self.expires_at;
        let has_limit = now < self.expires_at;
        let is_short = needed > self.in_use.get() && (needed > self.limit.get() || !has_limit);
        let delay =
            if self.load() < MAX_HEADROOM_LOAD { LONG_REPORT_DELAY } else { SHORT_REPORT_DELAY };
        let is_report_due = self.report.is_due(self.in_use != self.reported, delay, now);
        let is_needed = (is_short && self.backoff.has_elapsed(now))
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
