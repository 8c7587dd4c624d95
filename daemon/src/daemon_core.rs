//! The loop's state: every decision is made here, on one thread.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use policy::{
    bundle::BundleChain,
    charges::{
        ChargeEvent,
        ChargeLedger, //
    },
    claims::{
        ClaimEvent,
        ClaimManager,
        ClaimSettings, //
    },
    engine::{
        EngineEvent,
        EngineSettings,
        QueryEngine, //
    },
    peers::{
        PeerCore,
        PeerEvent, //
    }, //
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use schema::{
    peer::stream_body::Body,
    platform::VmList,
    AttemptId,
    DeploymentSpec,
    Incarnation,
    QueryId,
    TimePoint, //
};
use slog::Logger;
use statig::blocking::StateMachine;
use tokio::sync::{
    mpsc::UnboundedSender,
    oneshot,
    watch, //
};

use crate::{
    clock::DaemonClock,
    config::DaemonConfig,
    connection_pool::ConnectionPool,
    core_settings::{
        ledger_of,
        peer_settings,
        seed_of,
        trust_of, //
    },
    lifecycle::{
        DaemonLife,
        LifeEvent,
        LifePhase, //
    },
    loop_event::LoopEvent,
    metrics::DaemonMetrics,
    peering::PeerLink,
    request_writer::RequestWriter,
    running_call::{
        RunningAttempt,
        RunningCall, //
    },
    serving_view::ServingView,
    span_queue::SpanQueue,
    store::StoreClient,
    vm_poll::parse_replicas, //
};

/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// What the loop does its input and output with.
pub(crate) struct CoreTools {
    /// The process's clock.
    pub(crate) clock: DaemonClock,
    /// The logger.
    pub(crate) log: Logger,
    /// The metrics.
    pub(crate) metrics: DaemonMetrics,
    /// The way back to the loop.
    pub(crate) events: UnboundedSender<LoopEvent>,
    /// Where the ports look.
    pub(crate) view: watch::Sender<ServingView>,
    /// Where spans go.
    pub(crate) spans: SpanQueue,
    /// The store, where the settings name one.
    pub(crate) store: Option<StoreClient>,
    /// The port for peers.
    pub(crate) link: PeerLink,
    /// Its address.
    pub(crate) peer: SocketAddr,
    /// Told whether this daemon watches the store for its data centre.
    pub(crate) watching: watch::Sender<bool>,
}

/// Everything the loop owns.
pub(crate) struct DaemonCore {
    pub(crate) config: DaemonConfig,
    pub(crate) clock: DaemonClock,
    pub(crate) log: Logger,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) engine: QueryEngine,
    pub(crate) pool: ConnectionPool,
    pub(crate) writer: RequestWriter,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) events: UnboundedSender<LoopEvent>,
    pub(crate) view: watch::Sender<ServingView>,
    pub(crate) spans: SpanQueue,
    pub(crate) life: StateMachine<DaemonLife>,
    pub(crate) calls: HashMap<QueryId, RunningCall>,
    pub(crate) attempts: HashMap<AttemptId, RunningAttempt>,
    pub(crate) chain: BundleChain,
    pub(crate) claims: ClaimManager,
    pub(crate) charges: Option<ChargeLedger>,
    pub(crate) charges_full: bool,
    pub(crate) peers: PeerCore,
    pub(crate) link: PeerLink,
    pub(crate) watching: watch::Sender<bool>,
    pub(crate) replies: HashMap<u64, oneshot::Sender<Body>>,
    pub(crate) last_reply: u64,
    pub(crate) store: Option<StoreClient>,
    pub(crate) spec: Option<Arc<DeploymentSpec>>,
    pub(crate) store_up: Option<bool>,
    pub(crate) cut: usize,
    pub(crate) placed: bool,
    pub(crate) list: Option<VmList>,
    pub(crate) front_closed: bool,
    pub(crate) charges_closed: bool,
    pub(crate) quiet_until: TimePoint,
    pub(crate) stop_by: TimePoint,
    next_sweep: TimePoint,
}

impl DaemonCore {
    /// The state at the start of a daemon.
    pub(crate) fn new(config: DaemonConfig, tools: CoreTools) -> Self {
        let CoreTools {
            clock,
            log,
            metrics,
            events,
            view,
            spans,
            store,
            link,
            peer,
            watching,
        } = tools;
        let incarnation = Incarnation(clock.start_time().0);
        let seed = seed_of(&config, incarnation);
        let engine = QueryEngine::new(EngineSettings {
            zone: config.zone.clone(),
            name: config.name.clone(),
            seed,
            max_requests: config.limits.requests,
        });
        let writer = RequestWriter::new(&config, incarnation);
        Self {
            clock,
            log,
            metrics,
            engine,
            pool: ConnectionPool::default(),
            writer,
            rng: Pcg64Mcg::seed_from_u64(seed),
            events,
            view,
            spans,
            life: DaemonLife::machine(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            charges: store
                .is_some()
                .then(|| ledger_of(&config, peer, incarnation)),
            charges_full: false,
            peers: PeerCore::new(clock.now(), peer_settings(&config, peer, incarnation)),
            link,
            watching,
            replies: HashMap::new(),
            last_reply: 0,
            claims: ClaimManager::new(ClaimSettings {
                daemon: Some(config.name.clone()),
                incarnation,
                seed,
                ..ClaimSettings::default()
            }),
            store,
            chain: BundleChain::new(config.deployment.clone(), trust_of(&config)),
            spec: None,
            store_up: None,
            cut: 0,
            placed: false,
            list: None,
            front_closed: false,
            charges_closed: false,
            quiet_until: TimePoint::NEVER,
            stop_by: TimePoint::NEVER,
            next_sweep: clock.now() + SWEEP_INTERVAL,
            config,
        }
    }

    /// The phase that the daemon is in.
    pub(crate) fn phase(&self) -> LifePhase {
        self.life.inner().phase()
    }

    /// Takes in one event and does what follows from it.
    pub(crate) fn handle(&mut self, event: LoopEvent) {
        let now = self.clock.now();
        match event {
            LoopEvent::CallArrived(arrived) => self.take_call(now, *arrived),
            LoopEvent::CallerGone(query) => self.drop_caller(now, query),
            LoopEvent::LinkOpened(vm, link) => {
                self.pool.put_idle(&vm, link, now);
                self.pump(now, &vm);
            }
            LoopEvent::LinkRefused(vm) => self.take_refusal(now, &vm),
            LoopEvent::LinkClosed(vm) => {
                self.pool.connection_closed(&vm);
                self.metrics.connections.dec();
                self.pump(now, &vm);
            }
            LoopEvent::ExchangeEnded {
                attempt,
                vm,
                outcome,
            } => {
                self.end_exchange(now, attempt, &vm, *outcome);
            }
            LoopEvent::PlacementRead(list) => self.take_placement(now, *list),
            LoopEvent::PlacementMissed => self.ask_list(),
            LoopEvent::PlacementTold(list) => self.take_told_list(now, &list),
            LoopEvent::BundleForced(spec) => self.apply_bundle(now, spec),
            LoopEvent::BundleOffered(signed) => self.offer_bundle(now, &signed),
            LoopEvent::HeadMissing => self.repair_store(),
            LoopEvent::StoreReplied { user, call, reply } => {
                self.take_store_reply(now, user, call, reply);
            }
            LoopEvent::StoreSeen(up) => self.store_up = Some(up),
            LoopEvent::CopyAnswered { peer, reply } => self.take_copy(now, peer, reply),
            LoopEvent::SyncAnswered(Some(body)) => {
                self.tell_peers(now, PeerEvent::SyncReplied { body });
            }
            LoopEvent::SyncAnswered(None) => self.tell_peers(now, PeerEvent::SyncFailed),
            LoopEvent::StatusAsked(answer) => {
                let _ = answer.send(self.status(now));
            }
            LoopEvent::StopAsked => self.ask_stop(now),
            LoopEvent::FrontClosed => self.front_closed = true,
        }
    }

    /// Does what is due.
    pub(crate) fn fire_timers(&mut self) {
        let now = self.clock.now();
        if self.engine.next_wakeup() <= now {
            self.tell(now, EngineEvent::TimerFired);
        }
        if self.claims.next_wakeup() <= now {
            self.tell_claims(now, ClaimEvent::TimerFired);
        }
        if self.peers.next_wakeup() <= now {
            self.tell_peers(now, PeerEvent::TimerFired);
        }
        if self.next_charge() <= now {
            self.tell_charges(now, ChargeEvent::TimerFired);
        }
        if self.quiet_until <= now {
            self.quiet_until = TimePoint::NEVER;
            self.live(LifeEvent::QuietOver);
        }
        if self.stop_by <= now {
            self.stop_by = TimePoint::NEVER;
            self.live(LifeEvent::BoundReached);
        }
        if self.phase() == LifePhase::Draining && self.is_answered() {
            self.finish_charges(now);
        }
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.pool.close_expired(now);
        }
    }

    /// When something is due next.
    pub(crate) fn next_wakeup(&self) -> TimePoint {
        let own = self.quiet_until.min(self.stop_by).min(self.next_sweep);
        own.min(self.engine.next_wakeup())
            .min(self.claims.next_wakeup())
            .min(self.next_charge())
            .min(self.peers.next_wakeup())
    }

    /// Tells the engine of an event and does what it asks.
    pub(crate) fn tell(&mut self, now: TimePoint, event: EngineEvent) {
        let mut actions = Vec::new();
        self.engine.on_event(now, event, &mut actions);
        self.execute(now, actions);
    }

    /// A request that runs only once goes on without its caller; any other is given up.
    fn drop_caller(&mut self, now: TimePoint, query: QueryId) {
        self.calls.remove(&query);
        self.metrics.in_flight.set(self.calls.len() as i64);
        self.tell(now, EngineEvent::CallerGone { query });
    }

    fn next_charge(&self) -> TimePoint {
        let ledger = self.charges.as_ref();
        ledger.map_or(TimePoint::NEVER, ChargeLedger::next_wakeup)
    }

    /// Puts a VM list in use.
    pub(crate) fn take_placement(&mut self, now: TimePoint, list: VmList) {
        self.placed = true;
        let replicas = parse_replicas(&list);
        self.tell(now, EngineEvent::PlacementChanged { replicas });
        self.list_daemons(now, &list);
        self.list = Some(list);
        self.check_equipped();
    }

    /// Makes the daemon ready once it has all it needs.
    pub(crate) fn check_equipped(&mut self) {
        if self.placed && self.spec.is_some() {
            self.live(LifeEvent::Equipped);
        }
    }
}
