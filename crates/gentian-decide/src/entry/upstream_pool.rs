//! Upstreams as an entry knows them, and the choice among them.

use std::net::SocketAddr;
use std::sync::Arc;

use gentian_config::{ConfigSet, RouteKind, UpstreamSpec};
use gentian_core::peer::{ObjectPhase, SeatId, SlotGrant, SlotRequest, TargetId, UpstreamView};
use gentian_core::{FastMap, MonoTime, TimeSpan, UpstreamId};

use super::WaitingCall;
use crate::share::SlotAllowance;

/// Time for which an upstream is not used after a failure to reach it.
const UNREACHABLE_COOLDOWN: TimeSpan = TimeSpan::from_millis(500);

/// One upstream as this entry knows it.
#[derive(Debug)]
struct PoolRow {
    spec: UpstreamSpec,
    view: Option<UpstreamView>,
    allowance: SlotAllowance,
    /// End of the cooldown after a failure to reach the upstream.
    avoided_until: MonoTime,
}

/// Upstreams with the slots granted to this entry and their loaded objects.
#[derive(Debug)]
pub struct UpstreamPool {
    set: Arc<ConfigSet>,
    rows: FastMap<UpstreamId, PoolRow>,
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self { set: Arc::default(), rows: FastMap::default() }
    }

    /// Applies a configuration; a removed upstream is kept while calls to it run.
    pub fn update(&mut self, set: Arc<ConfigSet>) {
        let is_kept = |id: &UpstreamId, row: &PoolRow| {
            set.upstreams.contains_key(id) || row.allowance.in_use().get() > 0
        };
        self.rows.retain(|id, row| is_kept(id, row));
        for spec in set.upstreams.values() {
            let row = self.rows.entry(spec.id.clone()).or_insert_with(|| PoolRow {
                spec: spec.clone(),
                view: None,
                allowance: SlotAllowance::new(spec.id.clone()),
                avoided_until: MonoTime::ORIGIN,
            });
            row.spec = spec.clone();
        }
        self.set = set;
    }

    /// Replaces the view of an upstream.
    pub fn update_view(&mut self, view: UpstreamView, now: MonoTime) {
        let Some(row) = self.rows.get_mut(&view.upstream) else { return };
        if let Some(boot) = view.boot {
            row.allowance.record_boot(boot, now);
        }
        row.view = Some(view);
    }

    /// Handles a grant of slots that was requested at `requested_at` and lasts for `lifetime`.
    pub fn handle_grant(
        &mut self,
        grant: &SlotGrant,
        lifetime: TimeSpan,
        requested_at: MonoTime,
        now: MonoTime,
    ) {
        if let Some(row) = self.rows.get_mut(&grant.upstream) {
            row.allowance.handle_grant(grant, lifetime, requested_at, now);
        }
    }

    /// Resets the counts of calls that wait for each upstream, before the waiting calls are tried
    /// again.
    pub fn clear_waiting_calls(&mut self) {
        self.rows.values_mut().for_each(|row| row.allowance.clear_waiting_calls());
    }

    /// Starts `call` on the least loaded upstream that has a free slot and is not in a cooldown. If
    /// there is none, counts the call as waiting for the least loaded upstream. Upstreams that were
    /// tried already are used only if there are no others.
    pub fn start_call(
        &mut self,
        call: &WaitingCall,
        now: MonoTime,
    ) -> Option<(UpstreamId, SocketAddr)> {
        let mut ids: Vec<(UpstreamId, f64)> = self
            .candidates(call)
            .map(|row| (row.spec.id.clone(), row.allowance.utilisation()))
            .collect();
        ids.sort_by(|a, b| a.1.total_cmp(&b.1));
        let (untried, tried): (Vec<_>, Vec<_>) =
            ids.into_iter().map(|(id, _)| id).partition(|id| !call.tried.contains(id));
        let ordered = if untried.is_empty() { tried } else { untried };
        let is_free = |id: &&UpstreamId| {
            let row = &self.rows[*id];
            row.allowance.has_free_slot(now) && row.avoided_until <= now
        };
        match ordered.iter().find(is_free) {
            Some(id) => {
                let row = self.rows.get_mut(id)?;
                row.allowance.start_call(now).then(|| (id.clone(), row.spec.address))
            }
            None => {
                if let Some(row) = ordered.first().and_then(|id| self.rows.get_mut(id)) {
                    row.allowance.record_waiting_call();
                }
                None
            }
        }
    }

    /// Ends a call on `upstream`.
    pub fn end_call(&mut self, upstream: &UpstreamId) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.allowance.end_call();
        }
    }

    /// Records that `upstream` could not be reached.
    pub fn record_unreachable(&mut self, upstream: &UpstreamId, now: MonoTime) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.avoided_until = now + UNREACHABLE_COOLDOWN;
        }
    }

    /// Returns the slot requests that are due to `seat`.
    pub fn make_requests(&mut self, seat: SeatId, now: MonoTime) -> Vec<SlotRequest> {
        let fleet = &self.set.fleet;
        let rows =
            self.rows.values_mut().filter(|row| fleet.seat_of_upstream(&row.spec.id) == seat);
        rows.filter_map(|row| row.allowance.make_request(now)).collect()
    }

    fn candidates<'a>(&'a self, call: &'a WaitingCall) -> impl Iterator<Item = &'a PoolRow> {
        let rows = call.route.upstreams.iter().filter_map(|id| self.rows.get(id));
        rows.filter(|row| {
            let is_configured = self.set.upstreams.contains_key(&row.spec.id);
            is_configured && self.set.is_serving(&row.spec) && row.serves(call)
        })
    }
}

impl Default for UpstreamPool {
    fn default() -> Self {
        Self::new()
    }
}

impl PoolRow {
    fn serves(&self, call: &WaitingCall) -> bool {
        let Some(view) = self.view.as_ref().filter(|view| view.boot.is_some() && !view.is_leaving)
        else {
            return false;
        };
        let has_loaded = |target: &TargetId| {
            let mut objects = view.objects.iter();
            objects.any(|object| object.target == *target && object.phase == ObjectPhase::Loaded)
        };
        match (&call.target, call.route.kind) {
            (Some(target), RouteKind::Engine) => has_loaded(target) && has_loaded(&target.base()),
            (None, RouteKind::Engine) => false,
            (_, RouteKind::Service) => true,
        }
    }
}
