//! The loop of the control thread.

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

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(25);
/// Longest time for handing seats over.
const LEAVE_LIMIT: TimeSpan = TimeSpan::from_millis(3_000);
/// Time between two refreshes of the status page.
const PAGE_EVERY: TimeSpan = TimeSpan::from_millis(500);

/// Shows each event to each controller until the process has handed its seats over.
pub(crate) fn run_control(
    mut state: ControlState,
    events: Receiver<ControlEvent>,
    clock: ProcessClock,
) {
    let controllers = seat_controllers();
    log::debug!("controllers: {}", controllers.names().collect::<Vec<_>>().join(", "));
    let mut stop_by: Option<MonoTime> = None;
    let mut page_due = clock.now();
    loop {
        let event = match events.recv_timeout(TICK) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => ControlEvent::Tick,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let now = clock.now();
        controllers.step(&mut state, &event, now);
        if matches!(event, ControlEvent::Stop) {
            stop_by = Some(now + LEAVE_LIMIT);
        }
        if now >= page_due {
            page_due = now + PAGE_EVERY;
            write_page(&state, now);
        }
        let has_left = state.seats.values().all(|row| row.keeper.has_released());
        if stop_by.is_some_and(|limit| has_left || now >= limit) {
            state.seats.keys().for_each(|seat| {
                log::info!("{} seat={seat}", EventCode::SEAT_RELEASED);
            });
            state.io.join();
            return;
        }
    }
}

fn seat_controllers() -> ControllerSet<ControlState, ControlEvent> {
    ControllerSet::new()
        .with_controller(StateController::new("configuration", member_controller::follow_config))
        .with_controller(StateController::new("config-answers", member_controller::answer_config))
        .with_controller(StateController::new("members", member_controller::follow_members))
        .with_controller(StateController::new("vm-list", member_controller::follow_vm_list))
        .with_controller(StateController::new("seat-events", seat_controller::take_seat_events))
        .with_controller(StateController::new("seats", seat_controller::keep_seats))
        .with_controller(StateController::new("reports", order_controller::take_reports))
        .with_controller(StateController::new("asks", share_controller::answer_asks))
        .with_controller(StateController::new("status", order_controller::poll_upstreams))
        .with_controller(StateController::new("orders", order_controller::send_orders))
        .with_controller(StateController::new("sweep", seat_controller::note_sweep))
}

fn write_page(state: &ControlState, now: MonoTime) {
    let acting: Vec<String> = state
        .seats
        .iter()
        .filter_map(|(seat, row)| Some(format!("{seat}@{}", row.keeper.may_act(now)?)))
        .collect();
    state.page.acting.set(i64::try_from(acting.len()).unwrap_or(i64::MAX));
    let traffic = state.socket.traffic();
    let status = json!({
        "role": "controller",
        "vm": state.own.vm.to_string(),
        "instance": state.own.instance.to_string(),
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
