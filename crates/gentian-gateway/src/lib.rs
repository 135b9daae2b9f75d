//! The entry of a serving fleet whose upstreams register themselves: requests are forwarded as they
//! came, and one of the entries, the hub, counts for all and gives orders to model engines.
//!
//! What callers, upstreams and operators say is decoded by the closures of a [`PlatformCodec`]; this
//! crate knows no names of any platform.

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
pub use gateway_settings::GatewaySettings;
pub use platform_codec::{PlatformCodec, RecordLayout};
pub use request_metadata::{ForwardMetadata, RequestMetadata, ResponseMetadata};
