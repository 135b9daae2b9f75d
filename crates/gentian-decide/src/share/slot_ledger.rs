//! Concurrent calls of one upstream at the holder of a share seat.

use gentian_core::peer::{ShareRequest, SlotGrant, SlotRequest};
use gentian_core::{FastMap, InstanceId, MonoTime, SequenceNumber, SlotCount, TimeSpan};

/// Time after which the calls of a silent entry are taken as ended.
const FORGET_AFTER: TimeSpan = TimeSpan::from_secs(60);
/// Time for which what an entry wanted counts in the shares of the others.
const WANT_LIFE: TimeSpan = TimeSpan::from_millis(1_000);

/// A limit that an entry may use until it expires.
#[derive(Clone, Copy, Debug)]
struct SlotPromise {
    sequence: SequenceNumber,
    limit: SlotCount,
    expires: MonoTime,
}

/// What one entry was promised, wants and said to use.
#[derive(Clone, Debug)]
struct SlotAccount {
    promises: Vec<SlotPromise>,
    in_use: SlotCount,
    want: SlotCount,
    heard: MonoTime,
}

impl SlotAccount {
    fn new(now: MonoTime) -> Self {
        let none = SlotCount::default();
        Self { promises: Vec::new(), in_use: none, want: none, heard: now }
    }

    fn occupied(&self, now: MonoTime) -> u64 {
        let live = self.promises.iter().filter(|promise| now < promise.expires);
        let promised = live.map(|promise| promise.limit).max().unwrap_or_default();
        promised.max(self.in_use).get()
    }

    /// Takes what the entry says in. Promises up to the acknowledged grant are replaced by the limit
    /// that the entry has in force; later ones may still reach it.
    fn handle_request(&mut self, ask: &SlotRequest, acked: SequenceNumber, now: MonoTime) {
        self.in_use = ask.in_use;
        self.want = ask.wanted;
        self.heard = now;
        self.promises.retain(|promise| now < promise.expires);
        let (known, open): (Vec<_>, Vec<_>) =
            self.promises.drain(..).partition(|promise| promise.sequence <= acked);
        self.promises = open;
        if let Some(expires) = known.iter().map(|promise| promise.expires).max() {
            self.promises.push(SlotPromise { sequence: acked, limit: ask.limit, expires });
        }
    }
}

/// Promises of one upstream's concurrent calls.
///
/// A limit holds for the entry until its life ends; calls that run by then still count until the
/// entry reports their end. Entries that want more than there is get equal shares.
#[derive(Debug)]
pub struct SlotLedger {
    accounts: FastMap<InstanceId, SlotAccount>,
    open_from: MonoTime,
}

impl SlotLedger {
    /// Creates a ledger that grants nothing before `open_from`, when the promises of an earlier
    /// holder have expired and the entries have reported their calls.
    pub fn new(open_from: MonoTime) -> Self {
        Self { accounts: FastMap::default(), open_from }
    }

    /// Decides an ask, part of `whole`, for calls of an upstream that bears `capacity`.
    pub fn decide(
        &mut self,
        ask: &SlotRequest,
        whole: &ShareRequest,
        capacity: SlotCount,
        life: TimeSpan,
        now: MonoTime,
    ) -> SlotGrant {
        self.accounts.retain(|_, account| now.since(account.heard) < FORGET_AFTER);
        let account = self.accounts.entry(whole.entry).or_insert_with(|| SlotAccount::new(now));
        account.handle_request(ask, whole.acked, now);
        let others = self.occupied_by_others(whole.entry, now);
        let limit = match now < self.open_from {
            true => SlotCount::default(),
            false => self.fair_limit(ask.wanted, capacity, now).min(rest(capacity, others)),
        };
        let mut occupied = others;
        if let Some(account) = self.accounts.get_mut(&whole.entry) {
            let (sequence, expires) = (whole.sequence, now + life);
            account.promises.push(SlotPromise { sequence, limit, expires });
            occupied += account.occupied(now);
        }
        let (upstream, occupied) = (ask.upstream.clone(), SlotCount::new(occupied));
        SlotGrant { upstream, limit, occupied, capacity }
    }

    /// Returns what an entry that wants `want` may have: its equal share of `capacity` among all
    /// that want calls, and what the others leave.
    fn fair_limit(&self, want: SlotCount, capacity: SlotCount, now: MonoTime) -> SlotCount {
        let is_recent = |account: &&SlotAccount| now.since(account.heard) < WANT_LIFE;
        let accounts = self.accounts.values().filter(is_recent);
        let mut wants: Vec<u64> = accounts.map(|account| account.want.get()).collect();
        wants.sort_unstable();
        let mut left = capacity.get();
        let mut own_share = 0;
        for (i, other) in wants.iter().enumerate() {
            let waiting = (wants.len() - i) as u64;
            let share = (left / waiting).min(*other);
            left -= share;
            if *other == want.get() {
                own_share = share;
            }
        }
        SlotCount::new((own_share + left).min(want.get()))
    }

    fn occupied_by_others(&self, entry: InstanceId, now: MonoTime) -> u64 {
        let others = self.accounts.iter().filter(|(other, _)| **other != entry);
        others.map(|(_, account)| account.occupied(now)).sum()
    }
}

fn rest(capacity: SlotCount, taken: u64) -> SlotCount {
    SlotCount::new(capacity.get().saturating_sub(taken))
}
