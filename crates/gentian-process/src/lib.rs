//! What every process needs around its decisions: the key-value service, the list of VMs,
//! datagrams, settings, logs and signals.

mod config_head;
mod config_store;
mod etcd_gateway;
mod key_value_service;
mod log_gate;
mod log_setup;
mod log_writer;
mod member_writer;
mod peer_socket;
mod process_settings;
mod record_keys;
mod refusal_text;
mod seat_store;
mod state_follower;
mod stop_signal;
mod vm_list;

pub use config_head::ConfigHead;
pub use config_store::{ConfigStore, PublishError, StoredConfig};
pub use etcd_gateway::{connect_etcd, prefix_end};
pub use gentian_http::ProcessClock;
pub use key_value_service::{
    KeyValueService, LeaseCalls, ReadFreshness, ReadResult, ServiceError, StoredValue, TakeBatch,
    ValueChange, WatchBatch, WriteCondition, WriteResult,
};
pub use log_gate::{GateOutcome, LogGate};
pub use log_setup::start_logs;
pub use member_writer::start_member;
pub use peer_socket::{PeerSocket, PeerTraffic};
pub use process_settings::{ProcessSettings, read_settings};
pub use record_keys::RecordKeys;
pub use refusal_text::{refusal_body, refusal_status};
pub use seat_store::SeatStore;
pub use state_follower::{StateChange, StateFollower};
pub use stop_signal::StopSignal;
pub use vm_list::{VmRoster, read_vm_list};
