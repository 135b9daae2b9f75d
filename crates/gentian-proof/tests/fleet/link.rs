//! TCP forwarder that a test can cut.

use std::io::copy;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Forwards connections to `target` unless it is cut.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub(crate) fn new(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (cut, open_streams) = (Arc::clone(&is_cut), Arc::clone(&streams));
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if cut.load(Ordering::Acquire) {
                    continue;
                }
                let Ok(server) = TcpStream::connect(target) else { continue };
                let ends = [(&client, &server), (&server, &client)];
                for (from, to) in ends {
                    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    std::thread::spawn(move || {
                        let _ = copy(&mut from, &mut to);
                        let _ = to.shutdown(Shutdown::Both);
                    });
                }
                open_streams.lock().unwrap().extend([client, server]);
            }
        });
        Self { address, is_cut, streams }
    }

    /// Cuts the link or restores it; closes all open connections in both cases.
    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Release);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
