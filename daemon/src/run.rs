//! Starts the ports and turns the loop.

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
        CoreTools,
        DaemonCore, //
    },
    daemon_error::DaemonError,
    events,
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

/// Events taken in between two looks at the timers.
const EVENT_BATCH: usize = 64;
/// Messages of peers taken in between two looks at the timers.
const INPUT_BATCH: usize = 16;
/// Time for the last replies to leave after a stop that cut requests.
const CUT_LINGER: Duration = Duration::from_secs(1);
/// Time for the last spans to leave.
const EXPORT_LINGER: Duration = Duration::from_secs(1);
/// Connections of operators at once.
const ADMIN_CONNECTIONS: usize = 64;
/// A caller has this long to send its headers, and may stay idle this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// How a daemon ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StopReport {
    /// Requests that the stop cut.
    pub cut: usize,
}

/// Runs a daemon until `stop` and the graceful stop after it are over. Must be called within a
/// `LocalSet` on a current-thread runtime; [`run_blocking`] brings its own.
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

/// Runs a daemon on a runtime of its own, on the calling thread.
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

/// Like [`run`], with all that `control` allows.
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
    let (metrics, registry) = DaemonMetrics::register();
    let caller = bind("callers", config.listen.caller).await?;
    let admin = bind("operators", config.listen.admin).await?;
    let peer = PeerSocket::bind(config.listen.peer).await?;
    let bound = BoundAddresses {
        caller: address_of("callers", &caller, config.listen.caller)?,
        admin: address_of("operators", &admin, config.listen.admin)?,
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
        connections_max: 2 * config.limits.requests as usize,
        idle_timeout: IDLE_TIMEOUT,
        view: view.clone(),
    };
    let serving = spawn_local(serve_callers(port, events.clone()));
    let admin_state = AdminState {
        events: events.clone(),
        view: view.clone(),
        registry: Arc::new(registry),
    };
    // The operators' port stays open to the end: its view never drains.
    let (admin_view_sender, admin_view) = watch::channel(ServingView::default());
    let admin_port = CallerPort {
        listener: admin,
        routes: admin_routes(admin_state),
        header_max_bytes: config.limits.header_bytes as usize,
        connections_max: ADMIN_CONNECTIONS,
        idle_timeout: IDLE_TIMEOUT,
        view: admin_view,
    };
    tasks.spawn_local(admin_port.serve());
    let (watching_sender, watching) = watch::channel(true);
    let store = watch_platform(&config, &log, clock, &events, &mut tasks, watching)?;
    log_event!(
        log, events::STARTED,
        "name" => %config.name,
        "caller" => %bound.caller,
        "admin" => %bound.admin,
        "peer" => %bound.peer,
    );
    let (spans, exporting) = open_spans(&config, &log)?;
    let incarnation = Incarnation(clock.start_time().0);
    let (link, inputs) = PeerLink::serve(
        peer,
        config.peer_key,
        &config.name,
        &config.zone,
        incarnation,
    );
    let tools = CoreTools {
        clock,
        log,
        metrics,
        events: events.clone(),
        view: view_sender,
        spans,
        store,
        link,
        peer: bound.peer,
        watching: watching_sender,
    };
    let mut core = DaemonCore::new(config, tools);
    if control.signals {
        let signals = SignalSet::open()?;
        let signalled = events.clone();
        tasks.spawn_local(signals.pass(move |request| match request {
            SignalRequest::Stop => signalled.send(LoopEvent::StopAsked).is_ok(),
            // Settings are read at the start only.
            SignalRequest::Reload => true,
        }));
    }
    take_control(control, bound, &events, &mut tasks);
    turn(&mut core, inbox, inputs).await;
    let report = StopReport { cut: core.cut };
    drop(core);
    // Callers whose requests were cut still get their replies.
    let _ = timeout(CUT_LINGER, serving).await;
    if let Some(exporting) = exporting {
        let _ = timeout(EXPORT_LINGER, exporting).await;
    }
    drop(admin_view_sender);
    Ok(report)
}

/// Starts the export of spans where the settings name a collector.
fn open_spans(
    config: &DaemonConfig,
    log: &Logger,
) -> Result<(SpanQueue, Option<JoinHandle<()>>), DaemonError> {
    let Some(collector) = &config.trace.collector else {
        return Ok((SpanQueue::default(), None));
    };
    let (queue, export) = SpanQueue::open(collector, &config.name, log.clone())?;
    Ok((queue, Some(spawn_local(export.run()))))
}

/// Starts the tasks that read the platform's services.
fn watch_platform(
    config: &DaemonConfig,
    log: &Logger,
    clock: DaemonClock,
    events: &UnboundedSender<LoopEvent>,
    tasks: &mut JoinSet<()>,
    watching: watch::Receiver<bool>,
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
        tasks.spawn_local(watch.run(watching));
        return Ok(Some(client));
    }
    Ok(None)
}

async fn serve_callers(port: CallerPort, events: UnboundedSender<LoopEvent>) {
    port.serve().await;
    let _ = events.send(LoopEvent::FrontClosed);
}

fn take_control(
    control: RunControl,
    bound: BoundAddresses,
    events: &UnboundedSender<LoopEvent>,
    tasks: &mut JoinSet<()>,
) {
    let RunControl {
        started,
        mut stops,
        bundle,
        ..
    } = control;
    // A starter that does not ask for the addresses is fine.
    let _ = started.send(bound);
    if let Some(spec) = bundle {
        let _ = events.send(LoopEvent::BundleForced(spec));
    }
    let events = events.clone();
    tasks.spawn_local(async move {
        while let Some(()) = stops.recv().await {
            let _ = events.send(LoopEvent::StopAsked);
        }
    });
}

/// The loop.
async fn turn(
    core: &mut DaemonCore,
    mut inbox: UnboundedReceiver<LoopEvent>,
    mut inputs: Receiver<PeerInput>,
) {
    let mut batch = Vec::with_capacity(EVENT_BATCH);
    while core.phase() != LifePhase::Stopped {
        let due = sleep_until(core.clock.instant_at(core.next_wakeup()).into());
        tokio::select! {
            biased;
            _ = inbox.recv_many(&mut batch, EVENT_BATCH) => {}
            Some(input) = inputs.recv() => core.take_input(core.clock.now(), input),
            () = due => {}
        }
        for event in batch.drain(..) {
            core.handle(event);
        }
        // A loop that never runs out of events still hears its peers.
        for _ in 0..INPUT_BATCH {
            let Ok(input) = inputs.try_recv() else {
                break;
            };
            core.take_input(core.clock.now(), input);
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

fn address_of(
    role: &'static str,
    listener: &TcpListener,
    asked: SocketAddr,
) -> Result<SocketAddr, DaemonError> {
    listener
        .local_addr()
        .map_err(|error| listen_failed(role, asked, error))
}

fn listen_failed(role: &'static str, address: SocketAddr, error: io::Error) -> DaemonError {
    DaemonError::ListenFailed {
        role,
        address,
        error,
    }
}
