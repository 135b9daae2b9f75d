//! A connection with its read buffer, and waits that end at a given time.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use gentian_core::{MonoTime, TimeSpan};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{SockRef, TcpKeepalive};

use crate::ProcessClock;

/// Bytes read from a socket at a time.
const READ_BYTES: usize = 16 * 1024;
/// Time after which data that a peer does not acknowledge breaks the connection.
const SILENT_LIMIT: Duration = Duration::from_millis(3_000);
/// Idle time before a probe, and time between probes, that find a peer without power.
const PROBE_TIME: Duration = Duration::from_secs(1);
const PROBE_COUNT: u32 = 2;

/// What a wait for two peers ended with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The stream itself has bytes, or has ended.
    Ready,
    /// The other peer closed its connection.
    OtherClosed,
    /// Neither happened in time.
    TimedOut,
}

/// A connection with the bytes that were read and not used yet.
#[derive(Debug)]
pub struct BufferedStream {
    socket: TcpStream,
    buffer: Vec<u8>,
    start: usize,
    is_at_eof: bool,
    is_abortive: bool,
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
        options.set_tcp_user_timeout(Some(SILENT_LIMIT))?;
        let probes = TcpKeepalive::new();
        let probes = probes.with_time(PROBE_TIME).with_interval(PROBE_TIME);
        options.set_tcp_keepalive(&probes.with_retries(PROBE_COUNT))?;
        Ok(Self {
            socket,
            buffer: Vec::new(),
            start: 0,
            is_at_eof: false,
            is_abortive: false,
            clock,
        })
    }

    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection comes about in time.
    pub fn connect(address: SocketAddr, limit: TimeSpan, clock: ProcessClock) -> io::Result<Self> {
        let limit = Duration::from(limit).max(Duration::from_millis(1));
        Self::new(TcpStream::connect_timeout(&address, limit)?, clock)
    }

    /// Sets whether the connection is reset when it is dropped: bytes that were written and have not
    /// left yet are thrown away then, instead of reaching the peer later.
    pub fn set_abortive(&mut self, is_abortive: bool) {
        self.is_abortive = is_abortive;
    }

    /// Returns the bytes that were read and not used yet.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Marks `count` bytes as used.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        }
    }

    /// Tells whether the peer has ended its side.
    pub fn is_at_eof(&self) -> bool {
        self.is_at_eof
    }

    /// Reads more bytes, waiting until `deadline`; zero means that the peer has ended its side.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` at the deadline, or the error of the connection.
    pub fn fill(&mut self, deadline: MonoTime) -> io::Result<usize> {
        loop {
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

    /// Reads what has arrived without waiting; `WouldBlock` if there is nothing.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub fn read_available(&mut self) -> io::Result<usize> {
        if self.is_at_eof {
            return Ok(0);
        }
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        let length = self.buffer.len();
        self.buffer.resize(length + READ_BYTES, 0);
        let result = self.socket.read(&mut self.buffer[length..]);
        self.buffer.truncate(length + result.as_ref().copied().unwrap_or(0));
        if let Ok(0) = result {
            self.is_at_eof = true;
        }
        result
    }

    /// Writes all bytes before `deadline`.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` at the deadline, or the error of the connection.
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

    /// Writes a request before `deadline` and stops when the peer answers early; returns whether all
    /// bytes were written.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` at the deadline, or the error of the connection.
    pub fn write_request(&mut self, bytes: &[u8], deadline: MonoTime) -> io::Result<bool> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let written = self.write_some(rest)?;
            rest = &rest[written..];
            if written > 0 {
                continue;
            }
            if !self.wait(PollFlags::IN | PollFlags::OUT, deadline)? {
                return Err(io::ErrorKind::TimedOut.into());
            }
            if self.has_input()? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Waits until this stream has bytes or `other` is closed by its peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the wait itself fails.
    pub fn wait_for_input_or_close(
        &self,
        other: &Self,
        deadline: MonoTime,
    ) -> io::Result<WaitOutcome> {
        let mut waits = [
            PollFd::new(&self.socket, PollFlags::IN),
            PollFd::new(&other.socket, PollFlags::RDHUP),
        ];
        let count = self.poll_until(&mut waits, deadline)?;
        if count == 0 {
            return Ok(WaitOutcome::TimedOut);
        }
        let is_gone = !waits[1].revents().is_empty();
        Ok(if is_gone { WaitOutcome::OtherClosed } else { WaitOutcome::Ready })
    }

    /// Tells whether the peer has closed its connection, without waiting.
    pub fn is_peer_closed(&self) -> bool {
        let mut waits = [PollFd::new(&self.socket, PollFlags::RDHUP)];
        let none = Timespec { tv_sec: 0, tv_nsec: 0 };
        self.is_at_eof || poll(&mut waits, Some(&none)).is_ok_and(|count| count > 0)
    }

    /// Tells whether bytes or the end of the connection wait to be read.
    ///
    /// # Errors
    ///
    /// Returns an error if the wait itself fails.
    pub fn has_input(&self) -> io::Result<bool> {
        self.wait(PollFlags::IN, MonoTime::ORIGIN)
    }

    /// Ends this side and reads what still crosses until the peer ends its side or `linger` is over,
    /// so that the peer gets everything that was written.
    pub fn close_gracefully(mut self, linger: TimeSpan) {
        if self.socket.shutdown(Shutdown::Write).is_err() {
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
            result => result,
        }
    }

    fn wait(&self, flags: PollFlags, deadline: MonoTime) -> io::Result<bool> {
        let mut waits = [PollFd::new(&self.socket, flags)];
        Ok(self.poll_until(&mut waits, deadline)? > 0)
    }

    fn poll_until(&self, waits: &mut [PollFd<'_>], deadline: MonoTime) -> io::Result<usize> {
        loop {
            let left = Duration::from(deadline.since(self.clock.now()));
            let seconds = i64::try_from(left.as_secs()).unwrap_or(i64::MAX);
            let limit = Timespec { tv_sec: seconds, tv_nsec: i64::from(left.subsec_nanos()) };
            match poll(waits, Some(&limit)) {
                Err(rustix::io::Errno::INTR) => {}
                result => return Ok(result?),
            }
        }
    }
}

impl Drop for BufferedStream {
    fn drop(&mut self) {
        if self.is_abortive
            && let Err(error) = SockRef::from(&self.socket).set_linger(Some(Duration::ZERO))
        {
            log::debug!("connection closed without a reset: {error}");
        }
    }
}
