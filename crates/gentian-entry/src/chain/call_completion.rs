//! Steps with which several filters end a call.

use gentian_core::TokenCount;
use gentian_decide::entry::CallOutcome;
use gentian_decide::request::{FilterOutcome, Refusal};

use super::{CallContext, CallHandles};
use crate::control::ControlEvent;

/// Reports the outcome of the attempt to the control thread.
pub(super) fn report_outcome(handles: &CallHandles, call: &CallContext, outcome: CallOutcome) {
    let event = ControlEvent::EndCall { id: call.id(), outcome };
    if handles.control.send(event).is_err() {
        log::error!("event dropped: the control thread ended before the traffic threads");
    }
}

/// Refuses a request that may have run. All its reserved tokens count as used, and its record is
/// kept, so that a retry cannot run it twice.
pub(super) fn refuse_possibly_run(
    handles: &CallHandles,
    call: &mut CallContext,
    refusal: Refusal,
) -> FilterOutcome {
    let used = call.request.cost;
    report_outcome(handles, call, CallOutcome::Done(used));
    call.claim = None;
    FilterOutcome::Refuse(refusal)
}

/// Refuses a request that did not run. Its record is deleted, so that a retry may run.
pub(super) fn refuse_not_run(
    handles: &CallHandles,
    call: &mut CallContext,
    refusal: Refusal,
) -> FilterOutcome {
    if let Some(claim) = call.claim.take() {
        handles.intents.release(&claim);
    }
    call.used = TokenCount::ZERO;
    FilterOutcome::Refuse(refusal)
}
