//! Starts and stops the threads of a gateway.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use gentian_core::{EventCode, InstanceId, MonoTime, TimeSpan};
use gentian_decide::orders::HolderRecord;
use gentian_decide::serving::UpstreamTable;
use gentian_http::forward::{BufferBudget, ConnectionPool, InvalidResponses, serve_connections};
use gentian_http::{AdminPages, ProcessClock, join_threads};
use gentian_process::{KeyValueService, LeaseCalls, PeerSocket, StopSignal};

use crate::chain::{CallHandles, build_chain};
use crate::control::{
    ControlEvent, ControlParts, ControlState, DutyState, TrafficView, run_control,
};
use crate::front::{SessionContext, serve_caller, serve_readiness};
use crate::gateway_metrics::GatewayMetrics;
use crate::io::{
    DutyWorker, EngineCalls, EntryRecord, HubUpdates, LeaseWorker, RecordReader,
    start_duty_workers, start_fleet_reader, start_lease_worker, start_operator_watch,
    start_record_writer, start_upstream_reader,
};
use crate::{GatewaySettings, PlatformCodec};

/// Time after a stop signal during which the load balancer may still open new connections here.
/// It stops after two failed readiness checks, made once a second; the rest is a margin.
const BALANCER_DETECTION_TIME: TimeSpan = TimeSpan::from_millis(2_300);
/// Time after that during which callers may still use open connections. They may have no other entry
/// in their failure domain, but a request that arrives later may not end within the grace time.
const IDLE_CONNECTION_TIME: TimeSpan = TimeSpan::from_millis(450);
/// Pause of the watch after a change, as a fraction of the time limit within which a configuration
/// change must take effect. The rest is left for reading the next change and for slow processors.
const WATCH_PAUSE_FRACTION: f64 = 0.4;
/// How long before the end of the grace time the process exits, even if connections are open.
const SHUTDOWN_MARGIN: TimeSpan = TimeSpan::from_millis(500);
/// Interval between checks whether threads have finished during shutdown.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long to wait for threads to finish by themselves; part of the shutdown margin.
const JOIN_TIMEOUT: TimeSpan = TimeSpan::from_millis(100);
/// Maximum number of open connections for readiness checks.
const READINESS_CONNECTION_LIMIT: usize = 16;

/// Runs a gateway until it receives a stop signal. Calls `check_settings` on a reload signal, when
/// the settings may have changed. `invalid_responses` counts also those of the key-value service.
///
/// # Errors
///
/// Returns an error if a port cannot be opened or a thread cannot be started.
pub fn run_gateway(
    settings: GatewaySettings,
    codec: PlatformCodec,
    service: KeyValueService,
    leases: LeaseCalls,
    invalid_responses: InvalidResponses,
    check_settings: impl Fn() + Send + 'static,
) -> eyre::Result<()> {
    let clock = ProcessClock::new();
    let (codec, service) = (Arc::new(codec), Arc::new(service));
    let instance = InstanceId::new(rand::random());
    let view = Arc::new(ArcSwap::from_pointee(TrafficView::default()));
    let metrics = GatewayMetrics::new(invalid_responses)?;
    let connections = ConnectionPool::new(clock).with_max_idle(settings.idle_connection_limit);
    let buffer_memory = usize::try_from(settings.buffer_memory.get()).unwrap_or(usize::MAX);
    let buffers = BufferBudget::new(buffer_memory);
    let (threads_must_end, closing) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let idle_close_time = Arc::new(OnceLock::new());
    let hub_updates = HubUpdates::default();
    let (control, events) = flume::unbounded();
    let (lease_tasks, tasks) = flume::unbounded();
    let (record_writes, writes) = flume::unbounded();
    let socket = PeerSocket::new(settings.peer, settings.cluster_key.clone())?;
    let stop_events = control.clone();
    let on_stop = move || {
        log::info!("{}", EventCode::PROCESS_STOPPING);
        send_event(&stop_events, ControlEvent::StopRequested);
    };
    let signal = StopSignal::with_reload(on_stop, check_settings)?;

    let (calls_codec, calls_metrics) = (Arc::clone(&codec), metrics.clone());
    let engine_calls = EngineCalls::new(
        calls_codec,
        connections.clone(),
        control.clone(),
        settings.vm.clone(),
        clock,
        calls_metrics,
    );
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let mut duties = None;
    if let Some(duty_settings) = settings.duties {
        let (queues, workers) = start_duty_workers(DutyWorker {
            codec: Arc::clone(&codec),
            service: Arc::clone(&service),
            address: duty_settings.address,
            holder: settings.vm.clone(),
            connections: connections.clone(),
            events: control.clone(),
            clock,
            metrics: metrics.clone(),
        })?;
        threads.extend(workers);
        let vm = settings.vm.clone();
        duties = Some(DutyState::new(duty_settings.usage, vm, instance, queues, clock.now()));
    }
    let state = ControlState::new(ControlParts {
        codec: Arc::clone(&codec),
        vm: settings.vm.clone(),
        instance,
        bounds: settings.bounds,
        has_predecessor: !settings.is_first_start,
        table: UpstreamTable::new(settings.domain.clone(), settings.bounds).with_start(clock.now()),
        view: Arc::clone(&view),
        socket: socket.clone(),
        lease_tasks,
        record_writes,
        engine_calls,
        hub_updates: hub_updates.clone(),
        duties,
        metrics: metrics.clone(),
    });
    let builder = std::thread::Builder::new().name("control".into());
    threads.push(builder.spawn(move || run_control(state, events, clock))?);
    let peer_events = control.clone();
    threads.push(socket.receive(Arc::clone(&threads_must_end), move |message, _| {
        send_event(&peer_events, ControlEvent::Peer(message));
    })?);
    let worker = LeaseWorker {
        service: Arc::clone(&service),
        leases,
        prefix: codec.record_layout.fleet_prefix.clone(),
        record: HolderRecord { vm: settings.vm.clone(), instance },
        metrics: metrics.clone(),
    };
    threads.push(start_lease_worker(worker, tasks, control.clone(), clock)?);
    let fleet_prefix = codec.record_layout.fleet_prefix.clone();
    threads.push(start_record_writer(Arc::clone(&service), fleet_prefix, writes, metrics.clone())?);
    let reader = RecordReader {
        service,
        events: control.clone(),
        threads_must_end: Arc::clone(&threads_must_end),
        hub_updates,
        watch_pause: (settings.bounds.config_delay * WATCH_PAUSE_FRACTION).into(),
        clock,
        metrics: metrics.clone(),
    };
    threads.extend(start_readers(&settings, &codec, reader)?);
    let (pool, budget, shown_metrics) = (connections.clone(), buffers.clone(), metrics.clone());
    let metrics_text = move || {
        shown_metrics.buffered_bytes.set(budget.used().get() as i64);
        shown_metrics.waiting_body_bytes.set(budget.waiting().get() as i64);
        shown_metrics.idle_connections.set(pool.idle_count() as i64);
        shown_metrics.text()
    };
    threads.extend(start_admin(&settings, &view, metrics_text, &signal, &threads_must_end));
    let (ready_view, stopping) = (Arc::clone(&view), signal.flag());
    let is_ready = move || {
        let view = ready_view.load();
        view.config.is_some() && view.has_upstreams && !stopping.load(Ordering::Acquire)
    };
    let serve = move |stream| serve_readiness(stream, clock, &is_ready);
    threads.push(serve_connections(
        "readiness",
        settings.readiness,
        READINESS_CONNECTION_LIMIT,
        Arc::clone(&threads_must_end),
        clock,
        serve,
    )?);

    let handles = CallHandles {
        control: control.clone(),
        view,
        codec,
        connections,
        buffers,
        counts_runs: settings.duties.is_some(),
        metrics,
        clock,
    };
    let chain = build_chain(&handles);
    log::debug!("filters: {}", chain.names().collect::<Vec<_>>().join(", "));
    let context = SessionContext {
        handles,
        chain,
        next_id: AtomicU64::new(1),
        stopping: signal.flag(),
        idle_close_time: Arc::clone(&idle_close_time),
    };
    let front_thread = serve_connections(
        "front",
        settings.front,
        settings.connection_limit,
        Arc::clone(&closing),
        clock,
        move |stream| serve_caller(&context, stream),
    )?;
    log::info!(
        "{} vm={} domain={} instance={instance} front={} peer={}",
        EventCode::PROCESS_STARTED,
        settings.vm,
        settings.domain,
        settings.front,
        settings.peer
    );
    let grace = settings.bounds.shutdown_grace;
    wait_for_stop(&signal, &closing, &idle_close_time, &front_thread, grace, clock);
    send_event(&control, ControlEvent::Stop);
    threads_must_end.store(true, Ordering::Release);
    signal.join();
    threads.push(front_thread);
    join_finished(threads, clock);
    log::info!("{}", EventCode::PROCESS_STOPPED);
    Ok(())
}

/// Joins the threads that finish within a short time. Threads that still wait for a response of
/// another VM are left to end with the process.
fn join_finished(threads: Vec<JoinHandle<()>>, clock: ProcessClock) {
    let deadline = clock.now() + JOIN_TIMEOUT;
    while !threads.iter().all(JoinHandle::is_finished) && clock.now() < deadline {
        std::thread::sleep(SHUTDOWN_CHECK_INTERVAL);
    }
    let (finished, unfinished): (Vec<_>, Vec<_>) =
        threads.into_iter().partition(JoinHandle::is_finished);
    join_threads(finished);
    for thread in unfinished {
        log::debug!(
            "thread {:?} is still running and ends with the process",
            thread.thread().name()
        );
    }
}

fn start_readers(
    settings: &GatewaySettings,
    codec: &PlatformCodec,
    reader: RecordReader,
) -> eyre::Result<Vec<JoinHandle<()>>> {
    let layout = &codec.record_layout;
    let entry = EntryRecord {
        vm: settings.vm.clone(),
        address: settings.peer,
        capacity: settings.cpu_millicores,
    };
    let fleet_prefix = layout.fleet_prefix.clone();
    Ok(vec![
        start_operator_watch(reader.clone(), layout.operator_prefix.clone())?,
        start_upstream_reader(reader.clone(), layout.upstream_prefix.clone())?,
        start_fleet_reader(reader, fleet_prefix, entry)?,
    ])
}

/// Starts the admin port. A failure is only logged: callers can be served without metrics.
fn start_admin(
    settings: &GatewaySettings,
    view: &Arc<ArcSwap<TrafficView>>,
    metrics_text: impl Fn() -> String + Send + Sync + 'static,
    signal: &StopSignal,
    threads_must_end: &Arc<AtomicBool>,
) -> Option<JoinHandle<()>> {
    let (view, stopping) = (Arc::clone(view), signal.flag());
    let pages = AdminPages::new(
        move || !stopping.load(Ordering::Acquire),
        metrics_text,
        move || {
            let version = view.load().config.as_ref().map_or(0, |config| config.version.get());
            format!("{{\"config_version\":{version}}}\n")
        },
    );
    let started = pages.serve(settings.admin, Arc::clone(threads_must_end));
    started.inspect_err(|error| log::warn!("metrics are not served: {error:#}")).ok()
}

fn wait_for_stop(
    signal: &StopSignal,
    closing: &AtomicBool,
    idle_close_time: &OnceLock<MonoTime>,
    front_thread: &JoinHandle<()>,
    grace: TimeSpan,
    clock: ProcessClock,
) {
    signal.wait();
    let stop_requested = clock.now();
    idle_close_time.get_or_init(|| stop_requested + BALANCER_DETECTION_TIME + IDLE_CONNECTION_TIME);
    std::thread::sleep(Duration::from(BALANCER_DETECTION_TIME.min(grace)));
    closing.store(true, Ordering::Release);
    let deadline = stop_requested + grace.saturating_sub(SHUTDOWN_MARGIN);
    while !front_thread.is_finished() && clock.now() < deadline {
        std::thread::sleep(SHUTDOWN_CHECK_INTERVAL);
    }
}

fn send_event(control: &flume::Sender<ControlEvent>, event: ControlEvent) {
    if control.send(event).is_err() {
        log::debug!("event dropped: the control thread has ended");
    }
}
