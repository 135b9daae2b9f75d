//! TCP connection with a read buffer and a deadline for each wait.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use gentian_core::{MonoTime, TimeSpan};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{SockRef, TcpKeepalive};

use crate::ProcessClock;

/// Largest number of bytes per read from the socket.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Size of the kernel's receive buffer. The kernel may keep more than a hundred times as much by itself,
/// which counts as memory of the process. A body of 4 MB needs 1.4 MB/s to arrive within 3 s, which 64 KiB
/// allow up to a round trip of 45 ms.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Time after which unacknowledged data closes the connection (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Idle time before the first keepalive probe, and time between probes; they detect a peer that
/// lost power.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Result of waiting for two peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The stream itself has bytes to read or is at its end.
    Ready,
    /// The other peer closed its connection.
    OtherClosed,
    /// Neither happened before the deadline.
    TimedOut,
}

/// A TCP connection with a buffer of bytes that were read and not consumed yet.
#[derive(Debug)]
pub struct BufferedStream {
    socket: TcpStream,
    buffer: Vec<u8>,
    start: usize,
    is_at_eof: bool,
    /// Whether a write has shown that the connection is lost. The kernel reports that once, and a read
    /// finds the end of the stream afterwards.
    is_lost: bool,
    is_abortive: bool,
    is_reused: bool,
    clock: ProcessClock,
}

impl BufferedStream {
    /// Creates a stream from a connected socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket options cannot be set.
    pub fn new(socket: TcpStream, clock: ProcessClock) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let options = SockRef::from(&socket);
        options.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let probes = TcpKeepalive::new();
        let probes = probes.with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
        options.set_tcp_keepalive(&probes.with_retries(KEEPALIVE_PROBES))?;
        Ok(Self {
            socket,
            buffer: Vec::new(),
            start: 0,
            is_at_eof: false,
            is_lost: false,
            is_abortive: false,
            is_reused: false,
            clock,
        })
    }

    /// Connects to `address`, waiting for `timeout` at most.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is established in time.
    pub fn connect(
        address: SocketAddr,
        timeout: TimeSpan,
        clock: ProcessClock,
    ) -> io::Result<Self> {
        let timeout = Duration::from(timeout).max(Duration::from_millis(1));
        Self::new(TcpStream::connect_timeout(&address, timeout)?, clock)
    }

    /// Sets whether dropping the stream resets the connection. A reset discards bytes that were
    /// written and are still in the send buffer, so that they do not reach the peer later.
    pub fn set_abortive(&mut self, is_abortive: bool) {
        self.is_abortive = is_abortive;
    }

    /// Marks the connection as one on which responses to earlier requests have arrived.
    pub fn mark_reused(&mut self) {
        self.is_reused = true;
    }

    /// Returns whether the connection has served earlier requests, whose responses may be repeated.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns whether the connection is known to be lost, without waiting.
    pub fn is_lost(&mut self) -> bool {
        self.is_lost |= matches!(self.socket.take_error(), Ok(Some(_)));
        self.is_lost
    }

    /// Returns the bytes that were read and not consumed yet.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Removes the first `count` bytes from the buffer.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        }
    }

    /// Returns whether a read has reached the end of the stream.
    pub fn is_at_eof(&self) -> bool {
        self.is_at_eof
    }

    /// Reads more bytes into the buffer, waiting until `deadline`; returns zero at the end of the
    /// stream.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` after the deadline, even if bytes have arrived, so that a peer that never
    /// stops sending cannot prolong it. Otherwise returns the I/O error of the connection.
    pub fn fill(&mut self, deadline: MonoTime) -> io::Result<usize> {
        loop {
            if self.is_past(deadline) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            match self.read_available() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if !self.wait(PollFlags::IN, deadline)? {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                }
                result => return result,
            }
        }
    }

    /// Returns whether `deadline` has passed.
    pub fn is_past(&self, deadline: MonoTime) -> bool {
        self.clock.now() > deadline
    }

    /// Reads the bytes that have arrived, without waiting.
    ///
    /// # Errors
    ///
    /// Returns `WouldBlock` if no byte has arrived, or the I/O error of the connection, also if an earlier
    /// write has shown it.
    pub fn read_available(&mut self) -> io::Result<usize> {
        if self.is_at_eof {
            return Ok(0);
        }
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        let length = self.buffer.len();
        self.buffer.reserve_exact(READ_CHUNK_BYTES);
        self.buffer.resize(length + READ_CHUNK_BYTES, 0);
        let result = self.socket.read(&mut self.buffer[length..]);
        self.buffer.truncate(length + result.as_ref().copied().unwrap_or(0));
        match result {
            Ok(0) if self.is_lost => Err(io::ErrorKind::ConnectionReset.into()),
            Ok(0) => {
                self.is_at_eof = true;
                Ok(0)
            }
            result => result,
        }
    }

    /// Writes all bytes before `deadline`.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` at the deadline, or the I/O error of the connection.
    pub fn write_all(&mut self, bytes: &[u8], deadline: MonoTime) -> io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let written = self.write_some(rest)?;
            rest = &rest[written..];
            if written == 0 && !self.wait(PollFlags::OUT, deadline)? {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        Ok(())
    }

    /// Writes all bytes while the peer takes some of them at least every `max_pause`, until `end` at
    /// most. A slow peer is not cut off, and one that takes a byte now and then doesn't go on for ever.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` after such a pause or at the end, or the I/O error of the connection.
    pub fn write_steadily(
        &mut self,
        bytes: &[u8],
        max_pause: TimeSpan,
        end: MonoTime,
    ) -> io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let written = self.write_some(rest)?;
            rest = &rest[written..];
            let pause_end = end.min(self.clock.now() + max_pause);
            if self.is_past(end) || (written == 0 && !self.wait(PollFlags::OUT, pause_end)?) {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        Ok(())
    }

    /// Writes a request before `deadline` and stops if the peer responds early or the connection is
    /// lost, which the next reads show; returns how many bytes were written.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` at the deadline, or an error if the socket cannot be polled.
    pub fn write_request(&mut self, bytes: &[u8], deadline: MonoTime) -> io::Result<usize> {
        let mut total = 0;
        while total < bytes.len() {
            let written = match self.write_some(&bytes[total..]) {
                Ok(written) => written,
                Err(_) if self.is_lost => return Ok(total),
                Err(error) => return Err(error),
            };
            total += written;
            if written > 0 {
                continue;
            }
            if !self.wait(PollFlags::IN | PollFlags::OUT, deadline)? {
                return Err(io::ErrorKind::TimedOut.into());
            }
            if self.has_input()? {
                return Ok(total);
            }
        }
        Ok(total)
    }

    /// Writes the rest of a request whose response has ended, and waits until the kernel has sent all of
    /// it, while the peer takes some of it at least every `max_pause`, until `end` at most. Returns whether
    /// the connection took it without a loss.
    pub fn finish_request<'a>(
        &mut self,
        rest: impl Iterator<Item = &'a [u8]>,
        max_pause: TimeSpan,
        end: MonoTime,
    ) -> bool {
        for piece in rest {
            if let Err(error) = self.write_steadily(piece, max_pause, end) {
                log::debug!("the rest of a request is not sent: {error}");
                return false;
            }
        }
        let sent = self.wait_until_sent(end.min(self.clock.now() + max_pause));
        matches!(sent, Ok(true)) && !self.is_lost()
    }

    /// Waits until no byte that was written is unsent; returns whether that is so at the deadline.
    fn wait_until_sent(&self, deadline: MonoTime) -> io::Result<bool> {
        // From now on, the socket counts as writable only with nothing unsent.
        if let Err(error) = SockRef::from(&self.socket).set_tcp_notsent_lowat(1) {
            log::debug!("unsent bytes of a connection are not known: {error}");
        }
        self.wait(PollFlags::OUT, deadline)
    }

    /// Waits until this stream has input or the peer of `other` closes its connection, until
    /// `deadline` at most.
    ///
    /// # Errors
    ///
    /// Returns an error if polling the socket fails.
    pub fn wait_for_input_or_close(
        &self,
        other: &Self,
        deadline: MonoTime,
    ) -> io::Result<WaitOutcome> {
        let mut poll_fds = [
            PollFd::new(&self.socket, PollFlags::IN),
            PollFd::new(&other.socket, PollFlags::RDHUP),
        ];
        let count = self.poll_until(&mut poll_fds, deadline)?;
        if count == 0 {
            return Ok(WaitOutcome::TimedOut);
        }
        let is_closed = !poll_fds[1].revents().is_empty();
        Ok(if is_closed { WaitOutcome::OtherClosed } else { WaitOutcome::Ready })
    }

    /// Returns whether the peer has closed its connection, without waiting.
    pub fn is_peer_closed(&self) -> bool {
        let mut poll_fds = [PollFd::new(&self.socket, PollFlags::RDHUP)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        self.is_at_eof || poll(&mut poll_fds, Some(&no_wait)).is_ok_and(|count| count > 0)
    }

    /// Returns whether bytes or the end of the stream can be read without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error if polling the socket fails.
    pub fn has_input(&self) -> io::Result<bool> {
        self.wait(PollFlags::IN, MonoTime::ORIGIN)
    }

    /// Ends the sending side; the peer reads what was written and then the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended.
    pub fn end_sending(&self) -> io::Result<()> {
        self.socket.shutdown(Shutdown::Write)
    }

    /// Shuts down the sending side, then reads and discards input until the peer closes its side or
    /// `linger` has passed. Closing with unread input would reset the connection, and the peer
    /// might not receive everything that was written.
    pub fn close_gracefully(mut self, linger: TimeSpan) {
        if self.end_sending().is_err() {
            return;
        }
        let deadline = self.clock.now() + linger;
        while let Ok(count) = self.fill(deadline) {
            if count == 0 {
                return;
            }
            self.consume(count);
        }
    }

    fn write_some(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.socket.write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            Err(error) => {
                self.is_lost |= is_connection_loss(&error);
                Err(error)
            }
            result => result,
        }
    }

    fn wait(&self, flags: PollFlags, deadline: MonoTime) -> io::Result<bool> {
        let mut poll_fds = [PollFd::new(&self.socket, flags)];
        Ok(self.poll_until(&mut poll_fds, deadline)? > 0)
    }

    fn poll_until(&self, poll_fds: &mut [PollFd<'_>], deadline: MonoTime) -> io::Result<usize> {
        loop {
            let remaining = Duration::from(deadline.since(self.clock.now()));
            let seconds = i64::try_from(remaining.as_secs()).unwrap_or(i64::MAX);
            let timeout =
                Timespec { tv_sec: seconds, tv_nsec: i64::from(remaining.subsec_nanos()) };
            match poll(poll_fds, Some(&timeout)) {
                Err(rustix::io::Errno::INTR) => {}
                result => return Ok(result?),
            }
        }
    }
}

/// Returns whether a write failed since the connection is lost.
fn is_connection_loss(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, TimedOut};
    matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | TimedOut)
}

impl Drop for BufferedStream {
    fn drop(&mut self) {
        if self.is_abortive
            && let Err(error) = SockRef::from(&self.socket).set_linger(Some(Duration::ZERO))
        {
            log::debug!("connection could not be set to reset on close: {error}");
        }
    }
}
