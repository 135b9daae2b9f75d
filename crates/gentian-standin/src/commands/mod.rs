//! Subcommands, one for each stand-in.

mod engine;
mod fleet_replica;
mod fleet_store;
mod key_value;
mod service;
mod vm_list;
mod weight_store;

pub(crate) use engine::{EngineCommand, run_engine};
pub(crate) use fleet_replica::run_fleet_replica;
pub(crate) use fleet_store::{FleetStoreCommand, run_fleet_store};
pub(crate) use key_value::{KeyValueCommand, run_key_value};
pub(crate) use service::{ServiceCommand, run_service};
pub(crate) use vm_list::{VmListCommand, run_vm_list};
pub(crate) use weight_store::{WeightStoreCommand, run_weight_store};
