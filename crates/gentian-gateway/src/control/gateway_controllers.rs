//! The controllers of a gateway in their order.

use gentian_decide::control::{ControllerSet, StateController};

use super::call_controller::{handle_calls, start_calls};
use super::config_controller::handle_operator_records;
use super::duty_controller::{handle_duties, run_duties};
use super::fleet_broadcast::repeat_messages;
use super::hub_controller::{handle_fleet_records, handle_messages, report_to_hub, run_hub};
use super::lease_controller::maintain_lease;
use super::permit_controller::{handle_permits, request_permits};
use super::quarantine_controller::handle_quarantine;
use super::take_up_controller::{decide_take_ups, handle_origins};
use super::upstream_controller::{handle_registrations, handle_reported_starts};
use super::use_controller::{handle_uses, report_uses};
use super::version_controller::handle_versions;
use super::{ControlEvent, ControlState};

/// Returns the controllers in the order in which they handle each event.
pub(super) fn gateway_controllers() -> ControllerSet<ControlState, ControlEvent> {
    ControllerSet::new()
        .with_controller(StateController::new("configuration", handle_operator_records))
        .with_controller(StateController::new("upstreams", handle_registrations))
        .with_controller(StateController::new("starts", handle_reported_starts))
        .with_controller(StateController::new("members", handle_fleet_records))
        .with_controller(StateController::new("lease", maintain_lease))
        .with_controller(StateController::new("messages", handle_messages))
        .with_controller(StateController::new("versions", handle_versions))
        .with_controller(StateController::new("uses", handle_uses))
        .with_controller(StateController::new("quarantine", handle_quarantine))
        .with_controller(StateController::new("duty-messages", handle_duties))
        .with_controller(StateController::new("permits", handle_permits))
        .with_controller(StateController::new("origins", handle_origins))
        .with_controller(StateController::new("calls", handle_calls))
        .with_controller(StateController::new("take-ups", decide_take_ups))
        .with_controller(StateController::new("dispatch", start_calls))
        .with_controller(StateController::new("permit-requests", request_permits))
        .with_controller(StateController::new("repeats", repeat_messages))
        .with_controller(StateController::new("hub", run_hub))
        .with_controller(StateController::new("duties", run_duties))
        .with_controller(StateController::new("use-reports", report_uses))
        .with_controller(StateController::new("asks", report_to_hub))
}
