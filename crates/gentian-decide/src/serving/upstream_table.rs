//! The upstreams that an entry knows, and load balancing among them.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;

use gentian_config::serving::{ServiceSpec, ServingConfig};
use gentian_core::peer::{
    LimitNotice, ResidentModels, ServiceVersion, StreamOrigin, UpstreamListing, UpstreamWork,
};
use gentian_core::{
    DomainId, FastMap, FastSet, InstanceId, MonoTime, RequestRate, ServiceId, SoftwareVersion,
    StoreRevision, TimeSpan, UpstreamId,
};

use super::selection_cost::{SelectionCost, SelectionView, find_home, selection_cost};
use super::{
    AttemptOutcome, DepartureLog, LimitedCapacity, PastRows, PickOutcome, PrefillTime,
    SelectionEstimate, ServingBounds, ServingCall, UpstreamNotice, UpstreamPauses, UpstreamPick,
    UpstreamRegistration, UpstreamRow, UpstreamState, VersionTracker,
};
use crate::limits::{PermitClient, PermitState};
use crate::selection::{LoadReading, SharedPrefix, hash_of};
use crate::streams::KnownStart;

/// Fraction of the target latency that a request may wait for the prefill of earlier prompts.
const PREFILL_WAIT_FRACTION: f64 = 0.7;

/// Largest number of entries at which remote work is known accurately enough to compare every
/// upstream.
const FULL_COMPARISON_ENTRIES: usize = 16;
/// Smallest number of upstreams to compare: a choice of two already keeps the longest queue short.
const MIN_SAMPLE_SIZE: usize = 2;

/// Whether this entry may send a request to an upstream now.
enum UpstreamCapacity {
    Free(SocketAddr),
    AwaitsPermit,
    None,
}

/// The upstreams that an entry knows.
#[derive(Debug)]
pub struct UpstreamTable {
    domain: DomainId,
    bounds: ServingBounds,
    config: Arc<ServingConfig>,
    rows: FastMap<UpstreamId, UpstreamRow>,
    past_rows: PastRows,
    prefill_times: FastMap<ServiceId, PrefillTime>,
    drained_domains: FastSet<DomainId>,
    departures: DepartureLog,
    pauses: UpstreamPauses,
    /// Index of this entry in the order of VM names, and the number of entries.
    index_and_count: (u32, u32),
    /// When the hub last reported the work of the other entries.
    remote_work_time: MonoTime,
    hub: Option<InstanceId>,
    /// Versions of the upstreams.
    pub versions: VersionTracker,
    /// Permits for upstreams that name limits.
    pub permits: PermitClient,
}

impl UpstreamTable {
    /// Creates a table without upstreams for an entry in `domain`.
    pub fn new(domain: DomainId, bounds: ServingBounds) -> Self {
        Self {
            domain,
            bounds,
            config: Arc::default(),
            rows: FastMap::default(),
            past_rows: PastRows::default(),
            prefill_times: FastMap::default(),
            drained_domains: FastSet::default(),
            departures: DepartureLog::new(bounds.registration_ttl),
            pauses: UpstreamPauses::default(),
            index_and_count: (0, 1),
            remote_work_time: MonoTime::ORIGIN,
            hub: None,
            versions: VersionTracker::new(bounds.drain_time),
            permits: PermitClient::new(),
        }
    }

    /// Returns the table of an entry that starts now and may have had predecessors.
    pub fn with_start(self, now: MonoTime) -> Self {
        Self { versions: self.versions.with_start(now), ..self }
    }

    /// Replaces the configuration.
    pub fn update(&mut self, config: Arc<ServingConfig>) {
        self.config = config;
    }

    /// Replaces the set of failure domains whose upstreams get no requests.
    pub fn update_drained_domains(&mut self, drained_domains: FastSet<DomainId>) {
        self.drained_domains = drained_domains;
    }

    /// Sets the index of this entry in the order of VM names, and the number of entries.
    pub fn update_entry_index(&mut self, entry_index: u32, entry_count: u32) {
        self.index_and_count = (entry_index, entry_count);
    }

    /// Replaces all registrations by the list as of `revision` of the key-value service.
    pub fn update_registrations(
        &mut self,
        registrations: Vec<UpstreamRegistration>,
        revision: StoreRevision,
        now: MonoTime,
    ) {
        self.departures.record_revision(revision, now);
        let listed: FastSet<UpstreamId> =
            registrations.iter().map(|registration| registration.id.clone()).collect();
        for (id, row) in &mut self.rows {
            // A listing that came from the hub may be newer than this list.
            if !listed.contains(id) && row.registration.revision <= revision {
                row.registration.state = UpstreamState::Draining { remaining: None };
                row.is_registered = false;
                self.departures.record_departure(&row.registration, revision, now);
            }
        }
        for registration in registrations {
            self.update_registration(registration, now);
        }
        let is_gone = |_: &UpstreamId, row: &mut UpstreamRow| {
            !row.is_registered && row.local_work.running == 0
        };
        for (_, row) in self.rows.extract_if(is_gone) {
            self.past_rows.record(row, now);
        }
        self.departures.prune(|id| self.rows.contains_key(id), now);
        self.update_versions(now);
    }

    /// Applies changed listings from the hub.
    pub fn update_listings(&mut self, listings: Vec<UpstreamListing>, now: MonoTime) {
        if listings.is_empty() {
            return;
        }
        for listing in listings {
            self.update_registration(listing.into(), now);
        }
        self.update_versions(now);
    }

    fn update_versions(&mut self, now: MonoTime) {
        let registered = self.rows.values().filter(|row| row.is_registered);
        let versions = registered.filter_map(|row| {
            let registration = &row.registration;
            Some((&registration.service, registration.version.as_ref()?))
        });
        self.versions.update(versions, now);
    }

    /// Returns whether a registration doesn't show that its upstream is leaving or has left: the
    /// registration is older, the upstream said so only in a response, or the key-value service has
    /// just been restored from a copy.
    pub fn is_outdated(&self, registration: &UpstreamRegistration, now: MonoTime) -> bool {
        self.departures.is_outdated(registration, now)
    }

    /// Returns whether `new` is news about whether its upstream is ready, or about its start.
    pub fn is_news(&self, new: &UpstreamRegistration, now: MonoTime) -> bool {
        let known = self.rows.get(&new.id).map(|row| &row.registration);
        let is_ready = |it: &UpstreamRegistration| it.state == UpstreamState::Ready;
        let is_newer = known.is_none_or(|known| {
            new.revision >= known.revision
                && (new.incarnation != known.incarnation || is_ready(new) != is_ready(known))
        });
        is_newer && !self.is_outdated(new, now)
    }

    fn update_registration(&mut self, new: UpstreamRegistration, now: MonoTime) {
        self.departures.record_revision(new.revision, now);
        if self.departures.is_outdated(&new, now) {
            return;
        }
        let known = self.rows.get(&new.id).map(|row| row.registration.revision);
        if known.is_none_or(|known| known <= new.revision) {
            match new.state {
                UpstreamState::Ready => self.departures.remove(&new.id),
                UpstreamState::Draining { .. } => {
                    self.departures.record_departure(&new, new.revision, now);
                }
            }
        }
        match self.rows.get_mut(&new.id) {
            Some(row) if new.revision < row.registration.revision => {}
            Some(row) if row.registration.incarnation == new.incarnation => row.update(new, now),
            known => {
                if known.is_some_and(|row| !row.has_version_of(&new)) {
                    self.versions.record_restart(new.id.clone());
                }
                let past = self.past_rows.remove(&new.id, new.incarnation);
                let row = match past {
                    Some(past) => past.with_registration(new, now),
                    None => UpstreamRow::new(new, now),
                };
                self.rows.insert(row.registration.id.clone(), row);
            }
        }
    }

    /// Applies changed resident models from the hub. After a change of hub, all earlier ones are
    /// dropped first.
    pub fn update_resident_models(
        &mut self,
        hub: InstanceId,
        models: Vec<ResidentModels>,
        now: MonoTime,
    ) {
        if self.hub != Some(hub) {
            self.clear_resident_models();
            self.hub = Some(hub);
        }
        for resident_models in models {
            if let Some(row) = self.rows.get_mut(&resident_models.upstream)
                && row.registration.incarnation == resident_models.incarnation
            {
                row.update_resident_models(resident_models, now);
            }
        }
    }

    /// Returns whether a hub reports the resident models.
    pub fn has_resident_models(&self) -> bool {
        self.hub.is_some()
    }

    /// Drops the resident models of a hub that is unreachable.
    pub fn clear_resident_models(&mut self) {
        self.hub = None;
        self.rows.values_mut().for_each(|row| row.resident_models = None);
    }

    /// Replaces the work of the other entries.
    pub fn update_remote_work(&mut self, work: &[(UpstreamId, UpstreamWork)], now: MonoTime) {
        self.remote_work_time = now;
        self.rows.values_mut().for_each(|row| row.remote_work = UpstreamWork::default());
        for (id, work) in work {
            if let Some(row) = self.rows.get_mut(id) {
                row.remote_work = *work;
            }
        }
    }

    /// Returns the registered upstreams whose versions are not known, with their incarnations.
    pub fn unknown_versions(&self) -> impl Iterator<Item = (UpstreamId, u64)> {
        let rows = self.rows.values().filter(|row| row.is_registered);
        let unknown = rows.map(|row| &row.registration).filter(|it| it.version.is_none());
        unknown.map(|registration| (registration.id.clone(), registration.incarnation))
    }

    /// Returns the origin of a stream that this incarnation of an upstream of a service has begun; `None`
    /// if the service names no versions.
    pub fn stream_origin(
        &self,
        service: &ServiceId,
        upstream: &UpstreamId,
        incarnation: u64,
    ) -> Option<StreamOrigin> {
        let service = service.clone();
        match self.version(upstream, incarnation) {
            Some(software) => {
                let software = software.clone();
                Some(StreamOrigin::Version(ServiceVersion { service, software }))
            }
            None if self.versions.history.has_named(&service) => {
                Some(StreamOrigin::Uncertain(service))
            }
            None => None,
        }
    }

    /// Records the start that a report of an upstream names, which was selected as this incarnation, or that
    /// it names none; returns whether that is news.
    pub fn record_reported_start(
        &mut self,
        id: &UpstreamId,
        incarnation: u64,
        start: Option<u64>,
    ) -> bool {
        let row = self.rows.get_mut(id);
        let row = row.filter(|row| row.registration.incarnation == incarnation);
        row.is_some_and(|row| row.record_start(start))
    }

    /// Returns the version of this incarnation of an upstream, if it is known.
    pub fn version(&self, id: &UpstreamId, incarnation: u64) -> Option<&SoftwareVersion> {
        let registration = &self.rows.get(id)?.registration;
        registration.version.as_ref().filter(|_| registration.incarnation == incarnation)
    }

    /// Records the version of this incarnation of an upstream; returns whether it is new.
    pub fn record_version(
        &mut self,
        id: &UpstreamId,
        incarnation: u64,
        version: &SoftwareVersion,
        now: MonoTime,
    ) -> bool {
        let registration = self.rows.get_mut(id).map(|row| &mut row.registration);
        let registration = registration.filter(|it| it.incarnation == incarnation);
        let is_new = registration.is_some_and(|it| it.version.replace(version.clone()).is_none());
        if is_new {
            self.update_versions(now);
        }
        is_new
    }

    /// Returns the rows of all known upstreams.
    pub fn rows(&self) -> impl Iterator<Item = &UpstreamRow> {
        self.rows.values()
    }

    /// Returns the number of upstreams without a registration of which something is remembered.
    pub fn remembered_count(&self) -> usize {
        self.past_rows.len()
    }

    /// Returns whether an upstream accepts new requests and its failure domain is not drained.
    pub fn is_available(&self, row: &UpstreamRow, now: MonoTime) -> bool {
        row.is_usable(now) && !self.drained_domains.contains(&row.registration.domain)
    }

    /// Selects the upstream with the smallest expected delay for `call` among those that have
    /// capacity for it; in a large fleet, only a sample is compared.
    pub fn pick(&mut self, call: &ServingCall, now: MonoTime) -> PickOutcome {
        let service = self.config.services.get(&call.service).cloned();
        let rows = self.rows.values().filter(|row| row.registration.service == call.service);
        let rows: Vec<&UpstreamRow> = rows.filter(|row| call.may_go_on_at(row)).collect();
        if call.origin.is_some() && !rows.iter().any(|row| row.is_ready()) {
            return PickOutcome::VersionGone;
        }
        let is_mixed = self.versions.history.is_mixed(&call.service, now);
        let list_time = self.versions.list_time();
        let is_doubtful = |row: &UpstreamRow| row.may_have_restarted(list_time, is_mixed);
        let may_go_on =
            |row: &&UpstreamRow| call.origin.is_none() || row.may_go_on(is_doubtful(row));
        let rows: Vec<&UpstreamRow> = rows.into_iter().filter(may_go_on).collect();
        if call.origin.is_some() && rows.is_empty() {
            return PickOutcome::Uncertain;
        }
        let mut available: Vec<&UpstreamRow> =
            rows.into_iter().filter(|row| self.is_available(row, now)).collect();
        if available.is_empty() {
            return PickOutcome::NoUpstream;
        }
        let has_target =
            |row: &&&UpstreamRow| call.target.as_ref().is_none_or(|target| row.has_loaded(target));
        // The others are asked for their start first, which may be in vain.
        if call.origin.is_some() && available.iter().filter(has_target).any(|row| !is_doubtful(row))
        {
            available.retain(|row| !is_doubtful(row));
        }
        let is_large_fleet = self.index_and_count.1 as usize > FULL_COMPARISON_ENTRIES;
        let cache = service.as_ref().and_then(|service| service.engine.as_ref()?.cache);
        let loaded = available.iter().filter(has_target);
        let ids = loaded.clone().map(|row| &row.registration.id);
        let home = cache.and_then(|_| find_home(ids, call));
        let unseen_fraction = 1.0 - 1.0 / f64::from(self.index_and_count.1.max(1));
        let view = SelectionView {
            domain: &self.domain,
            is_large_fleet,
            unseen_fraction,
            home,
            cache,
            now,
        };
        let mut ranked: Vec<(SelectionCost, UpstreamId)> = loaded
            .map(|row| (selection_cost(row, call, &view), row.registration.id.clone()))
            .collect();
        let candidates = ranked.len();
        if ranked.is_empty() {
            return PickOutcome::NotLoaded;
        }
        if call.route.kind.is_resumable() && call.origin.is_none() {
            self.retain_settled(&mut ranked, now);
        }
        if let Some(end) = self.retain_accepting(&mut ranked, now) {
            return PickOutcome::Paused(end);
        }
        let accepted_rate = self.accepted_rate(&ranked, now);
        let priority = call.priority();
        let backlogs = ranked.iter().map(|(_, id)| self.permits.backlog(id, priority));
        let backlog = backlogs.fold(0, u32::saturating_add);
        ranked.retain(|(_, id)| !self.is_denied(id, priority, now));
        if let (true, Some(rate)) = (ranked.is_empty(), accepted_rate) {
            return PickOutcome::Limited(LimitedCapacity { rate, backlog });
        }
        self.retain_sample(&mut ranked, call, now);
        ranked.sort_by(|a, b| a.0.total.total_cmp(&b.0.total));
        for (cost, id) in ranked {
            match self.find_capacity(&id, call, service.as_deref(), now) {
                UpstreamCapacity::Free(address) => {
                    let row = self.rows.get(&id);
                    let work = row.map(UpstreamRow::work).unwrap_or_default();
                    let limit = row.and_then(|row| row.limit);
                    let version = row.and_then(|row| row.registration.version.clone());
                    let start = row.map_or(KnownStart::new(0), |row| {
                        row.start(row.may_have_restarted(self.versions.list_time(), is_mixed))
                    });
                    let estimate = self.estimate(&id, call, cost, now);
                    return PickOutcome::Send(UpstreamPick {
                        upstream: id,
                        address,
                        version,
                        start,
                        work,
                        candidates,
                        limit,
                        estimate,
                        selected: now,
                    });
                }
                UpstreamCapacity::AwaitsPermit => return PickOutcome::AwaitsPermit,
                UpstreamCapacity::None => {}
            }
        }
        PickOutcome::Full
    }

    /// Removes the upstreams at which resumable streams may not begin yet, unless there are no others.
    fn retain_settled(&self, ranked: &mut Vec<(SelectionCost, UpstreamId)>, now: MonoTime) {
        let is_settled = |id: &UpstreamId| {
            let registration = self.rows.get(id).map(|row| &row.registration);
            registration.is_some_and(|it| {
                let version = it.version.as_ref();
                version.is_some_and(|version| {
                    self.versions.history.is_settled(&it.service, version, now)
                })
            })
        };
        if ranked.iter().any(|(_, id)| is_settled(id)) {
            ranked.retain(|(_, id)| is_settled(id));
        }
    }

    /// Removes the upstreams that accept no requests from this entry for a while; returns when the
    /// first of them does again if none is left.
    fn retain_accepting(
        &self,
        ranked: &mut Vec<(SelectionCost, UpstreamId)>,
        now: MonoTime,
    ) -> Option<MonoTime> {
        if self.pauses.is_empty() {
            return None;
        }
        let pause_end = |id: &UpstreamId| self.pauses.end(id, self.incarnation(id)?, now);
        let first_end = ranked.iter().filter_map(|(_, id)| pause_end(id)).min();
        ranked.retain(|(_, id)| pause_end(id).is_none());
        first_end.filter(|_| ranked.is_empty())
    }

    /// Returns when the next upstream accepts requests of this entry again that turned one away.
    pub fn next_pause_end(&self, now: MonoTime) -> Option<MonoTime> {
        self.pauses.next_end(now)
    }

    /// Returns the incarnation of an upstream.
    pub fn incarnation(&self, id: &UpstreamId) -> Option<u64> {
        Some(self.rows.get(id)?.registration.incarnation)
    }

    /// Records what a response of this incarnation of an upstream says about it; returns whether that
    /// is new.
    pub fn record_notice(
        &mut self,
        id: &UpstreamId,
        incarnation: u64,
        notice: UpstreamNotice,
        now: MonoTime,
    ) -> bool {
        match notice {
            UpstreamNotice::Leaving => self.record_leaving(id, incarnation, now),
            UpstreamNotice::Pause(span) => {
                self.pauses.record(id, incarnation, now + span, now);
                true
            }
        }
    }

    fn record_leaving(&mut self, id: &UpstreamId, incarnation: u64, now: MonoTime) -> bool {
        let row = self.rows.get_mut(id);
        let Some(row) = row.filter(|row| row.registration.incarnation == incarnation) else {
            return false;
        };
        if row.registration.state == UpstreamState::Ready {
            row.registration.state = UpstreamState::Draining { remaining: None };
        }
        self.departures.record_announcement(&row.registration, now)
    }

    /// Returns the limit that an upstream names.
    pub fn limit(&self, id: &UpstreamId) -> Option<RequestRate> {
        self.rows.get(id)?.limit
    }

    /// Returns a notice of the limit that a response of an upstream has just named.
    pub fn limit_notice(&self, id: &UpstreamId) -> Option<LimitNotice> {
        let row = self.rows.get(id)?;
        Some(LimitNotice {
            upstream: id.clone(),
            incarnation: row.registration.incarnation,
            limit: row.limit,
            age: TimeSpan::ZERO,
        })
    }

    /// Applies the limit that another entry was named; returns whether the limit changed.
    pub fn apply_limit(&mut self, notice: &LimitNotice, now: MonoTime) -> bool {
        let known = self.rows.get_mut(&notice.upstream);
        let row = known.or_else(|| self.past_rows.get_mut(&notice.upstream));
        row.filter(|row| row.registration.incarnation == notice.incarnation)
            .is_some_and(|row| row.apply_limit(notice.limit, now - notice.age))
    }

    /// Returns the number of upstreams that name a limit.
    pub fn limited_count(&self) -> usize {
        self.rows.values().filter(|row| row.limit.is_some()).count()
    }

    /// Records that a request was sent.
    pub fn record_start(&mut self, id: &UpstreamId, tokens: u32, now: MonoTime) {
        if let Some(row) = self.rows.get_mut(id) {
            row.local_work.running += 1;
            let pending = &mut row.local_work.pending_prefill_tokens;
            *pending = pending.saturating_add(tokens);
            if row.is_cold(now) {
                row.cold_limiter.record_sent(now);
            }
            if row.limit.is_some() {
                row.limit_share.record_limited(now);
                self.permits.consume(id);
            }
        }
    }

    /// Records that a response of `service` started `elapsed` after its request was sent, with
    /// `prefill_tokens` prompt tokens to prefill before it, its own included.
    pub fn record_prefill_time(
        &mut self,
        service: &ServiceId,
        prefill_tokens: u32,
        elapsed: TimeSpan,
    ) {
        self.prefill_times.entry(service.clone()).or_default().record(prefill_tokens, elapsed);
    }

    /// Returns how long the engines of a service take to prefill prompts, as this entry has learned it.
    pub fn prefill_time(&self, service: &ServiceId) -> PrefillTime {
        self.prefill_times.get(service).copied().unwrap_or_default()
    }

    /// Records the limit that a response of an upstream names; its request was sent at `sent`.
    /// Returns whether the limit changed.
    pub fn record_limit(
        &mut self,
        id: &UpstreamId,
        limit: Option<RequestRate>,
        sent: MonoTime,
        now: MonoTime,
    ) -> bool {
        let row = self.rows.get_mut(id);
        row.is_some_and(|row| row.record_limit(limit, sent, now))
    }

    /// Records the load that a response of this incarnation of an upstream reports; returns whether
    /// it is the first one, or the first after a long time.
    pub fn record_load(&mut self, id: &UpstreamId, incarnation: u64, reading: LoadReading) -> bool {
        let row = self.rows.get_mut(id);
        let row = row.filter(|row| row.registration.incarnation == incarnation);
        row.is_some_and(|row| row.record_load(reading))
    }

    /// Returns the number of upstreams whose responses report their load.
    pub fn reporting_count(&self, now: MonoTime) -> usize {
        self.rows.values().filter(|row| row.load(now).is_some()).count()
    }

    /// Records that the engine has read a prompt, of which `unread_tokens` were expected not to be held.
    pub fn record_prompt(
        &mut self,
        id: &UpstreamId,
        prefix: Option<&SharedPrefix>,
        unread_tokens: u32,
        now: MonoTime,
    ) {
        let entries = self.index_and_count.1;
        if let Some(row) = self.rows.get_mut(id) {
            row.held_prompts.record_read(prefix, unread_tokens, entries, now);
        }
    }

    /// Forgets that the upstream has read a prompt if this outcome shows that it may not have.
    pub fn forget_prompt(
        &mut self,
        id: &UpstreamId,
        prefix: Option<&SharedPrefix>,
        outcome: AttemptOutcome,
    ) {
        let is_unread = matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::Failed);
        if let (true, Some(prefix), Some(row)) = (is_unread, prefix, self.rows.get_mut(id)) {
            row.held_prompts.forget(prefix);
        }
    }

    /// Records that the prefill of a prompt is no longer pending.
    pub fn record_prefill_end(&mut self, id: &UpstreamId, tokens: u32) {
        if let Some(row) = self.rows.get_mut(id) {
            row.local_work.pending_prefill_tokens =
                row.local_work.pending_prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, id: &UpstreamId, outcome: AttemptOutcome, now: MonoTime) {
        if let Some(row) = self.rows.get_mut(id) {
            row.local_work.running = row.local_work.running.saturating_sub(1);
            row.record_outcome(outcome, now);
        }
    }

    /// Returns whether this entry may send `call` to the upstream now, and at which address.
    fn find_capacity(
        &mut self,
        id: &UpstreamId,
        call: &ServingCall,
        service: Option<&ServiceSpec>,
        now: MonoTime,
    ) -> UpstreamCapacity {
        let Some(address) = self.find_free_address(id, call, service, now) else {
            return UpstreamCapacity::None;
        };
        let Some(row) = self.rows.get(id) else { return UpstreamCapacity::None };
        let Some(limit) = row.limit else { return UpstreamCapacity::Free(address) };
        if !self.permits.needs_permits(now) {
            return match self.is_denied(id, call.priority(), now) {
                true => UpstreamCapacity::None,
                false => UpstreamCapacity::Free(address),
            };
        }
        match self.permits.state(id, call.priority(), now) {
            PermitState::Granted => UpstreamCapacity::Free(address),
            PermitState::Denied => UpstreamCapacity::None,
            PermitState::Unknown => {
                self.permits.want(id, call.priority(), row.registration.incarnation, limit);
                UpstreamCapacity::AwaitsPermit
            }
        }
    }

    /// Returns whether an upstream names a limit that leaves nothing to a request of this priority at
    /// this entry at present.
    fn is_denied(&mut self, id: &UpstreamId, priority: u8, now: MonoTime) -> bool {
        let Some(row) = self.rows.get_mut(id) else { return false };
        let Some(limit) = row.limit else { return false };
        if self.permits.needs_permits(now) {
            return self.permits.state(id, priority, now) == PermitState::Denied;
        }
        let seed = hash_of(&row.registration.id) as u32;
        !row.limit_share.has_capacity_for(limit, self.index_and_count, seed, now)
    }

    /// Returns what these upstreams accept together, if all of them name limits: from all entries, or
    /// from this one if it keeps to its share.
    fn accepted_rate(
        &self,
        ranked: &[(SelectionCost, UpstreamId)],
        now: MonoTime,
    ) -> Option<RequestRate> {
        let sum: RequestRate = ranked.iter().map(|(_, id)| self.limit(id)).sum::<Option<_>>()?;
        let sharers = if self.permits.needs_permits(now) { 1 } else { self.index_and_count.1 };
        Some(sum.divide(sharers))
    }

    /// Returns the address of the upstream if it has capacity for `call`, apart from a limit that it
    /// may name.
    fn find_free_address(
        &mut self,
        id: &UpstreamId,
        call: &ServingCall,
        service: Option<&ServiceSpec>,
        now: MonoTime,
    ) -> Option<SocketAddr> {
        let (bounds, index_and_count) = (self.bounds, self.index_and_count);
        if call.target.is_some() && self.is_overloaded(self.rows.get(id)?, call, now) {
            return None;
        }
        let row = self.rows.get_mut(id)?;
        let connections = service.map_or(u64::MAX, |service| service.connection_limit.get());
        let max_running = (connections / u64::from(index_and_count.1.max(1))).max(1);
        if connections > 0 && u64::from(row.local_work.running) >= max_running {
            return None;
        }
        let cold_request_rate = service.map_or(0.0, |service| service.cold_request_rate);
        if cold_request_rate > 0.0 && row.is_cold(now) {
            let seed = hash_of(&row.registration.id) as u32;
            if !row.cold_limiter.has_capacity(
                &bounds,
                cold_request_rate,
                index_and_count,
                seed,
                now,
            ) {
                return None;
            }
        }
        Some(row.registration.address)
    }

    /// Returns the expected time to the first event, and the age of the figures that it is based on.
    fn estimate(
        &self,
        id: &UpstreamId,
        call: &ServingCall,
        cost: SelectionCost,
        now: MonoTime,
    ) -> SelectionEstimate {
        let row = self.rows.get(id);
        let load = row.and_then(|row| row.load(now)).map(|load| load.newest());
        let prefix = call.shared_prefix.as_ref();
        let prefill_time = self.prefill_times.get(&call.service).copied().unwrap_or_default();
        SelectionEstimate {
            expected: prefill_time.typical_delay(cost.expected_tokens),
            held_tokens: cost.held_tokens as u32,
            held_age: row.and_then(|row| row.held_prompts.age(prefix?, now)),
            load,
            load_age: load.map_or(TimeSpan::ZERO, |load| now.since(load.time)),
            work_age: now.since(self.remote_work_time),
        }
    }

    /// Reduces the candidates to a random sample in a large fleet. Remote work is known with a
    /// delay there, and if all entries chose the least loaded upstream, they would overload it.
    /// Upstreams of plain services that report their load are all compared: a random delay in
    /// their costs has the same effect.
    fn retain_sample(
        &self,
        ranked: &mut Vec<(SelectionCost, UpstreamId)>,
        call: &ServingCall,
        now: MonoTime,
    ) {
        let reports_load =
            |id: &UpstreamId| self.rows.get(id).is_some_and(|row| row.load(now).is_some());
        if call.target.is_none() && ranked.iter().all(|(_, id)| reports_load(id)) {
            return;
        }
        let (_, entry_count) = self.index_and_count;
        let holders = ranked.iter().filter(|(cost, _)| cost.is_home || cost.held_tokens > 0.0);
        let rank = |cost: &SelectionCost| (cost.held_tokens, cost.is_home);
        let holder = holders
            .max_by(|a, b| rank(&a.0).partial_cmp(&rank(&b.0)).unwrap_or(Ordering::Equal))
            .cloned();
        let size = (ranked.len() * FULL_COMPARISON_ENTRIES).div_ceil(entry_count.max(1) as usize);
        let size = size.max(MIN_SAMPLE_SIZE);
        if size < ranked.len() {
            ranked.sort_by_cached_key(|(_, id)| hash_of(&(call.received, call.id, id)));
            ranked.truncate(size);
            // Where the prompt is likely held is compared in any case.
            let missing = holder.filter(|(_, id)| ranked.iter().all(|(_, other)| other != id));
            ranked.extend(missing);
        }
    }

    /// Returns whether a request would wait too long at this engine to meet its target latency. It
    /// is better queued at the entry: another engine may become free first, and the requests at
    /// this engine are not slowed down.
    fn is_overloaded(&self, row: &UpstreamRow, call: &ServingCall, now: MonoTime) -> bool {
        let prefill_time = self.prefill_times.get(&call.service).copied().unwrap_or_default();
        let is_batch_full = row.expected_engine_requests(now) >= row.slots(now);
        // Engines have continued to prefill the remote prompts since the report.
        let remote_delay = prefill_time
            .expected_delay(row.remote_work.pending_prefill_tokens)
            .saturating_sub(now.since(self.remote_work_time));
        let delay =
            prefill_time.expected_delay(row.local_work.pending_prefill_tokens) + remote_delay;
        is_batch_full || delay > call.route.target_latency * PREFILL_WAIT_FRACTION
    }
}
