//! The loop's state on the platform, and how it takes events in.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use http::{
    header,
    HeaderMap,
    HeaderValue,
    StatusCode, //
};
use platform::{
    merged_headers,
    request_id,
    retry_after,
    time_left, //
};
use policy::{
    directory::{
        DirectoryEvent,
        DirectoryFeed,
        FeedStep, //
    },
    forward::{
        ForwardAction,
        ForwardAnswer,
        ForwardCall,
        ForwardEngine,
        ForwardEvent,
        ForwardNote,
        ForwardOrder,
        ReplicaKey,
        RouteIndex, //
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
use smallvec::SmallVec;
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
    call_desk::{
        CallDesk,
        CallHead, //
    },
    desk_event::{
        ArrivedRequest,
        CallerReply,
        DeskEvent,
        DirectoryNews, //
    },
    forward_metrics::{
        CauseLabels,
        ForwardMetrics,
        RouteLabel,
        RouteLabels, //
    },
    forward_notes::{
        millis,
        ForwardNotes, //
    },
    forward_peers::WaitingCall,
    link_shelf::LinkShelf,
    replica_exchange::{
        run_exchange,
        ExchangeEnd,
        CONNECT_TIMEOUT, //
    },
    store_reader::{
        ReadError,
        StoreReader, //
    },
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

/// Time in which the balancer takes a VM out that is not ready: two checks a second apart, and the
/// connections on their way by then.
const QUIET_PERIOD: Duration = Duration::from_millis(2_600);
/// Time kept free before the end of the stop, for the last bytes to leave.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Interval of the look at whether other daemons are known by now.
const JOIN_RECHECK: Duration = Duration::from_millis(50);
/// Longest time between two looks at who reads the directory.
const FEED_RECHECK: Duration = Duration::from_secs(1);
/// Connections that are opened ahead in one interval.
const WARM_MAX: usize = 12;
/// Interval of the cleaning of idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// When to ask again while there is no configuration: a start takes about that long.
const RETRY_STARTING: Duration = Duration::from_millis(500);

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
    pub(super) sync_replies: HashMap<u64, oneshot::Sender<Body>>,
    pub(super) last_reply: u64,
    pub(super) index: Option<Arc<RouteIndex>>,
    pub(super) calls: HashMap<QueryId, CallDesk>,
    pub(super) running: HashMap<AttemptId, AbortHandle>,
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
            self.publish_gauges();
        }
        if self.quiet_until <= now {
            self.quiet_until = TimePoint::NEVER;
            self.turn_life(&LifeEvent::QuietOver);
        }
        if self.stop_by <= now {
            self.stop_by = TimePoint::NEVER;
            self.turn_life(&LifeEvent::BoundReached);
        }
        if self.front_closed && self.calls.is_empty() {
            self.turn_life(&LifeEvent::Finished);
        }
    }

    /// Where in its life the daemon is.
    pub(super) fn phase(&self) -> LifePhase {
        self.life.phase()
    }

    fn arrive(&mut self, now: TimePoint, arrived: ArrivedRequest) {
        let arrival = now - arrived.age;
        let (Some(index), true) = (self.index.clone(), self.feed.is_ready()) else {
            let mut headers = HeaderMap::new();
            retry_after(&mut headers, RETRY_STARTING);
            refuse(arrived, StatusCode::SERVICE_UNAVAILABLE, headers);
            return;
        };
        let host = host_of(&arrived);
        let Some(route) = index.find(host, arrived.head.uri.path()) else {
            refuse(arrived, StatusCode::NOT_FOUND, HeaderMap::new());
            return;
        };
        let Some(id) = request_id(&arrived.head.headers).cloned() else {
            refuse(arrived, StatusCode::BAD_REQUEST, HeaderMap::new());
            return;
        };
        let spec = &index.table.routes[route];
        let patience = time_left(&arrived.head.headers);
        let desk = CallDesk {
            head: Rc::new(CallHead::new(arrived.head, arrived.body, id)),
            route: spec.name.clone(),
            arrived: arrival,
            sends: 0,
            attempts: if spec.idempotent { spec.attempts } else { 1 },
            relayable: SmallVec::new(),
            replies: SmallVec::new(),
            relays: !matches!(spec.target, schema::RouteTarget::Gather { .. }),
            answer: arrived.answer,
        };
        self.calls.insert(arrived.query, desk);
        let call = ForwardCall {
            index,
            route,
            patience: patience.map(|patience| patience.saturating_sub(arrived.age)),
        };
        let query = arrived.query;
        self.decide(now, ForwardEvent::Arrived { query, call });
    }

    fn caller_gone(&mut self, now: TimePoint, query: QueryId) {
        let Some(desk) = self.calls.remove(&query) else {
            return;
        };
        self.count_answer(now, &desk, "caller_gone", None);
        self.decide(now, ForwardEvent::CallerGone { query });
    }

    fn end_exchange(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        replica: ReplicaKey,
        end: ExchangeEnd,
    ) {
        // An exchange that was given up while its end was on the way changes nothing.
        if self.running.remove(&attempt).is_none() {
            return;
        }
        if end.opened {
            self.metrics.opened.inc();
        }
        if let Some(link) = end.link {
            self.shelf.put(now, replica, link);
        }
        let event = match end.result {
            Ok(reply) => ForwardEvent::Replied { attempt, reply },
            Err(failure) => ForwardEvent::Failed { attempt, failure },
        };
        if let Some(reply) = end.reply {
            let mut desks = self.calls.values_mut();
            if let Some(desk) = desks.find(|desk| desk.relays && desk.relayable.contains(&attempt))
            {
                desk.replies.push((attempt, reply));
            }
        }
        self.decide(now, event);
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
                        running.abort();
                    }
                }
                ForwardAction::CloseIdle { replica } | ForwardAction::Forget { replica } => {
                    self.shelf.close(replica);
                }
                ForwardAction::Answer { query, answer } => self.answer(now, query, answer),
                ForwardAction::Note(note) => self.note(now, &note),
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

    fn send(&mut self, now: TimePoint, order: ForwardOrder) {
        let Some(desk) = self.calls.get_mut(&order.query) else {
            return;
        };
        desk.sends += 1;
        if desk.relays {
            desk.relayable.push(order.attempt);
        }
        self.metrics.sends.inc();
        let request = desk.head.request(&order, now);
        let id = desk.head.id.clone();
        let link = self.shelf.take(now, order.replica);
        let events = self.events.clone();
        let (attempt, replica, address) = (order.attempt, order.replica, order.address);
        let task = spawn_local(async move {
            let end = run_exchange(link, address, request, id).await;
            // The loop is gone only when the process ends.
            let _ = events.send(DeskEvent::ExchangeEnded {
                attempt,
                replica,
                end: Box::new(end),
            });
        });
        self.running.insert(attempt, task.abort_handle());
    }

    fn answer(&mut self, now: TimePoint, query: QueryId, answer: ForwardAnswer) {
        let Some(mut desk) = self.calls.remove(&query) else {
            return;
        };
        let mut detail = None;
        let (result, reply) = match answer {
            ForwardAnswer::Relayed { attempt } => match desk.relay(attempt) {
                Some(reply) if reply.status.is_success() => ("served", reply),
                Some(reply) => ("relayed_failure", reply),
                None => ("lost_reply", status_reply(StatusCode::BAD_GATEWAY)),
            },
            ForwardAnswer::Merged {
                stamps,
                missing,
                records,
            } => {
                let mut reply = status_reply(StatusCode::OK);
                merged_headers(&mut reply.headers, &stamps, missing);
                reply.body = records;
                detail = Some(missing);
                (if missing == 0 { "served" } else { "partial" }, reply)
            }
            ForwardAnswer::NotRun {
                reason,
                retry_after: delay,
            } => {
                let mut reply = status_reply(StatusCode::SERVICE_UNAVAILABLE);
                retry_after(&mut reply.headers, delay);
                (reason.as_str(), reply)
            }
            ForwardAnswer::Failed { reason } => {
                let status = match reason {
                    policy::forward::RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
                    _ => StatusCode::BAD_GATEWAY,
                };
                (reason.as_str(), status_reply(status))
            }
        };
        self.count_answer(now, &desk, result, detail);
        // A caller that has just left reports it by its guard.
        let _ = desk.answer.send(reply);
    }

    fn count_answer(
        &mut self,
        now: TimePoint,
        desk: &CallDesk,
        result: &'static str,
        missing: Option<usize>,
    ) {
        let route = desk.route.to_string();
        let age = now.since(desk.arrived);
        let label = RouteLabel {
            route: route.clone(),
        };
        let latency = self.metrics.latency.get_or_create(&label);
        latency.observe(age.as_secs_f64());
        let labels = RouteLabels { route, result };
        self.metrics.requests.get_or_create(&labels).inc();
        if !self.notes.may_write(now, result != "served") {
            return;
        }
        log_event!(
            self.notes.log, events::REQUEST_ENDED,
            "request" => desk.head.id.to_str().unwrap_or("?"), "route" => %desk.route,
            "result" => result, "age_ms" => millis(age), "sends" => desk.sends, "attempts" => desk.attempts,
            "missing" => missing, "table" => self.feed.version().map_or(0, |version| version.0),
        );
    }

    fn note(&mut self, now: TimePoint, note: &ForwardNote) {
        let query = match note {
            ForwardNote::SentAgain { query, cause, .. } => {
                let labels = CauseLabels { cause };
                self.metrics.extras.get_or_create(&labels).inc();
                Some(query)
            }
            ForwardNote::AttemptFailed { query, cause, .. } => {
                let labels = CauseLabels { cause };
                self.metrics.failures.get_or_create(&labels).inc();
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

    /// Starts the next reading of the directory, where none is under way.
    fn drive_feed(&mut self, now: TimePoint) {
        if self.feed_busy || now < self.feed_at {
            return;
        }
        if !self.peers.is_joined() && now < self.join_until {
            self.feed_at = self.join_until.min(now + JOIN_RECHECK);
            return;
        }
        match self.feed.step(now) {
            FeedStep::Rest { until } => {
                self.feed_at = until.min(now + FEED_RECHECK);
                return;
            }
            FeedStep::ReadAll => self.read_store(None),
            FeedStep::ReadChanges { after } => self.read_store(Some(after)),
            FeedStep::AskPeer {
                daemon,
                address,
                after,
            } => self.ask_reader(address, daemon, after),
        }
        self.feed_busy = true;
    }

    fn read_store(&self, after: Option<u64>) {
        self.metrics.store_reads.inc();
        let reader = self.reader.clone();
        let events = self.events.clone();
        spawn_local(async move {
            let reading = match after {
                Some(after) => reader.read_changes(after).await,
                None => reader.read_all().await,
            };
            // The loop is gone only when the process ends.
            let _ = events.send(DeskEvent::Directory(DirectoryNews::StoreRead(reading)));
        });
    }

    fn take_news(&mut self, now: TimePoint, news: DirectoryNews) {
        self.feed_busy = false;
        self.feed_at = now;
        match news {
            DirectoryNews::StoreRead(Ok(reading)) => {
                for problem in reading.problems {
                    if self.notes.may_write(now, true) {
                        let problem = problem.to_string();
                        log_event!(self.notes.log, events::ITEM_UNREAD, "problem" => problem);
                    }
                }
                let (effects, back) = self.feed.store_read(now, reading.page);
                if back {
                    log_event!(self.notes.log, events::STORE_BACK);
                }
                self.take_effects(now, effects);
            }
            DirectoryNews::StoreRead(Err(ReadError::HistoryGone)) => self.feed.history_gone(),
            DirectoryNews::StoreRead(Err(error)) => {
                if self.feed.store_failed(now) {
                    self.metrics.store_lost.inc();
                    let problem = error.to_string();
                    log_event!(self.notes.log, events::STORE_FAILED, "problem" => problem);
                }
            }
            DirectoryNews::ReaderTold { daemon, page } => self.reader_told(now, &daemon, page),
        }
        self.serve_waiting(now);
        if self.feed.is_ready() && self.phase() == LifePhase::Starting {
            self.turn_life(&LifeEvent::Equipped);
        }
    }

    /// Does what follows from news of the directory.
    pub(super) fn take_effects(&mut self, now: TimePoint, effects: Vec<DirectoryEvent>) {
        for effect in effects {
            self.take_directory(now, effect);
        }
    }

    fn take_directory(&mut self, now: TimePoint, event: DirectoryEvent) {
        match event {
            DirectoryEvent::Seen(entry) => self.decide(now, ForwardEvent::ReplicaSeen(entry)),
            DirectoryEvent::Gone(name) => self.decide(now, ForwardEvent::ReplicaGone(name)),
            DirectoryEvent::Table(table) => {
                let version = table.version;
                let limits = table.limits;
                let index = Arc::new(RouteIndex::new(*table));
                log_event!(
                    self.notes.log, events::TABLE_APPLIED,
                    "version" => version.0, "routes" => index.table.routes.len(),
                );
                self.metrics
                    .table
                    .set(i64::try_from(version.0).unwrap_or(i64::MAX));
                self.index = Some(Arc::clone(&index));
                self.view.send_modify(|view| view.limits = limits);
                self.decide(now, ForwardEvent::TableApplied(index));
            }
        }
    }

    fn stop(&mut self, now: TimePoint) {
        if self.phase() < LifePhase::Quiet {
            self.quiet_until = now + QUIET_PERIOD;
            self.stop_by = now + self.stop_bound.saturating_sub(STOP_MARGIN);
            self.tell_peers(now, PeerEvent::LeaveAsked);
        }
        self.turn_life(&LifeEvent::StopAsked);
    }

    fn turn_life(&mut self, event: &LifeEvent) {
        let before = self.phase();
        self.life.handle(event);
        let phase = self.phase();
        if phase == before {
            return;
        }
        self.view.send_modify(|view| view.phase = phase);
        let requests = self.calls.len();
        let log = &self.notes.log;
        match phase {
            LifePhase::Starting => {}
            LifePhase::Ready => log_event!(log, events::READY),
            LifePhase::Quiet => log_event!(log, events::STOP_ASKED, "requests" => requests),
            LifePhase::Draining => log_event!(log, events::DRAINING, "requests" => requests),
            LifePhase::Stopped if requests > 0 => {
                log_event!(log, events::STOP_CUT, "requests" => requests);
            }
            LifePhase::Stopped => log_event!(log, events::STOPPED),
        }
    }

    fn publish_gauges(&self) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.in_flight.set(gauge(self.calls.len()));
        self.metrics.idle.set(gauge(self.shelf.count()));
        self.metrics.replicas.set(gauge(self.engine.replicas()));
    }
}

fn status_reply(status: StatusCode) -> CallerReply {
    CallerReply {
        status,
        ..CallerReply::default()
    }
}

fn refuse(arrived: ArrivedRequest, status: StatusCode, headers: HeaderMap) {
    let reply = CallerReply {
        status,
        headers,
        ..CallerReply::default()
    };
    // A caller that has just left reports it by its guard.
    let _ = arrived.answer.send(reply);
}

fn host_of(arrived: &ArrivedRequest) -> &str {
    let host = arrived
        .head
        .headers
        .get(header::HOST)
        .map(HeaderValue::as_bytes);
    let host = host.and_then(|host| std::str::from_utf8(host).ok());
    host.or_else(|| arrived.head.uri.host()).unwrap_or("")
}
