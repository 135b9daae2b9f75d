//! Settings of a replica.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use gentian_core::{RequestRate, TimeSpan};

/// A replica of the users' platform: registers itself, runs requests and carries out orders.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet-replica")]
pub(crate) struct ReplicaSettings {
    /// name under which it is registered, by default another one at each start
    #[argh(option)]
    pub(crate) id: Option<String>,
    /// address for requests and orders
    #[argh(option)]
    pub(crate) address: SocketAddr,
    /// address to register, if callers reach the replica at another one
    #[argh(option)]
    pub(crate) announce: Option<SocketAddr>,
    /// address of the store
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// name of the service
    #[argh(option)]
    pub(crate) service: String,
    /// zone
    #[argh(option)]
    pub(crate) zone: String,
    /// concurrent requests
    #[argh(option, default = "16")]
    pub(crate) slots: u64,
    /// memory for models in MB; zero for a plain service
    #[argh(option, default = "0")]
    pub(crate) memory: u64,
    /// size of each model in MB
    #[argh(option, default = "70000")]
    pub(crate) model_size: u64,
    /// adapters loaded at the same time
    #[argh(option, default = "2")]
    pub(crate) adapter_slots: usize,
    /// models loaded at the start, separated by commas
    #[argh(option, default = "String::new()")]
    pub(crate) holds: String,
    /// duration of a model load
    #[argh(option, default = "TimeSpan::from_millis(300)")]
    pub(crate) load_time: TimeSpan,
    /// version of the replica's software; each writes other texts
    #[argh(option, default = "String::from(\"v1\")")]
    pub(crate) version: String,
    /// events of a streamed response of a model
    #[argh(option, default = "8")]
    pub(crate) events: u64,
    /// time between two events, and time of a plain response
    #[argh(option, default = "TimeSpan::from_millis(15)")]
    pub(crate) event_time: TimeSpan,
    /// whether responses have neither a length nor chunks, and end with their connections
    #[argh(switch)]
    pub(crate) unframed: bool,
    /// requests a second that responses name as the limit for all callers together
    #[argh(option)]
    pub(crate) request_limit: Option<RequestRate>,
    /// part of a prompt, in hexadecimal, on which the replica crashes when it begins to respond
    #[argh(option)]
    pub(crate) crash_part: Option<String>,
    /// end of the path of requests on which the replica crashes when it begins to respond
    #[argh(option)]
    pub(crate) crash_path: Option<String>,
    /// file to which each executed request and each order is appended
    #[argh(option)]
    pub(crate) journal: PathBuf,
}
