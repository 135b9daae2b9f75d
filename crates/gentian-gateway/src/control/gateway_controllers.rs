//! The controllers of a gateway in their order.

use gentian_decide::control::{ControllerSet, StateController};

use super::call_controller::{handle_calls, start_calls};
use super::config_controller::follow_config;
use super::hub_controller::{follow_members, handle_messages, report_to_hub, run_hub};
use super::lease_controller::maintain_lease;
use super::upstream_controller::follow_upstreams;
use super::{ControlEvent, ControlState};

/// Returns the controllers in the order in which they handle each event.
pub(super) fn gateway_controllers() -> ControllerSet<ControlState, ControlEvent> {
    ControllerSet::new()
        .with_controller(StateController::new("configuration", follow_config))
        .with_controller(StateController::new("upstreams", follow_upstreams))
        .with_controller(StateController::new("members", follow_members))
        .with_controller(StateController::new("lease", maintain_lease))
        .with_controller(StateController::new("messages", handle_messages))
        .with_controller(StateController::new("calls", handle_calls))
        .with_controller(StateController::new("dispatch", start_calls))
        .with_controller(StateController::new("hub", run_hub))
        .with_controller(StateController::new("asks", report_to_hub))
}
