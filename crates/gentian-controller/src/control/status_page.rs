//! Status and metrics of a controller, as the operators see them.

use std::sync::{Arc, Mutex, PoisonError};

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Status text and metrics, written by the control thread and read by the admin port.
#[derive(Clone)]
pub(crate) struct StatusPage {
    text: Arc<Mutex<String>>,
    /// Registry that `/metrics` shows.
    pub(crate) registry: Registry,
    /// Seats for which the process acts.
    pub(crate) acting: IntGauge,
    /// Orders by kind, counted before they are sent; the label `end` is always `sent`.
    pub(crate) orders: IntCounterVec,
    /// Requests of entries by kind.
    pub(crate) requests: IntCounterVec,
}

impl StatusPage {
    /// Creates a page with an empty status and registers the metrics.
    pub(crate) fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let acting =
            IntGauge::new("gentian_controller_acting_seats", "Seats for which the process acts.")?;
        let orders = IntCounterVec::new(
            Opts::new("gentian_controller_orders_total", "Orders by kind and end."),
            &["kind", "end"],
        )?;
        let requests = IntCounterVec::new(
            Opts::new("gentian_controller_asks_total", "Asks of entries by kind."),
            &["kind"],
        )?;
        registry.register(Box::new(acting.clone()))?;
        registry.register(Box::new(orders.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        let text = Arc::new(Mutex::new("{}".to_owned()));
        Ok(Self { text, registry, acting, orders, requests })
    }

    /// Replaces the status text.
    pub(crate) fn set_text(&self, text: String) {
        *self.text.lock().unwrap_or_else(PoisonError::into_inner) = text;
    }

    /// Returns the status text.
    pub(crate) fn text(&self) -> String {
        self.text.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
