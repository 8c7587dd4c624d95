//! Random schedules of requests with one key. Daemons are paused and killed, replies of the store
//! are lost, writes take effect late, and an upstream counts how often the request ran.

#![allow(clippy::expect_used)]

mod bundle_kit;
mod store_kit;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use bundle_kit::{
    body,
    name, //
};
use policy::{
    claims::{
        ClaimAction,
        ClaimEvent,
        ClaimManager,
        ClaimSettings, //
    },
    engine::{
        AnswerOutcome,
        ClaimVerdict,
        QueryAnswer,
        QueryReason, //
    },
    store::{
        StoreCall,
        StoreReply, //
    },
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    BundleVersion,
    DeploymentSpec,
    Incarnation,
    QueryId,
    TimePoint, //
};
use store_kit::FakeStore;

const DAEMONS: usize = 3;
const REQUESTS: u64 = 6;
const SCHEDULES: u64 = 3_000;
const START: TimePoint = TimePoint(1_764_817_210_000_000);

/// A step names its daemon. A step that ends with a restart also has the number of restarts before
/// it was scheduled.
#[derive(Clone, Debug)]
enum Step {
    Request(usize, u64),
    /// The call reaches the store, and its reply is sent back unless it is lost.
    Apply(usize, u64, u64, StoreCall),
    Reply(usize, u64, u64, StoreReply),
    Timer(usize, u64),
    /// The request is sent to the upstream.
    Send(usize, u64, u64),
    Kill(usize),
}

struct ClaimSimulation {
    random: Pcg64Mcg,
    queue: BTreeMap<(TimePoint, u64), Step>,
    step_count: u64,
    store: FakeStore,
    managers: Vec<ClaimManager>,
    restarts: Vec<u64>,
    paused_until: Vec<TimePoint>,
    down_until: TimePoint,
    upstream_runs: Vec<u64>,
    not_run: Vec<u64>,
    unknown: u64,
    recorded: u64,
}

fn manager(daemon: usize, restarts: u64) -> ClaimManager {
    let mut spec = body();
    spec.version = 1;
    let spec = DeploymentSpec::from_body(&spec).expect("spec");
    let mut manager = ClaimManager::new(ClaimSettings {
        daemon: Some(name(&format!("daemon-{daemon}"))),
        incarnation: Incarnation(restarts),
        seed: restarts,
        ..ClaimSettings::default()
    });
    manager.apply_bundle(&spec);
    manager
}

impl ClaimSimulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            step_count: 0,
            store: FakeStore::default(),
            managers: (0..DAEMONS).map(|daemon| manager(daemon, 0)).collect(),
            restarts: vec![0; DAEMONS],
            paused_until: vec![TimePoint(0); DAEMONS],
            down_until: TimePoint(0),
            upstream_runs: Vec::new(),
            not_run: Vec::new(),
            unknown: 0,
            recorded: 0,
        };
        for request in 0..REQUESTS {
            let daemon = simulation.random.random_range(0..DAEMONS);
            simulation.schedule(START, 2_000, Step::Request(daemon, request));
        }
        if simulation.random.random_bool(0.4) {
            let daemon = simulation.random.random_range(0..DAEMONS);
            simulation.schedule(START, 2_000, Step::Kill(daemon));
        }
        if simulation.random.random_bool(0.4) {
            let daemon = simulation.random.random_range(0..DAEMONS);
            let duration = simulation.random.random_range(0..600_000_000);
            simulation.paused_until[daemon] = START + Duration::from_micros(duration);
        }
        if simulation.random.random_bool(0.3) {
            let duration = simulation.random.random_range(0..3_000);
            simulation.down_until = START + Duration::from_millis(duration);
        }
        simulation
    }

    fn schedule(&mut self, now: TimePoint, within_ms: u64, step: Step) {
        let at = now + Duration::from_micros(self.random.random_range(1..within_ms * 1000));
        self.step_count += 1;
        self.queue.insert((at, self.step_count), step);
    }

    fn run(&mut self) {
        let mut steps_done = 0;
        while let Some(((now, _), step)) = self.queue.pop_first() {
            steps_done += 1;
            assert!(
                steps_done < 100_000,
                "the schedule does not end within 100,000 steps"
            );
            self.step(now, step);
        }
    }

    fn step(&mut self, now: TimePoint, step: Step) {
        let daemon = match &step {
            Step::Request(daemon, _) | Step::Reply(daemon, ..) => Some(*daemon),
            Step::Timer(daemon, _) | Step::Send(daemon, ..) => Some(*daemon),
            Step::Apply(..) | Step::Kill(_) => None,
        };
        if let Some(until) = daemon.map(|daemon| self.paused_until[daemon]) {
            if now < until {
                self.step_count += 1;
                self.queue.insert((until, self.step_count), step);
                return;
            }
        }
        match step {
            Step::Request(daemon, request) => {
                let event = ClaimEvent::Take {
                    query: QueryId(request),
                    group: name("receipts"),
                    user: name("sponsor"),
                    key: name("t1764817200-order-7"),
                };
                self.deliver(now, daemon, event);
            }
            Step::Apply(daemon, restarts, call, request) => {
                self.apply(now, daemon, restarts, call, &request)
            }
            Step::Reply(daemon, restarts, call, reply) if restarts == self.restarts[daemon] => {
                self.deliver(now, daemon, ClaimEvent::StoreReplied { call, reply });
            }
            Step::Timer(daemon, restarts) if restarts == self.restarts[daemon] => {
                if self.managers[daemon].next_wakeup() <= now {
                    self.deliver(now, daemon, ClaimEvent::TimerFired);
                }
            }
            Step::Send(daemon, restarts, request) if restarts == self.restarts[daemon] => {
                self.upstream_runs.push(request);
                let mut answer =
                    QueryAnswer::not_run(QueryReason::Straggler, None, BundleVersion(1));
                answer.outcome = AnswerOutcome::Unknown;
                if self.random.random_bool(0.8) {
                    answer.outcome = AnswerOutcome::Complete;
                }
                let query = QueryId(request);
                self.deliver(now, daemon, ClaimEvent::Record { query, answer });
            }
            Step::Kill(daemon) => {
                self.restarts[daemon] += 1;
                self.managers[daemon] = manager(daemon, self.restarts[daemon]);
            }
            Step::Reply(..) | Step::Timer(..) | Step::Send(..) => {}
        }
    }

    fn apply(
        &mut self,
        now: TimePoint,
        daemon: usize,
        restarts: u64,
        call: u64,
        request: &StoreCall,
    ) {
        let reply = if now < self.down_until {
            StoreReply::Failed
        } else {
            match self.random.random_range(0..10) {
                0 => StoreReply::Failed,
                1 => {
                    self.store.apply(now, request);
                    StoreReply::Indeterminate
                }
                2 => {
                    // The call is delayed and takes effect after the daemon has given up waiting
                    // for the reply. `u64::MAX` marks it, so that no reply is sent back.
                    let late_call = Step::Apply(daemon, u64::MAX, call, request.clone());
                    self.schedule(now, 5_000, late_call);
                    StoreReply::Indeterminate
                }
                _ => self.store.apply(now, request),
            }
        };
        if restarts != u64::MAX {
            self.schedule(now, 50, Step::Reply(daemon, restarts, call, reply));
        }
    }

    fn deliver(&mut self, now: TimePoint, daemon: usize, event: ClaimEvent) {
        let mut actions = Vec::new();
        self.managers[daemon].on_event(now, event, &mut actions);
        let restarts = self.restarts[daemon];
        for action in actions {
            match action {
                ClaimAction::Store { call, request } => {
                    self.schedule(now, 50, Step::Apply(daemon, restarts, call, request));
                }
                ClaimAction::Resolved { query, verdict } => {
                    self.on_resolved(now, daemon, query, &verdict);
                }
            }
        }
        let wakeup = self.managers[daemon].next_wakeup();
        if wakeup < TimePoint::NEVER {
            self.step_count += 1;
            let at = wakeup.max(now + Duration::from_micros(1));
            self.queue
                .insert((at, self.step_count), Step::Timer(daemon, restarts));
        }
    }

    fn on_resolved(
        &mut self,
        now: TimePoint,
        daemon: usize,
        query: QueryId,
        verdict: &ClaimVerdict,
    ) {
        let restarts = self.restarts[daemon];
        match verdict {
            ClaimVerdict::Granted if self.random.random_bool(0.3) => {
                // The deadline passed before anything was sent.
                self.not_run.push(query.0);
                self.deliver(now, daemon, ClaimEvent::Release { query });
            }
            ClaimVerdict::Granted => self.schedule(now, 30, Step::Send(daemon, restarts, query.0)),
            ClaimVerdict::StoreDown => self.not_run.push(query.0),
            ClaimVerdict::Taken => self.unknown += 1,
            ClaimVerdict::Recorded(answer) => {
                assert!(
                    !self.upstream_runs.is_empty(),
                    "an outcome was recorded without a run"
                );
                assert_ne!(answer.outcome, AnswerOutcome::NotRun);
                self.recorded += 1;
            }
            ClaimVerdict::TooOld => panic!("a key inside its window was refused as too old"),
        }
    }
}

#[test]
fn a_key_never_runs_twice() {
    let (mut runs, mut unknown, mut recorded, mut refused) = (0, 0, 0, 0);
    for seed in 0..SCHEDULES {
        let mut simulation = ClaimSimulation::new(seed);
        simulation.run();
        assert!(
            simulation.upstream_runs.len() <= 1,
            "seed {seed}: runs {:?}",
            simulation.upstream_runs
        );
        for request in &simulation.upstream_runs {
            assert!(
                !simulation.not_run.contains(request),
                "seed {seed}: a request ran but was answered as not run"
            );
        }
        for manager in &simulation.managers {
            assert_eq!(
                manager.open_count(),
                0,
                "seed {seed}: a claim is still open"
            );
        }
        runs += simulation.upstream_runs.len() as u64;
        unknown += simulation.unknown;
        recorded += simulation.recorded;
        refused += simulation.not_run.len() as u64;
    }
    println!("runs {runs}, recorded {recorded}, unknown {unknown}, not run {refused}");
    assert!(runs > SCHEDULES / 2);
}
