//! Limits that replicas name, shared among simulated daemons.

#![allow(clippy::unwrap_used)]

mod forward_kit;
mod limit_bench;

use std::time::Duration;

use forward_kit::{
    gather,
    ms, //
};
use limit_bench::{
    allowed,
    single,
    LimitBench, //
};
use policy::forward::{
    ForwardAnswer,
    LimitStatement,
    LoggedEvent,
    RefusalReason, //
};
use schema::RequestRate;

fn limited(rate: f64) -> LimitStatement {
    LimitStatement::Limited(RequestRate::new(rate).unwrap())
}

/// Part of a limit that is used at least while there is demand for more. Requests that find a token
/// free may still go to a replica without a limit.
const USED_SHARE: f64 = 0.75;
/// Time in which the platform counts nothing after a limit is first named.
const SETTLE_PERIOD: Duration = Duration::from_secs(4);

/// Guards against a limit that each daemon takes for its own, and against shares of idle daemons that
/// nobody uses: all kinds of demand, numbers of daemons and limits.
#[test]
fn the_limit_holds_over_all_daemons_and_is_used() {
    let demands: [fn(usize) -> f64; 4] = [
        |_| 40.0,
        |daemon| if daemon == 0 { 300.0 } else { 0.0 },
        |daemon| [150.0, 20.0, 5.0, 0.5][daemon % 4],
        |daemon| if daemon % 3 == 0 { 60.0 } else { 0.0 },
    ];
    for daemons in [1, 2, 8] {
        for limit in [1.0, 3.0, 26.0, 100.0] {
            for (kind, demand) in demands.iter().enumerate() {
                let mut bench = LimitBench::new(daemons, single(), 2);
                bench.set_limit("s0-0", limited(limit));
                bench.set_rates(demand);
                bench.advance(SETTLE_PERIOD);
                let from = bench.now;
                bench.advance(Duration::from_secs(12));
                let case = format!("{daemons} daemons, limit {limit}, demand {kind}");
                let busiest = bench.busiest_span("s0-0", from);
                assert!(busiest <= allowed(limit), "{case}: {busiest}");
                let total: f64 = (0..daemons).map(demand).sum();
                let used = bench.arrivals("s0-0", from) as f64 / 12.0;
                // Half of the requests would go to each of the two replicas.
                let expected = limit.min(total / 2.0) * USED_SHARE - 0.5;
                assert!(used >= expected, "{case}: {used} a second");
            }
        }
    }
}

/// Guards against the same with far more daemons than the limit has requests.
#[test]
fn the_limit_holds_over_many_daemons() {
    for limit in [0.5, 4.0, 20.0, 90.0] {
        let mut bench = LimitBench::new(60, single(), 2);
        bench.set_limit("s0-0", limited(limit));
        let from = bench.now + SETTLE_PERIOD;
        for round in 0..8 {
            bench.set_rates(|daemon| match (round % 4, daemon % 6) {
                (0, _) => 4.0,
                (1, 0) => 30.0,
                (2, 1 | 2) => 20.0,
                _ => 0.0,
            });
            bench.advance(Duration::from_secs(3));
        }
        let busiest = bench.busiest_span("s0-0", from);
        assert!(busiest <= allowed(limit), "limit {limit}: {busiest}");
    }
}

/// Guards against shares that follow the demand too late, or add up to too much while they do: the
/// demand moves from daemon to daemon, and from none to all at once.
#[test]
fn shares_follow_a_demand_that_moves() {
    let mut bench = LimitBench::new(8, single(), 2);
    bench.set_limit("s0-0", limited(30.0));
    bench.set_rates(|_| 1.0);
    bench.advance(SETTLE_PERIOD);
    let from = bench.now;
    for round in 0..12 {
        bench.set_rates(|daemon| match round % 3 {
            0 if daemon == round % 8 => 200.0,
            1 => 0.0,
            2 => 50.0,
            _ => 0.0,
        });
        bench.advance(ms(1_000));
        let since = bench.now;
        bench.advance(ms(1_000));
        let used = bench.arrivals("s0-0", since) as f64;
        assert!(
            round % 3 == 1 || used >= 20.0,
            "round {round}: {used} a second"
        );
    }
    let busiest = bench.busiest_span("s0-0", from);
    assert!(busiest <= allowed(30.0), "{busiest}");
}

/// Guards against shares that add up to too much while daemons restart, join late, freeze, or are cut
/// off from all others, and against a share that is lost with them.
#[test]
fn the_limit_holds_while_daemons_come_and_go() {
    let mut bench = LimitBench::new(6, single(), 2);
    bench.set_limit("s0-0", limited(24.0));
    bench.set_rates(|_| 20.0);
    bench.advance(SETTLE_PERIOD);
    let from = bench.now;
    bench.freeze(1, true);
    bench.advance(Duration::from_secs(3));
    bench.freeze(1, false);
    bench.advance(Duration::from_secs(2));
    bench.cut(&[2, 3]);
    bench.advance(Duration::from_secs(5));
    bench.cut(&[]);
    bench.advance(Duration::from_secs(2));
    bench.restart(4);
    bench.advance(Duration::from_secs(3));
    bench.add_daemon();
    bench.set_rates(|_| 20.0);
    bench.advance(Duration::from_secs(4));
    let busiest = bench.busiest_span("s0-0", from);
    assert!(busiest <= allowed(24.0), "{busiest}");
    // A daemon that has left keeps its base share for ten seconds, since it may only be cut off.
    bench.remove_daemon(5);
    for (pause, share) in [(2, 6.0 / 7.0), (11, 1.0)] {
        bench.advance(Duration::from_secs(pause));
        let since = bench.now;
        bench.advance(Duration::from_secs(4));
        let used = bench.arrivals("s0-0", since) as f64 / 4.0;
        assert!(used >= 24.0 * share * USED_SHARE, "{used} a second");
    }
}

/// Guards against retries and hedges that are not counted.
#[test]
fn retries_and_hedges_count() {
    let mut bench = LimitBench::new(4, single(), 3);
    for replica in ["s0-0", "s0-1", "s0-2"] {
        bench.set_limit(replica, limited(12.0));
    }
    bench.set_status("s0-0", 500);
    bench.set_delay("s0-1", ms(120));
    bench.set_rates(|_| 30.0);
    bench.advance(SETTLE_PERIOD);
    let from = bench.now;
    bench.advance(Duration::from_secs(10));
    for replica in ["s0-0", "s0-1", "s0-2"] {
        let busiest = bench.busiest_span(replica, from);
        assert!(busiest <= allowed(12.0), "{replica}: {busiest}");
    }
    assert!(bench.extras > 0, "no retry or hedge was sent");
}

/// Guards against a limit that stays after the replica has stopped naming it, or is changed late.
#[test]
fn a_limit_changes_and_ends_at_once() {
    let mut bench = LimitBench::new(4, single(), 2);
    bench.set_limit("s0-0", limited(10.0));
    bench.set_rates(|_| 40.0);
    bench.advance(SETTLE_PERIOD);
    for (limit, least, most) in [(40.0, 30.0, 50.0), (5.0, 3.0, 7.5)] {
        bench.set_limit("s0-0", limited(limit));
        bench.advance(ms(600));
        let since = bench.now;
        bench.advance(Duration::from_secs(4));
        let used = bench.arrivals("s0-0", since) as f64 / 4.0;
        assert!(
            (least..=most).contains(&used),
            "limit {limit}: {used} a second"
        );
    }
    bench.set_limit("s0-0", LimitStatement::Unlimited);
    bench.advance(ms(1_000));
    let since = bench.now;
    bench.advance(Duration::from_secs(2));
    let used = bench.arrivals("s0-0", since) as f64 / 2.0;
    assert!(used > 60.0, "{used} a second after the end of the limit");
}

/// Guards against a late reply, such as one to a hedge, that takes back what a newer one has said.
#[test]
fn a_late_reply_does_not_take_back_a_limit() {
    let mut bench = LimitBench::new(1, single(), 1);
    let late: Vec<_> = (0..3).map(|_| bench.arrive(0).1).collect();
    let newer = bench.arrive_after(0, ms(5));
    bench.now = bench.now + ms(5);
    bench.reply(0, newer, limited(10.0));
    assert_eq!(bench.limits(0), [10.0]);
    let statements = [
        (LimitStatement::Unlimited, 10.0),
        (limited(50.0), 10.0),
        (limited(6.0), 6.0),
    ];
    for (attempt, (statement, expected)) in late.into_iter().zip(statements) {
        bench.now = bench.now + ms(1);
        bench.reply(0, attempt, statement);
        assert_eq!(bench.limits(0), [expected]);
    }
}

/// Guards against a daemon that grants everyone the whole limit because it takes the limit for ended,
/// while a newer reply has named it again.
#[test]
fn a_daemon_that_takes_a_limit_for_ended_grants_no_share() {
    let mut bench = LimitBench::new(2, single(), 1);
    let attempt = bench.arrive(0).1;
    bench.reply(0, attempt, limited(10.0));
    bench.report(0, None, 1.0);
    assert_eq!((bench.limits(0), bench.shares(0)), (vec![10.0], vec![5.0]));
    bench.report(0, RequestRate::new(10.0).ok(), 0.7);
    assert_eq!(bench.shares(0), [7.0]);
}

/// Guards against values that are no rate: they change nothing and are logged.
#[test]
fn an_unreadable_limit_changes_nothing_and_is_logged() {
    let mut bench = LimitBench::new(1, single(), 1);
    let unreadable = LimitStatement::Unreadable("1e30".into());
    let attempt = bench.arrive(0).1;
    bench.reply(0, attempt, unreadable.clone());
    assert!(bench.limits(0).is_empty());
    let attempt = bench.arrive(0).1;
    bench.reply(0, attempt, limited(7.0));
    bench.advance(ms(1_000));
    let attempt = bench.arrive(0).1;
    bench.reply(0, attempt, unreadable);
    assert_eq!(bench.limits(0), [7.0]);
    let logged = bench.logged.iter();
    let unreadable = logged.filter(|event| matches!(event, LoggedEvent::LimitUnreadable { .. }));
    assert_eq!(unreadable.count(), 2);
}

/// Guards against a replica that names zero and is never asked again: a request now and then finds
/// out whether it still does.
#[test]
fn a_limit_of_zero_holds_and_its_end_is_noticed() {
    let mut bench = LimitBench::new(4, single(), 2);
    bench.set_limit("s0-0", limited(0.0));
    bench.set_rates(|_| 20.0);
    bench.advance(SETTLE_PERIOD);
    let from = bench.now;
    bench.advance(Duration::from_secs(20));
    let busiest = bench.busiest_span("s0-0", from);
    assert!(busiest <= allowed(0.0), "{busiest}");
    bench.set_limit("s0-0", LimitStatement::Unlimited);
    bench.advance(Duration::from_secs(10));
    let since = bench.now;
    bench.advance(Duration::from_secs(2));
    let used = bench.arrivals("s0-0", since) as f64 / 2.0;
    assert!(used > 30.0, "{used} a second after the end of the limit");
}

/// Guards against a limit that outlives its replica: it starts anew under the same name, or its
/// address goes to a replica of another service.
#[test]
fn a_replica_that_starts_anew_has_no_limit() {
    let mut bench = LimitBench::new(2, single(), 1);
    bench.set_limit("s0-0", limited(2.0));
    bench.set_rates(|_| 10.0);
    bench.advance(SETTLE_PERIOD);
    assert_eq!(bench.limits(0), [2.0]);
    bench.set_limit("s0-0", LimitStatement::Unlimited);
    bench.list("s0-0", "s0", 2);
    assert!(bench.limits(0).is_empty() && bench.limits(1).is_empty());
    let since = bench.now;
    bench.advance(Duration::from_secs(2));
    assert!(bench.arrivals("s0-0", since) >= 30);
    bench.set_limit("s0-0", limited(2.0));
    bench.advance(ms(500));
    bench.set_limit("s0-0", LimitStatement::Unlimited);
    bench.list("s0-0", "other", 2);
    bench.advance(ms(500));
    assert!(bench.limits(0).is_empty() && bench.limits(1).is_empty());
}

/// Guards against a gather that waits for, or fails with, a shard whose replicas have reached their
/// limits, where its share of the shards allows an answer without it.
#[test]
fn a_gather_answers_without_a_shard_that_has_reached_its_limits() {
    let mut bench = LimitBench::new(2, gather(4, 0.7), 1);
    bench.set_limit("s2-0", limited(5.0));
    bench.set_rates(|_| 20.0);
    bench.advance(SETTLE_PERIOD);
    bench.answers.clear();
    let from = bench.now;
    bench.advance(Duration::from_secs(5));
    let busiest = bench.busiest_span("s2-0", from);
    assert!(busiest <= allowed(5.0), "{busiest}");
    assert!(bench.answers.len() > 150);
    let mut missing = [0; 4];
    for (_, answer, age) in &bench.answers {
        let ForwardAnswer::Merged { missing: parts, .. } = answer else {
            panic!("{answer:?}");
        };
        missing[*parts] += 1;
        assert!(*age < ms(150), "{age:?}");
    }
    assert!(
        missing[0] > 0 && missing[1] > 100 && missing[2] == 0,
        "{missing:?}"
    );
}

/// Guards against a request that waits past its deadline or is refused late: what can't be served is
/// refused at once, with the time at which the limit leaves room, and what can be served waits for less
/// than half of the time until its goal.
#[test]
fn what_does_not_fit_is_refused_at_once() {
    for target in [single(), gather(3, 1.0)] {
        let mut bench = LimitBench::new(3, target, 1);
        bench.set_limit("s0-0", limited(12.0));
        bench.set_rates(|_| 25.0);
        bench.advance(SETTLE_PERIOD);
        bench.answers.clear();
        let from = bench.now;
        bench.advance(Duration::from_secs(6));
        let mut served = 0;
        for (_, answer, age) in &bench.answers {
            match answer {
                ForwardAnswer::NotRun {
                    reason,
                    retry_after,
                } => {
                    assert_eq!(*reason, RefusalReason::Limited);
                    assert!(
                        *retry_after >= ms(50) && *retry_after <= ms(5_000),
                        "{retry_after:?}"
                    );
                    assert!(*age < ms(5), "refused after {age:?}");
                }
                ForwardAnswer::Relayed { .. } | ForwardAnswer::Merged { .. } => {
                    served += 1;
                    assert!(*age < ms(150), "served after {age:?}");
                }
                ForwardAnswer::Failed { .. } | ForwardAnswer::Declined { .. } => {
                    panic!("{answer:?}")
                }
            }
        }
        assert!(
            f64::from(served) >= 12.0 * 6.0 * USED_SHARE,
            "{served} served"
        );
        assert!(bench.busiest_span("s0-0", from) <= allowed(12.0));
        let logged = bench.logged.iter();
        let mut held_back = logged.filter_map(|event| match event {
            LoggedEvent::RequestHeldBack { outcome, .. } => Some(*outcome),
            _ => None,
        });
        assert!(held_back.any(|outcome| outcome == "refused"));
    }
}
