//! Concurrent calls of one upstream at one entry.

use gentian_core::peer::{SlotGrant, SlotRequest};
use gentian_core::{BootId, MonoTime, SlotCount, TimeSpan, UpstreamId};

use super::report_timer::ReportTimer;
use super::request_backoff::RequestBackoff;

/// Remaining life under which a limit that is needed is asked for again.
const RENEW_BEFORE: TimeSpan = TimeSpan::from_millis(600);

/// Time for which the highest number of calls in flight is expected again.
const PEAK_LIFE: TimeSpan = TimeSpan::from_secs(2);
/// Time for which a report of ended calls waits for another ask, near full load and otherwise.
const REPORT_DELAY: TimeSpan = TimeSpan::from_millis(50);
const LONG_REPORT_DELAY: TimeSpan = TimeSpan::from_millis(250);
/// Load of an upstream from which on nothing is asked for ahead.
const HEADROOM_LOAD: f64 = 0.5;

/// What an entry may have in flight at an upstream, and what it has.
#[derive(Debug)]
pub struct SlotAllowance {
    upstream: UpstreamId,
    limit: SlotCount,
    expires: MonoTime,
    in_use: SlotCount,
    reported: SlotCount,
    report: ReportTimer,
    backoff: RequestBackoff,
    wanted: SlotCount,
    peak: SlotCount,
    peaked: MonoTime,
    occupied: SlotCount,
    capacity: SlotCount,
    boot: Option<BootId>,
    boot_seen: MonoTime,
}

impl SlotAllowance {
    /// Creates a wallet without any limit granted.
    pub fn new(upstream: UpstreamId) -> Self {
        let none = SlotCount::default();
        Self {
            upstream,
            limit: none,
            expires: MonoTime::ORIGIN,
            in_use: none,
            reported: none,
            report: ReportTimer::default(),
            backoff: RequestBackoff::default(),
            wanted: none,
            peak: none,
            peaked: MonoTime::ORIGIN,
            occupied: none,
            capacity: none,
            boot: None,
            boot_seen: MonoTime::ORIGIN,
        }
    }

    /// Notes the start of the upstream.
    pub fn record_boot(&mut self, boot: BootId, now: MonoTime) {
        if self.boot != Some(boot) {
            self.boot = Some(boot);
            self.boot_seen = now;
        }
    }

    /// Starts a call, if the limit allows it.
    pub fn start_call(&mut self, now: MonoTime) -> bool {
        if now >= self.expires || self.in_use >= self.limit {
            return false;
        }
        self.in_use = self.in_use.next();
        if self.in_use >= self.peak {
            self.peak = self.in_use;
            self.peaked = now;
        }
        true
    }

    /// Ends a call.
    pub fn end_call(&mut self) {
        self.in_use = SlotCount::new(self.in_use.get().saturating_sub(1));
    }

    /// Notes that one more call than those in flight would be started here.
    pub fn record_waiting_call(&mut self) {
        self.wanted = self.wanted.next();
    }

    /// Forgets where room was wanted, before it is counted again.
    pub fn clear_waiting_calls(&mut self) {
        self.wanted = SlotCount::default();
    }

    /// Returns the calls in flight from this entry.
    pub fn in_use(&self) -> SlotCount {
        self.in_use
    }

    /// Tells whether a call could start now.
    pub fn has_free_slot(&self, now: MonoTime) -> bool {
        now < self.expires && self.in_use < self.limit
    }

    /// Returns the part of the upstream that is occupied, with this entry's own newest count.
    pub fn load(&self) -> f64 {
        let own = self.in_use.get() as f64 - self.reported.get() as f64;
        let capacity = self.capacity.get().max(1) as f64;
        (self.occupied.get() as f64 + own) / capacity
    }

    /// Takes a grant in; `asked` is when its ask was sent.
    pub fn handle_grant(
        &mut self,
        grant: &SlotGrant,
        life: TimeSpan,
        asked: MonoTime,
        now: MonoTime,
    ) {
        let is_short = grant.limit.get() < self.in_use.get() + self.wanted.get();
        self.backoff.note_grant(is_short, now);
        self.limit = grant.limit;
        self.expires = asked + life;
        self.occupied = grant.occupied;
        self.capacity = grant.capacity;
    }

    /// Returns the calls beyond those wanted now that are asked for ahead, while at least half of
    /// the upstream is free.
    fn headroom(&mut self, now: MonoTime) -> u64 {
        if now.since(self.peaked) > PEAK_LIFE {
            self.peak = self.in_use;
            self.peaked = now;
        }
        if self.peak == SlotCount::default() || self.load() >= HEADROOM_LOAD {
            return 0;
        }
        self.peak.get().saturating_sub(self.in_use.get()) + 1
    }

    /// Makes an ask, unless nothing is wanted and nothing has changed.
    pub fn make_request(&mut self, now: MonoTime) -> Option<SlotRequest> {
        let needed = self.in_use.get() + self.wanted.get();
        let want = SlotCount::new(needed.max(self.in_use.get() + self.headroom(now)));
        let is_ending = now + RENEW_BEFORE >= self.expires;
        let has_limit = now < self.expires;
        let is_short = needed > self.in_use.get() && (needed > self.limit.get() || !has_limit);
        let delay = if self.load() < HEADROOM_LOAD { LONG_REPORT_DELAY } else { REPORT_DELAY };
        let is_changed = self.report.is_due(self.in_use != self.reported, delay, now);
        let is_needed = (is_short && self.backoff.is_over(now))
            || is_changed
            || (is_ending && want > SlotCount::default());
        if !is_needed {
            return None;
        }
        self.reported = self.in_use;
        self.report.clear();
        Some(SlotRequest {
            upstream: self.upstream.clone(),
            in_use: self.in_use,
            wanted: want,
            limit: if has_limit { self.limit } else { SlotCount::default() },
            boot: self.boot,
            boot_age: now.since(self.boot_seen),
        })
    }
}
