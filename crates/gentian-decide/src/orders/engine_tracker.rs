//! Tracks the state of one engine and its open order.

use std::collections::VecDeque;
use std::net::SocketAddr;

use gentian_config::serving::EngineSpec;
use gentian_core::peer::TargetId;
use gentian_core::{
    AdapterId, ByteSize, FastSet, FenceNumber, ModelId, MonoTime, RequestRate, TimeSpan, UpstreamId,
};

use super::confirmed_state::ConfirmedState;
use super::open_order::OpenOrder;
use super::{EngineOrder, EngineStateReport, FollowUpDelay, OrderAction, OrderReply};

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
/// Time for which the models of a discarded state count as loaded: longer than it takes to read the
/// state again, so that they are not loaded elsewhere meanwhile.
const DISCARDED_RETENTION: TimeSpan = TimeSpan::from_secs(1);
/// Maximum number of retries of an order without a reply before a report is fetched.
const RETRY_LIMIT: u32 = 3;
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
    /// Models of the state that was discarded last, and when that was.
    discarded: Option<(Vec<ModelId>, MonoTime)>,
    /// Since when the engine executes an order that this process did not give or no longer knows.
    busy_unknown_since: Option<MonoTime>,
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
            discarded: None,
            busy_unknown_since: None,
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
            // An order that is overdue is expected to take as long again.
            Some(open) if open.is_accepted => {
                open.expected_end.since(now).max(now.since(open.expected_end)).max(REPORT_INTERVAL)
            }
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
        self.open.as_ref()?.loading_target()
    }

    /// Returns the models that the engine has loaded and that no order unloads. While its state is
    /// read again, those of the discarded state count.
    pub(super) fn kept_models(&self, now: MonoTime) -> Vec<&ModelId> {
        let Some(confirmed) = &self.confirmed else {
            let recent =
                self.discarded.iter().filter(|(_, time)| now.since(*time) < DISCARDED_RETENTION);
            return recent.flat_map(|(models, _)| models).collect();
        };
        let is_unloaded =
            |model: &ModelId| self.open.as_ref().is_some_and(|open| open.unloads(model));
        confirmed.loaded.keys().filter(|model| !is_unloaded(model)).collect()
    }

    /// Returns whether the engine executes an order that this process did not give or no longer knows,
    /// and has not done so for longer than `limit`. It may be a load from the weight store.
    pub(super) fn is_busy_unknown(&self, limit: TimeSpan, now: MonoTime) -> bool {
        self.busy_unknown_since.is_some_and(|since| now.since(since) < limit)
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

    /// Returns the memory that is free in the confirmed state, less what the open order loads.
    pub(super) fn free_memory(&self, engine: &EngineSpec) -> ByteSize {
        let Some(confirmed) = &self.confirmed else { return ByteSize::ZERO };
        let size = |model: &ModelId, adapters: usize| match engine.models.get(model) {
            Some(spec) => spec.memory + ByteSize::new(spec.adapter_memory.get() * adapters as u64),
            // A model that is not in the catalogue may have any size, so it counts as filling
            // the engine.
            None => engine.memory,
        };
        let resident = confirmed.loaded.iter().map(|(model, adapters)| size(model, adapters.len()));
        let loading = self.loading_target().filter(|target| target.adapter.is_none());
        let loading = loading.map(|target| size(&target.model, 0));
        engine.memory.saturating_sub(resident.chain(loading).sum())
    }

    /// Returns the number of adapters in the confirmed state.
    pub(super) fn adapter_count(&self) -> usize {
        self.confirmed
            .as_ref()
            .map_or(0, |confirmed| confirmed.loaded.values().map(FastSet::len).sum())
    }

    /// Opens the first of `steps`; the others follow when the one before is accepted.
    pub(super) fn start_order(
        &mut self,
        steps: impl IntoIterator<Item = (OrderAction, TargetId)>,
        fence: FenceNumber,
        now: MonoTime,
    ) -> Option<EngineOrder> {
        let mut next_steps: VecDeque<_> = steps.into_iter().collect();
        let expected = self.confirmed.as_ref()?.sequence;
        let (action, target) = next_steps.pop_front()?;
        let (upstream, address) = (self.upstream.clone(), self.address);
        let order = EngineOrder { upstream, address, action, target, expected, fence };
        self.open = Some(OpenOrder::new(order.clone(), next_steps, now));
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
        follow_up_delay: &mut FollowUpDelay,
        now: MonoTime,
    ) {
        let Some(mut open) = self.open.take_if(|open| open.order == *order) else { return };
        match reply {
            OrderReply::Accepted | OrderReply::Done => {
                if let Some(unloaded) = open.unload_accepted_at {
                    follow_up_delay.record(now.since(unloaded), open.retries);
                }
                self.apply_accepted(open, load_time, follow_up_delay.delay(), now);
            }
            OrderReply::Unknown if open.retries < RETRY_LIMIT => {
                open.retries += 1;
                open.next_send = Some(now);
                self.open = Some(open);
            }
            OrderReply::Conflict if open.may_retry_conflict() => {
                open.retry_after_conflict(now);
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
        let is_unknown = report.is_busy && self.confirmed.is_none();
        self.busy_unknown_since = is_unknown.then(|| self.busy_unknown_since.unwrap_or(now));
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

    fn apply_accepted(
        &mut self,
        mut open: OpenOrder,
        load_time: TimeSpan,
        follow_up_delay: TimeSpan,
        now: MonoTime,
    ) {
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
            // An adapter is unloaded when the order is accepted.
            self.open_next_step(open, None, now);
            return;
        }
        if open.order.action == OrderAction::Unload {
            confirmed.loaded.remove(&target.model);
            if !open.next_steps.is_empty() {
                self.open_next_step(open, Some(follow_up_delay), now);
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

    /// Opens the order that follows an accepted one, to be sent after the `delay` that the unload of a
    /// model is expected to take.
    fn open_next_step(&mut self, mut open: OpenOrder, delay: Option<TimeSpan>, now: MonoTime) {
        let Some(confirmed) = &self.confirmed else { return };
        let Some((action, target)) = open.next_steps.pop_front() else { return };
        let order = EngineOrder { action, target, expected: confirmed.sequence, ..open.order };
        let next = OpenOrder::new(order, open.next_steps, now);
        self.open = Some(next.with_delay(delay, now));
    }

    fn forget_state(&mut self, now: MonoTime) {
        let confirmed = self.confirmed.take();
        self.discarded = confirmed.map(|it| (it.loaded.into_keys().collect(), now));
        self.open = None;
        self.next_report = now + REPORT_LAG;
        self.report_interval = REPORT_INTERVAL;
    }

    fn needs_report(&self) -> bool {
        let is_running = self.open.as_ref().is_some_and(|open| open.is_accepted);
        !self.is_report_pending && (is_running || self.confirmed.is_none())
    }
}
