//! The loop's state on the platform, and how it takes events in.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    sync::Arc,
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
        RouteIndex,
        SendCommand, //
    },
    peers::{
        PeerCore,
        PeerEvent, //
    },
};
use schema::{
    peer::stream_body::Body,
    AttemptId,
    QueryId,
    TimePoint, //
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
    call_desk::CallDesk,
    desk_event::DeskEvent,
    forward_metrics::ForwardMetrics,
    forward_notes::ForwardNotes,
    forward_peers::WaitingCall,
    link_shelf::LinkShelf,
    replica_exchange::{
        run_exchange,
        CONNECT_TIMEOUT, //
    },
    store_reader::StoreReader, //
};
use crate::{
    clock::DaemonClock,
    events,
    front_view::FrontView,
    lifecycle::{
        DaemonLife,
        LifeEvent,
        LifePhase, //
    },
    log_event,
    peering::PeerLink,
    upstream_link::UpstreamLink, //
};

/// Connections that are opened ahead in one interval.
const WARM_MAX: usize = 12;
/// Interval of the cleaning of idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// An exchange with a replica.
#[derive(Debug)]
pub(super) struct RunningExchange {
    /// The request that it is for.
    pub(super) query: QueryId,
    /// Whether another replica of the service is nearer.
    pub(super) far: bool,
    /// Ends it.
    pub(super) abort: AbortHandle,
}

/// The state of the loop.
pub(super) struct ForwardLoop {
    pub(super) clock: DaemonClock,
    pub(super) engine: ForwardEngine,
    pub(super) feed: DirectoryFeed,
    pub(super) reader: StoreReader,
    pub(super) feed_busy: bool,
    pub(super) feed_at: TimePoint,
    pub(super) join_until: TimePoint,
    pub(super) peers: PeerCore,
    pub(super) link: PeerLink,
    pub(super) waiting: Vec<WaitingCall>,
    pub(super) pages: PageBudget,
    pub(super) sync_replies: HashMap<u64, oneshot::Sender<Body>>,
    pub(super) last_reply: u64,
    pub(super) index: Option<Arc<RouteIndex>>,
    pub(super) calls: HashMap<QueryId, CallDesk>,
    pub(super) running: HashMap<AttemptId, RunningExchange>,
    pub(super) shelf: LinkShelf,
    /// Replicas to which a connection is being opened before it is needed.
    pub(super) warming: BTreeSet<ReplicaKey>,
    pub(super) notes: ForwardNotes,
    pub(super) metrics: ForwardMetrics,
    pub(super) events: UnboundedSender<DeskEvent>,
    pub(super) view: watch::Sender<FrontView>,
    pub(super) life: StateMachine<DaemonLife>,
    pub(super) stop_bound: Duration,
    pub(super) quiet_until: TimePoint,
    pub(super) stop_by: TimePoint,
    pub(super) sweep_at: TimePoint,
    pub(super) front_closed: bool,
}

impl ForwardLoop {
    /// Takes an event in.
    pub(super) fn handle(&mut self, event: DeskEvent) {
        let now = self.clock.now();
        match event {
            DeskEvent::Arrived(arrived) => self.arrive(now, *arrived),
            DeskEvent::CallerGone(query) => self.caller_gone(now, query),
            DeskEvent::ExchangeEnded {
                attempt,
                replica,
                end,
            } => self.end_exchange(now, attempt, replica, *end),
            DeskEvent::Warmed(replica, link) => {
                self.warming.remove(&replica);
                if let Some(link) = link {
                    self.metrics.opened.inc();
                    self.shelf.put(now, replica, link);
                }
            }
            DeskEvent::Directory(news) => self.take_news(now, news),
            DeskEvent::SyncAnswered(Some(body)) => {
                self.tell_peers(now, PeerEvent::SyncReplied { body });
            }
            DeskEvent::SyncAnswered(None) => self.tell_peers(now, PeerEvent::SyncFailed),
            DeskEvent::StopAsked => self.stop(now),
            DeskEvent::SettingsChanged => log_event!(self.notes.log, events::SETTINGS_CHANGED),
            DeskEvent::FrontClosed => self.front_closed = true,
        }
    }

    /// When [`Self::fire`] is due.
    pub(super) fn next_wakeup(&self) -> TimePoint {
        let engine = self.engine.next_wakeup().min(self.peers.next_wakeup());
        let feed = self.feed.next_wakeup().min(self.feed_due());
        let reading = match self.feed_busy {
            true => TimePoint::NEVER,
            false => self.feed_at,
        };
        let life = self.quiet_until.min(self.stop_by);
        let directory = feed.min(reading);
        engine.min(directory).min(life).min(self.sweep_at)
    }

    /// Does what has come due.
    pub(super) fn fire(&mut self) {
        let now = self.clock.now();
        if self.engine.next_wakeup() <= now {
            self.decide(now, ForwardEvent::TimerFired);
        }
        if self.feed.next_wakeup() <= now {
            let effects = self.feed.wake(now);
            self.take_effects(now, effects);
        }
        if self.feed_due() <= now {
            self.serve_waiting(now);
        }
        if self.peers.next_wakeup() <= now {
            self.tell_peers(now, PeerEvent::TimerFired);
        }
        self.drive_feed(now);
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP_PERIOD;
            self.shelf.sweep(now);
            self.warm(now);
            self.publish_gauges(now);
        }
        if self.quiet_until <= now {
            self.quiet_until = TimePoint::NEVER;
            self.turn_life(&LifeEvent::QuietEnded);
        }
        if self.stop_by <= now {
            self.stop_by = TimePoint::NEVER;
            self.turn_life(&LifeEvent::StopTimedOut);
        }
        if self.front_closed && self.calls.is_empty() {
            self.turn_life(&LifeEvent::WorkDrained);
        }
    }

    /// Where in its life the daemon is.
    pub(super) fn phase(&self) -> LifePhase {
        self.life.phase()
    }

    /// Hands an event to the engine and does what it asks for.
    pub(super) fn decide(&mut self, now: TimePoint, event: ForwardEvent) {
        let mut actions = Vec::new();
        self.engine.on_event(now, event, &mut actions);
        for action in actions {
            match action {
                ForwardAction::Send(order) => self.send(now, order),
                ForwardAction::Cancel { attempt } => {
                    if let Some(running) = self.running.remove(&attempt) {
                        running.abort.abort();
                    }
                }
                ForwardAction::CloseIdle { replica } | ForwardAction::Forget { replica } => {
                    self.shelf.close(replica);
                }
                ForwardAction::Answer { query, answer } => self.answer(now, query, answer),
                ForwardAction::Log(note) => self.note(now, &note),
            }
        }
    }

    /// Opens connections to replicas that will be asked next and have none: a request that finds all
    /// shards cold would wait for all set-ups.
    fn warm(&mut self, now: TimePoint) {
        let (Some(index), LifePhase::Ready) = (&self.index, self.phase()) else {
            return;
        };
        let mut room = WARM_MAX;
        for (replica, address) in self.engine.nearest(now, index) {
            if room == 0 {
                return;
            }
            if self.shelf.has(replica) || !self.warming.insert(replica) {
                continue;
            }
            room -= 1;
            let events = self.events.clone();
            spawn_local(async move {
                let link = UpstreamLink::connect(address, CONNECT_TIMEOUT, || ()).await;
                // The loop is gone only when the process ends.
                let _ = events.send(DeskEvent::Warmed(replica, link));
            });
        }
    }

    fn send(&mut self, now: TimePoint, order: SendCommand) {
        let Some(desk) = self.calls.get_mut(&order.query) else {
            return;
        };
        desk.sends += 1;
        if desk.relays {
            desk.replica = Some(order.name.clone());
        }
        self.metrics.sends.inc();
        let request = desk.head.request(&order, now);
        let id = desk.head.id.clone();
        let link = self.shelf.take(now, order.replica);
        let events = self.events.clone();
        let (attempt, query) = (order.attempt, order.query);
        let (replica, address) = (order.replica, order.address);
        let task = spawn_local(async move {
            let end = run_exchange(link, address, request, id).await;
            // The loop is gone only when the process ends.
            let _ = events.send(DeskEvent::ExchangeEnded {
                attempt,
                replica,
                end: Box::new(end),
            });
        });
        let running = RunningExchange {
            query,
            far: order.far,
            abort: task.abort_handle(),
        };
        self.running.insert(attempt, running);
    }

    fn note(&mut self, now: TimePoint, note: &LoggedEvent) {
        let query = match note {
            LoggedEvent::ExtraAttemptSent { query, cause, .. } => {
                let label = [("cause", *cause)];
                self.metrics.extras.get_or_create(&label).inc();
                Some(query)
            }
            LoggedEvent::AttemptFailed { query, cause, .. } => {
                let label = [("cause", *cause)];
                self.metrics.failures.get_or_create(&label).inc();
                Some(query)
            }
            _ => None,
        };
        let head = query
            .and_then(|query| self.calls.get(query))
            .map(|desk| desk.head.clone());
        let id = head.as_ref().and_then(|head| head.id.to_str().ok());
        self.notes.write(now, note, id.unwrap_or(""));
    }

    fn publish_gauges(&self, now: TimePoint) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.in_flight.set(gauge(self.calls.len()));
        self.metrics.idle.set(gauge(self.shelf.count()));
        let status = self.engine.status(now);
        for (state, count) in status.replicas {
            let label = [("state", state)];
            self.metrics
                .replicas
                .get_or_create(&label)
                .set(gauge(count));
        }
        for (service, left) in status.budgets {
            let label = [("service", service.to_string())];
            let left = i64::from(left);
            self.metrics.budget.get_or_create(&label).set(left);
        }
        self.metrics.waiting.set(gauge(status.waiting));
    }
}
