//! Authenticated datagrams between the processes of the system.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use eyre::WrapErr;
use gentian_core::EventCode;
use gentian_wire::{ClusterKey, MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Interval at which the receiving thread checks the stop flag.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Total size of the datagrams of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTraffic {
    /// Bytes sent so far.
    pub sent: u64,
    /// Bytes received so far.
    pub received: u64,
}

/// Sends and receives authenticated datagrams.
#[derive(Clone)]
pub struct PeerSocket {
    socket: Arc<UdpSocket>,
    key: ClusterKey,
    sent_bytes: Arc<AtomicU64>,
    received_bytes: Arc<AtomicU64>,
}

impl PeerSocket {
    /// Binds the socket to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be opened.
    pub fn new(address: SocketAddr, key: ClusterKey) -> eyre::Result<Self> {
        let socket = UdpSocket::bind(address).wrap_err_with(|| {
            format!("cannot open the datagram port {address}; choose a free port in the settings")
        })?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        let (sent_bytes, received_bytes) = (Arc::default(), Arc::default());
        Ok(Self { socket: Arc::new(socket), key, sent_bytes, received_bytes })
    }

    /// Sends a message; a datagram that cannot be sent is treated as lost.
    pub fn send(&self, message: &impl Serialize, address: SocketAddr) {
        match encode_datagram(message, &self.key) {
            Ok(bytes) => {
                let length = u64::try_from(bytes.len()).unwrap_or(0);
                self.sent_bytes.fetch_add(length, Ordering::Relaxed);
                if let Err(error) = self.socket.send_to(&bytes, address) {
                    log::debug!("datagram to {address} could not be sent: {error}");
                }
            }
            Err(error) => log::error!("datagram to {address} could not be encoded: {error}"),
        }
    }

    /// Starts a thread that passes received messages to `handle` until the stop flag is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn receive<M: DeserializeOwned>(
        &self,
        stop: Arc<AtomicBool>,
        handle: impl Fn(M, SocketAddr) + Send + 'static,
    ) -> eyre::Result<JoinHandle<()>> {
        let peer = self.clone();
        let work = move || {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            while !stop.load(Ordering::Acquire) {
                let Ok((length, from)) = peer.socket.recv_from(&mut buffer) else { continue };
                peer.received_bytes
                    .fetch_add(u64::try_from(length).unwrap_or(0), Ordering::Relaxed);
                match decode_datagram(&buffer[..length], &peer.key) {
                    Ok(message) => handle(message, from),
                    Err(error) => {
                        log::warn!("{} from={from} cause={error}", EventCode::DATAGRAM_REFUSED);
                    }
                }
            }
        };
        Ok(std::thread::Builder::new().name("datagrams".into()).spawn(work)?)
    }

    /// Returns the bytes sent and received so far.
    pub fn traffic(&self) -> PeerTraffic {
        PeerTraffic {
            sent: self.sent_bytes.load(Ordering::Relaxed),
            received: self.received_bytes.load(Ordering::Relaxed),
        }
    }
}
