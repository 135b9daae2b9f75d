//! Kept connections to servers.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use gentian_core::{FastMap, MonoTime, TimeSpan};

use super::BufferedStream;
use crate::ProcessClock;

/// Longest time for which a connection is kept without a word of its server.
const KEEP_DEFAULT: TimeSpan = TimeSpan::from_millis(4_000);
/// Time before the announced close within which a connection is not used again: a request could
/// cross the close.
const CLOSE_MARGIN: TimeSpan = TimeSpan::from_millis(600);

/// Time between two searches for connections that are too old.
const PRUNE_EVERY: TimeSpan = TimeSpan::from_secs(1);

#[derive(Debug)]
struct KeptStream {
    stream: BufferedStream,
    usable_until: MonoTime,
}

#[derive(Debug, Default)]
struct KeptStreams {
    by_server: FastMap<SocketAddr, Vec<KeptStream>>,
    pruned: MonoTime,
}

/// Kept connections by server.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    kept: Arc<Mutex<KeptStreams>>,
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
    pub fn acquire(&self, address: SocketAddr, limit: TimeSpan) -> io::Result<BufferedStream> {
        if let Some(stream) = self.take_kept(address) {
            return Ok(stream);
        }
        let mut stream = BufferedStream::connect(address, limit, self.clock)?;
        stream.set_abortive(true);
        Ok(stream)
    }

    /// Keeps a connection whose last answer is complete; `keep_alive_timeout` is what its server said.
    pub fn release(
        &self,
        address: SocketAddr,
        mut stream: BufferedStream,
        keep_alive: Option<TimeSpan>,
    ) {
        if !stream.buffered().is_empty() || stream.is_at_eof() {
            return;
        }
        stream.set_abortive(false);
        let span = keep_alive.unwrap_or(KEEP_DEFAULT).saturating_sub(CLOSE_MARGIN);
        let now = self.clock.now();
        let kept_stream = KeptStream { stream, usable_until: now + span };
        let mut kept = self.lock();
        kept.prune(now);
        kept.by_server.entry(address).or_default().push(kept_stream);
    }

    fn take_kept(&self, address: SocketAddr) -> Option<BufferedStream> {
        let now = self.clock.now();
        let mut kept = self.lock();
        let streams = kept.by_server.get_mut(&address)?;
        while let Some(KeptStream { mut stream, usable_until }) = streams.pop() {
            // Unasked bytes or a close disqualify a connection.
            if usable_until > now && matches!(stream.has_input(), Ok(false)) {
                stream.set_abortive(true);
                return Some(stream);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, KeptStreams> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KeptStreams {
    /// Closes connections that are too old, also those to servers that are gone.
    fn prune(&mut self, now: MonoTime) {
        if now.since(self.pruned) < PRUNE_EVERY {
            return;
        }
        self.pruned = now;
        self.by_server.retain(|_, streams| {
            streams.retain(|kept| kept.usable_until > now);
            !streams.is_empty()
        });
    }
}
