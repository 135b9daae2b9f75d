//! The threads of a gateway, from start to stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use gentian_core::{EventCode, InstanceId, TimeSpan};
use gentian_decide::orders::HolderRecord;
use gentian_decide::serving::UpstreamTable;
use gentian_http::forward::{ConnectionPool, serve_connections};
use gentian_http::{AdminPages, ProcessClock, join_threads};
use gentian_process::{KeyValueService, LeaseCalls, PeerSocket, StopSignal};

use crate::chain::{CallHandles, build_chain};
use crate::control::{ControlEvent, ControlParts, ControlState, FrontView, run_control};
use crate::front::{ClientFront, serve_client, serve_readiness};
use crate::gateway_metrics::GatewayMetrics;
use crate::io::{
    EngineCalls, LeaseWorker, MemberEntry, RecordFollower, ToldSpan, start_lease_worker,
    start_operator_watch, start_own_reader, start_upstream_reader,
};
use crate::{GatewaySettings, PlatformCodec};

/// Time after a stop signal in which the balancer still sends callers here: two missed checks, one
/// a second, and a little more.
const BALANCER_TIME: TimeSpan = TimeSpan::from_millis(2_300);
/// Part of the time that a change may take for which the next change is not asked for; reading it and
/// slow processors need the rest.
const CHANGE_PAUSE_PART: f64 = 0.4;
/// Time before the end of the grace time at which the process ends, whatever is open.
const END_MARGIN: TimeSpan = TimeSpan::from_millis(500);
/// Time between two looks at whether open connections have ended.
const END_CHECK: Duration = Duration::from_millis(50);
/// Longest wait for threads that end by themselves.
const JOIN_LIMIT: TimeSpan = TimeSpan::from_millis(300);
/// Connections of the platform's readiness checks.
const CHECK_LIMIT: usize = 16;

/// Runs a gateway until it is asked to stop; `check_settings` is called when the settings may have
/// changed.
///
/// # Errors
///
/// Returns an error if a port cannot be opened or a thread not started.
pub fn run_gateway(
    settings: GatewaySettings,
    dialect: PlatformCodec,
    service: KeyValueService,
    leases: LeaseCalls,
    check_settings: impl Fn() + Send + 'static,
) -> eyre::Result<()> {
    let clock = ProcessClock::new();
    let (dialect, service) = (Arc::new(dialect), Arc::new(service));
    let instance = InstanceId::new(rand::random());
    let view = Arc::new(ArcSwap::from_pointee(FrontView::default()));
    let metrics = GatewayMetrics::new()?;
    let connections = ConnectionPool::new(clock);
    let (ended, closing) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let told = ToldSpan::default();
    let (control, events) = flume::unbounded();
    let (lease_tasks, tasks) = flume::unbounded();
    let socket = PeerSocket::new(settings.peer, settings.cluster_key.clone())?;
    let stops = control.clone();
    let on_stop = move || {
        log::info!("{}", EventCode::PROCESS_STOPPING);
        pass_on(&stops, ControlEvent::Stopping);
    };
    let signal = StopSignal::with_reload(on_stop, check_settings)?;

    let (calls_dialect, calls_metrics) = (Arc::clone(&dialect), metrics.clone());
    let engines = EngineCalls::new(
        calls_dialect,
        connections.clone(),
        control.clone(),
        settings.vm.clone(),
        clock,
        calls_metrics,
    );
    let state = ControlState::new(ControlParts {
        dialect: Arc::clone(&dialect),
        vm: settings.vm.clone(),
        instance,
        bounds: settings.bounds,
        table: UpstreamTable::new(settings.domain.clone(), settings.bounds),
        view: Arc::clone(&view),
        socket: socket.clone(),
        lease_tasks,
        engines,
        told: told.clone(),
        metrics: metrics.clone(),
    });
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let builder = std::thread::Builder::new().name("control".into());
    threads.push(builder.spawn(move || run_control(state, events, clock))?);
    let peers = control.clone();
    threads.push(socket.receive(Arc::clone(&ended), move |message, _| {
        pass_on(&peers, ControlEvent::Peer(message));
    })?);
    let worker = LeaseWorker {
        service: Arc::clone(&service),
        leases,
        prefix: dialect.record_layout.own_prefix.clone(),
        record: HolderRecord { vm: settings.vm.clone(), instance },
        metrics: metrics.clone(),
    };
    threads.push(start_lease_worker(worker, tasks, control.clone(), clock)?);
    let follower = RecordFollower {
        service,
        events: control.clone(),
        ended: Arc::clone(&ended),
        told,
        change_pause: (settings.bounds.config_delay * CHANGE_PAUSE_PART).into(),
        clock,
        metrics: metrics.clone(),
    };
    threads.extend(start_followers(&settings, &dialect, follower)?);
    threads.extend(start_admin(&settings, &view, &metrics, &signal, &ended));
    let (ready_view, stopping) = (Arc::clone(&view), signal.mark());
    let is_ready = move || {
        let view = ready_view.load();
        view.config.is_some() && view.has_upstreams && !stopping.load(Ordering::Acquire)
    };
    let serve = move |stream| serve_readiness(stream, clock, &is_ready);
    threads.push(serve_connections(
        "readiness",
        settings.readiness,
        CHECK_LIMIT,
        Arc::clone(&ended),
        clock,
        serve,
    )?);

    let handles =
        CallHandles { control: control.clone(), view, dialect, connections, metrics, clock };
    let chain = build_chain(&handles);
    log::debug!("filters: {}", chain.names().collect::<Vec<_>>().join(", "));
    let front = ClientFront {
        handles,
        chain,
        next_id: AtomicU64::new(1),
        stopping: signal.mark(),
        closing: Arc::clone(&closing),
    };
    let front_thread = serve_connections(
        "front",
        settings.front,
        settings.connection_limit,
        Arc::clone(&closing),
        clock,
        move |stream| serve_client(&front, stream),
    )?;
    log::info!(
        "{} vm={} domain={} instance={instance} front={} peer={}",
        EventCode::PROCESS_STARTED,
        settings.vm,
        settings.domain,
        settings.front,
        settings.peer
    );
    wait_for_stop(&signal, &closing, &front_thread, settings.bounds.grace_time, clock);
    pass_on(&control, ControlEvent::Stop);
    ended.store(true, Ordering::Release);
    signal.join();
    threads.push(front_thread);
    join_finished(threads, clock);
    log::info!("{}", EventCode::PROCESS_STOPPED);
    Ok(())
}

/// Joins the threads that end within a short time; those that wait for an answer of another VM end
/// with the process.
fn join_finished(threads: Vec<JoinHandle<()>>, clock: ProcessClock) {
    let last = clock.now() + JOIN_LIMIT;
    while !threads.iter().all(JoinHandle::is_finished) && clock.now() < last {
        std::thread::sleep(END_CHECK);
    }
    let (finished, waiting): (Vec<_>, Vec<_>) =
        threads.into_iter().partition(JoinHandle::is_finished);
    join_threads(finished);
    for thread in waiting {
        log::debug!("thread {:?} ends with the process", thread.thread().name());
    }
}

fn start_followers(
    settings: &GatewaySettings,
    dialect: &PlatformCodec,
    follower: RecordFollower,
) -> eyre::Result<Vec<JoinHandle<()>>> {
    let records = &dialect.record_layout;
    let member = MemberEntry {
        vm: settings.vm.clone(),
        address: settings.peer,
        capacity: settings.cpu_millicores,
    };
    let own = records.own_prefix.clone();
    Ok(vec![
        start_operator_watch(follower.clone(), records.operator_prefix.clone())?,
        start_upstream_reader(follower.clone(), records.upstream_prefix.clone())?,
        start_own_reader(follower, own, member)?,
    ])
}

/// Serves metrics; a process without them still serves callers.
fn start_admin(
    settings: &GatewaySettings,
    view: &Arc<ArcSwap<FrontView>>,
    metrics: &GatewayMetrics,
    signal: &StopSignal,
    ended: &Arc<AtomicBool>,
) -> Option<JoinHandle<()>> {
    let (view, metrics, stopping) = (Arc::clone(view), metrics.clone(), signal.mark());
    let pages = AdminPages::new(
        move || !stopping.load(Ordering::Acquire),
        move || metrics.text(),
        move || {
            let version = view.load().config.as_ref().map_or(0, |config| config.version.get());
            format!("{{\"config_version\":{version}}}\n")
        },
    );
    let started = pages.serve(settings.admin, Arc::clone(ended));
    started.inspect_err(|error| log::warn!("metrics are not served: {error:#}")).ok()
}

fn wait_for_stop(
    signal: &StopSignal,
    closing: &AtomicBool,
    front: &JoinHandle<()>,
    grace: TimeSpan,
    clock: ProcessClock,
) {
    signal.wait();
    let asked = clock.now();
    std::thread::sleep(Duration::from(BALANCER_TIME.min(grace)));
    closing.store(true, Ordering::Release);
    let last = asked + grace.saturating_sub(END_MARGIN);
    while !front.is_finished() && clock.now() < last {
        std::thread::sleep(END_CHECK);
    }
}

fn pass_on(control: &flume::Sender<ControlEvent>, event: ControlEvent) {
    if control.send(event).is_err() {
        log::debug!("the control thread has ended");
    }
}
