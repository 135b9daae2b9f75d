//! The admin port of a process, for its operators: health, readiness, metrics and status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;

use gentian_core::TimeSpan;

use crate::{HttpRequest, HttpResponse, HttpServer};

/// Number of requests that are handled at a time.
const REQUEST_LIMIT: usize = 16;
/// Time within which a request must arrive.
const REQUEST_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

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
        let server = HttpServer::new(address, REQUEST_LIMIT, stop)?;
        let server = server.with_request_timeout(REQUEST_TIMEOUT);
        let work = move || server.serve(move |request| self.handle(request));
        Ok(std::thread::Builder::new().name("admin".into()).spawn(work)?)
    }

    fn handle(&self, request: HttpRequest) {
        let response = self.respond(request.path());
        if let Err(error) = request.respond(response) {
            log::debug!("admin page not sent: {error}");
        }
    }

    fn respond(&self, path: &str) -> HttpResponse {
        let text = |status, body: String| {
            let response = HttpResponse::new(status).with_body(body);
            response.with_header("Content-Type", "text/plain; charset=utf-8")
        };
        match path {
            "/healthz" => text(200, "ok\n".to_owned()),
            "/readyz" if (self.is_ready)() => text(200, "ready\n".to_owned()),
            "/readyz" => text(503, "not ready\n".to_owned()),
            "/metrics" => text(200, (self.metrics)()),
            "/status" => HttpResponse::new(200).with_json((self.status)()),
            _ => HttpResponse::new(404),
        }
    }
}
