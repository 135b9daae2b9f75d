//! Time of day in the fleet.
//!
//! Load pattern: clocks of day that differ by up to seconds, or step, on single VMs of a fleet.

use gentian_core::{ClockOffset, FastMap, MonoTime, TimeSpan, VmId, WallTime};

/// Time after which the clock of an entry that sent nothing more no longer counts.
const SAMPLE_LIFE: TimeSpan = TimeSpan::from_secs(30);

/// Estimates the time of day as the median of the entries' clocks, so that single wrong ones have no
/// effect.
#[derive(Clone, Debug, Default)]
pub struct FleetClock {
    /// How far each entry's clock of day is ahead of this process's monotonic clock, and when it said
    /// so. Bounded by the number of VMs: each has one sample, and old ones are removed.
    samples: FastMap<VmId, (ClockOffset, MonoTime)>,
    /// Median of the samples.
    median: Option<ClockOffset>,
    /// Offset that an earlier hub told this process.
    inherited: Option<ClockOffset>,
}

impl FleetClock {
    /// Creates the clock of a hub that knows no other entry yet.
    pub fn new(inherited: Option<ClockOffset>) -> Self {
        Self { samples: FastMap::default(), median: None, inherited }
    }

    /// Records what the clock of an entry showed, given the number of entries. Those that have not told
    /// theirs count as agreeing with the offset that an earlier hub used.
    pub fn record(&mut self, vm: &VmId, wall_time: WallTime, entry_count: usize, now: MonoTime) {
        self.samples.insert(vm.clone(), (wall_time.offset_from(now), now));
        self.samples.retain(|_, (_, recorded)| now.since(*recorded) < SAMPLE_LIFE);
        let unknown = entry_count.saturating_sub(self.samples.len());
        let inherited = self.inherited.into_iter().flat_map(|it| std::iter::repeat_n(it, unknown));
        let told = self.samples.values().map(|(offset, _)| *offset);
        let mut offsets: Vec<ClockOffset> = told.chain(inherited).collect();
        let middle = offsets.len().saturating_sub(1) / 2;
        self.median = (!offsets.is_empty()).then(|| *offsets.select_nth_unstable(middle).1);
    }

    /// Returns the offset of the fleet's time of day.
    pub fn offset(&self) -> Option<ClockOffset> {
        self.median.or(self.inherited)
    }
}
