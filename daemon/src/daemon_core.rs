//! State of the daemon's event loop. One thread owns it and makes every decision.

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
        initial_signers,
        new_ledger,
        peer_settings,
        rng_seed, //
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

/// Interval at which connections that were idle too long are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Clock, sockets and channels that a [`DaemonCore`] is started with.
pub(crate) struct CoreContext {
    /// Clock that every time of the loop is read from.
    pub(crate) clock: DaemonClock,
    /// Receives the events of the catalogue.
    pub(crate) log: Logger,
    /// Metrics that `/metrics` exports.
    pub(crate) metrics: DaemonMetrics,
    /// Sends events of the loop's tasks back to it.
    pub(crate) events: UnboundedSender<LoopEvent>,
    /// Publishes phase and bundle to the callers' and the operators' ports.
    pub(crate) view: watch::Sender<ServingView>,
    /// Queue of the spans that are to be exported.
    pub(crate) spans: SpanQueue,
    /// Client of the store; `None` where the settings name no store.
    pub(crate) store: Option<StoreClient>,
    /// Datagrams and calls to other daemons.
    pub(crate) peer_link: PeerLink,
    /// Address on which this daemon listens for other daemons.
    pub(crate) peer: SocketAddr,
    /// Whether this daemon is to watch the store on behalf of its data centre.
    pub(crate) watches_store: watch::Sender<bool>,
}

/// The state that the event loop owns.
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
    pub(crate) lifecycle: StateMachine<DaemonLife>,
    pub(crate) calls: HashMap<QueryId, RunningCall>,
    pub(crate) attempts: HashMap<AttemptId, RunningAttempt>,
    pub(crate) chain: BundleChain,
    pub(crate) claims: ClaimManager,
    pub(crate) ledger: Option<ChargeLedger>,
    pub(crate) charges_full: bool,
    pub(crate) peers: PeerCore,
    pub(crate) peer_link: PeerLink,
    pub(crate) watches_store: watch::Sender<bool>,
    pub(crate) pending_replies: HashMap<u64, oneshot::Sender<Body>>,
    pub(crate) last_reply_id: u64,
    pub(crate) store: Option<StoreClient>,
    pub(crate) spec: Option<Arc<DeploymentSpec>>,
    pub(crate) store_up: Option<bool>,
    pub(crate) requests_cut: usize,
    pub(crate) vm_list_known: bool,
    pub(crate) vm_list: Option<VmList>,
    pub(crate) caller_port_closed: bool,
    pub(crate) ledger_stopping: bool,
    pub(crate) quiet_until: TimePoint,
    pub(crate) stop_deadline: TimePoint,
    next_sweep: TimePoint,
}

impl DaemonCore {
    /// The state of a daemon that has neither a bundle nor a VM list yet.
    pub(crate) fn new(config: DaemonConfig, context: CoreContext) -> Self {
        let CoreContext {
            clock,
            log,
            metrics,
            events,
            view,
            spans,
            store,
            peer_link,
            peer,
            watches_store,
        } = context;
        let incarnation = Incarnation(clock.start_time().0);
        let seed = rng_seed(&config, incarnation);
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
            lifecycle: DaemonLife::machine(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            ledger: store
                .is_some()
                .then(|| new_ledger(&config, peer, incarnation)),
            charges_full: false,
            peers: PeerCore::new(clock.now(), peer_settings(&config, peer, incarnation)),
            peer_link,
            watches_store,
            pending_replies: HashMap::new(),
            last_reply_id: 0,
            claims: ClaimManager::new(ClaimSettings {
                daemon: Some(config.name.clone()),
                incarnation,
                seed,
                ..ClaimSettings::default()
            }),
            store,
            chain: BundleChain::new(config.deployment.clone(), initial_signers(&config)),
            spec: None,
            store_up: None,
            requests_cut: 0,
            vm_list_known: false,
            vm_list: None,
            caller_port_closed: false,
            ledger_stopping: false,
            quiet_until: TimePoint::NEVER,
            stop_deadline: TimePoint::NEVER,
            next_sweep: clock.now() + SWEEP_INTERVAL,
            config,
        }
    }

    pub(crate) fn phase(&self) -> LifePhase {
        self.lifecycle.inner().phase()
    }

    /// Handles one event and executes the actions that result from it.
    pub(crate) fn handle(&mut self, event: LoopEvent) {
        let now = self.clock.now();
        match event {
            LoopEvent::CallArrived(arrived) => self.start_call(now, *arrived),
            LoopEvent::CallerGone(query) => self.handle_caller_gone(now, query),
            LoopEvent::LinkOpened(vm, link) => {
                self.pool.put_idle(&vm, link, now);
                self.start_ready_attempts(now, &vm);
            }
            LoopEvent::LinkFailed(vm) => self.handle_link_failure(now, &vm),
            LoopEvent::LinkClosed(vm) => {
                self.pool.connection_closed(&vm);
                self.metrics.connections.dec();
                self.start_ready_attempts(now, &vm);
            }
            LoopEvent::ExchangeEnded {
                attempt,
                vm,
                outcome,
            } => {
                self.finish_exchange(now, attempt, &vm, *outcome);
            }
            LoopEvent::VmListRead(list) => self.apply_vm_list(now, *list),
            LoopEvent::VmListFailed => self.request_peer_vm_list(),
            LoopEvent::PeerVmListRead(list) => self.apply_peer_vm_list(now, &list),
            LoopEvent::UnsignedBundle(spec) => self.apply_bundle(now, spec),
            LoopEvent::BundleOffered(signed) => self.offer_bundle(now, &signed),
            LoopEvent::HeadMissing => self.repair_store_head(),
            LoopEvent::StoreReplied { owner, call, reply } => {
                self.handle_store_reply(now, owner, call, reply);
            }
            LoopEvent::StoreChecked(up) => self.store_up = Some(up),
            LoopEvent::CopyAnswered { peer, reply } => self.handle_copy_reply(now, peer, reply),
            LoopEvent::SyncAnswered(Some(body)) => {
                self.step_peers(now, PeerEvent::SyncReplied { body });
            }
            LoopEvent::SyncAnswered(None) => self.step_peers(now, PeerEvent::SyncFailed),
            LoopEvent::StatusRequested(answer) => {
                let _ = answer.send(self.status(now));
            }
            LoopEvent::StopRequested => self.request_stop(now),
            LoopEvent::CallerPortClosed => self.caller_port_closed = true,
        }
    }

    /// Handles every timer that has expired, and ends a drain whose work is done.
    pub(crate) fn fire_timers(&mut self) {
        let now = self.clock.now();
        if self.engine.next_wakeup() <= now {
            self.step_engine(now, EngineEvent::TimerFired);
        }
        if self.claims.next_wakeup() <= now {
            self.step_claims(now, ClaimEvent::TimerFired);
        }
        if self.peers.next_wakeup() <= now {
            self.step_peers(now, PeerEvent::TimerFired);
        }
        if self.next_charge_wakeup() <= now {
            self.step_ledger(now, ChargeEvent::TimerFired);
        }
        if self.quiet_until <= now {
            self.quiet_until = TimePoint::NEVER;
            self.advance_lifecycle(LifeEvent::QuietEnded);
        }
        if self.stop_deadline <= now {
            self.stop_deadline = TimePoint::NEVER;
            self.advance_lifecycle(LifeEvent::StopTimedOut);
        }
        if self.phase() == LifePhase::Draining && self.all_answered() {
            self.finish_charges(now);
        }
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.pool.close_expired(now);
        }
    }

    /// When the next timer expires.
    pub(crate) fn next_wakeup(&self) -> TimePoint {
        let core_timers = self
            .quiet_until
            .min(self.stop_deadline)
            .min(self.next_sweep);
        core_timers
            .min(self.engine.next_wakeup())
            .min(self.claims.next_wakeup())
            .min(self.next_charge_wakeup())
            .min(self.peers.next_wakeup())
    }

    /// Passes an event to the query engine and executes the engine's actions.
    pub(crate) fn step_engine(&mut self, now: TimePoint, event: EngineEvent) {
        let mut actions = Vec::new();
        self.engine.on_event(now, event, &mut actions);
        self.execute(now, actions);
    }

    /// Drops the call of a caller that has left. The engine cancels its request, unless it may run
    /// only once: then it is finished without the caller.
    fn handle_caller_gone(&mut self, now: TimePoint, query: QueryId) {
        self.calls.remove(&query);
        self.metrics.in_flight.set(self.calls.len() as i64);
        self.step_engine(now, EngineEvent::CallerGone { query });
    }

    fn next_charge_wakeup(&self) -> TimePoint {
        let ledger = self.ledger.as_ref();
        ledger.map_or(TimePoint::NEVER, ChargeLedger::next_wakeup)
    }

    /// Uses the upstreams and daemons of a VM list from now on.
    pub(crate) fn apply_vm_list(&mut self, now: TimePoint, list: VmList) {
        self.vm_list_known = true;
        let replicas = parse_replicas(&list);
        self.step_engine(now, EngineEvent::PlacementChanged { replicas });
        self.report_listed_daemons(now, &list);
        self.vm_list = Some(list);
        self.check_prerequisites();
    }

    /// Makes the daemon ready once it has a bundle and a VM list.
    pub(crate) fn check_prerequisites(&mut self) {
        if self.vm_list_known && self.spec.is_some() {
            self.advance_lifecycle(LifeEvent::PrerequisitesMet);
        }
    }
}
