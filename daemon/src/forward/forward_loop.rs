//! State of the forwarding loop and its dispatch of events, timers and engine actions.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    sync::{
        atomic::AtomicU64,
        Arc, //
    },
    time::Duration, //
};

use policy::{
    directory::{
        DirectoryFeed,
        PageBudget, //
    },
    forward::{
        ForwardAction,
        ForwardEngine,
        ForwardEvent,
        LoggedEvent,
        ReplicaKey,
        RequestMark,
        RouteIndex,
        SendCommand, //
    },
    peers::{
        ContactBook,
        PeerCore,
        PeerEvent, //
    },
};
use schema::{
    peer::stream_body::Body,
    AttemptId,
    DaemonName,
    QueryId,
    TimePoint,
    ZoneName, //
};
use statig::prelude::StateMachine;
use tokio::{
    sync::{
        mpsc::UnboundedSender,
        oneshot,
        watch, //
    },
    task::{
        spawn_local,
        AbortHandle, //
    },
};

use super::{
    account_counts::AccountCounts,
    crash_store::KeepOrder,
    directory_calls::LongPoll,
    exchange_call::ExchangeCall,
    forward_log::ForwardLog,
    forward_metrics::ForwardMetrics,
    idle_pool::IdlePool,
    inbox_event::InboxEvent,
    pending_request::PendingRequest,
    replica_exchange::{
        run_exchange,
        CONNECT_TIMEOUT, //
    },
    reply_budget::ReplyBudget,
    source_log::SourceLog,
    store_reader::StoreReader, //
};
use crate::{
    clock::{
        DaemonClock,
        SuspensionWatch, //
    },
    lifecycle::{
        DaemonLife,
        LifeEvent,
        LifePhase, //
    },
    peering::PeerLink,
    serving_view::ServingView,
    upstream_link::UpstreamLink, //
};

/// Largest number of connections opened ahead of need in one interval.
const MAX_PRECONNECTS: usize = 12;
/// Interval at which idle connections are swept, new ones opened and gauges published.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// An exchange with a replica that has not ended.
#[derive(Debug)]
pub(super) struct RunningExchange {
    /// The request that the exchange is for.
    pub(super) query: QueryId,
    /// Whether another replica of the service is nearer to this daemon.
    pub(super) far: bool,
    /// Cancels the task of the exchange.
    pub(super) abort_handle: AbortHandle,
}

/// The state of the forwarding loop. It runs on one thread and decides on one event at a time.
pub(super) struct ForwardLoop {
    pub(super) clock: DaemonClock,
    pub(super) suspension_watch: SuspensionWatch,
    /// Name of this daemon's VM, and its data centre.
    pub(super) vm: DaemonName,
    pub(super) zone: ZoneName,
    pub(super) engine: ForwardEngine,
    pub(super) feed: DirectoryFeed,
    pub(super) reader: StoreReader,
    /// Changes of what the store keeps of requests that crash their replicas.
    pub(super) keep_orders: UnboundedSender<KeepOrder>,
    /// When the next reads of `feed` are decided on.
    pub(super) next_read_at: TimePoint,
    /// The source of the directory's copy, as logged.
    pub(super) source_log: SourceLog,
    /// The first read waits for other daemons until this time, so that few of them read the store.
    pub(super) join_deadline: TimePoint,
    pub(super) peers: PeerCore,
    /// The record of contacts, by which this daemon finds others if its seeds lead to none.
    pub(super) contacts: ContactBook,
    pub(super) peer_link: PeerLink,
    /// Long polls of other daemons that have no answer yet.
    pub(super) polls: Vec<LongPoll>,
    /// Limits the bandwidth that answers to other daemons take.
    pub(super) page_budget: PageBudget,
    /// Membership syncs of peers that have no answer yet, by a number that this daemon gives them.
    pub(super) sync_replies: HashMap<u64, oneshot::Sender<Body>>,
    pub(super) last_sync_id: u64,
    /// The route table in use; `None` before the first.
    pub(super) route_index: Option<Arc<RouteIndex>>,
    pub(super) requests: HashMap<QueryId, PendingRequest>,
    /// Number given to the last request, shared with the caller port.
    pub(super) last_query: Arc<AtomicU64>,
    pub(super) exchanges: HashMap<AttemptId, RunningExchange>,
    pub(super) idle_pool: IdlePool,
    /// Memory for replies that callers don't have yet.
    pub(super) reply_budget: ReplyBudget,
    /// Replicas to which a connection is being opened ahead of need.
    pub(super) preconnecting: BTreeSet<ReplicaKey>,
    pub(super) log: ForwardLog,
    pub(super) metrics: ForwardMetrics,
    /// Client accounts with counters of their own.
    pub(super) account_counts: AccountCounts,
    pub(super) events: UnboundedSender<InboxEvent>,
    /// Publishes the phase and the limits to the ports.
    pub(super) view: watch::Sender<ServingView>,
    pub(super) lifecycle: StateMachine<DaemonLife>,
    /// Longest time from the request to stop to the end of the process.
    pub(super) stop_bound: Duration,
    /// When the daemon stops accepting connections; `NEVER` until a stop is requested.
    pub(super) quiet_until: TimePoint,
    /// When the stop cuts the requests that are left; `NEVER` until a stop is requested.
    pub(super) stop_deadline: TimePoint,
    pub(super) next_sweep_at: TimePoint,
    /// Whether the caller port is closed and its connections have ended.
    pub(super) caller_port_closed: bool,
}

impl ForwardLoop {
    /// Handles an event from the inbox.
    pub(super) fn handle(&mut self, event: InboxEvent) {
        let now = self.clock.now();
        match event {
            InboxEvent::Arrived(arrived) => self.accept_request(now, *arrived),
            InboxEvent::CallerGone(query) => self.drop_request(now, query),
            InboxEvent::ExchangeEnded {
                attempt,
                replica,
                outcome,
            } => self.end_exchange(now, attempt, replica, *outcome),
            InboxEvent::Preconnected(replica, link) => {
                self.preconnecting.remove(&replica);
                if link.is_none() {
                    let event = ForwardEvent::Connected {
                        replica,
                        opened: false,
                    };
                    self.dispatch(now, event);
                }
                if let Some(link) = link {
                    self.metrics.connections_opened.inc();
                    self.idle_pool.put(now, replica, link);
                }
            }
            InboxEvent::HealthChecked(replica, link) => {
                self.end_health_check(now, replica, link);
            }
            InboxEvent::OfferReceived(from, offer) => {
                self.dispatch(now, ForwardEvent::OfferReceived { from, offer });
            }
            InboxEvent::RelayEnded(attempt, result) => self.end_relay(now, attempt, result),
            InboxEvent::Probed(replica, result) => self.end_probe(now, replica, result),
            InboxEvent::Directory(update) => self.apply_update(now, update),
            InboxEvent::TrialClaimed(query, print, outcome) => {
                let event = ForwardEvent::TrialClaimed {
                    query,
                    print,
                    outcome,
                };
                self.dispatch(now, event);
            }
            InboxEvent::FleetWritten(result) => self.end_fleet_write(now, &result),
            InboxEvent::CrashesKept(print, result) => self.end_keep(now, print, &result),
            InboxEvent::SyncAnswered(Some(body)) => {
                self.update_peers(now, PeerEvent::SyncReplied { body });
            }
            InboxEvent::SyncAnswered(None) => self.update_peers(now, PeerEvent::SyncFailed),
            InboxEvent::StatusRequested(sender) => {
                // The operator may have closed the connection.
                let _ = sender.send(self.status(now));
            }
            InboxEvent::StopAsked => self.stop(now),
            InboxEvent::SettingsChanged(change) => self.apply_settings(now, change),
            InboxEvent::SettingsUnusable(error) => self.reject_settings(&error),
            InboxEvent::ContactsRead(result) => self.end_contacts_read(now, result),
            InboxEvent::ContactsWritten(record, result) => {
                self.end_contacts_write(now, &record, &result);
            }
            InboxEvent::CallerPortClosed => self.caller_port_closed = true,
        }
    }

    /// When [`Self::run_due_timers`] must be called next.
    pub(super) fn next_wakeup(&self) -> TimePoint {
        let engine = self.engine.next_wakeup().min(self.peers.next_wakeup());
        let feed = self.feed.next_wakeup().min(self.next_poll_due());
        let lifecycle = self.quiet_until.min(self.stop_deadline);
        let directory = feed.min(self.next_read_at).min(self.contacts.next_check());
        engine.min(directory).min(lifecycle).min(self.next_sweep_at)
    }

    /// Runs every timer that is due.
    pub(super) fn run_due_timers(&mut self) {
        let now = self.clock.now();
        if self.engine.next_wakeup() <= now {
            self.dispatch(now, ForwardEvent::TimerFired);
        }
        if self.feed.next_wakeup() <= now {
            let changes = self.feed.on_timer(now);
            self.apply_changes(now, changes);
        }
        if self.next_poll_due() <= now {
            self.answer_polls(now);
        }
        if self.peers.next_wakeup() <= now {
            self.update_peers(now, PeerEvent::TimerFired);
        }
        self.read_contacts_if_due(now);
        self.start_next_read(now);
        if self.next_sweep_at <= now {
            self.next_sweep_at = now + SWEEP_INTERVAL;
            self.idle_pool.sweep(now);
            self.preconnect(now);
            self.confirm_fleet(now);
            self.publish_gauges(now);
        }
        if self.quiet_until <= now {
            self.quiet_until = TimePoint::NEVER;
            self.advance_lifecycle(&LifeEvent::QuietEnded);
        }
        if self.stop_deadline <= now {
            self.stop_deadline = TimePoint::NEVER;
            self.advance_lifecycle(&LifeEvent::StopTimedOut);
        }
        if self.caller_port_closed && self.requests.is_empty() {
            self.advance_lifecycle(&LifeEvent::WorkDrained);
        }
    }

    /// The current phase of the daemon.
    pub(super) fn phase(&self) -> LifePhase {
        self.lifecycle.phase()
    }

    /// Passes an event to the engine and carries out its actions.
    pub(super) fn dispatch(&mut self, now: TimePoint, event: ForwardEvent) {
        let mut actions = Vec::new();
        self.engine.on_event(now, event, &mut actions);
        for action in actions {
            match action {
                ForwardAction::Send(command) => self.send(now, command),
                ForwardAction::Cancel { attempt } => {
                    if let Some(exchange) = self.exchanges.remove(&attempt) {
                        exchange.abort_handle.abort();
                    }
                }
                ForwardAction::Probe { replica, address } => self.probe(replica, address),
                ForwardAction::CheckHealth {
                    replica,
                    service,
                    address,
                } => self.check_health(replica, &service, address),
                ForwardAction::AskHelper { to, helpers } => self.ask_helper(&to, helpers),
                ForwardAction::Relay(command) => self.relay(now, command),
                ForwardAction::ReportCrash(notice) => {
                    self.update_peers(now, PeerEvent::CrashObserved { notice });
                }
                ForwardAction::KeepCrashes(notice) => self.keep_crashes(KeepOrder::Keep(notice)),
                ForwardAction::DropCrashes(print) => self.keep_crashes(KeepOrder::Drop(print)),
                ForwardAction::ClaimTrial { query, notice } => self.claim_trial(now, query, notice),
                ForwardAction::ShareLimits { to, notice } => {
                    self.update_peers(now, PeerEvent::LimitsShared { to, notice });
                }
                ForwardAction::ShareRates { to, message } => {
                    self.update_peers(now, PeerEvent::RatesShared { to, message });
                }
                ForwardAction::WriteFleet {
                    record,
                    expected_revision,
                } => self.write_fleet(record, expected_revision),
                ForwardAction::CloseIdle { replica } | ForwardAction::Forget { replica } => {
                    self.idle_pool.close(replica);
                }
                ForwardAction::Answer { query, answer } => self.answer(now, query, answer),
                ForwardAction::Log(event) => self.record_event(now, &event),
            }
        }
    }

    /// Opens a connection to the nearest replica of each service that has no idle one. Without
    /// this, a request to several shards would wait until a connection to each of them is set up.
    fn preconnect(&mut self, now: TimePoint) {
        let (Some(index), LifePhase::Ready) = (&self.route_index, self.phase()) else {
            return;
        };
        if self.engine.is_stranded() {
            return;
        }
        let mut remaining = MAX_PRECONNECTS;
        for (replica, address) in self.engine.nearest(now, index) {
            if remaining == 0 {
                return;
            }
            if self.idle_pool.has(replica) || !self.preconnecting.insert(replica) {
                continue;
            }
            remaining -= 1;
            let events = self.events.clone();
            spawn_local(async move {
                let link = UpstreamLink::connect(address, CONNECT_TIMEOUT, || ()).await;
                // The channel is closed only when the process ends.
                let _ = events.send(InboxEvent::Preconnected(replica, link.ok()));
            });
        }
    }

    fn send(&mut self, now: TimePoint, command: SendCommand) {
        let Some(request) = self.requests.get_mut(&command.query) else {
            return;
        };
        request.sends += 1;
        request.directory_age = self.feed.age(now);
        if request.keeps_replies {
            request.last_replica = Some(command.name.clone());
        }
        self.metrics.sends.inc();
        let mark = RequestMark::new(request.template.id.as_bytes(), now, command.deadline);
        let call = ExchangeCall {
            address: command.address,
            request: request.template.build(&command, now),
            id: request.template.id.clone(),
            mark,
            budget: self.reply_budget.clone(),
        };
        let link = self.idle_pool.take(command.replica, &mark);
        let events = self.events.clone();
        let (attempt, query) = (command.attempt, command.query);
        let replica = command.replica;
        let task = spawn_local(async move {
            let outcome = run_exchange(link, call).await;
            // The channel is closed only when the process ends.
            let _ = events.send(InboxEvent::ExchangeEnded {
                attempt,
                replica,
                outcome: Box::new(outcome),
            });
        });
        let exchange = RunningExchange {
            query,
            far: command.far,
            abort_handle: task.abort_handle(),
        };
        self.exchanges.insert(attempt, exchange);
    }

    fn record_event(&mut self, now: TimePoint, event: &LoggedEvent) {
        let query = match event {
            LoggedEvent::ExtraAttemptSent { query, cause, .. } => {
                let label = [("cause", *cause)];
                self.metrics.extra_attempts.get_or_create(&label).inc();
                Some(query)
            }
            LoggedEvent::AttemptFailed { query, cause, .. } => {
                let label = [("cause", *cause)];
                self.metrics.failures.get_or_create(&label).inc();
                Some(query)
            }
            LoggedEvent::SuspectSent { query, cause, .. } => {
                let label = [("cause", *cause)];
                self.metrics.suspect_sends.get_or_create(&label).inc();
                Some(query)
            }
            LoggedEvent::TrialClaimed { query, outcome, .. } => {
                let label = [("outcome", *outcome)];
                self.metrics.trials.get_or_create(&label).inc();
                Some(query)
            }
            LoggedEvent::TrialPassed { query, .. } => {
                let label = [("outcome", "passed")];
                self.metrics.trials.get_or_create(&label).inc();
                Some(query)
            }
            LoggedEvent::TrialReturned { query, .. } => {
                let label = [("outcome", "returned")];
                self.metrics.trials.get_or_create(&label).inc();
                Some(query)
            }
            LoggedEvent::CrashCounted { query, .. }
            | LoggedEvent::CrashesRefuted { query, .. }
            | LoggedEvent::RequestRelayed { query, .. }
            | LoggedEvent::RequestStopped { query, .. } => Some(query),
            LoggedEvent::RequestHeldBack { query, outcome, .. } => {
                let label = [("outcome", *outcome)];
                self.metrics.held_back.get_or_create(&label).inc();
                Some(query)
            }
            LoggedEvent::RelayEnded { query, outcome, .. } => {
                let label = [("outcome", outcome.as_str())];
                self.metrics.relays.get_or_create(&label).inc();
                Some(query)
            }
            LoggedEvent::DelegateAvoided { query, cause, .. } => {
                let label = [("outcome", *cause)];
                self.metrics.delegations.get_or_create(&label).inc();
                Some(query)
            }
            LoggedEvent::ZoneEvacuated { evacuated, .. } => {
                let change = if *evacuated { "started" } else { "ended" };
                let label = [("change", change)];
                self.metrics.evacuations.get_or_create(&label).inc();
                None
            }
            LoggedEvent::ZoneUnknown { .. } => {
                let label = [("change", "unknown")];
                self.metrics.evacuations.get_or_create(&label).inc();
                None
            }
            LoggedEvent::ReplicaCrashed { .. } => {
                self.metrics.crashes.inc();
                None
            }
            _ => None,
        };
        let template = query
            .and_then(|query| self.requests.get(query))
            .map(|request| request.template.clone());
        let id = template
            .as_ref()
            .and_then(|template| template.id.to_str().ok());
        self.log.write(now, event, id.unwrap_or(""));
    }
}
