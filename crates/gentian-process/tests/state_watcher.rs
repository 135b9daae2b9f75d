//! The watcher misses no change when a watch ends right after its start.

#![allow(clippy::unwrap_used)]

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gentian_core::StoreRevision;
use gentian_process::{KeyValueError, KeyValueService, ProcessClock, StateWatcher, WatchBatch};

const READ_REVISION: StoreRevision = StoreRevision::new(3);
const NEWEST_REVISION: StoreRevision = StoreRevision::new(5);

#[test]
fn watch_without_changes_does_not_move_the_revision() {
    let watched: Arc<Mutex<Vec<StoreRevision>>> = Arc::default();
    let seen = Arc::clone(&watched);
    let unused = || KeyValueError::NotExecuted("not used here".into());
    let service = KeyValueService::new(
        move |_| Err(unused()),
        |_| Ok((Vec::new(), READ_REVISION)),
        move |_, _| Err(unused()),
        move |request, handle_batch| {
            seen.lock().unwrap().push(request.after);
            // The service reports its revision, and the watch ends before the changes up to that
            // revision are delivered.
            handle_batch(WatchBatch { revision: NEWEST_REVISION, changes: Vec::new() });
            std::thread::sleep(Duration::from_millis(5));
            Ok(())
        },
    );
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = StateWatcher::new(Arc::new(service), ProcessClock::new(), Arc::clone(&stop));
    let thread = watcher.start(|_| {}).unwrap();
    let end = Instant::now() + Duration::from_secs(5);
    while watched.lock().unwrap().len() < 3 && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::Release);
    thread.join().unwrap();
    assert_eq!(watched.lock().unwrap()[..3], [READ_REVISION; 3]);
}
