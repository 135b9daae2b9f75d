//! The HTTP port of a stand-in with its control calls.

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

const THREAD_LIMIT: usize = 4_000;
const BODY_LIMIT: usize = 64 << 20;
const SLOW_DELAY: Duration = Duration::from_secs(1);

/// What the handler of a stand-in works with.
pub(crate) struct StandinPort {
    /// Faults in force.
    pub(crate) faults: FaultSwitch,
    /// What the stand-in did.
    pub(crate) journal: RunJournal,
    /// Set when the stand-in was asked to stop.
    pub(crate) stop: Arc<AtomicBool>,
}

impl StandinPort {
    /// Serves until the process is asked to stop; `handle` gets every call that is not a control
    /// call.
    pub(crate) fn serve(
        address: SocketAddr,
        handle: impl Fn(&Self, HttpRequest) + Send + Sync + 'static,
    ) -> eyre::Result<()> {
        let signal = StopSignal::new(|| {})?;
        let stop = signal.flag();
        let front = HttpServer::new(address, THREAD_LIMIT, Arc::clone(&stop))?;
        log::info!("{} address={address}", EventCode::PROCESS_STARTED);
        let port = Self { faults: FaultSwitch::default(), journal: RunJournal::new(), stop };
        front.serve(move |request| port.answer(request, &handle));
        signal.join();
        log::info!("{}", EventCode::PROCESS_STOPPED);
        Ok(())
    }

    fn answer(&self, request: HttpRequest, handle: &impl Fn(&Self, HttpRequest)) {
        match request.path() {
            "/control/journal" => reply_json(request, 200, &self.journal.entries()),
            "/control/fault" => self.set_fault(request),
            _ if self.faults.strikes(FaultName::Down) => send(request, HttpResponse::new(503)),
            _ => {
                if self.faults.strikes(FaultName::Slow) {
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

/// Reads a JSON body; a malformed one is `None`.
pub(crate) fn read_json<T: DeserializeOwned>(request: &mut HttpRequest) -> Option<T> {
    let body = request.read_body(BODY_LIMIT).ok()?;
    serde_json::from_slice(&body).ok()
}

/// Sends a JSON answer.
pub(crate) fn reply_json(request: HttpRequest, status: u16, body: &impl Serialize) {
    let reply = match serde_json::to_vec(body) {
        Ok(bytes) => HttpResponse::new(status).with_json(bytes),
        Err(_) => HttpResponse::new(500),
    };
    send(request, reply);
}

fn send(request: HttpRequest, reply: HttpResponse) {
    if let Err(error) = request.respond(reply) {
        log::debug!("answer not delivered: {error}");
    }
}
