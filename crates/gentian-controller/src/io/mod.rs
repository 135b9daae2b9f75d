//! Threads that do the I/O for the control thread.

mod engine_calls;
mod io_threads;
mod vm_watcher;

pub(crate) use io_threads::IoThreads;
pub(crate) use vm_watcher::poll_vm_list;
