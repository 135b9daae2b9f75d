//! Controllers of the fleet's entries, of the exchange with the hub and of the hub's own work.

use gentian_core::peer::{
    EntryReport, FleetMessage, FleetSummary, HubAnnouncement, ListRead, ListingNotice,
    OperatorNotice, UpstreamListing, UseTrace,
};
use gentian_core::{EventCode, FenceNumber, MonoTime, StoreRevision, TimeSpan, VmId};
use gentian_decide::orders::{EngineCall, OrderAction, PlacementFigures};
use gentian_decide::serving::UpstreamRegistration;
use log::Level;

use super::fleet_broadcast::{broadcast_once, send_to_vm};
use super::lease_controller::receive_handover;
use super::quarantine_controller::send_quarantine;
use super::upstream_controller::log_registration;
use super::use_controller::{push_use, store_trace};
use super::{ControlEvent, ControlState, StoreRecords};
use crate::io::{FleetRecord, decode_fleet_record};

/// Minimum interval between planning rounds of a fleet without engines, so that the hub also has
/// time to reply to entries.
const PLAN_INTERVAL: TimeSpan = TimeSpan::from_millis(15);
/// Addition to the minimum interval for each engine, since a round checks every engine.
const PLAN_INTERVAL_PER_ENGINE: TimeSpan = TimeSpan::from_micros(100);

/// Applies the records of the entries and of the lease holder. The index of this entry among all
/// entries, sorted by VM, is logged as `rank`.
pub(super) fn handle_fleet_records(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let ControlEvent::Store(StoreRecords::Fleet(values, revision)) = event else { return };
    state.eras.record(revision.era(), now);
    let prefix = state.codec.record_layout.fleet_prefix.clone();
    let (mut holder, mut trace) = (None, Some(UseTrace::default()));
    let mut entries = gentian_core::FastMap::default();
    for value in values {
        match decode_fleet_record(&prefix, value) {
            Some(FleetRecord::Entry(entry)) => {
                entries.insert(entry.vm.clone(), entry);
            }
            Some(FleetRecord::Holder(record)) => {
                holder = Some((record.vm, value.revision.fence()));
            }
            Some(FleetRecord::UseTrace(stored)) => {
                if stored.is_none() {
                    state.log_odd_record(value, "malformed");
                }
                trace = stored;
            }
            Some(FleetRecord::CrashTrace(None) | FleetRecord::OriginTrace(None)) => {
                state.log_odd_record(value, "malformed");
            }
            Some(
                FleetRecord::PastHolder
                | FleetRecord::Usage
                | FleetRecord::QuarantinedWork(_)
                | FleetRecord::CrashTrace(Some(_))
                | FleetRecord::OriginTrace(Some(_)),
            ) => {}
            None => state.log_odd_record(value, "malformed"),
        }
    }
    if state.eras.is_settling(now) {
        // Entries whose records the copy lacks write them again.
        for (vm, entry) in &state.entries {
            entries.entry(vm.clone()).or_insert_with(|| entry.clone());
        }
    }
    if entries.len() != state.entries.len() {
        let mut vms: Vec<&VmId> = entries.keys().collect();
        vms.sort();
        let entry_index = vms.iter().position(|vm| **vm == state.vm).unwrap_or(0);
        let entry_index = u32::try_from(entry_index).unwrap_or(0);
        log::info!("{} entries={} rank={entry_index}", EventCode::MEMBERS_CHANGED, vms.len());
        state.table.update_entry_index(entry_index, u32::try_from(vms.len()).unwrap_or(u32::MAX));
    }
    // One that can't be read says nothing of what was used.
    if let Some(trace) = trace {
        state.scheduler.quotas.apply_trace(trace, now);
    }
    state.entries = entries;
    state.hub_client.update_entry_count(state.entries.len());
    state.vacant_since = match holder {
        Some(_) => None,
        None => state.vacant_since.or(Some(now)),
    };
    if let Some((vm, fence)) = holder {
        update_hub(state, vm, fence, now);
    }
    if !state.hub_client.is_connected() {
        let partition = gentian_decide::serving::FleetPartition::isolated(state.fleet_size());
        state.scheduler.quotas.update_partition(partition, now);
    }
}

/// Handles datagrams of other processes.
pub(super) fn handle_messages(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let ControlEvent::Peer(message) = event else { return };
    match message {
        FleetMessage::Announcement(HubAnnouncement { vm, fence }) => {
            update_hub(state, vm.clone(), *fence, now);
        }
        FleetMessage::Handover(handover) => receive_handover(state, handover, now),
        FleetMessage::Operators(notice) => {
            state.hub_updates.record_operator_notice(notice.revision, now);
        }
        FleetMessage::Report(report) => handle_report(state, report.clone(), now),
        FleetMessage::Summary(summary) => handle_summary(state, summary.clone(), now),
        FleetMessage::Listings(notice) => handle_listing_notice(state, notice, now),
        FleetMessage::ListRead(read) => handle_list_read(state, read),
        // The controllers of uses, of the quarantine and of permits handle the others.
        _ => {}
    }
}

/// Detects that the hub is silent, sets until when records are read less often, and sends a report
/// to it when one is due.
pub(super) fn report_to_hub(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    let entry_count = state.fleet_size();
    if state.hub_client.check_timeout(entry_count, &mut state.scheduler, &mut state.table, now) {
        log::warn!("{} entries={entry_count}", EventCode::HUB_SILENT);
    }
    state.hub_updates.set_fresh_until(match &state.hub {
        // The hub itself must read fresh records, since the other entries rely on its updates. The
        // origin of time is always past, so the expiry has always passed.
        Some(_) => MonoTime::ORIGIN,
        // Entries may find out at different times that the service was restored.
        None if state.eras.is_settling(now) => MonoTime::ORIGIN,
        // Listings that are too old compared with the drain time could hide a drained upstream.
        None => state.hub_client.listings_fresh_until(state.bounds.drain_time),
    });
    let Some((vm, _)) = state.known_hub.clone() else { return };
    let Some(report) = state.hub_client.next_report(&mut state.scheduler, now) else { return };
    if vm == state.vm {
        handle_report(state, report, now);
    } else if let Some(entry) = state.entries.get(&vm) {
        state.socket.send(&FleetMessage::Report(report), entry.address);
    }
}

/// Plans orders and sends calls to engines while this process is the hub.
pub(super) fn run_hub(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let Some(hub) = &mut state.hub else {
        state.metrics.record_placement(PlacementFigures::default());
        return;
    };
    match event {
        ControlEvent::OrderEnded(order, reply) => {
            if *reply == gentian_decide::orders::OrderReply::Fenced {
                log::warn!("{} fence={}", EventCode::SEAT_FENCED, order.fence);
                state.lease.retire(order.fence);
            }
            hub.planner.handle_reply(order, *reply, now);
        }
        ControlEvent::EngineReport(upstream, report) => {
            let places = hub.planner.store_places();
            if let Some((order, after)) = hub.planner.handle_report(upstream, report.clone(), now) {
                let is_missing = order.action == OrderAction::Load
                    && !hub.planner.has_target(upstream, &order.target);
                let code = if is_missing { EventCode::LOAD_MISSING } else { EventCode::LOAD_DONE };
                let (action, target) = (order.action, order.target);
                let level = if is_missing { Level::Warn } else { Level::Info };
                log::log!(
                    level,
                    "{code} upstream={upstream} action={action} target={target} after={after}"
                );
            }
            let new_places = hub.planner.store_places();
            if new_places != places {
                log::info!("{} from={places} to={new_places}", EventCode::STORE_PLACES);
            }
        }
        _ => {}
    }
    let fence = state.lease.acting_fence(now);
    let interval = PLAN_INTERVAL + PLAN_INTERVAL_PER_ENGINE * hub.planner.engine_count() as u64;
    if now.since(hub.planned_at) < interval {
        hub.deferred_plan_at = Some(hub.planned_at + interval);
        let is_reply =
            matches!(event, ControlEvent::OrderEnded(..) | ControlEvent::EngineReport(..));
        let calls = if is_reply { hub.planner.due_calls(fence, now) } else { Vec::new() };
        start_engine_calls(state, calls);
        return;
    }
    hub.planned_at = now;
    hub.deferred_plan_at = None;
    let uses = hub.fleet_hub.target_uses(now);
    let calls = hub.planner.decide(&uses, &state.table, fence, now);
    let is_changed = hub.fleet_hub.update_resident_models(hub.planner.resident_models(now));
    state.metrics.record_placement(hub.planner.figures());
    start_engine_calls(state, calls);
    if is_changed {
        push_summaries(state, now);
    }
}

fn start_engine_calls(state: &mut ControlState, calls: Vec<EngineCall>) {
    for call in calls {
        log_call(&call);
        state.engine_calls.start(call);
    }
}

/// Sends summaries at once to the entries that have waiting requests.
fn push_summaries(state: &mut ControlState, now: MonoTime) {
    let Some(hub) = &state.hub else { return };
    for vm in hub.fleet_hub.waiting_vms(now) {
        send_summary(state, &vm, now);
    }
}

/// Tells the entries of a large fleet that the registrations were read, and sends the listings that changed.
pub(super) fn send_listings(state: &mut ControlState, now: MonoTime) {
    let Some(hub) = &state.hub else { return };
    let Some(notice) = hub.fleet_hub.listing_notice(now) else { return };
    for vm in hub.fleet_hub.outdated_vms(now) {
        send_summary(state, &vm, now);
    }
    broadcast_once(state, &FleetMessage::Listings(notice));
}

/// Tells the hub of a large fleet that this entry has read all registrations.
pub(super) fn report_list_read(state: &ControlState, revision: StoreRevision) {
    let Some((vm, _)) = &state.known_hub else { return };
    if let Some(read) = state.hub_client.list_read(revision)
        && *vm != state.vm
    {
        send_to_vm(state, &FleetMessage::ListRead(read), vm);
    }
}

fn handle_list_read(state: &mut ControlState, read: &ListRead) {
    if let Some(hub) = &mut state.hub {
        hub.fleet_hub.handle_own_list(read);
    }
}

fn handle_listing_notice(state: &mut ControlState, notice: &ListingNotice, now: MonoTime) {
    if state.hub_client.handle_listing_notice(notice, now)
        && let Some(time) = state.hub_client.listings_time()
    {
        state.table.versions.record_list_time(time);
    }
}

fn handle_report(state: &mut ControlState, report: EntryReport, now: MonoTime) {
    let Some(hub) = &mut state.hub else { return };
    let vm = report.vm.clone();
    let is_returning = hub.fleet_hub.is_returning(&report, now);
    let organisations: Vec<_> = report.spent.iter().map(|(id, _)| id.clone()).collect();
    if hub.fleet_hub.handle_report(report, now) {
        push_use(state, &organisations, now);
        store_trace(state, now);
        send_summary(state, &vm, now);
    }
    if is_returning && vm != state.vm {
        send_quarantine(state, &vm, now);
        let notice = OperatorNotice { revision: state.operator_revision };
        send_to_vm(state, &FleetMessage::Operators(notice), &vm);
    }
}

fn send_summary(state: &mut ControlState, vm: &VmId, now: MonoTime) {
    let Some(hub) = &mut state.hub else { return };
    let Some(summary) = hub.fleet_hub.make_summary(vm, hub.fence, now) else { return };
    if *vm == state.vm {
        handle_summary(state, summary, now);
    } else if let Some(entry) = state.entries.get(vm) {
        state.socket.send(&FleetMessage::Summary(summary), entry.address);
    }
}

/// Applies a summary, and logs the listings in it that are news to this entry.
fn handle_summary(state: &mut ControlState, summary: FleetSummary, now: MonoTime) {
    // A hub goes on listing upstreams that have left, also to entries that never knew them.
    let is_relevant = |listing: &&UpstreamListing| {
        listing.is_ready || state.table.incarnation(&listing.upstream).is_some()
    };
    let listed = summary.listings.iter().filter(is_relevant).cloned();
    let registrations = listed.map(UpstreamRegistration::from);
    let news: Vec<_> = registrations.filter(|it| state.table.is_news(it, now)).collect();
    let (fence, entry_count) = (summary.fence, state.fleet_size());
    let (scheduler, table) = (&mut state.scheduler, &mut state.table);
    if state.hub_client.handle_summary(summary, entry_count, scheduler, table, now) {
        news.iter().for_each(|registration| log_registration(registration, Some(fence)));
        if let Some(time) = state.hub_client.listings_time() {
            state.table.versions.record_list_time(time);
        }
    } else if let Some((_, known)) = state.known_hub.as_ref().filter(|(_, known)| *known > fence) {
        log::info!("{} message=summary fence={fence} known={known}", EventCode::GRANT_VOID);
    }
}

fn update_hub(state: &mut ControlState, vm: VmId, fence: FenceNumber, now: MonoTime) {
    if state.known_hub.as_ref().is_some_and(|(_, known)| *known >= fence) {
        return;
    }
    log::info!("{} hub={vm} fence={fence}", EventCode::HUB_KNOWN);
    if vm != state.vm && state.hub.take().is_some() {
        log::info!("{} vm={} successor={vm}", EventCode::SEAT_LOST, state.vm);
    }
    state.lease.handle_holder_change(fence);
    state.hub_client.record_hub(fence, now);
    state.known_hub = Some((vm, fence));
    state.vacant_since = None;
}

fn log_call(call: &EngineCall) {
    if let EngineCall::Order(order) = call {
        log::info!(
            "{} upstream={} action={} target={} expected={} fence={}",
            EventCode::ORDER_SENT,
            order.upstream,
            order.action,
            order.target,
            order.expected,
            order.fence
        );
    }
}
