//! One engine as the planner sees it.

use gentian_core::peer::{ObjectPhase, ObjectView, TargetId};
use gentian_core::{ByteSize, MonoTime, OrderId, TimeSpan};

use super::{EngineReport, OrderKind, OrderOutcome, PlacementOrder};

/// Time without a report after which an engine counts as gone.
const REPORT_LIMIT: TimeSpan = TimeSpan::from_millis(2_000);
/// Time after which an order without a visible effect is sent again.
const RESEND_AFTER: TimeSpan = TimeSpan::from_secs(5);

/// An order whose effect has not been seen.
#[derive(Clone, Debug)]
struct OpenOrder {
    order: PlacementOrder,
    sent: MonoTime,
    ended: Option<MonoTime>,
}

/// Reported objects of an engine, and the orders that are still open.
///
/// An order without a known end keeps its memory until its effect is seen or the engine restarts,
/// since it may still take effect.
#[derive(Clone, Debug, Default)]
pub struct EngineState {
    report: Option<EngineReport>,
    reported: MonoTime,
    orders: Vec<OpenOrder>,
}

impl EngineState {
    /// Creates an engine without a report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a report in; `asked` is when the status call was sent.
    pub fn handle_report(&mut self, report: EngineReport, asked: MonoTime) {
        if self.report.as_ref().is_some_and(|old| old.boot != report.boot) {
            self.orders.clear();
        }
        self.orders.retain(|open| !open.is_settled(&report, asked));
        self.report = Some(report);
        self.reported = asked;
    }

    /// Returns the newest report, unless it is too old.
    pub fn report(&self, now: MonoTime) -> Option<&EngineReport> {
        self.report.as_ref().filter(|_| now.since(self.reported) < REPORT_LIMIT)
    }

    /// Adds an order that is sent now.
    pub fn add_order(&mut self, order: PlacementOrder, now: MonoTime) {
        self.orders.push(OpenOrder { order, sent: now, ended: None });
    }

    /// Takes the end of an order in.
    pub fn handle_outcome(&mut self, id: OrderId, end: OrderOutcome, now: MonoTime) {
        match end {
            OrderOutcome::Refused => self.orders.retain(|open| open.order.id != id),
            OrderOutcome::Done => {
                let ended = self.orders.iter_mut().filter(|open| open.order.id == id);
                ended.for_each(|open| open.ended = Some(now));
            }
            OrderOutcome::Unknown => {}
        }
    }

    /// Returns the orders that are due to be sent again.
    pub fn drain_resends(&mut self, now: MonoTime) -> Vec<PlacementOrder> {
        let is_due = |open: &&mut OpenOrder| now.since(open.sent) >= RESEND_AFTER;
        let due = self.orders.iter_mut().filter(is_due);
        due.map(|open| {
            open.sent = now;
            open.order.decided = now;
            open.order.clone()
        })
        .collect()
    }

    /// Returns the number of loads under way, of adapters or of models, whoever ordered them.
    pub fn open_loads(&self, of_adapters: bool) -> usize {
        let objects = self.objects().into_iter();
        let loading = objects.filter(|object| object.phase == ObjectPhase::Loading);
        loading.filter(|object| object.target.adapter.is_some() == of_adapters).count()
    }

    /// Returns the memory that is neither taken nor reserved.
    pub fn free_memory(&self) -> ByteSize {
        let Some(report) = &self.report else { return ByteSize::ZERO };
        let listed: ByteSize = report.objects.iter().map(|object| object.memory).sum();
        let is_unseen = |open: &&OpenOrder| {
            let target = &open.order.target;
            open.order.kind == OrderKind::Load
                && !report.objects.iter().any(|object| object.target == *target)
        };
        let reserved: ByteSize =
            self.orders.iter().filter(is_unseen).map(|open| open.order.memory).sum();
        report.memory_total.saturating_sub(listed.max(report.memory_used) + reserved)
    }

    /// Returns the phase of `target`, open orders included.
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

    /// Returns every object with its phase, open orders included.
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
    /// Tells whether `report`, asked for at `asked`, shows the end of this order.
    fn is_settled(&self, report: &EngineReport, asked: MonoTime) -> bool {
        let object = report.objects.iter().find(|object| object.target == self.order.target);
        let is_after_end = self.ended.is_some_and(|ended| asked >= ended);
        match self.order.kind {
            OrderKind::Load => object.is_some_and(|object| object.phase == ObjectPhase::Loaded),
            OrderKind::Unload => object.is_none() && is_after_end,
        }
    }
}
