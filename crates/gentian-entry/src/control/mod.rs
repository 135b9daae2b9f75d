//! The control thread, its state and the controllers that update it.
//!
//! A controller here is a function that handles one concern of the control thread. The process
//! `gentian-controller` is another thing.

mod control_event;
mod control_state;
mod control_thread;
mod controllers;

pub(crate) use control_event::{CallAssignment, ControlEvent};
pub(crate) use control_state::{ConfigSnapshot, ControlState};
pub(crate) use control_thread::run_control;
