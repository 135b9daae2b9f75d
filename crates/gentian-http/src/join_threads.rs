//! Joining of threads.

use std::thread::JoinHandle;

/// Waits until every thread has ended, and logs those that panicked.
pub fn join_threads(threads: impl IntoIterator<Item = JoinHandle<()>>) {
    for thread in threads {
        let name = thread.thread().name().unwrap_or("unnamed").to_owned();
        if thread.join().is_err() {
            log::error!("thread {name} ended with a panic");
        }
    }
}
