//! Controller of the registered upstreams.

use gentian_core::peer::UpstreamListing;
use gentian_core::{EventCode, FastSet, FenceNumber, MonoTime, UpstreamId};
use gentian_decide::serving::{UpstreamRegistration, UpstreamState};

use super::hub_controller::{report_list_read, send_listings};
use super::{ControlEvent, ControlState, StoreRecords};

/// Longest cause in the log line of a record that can't be read.
const MAX_CAUSE_CHARS: usize = 160;

/// Applies the current list of upstream registrations.
pub(super) fn handle_registrations(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let ControlEvent::Store(StoreRecords::Upstreams { values, revision, fresh_since }) = event
    else {
        return;
    };
    state.eras.record(revision.era(), now);
    if let Some(sent) = fresh_since {
        state.hub_client.record_own_list(*sent);
    }
    let mut registrations = Vec::new();
    for value in values {
        let Some(bytes) = &value.value else { continue };
        match (state.codec.decode_registration)(&value.key, bytes) {
            Ok(registration) => registrations.push(registration.with_revision(value.revision)),
            Err(error) => state.log_odd_record(value, &short_cause(&error)),
        }
    }
    log_changes(state, &registrations, now);
    let has_upstreams = !registrations.is_empty();
    state.table.update_registrations(registrations.clone(), *revision, now);
    if let Some(sent) = fresh_since {
        state.table.versions.record_list_time(*sent);
        report_list_read(state, *revision);
    }
    if let Some(hub) = &mut state.hub {
        // A listing is the part of a registration that entries get from the hub.
        let table = &state.table;
        let listings = registrations.iter().map(|registration| {
            let is_outdated = table.is_outdated(registration, now);
            let listing = registration.listing();
            UpstreamListing { is_ready: listing.is_ready && !is_outdated, ..listing }
        });
        hub.fleet_hub.update_listings(listings, *revision, now);
        hub.fleet_hub.update_registered_models(&registrations);
        hub.planner.update_engines(&state.table, now);
        let planner = &hub.planner;
        hub.fleet_hub.retain_resident_models(|id| planner.has_engine(id));
        send_listings(state, now);
    }
    if has_upstreams && !state.view.load().has_upstreams {
        state.update_view(|view| view.has_upstreams = true);
    }
}

/// Records the starts that reports name other than registrations.
pub(super) fn handle_reported_starts(
    state: &mut ControlState,
    event: &ControlEvent,
    _now: MonoTime,
) {
    let ControlEvent::StartReported { upstream, incarnation, start } = event else { return };
    let is_new = state.table.record_reported_start(upstream, *incarnation, *start);
    if let Some(start) = start.filter(|_| is_new) {
        let code = EventCode::UPSTREAM_RETURNED;
        log::info!("{code} upstream={upstream} listed={incarnation} reported={start}");
    }
}

/// Returns the cause for a log line; a parser may quote much of an odd record.
fn short_cause(error: &eyre::Report) -> String {
    format!("{error:#}").chars().take(MAX_CAUSE_CHARS).collect()
}

fn log_changes(state: &ControlState, registrations: &[UpstreamRegistration], now: MonoTime) {
    let listed: FastSet<&UpstreamId> =
        registrations.iter().map(|registration| &registration.id).collect();
    for row in state.table.rows().filter(|row| !listed.contains(&row.registration.id)) {
        if row.registration.state == UpstreamState::Ready {
            log::info!(
                "{} upstream={} cause=unlisted",
                EventCode::UPSTREAM_LOST,
                row.registration.id
            );
        }
    }
    for registration in registrations.iter().filter(|it| state.table.is_news(it, now)) {
        log_registration(registration, None);
    }
}

/// Logs a registration that is news to this entry. The entry has read it, or the hub with this
/// fencing number has listed it.
pub(super) fn log_registration(registration: &UpstreamRegistration, hub: Option<FenceNumber>) {
    let source = hub.map_or_else(|| "read".to_owned(), |fence| format!("hub fence={fence}"));
    log::info!(
        "{} upstream={} service={} address={} domain={} version={} state={:?} born={} cold={} \
         revision={} source={source}",
        EventCode::UPSTREAM_SEEN,
        registration.id,
        registration.service,
        registration.address,
        registration.domain,
        registration.version.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string),
        registration.state,
        registration.incarnation,
        registration.cold_remaining,
        registration.revision
    );
}
