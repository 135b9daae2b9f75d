//! Controller of the work that makes upstreams end: parts of prompts, and requests as a whole.

use std::hash::BuildHasher;

use gentian_core::peer::{
    FleetMessage, QuarantineNotice, ServedNotice, SuspectQuery, SuspectReport, SuspicionGrade,
    TrialNotice,
};
use gentian_core::{EventCode, FastSet, MonoTime, TimeSpan, UpstreamId, VmId, WorkId};
use gentian_decide::quarantine::{CrashTracer, QuarantineCheck};
use gentian_decide::request::{Refusal, RefusalCode};
use gentian_decide::serving::{AttemptEnd, AttemptProgress, ServingCall};
use gentian_process::StoredValue;
use rustc_hash::FxBuildHasher;

use super::call_controller::send_assignment;
use super::fleet_broadcast::{broadcast, send_to_vm};
use super::{CallAssignment, ControlEvent, ControlState, StoreRecords};
use crate::io::{FleetRecord, RecordWrite, decode_fleet_record};

/// Entries that a process asks at its start what is quarantined and suspected. Some may have just started
/// too.
const QUERIED_ENTRIES: usize = 8;

/// Handles messages of other entries and stored records, and decides on crashes.
pub(super) fn handle_quarantine(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::Peer(message) => handle_message(state, message, now),
        ControlEvent::Store(StoreRecords::Fleet(values, revision)) => {
            if state.quarantine_era < revision.era() {
                state.quarantine_era = revision.era();
                state.quarantine.forget_records();
            }
            restore_works(state, values, now);
            restore_trace(state, values, now);
        }
        _ => {}
    }
    for work in state.quarantine.decide(now) {
        log::warn!("{} part={work} kind={} cause=crashes", EventCode::PART_QUARANTINED, kind(work));
        let notice = QuarantineNotice { work, is_quarantined: true };
        broadcast(state, FleetMessage::Quarantine(notice), now);
        apply_change(state, now);
    }
    store_trace(state, now);
    let has_suspects = state.quarantine.has_suspects(now);
    if has_suspects != state.view.load().has_suspects {
        state.update_view(|view| view.has_suspects = has_suspects);
    }
}

/// Returns the refusal of a new request with quarantined work, or of another attempt of one under which
/// upstreams have ended.
pub(super) fn check_quarantine(
    state: &mut ControlState,
    call: &ServingCall,
    now: MonoTime,
) -> Option<Refusal> {
    match state.quarantine.check(call.works(), now) {
        QuarantineCheck::Refuse(work) => return Some(quarantine_refusal(call, work)),
        QuarantineCheck::Trial(work) => {
            log::info!("{} part={work} kind={}", EventCode::QUARANTINE_TRIED, kind(work));
            broadcast(state, FleetMessage::Trial(TrialNotice { work }), now);
        }
        QuarantineCheck::Pass => {}
    }
    let request = call.request.filter(|_| call.possible_executions > 0)?;
    state.quarantine.stops_retries(request, now).then(|| {
        let message = "upstreams ended while they had the request";
        Refusal::new(RefusalCode::UpstreamFailed, message).with_unknown_run()
    })
}

/// Records what the end of an attempt shows of the work in the request, and notifies the other entries.
pub(super) fn record_attempt_end(
    state: &mut ControlState,
    call: &ServingCall,
    upstream: UpstreamId,
    end: &AttemptEnd,
    now: MonoTime,
) {
    if end.progress == AttemptProgress::Complete {
        let Some(notice) = state.quarantine.record_served(call.works(), now) else { return };
        release_served(state, &notice, now);
        broadcast(state, FleetMessage::Served(notice), now);
    } else if end.has_upstream_ended {
        let grade = match end.progress {
            AttemptProgress::HeadReceived => SuspicionGrade::Strong,
            _ => SuspicionGrade::Weak,
        };
        let works: Vec<WorkId> = call.shared_parts.iter().copied().chain(end.request).collect();
        let names: Vec<String> = call.shared_parts.iter().map(ToString::to_string).collect();
        log::info!(
            "{} upstream={upstream} request={} grade={grade:?} work={} parts={}",
            EventCode::UPSTREAM_CRASHED,
            call.id,
            end.request.map_or_else(|| "-".to_owned(), |request| request.to_string()),
            names.join(",")
        );
        state.metrics.upstream_crashes.inc();
        let report = SuspectReport {
            vm: state.vm.clone(),
            request: call.id,
            upstream,
            age: TimeSpan::ZERO,
            running: end.running,
            grade,
            works,
        };
        state.quarantine.record_crash(&report, now);
        broadcast(state, FleetMessage::Suspect(report), now);
    } else if let Some(request) = call.request {
        state.quarantine.record_end(request);
    }
}

fn handle_message(state: &mut ControlState, message: &FleetMessage, now: MonoTime) {
    match message {
        FleetMessage::Suspect(report) => handle_report(state, report, now),
        FleetMessage::Crash(report) => handle_report(state, &report.clone().into(), now),
        FleetMessage::Served(notice) => state.quarantine.handle_served(notice, now),
        FleetMessage::SuspectQuery(query) => send_quarantine(state, &query.vm, now),
        FleetMessage::Claim(notice) => state.quarantine.handle_claim(notice, now),
        FleetMessage::Trial(notice) => state.quarantine.handle_trial(*notice, now),
        FleetMessage::Quarantine(notice) => {
            if !state.quarantine.handle_notice(*notice, now) {
                return;
            }
            let code = match notice.is_quarantined {
                true => EventCode::PART_QUARANTINED,
                false => EventCode::PART_RELEASED,
            };
            log::warn!("{code} part={} kind={} cause=notice", notice.work, kind(notice.work));
            apply_change(state, now);
        }
        _ => {}
    }
}

fn handle_report(state: &mut ControlState, report: &SuspectReport, now: MonoTime) {
    if let Some(notice) = state.quarantine.handle_report(report, now) {
        send_to_vm(state, &FleetMessage::Served(notice), &report.vm);
    }
    // The other entry missed the notice.
    if let Some(work) = state.quarantine.find_quarantined(report.works.iter().copied()) {
        send_quarantined(state, work, &report.vm);
    }
}

/// Sends an entry that may have missed messages what is quarantined, and what is suspected.
pub(super) fn send_quarantine(state: &ControlState, vm: &VmId, now: MonoTime) {
    for work in state.quarantine.works() {
        send_quarantined(state, work, vm);
    }
    for report in state.quarantine.trace(now) {
        send_to_vm(state, &FleetMessage::Suspect(report), vm);
    }
}

fn send_quarantined(state: &ControlState, work: WorkId, vm: &VmId) {
    let notice = QuarantineNotice { work, is_quarantined: true };
    send_to_vm(state, &FleetMessage::Quarantine(notice), vm);
}

/// Applies the records of quarantined work.
fn restore_works(state: &mut ControlState, values: &[StoredValue], now: MonoTime) {
    let prefix = state.codec.record_layout.fleet_prefix.clone();
    let works = values.iter().filter_map(|value| match decode_fleet_record(&prefix, value) {
        Some(FleetRecord::QuarantinedWork(work)) => Some(work),
        _ => None,
    });
    state.stored_works = works.collect();
    for work in state.quarantine.drop_deleted(&state.stored_works) {
        let code = EventCode::PART_RELEASED;
        log::warn!("{code} part={work} kind={} cause=record-deleted", kind(work));
    }
    for work in state.quarantine.restore(state.stored_works.iter().copied(), now) {
        log::warn!("{} part={work} kind={} cause=stored", EventCode::PART_QUARANTINED, kind(work));
    }
    apply_change(state, now);
}

/// Takes note of the stored trace of crashes. Applies it if this process reads the records for the first
/// time; it gets reports of later crashes by message.
fn restore_trace(state: &mut ControlState, values: &[StoredValue], now: MonoTime) {
    let prefix = state.codec.record_layout.fleet_prefix.clone();
    let trace = values.iter().find_map(|value| match decode_fleet_record(&prefix, value) {
        Some(FleetRecord::CrashTrace(trace)) => trace,
        _ => None,
    });
    let trace = trace.unwrap_or_default();
    if let Some(tracer) = &mut state.crash_tracer {
        // A hub knows better what it has stored than a read that may be older.
        if state.hub.is_none() {
            tracer.update_stored(&trace);
        }
        return;
    }
    state.crash_tracer = Some(CrashTracer::new(&trace));
    for report in &trace {
        // This process has served nothing that could be stated.
        state.quarantine.handle_report(report, now);
    }
    query_suspects(state);
}

/// Asks some other entries what this process has missed. The trace may be older, and there may be no hub
/// that tells.
fn query_suspects(state: &ControlState) {
    let others = state.entries.keys().filter(|vm| **vm != state.vm);
    let mut ranked: Vec<&VmId> = others.collect();
    ranked.sort_by_key(|vm| FxBuildHasher.hash_one((vm, state.instance)));
    let query = FleetMessage::SuspectQuery(SuspectQuery { vm: state.vm.clone() });
    for vm in ranked.into_iter().take(QUERIED_ENTRIES) {
        send_to_vm(state, &query, vm);
    }
}

/// Has the hub store the trace of crashes if it has changed.
fn store_trace(state: &mut ControlState, now: MonoTime) {
    let Some(tracer) = state.crash_tracer.as_mut().filter(|tracer| tracer.is_due(now)) else {
        return;
    };
    if state.hub.is_none() || !state.quarantine.take_trace_change() {
        return;
    }
    let trace = state.quarantine.trace(now);
    if tracer.record_trace(&trace, now)
        && state.record_writes.send(RecordWrite::PutCrashes(trace)).is_err()
    {
        log::error!("the thread that writes records ended before the control thread");
    }
}

/// Releases the quarantined work that was served all the same.
fn release_served(state: &mut ControlState, notice: &ServedNotice, now: MonoTime) {
    for (work, _) in &notice.works {
        if state.quarantine.release(*work, now) {
            log::warn!(
                "{} part={work} kind={} cause=served",
                EventCode::PART_RELEASED,
                kind(*work)
            );
            let notice = QuarantineNotice { work: *work, is_quarantined: false };
            broadcast(state, FleetMessage::Quarantine(notice), now);
            apply_change(state, now);
        }
    }
}

/// Acts on a changed quarantine: refuses queued requests, and has the hub store the change.
fn apply_change(state: &mut ControlState, now: MonoTime) {
    refuse_waiting(state, now);
    store_works(state);
}

fn refuse_waiting(state: &mut ControlState, now: MonoTime) {
    let quarantine = &state.quarantine;
    let find = |call: &ServingCall| quarantine.find_quarantined(call.works());
    for call in state.scheduler.remove_waiting(|call| find(call).is_some(), now) {
        let (work, reply) = (find(&call), state.assignment_senders.remove(&call.id));
        if let (Some(work), Some(reply)) = (work, reply) {
            send_assignment(&reply, CallAssignment::Refuse(quarantine_refusal(&call, work)));
        }
    }
}

fn quarantine_refusal(call: &ServingCall, work: WorkId) -> Refusal {
    let (code, message) = match work.is_request() {
        true => {
            let message = format!("upstreams end when they answer this request ({work})");
            (RefusalCode::RequestQuarantined, message)
        }
        false => {
            let message = format!("upstreams end when they answer a prompt with the part {work}");
            (RefusalCode::PromptQuarantined, message)
        }
    };
    let refusal = Refusal::new(code, message);
    if call.possible_executions > 0 { refusal.with_unknown_run() } else { refusal }
}

/// Has the hub write the records of quarantined work, by which entries that start later know it, and
/// delete those of released work.
fn store_works(state: &mut ControlState) {
    let works: FastSet<WorkId> = state.quarantine.works().collect();
    state.metrics.quarantined_parts.set(i64::try_from(works.len()).unwrap_or(i64::MAX));
    if state.hub.is_none() || works == state.stored_works {
        return;
    }
    let added = works.difference(&state.stored_works).map(|work| RecordWrite::PutWork(*work));
    let removed = state.stored_works.difference(&works).map(|work| RecordWrite::DeleteWork(*work));
    for write in added.chain(removed) {
        if state.record_writes.send(write).is_err() {
            log::error!(
                "the thread that writes quarantine records ended before the control thread"
            );
        }
    }
    state.stored_works = works;
}

/// Returns the kind of some work for a log line.
fn kind(work: WorkId) -> &'static str {
    if work.is_request() { "request" } else { "part" }
}
