//! Orders to one engine, one after the other.

use std::net::SocketAddr;

use gentian_config::serving::EngineSpec;
use gentian_core::peer::TargetId;
use gentian_core::{
    AdapterId, ByteSize, FastSet, FenceNumber, ModelId, MonoTime, TimeSpan, UpstreamId,
};

use super::known_state::KnownState;
use super::{EngineOrder, EngineStateReport, OrderAction, OrderReply};

/// Time after the last order before a report that is to tell its effect is asked for: reports lag.
const REPORT_LAG: TimeSpan = TimeSpan::from_millis(250);
/// Time between two reports while an order is under way.
const REPORT_EVERY: TimeSpan = TimeSpan::from_millis(100);
/// Time between two questions to an engine that does not answer.
const SILENT_EVERY: TimeSpan = TimeSpan::from_millis(500);
/// Time after which an accepted adapter can be used.
const ADAPTER_TIME: TimeSpan = TimeSpan::from_millis(25);
/// Time that an order without an answer is expected to take.
const UNANSWERED_TIME: TimeSpan = TimeSpan::from_millis(1_500);
/// Repeats of an order without an answer before a report is asked for.
const REPEAT_LIMIT: u32 = 3;
/// Time between two repeats of a load that waits for the unload before it.
const BUSY_REPEAT: TimeSpan = TimeSpan::from_millis(60);
/// Repeats of a load that waits for the unload before it.
const BUSY_REPEAT_LIMIT: u32 = 12;

#[derive(Clone, Debug)]
struct OpenOrder {
    order: EngineOrder,
    then: Option<TargetId>,
    is_answered: bool,
    repeats: u32,
    next_send: Option<MonoTime>,
    accepted: MonoTime,
    expected_end: MonoTime,
}

/// Account of one engine. The planner sees it as free only while its state is certain: each order
/// names the number of orders before it, so none takes effect on another state than it was planned
/// for.
#[derive(Clone, Debug)]
pub struct EngineTracker {
    upstream: UpstreamId,
    address: SocketAddr,
    born: u64,
    known: Option<KnownState>,
    open: Option<OpenOrder>,
    next_report: MonoTime,
    is_asked: bool,
    settling: Vec<(TargetId, MonoTime)>,
}

impl EngineTracker {
    /// Creates the lane of an engine of which nothing is certain yet.
    pub fn new(upstream: UpstreamId, address: SocketAddr, born: u64, now: MonoTime) -> Self {
        Self {
            upstream,
            address,
            born,
            known: None,
            open: None,
            next_report: now,
            is_asked: false,
            settling: Vec::new(),
        }
    }

    /// Returns the start of the engine that this lane is about.
    pub fn born(&self) -> u64 {
        self.born
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether an order can be planned now.
    pub fn is_free(&self) -> bool {
        self.known.is_some() && self.open.is_none()
    }

    /// Returns the time until an order can be planned, as far as it is known.
    pub(super) fn time_to_free(&self, now: MonoTime) -> TimeSpan {
        match &self.open {
            Some(open) if open.is_answered => open.expected_end.since(now).max(REPORT_EVERY),
            Some(_) => UNANSWERED_TIME,
            None if self.known.is_none() => REPORT_LAG,
            None => TimeSpan::ZERO,
        }
    }

    /// Returns the certain state.
    pub(super) fn known(&self) -> Option<&KnownState> {
        self.known.as_ref()
    }

    /// Returns the model that an open order changes.
    pub fn changing(&self) -> Option<&ModelId> {
        let open = self.open.as_ref()?;
        open.order.target.adapter.is_none().then_some(&open.order.target.model)
    }

    /// Returns the target that an open order loads, now or after an unload.
    pub fn loading(&self) -> Option<&TargetId> {
        let open = self.open.as_ref()?;
        match open.order.action {
            OrderAction::Load => Some(&open.order.target),
            OrderAction::Unload => open.then.as_ref(),
        }
    }

    /// Lists what requests can use.
    pub fn usable(&self, now: MonoTime) -> Vec<TargetId> {
        let Some(known) = &self.known else { return Vec::new() };
        let models = known.loaded.iter().flat_map(|(model, adapters)| {
            let base = TargetId::new(model.clone());
            let with = |adapter: &AdapterId| base.clone().with_adapter(Some(adapter.clone()));
            let adapters: Vec<TargetId> = adapters.iter().map(with).collect();
            adapters.into_iter().chain([base.clone()])
        });
        let is_settling = |target: &TargetId| {
            self.settling.iter().any(|(other, time)| other == target && *time > now)
        };
        let mut usable: Vec<TargetId> = models.filter(|target| !is_settling(target)).collect();
        usable.sort();
        usable
    }

    /// Tells whether the engine holds `target`, or has accepted it.
    pub(super) fn has(&self, target: &TargetId) -> bool {
        let adapters = self.known.as_ref().and_then(|known| known.loaded.get(&target.model));
        adapters.is_some_and(|adapters| {
            target.adapter.as_ref().is_none_or(|adapter| adapters.contains(adapter))
        })
    }

    /// Returns when an adapter that was just accepted can be used, or the next call is due.
    pub fn due(&self, now: MonoTime) -> Option<MonoTime> {
        let settled = self.settling.iter().map(|(_, time)| *time).filter(|time| *time > now).min();
        let send = self.open.as_ref().and_then(|open| open.next_send);
        let report = self.needs_report().then_some(self.next_report);
        [settled, send, report].into_iter().flatten().min()
    }

    /// Memory that is free in the certain state.
    pub(super) fn free_memory(&self, engine: &EngineSpec) -> ByteSize {
        let Some(known) = &self.known else { return ByteSize::ZERO };
        let sizes = known.loaded.iter().map(|(model, adapters)| match engine.models.get(model) {
            Some(spec) => {
                let adapters = spec.adapter_memory.get() * adapters.len() as u64;
                spec.memory + ByteSize::new(adapters)
            }
            // A model that is not in the catalogue could have any size.
            None => engine.memory,
        });
        engine.memory.saturating_sub(sizes.sum())
    }

    /// Number of adapters in the certain state.
    pub(super) fn adapter_count(&self) -> usize {
        self.known.as_ref().map_or(0, |known| known.loaded.values().map(FastSet::len).sum())
    }

    /// Opens an order; `then` is loaded once an unload is accepted.
    pub(super) fn open(
        &mut self,
        action: OrderAction,
        target: TargetId,
        then: Option<TargetId>,
        fence: FenceNumber,
        now: MonoTime,
    ) -> Option<EngineOrder> {
        let expected = self.known.as_ref()?.sequence;
        let (upstream, address) = (self.upstream.clone(), self.address);
        let order = EngineOrder { upstream, address, action, target, expected, fence };
        self.open = Some(OpenOrder {
            order: order.clone(),
            then,
            is_answered: false,
            repeats: 0,
            next_send: None,
            accepted: now,
            expected_end: now,
        });
        Some(order)
    }

    /// Returns the order to send again, if one is due under the present fencing number.
    pub(super) fn take_repeat(&mut self, fence: FenceNumber, now: MonoTime) -> Option<EngineOrder> {
        let open = self.open.as_mut()?;
        if open.next_send.is_none_or(|due| due > now) {
            return None;
        }
        open.next_send = None;
        open.order.fence = fence;
        Some(open.order.clone())
    }

    /// Tells whether an order was given that is not answered yet.
    pub(super) fn is_unanswered(&self) -> bool {
        self.open.as_ref().is_some_and(|open| !open.is_answered)
    }

    /// Tells whether a report was asked for and is not there yet.
    pub(super) fn is_asked(&self) -> bool {
        self.is_asked
    }

    /// Tells whether a report is due, and counts it as asked for.
    pub(super) fn take_report_due(&mut self, now: MonoTime) -> bool {
        if !self.needs_report() || now < self.next_report {
            return false;
        }
        self.is_asked = true;
        true
    }

    /// Takes the answer to the open order in; `load_time` is how long an accepted load takes.
    pub(super) fn handle_reply(
        &mut self,
        order: &EngineOrder,
        reply: OrderReply,
        load_time: TimeSpan,
        now: MonoTime,
    ) {
        let Some(mut open) = self.open.take_if(|open| open.order == *order) else { return };
        match reply {
            OrderReply::Accepted | OrderReply::Done => self.accept(open, load_time, now),
            OrderReply::Unknown if open.repeats < REPEAT_LIMIT => {
                open.repeats += 1;
                open.next_send = Some(now);
                self.open = Some(open);
            }
            OrderReply::Conflict if open.then.is_none() && self.is_behind_unload(&open) => {
                open.repeats += 1;
                open.next_send = Some(now + BUSY_REPEAT);
                self.open = Some(open);
            }
            _ => self.lose_state(now),
        }
    }

    /// Takes a report in, or the failure to get one; returns the order that it shows as done, with
    /// the time since it was accepted.
    pub(super) fn handle_report(
        &mut self,
        report: Option<EngineStateReport>,
        now: MonoTime,
    ) -> Option<(EngineOrder, TimeSpan)> {
        self.is_asked = false;
        let Some(report) = report else {
            self.next_report = now + SILENT_EVERY;
            return None;
        };
        let is_old = self.known.as_ref().is_some_and(|known| report.sequence < known.sequence);
        if is_old || report.is_busy {
            self.next_report = now + REPORT_EVERY;
            return None;
        }
        if self.open.as_ref().is_some_and(|open| !open.is_answered) {
            return None;
        }
        self.known = Some(KnownState::new(report));
        self.open.take().map(|open| (open.order, now.since(open.accepted)))
    }

    fn accept(&mut self, mut open: OpenOrder, load_time: TimeSpan, now: MonoTime) {
        let Some(known) = &mut self.known else { return };
        known.sequence = known.sequence.next();
        let target = open.order.target.clone();
        if let Some(adapter) = &target.adapter {
            let adapters = known.loaded.entry(target.model.clone()).or_default();
            match open.order.action {
                OrderAction::Load => {
                    adapters.insert(adapter.clone());
                    self.settling.retain(|(_, time)| *time > now);
                    self.settling.push((target, now + ADAPTER_TIME));
                }
                OrderAction::Unload => {
                    adapters.remove(adapter);
                }
            }
            self.follow_up(open, now);
            return;
        }
        if open.order.action == OrderAction::Unload {
            known.loaded.remove(&target.model);
            if open.then.is_some() {
                self.follow_up(open, now);
                return;
            }
        }
        open.is_answered = true;
        open.accepted = now;
        open.expected_end = now + load_time;
        self.next_report = open.expected_end;
        self.open = Some(open);
    }

    /// Sends the load that an unload made room for.
    fn follow_up(&mut self, open: OpenOrder, now: MonoTime) {
        let (Some(then), Some(known)) = (open.then, &self.known) else { return };
        let order = EngineOrder {
            action: OrderAction::Load,
            target: then,
            expected: known.sequence,
            ..open.order
        };
        self.open = Some(OpenOrder {
            order,
            then: None,
            is_answered: false,
            repeats: 0,
            next_send: Some(now),
            accepted: now,
            expected_end: now,
        });
    }

    fn is_behind_unload(&self, open: &OpenOrder) -> bool {
        open.order.action == OrderAction::Load
            && open.order.target.adapter.is_none()
            && open.repeats < BUSY_REPEAT_LIMIT
    }

    fn lose_state(&mut self, now: MonoTime) {
        self.known = None;
        self.open = None;
        self.next_report = now + REPORT_LAG;
    }

    fn needs_report(&self) -> bool {
        let is_running = self.open.as_ref().is_some_and(|open| open.is_answered);
        !self.is_asked && (is_running || self.known.is_none())
    }
}
