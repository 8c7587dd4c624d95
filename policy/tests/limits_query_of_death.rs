//! A query that kills the replicas it runs on, retried by its caller through other daemons, in
//! virtual time.
#![allow(clippy::unwrap_used)]

mod replicas_fixture;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        BinaryHeap, //
    },
    time::Duration, //
};

use policy::engine::{
    AnswerOutcome,
    AttemptFailure,
    EngineAction,
    EngineEvent,
    EngineSettings,
    QueryAnswer,
    QueryCall,
    QueryEngine,
    QueryReason,
    ReplicaLoad,
    ReplicaReply,
    SendOrder, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use replicas_fixture::{
    body,
    group,
    ms,
    placement,
    spec,
    PoolShape,
    JOINED, //
};
use schema::{
    AttemptId,
    QueryId,
    SnapshotId,
    TimePoint,
    VmName, //
};

const DAEMONS: usize = 4;
/// Time until a quarantine notice reaches the other daemons: the longest one-way network delay,
/// plus one pass of the event loop.
const NOTICE_DELAY: Duration = Duration::from_millis(12);
/// Time for which a replica that died refuses connections.
const DOWNTIME: Duration = Duration::from_millis(800);

#[derive(Debug)]
enum SimulatedEvent {
    Engine(EngineEvent),
    Reply(SendOrder),
    Death(VmName),
    Timer,
    Request(String),
}

/// Simulates daemons and replicas.
struct FleetSimulation {
    now: TimePoint,
    random: Pcg64Mcg,
    engines: Vec<QueryEngine>,
    queue: BinaryHeap<Reverse<(TimePoint, u64)>>,
    events: BTreeMap<u64, (usize, SimulatedEvent)>,
    in_flight: BTreeMap<AttemptId, (usize, VmName)>,
    down_until: BTreeMap<VmName, TimePoint>,
    killed: Vec<VmName>,
    timers: [TimePoint; DAEMONS],
    bodies: BTreeMap<QueryId, String>,
    answers: Vec<(String, QueryAnswer)>,
    /// Whether only the replicas of the first shard die.
    first_shard_only: bool,
    last_number: u64,
}

impl FleetSimulation {
    fn new(seed: u64, first_shard_only: bool) -> Self {
        let shape = PoolShape {
            shards: 10,
            connections: 100,
            ..PoolShape::default()
        };
        let mut engines = Vec::new();
        for daemon in 0..DAEMONS {
            let mut engine = QueryEngine::new(EngineSettings {
                zone: "a".parse().unwrap(),
                name: format!("d{daemon}").parse().unwrap(),
                seed,
                max_requests: 1_000,
            });
            let mut actions = Vec::new();
            let start = TimePoint(JOINED.0 - 10_000_000);
            engine.apply_bundle(start, spec(&body(shape)), &mut actions);
            let replicas = placement(shape, 1);
            engine.on_event(
                start,
                EngineEvent::PlacementChanged { replicas },
                &mut actions,
            );
            engines.push(engine);
        }
        Self {
            now: JOINED,
            random: Pcg64Mcg::seed_from_u64(seed),
            engines,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            down_until: BTreeMap::new(),
            killed: Vec::new(),
            timers: [TimePoint(0); DAEMONS],
            bodies: BTreeMap::new(),
            answers: Vec::new(),
            first_shard_only,
            last_number: 1,
        }
    }

    fn schedule(&mut self, delay: Duration, daemon: usize, event: SimulatedEvent) {
        self.last_number += 1;
        self.queue
            .push(Reverse((self.now + delay, self.last_number)));
        self.events.insert(self.last_number, (daemon, event));
    }

    fn run_until(&mut self, end: TimePoint) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            let (daemon, event) = self.events.remove(&number).unwrap();
            match event {
                SimulatedEvent::Engine(event) => self.deliver(daemon, event),
                SimulatedEvent::Timer => self.deliver(daemon, EngineEvent::TimerFired),
                SimulatedEvent::Request(body) => self.request(daemon, body),
                SimulatedEvent::Reply(order) => self.reply(daemon, &order),
                SimulatedEvent::Death(vm) => self.kill_replica(&vm),
            }
        }
    }

    fn request(&mut self, daemon: usize, body: String) {
        self.last_number += 1;
        let query = QueryId(self.last_number);
        self.bodies.insert(query, body.clone());
        let call = QueryCall {
            group: group(),
            request: format!("q{}", self.last_number).parse().unwrap(),
            user: "u".parse().unwrap(),
            deadline: self.now + ms(1_000),
            min_coverage: None,
            once_key: None,
            body: body.into(),
        };
        self.deliver(daemon, EngineEvent::QueryArrived { query, call });
    }

    fn deliver(&mut self, daemon: usize, event: EngineEvent) {
        let mut actions = Vec::new();
        self.engines[daemon].on_event(self.now, event, &mut actions);
        for action in actions {
            self.perform(daemon, action);
        }
        let at = self.engines[daemon].next_wakeup();
        let due = self.timers[daemon];
        if at != TimePoint::NEVER && (at < due || due <= self.now) {
            self.timers[daemon] = at.max(self.now + Duration::from_micros(100));
            let delay = at.since(self.now).max(Duration::from_micros(100));
            self.schedule(delay, daemon, SimulatedEvent::Timer);
        }
    }

    fn perform(&mut self, daemon: usize, action: EngineAction) {
        match action {
            EngineAction::Send(order) => self.send(daemon, order),
            EngineAction::Cancel { attempt } => {
                self.in_flight.remove(&unique_attempt(daemon, attempt));
            }
            EngineAction::BroadcastQuarantine {
                print,
                deaths,
                until,
            } => {
                for peer in (0..DAEMONS).filter(|peer| *peer != daemon) {
                    let deaths = deaths.clone();
                    let heard = EngineEvent::QuarantineReported {
                        print,
                        deaths,
                        until,
                    };
                    self.schedule(NOTICE_DELAY, peer, SimulatedEvent::Engine(heard));
                }
            }
            EngineAction::Answer { query, answer } => {
                let body = self.bodies.remove(&query).unwrap();
                if body == "kill" {
                    // The round trip to the caller takes 2 ms at least.
                    let delay = ms(self.random.random_range(2..50));
                    let next = (daemon + 1) % DAEMONS;
                    self.schedule(delay, next, SimulatedEvent::Request(body.clone()));
                }
                self.answers.push((body, answer));
            }
            _ => {}
        }
    }

    fn send(&mut self, daemon: usize, order: SendOrder) {
        if self
            .down_until
            .get(&order.vm)
            .is_some_and(|until| self.now < *until)
        {
            let failed = EngineEvent::AttemptFailed {
                attempt: order.attempt,
                failure: AttemptFailure::ConnectFailed,
                load: None,
            };
            self.schedule(ms(1), daemon, SimulatedEvent::Engine(failed));
            return;
        }
        let sent = EngineEvent::AttemptSent {
            attempt: order.attempt,
        };
        self.in_flight.insert(
            unique_attempt(daemon, order.attempt),
            (daemon, order.vm.clone()),
        );
        self.schedule(Duration::ZERO, daemon, SimulatedEvent::Engine(sent));
        let kills = order.body == "kill" && (!self.first_shard_only || order.shard.as_str() == "0");
        if kills {
            let delay = ms(self.random.random_range(1..20));
            self.schedule(delay, daemon, SimulatedEvent::Death(order.vm));
            return;
        }
        let delay = ms(self.random.random_range(3..12));
        self.schedule(delay, daemon, SimulatedEvent::Reply(order));
    }

    fn reply(&mut self, daemon: usize, order: &SendOrder) {
        if self
            .in_flight
            .remove(&unique_attempt(daemon, order.attempt))
            .is_none()
        {
            return;
        }
        let reply = ReplicaReply {
            snapshot: SnapshotId(1),
            covered: order.span.into(),
            items: Vec::new(),
            load: ReplicaLoad {
                running: 1,
                slots: 2,
                snapshots: [SnapshotId(1)].into_iter().collect(),
                serves: order.span.into(),
                ..ReplicaLoad::default()
            },
        };
        let attempt = order.attempt;
        self.deliver(daemon, EngineEvent::AttemptReplied { attempt, reply });
    }

    fn kill_replica(&mut self, vm: &VmName) {
        self.killed.push(vm.clone());
        self.down_until.insert(vm.clone(), self.now + DOWNTIME);
        let in_flight = std::mem::take(&mut self.in_flight);
        for (attempt, (daemon, other)) in in_flight {
            if other != *vm {
                self.in_flight.insert(attempt, (daemon, other));
                continue;
            }
            let failed = EngineEvent::AttemptFailed {
                attempt: AttemptId(attempt.0 % ATTEMPT_STRIDE),
                failure: AttemptFailure::BrokeAfter,
                load: None,
            };
            self.schedule(Duration::ZERO, daemon, SimulatedEvent::Engine(failed));
        }
    }
}

/// Each daemon numbers its own attempts; this offset makes the numbers unique across daemons.
const ATTEMPT_STRIDE: u64 = 1 << 40;

fn unique_attempt(daemon: usize, attempt: AttemptId) -> AttemptId {
    AttemptId(daemon as u64 * ATTEMPT_STRIDE + attempt.0)
}

#[test]
fn a_query_of_death_kills_at_most_two_replicas_and_no_other_query_is_quarantined() {
    for seed in 0..8 {
        for first_shard_only in [false, true] {
            check_query_of_death(seed, first_shard_only);
        }
    }
}

#[test]
fn a_query_of_death_kills_at_most_two_replicas_seed_56() {
    check_query_of_death(56, false);
}

#[test]
fn a_query_of_death_kills_at_most_two_replicas_seed_17() {
    check_query_of_death(17, false);
}

#[test]
fn a_query_of_death_kills_at_most_two_replicas_seed_68() {
    check_query_of_death(68, false);
}

/// A query that kills only the replicas of one shard passes its trial run on another shard.
#[test]
fn a_query_of_death_for_one_shard_kills_at_most_two_replicas() {
    for seed in 0..8 {
        let killed = killed_replicas(&simulate_query_of_death(seed, true));
        assert!(killed.len() <= 2, "seed {seed}: {killed:?}");
    }
}

/// Every daemon receives the query before it hears of any death.
#[test]
fn a_query_of_death_sent_to_all_daemons_at_once_kills_at_most_two_replicas() {
    for seed in 0..8 {
        let mut simulation = FleetSimulation::new(seed, false);
        for daemon in 0..DAEMONS {
            simulation.schedule(ms(300), daemon, SimulatedEvent::Request("kill".into()));
        }
        simulation.run_until(JOINED + ms(4_000));
        let killed = killed_replicas(&simulation);
        assert!(killed.len() <= 2, "seed {seed}: {killed:?}");
    }
}

fn killed_replicas(simulation: &FleetSimulation) -> BTreeSet<VmName> {
    simulation.killed.iter().cloned().collect()
}

fn check_query_of_death(seed: u64, first_shard_only: bool) {
    let simulation = simulate_query_of_death(seed, first_shard_only);
    let killed = killed_replicas(&simulation);
    assert!(
        killed.len() <= 2,
        "seed {seed}, first_shard_only {first_shard_only}: {killed:?}"
    );
    check_answers(&simulation, seed, if first_shard_only { 300 } else { 498 });
}

fn simulate_query_of_death(seed: u64, first_shard_only: bool) -> FleetSimulation {
    let mut simulation = FleetSimulation::new(seed, first_shard_only);
    for step in 0..500 {
        let daemon = step % DAEMONS;
        let body = format!("plank {}", step % 40);
        simulation.schedule(ms(4 * step as u64), daemon, SimulatedEvent::Request(body));
    }
    simulation.schedule(ms(300), 0, SimulatedEvent::Request("kill".into()));
    simulation.run_until(JOINED + ms(4_000));
    simulation
}

fn check_answers(simulation: &FleetSimulation, seed: u64, least: u32) {
    let mut refused = 0;
    let mut others = 0;
    let mut complete = 0;
    for (body, answer) in &simulation.answers {
        if body == "kill" {
            refused += u32::from(answer.reason == Some(QueryReason::Quarantined));
            continue;
        }
        assert_ne!(answer.reason, Some(QueryReason::Quarantined), "seed {seed}");
        others += 1;
        complete += u32::from(answer.outcome == AnswerOutcome::Complete);
    }
    assert_eq!(others, 500, "seed {seed}");
    assert!(
        complete >= least,
        "seed {seed}: {complete} of {others} complete"
    );
    assert!(refused > 10, "seed {seed}: {refused}");
}
