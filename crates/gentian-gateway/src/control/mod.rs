//! The control thread, its state and the controllers that update it.

mod call_controller;
mod config_controller;
mod control_event;
mod control_state;
mod control_thread;
mod duty_controller;
mod fleet_broadcast;
mod gateway_controllers;
mod hub_controller;
mod lease_controller;
mod permit_controller;
mod quarantine_controller;
mod take_up_controller;
mod upstream_controller;
mod use_controller;
mod version_controller;

pub(crate) use control_event::{CallAssignment, ControlEvent, StoreRecords};
pub(crate) use control_state::{ControlParts, ControlState, TrafficView};
pub(crate) use control_thread::run_control;
pub(crate) use duty_controller::DutyState;
