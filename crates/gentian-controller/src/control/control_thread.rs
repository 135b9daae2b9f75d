//! Event loop of the control thread.

use std::time::Duration;

use flume::{Receiver, RecvTimeoutError};
use gentian_core::{EventCode, MonoTime, TimeSpan};
use gentian_decide::control::{ControllerSet, StateController};
use gentian_process::ProcessClock;
use serde_json::json;

use super::{
    ControlEvent, ControlState, member_controller, order_controller, seat_controller,
    share_controller,
};

/// Longest wait for an event; controllers run at least this often.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time to release the seats after a stop signal.
const RELEASE_TIMEOUT: TimeSpan = TimeSpan::from_millis(3_000);
/// Interval between updates of the status page.
const STATUS_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// Passes each event to all controllers until the process has received a stop signal and released
/// its seats, or the time for that is over.
pub(crate) fn run_control(
    mut state: ControlState,
    events: Receiver<ControlEvent>,
    clock: ProcessClock,
) {
    let controllers = build_controllers();
    log::debug!("controllers: {}", controllers.names().collect::<Vec<_>>().join(", "));
    let mut release_deadline: Option<MonoTime> = None;
    let mut status_due = clock.now();
    loop {
        let event = match events.recv_timeout(TICK_INTERVAL) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => ControlEvent::Tick,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let now = clock.now();
        controllers.step(&mut state, &event, now);
        if matches!(event, ControlEvent::Stop) {
            release_deadline = Some(now + RELEASE_TIMEOUT);
        }
        if now >= status_due {
            status_due = now + STATUS_INTERVAL;
            update_status(&state, now);
        }
        let has_released = state.seats.values().all(|seat| seat.election.has_released());
        if release_deadline.is_some_and(|deadline| has_released || now >= deadline) {
            // Logged for every seat, also for one that this process did not hold or did not release
            // in time.
            state.seats.keys().for_each(|seat| {
                log::info!("{} seat={seat}", EventCode::SEAT_RELEASED);
            });
            state.io.join();
            return;
        }
    }
}

fn build_controllers() -> ControllerSet<ControlState, ControlEvent> {
    ControllerSet::new()
        .with_controller(StateController::new("configuration", member_controller::update_config))
        .with_controller(StateController::new(
            "config-answers",
            member_controller::handle_contact_and_queries,
        ))
        .with_controller(StateController::new("members", member_controller::update_members))
        .with_controller(StateController::new("vm-list", member_controller::update_vm_list))
        .with_controller(StateController::new("seat-events", seat_controller::handle_seat_events))
        .with_controller(StateController::new("seats", seat_controller::run_elections))
        .with_controller(StateController::new("reports", order_controller::handle_reports))
        .with_controller(StateController::new("asks", share_controller::reply_to_requests))
        .with_controller(StateController::new("status", order_controller::poll_upstreams))
        .with_controller(StateController::new("orders", order_controller::send_orders))
        .with_controller(StateController::new("sweep", seat_controller::schedule_sweep))
}

fn update_status(state: &ControlState, now: MonoTime) {
    let acting: Vec<String> = state
        .seats
        .iter()
        .filter_map(|(seat, local_seat)| {
            Some(format!("{seat}@{}", local_seat.election.acting_fence(now)?))
        })
        .collect();
    state.page.acting.set(i64::try_from(acting.len()).unwrap_or(i64::MAX));
    let traffic = state.socket.traffic();
    let status = json!({
        "role": "controller",
        "vm": state.own_elector.vm.to_string(),
        "instance": state.own_elector.instance.to_string(),
        "ready": state.version.get() > 0,
        "config_version": state.version.get(),
        "acting_seats": acting,
        "members": state.members.len(),
        "live_upstreams": state.live.values().filter(|is_live| **is_live).count(),
        "datagram_bytes_sent": traffic.sent,
        "datagram_bytes_received": traffic.received,
    });
    state.page.set_text(status.to_string());
}
