//! Decisions on work that makes upstreams end: which request, or which part of prompts, is the cause
//! of several crashes, and which requests are refused because of it.

mod crash_count;
mod crash_log;
mod crash_tracer;
mod message_repeats;
mod quarantine_check;
mod quarantined_work;
mod request_claims;
mod request_identity;
mod served_work;
mod work_quarantine;

use crash_count::CrashCount;
use crash_log::CrashLog;
pub use crash_tracer::CrashTracer;
pub use message_repeats::MessageRepeats;
pub use quarantine_check::QuarantineCheck;
use quarantined_work::QuarantinedWork;
use request_claims::RequestClaims;
pub use request_identity::RequestIdentity;
use served_work::ServedWork;
pub use work_quarantine::WorkQuarantine;
