//! State of one engine as known to the planner.

use gentian_core::peer::{ObjectPhase, ObjectView, TargetId};
use gentian_core::{ByteSize, MonoTime, OrderId, TimeSpan};

use super::{EngineReport, OrderKind, OrderOutcome, PlacementOrder};

/// Time without a report after which an engine counts as lost.
const REPORT_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_000);
/// Time after which an order without a visible effect is sent again.
const RESEND_AFTER: TimeSpan = TimeSpan::from_secs(5);

/// An order whose effect is not visible in a report yet.
#[derive(Clone, Debug)]
struct OpenOrder {
    order: PlacementOrder,
    sent_at: MonoTime,
    /// When the confirmation of the engine arrived.
    confirmed_at: Option<MonoTime>,
}

/// Reported objects of an engine and its open orders.
///
/// The memory of an order with an unknown outcome stays reserved until its effect is visible in
/// a report or the engine restarts, since the order may still take effect.
#[derive(Clone, Debug, Default)]
pub struct EngineState {
    report: Option<EngineReport>,
    /// When the status call of the last report was sent.
    report_requested_at: MonoTime,
    orders: Vec<OpenOrder>,
}

impl EngineState {
    /// Creates the state of an engine that has not reported.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles a report whose status call was sent at `requested_at`.
    pub fn handle_report(&mut self, report: EngineReport, requested_at: MonoTime) {
        if self.report.as_ref().is_some_and(|old| old.boot != report.boot) {
            self.orders.clear();
        }
        self.orders.retain(|open| !open.is_visible_in(&report, requested_at));
        self.report = Some(report);
        self.report_requested_at = requested_at;
    }

    /// Returns the last report, unless its status call was sent `REPORT_TIMEOUT` ago or earlier.
    pub fn report(&self, now: MonoTime) -> Option<&EngineReport> {
        self.report.as_ref().filter(|_| now.since(self.report_requested_at) < REPORT_TIMEOUT)
    }

    /// Adds an order that is being sent now.
    pub fn add_order(&mut self, order: PlacementOrder, now: MonoTime) {
        self.orders.push(OpenOrder { order, sent_at: now, confirmed_at: None });
    }

    /// Handles the outcome of an order.
    pub fn handle_outcome(&mut self, id: OrderId, outcome: OrderOutcome, now: MonoTime) {
        match outcome {
            OrderOutcome::Refused => self.orders.retain(|open| open.order.id != id),
            OrderOutcome::Done => {
                let confirmed = self.orders.iter_mut().filter(|open| open.order.id == id);
                confirmed.for_each(|open| open.confirmed_at = Some(now));
            }
            OrderOutcome::Unknown => {}
        }
    }

    /// Returns the orders that are due to be sent again, and counts them as sent now.
    pub fn start_resends(&mut self, now: MonoTime) -> Vec<PlacementOrder> {
        let is_due = |open: &&mut OpenOrder| now.since(open.sent_at) >= RESEND_AFTER;
        let due = self.orders.iter_mut().filter(is_due);
        due.map(|open| {
            open.sent_at = now;
            open.order.decided_at = now;
            open.order.clone()
        })
        .collect()
    }

    /// Returns the number of loads, of adapters or of models, that are in progress or ordered,
    /// whoever ordered them.
    pub fn running_loads(&self, of_adapters: bool) -> usize {
        let objects = self.objects().into_iter();
        let loading = objects.filter(|object| object.phase == ObjectPhase::Loading);
        loading.filter(|object| object.target.adapter.is_some() == of_adapters).count()
    }

    /// Returns the memory that is neither in use nor reserved by open orders.
    pub fn free_memory(&self) -> ByteSize {
        let Some(report) = &self.report else { return ByteSize::ZERO };
        let reported_memory: ByteSize = report.objects.iter().map(|object| object.memory).sum();
        let is_unreported = |open: &&OpenOrder| {
            let target = &open.order.target;
            open.order.kind == OrderKind::Load
                && !report.objects.iter().any(|object| object.target == *target)
        };
        let reserved: ByteSize =
            self.orders.iter().filter(is_unreported).map(|open| open.order.memory).sum();
        report.memory_total.saturating_sub(reported_memory.max(report.memory_used) + reserved)
    }

    /// Returns the phase of `target`, taking open orders into account.
    pub fn phase(&self, target: &TargetId) -> Option<ObjectPhase> {
        let open = self.orders.iter().find(|open| open.order.target == *target);
        match open.map(|open| open.order.kind) {
            Some(OrderKind::Load) => return Some(ObjectPhase::Loading),
            Some(OrderKind::Unload) => return Some(ObjectPhase::Unloading),
            None => {}
        }
        let report = self.report.as_ref()?;
        report.objects.iter().find(|object| object.target == *target).map(|object| object.phase)
    }

    /// Returns all objects with their phases, taking open orders into account.
    pub fn objects(&self) -> Vec<ObjectView> {
        let reported = self.report.iter().flat_map(|report| &report.objects);
        let ordered = self.orders.iter().map(|open| &open.order.target);
        let mut targets: Vec<&TargetId> = reported.map(|o| &o.target).chain(ordered).collect();
        targets.sort();
        targets.dedup();
        let view = |target: &TargetId| {
            Some(ObjectView { target: target.clone(), phase: self.phase(target)? })
        };
        targets.into_iter().filter_map(view).collect()
    }
}

impl OpenOrder {
    /// Returns whether `report`, requested at `requested_at`, shows the effect of this order.
    fn is_visible_in(&self, report: &EngineReport, requested_at: MonoTime) -> bool {
        let object = report.objects.iter().find(|object| object.target == self.order.target);
        let is_after_confirmation =
            self.confirmed_at.is_some_and(|confirmed_at| requested_at >= confirmed_at);
        match self.order.kind {
            OrderKind::Load => object.is_some_and(|object| object.phase == ObjectPhase::Loaded),
            OrderKind::Unload => object.is_none() && is_after_confirmation,
        }
    }
}
