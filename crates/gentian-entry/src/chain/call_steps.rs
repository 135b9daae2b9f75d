//! Steps that the filters share.

use gentian_core::TokenCount;
use gentian_decide::entry::CallOutcome;
use gentian_decide::request::{FilterOutcome, Refusal};

use super::{CallContext, CallHandles};
use crate::control::ControlEvent;

/// Tells the control thread that the attempt ended.
pub(super) fn end_call(handles: &CallHandles, call: &CallContext, end: CallOutcome) {
    let event = ControlEvent::EndCall { id: call.id(), end };
    if handles.control.send(event).is_err() {
        log::error!("the control thread ended before the traffic threads");
    }
}

/// Refuses a request that may have run; its tokens count as used in full.
pub(super) fn refuse_sent(
    handles: &CallHandles,
    call: &mut CallContext,
    refusal: Refusal,
) -> FilterOutcome {
    let used = call.request.cost;
    end_call(handles, call, CallOutcome::Done(used));
    call.ticket = None;
    FilterOutcome::Refuse(refusal)
}

/// Refuses a request that did not run; its record is deleted, so a repeat may run.
pub(super) fn refuse_unsent(
    handles: &CallHandles,
    call: &mut CallContext,
    refusal: Refusal,
) -> FilterOutcome {
    if let Some(ticket) = call.ticket.take() {
        handles.intents.release(&ticket);
    }
    call.used = TokenCount::ZERO;
    FilterOutcome::Refuse(refusal)
}
