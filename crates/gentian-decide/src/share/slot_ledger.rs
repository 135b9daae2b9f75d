//! Ledger of the concurrent calls of one upstream, kept by the holder of a share seat.

use gentian_core::peer::{ShareRequest, SlotGrant, SlotRequest};
use gentian_core::{FastMap, InstanceId, MonoTime, SequenceNumber, SlotCount, TimeSpan};

/// Time without requests after which the calls of an entry are assumed to have ended.
const ENTRY_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);
/// Time for which the demand of an entry reduces the shares of the others.
const DEMAND_TTL: TimeSpan = TimeSpan::from_millis(1_000);

/// A limit that an entry may use until it expires.
#[derive(Clone, Copy, Debug)]
struct GrantedLimit {
    sequence: SequenceNumber,
    limit: SlotCount,
    expires_at: MonoTime,
}

/// Grants, demand and reported use of one entry.
#[derive(Clone, Debug)]
struct SlotAccount {
    grants: Vec<GrantedLimit>,
    in_use: SlotCount,
    wanted: SlotCount,
    requested_at: MonoTime,
}

impl SlotAccount {
    fn new(now: MonoTime) -> Self {
        let zero = SlotCount::default();
        Self { grants: Vec::new(), in_use: zero, wanted: zero, requested_at: now }
    }

    fn occupied(&self, now: MonoTime) -> u64 {
        let live = self.grants.iter().filter(|grant| now < grant.expires_at);
        let granted = live.map(|grant| grant.limit).max().unwrap_or_default();
        granted.max(self.in_use).get()
    }

    /// Updates the account from a request. Grants up to the acknowledged one are replaced by the
    /// limit that the entry states in this request. Later grants are kept, since they may still
    /// reach the entry.
    fn update(&mut self, request: &SlotRequest, acked: SequenceNumber, now: MonoTime) {
        self.in_use = request.in_use;
        self.wanted = request.wanted;
        self.requested_at = now;
        self.grants.retain(|grant| now < grant.expires_at);
        let (acked_grants, later_grants): (Vec<_>, Vec<_>) =
            self.grants.drain(..).partition(|grant| grant.sequence <= acked);
        self.grants = later_grants;
        if let Some(expires_at) = acked_grants.iter().map(|grant| grant.expires_at).max() {
            self.grants.push(GrantedLimit { sequence: acked, limit: request.limit, expires_at });
        }
    }
}

/// Limits granted on the concurrent calls of one upstream.
///
/// An entry may use a limit until it expires. Calls that are still running by then count until the
/// entry reports their end. If the entries want more than the capacity, they get equal shares.
#[derive(Debug)]
pub struct SlotLedger {
    accounts: FastMap<InstanceId, SlotAccount>,
    grants_start: MonoTime,
}

impl SlotLedger {
    /// Creates a ledger that grants nothing before `grants_start`. By then the grants of an earlier
    /// holder have expired and the entries have reported their calls.
    pub fn new(grants_start: MonoTime) -> Self {
        Self { accounts: FastMap::default(), grants_start }
    }

    /// Grants a limit for `request`, which is part of `share_request`, on an upstream that can run
    /// `capacity` calls at a time.
    pub fn decide(
        &mut self,
        request: &SlotRequest,
        share_request: &ShareRequest,
        capacity: SlotCount,
        ttl: TimeSpan,
        now: MonoTime,
    ) -> SlotGrant {
        self.accounts.retain(|_, account| now.since(account.requested_at) < ENTRY_TIMEOUT);
        let account =
            self.accounts.entry(share_request.entry).or_insert_with(|| SlotAccount::new(now));
        account.update(request, share_request.acked, now);
        let others = self.occupied_by_others(share_request.entry, now);
        let limit = match now < self.grants_start {
            true => SlotCount::default(),
            false => self
                .fair_limit(request.wanted, capacity, now)
                .min(remaining_slots(capacity, others)),
        };
        let mut occupied = others;
        if let Some(account) = self.accounts.get_mut(&share_request.entry) {
            let (sequence, expires_at) = (share_request.sequence, now + ttl);
            account.grants.push(GrantedLimit { sequence, limit, expires_at });
            occupied += account.occupied(now);
        }
        let (upstream, occupied) = (request.upstream.clone(), SlotCount::new(occupied));
        SlotGrant { upstream, limit, occupied, capacity }
    }

    /// Returns the limit of an entry that wants `wanted` calls: its equal share of `capacity` among
    /// the entries with demand, plus what the others do not use of theirs.
    fn fair_limit(&self, wanted: SlotCount, capacity: SlotCount, now: MonoTime) -> SlotCount {
        let is_recent = |account: &&SlotAccount| now.since(account.requested_at) < DEMAND_TTL;
        let accounts = self.accounts.values().filter(is_recent);
        let mut demands: Vec<u64> = accounts.map(|account| account.wanted.get()).collect();
        demands.sort_unstable();
        // The entry's own share is found by its demand: equal demands get equal shares, up to
        // rounding.
        let mut remaining = capacity.get();
        let mut own_share = 0;
        for (i, demand) in demands.iter().enumerate() {
            let entries_left = (demands.len() - i) as u64;
            let share = (remaining / entries_left).min(*demand);
            remaining -= share;
            if *demand == wanted.get() {
                own_share = share;
            }
        }
        SlotCount::new((own_share + remaining).min(wanted.get()))
    }

    fn occupied_by_others(&self, entry: InstanceId, now: MonoTime) -> u64 {
        let others = self.accounts.iter().filter(|(other, _)| **other != entry);
        others.map(|(_, account)| account.occupied(now)).sum()
    }
}

fn remaining_slots(capacity: SlotCount, taken: u64) -> SlotCount {
    SlotCount::new(capacity.get().saturating_sub(taken))
}
