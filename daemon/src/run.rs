//! Binds the ports, starts the daemon's tasks and runs its event loop.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        atomic::AtomicU64,
        Arc, //
    },
    time::Duration, //
};

use schema::Incarnation;
use slog::Logger;
use tokio::{
    net::TcpListener,
    runtime,
    sync::{
        mpsc::{
            unbounded_channel,
            Receiver,
            UnboundedReceiver,
            UnboundedSender, //
        },
        watch, //
    },
    task::{
        spawn_local,
        JoinHandle,
        JoinSet,
        LocalSet, //
    },
    time::{
        sleep_until,
        timeout, //
    },
};

use crate::{
    admin_routes::{
        admin_routes,
        AdminState, //
    },
    bound_addresses::BoundAddresses,
    bundle_watch::BundleWatch,
    caller_port::CallerPort,
    caller_routes::{
        caller_routes,
        CallerState, //
    },
    clock::DaemonClock,
    config::DaemonConfig,
    daemon_core::{
        CoreContext,
        DaemonCore, //
    },
    daemon_error::DaemonError,
    events,
    intake::{
        IntakeGate,
        PortGates, //
    },
    lifecycle::LifePhase,
    log_event,
    loop_event::LoopEvent,
    metrics::DaemonMetrics,
    peering::{
        PeerInput,
        PeerLink,
        PeerSocket, //
    },
    run_control::RunControl,
    serving_view::ServingView,
    signals::{
        SignalRequest,
        SignalSet, //
    },
    span_queue::SpanQueue,
    store::{
        StoreClient,
        VmClient, //
    },
    vm_poll::poll_vms, //
};

/// Most events handled before the timers are checked again.
const EVENT_BATCH: usize = 64;
/// Most messages of other daemons handled before the timers are checked again.
const PEER_INPUT_BATCH: usize = 16;
/// Time to write the last replies to callers after the loop has ended.
const REPLY_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to export the last spans after the loop has ended.
const SPAN_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Most connections to the operators' port at once.
const ADMIN_CONNECTIONS_MAX: usize = 64;
/// Time that a caller has to send its headers, and that its connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Outcome of a daemon's run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StopReport {
    /// Requests that were in flight when the stop ended; 0 after a complete graceful stop.
    pub requests_cut: usize,
}

/// Runs a daemon until the future `stop` is ready, then stops it gracefully. Must be called within
/// a `LocalSet` on a current-thread runtime; [`run_blocking`] creates both.
///
/// # Errors
///
/// [`DaemonError`] where the daemon can't start.
pub async fn run(
    config: DaemonConfig,
    log: Logger,
    stop: impl Future<Output = ()>,
) -> Result<StopReport, DaemonError> {
    let (control, handle) = RunControl::new();
    let running = run_with(config, log, control);
    let stopping = async {
        stop.await;
        handle.stop();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        report = running => report,
        () = stopping => Ok(StopReport::default()),
    }
}

/// Runs a daemon on the calling thread, which it blocks, with a runtime created for it.
///
/// # Errors
///
/// [`DaemonError`] where the daemon can't start.
pub fn run_blocking(
    config: DaemonConfig,
    log: Logger,
    control: RunControl,
) -> Result<StopReport, DaemonError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::RuntimeFailed)?;
    LocalSet::new().block_on(&runtime, run_with(config, log, control))
}

/// Runs a daemon that is stopped and configured through `control`; otherwise like [`run`].
///
/// # Errors
///
/// [`DaemonError`] where the daemon can't start.
pub async fn run_with(
    config: DaemonConfig,
    log: Logger,
    control: RunControl,
) -> Result<StopReport, DaemonError> {
    let clock = DaemonClock::start();
    let (events, inbox) = unbounded_channel();
    let (view_sender, view) = watch::channel(ServingView::default());
    let (metrics, mut registry) = DaemonMetrics::register();
    let gates = PortGates::open(
        Some(config.limits.memory_bytes),
        Some(config.limits.descriptors),
        2 * config.limits.requests as usize,
        &log,
        &mut registry,
    )?;
    let caller = bind("callers", config.listen.caller).await?;
    let admin = bind("operators", config.listen.admin).await?;
    let peer = PeerSocket::bind(config.listen.peer).await?;
    let peer = peer.with_intake(gates.peers);
    let bound = BoundAddresses {
        caller: local_address("callers", &caller, config.listen.caller)?,
        admin: local_address("operators", &admin, config.listen.admin)?,
        peer: peer.address(),
    };
    let mut tasks = JoinSet::new();
    let caller_state = CallerState {
        clock,
        last_query: Arc::new(AtomicU64::new(0)),
        header_max_bytes: config.limits.header_bytes as usize,
        events: events.clone(),
        view: view.clone(),
    };
    let port = CallerPort {
        listener: caller,
        routes: caller_routes(caller_state),
        header_max_bytes: config.limits.header_bytes as usize,
        intake: gates.callers,
        idle_timeout: IDLE_TIMEOUT,
        view: view.clone(),
    };
    let serving = spawn_local(serve_callers(port, events.clone()));
    let admin_state = AdminState {
        events: events.clone(),
        view: view.clone(),
        registry: Arc::new(registry),
    };
    // The operators' port stays open until the process ends: its view never shows a draining phase.
    let (admin_view_sender, admin_view) = watch::channel(ServingView::default());
    let admin_port = CallerPort {
        listener: admin,
        routes: admin_routes(admin_state),
        header_max_bytes: config.limits.header_bytes as usize,
        intake: IntakeGate::for_operators(ADMIN_CONNECTIONS_MAX),
        idle_timeout: IDLE_TIMEOUT,
        view: admin_view,
    };
    tasks.spawn_local(admin_port.serve());
    let (watches_store_sender, watches_store) = watch::channel(true);
    let store = start_platform_tasks(&config, &log, clock, &events, &mut tasks, watches_store)?;
    log_event!(
        log, events::STARTED,
        "name" => %config.name,
        "caller" => %bound.caller,
        "admin" => %bound.admin,
        "peer" => %bound.peer,
    );
    let (spans, exporting) = start_span_export(&config, &log)?;
    let incarnation = Incarnation(clock.start_time().0);
    let (peer_link, inputs) = PeerLink::serve(
        peer,
        config.peer_key,
        &config.name,
        &config.zone,
        incarnation,
    );
    let context = CoreContext {
        clock,
        log,
        metrics,
        events: events.clone(),
        view: view_sender,
        spans,
        store,
        peer_link,
        peer: bound.peer,
        watches_store: watches_store_sender,
    };
    let mut core = DaemonCore::new(config, context);
    if control.signals {
        let signals = SignalSet::open()?;
        let signal_events = events.clone();
        tasks.spawn_local(signals.dispatch(move |request| match request {
            SignalRequest::Stop => signal_events.send(LoopEvent::StopRequested).is_ok(),
            // The settings are only read at the start, so a reload request has no effect.
            SignalRequest::Reload => true,
        }));
    }
    attach_control(control, bound, &events, &mut tasks);
    run_loop(&mut core, inbox, inputs).await;
    let report = StopReport {
        requests_cut: core.requests_cut,
    };
    drop(core);
    // Callers whose requests were cut still get an error reply.
    let _ = timeout(REPLY_FLUSH_TIMEOUT, serving).await;
    if let Some(exporting) = exporting {
        let _ = timeout(SPAN_FLUSH_TIMEOUT, exporting).await;
    }
    drop(admin_view_sender);
    Ok(report)
}

/// Starts the export of spans where the settings name a collector.
fn start_span_export(
    config: &DaemonConfig,
    log: &Logger,
) -> Result<(SpanQueue, Option<JoinHandle<()>>), DaemonError> {
    let Some(collector) = &config.trace.collector else {
        return Ok((SpanQueue::default(), None));
    };
    let (queue, export) = SpanQueue::open(collector, &config.name, log.clone())?;
    Ok((queue, Some(spawn_local(export.run()))))
}

/// Starts the tasks that poll the VM list and watch the store, where the settings name them.
fn start_platform_tasks(
    config: &DaemonConfig,
    log: &Logger,
    clock: DaemonClock,
    events: &UnboundedSender<LoopEvent>,
    tasks: &mut JoinSet<()>,
    watches_store: watch::Receiver<bool>,
) -> Result<Option<StoreClient>, DaemonError> {
    let store_timeout = config.platform.store_timeout;
    if let Some(url) = &config.platform.vms {
        let client = VmClient::new(&url.to_string(), store_timeout)?;
        let interval = config.platform.vms_interval;
        tasks.spawn_local(poll_vms(client, interval, log.clone(), events.clone()));
    }
    if let Some(url) = &config.platform.store {
        let client = StoreClient::new(&url.to_string(), store_timeout)?;
        let seed = clock.start_time().0;
        let watch = BundleWatch::new(client.clone(), seed, log.clone(), events.clone());
        tasks.spawn_local(watch.run(watches_store));
        return Ok(Some(client));
    }
    Ok(None)
}

async fn serve_callers(port: CallerPort, events: UnboundedSender<LoopEvent>) {
    port.serve().await;
    let _ = events.send(LoopEvent::CallerPortClosed);
}

fn attach_control(
    control: RunControl,
    bound: BoundAddresses,
    events: &UnboundedSender<LoopEvent>,
    tasks: &mut JoinSet<()>,
) {
    let RunControl {
        started,
        mut stop_requests,
        bundle,
        ..
    } = control;
    // The receiver may have been dropped by a caller that does not need the addresses.
    let _ = started.send(bound);
    if let Some(spec) = bundle {
        let _ = events.send(LoopEvent::UnsignedBundle(spec));
    }
    let events = events.clone();
    tasks.spawn_local(async move {
        while let Some(()) = stop_requests.recv().await {
            let _ = events.send(LoopEvent::StopRequested);
        }
    });
}

/// Handles events, messages of other daemons and timers until the daemon has stopped.
async fn run_loop(
    core: &mut DaemonCore,
    mut inbox: UnboundedReceiver<LoopEvent>,
    mut inputs: Receiver<PeerInput>,
) {
    let mut batch = Vec::with_capacity(EVENT_BATCH);
    while core.phase() != LifePhase::Stopped {
        let timer = sleep_until(core.clock.instant_at(core.next_wakeup()).into());
        tokio::select! {
            biased;
            _ = inbox.recv_many(&mut batch, EVENT_BATCH) => {}
            Some(input) = inputs.recv() => core.handle_peer_input(core.clock.now(), input),
            () = timer => {}
        }
        for event in batch.drain(..) {
            core.handle(event);
        }
        // Messages of other daemons are also read while events arrive without a pause.
        for _ in 0..PEER_INPUT_BATCH {
            let Ok(input) = inputs.try_recv() else {
                break;
            };
            core.handle_peer_input(core.clock.now(), input);
        }
        core.fire_timers();
    }
}

pub(crate) async fn bind(
    role: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| listen_failed(role, address, error))
}

fn local_address(
    role: &'static str,
    listener: &TcpListener,
    requested: SocketAddr,
) -> Result<SocketAddr, DaemonError> {
    listener
        .local_addr()
        .map_err(|error| listen_failed(role, requested, error))
}

fn listen_failed(role: &'static str, address: SocketAddr, error: io::Error) -> DaemonError {
    DaemonError::ListenFailed {
        role,
        address,
        error,
    }
}
