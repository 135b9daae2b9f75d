//! HTTP server of a stand-in, with the control endpoints for faults and the journal.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use gentian_core::EventCode;
use gentian_http::{HttpRequest, HttpResponse, HttpServer};
use gentian_process::StopSignal;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{FaultName, FaultSwitch, RunJournal};

const MAX_THREADS: usize = 4_000;
const MAX_BODY_BYTES: usize = 64 << 20;
const SLOW_DELAY: Duration = Duration::from_secs(1);

/// State that the control endpoints share with the request handler of a stand-in.
pub(crate) struct StandinServer {
    /// Faults that are active now.
    pub(crate) faults: FaultSwitch,
    /// Journal of what the stand-in did.
    pub(crate) journal: RunJournal,
    /// Set once the process has received a stop signal.
    pub(crate) stop: Arc<AtomicBool>,
}

impl StandinServer {
    /// Serves requests until the process receives a stop signal. `handle` receives every request
    /// that is not for a control endpoint.
    pub(crate) fn serve(
        address: SocketAddr,
        handle: impl Fn(&Self, HttpRequest) + Send + Sync + 'static,
    ) -> eyre::Result<()> {
        let signal = StopSignal::new(|| {})?;
        let stop = signal.flag();
        let http_server = HttpServer::new(address, MAX_THREADS, Arc::clone(&stop))?;
        log::info!("{} address={address}", EventCode::PROCESS_STARTED);
        let server = Self { faults: FaultSwitch::default(), journal: RunJournal::new(), stop };
        http_server.serve(move |request| server.handle_request(request, &handle));
        signal.join();
        log::info!("{}", EventCode::PROCESS_STOPPED);
        Ok(())
    }

    fn handle_request(&self, request: HttpRequest, handle: &impl Fn(&Self, HttpRequest)) {
        match request.path() {
            "/control/journal" => respond_json(request, 200, &self.journal.entries()),
            "/control/fault" => self.set_fault(request),
            path if !path.starts_with("/control/") && self.faults.consume(FaultName::Down) => {
                send(request, HttpResponse::new(503));
            }
            _ => {
                if self.faults.consume(FaultName::Slow) {
                    std::thread::sleep(SLOW_DELAY);
                }
                handle(self, request);
            }
        }
    }

    fn set_fault(&self, request: HttpRequest) {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let fault = request.query("name").and_then(|text| text.parse::<FaultName>().ok());
        match (fault, number("millis"), number("count")) {
            (Some(fault), Some(millis), _) => {
                self.faults.set_for(fault, Duration::from_millis(millis));
                send(request, HttpResponse::new(204));
            }
            (Some(fault), None, Some(count)) => {
                self.faults.set_times(fault, count);
                send(request, HttpResponse::new(204));
            }
            _ => send(request, HttpResponse::new(400)),
        }
    }
}

/// Reads a JSON body. Returns `None` if it is malformed or too large.
pub(crate) fn read_json<T: DeserializeOwned>(request: &mut HttpRequest) -> Option<T> {
    let body = request.read_body(MAX_BODY_BYTES).ok()?;
    serde_json::from_slice(&body).ok()
}

/// Sends a JSON response.
pub(crate) fn respond_json(request: HttpRequest, status: u16, body: &impl Serialize) {
    let response = match serde_json::to_vec(body) {
        Ok(bytes) => HttpResponse::new(status).with_json(bytes),
        Err(_) => HttpResponse::new(500),
    };
    send(request, response);
}

fn send(request: HttpRequest, response: HttpResponse) {
    if let Err(error) = request.respond(response) {
        log::debug!("response not delivered: {error}");
    }
}
