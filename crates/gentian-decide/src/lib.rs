//! Decision logic of the system as plain structs and functions.
//!
//! Nothing here performs I/O, starts a thread, reads a clock or depends on an encoding. Functions
//! that need the current time take it as an argument.

pub mod control;
pub mod duties;
pub mod entry;
pub mod limits;
pub mod memory;
pub mod orders;
pub mod placement;
pub mod quarantine;
pub mod request;
pub mod responses;
pub mod seat;
pub mod selection;
pub mod serving;
pub mod share;
pub mod streams;
