//! Subcommand that runs the weight store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use gentian_core::TimeSpan;
use serde_json::json;

use crate::shared::{StandinServer, respond_json};

/// A store of weights with a limited rate and number of loads.
#[derive(FromArgs)]
#[argh(subcommand, name = "weight-store")]
pub(crate) struct WeightStoreCommand {
    /// address of the HTTP port
    #[argh(option)]
    address: SocketAddr,
    /// time of one model load at full speed (default 2s)
    #[argh(option, default = "TimeSpan::from_millis(2_000)")]
    model_time: TimeSpan,
    /// time of one adapter load at full speed (default 10ms)
    #[argh(option, default = "TimeSpan::from_millis(10)")]
    adapter_time: TimeSpan,
    /// minimum time between the starts of two model loads (default 667ms)
    #[argh(option, default = "TimeSpan::from_millis(667)")]
    load_interval: TimeSpan,
    /// model loads at full speed at the same time (default 4)
    #[argh(option, default = "4")]
    model_loads: u64,
    /// adapter loads at full speed at the same time (default 30)
    #[argh(option, default = "30")]
    adapter_loads: u64,
}

/// Counts loads in flight. Beyond the limit each load takes proportionally longer.
#[derive(Default)]
struct LoadCounter(AtomicU64);

impl LoadCounter {
    fn run_load(&self, time: TimeSpan, limit: u64) -> u64 {
        let count = self.0.fetch_add(1, Ordering::AcqRel) + 1;
        let factor = count.max(limit) as f64 / limit as f64;
        std::thread::sleep(Duration::from(time).mul_f64(factor));
        self.0.fetch_sub(1, Ordering::AcqRel);
        count
    }
}

/// Runs the weight store. `GET /weights/NAME?kind=model` (or `kind=adapter`) responds once the load
/// has finished.
pub(crate) fn run_weight_store(command: WeightStoreCommand) -> eyre::Result<()> {
    let (models, adapters) = (LoadCounter::default(), LoadCounter::default());
    let next_start = Mutex::new(Instant::now());
    StandinServer::serve(command.address, move |server, request| {
        let Some(name) = request.path().strip_prefix("/weights/").map(str::to_owned) else {
            return respond_json(request, 404, &json!({ "error": "unknown path" }));
        };
        let count = if request.query("kind") == Some("adapter") {
            adapters.run_load(command.adapter_time, command.adapter_loads)
        } else {
            wait_for_start(&next_start, command.load_interval.into());
            models.run_load(command.model_time, command.model_loads)
        };
        server.journal.record("fetched", &name, request.query("kind").unwrap_or("model"), count);
        respond_json(request, 200, &json!({ "name": name }));
    })
}

fn wait_for_start(next_start: &Mutex<Instant>, interval: Duration) {
    let start = {
        let mut next = next_start.lock().unwrap_or_else(PoisonError::into_inner);
        let start = (*next).max(Instant::now());
        *next = start + interval;
        start
    };
    std::thread::sleep(start.saturating_duration_since(Instant::now()));
}
