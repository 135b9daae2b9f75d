//! The call desk of an entry: from an admitted request to its upstream.

use std::sync::Arc;

use gentian_config::serving::ServingConfig;
use gentian_core::peer::{ServingDemand, TargetId, UpstreamWork};
use gentian_core::{
    FastMap, FastSet, MonoTime, OrganisationId, RequestId, ServiceId, TimeSpan, UpstreamId,
};

use super::{
    AttemptOutcome, FleetPartition, PickOutcome, QuotaLimit, QuotaLimiter, QuotaOutcome,
    ServingBounds, ServingCall, SharedRetryBudget, UpstreamPick, UpstreamTable,
};
use crate::request::{Refusal, RefusalCode};

/// Part of the time between arrival and deadline after which a request that no upstream can take is
/// refused, while its caller still has time to ask again.
const HOLD_PART: f64 = 0.5;
/// Entries assumed before the members are known.
const UNKNOWN_FLEET: u32 = 16;
/// Wait that a refusal for want of an upstream names.
const OVERLOAD_WAIT: TimeSpan = TimeSpan::from_millis(500);
/// Time after which requests that wait for room are looked at again: engines go on reading meanwhile.
const FULL_LOOK: TimeSpan = TimeSpan::from_millis(40);
/// Time after the last use of a target for which it stays in the digests.
const DEMAND_MEMORY: TimeSpan = TimeSpan::from_secs(10);

/// What happens to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScheduleDecision {
    /// It is sent to this upstream.
    Send(RequestId, UpstreamPick),
    /// It is refused.
    Refuse(RequestId, Refusal),
}

#[derive(Debug)]
struct RunningCall {
    call: ServingCall,
    upstream: UpstreamId,
    /// Prompt tokens that were to be read before its answer, when it was sent.
    tokens_ahead: u32,
    sent: MonoTime,
    is_read: bool,
}

#[derive(Debug, Default)]
struct TargetRecord {
    arrived: u64,
    last: MonoTime,
    /// Arrivals that the hub was told of.
    told: u64,
    /// Whether the hub was told that requests wait.
    is_wait_told: bool,
}

/// Decides when each request starts and where.
#[derive(Debug)]
pub struct CallScheduler {
    bounds: ServingBounds,
    part: FleetPartition,
    quotas: FastMap<OrganisationId, QuotaLimiter>,
    budgets: FastMap<ServiceId, SharedRetryBudget>,
    waiting: Vec<ServingCall>,
    /// Whether a request waits for room at upstreams that hold what it needs.
    is_full: bool,
    running: FastMap<RequestId, RunningCall>,
    targets: FastMap<(ServiceId, TargetId), TargetRecord>,
}

impl CallScheduler {
    /// Creates a desk without requests.
    pub fn new(bounds: ServingBounds) -> Self {
        Self {
            bounds,
            part: FleetPartition::isolated(UNKNOWN_FLEET),
            quotas: FastMap::default(),
            budgets: FastMap::default(),
            waiting: Vec::new(),
            is_full: false,
            running: FastMap::default(),
            targets: FastMap::default(),
        }
    }

    /// Takes a configuration over.
    pub fn update(&mut self, config: &Arc<ServingConfig>, now: MonoTime) {
        for (id, share) in &config.organisations {
            let part = self.part;
            let gate =
                self.quotas.entry(id.clone()).or_insert_with(|| QuotaLimiter::new(part, now));
            gate.update(QuotaLimit::new(share, &self.bounds), now);
        }
    }

    /// Takes over which entries share one count with this one.
    pub fn update_partition(&mut self, part: FleetPartition, now: MonoTime) {
        self.part = part;
        self.quotas.values_mut().for_each(|gate| gate.update_partition(part, now));
    }

    /// Takes in what other entries spent.
    pub fn record_remote_use(&mut self, organisation: &OrganisationId, tokens: u64, now: MonoTime) {
        if let Some(gate) = self.quotas.get_mut(organisation) {
            gate.record_remote_use(tokens, now);
        }
    }

    /// Takes it that other entries used their part since the last count.
    pub fn assume_remote_use(&mut self, organisation: &OrganisationId, now: MonoTime) {
        if let Some(gate) = self.quotas.get_mut(organisation) {
            gate.assume_remote_use(now);
        }
    }

    /// Returns the tokens spent at this entry, by organisation.
    pub fn spent(&self) -> Vec<(OrganisationId, u64)> {
        let spent = self.quotas.iter().map(|(id, gate)| (id.clone(), gate.spent()));
        spent.filter(|(_, tokens)| *tokens > 0).collect()
    }

    /// Takes a request in: a new one is charged, one that comes back takes a second send.
    pub fn admit(&mut self, mut call: ServingCall, now: MonoTime) -> Result<(), Refusal> {
        let budget = self.budgets.entry(call.service.clone()).or_default();
        if call.tried.is_empty() {
            budget.record_request(now);
            self.record_target(&call, now);
        } else if !budget.acquire_retry(&self.bounds, self.part.total, now) {
            return Err(self.refuse_repeat(&call));
        }
        self.charge(&mut call, now)?;
        // Newer ones go first: where not all can be on time, those that wait for long are late anyway.
        let place = self.waiting.partition_point(|other| rank_of(other) < rank_of(&call));
        self.waiting.insert(place, call);
        Ok(())
    }

    /// Decides which requests start and which are refused now.
    pub fn decide(&mut self, table: &mut UpstreamTable, now: MonoTime) -> Vec<ScheduleDecision> {
        let mut decisions = Vec::new();
        self.is_full = false;
        for call in std::mem::take(&mut self.waiting) {
            match table.pick(&call, now) {
                PickOutcome::Send(pick) => {
                    table.record_start(&pick.upstream, call.prompt_tokens, now);
                    decisions.push(ScheduleDecision::Send(call.id, pick.clone()));
                    let running = RunningCall {
                        tokens_ahead: pick
                            .work
                            .pending_prefill_tokens
                            .saturating_add(call.prompt_tokens),
                        upstream: pick.upstream,
                        sent: now,
                        is_read: false,
                        call,
                    };
                    self.running.insert(running.call.id, running);
                }
                outcome if now >= hold_limit(&call) => {
                    decisions.push(ScheduleDecision::Refuse(
                        call.id,
                        self.refuse_held(&call, &outcome, now),
                    ));
                }
                outcome => {
                    self.is_full |= outcome == PickOutcome::Full;
                    self.waiting.push(call);
                }
            }
        }
        decisions
    }

    /// Notes that the answer of a request has begun.
    pub fn record_response_start(
        &mut self,
        id: RequestId,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) {
        if let Some(running) = self.running.get(&id)
            && !running.is_read
        {
            let took = now.since(running.sent);
            table.record_prefill_time(&running.call.service, running.tokens_ahead, took);
            self.record_prefill_end(id, table);
        }
    }

    fn record_prefill_end(&mut self, id: RequestId, table: &mut UpstreamTable) {
        if let Some(running) = self.running.get_mut(&id)
            && !std::mem::replace(&mut running.is_read, true)
        {
            table.record_prefill_end(&running.upstream, running.call.prompt_tokens);
        }
    }

    /// Takes the end of an attempt in; returns the call and its upstream.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        end: AttemptOutcome,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) {
        self.record_prefill_end(id, table);
        let Some(RunningCall { upstream, .. }) = self.running.remove(&id) else { return };
        table.record_outcome(&upstream, end, now);
    }

    /// Forgets a request for whose start nobody waits any more.
    pub fn cancel(&mut self, id: RequestId, table: &mut UpstreamTable, now: MonoTime) {
        if let Some(place) = self.waiting.iter().position(|call| call.id == id) {
            let call = self.waiting.remove(place);
            self.refund(&call, now);
        }
        self.end_attempt(id, AttemptOutcome::Abandoned, table, now);
    }

    /// Returns when a waiting request has to be looked at again without any event.
    pub fn due(&self, now: MonoTime) -> Option<MonoTime> {
        let looked = self.is_full.then(|| now + FULL_LOOK);
        self.waiting.iter().map(hold_limit).chain(looked).min()
    }

    /// Tells whether requests wait for an upstream.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the number of requests under way.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the work under way by upstream.
    pub fn work(&self) -> Vec<(UpstreamId, UpstreamWork)> {
        let mut work: FastMap<UpstreamId, UpstreamWork> = FastMap::default();
        for running in self.running.values() {
            let sum = work.entry(running.upstream.clone()).or_default();
            sum.running += 1;
            if !running.is_read {
                sum.pending_prefill_tokens += running.call.prompt_tokens;
            }
        }
        work.into_iter().collect()
    }

    /// Tells whether a target is waited for that the hub was not told of.
    pub fn has_unreported_wait(&self) -> bool {
        self.waiting.iter().any(|call| self.is_untold(call))
    }

    /// Tells whether an organisation comes near its limit.
    pub fn is_near_limit(&self) -> bool {
        self.quotas.values().any(QuotaLimiter::has_urgent_use)
    }

    /// Returns what requests use, wait for or have asked for since the last call.
    pub fn drain_demands(&mut self, now: MonoTime) -> Vec<ServingDemand> {
        self.quotas.values_mut().for_each(QuotaLimiter::mark_reported);
        let in_use: FastSet<(ServiceId, TargetId)> = self
            .running
            .values()
            .map(|running| &running.call)
            .chain(&self.waiting)
            .filter_map(target_key)
            .collect();
        self.targets
            .retain(|key, record| now.since(record.last) < DEMAND_MEMORY || in_use.contains(key));
        let is_told = |key: &(ServiceId, TargetId), record: &TargetRecord| {
            in_use.contains(key) || record.arrived != record.told
        };
        let told = self.targets.iter().filter(|(key, record)| is_told(key, record));
        let demands = told.map(|(key, record)| self.demand(key, record, now)).collect();
        let waiting: FastSet<_> = self.waiting.iter().filter_map(target_key).collect();
        for (key, record) in &mut self.targets {
            record.told = record.arrived;
            record.is_wait_told = waiting.contains(key);
        }
        demands
    }

    fn is_untold(&self, call: &ServingCall) -> bool {
        let record = target_key(call).and_then(|key| self.targets.get(&key));
        record.is_some_and(|record| !record.is_wait_told)
    }

    fn demand(
        &self,
        key: &(ServiceId, TargetId),
        record: &TargetRecord,
        now: MonoTime,
    ) -> ServingDemand {
        let is_asked = |call: &ServingCall| target_key(call).as_ref() == Some(key);
        let waiting: Vec<&ServingCall> =
            self.waiting.iter().filter(|call| is_asked(call)).collect();
        let slack = waiting.iter().map(|call| hold_limit(call).since(now)).min();
        let mut running: FastMap<UpstreamId, u32> = FastMap::default();
        for run in self.running.values().filter(|run| is_asked(&run.call)) {
            *running.entry(run.upstream.clone()).or_default() += 1;
        }
        ServingDemand {
            service: key.0.clone(),
            target: key.1.clone(),
            arrived: record.arrived,
            waiting: u32::try_from(waiting.len()).unwrap_or(u32::MAX),
            slack: slack.unwrap_or(TimeSpan::ZERO),
            running: running.into_iter().collect(),
        }
    }

    fn record_target(&mut self, call: &ServingCall, now: MonoTime) {
        if let Some(key) = target_key(call) {
            let record = self.targets.entry(key).or_default();
            record.arrived += 1;
            record.last = now;
        }
    }

    fn charge(&mut self, call: &mut ServingCall, now: MonoTime) -> Result<(), Refusal> {
        let Some(share) = call.organisation.as_ref().filter(|_| !call.is_charged) else {
            return Ok(());
        };
        let id = share.spec.id.clone();
        let part = self.part;
        let gate = self.quotas.entry(id).or_insert_with(|| QuotaLimiter::new(part, now));
        match gate.charge(call.cost, now) {
            QuotaOutcome::Charged => {
                call.is_charged = true;
                Ok(())
            }
            QuotaOutcome::Exceeded(wait) => {
                let message =
                    format!("the organisation's tokens are used up: {}", gate.describe(now));
                Err(Refusal::new(RefusalCode::RateLimited, message).with_retry_after(wait))
            }
        }
    }

    fn refund(&mut self, call: &ServingCall, now: MonoTime) {
        let share = call.organisation.as_ref().filter(|_| call.is_charged);
        if let Some(gate) = share.and_then(|share| self.quotas.get_mut(&share.spec.id)) {
            gate.refund(call.cost, now);
        }
    }

    fn refuse_held(&mut self, call: &ServingCall, outcome: &PickOutcome, now: MonoTime) -> Refusal {
        if call.runs == 0 {
            self.refund(call, now);
        }
        let message = match outcome {
            PickOutcome::NotHeld => "no upstream could load the model in time",
            PickOutcome::Full => "the upstreams bear no more now",
            PickOutcome::Send(_) | PickOutcome::NoUpstream => "no upstream takes work",
        };
        let target = call.target.as_ref().map_or_else(String::new, |it| format!(" for {it}"));
        self.refuse(call, &format!("{message}{target}"))
    }

    fn refuse_repeat(&self, call: &ServingCall) -> Refusal {
        self.refuse(call, "the upstream did not serve the request and the retry budget is used up")
    }

    fn refuse(&self, call: &ServingCall, message: &str) -> Refusal {
        match call.runs {
            0 => Refusal::new(RefusalCode::Overloaded, message).with_retry_after(OVERLOAD_WAIT),
            _ => Refusal::new(RefusalCode::UpstreamFailed, message).with_unknown_run(),
        }
    }
}

fn target_key(call: &ServingCall) -> Option<(ServiceId, TargetId)> {
    Some((call.service.clone(), call.target.clone()?))
}

fn rank_of(call: &ServingCall) -> u8 {
    call.organisation.as_ref().and_then(|share| share.priority).unwrap_or(call.route.priority)
}

fn hold_limit(call: &ServingCall) -> MonoTime {
    call.received + call.deadline.since(call.received) * HOLD_PART
}
