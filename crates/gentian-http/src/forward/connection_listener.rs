//! A port whose connections are each served on a thread.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use eyre::WrapErr;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::BufferedStream;
use crate::http_server::listen;
use crate::{ProcessClock, WorkerPool};

/// Longest wait for a connection before the stop mark is looked at.
const ACCEPT_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 200_000_000 };
/// Pause after a failed accept, for example without free descriptors.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Serves each connection to `address` on a thread of a pool of `limit`, until `stop` is set; then
/// the port closes and the returned thread ends once every connection has ended.
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
    listener.set_nonblocking(true)?;
    let serve = Arc::new(serve);
    let work = move || {
        let mut pool = WorkerPool::new(limit);
        while !stop.load(Ordering::Acquire) {
            match accept(&listener, clock) {
                Ok(Some(stream)) => {
                    let serve = Arc::clone(&serve);
                    if !pool.run(move || serve(stream)) {
                        log::warn!("connection closed: {limit} connections are open");
                    }
                }
                Ok(None) => {}
                Err(error) => {
                    log::warn!("connection not accepted: {error}");
                    std::thread::sleep(FAILURE_PAUSE);
                }
            }
        }
        drop(listener);
        pool.join();
    };
    Ok(std::thread::Builder::new().name(name.to_owned()).spawn(work)?)
}

fn accept(listener: &TcpListener, clock: ProcessClock) -> io::Result<Option<BufferedStream>> {
    match listener.accept() {
        Ok((socket, _)) => BufferedStream::new(socket, clock).map(Some),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            let mut waits = [PollFd::new(listener, PollFlags::IN)];
            match poll(&mut waits, Some(&ACCEPT_WAIT)) {
                Ok(_) | Err(rustix::io::Errno::INTR) => Ok(None),
                Err(error) => Err(error.into()),
            }
        }
        Err(error) => Err(error),
    }
}
