//! Copies of the hub's own counts at other entries.
//!
//! Load pattern: a small fleet in which the hub also serves a large part of the requests, and ends in
//! the middle of a window.

use gentian_core::peer::{UsageCopy, WindowCounts};
use gentian_core::{FastMap, InstanceId, MonoTime, OrganisationId, TimeSpan, WindowNumber};

/// Number of hubs whose copies are kept; further ones are ignored until a window of them is fixed.
const MAX_HUBS: usize = 4;
/// Number of times that a new hub gets the copies, since datagrams may be lost.
const SEND_COUNT: u32 = 3;
const SEND_INTERVAL: TimeSpan = TimeSpan::from_millis(300);

/// Keeps what hubs counted themselves, and tells their successors.
#[derive(Debug, Default)]
pub struct UsageBackup {
    /// Totals of at most [`MAX_HUBS`] hubs, of windows that are not fixed, each with at most the
    /// organisations of the configuration.
    copies: FastMap<InstanceId, FastMap<(WindowNumber, OrganisationId), u64>>,
    sends_left: u32,
    next_send: MonoTime,
}

impl UsageBackup {
    /// Creates an empty backup.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores totals of a hub.
    pub fn store(&mut self, copy: &UsageCopy) {
        if !self.copies.contains_key(&copy.instance) && self.copies.len() >= MAX_HUBS {
            return;
        }
        let totals = self.copies.entry(copy.instance).or_default();
        for window in &copy.windows {
            for (organisation, total) in &window.counts {
                let known = totals.entry((window.window, organisation.clone())).or_default();
                *known = (*known).max(*total);
            }
        }
    }

    /// Forgets the windows before `window`, which are fixed.
    pub fn drop_before(&mut self, window: WindowNumber) {
        for totals in self.copies.values_mut() {
            totals.retain(|(counted, _), _| *counted >= window);
        }
        self.copies.retain(|_, totals| !totals.is_empty());
    }

    /// Records that there is a new hub, which gets the copies.
    pub fn record_hub(&mut self, now: MonoTime) {
        self.sends_left = SEND_COUNT;
        self.next_send = now;
    }

    /// Returns the copies to send to the hub now.
    pub fn next_copies(&mut self, now: MonoTime) -> Vec<UsageCopy> {
        if self.sends_left == 0 || now < self.next_send {
            return Vec::new();
        }
        self.sends_left -= 1;
        self.next_send = now + SEND_INTERVAL;
        self.copies.iter().map(|(instance, totals)| make_copy(*instance, totals)).collect()
    }
}

fn make_copy(
    instance: InstanceId,
    totals: &FastMap<(WindowNumber, OrganisationId), u64>,
) -> UsageCopy {
    let mut windows: FastMap<WindowNumber, Vec<(OrganisationId, u64)>> = FastMap::default();
    for ((window, organisation), total) in totals {
        windows.entry(*window).or_default().push((organisation.clone(), *total));
    }
    let windows = windows.into_iter().map(|(window, counts)| WindowCounts { window, counts });
    UsageCopy { instance, windows: windows.collect() }
}
