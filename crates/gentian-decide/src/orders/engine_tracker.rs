//! Tracks the state of one engine and its open order.

use std::net::SocketAddr;

use gentian_config::serving::EngineSpec;
use gentian_core::peer::TargetId;
use gentian_core::{
    AdapterId, ByteSize, FastSet, FenceNumber, ModelId, MonoTime, RequestRate, TimeSpan, UpstreamId,
};

use super::confirmed_state::ConfirmedState;
use super::{EngineOrder, EngineStateReport, OrderAction, OrderReply};

/// Time after the known state was discarded before a report is fetched, because reports lag behind
/// the state. It is also the expected time until an engine with an unknown state is free.
const REPORT_LAG: TimeSpan = TimeSpan::from_millis(250);
/// First interval between two report calls while the engine executes an order.
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Requests that an engine with a limit accepts in the longest interval between two report calls,
/// which it counts as requests.
const REQUESTS_PER_REPORT: usize = 2;
/// Interval between two report calls to an engine that does not respond.
const UNREACHABLE_REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Expected duration of an unload.
pub(super) const UNLOAD_TIME: TimeSpan = TimeSpan::from_millis(150);
/// Time from the acceptance of an adapter until requests can use it.
const ADAPTER_ACTIVATION_TIME: TimeSpan = TimeSpan::from_millis(25);
/// Expected time until an engine is free whose open order it has not accepted yet.
const PENDING_ORDER_TIME: TimeSpan = TimeSpan::from_millis(1_500);
/// Maximum number of retries of an order without a reply before a report is fetched.
const RETRY_LIMIT: u32 = 3;
/// Interval between two retries of a load that waits for the preceding unload.
const BUSY_RETRY_INTERVAL: TimeSpan = TimeSpan::from_millis(60);
/// Maximum number of retries of a load that waits for the preceding unload.
const BUSY_RETRY_LIMIT: u32 = 12;

#[derive(Clone, Debug)]
struct OpenOrder {
    order: EngineOrder,
    /// Target to load after the acceptance of an unload.
    follow_up: Option<TargetId>,
    /// Whether the engine has accepted the order.
    is_accepted: bool,
    /// Retries without a reply and of a load that waits for an unload, together; `RETRY_LIMIT` and
    /// `BUSY_RETRY_LIMIT` both apply to this sum.
    retries: u32,
    next_send: Option<MonoTime>,
    /// Time of the acceptance, and expected end. Before the acceptance, both are the time at which
    /// the order was opened.
    accepted_at: MonoTime,
    expected_end: MonoTime,
}

/// Known state and open order of one engine. The engine counts as free only while its state is
/// confirmed. Each order carries the number of orders accepted before it, so it cannot take effect
/// on a state other than the one it was planned for.
#[derive(Clone, Debug)]
pub struct EngineTracker {
    upstream: UpstreamId,
    address: SocketAddr,
    incarnation: u64,
    confirmed: Option<ConfirmedState>,
    open: Option<OpenOrder>,
    next_report: MonoTime,
    report_interval: TimeSpan,
    max_report_interval: TimeSpan,
    is_report_pending: bool,
    activating: Vec<(TargetId, MonoTime)>,
}

impl EngineTracker {
    /// Creates the tracker of an engine whose state is not known yet.
    pub fn new(upstream: UpstreamId, address: SocketAddr, incarnation: u64, now: MonoTime) -> Self {
        Self {
            upstream,
            address,
            incarnation,
            confirmed: None,
            open: None,
            next_report: now,
            report_interval: REPORT_INTERVAL,
            max_report_interval: REPORT_INTERVAL,
            is_report_pending: false,
            activating: Vec::new(),
        }
    }

    /// Sets the limit of requests that the engine names.
    pub(super) fn update_limit(&mut self, limit: Option<RequestRate>) {
        let interval = limit.map_or(TimeSpan::ZERO, |limit| limit.time_for(REQUESTS_PER_REPORT));
        self.max_report_interval = interval.max(REPORT_INTERVAL);
    }

    /// Returns the incarnation of the engine that this tracker is for.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether a new order can be planned: the state is confirmed and no order is open.
    pub fn is_free(&self) -> bool {
        self.confirmed.is_some() && self.open.is_none()
    }

    /// Returns the expected time until a new order can be planned.
    pub(super) fn time_until_free(&self, now: MonoTime) -> TimeSpan {
        match &self.open {
            Some(open) if open.is_accepted => open.expected_end.since(now).max(REPORT_INTERVAL),
            Some(_) => PENDING_ORDER_TIME,
            None if self.confirmed.is_none() => REPORT_LAG,
            None => TimeSpan::ZERO,
        }
    }

    /// Returns the state, if it is confirmed.
    pub(super) fn confirmed(&self) -> Option<&ConfirmedState> {
        self.confirmed.as_ref()
    }

    /// Returns the model that the open order loads or unloads.
    pub fn changing_model(&self) -> Option<&ModelId> {
        let open = self.open.as_ref()?;
        open.order.target.adapter.is_none().then_some(&open.order.target.model)
    }

    /// Returns the target that the open order loads, or the one to be loaded after its unload.
    pub fn loading_target(&self) -> Option<&TargetId> {
        let open = self.open.as_ref()?;
        match open.order.action {
            OrderAction::Load => Some(&open.order.target),
            OrderAction::Unload => open.follow_up.as_ref(),
        }
    }

    /// Returns the models and adapters that requests can use, in sorted order.
    pub fn usable_targets(&self, now: MonoTime) -> Vec<TargetId> {
        let Some(confirmed) = &self.confirmed else { return Vec::new() };
        let models = confirmed.loaded.iter().flat_map(|(model, adapters)| {
            let base = TargetId::new(model.clone());
            let adapter_target =
                |adapter: &AdapterId| base.clone().with_adapter(Some(adapter.clone()));
            let adapters: Vec<TargetId> = adapters.iter().map(adapter_target).collect();
            adapters.into_iter().chain([base.clone()])
        });
        let is_activating = |target: &TargetId| {
            self.activating.iter().any(|(other, time)| other == target && *time > now)
        };
        let mut usable_targets: Vec<TargetId> =
            models.filter(|target| !is_activating(target)).collect();
        usable_targets.sort();
        usable_targets
    }

    /// Returns whether the engine has loaded `target`, or has accepted the load of the adapter.
    pub(super) fn has_target(&self, target: &TargetId) -> bool {
        let adapters =
            self.confirmed.as_ref().and_then(|confirmed| confirmed.loaded.get(&target.model));
        adapters.is_some_and(|adapters| {
            target.adapter.as_ref().is_none_or(|adapter| adapters.contains(adapter))
        })
    }

    /// Returns when the next call is due or an accepted adapter becomes usable, whichever is first.
    pub fn due(&self, now: MonoTime) -> Option<MonoTime> {
        let activated =
            self.activating.iter().map(|(_, time)| *time).filter(|time| *time > now).min();
        let send = self.open.as_ref().and_then(|open| open.next_send);
        let report = self.needs_report().then_some(self.next_report);
        [activated, send, report].into_iter().flatten().min()
    }

    /// Returns the memory that is free in the confirmed state.
    pub(super) fn free_memory(&self, engine: &EngineSpec) -> ByteSize {
        let Some(confirmed) = &self.confirmed else { return ByteSize::ZERO };
        let sizes =
            confirmed.loaded.iter().map(|(model, adapters)| match engine.models.get(model) {
                Some(spec) => {
                    let adapters = spec.adapter_memory.get() * adapters.len() as u64;
                    spec.memory + ByteSize::new(adapters)
                }
                // A model that is not in the catalogue may have any size, so it counts as filling
                // the engine.
                None => engine.memory,
            });
        engine.memory.saturating_sub(sizes.sum())
    }

    /// Returns the number of adapters in the confirmed state.
    pub(super) fn adapter_count(&self) -> usize {
        self.confirmed
            .as_ref()
            .map_or(0, |confirmed| confirmed.loaded.values().map(FastSet::len).sum())
    }

    /// Opens an order; after the acceptance of an unload, `follow_up` is loaded.
    pub(super) fn start_order(
        &mut self,
        action: OrderAction,
        target: TargetId,
        follow_up: Option<TargetId>,
        fence: FenceNumber,
        now: MonoTime,
    ) -> Option<EngineOrder> {
        let expected = self.confirmed.as_ref()?.sequence;
        let (upstream, address) = (self.upstream.clone(), self.address);
        let order = EngineOrder { upstream, address, action, target, expected, fence };
        self.open = Some(OpenOrder {
            order: order.clone(),
            follow_up,
            is_accepted: false,
            retries: 0,
            next_send: None,
            accepted_at: now,
            expected_end: now,
        });
        Some(order)
    }

    /// Returns the order to send again with this fencing number, if a retry is due.
    pub(super) fn next_retry(&mut self, fence: FenceNumber, now: MonoTime) -> Option<EngineOrder> {
        let open = self.open.as_mut()?;
        if open.next_send.is_none_or(|due| due > now) {
            return None;
        }
        open.next_send = None;
        open.order.fence = fence;
        Some(open.order.clone())
    }

    /// Returns whether an order is open that the engine has not accepted yet.
    pub(super) fn is_order_pending(&self) -> bool {
        self.open.as_ref().is_some_and(|open| !open.is_accepted)
    }

    /// Returns whether a report call is running.
    pub(super) fn is_report_pending(&self) -> bool {
        self.is_report_pending
    }

    /// Returns whether a report is due; if it is, the report call counts as running from now on.
    pub(super) fn start_due_report(&mut self, now: MonoTime) -> bool {
        if !self.needs_report() || now < self.next_report {
            return false;
        }
        self.is_report_pending = true;
        true
    }

    /// Handles the reply to the open order; `load_time` is the expected duration of a load of the
    /// model.
    pub(super) fn handle_reply(
        &mut self,
        order: &EngineOrder,
        reply: OrderReply,
        load_time: TimeSpan,
        now: MonoTime,
    ) {
        let Some(mut open) = self.open.take_if(|open| open.order == *order) else { return };
        match reply {
            OrderReply::Accepted | OrderReply::Done => self.apply_accepted(open, load_time, now),
            OrderReply::Unknown if open.retries < RETRY_LIMIT => {
                open.retries += 1;
                open.next_send = Some(now);
                self.open = Some(open);
            }
            OrderReply::Conflict if open.follow_up.is_none() && self.may_retry_conflict(&open) => {
                open.retries += 1;
                open.next_send = Some(now + BUSY_RETRY_INTERVAL);
                self.open = Some(open);
            }
            _ => self.forget_state(now),
        }
    }

    /// Handles a report, or `None` after a failed report call. Returns the order that the report
    /// shows as done, with the time since its acceptance.
    pub(super) fn handle_report(
        &mut self,
        report: Option<EngineStateReport>,
        now: MonoTime,
    ) -> Option<(EngineOrder, TimeSpan)> {
        self.is_report_pending = false;
        let Some(report) = report else {
            self.next_report = now + self.max_report_interval.max(UNREACHABLE_REPORT_INTERVAL);
            return None;
        };
        let is_old =
            self.confirmed.as_ref().is_some_and(|confirmed| report.sequence < confirmed.sequence);
        if is_old || report.is_busy {
            self.next_report = now + self.report_interval;
            self.report_interval = (self.report_interval * 2).min(self.max_report_interval);
            return None;
        }
        if self.open.as_ref().is_some_and(|open| !open.is_accepted) {
            return None;
        }
        self.confirmed = Some(ConfirmedState::new(report));
        self.open.take().map(|open| (open.order, now.since(open.accepted_at)))
    }

    fn apply_accepted(&mut self, mut open: OpenOrder, load_time: TimeSpan, now: MonoTime) {
        let Some(confirmed) = &mut self.confirmed else { return };
        confirmed.sequence = confirmed.sequence.next();
        let target = open.order.target.clone();
        if let Some(adapter) = &target.adapter {
            let adapters = confirmed.loaded.entry(target.model.clone()).or_default();
            match open.order.action {
                OrderAction::Load => {
                    adapters.insert(adapter.clone());
                    self.activating.retain(|(_, time)| *time > now);
                    self.activating.push((target, now + ADAPTER_ACTIVATION_TIME));
                }
                OrderAction::Unload => {
                    adapters.remove(adapter);
                }
            }
            self.open_follow_up(open, now);
            return;
        }
        if open.order.action == OrderAction::Unload {
            confirmed.loaded.remove(&target.model);
            if open.follow_up.is_some() {
                self.open_follow_up(open, now);
                return;
            }
        }
        open.is_accepted = true;
        open.accepted_at = now;
        // An unload takes no longer for a model whose weights come from the weight store.
        open.expected_end = now
            + match open.order.action {
                OrderAction::Load => load_time,
                OrderAction::Unload => UNLOAD_TIME,
            };
        self.next_report = open.expected_end;
        self.report_interval = REPORT_INTERVAL;
        self.open = Some(open);
    }

    /// Opens the load for which the unload has freed memory or an adapter slot.
    fn open_follow_up(&mut self, open: OpenOrder, now: MonoTime) {
        let (Some(follow_up), Some(confirmed)) = (open.follow_up, &self.confirmed) else { return };
        let order = EngineOrder {
            action: OrderAction::Load,
            target: follow_up,
            expected: confirmed.sequence,
            ..open.order
        };
        self.open = Some(OpenOrder {
            order,
            follow_up: None,
            is_accepted: false,
            retries: 0,
            next_send: Some(now),
            accepted_at: now,
            expected_end: now,
        });
    }

    /// Returns whether an order that conflicts may be retried: any load of a model, since an unload
    /// before it may still be running.
    fn may_retry_conflict(&self, open: &OpenOrder) -> bool {
        open.order.action == OrderAction::Load
            && open.order.target.adapter.is_none()
            && open.retries < BUSY_RETRY_LIMIT
    }

    fn forget_state(&mut self, now: MonoTime) {
        self.confirmed = None;
        self.open = None;
        self.next_report = now + REPORT_LAG;
        self.report_interval = REPORT_INTERVAL;
    }

    fn needs_report(&self) -> bool {
        let is_running = self.open.as_ref().is_some_and(|open| open.is_accepted);
        !self.is_report_pending && (is_running || self.confirmed.is_none())
    }
}
