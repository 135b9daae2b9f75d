//! Client of the platform's VM list service.

use std::net::SocketAddr;

use gentian_core::{FastMap, TimeSpan, VmId};
use gentian_http::{CallError, HttpClient};
use gentian_wire::generated::engine::{VmListing, VmState};

/// Longest wait for the connection and for each read of a response.
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
/// Largest accepted response.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The listed VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmList {
    /// Listed VMs; `true` for a VM that is leaving.
    pub is_leaving_by_vm: FastMap<VmId, bool>,
}

/// Reads the list of VMs.
///
/// # Errors
///
/// Returns an error if the service does not answer or its response is malformed.
pub fn read_vm_list(address: SocketAddr) -> Result<VmList, CallError> {
    let client = HttpClient::new(address, CALL_TIMEOUT);
    let (status, body) = client.call_and_read("GET", "/v1/vms", &[], MAX_RESPONSE_BYTES)?;
    if status != 200 {
        return Err(CallError::Unknown(format!("status {status}")));
    }
    let listing: VmListing =
        serde_json::from_slice(&body).map_err(|error| CallError::Unknown(error.to_string()))?;
    let rows = listing.vms.iter().filter_map(|vm| {
        let id = vm.name.parse().ok()?;
        Some((id, vm.state == VmState::Leaving))
    });
    Ok(VmList { is_leaving_by_vm: rows.collect() })
}
