//! Decisions on parts of prompts that make upstreams end: which part is the cause of several
//! crashes, and which requests are refused because of it.

mod crash_log;
mod message_repeats;
mod part_quarantine;
mod quarantined_part;
mod served_parts;

use crash_log::CrashLog;
pub use message_repeats::MessageRepeats;
pub use part_quarantine::PartQuarantine;
use quarantined_part::QuarantinedPart;
use served_parts::ServedParts;
