//! Listening port whose connections are each served on a thread of a pool.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use eyre::WrapErr;
use gentian_core::EventCode;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::BufferedStream;
use crate::http_server::listen;
use crate::{ProcessClock, WorkerPool};

/// Interval at which the accepting thread checks the stop flag.
const ACCEPT_POLL_INTERVAL: Timespec = Timespec { tv_sec: 0, tv_nsec: 200_000_000 };
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves each connection to `address` on its own thread, with `limit` connections at most, until
/// `stop` is set. Then the port closes, and the returned thread ends once every connection has
/// ended.
///
/// # Errors
///
/// Returns an error if the port cannot be opened.
pub fn serve_connections(
    name: &str,
    address: SocketAddr,
    limit: usize,
    stop: Arc<AtomicBool>,
    clock: ProcessClock,
    serve: impl Fn(BufferedStream) + Send + Sync + 'static,
) -> eyre::Result<JoinHandle<()>> {
    let listener = listen(address).wrap_err_with(|| format!("cannot listen on {address}"))?;
    let must_stop = move || stop.load(Ordering::Acquire);
    let work = move || accept_connections(listener, limit, clock, must_stop, serve);
    Ok(std::thread::Builder::new().name(name.to_owned()).spawn(work)?)
}

/// Serves each connection on its own thread, with `limit` connections at most, until `must_stop`
/// returns `true`. Then the port closes, and the call returns once every connection has ended.
pub(crate) fn accept_connections(
    listener: TcpListener,
    limit: usize,
    clock: ProcessClock,
    mut must_stop: impl FnMut() -> bool,
    serve: impl Fn(BufferedStream) + Send + Sync + 'static,
) {
    if let Err(error) = listener.set_nonblocking(true) {
        log::error!("connections can't be accepted: {error}");
        return;
    }
    let serve = Arc::new(serve);
    let mut pool = WorkerPool::new(limit);
    while !must_stop() {
        match accept(&listener, clock) {
            Ok(Some(stream)) => {
                let serve = Arc::clone(&serve);
                if !pool.run(move || serve(stream)) {
                    log::warn!("{} limit={limit}", EventCode::CONNECTION_REFUSED);
                }
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!("connection could not be accepted: {error}");
                std::thread::sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
    drop(listener);
    pool.join();
}

fn accept(listener: &TcpListener, clock: ProcessClock) -> io::Result<Option<BufferedStream>> {
    match listener.accept() {
        Ok((socket, _)) => BufferedStream::new(socket, clock).map(Some),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            let mut poll_fds = [PollFd::new(listener, PollFlags::IN)];
            match poll(&mut poll_fds, Some(&ACCEPT_POLL_INTERVAL)) {
                Ok(_) | Err(rustix::io::Errno::INTR) => Ok(None),
                Err(error) => Err(error.into()),
            }
        }
        Err(error) => Err(error),
    }
}
