//! Expected time to the first event of a response, by which upstreams are compared.

mod expected_time;
mod fading_figure;
mod load_record;
mod reported_load;

pub use expected_time::{ExpectedTime, expected_engine_time, expected_plain_time};
pub use fading_figure::FadingFigure;
pub use load_record::LoadRecord;
pub use reported_load::{LoadReading, ReportedLoad, ReportedPace};
