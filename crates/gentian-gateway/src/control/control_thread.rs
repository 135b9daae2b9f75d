//! Event loop of the control thread.

use std::time::Duration;

use flume::{Receiver, RecvTimeoutError};
use gentian_core::{MonoTime, TimeSpan};
use gentian_http::ProcessClock;

use super::gateway_controllers::gateway_controllers;
use super::take_up_controller::take_ups_due;
use super::{ControlEvent, ControlState};

/// Longest wait for an event; controllers run at least this often. The lease relies on it, since
/// `next_due` contains no time for its calls.
const IDLE_WAIT: TimeSpan = TimeSpan::from_millis(100);
/// Shortest wait for an event, so that a due time in the past does not make the thread spin.
const SHORTEST_WAIT: TimeSpan = TimeSpan::from_millis(1);

/// Passes each event to all controllers until the process stops.
pub(crate) fn run_control(
    mut state: ControlState,
    events: Receiver<ControlEvent>,
    clock: ProcessClock,
) {
    let controllers = gateway_controllers();
    log::debug!("controllers: {}", controllers.names().collect::<Vec<_>>().join(", "));
    loop {
        let now = clock.now();
        let wait = next_due(&state, now).since(now).clamp(SHORTEST_WAIT, IDLE_WAIT);
        let event = match events.recv_timeout(Duration::from(wait)) {
            Ok(ControlEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => ControlEvent::Tick,
        };
        state.wall_time = clock.wall_time();
        controllers.step(&mut state, &event, clock.now());
    }
}

fn next_due(state: &ControlState, now: MonoTime) -> MonoTime {
    let hub = state.hub.as_ref();
    let calls_due = hub.and_then(|hub| hub.planner.due(now));
    let round_due = hub.and_then(|hub| hub.deferred_plan_at);
    let dues = [
        state.scheduler.due(now),
        calls_due,
        round_due,
        Some(state.hub_client.due(&state.scheduler)),
        state.quarantine.due(),
        state.message_repeats.due(),
        take_ups_due(state, now),
        state.table.permits.due(),
    ];
    dues.into_iter().flatten().min().unwrap_or(now + IDLE_WAIT)
}
