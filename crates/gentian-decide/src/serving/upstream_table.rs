//! The upstreams that an entry knows, and the choice among them.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use gentian_config::serving::{ServiceSpec, ServingConfig};
use gentian_core::peer::{ResidentModels, UpstreamListing, UpstreamWork};
use gentian_core::{
    DomainId, FastMap, FastSet, InstanceId, MonoTime, SequenceNumber, ServiceId, TimeSpan,
    UpstreamId,
};
use rustc_hash::FxHasher;

use super::{
    AttemptOutcome, PrefillRate, ServingBounds, ServingCall, UpstreamRegistration, UpstreamRow,
    UpstreamState,
};

/// Weights of the choice, in prompt tokens that would delay a request as much.
const RUNNING_WEIGHT: f64 = 60.0;
const OTHER_DOMAIN_WEIGHT: f64 = 40.0;
const FAILURE_WEIGHT: f64 = 20_000.0;
const TRIED_WEIGHT: f64 = 1e9;
/// Weight of a full set of slots at a plain service.
const FULL_WEIGHT: f64 = 2_000.0;

/// Part of the time within which an answer is on time that a request may wait for prompts before it.
const QUEUE_PART: f64 = 0.7;

/// Entries up to which the work of all is known well enough to compare every upstream.
const SMALL_FLEET: usize = 16;
/// Upstreams that are compared at least: two keep the longest queue short.
const SAMPLE_LEAST: usize = 2;

/// The upstream that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamPick {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Work of all entries there when it was chosen.
    pub work: UpstreamWork,
    /// Upstreams that could have taken the request.
    pub candidates: usize,
}

/// Outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PickOutcome {
    /// This upstream takes the request.
    Send(UpstreamPick),
    /// No usable upstream holds what the request needs.
    NotHeld,
    /// The upstreams that hold it bear no more from this entry now.
    Full,
    /// No upstream of the service is usable.
    NoUpstream,
}

/// The upstreams that an entry knows.
#[derive(Debug)]
pub struct UpstreamTable {
    domain: DomainId,
    bounds: ServingBounds,
    config: Arc<ServingConfig>,
    rows: FastMap<UpstreamId, UpstreamRow>,
    paces: FastMap<ServiceId, PrefillRate>,
    drained: FastSet<DomainId>,
    rank: (u32, u32),
    /// When the work of the other entries was told.
    told: MonoTime,
    hub: Option<InstanceId>,
}

impl UpstreamTable {
    /// Creates a table without upstreams for an entry in `domain`.
    pub fn new(domain: DomainId, bounds: ServingBounds) -> Self {
        Self {
            domain,
            bounds,
            config: Arc::default(),
            rows: FastMap::default(),
            paces: FastMap::default(),
            drained: FastSet::default(),
            rank: (0, 1),
            told: MonoTime::ORIGIN,
            hub: None,
        }
    }

    /// Takes a configuration over.
    pub fn update(&mut self, config: Arc<ServingConfig>) {
        self.config = config;
    }

    /// Takes over which failure domains get no work.
    pub fn update_drained_domains(&mut self, drained: FastSet<DomainId>) {
        self.drained = drained;
    }

    /// Takes over which one of the entries this is, by the order of their names.
    pub fn update_entry_index(&mut self, rank: u32, entries: u32) {
        self.rank = (rank, entries);
    }

    /// Takes the whole list of registrations over, as it was at `revision` of the service.
    pub fn update_registrations(
        &mut self,
        entries: Vec<UpstreamRegistration>,
        revision: SequenceNumber,
        now: MonoTime,
    ) {
        let listed: FastSet<UpstreamId> = entries.iter().map(|entry| entry.id.clone()).collect();
        for (id, row) in &mut self.rows {
            // A listing of the hub may be newer than the whole list.
            if !listed.contains(id) && row.registration.revision <= revision {
                row.registration.state = UpstreamState::Draining { remaining: None };
                row.is_listed = false;
            }
        }
        for entry in entries {
            self.update_registration(entry, now);
        }
        self.rows.retain(|_, row| row.is_listed || row.own.running > 0);
    }

    /// Takes listings of the hub in.
    pub fn update_listings(&mut self, listings: Vec<UpstreamListing>, now: MonoTime) {
        for listing in listings {
            self.update_registration(listing.into(), now);
        }
    }

    fn update_registration(&mut self, new: UpstreamRegistration, now: MonoTime) {
        match self.rows.get_mut(&new.id) {
            Some(row) if new.revision < row.registration.revision => {}
            Some(row) if row.registration.incarnation == new.incarnation => row.update(new, now),
            _ => {
                self.rows.insert(new.id.clone(), UpstreamRow::new(new, now));
            }
        }
    }

    /// Takes rows of the hub in; those of another hub replace all.
    pub fn update_resident_models(&mut self, hub: InstanceId, rows: Vec<ResidentModels>) {
        if self.hub != Some(hub) {
            self.clear_resident_models();
            self.hub = Some(hub);
        }
        for holding in rows {
            if let Some(row) = self.rows.get_mut(&holding.upstream)
                && row.registration.incarnation == holding.incarnation
            {
                row.holding = Some(holding);
            }
        }
    }

    /// Forgets the rows of a hub that is silent.
    pub fn clear_resident_models(&mut self) {
        self.hub = None;
        self.rows.values_mut().for_each(|row| row.holding = None);
    }

    /// Takes in what the other entries do.
    pub fn update_remote_work(&mut self, work: &[(UpstreamId, UpstreamWork)], now: MonoTime) {
        self.told = now;
        self.rows.values_mut().for_each(|row| row.others = UpstreamWork::default());
        for (id, work) in work {
            if let Some(row) = self.rows.get_mut(id) {
                row.others = *work;
            }
        }
    }

    /// Returns the rows.
    pub fn rows(&self) -> impl Iterator<Item = &UpstreamRow> {
        self.rows.values()
    }

    /// Tells whether an upstream takes new work.
    pub fn is_available(&self, row: &UpstreamRow, now: MonoTime) -> bool {
        row.is_usable(now) && !self.drained.contains(&row.registration.domain)
    }

    /// Chooses the upstream that delays `call` least.
    pub fn pick(&mut self, call: &ServingCall, now: MonoTime) -> PickOutcome {
        let service = self.config.services.get(&call.service).cloned();
        let rows = self.rows.values().filter(|row| row.registration.service == call.service);
        let open: Vec<&UpstreamRow> = rows.filter(|row| self.is_available(row, now)).collect();
        if open.is_empty() {
            return PickOutcome::NoUpstream;
        }
        let holds =
            |row: &&&UpstreamRow| call.target.as_ref().is_none_or(|target| row.holds(target));
        let mut ranked: Vec<(f64, UpstreamId)> = open
            .iter()
            .filter(holds)
            .map(|row| (self.delay_of(row, call, now), row.registration.id.clone()))
            .collect();
        let candidates = ranked.len();
        if ranked.is_empty() {
            return PickOutcome::NotHeld;
        }
        self.keep_sample(&mut ranked, call);
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in ranked {
            if let Some(address) = self.take_room(&id, call, service.as_deref(), now) {
                let work = self.rows.get(&id).map(UpstreamRow::work).unwrap_or_default();
                let pick = UpstreamPick { upstream: id, address, work, candidates };
                return PickOutcome::Send(pick);
            }
        }
        PickOutcome::Full
    }

    /// Notes that a request was sent.
    pub fn record_start(&mut self, id: &UpstreamId, tokens: u32, now: MonoTime) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own.running += 1;
            row.own.pending_prefill_tokens += tokens;
            if row.is_cold(now) {
                row.cold_limiter.record_sent(now);
            }
        }
    }

    /// Takes in that an answer of `service` began `took` after its request was sent, behind
    /// `tokens_ahead` prompt tokens.
    pub fn record_prefill_time(&mut self, service: &ServiceId, tokens_ahead: u32, took: TimeSpan) {
        self.paces.entry(service.clone()).or_default().record(tokens_ahead, took);
    }

    /// Notes that a prompt is no longer to be read.
    pub fn record_prefill_end(&mut self, id: &UpstreamId, tokens: u32) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own.pending_prefill_tokens = row.own.pending_prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Notes that an attempt ended.
    pub fn record_outcome(&mut self, id: &UpstreamId, end: AttemptOutcome, now: MonoTime) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own.running = row.own.running.saturating_sub(1);
            row.record_outcome(end, now);
        }
    }

    fn take_room(
        &mut self,
        id: &UpstreamId,
        call: &ServingCall,
        service: Option<&ServiceSpec>,
        now: MonoTime,
    ) -> Option<SocketAddr> {
        let (bounds, rank) = (self.bounds, self.rank);
        if call.target.is_some() && self.is_overfull(self.rows.get(id)?, call, now) {
            return None;
        }
        let row = self.rows.get_mut(id)?;
        let connections = service.map_or(u64::MAX, |service| service.connection_limit.get());
        let share = (connections / u64::from(rank.1.max(1))).max(1);
        if connections > 0 && u64::from(row.own.running) >= share {
            return None;
        }
        let cold_request_rate = service.map_or(0.0, |service| service.cold_request_rate);
        if cold_request_rate > 0.0 && row.is_cold(now) {
            let seed = hash_of(&row.registration.id) as u32;
            if !row.cold_limiter.has_capacity(&bounds, cold_request_rate, rank, seed, now) {
                return None;
            }
        }
        Some(row.registration.address)
    }

    /// Keeps a random sample in a large fleet. What is known of the other entries' work is old there,
    /// and if all chose the least loaded upstream they would flood it.
    fn keep_sample(&self, ranked: &mut Vec<(f64, UpstreamId)>, call: &ServingCall) {
        let (_, entries) = self.rank;
        let size = (ranked.len() * SMALL_FLEET).div_ceil(entries.max(1) as usize);
        let size = size.max(SAMPLE_LEAST);
        if size < ranked.len() {
            ranked.sort_by_cached_key(|(_, id)| hash_of(&(call.received, call.id, id)));
            ranked.truncate(size);
        }
    }

    /// Tells whether a request would wait at an engine for longer than it may take to be on time. It
    /// is better off where it can still go elsewhere, and those ahead of it end sooner.
    fn is_overfull(&self, row: &UpstreamRow, call: &ServingCall, now: MonoTime) -> bool {
        let pace = self.paces.get(&call.service).copied().unwrap_or_default();
        let is_batch_full = u64::from(row.work().running) >= row.registration.slots.get().max(1);
        // What the others had to read when they told of it was read meanwhile.
        let others =
            pace.delay_of(row.others.pending_prefill_tokens).saturating_sub(now.since(self.told));
        let delay = pace.delay_of(row.own.pending_prefill_tokens) + others;
        is_batch_full || delay > call.route.target_latency * QUEUE_PART
    }

    fn delay_of(&self, row: &UpstreamRow, call: &ServingCall, now: MonoTime) -> f64 {
        let work = row.work();
        let mut delay = row.failure_share(now) * FAILURE_WEIGHT;
        if row.registration.domain != self.domain {
            delay += OTHER_DOMAIN_WEIGHT;
        }
        if call.tried.contains(&row.registration.id) {
            delay += TRIED_WEIGHT;
        }
        if call.target.is_none() {
            let slots = row.registration.slots.get().max(1) as f64;
            return delay + f64::from(work.running) / slots * FULL_WEIGHT;
        }
        delay += f64::from(work.pending_prefill_tokens) + f64::from(work.running) * RUNNING_WEIGHT;
        if let Some((tokens, digest)) = call.shared_prefix {
            // Every entry prefers the same upstream for the same prefix, which then holds its cache.
            let preference = hash_of(&(digest, &row.registration.id)) as f64 / u64::MAX as f64;
            delay += f64::from(tokens) * preference;
        }
        delay
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}
