//! Controllers of the status of upstreams and of the orders to them.

use gentian_core::peer::PeerMessage;
use gentian_core::{EventCode, MonoTime, OrderId, TimeSpan, UpstreamId};
use gentian_decide::placement::{OrderKind, OrderOutcome, PlacementOrder};

use super::{ControlEvent, ControlState};

/// Shortest interval between status calls to one upstream.
const POLL_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Shortest average interval between two status calls of this process, to any upstream; bounds the
/// work in a large fleet.
const POLL_SPACING: TimeSpan = TimeSpan::from_millis(1);
/// Shortest interval between status calls to an upstream that does not answer.
const LOST_POLL_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// Handles reports of upstreams and outcomes of orders.
pub(super) fn handle_reports(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::Report(upstream, report, requested_at) => {
            state.polled_at.insert(upstream.clone(), Some(*requested_at));
            update_liveness(state, upstream, report.is_some());
            for seat in state.seats.values_mut() {
                if let Some(allocator) = seat.share() {
                    match report {
                        Some(report) => allocator.record_boot(upstream, report.boot, now),
                        None => allocator.record_no_response(upstream),
                    }
                }
                if let (Some(planner), Some(report)) = (seat.placement(), report) {
                    planner.handle_report(report.clone(), *requested_at);
                }
            }
        }
        ControlEvent::OrderFinished(upstream, id, outcome) => {
            log_order_outcome(upstream, *id, *outcome);
            for seat in state.seats.values_mut() {
                if let Some(planner) = seat.placement() {
                    planner.handle_outcome(upstream, *id, *outcome, now);
                }
            }
        }
        _ => {}
    }
}

/// Sends the status calls that are due, while this process holds a seat.
pub(super) fn poll_upstreams(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    let holds_seat = state.seats.values().any(|seat| seat.holder.is_some());
    if !holds_seat || now < state.sweep_due {
        return;
    }
    let count = u64::try_from(state.set.upstreams.len()).unwrap_or(u64::MAX);
    let interval = POLL_INTERVAL.max(POLL_SPACING * count);
    for spec in state.set.upstreams.values() {
        let polled_at = state.polled_at.entry(spec.id.clone()).or_insert(Some(MonoTime::ORIGIN));
        let is_live = state.live.get(&spec.id).copied().unwrap_or(true);
        let poll_interval = if is_live { interval } else { interval.max(LOST_POLL_INTERVAL) };
        let is_due = polled_at.is_some_and(|requested_at| now.since(requested_at) >= poll_interval);
        if is_due && state.io.poll_status(spec, now) {
            *polled_at = None;
        }
    }
}

/// Runs the planner and sends its orders: on each sweep, and at once when an entry requests a
/// placement.
pub(super) fn send_orders(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let is_placement_request =
        matches!(event, ControlEvent::Peer(PeerMessage::PlacementRequest(_), _));
    if now < state.sweep_due && !is_placement_request {
        return;
    }
    let mut orders: Vec<PlacementOrder> = Vec::new();
    for seat in state.seats.values_mut() {
        let is_acting = seat.is_acting(now);
        if let Some(planner) = seat.placement().filter(|_| is_acting) {
            orders.extend(planner.decide(now));
        }
    }
    for order in orders {
        log_order(&order);
        state.page.orders.with_label_values(&[order.kind.to_string().as_str(), "sent"]).inc();
        if let Some(spec) = state.set.upstreams.get(&order.upstream) {
            state.io.send_order(order, spec.address);
        }
    }
}

fn update_liveness(state: &mut ControlState, upstream: &UpstreamId, is_live: bool) {
    if state.live.insert(upstream.clone(), is_live) == Some(is_live) {
        return;
    }
    if is_live {
        log::info!("{} upstream={upstream}", EventCode::UPSTREAM_SEEN);
    } else {
        log::warn!("{} upstream={upstream}", EventCode::UPSTREAM_LOST);
    }
}

fn log_order(order: &PlacementOrder) {
    let code = match order.kind {
        OrderKind::Load => EventCode::LOAD_ORDERED,
        OrderKind::Unload => EventCode::UNLOAD_ORDERED,
    };
    log::info!(
        "{code} order={} upstream={} target={} memory={} reason={}",
        order.id,
        order.upstream,
        order.target,
        order.memory,
        order.reason
    );
}

/// Logs the outcome of an order; the events are the same for loads and unloads.
fn log_order_outcome(upstream: &UpstreamId, id: OrderId, outcome: OrderOutcome) {
    match outcome {
        OrderOutcome::Done => log::info!("{} order={id} upstream={upstream}", EventCode::LOAD_DONE),
        OrderOutcome::Refused | OrderOutcome::Unknown => {
            log::warn!("{} order={id} upstream={upstream} end={outcome:?}", EventCode::LOAD_FAILED);
        }
    }
}
