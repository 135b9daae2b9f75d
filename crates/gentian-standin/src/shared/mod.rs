//! Fault injection, journal and HTTP server shared by the stand-ins.

mod fault_switch;
mod run_journal;
mod standin_server;

pub(crate) use fault_switch::{FaultName, FaultSwitch};
pub(crate) use run_journal::RunJournal;
pub(crate) use standin_server::{StandinServer, read_json, respond_json};
