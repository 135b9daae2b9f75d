//! Controllers of what organisations use: reports and notices at once, histories for a new hub, and
//! the stored trace.

use gentian_core::peer::{FleetMessage, FleetUse, UseHistory, UseReport};
use gentian_core::{EventCode, MonoTime, OrganisationId, VmId};

use super::fleet_broadcast::send_to_vm;
use super::{ControlEvent, ControlState};
use crate::io::RecordWrite;

/// Handles messages on what organisations use.
pub(super) fn handle_uses(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let ControlEvent::Peer(message) = event else { return };
    match message {
        FleetMessage::UseHistory(history) => handle_history(state, history, now),
        FleetMessage::FleetUse(fleet_use) => handle_fleet_use(state, fleet_use, now),
        FleetMessage::UseReport(report) => handle_use_report(state, report, now),
        FleetMessage::UseNotice(notice) => {
            state.hub_client.handle_use_notice(notice, &mut state.scheduler, now);
        }
        _ => {}
    }
}

/// Tells the hub what this entry used: before the hub knew it, and much since the last report.
pub(super) fn report_uses(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    let Some((vm, _)) = state.known_hub.clone() else { return };
    if let Some(history) = state.hub_client.next_history(&mut state.scheduler, now) {
        if vm == state.vm {
            handle_history(state, &history, now);
        } else {
            send_to_vm(state, &FleetMessage::UseHistory(history), &vm);
        }
    }
    if let Some(report) = state.hub_client.next_use_report(&mut state.scheduler, now) {
        if vm == state.vm {
            handle_use_report(state, &report, now);
        } else {
            send_to_vm(state, &FleetMessage::UseReport(report), &vm);
        }
    }
}

fn handle_use_report(state: &mut ControlState, report: &UseReport, now: MonoTime) {
    let Some(hub) = &mut state.hub else { return };
    hub.fleet_hub.handle_use_report(report, now);
    let organisations: Vec<_> = report.spent.iter().map(|(id, _)| id.clone()).collect();
    push_use(state, &organisations, now);
    if report.wants_notice {
        send_notice(state, &report.vm, &organisations, now);
    }
    store_trace(state, now);
}

/// Tells all entries at once about those of the organisations that may soon reach their limits.
pub(super) fn push_use(state: &mut ControlState, organisations: &[OrganisationId], now: MonoTime) {
    let Some(hub) = &mut state.hub else { return };
    let quotas = &state.scheduler.quotas;
    let limit = |organisation: &OrganisationId| quotas.limit(organisation);
    let urgent = hub.fleet_hub.urgent_organisations(organisations.iter(), limit, now);
    if urgent.is_empty() {
        return;
    }
    let vms: Vec<VmId> = hub.fleet_hub.reachable_vms(now).cloned().collect();
    for vm in vms {
        send_notice(state, &vm, &urgent, now);
    }
}

/// Tells an entry what the others spent of these organisations' quotas.
fn send_notice(
    state: &mut ControlState,
    vm: &VmId,
    organisations: &[OrganisationId],
    now: MonoTime,
) {
    let Some(hub) = &state.hub else { return };
    let Some(notice) = hub.fleet_hub.make_notice(vm, organisations) else { return };
    if *vm == state.vm {
        state.hub_client.handle_use_notice(&notice, &mut state.scheduler, now);
    } else {
        send_to_vm(state, &FleetMessage::UseNotice(notice), vm);
    }
}

/// Stores the trace of the use if one is due.
pub(super) fn store_trace(state: &mut ControlState, now: MonoTime) {
    let entry_count = state.fleet_size();
    let Some(hub) = &mut state.hub else { return };
    let quotas = &state.scheduler.quotas;
    let limit = |organisation: &OrganisationId| quotas.limit(organisation);
    let trace = hub.fleet_hub.next_trace(limit, entry_count, now);
    let Some(trace) = trace else { return };
    if state.record_writes.send(RecordWrite::PutTrace(trace)).is_err() {
        log::error!("the thread that writes records ended before the control thread");
    }
}

/// Tells an entry what the others used, in reply to what it used itself.
fn handle_history(state: &mut ControlState, history: &UseHistory, now: MonoTime) {
    let Some(hub) = &mut state.hub else { return };
    let fleet_use = hub.fleet_hub.handle_history(history, hub.fence, now);
    if history.vm == state.vm {
        handle_fleet_use(state, &fleet_use, now);
    } else {
        send_to_vm(state, &FleetMessage::FleetUse(fleet_use), &history.vm);
    }
}

fn handle_fleet_use(state: &mut ControlState, fleet_use: &FleetUse, now: MonoTime) {
    let entry_count = state.fleet_size();
    let scheduler = &mut state.scheduler;
    let (known, fence) = (fleet_use.known_entries, fleet_use.fence);
    let code = match state.hub_client.handle_fleet_use(fleet_use, entry_count, scheduler, now) {
        true => EventCode::USE_KNOWN,
        false => EventCode::GRANT_VOID,
    };
    log::info!("{code} message=fleet-use fence={fence} known={known} entries={entry_count}");
}
