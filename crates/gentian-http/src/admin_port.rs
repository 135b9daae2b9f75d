//! The admin port of a process, for its operators: health, readiness, metrics and status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use eyre::eyre;
use rouille::{Request, Response, Server};

/// Interval at which the thread checks the stop flag.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

type TextPage = Box<dyn Fn() -> String + Send + Sync>;

/// The admin pages of a process.
pub struct AdminPages {
    is_ready: Box<dyn Fn() -> bool + Send + Sync>,
    metrics: TextPage,
    status: TextPage,
}

impl AdminPages {
    /// Creates the pages from closures that return whether the process accepts work, its metrics as
    /// Prometheus text, and its status as JSON text.
    pub fn new(
        is_ready: impl Fn() -> bool + Send + Sync + 'static,
        metrics: impl Fn() -> String + Send + Sync + 'static,
        status: impl Fn() -> String + Send + Sync + 'static,
    ) -> Self {
        Self { is_ready: Box::new(is_ready), metrics: Box::new(metrics), status: Box::new(status) }
    }

    /// Serves `/healthz`, `/readyz`, `/metrics` and `/status` on a dedicated thread until `stop` is
    /// set.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be opened.
    pub fn serve(self, address: SocketAddr, stop: Arc<AtomicBool>) -> eyre::Result<JoinHandle<()>> {
        let server =
            Server::new(address, move |request| self.respond(request)).map_err(|error| {
                eyre!("cannot listen on {address}: {error}; choose a free port in the settings")
            })?;
        let work = move || {
            while !stop.load(Ordering::Acquire) {
                server.poll_timeout(POLL_INTERVAL);
            }
        };
        Ok(std::thread::Builder::new().name("admin".into()).spawn(work)?)
    }

    fn respond(&self, request: &Request) -> Response {
        match request.url().as_str() {
            "/healthz" => Response::text("ok\n"),
            "/readyz" if (self.is_ready)() => Response::text("ready\n"),
            "/readyz" => Response::text("not ready\n").with_status_code(503),
            "/metrics" => Response::text((self.metrics)()),
            "/status" => Response::from_data("application/json", (self.status)()),
            _ => Response::empty_404(),
        }
    }
}
