//! Controllers: the entries of the fleet, the exchange with the hub, and the work of the hub.

use gentian_core::peer::{EntryReport, FleetMessage, HubAnnouncement};
use gentian_core::{EventCode, FenceNumber, MonoTime, TimeSpan, VmId};
use gentian_decide::orders::EngineCall;

use super::lease_controller::note_handover;
use super::{ControlEvent, ControlState, StoreChange};
use crate::io::{OwnRecord, read_own_record};

/// Time between two rounds of planning, and what each engine adds: a round looks at every engine, and
/// the hub has entries to answer beside it.
const PLAN_EVERY: TimeSpan = TimeSpan::from_millis(15);
const PLAN_EVERY_ENGINE: TimeSpan = TimeSpan::from_micros(100);

/// Follows the records of the entries and of the holder of the lease.
pub(super) fn follow_members(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let ControlEvent::Store(StoreChange::Own(values)) = event else { return };
    let prefix = state.dialect.record_layout.own_prefix.clone();
    let mut holder = None;
    let mut members = gentian_core::FastMap::default();
    for value in values {
        match read_own_record(&prefix, value) {
            Some(OwnRecord::Member(member)) => {
                members.insert(member.vm.clone(), member);
            }
            Some(OwnRecord::Holder(record)) => {
                holder = Some((record.vm, FenceNumber::new(value.revision.get())));
            }
            Some(OwnRecord::Past) => {}
            None => log::warn!("record {} is malformed and passed over", value.key),
        }
    }
    if members.len() != state.members.len() {
        let mut names: Vec<&VmId> = members.keys().collect();
        names.sort();
        let rank = names.iter().position(|vm| **vm == state.vm).unwrap_or(0);
        let rank = u32::try_from(rank).unwrap_or(0);
        log::info!("{} entries={} rank={rank}", EventCode::MEMBERS_CHANGED, names.len());
        state.table.update_entry_index(rank, u32::try_from(names.len()).unwrap_or(u32::MAX));
    }
    state.members = members;
    state.link.update_entry_count(state.members.len());
    state.vacant_since = match holder {
        Some(_) => None,
        None => state.vacant_since.or(Some(now)),
    };
    if let Some((vm, fence)) = holder {
        note_hub(state, vm, fence);
    }
    if !state.link.is_connected() {
        let part = gentian_decide::serving::FleetPartition::isolated(state.fleet_size());
        state.desk.update_partition(part, now);
    }
}

/// Takes datagrams in.
pub(super) fn take_messages(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let ControlEvent::Peer(message) = event else { return };
    match message {
        FleetMessage::Announcement(HubAnnouncement { vm, fence }) => {
            note_hub(state, vm.clone(), *fence);
        }
        FleetMessage::Handover(handover) => note_handover(state, handover, now),
        FleetMessage::Report(digest) => take_digest(state, digest.clone(), now),
        FleetMessage::Summary(tally) => {
            let all = state.fleet_size();
            state.link.handle_summary(tally.clone(), all, &mut state.desk, &mut state.table, now);
        }
    }
}

/// Asks the hub when that is due.
pub(super) fn ask_hub(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    let all = state.fleet_size();
    if state.link.check_timeout(all, &mut state.desk, &mut state.table, now) {
        log::warn!("{} entries={all}", EventCode::HUB_SILENT);
    }
    state.told.set(match &state.hub {
        // The hub is who tells the others.
        Some(_) => MonoTime::ORIGIN,
        None => state.link.listings_fresh_until(state.bounds.drain_time),
    });
    let Some((vm, _)) = state.known_hub.clone() else { return };
    let Some(digest) = state.link.next_report(&mut state.desk, now) else { return };
    if vm == state.vm {
        take_digest(state, digest, now);
    } else if let Some(member) = state.members.get(&vm) {
        state.socket.send(&FleetMessage::Report(digest), member.address);
    }
}

/// Does the work of the hub.
pub(super) fn run_hub(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let Some(hub) = &mut state.hub else { return };
    match event {
        ControlEvent::Order(order, reply) => {
            if *reply == gentian_decide::orders::OrderReply::Fenced {
                log::warn!("{} fence={}", EventCode::SEAT_FENCED, order.fence);
                state.lease.retire(order.fence);
            }
            hub.planner.handle_reply(order, *reply, now);
        }
        ControlEvent::Report(upstream, report) => {
            if let Some((order, after)) = hub.planner.handle_report(upstream, report.clone(), now) {
                log::info!(
                    "{} upstream={upstream} action={} target={} after={after}",
                    EventCode::LOAD_DONE,
                    order.action,
                    order.target
                );
            }
        }
        _ => {}
    }
    let fence = state.lease.acting_fence(now);
    let spacing = PLAN_EVERY + PLAN_EVERY_ENGINE * hub.planner.engine_count() as u64;
    if now.since(hub.planned) < spacing {
        hub.plan_due = Some(hub.planned + spacing);
        let is_answer = matches!(event, ControlEvent::Order(..) | ControlEvent::Report(..));
        let calls = if is_answer { hub.planner.due_calls(fence, now) } else { Vec::new() };
        start_engine_calls(state, calls);
        return;
    }
    hub.planned = now;
    hub.plan_due = None;
    let uses = hub.hub.target_uses(now);
    let calls = hub.planner.decide(&uses, &state.table, fence, now);
    let is_changed = hub.hub.update_resident_models(hub.planner.resident_models(now));
    start_engine_calls(state, calls);
    if is_changed {
        push_tallies(state, now);
    }
}

fn start_engine_calls(state: &mut ControlState, calls: Vec<EngineCall>) {
    for call in calls {
        log_call(&call);
        state.engines.start(call);
    }
}

/// Tells the entries whose requests wait at once what has changed.
fn push_tallies(state: &mut ControlState, now: MonoTime) {
    let Some(hub) = &state.hub else { return };
    for vm in hub.hub.waiting_vms(now) {
        answer_digest(state, &vm, now);
    }
}

fn take_digest(state: &mut ControlState, digest: EntryReport, now: MonoTime) {
    let Some(hub) = &mut state.hub else { return };
    let vm = digest.vm.clone();
    if hub.hub.handle_report(digest, now) {
        answer_digest(state, &vm, now);
    }
}

fn answer_digest(state: &mut ControlState, vm: &VmId, now: MonoTime) {
    let Some(hub) = &mut state.hub else { return };
    let Some(tally) = hub.hub.make_summary(vm, hub.fence, now) else { return };
    if *vm == state.vm {
        let all = state.fleet_size();
        state.link.handle_summary(tally, all, &mut state.desk, &mut state.table, now);
    } else if let Some(member) = state.members.get(vm) {
        state.socket.send(&FleetMessage::Summary(tally), member.address);
    }
}

fn note_hub(state: &mut ControlState, vm: VmId, fence: FenceNumber) {
    if state.known_hub.as_ref().is_some_and(|(_, known)| *known >= fence) {
        return;
    }
    log::info!("{} hub={vm} fence={fence}", EventCode::HUB_KNOWN);
    if vm != state.vm && state.hub.take().is_some() {
        log::info!("{} vm={} successor={vm}", EventCode::SEAT_LOST, state.vm);
    }
    state.lease.handle_holder_change(fence);
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
