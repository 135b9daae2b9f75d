//! Which versions began the streams of callers, known by several entries.

use std::hash::BuildHasher;

use gentian_core::peer::{
    OriginNotice, OriginQuery, OriginReply, OriginTrace, ServiceVersion, StreamOrigin,
};
use gentian_core::{FastMap, MonoTime, ServiceId, StreamId, TimeSpan, UpstreamId, VmId};
use rustc_hash::FxBuildHasher;

use super::{OpenQuery, OriginLog, QueryBudget, TakeUp, TakeUpClaim, UnknownCause};
use crate::serving::VersionHistory;

/// Other entries beside the writer of the trace that know which version began a stream.
const KEEPERS: usize = 2;
/// Time after which an entry that has not replied is taken for lost.
const QUERY_TIME: TimeSpan = TimeSpan::from_millis(200);
/// Time after which a query is sent again to those that have not replied.
const QUERY_INTERVAL: TimeSpan = TimeSpan::from_millis(60);
/// Longest wait of a request until this entry has read the records from which it knows which versions
/// serve: after a start, or if it was out of contact.
const RECORD_WAIT: TimeSpan = TimeSpan::from_millis(600);
/// Largest number of streams in a trace, and in a notice, which is a datagram.
const MAX_TRACED: usize = 8_192;
const MAX_NOTICE: usize = 100;

/// Which versions began the streams of callers.
///
/// A caller whose connection broke asks any entry for the rest of its stream, and only an upstream of the
/// version that began it may go on. While a service has one version, that is the one. Once it has several,
/// each entry tells the hub and two others, chosen by the stream, which version began each of its
/// streams, and asks them about one that it doesn't know, then all others. The hub stores the latest, in case all entries
/// end; the first entry by name does so while there is no hub.
#[derive(Debug)]
pub struct StreamOrigins {
    vm: VmId,
    /// The hub, if it replies.
    hub: Option<VmId>,
    /// The first of the entries by name.
    first_entry: Option<VmId>,
    entries: Vec<VmId>,
    log: OriginLog,
    /// Queries begun within twice `RECORD_WAIT`, one for each stream that is being taken up.
    queries: FastMap<StreamId, OpenQuery>,
    wide_budget: QueryBudget,
    is_log_changed: bool,
}

impl StreamOrigins {
    /// Creates the account of the entry on `vm`.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            hub: None,
            first_entry: None,
            entries: Vec::new(),
            log: OriginLog::new(),
            queries: FastMap::default(),
            wide_budget: QueryBudget::new(),
            is_log_changed: false,
        }
    }

    /// Replaces the entries of the fleet.
    pub fn update_entries(&mut self, entries: Vec<VmId>) {
        self.first_entry = entries.iter().min().cloned();
        self.entries = entries;
    }

    /// Replaces the hub; `None` if none replies.
    pub fn update_hub(&mut self, hub: Option<&VmId>) {
        if self.hub.as_ref() != hub {
            self.hub = hub.cloned();
        }
    }

    /// Returns whether this entry stores the trace.
    pub fn is_writer(&self) -> bool {
        self.writer() == Some(&self.vm)
    }

    fn writer(&self) -> Option<&VmId> {
        self.hub.as_ref().or(self.first_entry.as_ref())
    }

    /// Records that a stream has begun at this entry. Returns the notices for other entries.
    pub fn record_begin(
        &mut self,
        stream: StreamId,
        upstream: &UpstreamId,
        origin: StreamOrigin,
        versions: &VersionHistory,
        now: MonoTime,
    ) -> Vec<(VmId, OriginNotice)> {
        let is_new = self.log.record(stream, &origin, Some(upstream), now);
        if !is_new || !versions.is_mixed(origin.service(), now) {
            return Vec::new();
        }
        self.is_log_changed = true;
        self.make_notices(vec![(stream, origin)])
    }

    /// Returns the notices for other entries of the streams that began here before a further version
    /// of `service` appeared.
    pub fn announce_streams(
        &mut self,
        service: &ServiceId,
        versions: &VersionHistory,
        now: MonoTime,
    ) -> Vec<(VmId, OriginNotice)> {
        self.is_log_changed = true;
        let streams = self.log.own(service, versions.horizon(), now);
        self.make_notices(streams)
    }

    /// Takes note that an upstream has started again as another version, at some time after `since`.
    /// Streams that began there meanwhile may be of either version. Returns the notices for other
    /// entries.
    pub fn record_restart(
        &mut self,
        upstream: &UpstreamId,
        since: MonoTime,
    ) -> Vec<(VmId, OriginNotice)> {
        let streams = self.log.distrust(upstream, since);
        self.is_log_changed |= !streams.is_empty();
        self.make_notices(streams)
    }

    /// Applies the notice of another entry.
    pub fn handle_notice(&mut self, notice: &OriginNotice, now: MonoTime) {
        for (stream, origin) in &notice.streams {
            self.is_log_changed |= self.log.record(*stream, origin, None, now);
        }
    }

    /// Returns the reply to the query of another entry.
    pub fn handle_query(
        &self,
        query: &OriginQuery,
        versions: &VersionHistory,
        now: MonoTime,
    ) -> OriginReply {
        OriginReply {
            vm: self.vm.clone(),
            stream: query.stream,
            origin: self.log.find(query.stream).cloned(),
            only_version: versions.only_version(&query.service, now).cloned(),
        }
    }

    /// Applies a reply to a query of this entry.
    pub fn handle_reply(&mut self, reply: &OriginReply, now: MonoTime) {
        if let Some(origin) = &reply.origin {
            self.log.record(reply.stream, origin, None, now);
        }
        let query = self.queries.get_mut(&reply.stream);
        if let Some(query) = query.filter(|query| query.missing.contains(&reply.vm)) {
            query.missing.retain(|vm| *vm != reply.vm);
            query.only_versions.push(reply.only_version.clone());
        }
    }

    /// Returns which upstreams may go on with a stream, and the queries that are due.
    pub fn check(
        &mut self,
        claim: &TakeUpClaim,
        versions: &VersionHistory,
        now: MonoTime,
    ) -> (TakeUp, Vec<(VmId, OriginQuery)>) {
        if let Some(take_up) = self.find_version(claim, versions, now) {
            if let Some(stream) = &claim.stream {
                self.queries.remove(stream);
            }
            return (take_up, Vec::new());
        }
        let Some(stream) = claim.stream else {
            // There is nothing to ask others for.
            let take_up = match versions.is_mixed(&claim.service, now) || has_waited(claim, now) {
                true => TakeUp::Unknown(UnknownCause::Unnamed),
                false => TakeUp::Pending,
            };
            return (take_up, Vec::new());
        };
        self.ask(stream, claim, versions, now)
    }

    /// Returns what this entry knows by itself, if that is enough.
    fn find_version(
        &self,
        claim: &TakeUpClaim,
        versions: &VersionHistory,
        now: MonoTime,
    ) -> Option<TakeUp> {
        match claim.stream.and_then(|stream| self.log.find(stream)) {
            Some(StreamOrigin::Version(version)) => Some(TakeUp::Of(version.clone())),
            Some(StreamOrigin::Uncertain(_)) => Some(TakeUp::Unknown(UnknownCause::Uncertain)),
            None if !claim.is_list_current => None,
            None if !versions.has_named(&claim.service) => Some(TakeUp::Any),
            None => {
                let software = versions.only_version(&claim.service, now)?.clone();
                Some(TakeUp::Of(ServiceVersion { service: claim.service.clone(), software }))
            }
        }
    }

    /// Asks the entries that were told of a stream, and decides by their replies.
    fn ask(
        &mut self,
        stream: StreamId,
        claim: &TakeUpClaim,
        versions: &VersionHistory,
        now: MonoTime,
    ) -> (TakeUp, Vec<(VmId, OriginQuery)>) {
        self.queries.retain(|_, query| now.since(query.begun) < RECORD_WAIT * 2);
        let keepers = self.keepers(stream);
        if !self.queries.contains_key(&stream) && !self.entries.is_empty() {
            self.queries.insert(stream, OpenQuery::new(keepers.clone(), now));
        }
        let is_mixed = versions.is_mixed(&claim.service, now);
        let pending = match has_waited(claim, now) {
            true if is_mixed => TakeUp::Unknown(UnknownCause::NoReply),
            true => TakeUp::Unknown(UnknownCause::NoRecords),
            false => TakeUp::Pending,
        };
        let Some(query) = self.queries.get_mut(&stream) else { return (pending, Vec::new()) };
        let agreed = query.agreed_version();
        let agreed = agreed.filter(|it| versions.has_no_other(&claim.service, it, now));
        if let Some(software) = agreed.cloned() {
            let version = ServiceVersion { service: claim.service.clone(), software };
            return (TakeUp::Of(version), Vec::new());
        }
        let is_over = query.missing.is_empty() || now.since(query.round_begun) >= QUERY_TIME;
        if is_over && is_mixed && !query.is_wide && pending == TakeUp::Pending {
            // The entry that began the stream may not have told those that it tells of its streams: it
            // has not seen a further version yet, or the notice was lost.
            let is_other = |vm: &&VmId| **vm != self.vm && !keepers.contains(vm);
            let others: Vec<VmId> = self.entries.iter().filter(is_other).cloned().collect();
            if !others.is_empty() && self.wide_budget.acquire(others.len(), now) {
                query.widen(others, now);
            }
        }
        let is_over = query.missing.is_empty() || now.since(query.round_begun) >= QUERY_TIME;
        if is_over && is_mixed {
            let cause = match query.missing.is_empty() {
                true => UnknownCause::NobodyKnows,
                false => UnknownCause::NoReply,
            };
            // A later claim is asked for anew.
            self.queries.remove(&stream);
            return (TakeUp::Unknown(cause), Vec::new());
        }
        // All others are asked once.
        let interval = if query.is_wide { QUERY_TIME } else { QUERY_INTERVAL };
        if pending != TakeUp::Pending || now.since(query.sent) < interval {
            return (pending, Vec::new());
        }
        query.sent = now;
        let service = &claim.service;
        let message = OriginQuery { vm: self.vm.clone(), stream, service: service.clone() };
        let queries = query.missing.iter().map(|vm| (vm.clone(), message.clone()));
        (pending, queries.collect())
    }

    /// Returns whether the streams that would be traced may have changed since the last call.
    pub fn take_log_change(&mut self) -> bool {
        std::mem::take(&mut self.is_log_changed)
    }

    /// Returns what a process must know that starts after all entries have ended.
    pub fn trace(&self, versions: &VersionHistory, now: MonoTime) -> OriginTrace {
        let all = versions.all(now);
        let mut streams = Vec::new();
        for (stream, origin) in self.log.latest(versions.horizon(), now) {
            let StreamOrigin::Version(version) = origin else { continue };
            if streams.len() >= MAX_TRACED || !versions.is_mixed(&version.service, now) {
                continue;
            }
            let position = all.binary_search(version).ok().and_then(|it| u16::try_from(it).ok());
            streams.extend(position.map(|position| (stream, position)));
        }
        OriginTrace { versions: all, streams }
    }

    /// Applies a stored trace.
    pub fn restore(&mut self, trace: &OriginTrace, now: MonoTime) {
        for (stream, position) in &trace.streams {
            if let Some(version) = trace.versions.get(usize::from(*position)) {
                self.log.record(*stream, &StreamOrigin::Version(version.clone()), None, now);
            }
        }
    }

    /// Returns the other entries that know which version began a stream.
    fn keepers(&self, stream: StreamId) -> Vec<VmId> {
        let others = self.entries.iter().filter(|vm| Some(*vm) != self.writer());
        let mut ranked: Vec<(u64, &VmId)> =
            others.map(|vm| (FxBuildHasher.hash_one((vm, stream)), vm)).collect();
        ranked.sort_unstable();
        let keepers = ranked.into_iter().take(KEEPERS).map(|(_, vm)| vm);
        keepers.chain(self.writer()).filter(|vm| **vm != self.vm).cloned().collect()
    }

    fn make_notices(&self, streams: Vec<(StreamId, StreamOrigin)>) -> Vec<(VmId, OriginNotice)> {
        let mut by_keeper: FastMap<VmId, Vec<(StreamId, StreamOrigin)>> = FastMap::default();
        for (stream, origin) in streams {
            for vm in self.keepers(stream) {
                by_keeper.entry(vm).or_default().push((stream, origin.clone()));
            }
        }
        let mut notices = Vec::new();
        for (vm, streams) in by_keeper {
            for chunk in streams.chunks(MAX_NOTICE) {
                notices.push((vm.clone(), OriginNotice { streams: chunk.to_vec() }));
            }
        }
        notices
    }
}

fn has_waited(claim: &TakeUpClaim, now: MonoTime) -> bool {
    now.since(claim.received) >= RECORD_WAIT
}
