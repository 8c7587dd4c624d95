//! Opens the ports of the forwarding daemon and runs its loop.

use std::{
    env,
    fs,
    net::SocketAddr,
    path::Path,
    sync::{
        atomic::AtomicU64,
        Arc, //
    },
    time::Duration, //
};

use axum::{
    extract::State,
    http::StatusCode,
    response::IntoResponse,
    routing::get,
    Json,
    Router, //
};
use platform::{
    BootFile,
    METRICS_PATH,
    METRICS_PORT,
    READY_PATH, //
};
use policy::{
    directory::{
        DirectoryFeed,
        FeedPeer,
        FeedSettings,
        PageBudget, //
    },
    forward::{
        ForwardEngine,
        ForwardSettings, //
    },
    peers::{
        ContactBook,
        PeerCore,
        PeerSettings, //
    },
    work::WorkSettings, //
};
use prometheus_client::registry::Registry;
use schema::{
    Incarnation,
    MemberBuild,
    TimePoint, //
};
use slog::Logger;
use tokio::{
    runtime,
    sync::{
        mpsc::{
            unbounded_channel,
            Receiver,
            UnboundedReceiver,
            UnboundedSender, //
        },
        oneshot,
        watch,
        Notify, //
    },
    task::{
        spawn_local,
        LocalSet, //
    },
    time::{
        sleep,
        sleep_until,
        timeout, //
    },
};

use super::{
    crash_store::run_keeper,
    forward_log::ForwardLog,
    forward_loop::ForwardLoop,
    forward_metrics::ForwardMetrics,
    idle_pool::IdlePool,
    inbox_event::InboxEvent,
    reply_budget::ReplyBudget,
    request_handler::{
        caller_routes,
        RequestHandler, //
    },
    settings_watch::SettingsWatch,
    source_log::SourceLog,
    store_reader::{
        ReadScope,
        StoreReader, //
    },
};
use crate::{
    caller_port::CallerPort,
    clock::{
        DaemonClock,
        SuspensionWatch, //
    },
    daemon_error::DaemonError,
    events,
    intake::{
        IntakeGate,
        PortGates, //
    },
    lifecycle::{
        DaemonLife,
        LifePhase, //
    },
    log_event,
    metrics::encode_metrics,
    peering::{
        PeerInput,
        PeerLink,
        PeerSocket, //
    },
    run::{
        bind,
        StopReport, //
    },
    serving_view::ServingView,
    signals::{
        SignalRequest,
        SignalSet, //
    },
    store::HttpClient, //
};

/// Path of the status, beside the metrics.
const STATUS_PATH: &str = "/status";
/// Largest number of events handled between two checks of the timers.
const EVENT_BATCH: usize = 32;
/// Largest number of connections to each of the other ports.
const MAX_ADMIN_CONNECTIONS: usize = 16;
/// Time-out given to `HttpClient`, which allows half of it to connect to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest answer of the store, in bytes: a page of about 1 MB, or an item of 1 MB in base64, with room for
/// larger ones.
const STORE_ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Time for the body of the store's answer; a configuration may be 1 MB and the link slow.
const STORE_BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// Names parts of the work-aware forwarding to switch on, separated by commas, for measurements.
const WORK_VARIABLE: &str = "POLLENTALLY_WORK";
/// Key of the messages between daemons. The platform provides no secret; its network is private.
const PEER_KEY: [u8; 32] = [0; 32];
/// Time to find the other daemons before the store is read, if all daemons start at once.
const FIRST_JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for a restart, when the other daemons already run.
const RESTART_JOIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for the last answers to other daemons to be written before their connections are closed.
const PEER_FLUSH_TIME: Duration = Duration::from_millis(20);
/// Time for the last replies to be written before the process ends.
const REPLY_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Reads the settings file that the platform writes at `path`.
///
/// # Errors
///
/// [`DaemonError::SettingsUnreadable`] if the file can't be read,
/// [`DaemonError::PlatformSettingsBad`] if it is invalid.
pub fn read_boot(path: &Path) -> Result<BootFile, DaemonError> {
    let text = fs::read(path).map_err(|error| DaemonError::SettingsUnreadable {
        path: path.to_owned(),
        error,
    })?;
    Ok(BootFile::parse(&path.display().to_string(), &text)?)
}

/// Runs the forwarding daemon on a runtime of its own until it is stopped. `boot` was read from `path`, which
/// is watched for changes.
///
/// # Errors
///
/// [`DaemonError`] if the daemon can't start.
pub fn run_forward(path: &Path, boot: BootFile, log: Logger) -> Result<StopReport, DaemonError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::RuntimeFailed)?;
    let settings = SettingsWatch::new(path.to_owned(), boot.clone());
    LocalSet::new().block_on(&runtime, serve(boot, settings, log))
}

async fn serve(
    boot: BootFile,
    settings_watch: SettingsWatch,
    log: Logger,
) -> Result<StopReport, DaemonError> {
    let clock = DaemonClock::start();
    let (events, inbox) = unbounded_channel();
    let (view_sender, view) = watch::channel(ServingView::default());
    let (metrics, mut registry) = ForwardMetrics::register();
    let gates = PortGates::open(
        boot.memory_bytes,
        boot.descriptors,
        usize::MAX,
        &log,
        &mut registry,
    )?;
    let last_query = Arc::new(AtomicU64::new(0));
    let handler = RequestHandler {
        last_query: Arc::clone(&last_query),
        events: events.clone(),
        view: view.clone(),
    };
    let limits = view.borrow().limits;
    let caller_port = CallerPort {
        listener: bind("callers", boot.caller_address).await?,
        routes: caller_routes(handler),
        header_max_bytes: limits.header_bytes,
        intake: gates.callers,
        idle_timeout: limits.idle_timeout,
        view: view.clone(),
    };
    // The other ports stay open to the end: their view never has the phase `Draining`.
    let (admin_sender, admin_view) = watch::channel(ServingView::default());
    let admin_ports = [
        (boot.ready_address, ready_routes(view)),
        (
            SocketAddr::new(boot.ip, METRICS_PORT),
            operator_routes(Arc::new(registry), events.clone()),
        ),
    ];
    for (address, routes) in admin_ports {
        let port = CallerPort {
            listener: bind("operators", address).await?,
            routes,
            header_max_bytes: limits.header_bytes,
            intake: IntakeGate::for_operators(MAX_ADMIN_CONNECTIONS),
            idle_timeout: limits.idle_timeout,
            view: admin_view.clone(),
        };
        spawn_local(port.serve());
    }
    let caller_task = spawn_local(serve_callers(caller_port, events.clone()));
    let seed = clock.start_time().0;
    let store_call = HttpClient::new(&format!("http://{}", boot.store_address), STORE_TIMEOUT)?
        .with_body_timeout(STORE_BODY_TIMEOUT)
        .with_answer_max(STORE_ANSWER_MAX_BYTES);
    let incarnation = Incarnation(seed);
    let socket = PeerSocket::bind(boot.peer_address).await?;
    let socket = socket.with_intake(gates.peers);
    let (peer_link, peer_inputs) =
        PeerLink::serve(socket, PEER_KEY, &boot.vm, &boot.zone, incarnation);
    let peer_settings = PeerSettings {
        seeds: boot.seeds,
        cell: MemberBuild::text_of(boot.capacity).into(),
        ..PeerSettings::new(
            boot.vm.clone(),
            boot.peer_address,
            boot.zone.clone(),
            incarnation,
            PEER_KEY,
        )
    };
    let this_daemon = FeedPeer {
        daemon: boot.vm.clone(),
        address: boot.peer_address,
        zone: boot.zone.clone(),
    };
    let signals = SignalSet::open()?;
    let signal_events = events.clone();
    let reload = Arc::new(Notify::new());
    spawn_local(settings_watch.run(Arc::clone(&reload), events.clone()));
    spawn_local(signals.dispatch(move |request| match request {
        SignalRequest::Stop => signal_events.send(InboxEvent::StopAsked).is_ok(),
        SignalRequest::Reload => {
            reload.notify_one();
            true
        }
    }));
    log_event!(
        log, events::STARTED,
        "name" => %boot.vm, "caller" => %boot.caller_address, "admin" => %boot.ready_address,
        "peer" => %boot.peer_address,
    );
    let settings = ForwardSettings {
        daemon: boot.vm.clone(),
        zone: boot.zone.clone(),
        regions: boot.regions.clone(),
        seed,
        retry_budget_ratio: boot.retry_budget_ratio,
        retry_budget_slack: boot.retry_budget_slack,
        retry_budget_window: boot.retry_budget_window,
        capacity: boot.capacity,
        incarnation: seed,
        quota_bounds: boot.quota_bounds,
        cold_bounds: boot.cold_bounds,
        work: work_settings(&log),
    };
    let feed_settings = FeedSettings {
        age_max: boot
            .drain_bound
            .min(boot.config_bound)
            .min(boot.evacuation_bound.unwrap_or(Duration::MAX))
            .min(boot.revocation_bound.unwrap_or(Duration::MAX)),
        settle_period: boot.settle_period,
    };
    let now = clock.now();
    let reader = StoreReader::new(
        store_call,
        ReadScope {
            evacuations: boot.evacuation_bound.is_some(),
            fleet: boot.quota_bounds.is_some() || boot.cold_bounds.is_some(),
        },
    );
    let (keep_orders, orders) = unbounded_channel();
    spawn_local(run_keeper(reader.clone(), orders, events.clone()));
    let mut forward_loop = ForwardLoop {
        clock,
        suspension_watch: SuspensionWatch::start(),
        vm: boot.vm,
        zone: boot.zone,
        engine: ForwardEngine::new(settings),
        feed: DirectoryFeed::with_settings(this_daemon, boot.regions, feed_settings),
        reader,
        keep_orders,
        next_read_at: now,
        source_log: SourceLog::default(),
        join_deadline: now
            + if boot.first_start {
                FIRST_JOIN_TIMEOUT
            } else {
                RESTART_JOIN_TIMEOUT
            },
        contacts: ContactBook::new(now, boot.peer_address),
        peers: PeerCore::new(now, peer_settings),
        peer_link,
        polls: Vec::new(),
        page_budget: PageBudget::new(boot.link_bytes_per_s, now),
        sync_replies: Default::default(),
        last_sync_id: 0,
        route_index: None,
        requests: Default::default(),
        last_query,
        exchanges: Default::default(),
        idle_pool: IdlePool::default(),
        reply_budget: ReplyBudget::of_memory(boot.memory_bytes),
        preconnecting: Default::default(),
        log: ForwardLog::new(log, metrics.clone(), now),
        metrics,
        account_counts: Default::default(),
        events,
        view: view_sender,
        lifecycle: DaemonLife::machine(),
        stop_bound: boot.grace_period,
        quiet_until: TimePoint::NEVER,
        stop_deadline: TimePoint::NEVER,
        next_sweep_at: now,
        caller_port_closed: false,
    };
    run_loop(&mut forward_loop, inbox, peer_inputs).await;
    let requests_cut = forward_loop.requests.len();
    // Answers to relayed requests may still be on their way to other daemons.
    sleep(PEER_FLUSH_TIME).await;
    drop(forward_loop);
    // If the port does not close in time, no request is left that could still be answered.
    let _ = timeout(REPLY_FLUSH_TIMEOUT, caller_task).await;
    drop(admin_sender);
    Ok(StopReport { requests_cut })
}

/// Handles events, peer messages and timers until the daemon is stopped.
async fn run_loop(
    forward_loop: &mut ForwardLoop,
    mut inbox: UnboundedReceiver<InboxEvent>,
    mut peer_inputs: Receiver<PeerInput>,
) {
    let mut batch = Vec::with_capacity(EVENT_BATCH);
    while forward_loop.phase() != LifePhase::Stopped {
        let wakeup = sleep_until(
            forward_loop
                .clock
                .instant_at(forward_loop.next_wakeup())
                .into(),
        );
        let mut peer_input = None;
        tokio::select! {
            biased;
            _ = inbox.recv_many(&mut batch, EVENT_BATCH) => {}
            Some(input) = peer_inputs.recv() => peer_input = Some(input),
            () = wakeup => {}
        }
        // What has arrived may have been sent before a suspension.
        forward_loop.check_suspension();
        if let Some(input) = peer_input {
            forward_loop.handle_peer_input(input);
        }
        for event in batch.drain(..) {
            forward_loop.handle(event);
        }
        forward_loop.run_due_timers();
    }
}

async fn serve_callers(port: CallerPort, events: UnboundedSender<InboxEvent>) {
    port.serve().await;
    // The channel is closed only when the process ends.
    let _ = events.send(InboxEvent::CallerPortClosed);
}

fn ready_routes(view: watch::Receiver<ServingView>) -> Router {
    let ready = |State(view): State<watch::Receiver<ServingView>>| async move {
        match view.borrow().phase {
            LifePhase::Ready => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    };
    Router::new().route(READY_PATH, get(ready)).with_state(view)
}

fn operator_routes(registry: Arc<Registry>, events: UnboundedSender<InboxEvent>) -> Router {
    let metrics = |State(registry): State<Arc<Registry>>| async move { encode_metrics(&registry) };
    let status = || async move {
        let (sender, receiver) = oneshot::channel();
        // The loop drops the sender only when the process ends.
        let _ = events.send(InboxEvent::StatusRequested(sender));
        match receiver.await {
            Ok(body) => Json(body).into_response(),
            Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    };
    Router::new()
        .route(METRICS_PATH, get(metrics))
        .with_state(registry)
        .route(STATUS_PATH, get(status))
}

/// The parts of the work-aware forwarding that the environment switches on.
fn work_settings(log: &Logger) -> WorkSettings {
    let Ok(names) = env::var(WORK_VARIABLE) else {
        return WorkSettings::default();
    };
    match WorkSettings::with(&names) {
        Ok(settings) => {
            log_event!(log, events::WORK_PARTS_ON, "parts" => names, "unknown" => "");
            settings
        }
        Err(unknown) => {
            log_event!(log, events::WORK_PARTS_ON, "parts" => "", "unknown" => unknown);
            WorkSettings::default()
        }
    }
}
