//! Event loop of the control thread.

use std::time::Duration;

use flume::{Receiver, RecvTimeoutError};
use gentian_process::ProcessClock;

use super::controllers::entry_controllers;
use super::{ControlEvent, ControlState};

/// Passes each event to all controllers until the process stops.
pub(crate) fn run_control(
    mut state: ControlState,
    events: Receiver<ControlEvent>,
    clock: ProcessClock,
) {
    let controllers = entry_controllers();
    log::debug!("controllers: {}", controllers.names().collect::<Vec<_>>().join(", "));
    loop {
        let now = clock.now();
        let wait = state.dispatcher.due(now).since(now);
        let event = match events.recv_timeout(Duration::from(wait)) {
            Ok(ControlEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => ControlEvent::Tick,
        };
        controllers.step(&mut state, &event, clock.now());
    }
}
