//! Harmless requests around crashes of all replicas of a service, with the numbers of hosts, forms, shards,
//! replicas and requests in flight drawn from seeds.

#![allow(clippy::unwrap_used)]

mod crash_bench;
mod forward_kit;

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crash_bench::{
    single,
    CrashBench, //
};
use forward_kit::{
    gather,
    ms, //
};
use policy::forward::{
    ForwardAnswer,
    ForwardEvent,
    ForwardFailure,
    ProbeOutcome,
    RefusalReason,
    RequestIdentity,
    SendCommand, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    CrashNotice,
    CrashSite,
    CrashTally,
    QueryId,
    ReplicaEntry,
    TimePoint, //
};

/// The service whose replicas crash.
const CRASHING: &str = "s0";
/// Requests that a replica runs at a time.
const SLOTS: u32 = 4;
/// Time after the replicas are back from which harmless requests are to be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Share of them that is to be served from then on.
const SERVED_MIN: f64 = 0.95;
/// No harmless request may be told to stay away for so long.
const REFUSAL_MAX: Duration = Duration::from_secs(60);

/// A request that was sent and what became of it.
struct SentRequest {
    query: QueryId,
    at: TimePoint,
}

/// Hosts that send requests to one path, each with another query, while the replicas of a service crash.
struct OutageRun {
    bench: CrashBench,
    random: Pcg64Mcg,
    hosts: u8,
    /// Whether all send the same request.
    one_form: bool,
    replicas: usize,
    work_time: Duration,
    interval: Duration,
    /// Whether the replicas of the service that crashes run.
    up: bool,
    starts: u64,
    /// Attempts in flight with the time at which they were first seen.
    in_flight: Vec<(TimePoint, usize, SendCommand)>,
    requests: Vec<SentRequest>,
    next_arrival: TimePoint,
}

fn of_crashing_service(command: &SendCommand) -> bool {
    command.name.as_str().starts_with("s0-")
}

impl OutageRun {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let target = match random.random_range(0..2) {
            0 => single(),
            _ => gather(random.random_range(4..=12), 0.75),
        };
        let replicas = random.random_range(2..=6);
        let bench = CrashBench::new(random.random_range(1..=6), target, replicas);
        let work_time = ms(random.random_range(20..=400));
        // The replicas have room for four times the load.
        let interval_min = 4 * work_time / (SLOTS * replicas as u32);
        Self {
            hosts: random.random_range(1..=4),
            one_form: false,
            replicas,
            work_time,
            interval: interval_min.max(ms(random.random_range(10..=60))),
            up: true,
            starts: 1,
            in_flight: Vec::new(),
            requests: Vec::new(),
            next_arrival: bench.now,
            random,
            bench,
        }
    }

    /// Lets requests arrive and run for `span`.
    fn play(&mut self, span: Duration) {
        let end = self.bench.now + span;
        while self.bench.now < end {
            while self.next_arrival <= self.bench.now {
                self.next_arrival = self.next_arrival + self.interval;
                self.arrive();
            }
            self.end_attempts();
            self.bench.advance(ms(5));
        }
    }

    fn arrive(&mut self) {
        let daemon = self.random.random_range(0..self.bench.engines.len());
        let caller = [10, 0, 0, self.random.random_range(0..self.hosts)];
        let target = match self.one_form {
            true => "/p".to_string(),
            false => format!("/p?name={}", self.requests.len()),
        };
        let identity = RequestIdentity::of("GET", "h", &target, b"", caller.into());
        let at = self.bench.now;
        let query = self.bench.arrive(daemon, identity);
        self.requests.push(SentRequest { query, at });
    }

    /// Replies to attempts that have run, and refuses connections to replicas that are down.
    fn end_attempts(&mut self) {
        self.watch_attempts();
        let now = self.bench.now;
        let attempts = self.in_flight.clone();
        for (at, daemon, command) in attempts {
            let is_down = !self.up && of_crashing_service(&command);
            if is_down {
                let attempt = command.attempt;
                self.bench
                    .sent
                    .retain(|(other, sent)| (*other, sent.attempt) != (daemon, attempt));
                let failure = ForwardFailure::Unconnected;
                self.bench
                    .notify(daemon, ForwardEvent::Failed { attempt, failure });
            } else if now.since(at) >= self.work_time {
                self.bench.serve_attempt(daemon, &command);
            }
        }
    }

    /// Takes note of attempts that were sent, and forgets those that have ended.
    fn watch_attempts(&mut self) {
        let is_sent = |daemon: usize, command: &SendCommand| {
            let mut sent = self.bench.sent.iter();
            sent.any(|(other, sent)| (*other, sent.attempt) == (daemon, command.attempt))
        };
        self.in_flight
            .retain(|(_, daemon, command)| is_sent(*daemon, command));
        for (daemon, command) in &self.bench.sent {
            let mut known = self.in_flight.iter();
            if !known.any(|(_, other, seen)| (*other, seen.attempt) == (*daemon, command.attempt)) {
                self.in_flight
                    .push((self.bench.now, *daemon, command.clone()));
            }
        }
    }

    /// Crashes all replicas of the service at once.
    fn crash(&mut self) {
        self.up = false;
        let attempts = self.bench.sent.iter();
        let attempts = attempts.filter(|(_, command)| of_crashing_service(command));
        let attempts: Vec<_> = attempts.cloned().collect();
        self.bench.break_attempts(&attempts, ProbeOutcome::Refused);
    }

    /// Starts the replicas again.
    fn start_again(&mut self) {
        self.up = true;
        self.starts += 1;
        for number in 0..self.replicas {
            for daemon in 0..self.bench.engines.len() {
                let entry = ReplicaEntry {
                    name: format!("{CRASHING}-{number}").parse().unwrap(),
                    service: CRASHING.parse().unwrap(),
                    address: "127.0.0.1:1".parse().unwrap(),
                    zone: "a".parse().unwrap(),
                    slots: SLOTS,
                    draining: false,
                    cold_left: Duration::ZERO,
                    born_ms: self.starts,
                };
                self.bench
                    .notify(daemon, ForwardEvent::ReplicaListed(entry));
            }
        }
    }

    /// Share of the requests sent from `start` on, up to `end`, that were served.
    fn served_share(&self, start: TimePoint, end: TimePoint) -> f64 {
        let sent = self.requests.iter();
        let sent = sent.filter(|request| start <= request.at && request.at < end);
        let sent: Vec<_> = sent.collect();
        let answers = self.bench.answers.iter();
        let served = answers.filter_map(|(query, answer)| match answer {
            ForwardAnswer::Relayed { .. } | ForwardAnswer::Merged { .. } => Some(*query),
            _ => None,
        });
        let served: BTreeSet<QueryId> = served.collect();
        let served = sent.iter().filter(|sent| served.contains(&sent.query));
        served.count() as f64 / (sent.len() as f64).max(1.0)
    }

    /// The longest time for which a request was told to stay away because it crashes replicas.
    fn longest_refusal(&self) -> Duration {
        let refusals = self.bench.answers.iter().filter_map(|(_, answer)| {
            let ForwardAnswer::NotRun {
                reason: RefusalReason::Quarantined,
                retry_after,
            } = answer
            else {
                return None;
            };
            Some(*retry_after)
        });
        refusals.max().unwrap_or_default()
    }
}

/// Guards against the refusal of a host's harmless requests with ever different queries after the replicas of
/// a service have ended under several of them.
#[test]
fn harmless_forms_are_served_again_after_crashes_of_a_service() {
    for seed in 0..24 {
        let mut run = OutageRun::new(seed);
        run.play(ms(3_000));
        for crash in 0..run.random.random_range(1..=3) {
            run.crash();
            run.play(ms(4_500));
            run.start_again();
            let back_at = run.bench.now;
            run.play(RECOVERY_TIME + ms(6_000));
            let end = run.bench.now;
            let served = run.served_share(back_at + RECOVERY_TIME, end - ms(1_000));
            assert!(
                served >= SERVED_MIN,
                "seed {seed}, crash {crash}: {served:.3}"
            );
        }
        let refusal = run.longest_refusal();
        assert!(refusal < REFUSAL_MAX, "seed {seed}: {refusal:?}");
    }
}

/// Guards against a harmless request of many callers that is refused for a day, because its trials were used up
/// while all replicas of its service were down.
#[test]
fn a_trial_that_reaches_no_replica_is_not_used_up() {
    for seed in 0..12 {
        let mut run = OutageRun::new(seed);
        (run.hosts, run.one_form) = (32, true);
        run.play(ms(3_000));
        for _ in 0..6 {
            run.crash();
            run.play(ms(5_000));
            run.start_again();
            run.play(ms(5_000));
        }
        let start = run.bench.now;
        run.play(ms(8_000));
        let served = run.served_share(start, run.bench.now - ms(1_000));
        assert!(served >= SERVED_MIN, "seed {seed}: {served:.3}");
        let refusal = run.longest_refusal();
        assert!(refusal < REFUSAL_MAX, "seed {seed}: {refusal:?}");
    }
}

/// Guards against a query over shards that is refused whole because a trial is denied for one shard, though
/// the route allows an answer without it.
#[test]
fn a_denied_trial_for_one_shard_leaves_out_that_shard() {
    let mut bench = CrashBench::new(1, gather(10, 0.89), 3);
    let form = |number: usize| {
        let target = format!("/p?name={number}");
        RequestIdentity::of("GET", "h", &target, b"", [10, 0, 0, 1].into())
    };
    // Three separate crashes at one shard, under several forms, refuse all forms there.
    for number in 0..3 {
        let query = bench.arrive(0, form(number));
        let attempts = bench.attempts_of(query).into_iter();
        let attempts: Vec<_> = attempts
            .filter(|(_, command)| of_crashing_service(command))
            .collect();
        bench.break_attempts(&attempts, ProbeOutcome::Refused);
        bench.notify(0, ForwardEvent::CallerGone { query });
        bench.advance(ms(700));
    }
    let reaches_shard = |bench: &CrashBench, query: QueryId| {
        let attempts = bench.attempts_of(query);
        attempts
            .iter()
            .any(|(_, command)| of_crashing_service(command))
    };
    bench.advance(ms(5_000));
    bench.without_store = vec![0];
    let other = bench.arrive(0, form(3));
    assert!(!reaches_shard(&bench, other), "no trial without the store");
    bench.serve(other);
    let answer = bench.answer(other);
    assert!(
        matches!(answer, ForwardAnswer::Merged { missing: 1, .. }),
        "{answer:?}"
    );
    bench.without_store.clear();
    let trial = bench.arrive(0, form(4));
    assert!(reaches_shard(&bench, trial));
}

/// Guards against a refusal without an end by notices of the store that an earlier build has written: they
/// count crashes of several forms at several services together.
#[test]
fn successes_take_back_the_crashes_of_a_notice_for_several_sites() {
    let mut bench = CrashBench::new(2, gather(4, 0.7), 3);
    let service = CRASHING.parse().unwrap();
    let form = |number: usize| {
        let target = format!("/p?name={number}");
        RequestIdentity::of("GET", "h", &target, b"", [10, 0, 0, 1].into())
    };
    let key = form(0).caller_key(&service);
    let several = CrashSite::default();
    let sites = [key.site, form(1).caller_key(&service).site, several];
    let tallies = sites.map(|site| CrashTally {
        site,
        crashes: 11,
        forgiven: 0,
    });
    let notice = CrashNotice {
        print: key.print,
        crashes: 3,
        forgiven: 0,
        trials: 0,
        passed: 0,
        caller: 0,
        replicas: Default::default(),
        refused_until: bench.now,
        expires_at: bench.now + Duration::from_secs(600),
        tallies: tallies.into_iter().collect(),
    };
    bench.store.insert(key.print, notice);
    for daemon in 0..2 {
        bench.read_store(daemon);
    }
    let mut served = 0;
    for number in 0..40 {
        let query = bench.arrive(number % 2, form(100 + number));
        bench.serve(query);
        served += usize::from(bench.is_served(query));
        bench.advance(ms(100));
    }
    assert!(served >= 38, "{served} of 40");
    let free = bench.arrive(0, form(1_000));
    assert_eq!(bench.attempts_of(free).len(), 4, "it needs no trial");
}
