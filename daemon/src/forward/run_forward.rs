//! Starts the ports on the platform and turns the loop.

use std::{
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
    routing::get,
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
        PageBudget, //
    },
    forward::{
        ForwardEngine,
        ForwardSettings, //
    },
    peers::{
        PeerCore,
        PeerSettings, //
    },
};
use prometheus_client::registry::Registry;
use schema::{
    Incarnation,
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
        watch, //
    },
    task::{
        spawn_local,
        LocalSet, //
    },
    time::{
        sleep_until,
        timeout, //
    },
};

use super::{
    desk_event::DeskEvent,
    forward_front::{
        forward_routes,
        ForwardFront, //
    },
    forward_loop::ForwardLoop,
    forward_metrics::ForwardMetrics,
    forward_notes::ForwardNotes,
    link_shelf::LinkShelf,
    store_reader::StoreReader, //
};
use crate::{
    caller_port::CallerPort,
    clock::DaemonClock,
    daemon_error::DaemonError,
    events,
    front_view::FrontView,
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
    signals::{
        SignalRequest,
        SignalSet, //
    },
    store::HttpCall, //
};

/// Events taken in between two looks at the timers.
const EVENT_BATCH: usize = 32;
/// Callers' connections at once.
const CALLER_CONNECTIONS: usize = 2_000;
/// Connections to the other ports at once.
const ADMIN_CONNECTIONS: usize = 16;
/// Connect and answer time of the store beside the watch's own.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for the body of the store's answer: a configuration of a megabyte over a slow link.
const STORE_BODY_TIME: Duration = Duration::from_secs(3);
/// Key of the daemons' messages: the platform gives no secret, and its network is its own.
const PEER_KEY: [u8; 32] = [0; 32];
/// Time to find the other daemons before the store is read, where all start at once.
const FIRST_JOIN: Duration = Duration::from_millis(1_500);
/// The same where the others are there already.
const LATER_JOIN: Duration = Duration::from_millis(100);
/// Time for the last replies to leave.
const LAST_LINGER: Duration = Duration::from_millis(100);

/// Reads the settings file that the platform writes at `path`.
///
/// # Errors
///
/// [`DaemonError::SettingsUnread`] and [`DaemonError::BootBad`].
pub fn read_boot(path: &Path) -> Result<BootFile, DaemonError> {
    let text = fs::read(path).map_err(|error| DaemonError::SettingsUnread {
        path: path.to_owned(),
        error,
    })?;
    Ok(BootFile::parse(&path.display().to_string(), &text)?)
}

/// Runs a daemon on the platform, on a runtime of its own, until it is stopped.
///
/// # Errors
///
/// [`DaemonError`] where the daemon can't start.
pub fn run_forward(boot: BootFile, log: Logger) -> Result<StopReport, DaemonError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::RuntimeFailed)?;
    LocalSet::new().block_on(&runtime, serve(boot, log))
}

async fn serve(boot: BootFile, log: Logger) -> Result<StopReport, DaemonError> {
    let clock = DaemonClock::start();
    let (events, inbox) = unbounded_channel();
    let (view_sender, view) = watch::channel(FrontView::default());
    let (metrics, registry) = ForwardMetrics::register();
    let front = ForwardFront {
        last_query: Arc::new(AtomicU64::new(0)),
        events: events.clone(),
        view: view.clone(),
    };
    let limits = view.borrow().limits;
    let callers = CallerPort {
        listener: bind("callers", boot.caller_address).await?,
        routes: forward_routes(front),
        header_max: limits.header_bytes,
        connections_max: CALLER_CONNECTIONS,
        idle_timeout: limits.idle_timeout,
        view: view.clone(),
    };
    // The other ports stay open to the end: their view never drains.
    let (admin_sender, admin_view) = watch::channel(FrontView::default());
    let admin_ports = [
        (boot.ready_address, ready_routes(view)),
        (
            SocketAddr::new(boot.ip, METRICS_PORT),
            metrics_routes(Arc::new(registry)),
        ),
    ];
    for (address, routes) in admin_ports {
        let port = CallerPort {
            listener: bind("operators", address).await?,
            routes,
            header_max: limits.header_bytes,
            connections_max: ADMIN_CONNECTIONS,
            idle_timeout: limits.idle_timeout,
            view: admin_view.clone(),
        };
        spawn_local(port.serve());
    }
    let serving = spawn_local(serve_callers(callers, events.clone()));
    let seed = clock.epoch().0;
    let call = HttpCall::new(&format!("http://{}", boot.store_address), STORE_TIMEOUT)?
        .with_body_patience(STORE_BODY_TIME);
    let incarnation = Incarnation(seed);
    let socket = PeerSocket::bind(boot.peer_address).await?;
    let (link, inputs) = PeerLink::serve(socket, PEER_KEY, &boot.vm, &boot.zone, incarnation);
    let peer_settings = PeerSettings {
        seeds: boot.seeds,
        ..PeerSettings::new(
            boot.vm.clone(),
            boot.peer_address,
            boot.zone.clone(),
            incarnation,
            PEER_KEY,
        )
    };
    let own = FeedPeer {
        daemon: boot.vm.clone(),
        address: boot.peer_address,
        zone: boot.zone.clone(),
    };
    let signals = SignalSet::open()?;
    let signalled = events.clone();
    spawn_local(signals.pass(move |request| {
        let event = match request {
            SignalRequest::Stop => DeskEvent::StopAsked,
            SignalRequest::Reload => DeskEvent::SettingsChanged,
        };
        signalled.send(event).is_ok()
    }));
    log_event!(
        log, events::STARTED,
        "name" => %boot.vm, "caller" => %boot.caller_address, "admin" => %boot.ready_address,
        "peer" => %boot.peer_address,
    );
    let settings = ForwardSettings {
        zone: boot.zone,
        regions: boot.regions.clone(),
        seed,
        retry_budget_ratio: boot.retry_budget_ratio,
        retry_budget_slack: boot.retry_budget_slack,
        retry_budget_window: boot.retry_budget_window,
    };
    let now = clock.now();
    let mut desk = ForwardLoop {
        clock,
        engine: ForwardEngine::new(settings),
        feed: DirectoryFeed::new(own, boot.regions),
        reader: StoreReader::new(call),
        feed_busy: false,
        feed_at: now,
        join_until: now
            + if boot.first_start {
                FIRST_JOIN
            } else {
                LATER_JOIN
            },
        peers: PeerCore::new(now, peer_settings),
        link,
        waiting: Vec::new(),
        pages: PageBudget::new(boot.link_bytes_per_s, now),
        sync_replies: Default::default(),
        last_reply: 0,
        index: None,
        calls: Default::default(),
        running: Default::default(),
        shelf: LinkShelf::default(),
        warming: Default::default(),
        notes: ForwardNotes::new(log, metrics.clone(), now),
        metrics,
        events,
        view: view_sender,
        life: DaemonLife::machine(),
        stop_bound: boot.grace_period,
        quiet_until: TimePoint::NEVER,
        stop_by: TimePoint::NEVER,
        sweep_at: now,
        front_closed: false,
    };
    turn(&mut desk, inbox, inputs).await;
    let cut = desk.calls.len();
    drop(desk);
    // A port that does not close in time has nothing left that could be answered.
    let _ = timeout(LAST_LINGER, serving).await;
    drop(admin_sender);
    Ok(StopReport { cut })
}

/// The loop.
async fn turn(
    desk: &mut ForwardLoop,
    mut inbox: UnboundedReceiver<DeskEvent>,
    mut inputs: Receiver<PeerInput>,
) {
    let mut batch = Vec::with_capacity(EVENT_BATCH);
    while desk.phase() != LifePhase::Stopped {
        let due = sleep_until(desk.clock.instant(desk.next_wakeup()).into());
        tokio::select! {
            biased;
            _ = inbox.recv_many(&mut batch, EVENT_BATCH) => {}
            Some(input) = inputs.recv() => desk.take_input(input),
            () = due => {}
        }
        for event in batch.drain(..) {
            desk.handle(event);
        }
        desk.fire();
    }
}

async fn serve_callers(port: CallerPort, events: UnboundedSender<DeskEvent>) {
    port.serve().await;
    // The loop is gone only when the process ends.
    let _ = events.send(DeskEvent::FrontClosed);
}

fn ready_routes(view: watch::Receiver<FrontView>) -> Router {
    let ready = |State(view): State<watch::Receiver<FrontView>>| async move {
        match view.borrow().phase {
            LifePhase::Ready => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    };
    Router::new().route(READY_PATH, get(ready)).with_state(view)
}

fn metrics_routes(registry: Arc<Registry>) -> Router {
    let metrics = |State(registry): State<Arc<Registry>>| async move { encode_metrics(&registry) };
    Router::new()
        .route(METRICS_PATH, get(metrics))
        .with_state(registry)
}
