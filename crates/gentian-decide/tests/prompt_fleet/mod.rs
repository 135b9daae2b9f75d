//! Simulated engines with kept prompts before entries with their own upstream tables. Time advances in
//! ticks of a millisecond.

#![allow(clippy::unwrap_used, dead_code)]

#[path = "../engine_fleet/bounds.rs"]
mod bounds;
mod fixtures;
mod prompt_engine;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use gentian_config::serving::ServingRoute;
use gentian_core::peer::UpstreamWork;
use gentian_core::{FastMap, InstanceId, MonoTime, RequestId, StoreRevision, TimeSpan, UpstreamId};
use gentian_decide::quarantine::WorkQuarantine;
use gentian_decide::serving::{AttemptOutcome, CallScheduler, ScheduleDecision, UpstreamTable};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub(crate) use bounds::bounds;
pub(crate) use fixtures::{call, engine, model, registration, resident, route, table};
pub(crate) use prompt_engine::{BATCH_SLOTS, CACHE_TOKENS};
use prompt_engine::{PromptEngine, PromptRequest};

pub(crate) const TICK: TimeSpan = TimeSpan::from_millis(1);
pub(crate) const START: MonoTime = MonoTime::from_millis(1_000_000);
pub(crate) const HUB: InstanceId = InstanceId::new(1);
const SUMMARY_TICKS: u64 = 300;
const SUMMARY_AGE_TICKS: u64 = 100;
/// Ticks at which waiting requests are decided again.
const RECHECK_TICKS: u64 = 40;
const OWN_TOKENS: std::ops::Range<u32> = 200..1_200;
const DECODE_TICKS: std::ops::Range<u64> = 500..3_000;

/// A model: the engines that have it loaded, and its share of the requests.
#[derive(Clone, Debug)]
pub(crate) struct PromptModel {
    pub(crate) engines: Vec<usize>,
    pub(crate) weight: f64,
    /// Number of prefixes, and tokens of each of its two parts. All begin with the same part.
    pub(crate) prefixes: usize,
    pub(crate) part_tokens: (u32, u32),
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromptResult {
    /// Ticks to the first event, by kind.
    pub(crate) times: [Vec<u64>; 2],
    pub(crate) refused: [usize; 2],
    pub(crate) shared_asked: u64,
    pub(crate) shared_read: u64,
    /// Sum of the tokens of different parts.
    pub(crate) shared_distinct: u64,
}

/// Target latencies of the kinds of requests, in ticks.
pub(crate) const TARGET_TICKS: [u64; 2] = [300, 1_000];

impl PromptResult {
    /// Returns the requests of a kind without a first event in time.
    pub(crate) fn late(&self, kind: usize) -> usize {
        let late = self.times[kind].iter().filter(|time| **time > TARGET_TICKS[kind]);
        late.count() + self.refused[kind]
    }

    /// Returns the time within which this fraction of the responses began.
    pub(crate) fn quantile(&self, fraction: f64) -> u64 {
        let mut times = self.times.concat();
        times.sort_unstable();
        times[((times.len() - 1) as f64 * fraction) as usize]
    }

    /// Returns the shared tokens that were read although an engine had read them before.
    pub(crate) fn read_again(&self) -> u64 {
        self.shared_read - self.shared_distinct
    }
}

struct OpenPrompt {
    kind: usize,
    arrived: u64,
    request: PromptRequest,
}

struct EntryState {
    table: UpstreamTable,
    scheduler: CallScheduler,
    quarantine: WorkQuarantine,
}

/// Simulated engines with entries.
pub(crate) struct PromptFleet {
    random: SmallRng,
    pub(crate) ticks: u64,
    models: Vec<PromptModel>,
    entries: Vec<EntryState>,
    engines: Vec<PromptEngine>,
    open: FastMap<RequestId, OpenPrompt>,
    reports: VecDeque<Vec<BTreeMap<UpstreamId, UpstreamWork>>>,
    routes: [Arc<ServingRoute>; 2],
    seen: BTreeSet<(usize, usize)>,
    next_request: u64,
    pub(crate) result: PromptResult,
}

impl PromptFleet {
    /// Creates a fleet; without `cache` the configuration names no cache size.
    pub(crate) fn new(
        seed: u64,
        entries: usize,
        engines: usize,
        models: Vec<PromptModel>,
        cache: Option<u64>,
    ) -> Self {
        let on_engine = |number: usize| {
            let held = models.iter().enumerate().filter(|(_, it)| it.engines.contains(&number));
            held.map(|(index, _)| index).collect::<Vec<usize>>()
        };
        let loaded: Vec<Vec<usize>> = (0..engines).map(on_engine).collect();
        let entry_states = (0..entries).map(|_| EntryState {
            table: table(entries, cache, &loaded, START),
            scheduler: CallScheduler::new(bounds()),
            quarantine: WorkQuarantine::new("vm-0".parse().unwrap()),
        });
        Self {
            random: SmallRng::seed_from_u64(seed),
            ticks: 0,
            entries: entry_states.collect(),
            engines: (0..engines).map(|_| PromptEngine::default()).collect(),
            models,
            open: FastMap::default(),
            reports: VecDeque::new(),
            routes: TARGET_TICKS.map(route),
            seen: BTreeSet::new(),
            next_request: 0,
            result: PromptResult::default(),
        }
    }

    /// Runs requests at this rate per second.
    pub(crate) fn run(&mut self, rate: f64, span: TimeSpan) {
        let end = self.ticks + span.as_millis();
        while self.ticks < end {
            self.ticks += 1;
            self.run_engines();
            self.exchange_reports();
            let mut expected = rate * TICK.as_secs_f64();
            while self.random.random_range(0.0..1.0) < expected {
                expected -= 1.0;
                self.submit_request();
            }
            if self.ticks.is_multiple_of(RECHECK_TICKS) {
                (0..self.entries.len()).for_each(|entry| self.decide(entry));
            }
        }
        self.result.shared_read = self.engines.iter().map(|engine| engine.shared_read).sum();
    }

    /// Has an engine lose what it holds, as a new incarnation that has the same models loaded.
    pub(crate) fn restart_engine(&mut self, number: usize) {
        let now = self.now();
        self.engines[number].lose_parts();
        let models: Vec<usize> = (0..self.models.len())
            .filter(|index| self.models[*index].engines.contains(&number))
            .collect();
        for entry in &mut self.entries {
            let mut registrations: Vec<_> =
                (0..self.engines.len()).map(|other| registration(other, 1)).collect();
            registrations[number] = registration(number, 2);
            entry.table.update_registrations(registrations, StoreRevision::new(2), now);
            entry.table.update_resident_models(HUB, vec![resident(number, 2, &models)], now);
        }
    }

    fn now(&self) -> MonoTime {
        START + TICK * self.ticks
    }

    fn run_engines(&mut self) {
        let now = self.now();
        for engine in &mut self.engines {
            let (first, ended) = engine.tick(self.ticks);
            for request in first {
                let entry = &mut self.entries[request.entry];
                entry.scheduler.record_response_start(request.id, &mut entry.table, now);
                let open = &self.open[&request.id];
                self.result.times[open.kind].push(self.ticks - open.arrived);
            }
            for request in ended {
                let entry = &mut self.entries[request.entry];
                let outcome = AttemptOutcome::Served(TimeSpan::ZERO);
                entry.scheduler.end_attempt(request.id, outcome, &mut entry.table, now);
                self.open.remove(&request.id);
            }
        }
    }

    fn exchange_reports(&mut self) {
        if self.ticks % SUMMARY_TICKS == SUMMARY_TICKS - SUMMARY_AGE_TICKS {
            let reports = self.entries.iter().map(|entry| entry.scheduler.work());
            self.reports.push_back(reports.map(|work| work.into_iter().collect()).collect());
        }
        if !self.ticks.is_multiple_of(SUMMARY_TICKS) {
            return;
        }
        let Some(report) = self.reports.pop_front() else { return };
        let now = self.now();
        for (number, entry) in self.entries.iter_mut().enumerate() {
            let mut sums: BTreeMap<UpstreamId, UpstreamWork> = BTreeMap::new();
            for (_, work) in report.iter().enumerate().filter(|(other, _)| *other != number) {
                for (id, work) in work {
                    let sum = sums.entry(id.clone()).or_default();
                    sum.running += work.running;
                    sum.pending_prefill_tokens += work.pending_prefill_tokens;
                }
            }
            entry.table.update_remote_work(&sums.into_iter().collect::<Vec<_>>(), now);
        }
    }

    fn submit_request(&mut self) {
        let sum: f64 = self.models.iter().map(|it| it.weight).sum();
        let mut left = self.random.random_range(0.0..sum);
        let chosen = self.models.iter().position(|it| {
            left -= it.weight;
            left <= 0.0
        });
        let number = chosen.unwrap_or(0);
        let spec = self.models[number].clone();
        // Squaring makes the first prefixes more frequent.
        let prefix = self.random.random_range(0.0_f64..1.0).powi(2) * spec.prefixes as f64;
        let prefix = prefix as usize;
        let parts = [
            (number as u64 + 1, spec.part_tokens.0),
            ((number * 1_000 + prefix + 100) as u64, spec.part_tokens.1),
        ];
        if self.seen.insert((number, usize::MAX)) {
            self.result.shared_distinct += u64::from(spec.part_tokens.0);
        }
        if self.seen.insert((number, prefix)) {
            self.result.shared_distinct += u64::from(spec.part_tokens.1);
        }
        self.result.shared_asked += u64::from(spec.part_tokens.0 + spec.part_tokens.1);
        let own_tokens = self.random.random_range(OWN_TOKENS);
        let kind = usize::from(self.random.random_range(0.0..1.0) < 0.5);
        let entry = self.random.random_range(0..self.entries.len());
        self.next_request += 1;
        let now = self.now();
        let call = call(self.next_request, &self.routes[kind], number, &parts, own_tokens, now);
        let request = PromptRequest {
            id: call.id,
            entry,
            model: number,
            parts: parts.to_vec(),
            prompt_tokens: call.prompt_tokens,
            decode_ticks: self.random.random_range(DECODE_TICKS),
            unread: None,
            ends: None,
        };
        self.open.insert(call.id, OpenPrompt { kind, arrived: self.ticks, request });
        self.entries[entry].scheduler.admit(call, now).unwrap();
        self.decide(entry);
    }

    fn decide(&mut self, number: usize) {
        let now = self.now();
        let entry = &mut self.entries[number];
        if !entry.scheduler.is_waiting() {
            return;
        }
        for decision in entry.scheduler.decide(&mut entry.table, &mut entry.quarantine, now) {
            match decision {
                ScheduleDecision::Send(id, pick) => {
                    let position = (0..self.engines.len()).find(|it| engine(*it) == pick.upstream);
                    let request = self.open[&id].request.clone();
                    self.engines[position.unwrap()].requests.push_back(request);
                }
                ScheduleDecision::Refuse(id, _) => {
                    let open = self.open.remove(&id).unwrap();
                    self.result.refused[open.kind] += 1;
                }
            }
        }
    }
}
