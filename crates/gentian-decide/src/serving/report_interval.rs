//! How often entries and the hub speak, so that the hub's work does not grow with the square of the
//! fleet.

use gentian_core::TimeSpan;

/// Entries up to which digests come at their shortest spacing: the hub then answers 250 a second.
const SMALL_FLEET: u64 = 25;
/// Spacing of digests in a small fleet while requests run, and while none does.
const BUSY_SPACING: TimeSpan = TimeSpan::from_millis(100);
const IDLE_SPACING: TimeSpan = TimeSpan::from_millis(250);
/// Longest spacing, whatever the size of the fleet.
const LONGEST_SPACING: TimeSpan = TimeSpan::from_millis(1_000);
/// Spacing after a request has begun to wait for what the hub does not know of yet, whatever the size
/// of the fleet: such waits are as many as there are requests, not entries.
pub(super) const NEWS_SPACING: TimeSpan = TimeSpan::from_millis(15);
/// Spacing while requests of an organisation come near its limit.
const HOT_SPACING: TimeSpan = TimeSpan::from_millis(25);
/// Time beyond the longest spacing after which a side counts as silent.
const SILENT_MARGIN: TimeSpan = TimeSpan::from_millis(450);

fn scale(spacing: TimeSpan, entries: usize) -> TimeSpan {
    let entries = entries as u64;
    let scaled = TimeSpan::from_micros(spacing.as_micros() * entries / SMALL_FLEET);
    scaled.max(spacing).min(LONGEST_SPACING)
}

/// Returns the spacing of digests while requests run, or while none does.
pub(super) fn digest_spacing(entries: usize, is_busy: bool) -> TimeSpan {
    scale(if is_busy { BUSY_SPACING } else { IDLE_SPACING }, entries)
}

/// Returns the spacing of digests with news that others wait for.
pub(super) fn hot_spacing(entries: usize) -> TimeSpan {
    scale(HOT_SPACING, entries)
}

/// Returns the spacing at which work by upstream is told.
pub(super) fn work_spacing(entries: usize) -> TimeSpan {
    scale(BUSY_SPACING, entries)
}

/// Returns the time after its last digest for which the hub counts an entry as heard.
pub(super) fn heard_limit(entries: usize) -> TimeSpan {
    digest_spacing(entries, false) + SILENT_MARGIN
}

/// Returns the time without a tally after which an entry counts alone; longer than the time after
/// which the hub stops counting the entry, so that it is never counted twice for long.
pub(super) fn silent_limit(entries: usize) -> TimeSpan {
    heard_limit(entries) + TimeSpan::from_millis(100)
}
