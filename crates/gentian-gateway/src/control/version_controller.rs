//! Controller of the versions of upstreams.

use gentian_core::peer::{FleetMessage, VersionQuery, VersionReply};
use gentian_core::{EventCode, MonoTime};

use super::fleet_broadcast::send_to_vm;
use super::{ControlEvent, ControlState, StoreRecords};

/// Asks the hub for the versions of upstreams that it has listed, and replies to the entries that ask.
pub(super) fn handle_versions(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::Store(StoreRecords::Upstreams { .. }) => {
            state.version_queries.record_listings();
        }
        ControlEvent::Peer(FleetMessage::Summary(summary)) if !summary.listings.is_empty() => {
            state.version_queries.record_listings();
        }
        ControlEvent::Peer(FleetMessage::VersionQuery(query)) => reply(state, query),
        ControlEvent::Peer(FleetMessage::VersionReply(reply)) => apply(state, reply, now),
        _ => {}
    }
    let Some((hub, _)) = state.known_hub.as_ref().filter(|(hub, _)| *hub != state.vm) else {
        return;
    };
    let upstreams = state.version_queries.next_query(state.table.unknown_versions(), now);
    if !upstreams.is_empty() {
        let query = VersionQuery { vm: state.vm.clone(), upstreams };
        send_to_vm(state, &FleetMessage::VersionQuery(query), hub);
    }
}

fn reply(state: &ControlState, query: &VersionQuery) {
    let upstreams = query.upstreams.iter();
    let versions = upstreams.filter_map(|(id, incarnation)| {
        Some((id.clone(), *incarnation, state.table.version(id, *incarnation)?.clone()))
    });
    let reply = VersionReply { versions: versions.collect() };
    send_to_vm(state, &FleetMessage::VersionReply(reply), &query.vm);
}

fn apply(state: &mut ControlState, reply: &VersionReply, now: MonoTime) {
    for (id, incarnation, version) in &reply.versions {
        if state.table.record_version(id, *incarnation, version, now) {
            log::info!("{} upstream={id} version={version}", EventCode::VERSION_KNOWN);
        }
    }
}
