//! HTTP status codes and bodies of refusals, shared by all front ends.

use gentian_decide::request::{Refusal, RefusalCode, RunState};
use gentian_wire::generated::completion::{ErrorAnswer, ErrorDetail, ErrorDetailRun};

/// Returns the HTTP status code of a refusal.
pub fn refusal_status(code: RefusalCode) -> u16 {
    match code {
        // Callers do not repeat a request after 400, and a repeat could not succeed.
        RefusalCode::BadRequest
        | RefusalCode::ExceedsBurst
        | RefusalCode::PromptQuarantined
        | RefusalCode::RequestQuarantined => 400,
        RefusalCode::InvalidKey => 401,
        RefusalCode::Forbidden => 403,
        RefusalCode::NotFound => 404,
        RefusalCode::WrongMethod => 405,
        RefusalCode::OutcomeUnknown => 409,
        RefusalCode::TooLarge => 413,
        RefusalCode::KeyReused => 422,
        RefusalCode::RateLimited => 429,
        RefusalCode::UpstreamFailed => 502,
        RefusalCode::Overloaded
        | RefusalCode::ConfigStale
        | RefusalCode::RecordUnavailable
        | RefusalCode::StreamNotResumable => 503,
        RefusalCode::DeadlineExceeded => 504,
    }
}

/// Returns the JSON body of the refusal of request `id`.
pub fn refusal_body(id: &str, refusal: &Refusal) -> Vec<u8> {
    let run = match refusal.run {
        RunState::No => ErrorDetailRun::No,
        RunState::Unknown => ErrorDetailRun::Unknown,
    };
    let code = refusal.code.to_string();
    let error = ErrorDetail {
        message: refusal.message.clone(),
        type_: code.clone(),
        code,
        request_id: Some(id.to_owned()),
        run: Some(run),
    };
    serde_json::to_vec(&ErrorAnswer { error }).unwrap_or_else(|error| {
        log::error!("refusal could not be encoded: {error}");
        Vec::new()
    })
}
