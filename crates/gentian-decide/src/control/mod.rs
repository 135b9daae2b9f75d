//! Controllers that share the control thread of a process.

mod controller_set;

pub use controller_set::{ControllerSet, StateController};
