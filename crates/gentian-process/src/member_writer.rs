//! Writing of the member record of this process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use gentian_core::peer::MemberRecord;
use gentian_wire::encode_record;

use crate::{KeyValueService, RecordKeys, ValueChange};

/// Delay between two attempts while the key-value service does not answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Starts a thread that writes the member record of a process, retrying until one write succeeds.
///
/// # Errors
///
/// Returns an error if the record cannot be encoded or the thread cannot be started.
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
            std::thread::sleep(RETRY_DELAY);
        }
    };
    Ok(std::thread::Builder::new().name("member".into()).spawn(work)?)
}
