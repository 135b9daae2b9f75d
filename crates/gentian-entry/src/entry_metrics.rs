//! Metrics of an entry.

use eyre::WrapErr;
use gentian_http::forward::{InvalidResponses, ResponseLog};
use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry};

const LATENCY_BUCKETS_SECS: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 0.86, 2.0, 10.0];

/// Metrics of an entry, named by the conventions of Prometheus.
#[derive(Clone)]
pub(crate) struct EntryMetrics {
    /// Registry that `/metrics` shows.
    pub(crate) registry: Registry,
    /// Requests by route and outcome.
    pub(crate) requests: IntCounterVec,
    /// Request bodies that were not read to their end, by cause.
    pub(crate) refused_bodies: IntCounterVec,
    /// Invalid responses of upstreams by check.
    invalid_responses: InvalidResponses,
    /// Requests that are open.
    pub(crate) open: IntGauge,
    /// Time from the arrival of a request to the first byte of its response.
    pub(crate) first_byte: Histogram,
    /// Version of the configuration in force.
    pub(crate) config_version: IntGauge,
}

impl EntryMetrics {
    /// Creates and registers the metrics.
    pub(crate) fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("gentian_entry_requests_total", "Requests by route and outcome."),
            &["route", "outcome"],
        )?;
        let refused_bodies = IntCounterVec::new(
            Opts::new(
                "gentian_entry_refused_bodies_total",
                "Bodies of requests that were not read to their end, by cause.",
            ),
            &["cause"],
        )?;
        let invalid_responses = InvalidResponses::new()?;
        let open = IntGauge::new("gentian_entry_open_requests", "Requests that are open.")?;
        let first_byte = Histogram::with_opts(
            HistogramOpts::new(
                "gentian_entry_first_byte_seconds",
                "Time from the arrival of a request to the first byte of its answer.",
            )
            .buckets(LATENCY_BUCKETS_SECS.to_vec()),
        )?;
        let config_version =
            IntGauge::new("gentian_entry_config_version", "Configuration version in force.")?;
        registry.register(Box::new(requests.clone())).wrap_err("metric registered twice")?;
        registry.register(Box::new(refused_bodies.clone())).wrap_err("metric registered twice")?;
        registry
            .register(Box::new(invalid_responses.counts()))
            .wrap_err("metric registered twice")?;
        registry.register(Box::new(open.clone())).wrap_err("metric registered twice")?;
        registry.register(Box::new(first_byte.clone())).wrap_err("metric registered twice")?;
        registry.register(Box::new(config_version.clone())).wrap_err("metric registered twice")?;
        Ok(Self {
            registry,
            requests,
            refused_bodies,
            invalid_responses,
            open,
            first_byte,
            config_version,
        })
    }

    /// Returns a log of the invalid responses to calls of this kind, which counts them here.
    pub(crate) fn response_log(&self, call_name: &'static str) -> ResponseLog {
        ResponseLog::new(call_name).with_counter(self.invalid_responses.clone())
    }
}
