//! What a replica is.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use gentian_core::TimeSpan;

/// A replica of the users' platform: registers itself, runs requests, carries out orders.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet-replica")]
pub(crate) struct ReplicaSettings {
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
    /// requests at a time
    #[argh(option, default = "16")]
    pub(crate) slots: u64,
    /// memory for models in MB; zero for a plain service
    #[argh(option, default = "0")]
    pub(crate) memory: u64,
    /// size of each model in MB
    #[argh(option, default = "70000")]
    pub(crate) model_size: u64,
    /// adapters at a time
    #[argh(option, default = "2")]
    pub(crate) adapter_slots: usize,
    /// models held at the start, separated by commas
    #[argh(option, default = "String::new()")]
    pub(crate) holds: String,
    /// time of a load
    #[argh(option, default = "TimeSpan::from_millis(300)")]
    pub(crate) load_time: TimeSpan,
    /// events of an answer of a model
    #[argh(option, default = "8")]
    pub(crate) events: u64,
    /// time between two events, and time of a plain answer
    #[argh(option, default = "TimeSpan::from_millis(15)")]
    pub(crate) event_time: TimeSpan,
    /// file to which each run and order is appended
    #[argh(option)]
    pub(crate) journal: PathBuf,
}
