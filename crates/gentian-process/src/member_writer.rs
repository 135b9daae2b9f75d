//! The record of this process among the running processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use gentian_core::peer::MemberRecord;
use gentian_wire::encode_record;

use crate::{KeyValueService, RecordKeys, ValueChange};

const RETRY_WAIT: Duration = Duration::from_millis(300);

/// Writes the record of a process on a thread of its own, until it is written once.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub fn start_member_writer(
    service: Arc<KeyValueService>,
    member: MemberRecord,
    stop: Arc<AtomicBool>,
) -> eyre::Result<JoinHandle<()>> {
    let key = RecordKeys::member(&member.vm, member.role);
    let change = ValueChange::put(key, encode_record(&member)?);
    let work = move || {
        while !stop.load(Ordering::Acquire) {
            if service.write(&[], std::slice::from_ref(&change)).is_ok() {
                return;
            }
            std::thread::sleep(RETRY_WAIT);
        }
    };
    Ok(std::thread::Builder::new().name("member".into()).spawn(work)?)
}
