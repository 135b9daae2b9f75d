//! Infrastructure that every process needs: the key-value service, the list of VMs, datagrams,
//! settings, logs and signals.

mod config_head;
mod config_store;
mod etcd_gateway;
mod key_value_service;
mod log_limiter;
mod log_setup;
mod log_writer;
mod member_writer;
mod peer_socket;
mod process_settings;
mod record_keys;
mod refusal_response;
mod seat_store;
mod state_watcher;
mod stop_signal;
mod vm_list;

pub use config_head::ConfigHead;
pub use config_store::{ConfigStore, ConfigStoreError, StoredConfig};
pub use etcd_gateway::{connect_etcd, prefix_end};
pub use gentian_http::ProcessClock;
pub use key_value_service::{
    BatchHandler, KeyValueError, KeyValueService, LeaseCalls, ReadFreshness, ReadResult,
    StoredValue, ValueChange, WatchBatch, WatchRequest, WriteCondition, WriteResult,
};
pub use log_limiter::{LogDecision, LogLimiter};
pub use log_setup::start_logging;
pub use log_writer::finish_logging;
pub use member_writer::start_member_writer;
pub use peer_socket::{PeerSocket, PeerTraffic};
pub use process_settings::{ProcessSettings, read_settings};
pub use record_keys::RecordKeys;
pub use refusal_response::{refusal_body, refusal_status};
pub use seat_store::SeatStore;
pub use state_watcher::{StateChange, StateWatcher};
pub use stop_signal::StopSignal;
pub use vm_list::{VmList, read_vm_list};
