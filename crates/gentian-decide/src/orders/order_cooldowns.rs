//! When engines were last given orders, by this process or by the holder before it.

use gentian_core::{FastMap, MonoTime, TimeSpan, UpstreamId};

/// Margin for orders that were on their way when their holder stopped.
const ORDER_MARGIN: TimeSpan = TimeSpan::from_millis(600);

#[derive(Clone, Copy, Debug)]
struct LastOrder {
    given: MonoTime,
    is_own: bool,
}

/// Keeps two holders from giving orders to one engine within the turn time.
#[derive(Clone, Debug, Default)]
pub struct OrderCooldowns {
    turn_time: TimeSpan,
    orders: FastMap<UpstreamId, LastOrder>,
}

impl OrderCooldowns {
    /// Creates the turns of a holder whose predecessors gave their last orders long ago.
    pub fn new(turn_time: TimeSpan) -> Self {
        Self { turn_time, orders: FastMap::default() }
    }

    /// Adds what a predecessor told at `told`: its orders, by the time since each was given.
    pub fn with_predecessor(
        mut self,
        orders: impl IntoIterator<Item = (UpstreamId, TimeSpan)>,
        told: MonoTime,
    ) -> Self {
        let last = |age| LastOrder { given: told - age, is_own: false };
        self.orders.extend(orders.into_iter().map(|(upstream, age)| (upstream, last(age))));
        self
    }

    /// Counts an order of this process.
    pub fn record_order(&mut self, upstream: &UpstreamId, now: MonoTime) {
        self.orders.insert(upstream.clone(), LastOrder { given: now, is_own: true });
    }

    /// Tells whether another holder gave an order to `upstream` within the turn time.
    pub fn is_cooling_down(&self, upstream: &UpstreamId, now: MonoTime) -> bool {
        let last = self.orders.get(upstream);
        last.is_some_and(|last| !last.is_own && now.since(last.given) < self.rest_time())
    }

    /// Returns the time since each order that a successor has to wait for.
    pub fn recent_orders(&self, now: MonoTime) -> Vec<(UpstreamId, TimeSpan)> {
        let ages = self.orders.iter().map(|(id, last)| (id.clone(), now.since(last.given)));
        ages.filter(|(_, age)| *age < self.rest_time()).collect()
    }

    /// Forgets orders that no successor has to wait for.
    pub(super) fn forget_past(&mut self, now: MonoTime) {
        let rest_time = self.rest_time();
        self.orders.retain(|_, last| now.since(last.given) < rest_time);
    }

    fn rest_time(&self) -> TimeSpan {
        self.turn_time + ORDER_MARGIN
    }
}
