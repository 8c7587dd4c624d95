//! Daemons and replicas that name limits, in simulated time, a millisecond at a time.

#![allow(clippy::unwrap_used, dead_code)]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use policy::forward::{
    ForwardAction,
    ForwardAnswer,
    ForwardCall,
    ForwardEngine,
    ForwardEvent,
    ForwardReply,
    ForwardSettings,
    LimitStatement,
    LoggedEvent,
    ReplicaStatements,
    RequestIdentity,
    RouteIndex,
    SendCommand, //
};
use schema::{
    AttemptId,
    DaemonName,
    LimitEntry,
    LimitNotice,
    QueryId,
    ReplicaEntry,
    RequestRate,
    RouteTable,
    RouteTarget,
    ShareAmount,
    TimePoint, //
};

use crate::forward_kit::{
    ms,
    route,
    START, //
};

/// The platform counts the requests in each span of this length.
const COUNTED_SPAN: Duration = Duration::from_secs(4);
/// Delay of a message between two daemons.
const MESSAGE_DELAY: Duration = Duration::from_millis(5);
/// Time for which daemons that are not reached count as live: that in which the peer protocol finds
/// out.
const SUSPECT_PERIOD: Duration = Duration::from_secs(2);

/// Requests that the platform allows in a span: one and a half times the limit, and 5.
pub(crate) fn allowed(limit: f64) -> usize {
    (limit * COUNTED_SPAN.as_secs_f64() * 1.5 + 5.0) as usize
}

pub(crate) fn single() -> RouteTarget {
    RouteTarget::Single("s0".parse().unwrap())
}

struct DaemonModel {
    name: DaemonName,
    engine: ForwardEngine,
    /// Requests a second, and those that have come so far, with fractions.
    rate: f64,
    due: f64,
    frozen: bool,
    running: bool,
    /// What happened while the daemon was frozen.
    backlog: Vec<ForwardEvent>,
}

#[derive(Clone)]
struct ReplicaModel {
    limit: LimitStatement,
    status: u16,
    delay: Duration,
    arrivals: Vec<TimePoint>,
}

pub(crate) struct LimitBench {
    pub(crate) now: TimePoint,
    daemons: Vec<DaemonModel>,
    index: Arc<RouteIndex>,
    replicas: BTreeMap<String, ReplicaModel>,
    /// Names, services and starts of the listed replicas.
    listed: Vec<(String, String, u64)>,
    /// Replies on their way, by time.
    replies: BTreeMap<(TimePoint, u64), (usize, AttemptId, String)>,
    messages: BTreeMap<(TimePoint, u64), (usize, DaemonName, LimitNotice)>,
    last_number: u64,
    cut_off: Vec<usize>,
    /// Attempts that are replied to by hand.
    held: Vec<(usize, SendCommand)>,
    holds: bool,
    arrived_at: BTreeMap<QueryId, TimePoint>,
    /// Answers with their daemon and the time since the request arrived.
    pub(crate) answers: Vec<(usize, ForwardAnswer, Duration)>,
    pub(crate) logged: Vec<LoggedEvent>,
    pub(crate) extras: usize,
}

impl LimitBench {
    /// Daemons and `replicas` replicas of each service of the target, all in one data centre.
    pub(crate) fn new(daemons: usize, target: RouteTarget, replicas: usize) -> Self {
        let routes = vec![route("r", target)];
        let services: Vec<_> = routes[0].services().into_iter().cloned().collect();
        let table = RouteTable {
            routes,
            services: services.iter().map(|name| (name.clone(), 4_000)).collect(),
            ..RouteTable::default()
        };
        let mut bench = Self {
            now: START,
            daemons: Vec::new(),
            index: Arc::new(RouteIndex::new(table)),
            replicas: BTreeMap::new(),
            listed: Vec::new(),
            replies: BTreeMap::new(),
            messages: BTreeMap::new(),
            last_number: 0,
            cut_off: Vec::new(),
            held: Vec::new(),
            holds: false,
            arrived_at: BTreeMap::new(),
            answers: Vec::new(),
            logged: Vec::new(),
            extras: 0,
        };
        for service in &services {
            for number in 0..replicas {
                bench.list(&format!("{service}-{number}"), service.as_str(), 1);
            }
        }
        for _ in 0..daemons {
            bench.add_daemon();
        }
        bench
    }

    fn new_engine(&self, number: usize) -> (DaemonName, ForwardEngine) {
        let daemon: DaemonName = format!("d{number}").parse().unwrap();
        let settings = ForwardSettings {
            daemon: daemon.clone(),
            zone: "a".parse().unwrap(),
            seed: number as u64,
            retry_budget_ratio: 1.0,
            retry_budget_slack: 1_000.0,
            ..ForwardSettings::default()
        };
        (daemon, ForwardEngine::new(settings))
    }

    pub(crate) fn add_daemon(&mut self) {
        let (name, engine) = self.new_engine(self.daemons.len());
        self.daemons.push(DaemonModel {
            name,
            engine,
            rate: 0.0,
            due: 0.0,
            frozen: false,
            running: true,
            backlog: Vec::new(),
        });
        self.introduce(self.daemons.len() - 1);
        self.count_daemons();
    }

    /// Starts a daemon anew, which then knows no limit.
    pub(crate) fn restart(&mut self, daemon: usize) {
        self.daemons[daemon].engine = self.new_engine(daemon).1;
        self.replies.retain(|_, (of, ..)| *of != daemon);
        self.introduce(daemon);
        self.count_daemons();
    }

    /// Ends a daemon, which the others learn.
    pub(crate) fn remove_daemon(&mut self, daemon: usize) {
        self.daemons[daemon].running = false;
        self.daemons[daemon].rate = 0.0;
        self.count_daemons();
    }

    /// Tells a daemon the routes and the replicas.
    fn introduce(&mut self, daemon: usize) {
        self.notify(daemon, ForwardEvent::TableApplied(self.index.clone()));
        for (name, service, born) in self.listed.clone() {
            let event = ForwardEvent::ReplicaListed(entry_of(&name, &service, born));
            self.notify(daemon, event);
        }
    }

    fn count_daemons(&mut self) {
        for daemon in 0..self.daemons.len() {
            let reached = |other: &usize| {
                self.daemons[*other].running
                    && (self.cut_off.contains(&daemon) == self.cut_off.contains(other))
            };
            let others = (0..self.daemons.len()).filter(|other| *other != daemon);
            let others: Vec<_> = others
                .filter(reached)
                .map(|other| self.daemons[other].name.clone())
                .collect();
            let daemons = others.len() as u32 + 1;
            self.notify(daemon, ForwardEvent::DaemonsCounted { daemons, others });
        }
    }

    /// Lists a replica, or the next start of one.
    pub(crate) fn list(&mut self, name: &str, service: &str, born: u64) {
        self.listed.retain(|(known, ..)| known != name);
        self.listed.push((name.into(), service.into(), born));
        self.replicas.entry(name.into()).or_insert(ReplicaModel {
            limit: LimitStatement::Unlimited,
            status: 200,
            delay: ms(5),
            arrivals: Vec::new(),
        });
        for daemon in 0..self.daemons.len() {
            let event = ForwardEvent::ReplicaListed(entry_of(name, service, born));
            self.notify(daemon, event);
        }
    }

    pub(crate) fn set_limit(&mut self, replica: &str, limit: LimitStatement) {
        self.replicas.get_mut(replica).unwrap().limit = limit;
    }

    pub(crate) fn set_status(&mut self, replica: &str, status: u16) {
        self.replicas.get_mut(replica).unwrap().status = status;
    }

    pub(crate) fn set_delay(&mut self, replica: &str, delay: Duration) {
        self.replicas.get_mut(replica).unwrap().delay = delay;
    }

    /// Sets the requests a second that callers send each daemon.
    pub(crate) fn set_rates(&mut self, rate: impl Fn(usize) -> f64) {
        for (number, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.rate = if daemon.running { rate(number) } else { 0.0 };
        }
    }

    pub(crate) fn freeze(&mut self, daemon: usize, frozen: bool) {
        self.daemons[daemon].frozen = frozen;
        if !frozen {
            for event in std::mem::take(&mut self.daemons[daemon].backlog) {
                self.notify(daemon, event);
            }
        }
    }

    /// Cuts these daemons off from the others, which find out after some time, or heals the cut.
    pub(crate) fn cut(&mut self, daemons: &[usize]) {
        self.cut_off = daemons.to_vec();
        self.advance(SUSPECT_PERIOD);
        self.count_daemons();
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + ms(1);
            self.deliver();
            for daemon in 0..self.daemons.len() {
                let model = &mut self.daemons[daemon];
                model.due += model.rate / 1_000.0;
                while self.daemons[daemon].due >= 1.0 {
                    self.daemons[daemon].due -= 1.0;
                    self.send_request(daemon);
                }
                let model = &self.daemons[daemon];
                if model.running && !model.frozen && model.engine.next_wakeup() <= self.now {
                    self.notify(daemon, ForwardEvent::TimerFired);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let later = self
            .replies
            .split_off(&(self.now + Duration::from_micros(1), 0));
        for (daemon, attempt, replica) in std::mem::replace(&mut self.replies, later).into_values()
        {
            let model = &self.replicas[&replica];
            let reply = reply_of(model.status, model.limit.clone());
            self.notify(daemon, ForwardEvent::Replied { attempt, reply });
        }
        let later = self
            .messages
            .split_off(&(self.now + Duration::from_micros(1), 0));
        for (to, from, notice) in std::mem::replace(&mut self.messages, later).into_values() {
            if !self.daemons[to].running {
                continue;
            }
            let event = ForwardEvent::LimitsReported { from, notice };
            self.notify(to, event);
        }
    }

    fn send_request(&mut self, daemon: usize) -> QueryId {
        self.last_number += 1;
        let query = QueryId(self.last_number);
        self.arrived_at.insert(query, self.now);
        let call = ForwardCall {
            index: self.index.clone(),
            route: 0,
            time_left: Some(ms(3_000)),
            identity: RequestIdentity::default(),
            shards: Vec::new(),
            account: None,
            terms: None,
        };
        self.notify(daemon, ForwardEvent::Arrived { query, call });
        query
    }

    fn notify(&mut self, daemon: usize, event: ForwardEvent) {
        if self.daemons[daemon].frozen {
            self.daemons[daemon].backlog.push(event);
            return;
        }
        let mut actions = Vec::new();
        let engine = &mut self.daemons[daemon].engine;
        engine.on_event(self.now, event, &mut actions);
        let mut health_checks = Vec::new();
        for action in actions {
            self.last_number += 1;
            match action {
                ForwardAction::Send(command) => self.start_attempt(daemon, command),
                ForwardAction::Cancel { attempt } => {
                    let of_attempt = |of: &usize, id: &AttemptId| (*of, *id) == (daemon, attempt);
                    self.replies.retain(|_, (of, id, _)| !of_attempt(of, id));
                }
                ForwardAction::Answer { query, answer } => {
                    let age = self.now.since(self.arrived_at[&query]);
                    self.answers.push((daemon, answer, age));
                }
                ForwardAction::ShareLimits { to, notice } => self.share(daemon, &to, notice),
                ForwardAction::Log(event) => self.logged.push(event),
                ForwardAction::CheckHealth { replica, .. } => health_checks.push(replica),
                _ => {}
            }
        }
        for replica in health_checks {
            let answered = true;
            self.notify(daemon, ForwardEvent::HealthChecked { replica, answered });
        }
    }

    fn start_attempt(&mut self, daemon: usize, command: SendCommand) {
        self.extras += usize::from(command.extra);
        if self.holds {
            self.held.push((daemon, command));
            return;
        }
        let name = command.name.to_string();
        let replica = self.replicas.get_mut(&name).unwrap();
        replica.arrivals.push(self.now);
        let at = (self.now + replica.delay, self.last_number);
        self.replies.insert(at, (daemon, command.attempt, name));
    }

    fn share(&mut self, from: usize, to: &DaemonName, notice: LimitNotice) {
        let to = self.daemons.iter().position(|model| model.name == *to);
        let to = to.unwrap();
        if self.cut_off.contains(&from) != self.cut_off.contains(&to) {
            return;
        }
        let at = (self.now + MESSAGE_DELAY, self.last_number);
        let notice = LimitNotice::from_note(&notice.to_note());
        let from = self.daemons[from].name.clone();
        self.messages.insert(at, (to, from, notice));
    }

    /// Sends a request whose attempt is replied to by hand; returns its daemon and the attempt.
    pub(crate) fn arrive(&mut self, daemon: usize) -> (usize, AttemptId) {
        self.holds = true;
        self.send_request(daemon);
        self.holds = false;
        let (daemon, command) = self.held.pop().unwrap();
        (daemon, command.attempt)
    }

    /// The same after some time; returns the attempt.
    pub(crate) fn arrive_after(&mut self, daemon: usize, pause: Duration) -> AttemptId {
        self.now = self.now + pause;
        self.arrive(daemon).1
    }

    /// Replies to an attempt.
    pub(crate) fn reply(&mut self, daemon: usize, attempt: AttemptId, limit: LimitStatement) {
        let reply = reply_of(200, limit);
        self.notify(daemon, ForwardEvent::Replied { attempt, reply });
    }

    /// Limits in force at a daemon.
    pub(crate) fn limits(&self, daemon: usize) -> Vec<f64> {
        let status = self.daemons[daemon].engine.status(self.now);
        let limits = status.limits.iter();
        limits.map(|(_, limit, _)| limit.per_second()).collect()
    }

    /// Shares of the limits in force at a daemon, in requests a second.
    pub(crate) fn shares(&self, daemon: usize) -> Vec<f64> {
        let status = self.daemons[daemon].engine.status(self.now);
        status.limits.iter().map(|(_, _, share)| *share).collect()
    }

    /// Hands a daemon what another one says about the replica `s0-0`.
    pub(crate) fn report(&mut self, daemon: usize, limit: Option<RequestRate>, share: f64) {
        let entry = LimitEntry {
            instance: entry_of("s0-0", "s0", 1).instance(),
            limit,
            age: Duration::from_secs(8),
            amount: ShareAmount::Granted(share),
        };
        let notice = LimitNotice {
            entries: vec![entry],
        };
        let from = "d1".parse().unwrap();
        self.notify(daemon, ForwardEvent::LimitsReported { from, notice });
    }

    /// Requests that a replica has got since `from`.
    pub(crate) fn arrivals(&self, replica: &str, from: TimePoint) -> usize {
        let arrivals = self.replicas[replica].arrivals.iter();
        arrivals.filter(|at| **at > from).count()
    }

    /// The most requests that a replica got in a span that ends after `from`.
    pub(crate) fn busiest_span(&self, replica: &str, from: TimePoint) -> usize {
        let arrivals = &self.replicas[replica].arrivals;
        let mut start = 0;
        let mut busiest = 0;
        for (index, end) in arrivals.iter().enumerate() {
            while end.since(arrivals[start]) >= COUNTED_SPAN {
                start += 1;
            }
            if *end > from {
                busiest = busiest.max(index - start + 1);
            }
        }
        busiest
    }
}

fn reply_of(status: u16, limit: LimitStatement) -> ForwardReply {
    ForwardReply {
        status,
        stamp: Some("stamp".into()),
        statements: ReplicaStatements {
            limit,
            ..ReplicaStatements::default()
        },
        body: vec![1; 16].into(),
        ..ForwardReply::default()
    }
}

fn entry_of(name: &str, service: &str, born_ms: u64) -> ReplicaEntry {
    ReplicaEntry {
        name: name.parse().unwrap(),
        service: service.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 4,
        draining: false,
        cold_left: Duration::ZERO,
        born_ms,
    }
}
