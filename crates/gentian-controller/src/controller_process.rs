//! Starts and stops the threads of a controller.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use gentian_core::peer::{MemberRole, SeatElector};
use gentian_core::{EventCode, InstanceId};
use gentian_http::{AdminPages, join_threads};
use gentian_process::{
    PeerSocket, ProcessClock, SeatStore, StateWatcher, StopSignal, connect_etcd, read_settings,
    start_member_writer,
};
use prometheus::TextEncoder;

use crate::control::{ControlEvent, ControlState, StatusPage, run_control, send_event};
use crate::io::{IoThreads, poll_vm_list};

/// Runs a controller until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if the settings have faults, a port cannot be opened or a thread cannot be
/// started.
pub(crate) fn run_controller(settings: &Path) -> eyre::Result<()> {
    let (process, ()) = read_settings(settings, "controller", |_| Some(()))?;
    let instance = InstanceId::new(rand::random());
    let clock = ProcessClock::new();
    let service = Arc::new(connect_etcd(process.key_value_address));
    let socket = PeerSocket::new(process.peer_address, process.cluster_key.clone())?;
    let page = StatusPage::new()?;
    let shutdown = Arc::new(AtomicBool::new(false));
    let (control, events) = flume::unbounded();
    let stop_events = control.clone();
    let signal = StopSignal::new(move || {
        log::info!("{}", EventCode::PROCESS_STOPPING);
        send_event(&stop_events, ControlEvent::Stop);
    })?;

    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let peer_events = control.clone();
    threads.push(socket.receive(Arc::clone(&shutdown), move |message, from| {
        send_event(&peer_events, ControlEvent::Peer(message, from));
    })?);
    let state_events = control.clone();
    let watcher = StateWatcher::new(Arc::clone(&service), clock, Arc::clone(&shutdown));
    threads
        .push(watcher.start(move |change| send_event(&state_events, ControlEvent::State(change)))?);
    let member = process.member(MemberRole::Controller, instance);
    threads.push(start_member_writer(Arc::clone(&service), member, Arc::clone(&shutdown))?);
    if let Some(address) = process.vm_list_address {
        let vm_list_events = control.clone();
        let handle_list = move |vm_list| send_event(&vm_list_events, ControlEvent::VmList(vm_list));
        threads.push(poll_vm_list(address, Arc::clone(&shutdown), handle_list)?);
    }
    threads.push(admin_pages(&page).serve(process.admin_address, Arc::clone(&shutdown))?);
    log::info!("{} vm={} instance={instance}", EventCode::PROCESS_STARTED, process.vm);

    let own_elector =
        SeatElector { vm: process.vm.clone(), instance, address: process.peer_address };
    let io = IoThreads::new(control, SeatStore::new(service), clock);
    let state = ControlState::new(own_elector, io, socket, page);
    let control_thread = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || run_control(state, events, clock))?;
    join_threads([control_thread]);
    shutdown.store(true, Ordering::Release);
    signal.join();
    join_threads(threads);
    log::info!("{}", EventCode::PROCESS_STOPPED);
    Ok(())
}

fn admin_pages(page: &StatusPage) -> AdminPages {
    let (ready, status, registry) = (page.clone(), page.clone(), page.registry.clone());
    AdminPages::new(
        move || ready.text().contains("\"ready\":true"),
        move || TextEncoder::new().encode_to_string(&registry.gather()).unwrap_or_default(),
        move || status.text(),
    )
}
