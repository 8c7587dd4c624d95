//! Requests that crash replicas, and harmless requests that crashes hit by chance.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use std::{
    sync::Arc,
    time::Duration, //
};

use forward_kit::{
    gather,
    ms,
    route,
    START, //
};
use policy::forward::{
    CrashTable,
    ForwardAction,
    ForwardAnswer,
    ForwardCall,
    ForwardEngine,
    ForwardEvent,
    ForwardFailure,
    ForwardReply,
    ForwardSettings,
    LoggedEvent,
    ProbeOutcome,
    RefusalReason,
    RequestIdentity,
    RouteIndex,
    SeenCrash,
    SendCommand, //
};
use schema::{
    CrashNotice,
    QueryId,
    QueryPrint,
    ReplicaEntry,
    ReplicaName,
    RouteTable,
    RouteTarget,
    TimePoint, //
};

/// Time after which the platform counts retries of a request that has crashed three replicas.
const SETTLE_PERIOD: Duration = Duration::from_secs(4);

/// The request with content `content` of the caller with number `caller`.
fn identity(content: &str, caller: u8) -> RequestIdentity {
    RequestIdentity::of("GET", "h", content, b"", [10, 0, 0, caller].into())
}

/// Daemons that pass reports of crashes on to each other, and their actions.
struct CrashBench {
    now: TimePoint,
    engines: Vec<ForwardEngine>,
    index: Arc<RouteIndex>,
    /// Attempts sent and not ended, with their daemon.
    sent: Vec<(usize, SendCommand)>,
    answers: Vec<(QueryId, ForwardAnswer)>,
    logged: Vec<LoggedEvent>,
    probes: usize,
    /// Daemons that get no reports.
    cut_off: Vec<usize>,
    last_query: u64,
}

impl CrashBench {
    /// Daemons in data centre `a`, and `replicas` replicas of each service of the target.
    fn new(daemons: usize, target: RouteTarget, replicas: usize) -> Self {
        let routes = vec![route("r", target)];
        let services: Vec<_> = routes[0].services().into_iter().cloned().collect();
        let table = RouteTable {
            routes,
            services: services.iter().map(|name| (name.clone(), 40)).collect(),
            ..RouteTable::default()
        };
        let mut bench = Self {
            now: START,
            engines: Vec::new(),
            index: Arc::new(RouteIndex::new(table)),
            sent: Vec::new(),
            answers: Vec::new(),
            logged: Vec::new(),
            probes: 0,
            cut_off: Vec::new(),
            last_query: 0,
        };
        for _ in 0..daemons {
            bench.add_daemon();
        }
        for service in &services {
            for number in 0..replicas {
                bench.list(&format!("{service}-{number}"), service.as_str(), false);
            }
        }
        bench
    }

    fn add_daemon(&mut self) {
        let settings = ForwardSettings {
            zone: "a".parse().unwrap(),
            retry_budget_ratio: 10.0,
            retry_budget_slack: 10_000.0,
            ..ForwardSettings::default()
        };
        self.engines.push(ForwardEngine::new(settings));
        let event = ForwardEvent::TableApplied(self.index.clone());
        self.notify(self.engines.len() - 1, event);
    }

    fn list(&mut self, name: &str, service: &str, draining: bool) {
        for daemon in 0..self.engines.len() {
            let entry = ReplicaEntry {
                name: name.parse().unwrap(),
                service: service.parse().unwrap(),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: "a".parse().unwrap(),
                slots: 4,
                draining,
                cold_left: Duration::ZERO,
                born_ms: 1,
            };
            self.notify(daemon, ForwardEvent::ReplicaListed(entry));
        }
    }

    fn notify(&mut self, daemon: usize, event: ForwardEvent) {
        let mut actions = Vec::new();
        self.engines[daemon].on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                ForwardAction::Send(command) => self.sent.push((daemon, command)),
                ForwardAction::Cancel { attempt } => {
                    self.sent
                        .retain(|(other, command)| (*other, command.attempt) != (daemon, attempt));
                }
                ForwardAction::Answer { query, answer } => self.answers.push((query, answer)),
                ForwardAction::Log(event) => self.logged.push(event),
                ForwardAction::Probe { .. } => self.probes += 1,
                ForwardAction::ReportCrash(notice) => self.report(daemon, &notice),
                ForwardAction::CloseIdle { .. } | ForwardAction::Forget { .. } => {}
            }
        }
    }

    fn report(&mut self, from: usize, notice: &CrashNotice) {
        for daemon in 0..self.engines.len() {
            let cut = self.cut_off.contains(&daemon) || self.cut_off.contains(&from);
            if daemon != from && !cut {
                self.notify(daemon, ForwardEvent::CrashReported(notice.clone()));
            }
        }
    }

    fn arrive(&mut self, daemon: usize, identity: RequestIdentity) -> QueryId {
        self.last_query += 1;
        let query = QueryId(self.last_query);
        let call = ForwardCall {
            index: self.index.clone(),
            route: 0,
            time_left: Some(ms(3_000)),
            identity,
        };
        self.notify(daemon, ForwardEvent::Arrived { query, call });
        query
    }

    /// Lets time pass, so that timers fire.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let wakeups = self.engines.iter().map(ForwardEngine::next_wakeup);
            let at = wakeups.min().unwrap().max(self.now);
            if at > end {
                self.now = end;
                return;
            }
            self.now = at;
            for daemon in 0..self.engines.len() {
                if self.engines[daemon].next_wakeup() <= self.now {
                    self.notify(daemon, ForwardEvent::TimerFired);
                }
            }
        }
    }

    /// Attempts of a request that have not ended.
    fn attempts_of(&self, query: QueryId) -> Vec<(usize, SendCommand)> {
        let of_query = |(_, command): &&(usize, SendCommand)| command.query == query;
        self.sent.iter().filter(of_query).cloned().collect()
    }

    /// Breaks the connections of these attempts at once. Their replicas show `outcome` to a probe.
    fn break_attempts(&mut self, attempts: &[(usize, SendCommand)], outcome: ProbeOutcome) {
        self.now = self.now + ms(1);
        for (daemon, command) in attempts {
            let attempt = command.attempt;
            self.sent
                .retain(|(other, sent)| (*other, sent.attempt) != (*daemon, attempt));
            let failure = ForwardFailure::Broken;
            self.notify(*daemon, ForwardEvent::Failed { attempt, failure });
        }
        self.now = self.now + ms(1);
        for (daemon, command) in attempts {
            let replica = command.replica;
            self.notify(*daemon, ForwardEvent::Probed { replica, outcome });
        }
    }

    /// Crashes the replicas of all attempts of a request until none is left, as a request does that
    /// crashes each replica which begins it. Returns the number of replicas.
    fn crash_all(&mut self, query: QueryId) -> usize {
        let mut crashes = 0;
        loop {
            let attempts = self.attempts_of(query);
            if attempts.is_empty() {
                return crashes;
            }
            crashes += attempts.len();
            self.break_attempts(&attempts, ProbeOutcome::Refused);
            self.advance(ms(20));
        }
    }

    /// Replies to all attempts of a request until it has its answer.
    fn serve(&mut self, query: QueryId) {
        loop {
            let attempts = self.attempts_of(query);
            if attempts.is_empty() {
                return;
            }
            for (daemon, command) in attempts {
                let attempt = command.attempt;
                self.sent
                    .retain(|(other, sent)| (*other, sent.attempt) != (daemon, attempt));
                let reply = ForwardReply {
                    status: 200,
                    stamp: Some("stamp".into()),
                    body: vec![1; 16].into(),
                    ..ForwardReply::default()
                };
                self.notify(daemon, ForwardEvent::Replied { attempt, reply });
            }
        }
    }

    fn answer(&self, query: QueryId) -> &ForwardAnswer {
        let mut answers = self.answers.iter();
        let answer = answers.find(|(answered, _)| *answered == query);
        &answer.unwrap().1
    }

    fn is_quarantined(&self, query: QueryId) -> bool {
        let reason = RefusalReason::Quarantined;
        matches!(self.answer(query), ForwardAnswer::NotRun { reason: found, .. } if *found == reason)
    }

    fn counted(&self) -> usize {
        let counted = |event: &&LoggedEvent| matches!(event, LoggedEvent::CrashCounted { .. });
        self.logged.iter().filter(counted).count()
    }
}

fn single() -> RouteTarget {
    RouteTarget::Single("s0".parse().unwrap())
}

/// Guards against a refusal that comes late, runs the request first, or hides its evidence.
#[test]
fn a_refused_request_is_answered_at_once_and_not_sent() {
    let mut bench = CrashBench::new(2, single(), 8);
    let first = bench.arrive(0, identity("/p", 1));
    assert_eq!(bench.crash_all(first), 2);
    bench.advance(ms(500));
    let second = bench.arrive(1, identity("/p", 1));
    assert_eq!(bench.crash_all(second), 1);
    let sends = bench.sent.len();
    for daemon in [0, 1] {
        let refused = bench.arrive(daemon, identity("/p", 1));
        assert!(bench.is_quarantined(refused));
        let ForwardAnswer::NotRun { retry_after, .. } = bench.answer(refused) else {
            panic!("not refused");
        };
        assert!(*retry_after > Duration::from_secs(50), "{retry_after:?}");
        let evidence = bench.logged.last();
        let Some(LoggedEvent::RequestStopped {
            query,
            crashes,
            replicas,
            ..
        }) = evidence
        else {
            panic!("{evidence:?}");
        };
        assert_eq!((*query, *crashes, replicas.len()), (refused, 3, 3));
    }
    assert_eq!(bench.sent.len(), sends);
    // Another caller's request with the same content, and another request of the caller, may run.
    for other in [identity("/p", 2), identity("/q", 1)] {
        let query = bench.arrive(0, other);
        bench.serve(query);
        assert!(matches!(bench.answer(query), ForwardAnswer::Relayed { .. }));
    }
}

/// Guards against a limit on each caller alone: a request that many callers send.
#[test]
fn a_crashing_request_of_several_callers_is_refused_to_all() {
    let mut bench = CrashBench::new(3, single(), 20);
    let mut crashes = 0;
    for caller in 0..20 {
        let query = bench.arrive(usize::from(caller) % 3, identity("/p", caller));
        crashes += bench.crash_all(query);
        bench.advance(ms(1_000));
    }
    assert!(crashes <= 6, "{crashes} replicas crashed");
    let refused = bench.arrive(0, identity("/p", 99));
    assert!(bench.is_quarantined(refused));
}

/// Guards against counting the crashes of a rack one by one: harmless requests with the same
/// content and caller run on many of its replicas, at several daemons, when it loses its power.
#[test]
fn harmless_requests_are_served_on_after_the_crash_of_a_rack() {
    let mut bench = CrashBench::new(3, single(), 12);
    for round in 0..5 {
        let queries: Vec<QueryId> = (0..30)
            .map(|number| bench.arrive(number % 3, identity("/same", 1)))
            .collect();
        let rack: Vec<_> = bench.sent.clone();
        assert!(rack.len() >= 30);
        bench.break_attempts(&rack, ProbeOutcome::Refused);
        // Half of them come again at other daemons before any has succeeded.
        bench.advance(ms(600));
        for daemon in 0..3 {
            let query = bench.arrive(daemon, identity("/same", 1));
            bench.serve(query);
            let answer = bench.answer(query);
            assert!(
                matches!(answer, ForwardAnswer::Relayed { .. }),
                "round {round}: {answer:?}"
            );
        }
        for query in queries {
            bench.serve(query);
        }
        bench.advance(ms(3_000));
    }
}

/// Guards against counting the shards of one query one by one.
#[test]
fn crashes_of_several_shards_of_one_query_count_once() {
    let mut bench = CrashBench::new(1, gather(10, 0.5), 3);
    let query = bench.arrive(0, identity("/all", 1));
    let attempts = bench.attempts_of(query);
    assert_eq!(attempts.len(), 10);
    bench.break_attempts(&attempts[..8], ProbeOutcome::Refused);
    bench.serve(query);
    assert!(matches!(bench.answer(query), ForwardAnswer::Merged { .. }));
    let again = bench.arrive(0, identity("/all", 1));
    assert_eq!(bench.attempts_of(again).len(), 10);
}

/// Guards against a query over shards whose retries run on without limit: each run crashes a replica
/// of each shard.
#[test]
fn a_crashing_query_over_shards_is_refused() {
    let mut bench = CrashBench::new(3, gather(10, 0.89), 12);
    let mut third_crash = None;
    let mut crashes = 0;
    let mut late_retries = 0;
    for retry in 0..12 {
        let query = bench.arrive(retry % 3, identity("/all", 1));
        let late = third_crash.is_some_and(|at| bench.now.since(at) > SETTLE_PERIOD);
        late_retries += usize::from(late && !bench.attempts_of(query).is_empty());
        crashes += bench.crash_all(query);
        if crashes >= 3 {
            third_crash.get_or_insert(bench.now);
        }
        bench.advance(ms(5_000));
    }
    assert!(late_retries <= 3, "{late_retries} late retries");
}

/// Guards against a daemon that does not know the crashes: it joins late, or was cut off while the
/// others saw them. A cut daemon has to know them within the settle period.
#[test]
fn daemons_that_join_late_or_were_cut_off_refuse_too() {
    let mut bench = CrashBench::new(3, single(), 12);
    bench.cut_off = vec![2];
    for daemon in [0, 1] {
        let query = bench.arrive(daemon, identity("/p", 1));
        bench.crash_all(query);
        bench.advance(ms(1_000));
    }
    let unknown = bench.arrive(2, identity("/p", 1));
    assert_eq!(bench.attempts_of(unknown).len(), 1);
    bench.notify(2, ForwardEvent::CallerGone { query: unknown });
    bench.cut_off.clear();
    bench.advance(SETTLE_PERIOD);
    let refused = bench.arrive(2, identity("/p", 1));
    assert!(bench.is_quarantined(refused));
    // A daemon that joins gets the crashes with the sync of another one.
    bench.add_daemon();
    for notice in bench.engines[0].crash_notices() {
        bench.notify(3, ForwardEvent::CrashReported(notice));
    }
    let refused = bench.arrive(3, identity("/p", 1));
    assert!(bench.is_quarantined(refused));
}

/// Guards against a crash where there was none: a reset, a probe without an answer, and a replica
/// that ends because it drains or is replaced.
#[test]
fn resets_drains_and_replacements_are_no_crashes() {
    for outcome in [ProbeOutcome::Accepted, ProbeOutcome::NoAnswer] {
        let mut bench = CrashBench::new(1, single(), 4);
        for _ in 0..10 {
            let query = bench.arrive(0, identity("/p", 1));
            let attempts = bench.attempts_of(query);
            bench.break_attempts(&attempts, outcome);
            bench.serve(query);
            bench.advance(ms(500));
        }
        assert_eq!((bench.probes, bench.counted()), (10, 0), "{outcome:?}");
    }
    let mut bench = CrashBench::new(1, single(), 1);
    let draining = bench.arrive(0, identity("/p", 1));
    let attempts = bench.attempts_of(draining);
    bench.list("s0-0", "s0", true);
    bench.break_attempts(&attempts, ProbeOutcome::Refused);
    bench.list("s0-new", "s0", false);
    let replaced = bench.arrive(0, identity("/p", 1));
    let attempts = bench.attempts_of(replaced);
    let name: ReplicaName = "s0-new".parse().unwrap();
    bench.notify(0, ForwardEvent::ReplicaUnlisted(name));
    bench.break_attempts(&attempts, ProbeOutcome::Refused);
    assert_eq!((bench.probes, bench.counted()), (0, 0));
}

/// Guards against probes of replicas that reset new connections because they have too many: measured
/// after a loss of power, they nearly doubled the connections over the limit.
#[test]
fn resets_of_new_connections_are_probed_rarely_but_for_a_suspect() {
    let mut bench = CrashBench::new(1, single(), 40);
    let break_new = |bench: &mut CrashBench, content: &str, pause: Duration| {
        let query = bench.arrive(0, identity(content, 1));
        let (daemon, command) = bench.attempts_of(query)[0].clone();
        bench.now = bench.now + ms(1);
        let (attempt, failure) = (command.attempt, ForwardFailure::BrokenNew);
        bench.notify(daemon, ForwardEvent::Failed { attempt, failure });
        bench.notify(daemon, ForwardEvent::CallerGone { query });
        bench.advance(pause);
    };
    for number in 0..100 {
        break_new(&mut bench, &format!("/{number}"), ms(10));
    }
    let probes = std::mem::take(&mut bench.probes);
    assert!((1..=6).contains(&probes), "{probes} probes in a second");
    let query = bench.arrive(0, identity("/p", 1));
    let attempts = bench.attempts_of(query);
    bench.break_attempts(&attempts, ProbeOutcome::Refused);
    bench.notify(0, ForwardEvent::CallerGone { query });
    break_new(&mut bench, "/p", ms(300));
    assert_eq!(bench.probes, 2);
}

/// Guards against probes that double the connections of replicas which reset hundreds of them.
#[test]
fn a_replica_that_resets_connections_is_probed_rarely() {
    let mut bench = CrashBench::new(1, single(), 1);
    for number in 0..100 {
        let query = bench.arrive(0, identity(&format!("/{number}"), 1));
        let attempts = bench.attempts_of(query);
        bench.break_attempts(&attempts, ProbeOutcome::Accepted);
        bench.notify(0, ForwardEvent::CallerGone { query });
        bench.advance(ms(9));
    }
    assert!(bench.probes <= 5, "{} probes in a second", bench.probes);
}

fn print(number: u64) -> QueryPrint {
    QueryPrint::from_halves(number, number)
}

/// Records one crash; returns whether it counts.
fn crash_once(table: &mut CrashTable, now: TimePoint, print: QueryPrint) -> bool {
    let crash = SeenCrash {
        replica: &"i-1".parse().unwrap(),
        sent_at: now,
        broke_at: now + ms(1),
        caller: 0,
    };
    table.record_crash(now + ms(2), print, &crash).is_some()
}

/// Records `crashes` crashes of distinct replicas under a request, one after the other.
fn crash(table: &mut CrashTable, now: &mut TimePoint, print: QueryPrint, crashes: u32) {
    for number in 0..crashes {
        let replica = format!("i-{number}").parse().unwrap();
        let crash = SeenCrash {
            replica: &replica,
            sent_at: *now,
            broke_at: *now + ms(1),
            caller: 0,
        };
        assert!(table.record_crash(*now, print, &crash).is_some());
        *now = *now + ms(300);
    }
}

/// Guards against memory that grows with the number of distinct requests, and against forgetting a
/// refused request for the sake of others with less evidence.
#[test]
fn many_distinct_requests_are_bounded_and_expire() {
    let (mut table, mut now) = (CrashTable::default(), START);
    crash(&mut table, &mut now, print(1), 3);
    for number in 2..20_000 {
        assert!(crash_once(&mut table, now, print(number)));
    }
    assert!(table.len() <= 4_096, "{} records", table.len());
    assert!(table.check(now, print(1)).is_some());
    let notices = table.sync_notices();
    assert_eq!(notices[0].print, print(1));
    assert!(notices.len() <= 512);
    // The refused request is reported first. The others follow in batches, so that they don't crowd
    // out the notes of other daemons.
    now = now + ms(1_000);
    let start = now;
    let first = table.due_notices(now);
    assert!(first.iter().any(|notice| notice.print == print(1)));
    let mut reported = first.len();
    while now < start + ms(1_000) {
        now = now.max(table.next_wakeup());
        reported += table.due_notices(now).len();
    }
    assert!(
        (200..400).contains(&reported),
        "{reported} notices in a second"
    );
    now = now + Duration::from_secs(2_000);
    table.due_notices(now);
    assert!(table.is_empty());
    assert_eq!(table.next_wakeup(), TimePoint::NEVER);
}

/// Guards against a refusal because the replicas of a rack crash one after the other, before any
/// request with the same content has succeeded elsewhere.
#[test]
fn crashes_in_one_burst_do_not_refuse_a_request() {
    let (mut table, mut now) = (CrashTable::default(), START);
    for number in 0..40 {
        assert_eq!(crash_once(&mut table, now, print(1)), number < 2);
        now = now + ms(12);
    }
    assert_eq!(table.check(now, print(1)), None);
    now = now + ms(30);
    assert!(crash_once(&mut table, now, print(1)));
    assert!(table.check(now, print(1)).is_some());
}

/// Guards against the loss of all replicas in the first moments: with six replicas, a caller that
/// retried every 300 ms crashed them all before its request was refused, and no other was served.
#[test]
fn a_retry_that_can_not_count_yet_waits() {
    let mut bench = CrashBench::new(3, single(), 12);
    let mut crashes = 0;
    for retry in 0..10 {
        let query = bench.arrive(retry % 3, identity("/p", 1));
        let end = bench.now + ms(300);
        while bench.now < end {
            let attempts = bench.attempts_of(query);
            crashes += attempts.len();
            bench.break_attempts(&attempts, ProbeOutcome::Refused);
            bench.advance(ms(5));
        }
    }
    assert!(crashes <= 4, "{crashes} replicas crashed");
    // A harmless request whose retry waits is sent on once another one has succeeded.
    let mut bench = CrashBench::new(1, single(), 12);
    for _ in 0..2 {
        let query = bench.arrive(0, identity("/same", 1));
        let attempts = bench.attempts_of(query);
        bench.break_attempts(&attempts, ProbeOutcome::Refused);
        bench.notify(0, ForwardEvent::CallerGone { query });
    }
    let waiting = bench.arrive(0, identity("/same", 1));
    let attempts = bench.attempts_of(waiting);
    bench.break_attempts(&attempts, ProbeOutcome::Refused);
    bench.advance(ms(30));
    assert_eq!(bench.attempts_of(waiting).len(), 0);
    let other = bench.arrive(0, identity("/same", 1));
    bench.serve(other);
    bench.advance(ms(30));
    assert_eq!(bench.attempts_of(waiting).len(), 1);
}

/// Guards against a wrong verdict without an end, and against more retries than the platform allows:
/// one request is let through after each refusal, and the next refusal is longer.
#[test]
fn one_request_is_let_through_after_each_refusal() {
    let (mut table, mut now) = (CrashTable::default(), START);
    crash(&mut table, &mut now, print(1), 3);
    for seconds in [60, 600, 24 * 60 * 60] {
        let until = table.check(now, print(1)).unwrap().until;
        let (left, period) = (until.since(now), Duration::from_secs(seconds));
        assert!(left <= period && left + ms(1_000) > period, "{left:?}");
        now = until;
        assert_eq!(table.check(now, print(1)), None);
        table.start_trial(now, print(1));
        assert!(
            table.check(now, print(1)).is_some(),
            "only one is let through"
        );
        crash(&mut table, &mut now, print(1), 1);
    }
    table.record_success(now, print(1));
    assert_eq!(table.check(now, print(1)), None);
}

/// Guards against adding up what several daemons saw of one crash, and against a success that the
/// other daemons do not learn of.
#[test]
fn daemons_merge_the_greater_count_and_successes() {
    let mut now = START;
    let mut tables = [
        CrashTable::default(),
        CrashTable::default(),
        CrashTable::default(),
    ];
    for table in &mut tables {
        crash(table, &mut START.clone(), print(1), 1);
    }
    now = now + ms(1_000);
    let notices: Vec<_> = tables.iter_mut().flat_map(|t| t.due_notices(now)).collect();
    assert_eq!(notices.len(), 3);
    for table in &mut tables {
        for notice in &notices {
            assert!(!table.merge(now, notice.clone()), "nothing is news");
        }
    }
    crash(&mut tables[0], &mut now, print(1), 2);
    let refused = tables[0].due_notices(now);
    assert!(tables[1].merge(now, refused[0].clone()));
    assert!(tables[1].check(now, print(1)).is_some());
    tables[0].record_success(now, print(1));
    let forgiven = tables[0].due_notices(now);
    assert!(tables[1].merge(now, forgiven[0].clone()));
    assert!(
        !tables[1].merge(now, refused[0].clone()),
        "an old notice is no news"
    );
    assert_eq!(tables[1].check(now, print(1)), None);
}

/// Guards against notices that do not fit into a datagram between daemons.
#[test]
fn the_largest_notice_fits_into_a_datagram() {
    let mut now = START;
    let mut table = CrashTable::default();
    for number in 0..5 {
        let replica = format!("{number}{}", "x".repeat(ReplicaName::MAX - 1))
            .parse()
            .unwrap();
        let crash = SeenCrash {
            replica: &replica,
            sent_at: now,
            broke_at: now,
            caller: u64::MAX,
        };
        now = now + ms(600);
        let other = SeenCrash {
            caller: number,
            ..crash.clone()
        };
        table.record_crash(now, print(u64::MAX), &other);
    }
    let notice = &table.due_notices(now)[0];
    assert_eq!(notice.replicas.len(), CrashNotice::REPLICAS_MAX);
    let note = notice.to_note();
    assert_eq!(&CrashNotice::from_note(&note), notice);
    let size = postcard::experimental::serialized_size(&note).unwrap();
    // `peers` reserves 420 bytes of a datagram for its other fields.
    assert!(size < 1_200 - 420, "{size} bytes");
}
