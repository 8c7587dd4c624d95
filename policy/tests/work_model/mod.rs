//! Simulates daemons whose real forwarding engines share replicas with slots, speeds, queues, pauses
//! and noisy neighbours, in virtual time. A run reports latencies and goals by kind of request.

#![allow(clippy::unwrap_used, dead_code)]

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        HashMap,
        HashSet,
        VecDeque, //
    },
    sync::Arc,
    time::Duration, //
};

use policy::{
    forward::{
        ForwardAction,
        ForwardAnswer,
        ForwardCall,
        ForwardEngine,
        ForwardEvent,
        ForwardReply,
        ForwardSettings,
        LoggedEvent,
        ReplicaStatements,
        RequestIdentity,
        RouteIndex, //
    },
    work::WorkSettings, //
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
    QueryId,
    ReplicaEntry,
    ReplicaLoad,
    RouteSpec,
    RouteTable,
    RouteTarget,
    TimePoint, //
};

const START_US: u64 = 1_000_000_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// The regions of the zones.
const REGIONS: [&str; 3] = ["x", "x", "y"];
/// One-way delays within a data centre, within a region and between regions.
const NEAR_US: u64 = 200;
const REGION_US: u64 = 4_000;
const REMOTE_US: u64 = 12_000;

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How the daemons choose replicas.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Chooser {
    Engine(WorkSettings),
    /// The replica in the daemon's data centre with the fewest attempts of the daemon in flight.
    LeastInFlight,
}

/// A replica of service `service`.
#[derive(Clone, Debug)]
pub(crate) struct SimReplica {
    pub(crate) service: usize,
    pub(crate) zone: usize,
    pub(crate) slots: usize,
    /// Time that work takes in proportion to the usual time.
    pub(crate) slowness: f64,
    pub(crate) queue_limit: usize,
    /// Start and end of times in which it is several times slower, with the factor.
    pub(crate) noise: Vec<(u64, u64, f64)>,
    /// It pauses 225 ms in each period of this length, shifted by the second number.
    pub(crate) pause_every: Option<(u64, u64)>,
    /// From when it sends no replies, in microseconds from the start.
    pub(crate) silent_from: Option<u64>,
}

impl SimReplica {
    pub(crate) fn new(service: usize, zone: usize) -> Self {
        Self {
            service,
            zone,
            slots: 2,
            slowness: 1.0,
            queue_limit: 24,
            noise: Vec::new(),
            pause_every: None,
            silent_from: None,
        }
    }
}

/// A kind of request with Poisson arrivals.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    /// Usual work in milliseconds.
    pub(crate) work_ms: f64,
    /// The services that it gathers from, or the only one.
    pub(crate) services: Vec<usize>,
    pub(crate) gather: bool,
    pub(crate) per_s: f64,
    /// Multiple of the rate between two times in microseconds from the start, in one zone or in all.
    pub(crate) surge: Option<(u64, u64, f64, Option<usize>)>,
    pub(crate) goal: Duration,
    pub(crate) timeout: Duration,
    pub(crate) priority: u32,
    pub(crate) account: Option<&'static str>,
    /// Name of the route, if several kinds share one.
    pub(crate) route: Option<&'static str>,
}

impl Kind {
    pub(crate) fn new(name: &'static str, work_ms: f64, per_s: f64, goal: Duration) -> Self {
        Self {
            name,
            work_ms,
            services: vec![0],
            gather: false,
            per_s,
            surge: None,
            goal,
            timeout: goal * 5,
            priority: 1,
            account: None,
            route: None,
        }
    }
}

/// A load on a fleet.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) daemons: usize,
    pub(crate) replicas: Vec<SimReplica>,
    pub(crate) kinds: Vec<Kind>,
    pub(crate) span: Duration,
    /// Arrivals before this time are not counted.
    pub(crate) warm_up: Duration,
    /// Whether replies carry the load of the replica.
    pub(crate) reports_load: bool,
    pub(crate) connections: u32,
    pub(crate) seed: u64,
    /// Number of runs, with seeds from `seed` on, whose results are added up.
    pub(crate) runs: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            daemons: 12,
            replicas: Vec::new(),
            kinds: Vec::new(),
            span: Duration::from_secs(20),
            warm_up: Duration::from_secs(3),
            reports_load: true,
            connections: 48,
            seed: 1,
            runs: 3,
        }
    }
}

/// Results of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindResult {
    pub(crate) sent: usize,
    pub(crate) in_goal: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    pub(crate) latencies: Vec<Duration>,
}

impl KindResult {
    /// The latency at a quantile of the requests that succeeded, in milliseconds.
    pub(crate) fn quantile(&self, quantile: f64) -> f64 {
        let rank = (self.latencies.len() as f64 * quantile) as usize;
        let rank = rank.min(self.latencies.len().saturating_sub(1));
        let latency = self.latencies.get(rank).copied();
        latency.unwrap_or_default().as_secs_f64() * 1000.0
    }

    /// Share of the requests that succeeded within their goal.
    pub(crate) fn share(&self) -> f64 {
        self.in_goal as f64 / self.sent.max(1) as f64
    }
}

#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) kinds: BTreeMap<&'static str, KindResult>,
    pub(crate) first_attempts: usize,
    pub(crate) extra_attempts: usize,
    pub(crate) logged: Vec<LoggedEvent>,
    /// Latencies of refusals.
    pub(crate) refused_after: Vec<Duration>,
}

impl Report {
    fn add(&mut self, other: Report) {
        for (name, result) in other.kinds {
            let sum = self.kinds.entry(name).or_default();
            sum.sent += result.sent;
            sum.in_goal += result.in_goal;
            sum.refused += result.refused;
            sum.failed += result.failed;
            sum.latencies.extend(result.latencies);
            sum.latencies.sort();
        }
        self.first_attempts += other.first_attempts;
        self.extra_attempts += other.extra_attempts;
        self.logged.extend(other.logged);
        self.refused_after.extend(other.refused_after);
    }

    pub(crate) fn kind(&self, name: &str) -> &KindResult {
        &self.kinds[name]
    }

    pub(crate) fn print(&self, title: &str) {
        let total = self.first_attempts.max(1) as f64;
        let extra = self.extra_attempts as f64 / total;
        println!("{title}: extra attempts {extra:.3} of first");
        for (name, result) in &self.kinds {
            println!(
                "  {name:12} sent {:6} in goal {:.4} p50 {:7.1} p99 {:7.1} refused {:.4} failed {:.4}",
                result.sent,
                result.share(),
                result.quantile(0.5),
                result.quantile(0.99),
                result.refused as f64 / result.sent.max(1) as f64,
                result.failed as f64 / result.sent.max(1) as f64,
            );
        }
    }
}

/// Runs a load with all parts, with none, and with least in flight.
pub(crate) fn compare(title: &str, load: &Load) -> [Report; 3] {
    let choosers = [
        ("work", Chooser::Engine(WorkSettings::all())),
        ("today", Chooser::Engine(WorkSettings::default())),
        ("least", Chooser::LeastInFlight),
    ];
    choosers.map(|(name, chooser)| {
        let mut report = Report::default();
        for seed in 0..load.runs {
            let load = Load {
                seed: load.seed + seed,
                ..load.clone()
            };
            report.add(Simulation::new(&load, chooser).run());
        }
        report.print(&format!("{title}, {name}"));
        report
    })
}

/// Noise that makes a replica 2.5 times slower for 0.6 s at a time, 15 in 100 of the time.
pub(crate) fn noise(random: &mut Pcg64Mcg, span: Duration) -> Vec<(u64, u64, f64)> {
    let mut periods = Vec::new();
    let mut at = random.random_range(0..4_000_000);
    while at < span.as_micros() as u64 {
        periods.push((at, at + 600_000, 2.5));
        at += 600_000 + random.random_range(0..6_800_000);
    }
    periods
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Planned {
    CallerSends(usize, usize),
    Arrives(usize, usize, AttemptId),
    WorkEnds(usize, usize, AttemptId),
    Replies(usize, usize, AttemptId, bool, [u32; 4]),
    Health(usize, u32),
    Deadline(usize, QueryId),
}

#[derive(Debug, Default)]
struct SimState {
    working: usize,
    queued: VecDeque<(usize, AttemptId)>,
}

#[derive(Debug)]
struct SentCall {
    kind: usize,
    at: u64,
}

/// One run of a load.
pub(crate) struct Simulation<'a> {
    load: &'a Load,
    chooser: Chooser,
    now: u64,
    pub(crate) engines: Vec<ForwardEngine>,
    wakeups: Vec<u64>,
    index: Arc<RouteIndex>,
    accounts: Vec<Option<Arc<AccountSpec>>>,
    states: Vec<SimState>,
    planned: BinaryHeap<Reverse<(u64, u64, Planned)>>,
    last_planned: u64,
    calls: HashMap<(usize, QueryId), SentCall>,
    /// Kind and query of each attempt in flight.
    attempts: HashMap<(usize, AttemptId), (usize, QueryId)>,
    cancelled: HashSet<(usize, AttemptId)>,
    own_in_flight: Vec<Vec<u32>>,
    last_attempt: u64,
    last_query: u64,
    random: Pcg64Mcg,
    pub(crate) report: Report,
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(load: &'a Load, chooser: Chooser) -> Self {
        let services = load.replicas.iter().map(|replica| replica.service).max();
        let services = 0..=services.unwrap();
        let names = services.map(|n| format!("s{n}").parse().unwrap());
        let names: Vec<schema::ServiceName> = names.collect();
        let routes = load.kinds.iter().map(|kind| {
            let shards = kind.services.iter().map(|n| names[*n].clone());
            let target = match kind.gather {
                true => RouteTarget::Gather {
                    shards: shards.collect(),
                    top: 20,
                    min_share: 0.89,
                },
                false => RouteTarget::Single(names[kind.services[0]].clone()),
            };
            RouteSpec {
                name: kind.route.unwrap_or(kind.name).parse().unwrap(),
                host: "h".into(),
                prefix: format!("/{}/", kind.name).into(),
                target,
                idempotent: true,
                timeout: kind.timeout,
                goal: kind.goal,
                attempts: 2,
                priority: kind.priority,
                public: false,
                homes: Default::default(),
            }
        });
        let table = RouteTable {
            version: BundleVersion(1),
            routes: routes.collect(),
            services: names
                .iter()
                .cloned()
                .map(|n| (n, load.connections))
                .collect(),
            ..RouteTable::default()
        };
        let index = Arc::new(RouteIndex::new(table));
        let accounts = load.kinds.iter().map(|kind| {
            let name = kind.account?;
            Some(Arc::new(AccountSpec {
                name: name.parse().unwrap(),
                keys: Default::default(),
                priority: None,
                quota: None,
                homes: Default::default(),
            }))
        });
        let zones = [0, 1, 2].map(|zone| (ZONES[zone], REGIONS[zone]));
        let regions = zones.map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()));
        let engines = (0..load.daemons).map(|daemon| {
            ForwardEngine::new(ForwardSettings {
                daemon: format!("d{daemon}").parse().unwrap(),
                zone: ZONES[daemon % 3].parse().unwrap(),
                regions: regions.clone().into(),
                seed: load.seed * 1_000 + daemon as u64,
                retry_budget_slack: 56.0,
                capacity: CpuCapacity(120),
                work: match chooser {
                    Chooser::Engine(work) => work,
                    Chooser::LeastInFlight => WorkSettings::default(),
                },
                ..ForwardSettings::default()
            })
        });
        let mut simulation = Self {
            load,
            chooser,
            now: START_US,
            engines: engines.collect(),
            wakeups: vec![u64::MAX; load.daemons],
            index: index.clone(),
            accounts: accounts.collect(),
            states: load.replicas.iter().map(|_| SimState::default()).collect(),
            planned: BinaryHeap::new(),
            last_planned: 0,
            calls: HashMap::new(),
            attempts: HashMap::new(),
            cancelled: HashSet::new(),
            own_in_flight: vec![vec![0; load.replicas.len()]; load.daemons],
            last_attempt: 0,
            last_query: 0,
            random: Pcg64Mcg::seed_from_u64(load.seed),
            report: Report::default(),
        };
        for daemon in 0..load.daemons {
            simulation.notify(daemon, ForwardEvent::TableApplied(index.clone()));
            let daemons = load.daemons as u32;
            let others = Vec::new();
            simulation.notify(daemon, ForwardEvent::DaemonsCounted { daemons, others });
            for (number, replica) in load.replicas.iter().enumerate() {
                let entry = ReplicaEntry {
                    name: format!("r{number}").parse().unwrap(),
                    service: names[replica.service].clone(),
                    address: "127.0.0.1:1".parse().unwrap(),
                    zone: ZONES[replica.zone].parse().unwrap(),
                    slots: replica.slots as u32,
                    draining: false,
                    cold_left: Duration::ZERO,
                    born_ms: 1,
                };
                simulation.notify(daemon, ForwardEvent::ReplicaListed(entry));
            }
        }
        for (kind, spec) in load.kinds.iter().enumerate() {
            simulation.report.kinds.entry(spec.name).or_default();
            for zone in 0..3 {
                simulation.plan_arrival(kind, zone);
            }
        }
        simulation
    }

    pub(crate) fn run(mut self) -> Report {
        let end = START_US + self.load.span.as_micros() as u64;
        loop {
            let (daemon, wakeup) = self
                .wakeups
                .iter()
                .enumerate()
                .min_by_key(|(_, at)| **at)
                .unwrap();
            let wakeup = (*wakeup).max(self.now);
            let next = self
                .planned
                .peek()
                .map_or(u64::MAX, |Reverse((at, _, _))| *at);
            if next.min(wakeup) > end {
                break;
            }
            if wakeup < next {
                self.now = wakeup;
                self.notify(daemon, ForwardEvent::TimerFired);
                continue;
            }
            let Reverse((at, _, planned)) = self.planned.pop().unwrap();
            self.now = at;
            self.handle(planned);
        }
        for result in self.report.kinds.values_mut() {
            result.latencies.sort();
        }
        self.report
    }

    fn plan(&mut self, after: u64, planned: Planned) {
        self.last_planned += 1;
        self.planned
            .push(Reverse((self.now + after, self.last_planned, planned)));
    }

    fn plan_arrival(&mut self, kind: usize, zone: usize) {
        let spec = &self.load.kinds[kind];
        // Thinning: candidates at the highest rate, of which the current rate's share are sent.
        let peak = spec.surge.map_or(1.0, |(_, _, factor, _)| factor.max(1.0));
        let rate = spec.per_s / 3.0 * peak;
        let gap = -self.random.random_range(1e-9..1.0_f64).ln() / rate * 1e6;
        self.plan(gap as u64, Planned::CallerSends(kind, zone));
    }

    fn send_request(&mut self, kind: usize, zone: usize) {
        self.plan_arrival(kind, zone);
        let spec = &self.load.kinds[kind];
        if let Some((from, until, factor, only)) = spec.surge {
            let at = self.now - START_US;
            let surges = from <= at && at < until && only.is_none_or(|only| only == zone);
            let share = if surges { factor } else { 1.0 } / factor.max(1.0);
            if self.random.random_range(0.0..1.0) >= share {
                return;
            }
        }
        let local = self.load.daemons.div_ceil(3);
        let daemon = (self.random.random_range(0..local) * 3 + zone) % self.load.daemons;
        self.last_query += 1;
        let query = QueryId(self.last_query);
        self.calls
            .insert((daemon, query), SentCall { kind, at: self.now });
        if matches!(self.chooser, Chooser::LeastInFlight) {
            self.send_least(daemon, query, kind);
            return;
        }
        let call = ForwardCall {
            index: self.index.clone(),
            route: kind,
            time_left: Some(spec.timeout),
            identity: RequestIdentity::default(),
            shards: Vec::new(),
            account: self.accounts[kind].clone(),
            terms: None,
        };
        self.notify(daemon, ForwardEvent::Arrived { query, call });
    }

    /// The baseline: a replica for the request (of its first service) without hedges or retries.
    fn send_least(&mut self, daemon: usize, query: QueryId, kind: usize) {
        let spec = &self.load.kinds[kind];
        self.plan(
            spec.timeout.as_micros() as u64,
            Planned::Deadline(daemon, query),
        );
        let replicas = &self.load.replicas;
        let of_service = |n: &usize| replicas[*n].service == spec.services[0];
        let all: Vec<usize> = (0..replicas.len()).filter(of_service).collect();
        let is_near = |n: &usize| replicas[*n].zone == daemon % 3;
        let near: Vec<usize> = all.iter().copied().filter(is_near).collect();
        let candidates = if near.is_empty() { all } else { near };
        let least = candidates
            .iter()
            .map(|n| self.own_in_flight[daemon][*n])
            .min()
            .unwrap();
        let equal = candidates
            .iter()
            .filter(|n| self.own_in_flight[daemon][**n] == least);
        let equal: Vec<usize> = equal.copied().collect();
        let chosen = equal[self.random.random_range(0..equal.len())];
        self.last_attempt += 1;
        self.send_attempt(daemon, AttemptId(self.last_attempt), query, chosen);
    }

    fn send_attempt(&mut self, daemon: usize, attempt: AttemptId, query: QueryId, replica: usize) {
        let Some(call) = self.calls.get(&(daemon, query)) else {
            return;
        };
        self.attempts.insert((daemon, attempt), (call.kind, query));
        self.own_in_flight[daemon][replica] += 1;
        self.plan(
            self.delay(daemon, replica),
            Planned::Arrives(daemon, replica, attempt),
        );
    }

    fn delay(&self, daemon: usize, replica: usize) -> u64 {
        let (here, there) = (daemon % 3, self.load.replicas[replica].zone);
        match here == there {
            true => NEAR_US,
            false if REGIONS[here] == REGIONS[there] => REGION_US,
            false => REMOTE_US,
        }
    }

    fn notify(&mut self, daemon: usize, event: ForwardEvent) {
        let mut actions = Vec::new();
        self.engines[daemon].on_event(TimePoint(self.now), event, &mut actions);
        for action in actions {
            match action {
                ForwardAction::Send(command) => {
                    let replica = command.name.as_str()[1..].parse().unwrap();
                    match command.extra {
                        true => self.report.extra_attempts += 1,
                        false => self.report.first_attempts += 1,
                    }
                    self.send_attempt(daemon, command.attempt, command.query, replica);
                }
                ForwardAction::Cancel { attempt } => {
                    self.attempts.remove(&(daemon, attempt));
                    self.cancelled.insert((daemon, attempt));
                    for state in &mut self.states {
                        state.queued.retain(|queued| *queued != (daemon, attempt));
                    }
                }
                ForwardAction::CheckHealth { replica, .. } => {
                    self.plan(20_000, Planned::Health(daemon, replica.0));
                }
                ForwardAction::Answer { query, answer } => {
                    self.record_answer(daemon, query, &answer)
                }
                ForwardAction::Log(event) => self.report.logged.push(event),
                _ => {}
            }
        }
        self.wakeups[daemon] = self.engines[daemon].next_wakeup().0;
    }

    fn record_answer(&mut self, daemon: usize, query: QueryId, answer: &ForwardAnswer) {
        let Some(call) = self.calls.remove(&(daemon, query)) else {
            return;
        };
        if call.at < START_US + self.load.warm_up.as_micros() as u64 {
            return;
        }
        let spec = &self.load.kinds[call.kind];
        let latency = Duration::from_micros(self.now - call.at);
        let result = self.report.kinds.get_mut(spec.name).unwrap();
        result.sent += 1;
        match answer {
            ForwardAnswer::Relayed { .. } | ForwardAnswer::Merged { .. } => {
                result.latencies.push(latency);
                result.in_goal += usize::from(latency <= spec.goal);
            }
            ForwardAnswer::NotRun { .. } => {
                result.refused += 1;
                self.report.refused_after.push(latency);
            }
            _ => result.failed += 1,
        }
    }

    fn handle(&mut self, planned: Planned) {
        match planned {
            Planned::CallerSends(kind, zone) => self.send_request(kind, zone),
            Planned::Arrives(daemon, replica, attempt) => {
                if self.cancelled.remove(&(daemon, attempt)) {
                    return;
                }
                if self.states[replica].queued.len() >= self.load.replicas[replica].queue_limit {
                    self.reply(daemon, replica, attempt, true);
                    return;
                }
                self.states[replica].queued.push_back((daemon, attempt));
                self.start_work(replica);
            }
            Planned::WorkEnds(daemon, replica, attempt) => {
                self.states[replica].working -= 1;
                self.start_work(replica);
                if !self.cancelled.remove(&(daemon, attempt)) {
                    self.reply(daemon, replica, attempt, false);
                }
            }
            Planned::Replies(daemon, replica, attempt, not_run, load) => {
                let own = &mut self.own_in_flight[daemon][replica];
                *own = own.saturating_sub(1);
                let Some((_, query)) = self.attempts.remove(&(daemon, attempt)) else {
                    return;
                };
                if matches!(self.chooser, Chooser::LeastInFlight) {
                    self.report.first_attempts += 1;
                    let answer = match not_run {
                        true => ForwardAnswer::NotRun {
                            reason: policy::forward::RefusalReason::Overload,
                            retry_after: ms(100),
                        },
                        false => ForwardAnswer::Relayed { attempt },
                    };
                    self.record_answer(daemon, query, &answer);
                    return;
                }
                let reply = self.reply_of(attempt, not_run, load);
                self.notify(daemon, ForwardEvent::Replied { attempt, reply });
            }
            Planned::Health(daemon, replica) => {
                let replica = policy::forward::ReplicaKey(replica);
                let answered = true;
                self.notify(daemon, ForwardEvent::HealthChecked { replica, answered });
            }
            Planned::Deadline(daemon, query) => {
                let reason = policy::forward::RefusalReason::Deadline;
                self.record_answer(daemon, query, &ForwardAnswer::Failed { reason });
            }
        }
    }

    fn reply_of(&self, attempt: AttemptId, not_run: bool, load: [u32; 4]) -> ForwardReply {
        let [running, waiting, slots, slowness] = load.map(f64::from);
        let load = ReplicaLoad {
            running,
            waiting,
            slots,
            slowness: Some(slowness / 100.0),
        };
        ForwardReply {
            statements: ReplicaStatements {
                load: Some(load).filter(|_| self.load.reports_load),
                ..ReplicaStatements::default()
            },
            status: if not_run { 503 } else { 200 },
            not_run,
            stamp: Some(format!("stamp-{attempt}").into()),
            body: attempt.0.to_be_bytes().repeat(2).into(),
            ..ForwardReply::default()
        }
    }

    fn reply(&mut self, daemon: usize, replica: usize, attempt: AttemptId, not_run: bool) {
        let spec = &self.load.replicas[replica];
        if spec
            .silent_from
            .is_some_and(|from| self.now >= START_US + from)
        {
            return;
        }
        let state = &self.states[replica];
        let load = [
            state.working as u32,
            state.queued.len() as u32,
            spec.slots as u32,
            (self.noise_factor(replica) * 100.0) as u32,
        ];
        let planned = Planned::Replies(daemon, replica, attempt, not_run, load);
        self.plan(self.delay(daemon, replica), planned);
    }

    fn noise_factor(&self, replica: usize) -> f64 {
        let at = self.now - START_US;
        let periods = self.load.replicas[replica].noise.iter();
        let mut current = periods.filter(|(from, until, _)| *from <= at && at < *until);
        current.next().map_or(1.0, |(_, _, factor)| *factor)
    }

    fn start_work(&mut self, replica: usize) {
        let spec = &self.load.replicas[replica];
        while self.states[replica].working < spec.slots {
            let Some((daemon, attempt)) = self.states[replica].queued.pop_front() else {
                return;
            };
            let Some((kind, _)) = self.attempts.get(&(daemon, attempt)) else {
                continue;
            };
            let jitter = self.random.random_range(0.7..1.3);
            let slowness = spec.slowness * self.noise_factor(replica) * jitter;
            let work = (self.load.kinds[*kind].work_ms * slowness * 1000.0) as u64;
            let work = work + self.pause_within(replica, work);
            self.states[replica].working += 1;
            self.plan(work, Planned::WorkEnds(daemon, replica, attempt));
        }
    }

    /// Time for which work that starts now is held up by a pause.
    fn pause_within(&self, replica: usize, work: u64) -> u64 {
        const PAUSE_US: u64 = 225_000;
        let Some((every, phase)) = self.load.replicas[replica].pause_every else {
            return 0;
        };
        let offset = (self.now + phase) % every;
        match offset {
            _ if offset < PAUSE_US => PAUSE_US - offset,
            _ if offset + work > every => PAUSE_US,
            _ => 0,
        }
    }
}
