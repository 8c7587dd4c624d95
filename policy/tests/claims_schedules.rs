//! Random schedules of requests with one key: daemons that are paused and killed, store replies
//! that are lost, late writes, and an upstream that counts its runs.

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
        ClaimDesk,
        ClaimEvent,
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

#[derive(Clone, Debug)]
enum Step {
    Ask(usize, u64),
    /// The call reaches the store; its reply goes back if it is not lost.
    Apply(usize, u64, u64, StoreCall),
    Reply(usize, u64, u64, StoreReply),
    Wake(usize, u64),
    /// The request is written to the upstream.
    Send(usize, u64, u64),
    Kill(usize),
}

struct Scene {
    random: Pcg64Mcg,
    queue: BTreeMap<(TimePoint, u64), Step>,
    steps: u64,
    store: FakeStore,
    desks: Vec<ClaimDesk>,
    lives: Vec<u64>,
    paused_until: Vec<TimePoint>,
    down_until: TimePoint,
    runs: Vec<u64>,
    not_run: Vec<u64>,
    unknown: u64,
    known: u64,
}

fn desk(daemon: usize, life: u64) -> ClaimDesk {
    let mut spec = body();
    spec.version = 1;
    let spec = DeploymentSpec::from_body(&spec).expect("spec");
    let mut desk = ClaimDesk::new(ClaimSettings {
        daemon: Some(name(&format!("daemon-{daemon}"))),
        incarnation: Incarnation(life),
        seed: life,
        ..ClaimSettings::default()
    });
    desk.apply_bundle(&spec);
    desk
}

impl Scene {
    fn new(seed: u64) -> Self {
        let mut scene = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            steps: 0,
            store: FakeStore::default(),
            desks: (0..DAEMONS).map(|daemon| desk(daemon, 0)).collect(),
            lives: vec![0; DAEMONS],
            paused_until: vec![TimePoint(0); DAEMONS],
            down_until: TimePoint(0),
            runs: Vec::new(),
            not_run: Vec::new(),
            unknown: 0,
            known: 0,
        };
        for request in 0..REQUESTS {
            let daemon = scene.random.random_range(0..DAEMONS);
            scene.push(START, 2_000, Step::Ask(daemon, request));
        }
        if scene.random.random_bool(0.4) {
            let daemon = scene.random.random_range(0..DAEMONS);
            scene.push(START, 2_000, Step::Kill(daemon));
        }
        if scene.random.random_bool(0.4) {
            let daemon = scene.random.random_range(0..DAEMONS);
            let span = scene.random.random_range(0..600_000_000);
            scene.paused_until[daemon] = START + Duration::from_micros(span);
        }
        if scene.random.random_bool(0.3) {
            let span = scene.random.random_range(0..3_000);
            scene.down_until = START + Duration::from_millis(span);
        }
        scene
    }

    fn push(&mut self, now: TimePoint, within_ms: u64, step: Step) {
        let at = now + Duration::from_micros(self.random.random_range(1..within_ms * 1000));
        self.steps += 1;
        self.queue.insert((at, self.steps), step);
    }

    fn run(&mut self) {
        let mut done = 0;
        while let Some(((now, _), step)) = self.queue.pop_first() {
            done += 1;
            assert!(done < 100_000, "the schedule does not end");
            self.step(now, step);
        }
    }

    fn step(&mut self, now: TimePoint, step: Step) {
        let daemon = match &step {
            Step::Ask(daemon, _) | Step::Reply(daemon, ..) => Some(*daemon),
            Step::Wake(daemon, _) | Step::Send(daemon, ..) => Some(*daemon),
            Step::Apply(..) | Step::Kill(_) => None,
        };
        if let Some(until) = daemon.map(|daemon| self.paused_until[daemon]) {
            if now < until {
                self.steps += 1;
                self.queue.insert((until, self.steps), step);
                return;
            }
        }
        match step {
            Step::Ask(daemon, request) => {
                let event = ClaimEvent::Take {
                    query: QueryId(request),
                    group: name("receipts"),
                    user: name("sponsor"),
                    key: name("t1764817200-order-7"),
                };
                self.tell(now, daemon, event);
            }
            Step::Apply(daemon, life, call, request) => {
                self.apply(now, daemon, life, call, &request)
            }
            Step::Reply(daemon, life, call, reply) if life == self.lives[daemon] => {
                self.tell(now, daemon, ClaimEvent::StoreReplied { call, reply });
            }
            Step::Wake(daemon, life) if life == self.lives[daemon] => {
                if self.desks[daemon].next_wakeup() <= now {
                    self.tell(now, daemon, ClaimEvent::TimerFired);
                }
            }
            Step::Send(daemon, life, request) if life == self.lives[daemon] => {
                self.runs.push(request);
                let mut answer =
                    QueryAnswer::not_run(QueryReason::Straggler, None, BundleVersion(1));
                answer.outcome = AnswerOutcome::Unknown;
                if self.random.random_bool(0.8) {
                    answer.outcome = AnswerOutcome::Complete;
                }
                let query = QueryId(request);
                self.tell(now, daemon, ClaimEvent::Record { query, answer });
            }
            Step::Kill(daemon) => {
                self.lives[daemon] += 1;
                self.desks[daemon] = desk(daemon, self.lives[daemon]);
            }
            Step::Reply(..) | Step::Wake(..) | Step::Send(..) => {}
        }
    }

    fn apply(&mut self, now: TimePoint, daemon: usize, life: u64, call: u64, request: &StoreCall) {
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
                    // Held up on its way: lands after the caller gave up.
                    let late = Step::Apply(daemon, u64::MAX, call, request.clone());
                    self.push(now, 5_000, late);
                    StoreReply::Indeterminate
                }
                _ => self.store.apply(now, request),
            }
        };
        if life != u64::MAX {
            self.push(now, 50, Step::Reply(daemon, life, call, reply));
        }
    }

    fn tell(&mut self, now: TimePoint, daemon: usize, event: ClaimEvent) {
        let mut actions = Vec::new();
        self.desks[daemon].on_event(now, event, &mut actions);
        let life = self.lives[daemon];
        for action in actions {
            match action {
                ClaimAction::Store { call, request } => {
                    self.push(now, 50, Step::Apply(daemon, life, call, request));
                }
                ClaimAction::Settled { query, verdict } => {
                    self.settled(now, daemon, query, &verdict);
                }
            }
        }
        let wake = self.desks[daemon].next_wakeup();
        if wake < TimePoint::NEVER {
            self.steps += 1;
            let at = wake.max(now + Duration::from_micros(1));
            self.queue
                .insert((at, self.steps), Step::Wake(daemon, life));
        }
    }

    fn settled(&mut self, now: TimePoint, daemon: usize, query: QueryId, verdict: &ClaimVerdict) {
        let life = self.lives[daemon];
        match verdict {
            ClaimVerdict::Granted if self.random.random_bool(0.3) => {
                // The deadline passed before anything was sent.
                self.not_run.push(query.0);
                self.tell(now, daemon, ClaimEvent::Release { query });
            }
            ClaimVerdict::Granted => self.push(now, 30, Step::Send(daemon, life, query.0)),
            ClaimVerdict::StoreDown => self.not_run.push(query.0),
            ClaimVerdict::Taken => self.unknown += 1,
            ClaimVerdict::Recorded(answer) => {
                assert!(!self.runs.is_empty(), "an outcome without a run");
                assert_ne!(answer.outcome, AnswerOutcome::NotRun);
                self.known += 1;
            }
            ClaimVerdict::TooOld => panic!("the key is in its window"),
        }
    }
}

#[test]
fn a_key_never_runs_twice() {
    let (mut runs, mut unknown, mut known, mut refused) = (0, 0, 0, 0);
    for seed in 0..SCHEDULES {
        let mut scene = Scene::new(seed);
        scene.run();
        assert!(scene.runs.len() <= 1, "seed {seed}: runs {:?}", scene.runs);
        for request in &scene.runs {
            assert!(
                !scene.not_run.contains(request),
                "seed {seed}: a run behind not_run"
            );
        }
        for desk in &scene.desks {
            assert_eq!(desk.open_count(), 0, "seed {seed}: a claim is left open");
        }
        runs += scene.runs.len() as u64;
        unknown += scene.unknown;
        known += scene.known;
        refused += scene.not_run.len() as u64;
    }
    println!("runs {runs}, recorded {known}, unknown {unknown}, not run {refused}");
    assert!(runs > SCHEDULES / 2);
}
