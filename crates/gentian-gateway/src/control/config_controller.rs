//! Controller of the configuration in force and of the drained failure domains.

use std::sync::Arc;

use gentian_core::peer::{FleetMessage, OperatorNotice};
use gentian_core::{EventCode, MonoTime, StoreRevision};
use gentian_process::StoredValue;

use super::fleet_broadcast::broadcast;
use super::{ControlEvent, ControlState, StoreRecords};

/// Applies changed records of the operators, and updates which failure domains are drained.
pub(super) fn handle_operator_records(
    state: &mut ControlState,
    event: &ControlEvent,
    now: MonoTime,
) {
    if let ControlEvent::Store(StoreRecords::Operator { values, snapshot }) = event {
        let config_key = state.codec.record_layout.config_key.clone();
        for value in values.iter().filter(|value| value.key == config_key) {
            apply_config(state, value, now);
        }
        apply_drains(state, values, *snapshot, now);
        update_operator_revision(state, values, now);
    }
    update_drained(state, now);
}

/// Records the revision of the newest of these records. The hub tells the other entries, whose
/// watches may never be answered.
fn update_operator_revision(state: &mut ControlState, values: &[StoredValue], now: MonoTime) {
    let newest = values.iter().map(|value| value.revision).max().unwrap_or_default();
    if !values.is_empty() {
        state.eras.record(newest.era(), now);
    }
    if newest <= state.operator_revision {
        return;
    }
    state.operator_revision = newest;
    if state.hub.is_some() {
        broadcast(state, FleetMessage::Operators(OperatorNotice { revision: newest }), now);
    }
}

fn apply_config(state: &mut ControlState, value: &StoredValue, now: MonoTime) {
    let Some(bytes) = &value.value else { return };
    let config = match (state.codec.decode_config)(&value.key, bytes) {
        Ok(config) => config,
        Err(error) => {
            let code = EventCode::CONFIG_DAMAGED;
            log::error!("{code} revision={} cause={error:#}", value.revision);
            return;
        }
    };
    // A repeated read returns the version in force again; versions only increase.
    if config.version <= state.config.version {
        if config.version < state.config.version {
            let (code, in_force) = (EventCode::CONFIG_OUTDATED, state.config.version);
            let (version, revision) = (config.version, value.revision);
            log::warn!("{code} version={version} revision={revision} in_force={in_force}");
        }
        return;
    }
    for fault in config.check_references() {
        log::warn!("{} version={} fault={fault:?}", EventCode::CONFIG_DAMAGED, config.version);
    }
    log::info!(
        "{} version={} revision={} routes={} services={} organisations={}",
        EventCode::CONFIG_IN_FORCE,
        config.version,
        value.revision,
        config.routes.len(),
        config.services.len(),
        config.organisations.len()
    );
    state.metrics.config_version.set(i64::try_from(config.version.get()).unwrap_or(i64::MAX));
    state.config = Arc::new(config);
    state.table.update(Arc::clone(&state.config));
    state.scheduler.update(&state.config, now);
    if let Some(hub) = &mut state.hub {
        hub.planner.update(Arc::clone(&state.config));
    }
    state.update_view(|view| view.config = Some(Arc::clone(&state.config)));
}

fn apply_drains(
    state: &mut ControlState,
    values: &[StoredValue],
    snapshot: Option<StoreRevision>,
    now: MonoTime,
) {
    let codec = Arc::clone(&state.codec);
    let drains = values.iter().filter_map(|value| {
        Some(((codec.decode_drained_domain)(&value.key)?, value.value.is_some()))
    });
    match snapshot {
        Some(revision) => {
            let drained = drains.filter(|(_, is_drained)| *is_drained);
            let domains = drained.map(|(domain, _)| domain).collect();
            state.drained_domains.replace(domains, revision, now);
        }
        None => {
            drains.for_each(|(domain, is_drained)| state.drained_domains.apply(domain, is_drained));
        }
    }
}

fn update_drained(state: &mut ControlState, now: MonoTime) {
    let drained = state.drained_domains.current(now);
    if drained != state.drained {
        let names: Vec<String> = drained.iter().map(ToString::to_string).collect();
        log::info!("{} domains={}", EventCode::DOMAINS_DRAINED, names.join(","));
        state.drained = drained.clone();
        state.table.update_drained_domains(drained);
    }
}
