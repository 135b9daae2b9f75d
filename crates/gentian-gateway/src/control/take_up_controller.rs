//! Controllers of streams that callers take up: which upstreams may go on with them, and what other
//! entries and the key-value service are told of the versions that began streams.

use flume::Sender;
use gentian_core::peer::{FleetMessage, OriginNotice, OriginTrace, ServiceVersion};
use gentian_core::{EventCode, MonoTime, RequestId, TimeSpan, VmId};
use gentian_decide::serving::{ServingCall, refuse_take_up};
use gentian_decide::streams::{OriginTracer, TakeUp, TakeUpClaim};
use gentian_process::StoredValue;

use super::call_controller::{admit_call, send_assignment};
use super::fleet_broadcast::send_to_vm;
use super::{CallAssignment, ControlEvent, ControlState, StoreRecords};
use crate::io::{FleetRecord, RecordWrite, decode_fleet_record};

/// Interval between checks of requests that wait for replies of other entries.
const CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(20);
/// Time for which a stream may be taken up, in terms of the longest timeout of a route: callers ask
/// again within their deadlines, which are not known.
const TIMEOUTS_IN_HORIZON: u64 = 2;

/// A request for the rest of a stream of which it is not known which version began it.
#[derive(Debug)]
pub(crate) struct WaitingTakeUp {
    call: ServingCall,
    reply: Sender<CallAssignment>,
}

/// Handles messages and records on the versions that began streams, and tells others of a further
/// version.
pub(super) fn handle_origins(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::Cancel(id) => state.take_ups.retain(|waiting| waiting.call.id != *id),
        ControlEvent::Store(StoreRecords::Fleet(values, revision)) => {
            if state.origin_era < revision.era() {
                state.origin_era = revision.era();
                state.origin_tracer.iter_mut().for_each(OriginTracer::forget_stored);
            }
            state.origins.update_entries(state.entries.keys().cloned().collect());
            restore_trace(state, values, now);
        }
        ControlEvent::Store(StoreRecords::Operator { .. }) => update_horizon(state),
        ControlEvent::Peer(message) => handle_message(state, message, now),
        _ => {}
    }
    let hub = state.known_hub.as_ref().filter(|_| state.hub_client.is_connected());
    state.origins.update_hub(hub.map(|(vm, _)| vm));
    for (upstream, since) in state.table.versions.drain_restarts() {
        let notices = state.origins.record_restart(&upstream, since);
        send_notices(state, notices);
    }
    for service in state.table.versions.drain_mixed_services() {
        let notices = state.origins.announce_streams(&service, &state.table.versions.history, now);
        send_notices(state, notices);
    }
    store_trace(state, now);
}

/// Admits the requests for the rest of streams of which it is known by now which version began them,
/// and refuses those of which nobody knows.
pub(super) fn decide_take_ups(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    for waiting in std::mem::take(&mut state.take_ups) {
        check_take_up(state, waiting.call, &waiting.reply, now);
    }
}

/// Returns when requests that wait for replies are to be checked again.
pub(super) fn take_ups_due(state: &ControlState, now: MonoTime) -> Option<MonoTime> {
    (!state.take_ups.is_empty()).then(|| now + CHECK_INTERVAL)
}

/// Admits a request for the rest of a stream, refuses it, or has it wait for the replies of other
/// entries.
pub(super) fn check_take_up(
    state: &mut ControlState,
    call: ServingCall,
    reply: &Sender<CallAssignment>,
    now: MonoTime,
) {
    let claim = TakeUpClaim {
        stream: call.stream,
        service: call.service.clone(),
        received: call.queued,
        is_list_current: state.table.versions.is_list_current(now),
    };
    let (take_up, queries) = state.origins.check(&claim, &state.table.versions.history, now);
    for (vm, query) in queries {
        send_to_vm(state, &FleetMessage::OriginQuery(query), &vm);
    }
    match take_up {
        TakeUp::Any => admit_call(state, call, reply, now),
        TakeUp::Of(version) if call.route.has_service(&version.service) => {
            log_take_up(state, &call, &version.to_string(), now);
            let service = version.service.clone();
            admit_call(state, ServingCall { service, origin: Some(version), ..call }, reply, now);
        }
        TakeUp::Of(ServiceVersion { service, .. }) => {
            log_take_up(state, &call, &format!("{service}, left"), now);
            refuse(&call, reply, "the route leads to another service now");
        }
        TakeUp::Pending => state.take_ups.push(WaitingTakeUp { call, reply: reply.clone() }),
        TakeUp::Unknown(cause) => {
            log_take_up(state, &call, &format!("unknown, {cause}"), now);
            let message = format!("it isn't known which version began the stream ({cause})");
            refuse(&call, reply, &message);
        }
    }
}

fn refuse(call: &ServingCall, reply: &Sender<CallAssignment>, message: &str) {
    send_assignment(reply, CallAssignment::Refuse(refuse_take_up(call, message)));
}

fn log_take_up(state: &ControlState, call: &ServingCall, origin: &str, now: MonoTime) {
    let stream = call.stream.map_or_else(|| "-".to_owned(), |stream| stream.to_string());
    log::info!(
        "{} request={} stream={stream} origin={origin:?} mixed={} current={} waited={}",
        EventCode::STREAM_TAKEN_UP,
        call.id,
        state.table.versions.history.is_mixed(&call.service, now),
        state.table.versions.is_list_current(now),
        now.since(call.queued)
    );
}

/// Records that the response to a request has begun whose stream may be taken up.
pub(super) fn record_begin(state: &mut ControlState, id: RequestId, now: MonoTime) {
    let begun = state.scheduler.begun_stream(id, &state.table);
    let Some((stream, upstream, origin)) = begun else { return };
    let versions = &state.table.versions.history;
    let notices = state.origins.record_begin(stream, &upstream, origin, versions, now);
    send_notices(state, notices);
}

fn send_notices(state: &ControlState, notices: Vec<(VmId, OriginNotice)>) {
    for (vm, notice) in notices {
        send_to_vm(state, &FleetMessage::Origins(notice), &vm);
    }
}

fn handle_message(state: &mut ControlState, message: &FleetMessage, now: MonoTime) {
    match message {
        FleetMessage::Origins(notice) => state.origins.handle_notice(notice, now),
        FleetMessage::OriginReply(reply) => state.origins.handle_reply(reply, now),
        FleetMessage::OriginQuery(query) => {
            let reply = state.origins.handle_query(query, &state.table.versions.history, now);
            send_to_vm(state, &FleetMessage::OriginReply(reply), &query.vm);
        }
        _ => {}
    }
}

fn update_horizon(state: &mut ControlState) {
    let resumable = state.config.routes.iter().filter(|route| route.kind.is_resumable());
    let longest = resumable.map(|route| route.timeout).max().unwrap_or_default();
    state.table.versions.history.update_horizon(longest * TIMEOUTS_IN_HORIZON);
}

/// Applies the stored trace.
fn restore_trace(state: &mut ControlState, values: &[StoredValue], now: MonoTime) {
    let prefix = state.codec.record_layout.fleet_prefix.clone();
    let trace = values.iter().find_map(|value| match decode_fleet_record(&prefix, value) {
        Some(FleetRecord::OriginTrace(trace)) => Some(trace),
        _ => None,
    });
    let is_missing = trace.is_none();
    // One that can't be read says nothing of what served.
    let Some(trace) = trace.unwrap_or_else(|| Some(OriginTrace::default())) else { return };
    state.origins.restore(&trace, now);
    let is_first = state.origin_tracer.is_none();
    // Without a trace, a process that was restarted can't know what served before.
    if !(is_first && is_missing && state.has_predecessor) {
        state.table.versions.restore(&trace.versions, now);
    }
    match &mut state.origin_tracer {
        // The writer knows better what it has stored than a read that may be older.
        Some(tracer) if !state.origins.is_writer() => tracer.update_stored(trace),
        Some(_) => {}
        None => state.origin_tracer = Some(OriginTracer::new(trace)),
    }
}

/// Stores which versions serve, and which began the latest streams of services that have several, if that
/// is up to this entry.
fn store_trace(state: &mut ControlState, now: MonoTime) {
    // One that was out of contact would replace what others have stored meanwhile.
    if !state.origins.is_writer() || !state.table.versions.is_list_current(now) {
        return;
    }
    let Some(tracer) = state.origin_tracer.as_mut() else { return };
    if !tracer.begin_check(now) {
        return;
    }
    let versions = &state.table.versions.history;
    if tracer.has_versions(&versions.all(now)) && !state.origins.take_log_change() {
        return;
    }
    let trace = state.origins.trace(versions, now);
    if tracer.record_trace(&trace)
        && state.record_writes.send(RecordWrite::PutOrigins(trace)).is_err()
    {
        log::error!("the thread that writes records ended before the control thread");
    }
}
