//! Controller of the parts of prompts that make upstreams end.

use gentian_core::peer::{FleetMessage, QuarantineNotice, ServedNotice, SuspicionGrade};
use gentian_core::{EventCode, FastSet, MonoTime, UpstreamId, VmId, WorkId};
use gentian_decide::request::{Refusal, RefusalCode};
use gentian_decide::serving::{AttemptEnd, AttemptProgress, ServingCall};
use gentian_process::StoredValue;

use super::call_controller::send_assignment;
use super::fleet_broadcast::{broadcast, send_to_vm};
use super::{CallAssignment, ControlEvent, ControlState, StoreRecords};
use crate::io::{FleetRecord, RecordWrite, decode_fleet_record};

/// Handles messages of other entries and stored records, and decides on crashes.
pub(super) fn handle_quarantine(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::Peer(message) => handle_message(state, message, now),
        ControlEvent::Store(StoreRecords::Fleet(values, revision)) => {
            if state.quarantine_era < revision.era() {
                state.quarantine_era = revision.era();
                state.quarantine.forget_records();
            }
            restore_parts(state, values, now);
        }
        _ => {}
    }
    for part in state.quarantine.decide(now) {
        log::warn!("{} part={part} cause=crashes", EventCode::PART_QUARANTINED);
        let notice = QuarantineNotice { part, is_quarantined: true };
        broadcast(state, FleetMessage::Quarantine(notice), now);
        apply_change(state, now);
    }
}

/// Returns the refusal of a new request whose prompt holds a quarantined part.
pub(super) fn check_quarantine(
    state: &mut ControlState,
    call: &ServingCall,
    now: MonoTime,
) -> Option<Refusal> {
    // Only the hub makes trials, so that no two entries make them at the same time.
    let may_try = state.hub.is_some();
    let part = state.quarantine.check(&call.shared_parts, may_try, now)?;
    Some(quarantine_refusal(call, part))
}

/// Records what the end of an attempt shows of the parts of the prompt, and notifies the other
/// entries.
pub(super) fn record_attempt_end(
    state: &mut ControlState,
    call: &ServingCall,
    upstream: UpstreamId,
    end: &AttemptEnd,
    now: MonoTime,
) {
    let parts = &call.shared_parts;
    if end.progress == AttemptProgress::Complete {
        let Some(notice) = state.quarantine.record_served(parts, now) else { return };
        release_served(state, &notice, now);
        broadcast(state, FleetMessage::Served(notice), now);
    } else if end.has_upstream_ended {
        let grade = match end.progress {
            AttemptProgress::HeadReceived => SuspicionGrade::Strong,
            _ => SuspicionGrade::Weak,
        };
        let names: Vec<String> = parts.iter().map(ToString::to_string).collect();
        log::info!(
            "{} upstream={upstream} request={} grade={grade:?} parts={}",
            EventCode::UPSTREAM_CRASHED,
            call.id,
            names.join(",")
        );
        state.metrics.upstream_crashes.inc();
        let report = state.quarantine.record_crash(upstream, grade, parts, now);
        broadcast(state, FleetMessage::Crash(report), now);
    }
}

fn handle_message(state: &mut ControlState, message: &FleetMessage, now: MonoTime) {
    match message {
        FleetMessage::Crash(report) => {
            if let Some(notice) = state.quarantine.handle_crash(report, now) {
                send_to_vm(state, &FleetMessage::Served(notice), &report.vm);
            }
            // The other entry missed the notice.
            if let Some(part) = state.quarantine.find_quarantined(&report.parts) {
                send_quarantined(state, part, &report.vm);
            }
        }
        FleetMessage::Served(notice) => state.quarantine.handle_served(notice, now),
        FleetMessage::Quarantine(notice) => {
            if !state.quarantine.handle_notice(*notice, now) {
                return;
            }
            let code = match notice.is_quarantined {
                true => EventCode::PART_QUARANTINED,
                false => EventCode::PART_RELEASED,
            };
            log::warn!("{code} part={} cause=notice", notice.part);
            apply_change(state, now);
        }
        _ => {}
    }
}

/// Sends the quarantined parts to an entry that may have missed messages.
pub(super) fn send_quarantine(state: &ControlState, vm: &VmId) {
    for part in state.quarantine.parts() {
        send_quarantined(state, part, vm);
    }
}

fn send_quarantined(state: &ControlState, part: WorkId, vm: &VmId) {
    let notice = QuarantineNotice { part, is_quarantined: true };
    send_to_vm(state, &FleetMessage::Quarantine(notice), vm);
}

/// Applies the records of quarantined parts.
fn restore_parts(state: &mut ControlState, values: &[StoredValue], now: MonoTime) {
    let prefix = state.codec.record_layout.fleet_prefix.clone();
    let parts = values.iter().filter_map(|value| match decode_fleet_record(&prefix, value) {
        Some(FleetRecord::QuarantinedWork(part)) => Some(part),
        _ => None,
    });
    state.stored_parts = parts.collect();
    for part in state.quarantine.drop_deleted(&state.stored_parts) {
        log::warn!("{} part={part} cause=record-deleted", EventCode::PART_RELEASED);
    }
    for part in state.quarantine.restore(state.stored_parts.iter().copied(), now) {
        log::warn!("{} part={part} cause=stored", EventCode::PART_QUARANTINED);
    }
    apply_change(state, now);
}

/// Releases the quarantined parts that were served all the same.
fn release_served(state: &mut ControlState, notice: &ServedNotice, now: MonoTime) {
    for (part, _) in &notice.parts {
        if state.quarantine.release(*part, now) {
            log::warn!("{} part={part} cause=served", EventCode::PART_RELEASED);
            let notice = QuarantineNotice { part: *part, is_quarantined: false };
            broadcast(state, FleetMessage::Quarantine(notice), now);
            apply_change(state, now);
        }
    }
}

/// Acts on a changed quarantine: refuses queued requests, and has the hub store the change.
fn apply_change(state: &mut ControlState, now: MonoTime) {
    refuse_waiting(state, now);
    store_parts(state);
}

fn refuse_waiting(state: &mut ControlState, now: MonoTime) {
    let quarantine = &state.quarantine;
    let find = |call: &ServingCall| quarantine.find_quarantined(&call.shared_parts);
    for call in state.scheduler.remove_waiting(|call| find(call).is_some(), now) {
        let (part, reply) = (find(&call), state.assignment_senders.remove(&call.id));
        if let (Some(part), Some(reply)) = (part, reply) {
            send_assignment(&reply, CallAssignment::Refuse(quarantine_refusal(&call, part)));
        }
    }
}

fn quarantine_refusal(call: &ServingCall, part: WorkId) -> Refusal {
    let message = format!("upstreams end when they answer a prompt with the part {part}");
    let refusal = Refusal::new(RefusalCode::PromptQuarantined, message);
    if call.possible_executions > 0 { refusal.with_unknown_run() } else { refusal }
}

/// Has the hub write the records of quarantined parts, by which entries that start later know them,
/// and delete those of released ones.
fn store_parts(state: &mut ControlState) {
    let parts: FastSet<WorkId> = state.quarantine.parts().collect();
    state.metrics.quarantined_parts.set(i64::try_from(parts.len()).unwrap_or(i64::MAX));
    if state.hub.is_none() || parts == state.stored_parts {
        return;
    }
    let added = parts.difference(&state.stored_parts).map(|part| RecordWrite::PutWork(*part));
    let removed = state.stored_parts.difference(&parts).map(|part| RecordWrite::DeleteWork(*part));
    for write in added.chain(removed) {
        if state.record_writes.send(write).is_err() {
            log::error!(
                "the thread that writes quarantine records ended before the control thread"
            );
        }
    }
    state.stored_parts = parts;
}
