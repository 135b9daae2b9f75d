//! Counts of one entry: requests of each organisation that began to run, by window.
//!
//! Load pattern: up to hundreds of requests a second of up to hundreds of organisations at one entry,
//! with a hub that may be silent or replaced at any time.

use std::collections::BTreeMap;

use gentian_core::peer::{UsageMessage, UsageReply, WindowCounts};
use gentian_core::{
    ClockOffset, FastMap, FenceNumber, InstanceId, MonoTime, OrganisationId, SequenceNumber,
    TimeSpan, VmId, WallTime, WindowNumber,
};

use super::UsageRules;

/// Time after the end of a window from which its counts are final: requests that began before the
/// end have been counted by then.
const FINAL_DELAY: TimeSpan = TimeSpan::from_millis(200);
/// Interval between messages in fleets of up to [`SHORT_INTERVAL_ENTRIES`]. What an entry counted since
/// its last message is lost with it: at most a twentieth of a window of 5 s, of one entry.
const SHORT_INTERVAL: TimeSpan = TimeSpan::from_millis(250);
/// Largest fleet with that interval; it grows in proportion to the number of entries beyond, so that
/// the hub gets at most 100 messages a second up to a hundred entries.
const SHORT_INTERVAL_ENTRIES: u64 = 25;
const MAX_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Largest number of counts in a message, so that it fits into a datagram whatever their names.
const MAX_MESSAGE_COUNTS: usize = 600;
/// Time per entry over which the first messages to a new hub are spread, so that none is lost in the
/// queue of its socket.
const FIRST_MESSAGE_SPREAD: TimeSpan = TimeSpan::from_millis(4);
/// Longest time to the reply with which the time of day in a reply is used. A slower reply is used
/// only if there was none before.
const MAX_ROUND_TRIP: TimeSpan = TimeSpan::from_millis(100);

#[derive(Clone, Copy, Debug, Default)]
struct RunCount {
    total: u64,
    /// Total in the message that was sent last.
    sent: u64,
    /// Total that the hub has confirmed.
    confirmed: u64,
}

/// Counts the requests that begin to run through one entry, and tells the hub.
#[derive(Debug)]
pub struct UsageCounter {
    rules: UsageRules,
    vm: VmId,
    instance: InstanceId,
    entry_count: usize,
    /// Offset of the fleet's time of day, as a hub told it.
    fleet_offset: Option<ClockOffset>,
    /// At most `MAX_KEPT_WINDOWS` windows and the current one, each with at most the organisations
    /// of the configuration.
    windows: BTreeMap<WindowNumber, FastMap<OrganisationId, RunCount>>,
    counting_since: Option<WindowNumber>,
    /// Whether a count differs from the confirmed one.
    is_changed: bool,
    /// Windows before this one are fixed.
    fixed_before: WindowNumber,
    /// Fencing number of the hub that the confirmations are about.
    fence: FenceNumber,
    sequence: SequenceNumber,
    next_message: MonoTime,
    /// Boundary of complete windows in the last message, and in the last confirmed one.
    sent_complete: WindowNumber,
    confirmed_complete: Option<WindowNumber>,
}

impl UsageCounter {
    /// Creates the counter of an entry that has counted nothing.
    pub fn new(rules: UsageRules, vm: VmId, instance: InstanceId) -> Self {
        Self {
            rules,
            vm,
            instance,
            entry_count: 1,
            fleet_offset: None,
            windows: BTreeMap::new(),
            counting_since: None,
            is_changed: false,
            fixed_before: WindowNumber::default(),
            fence: FenceNumber::default(),
            sequence: SequenceNumber::default(),
            next_message: MonoTime::ORIGIN,
            sent_complete: WindowNumber::default(),
            confirmed_complete: None,
        }
    }

    /// Sets the number of entries, which determines the interval between messages.
    pub fn update_entry_count(&mut self, entry_count: usize) {
        self.entry_count = entry_count;
    }

    /// Counts a request that began to run at `began`. `own_offset` is that of this VM's clock of day,
    /// which counts until a hub has told the fleet's.
    pub fn record_run(
        &mut self,
        organisation: &OrganisationId,
        began: MonoTime,
        own_offset: ClockOffset,
    ) {
        let time = self.fleet_offset.unwrap_or(own_offset).wall_time(began);
        self.start(time);
        let counts = self.windows.entry(self.rules.window_at(time)).or_default();
        counts.entry(organisation.clone()).or_default().total += 1;
        self.is_changed = true;
        self.drop_old(time);
    }

    /// Records that a process with a higher fencing number is the hub, which knows none of the counts;
    /// returns `false` if the number is known.
    pub fn record_hub(&mut self, fence: FenceNumber, now: MonoTime) -> bool {
        if fence <= self.fence {
            return false;
        }
        self.fence = fence;
        self.confirmed_complete = None;
        for counts in self.windows.values_mut() {
            counts.values_mut().for_each(|count| (count.sent, count.confirmed) = (0, 0));
        }
        self.is_changed = !self.windows.is_empty();
        // A reply to a message to an earlier hub confirms nothing.
        self.sequence = self.sequence.next();
        let spread = FIRST_MESSAGE_SPREAD * self.entry_count as u64;
        let position = self.instance.get() % spread.as_micros().max(1);
        self.next_message = now + TimeSpan::from_micros(position);
        true
    }

    /// Returns a message to the hub if one is due.
    pub fn next_message(&mut self, own_time: WallTime, now: MonoTime) -> Option<UsageMessage> {
        if now < self.next_message {
            return None;
        }
        let offset = self.fleet_offset.unwrap_or(own_time.offset_from(now));
        let time = offset.wall_time(now);
        let counting_since = self.start(time);
        self.drop_old(time);
        let past = WallTime::from_micros(time.as_micros().saturating_sub(FINAL_DELAY.as_micros()));
        let complete = self.rules.window_at(past);
        if !self.is_changed && self.confirmed_complete.is_some_and(|known| known >= complete) {
            return None;
        }
        let (windows, first_missing) = self.unconfirmed_counts();
        self.sequence = self.sequence.next();
        self.sent_complete = first_missing.map_or(complete, |missing| missing.min(complete));
        let entries = (self.entry_count as u64).max(SHORT_INTERVAL_ENTRIES);
        let interval = SHORT_INTERVAL * (entries as f64 / SHORT_INTERVAL_ENTRIES as f64);
        self.next_message = now + interval.min(MAX_INTERVAL);
        Some(UsageMessage {
            vm: self.vm.clone(),
            instance: self.instance,
            fence: self.fence,
            sequence: self.sequence,
            sent: now,
            wall_time: own_time,
            counting_since,
            complete_before: self.sent_complete,
            windows,
        })
    }

    /// Handles the reply of the hub.
    pub fn handle_reply(&mut self, reply: &UsageReply, now: MonoTime) {
        if reply.fence < self.fence {
            return;
        }
        let round_trip = now.since(reply.sent);
        if round_trip <= MAX_ROUND_TRIP || self.fleet_offset.is_none() {
            let time = reply.wall_time.plus(round_trip * 0.5);
            self.fleet_offset = Some(time.offset_from(now));
        }
        self.fixed_before = self.fixed_before.max(reply.fixed_before);
        self.windows = self.windows.split_off(&self.fixed_before);
        if reply.sequence == self.sequence && reply.fence == self.fence {
            self.confirmed_complete = Some(self.sent_complete);
            for counts in self.windows.values_mut() {
                counts.values_mut().for_each(|count| count.confirmed = count.sent);
            }
            let mut counts = self.windows.values().flat_map(FastMap::values);
            self.is_changed = counts.any(|count| count.total > count.confirmed);
        }
    }

    /// Returns the first window that is not fixed, as far as this entry knows.
    pub fn fixed_before(&self) -> WindowNumber {
        self.fixed_before
    }

    /// Returns the offset of the fleet's time of day, if a hub has told it.
    pub fn fleet_offset(&self) -> Option<ClockOffset> {
        self.fleet_offset
    }

    /// Returns the counts that the hub has not confirmed, and the first window of which some didn't
    /// fit into the message.
    fn unconfirmed_counts(&mut self) -> (Vec<WindowCounts>, Option<WindowNumber>) {
        let (mut windows, mut room, mut first_missing) = (Vec::new(), MAX_MESSAGE_COUNTS, None);
        for (window, counts) in &mut self.windows {
            let mut changed = WindowCounts { window: *window, counts: Vec::new() };
            for (organisation, count) in counts {
                // What an earlier message contained may be confirmed only by the reply to it.
                count.sent = count.confirmed;
                if count.total == count.confirmed {
                    continue;
                }
                if room == 0 {
                    first_missing.get_or_insert(*window);
                    continue;
                }
                room -= 1;
                count.sent = count.total;
                changed.counts.push((organisation.clone(), count.total));
            }
            if !changed.counts.is_empty() {
                windows.push(changed);
            }
        }
        (windows, first_missing)
    }

    fn start(&mut self, time: WallTime) -> WindowNumber {
        *self.counting_since.get_or_insert(self.rules.window_at(time))
    }

    fn drop_old(&mut self, time: WallTime) {
        let oldest = self.rules.oldest_kept(time);
        if self.windows.first_key_value().is_some_and(|(window, _)| *window < oldest) {
            self.windows = self.windows.split_off(&oldest);
        }
    }
}
