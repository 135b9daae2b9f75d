//! Records, leases and the history of changes, all in memory.

use std::collections::BTreeMap;
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

/// Names and values as the gateway carries them: base64 text. Names are decoded for their order.
type KeyBytes = Vec<u8>;

#[derive(Clone, Debug)]
struct StoredRow {
    value: String,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Clone, Debug)]
struct HistoryRow {
    revision: u64,
    key: KeyBytes,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct StoreState {
    rows: BTreeMap<KeyBytes, StoredRow>,
    revision: u64,
    history: Vec<HistoryRow>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// Changes for a watch.
pub(crate) struct WatchLine {
    /// Revision from which the watch goes on.
    pub(crate) next: u64,
    /// Line to send, if there is one.
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

    /// Counts a call.
    pub(crate) fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the numbers of calls and of writes.
    pub(crate) fn counts(&self) -> (u64, u64) {
        (self.calls.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }

    /// Reads a range.
    pub(crate) fn range(&self, request: &RangeRequest) -> RangeResponse {
        let state = self.lock();
        let start = decode(&request.key);
        let end = request.range_end.as_deref().map(decode);
        let rows = state.rows.range((Bound::Included(start.clone()), Bound::Unbounded));
        let rows = rows.take_while(|(key, _)| match &end {
            Some(end) => *key < end,
            None => **key == start,
        });
        let kvs = rows.map(|(key, row)| StoreRecord {
            key: STANDARD.encode(key),
            value: Some(row.value.clone()),
            mod_revision: Some(row.revision.to_string()),
            lease: row.lease.map(|lease| lease.to_string()),
        });
        RangeResponse { header: header(state.revision), kvs: kvs.collect() }
    }

    /// Carries out a transaction.
    pub(crate) fn transact(&self, request: &TxnRequest) -> TxnResponse {
        let mut state = self.lock();
        let holds = request.compare.iter().all(|target| {
            let row = state.rows.get(&decode(&target.key));
            row.map_or(0, |row| row.revision).to_string() == target.mod_revision
        });
        if holds {
            self.writes.fetch_add(1, Ordering::Relaxed);
            state.revision += 1;
            request.success.iter().for_each(|op| state.apply(op));
            self.changed.notify_all();
        }
        TxnResponse { header: header(state.revision), succeeded: Some(holds) }
    }

    /// Grants a lease.
    pub(crate) fn grant_lease(&self, life: Duration) -> u64 {
        let mut state = self.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, (life, Instant::now() + life));
        id
    }

    /// Renews a lease and returns its life in seconds.
    pub(crate) fn keep_lease(&self, id: u64) -> Option<u64> {
        let mut state = self.lock();
        let (life, end) = state.leases.get_mut(&id)?;
        *end = Instant::now() + *life;
        Some(life.as_secs())
    }

    /// Ends a lease and deletes its records; returns whether it was there.
    pub(crate) fn end_lease(&self, id: u64) -> bool {
        let mut state = self.lock();
        let lease = state.leases.get_mut(&id);
        let is_there = lease.map(|(_, end)| *end = Instant::now()).is_some();
        state.expire_leases();
        self.changed.notify_all();
        is_there
    }

    /// Returns the first line of a watch.
    pub(crate) fn watch_created(&self) -> Option<String> {
        let result = WatchResult {
            header: header(self.lock().revision),
            created: Some(true),
            events: Vec::new(),
        };
        to_line(WatchResponse { result })
    }

    /// Waits for changes from revision `next` on.
    pub(crate) fn wait_changes(&self, watch: &WatchCreate, next: u64, wait: Duration) -> WatchLine {
        let mut state = self.lock();
        if state.revision < next.max(1) {
            let waited = self.changed.wait_timeout(state, wait);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let (start, end) = (decode(&watch.key), watch.range_end.as_deref().map(decode));
        let is_watched = |key: &KeyBytes| match &end {
            Some(end) => *key >= start && key < end,
            None => *key == start,
        };
        let first = state.history.partition_point(|row| row.revision < next);
        let rows = state.history[first..].iter().filter(|row| is_watched(&row.key));
        let events: Vec<WatchEvent> = rows.map(HistoryRow::event).collect();
        let next = next.max(state.revision + 1);
        if events.is_empty() {
            return WatchLine { next, line: None };
        }
        let result = WatchResult { header: header(state.revision), created: None, events };
        WatchLine { next, line: to_line(WatchResponse { result }) }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire_leases();
        state
    }
}

impl StoreState {
    fn apply(&mut self, op: &RequestOp) {
        if let Some(put) = &op.request_put {
            let lease = put.lease.as_deref().and_then(|lease| lease.parse().ok());
            let value = put.value.clone().unwrap_or_default();
            let row = StoredRow { value: value.clone(), revision: self.revision, lease };
            let key = decode(&put.key);
            self.rows.insert(key.clone(), row);
            self.history.push(HistoryRow { revision: self.revision, key, value: Some(value) });
        }
        if let Some(delete) = &op.request_delete_range {
            self.delete(decode(&delete.key));
        }
    }

    fn delete(&mut self, key: KeyBytes) {
        if self.rows.remove(&key).is_some() {
            self.history.push(HistoryRow { revision: self.revision, key, value: None });
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id);
        for lease in ended.collect::<Vec<u64>>() {
            self.leases.remove(&lease);
            let rows = self.rows.iter().filter(|(_, row)| row.lease == Some(lease));
            let keys: Vec<KeyBytes> = rows.map(|(key, _)| key.clone()).collect();
            self.revision += 1;
            keys.into_iter().for_each(|key| self.delete(key));
        }
    }
}

impl HistoryRow {
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
