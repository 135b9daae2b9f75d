//! Order to an engine that is not done yet, with the orders that follow it.

use std::collections::VecDeque;

use gentian_core::peer::TargetId;
use gentian_core::{ModelId, MonoTime, TimeSpan};

use super::{EngineOrder, OrderAction};

/// Interval between two retries of a load that waits for the preceding unload.
const BUSY_RETRY_INTERVAL: TimeSpan = TimeSpan::from_millis(60);
/// Maximum number of retries of a load that waits for the preceding unload.
const BUSY_RETRY_LIMIT: u32 = 12;

/// An open order.
#[derive(Clone, Debug)]
pub(super) struct OpenOrder {
    pub(super) order: EngineOrder,
    /// Orders that follow when this one is accepted: further unloads, then the load that they make
    /// room for. Bounded by the models of an engine.
    pub(super) next_steps: VecDeque<(OrderAction, TargetId)>,
    /// When the unload before it was accepted.
    pub(super) unload_accepted_at: Option<MonoTime>,
    /// Whether the engine has accepted the order.
    pub(super) is_accepted: bool,
    /// Retries without a reply and of a load that waits for an unload, together; `RETRY_LIMIT` and
    /// `BUSY_RETRY_LIMIT` both apply to this sum.
    pub(super) retries: u32,
    pub(super) next_send: Option<MonoTime>,
    /// Time of the acceptance, and expected end. Before the acceptance, both are the time at which
    /// the order was opened.
    pub(super) accepted_at: MonoTime,
    pub(super) expected_end: MonoTime,
}

impl OpenOrder {
    /// Creates an order that has just been sent.
    pub(super) fn new(
        order: EngineOrder,
        next_steps: VecDeque<(OrderAction, TargetId)>,
        now: MonoTime,
    ) -> Self {
        Self {
            order,
            next_steps,
            unload_accepted_at: None,
            is_accepted: false,
            retries: 0,
            next_send: None,
            accepted_at: now,
            expected_end: now,
        }
    }

    /// Sets the delay after which the order is sent, because an unload was accepted at `now`; `None`
    /// sends it at once.
    pub(super) fn with_delay(self, delay: Option<TimeSpan>, now: MonoTime) -> Self {
        Self {
            next_send: Some(now + delay.unwrap_or(TimeSpan::ZERO)),
            unload_accepted_at: delay.map(|_| now),
            ..self
        }
    }

    /// Returns the target that the order loads, or the one to be loaded after its unloads.
    pub(super) fn loading_target(&self) -> Option<&TargetId> {
        match self.order.action {
            OrderAction::Load => Some(&self.order.target),
            OrderAction::Unload => self.next_steps.back().map(|(_, target)| target),
        }
    }

    /// Returns whether the order or one that follows it unloads `model`.
    pub(super) fn unloads(&self, model: &ModelId) -> bool {
        let first = (self.order.action, &self.order.target);
        let next = self.next_steps.iter().map(|(action, target)| (*action, target));
        std::iter::once(first).chain(next).any(|(action, target)| {
            action == OrderAction::Unload && target.adapter.is_none() && target.model == *model
        })
    }

    /// Returns whether the order may be retried after a conflict: any load of a model and any order
    /// after the unload of one, since an unload before it may still be running.
    pub(super) fn may_retry_conflict(&self) -> bool {
        let is_model_load =
            self.order.action == OrderAction::Load && self.order.target.adapter.is_none();
        (is_model_load || self.unload_accepted_at.is_some()) && self.retries < BUSY_RETRY_LIMIT
    }

    /// Schedules a retry after a conflict.
    pub(super) fn retry_after_conflict(&mut self, now: MonoTime) {
        self.retries += 1;
        self.next_send = Some(now + BUSY_RETRY_INTERVAL);
    }
}
