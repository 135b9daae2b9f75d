//! Filter: whether a non-idempotent call was made before.

use gentian_core::MonoTime;
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};
use gentian_http::HttpResponse;
use gentian_wire::REQUEST_ID;

use super::intent_store::{IntentOutcome, KeptAnswer};
use super::{CallContext, CallHandles};

/// Records a non-idempotent call with an idempotency key, or answers its repeat.
pub(super) fn dedupe_call(
    handles: &CallHandles,
    call: &mut CallContext,
    _now: MonoTime,
) -> FilterOutcome {
    let facts = &call.request.attributes;
    let Some(key) = facts.idempotency_key.clone().filter(|_| !facts.is_idempotent) else {
        return FilterOutcome::Continue;
    };
    match handles.intents.begin(call, &key) {
        IntentOutcome::New(ticket) => {
            call.ticket = Some(ticket);
            FilterOutcome::Continue
        }
        IntentOutcome::Kept(answer) => repeat_answer(call, answer),
        IntentOutcome::Begun => {
            let message = "an earlier call with this idempotency key was begun; whether it ran is \
                           not known";
            let refusal = Refusal::new(RefusalCode::OutcomeUnknown, message);
            FilterOutcome::Refuse(refusal.with_unknown_run())
        }
        IntentOutcome::Reused => {
            let message = "this idempotency key was used with another body";
            FilterOutcome::Refuse(Refusal::new(RefusalCode::KeyReused, message))
        }
        IntentOutcome::Unavailable(cause) => {
            let message = format!("the call cannot be recorded now: {cause}");
            FilterOutcome::Refuse(Refusal::new(RefusalCode::RecordUnavailable, message))
        }
    }
}

fn repeat_answer(call: &mut CallContext, answer: KeptAnswer) -> FilterOutcome {
    let Some(http) = call.http.take() else { return FilterOutcome::Responded };
    let reply = HttpResponse::new(answer.status)
        .with_header("Content-Type", answer.content_type)
        .with_header("Idempotent-Replayed", "true")
        .with_header(REQUEST_ID, call.id().to_string())
        .with_body(answer.body);
    if let Err(error) = http.respond(reply) {
        log::debug!("answer not delivered: {error}");
    }
    FilterOutcome::Responded
}
