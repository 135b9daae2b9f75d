//! The control thread, its state and the controllers that update it.

mod control_event;
mod control_state;
mod control_thread;
mod controllers;

pub(crate) use control_event::{CallAssignment, ControlEvent};
pub(crate) use control_state::{ConfigSnapshot, ControlState};
pub(crate) use control_thread::run_control;
