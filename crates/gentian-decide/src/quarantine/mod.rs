//! Decisions on parts of prompts that make upstreams end: which part is the cause of several
//! crashes, and which requests are refused because of it.

mod crash_log;
mod message_repeats;
mod quarantined_work;
mod served_work;
mod work_quarantine;

use crash_log::CrashLog;
pub use message_repeats::MessageRepeats;
use quarantined_work::QuarantinedWork;
use served_work::ServedWork;
pub use work_quarantine::WorkQuarantine;
