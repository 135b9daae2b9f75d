//! Pool of idle connections to servers.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use gentian_core::{FastMap, MonoTime, TimeSpan};

use super::BufferedStream;
use crate::ProcessClock;

/// Assumed idle timeout of a server that does not specify one.
const DEFAULT_IDLE_TIMEOUT: TimeSpan = TimeSpan::from_millis(4_000);
/// A connection is not reused when less than this is left of the server's idle timeout, because the
/// server could close it while a request is on its way.
const CLOSE_MARGIN: TimeSpan = TimeSpan::from_millis(600);

/// Largest number of idle connections, unless it is set.
const MAX_IDLE: usize = 4_096;
/// Interval between removals of expired connections.
const PRUNE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

#[derive(Debug)]
struct IdleStream {
    stream: BufferedStream,
    usable_until: MonoTime,
}

#[derive(Debug, Default)]
struct IdleStreams {
    /// Bounded by the largest number of idle connections of the pool.
    by_server: FastMap<SocketAddr, Vec<IdleStream>>,
    count: usize,
    last_prune: MonoTime,
}

/// Pool of idle connections by server address.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IdleStreams>>,
    max_idle: usize,
    clock: ProcessClock,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(clock: ProcessClock) -> Self {
        Self { idle: Arc::default(), max_idle: MAX_IDLE, clock }
    }

    /// Sets the largest number of idle connections; further ones are closed instead of kept.
    pub fn with_max_idle(self, max_idle: usize) -> Self {
        Self { max_idle, ..self }
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.lock().count
    }

    /// Returns an idle connection to `address`, or connects within `timeout`. Unless it is
    /// released, the connection is reset when it is dropped, so that an abandoned request does not
    /// arrive later.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is established; no byte was sent in that case.
    pub fn acquire(&self, address: SocketAddr, timeout: TimeSpan) -> io::Result<BufferedStream> {
        if let Some(stream) = self.acquire_idle(address) {
            return Ok(stream);
        }
        let mut stream = BufferedStream::connect(address, timeout, self.clock)?;
        stream.set_abortive(true);
        Ok(stream)
    }

    /// Returns a connection to the pool after a complete response; `keep_alive_timeout` is the idle
    /// timeout that the server specified.
    pub fn release(
        &self,
        address: SocketAddr,
        mut stream: BufferedStream,
        keep_alive_timeout: Option<TimeSpan>,
    ) {
        if !stream.buffered().is_empty() || stream.is_at_eof() {
            return;
        }
        stream.set_abortive(false);
        stream.mark_reused();
        let span = keep_alive_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(CLOSE_MARGIN);
        let now = self.clock.now();
        let idle_stream = IdleStream { stream, usable_until: now + span };
        let mut idle = self.lock();
        idle.prune(now);
        if idle.count >= self.max_idle {
            return;
        }
        idle.count += 1;
        idle.by_server.entry(address).or_default().push(idle_stream);
    }

    fn acquire_idle(&self, address: SocketAddr) -> Option<BufferedStream> {
        let now = self.clock.now();
        let mut idle = self.lock();
        while let Some(IdleStream { mut stream, usable_until }) = idle.pop(address) {
            // A connection that was closed or has unexpected input is not reused.
            if usable_until > now && matches!(stream.has_input(), Ok(false)) {
                stream.set_abortive(true);
                return Some(stream);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IdleStreams> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleStreams {
    fn pop(&mut self, address: SocketAddr) -> Option<IdleStream> {
        let idle_stream = self.by_server.get_mut(&address)?.pop()?;
        self.count -= 1;
        Some(idle_stream)
    }

    /// Closes expired connections, also those to servers that no longer exist.
    fn prune(&mut self, now: MonoTime) {
        if now.since(self.last_prune) < PRUNE_INTERVAL {
            return;
        }
        self.last_prune = now;
        self.by_server.retain(|_, streams| {
            streams.retain(|idle| idle.usable_until > now);
            !streams.is_empty()
        });
        self.count = self.by_server.values().map(Vec::len).sum();
    }
}
