//! A simulation of the query engine: in-memory upstreams with faults, in simulated time.

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

/// Distance between the keys of two items.
const ITEM_KEY_STEP: u32 = 4096;

/// Percentage of sub-queries that meet each fault.
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

/// State of a simulated upstream VM.
#[derive(Clone, Debug)]
pub(crate) struct FakeVm {
    pub(crate) group: String,
    pub(crate) shard: String,
    pub(crate) serves: SpanSet,
    pub(crate) snapshots: Vec<u64>,
    pub(crate) crashed: bool,
    pub(crate) silent: bool,
    pub(crate) draining: bool,
    pub(crate) latency: Duration,
}

/// An attempt and its progress so far.
#[derive(Clone, Debug)]
pub(crate) struct AttemptLog {
    pub(crate) order: SendOrder,
    pub(crate) sent_at: TimePoint,
    /// Whether the first byte was written.
    pub(crate) written: bool,
    pub(crate) cancelled: bool,
    /// Whether its reply or failure was delivered to the engine.
    pub(crate) ended: bool,
    /// Whether its failure guarantees that the request did not run.
    pub(crate) not_run: bool,
    /// Order of arrival, snapshot and keys of its reply.
    pub(crate) reply: Option<(u64, SnapshotId, SpanSet)>,
}

/// A request and its progress so far.
#[derive(Clone, Debug)]
pub(crate) struct QueryLog {
    pub(crate) call: QueryCall,
    pub(crate) caller_gone: bool,
    pub(crate) answers: Vec<(TimePoint, QueryAnswer)>,
    pub(crate) claim_granted: bool,
    pub(crate) claim_released: bool,
    pub(crate) recorded_outcome: Option<AnswerOutcome>,
}

#[derive(Clone, Debug)]
enum ScheduledStep {
    /// Deliver an event to the engine.
    Report(EngineEvent),
    /// Write the first byte of an attempt.
    Write(AttemptId),
    /// Let the upstream handle an attempt that has reached it.
    Serve(AttemptId),
}

/// The engine under test, its upstreams and the simulated time.
pub(crate) struct EngineSimulation {
    pub(crate) engine: QueryEngine,
    pub(crate) now: TimePoint,
    pub(crate) rates: FaultRates,
    pub(crate) vms: BTreeMap<VmName, FakeVm>,
    pub(crate) attempts: BTreeMap<AttemptId, AttemptLog>,
    pub(crate) queries: BTreeMap<QueryId, QueryLog>,
    /// Upstreams whose idle connections the engine had closed.
    pub(crate) closed_idle: Vec<VmName>,
    pub(crate) quarantine_broadcasts: u32,
    pub(crate) store_down: bool,
    /// Standard deviation of the logarithm of a sub-query's latency.
    pub(crate) latency_sigma: f64,
    pub(crate) random: Pcg64Mcg,
    steps: BTreeMap<(TimePoint, u64), ScheduledStep>,
    sequence: u64,
}

/// Returns a bundle with the group `find` of `shards` shards, which scatters queries, and the group
/// `order`, whose requests may run only once.
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

impl EngineSimulation {
    /// Creates three healthy replicas for each shard, on snapshot 1.
    pub(crate) fn new(seed: u64, shards: u32, policy: bundle::PolicySpec) -> Self {
        let settings = EngineSettings {
            zone: "a".parse().unwrap(),
            name: "daemon".parse().unwrap(),
            seed,
            max_requests: 1000,
        };
        let mut simulation = Self {
            engine: QueryEngine::new(settings),
            now: TimePoint(1_000_000_000),
            rates: FaultRates::default(),
            vms: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queries: BTreeMap::new(),
            closed_idle: Vec::new(),
            quarantine_broadcasts: 0,
            store_down: false,
            latency_sigma: 0.1,
            random: Pcg64Mcg::seed_from_u64(seed),
            steps: BTreeMap::new(),
            sequence: 0,
        };
        let spec = spec(1, shards, policy);
        for group in &spec.groups {
            for shard in &group.shards {
                for replica in 0..3 {
                    let vm = format!("{}-{}-{replica}", group.name, shard.name);
                    let vm_state = FakeVm {
                        group: group.name.to_string(),
                        shard: shard.name.to_string(),
                        serves: shard.span.into(),
                        snapshots: vec![1],
                        crashed: false,
                        silent: false,
                        draining: false,
                        latency: Duration::from_millis(8),
                    };
                    simulation.vms.insert(vm.parse().unwrap(), vm_state);
                }
            }
        }
        let mut actions = Vec::new();
        simulation
            .engine
            .apply_bundle(simulation.now, spec, &mut actions);
        simulation.update_placement();
        simulation
    }

    /// Sends the engine a VM list with every upstream that has not crashed.
    pub(crate) fn update_placement(&mut self) {
        let mut replicas = Vec::new();
        for (vm, vm_state) in self.vms.iter().filter(|(_, vm_state)| !vm_state.crashed) {
            replicas.push(PlacedReplica {
                vm: vm.clone(),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: "a".parse().unwrap(),
                group: vm_state.group.parse().unwrap(),
                shard: vm_state.shard.parse().unwrap(),
                leaving: vm_state.draining,
            });
        }
        self.send_event(EngineEvent::PlacementChanged { replicas });
    }

    /// Returns the replicas of a shard of `find`.
    pub(crate) fn shard_vms(&mut self, shard: u32) -> Vec<VmName> {
        (0..3)
            .map(|replica| format!("find-{shard}-{replica}").parse().unwrap())
            .collect()
    }

    pub(crate) fn vm_mut(&mut self, vm: &str) -> &mut FakeVm {
        self.vms.get_mut(&vm.parse::<VmName>().unwrap()).unwrap()
    }

    /// Sends a request and returns its identifier.
    pub(crate) fn send_query(
        &mut self,
        group: &str,
        body: &str,
        deadline: Duration,
        min_coverage_pct: Option<u32>,
    ) -> QueryId {
        let query = QueryId(self.queries.len() as u64 + 1);
        let call = QueryCall {
            group: group.parse().unwrap(),
            request: format!("r{query}").parse().unwrap(),
            user: format!("u{}", query.0 % 7).parse().unwrap(),
            deadline: self.now + deadline,
            min_coverage: min_coverage_pct.map(CoverageShare::from_pct),
            once_key: (group == "order").then(|| format!("k{query}").parse().unwrap()),
            body: body.to_owned().into(),
        };
        let log = QueryLog {
            call: call.clone(),
            caller_gone: false,
            answers: Vec::new(),
            claim_granted: false,
            claim_released: false,
            recorded_outcome: None,
        };
        self.queries.insert(query, log);
        self.send_event(EngineEvent::QueryArrived { query, call });
        query
    }

    /// Sends a request, runs until it is answered and returns the answer.
    pub(crate) fn run_query(
        &mut self,
        group: &str,
        deadline_ms: u64,
        min_coverage_pct: Option<u32>,
    ) -> QueryAnswer {
        let deadline = Duration::from_millis(deadline_ms);
        let query = self.send_query(group, "plank", deadline, min_coverage_pct);
        let until = self.now + deadline;
        while self.queries[&query].answers.is_empty() && self.now < until {
            self.run_step(until);
        }
        self.queries[&query].answers[0].1.clone()
    }

    /// Runs until the simulated time `until`.
    pub(crate) fn run_until(&mut self, until: TimePoint) {
        while self.now < until {
            self.run_step(until);
        }
    }

    /// Runs for the simulated time `span`.
    pub(crate) fn advance(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    fn run_step(&mut self, until: TimePoint) {
        let wakeup = self.engine.next_wakeup();
        let step = self.steps.keys().next().copied();
        let at = step.map_or(TimePoint::NEVER, |(at, _)| at);
        if wakeup.min(at) > until {
            self.now = until;
            return;
        }
        self.now = self.now.max(wakeup.min(at));
        let Some(key) = step.filter(|_| at <= wakeup) else {
            self.send_event(EngineEvent::TimerFired);
            assert!(
                self.engine.next_wakeup() > self.now,
                "next_wakeup is not after the timer event"
            );
            return;
        };
        match self.steps.remove(&key) {
            Some(ScheduledStep::Report(event)) => self.deliver_report(event),
            Some(ScheduledStep::Write(attempt)) => self.write_attempt(attempt),
            Some(ScheduledStep::Serve(attempt)) => self.serve_attempt(attempt),
            None => {}
        }
    }

    /// Passes an event to the engine and carries out its actions.
    pub(crate) fn send_event(&mut self, event: EngineEvent) {
        let mut actions = Vec::new();
        self.engine.on_event(self.now, event, &mut actions);
        for action in actions {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: EngineAction) {
        match action {
            EngineAction::Send(order) => self.start_attempt(order),
            EngineAction::Cancel { attempt } => {
                self.attempts.get_mut(&attempt).unwrap().cancelled = true;
            }
            EngineAction::CloseIdle { vm } => self.closed_idle.push(vm),
            EngineAction::AcquireClaim { query, .. } => self.answer_claim(query),
            EngineAction::ReleaseClaim { query } => {
                self.queries.get_mut(&query).unwrap().claim_released = true;
            }
            EngineAction::RecordClaim { query, answer } => {
                self.queries.get_mut(&query).unwrap().recorded_outcome = Some(answer.outcome);
            }
            EngineAction::Answer { query, answer } => {
                let log = self.queries.get_mut(&query).unwrap();
                log.answers.push((self.now, answer));
            }
            EngineAction::BroadcastQuarantine { .. } => self.quarantine_broadcasts += 1,
            EngineAction::BroadcastDrain { .. } | EngineAction::Note(_) => {}
        }
    }

    fn answer_claim(&mut self, query: QueryId) {
        let verdict = if self.store_down {
            ClaimVerdict::StoreDown
        } else {
            self.queries.get_mut(&query).unwrap().claim_granted = true;
            ClaimVerdict::Granted
        };
        let event = EngineEvent::ClaimResolved { query, verdict };
        self.schedule(Duration::from_millis(2), ScheduledStep::Report(event));
    }

    fn schedule(&mut self, span: Duration, step: ScheduledStep) {
        self.sequence += 1;
        self.steps.insert((self.now + span, self.sequence), step);
    }

    /// Draws whether an event with a probability of `pct` per cent occurs.
    pub(crate) fn chance(&mut self, pct: u32) -> bool {
        pct > 0 && self.random.random_range(0..100) < pct
    }

    fn start_attempt(&mut self, order: SendOrder) {
        let attempt = order.attempt;
        if order.once_key.is_some() {
            let sent_again = self.attempts.values().any(|log| {
                log.order.query == order.query && !(log.ended && (log.not_run || !log.written))
            });
            assert!(
                !sent_again,
                "{} sent again although an upstream may have run it",
                order.query
            );
        }
        let log = AttemptLog {
            order,
            sent_at: self.now,
            written: false,
            cancelled: false,
            ended: false,
            not_run: false,
            reply: None,
        };
        let vm = log.order.vm.clone();
        self.attempts.insert(attempt, log);
        if self.vms[&vm].crashed || self.chance(self.rates.connect_failed) {
            return self.schedule_failure(attempt, AttemptFailure::ConnectFailed, 1);
        }
        if self.chance(self.rates.broke_before) {
            return self.schedule_failure(attempt, AttemptFailure::BrokeBefore, 1);
        }
        self.schedule(Duration::from_micros(200), ScheduledStep::Write(attempt));
    }

    fn schedule_failure(&mut self, attempt: AttemptId, failure: AttemptFailure, ms: u64) {
        let vm = self.attempts[&attempt].order.vm.clone();
        let load = Some(self.load(&vm));
        let event = EngineEvent::AttemptFailed {
            attempt,
            failure,
            load,
        };
        self.schedule(Duration::from_millis(ms), ScheduledStep::Report(event));
    }

    fn write_attempt(&mut self, attempt: AttemptId) {
        let log = self.attempts.get_mut(&attempt).unwrap();
        if log.cancelled {
            return;
        }
        log.written = true;
        self.send_event(EngineEvent::AttemptSent { attempt });
        self.schedule(Duration::from_millis(1), ScheduledStep::Serve(attempt));
    }

    fn load(&self, vm: &VmName) -> ReplicaLoad {
        let vm_state = &self.vms[vm];
        ReplicaLoad {
            running: 1,
            queued: 0,
            slots: 4,
            draining: vm_state.draining,
            snapshots: vm_state
                .snapshots
                .iter()
                .map(|id| SnapshotId(*id))
                .collect(),
            serves: vm_state.serves.clone(),
        }
    }

    /// Simulates how the upstream handles a sub-query that has reached it.
    fn serve_attempt(&mut self, attempt: AttemptId) {
        let order = self.attempts[&attempt].order.clone();
        let vm_state = self.vms[&order.vm].clone();
        let covered = vm_state.serves.intersection(&order.span.into());
        let holds_snapshot =
            order.snapshot.0 == 0 || vm_state.snapshots.contains(&order.snapshot.0);
        let crashes_replica = order.body.starts_with(b"kill");
        if crashes_replica {
            self.vms.get_mut(&order.vm).unwrap().crashed = true;
        }
        if vm_state.crashed || crashes_replica || self.chance(self.rates.broke_after) {
            return self.schedule_failure(attempt, AttemptFailure::BrokeAfter, 1);
        }
        if vm_state.silent || self.chance(self.rates.silent) {
            return;
        }
        if vm_state.draining {
            return self.schedule_failure(attempt, AttemptFailure::Draining, 1);
        }
        if self.chance(self.rates.shed) {
            return self.schedule_failure(attempt, AttemptFailure::Shed, 1);
        }
        if covered.is_empty() {
            return self.schedule_failure(attempt, AttemptFailure::RangeGone, 1);
        }
        if !holds_snapshot {
            return self.schedule_failure(attempt, AttemptFailure::SnapshotGone, 1);
        }
        if self.chance(self.rates.ran_failed) {
            return self.schedule_failure(attempt, AttemptFailure::RanFailed, 3);
        }
        if self.chance(self.rates.bad_reply) {
            return self.schedule_failure(attempt, AttemptFailure::BadReply, 3);
        }
        let newest = vm_state.snapshots.last().copied().unwrap_or(1);
        let mut snapshot = if order.snapshot.0 == 0 {
            newest
        } else {
            order.snapshot.0
        };
        snapshot += u64::from(self.chance(self.rates.wrong_snapshot));
        let reply = ReplicaReply {
            snapshot: SnapshotId(snapshot),
            items: expected_items(snapshot, &SpanSet::all()),
            covered,
            load: self.load(&order.vm),
        };
        let slow = if self.chance(self.rates.slow) { 10 } else { 1 };
        // A lognormal latency, drawn by the Box-Muller transform.
        let radius = (-2.0 * (1.0 - self.random.random::<f64>()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.random.random::<f64>()).cos();
        let time = vm_state
            .latency
            .mul_f64((self.latency_sigma * normal).exp());
        let event = EngineEvent::AttemptReplied { attempt, reply };
        self.schedule(time * slow, ScheduledStep::Report(event));
    }

    /// Delivers a report, even if its attempt was cancelled meanwhile, and some reports twice.
    fn deliver_report(&mut self, event: EngineEvent) {
        match &event {
            EngineEvent::AttemptReplied { attempt, reply } => {
                let log = self.attempts.get_mut(attempt).unwrap();
                if !log.cancelled && !log.ended {
                    log.reply = Some((self.sequence, reply.snapshot, reply.covered.clone()));
                    self.sequence += 1;
                }
                log.ended = true;
            }
            EngineEvent::AttemptFailed {
                attempt, failure, ..
            } => {
                let log = self.attempts.get_mut(attempt).unwrap();
                log.not_run = failure.guarantees_not_run();
                log.ended = true;
            }
            _ => {}
        }
        self.send_event(event.clone());
        if self.chance(5) && !matches!(event, EngineEvent::ClaimResolved { .. }) {
            self.send_event(event);
        }
    }

    /// Returns the keys that the answer to `query` from `snapshot` must cover: the union of all
    /// replies that arrived before the answer. A reply to an attempt without a pinned snapshot
    /// counts only if the first such reply was from `snapshot`; otherwise the answer restarted
    /// after it.
    pub(crate) fn expected_coverage(&self, query: QueryId, snapshot: SnapshotId) -> SpanSet {
        let mut logs: Vec<_> = self.attempts.values().collect();
        logs.retain(|log| log.order.query == query && log.reply.is_some());
        logs.sort_by_key(|log| log.reply.as_ref().map(|(sequence, _, _)| *sequence));
        let mut first = SnapshotId(0);
        let mut covered = SpanSet::default();
        for log in logs {
            let Some((_, reply_snapshot, keys)) = &log.reply else {
                continue;
            };
            let unpinned = log.order.snapshot.0 == 0;
            if unpinned && first.0 == 0 {
                first = *reply_snapshot;
            }
            if *reply_snapshot == snapshot && (!unpinned || first == snapshot) {
                covered.union(&keys.intersection(&log.order.span.into()));
            }
        }
        covered
    }

    /// Whether an upstream may have run `query`.
    pub(crate) fn may_have_run(&self, query: QueryId) -> bool {
        let mut logs = self.attempts.values();
        logs.any(|log| log.order.query == query && log.written && !(log.ended && log.not_run))
    }
}

/// Returns the items that a complete index holds for `keys`.
pub(crate) fn expected_items(snapshot: u64, keys: &SpanSet) -> Vec<ResultItem> {
    let keys_with_items = (0..KEY_SPACE).step_by(ITEM_KEY_STEP as usize);
    keys_with_items
        .filter(|key| keys.contains(*key))
        .map(|key| ResultItem {
            key,
            id: format!("{key}").into(),
            body: format!("snapshot {snapshot}"),
        })
        .collect()
}

/// Returns the key range `start..end`.
pub(crate) fn span(start: u32, end: u32) -> SpanSet {
    KeySpan::new(start, end).unwrap().into()
}
