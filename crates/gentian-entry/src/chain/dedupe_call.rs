//! Filter that stops a non-idempotent call from running twice.

use gentian_core::MonoTime;
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};
use gentian_http::HttpResponse;
use gentian_wire::REQUEST_ID;

use super::intent_store::{IntentOutcome, StoredResponse};
use super::{CallContext, CallHandles};

/// Records a non-idempotent call that has an idempotency key, or replays the stored response if the
/// call was made before.
pub(super) fn dedupe_call(
    handles: &CallHandles,
    call: &mut CallContext,
    _now: MonoTime,
) -> FilterOutcome {
    let attributes = &call.request.attributes;
    let Some(key) = attributes.idempotency_key.clone().filter(|_| !attributes.is_idempotent) else {
        return FilterOutcome::Continue;
    };
    match handles.intents.record_intent(call, &key) {
        IntentOutcome::New(claim) => {
            call.claim = Some(claim);
            FilterOutcome::Continue
        }
        IntentOutcome::Completed(stored) => replay_response(call, stored),
        IntentOutcome::Unresolved => {
            let message = "an earlier call with this idempotency key was begun; whether it ran is \
                           not known";
            let refusal = Refusal::new(RefusalCode::OutcomeUnknown, message);
            FilterOutcome::Refuse(refusal.with_unknown_run())
        }
        IntentOutcome::BodyMismatch => {
            let message = "this idempotency key was used with another body";
            FilterOutcome::Refuse(Refusal::new(RefusalCode::KeyReused, message))
        }
        IntentOutcome::Unavailable(cause) => {
            let message = format!("the call cannot be recorded now: {cause}");
            FilterOutcome::Refuse(Refusal::new(RefusalCode::RecordUnavailable, message))
        }
    }
}

fn replay_response(call: &mut CallContext, stored: StoredResponse) -> FilterOutcome {
    let Some(http) = call.http.take() else { return FilterOutcome::Responded };
    let response = HttpResponse::new(stored.status)
        .with_header("Content-Type", stored.content_type)
        .with_header("Idempotent-Replayed", "true")
        .with_header(REQUEST_ID, call.id().to_string())
        .with_body(stored.body);
    if let Err(error) = http.respond(response) {
        log::debug!("cannot send the stored response: {error}");
    }
    FilterOutcome::Responded
}
