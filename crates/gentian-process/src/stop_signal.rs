//! Signals that stop a process or make it reload its settings.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use eyre::WrapErr;
use flume::Receiver;
use gentian_http::join_threads;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::{Handle, Signals};

/// Handles the signals of a process and records a stop request by SIGTERM or SIGINT.
pub struct StopSignal {
    flag: Arc<AtomicBool>,
    receiver: Receiver<()>,
    handle: Handle,
    thread: JoinHandle<()>,
}

impl StopSignal {
    /// Waits for signals on a dedicated thread and calls `on_stop` at the first SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// Returns an error if signals cannot be caught.
    pub fn new(on_stop: impl Fn() + Send + 'static) -> eyre::Result<Self> {
        Self::with_reload(on_stop, || log::info!("SIGHUP ignored: no settings to reload"))
    }

    /// Does the same as [`StopSignal::new`], and calls `on_reload` at each SIGHUP.
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
        let (sender, receiver) = flume::bounded(1);
        let (thread_flag, handle) = (Arc::clone(&flag), signals.handle());
        let thread = std::thread::Builder::new().name("signals".into()).spawn(move || {
            for signal in signals.forever() {
                if signal == SIGHUP {
                    on_reload();
                } else if !thread_flag.swap(true, Ordering::AcqRel) {
                    on_stop();
                    if sender.try_send(()).is_err() {
                        log::debug!("no thread waits for the stop signal");
                    }
                }
            }
        })?;
        Ok(Self { flag, receiver, handle, thread })
    }

    /// Returns the flag that is set when the process receives a stop signal.
    pub fn flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.flag)
    }

    /// Waits until the process receives a stop signal.
    pub fn wait(&self) {
        if self.receiver.recv().is_err() {
            log::error!("the signal thread has ended");
        }
    }

    /// Stops handling signals and waits for the thread to end.
    pub fn join(self) {
        self.handle.close();
        join_threads([self.thread]);
    }
}
