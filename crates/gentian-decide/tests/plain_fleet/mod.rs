//! Simulated plain service: entries with their own upstream tables, and upstreams with few slots that
//! are slower than usual for fractions of a second. Time advances in ticks.

#![allow(clippy::unwrap_used, dead_code)]

use std::collections::VecDeque;
use std::sync::Arc;

use gentian_config::serving::{
    RetrySafety, ServiceSpec, ServiceWeight, ServingConfig, ServingRoute,
};
use gentian_core::peer::UpstreamWork;
use gentian_core::{
    FastMap, MonoTime, RequestId, ServiceId, SlotCount, StoreRevision, TimeSpan, TokenCount,
    UpstreamId,
};
use gentian_decide::selection::{LoadReading, ReportedLoad, ReportedPace};
use gentian_decide::serving::{
    AttemptOutcome, PickOutcome, ServingCall, UpstreamRegistration, UpstreamState, UpstreamTable,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

#[path = "../engine_fleet/bounds.rs"]
mod bounds;

pub(crate) const TICK: TimeSpan = TimeSpan::from_millis(1);
pub(crate) const START: MonoTime = MonoTime::from_millis(1_000_000);
pub(crate) const SLOTS: u32 = 6;
const INCARNATION: u64 = 1;
/// Interval of the hub's summaries, and their age on arrival.
const SUMMARY_TICKS: u64 = 300;
const SUMMARY_AGE_TICKS: usize = 100;
/// Time on the way between entry and upstream.
const TRIP_TICKS: u64 = 1;
/// Ticks between two changes of the pace of an upstream.
const PACE_TICKS: u64 = 50;
/// Chance at each change that an upstream becomes slow, and how long that lasts.
const SLOW_CHANCE: f64 = 0.02;
const SLOW_TICKS: std::ops::Range<u64> = 200..1_000;
const SLOW_FACTOR: f64 = 3.0;
/// Work of a request, in ticks at the usual pace.
const WORK_TICKS: std::ops::Range<f64> = 20.0..60.0;

/// What the upstreams' responses report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadHeader {
    /// Nothing.
    None,
    /// Running, waiting and slots.
    Counts,
    /// The same with the pace.
    CountsAndPace,
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlainResult {
    /// Times from the arrival of each request to its response, in ticks.
    pub(crate) times: Vec<u64>,
    /// Largest number of requests at one upstream.
    pub(crate) max_requests: usize,
}

impl PlainResult {
    /// Returns the time within which this fraction of the requests was answered.
    pub(crate) fn quantile(&self, fraction: f64) -> u64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        times[((times.len() - 1) as f64 * fraction) as usize]
    }

    /// Returns the number of requests answered later than this.
    pub(crate) fn later_than(&self, ticks: u64) -> usize {
        self.times.iter().filter(|time| **time > ticks).count()
    }
}

struct PlainRequest {
    entry: usize,
    id: RequestId,
    arrived: u64,
    begins: u64,
    left: f64,
}

struct PlainUpstream {
    id: UpstreamId,
    requests: VecDeque<PlainRequest>,
    base_pace: f64,
    pace: f64,
    slow_until: u64,
}

impl PlainUpstream {
    fn load(&self, header: LoadHeader) -> Option<ReportedLoad> {
        let count = self.requests.len() as u32;
        let pace = ReportedPace::new((self.pace * 100.0) as u32);
        let pace = pace.filter(|_| header == LoadHeader::CountsAndPace);
        let load = ReportedLoad::new(count.min(SLOTS), count.saturating_sub(SLOTS), SLOTS, pace);
        load.filter(|_| header != LoadHeader::None)
    }
}

/// Simulated service with its entries.
pub(crate) struct PlainFleet {
    random: SmallRng,
    ticks: u64,
    header: LoadHeader,
    tables: Vec<UpstreamTable>,
    upstreams: Vec<PlainUpstream>,
    /// Work of each entry at each upstream, for the summaries of some ticks.
    reports: VecDeque<Vec<Vec<u32>>>,
    responses: VecDeque<(u64, PlainRequest, usize, Option<ReportedLoad>)>,
    next_request: u64,
    route: Arc<ServingRoute>,
    /// What was measured.
    pub(crate) result: PlainResult,
}

pub(crate) fn service() -> ServiceId {
    "desk".parse().unwrap()
}

pub(crate) fn upstream(number: usize) -> UpstreamId {
    format!("desk-{number}").parse().unwrap()
}

pub(crate) fn registration(number: usize) -> UpstreamRegistration {
    UpstreamRegistration {
        id: upstream(number),
        revision: StoreRevision::new(1),
        incarnation: INCARNATION,
        service: service(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        domain: "north".parse().unwrap(),
        version: None,
        state: UpstreamState::Ready,
        slots: SlotCount::new(u64::from(SLOTS)),
        cold_remaining: TimeSpan::ZERO,
        models: None,
    }
}

pub(crate) fn route() -> Arc<ServingRoute> {
    Arc::new(ServingRoute {
        id: "book".parse().unwrap(),
        host: "desk.example".into(),
        path_prefix: "/".into(),
        kind: RetrySafety::Safe,
        timeout: TimeSpan::from_secs(2),
        target_latency: TimeSpan::from_millis(120),
        abandon_time: TimeSpan::from_secs(60),
        max_attempts: 1,
        priority: 0,
        services: vec![ServiceWeight { service: service(), weight: 1 }],
        allows_anonymous: true,
    })
}

/// Returns a table of one of these entries that knows these upstreams.
pub(crate) fn table(entry: usize, entries: usize, upstreams: usize) -> UpstreamTable {
    let mut table = UpstreamTable::new("north".parse().unwrap(), bounds::bounds());
    let spec = ServiceSpec {
        id: service(),
        connection_limit: SlotCount::new(8_000),
        cold_duration: TimeSpan::ZERO,
        cold_request_rate: 0.0,
        engine: None,
    };
    let services = FastMap::from_iter([(service(), Arc::new(spec))]);
    table.update(Arc::new(ServingConfig { services, ..ServingConfig::default() }));
    table.update_entry_index(entry as u32, entries as u32);
    let registrations = (0..upstreams).map(registration).collect();
    table.update_registrations(registrations, StoreRevision::new(1), START);
    table
}

/// Returns a request to the service.
pub(crate) fn call(id: u64, route: &Arc<ServingRoute>, now: MonoTime) -> ServingCall {
    ServingCall {
        id: RequestId::new(id),
        route: Arc::clone(route),
        service: service(),
        organisation: None,
        target: None,
        cost: TokenCount::new(1),
        prompt_tokens: 0,
        shared_prefix: None,
        shared_parts: Vec::new(),
        request: None,
        stream: None,
        is_resuming: false,
        origin: None,
        received: now,
        queued: now,
        deadline: now + TimeSpan::from_secs(2),
        tried: Vec::new(),
        possible_executions: 0,
        is_charged: false,
    }
}

impl PlainFleet {
    /// Creates a service whose upstreams work at these paces in the mean.
    pub(crate) fn new(seed: u64, entries: usize, paces: &[f64], header: LoadHeader) -> Self {
        let upstreams = paces.iter().enumerate().map(|(number, pace)| PlainUpstream {
            id: upstream(number),
            requests: VecDeque::new(),
            base_pace: *pace,
            pace: *pace,
            slow_until: 0,
        });
        Self {
            random: SmallRng::seed_from_u64(seed),
            ticks: 0,
            header,
            tables: (0..entries).map(|entry| table(entry, entries, paces.len())).collect(),
            upstreams: upstreams.collect(),
            reports: VecDeque::new(),
            responses: VecDeque::new(),
            next_request: 0,
            route: route(),
            result: PlainResult::default(),
        }
    }

    /// Runs requests at this rate per second.
    pub(crate) fn run(&mut self, rate: f64, span: TimeSpan) {
        let end = self.ticks + span.as_millis();
        while self.ticks < end {
            self.ticks += 1;
            if self.ticks.is_multiple_of(PACE_TICKS) {
                self.change_paces();
            }
            self.run_upstreams();
            self.deliver_responses();
            self.exchange_reports();
            let mut expected = rate * TICK.as_secs_f64();
            while self.random.random_range(0.0..1.0) < expected {
                expected -= 1.0;
                self.submit_request();
            }
        }
    }

    fn now(&self) -> MonoTime {
        START + TICK * self.ticks
    }

    fn change_paces(&mut self) {
        for upstream in &mut self.upstreams {
            if self.random.random_range(0.0..1.0) < SLOW_CHANCE {
                upstream.slow_until = self.ticks + self.random.random_range(SLOW_TICKS);
            }
            let factor = if upstream.slow_until > self.ticks { SLOW_FACTOR } else { 1.0 };
            upstream.pace = upstream.base_pace * factor * self.random.random_range(0.8..1.2);
        }
    }

    fn run_upstreams(&mut self) {
        for (number, upstream) in self.upstreams.iter_mut().enumerate() {
            self.result.max_requests = self.result.max_requests.max(upstream.requests.len());
            for request in upstream.requests.iter_mut().take(SLOTS as usize) {
                if request.begins <= self.ticks {
                    request.left -= 1.0 / upstream.pace;
                }
            }
            while let Some(position) = upstream.requests.iter().position(|it| it.left <= 0.0) {
                let request = upstream.requests.remove(position).unwrap();
                let load = upstream.load(self.header);
                self.responses.push_back((self.ticks + TRIP_TICKS, request, number, load));
            }
        }
    }

    fn deliver_responses(&mut self) {
        let now = self.now();
        while self.responses.front().is_some_and(|(due, ..)| *due <= self.ticks) {
            let (_, request, number, load) = self.responses.pop_front().unwrap();
            let table = &mut self.tables[request.entry];
            let id = &self.upstreams[number].id;
            if let Some(load) = load {
                table.record_load(id, INCARNATION, LoadReading { load, time: now });
            }
            table.record_outcome(id, AttemptOutcome::Served(TimeSpan::ZERO), now);
            self.result.times.push(self.ticks - request.arrived);
        }
    }

    fn exchange_reports(&mut self) {
        let counts = |table: &UpstreamTable| {
            let count = |id: &UpstreamId| {
                let row = table.rows().find(|row| row.registration.id == *id);
                row.map_or(0, |row| row.local_work.running)
            };
            self.upstreams.iter().map(|upstream| count(&upstream.id)).collect()
        };
        if self.ticks % SUMMARY_TICKS == SUMMARY_TICKS - SUMMARY_AGE_TICKS as u64 {
            self.reports.push_back(self.tables.iter().map(counts).collect());
        }
        if self.ticks.is_multiple_of(SUMMARY_TICKS)
            && let Some(report) = self.reports.pop_front()
        {
            let now = self.now();
            for (entry, table) in self.tables.iter_mut().enumerate() {
                let work = self.upstreams.iter().enumerate().map(|(number, upstream)| {
                    let others = report.iter().enumerate().filter(|(other, _)| *other != entry);
                    let running =
                        others.map(|(_, counts): (usize, &Vec<u32>)| counts[number]).sum();
                    (upstream.id.clone(), UpstreamWork { running, pending_prefill_tokens: 0 })
                });
                table.update_remote_work(&work.collect::<Vec<_>>(), now);
            }
        }
    }

    fn submit_request(&mut self) {
        let entry = self.random.random_range(0..self.tables.len());
        self.next_request += 1;
        let now = self.now();
        let call = call(self.next_request, &self.route, now);
        let outcome = self.tables[entry].pick(&call, now);
        let PickOutcome::Send(pick) = outcome else { panic!("{outcome:?}") };
        self.tables[entry].record_start(&pick.upstream, 0, now);
        let upstream = self.upstreams.iter_mut().find(|it| it.id == pick.upstream).unwrap();
        upstream.requests.push_back(PlainRequest {
            entry,
            id: call.id,
            arrived: self.ticks,
            begins: self.ticks + TRIP_TICKS,
            left: self.random.random_range(WORK_TICKS),
        });
    }
}
