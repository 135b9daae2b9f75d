//! The hub's account of the requests that upstreams accept.

use gentian_core::peer::{PermitGrant, PermitReply, PermitRequest, WantedPermits};
use gentian_core::{
    FastMap, InstanceId, MonoTime, RequestRate, SequenceNumber, TimeSpan, UpstreamId, VmId,
};

use super::{MIN_LIMIT, PERMIT_TTL, SHARE_WINDOW, permit_capacity};

/// Time after which the account of an upstream that nobody asks for is dropped; it is full by then.
const ACCOUNT_RETENTION: TimeSpan = TimeSpan::from_secs(30);
/// Largest wait that a reply states.
const MAX_WAIT: TimeSpan = TimeSpan::from_secs(1);

#[derive(Debug)]
struct PermitAccount {
    incarnation: u64,
    limit: RequestRate,
    permits: f64,
    updated: MonoTime,
    /// Requests that got no permit, by entry, and when the entry asked.
    unmet: FastMap<VmId, (u32, MonoTime)>,
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

    /// Grants what is there of what an entry asks for; `None` if the request is not newer than the
    /// last one of its process. `known_limit` returns the limit that this process knows.
    pub fn handle_request(
        &mut self,
        request: &PermitRequest,
        known_limit: impl Fn(&UpstreamId) -> Option<RequestRate>,
        now: MonoTime,
    ) -> Option<PermitReply> {
        let last = self.last_requests.get(&request.vm);
        let is_old = |(instance, sequence): &(InstanceId, SequenceNumber)| {
            *instance == request.instance && *sequence >= request.sequence
        };
        if last.is_some_and(is_old) {
            return None;
        }
        self.last_requests.insert(request.vm.clone(), (request.instance, request.sequence));
        self.accounts.retain(|_, account| now.since(account.updated) < ACCOUNT_RETENTION);
        let grants = request.wanted.iter().map(|wanted| {
            let known = known_limit(&wanted.upstream).unwrap_or(wanted.limit);
            self.grant(&request.vm, wanted, known.min(wanted.limit).max(MIN_LIMIT), now)
        });
        let grants = grants.collect();
        Some(PermitReply { sequence: request.sequence, grants })
    }

    fn grant(
        &mut self,
        vm: &VmId,
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
        let count = wanted.count.min(account.permits as u32);
        account.permits -= f64::from(count);
        account.unmet.retain(|_, (_, time)| now.since(*time) <= MAX_WAIT);
        account.unmet.insert(vm.clone(), (wanted.count - count, now));
        let backlog = account.unmet.values().map(|(count, _)| count).sum();
        PermitGrant { upstream: wanted.upstream.clone(), count, wait: account.wait(), backlog }
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

    fn wait(&self) -> TimeSpan {
        let missing = (1.0 - self.permits).clamp(0.0, 1.0);
        (self.limit.time_for(1) * missing).min(MAX_WAIT)
    }
}
