//! The controllers of a gateway.

use gentian_decide::control::{ControllerSet, StateController};

use super::call_controller::{start_calls, take_calls};
use super::config_controller::follow_config;
use super::hub_controller::{ask_hub, follow_members, run_hub, take_messages};
use super::lease_controller::keep_lease;
use super::upstream_controller::follow_upstreams;
use super::{ControlEvent, ControlState};

/// Returns the controllers in the order in which each event passes them.
pub(super) fn gateway_controllers() -> ControllerSet<ControlState, ControlEvent> {
    ControllerSet::new()
        .with_controller(StateController::new("configuration", follow_config))
        .with_controller(StateController::new("upstreams", follow_upstreams))
        .with_controller(StateController::new("members", follow_members))
        .with_controller(StateController::new("lease", keep_lease))
        .with_controller(StateController::new("messages", take_messages))
        .with_controller(StateController::new("calls", take_calls))
        .with_controller(StateController::new("dispatch", start_calls))
        .with_controller(StateController::new("hub", run_hub))
        .with_controller(StateController::new("asks", ask_hub))
}
