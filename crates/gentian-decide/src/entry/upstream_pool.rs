//! What an entry knows of the upstreams, and the choice among them.

use std::net::SocketAddr;
use std::sync::Arc;

use gentian_config::{ConfigSet, RouteKind, UpstreamSpec};
use gentian_core::peer::{ObjectPhase, SeatId, SlotGrant, SlotRequest, TargetId, UpstreamView};
use gentian_core::{FastMap, MonoTime, TimeSpan, UpstreamId};

use super::WaitingCall;
use crate::share::SlotAllowance;

/// Time for which an upstream that could not be reached is passed over.
const AVOID_TIME: TimeSpan = TimeSpan::from_millis(500);

/// One upstream as the entry sees it.
#[derive(Debug)]
struct BoardRow {
    spec: UpstreamSpec,
    view: Option<UpstreamView>,
    wallet: SlotAllowance,
    avoided_until: MonoTime,
}

/// Upstreams with their slots and loaded objects.
#[derive(Debug)]
pub struct UpstreamPool {
    set: Arc<ConfigSet>,
    rows: FastMap<UpstreamId, BoardRow>,
}

impl UpstreamPool {
    /// Creates a board without upstreams.
    pub fn new() -> Self {
        Self { set: Arc::default(), rows: FastMap::default() }
    }

    /// Takes a configuration over.
    pub fn update(&mut self, set: Arc<ConfigSet>) {
        let is_known = |id: &UpstreamId, row: &BoardRow| {
            set.upstreams.contains_key(id) || row.wallet.in_use().get() > 0
        };
        self.rows.retain(|id, row| is_known(id, row));
        for spec in set.upstreams.values() {
            let row = self.rows.entry(spec.id.clone()).or_insert_with(|| BoardRow {
                spec: spec.clone(),
                view: None,
                wallet: SlotAllowance::new(spec.id.clone()),
                avoided_until: MonoTime::ORIGIN,
            });
            row.spec = spec.clone();
        }
        self.set = set;
    }

    /// Takes a changed view in.
    pub fn update_view(&mut self, view: UpstreamView, now: MonoTime) {
        let Some(row) = self.rows.get_mut(&view.upstream) else { return };
        if let Some(boot) = view.boot {
            row.wallet.record_boot(boot, now);
        }
        row.view = Some(view);
    }

    /// Takes a grant of concurrent calls in.
    pub fn handle_grant(
        &mut self,
        grant: &SlotGrant,
        life: TimeSpan,
        asked: MonoTime,
        now: MonoTime,
    ) {
        if let Some(row) = self.rows.get_mut(&grant.upstream) {
            row.wallet.handle_grant(grant, life, asked, now);
        }
    }

    /// Forgets where room is wanted, before the waiting calls are gone through again.
    pub fn clear_wanted(&mut self) {
        self.rows.values_mut().for_each(|row| row.wallet.clear_waiting_calls());
    }

    /// Starts `call` on the least loaded upstream with room, or notes where room is wanted.
    pub fn start_call(
        &mut self,
        call: &WaitingCall,
        now: MonoTime,
    ) -> Option<(UpstreamId, SocketAddr)> {
        let mut ids: Vec<(UpstreamId, f64)> =
            self.candidates(call).map(|row| (row.spec.id.clone(), row.wallet.load())).collect();
        ids.sort_by(|a, b| a.1.total_cmp(&b.1));
        let (untried, tried): (Vec<_>, Vec<_>) =
            ids.into_iter().map(|(id, _)| id).partition(|id| !call.tried.contains(id));
        let order = if untried.is_empty() { tried } else { untried };
        let is_free = |id: &&UpstreamId| {
            let row = &self.rows[*id];
            row.wallet.has_free_slot(now) && row.avoided_until <= now
        };
        match order.iter().find(is_free) {
            Some(id) => {
                let row = self.rows.get_mut(id)?;
                row.wallet.start_call(now).then(|| (id.clone(), row.spec.address))
            }
            None => {
                if let Some(row) = order.first().and_then(|id| self.rows.get_mut(id)) {
                    row.wallet.record_waiting_call();
                }
                None
            }
        }
    }

    /// Ends a call on `upstream`.
    pub fn end_call(&mut self, upstream: &UpstreamId) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.wallet.end_call();
        }
    }

    /// Notes that `upstream` could not be reached.
    pub fn record_unreachable(&mut self, upstream: &UpstreamId, now: MonoTime) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.avoided_until = now + AVOID_TIME;
        }
    }

    /// Makes the asks for concurrent calls, each with its seat.
    pub fn make_requests(&mut self, seat: SeatId, now: MonoTime) -> Vec<SlotRequest> {
        let fleet = &self.set.fleet;
        let rows =
            self.rows.values_mut().filter(|row| fleet.seat_of_upstream(&row.spec.id) == seat);
        rows.filter_map(|row| row.wallet.make_request(now)).collect()
    }

    fn candidates<'a>(&'a self, call: &'a WaitingCall) -> impl Iterator<Item = &'a BoardRow> {
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

impl BoardRow {
    fn serves(&self, call: &WaitingCall) -> bool {
        let Some(view) = self.view.as_ref().filter(|view| view.boot.is_some() && !view.is_leaving)
        else {
            return false;
        };
        let has = |target: &TargetId| {
            let mut objects = view.objects.iter();
            objects.any(|object| object.target == *target && object.phase == ObjectPhase::Loaded)
        };
        match (&call.target, call.route.kind) {
            (Some(target), RouteKind::Engine) => has(target) && has(&target.base()),
            (None, RouteKind::Engine) => false,
            (_, RouteKind::Service) => true,
        }
    }
}
