//! Polls the platform's list of VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use gentian_core::EventCode;
use gentian_process::{VmList, read_vm_list};

const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the list at a fixed interval on a thread of its own until `shutdown` is set.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(crate) fn poll_vm_list(
    address: SocketAddr,
    shutdown: Arc<AtomicBool>,
    handle_list: impl Fn(VmList) + Send + 'static,
) -> eyre::Result<JoinHandle<()>> {
    let work = move || {
        let mut is_unreachable = false;
        while !shutdown.load(Ordering::Acquire) {
            match read_vm_list(address) {
                Ok(vm_list) => {
                    is_unreachable = false;
                    handle_list(vm_list);
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_unreachable, true) {
                        log::warn!("{} cause={error}", EventCode::VM_LIST_LOST);
                    }
                }
            }
            std::thread::sleep(READ_INTERVAL);
        }
    };
    Ok(std::thread::Builder::new().name("vm-list".into()).spawn(work)?)
}
