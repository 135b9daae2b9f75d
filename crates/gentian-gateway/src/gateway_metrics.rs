//! Prometheus metrics of a gateway.

use gentian_decide::orders::PlacementFigures;
use gentian_http::forward::{InvalidResponses, ResponseLog};
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

const FIRST_BYTE_BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.5, 5.0, 20.0];

/// Prometheus metrics of a gateway.
#[derive(Clone)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    /// Number of requests by route and outcome.
    pub(crate) requests: IntCounterVec,
    /// Number of attempts by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Number of invalid responses by kind of call and check.
    invalid_responses: InvalidResponses,
    /// Number of checks of the start of an upstream by moment and result.
    pub(crate) start_checks: IntCounterVec,
    /// Number of orders to engines by action and reply.
    pub(crate) orders: IntCounterVec,
    /// Number of calls to the key-value service by kind and result.
    pub(crate) store_calls: IntCounterVec,
    /// Number of calls to the platform's API by duty and reply.
    pub(crate) duty_calls: IntCounterVec,
    /// Number of windows of usage by result.
    pub(crate) usage_windows: IntCounterVec,
    /// Time in seconds from the arrival of a request until its response can be sent: to the head of
    /// a streamed response, to the end of a whole one.
    pub(crate) first_byte_seconds: Histogram,
    /// Number of upstreams found to have ended under a request that may be the cause.
    pub(crate) upstream_crashes: IntCounter,
    /// Number of parts of prompts with which requests are refused.
    pub(crate) quarantined_parts: IntGauge,
    /// Number of upstreams that name a limit of requests.
    pub(crate) limited_upstreams: IntGauge,
    /// Number of request bodies that were not read to their end, by cause.
    pub(crate) refused_bodies: IntCounterVec,
    /// Bytes that are held of requests and responses.
    pub(crate) buffered_bytes: IntGauge,
    /// Bytes of the request bodies that wait for room.
    pub(crate) waiting_body_bytes: IntGauge,
    /// Number of idle connections to upstreams.
    pub(crate) idle_connections: IntGauge,
    /// Number of upstreams whose responses report their load.
    pub(crate) reporting_upstreams: IntGauge,
    /// Number of prompt tokens of routed requests.
    pub(crate) prompt_tokens: IntCounter,
    /// Number of those that the chosen upstreams likely held.
    pub(crate) held_prompt_tokens: IntCounter,
    /// Number of copies that the models with requests need, at the hub.
    pub(crate) wanted_copies: IntGauge,
    /// Number of those copies that are loaded or being loaded, at the hub.
    pub(crate) present_copies: IntGauge,
    /// Number of loads that the weight store is taken to serve at full speed, at the hub.
    pub(crate) store_places: IntGauge,
    /// Number of loads from the weight store that run, at the hub.
    pub(crate) store_loads: IntGauge,
    /// Number of loads that wait for a place at the weight store, at the hub.
    pub(crate) store_queue: IntGauge,
    /// Number of open requests.
    pub(crate) open_requests: IntGauge,
    /// Version of the configuration in force.
    pub(crate) config_version: IntGauge,
}

impl GatewayMetrics {
    /// Creates and registers the metrics.
    pub(crate) fn new(invalid_responses: InvalidResponses) -> eyre::Result<Self> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let first_byte_options = HistogramOpts::new(
            "gentian_gateway_first_byte_seconds",
            "Time from the arrival of a request to the first byte of its answer.",
        );
        let metrics = Self {
            registry: Registry::new(),
            requests: counter(
                "gentian_gateway_requests_total",
                "Requests by route and outcome.",
                &["route", "outcome"],
            )?,
            attempts: counter(
                "gentian_gateway_attempts_total",
                "Attempts by how they ended.",
                &["end"],
            )?,
            invalid_responses,
            start_checks: counter(
                "gentian_gateway_start_checks_total",
                "Reports of upstreams read to know whether they have started again, by moment and result.",
                &["moment", "result"],
            )?,
            orders: counter(
                "gentian_gateway_orders_total",
                "Orders to engines by action and answer.",
                &["action", "reply"],
            )?,
            store_calls: counter(
                "gentian_gateway_store_calls_total",
                "Calls of the key-value service by kind and result.",
                &["call", "result"],
            )?,
            duty_calls: counter(
                "gentian_gateway_duty_calls_total",
                "Calls of the platform's API by duty and answer.",
                &["duty", "reply"],
            )?,
            usage_windows: counter(
                "gentian_gateway_usage_windows_total",
                "Windows of usage by result: fixed, reported, missed, unconfirmed.",
                &["result"],
            )?,
            first_byte_seconds: Histogram::with_opts(
                first_byte_options.buckets(FIRST_BYTE_BUCKETS_SECONDS.to_vec()),
            )?,
            upstream_crashes: IntCounter::new(
                "gentian_gateway_upstream_crashes_total",
                "Upstreams that ended under a request that may be the cause.",
            )?,
            quarantined_parts: IntGauge::new(
                "gentian_gateway_quarantined_parts",
                "Parts of prompts with which requests are refused.",
            )?,
            limited_upstreams: IntGauge::new(
                "gentian_gateway_limited_upstreams",
                "Upstreams that name a limit of requests.",
            )?,
            refused_bodies: counter(
                "gentian_gateway_refused_bodies_total",
                "Bodies of requests that were not read to their end, by cause.",
                &["cause"],
            )?,
            buffered_bytes: IntGauge::new(
                "gentian_gateway_buffered_bytes",
                "Bytes that are held of requests and responses.",
            )?,
            waiting_body_bytes: IntGauge::new(
                "gentian_gateway_waiting_body_bytes",
                "Bytes of the bodies of requests that wait for room.",
            )?,
            idle_connections: IntGauge::new(
                "gentian_gateway_idle_connections",
                "Idle connections to upstreams.",
            )?,
            reporting_upstreams: IntGauge::new(
                "gentian_gateway_reporting_upstreams",
                "Upstreams whose answers to this entry report their load.",
            )?,
            prompt_tokens: IntCounter::new(
                "gentian_gateway_prompt_tokens_total",
                "Prompt tokens of routed requests.",
            )?,
            held_prompt_tokens: IntCounter::new(
                "gentian_gateway_held_prompt_tokens_total",
                "Prompt tokens of routed requests that the chosen upstreams likely held.",
            )?,
            wanted_copies: IntGauge::new(
                "gentian_gateway_copies_wanted",
                "Copies that the models with requests need, at the hub.",
            )?,
            present_copies: IntGauge::new(
                "gentian_gateway_copies_present",
                "Copies of the models with requests that are loaded or being loaded, at the hub.",
            )?,
            store_places: IntGauge::new(
                "gentian_gateway_store_places",
                "Loads that the weight store is taken to serve at full speed, at the hub.",
            )?,
            store_loads: IntGauge::new(
                "gentian_gateway_store_loads",
                "Loads from the weight store that run, at the hub.",
            )?,
            store_queue: IntGauge::new(
                "gentian_gateway_store_queue",
                "Loads that wait for a place at the weight store, at the hub.",
            )?,
            open_requests: IntGauge::new(
                "gentian_gateway_open_requests",
                "Requests that are open.",
            )?,
            config_version: IntGauge::new(
                "gentian_gateway_config_version",
                "Configuration version in force.",
            )?,
        };
        metrics.registry.register(Box::new(metrics.requests.clone()))?;
        metrics.registry.register(Box::new(metrics.attempts.clone()))?;
        metrics.registry.register(Box::new(metrics.invalid_responses.counts()))?;
        metrics.registry.register(Box::new(metrics.start_checks.clone()))?;
        metrics.registry.register(Box::new(metrics.orders.clone()))?;
        metrics.registry.register(Box::new(metrics.store_calls.clone()))?;
        metrics.registry.register(Box::new(metrics.duty_calls.clone()))?;
        metrics.registry.register(Box::new(metrics.usage_windows.clone()))?;
        metrics.registry.register(Box::new(metrics.first_byte_seconds.clone()))?;
        metrics.registry.register(Box::new(metrics.upstream_crashes.clone()))?;
        metrics.registry.register(Box::new(metrics.quarantined_parts.clone()))?;
        metrics.registry.register(Box::new(metrics.limited_upstreams.clone()))?;
        metrics.registry.register(Box::new(metrics.refused_bodies.clone()))?;
        metrics.registry.register(Box::new(metrics.buffered_bytes.clone()))?;
        metrics.registry.register(Box::new(metrics.waiting_body_bytes.clone()))?;
        metrics.registry.register(Box::new(metrics.idle_connections.clone()))?;
        metrics.registry.register(Box::new(metrics.reporting_upstreams.clone()))?;
        metrics.registry.register(Box::new(metrics.prompt_tokens.clone()))?;
        metrics.registry.register(Box::new(metrics.held_prompt_tokens.clone()))?;
        metrics.registry.register(Box::new(metrics.wanted_copies.clone()))?;
        metrics.registry.register(Box::new(metrics.present_copies.clone()))?;
        metrics.registry.register(Box::new(metrics.store_places.clone()))?;
        metrics.registry.register(Box::new(metrics.store_loads.clone()))?;
        metrics.registry.register(Box::new(metrics.store_queue.clone()))?;
        metrics.registry.register(Box::new(metrics.open_requests.clone()))?;
        metrics.registry.register(Box::new(metrics.config_version.clone()))?;
        Ok(metrics)
    }

    /// Returns a log of the invalid responses to calls of this kind, which counts them here.
    pub(crate) fn response_log(&self, call_name: &'static str) -> ResponseLog {
        ResponseLog::new(call_name).with_counter(self.invalid_responses.clone())
    }

    /// Sets the figures of the placement; those of an entry that is not the hub are zero.
    pub(crate) fn record_placement(&self, figures: PlacementFigures) {
        let set = |gauge: &IntGauge, count: usize| gauge.set(i64::try_from(count).unwrap_or(0));
        set(&self.wanted_copies, figures.wanted_copies);
        set(&self.present_copies, figures.present_copies);
        set(&self.store_places, figures.store_places);
        set(&self.store_loads, figures.store_loads);
        set(&self.store_queue, figures.store_queue);
    }

    /// Returns all metrics as Prometheus text.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_else(|error| {
            log::error!("cannot encode the metrics: {error}");
            String::new()
        })
    }
}
