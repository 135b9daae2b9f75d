//! Kept connections to servers.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use gentian_core::{FastMap, MonoTime, TimeSpan};

use super::WireStream;
use crate::ProcessClock;

/// Longest time for which a connection is kept without a word of its server.
const KEEP_DEFAULT: TimeSpan = TimeSpan::from_millis(4_000);
/// Time before the announced close within which a connection is not used again: a request could
/// cross the close.
const CLOSE_MARGIN: TimeSpan = TimeSpan::from_millis(600);

/// A connection, and whether it was used before.
#[derive(Debug)]
pub struct PooledStream {
    /// The connection.
    pub stream: WireStream,
    /// Whether an earlier request used it.
    pub is_reused: bool,
}

#[derive(Debug)]
struct KeptStream {
    stream: WireStream,
    usable_until: MonoTime,
}

/// Kept connections by server.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    kept: Arc<Mutex<FastMap<SocketAddr, Vec<KeptStream>>>>,
    clock: ProcessClock,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(clock: ProcessClock) -> Self {
        Self { kept: Arc::default(), clock }
    }

    /// Takes a kept connection to `address`, or connects within `limit`. Unless it is kept again, the
    /// connection is reset when it is dropped, so that a call that was given up does not arrive later.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection comes about; not a byte was written then.
    pub fn take(&self, address: SocketAddr, limit: TimeSpan) -> io::Result<PooledStream> {
        if let Some(stream) = self.take_kept(address) {
            return Ok(PooledStream { stream, is_reused: true });
        }
        let mut stream = WireStream::connect(address, limit, self.clock)?;
        stream.set_abortive(true);
        Ok(PooledStream { stream, is_reused: false })
    }

    /// Keeps a connection whose last answer is complete; `keep_alive` is what its server said.
    pub fn keep(&self, address: SocketAddr, mut stream: WireStream, keep_alive: Option<TimeSpan>) {
        if !stream.buffered().is_empty() || stream.is_ended() {
            return;
        }
        stream.set_abortive(false);
        let span = keep_alive.unwrap_or(KEEP_DEFAULT).saturating_sub(CLOSE_MARGIN);
        let usable_until = self.clock.now() + span;
        self.lock().entry(address).or_default().push(KeptStream { stream, usable_until });
    }

    /// Closes the kept connections to servers other than `is_wanted`, and those that are too old.
    pub fn retain(&self, is_wanted: impl Fn(&SocketAddr) -> bool) {
        let now = self.clock.now();
        self.lock().retain(|address, streams| {
            streams.retain(|kept| kept.usable_until > now);
            !streams.is_empty() && is_wanted(address)
        });
    }

    fn take_kept(&self, address: SocketAddr) -> Option<WireStream> {
        let now = self.clock.now();
        let mut kept = self.lock();
        let streams = kept.get_mut(&address)?;
        while let Some(KeptStream { mut stream, usable_until }) = streams.pop() {
            // Unasked bytes or a close disqualify a connection.
            if usable_until > now && matches!(stream.has_input(), Ok(false)) {
                stream.set_abortive(true);
                return Some(stream);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FastMap<SocketAddr, Vec<KeptStream>>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
