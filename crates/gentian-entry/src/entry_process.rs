//! Starts and stops the threads of an entry.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use arc_swap::ArcSwap;
use gentian_core::peer::MemberRole;
use gentian_core::{EventCode, InstanceId};
use gentian_http::forward::BufferBudget;
use gentian_http::{HttpServer, join_threads};
use gentian_process::{
    PeerSocket, ProcessClock, StateWatcher, StopSignal, connect_etcd, read_settings,
    start_member_writer,
};

use crate::chain::{CallHandles, IntentStore, build_chain};
use crate::control::{ConfigSnapshot, ControlEvent, ControlState, run_control};
use crate::entry_metrics::EntryMetrics;
use crate::entry_settings::EntrySettings;
use crate::front::{AdminState, admin_pages, handle_request};

/// Runs an entry until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if the settings have faults, a port cannot be opened or a thread cannot be
/// started.
pub(crate) fn run_entry(settings: &Path) -> eyre::Result<()> {
    let (process, entry) = read_settings(settings, "entry", EntrySettings::read)?;
    let instance = InstanceId::new(rand::random());
    let clock = ProcessClock::new();
    let service = Arc::new(connect_etcd(process.key_value_address));
    let snapshot = Arc::new(ArcSwap::from_pointee(ConfigSnapshot::default()));
    let metrics = EntryMetrics::new()?;
    let socket = PeerSocket::new(process.peer_address, process.cluster_key.clone())?;
    let signal = StopSignal::new(|| log::info!("{}", EventCode::PROCESS_STOPPING))?;
    let shutdown = Arc::new(AtomicBool::new(false));
    let server = HttpServer::new(entry.listen, entry.call_limit, signal.flag())?
        .with_request_timeout(entry.request_timeout);
    let buffer_memory = usize::try_from(entry.buffer_memory.get()).unwrap_or(usize::MAX);
    let buffers = BufferBudget::new(buffer_memory);
    let (control, events) = flume::unbounded();

    let (control_snapshot, control_socket) = (snapshot.clone(), socket.clone());
    let state =
        ControlState::new(instance, control_snapshot, control_socket, metrics.clone(), clock.now());
    let control_thread = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || run_control(state, events, clock))?;
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let peer_events = control.clone();
    threads.push(socket.receive(Arc::clone(&shutdown), move |message, from| {
        send_event(&peer_events, ControlEvent::Peer(message, from));
    })?);
    let state_events = control.clone();
    let watcher = StateWatcher::new(Arc::clone(&service), clock, Arc::clone(&shutdown));
    threads
        .push(watcher.start(move |change| send_event(&state_events, ControlEvent::State(change)))?);
    let member = process.member(MemberRole::Entry, instance);
    threads.push(start_member_writer(Arc::clone(&service), member, Arc::clone(&shutdown))?);
    let admin = AdminState {
        vm: process.vm.clone(),
        instance,
        snapshot: snapshot.clone(),
        metrics: metrics.clone(),
        socket,
        stopping: signal.flag(),
    };
    threads.push(admin_pages(admin).serve(process.admin_address, Arc::clone(&shutdown))?);
    log::info!(
        "{} vm={} instance={instance} listen={}",
        EventCode::PROCESS_STARTED,
        process.vm,
        entry.listen
    );

    let intents = IntentStore::new(service);
    let handles =
        CallHandles { control: control.clone(), snapshot, intents, buffers, metrics, clock };
    let chain = build_chain(&handles);
    log::debug!("filters: {}", chain.names().collect::<Vec<_>>().join(", "));
    server.serve(move |http| handle_request(&handles, &chain, http));

    send_event(&control, ControlEvent::Stop);
    shutdown.store(true, Ordering::Release);
    signal.join();
    join_threads(threads.into_iter().chain([control_thread]));
    log::info!("{}", EventCode::PROCESS_STOPPED);
    Ok(())
}

fn send_event(control: &flume::Sender<ControlEvent>, event: ControlEvent) {
    if control.send(event).is_err() {
        log::debug!("event dropped: the control thread has ended");
    }
}
