//! In-memory key-value store with leases and a history of changes for watches.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use gentian_wire::generated::key_value::{
    RangeRequest, RangeResponse, RequestOp, StoreHeader, StoreRecord, TxnRequest, TxnResponse,
    WatchCreate, WatchEvent, WatchEventType, WatchResponse, WatchResult,
};

/// A decoded key. The JSON gateway carries keys and values as base64 text; keys are decoded because
/// ranges follow the order of the bytes.
type KeyBytes = Vec<u8>;

#[derive(Clone, Debug)]
struct StoredRecord {
    value: String,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Clone, Debug)]
struct StoreChange {
    revision: u64,
    key: KeyBytes,
    value: Option<String>,
}

/// What a copy of the store holds.
#[derive(Clone, Debug, Default)]
struct StoreContent {
    records: BTreeMap<KeyBytes, StoredRecord>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    content: StoreContent,
    history: Vec<StoreChange>,
    /// Copies with the time at which each was made.
    copies: VecDeque<(Instant, StoreContent)>,
    /// Number of times that the store was restored from a copy.
    restorations: u64,
}

/// Interval between copies, and for how long they are kept.
const COPY_INTERVAL: Duration = Duration::from_millis(100);
const COPY_MEMORY: Duration = Duration::from_secs(20);

/// Result of one wait of a watch.
pub(crate) struct WatchBatch {
    /// Revision from which the watch continues.
    pub(crate) next_revision: u64,
    /// Response line with the changes, if there are any.
    pub(crate) line: Option<String>,
}

/// A key-value store with compare-and-swap, leases and watches.
#[derive(Debug, Default)]
pub(crate) struct MemoryStore {
    state: Mutex<StoreState>,
    changed: Condvar,
    calls: AtomicU64,
    writes: AtomicU64,
}

impl MemoryStore {
    /// Creates an empty store.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Counts one call of the service.
    pub(crate) fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls and the number of applied transactions.
    pub(crate) fn counts(&self) -> (u64, u64) {
        (self.calls.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }

    /// Returns the records of a range.
    pub(crate) fn range(&self, request: &RangeRequest) -> RangeResponse {
        let state = self.lock();
        let start = decode(&request.key);
        let end = request.range_end.as_deref().map(decode);
        let records =
            state.content.records.range((Bound::Included(start.clone()), Bound::Unbounded));
        let records = records.take_while(|(key, _)| match &end {
            Some(end) => *key < end,
            None => **key == start,
        });
        let kvs = records.map(|(key, record)| StoreRecord {
            key: STANDARD.encode(key),
            value: Some(record.value.clone()),
            mod_revision: Some(record.revision.to_string()),
            lease: record.lease.map(|lease| lease.to_string()),
        });
        RangeResponse { header: header(state.content.revision), kvs: kvs.collect() }
    }

    /// Applies the writes of a transaction if all of its comparisons hold.
    pub(crate) fn transact(&self, request: &TxnRequest) -> TxnResponse {
        let mut state = self.lock();
        let is_met = request.compare.iter().all(|target| {
            let record = state.content.records.get(&decode(&target.key));
            record.map_or(0, |record| record.revision).to_string() == target.mod_revision
        });
        if is_met {
            self.writes.fetch_add(1, Ordering::Relaxed);
            state.make_copy();
            state.content.revision += 1;
            request.success.iter().for_each(|op| state.apply(op));
            self.changed.notify_all();
        }
        TxnResponse { header: header(state.content.revision), succeeded: Some(is_met) }
    }

    /// Replaces the content by a copy that was made at least `age` ago, or by the oldest one. Later
    /// changes and leases are lost, and their numbers are given out again.
    pub(crate) fn restore(&self, age: Duration) {
        let mut state = self.lock();
        let now = Instant::now();
        let is_old = |(time, _): &&(Instant, StoreContent)| now.duration_since(*time) >= age;
        let copy = state.copies.iter().rev().find(is_old).or(state.copies.front()).cloned();
        if let Some((_, mut content)) = copy {
            content.leases.values_mut().for_each(|(ttl, end)| *end = now + *ttl);
            let revision = content.revision;
            state.history.retain(|change| change.revision <= revision);
            state.content = content;
        }
        state.copies.clear();
        state.restorations += 1;
        self.changed.notify_all();
    }

    /// Returns the revision, and the number of times that the store was restored from a copy.
    pub(crate) fn revision_and_restorations(&self) -> (u64, u64) {
        let state = self.lock();
        (state.content.revision, state.restorations)
    }

    /// Grants a lease and returns its id.
    pub(crate) fn grant_lease(&self, ttl: Duration) -> u64 {
        let mut state = self.lock();
        state.content.next_lease += 1;
        let id = state.content.next_lease;
        state.content.leases.insert(id, (ttl, Instant::now() + ttl));
        id
    }

    /// Renews a lease and returns its time to live in seconds, or `None` if it does not exist.
    pub(crate) fn renew_lease(&self, id: u64) -> Option<u64> {
        let mut state = self.lock();
        let (ttl, end) = state.content.leases.get_mut(&id)?;
        *end = Instant::now() + *ttl;
        Some(ttl.as_secs())
    }

    /// Revokes a lease and deletes its records. Returns whether the lease existed.
    pub(crate) fn revoke_lease(&self, id: u64) -> bool {
        let mut state = self.lock();
        let lease = state.content.leases.get_mut(&id);
        let exists = lease.map(|(_, end)| *end = Instant::now()).is_some();
        state.expire_leases();
        self.changed.notify_all();
        exists
    }

    /// Returns the first response line of a watch, which confirms its creation.
    pub(crate) fn watch_created_line(&self) -> Option<String> {
        let result = WatchResult {
            header: header(self.lock().content.revision),
            created: Some(true),
            events: Vec::new(),
        };
        to_line(WatchResponse { result })
    }

    /// Waits up to `wait` for changes from revision `next_revision` on.
    pub(crate) fn wait_for_changes(
        &self,
        watch: &WatchCreate,
        next_revision: u64,
        wait: Duration,
    ) -> WatchBatch {
        let mut state = self.lock();
        if state.content.revision < next_revision.max(1) {
            let waited = self.changed.wait_timeout(state, wait);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let (start, end) = (decode(&watch.key), watch.range_end.as_deref().map(decode));
        let is_watched = |key: &KeyBytes| match &end {
            Some(end) => *key >= start && key < end,
            None => *key == start,
        };
        let first = state.history.partition_point(|record| record.revision < next_revision);
        let records = state.history[first..].iter().filter(|record| is_watched(&record.key));
        let events: Vec<WatchEvent> = records.map(StoreChange::event).collect();
        let next_revision = next_revision.max(state.content.revision + 1);
        if events.is_empty() {
            return WatchBatch { next_revision, line: None };
        }
        let result = WatchResult { header: header(state.content.revision), created: None, events };
        WatchBatch { next_revision, line: to_line(WatchResponse { result }) }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire_leases();
        state
    }
}

impl StoreState {
    fn make_copy(&mut self) {
        let now = Instant::now();
        if self.copies.back().is_some_and(|(time, _)| now.duration_since(*time) < COPY_INTERVAL) {
            return;
        }
        let is_expired =
            |(time, _): &(Instant, StoreContent)| now.duration_since(*time) > COPY_MEMORY;
        while self.copies.front().is_some_and(is_expired) {
            self.copies.pop_front();
        }
        self.copies.push_back((now, self.content.clone()));
    }

    fn apply(&mut self, op: &RequestOp) {
        if let Some(put) = &op.request_put {
            let lease = put.lease.as_deref().and_then(|lease| lease.parse().ok());
            let value = put.value.clone().unwrap_or_default();
            let record =
                StoredRecord { value: value.clone(), revision: self.content.revision, lease };
            let key = decode(&put.key);
            self.content.records.insert(key.clone(), record);
            self.history.push(StoreChange {
                revision: self.content.revision,
                key,
                value: Some(value),
            });
        }
        if let Some(delete) = &op.request_delete_range {
            self.delete(decode(&delete.key));
        }
    }

    fn delete(&mut self, key: KeyBytes) {
        if self.content.records.remove(&key).is_some() {
            self.history.push(StoreChange { revision: self.content.revision, key, value: None });
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended =
            self.content.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id);
        for lease in ended.collect::<Vec<u64>>() {
            self.content.leases.remove(&lease);
            let records =
                self.content.records.iter().filter(|(_, record)| record.lease == Some(lease));
            let keys: Vec<KeyBytes> = records.map(|(key, _)| key.clone()).collect();
            self.content.revision += 1;
            keys.into_iter().for_each(|key| self.delete(key));
        }
    }
}

impl StoreChange {
    fn event(&self) -> WatchEvent {
        let kv = StoreRecord {
            key: STANDARD.encode(&self.key),
            value: self.value.clone(),
            mod_revision: Some(self.revision.to_string()),
            lease: None,
        };
        let kind = if self.value.is_some() { WatchEventType::Put } else { WatchEventType::Delete };
        WatchEvent { kv, type_: Some(kind) }
    }
}

fn header(revision: u64) -> Option<StoreHeader> {
    Some(StoreHeader { revision: Some(revision.to_string()) })
}

fn to_line(response: WatchResponse) -> Option<String> {
    serde_json::to_string(&response).ok().map(|text| text + "\n")
}

fn decode(text: &str) -> KeyBytes {
    STANDARD.decode(text).unwrap_or_default()
}
