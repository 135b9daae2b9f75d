//! Subcommand that runs the list of VMs.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use argh::FromArgs;
use gentian_wire::generated::engine::{VmListing, VmState};
use serde_json::json;

use crate::shared::{StandinServer, read_json, respond_json};

/// The platform's list of live and leaving VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "vm-list")]
pub(crate) struct VmListCommand {
    /// address of the HTTP port
    #[argh(option)]
    address: SocketAddr,
}

/// Runs the list of VMs: GET returns the list, PUT replaces it.
pub(crate) fn run_vm_list(command: VmListCommand) -> eyre::Result<()> {
    let listing = Mutex::new(VmListing { vms: Vec::new() });
    StandinServer::serve(command.address, move |server, mut request| {
        let mut listing = listing.lock().unwrap_or_else(PoisonError::into_inner);
        match (request.method(), request.path()) {
            ("GET", "/v1/vms") => respond_json(request, 200, &*listing),
            ("PUT", "/v1/vms") => match read_json::<VmListing>(&mut request) {
                Some(body) => {
                    let leaving = body.vms.iter().filter(|vm| vm.state == VmState::Leaving).count();
                    server.journal.record("listed", "", "", u64::try_from(leaving).unwrap_or(0));
                    *listing = body;
                    respond_json(request, 200, &*listing);
                }
                None => respond_json(request, 400, &json!({ "error": "malformed list" })),
            },
            _ => respond_json(request, 404, &json!({ "error": "unknown path" })),
        }
    })
}
