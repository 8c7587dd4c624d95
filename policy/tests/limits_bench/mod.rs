//! Gates in front of a pool of slots, in virtual time.
#![allow(clippy::unwrap_used)]

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        VecDeque, //
    },
    time::Duration, //
};

use policy::limits::{
    AdmissionAsk,
    AdmissionGate,
    AdmissionVerdict,
    GateSettings, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    GroupName,
    QueryId,
    TimePoint, //
};

/// A load on the gates.
#[derive(Clone)]
pub(crate) struct OfferedLoad {
    pub(crate) daemons: usize,
    pub(crate) slots: usize,
    pub(crate) service: Duration,
    pub(crate) deadline: Duration,
    /// Requests a second of each end user.
    pub(crate) rates: Vec<f64>,
    pub(crate) length: Duration,
    /// Seconds during which requests take ten times as long.
    pub(crate) slow: std::ops::Range<u64>,
    pub(crate) seed: u64,
}

/// What came of it, after the first quarter.
#[derive(Clone, Debug, Default)]
pub(crate) struct GateOutcome {
    pub(crate) useful: f64,
    pub(crate) late: u64,
    pub(crate) refused: u64,
    pub(crate) by_user: Vec<f64>,
    pub(crate) p99: Duration,
    /// Share of arrivals at an overloaded gate.
    pub(crate) overloaded: f64,
    pub(crate) refusal_max: Duration,
    pub(crate) second_half: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Done(u64),
    Wake(usize),
}

struct Request {
    user: usize,
    gate: usize,
    arrived: TimePoint,
    started: TimePoint,
    closed: bool,
}

struct Bench {
    load: OfferedLoad,
    now: TimePoint,
    random: Pcg64Mcg,
    events: BinaryHeap<Reverse<(TimePoint, Event)>>,
    gates: Vec<AdmissionGate>,
    expected: Vec<Duration>,
    wakeups: Vec<TimePoint>,
    requests: BTreeMap<u64, Request>,
    backlog: VecDeque<u64>,
    busy: usize,
    latencies: Vec<Duration>,
    outcome: GateOutcome,
    next: u64,
    group: GroupName,
}

/// Runs `load`.
pub(crate) fn run(load: &OfferedLoad) -> GateOutcome {
    let mut bench = Bench {
        now: TimePoint(1_000_000),
        random: Pcg64Mcg::seed_from_u64(load.seed),
        events: BinaryHeap::new(),
        gates: vec![AdmissionGate::new(GateSettings::default()); load.daemons],
        expected: vec![Duration::ZERO; load.daemons],
        wakeups: vec![TimePoint(0); load.daemons],
        requests: BTreeMap::new(),
        backlog: VecDeque::new(),
        busy: 0,
        latencies: Vec::new(),
        outcome: GateOutcome::default(),
        next: 0,
        group: "g".parse().unwrap(),
        load: load.clone(),
    };
    bench.outcome.by_user = vec![0.0; load.rates.len()];
    for user in 0..load.rates.len() {
        bench.schedule(user);
    }
    bench.drive();
    bench.sum_up()
}

impl Bench {
    fn exponential(&mut self, mean: f64) -> Duration {
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-draw.ln() * mean)
    }

    fn schedule(&mut self, user: usize) {
        let pause = self.exponential(1.0 / self.load.rates[user]);
        self.events
            .push(Reverse((self.now + pause, Event::Arrive(user))));
    }

    fn drive(&mut self) {
        let end = self.now + self.load.length;
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            match event {
                Event::Arrive(user) => self.arrive(user),
                Event::Done(request) => self.done(request),
                Event::Wake(gate) => self.release(gate),
            }
        }
    }

    fn counted(&self) -> bool {
        self.now.since(TimePoint(1_000_000)) > self.load.length / 4
    }

    fn arrive(&mut self, user: usize) {
        self.schedule(user);
        let gate = self.random.random_range(0..self.load.daemons);
        let query = self.next;
        self.next += 1;
        let ask = AdmissionAsk {
            query: QueryId(query),
            user: format!("u{user}").parse().unwrap(),
            group: self.group.clone(),
            deadline: self.now + self.load.deadline,
            expected: self.expected[gate],
        };
        let request = Request {
            user,
            gate,
            arrived: self.now,
            started: self.now,
            closed: false,
        };
        match self.gates[gate].arrive(self.now, ask) {
            AdmissionVerdict::Run => {
                self.requests.insert(query, request);
                self.start(query);
            }
            AdmissionVerdict::Wait => {
                self.requests.insert(query, request);
            }
            AdmissionVerdict::Refuse { .. } => self.outcome.refused += 1,
        }
        self.release(gate);
        let overloaded = self.gates[gate].is_overloaded(self.now, &self.group);
        if self.counted() && overloaded {
            self.outcome.overloaded += 1.0;
        }
    }

    fn start(&mut self, query: u64) {
        self.requests.get_mut(&query).unwrap().started = self.now;
        self.backlog.push_back(query);
        self.serve();
    }

    fn serve(&mut self) {
        while self.busy < self.load.slots {
            let Some(query) = self.backlog.pop_front() else {
                return;
            };
            self.busy += 1;
            let second = self.now.0 / 1_000_000;
            let factor = if self.load.slow.contains(&second) {
                10.0
            } else {
                1.0
            };
            let fixed = self.load.service.mul_f64(0.5 * factor);
            let time = fixed + self.exponential(fixed.as_secs_f64());
            self.events
                .push(Reverse((self.now + time, Event::Done(query))));
        }
    }

    fn done(&mut self, query: u64) {
        self.busy -= 1;
        let request = self.requests.remove(&query).unwrap();
        let gate = request.gate;
        if !request.closed {
            let time = self.now.since(request.started);
            let old = self.expected[gate];
            self.expected[gate] = if old.is_zero() {
                time
            } else {
                (old * 15 + time) / 16
            };
            self.gates[gate].finished(self.now, QueryId(query), request.started);
            let latency = self.now.since(request.arrived);
            self.count(&request, latency);
        }
        self.serve();
        self.release(gate);
    }

    fn count(&mut self, request: &Request, latency: Duration) {
        if !self.counted() {
            return;
        }
        if latency > self.load.deadline {
            self.outcome.late += 1;
            return;
        }
        self.latencies.push(latency);
        self.outcome.by_user[request.user] += 1.0;
        let elapsed = self.now.since(TimePoint(1_000_000));
        self.outcome.second_half += f64::from(u8::from(elapsed > self.load.length / 2));
    }

    fn release(&mut self, gate: usize) {
        let mut ready = Vec::new();
        let mut refused = Vec::new();
        self.gates[gate].release(self.now, &mut ready, &mut refused);
        for query in ready {
            self.start(query.0);
        }
        for (query, _, _) in refused {
            let request = self.requests.remove(&query.0).unwrap();
            let waited = self.now.since(request.arrived);
            self.outcome.refusal_max = self.outcome.refusal_max.max(waited);
            self.outcome.refused += 1;
        }
        let at = self.gates[gate].next_wakeup();
        let due = self.wakeups[gate];
        if at != TimePoint::NEVER && (at < due || due <= self.now) {
            self.wakeups[gate] = at;
            self.events.push(Reverse((
                at.max(self.now + Duration::from_micros(1)),
                Event::Wake(gate),
            )));
        }
    }

    fn sum_up(mut self) -> GateOutcome {
        self.latencies.sort_unstable();
        let seconds = self.load.length.as_secs_f64() * 0.75;
        let count = self.latencies.len();
        self.outcome.useful = count as f64 / seconds;
        let arrivals: f64 = self.load.rates.iter().sum();
        self.outcome.overloaded /= arrivals * seconds;
        self.outcome.second_half /= self.load.length.as_secs_f64() / 2.0;
        self.outcome.p99 = self.latencies[count * 99 / 100];
        for served in &mut self.outcome.by_user {
            *served /= seconds;
        }
        self.outcome
    }
}
