//! Scheduler of an entry: assigns admitted requests to upstreams.
//!
//! A call is a request that the scheduler has admitted; an attempt is one sending of it to an
//! upstream.

use std::sync::Arc;

use gentian_config::serving::ServingConfig;
use gentian_core::peer::{ServingDemand, StreamOrigin, UpstreamWork};
use gentian_core::{
    FastMap, MonoTime, RequestId, RequestRate, ServiceId, StreamId, TimeSpan, UpstreamId,
};

use super::call_refusal::{
    refuse_limited, refuse_paused, refuse_queued, refuse_retry, refuse_take_up,
};
use super::queue_deadline::queue_deadline;
use super::running_call::RunningCall;
use super::{
    AttemptOutcome, DemandLog, OrganisationQuotas, PickOutcome, ServingBounds, ServingCall,
    SharedRetryBudget, UpstreamNotice, UpstreamPick, UpstreamTable,
};
use crate::quarantine::WorkQuarantine;
use crate::request::Refusal;
use crate::selection::LoadReading;

/// Interval at which requests that wait for capacity are rechecked: engines prefill pending prompts
/// and thus gain capacity without an event at this entry.
const FULL_RECHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(40);
/// Time from when a request was queued within which upstreams of the version that began its stream may
/// get its target. Loads take no account of versions.
const VERSION_LOAD_WAIT: TimeSpan = TimeSpan::from_secs(2);
/// Decision on a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScheduleDecision {
    /// It is sent to this upstream.
    Send(RequestId, UpstreamPick),
    /// It is refused.
    Refuse(RequestId, Refusal),
}

/// Decides when each request starts and at which upstream.
#[derive(Debug)]
pub struct CallScheduler {
    bounds: ServingBounds,
    /// Quotas of the organisations.
    pub quotas: OrganisationQuotas,
    retry_budgets: FastMap<ServiceId, SharedRetryBudget>,
    waiting: Vec<ServingCall>,
    /// Whether a request waits for capacity at upstreams that have its target loaded.
    waits_for_capacity: bool,
    /// When an upstream accepts requests again that turned one away.
    pause_end: Option<MonoTime>,
    running: FastMap<RequestId, RunningCall>,
    demands: DemandLog,
}

impl CallScheduler {
    /// Creates a scheduler without requests.
    pub fn new(bounds: ServingBounds) -> Self {
        Self {
            bounds,
            quotas: OrganisationQuotas::new(),
            retry_budgets: FastMap::default(),
            waiting: Vec::new(),
            waits_for_capacity: false,
            pause_end: None,
            running: FastMap::default(),
            demands: DemandLog::default(),
        }
    }

    /// Returns the scheduler of a process of a system that starts for the first time, so that no
    /// organisation has used anything.
    pub fn with_first_start(self) -> Self {
        Self { quotas: self.quotas.with_first_start(), ..self }
    }

    /// Returns the scheduler with a number that differs from entry to entry.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { quotas: self.quotas.with_seed(seed), ..self }
    }

    /// Replaces the configuration.
    pub fn update(&mut self, config: &Arc<ServingConfig>, now: MonoTime) {
        self.quotas.update(config, &self.bounds, now);
    }

    /// Queues a request. Charges a request that has not been charged yet, and takes a retry from
    /// the budget for one that is sent again.
    pub fn admit(&mut self, mut call: ServingCall, now: MonoTime) -> Result<(), Refusal> {
        let retry_budget = self.retry_budgets.entry(call.service.clone()).or_default();
        if call.tried.is_empty() {
            retry_budget.record_first_attempt(now);
            self.demands.record_arrival(&call, now);
        } else if !retry_budget.acquire_retry(&self.bounds, self.quotas.partition().total, now) {
            return Err(refuse_retry(&call));
        }
        self.charge(&mut call, now)?;
        // Requests are ordered by priority, the smallest number first, and within a priority the
        // newest first: under overload, those that have waited long are late anyway.
        let position = self.waiting.partition_point(|other| other.priority() < call.priority());
        self.waiting.insert(position, call);
        Ok(())
    }

    /// Decides which queued requests start and which are refused now. The quarantine tells which wait
    /// for another copy of the same request.
    pub fn decide(
        &mut self,
        table: &mut UpstreamTable,
        quarantine: &mut WorkQuarantine,
        now: MonoTime,
    ) -> Vec<ScheduleDecision> {
        let mut decisions = Vec::new();
        self.waits_for_capacity = false;
        table.permits.begin_round(now);
        for call in std::mem::take(&mut self.waiting) {
            let is_held = call.request.is_some_and(|request| quarantine.holds_back(request, now));
            let outcome = if is_held { PickOutcome::HeldBack } else { table.pick(&call, now) };
            match outcome {
                PickOutcome::Send(pick) => {
                    call.request.inspect(|request| quarantine.record_send(*request, now));
                    let unread_tokens =
                        call.prompt_tokens.saturating_sub(pick.estimate.held_tokens);
                    table.record_start(&pick.upstream, unread_tokens, now);
                    decisions.push(ScheduleDecision::Send(call.id, pick.clone()));
                    let running = RunningCall {
                        prefill_tokens: pick
                            .work
                            .pending_prefill_tokens
                            .saturating_add(unread_tokens),
                        unread_tokens,
                        incarnation: table.incarnation(&pick.upstream).unwrap_or_default(),
                        upstream: pick.upstream,
                        sent: now,
                        is_prefilled: false,
                        call,
                    };
                    self.running.insert(running.call.id, running);
                }
                outcome if now >= queue_deadline(&call) => {
                    self.refund_unexecuted(&call, now);
                    decisions
                        .push(ScheduleDecision::Refuse(call.id, refuse_queued(&call, &outcome)));
                }
                ref outcome if is_hopeless(&call, outcome, table, now) => {
                    self.refund_unexecuted(&call, now);
                    let message = match outcome {
                        PickOutcome::NotLoaded => {
                            "no upstream of the version that began the stream has loaded it"
                        }
                        _ => "no upstream of the version that began the stream serves it",
                    };
                    let refusal = refuse_take_up(&call, message);
                    decisions.push(ScheduleDecision::Refuse(call.id, refusal));
                }
                PickOutcome::Limited(capacity)
                    if capacity.is_too_late(&call, self.waiting_before(&call), now) =>
                {
                    self.refund_unexecuted(&call, now);
                    let refusal = refuse_limited(&call, capacity, self.waiting_before(&call));
                    decisions.push(ScheduleDecision::Refuse(call.id, refusal));
                }
                PickOutcome::Paused(end) if end > queue_deadline(&call) => {
                    self.refund_unexecuted(&call, now);
                    let refusal = refuse_paused(&call, end, now);
                    decisions.push(ScheduleDecision::Refuse(call.id, refusal));
                }
                outcome => {
                    self.waits_for_capacity |= !matches!(
                        outcome,
                        PickOutcome::NotLoaded
                            | PickOutcome::NoUpstream
                            | PickOutcome::Uncertain
                            | PickOutcome::Paused(_)
                    );
                    self.waiting.push(call);
                }
            }
        }
        self.pause_end = table.next_pause_end(now);
        decisions
    }

    /// Records that the response to a request has started.
    pub fn record_response_start(
        &mut self,
        id: RequestId,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) {
        if let Some(running) = self.running.get(&id)
            && !running.is_prefilled
        {
            let elapsed = now.since(running.sent);
            table.record_prefill_time(&running.call.service, running.prefill_tokens, elapsed);
            let (call, unread_tokens) = (&running.call, running.unread_tokens);
            let prefix = call.shared_prefix.as_ref();
            table.record_prompt(&running.upstream, prefix, unread_tokens, now);
            self.record_prefill_end(id, table);
        }
    }

    /// Records the limit that the response to a request names, `None` if it names none. Returns the
    /// upstream if its limit changed.
    pub fn record_limit(
        &self,
        id: RequestId,
        limit: Option<RequestRate>,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) -> Option<UpstreamId> {
        let running = self.running.get(&id)?;
        let is_changed = table.record_limit(&running.upstream, limit, running.sent, now);
        is_changed.then(|| running.upstream.clone())
    }

    /// Records the load that the response to a request reports of its upstream. Returns the upstream
    /// if it has reported none for a long time.
    pub fn record_load(
        &self,
        id: RequestId,
        reading: LoadReading,
        table: &mut UpstreamTable,
    ) -> Option<UpstreamId> {
        let running = self.running.get(&id)?;
        let is_first = table.record_load(&running.upstream, running.incarnation, reading);
        is_first.then(|| running.upstream.clone())
    }

    /// Records what the response to a request says about its upstream. Returns the upstream if that is
    /// new.
    pub fn record_notice(
        &self,
        id: RequestId,
        notice: UpstreamNotice,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) -> Option<UpstreamId> {
        let running = self.running.get(&id)?;
        let is_new = table.record_notice(&running.upstream, running.incarnation, notice, now);
        is_new.then(|| running.upstream.clone())
    }

    /// Returns the stream whose response has begun, with its upstream and its origin; `None` if no
    /// caller may take it up.
    pub fn begun_stream(
        &self,
        id: RequestId,
        table: &UpstreamTable,
    ) -> Option<(StreamId, UpstreamId, StreamOrigin)> {
        let RunningCall { call, upstream, incarnation, .. } = self.running.get(&id)?;
        let stream = call.stream.filter(|_| call.route.kind.is_resumable())?;
        let origin = table.stream_origin(&call.service, upstream, *incarnation)?;
        Some((stream, upstream.clone(), origin))
    }

    fn record_prefill_end(&mut self, id: RequestId, table: &mut UpstreamTable) {
        if let Some(running) = self.running.get_mut(&id)
            && !std::mem::replace(&mut running.is_prefilled, true)
        {
            table.record_prefill_end(&running.upstream, running.unread_tokens);
        }
    }

    /// Records the outcome of an attempt, and removes its call and returns it with the upstream. A
    /// request that is sent again is admitted as a new call.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        outcome: AttemptOutcome,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) -> Option<(ServingCall, UpstreamId)> {
        self.record_prefill_end(id, table);
        let RunningCall { call, upstream, .. } = self.running.remove(&id)?;
        table.record_outcome(&upstream, outcome, now);
        table.forget_prompt(&upstream, call.shared_prefix.as_ref(), outcome);
        Some((call, upstream))
    }

    /// Removes the queued requests for which `is_refused` returns `true`, and refunds those that no
    /// upstream can have executed.
    pub fn remove_waiting(
        &mut self,
        is_refused: impl FnMut(&ServingCall) -> bool,
        now: MonoTime,
    ) -> Vec<ServingCall> {
        let (removed, kept) = std::mem::take(&mut self.waiting).into_iter().partition(is_refused);
        self.waiting = kept;
        let removed: Vec<ServingCall> = removed;
        removed.iter().for_each(|call| self.refund_unexecuted(call, now));
        removed
    }

    /// Removes a request whose caller is gone, and refunds it if it was still queued.
    pub fn cancel(&mut self, id: RequestId, table: &mut UpstreamTable, now: MonoTime) {
        if let Some(position) = self.waiting.iter().position(|call| call.id == id) {
            let call = self.waiting.remove(position);
            self.refund(&call, now);
        }
        self.end_attempt(id, AttemptOutcome::Abandoned, table, now);
    }

    /// Returns when a queued request must be rechecked even without an event.
    pub fn due(&self, now: MonoTime) -> Option<MonoTime> {
        let recheck = self.waits_for_capacity.then(|| now + FULL_RECHECK_INTERVAL);
        let pause_end = self.pause_end.filter(|_| self.is_waiting());
        let resuming = self.waiting.iter().filter(|call| call.origin.is_some());
        let load_ends = resuming.map(|call| call.wait_start() + VERSION_LOAD_WAIT);
        let load_end = load_ends.filter(|end| *end > now).min();
        let dues = [recheck, pause_end, load_end].into_iter().flatten();
        self.waiting.iter().map(queue_deadline).chain(dues).min()
    }

    /// Returns whether requests wait for an upstream.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the number of requests in progress.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the work in progress, per upstream.
    pub fn work(&self) -> Vec<(UpstreamId, UpstreamWork)> {
        let mut work: FastMap<UpstreamId, UpstreamWork> = FastMap::default();
        for running in self.running.values() {
            let sum = work.entry(running.upstream.clone()).or_default();
            sum.running += 1;
            if !running.is_prefilled {
                let pending = &mut sum.pending_prefill_tokens;
                *pending = pending.saturating_add(running.unread_tokens);
            }
        }
        work.into_iter().collect()
    }

    /// Returns whether requests wait for a target for which the last report to the hub included no
    /// waiting requests.
    pub fn has_unreported_wait(&self) -> bool {
        self.waiting.iter().any(|call| self.demands.is_unreported(call))
    }

    /// Returns whether an organisation near its limit has unreported use.
    pub fn has_urgent_use(&self) -> bool {
        self.quotas.has_urgent_use()
    }

    /// Returns the demand for the targets that requests use, wait for or have requested since the
    /// last report, and marks it and all use as reported.
    pub fn report_demands(&mut self, now: MonoTime) -> Vec<ServingDemand> {
        self.quotas.mark_reported();
        let running: Vec<(&ServingCall, &UpstreamId)> =
            self.running.values().map(|running| (&running.call, &running.upstream)).collect();
        self.demands.report(&self.waiting, &running, now)
    }

    fn charge(&mut self, call: &mut ServingCall, now: MonoTime) -> Result<(), Refusal> {
        let Some(organisation) = call.organisation.as_ref().filter(|_| !call.is_charged) else {
            return Ok(());
        };
        self.quotas.charge(&organisation.spec.id, call.cost, now)?;
        call.is_charged = true;
        Ok(())
    }

    /// Refunds a request that no upstream can have executed, before it is refused.
    fn refund_unexecuted(&mut self, call: &ServingCall, now: MonoTime) {
        if call.possible_executions == 0 {
            self.refund(call, now);
        }
    }

    fn refund(&mut self, call: &ServingCall, now: MonoTime) {
        let organisation = call.organisation.as_ref().filter(|_| call.is_charged);
        if let Some(organisation) = organisation {
            self.quotas.refund(&organisation.spec.id, call.cost, now);
        }
    }

    /// Returns the number of requests for the target of `call` that this round left waiting.
    fn waiting_before(&self, call: &ServingCall) -> usize {
        let key = (&call.service, &call.target);
        self.waiting.iter().filter(|other| (&other.service, &other.target) == key).count()
    }
}

/// Returns whether the upstreams that could go on with a stream have left, or don't get its model back
/// soon. Without a hub it isn't known which models they have.
fn is_hopeless(
    call: &ServingCall,
    outcome: &PickOutcome,
    table: &UpstreamTable,
    now: MonoTime,
) -> bool {
    match outcome {
        PickOutcome::VersionGone => true,
        PickOutcome::NotLoaded => {
            call.origin.is_some()
                && table.has_resident_models()
                && now.since(call.wait_start()) >= VERSION_LOAD_WAIT
        }
        _ => false,
    }
}
