//! The gateway process of a serving fleet whose upstreams register themselves. A gateway is called
//! an entry of the fleet. Entries forward requests with their bodies unchanged; one of them, the
//! hub, counts usage for all entries and sends orders to model engines.
//!
//! Messages of callers, upstreams and operators are decoded by the closures of a [`PlatformCodec`];
//! this crate contains no names of any platform.

mod chain;
mod control;
mod front;
mod gateway_metrics;
mod gateway_process;
mod gateway_settings;
mod io;
mod platform_codec;
mod request_metadata;

pub use gateway_process::run_gateway;
pub use gateway_settings::{DutySettings, GatewaySettings};
pub use platform_codec::{PlatformCodec, RecordLayout};
pub use request_metadata::{ForwardMetadata, RequestMetadata, ResponseMetadata};
