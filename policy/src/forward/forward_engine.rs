//! The forwarding engine: requests and replies in, sends and answers out.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use schema::{
    AttemptId,
    QueryId,
    ReplicaEntry,
    ReplicaName,
    RouteName,
    RouteSpec,
    RouteTarget,
    ServiceName,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    pending_request::ForwardRun,
    route_state::RouteState,
    ForwardAction,
    ForwardAnswer,
    ForwardCall,
    ForwardEvent,
    ForwardNote,
    ForwardSettings,
    ForwardStatus,
    RefusalReason,
    ReplicaFleet,
    ReplicaKey,
    RouteIndex, //
};

/// Time kept free before a goal for what the daemon can't measure: the caller's link, 3 ms each way on
/// the deployments and as much again for a new connection, and its own delays on a small machine.
const GOAL_MARGIN: Duration = Duration::from_millis(20);
/// Time kept free before a caller's deadline, so that the last answer arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Part of the time up to its goal that a request may spend in line: the rest is for its work.
const LINE_SHARE: f64 = 0.5;
/// Shortest and longest time after which a request that found a long line is to come back.
const RETRY_CROWDED_MIN: Duration = Duration::from_millis(20);
const RETRY_CROWDED_MAX: Duration = Duration::from_millis(500);
/// When to ask again for a service without a replica: a restart takes some seconds, a change of the
/// directory about one.
const RETRY_NO_REPLICA: Duration = Duration::from_millis(500);

/// An attempt under way.
#[derive(Clone, Debug)]
pub(super) struct AttemptTrack {
    /// Its request.
    pub(super) query: QueryId,
    /// Index of its part.
    pub(super) part: usize,
    /// Its replica.
    pub(super) replica: ReplicaKey,
    /// Name of the route, whose latencies it tells.
    pub(super) route: RouteName,
    /// When it was sent.
    pub(super) sent: TimePoint,
    /// When it is given up, once its request has an answer.
    pub(super) expires: TimePoint,
}

/// Decides what becomes of each request.
#[derive(Debug)]
pub struct ForwardEngine {
    pub(super) fleet: ReplicaFleet,
    pub(super) routes: BTreeMap<RouteName, RouteState>,
    pub(super) runs: BTreeMap<QueryId, ForwardRun>,
    pub(super) tracks: BTreeMap<AttemptId, AttemptTrack>,
    pub(super) timers: BTreeSet<(TimePoint, QueryId)>,
    pub(super) expiries: BTreeSet<(TimePoint, AttemptId)>,
    pub(super) last_attempt: u64,
    /// Services of which a replica has come free.
    pub(super) freed: Vec<usize>,
}

impl ForwardEngine {
    /// An engine that knows no replica.
    pub fn new(settings: ForwardSettings) -> Self {
        Self {
            fleet: ReplicaFleet::new(settings),
            routes: BTreeMap::new(),
            runs: BTreeMap::new(),
            tracks: BTreeMap::new(),
            timers: BTreeSet::new(),
            expiries: BTreeSet::new(),
            last_attempt: 0,
            freed: Vec::new(),
        }
    }

    /// Handles an event. Reports about attempts and requests that have ended change nothing.
    pub fn on_event(
        &mut self,
        now: TimePoint,
        event: ForwardEvent,
        actions: &mut Vec<ForwardAction>,
    ) {
        match event {
            ForwardEvent::Arrived { query, call } => self.arrive(now, query, call, actions),
            ForwardEvent::CallerGone { query } => self.abandon(now, query, actions),
            ForwardEvent::Replied { attempt, reply } => {
                self.take_reply(now, attempt, reply, actions);
            }
            ForwardEvent::Failed { attempt, failure } => {
                self.take_failure(now, attempt, failure, actions);
            }
            ForwardEvent::ReplicaSeen(entry) => self.see(now, entry, actions),
            ForwardEvent::ReplicaGone(name) => self.lose(&name, actions),
            ForwardEvent::TableApplied(index) => self.apply(&index),
            ForwardEvent::DaemonsCounted { daemons } => self.fleet.set_daemons(daemons),
            ForwardEvent::TimerFired => self.fire(now, actions),
        }
        self.serve_lines(now, actions);
    }

    /// When `TimerFired` is due; [`TimePoint::NEVER`] where nothing is.
    pub fn next_wakeup(&self) -> TimePoint {
        let timer = self.timers.first().map_or(TimePoint::NEVER, |(at, _)| *at);
        let expiry = self
            .expiries
            .first()
            .map_or(TimePoint::NEVER, |(at, _)| *at);
        timer.min(expiry)
    }

    /// Requests that have no answer yet.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }

    /// Counts for metrics.
    pub fn status(&self, now: TimePoint) -> ForwardStatus {
        let (mut usable, mut draining, mut avoided) = (0, 0, 0);
        for record in self.fleet.records.values().filter(|record| record.listed) {
            if record.entry.draining {
                draining += 1;
            } else if record.is_usable(now) {
                usable += 1;
            } else {
                avoided += 1;
            }
        }
        let services = self.fleet.services.iter();
        ForwardStatus {
            replicas: [
                ("usable", usable),
                ("draining", draining),
                ("avoided", avoided),
            ],
            budgets: services
                .map(|state| (state.name.clone(), state.budget.left() as u32))
                .collect(),
            waiting: self.runs.values().map(ForwardRun::waiting).sum(),
        }
    }

    /// The nearest replica of each service of the table in force, to which a connection is worth having
    /// before the first request.
    pub fn nearest(&self, now: TimePoint, index: &RouteIndex) -> Vec<(ReplicaKey, SocketAddr)> {
        let services = index.table.routes.iter().flat_map(RouteSpec::services);
        let services: BTreeSet<&ServiceName> = services.collect();
        let nearest = services
            .into_iter()
            .filter_map(|name| self.fleet.nearest(now, name));
        nearest.collect()
    }

    /// Forgets routes that are gone and takes over the limits of services.
    fn apply(&mut self, index: &RouteIndex) {
        let table = &index.table;
        for (name, connections) in &table.services {
            let place = self.fleet.service(name);
            self.fleet.services[place].connections = *connections;
        }
        let names: BTreeSet<&RouteName> = table.routes.iter().map(|route| &route.name).collect();
        self.routes.retain(|name, _| names.contains(name));
    }

    fn see(&mut self, now: TimePoint, entry: ReplicaEntry, actions: &mut Vec<ForwardAction>) {
        let note = ForwardNote::ReplicaListed {
            replica: entry.name.clone(),
            service: entry.service.clone(),
            draining: entry.draining,
        };
        let (replaced, news) = self.fleet.see(now, entry);
        if news {
            actions.push(ForwardAction::Note(note));
        }
        if let Some(key) = replaced {
            self.forget(key, actions);
        }
    }

    fn lose(&mut self, name: &ReplicaName, actions: &mut Vec<ForwardAction>) {
        let Some(key) = self.fleet.lose(name) else {
            return;
        };
        let replica = name.clone();
        actions.push(ForwardAction::Note(ForwardNote::ReplicaUnlisted {
            replica,
        }));
        self.forget(key, actions);
    }

    /// Drops a replica that is listed no more, once nothing is under way on it.
    pub(super) fn forget(&mut self, key: ReplicaKey, actions: &mut Vec<ForwardAction>) {
        if self.fleet.sweep(key) {
            actions.push(ForwardAction::Forget { replica: key });
        }
    }

    fn arrive(
        &mut self,
        now: TimePoint,
        query: QueryId,
        call: ForwardCall,
        actions: &mut Vec<ForwardAction>,
    ) {
        let index = Arc::clone(&call.index);
        let spec = &index.table.routes[call.route];
        let mut run = ForwardRun::new(query, call.index, call.route, now);
        let state = self.routes.entry(spec.name.clone()).or_default();
        let age = state.age(call.patience);
        let patience = call.patience.unwrap_or(spec.timeout);
        run.hedge_delay = state.hedge_delay(spec.goal);
        run.close_at = now + spec.timeout.min(patience.saturating_sub(DEADLINE_MARGIN));
        if !spec.goal.is_zero() {
            run.goal_at = now + spec.goal.saturating_sub(age + GOAL_MARGIN);
        }
        let services = self.services_of(&spec.name, &spec.target);
        run.begin(&services);
        let served = |service: &&usize| self.fleet.is_served(now, **service);
        if services.iter().filter(served).count() < run.needed {
            let answer = ForwardAnswer::NotRun {
                reason: RefusalReason::NoReplica,
                retry_after: RETRY_NO_REPLICA,
            };
            actions.push(ForwardAction::Answer { query, answer });
            return;
        }
        if let Some(retry_after) = self.crowded(now, &run) {
            let answer = ForwardAnswer::NotRun {
                reason: RefusalReason::Overload,
                retry_after,
            };
            actions.push(ForwardAction::Answer { query, answer });
            return;
        }
        for part in 0..run.parts.len() {
            self.launch(now, &mut run, part, "first", actions);
        }
        self.runs.insert(query, run);
        self.settle(now, query, actions);
    }

    /// When to ask again for a request that can't be in time: too many of its services have lines
    /// that take longer than it has.
    fn crowded(&self, now: TimePoint, run: &ForwardRun) -> Option<Duration> {
        // One that is late already may as well wait.
        if now >= run.goal_at {
            return None;
        }
        let room = run.goal_at.since(now).mul_f64(LINE_SHARE);
        let mut waits: SmallVec<[Duration; 16]> = SmallVec::new();
        for part in &run.parts {
            let wait = self.fleet.services[part.service].line.expected_wait(now);
            if wait > room {
                waits.push(wait);
            }
        }
        if run.parts.len() - waits.len() >= run.needed {
            return None;
        }
        let shortest = waits.into_iter().min()?;
        Some(shortest.clamp(RETRY_CROWDED_MIN, RETRY_CROWDED_MAX))
    }

    /// Places of the services that a new request goes to.
    fn services_of(&mut self, route: &RouteName, target: &RouteTarget) -> SmallVec<[usize; 16]> {
        match target {
            RouteTarget::Single(name) => SmallVec::from_slice(&[self.fleet.service(name)]),
            RouteTarget::Gather { shards, .. } => {
                shards.iter().map(|name| self.fleet.service(name)).collect()
            }
            RouteTarget::Split(parts) => {
                let weights: SmallVec<[f64; 4]> = parts.iter().map(|(_, weight)| *weight).collect();
                let state = self.routes.entry(route.clone()).or_default();
                let chosen = state.wheel.turn(&weights);
                let (name, _) = &parts[chosen];
                SmallVec::from_slice(&[self.fleet.service(name)])
            }
        }
    }
}
