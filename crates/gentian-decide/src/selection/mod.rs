//! Expected time to the first event of a response, by which upstreams are compared.

mod expected_time;
mod fading_figure;
mod hashes;
mod held_prompts;
mod load_record;
mod reported_load;
mod shared_prefix;

pub use expected_time::{ExpectedTime, expected_engine_time, expected_plain_time};
pub use fading_figure::FadingFigure;
pub(crate) use hashes::{hash_fraction, hash_of, mixed_fraction};
pub use held_prompts::{CacheState, HeldPrompts};
pub use load_record::LoadRecord;
pub use reported_load::{LoadReading, ReportedLoad, ReportedPace};
pub use shared_prefix::{PrefixPart, SharedPrefix};
