//! The platform's list of VMs.

use std::net::SocketAddr;

use gentian_core::{FastMap, TimeSpan, VmId};
use gentian_http::{CallError, HttpClient};
use gentian_wire::generated::engine::{VmListing, VmState};

const CALL_LIMIT: TimeSpan = TimeSpan::from_millis(1_000);
const ANSWER_LIMIT: usize = 1 << 20;

/// The listed VMs; `true` for one that is leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmRoster {
    /// Whether each listed VM is leaving.
    pub leaving_by_vm: FastMap<VmId, bool>,
}

/// Reads the list of VMs.
///
/// # Errors
///
/// Returns an error if the list gives no answer or a malformed one.
pub fn read_vm_list(address: SocketAddr) -> Result<VmRoster, CallError> {
    let agent = HttpClient::new(address, CALL_LIMIT);
    let (status, body) = agent.call_and_read("GET", "/v1/vms", &[], ANSWER_LIMIT)?;
    if status != 200 {
        return Err(CallError::Unknown(format!("status {status}")));
    }
    let listing: VmListing =
        serde_json::from_slice(&body).map_err(|error| CallError::Unknown(error.to_string()))?;
    let rows = listing.vms.iter().filter_map(|vm| {
        let id = vm.name.parse().ok()?;
        Some((id, vm.state == VmState::Leaving))
    });
    Ok(VmRoster { leaving_by_vm: rows.collect() })
}
