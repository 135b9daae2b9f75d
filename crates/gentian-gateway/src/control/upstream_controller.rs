//! Controller: the upstreams that have registered.

use std::sync::Arc;

use gentian_core::{EventCode, FastSet, MonoTime, UpstreamId};
use gentian_decide::serving::{UpstreamRegistration, UpstreamState};

use super::{ControlEvent, ControlState, FrontView, StoreChange};

/// Follows the registrations of upstreams.
pub(super) fn follow_upstreams(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let ControlEvent::Store(StoreChange::Upstreams(values, revision)) = event else { return };
    let mut entries = Vec::new();
    for value in values {
        let Some(bytes) = &value.value else { continue };
        match (state.dialect.decode_registration)(&value.key, bytes) {
            Ok(entry) => entries.push(entry.with_revision(value.revision)),
            Err(error) => {
                log::debug!("registration {} passed over: {error:#}", value.key);
            }
        }
    }
    log_changes(state, &entries);
    let has_upstreams = !entries.is_empty();
    if let Some(hub) = &mut state.hub {
        let listings = entries.iter().map(UpstreamRegistration::listing);
        hub.hub.update_listings(listings, *revision, now);
    }
    state.table.update_registrations(entries, *revision, now);
    if let Some(hub) = &mut state.hub {
        hub.planner.update_engines(&state.table, now);
        let planner = &hub.planner;
        hub.hub.retain_rows(|id| planner.has_engine(id));
    }
    let view = state.view.load();
    if has_upstreams && !view.has_upstreams {
        let config = view.config.clone();
        state.view.store(Arc::new(FrontView { config, has_upstreams }));
    }
}

fn log_changes(state: &ControlState, entries: &[UpstreamRegistration]) {
    let listed: FastSet<&UpstreamId> = entries.iter().map(|entry| &entry.id).collect();
    for row in state.table.rows().filter(|row| !listed.contains(&row.registration.id)) {
        if row.registration.state == UpstreamState::Ready {
            log::info!(
                "{} upstream={} cause=unlisted",
                EventCode::UPSTREAM_LOST,
                row.registration.id
            );
        }
    }
    for entry in entries {
        let known = state.table.rows().find(|row| row.registration.id == entry.id);
        if known.is_some_and(|row| {
            row.registration.incarnation == entry.incarnation
                && row.registration.state == entry.state
        }) {
            continue;
        }
        log::info!(
            "{} upstream={} service={} address={} domain={} state={:?} born={} cold={}",
            EventCode::UPSTREAM_SEEN,
            entry.id,
            entry.service,
            entry.address,
            entry.domain,
            entry.state,
            entry.incarnation,
            entry.cold_remaining
        );
    }
}
