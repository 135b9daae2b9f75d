//! Clients that send large request bodies at once.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::{BodyPattern, ProcessUsage};

/// Longest time for which a client's writes are blocked, and for which it waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Clients that send request bodies to one process at once.
#[derive(Clone, Debug)]
pub struct BodyCrowd {
    target: SocketAddr,
    clients: usize,
    /// Head of each request without its framing and the empty line.
    head: String,
    /// Largest legal size of a body in bytes.
    body_limit: usize,
}

/// What a crowd saw.
#[derive(Clone, Debug, Default)]
pub struct CrowdResult {
    /// Number of clients by the status line that they got; empty if the connection was closed or
    /// nothing came.
    pub statuses: BTreeMap<String, usize>,
    /// Memory and descriptors of the process.
    pub usage: ProcessUsage,
}

impl BodyCrowd {
    /// Creates a crowd of `clients` that send requests with this head to `target`, where a body may
    /// have `body_limit` bytes.
    pub fn new(target: SocketAddr, clients: usize, head: &str, body_limit: usize) -> Self {
        Self { target, clients, head: head.to_owned(), body_limit }
    }

    /// Has each client send a body, client `number` by the pattern at `number` modulo their count.
    /// Returns when all clients have left.
    pub fn run(&self, patterns: &[BodyPattern], process: u32) -> CrowdResult {
        let mut result = CrowdResult::default();
        std::thread::scope(|scope| {
            let clients: Vec<_> = (0..self.clients)
                .map(|number| {
                    let pattern = patterns[number % patterns.len()];
                    scope.spawn(move || self.run_client(pattern))
                })
                .collect();
            while !clients.iter().all(|client| client.is_finished()) {
                result.usage.sample(process);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            for client in clients {
                let status = client.join().unwrap_or_else(|_| "panicked".to_owned());
                *result.statuses.entry(status).or_default() += 1;
            }
        });
        result.usage.sample(process);
        result
    }

    fn run_client(&self, pattern: BodyPattern) -> String {
        let Ok(mut socket) = TcpStream::connect_timeout(&self.target, CLIENT_TIMEOUT) else {
            return "not connected".to_owned();
        };
        let has_timeouts = socket.set_write_timeout(Some(CLIENT_TIMEOUT)).is_ok()
            && socket.set_read_timeout(Some(CLIENT_TIMEOUT)).is_ok();
        if !has_timeouts {
            return "no timeouts".to_owned();
        }
        // A refusal may arrive before the body has been sent, and is read nevertheless.
        if let Err(error) = pattern.send(&mut socket, &self.head, self.body_limit) {
            log::debug!("body not sent whole: {error}");
        }
        let mut bytes = [0; 64];
        let count = socket.read(&mut bytes).unwrap_or(0);
        let text = String::from_utf8_lossy(&bytes[..count]);
        text.split_whitespace().nth(1).unwrap_or_default().to_owned()
    }
}
