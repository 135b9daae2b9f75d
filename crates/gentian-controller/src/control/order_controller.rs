//! Controller: status of the upstreams, and orders to them.

use gentian_core::peer::PeerMessage;
use gentian_core::{EventCode, MonoTime, OrderId, TimeSpan, UpstreamId};
use gentian_decide::placement::{OrderKind, OrderOutcome, PlacementOrder};

use super::{ControlEvent, ControlState};

/// Shortest time between two status calls of one upstream.
const POLL_EVERY: TimeSpan = TimeSpan::from_millis(200);
/// Time between two status calls of any upstream, which bounds the work of the whole.
const POLL_SPACING: TimeSpan = TimeSpan::from_millis(1);
/// Time between two status calls of an upstream that does not answer.
const SILENT_POLL_EVERY: TimeSpan = TimeSpan::from_millis(1_000);

/// Takes the status of upstreams and the ends of orders in.
pub(super) fn take_reports(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::Report(upstream, report, asked) => {
            state.polled.insert(upstream.clone(), Some(*asked));
            note_liveness(state, upstream, report.is_some());
            for row in state.seats.values_mut() {
                if let Some(holder) = row.share() {
                    match report {
                        Some(report) => holder.record_boot(upstream, report.boot, now),
                        None => holder.record_no_response(upstream),
                    }
                }
                if let (Some(planner), Some(report)) = (row.placement(), report) {
                    planner.handle_report(report.clone(), *asked);
                }
            }
        }
        ControlEvent::OrderEnd(upstream, id, end) => {
            note_order_end(upstream, *id, *end);
            for row in state.seats.values_mut() {
                if let Some(planner) = row.placement() {
                    planner.handle_outcome(upstream, *id, *end, now);
                }
            }
        }
        _ => {}
    }
}

/// Asks each upstream for its status, while this process holds a seat.
pub(super) fn poll_upstreams(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    let has_duty = state.seats.values().any(|row| row.held.is_some());
    if !has_duty || now < state.sweep_due {
        return;
    }
    let count = u64::try_from(state.set.upstreams.len()).unwrap_or(u64::MAX);
    let usual = POLL_EVERY.max(POLL_SPACING * count);
    for spec in state.set.upstreams.values() {
        let polled = state.polled.entry(spec.id.clone()).or_insert(Some(MonoTime::ORIGIN));
        let is_live = state.live.get(&spec.id).copied().unwrap_or(true);
        let every = if is_live { usual } else { usual.max(SILENT_POLL_EVERY) };
        let is_due = polled.is_some_and(|asked| now.since(asked) >= every);
        if is_due && state.io.poll_status(spec, now) {
            *polled = None;
        }
    }
}

/// Lets the planner decide and sends its orders.
pub(super) fn send_orders(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let is_demand = matches!(event, ControlEvent::Peer(PeerMessage::PlacementRequest(_), _));
    if now < state.sweep_due && !is_demand {
        return;
    }
    let mut orders: Vec<PlacementOrder> = Vec::new();
    for row in state.seats.values_mut() {
        let is_acting = row.is_acting(now);
        if let Some(planner) = row.placement().filter(|_| is_acting) {
            orders.extend(planner.decide(now));
        }
    }
    for order in orders {
        note_order(&order);
        state.page.orders.with_label_values(&[order.kind.to_string().as_str(), "sent"]).inc();
        if let Some(spec) = state.set.upstreams.get(&order.upstream) {
            state.io.send_order(order, spec.address);
        }
    }
}

fn note_liveness(state: &mut ControlState, upstream: &UpstreamId, is_live: bool) {
    if state.live.insert(upstream.clone(), is_live) == Some(is_live) {
        return;
    }
    if is_live {
        log::info!("{} upstream={upstream}", EventCode::UPSTREAM_SEEN);
    } else {
        log::warn!("{} upstream={upstream}", EventCode::UPSTREAM_LOST);
    }
}

fn note_order(order: &PlacementOrder) {
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

fn note_order_end(upstream: &UpstreamId, id: OrderId, end: OrderOutcome) {
    match end {
        OrderOutcome::Done => log::info!("{} order={id} upstream={upstream}", EventCode::LOAD_DONE),
        OrderOutcome::Refused | OrderOutcome::Unknown => {
            log::warn!("{} order={id} upstream={upstream} end={end:?}", EventCode::LOAD_FAILED);
        }
    }
}
