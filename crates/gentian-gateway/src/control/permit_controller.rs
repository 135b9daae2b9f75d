//! Controllers of the limits of requests that upstreams name.

use gentian_core::peer::{FleetMessage, LimitNotice, PermitReply, PermitRequest, RankedPermits};
use gentian_core::{EventCode, MonoTime, RequestRate, UpstreamId};

use super::call_controller::start_calls;
use super::fleet_broadcast::send_to_vm;
use super::{ControlEvent, ControlState};

/// Handles messages on limits and permits, and sets whether a hub grants permits.
pub(super) fn handle_permits(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    state.table.permits.update_hub(state.hub_client.is_connected());
    match event {
        ControlEvent::Peer(FleetMessage::Limit(notice)) => apply_notice(state, notice, now),
        ControlEvent::Peer(FleetMessage::PermitRequest(request)) => {
            grant_unranked(state, request, now);
        }
        ControlEvent::Peer(FleetMessage::RankedPermits(ranked)) => {
            grant_permits(state, ranked, now);
        }
        ControlEvent::Peer(FleetMessage::PermitReply(reply)) => {
            state.table.permits.handle_reply(reply, now);
        }
        _ => {}
    }
}

/// Asks the hub for the permits that requests wait for.
pub(super) fn request_permits(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let Some((hub, _)) = state.known_hub.clone() else { return };
    let ranked = state.table.permits.next_request(&state.vm, state.instance, now);
    let Some(ranked) = ranked else { return };
    if hub == state.vm {
        grant_permits(state, &ranked, now);
        start_calls(state, event, now);
    } else {
        send_to_vm(state, &FleetMessage::RankedPermits(ranked), &hub);
    }
}

fn apply_notice(state: &mut ControlState, notice: &LimitNotice, now: MonoTime) {
    if state.table.apply_limit(notice, now) {
        log_limit(state, &notice.upstream, notice.limit, "notice");
    }
}

/// Logs the changed limit of an upstream and updates the metric.
pub(super) fn log_limit(
    state: &ControlState,
    upstream: &UpstreamId,
    limit: Option<RequestRate>,
    cause: &str,
) {
    let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
    log::info!("{} upstream={upstream} limit={limit} cause={cause}", EventCode::LIMIT_CHANGED);
    let limited = i64::try_from(state.table.limited_count()).unwrap_or(i64::MAX);
    state.metrics.limited_upstreams.set(limited);
}

/// Grants permits to an entry of an earlier version.
fn grant_unranked(state: &mut ControlState, request: &PermitRequest, now: MonoTime) {
    let Some(hub) = &mut state.hub else { return };
    let table = &state.table;
    let reply = hub.permits.handle_request(request, |upstream| table.limit(upstream), now);
    send_reply(state, reply, request, now);
}

fn grant_permits(state: &mut ControlState, ranked: &RankedPermits, now: MonoTime) {
    let Some(hub) = &mut state.hub else { return };
    let table = &state.table;
    let reply = hub.permits.handle_ranked(ranked, |upstream| table.limit(upstream), now);
    send_reply(state, reply, &ranked.request, now);
}

fn send_reply(
    state: &mut ControlState,
    reply: Option<PermitReply>,
    request: &PermitRequest,
    now: MonoTime,
) {
    let Some(reply) = reply else { return };
    if request.vm == state.vm {
        state.table.permits.handle_reply(&reply, now);
    } else {
        send_to_vm(state, &FleetMessage::PermitReply(reply), &request.vm);
    }
}
