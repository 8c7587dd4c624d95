//! Simulates admission controllers in front of a shared pool of slots, in virtual time.
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
    AdmissionController,
    AdmissionDecision,
    AdmissionRequest,
    AdmissionSettings, //
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

/// The load that the end users offer, and the capacity that serves it.
#[derive(Clone)]
pub(crate) struct OfferedLoad {
    pub(crate) daemons: usize,
    pub(crate) slots: usize,
    pub(crate) service_time: Duration,
    pub(crate) deadline: Duration,
    /// Requests per second of each end user.
    pub(crate) rates: Vec<f64>,
    pub(crate) duration: Duration,
    /// Seconds of virtual time during which requests take ten times as long.
    pub(crate) slow_seconds: std::ops::Range<u64>,
    pub(crate) seed: u64,
}

/// Results. Rates, late answers and the overloaded share leave out the first quarter; refusals are
/// counted from the start.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadOutcome {
    pub(crate) useful_rate: f64,
    pub(crate) late_count: u64,
    pub(crate) refused_count: u64,
    pub(crate) user_rates: Vec<f64>,
    pub(crate) p99: Duration,
    /// Share of arrivals that found their group overloaded.
    pub(crate) overloaded_share: f64,
    pub(crate) longest_refusal: Duration,
    pub(crate) second_half_rate: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Done(u64),
    Release(usize),
}

struct Request {
    user: usize,
    controller: usize,
    arrived: TimePoint,
    started: TimePoint,
    closed: bool,
}

struct LoadSimulation {
    load: OfferedLoad,
    now: TimePoint,
    random: Pcg64Mcg,
    events: BinaryHeap<Reverse<(TimePoint, Event)>>,
    controllers: Vec<AdmissionController>,
    expected_times: Vec<Duration>,
    wakeups: Vec<TimePoint>,
    requests: BTreeMap<u64, Request>,
    backlog: VecDeque<u64>,
    busy_slots: usize,
    latencies: Vec<Duration>,
    outcome: LoadOutcome,
    next_query: u64,
    group: GroupName,
}

/// Simulates `load` to its end.
pub(crate) fn run(load: &OfferedLoad) -> LoadOutcome {
    let mut simulation = LoadSimulation {
        now: TimePoint(1_000_000),
        random: Pcg64Mcg::seed_from_u64(load.seed),
        events: BinaryHeap::new(),
        controllers: vec![AdmissionController::new(AdmissionSettings::default()); load.daemons],
        expected_times: vec![Duration::ZERO; load.daemons],
        wakeups: vec![TimePoint(0); load.daemons],
        requests: BTreeMap::new(),
        backlog: VecDeque::new(),
        busy_slots: 0,
        latencies: Vec::new(),
        outcome: LoadOutcome::default(),
        next_query: 0,
        group: "g".parse().unwrap(),
        load: load.clone(),
    };
    simulation.outcome.user_rates = vec![0.0; load.rates.len()];
    for user in 0..load.rates.len() {
        simulation.schedule_arrival(user);
    }
    simulation.run_events();
    simulation.finish()
}

impl LoadSimulation {
    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn schedule_arrival(&mut self, user: usize) {
        let delay = self.exponential(1.0 / self.load.rates[user]);
        self.events
            .push(Reverse((self.now + delay, Event::Arrive(user))));
    }

    fn run_events(&mut self) {
        let end = self.now + self.load.duration;
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            match event {
                Event::Arrive(user) => self.arrive(user),
                Event::Done(request) => self.finish_request(request),
                Event::Release(controller) => self.release(controller),
            }
        }
    }

    fn is_past_warm_up(&self) -> bool {
        self.now.since(TimePoint(1_000_000)) > self.load.duration / 4
    }

    fn arrive(&mut self, user: usize) {
        self.schedule_arrival(user);
        let controller = self.random.random_range(0..self.load.daemons);
        let query = self.next_query;
        self.next_query += 1;
        let admission = AdmissionRequest {
            query: QueryId(query),
            user: format!("u{user}").parse().unwrap(),
            group: self.group.clone(),
            deadline: self.now + self.load.deadline,
            expected_time: self.expected_times[controller],
        };
        let request = Request {
            user,
            controller,
            arrived: self.now,
            started: self.now,
            closed: false,
        };
        match self.controllers[controller].admit(self.now, admission) {
            AdmissionDecision::Run => {
                self.requests.insert(query, request);
                self.start(query);
            }
            AdmissionDecision::Wait => {
                self.requests.insert(query, request);
            }
            AdmissionDecision::Refuse { .. } => self.outcome.refused_count += 1,
        }
        self.release(controller);
        let overloaded = self.controllers[controller].is_overloaded(self.now, &self.group);
        if self.is_past_warm_up() && overloaded {
            self.outcome.overloaded_share += 1.0;
        }
    }

    fn start(&mut self, query: u64) {
        self.requests.get_mut(&query).unwrap().started = self.now;
        self.backlog.push_back(query);
        self.serve();
    }

    fn serve(&mut self) {
        while self.busy_slots < self.load.slots {
            let Some(query) = self.backlog.pop_front() else {
                return;
            };
            self.busy_slots += 1;
            let second = self.now.0 / 1_000_000;
            let slowdown = if self.load.slow_seconds.contains(&second) {
                10.0
            } else {
                1.0
            };
            let half_time = self.load.service_time.mul_f64(0.5 * slowdown);
            let time = half_time + self.exponential(half_time.as_secs_f64());
            self.events
                .push(Reverse((self.now + time, Event::Done(query))));
        }
    }

    fn finish_request(&mut self, query: u64) {
        self.busy_slots -= 1;
        let request = self.requests.remove(&query).unwrap();
        let controller = request.controller;
        if !request.closed {
            let time = self.now.since(request.started);
            let previous = self.expected_times[controller];
            self.expected_times[controller] = if previous.is_zero() {
                time
            } else {
                (previous * 15 + time) / 16
            };
            self.controllers[controller].finished(self.now, QueryId(query), request.started);
            let latency = self.now.since(request.arrived);
            self.record_answer(&request, latency);
        }
        self.serve();
        self.release(controller);
    }

    fn record_answer(&mut self, request: &Request, latency: Duration) {
        if !self.is_past_warm_up() {
            return;
        }
        if latency > self.load.deadline {
            self.outcome.late_count += 1;
            return;
        }
        self.latencies.push(latency);
        self.outcome.user_rates[request.user] += 1.0;
        let elapsed = self.now.since(TimePoint(1_000_000));
        self.outcome.second_half_rate += f64::from(u8::from(elapsed > self.load.duration / 2));
    }

    fn release(&mut self, controller: usize) {
        let mut ready = Vec::new();
        let mut refused = Vec::new();
        self.controllers[controller].release(self.now, &mut ready, &mut refused);
        for query in ready {
            self.start(query.0);
        }
        for (query, _, _) in refused {
            let request = self.requests.remove(&query.0).unwrap();
            let waited = self.now.since(request.arrived);
            self.outcome.longest_refusal = self.outcome.longest_refusal.max(waited);
            self.outcome.refused_count += 1;
        }
        let at = self.controllers[controller].next_wakeup();
        let due = self.wakeups[controller];
        if at != TimePoint::NEVER && (at < due || due <= self.now) {
            self.wakeups[controller] = at;
            self.events.push(Reverse((
                at.max(self.now + Duration::from_micros(1)),
                Event::Release(controller),
            )));
        }
    }

    fn finish(mut self) -> LoadOutcome {
        self.latencies.sort_unstable();
        let seconds = self.load.duration.as_secs_f64() * 0.75;
        let count = self.latencies.len();
        self.outcome.useful_rate = count as f64 / seconds;
        let arrivals: f64 = self.load.rates.iter().sum();
        self.outcome.overloaded_share /= arrivals * seconds;
        self.outcome.second_half_rate /= self.load.duration.as_secs_f64() / 2.0;
        self.outcome.p99 = self.latencies[count * 99 / 100];
        for served in &mut self.outcome.user_rates {
            *served /= seconds;
        }
        self.outcome
    }
}
