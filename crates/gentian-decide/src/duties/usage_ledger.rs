//! The hub's sums of what all entries counted.
//!
//! Load pattern: a message a second from each of up to 370 entries, with up to hundreds of
//! organisations, lost, repeated and in any order.

use std::collections::BTreeMap;

use gentian_core::peer::{UsageCopy, UsageMessage, UsageReply, WindowCounts};
use gentian_core::{
    ClockOffset, FastMap, FenceNumber, InstanceId, MonoTime, OrganisationId, SequenceNumber,
    TimeSpan, VmId, WallTime, WindowNumber,
};

use super::usage_rules::MAX_KEPT_WINDOWS;
use super::{FleetClock, UsageRules};

/// Time for which a new hub waits for entries that it knows from their records and that have not
/// sent anything to it.
const FIRST_MESSAGE_WAIT: TimeSpan = TimeSpan::from_secs(2);
/// Time beyond a window after which an entry that sent nothing is no longer waited for. Idle entries
/// send one message a window.
const SILENCE_MARGIN: TimeSpan = TimeSpan::from_secs(2);
/// Windows after the current one of which counts are accepted: clocks of entries differ.
const MAX_FUTURE_WINDOWS: u64 = 2;
/// Largest number of organisations whose counts are kept.
const MAX_ORGANISATIONS: usize = 16_384;

/// Largest fleet in which the hub's own counts are copied. In a larger one they are under a fortieth of
/// all, and would be many bytes.
const MAX_COPIED_FLEET: usize = 40;
/// Number of entries that keep a copy of the hub's own counts.
const MAX_BACKUPS: usize = 2;

/// What the hub knows of one entry's messages.
#[derive(Clone, Copy, Debug)]
struct EntryRow {
    instance: InstanceId,
    sequence: SequenceNumber,
    complete_before: WindowNumber,
    received: MonoTime,
}

/// Totals of one window, by process and number of the organisation.
type WindowTotals = FastMap<InstanceId, FastMap<u32, u64>>;

/// Sums the counts of all entries by window.
#[derive(Debug)]
pub struct UsageLedger {
    rules: UsageRules,
    fence: FenceNumber,
    started: MonoTime,
    clock: FleetClock,
    /// One row a VM; removed with the VM's record.
    entries: FastMap<VmId, EntryRow>,
    /// At most `MAX_KEPT_WINDOWS` and [`MAX_FUTURE_WINDOWS`] around the current one.
    windows: BTreeMap<WindowNumber, WindowTotals>,
    /// Numbers of the organisations, which take less memory than their names in each entry's totals.
    /// At most [`MAX_ORGANISATIONS`].
    numbers: FastMap<OrganisationId, u32>,
    counting_since: Option<WindowNumber>,
    /// Windows before this one are fixed or given up.
    fixed_before: WindowNumber,
}

impl UsageLedger {
    /// Creates the ledger of a process that becomes the hub at `now`. `inherited` is the offset of the
    /// fleet's time of day that an earlier hub told it.
    pub fn new(
        rules: UsageRules,
        fence: FenceNumber,
        inherited: Option<ClockOffset>,
        now: MonoTime,
    ) -> Self {
        Self {
            rules,
            fence,
            started: now,
            clock: FleetClock::new(inherited),
            entries: FastMap::default(),
            windows: BTreeMap::new(),
            numbers: FastMap::default(),
            counting_since: None,
            fixed_before: WindowNumber::default(),
        }
    }

    /// Returns the fencing number of the hub.
    pub fn fence(&self) -> FenceNumber {
        self.fence
    }

    /// Returns when this process became the hub.
    pub fn started(&self) -> MonoTime {
        self.started
    }

    /// Returns the first window in which an entry counted.
    pub fn counting_since(&self) -> Option<WindowNumber> {
        self.counting_since
    }

    /// Returns the offset of the fleet's time of day.
    pub fn offset(&self) -> Option<ClockOffset> {
        self.clock.offset()
    }

    /// Adds the counts of an entry and returns the reply; `None` if the entry has sent a later message.
    pub fn handle_message(
        &mut self,
        message: &UsageMessage,
        entry_count: usize,
        now: MonoTime,
    ) -> Option<UsageReply> {
        let known = self.entries.get(&message.vm);
        if known
            .is_some_and(|row| row.instance == message.instance && row.sequence > message.sequence)
        {
            return None;
        }
        self.clock.record(&message.vm, message.wall_time, entry_count, now);
        let wall_time = self.clock.offset()?.wall_time(now);
        self.add_windows(message.instance, &message.windows, wall_time);
        // An entry that has not noticed that the hub is a new one leaves out what the earlier one confirmed.
        let is_whole = message.fence == self.fence;
        let row = EntryRow {
            instance: message.instance,
            sequence: message.sequence,
            complete_before: if is_whole {
                message.complete_before
            } else {
                WindowNumber::default()
            },
            received: now,
        };
        self.entries.insert(message.vm.clone(), row);
        let since = message.counting_since;
        self.counting_since = Some(self.counting_since.map_or(since, |known| known.min(since)));
        Some(UsageReply {
            fence: self.fence,
            sequence: message.sequence,
            sent: message.sent,
            wall_time,
            fixed_before: self.fixed_before,
        })
    }

    /// Returns whether all entries that are in contact have sent all their counts of a window.
    /// `vms` are those of the entries' records, which outlive their entries by minutes.
    pub fn is_complete<'a>(
        &self,
        window: WindowNumber,
        mut vms: impl Iterator<Item = &'a VmId>,
        now: MonoTime,
    ) -> bool {
        let silence = self.rules.window() + SILENCE_MARGIN;
        vms.all(|vm| match self.entries.get(vm) {
            Some(row) => row.complete_before > window || now.since(row.received) >= silence,
            None => now.since(self.started) >= FIRST_MESSAGE_WAIT,
        })
    }

    /// Returns the sums of a window, sorted by organisation.
    pub fn sum(&self, window: WindowNumber) -> WindowCounts {
        let mut sums: FastMap<u32, u64> = FastMap::default();
        for totals in self.windows.get(&window).into_iter().flat_map(FastMap::values) {
            for (number, total) in totals {
                let sum = sums.entry(*number).or_default();
                *sum = sum.saturating_add(*total);
            }
        }
        let named = self.numbers.iter().filter_map(|(organisation, number)| {
            sums.get(number).map(|sum| (organisation.clone(), *sum))
        });
        let mut counts: Vec<(OrganisationId, u64)> = named.collect();
        counts.sort_unstable();
        WindowCounts { window, counts }
    }

    /// Removes the counts of the windows before `window`, which are fixed or given up.
    pub fn close_before(&mut self, window: WindowNumber) {
        if window > self.fixed_before {
            self.fixed_before = window;
            self.windows = self.windows.split_off(&window);
        }
    }

    /// Removes the rows of entries that have no record any more.
    pub fn retain_entries(&mut self, is_registered: impl Fn(&VmId) -> bool) {
        self.entries.retain(|vm, _| is_registered(vm));
    }

    /// Adds what an earlier hub counted itself.
    pub fn handle_copy(&mut self, copy: &UsageCopy, now: MonoTime) {
        if let Some(offset) = self.clock.offset() {
            self.add_windows(copy.instance, &copy.windows, offset.wall_time(now));
        }
    }

    /// Returns the entries that keep a copy of the counts of the hub on `own`.
    pub fn backup_vms(&self, own: &VmId, now: MonoTime) -> Vec<VmId> {
        if self.entries.len() > MAX_COPIED_FLEET {
            return Vec::new();
        }
        let silence = self.rules.window() + SILENCE_MARGIN;
        let is_usable = |vm: &VmId, row: &EntryRow| vm != own && now.since(row.received) < silence;
        let usable = self.entries.iter().filter(|(vm, row)| is_usable(vm, row));
        let mut vms: Vec<VmId> = usable.map(|(vm, _)| vm.clone()).collect();
        vms.sort();
        vms.truncate(MAX_BACKUPS);
        vms
    }

    fn add_windows(&mut self, instance: InstanceId, windows: &[WindowCounts], time: WallTime) {
        let current = self.rules.window_at(time).get();
        let newest = WindowNumber::new(current.saturating_add(MAX_FUTURE_WINDOWS));
        let oldest = self.rules.oldest_kept(time).max(self.fixed_before);
        self.windows = self.windows.split_off(&oldest);
        for counts in windows {
            if (oldest..=newest).contains(&counts.window) {
                self.add_counts(instance, counts);
            }
        }
    }

    fn add_counts(&mut self, instance: InstanceId, counts: &WindowCounts) {
        let window = self.windows.entry(counts.window).or_default();
        let totals = window.entry(instance).or_default();
        for (organisation, total) in &counts.counts {
            let next = self.numbers.len();
            let number = match self.numbers.get(organisation) {
                Some(number) => *number,
                None if next < MAX_ORGANISATIONS => {
                    let number = u32::try_from(next).unwrap_or(u32::MAX);
                    self.numbers.insert(organisation.clone(), number);
                    number
                }
                None => continue,
            };
            let known = totals.entry(number).or_default();
            *known = (*known).max(*total);
        }
    }
}

const _: () = assert!(MAX_FUTURE_WINDOWS < MAX_KEPT_WINDOWS);
