//! Replicas in memory that drive forwarding engines in their own time.

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
    ForwardAction,
    ForwardAnswer,
    ForwardCall,
    ForwardEngine,
    ForwardEvent,
    ForwardFailure,
    ForwardOrder,
    ForwardReply,
    ForwardSettings,
    RouteIndex, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    AttemptId,
    BundleVersion,
    QueryId,
    ReplicaEntry,
    RouteSpec,
    RouteTable,
    RouteTarget,
    TimePoint, //
};

/// Start of every run.
pub(crate) const START: TimePoint = TimePoint(1_000_000_000);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How a replica behaves.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaModel {
    pub(crate) zone: &'static str,
    pub(crate) slots: usize,
    /// Work of one request.
    pub(crate) work: Duration,
    /// Requests that wait for a slot; more are refused as not run.
    pub(crate) queue: usize,
    /// It does nothing for `pause` in each `pause_every`.
    pub(crate) pause: Duration,
    pub(crate) pause_every: Duration,
    pub(crate) pause_phase: Duration,
    /// It answers nothing from and until these times.
    pub(crate) dark: Option<(TimePoint, TimePoint)>,
    /// It refuses connections.
    pub(crate) down: bool,
    /// Share of requests, in per cent, that it refuses as not run.
    pub(crate) sheds_pct: u32,
    /// Share of requests, in per cent, that run and whose connection breaks.
    pub(crate) breaks_pct: u32,
    /// Status of its replies.
    pub(crate) status: u16,
    /// Whether its replies have a signature.
    pub(crate) stamped: bool,
}

impl Default for ReplicaModel {
    fn default() -> Self {
        Self {
            zone: "a",
            slots: 3,
            work: ms(20),
            queue: 12,
            pause: Duration::ZERO,
            pause_every: ms(1_000),
            pause_phase: Duration::ZERO,
            dark: None,
            down: false,
            sheds_pct: 0,
            breaks_pct: 0,
            status: 200,
            stamped: true,
        }
    }
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Happening {
    Reaches(usize, AttemptId, String),
    Ends(usize, AttemptId, String),
    Tells(usize, AttemptId, Outcome),
    Asked(usize, u64),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Outcome {
    Replied(u16, bool),
    NotRun,
    Broken,
    Unconnected,
}

#[derive(Debug, Default)]
struct ReplicaLife {
    working: BTreeSet<(usize, AttemptId)>,
    queued: Vec<(usize, AttemptId)>,
    cancelled: BTreeSet<(usize, AttemptId)>,
}

/// A request sent to a replica.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) at: TimePoint,
    pub(crate) service: String,
    /// The daemon and its request.
    pub(crate) request: (usize, QueryId),
    /// Whether the service had the request before.
    pub(crate) extra: bool,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub(crate) struct EndedRequest {
    pub(crate) daemon: usize,
    pub(crate) query: QueryId,
    pub(crate) asked: TimePoint,
    pub(crate) at: TimePoint,
    pub(crate) answer: ForwardAnswer,
}

impl EndedRequest {
    pub(crate) fn age(&self) -> Duration {
        self.at.since(self.asked)
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

/// Several daemons over the same replicas.
pub(crate) struct ForwardWorld {
    pub(crate) now: TimePoint,
    pub(crate) engines: Vec<ForwardEngine>,
    pub(crate) index: Arc<RouteIndex>,
    pub(crate) models: BTreeMap<String, ReplicaModel>,
    lives: BTreeMap<String, ReplicaLife>,
    services: BTreeMap<String, String>,
    zones: Vec<&'static str>,
    agenda: BTreeSet<(TimePoint, u64, Happening)>,
    orders: BTreeMap<(usize, AttemptId), ForwardOrder>,
    asked: BTreeMap<(usize, QueryId), TimePoint>,
    serial: u64,
    next_query: u64,
    random: Pcg64Mcg,
    /// Every send.
    pub(crate) sends: Vec<SentRequest>,
    /// Runs by request and service.
    pub(crate) runs: BTreeMap<(usize, QueryId, String), u32>,
    pub(crate) ended: Vec<EndedRequest>,
    /// Most requests under way at one replica from one daemon.
    pub(crate) most_out: usize,
}

impl ForwardWorld {
    /// A world with a daemon in each of `zones`, with `routes` and no replica.
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
        for (place, zone) in zones.iter().enumerate() {
            let settings = ForwardSettings {
                zone: zone.parse().unwrap(),
                regions: regions.clone().into(),
                seed: place as u64,
                extra_ratio: 0.2,
                extra_slack: 56.0,
                ..ForwardSettings::default()
            };
            engines.push(ForwardEngine::new(settings));
        }
        let mut world = Self {
            now: START,
            engines,
            index: index.clone(),
            models: BTreeMap::new(),
            lives: BTreeMap::new(),
            services: BTreeMap::new(),
            zones: zones.to_vec(),
            agenda: BTreeSet::new(),
            orders: BTreeMap::new(),
            asked: BTreeMap::new(),
            serial: 0,
            next_query: 0,
            random: Pcg64Mcg::seed_from_u64(7),
            sends: Vec::new(),
            runs: BTreeMap::new(),
            ended: Vec::new(),
            most_out: 0,
        };
        let daemons = u32::try_from(zones.len()).unwrap();
        for daemon in 0..zones.len() {
            world.tell(daemon, ForwardEvent::TableApplied(index.clone()));
            world.tell(daemon, ForwardEvent::DaemonsCounted { daemons });
        }
        world
    }

    /// Registers a replica of `service`.
    pub(crate) fn add(&mut self, service: &str, name: &str, model: ReplicaModel) {
        let entry = entry_of(service, name, &model);
        self.models.insert(name.into(), model);
        self.services.insert(name.into(), service.into());
        for daemon in 0..self.engines.len() {
            self.tell(daemon, ForwardEvent::ReplicaSeen(entry.clone()));
        }
    }

    /// Changes a replica's registration to leaving.
    pub(crate) fn drain(&mut self, name: &str) {
        let mut entry = entry_of(&self.services[name].clone(), name, &self.models[name]);
        entry.draining = true;
        for daemon in 0..self.engines.len() {
            self.tell(daemon, ForwardEvent::ReplicaSeen(entry.clone()));
        }
    }

    /// Lets `daemon` get a request for the route at `route`, whose caller waits for `patience`.
    pub(crate) fn ask(&mut self, daemon: usize, route: usize, patience: Duration) -> QueryId {
        self.next_query += 1;
        let query = QueryId(self.next_query);
        self.asked.insert((daemon, query), self.now);
        let call = ForwardCall {
            index: self.index.clone(),
            route,
            patience: Some(patience),
        };
        self.tell(daemon, ForwardEvent::Arrived { query, call });
        query
    }

    /// Lets requests for `route` come evenly, `per_s` a second over all daemons in turn, for `span`.
    pub(crate) fn load(&mut self, route: usize, per_s: u64, patience: Duration, span: Duration) {
        let gap = Duration::from_micros(1_000_000 / per_s);
        let end = self.now + span;
        let mut daemon = 0;
        while self.now < end {
            self.ask(daemon, route, patience);
            daemon = (daemon + 1) % self.engines.len();
            self.run(gap);
        }
    }

    /// Lets the caller of a request leave.
    pub(crate) fn leave(&mut self, daemon: usize, query: QueryId) {
        self.tell(daemon, ForwardEvent::CallerGone { query });
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let wakeups = self.engines.iter().map(ForwardEngine::next_wakeup);
            let timer = wakeups.min().unwrap_or(TimePoint::NEVER);
            let event = self
                .agenda
                .first()
                .map_or(TimePoint::NEVER, |(at, _, _)| *at);
            let at = timer.min(event);
            if at > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(at);
            if event <= timer {
                if let Some((_, _, happening)) = self.agenda.pop_first() {
                    self.happen(happening);
                }
                continue;
            }
            for daemon in 0..self.engines.len() {
                if self.engines[daemon].next_wakeup() <= self.now {
                    self.tell(daemon, ForwardEvent::TimerFired);
                }
            }
        }
    }

    /// The end of a request; it must have one.
    pub(crate) fn end_of(&self, query: QueryId) -> &EndedRequest {
        let mut ended = self.ended.iter();
        ended.find(|ended| ended.query == query).unwrap()
    }

    /// Attempts under way.
    pub(crate) fn under_way(&self) -> usize {
        self.orders.len()
    }

    /// Requests that succeeded within `goal`.
    pub(crate) fn in_time(&self, goal: Duration) -> usize {
        let good = |ended: &&EndedRequest| ended.is_success() && ended.age() <= goal;
        self.ended.iter().filter(good).count()
    }

    /// Most further sends to one service in any span of ten seconds, with the requests for it in that
    /// span.
    pub(crate) fn worst_window(&self, service: &str) -> (usize, usize) {
        let sends: Vec<_> = self
            .sends
            .iter()
            .filter(|send| send.service == service)
            .collect();
        let mut worst = (0, 0);
        for (place, send) in sends.iter().enumerate() {
            let end = send.at + Duration::from_secs(10);
            let window: Vec<_> = sends[place..]
                .iter()
                .take_while(|other| other.at < end)
                .collect();
            let extras = window.iter().filter(|send| send.extra).count();
            if extras > worst.0 {
                worst = (extras, window.len() - extras);
            }
        }
        worst
    }

    fn tell(&mut self, daemon: usize, event: ForwardEvent) {
        let mut actions = Vec::new();
        let now = self.now;
        self.engines[daemon].on_event(now, event, &mut actions);
        for action in actions {
            match action {
                ForwardAction::Send(order) => self.send(daemon, order),
                ForwardAction::Cancel { attempt } => self.cancel(daemon, attempt),
                ForwardAction::Answer { query, answer } => {
                    let asked = self.asked.remove(&(daemon, query)).unwrap();
                    self.ended.push(EndedRequest {
                        daemon,
                        query,
                        asked,
                        at: now,
                        answer,
                    });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, daemon: usize, order: ForwardOrder) {
        let name = order.name.to_string();
        let service = self.services[&name].clone();
        self.sends.push(SentRequest {
            at: self.now,
            service,
            request: (daemon, order.query),
            extra: order.extra,
        });
        let attempt = order.attempt;
        self.orders.insert((daemon, attempt), order);
        let out = |(other, _): &(usize, AttemptId), order: &ForwardOrder| {
            *other == daemon && order.name.as_str() == name
        };
        let out = self.orders.iter().filter(|(key, order)| out(key, order));
        self.most_out = self.most_out.max(out.count());
        let link = self.link(daemon, &name);
        if self.models[&name].down {
            let happening = Happening::Tells(daemon, attempt, Outcome::Unconnected);
            self.plan(link * 2, happening);
            return;
        }
        self.plan(link, Happening::Reaches(daemon, attempt, name));
    }

    fn cancel(&mut self, daemon: usize, attempt: AttemptId) {
        if let Some(order) = self.orders.remove(&(daemon, attempt)) {
            let name = order.name.to_string();
            let life = self.lives.entry(name).or_default();
            life.cancelled.insert((daemon, attempt));
            life.queued.retain(|queued| *queued != (daemon, attempt));
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Asked(daemon, route) => {
                self.ask(daemon, usize::try_from(route).unwrap(), ms(1_000));
            }
            Happening::Reaches(daemon, attempt, name) => self.reach(daemon, attempt, &name),
            Happening::Ends(daemon, attempt, name) => self.finish(daemon, attempt, &name),
            Happening::Tells(daemon, attempt, outcome) => {
                if self.orders.remove(&(daemon, attempt)).is_none() {
                    return;
                }
                let event = match outcome {
                    Outcome::Replied(status, stamped) => {
                        let mut reply = reply_of(attempt, status);
                        reply.stamp = reply.stamp.filter(|_| stamped);
                        ForwardEvent::Replied { attempt, reply }
                    }
                    Outcome::NotRun => ForwardEvent::Replied {
                        attempt,
                        reply: ForwardReply {
                            not_run: true,
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
                self.tell(daemon, event);
            }
        }
    }

    fn reach(&mut self, daemon: usize, attempt: AttemptId, name: &str) {
        let model = self.models[name].clone();
        if is_dark(&model, self.now) {
            return;
        }
        let life = self.lives.entry(name.into()).or_default();
        if life.cancelled.contains(&(daemon, attempt)) {
            return;
        }
        let full = life.queued.len() >= model.queue;
        if full || self.random.random_range(0..100) < model.sheds_pct {
            let link = self.link(daemon, name);
            self.plan(link, Happening::Tells(daemon, attempt, Outcome::NotRun));
            return;
        }
        life.queued.push((daemon, attempt));
        self.work(name);
    }

    fn work(&mut self, name: &str) {
        let model = self.models[name].clone();
        loop {
            let life = self.lives.entry(name.into()).or_default();
            if life.working.len() >= model.slots || life.queued.is_empty() {
                return;
            }
            let (daemon, attempt) = life.queued.remove(0);
            life.working.insert((daemon, attempt));
            if let Some(order) = self.orders.get(&(daemon, attempt)) {
                let key = (daemon, order.query, self.services[name].clone());
                *self.runs.entry(key).or_default() += 1;
            }
            let jitter = self.random.random_range(0.7..1.3);
            let end = self.now + model.work.mul_f64(jitter);
            let end = after_pause(&model, self.now, end);
            let happening = Happening::Ends(daemon, attempt, name.into());
            self.plan(end.since(self.now), happening);
        }
    }

    fn finish(&mut self, daemon: usize, attempt: AttemptId, name: &str) {
        let model = self.models[name].clone();
        let life = self.lives.entry(name.into()).or_default();
        life.working.remove(&(daemon, attempt));
        if !is_dark(&model, self.now) {
            let breaks = self.random.random_range(0..100) < model.breaks_pct;
            let outcome = match breaks {
                true => Outcome::Broken,
                false => Outcome::Replied(model.status, model.stamped),
            };
            let link = self.link(daemon, name);
            self.plan(link, Happening::Tells(daemon, attempt, outcome));
        }
        self.work(name);
    }

    fn link(&self, daemon: usize, name: &str) -> Duration {
        match self.zones[daemon] == self.models[name].zone {
            true => Duration::from_micros(200),
            false => ms(8),
        }
    }

    fn plan(&mut self, after: Duration, happening: Happening) {
        self.serial += 1;
        self.agenda
            .insert((self.now + after, self.serial, happening));
    }
}

/// A route of kind `safe` with a goal of 200 ms and two attempts.
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
    }
}

/// A gather over shards `s0`, `s1` and so on.
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
        born_ms: 1,
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

fn is_dark(model: &ReplicaModel, now: TimePoint) -> bool {
    model
        .dark
        .is_some_and(|(from, until)| from <= now && now < until)
}

/// When work that would end at `end` ends, pauses counted in.
fn after_pause(model: &ReplicaModel, from: TimePoint, end: TimePoint) -> TimePoint {
    if model.pause.is_zero() {
        return end;
    }
    let every = model.pause_every.as_micros() as u64;
    let phase = model.pause_phase.as_micros() as u64;
    let pause = model.pause.as_micros() as u64;
    let place = (from.0 + phase) % every;
    if place < pause {
        return end + Duration::from_micros(pause - place);
    }
    if place + end.since(from).as_micros() as u64 > every {
        return end + model.pause;
    }
    end
}
