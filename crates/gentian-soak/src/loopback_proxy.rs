//! TCP proxy on loopback that injects faults into connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use gentian_http::join_threads;
use socket2::SockRef;

const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
const READ_STEP: Duration = Duration::from_millis(50);
/// Size of the buffers between a caller and the server, so that a server which stops reading stops its
/// caller soon.
const BUFFER_BYTES: usize = 64 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const DELAY: Duration = Duration::from_millis(120);

/// How the proxy treats the bytes of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// Forwards them.
    Pass,
    /// Forwards them with a delay.
    Delay,
    /// Resets open and new connections.
    Reset,
    /// Drops bytes to the server and forwards those to the client.
    OneWay,
    /// Drops all bytes; a connection that has dropped some is reset after the fault.
    Silent,
    /// Drops all bytes; a connection that has dropped some stays open and silent after the fault.
    Mute,
    /// Drops all bytes of the connections that are open when the fault begins, for good; new ones
    /// are forwarded.
    Stale,
}

/// All modes that are faults.
pub(crate) const FAULT_MODES: [LinkMode; 6] = [
    LinkMode::Delay,
    LinkMode::Reset,
    LinkMode::OneWay,
    LinkMode::Silent,
    LinkMode::Mute,
    LinkMode::Stale,
];

impl LinkMode {
    fn from_number(number: u8) -> Self {
        FAULT_MODES.get(usize::from(number).wrapping_sub(1)).copied().unwrap_or(Self::Pass)
    }

    fn to_number(self) -> u8 {
        FAULT_MODES.iter().position(|mode| *mode == self).map_or(0, |place| place as u8 + 1)
    }
}

struct LinkState {
    mode: AtomicU8,
    /// Number of faults so far. A connection that has dropped bytes is reset after the fault.
    fault_count: AtomicU64,
    ended: AtomicBool,
}

/// Proxy in front of one server.
pub(crate) struct LoopbackProxy {
    state: Arc<LinkState>,
    thread: JoinHandle<()>,
}

impl LoopbackProxy {
    /// Listens on `address` and forwards connections to `server`.
    pub(crate) fn start(address: SocketAddr, server: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        SockRef::from(&listener).set_recv_buffer_size(BUFFER_BYTES)?;
        let state = Arc::new(LinkState {
            mode: AtomicU8::new(0),
            fault_count: AtomicU64::new(0),
            ended: AtomicBool::new(false),
        });
        let shared = Arc::clone(&state);
        let thread = std::thread::spawn(move || accept_all(&listener, server, &shared));
        Ok(Self { state, thread })
    }

    /// Sets how bytes are treated from now on.
    pub(crate) fn set_mode(&self, mode: LinkMode) {
        if mode != LinkMode::Pass {
            self.state.fault_count.fetch_add(1, Ordering::AcqRel);
        }
        self.state.mode.store(mode.to_number(), Ordering::Release);
    }

    /// Closes every connection and waits for the threads.
    pub(crate) fn join(self) {
        self.state.ended.store(true, Ordering::Release);
        join_threads([self.thread]);
    }
}

fn accept_all(listener: &TcpListener, server: SocketAddr, state: &Arc<LinkState>) {
    let mut threads = Vec::new();
    while !state.ended.load(Ordering::Acquire) {
        let Ok((client, _)) = listener.accept() else {
            std::thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        let state = Arc::clone(state);
        threads.push(std::thread::spawn(move || forward_connection(client, server, &state)));
    }
    join_threads(threads);
}

fn forward_connection(client: TcpStream, server: SocketAddr, state: &Arc<LinkState>) {
    if LinkMode::from_number(state.mode.load(Ordering::Acquire)) == LinkMode::Reset {
        return reset(&client);
    }
    let Ok(upstream) = TcpStream::connect_timeout(&server, CONNECT_TIMEOUT) else {
        return reset(&client);
    };
    if SockRef::from(&upstream).set_send_buffer_size(BUFFER_BYTES).is_err() {
        return reset(&client);
    }
    let copies = (client.try_clone(), upstream.try_clone());
    let (Ok(client_copy), Ok(upstream_copy)) = copies else { return reset(&client) };
    let shared = Arc::clone(state);
    let back = std::thread::spawn(move || copy_bytes(upstream_copy, client_copy, &shared, false));
    copy_bytes(client, upstream, state, true);
    join_threads([back]);
}

fn copy_bytes(mut from: TcpStream, mut to: TcpStream, state: &LinkState, is_forward: bool) {
    if from.set_nonblocking(false).and_then(|()| from.set_read_timeout(Some(READ_STEP))).is_err() {
        return;
    }
    let initial_fault_count = state.fault_count.load(Ordering::Acquire);
    let (mut has_dropped, mut is_mute) = (false, false);
    let mut bytes = [0; 16 * 1024];
    while !state.ended.load(Ordering::Acquire) {
        let mode = LinkMode::from_number(state.mode.load(Ordering::Acquire));
        let has_new_fault = state.fault_count.load(Ordering::Acquire) != initial_fault_count;
        let ends_fault = has_dropped && mode == LinkMode::Pass && has_new_fault;
        if mode == LinkMode::Reset || (ends_fault && !is_mute) {
            reset(&from);
            return reset(&to);
        }
        let count = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => return reset(&to),
        };
        let is_dropped = match mode {
            LinkMode::Silent | LinkMode::Mute => true,
            LinkMode::OneWay => is_forward,
            LinkMode::Stale => is_mute || has_new_fault,
            _ => is_mute,
        };
        is_mute |= mode == LinkMode::Mute || (mode == LinkMode::Stale && has_new_fault);
        has_dropped |= is_dropped;
        if mode == LinkMode::Delay {
            std::thread::sleep(DELAY);
        }
        if !is_dropped && to.write_all(&bytes[..count]).is_err() {
            return reset(&from);
        }
    }
    // The peer may have closed the connection already.
    if to.shutdown(Shutdown::Write).is_err() {
        log::debug!("the peer had closed the connection already");
    }
}

fn reset(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    if socket.set_linger(Some(Duration::ZERO)).is_err() {
        log::debug!("connection closed without a reset");
    }
    if stream.shutdown(Shutdown::Both).is_err() {
        log::debug!("connection was closed already");
    }
}
