//! Upstreams in memory, with faults, that drive the query engine in its own time.

#![allow(clippy::unwrap_used, dead_code)]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use policy::engine::{
    AnswerOutcome,
    AttemptFailure,
    ClaimVerdict,
    EngineAction,
    EngineEvent,
    EngineSettings,
    PlacedReplica,
    QueryAnswer,
    QueryCall,
    QueryEngine,
    ReplicaLoad,
    ReplicaReply,
    ResultItem,
    SendOrder, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    bundle,
    AttemptId,
    CoverageShare,
    DeploymentSpec,
    KeySpan,
    QueryId,
    SnapshotId,
    SpanSet,
    TimePoint,
    VmName,
    KEY_SPACE, //
};

/// Distance between two keys that hold an item.
const ITEM_STEP: u32 = 4096;

/// Shares of sub-queries, in per cent, that meet a fault.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultRates {
    pub(crate) connect_failed: u32,
    pub(crate) broke_before: u32,
    pub(crate) broke_after: u32,
    pub(crate) bad_reply: u32,
    pub(crate) ran_failed: u32,
    pub(crate) shed: u32,
    pub(crate) silent: u32,
    pub(crate) slow: u32,
    pub(crate) wrong_snapshot: u32,
}

/// An upstream.
#[derive(Clone, Debug)]
pub(crate) struct FakeVm {
    pub(crate) group: String,
    pub(crate) shard: String,
    pub(crate) serves: SpanSet,
    pub(crate) snapshots: Vec<u64>,
    pub(crate) dead: bool,
    pub(crate) silent: bool,
    pub(crate) draining: bool,
    pub(crate) latency: Duration,
}

/// What became of an order.
#[derive(Clone, Debug)]
pub(crate) struct OrderLog {
    pub(crate) order: SendOrder,
    pub(crate) at: TimePoint,
    pub(crate) sent: bool,
    pub(crate) cancelled: bool,
    pub(crate) ended: bool,
    pub(crate) refused: bool,
    pub(crate) heard: Option<(u64, SnapshotId, SpanSet)>,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub(crate) struct QueryLog {
    pub(crate) call: QueryCall,
    pub(crate) gone: bool,
    pub(crate) answers: Vec<(TimePoint, QueryAnswer)>,
    pub(crate) granted: bool,
    pub(crate) released: bool,
    pub(crate) recorded: Option<AnswerOutcome>,
}

#[derive(Clone, Debug)]
enum Job {
    Report(EngineEvent),
    Write(AttemptId),
    Serve(AttemptId),
}

/// Engine, upstreams and time.
pub(crate) struct EngineWorld {
    pub(crate) engine: QueryEngine,
    pub(crate) now: TimePoint,
    pub(crate) rates: FaultRates,
    pub(crate) vms: BTreeMap<VmName, FakeVm>,
    pub(crate) orders: BTreeMap<AttemptId, OrderLog>,
    pub(crate) queries: BTreeMap<QueryId, QueryLog>,
    pub(crate) closed_idle: Vec<VmName>,
    pub(crate) quarantined: u32,
    pub(crate) store_down: bool,
    /// Standard deviation of the logarithm of a sub-query's time.
    pub(crate) sigma: f64,
    pub(crate) random: Pcg64Mcg,
    jobs: BTreeMap<(TimePoint, u64), Job>,
    sequence: u64,
}

/// A bundle with the scattered group `find` of `shards` shards and the run-once group `order`.
pub(crate) fn spec(version: u64, shards: u32, policy: bundle::PolicySpec) -> Arc<DeploymentSpec> {
    let group = |name: &str, mode: &str, once, shard_count| bundle::GroupSpec {
        name: name.into(),
        mode: mode.into(),
        once,
        shard_count,
        replicas: 3,
        slots: 4,
        connections: 200,
        connect_us: 1000,
        policy: Some(policy),
        ..Default::default()
    };
    let body = bundle::BundleBody {
        deployment: "test".into(),
        version,
        daemons: 1,
        zones: vec![bundle::ZoneSpec {
            name: "a".into(),
            region: "r".into(),
        }],
        signers: vec![bundle::SignerSpec {
            name: "s".into(),
            key: "00".repeat(32),
        }],
        signers_required: 1,
        groups: vec![
            group("find", "scatter", false, shards),
            group("order", "single", true, 0),
        ],
        ..Default::default()
    };
    Arc::new(DeploymentSpec::from_body(&body).unwrap())
}

impl EngineWorld {
    /// Three replicas for each shard, all well, on snapshot 1.
    pub(crate) fn new(seed: u64, shards: u32, policy: bundle::PolicySpec) -> Self {
        let settings = EngineSettings {
            zone: "a".parse().unwrap(),
            name: "daemon".parse().unwrap(),
            seed,
            max_requests: 1000,
        };
        let mut world = Self {
            engine: QueryEngine::new(settings),
            now: TimePoint(1_000_000_000),
            rates: FaultRates::default(),
            vms: BTreeMap::new(),
            orders: BTreeMap::new(),
            queries: BTreeMap::new(),
            closed_idle: Vec::new(),
            quarantined: 0,
            store_down: false,
            sigma: 0.1,
            random: Pcg64Mcg::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            sequence: 0,
        };
        let spec = spec(1, shards, policy);
        for group in &spec.groups {
            for shard in &group.shards {
                for replica in 0..3 {
                    let vm = format!("{}-{}-{replica}", group.name, shard.name);
                    let fake = FakeVm {
                        group: group.name.to_string(),
                        shard: shard.name.to_string(),
                        serves: shard.span.into(),
                        snapshots: vec![1],
                        dead: false,
                        silent: false,
                        draining: false,
                        latency: Duration::from_millis(8),
                    };
                    world.vms.insert(vm.parse().unwrap(), fake);
                }
            }
        }
        let mut actions = Vec::new();
        world.engine.apply_bundle(world.now, spec, &mut actions);
        world.list();
        world
    }

    /// Tells the engine all upstreams that live.
    pub(crate) fn list(&mut self) {
        let mut replicas = Vec::new();
        for (vm, fake) in self.vms.iter().filter(|(_, fake)| !fake.dead) {
            replicas.push(PlacedReplica {
                vm: vm.clone(),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: "a".parse().unwrap(),
                group: fake.group.parse().unwrap(),
                shard: fake.shard.parse().unwrap(),
                leaving: fake.draining,
            });
        }
        self.tell(EngineEvent::PlacementChanged { replicas });
    }

    /// Replicas of a shard of `find`.
    pub(crate) fn shard(&mut self, shard: u32) -> Vec<VmName> {
        (0..3)
            .map(|replica| format!("find-{shard}-{replica}").parse().unwrap())
            .collect()
    }

    /// The upstream named `vm`.
    pub(crate) fn vm(&mut self, vm: &str) -> &mut FakeVm {
        self.vms.get_mut(&vm.parse::<VmName>().unwrap()).unwrap()
    }

    /// Sends a request and gives its number.
    pub(crate) fn ask(
        &mut self,
        group: &str,
        body: &str,
        deadline: Duration,
        min: Option<u32>,
    ) -> QueryId {
        let query = QueryId(self.queries.len() as u64 + 1);
        let call = QueryCall {
            group: group.parse().unwrap(),
            request: format!("r{query}").parse().unwrap(),
            user: format!("u{}", query.0 % 7).parse().unwrap(),
            deadline: self.now + deadline,
            min_coverage: min.map(CoverageShare::from_pct),
            once_key: (group == "order").then(|| format!("k{query}").parse().unwrap()),
            body: body.to_owned().into(),
        };
        let log = QueryLog {
            call: call.clone(),
            gone: false,
            answers: Vec::new(),
            granted: false,
            released: false,
            recorded: None,
        };
        self.queries.insert(query, log);
        self.tell(EngineEvent::QueryArrived { query, call });
        query
    }

    /// Asks and runs until the answer is there.
    pub(crate) fn answer(
        &mut self,
        group: &str,
        deadline_ms: u64,
        min: Option<u32>,
    ) -> QueryAnswer {
        let deadline = Duration::from_millis(deadline_ms);
        let query = self.ask(group, "plank", deadline, min);
        let until = self.now + deadline;
        while self.queries[&query].answers.is_empty() && self.now < until {
            self.step(until);
        }
        self.queries[&query].answers[0].1.clone()
    }

    /// Runs until `until`.
    pub(crate) fn run(&mut self, until: TimePoint) {
        while self.now < until {
            self.step(until);
        }
    }

    /// Runs for `span`.
    pub(crate) fn pass(&mut self, span: Duration) {
        self.run(self.now + span);
    }

    fn step(&mut self, until: TimePoint) {
        let wakeup = self.engine.next_wakeup();
        let job = self.jobs.keys().next().copied();
        let at = job.map_or(TimePoint::NEVER, |(at, _)| at);
        if wakeup.min(at) > until {
            self.now = until;
            return;
        }
        self.now = self.now.max(wakeup.min(at));
        let Some(key) = job.filter(|_| at <= wakeup) else {
            self.tell(EngineEvent::TimerFired);
            assert!(self.engine.next_wakeup() > self.now, "timer spins");
            return;
        };
        match self.jobs.remove(&key) {
            Some(Job::Report(event)) => self.report(event),
            Some(Job::Write(attempt)) => self.write(attempt),
            Some(Job::Serve(attempt)) => self.serve(attempt),
            None => {}
        }
    }

    /// Hands an event to the engine and does what it asks.
    pub(crate) fn tell(&mut self, event: EngineEvent) {
        let mut actions = Vec::new();
        self.engine.on_event(self.now, event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: EngineAction) {
        match action {
            EngineAction::Send(order) => self.send(order),
            EngineAction::Cancel { attempt } => {
                self.orders.get_mut(&attempt).unwrap().cancelled = true;
            }
            EngineAction::CloseIdle { vm } => self.closed_idle.push(vm),
            EngineAction::TakeClaim { query, .. } => self.claim(query),
            EngineAction::ReleaseClaim { query } => {
                self.queries.get_mut(&query).unwrap().released = true;
            }
            EngineAction::RecordClaim { query, answer } => {
                self.queries.get_mut(&query).unwrap().recorded = Some(answer.outcome);
            }
            EngineAction::Answer { query, answer } => {
                let log = self.queries.get_mut(&query).unwrap();
                log.answers.push((self.now, answer));
            }
            EngineAction::SpreadQuarantine { .. } => self.quarantined += 1,
            EngineAction::SpreadDrain { .. } | EngineAction::Note(_) => {}
        }
    }

    fn claim(&mut self, query: QueryId) {
        let verdict = if self.store_down {
            ClaimVerdict::StoreDown
        } else {
            self.queries.get_mut(&query).unwrap().granted = true;
            ClaimVerdict::Granted
        };
        let event = EngineEvent::ClaimSettled { query, verdict };
        self.later(Duration::from_millis(2), Job::Report(event));
    }

    fn later(&mut self, span: Duration, job: Job) {
        self.sequence += 1;
        self.jobs.insert((self.now + span, self.sequence), job);
    }

    /// Whether a fault of the given rate strikes.
    pub(crate) fn strikes(&mut self, pct: u32) -> bool {
        pct > 0 && self.random.random_range(0..100) < pct
    }

    fn send(&mut self, order: SendOrder) {
        let attempt = order.attempt;
        if order.once_key.is_some() {
            let again = self.orders.values().any(|log| {
                log.order.query == order.query && !(log.ended && (log.refused || !log.sent))
            });
            assert!(!again, "{} sent twice", order.query);
        }
        let log = OrderLog {
            order,
            at: self.now,
            sent: false,
            cancelled: false,
            ended: false,
            refused: false,
            heard: None,
        };
        let vm = log.order.vm.clone();
        self.orders.insert(attempt, log);
        if self.vms[&vm].dead || self.strikes(self.rates.connect_failed) {
            return self.fail(attempt, AttemptFailure::ConnectFailed, 1);
        }
        if self.strikes(self.rates.broke_before) {
            return self.fail(attempt, AttemptFailure::BrokeBefore, 1);
        }
        self.later(Duration::from_micros(200), Job::Write(attempt));
    }

    fn fail(&mut self, attempt: AttemptId, failure: AttemptFailure, ms: u64) {
        let vm = self.orders[&attempt].order.vm.clone();
        let load = Some(self.load(&vm));
        let event = EngineEvent::AttemptFailed {
            attempt,
            failure,
            load,
        };
        self.later(Duration::from_millis(ms), Job::Report(event));
    }

    fn write(&mut self, attempt: AttemptId) {
        let log = self.orders.get_mut(&attempt).unwrap();
        if log.cancelled {
            return;
        }
        log.sent = true;
        self.tell(EngineEvent::AttemptSent { attempt });
        self.later(Duration::from_millis(1), Job::Serve(attempt));
    }

    fn load(&self, vm: &VmName) -> ReplicaLoad {
        let fake = &self.vms[vm];
        ReplicaLoad {
            running: 1,
            queued: 0,
            slots: 4,
            draining: fake.draining,
            snapshots: fake.snapshots.iter().map(|id| SnapshotId(*id)).collect(),
            serves: fake.serves.clone(),
        }
    }

    /// Decides what the upstream does with a sub-query that has reached it.
    fn serve(&mut self, attempt: AttemptId) {
        let order = self.orders[&attempt].order.clone();
        let fake = self.vms[&order.vm].clone();
        let heard = fake.serves.intersection(&order.span.into());
        let known = order.snapshot.0 == 0 || fake.snapshots.contains(&order.snapshot.0);
        let killer = order.body.starts_with(b"kill");
        if killer {
            self.vms.get_mut(&order.vm).unwrap().dead = true;
        }
        if fake.dead || killer || self.strikes(self.rates.broke_after) {
            return self.fail(attempt, AttemptFailure::BrokeAfter, 1);
        }
        if fake.silent || self.strikes(self.rates.silent) {
            return;
        }
        if fake.draining {
            return self.fail(attempt, AttemptFailure::Draining, 1);
        }
        if self.strikes(self.rates.shed) {
            return self.fail(attempt, AttemptFailure::Shed, 1);
        }
        if heard.is_empty() {
            return self.fail(attempt, AttemptFailure::RangeGone, 1);
        }
        if !known {
            return self.fail(attempt, AttemptFailure::SnapshotGone, 1);
        }
        if self.strikes(self.rates.ran_failed) {
            return self.fail(attempt, AttemptFailure::RanFailed, 3);
        }
        if self.strikes(self.rates.bad_reply) {
            return self.fail(attempt, AttemptFailure::BadReply, 3);
        }
        let newest = fake.snapshots.last().copied().unwrap_or(1);
        let mut snapshot = if order.snapshot.0 == 0 {
            newest
        } else {
            order.snapshot.0
        };
        snapshot += u64::from(self.strikes(self.rates.wrong_snapshot));
        let reply = ReplicaReply {
            snapshot: SnapshotId(snapshot),
            items: items(snapshot, &SpanSet::all()),
            heard,
            load: self.load(&order.vm),
        };
        let slow = if self.strikes(self.rates.slow) { 10 } else { 1 };
        // A lognormal time by the Box-Muller transform.
        let radius = (-2.0 * (1.0 - self.random.random::<f64>()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.random.random::<f64>()).cos();
        let time = fake.latency.mul_f64((self.sigma * normal).exp());
        let event = EngineEvent::AttemptReplied { attempt, reply };
        self.later(time * slow, Job::Report(event));
    }

    /// Delivers a report, also where its attempt was cancelled meanwhile.
    fn report(&mut self, event: EngineEvent) {
        match &event {
            EngineEvent::AttemptReplied { attempt, reply } => {
                let log = self.orders.get_mut(attempt).unwrap();
                if !log.cancelled && !log.ended {
                    log.heard = Some((self.sequence, reply.snapshot, reply.heard.clone()));
                    self.sequence += 1;
                }
                log.ended = true;
            }
            EngineEvent::AttemptFailed {
                attempt, failure, ..
            } => {
                let log = self.orders.get_mut(attempt).unwrap();
                log.refused = failure.surely_not_run();
                log.ended = true;
            }
            _ => {}
        }
        self.tell(event.clone());
        if self.strikes(5) && !matches!(event, EngineEvent::ClaimSettled { .. }) {
            self.tell(event);
        }
    }

    /// What was really heard for `query` from `snapshot`: every reply that came in time, one by
    /// one. A reply to an attempt that left the snapshot open counts only where the first such
    /// reply was of `snapshot`; otherwise the answer began anew after it.
    pub(crate) fn really_heard(&self, query: QueryId, snapshot: SnapshotId) -> SpanSet {
        let mut logs: Vec<_> = self.orders.values().collect();
        logs.retain(|log| log.order.query == query && log.heard.is_some());
        logs.sort_by_key(|log| log.heard.as_ref().map(|(sequence, _, _)| *sequence));
        let mut first = SnapshotId(0);
        let mut heard = SpanSet::default();
        for log in logs {
            let Some((_, from, keys)) = &log.heard else {
                continue;
            };
            let open = log.order.snapshot.0 == 0;
            if open && first.0 == 0 {
                first = *from;
            }
            if *from == snapshot && (!open || first == snapshot) {
                heard.union(&keys.intersection(&log.order.span.into()));
            }
        }
        heard
    }

    /// Whether an upstream may have run `query`.
    pub(crate) fn may_have_run(&self, query: QueryId) -> bool {
        let mut logs = self.orders.values();
        logs.any(|log| log.order.query == query && log.sent && !(log.ended && log.refused))
    }
}

/// The items that a complete index holds for `keys`.
pub(crate) fn items(snapshot: u64, keys: &SpanSet) -> Vec<ResultItem> {
    let all = (0..KEY_SPACE).step_by(ITEM_STEP as usize);
    all.filter(|key| keys.contains(*key))
        .map(|key| ResultItem {
            key,
            id: format!("{key}").into(),
            body: format!("snapshot {snapshot}"),
        })
        .collect()
}

/// The keys `start..end`.
pub(crate) fn span(start: u32, end: u32) -> SpanSet {
    KeySpan::new(start, end).unwrap().into()
}
