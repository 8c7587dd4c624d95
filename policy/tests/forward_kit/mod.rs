//! Simulates daemons and replicas in virtual time to test forwarding engines.

#![allow(clippy::unwrap_used, dead_code)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use policy::forward::{
    BranchAnswer,
    ForwardAction,
    ForwardAnswer,
    ForwardCall,
    ForwardEngine,
    ForwardEvent,
    ForwardFailure,
    ForwardReply,
    ForwardSettings,
    LoggedEvent,
    RelayCommand,
    RelayOutcome,
    RelayPeer,
    RelayRefusal,
    RelayTerms,
    ReplicaKey,
    ReplicaStatements,
    RequestIdentity,
    RouteIndex,
    SendCommand, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    AccountSpec,
    AttemptId,
    BundleVersion,
    CpuCapacity,
    DaemonName,
    MemberBuild,
    QueryId,
    ReplicaEntry,
    RouteSpec,
    RouteTable,
    RouteTarget,
    TimePoint, //
};

/// Start time of every simulation.
pub(crate) const START: TimePoint = TimePoint(1_000_000_000);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Behaviour of a simulated replica.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaModel {
    pub(crate) zone: &'static str,
    pub(crate) slots: usize,
    /// Mean service time of a request.
    pub(crate) service_time: Duration,
    /// Requests that may wait for a slot; further ones are refused as not run.
    pub(crate) queue_limit: usize,
    /// The replica does no work for `pause` in each period of `pause_every`; `pause_phase` shifts
    /// the periods.
    pub(crate) pause: Duration,
    pub(crate) pause_every: Duration,
    pub(crate) pause_phase: Duration,
    /// The replica sends no replies between these times.
    pub(crate) silent: Option<(TimePoint, TimePoint)>,
    /// Whether the replica refuses connections.
    pub(crate) down: bool,
    /// Percentage of requests that the replica refuses as not run.
    pub(crate) refuses_pct: u32,
    /// Percentage of requests that run but whose connection breaks before the reply.
    pub(crate) breaks_pct: u32,
    /// HTTP status of the replies.
    pub(crate) status: u16,
    /// Whether the replies have a signature.
    pub(crate) signed: bool,
    /// What the replica says of itself in each reply.
    pub(crate) statements: ReplicaStatements,
    /// When the replica started.
    pub(crate) born_ms: u64,
}

impl Default for ReplicaModel {
    fn default() -> Self {
        Self {
            zone: "a",
            slots: 3,
            service_time: ms(20),
            queue_limit: 12,
            pause: Duration::ZERO,
            pause_every: ms(1_000),
            pause_phase: Duration::ZERO,
            silent: None,
            down: false,
            refuses_pct: 0,
            breaks_pct: 0,
            status: 200,
            signed: true,
            statements: ReplicaStatements::default(),
            born_ms: 1,
        }
    }
}

/// How a simulated daemon has lost its links to all replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SimulatedCut {
    /// Nothing arrives, neither on open connections nor on new ones.
    Hang,
    /// New connections are refused; attempts on open ones succeed, one at each replica.
    Refuse,
}

/// A simulated event that is due at a later time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum PlannedEvent {
    /// An attempt of a daemon arrives at the named replica.
    Arrives(usize, AttemptId, String),
    /// The named replica has executed an attempt of a daemon.
    WorkEnds(usize, AttemptId, String),
    /// The outcome of an attempt arrives at its daemon.
    Reports(usize, AttemptId, Outcome),
    /// A health check of a daemon ends; whether it was answered.
    HealthChecked(usize, ReplicaKey, bool),
    /// The question of a daemon for an offer arrives at another one; number of its helpers.
    OfferAsked(usize, usize, u32),
    /// The answer arrives, or it is clear that none comes.
    OfferAnswered(usize, usize, Result<u32, &'static str>),
    /// A relayed request of a daemon arrives at another one.
    RelayArrives(usize, AttemptId, usize),
    /// The end of a relay arrives at the daemon that has sent it.
    RelayEnds(usize, AttemptId, &'static str),
    /// A caller sends a daemon a request for the route with this index.
    CallerSends(usize, u64),
}

/// The outcome of an attempt as its daemon sees it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Outcome {
    /// A reply with this status, signed or not.
    Replied(u16, bool),
    NotRun,
    Broken,
    Unconnected,
}

/// The attempts at a replica, each with its daemon.
#[derive(Debug, Default)]
struct ReplicaState {
    working: BTreeSet<(usize, AttemptId)>,
    queued: Vec<(usize, AttemptId)>,
    cancelled: BTreeSet<(usize, AttemptId)>,
}

/// An attempt sent to a replica.
#[derive(Clone, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) sent_at: TimePoint,
    pub(crate) service: String,
    pub(crate) replica: String,
    /// The daemon that sent the attempt, and its request.
    pub(crate) request: (usize, QueryId),
    /// Whether the attempt is a hedge or a retry.
    pub(crate) extra: bool,
}

/// A request that has been answered.
#[derive(Clone, Debug)]
pub(crate) struct AnsweredRequest {
    pub(crate) daemon: usize,
    pub(crate) query: QueryId,
    pub(crate) sent_at: TimePoint,
    pub(crate) answered_at: TimePoint,
    pub(crate) answer: ForwardAnswer,
}

impl AnsweredRequest {
    pub(crate) fn latency(&self) -> Duration {
        self.answered_at.since(self.sent_at)
    }

    pub(crate) fn is_success(&self) -> bool {
        matches!(
            self.answer,
            ForwardAnswer::Merged { .. } | ForwardAnswer::Relayed { .. }
        )
    }

    /// Shards left out of a merged answer.
    pub(crate) fn missing(&self) -> Option<usize> {
        match &self.answer {
            ForwardAnswer::Merged { missing, .. } => Some(*missing),
            _ => None,
        }
    }
}

/// Several daemons that share the same replicas.
pub(crate) struct ForwardSimulation {
    pub(crate) now: TimePoint,
    pub(crate) engines: Vec<ForwardEngine>,
    pub(crate) index: Arc<RouteIndex>,
    pub(crate) models: BTreeMap<String, ReplicaModel>,
    states: BTreeMap<String, ReplicaState>,
    services: BTreeMap<String, String>,
    zones: Vec<&'static str>,
    event_queue: BTreeSet<(TimePoint, u64, PlannedEvent)>,
    in_flight: BTreeMap<(usize, AttemptId), SendCommand>,
    request_times: BTreeMap<(usize, QueryId), TimePoint>,
    /// Calls of the requests, for relays.
    calls: BTreeMap<(usize, QueryId), ForwardCall>,
    /// Relays that have not ended, by the daemon that has sent them.
    relays: BTreeMap<(usize, AttemptId), RelayCommand>,
    /// Relayed requests at the daemons that forward them, with the daemon that has sent each.
    relayed: BTreeMap<(usize, QueryId), (usize, AttemptId)>,
    /// Daemons that have lost their links to the replicas.
    pub(crate) cuts: BTreeMap<usize, SimulatedCut>,
    /// Daemons that answer no other daemon: frozen, killed, cut off or of an older build.
    pub(crate) mute: BTreeSet<usize>,
    /// What delegates have gathered, on its way back.
    branch_answers: BTreeMap<(usize, AttemptId), BranchAnswer>,
    /// A service of which other programs register replicas. No cut concerns them.
    pub(crate) foreign_service: Option<&'static str>,
    /// How all relays end at once, if they do.
    pub(crate) relays_end: Option<&'static str>,
    /// The client account of requests that are sent from now on.
    pub(crate) account: Option<Arc<AccountSpec>>,
    /// Questions for offers, with their time, by the daemon that asks.
    pub(crate) asks: Vec<(TimePoint, usize)>,
    /// Relays that were sent: time, from, to, terms.
    pub(crate) sent_relays: Vec<(TimePoint, usize, usize, RelayTerms)>,
    /// The route table of each, and the positions of the shards.
    pub(crate) relayed_shards: Vec<(BundleVersion, Vec<u32>)>,
    /// The terms of relayed requests, by the daemon that forwards them.
    pub(crate) relay_terms: BTreeMap<(usize, QueryId), RelayTerms>,
    /// Events for the log, each with its daemon.
    pub(crate) logged: Vec<(usize, LoggedEvent)>,
    last_event: u64,
    next_query: u64,
    random: Pcg64Mcg,
    /// All attempts, in the order in which they were sent.
    pub(crate) sent_attempts: Vec<SentAttempt>,
    /// Number of times that a request was executed, by request and service.
    pub(crate) executions: BTreeMap<(usize, QueryId, String), u32>,
    pub(crate) answered: Vec<AnsweredRequest>,
    /// Greatest number of attempts that one daemon had in flight at one replica.
    pub(crate) most_in_flight: usize,
}

impl ForwardSimulation {
    /// Creates a simulation with a daemon in each of `zones`, with `routes` and without replicas.
    pub(crate) fn new(zones: &[&'static str], routes: Vec<RouteSpec>, connections: u32) -> Self {
        let mut services = Vec::new();
        for route in &routes {
            for name in route.services() {
                services.push((name.clone(), connections));
            }
        }
        let table = RouteTable {
            version: BundleVersion(1),
            routes,
            services,
            ..RouteTable::default()
        };
        let index = Arc::new(RouteIndex::new(table));
        let regions = ["a", "b", "c"].map(|zone| (zone.parse().unwrap(), zone.parse().unwrap()));
        let mut engines = Vec::new();
        for (daemon, zone) in zones.iter().enumerate() {
            let settings = ForwardSettings {
                daemon: name_of(daemon),
                zone: zone.parse().unwrap(),
                regions: regions.clone().into(),
                seed: daemon as u64,
                retry_budget_ratio: 0.2,
                retry_budget_slack: 56.0,
                capacity: CpuCapacity(120),
                ..ForwardSettings::default()
            };
            engines.push(ForwardEngine::new(settings));
        }
        let mut simulation = Self {
            now: START,
            engines,
            index: index.clone(),
            models: BTreeMap::new(),
            states: BTreeMap::new(),
            services: BTreeMap::new(),
            zones: zones.to_vec(),
            event_queue: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            request_times: BTreeMap::new(),
            calls: BTreeMap::new(),
            relays: BTreeMap::new(),
            relayed: BTreeMap::new(),
            cuts: BTreeMap::new(),
            mute: BTreeSet::new(),
            branch_answers: BTreeMap::new(),
            foreign_service: None,
            relays_end: None,
            account: None,
            asks: Vec::new(),
            sent_relays: Vec::new(),
            relayed_shards: Vec::new(),
            relay_terms: BTreeMap::new(),
            logged: Vec::new(),
            last_event: 0,
            next_query: 0,
            random: Pcg64Mcg::seed_from_u64(7),
            sent_attempts: Vec::new(),
            executions: BTreeMap::new(),
            answered: Vec::new(),
            most_in_flight: 0,
        };
        let daemons = u32::try_from(zones.len()).unwrap();
        for daemon in 0..zones.len() {
            simulation.notify_engine(daemon, ForwardEvent::TableApplied(index.clone()));
            simulation.notify_engine(
                daemon,
                ForwardEvent::DaemonsCounted {
                    daemons,
                    others: Vec::new(),
                },
            );
            let others = (0..zones.len()).filter(|other| *other != daemon);
            let peers = others.map(|other| RelayPeer {
                daemon: name_of(other),
                zone: zones[other].parse().unwrap(),
                capacity: CpuCapacity(120),
                build: MemberBuild::SharesRates,
            });
            let peers = peers.collect();
            simulation.notify_engine(daemon, ForwardEvent::RelayPeersListed(peers));
        }
        simulation
    }

    /// Has all daemons take `old` for members of an older build.
    pub(crate) fn set_old_builds(&mut self, old: &[usize]) {
        for daemon in 0..self.zones.len() {
            let others = (0..self.zones.len()).filter(|other| *other != daemon);
            let peers = others.map(|other| RelayPeer {
                daemon: name_of(other),
                zone: self.zones[other].parse().unwrap(),
                capacity: CpuCapacity(120),
                build: match old.contains(&other) {
                    true => MemberBuild::Gathers,
                    false => MemberBuild::SharesRates,
                },
            });
            let peers = peers.collect();
            self.notify_engine(daemon, ForwardEvent::RelayPeersListed(peers));
        }
    }

    /// Starts or ends the evacuation of a data centre, as `daemons` see it.
    pub(crate) fn evacuate(&mut self, daemons: &[usize], zone: &str, evacuated: bool) {
        for daemon in daemons {
            let zone = zone.parse().unwrap();
            self.notify_engine(*daemon, ForwardEvent::ZoneEvacuated { zone, evacuated });
        }
    }

    /// Puts another route table in force at a daemon; its requests are of this table from now on.
    pub(crate) fn apply_table(&mut self, daemon: usize, table: RouteTable) {
        self.index = Arc::new(RouteIndex::new(table));
        self.notify_engine(daemon, ForwardEvent::TableApplied(self.index.clone()));
    }

    /// Registers a replica of `service`.
    pub(crate) fn add(&mut self, service: &str, name: &str, model: ReplicaModel) {
        let entry = entry_of(service, name, &model);
        self.models.insert(name.into(), model);
        self.services.insert(name.into(), service.into());
        for daemon in 0..self.engines.len() {
            self.notify_engine(daemon, ForwardEvent::ReplicaListed(entry.clone()));
        }
    }

    /// Lists a replica again, with what its model says now.
    pub(crate) fn list(&mut self, name: &str) {
        let entry = entry_of(&self.services[name].clone(), name, &self.models[name]);
        for daemon in 0..self.engines.len() {
            self.notify_engine(daemon, ForwardEvent::ReplicaListed(entry.clone()));
        }
    }

    /// Removes a replica from the directory.
    pub(crate) fn unlist(&mut self, name: &str) {
        for daemon in 0..self.engines.len() {
            let name = name.parse().unwrap();
            self.notify_engine(daemon, ForwardEvent::ReplicaUnlisted(name));
        }
    }

    /// Marks a replica as draining in the directory.
    pub(crate) fn drain(&mut self, name: &str) {
        let mut entry = entry_of(&self.services[name].clone(), name, &self.models[name]);
        entry.draining = true;
        for daemon in 0..self.engines.len() {
            self.notify_engine(daemon, ForwardEvent::ReplicaListed(entry.clone()));
        }
    }

    /// Sends `daemon` a request for route `route` with `time_left` until its deadline.
    pub(crate) fn send_request(
        &mut self,
        daemon: usize,
        route: usize,
        time_left: Duration,
    ) -> QueryId {
        let account = self.account.clone();
        self.send_request_as(daemon, route, time_left, account)
    }

    /// Like [`Self::send_request`], as a caller with the given client account.
    pub(crate) fn send_request_as(
        &mut self,
        daemon: usize,
        route: usize,
        time_left: Duration,
        account: Option<Arc<AccountSpec>>,
    ) -> QueryId {
        self.next_query += 1;
        let query = QueryId(self.next_query);
        self.request_times.insert((daemon, query), self.now);
        let call = ForwardCall {
            index: self.index.clone(),
            route,
            time_left: Some(time_left),
            identity: RequestIdentity::default(),
            shards: Vec::new(),
            account,
            terms: None,
        };
        self.calls.insert((daemon, query), call.clone());
        self.notify_engine(daemon, ForwardEvent::Arrived { query, call });
        query
    }

    /// Sends requests for `route` at even intervals for `span`: `per_s` per second, to each daemon
    /// in turn.
    pub(crate) fn send_load(
        &mut self,
        route: usize,
        per_s: u64,
        time_left: Duration,
        span: Duration,
    ) {
        let gap = Duration::from_micros(1_000_000 / per_s);
        let end = self.now + span;
        let mut daemon = 0;
        while self.now < end {
            self.send_request(daemon, route, time_left);
            daemon = (daemon + 1) % self.engines.len();
            self.advance(gap);
        }
    }

    /// Closes the connection of the caller of a request.
    pub(crate) fn drop_caller(&mut self, daemon: usize, query: QueryId) {
        self.notify_engine(daemon, ForwardEvent::CallerGone { query });
    }

    /// Advances the virtual time by `span` and processes all events that fall into it.
    pub(crate) fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let wakeups = self.engines.iter().map(ForwardEngine::next_wakeup);
            let timer = wakeups.min().unwrap_or(TimePoint::NEVER);
            let next_event = self
                .event_queue
                .first()
                .map_or(TimePoint::NEVER, |(at, _, _)| *at);
            let at = timer.min(next_event);
            if at > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(at);
            if next_event <= timer {
                if let Some((_, _, event)) = self.event_queue.pop_first() {
                    self.handle_event(event);
                }
                continue;
            }
            for daemon in 0..self.engines.len() {
                if self.engines[daemon].next_wakeup() <= self.now {
                    self.notify_engine(daemon, ForwardEvent::TimerFired);
                }
            }
        }
    }

    /// The answer to a request, which must have been answered.
    pub(crate) fn answered_request(&self, query: QueryId) -> &AnsweredRequest {
        let mut answered = self.answered.iter();
        answered.find(|answered| answered.query == query).unwrap()
    }

    /// Number of attempts in flight at all daemons.
    pub(crate) fn in_flight_attempts(&self) -> usize {
        self.in_flight.len()
    }

    /// Number of requests that succeeded within `goal`.
    pub(crate) fn successes_within(&self, goal: Duration) -> usize {
        let successful =
            |answered: &&AnsweredRequest| answered.is_success() && answered.latency() <= goal;
        self.answered.iter().filter(successful).count()
    }

    /// The greatest number of extra attempts at one service in any window of ten seconds, with the
    /// number of first attempts in that window.
    pub(crate) fn worst_budget_window(&self, service: &str) -> (usize, usize) {
        let sent_attempts: Vec<_> = self
            .sent_attempts
            .iter()
            .filter(|attempt| attempt.service == service)
            .collect();
        let mut worst = (0, 0);
        for (first, attempt) in sent_attempts.iter().enumerate() {
            let end = attempt.sent_at + Duration::from_secs(10);
            let window: Vec<_> = sent_attempts[first..]
                .iter()
                .take_while(|other| other.sent_at < end)
                .collect();
            let extra_attempts = window.iter().filter(|attempt| attempt.extra).count();
            if extra_attempts > worst.0 {
                worst = (extra_attempts, window.len() - extra_attempts);
            }
        }
        worst
    }

    fn notify_engine(&mut self, daemon: usize, event: ForwardEvent) {
        let mut actions = Vec::new();
        let now = self.now;
        self.engines[daemon].on_event(now, event, &mut actions);
        for action in actions {
            match action {
                ForwardAction::Send(command) => self.send(daemon, command),
                ForwardAction::Cancel { attempt } => self.cancel(daemon, attempt),
                ForwardAction::CheckHealth {
                    replica, service, ..
                } => {
                    let foreign = &self.foreign_service;
                    let is_foreign = foreign
                        .as_ref()
                        .is_some_and(|name| *name == service.as_str());
                    let cut = self.cuts.contains_key(&daemon) && !is_foreign;
                    let runs = |(name, model): (&String, &ReplicaModel)| {
                        let of_service = self.services[name] == service.as_str();
                        of_service && !model.down && !is_silent(model, now)
                    };
                    let answered = !cut && self.models.iter().any(runs);
                    let event = PlannedEvent::HealthChecked(daemon, replica, answered);
                    // A refused connection is known before a reply can come.
                    let refused = !answered && !cut;
                    self.schedule(if refused { ms(2) } else { ms(20) }, event);
                }
                ForwardAction::AskHelper { to, helpers } => {
                    self.asks.push((now, daemon));
                    let to = number_of(&to);
                    let event = PlannedEvent::OfferAsked(daemon, to, helpers);
                    self.schedule(self.peer_delay(daemon, to), event);
                }
                ForwardAction::Relay(command) => {
                    let to = number_of(&command.to);
                    self.sent_relays.push((now, daemon, to, command.terms));
                    let shards = (command.table, command.shards.clone());
                    self.relayed_shards.push(shards);
                    let attempt = command.attempt;
                    self.relays.insert((daemon, attempt), command);
                    let event = PlannedEvent::RelayArrives(daemon, attempt, to);
                    self.schedule(self.peer_delay(daemon, to), event);
                }
                ForwardAction::Log(event) => self.logged.push((daemon, event)),
                ForwardAction::Answer { query, answer }
                    if self.relayed.contains_key(&(daemon, query)) =>
                {
                    let (from, attempt) = self.relayed.remove(&(daemon, query)).unwrap();
                    let outcome = match answer {
                        ForwardAnswer::NotRun { .. } => "not_run",
                        ForwardAnswer::Declined { refusal } => refusal.as_str(),
                        ForwardAnswer::Merged {
                            stamps,
                            shards,
                            records,
                            ..
                        } => {
                            let stamps = shards.into_iter().zip(stamps).collect();
                            let answer = BranchAnswer { stamps, records };
                            self.branch_answers.insert((from, attempt), answer);
                            "answered"
                        }
                        _ => "answered",
                    };
                    let event = PlannedEvent::RelayEnds(from, attempt, outcome);
                    self.schedule(self.peer_delay(daemon, from), event);
                }
                ForwardAction::Answer { query, answer } => {
                    let sent_at = self.request_times.remove(&(daemon, query)).unwrap();
                    self.answered.push(AnsweredRequest {
                        daemon,
                        query,
                        sent_at,
                        answered_at: now,
                        answer,
                    });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, daemon: usize, command: SendCommand) {
        let name = command.name.to_string();
        let service = self.services[&name].clone();
        self.sent_attempts.push(SentAttempt {
            sent_at: self.now,
            service,
            replica: name.clone(),
            request: (daemon, command.query),
            extra: command.extra,
        });
        let attempt = command.attempt;
        self.in_flight.insert((daemon, attempt), command);
        let in_flight = |(other, _): &(usize, AttemptId), command: &SendCommand| {
            *other == daemon && command.name.as_str() == name
        };
        let in_flight = self
            .in_flight
            .iter()
            .filter(|(key, command)| in_flight(key, command));
        self.most_in_flight = self.most_in_flight.max(in_flight.count());
        let delay = self.one_way_delay(daemon, &name);
        match self.cuts.get(&daemon) {
            None => {}
            Some(SimulatedCut::Refuse) if self.in_flight_at(daemon, &name) <= 1 => {}
            Some(cut) => {
                let delay = match cut {
                    SimulatedCut::Hang => ms(300),
                    SimulatedCut::Refuse => delay * 2,
                };
                let event = PlannedEvent::Reports(daemon, attempt, Outcome::Unconnected);
                self.schedule(delay, event);
                return;
            }
        }
        if self.models[&name].down {
            let event = PlannedEvent::Reports(daemon, attempt, Outcome::Unconnected);
            self.schedule(delay * 2, event);
            return;
        }
        self.schedule(delay, PlannedEvent::Arrives(daemon, attempt, name));
    }

    /// The daemon that relays a request is the first to know that the caller has left.
    fn cancel_relay(&mut self, daemon: usize, attempt: AttemptId) {
        let of_relay =
            |(_, sent): &(&(usize, QueryId), &(usize, AttemptId))| **sent == (daemon, attempt);
        let relayed = self.relayed.iter().find(of_relay);
        if let Some((helper, query)) = relayed.map(|(key, _)| *key) {
            self.relayed.remove(&(helper, query));
            self.notify_engine(helper, ForwardEvent::CallerGone { query });
        }
    }

    fn cancel(&mut self, daemon: usize, attempt: AttemptId) {
        if self.relays.remove(&(daemon, attempt)).is_some() {
            self.cancel_relay(daemon, attempt);
            return;
        }
        if let Some(command) = self.in_flight.remove(&(daemon, attempt)) {
            let name = command.name.to_string();
            let state = self.states.entry(name).or_default();
            state.cancelled.insert((daemon, attempt));
            state.queued.retain(|queued| *queued != (daemon, attempt));
        }
    }

    fn handle_event(&mut self, event: PlannedEvent) {
        match event {
            PlannedEvent::OfferAsked(from, to, helpers) => {
                let offer = match self.mute.contains(&to) {
                    true => Err("no_answer"),
                    false => {
                        let tables = (BundleVersion(1), BundleVersion(1));
                        let name = name_of(from);
                        let offer = self.engines[to].offer(self.now, &name, helpers, tables);
                        offer.map_err(RelayRefusal::as_str)
                    }
                };
                let delay = match offer {
                    Err("no_answer") => ms(1_000),
                    _ => self.peer_delay(to, from),
                };
                self.schedule(delay, PlannedEvent::OfferAnswered(from, to, offer));
            }
            PlannedEvent::OfferAnswered(daemon, from, offer) => {
                let from = name_of(from);
                let offer = offer.map_err(refusal_of);
                self.notify_engine(daemon, ForwardEvent::OfferReceived { from, offer });
            }
            PlannedEvent::RelayArrives(from, attempt, to) => {
                let Some(command) = self.relays.get(&(from, attempt)).cloned() else {
                    return;
                };
                if let Some(outcome) = self.relays_end {
                    let event = PlannedEvent::RelayEnds(from, attempt, outcome);
                    self.schedule(self.peer_delay(to, from), event);
                    return;
                }
                if self.mute.contains(&to) {
                    return;
                }
                self.next_query += 1;
                let query = QueryId(self.next_query);
                let call = ForwardCall {
                    time_left: command.time_left,
                    account: None,
                    terms: Some(command.terms),
                    shards: command.shards.clone(),
                    ..self.calls[&(from, command.query)].clone()
                };
                self.request_times.insert((to, query), self.now);
                self.relayed.insert((to, query), (from, attempt));
                self.relay_terms.insert((to, query), command.terms);
                self.notify_engine(to, ForwardEvent::Arrived { query, call });
            }
            PlannedEvent::RelayEnds(daemon, attempt, outcome) => {
                let Some(RelayCommand { terms, .. }) = self.relays.remove(&(daemon, attempt))
                else {
                    return;
                };
                let of_branch = |terms: RelayTerms| terms.branch.is_some();
                let answer = self.branch_answers.remove(&(daemon, attempt));
                if let Some(answer) = answer.filter(|_| of_branch(terms)) {
                    let event = ForwardEvent::BranchGathered { attempt, answer };
                    self.notify_engine(daemon, event);
                    return;
                }
                let outcome = match outcome {
                    "answered" => RelayOutcome::Answered(200),
                    "refused" => RelayOutcome::Answered(429),
                    "not_run" => RelayOutcome::NotRun,
                    "broken" => RelayOutcome::Broken,
                    refusal => RelayOutcome::Declined(refusal_of(refusal)),
                };
                self.notify_engine(daemon, ForwardEvent::RelayEnded { attempt, outcome });
            }
            PlannedEvent::HealthChecked(daemon, replica, answered) => {
                self.notify_engine(daemon, ForwardEvent::HealthChecked { replica, answered });
            }
            PlannedEvent::CallerSends(daemon, route) => {
                self.send_request(daemon, usize::try_from(route).unwrap(), ms(1_000));
            }
            PlannedEvent::Arrives(daemon, attempt, name) => self.accept(daemon, attempt, &name),
            PlannedEvent::WorkEnds(daemon, attempt, name) => self.finish(daemon, attempt, &name),
            PlannedEvent::Reports(daemon, attempt, outcome) => {
                let Some(command) = self.in_flight.remove(&(daemon, attempt)) else {
                    return;
                };
                let statements = self.models[command.name.as_str()].statements.clone();
                let event = match outcome {
                    Outcome::Replied(status, signed) => {
                        let mut reply = reply_of(attempt, status);
                        reply.stamp = reply.stamp.filter(|_| signed);
                        reply.statements = statements;
                        ForwardEvent::Replied { attempt, reply }
                    }
                    Outcome::NotRun => ForwardEvent::Replied {
                        attempt,
                        reply: ForwardReply {
                            not_run: true,
                            statements,
                            ..reply_of(attempt, 503)
                        },
                    },
                    Outcome::Broken => ForwardEvent::Failed {
                        attempt,
                        failure: ForwardFailure::Broken,
                    },
                    Outcome::Unconnected => ForwardEvent::Failed {
                        attempt,
                        failure: ForwardFailure::Unconnected,
                    },
                };
                self.notify_engine(daemon, event);
            }
        }
    }

    fn accept(&mut self, daemon: usize, attempt: AttemptId, name: &str) {
        let model = self.models[name].clone();
        if is_silent(&model, self.now) {
            return;
        }
        let state = self.states.entry(name.into()).or_default();
        if state.cancelled.contains(&(daemon, attempt)) {
            return;
        }
        let full = state.queued.len() >= model.queue_limit;
        if full || self.random.random_range(0..100) < model.refuses_pct {
            let delay = self.one_way_delay(daemon, name);
            self.schedule(
                delay,
                PlannedEvent::Reports(daemon, attempt, Outcome::NotRun),
            );
            return;
        }
        state.queued.push((daemon, attempt));
        self.start_work(name);
    }

    fn start_work(&mut self, name: &str) {
        let model = self.models[name].clone();
        loop {
            let state = self.states.entry(name.into()).or_default();
            if state.working.len() >= model.slots || state.queued.is_empty() {
                return;
            }
            let (daemon, attempt) = state.queued.remove(0);
            state.working.insert((daemon, attempt));
            if let Some(command) = self.in_flight.get(&(daemon, attempt)) {
                let key = (daemon, command.query, self.services[name].clone());
                *self.executions.entry(key).or_default() += 1;
            }
            let jitter = self.random.random_range(0.7..1.3);
            let end = self.now + model.service_time.mul_f64(jitter);
            let end = end_with_pauses(&model, self.now, end);
            let event = PlannedEvent::WorkEnds(daemon, attempt, name.into());
            self.schedule(end.since(self.now), event);
        }
    }

    fn finish(&mut self, daemon: usize, attempt: AttemptId, name: &str) {
        let model = self.models[name].clone();
        let state = self.states.entry(name.into()).or_default();
        state.working.remove(&(daemon, attempt));
        let hangs = self.cuts.get(&daemon) == Some(&SimulatedCut::Hang);
        if !is_silent(&model, self.now) && !hangs {
            let breaks = self.random.random_range(0..100) < model.breaks_pct;
            let outcome = match breaks {
                true => Outcome::Broken,
                false => Outcome::Replied(model.status, model.signed),
            };
            let delay = self.one_way_delay(daemon, name);
            self.schedule(delay, PlannedEvent::Reports(daemon, attempt, outcome));
        }
        self.start_work(name);
    }

    fn in_flight_at(&self, daemon: usize, name: &str) -> usize {
        let in_flight = self.in_flight.iter();
        let at = in_flight
            .filter(|((other, _), command)| *other == daemon && command.name.as_str() == name);
        at.count()
    }

    fn peer_delay(&self, from: usize, to: usize) -> Duration {
        match self.zones[from] == self.zones[to] {
            true => Duration::from_micros(200),
            false => ms(8),
        }
    }

    /// Ends the relays at a daemon as its end does: the connections break.
    pub(crate) fn break_relays(&mut self, helper: usize) {
        let name = name_of(helper);
        let broken = self.relays.iter().filter(|(_, command)| command.to == name);
        let broken: Vec<(usize, AttemptId)> = broken.map(|(key, _)| *key).collect();
        for (daemon, attempt) in broken {
            self.schedule(ms(1), PlannedEvent::RelayEnds(daemon, attempt, "broken"));
        }
    }

    fn one_way_delay(&self, daemon: usize, name: &str) -> Duration {
        match self.zones[daemon] == self.models[name].zone {
            true => Duration::from_micros(200),
            false => ms(8),
        }
    }

    fn schedule(&mut self, after: Duration, event: PlannedEvent) {
        self.last_event += 1;
        self.event_queue
            .insert((self.now + after, self.last_event, event));
    }
}

/// The name of the daemon with this number.
pub(crate) fn name_of(daemon: usize) -> DaemonName {
    format!("d{daemon}").parse().unwrap()
}

fn number_of(name: &DaemonName) -> usize {
    name.as_str()[1..].parse().unwrap()
}

fn refusal_of(name: &str) -> RelayRefusal {
    match name {
        "stranded" => RelayRefusal::Stranded,
        "no_room" => RelayRefusal::NoRoom,
        "old_table" => RelayRefusal::OldTable,
        "not_ready" => RelayRefusal::NotReady,
        "new_table" => RelayRefusal::NewTable,
        _ => RelayRefusal::NoAnswer,
    }
}

/// An idempotent route with a latency goal of 200 ms and two attempts.
pub(crate) fn route(name: &str, target: RouteTarget) -> RouteSpec {
    RouteSpec {
        name: name.parse().unwrap(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        target,
        idempotent: true,
        timeout: ms(3_000),
        goal: ms(200),
        attempts: 2,
        priority: 1,
        public: false,
        homes: Default::default(),
    }
}

/// A gather over the shards `s0`, `s1` and so on.
pub(crate) fn gather(shards: usize, min_share: f64) -> RouteTarget {
    RouteTarget::Gather {
        shards: (0..shards)
            .map(|n| format!("s{n}").parse().unwrap())
            .collect(),
        top: 20,
        min_share,
    }
}

fn entry_of(service: &str, name: &str, model: &ReplicaModel) -> ReplicaEntry {
    ReplicaEntry {
        name: name.parse().unwrap(),
        service: service.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: model.zone.parse().unwrap(),
        slots: u32::try_from(model.slots).unwrap(),
        draining: false,
        cold_left: Duration::ZERO,
        born_ms: model.born_ms,
    }
}

fn reply_of(attempt: AttemptId, status: u16) -> ForwardReply {
    ForwardReply {
        status,
        stamp: Some(format!("stamp-{attempt}").into()),
        body: attempt.0.to_be_bytes().repeat(2).into(),
        ..ForwardReply::default()
    }
}

fn is_silent(model: &ReplicaModel, now: TimePoint) -> bool {
    model
        .silent
        .is_some_and(|(from, until)| from <= now && now < until)
}

/// When work started at `from` ends if it would end at `end` without pauses.
fn end_with_pauses(model: &ReplicaModel, from: TimePoint, end: TimePoint) -> TimePoint {
    if model.pause.is_zero() {
        return end;
    }
    let every = model.pause_every.as_micros() as u64;
    let phase = model.pause_phase.as_micros() as u64;
    let pause = model.pause.as_micros() as u64;
    let offset = (from.0 + phase) % every;
    if offset < pause {
        return end + Duration::from_micros(pause - offset);
    }
    if offset + end.since(from).as_micros() as u64 > every {
        return end + model.pause;
    }
    end
}
