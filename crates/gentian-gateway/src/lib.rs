//! The entry of a serving fleet whose upstreams register themselves: requests are forwarded as they
//! came, and one of the entries, the hub, counts for all and gives orders to model engines.
//!
//! What callers, upstreams and operators say is decoded by the closures of a [`FleetDialect`]; this
//! crate knows no names of any platform.

mod caller_marks;
mod chain;
mod control;
mod fleet_dialect;
mod front;
mod gateway_metrics;
mod gateway_process;
mod gateway_settings;
mod io;

pub use caller_marks::{AnswerMarks, CallerMarks, UpstreamHead};
pub use fleet_dialect::{FleetDialect, RecordNames};
pub use gateway_process::run_gateway;
pub use gateway_settings::GatewaySettings;
