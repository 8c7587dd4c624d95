//! Requests that crash replicas, and harmless requests that crashes hit by chance.

#![allow(clippy::unwrap_used)]

mod crash_bench;
mod forward_kit;

use std::time::Duration;

use crash_bench::{
    identity,
    single,
    CrashBench,
    SETTLE_PERIOD, //
};
use forward_kit::{
    gather,
    ms,
    START, //
};
use policy::forward::{
    claim_trial,
    CrashKey,
    CrashTable,
    ForwardAnswer,
    ForwardEvent,
    ForwardFailure,
    LoggedEvent,
    ProbeOutcome,
    SeenCrash, //
};
use schema::{
    CrashNotice,
    CrashSite,
    QueryId,
    QueryPrint,
    ReplicaName,
    TimePoint, //
};

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

/// The request with number `number` at one service; its fingerprint contains its form.
fn key(number: u64) -> CrashKey {
    CrashKey {
        print: print(number),
        site: CrashSite {
            variant: 0,
            service: 1,
        },
    }
}

/// Records one crash; returns whether it counts.
fn crash_once(table: &mut CrashTable, now: TimePoint, key: CrashKey) -> bool {
    let crash = SeenCrash {
        replica: &"i-1".parse().unwrap(),
        sent_at: now,
        broke_at: now + ms(1),
        caller: 0,
    };
    table.record_crash(now + ms(2), key, &crash).is_some()
}

/// Records `crashes` crashes of distinct replicas under a request, one after the other.
fn crash(table: &mut CrashTable, now: &mut TimePoint, key: CrashKey, crashes: u32) {
    for number in 0..crashes {
        let replica = format!("i-{number}").parse().unwrap();
        let crash = SeenCrash {
            replica: &replica,
            sent_at: *now,
            broke_at: *now + ms(1),
            caller: 0,
        };
        assert!(table.record_crash(*now, key, &crash).is_some());
        *now = *now + ms(300);
    }
}

/// Guards against memory that grows with the number of distinct requests, and against forgetting a
/// refused request for the sake of others with less evidence.
#[test]
fn many_distinct_requests_are_bounded_and_expire() {
    let (mut table, mut now) = (CrashTable::default(), START);
    crash(&mut table, &mut now, key(1), 3);
    for number in 2..20_000 {
        assert!(crash_once(&mut table, now, key(number)));
    }
    assert!(table.len() <= 4_096, "{} records", table.len());
    assert!(table.check(now, key(1)).is_some());
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
        assert_eq!(crash_once(&mut table, now, key(1)), number < 2);
        now = now + ms(12);
    }
    assert_eq!(table.check(now, key(1)), None);
    now = now + ms(30);
    assert!(crash_once(&mut table, now, key(1)));
    assert!(table.check(now, key(1)).is_some());
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

/// Guards against the loss of all replicas in the first moments where the first request is hedged: both replicas
/// ended before the other daemons knew of a crash, each of which lost two more.
#[test]
fn a_hedged_request_that_crashes_two_replicas_costs_few_more() {
    let mut bench = CrashBench::new(3, single(), 12);
    let first = bench.arrive(0, identity("/p", 1));
    while bench.attempts_of(first).len() < 2 {
        bench.advance(ms(10));
    }
    let hedged = bench.attempts_of(first);
    bench.break_attempts(&hedged, ProbeOutcome::Refused);
    let mut crashes = hedged.len();
    for retry in 1..10 {
        bench.advance(ms(300));
        let query = bench.arrive(retry % 3, identity("/p", 1));
        let end = bench.now + ms(1_000);
        while bench.now < end {
            // Each replica takes so long to end that a hedge would be sent.
            bench.advance(ms(200));
            let attempts = bench.attempts_of(query);
            crashes += attempts.len();
            bench.break_attempts(&attempts, ProbeOutcome::Refused);
        }
    }
    assert!(crashes <= 4, "{crashes} replicas crashed");
}

/// Guards against a wrong verdict without an end, and against more retries than the platform allows:
/// one request is let through after each refusal, and the next refusal is longer.
#[test]
fn one_request_is_let_through_after_each_refusal() {
    let (mut table, mut now) = (CrashTable::default(), START);
    crash(&mut table, &mut now, key(1), 3);
    for seconds in [60, 600, 24 * 60 * 60] {
        let until = table.check(now, key(1)).unwrap().until;
        let (left, period) = (until.since(now), Duration::from_secs(seconds));
        assert!(left <= period && left + ms(1_000) > period, "{left:?}");
        now = until;
        assert_eq!(table.check(now, key(1)), None);
        let needed = table.trial_needed(now, key(1)).unwrap();
        let granted = claim_trial(now, &needed, None).unwrap();
        assert!(table.merge(now, granted));
        assert!(
            table.check(now, key(1)).is_some(),
            "only one is let through"
        );
        crash(&mut table, &mut now, key(1), 1);
    }
    table.record_success(now, key(1));
    assert_eq!(table.check(now, key(1)), None);
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
        crash(table, &mut START.clone(), key(1), 1);
    }
    now = now + ms(1_000);
    let notices: Vec<_> = tables.iter_mut().flat_map(|t| t.due_notices(now)).collect();
    assert_eq!(notices.len(), 3);
    for table in &mut tables {
        for notice in &notices {
            assert!(!table.merge(now, notice.clone()), "nothing is news");
        }
    }
    crash(&mut tables[0], &mut now, key(1), 2);
    let refused = tables[0].due_notices(now);
    assert!(tables[1].merge(now, refused[0].clone()));
    assert!(tables[1].check(now, key(1)).is_some());
    tables[0].record_success(now, key(1));
    let forgiven = tables[0].due_notices(now);
    assert!(tables[1].merge(now, forgiven[0].clone()));
    assert!(
        !tables[1].merge(now, refused[0].clone()),
        "an old notice is no news"
    );
    assert_eq!(tables[1].check(now, key(1)), None);
}

/// Guards against notices that do not fit into a datagram between daemons.
#[test]
fn the_largest_notice_fits_into_a_datagram() {
    let mut now = START;
    let mut table = CrashTable::default();
    for number in 0..8 {
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
        let key = CrashKey {
            print: print(u64::MAX),
            site: CrashSite {
                variant: u32::MAX - number as u32,
                service: u32::MAX - number as u32,
            },
        };
        table.record_crash(now, key, &other);
    }
    let notice = &table.due_notices(now)[0];
    assert_eq!(notice.replicas.len(), CrashNotice::REPLICAS_MAX);
    assert_eq!(notice.tallies.len(), CrashNotice::TALLIES_MAX);
    let note = notice.to_note();
    assert_eq!(&CrashNotice::from_note(&note), notice);
    let size = postcard::experimental::serialized_size(&note).unwrap();
    // `peers` reserves 420 bytes of a datagram for its other fields.
    assert!(size < 1_200 - 420, "{size} bytes");
}
