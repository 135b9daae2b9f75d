//! Last order to each engine, by this process or by an earlier holder of the lease.

use gentian_core::{FastMap, MonoTime, TimeSpan, UpstreamId};

/// Added to the takeover delay for orders that were in transit when their holder stopped.
const COOLDOWN_MARGIN: TimeSpan = TimeSpan::from_millis(600);

#[derive(Clone, Copy, Debug)]
struct LastOrder {
    sent_at: MonoTime,
    is_own: bool,
}

/// Keeps orders of two different holders to one engine at least `takeover_delay` apart.
#[derive(Clone, Debug, Default)]
pub struct OrderCooldowns {
    takeover_delay: TimeSpan,
    orders: FastMap<UpstreamId, LastOrder>,
}

impl OrderCooldowns {
    /// Creates the cooldowns of a holder without a recent predecessor.
    pub fn new(takeover_delay: TimeSpan) -> Self {
        Self { takeover_delay, orders: FastMap::default() }
    }

    /// Adds the orders of a predecessor, each with its age at `received`, the arrival of the
    /// handover message.
    pub fn with_predecessor(
        mut self,
        orders: impl IntoIterator<Item = (UpstreamId, TimeSpan)>,
        received: MonoTime,
    ) -> Self {
        let last = |age| LastOrder { sent_at: received - age, is_own: false };
        self.orders.extend(orders.into_iter().map(|(upstream, age)| (upstream, last(age))));
        self
    }

    /// Records an order of this process.
    pub fn record_order(&mut self, upstream: &UpstreamId, now: MonoTime) {
        self.orders.insert(upstream.clone(), LastOrder { sent_at: now, is_own: true });
    }

    /// Returns whether another holder gave an order to `upstream` too recently for this one to give
    /// one.
    pub fn is_cooling_down(&self, upstream: &UpstreamId, now: MonoTime) -> bool {
        let last = self.orders.get(upstream);
        last.is_some_and(|last| !last.is_own && now.since(last.sent_at) < self.cooldown())
    }

    /// Returns the age of each order that a successor has to wait for.
    pub fn recent_orders(&self, now: MonoTime) -> Vec<(UpstreamId, TimeSpan)> {
        let ages = self.orders.iter().map(|(id, last)| (id.clone(), now.since(last.sent_at)));
        ages.filter(|(_, age)| *age < self.cooldown()).collect()
    }

    /// Removes the orders that no successor has to wait for.
    pub(super) fn remove_expired(&mut self, now: MonoTime) {
        let cooldown = self.cooldown();
        self.orders.retain(|_, last| now.since(last.sent_at) < cooldown);
    }

    fn cooldown(&self) -> TimeSpan {
        self.takeover_delay + COOLDOWN_MARGIN
    }
}
