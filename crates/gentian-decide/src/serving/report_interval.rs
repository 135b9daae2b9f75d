//! Intervals of the reports from entries to the hub. They grow with the number of entries, since
//! the hub's work would otherwise grow with its square.

use gentian_core::TimeSpan;

/// Largest number of entries for which the intervals are not lengthened; at [`BUSY_INTERVAL`], the
/// hub then replies to 250 reports per second.
const SHORT_INTERVAL_ENTRIES: u64 = 25;
/// Report intervals of a small fleet while requests are running, and while none is.
const BUSY_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
const IDLE_INTERVAL: TimeSpan = TimeSpan::from_millis(250);
/// Upper bound of the interval at any fleet size.
const MAX_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Interval while a request waits for a target and this has not been reported to the hub. It does
/// not scale with the fleet, because the number of such waits depends on requests, not on entries.
pub(super) const UNREPORTED_WAIT_INTERVAL: TimeSpan = TimeSpan::from_millis(15);
/// Interval while an organisation's use is near its limit.
const NEAR_LIMIT_INTERVAL: TimeSpan = TimeSpan::from_millis(25);
/// Time beyond the idle interval after which the hub counts an entry as unreachable.
const TIMEOUT_MARGIN: TimeSpan = TimeSpan::from_millis(450);

/// Returns an interval for this number of entries, given that for a small fleet.
pub(super) fn scale_interval(interval: TimeSpan, entries: usize) -> TimeSpan {
    let entries = entries as u64;
    let scaled = TimeSpan::from_micros(interval.as_micros() * entries / SHORT_INTERVAL_ENTRIES);
    scaled.max(interval).min(MAX_INTERVAL)
}

/// Returns the report interval while requests are running (`is_busy`) or while none is.
pub(super) fn report_interval(entries: usize, is_busy: bool) -> TimeSpan {
    scale_interval(if is_busy { BUSY_INTERVAL } else { IDLE_INTERVAL }, entries)
}

/// Returns whether the report interval of idle entries has reached its upper bound.
pub(super) fn is_report_interval_longest(entries: usize) -> bool {
    report_interval(entries, false) == MAX_INTERVAL
}

/// Returns the report interval while an organisation's use is near its limit.
pub(super) fn near_limit_interval(entries: usize) -> TimeSpan {
    scale_interval(NEAR_LIMIT_INTERVAL, entries)
}

/// Returns the interval at which work per upstream is included in a message.
pub(super) fn work_interval(entries: usize) -> TimeSpan {
    scale_interval(BUSY_INTERVAL, entries)
}

/// Returns the time since its last report after which the hub counts an entry as unreachable.
pub(super) fn entry_timeout(entries: usize) -> TimeSpan {
    report_interval(entries, false) + TIMEOUT_MARGIN
}

/// Returns the time without a summary after which an entry applies its own fraction of the limits.
/// It is 100 ms longer than [`entry_timeout`], so that the hub has stopped counting the entry by
/// then, and the other entries and this one do not both use its fraction for long.
pub(super) fn hub_timeout(entries: usize) -> TimeSpan {
    entry_timeout(entries) + TimeSpan::from_millis(100)
}
