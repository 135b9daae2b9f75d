//! Random arrivals of calls, generated from a seed.

use std::net::SocketAddr;

use gentian_core::TimeSpan;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::flow_spec::{FlowKind, FlowSpec};

/// One planned call.
#[derive(Clone, Debug)]
pub(crate) struct PlannedCall {
    /// Time at which it is sent, since the start of the run.
    pub(crate) at: TimeSpan,
    /// Address to which it is sent.
    pub(crate) target: SocketAddr,
    /// Requested model; `None` for a booking.
    pub(crate) model: Option<String>,
    /// Random number used as idempotency key.
    pub(crate) number: u64,
}

/// Generates the calls of one flow.
pub(crate) struct ArrivalPlan {
    random: SmallRng,
    targets: Vec<SocketAddr>,
    next: TimeSpan,
}

impl ArrivalPlan {
    /// Creates the plan of a flow.
    pub(crate) fn new(seed: u64, flow: &FlowSpec, targets: &[SocketAddr]) -> Self {
        let count = if flow.target_count == 0 { targets.len() } else { flow.target_count };
        let targets = targets.iter().copied().take(count).collect();
        Self { random: SmallRng::seed_from_u64(seed), targets, next: flow.start }
    }

    /// Returns the next call; the times between arrivals are distributed exponentially.
    pub(crate) fn next_call(&mut self, flow: &FlowSpec) -> PlannedCall {
        let at = self.next;
        if flow.rate > 0 {
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            let gap_seconds = -uniform.ln() / flow.rate as f64;
            self.next = self.next + TimeSpan::from_micros((gap_seconds * 1e6) as u64);
        }
        let target = self.targets[self.random.random_range(0..self.targets.len())];
        let model = match &flow.kind {
            FlowKind::Completion { models, .. } => Some(self.pick_model(models)),
            FlowKind::Booking => None,
        };
        PlannedCall { at, target, model, number: self.random.random() }
    }

    /// Picks a model; squaring the uniform number makes models at the start of the list more
    /// frequent.
    fn pick_model(&mut self, models: &[String]) -> String {
        let uniform: f64 = self.random.random();
        let index = (uniform * uniform * models.len() as f64) as usize;
        models[index.min(models.len() - 1)].clone()
    }
}
