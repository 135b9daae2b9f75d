//! The control thread, its state and the controllers that update it.
//!
//! A controller here is a function that handles one concern of the control thread. The process
//! `gentian-controller` is another thing.

mod control_event;
mod control_state;
mod control_thread;
mod member_controller;
mod order_controller;
mod seat_controller;
mod share_controller;
mod status_page;

pub(crate) use control_event::{ControlEvent, send_event};
pub(crate) use control_state::{ControlState, HolderState};
pub(crate) use control_thread::run_control;
pub(crate) use status_page::StatusPage;
