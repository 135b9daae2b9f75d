//! A proxy on loopback that harms connections.

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
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
const DELAY: Duration = Duration::from_millis(120);

/// What happens to the bytes of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// They pass.
    Pass,
    /// They pass late.
    Delay,
    /// Connections are reset, and new ones too.
    Reset,
    /// Bytes towards the server vanish.
    OneWay,
    /// All bytes vanish, without a reset.
    Silent,
}

/// Every way to harm a link.
pub(crate) const HARMS: [LinkMode; 4] =
    [LinkMode::Delay, LinkMode::Reset, LinkMode::OneWay, LinkMode::Silent];

impl LinkMode {
    fn of(number: u8) -> Self {
        HARMS.get(usize::from(number).wrapping_sub(1)).copied().unwrap_or(Self::Pass)
    }

    fn number(self) -> u8 {
        HARMS.iter().position(|mode| *mode == self).map_or(0, |place| place as u8 + 1)
    }
}

struct LinkState {
    mode: AtomicU8,
    /// Grows with each harm, so that a connection that lost bytes never goes on.
    harms: AtomicU64,
    ended: AtomicBool,
}

/// A proxy in front of one server.
pub(crate) struct LoopbackProxy {
    state: Arc<LinkState>,
    thread: JoinHandle<()>,
}

impl LoopbackProxy {
    /// Listens on `address` and connects to `server`.
    pub(crate) fn start(address: SocketAddr, server: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let state = Arc::new(LinkState {
            mode: AtomicU8::new(0),
            harms: AtomicU64::new(0),
            ended: AtomicBool::new(false),
        });
        let shared = Arc::clone(&state);
        let thread = std::thread::spawn(move || accept_all(&listener, server, &shared));
        Ok(Self { state, thread })
    }

    /// Sets what happens to bytes from now on.
    pub(crate) fn set_mode(&self, mode: LinkMode) {
        if mode != LinkMode::Pass {
            self.state.harms.fetch_add(1, Ordering::AcqRel);
        }
        self.state.mode.store(mode.number(), Ordering::Release);
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
        threads.push(std::thread::spawn(move || carry(client, server, &state)));
    }
    join_threads(threads);
}

fn carry(client: TcpStream, server: SocketAddr, state: &Arc<LinkState>) {
    if LinkMode::of(state.mode.load(Ordering::Acquire)) == LinkMode::Reset {
        return reset(&client);
    }
    let Ok(upstream) = TcpStream::connect_timeout(&server, CONNECT_LIMIT) else {
        return reset(&client);
    };
    let copies = (client.try_clone(), upstream.try_clone());
    let (Ok(client_copy), Ok(upstream_copy)) = copies else { return reset(&client) };
    let shared = Arc::clone(state);
    let back = std::thread::spawn(move || copy(upstream_copy, client_copy, &shared, false));
    copy(client, upstream, state, true);
    join_threads([back]);
}

fn copy(mut from: TcpStream, mut to: TcpStream, state: &LinkState, is_forward: bool) {
    if from.set_nonblocking(false).and_then(|()| from.set_read_timeout(Some(READ_STEP))).is_err() {
        return;
    }
    let born = state.harms.load(Ordering::Acquire);
    let mut has_lost = false;
    let mut bytes = [0; 16 * 1024];
    while !state.ended.load(Ordering::Acquire) {
        let mode = LinkMode::of(state.mode.load(Ordering::Acquire));
        let is_harmed = state.harms.load(Ordering::Acquire) != born;
        if mode == LinkMode::Reset || (has_lost && mode == LinkMode::Pass && is_harmed) {
            reset(&from);
            return reset(&to);
        }
        let count = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => return reset(&to),
        };
        let vanishes = match mode {
            LinkMode::Silent => true,
            LinkMode::OneWay => is_forward,
            _ => false,
        };
        has_lost |= vanishes;
        if mode == LinkMode::Delay {
            std::thread::sleep(DELAY);
        }
        if !vanishes && to.write_all(&bytes[..count]).is_err() {
            return reset(&from);
        }
    }
    // The other side may have gone already.
    if to.shutdown(Shutdown::Write).is_err() {
        log::debug!("link closed on both sides");
    }
}

fn reset(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    if socket.set_linger(Some(Duration::ZERO)).is_err() {
        log::debug!("link closed without a reset");
    }
    if stream.shutdown(Shutdown::Both).is_err() {
        log::debug!("link closed already");
    }
}
