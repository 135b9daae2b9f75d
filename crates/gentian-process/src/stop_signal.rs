//! Signals: the request to stop a process, and the request to read its settings again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use eyre::WrapErr;
use flume::Receiver;
use gentian_http::join_threads;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::{Handle, Signals};

/// Set once the process was asked to stop by SIGTERM or SIGINT.
pub struct StopSignal {
    flag: Arc<AtomicBool>,
    asked: Receiver<()>,
    handle: Handle,
    thread: JoinHandle<()>,
}

impl StopSignal {
    /// Waits for signals on a thread of its own and calls `on_stop` at the first.
    ///
    /// # Errors
    ///
    /// Returns an error if signals cannot be caught.
    pub fn new(on_stop: impl Fn() + Send + 'static) -> eyre::Result<Self> {
        Self::with_reload(on_stop, || log::info!("nothing to read again at SIGHUP"))
    }

    /// As [`StopSignal::new`], and calls `on_reload` at each SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns an error if signals cannot be caught.
    pub fn with_reload(
        on_stop: impl Fn() + Send + 'static,
        on_reload: impl Fn() + Send + 'static,
    ) -> eyre::Result<Self> {
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])
            .wrap_err("cannot catch SIGTERM, SIGINT and SIGHUP")?;
        let flag = Arc::new(AtomicBool::new(false));
        let (ask, asked) = flume::bounded(1);
        let (shared, handle) = (Arc::clone(&flag), signals.handle());
        let thread = std::thread::Builder::new().name("signals".into()).spawn(move || {
            for signal in signals.forever() {
                if signal == SIGHUP {
                    on_reload();
                } else if !shared.swap(true, Ordering::AcqRel) {
                    on_stop();
                    if ask.try_send(()).is_err() {
                        log::debug!("nobody waits for the stop signal");
                    }
                }
            }
        })?;
        Ok(Self { flag, asked, handle, thread })
    }

    /// Returns the mark that is set when the process was asked to stop.
    pub fn flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.flag)
    }

    /// Waits until the process is asked to stop.
    pub fn wait(&self) {
        if self.asked.recv().is_err() {
            log::error!("the signal thread has ended");
        }
    }

    /// Ends the thread that waits for signals.
    pub fn join(self) {
        self.handle.close();
        join_threads([self.thread]);
    }
}
