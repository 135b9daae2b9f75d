//! The hub's account of the requests that upstreams accept.

use gentian_core::peer::{PermitGrant, PermitReply, PermitRequest, RankedPermits, WantedPermits};
use gentian_core::{
    FastMap, InstanceId, MonoTime, RequestRate, SequenceNumber, TimeSpan, UpstreamId, VmId,
};

use super::{MIN_LIMIT, PERMIT_TTL, SHARE_WINDOW, permit_capacity};

/// Time after which the account of an upstream that nobody asks for is dropped; it is full by then.
const ACCOUNT_RETENTION: TimeSpan = TimeSpan::from_secs(30);
/// Priority of requests whose entry states none.
const UNRANKED_PRIORITY: u8 = 5;
/// Largest wait that a reply states.
const MAX_WAIT: TimeSpan = TimeSpan::from_secs(1);

#[derive(Debug)]
struct PermitAccount {
    incarnation: u64,
    limit: RequestRate,
    permits: f64,
    updated: MonoTime,
    /// Requests that got no permit, by entry and priority, and when the entry asked.
    unmet: FastMap<(VmId, u8), (u32, MonoTime)>,
}

/// Grants permits to entries, for each upstream at the rate that it names.
#[derive(Debug)]
pub struct PermitLedger {
    started: MonoTime,
    accounts: FastMap<UpstreamId, PermitAccount>,
    last_requests: FastMap<VmId, (InstanceId, SequenceNumber)>,
}

impl PermitLedger {
    /// Creates the ledger of a process that becomes the hub now.
    pub fn new(now: MonoTime) -> Self {
        Self { started: now, accounts: FastMap::default(), last_requests: FastMap::default() }
    }

    /// Grants what is there of what an entry of an earlier version asks for.
    pub fn handle_request(
        &mut self,
        request: &PermitRequest,
        known_limit: impl Fn(&UpstreamId) -> Option<RequestRate>,
        now: MonoTime,
    ) -> Option<PermitReply> {
        let priorities = vec![UNRANKED_PRIORITY; request.wanted.len()];
        let ranked = RankedPermits { request: request.clone(), priorities };
        self.handle_ranked(&ranked, known_limit, now)
    }

    /// Grants what is there of what an entry asks for, and what more urgent requests of others leave
    /// that got none a moment ago; `None` if the request is not newer than the last one of its
    /// process. `known_limit` returns the limit that this process knows.
    pub fn handle_ranked(
        &mut self,
        ranked: &RankedPermits,
        known_limit: impl Fn(&UpstreamId) -> Option<RequestRate>,
        now: MonoTime,
    ) -> Option<PermitReply> {
        let request = &ranked.request;
        let last = self.last_requests.get(&request.vm);
        let is_old = |(instance, sequence): &(InstanceId, SequenceNumber)| {
            *instance == request.instance && *sequence >= request.sequence
        };
        if last.is_some_and(is_old) {
            return None;
        }
        self.last_requests.insert(request.vm.clone(), (request.instance, request.sequence));
        self.accounts.retain(|_, account| now.since(account.updated) < ACCOUNT_RETENTION);
        let mut rows: Vec<_> = request.wanted.iter().zip(&ranked.priorities).enumerate().collect();
        rows.sort_by_key(|(_, (_, priority))| **priority);
        let mut grants: Vec<_> = rows
            .into_iter()
            .map(|(index, (wanted, priority))| {
                let known = known_limit(&wanted.upstream).unwrap_or(wanted.limit);
                let limit = known.min(wanted.limit).max(MIN_LIMIT);
                (index, self.grant((&request.vm, *priority), wanted, limit, now))
            })
            .collect();
        grants.sort_by_key(|(index, _)| *index);
        let grants = grants.into_iter().map(|(_, grant)| grant).collect();
        Some(PermitReply { sequence: request.sequence, grants })
    }

    fn grant(
        &mut self,
        (vm, priority): (&VmId, u8),
        wanted: &WantedPermits,
        limit: RequestRate,
        now: MonoTime,
    ) -> PermitGrant {
        // A predecessor may have granted as much shortly before, and entries have sent by their
        // shares meanwhile.
        let is_new_hub = now.since(self.started) < SHARE_WINDOW + PERMIT_TTL;
        let first = if is_new_hub { 0.0 } else { permit_capacity(limit) };
        let account = self.accounts.entry(wanted.upstream.clone()).or_insert(PermitAccount {
            incarnation: wanted.incarnation,
            limit,
            permits: first,
            updated: now,
            unmet: FastMap::default(),
        });
        account.update(wanted.incarnation, limit, now);
        account.unmet.retain(|_, (_, time)| now.since(*time) <= MAX_WAIT);
        let own = (vm.clone(), priority);
        account.unmet.remove(&own);
        let reserved = account.unmet_before(priority);
        let count = wanted.count.min((account.permits - f64::from(reserved)) as u32);
        account.permits -= f64::from(count);
        account.unmet.insert(own, (wanted.count - count, now));
        let backlog = account.unmet_before(priority.saturating_add(1));
        let wait = account.wait(reserved);
        PermitGrant { upstream: wanted.upstream.clone(), count, wait, backlog }
    }
}

impl PermitAccount {
    /// Adds what has accrued. After a restart of the upstream, an equal limit is named anew, and
    /// counts from an empty account.
    fn update(&mut self, incarnation: u64, limit: RequestRate, now: MonoTime) {
        self.permits += self.limit.requests_in(now.since(self.updated));
        self.limit = limit;
        self.permits = self.permits.min(permit_capacity(limit));
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.permits = 0.0;
        }
        self.updated = now;
    }

    /// Returns the requests that got no permit and are more urgent than `priority`.
    fn unmet_before(&self, priority: u8) -> u32 {
        let before = self.unmet.iter().filter(|((_, other), _)| *other < priority);
        before.fold(0, |sum: u32, (_, (count, _))| sum.saturating_add(*count))
    }

    /// Returns the time until there is a permit beyond `reserved` ones.
    fn wait(&self, reserved: u32) -> TimeSpan {
        let missing = (f64::from(reserved) + 1.0 - self.permits).max(0.0);
        (self.limit.time_for(1) * missing).min(MAX_WAIT)
    }
}
