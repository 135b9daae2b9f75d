//! The record of a running process in the key-value service.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DomainId, InstanceId, VmId};

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberRole {
    /// Serves callers.
    Entry,
    /// Holds seats; unrelated to the controllers of a control thread.
    Controller,
}

impl fmt::Display for MemberRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Controller => "controller",
        })
    }
}

/// A running process, which writes this record once, when it starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// VM of the process.
    pub vm: VmId,
    /// Instance id of the process.
    pub instance: InstanceId,
    /// Role of the process.
    pub role: MemberRole,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Address of the datagram port.
    pub address: SocketAddr,
}
