//! Reading of the platform's list of VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use gentian_core::EventCode;
use gentian_process::{VmRoster, read_vm_list};

const READ_EVERY: Duration = Duration::from_millis(500);

/// Reads the list again and again on a thread of its own until `ended` is set.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(crate) fn watch_vm_list(
    address: SocketAddr,
    ended: Arc<AtomicBool>,
    take: impl Fn(VmRoster) + Send + 'static,
) -> eyre::Result<JoinHandle<()>> {
    let work = move || {
        let mut is_lost = false;
        while !ended.load(Ordering::Acquire) {
            match read_vm_list(address) {
                Ok(roster) => {
                    is_lost = false;
                    take(roster);
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_lost, true) {
                        log::warn!("{} cause={error}", EventCode::VM_LIST_LOST);
                    }
                }
            }
            std::thread::sleep(READ_EVERY);
        }
    };
    Ok(std::thread::Builder::new().name("vm-list".into()).spawn(work)?)
}
