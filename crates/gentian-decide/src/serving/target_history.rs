//! What the hub has learned of the requests for one target: how often they arrive and how long their
//! prompts are. Load pattern: a target whose requests grow from few to many within seconds.

use gentian_core::peer::{EntryReport, TargetId, UpstreamWork};
use gentian_core::{FastMap, MonoTime, ServiceId, TimeSpan, UpstreamId};

/// Time constant of the arrival rate.
const RATE_TIME_CONSTANT: TimeSpan = TimeSpan::from_secs(5);
/// Time constant of the recent arrival rate, which shows a growth within the first second.
const RECENT_TIME_CONSTANT: TimeSpan = TimeSpan::from_secs(1);
/// Weight of the newest sample in the mean prompt length.
const NEWEST_PROMPT_WEIGHT: f64 = 0.2;

/// Exponential moving average of arrivals per second.
#[derive(Debug, Default)]
struct ArrivalRate {
    rate: f64,
    updated: MonoTime,
}

/// Requests for one target, over all entries.
#[derive(Debug, Default)]
pub(super) struct TargetHistory {
    rate: ArrivalRate,
    recent_rate: ArrivalRate,
    last_arrival: MonoTime,
    prompt_tokens: f64,
}

impl TargetHistory {
    /// Records that `count` requests arrived.
    pub(super) fn record_arrivals(&mut self, count: u64, now: MonoTime) {
        self.rate.record(count, RATE_TIME_CONSTANT, now);
        self.recent_rate.record(count, RECENT_TIME_CONSTANT, now);
        if count > 0 {
            self.last_arrival = now;
        }
    }

    /// Records that `running` requests of one entry at one upstream, all for this target, have
    /// `pending_tokens` prompt tokens pending. Prompts that are no longer pending make the quotient
    /// too small, so only that of a single request or one above the mean counts.
    pub(super) fn record_pending(&mut self, pending_tokens: u32, running: u32) {
        let sample = f64::from(pending_tokens) / f64::from(running.max(1));
        if pending_tokens > 0 && (running == 1 || sample > self.prompt_tokens) {
            let previous = if self.prompt_tokens > 0.0 { self.prompt_tokens } else { sample };
            self.prompt_tokens = previous + (sample - previous) * NEWEST_PROMPT_WEIGHT;
        }
    }

    /// Returns the requests per second.
    pub(super) fn rate(&self, now: MonoTime) -> f64 {
        self.rate.at(RATE_TIME_CONSTANT, now)
    }

    /// Returns the requests per second in the last second.
    pub(super) fn recent_rate(&self, now: MonoTime) -> f64 {
        self.recent_rate.at(RECENT_TIME_CONSTANT, now)
    }

    /// Returns when a request last arrived.
    pub(super) fn last_arrival(&self) -> MonoTime {
        self.last_arrival
    }

    /// Returns the mean length of a prompt in tokens; zero before the first sample.
    pub(super) fn prompt_tokens(&self) -> f64 {
        self.prompt_tokens
    }
}

impl ArrivalRate {
    fn record(&mut self, count: u64, time_constant: TimeSpan, now: MonoTime) {
        self.rate = self.at(time_constant, now) + count as f64 / time_constant.as_secs_f64();
        self.updated = now;
    }

    fn at(&self, time_constant: TimeSpan, now: MonoTime) -> f64 {
        let time_constants = now.since(self.updated).as_secs_f64() / time_constant.as_secs_f64();
        self.rate * (-time_constants).exp()
    }
}

/// Learns the length of prompts from the upstreams at which an entry has requests for one target only.
pub(super) fn record_prompts(
    histories: &mut FastMap<(ServiceId, TargetId), TargetHistory>,
    report: &EntryReport,
) {
    let Some(work) = &report.work else { return };
    let work: FastMap<&UpstreamId, &UpstreamWork> =
        work.iter().map(|(upstream, work)| (upstream, work)).collect();
    for demand in &report.demands {
        for (upstream, running) in &demand.running {
            let Some(work) = work.get(upstream).filter(|work| work.running == *running) else {
                continue;
            };
            let key = (demand.service.clone(), demand.target.clone());
            let history = histories.entry(key).or_default();
            history.record_pending(work.pending_prefill_tokens, *running);
        }
    }
}
