//! Sends of a request that crashes its replicas, counted as the platform counts them: each arrival at
//! a replica later than the settle period after the third replica has ended, over all daemons.

#![allow(clippy::unwrap_used)]

mod crash_bench;
mod forward_kit;

use std::time::Duration;

use crash_bench::{
    identity,
    single,
    CrashBench,
    SendCount, //
};
use forward_kit::{
    gather,
    ms, //
};
use policy::forward::{
    ForwardEvent,
    ProbeOutcome, //
};
use schema::RouteTarget;

/// Sends after the settle period that the platform allows.
const LATE_SENDS_MAX: usize = 3;

/// Guards against a trial by each daemon at the end of a refusal.
#[test]
fn the_end_of_a_refusal_lets_one_request_through_in_the_whole_fleet() {
    for daemons in [8, 91] {
        let mut bench = CrashBench::new(daemons, single(), 40);
        let mut count = SendCount::default();
        let (rounds, pause) = if daemons > 8 {
            (40, 18_000)
        } else {
            (240, 3_000)
        };
        for _ in 0..rounds {
            let asked: Vec<usize> = (0..8).map(|number| number * (daemons / 8)).collect();
            count.arrive(&mut bench, &asked, |daemon| {
                identity("/p", daemon as u8 % 4)
            });
            bench.advance(ms(pause));
        }
        assert!(count.late_sends <= LATE_SENDS_MAX, "{daemons}: {count:?}");
    }
}

/// Guards against a count that stays low because the shards of a query crash together: the next
/// arrival was sent to all of them at once.
#[test]
fn crashes_that_come_together_are_no_licence_for_late_sends() {
    let pauses = [2_000, 4_500, 7_000];
    for pause in pauses {
        let mut bench = CrashBench::new(8, gather(10, 0.89), 40);
        let mut count = SendCount::default();
        for retry in 0..20 {
            count.arrive(&mut bench, &[retry % 8], |_| identity("/all", 1));
            bench.advance(ms(pause));
        }
        assert!(count.late_sends <= LATE_SENDS_MAX, "{pause}: {count:?}");
    }
}

/// Plays ten minutes in which a request that crashes its replicas comes from several callers at random
/// daemons, beside harmless requests.
fn play(seed: u64, daemons: usize, target: RouteTarget) -> (SendCount, usize, usize) {
    let mut bench = CrashBench::new(daemons, target, 40);
    let mut count = SendCount::default();
    let mut state = seed;
    let mut draw = |below: u64| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    };
    let (mut asked, mut served) = (0, 0);
    let end = bench.now + Duration::from_secs(600);
    while bench.now < end {
        let daemon = draw(daemons as u64) as usize;
        if draw(3) == 0 {
            let caller = draw(3) as u8;
            count.arrive(&mut bench, &[daemon], |_| identity("/p", caller));
        } else {
            let query = bench.arrive(
                daemon,
                identity(&format!("/{}", draw(1 << 30)), draw(9) as u8),
            );
            bench.serve(query);
            asked += 1;
            served += usize::from(bench.is_served(query));
        }
        bench.advance(ms(50 + draw(3_000)));
    }
    (count, asked, served)
}

/// Guards against late sends in any order of arrivals: compares the daemons with a count of what the
/// replicas saw.
#[test]
fn late_sends_stay_within_the_limit_for_ten_minutes() {
    let fleets = [(8, single(), 6), (8, gather(10, 0.8), 6), (91, single(), 1)];
    for (daemons, target, seeds) in fleets {
        for seed in 1..=seeds {
            let (count, asked, served) = play(seed, daemons, target.clone());
            assert!(
                count.late_sends <= LATE_SENDS_MAX,
                "seed {seed}, {daemons}: {count:?}"
            );
            assert_eq!(served, asked, "harmless requests, seed {seed}, {daemons}");
        }
    }
}

/// Crashes three replicas under the request of one caller, and lets the daemons refuse it.
fn refused(daemons: usize, target: RouteTarget) -> (CrashBench, SendCount) {
    let mut bench = CrashBench::new(daemons, target, 40);
    let mut count = SendCount::default();
    for retry in 0..3 {
        count.arrive(&mut bench, &[retry % daemons], |_| identity("/p", 1));
        bench.advance(ms(1_000));
    }
    bench.advance(ms(5_000));
    (bench, count)
}

/// Guards against a trial by each part of a fleet that is cut in two, where both reach the store.
#[test]
fn daemons_that_are_cut_off_from_each_other_share_the_trials() {
    let (mut bench, mut count) = refused(8, single());
    bench.cut_off = vec![4, 5, 6, 7];
    for _ in 0..400 {
        count.arrive(&mut bench, &[0, 4, 5, 6, 7], |_| identity("/p", 1));
        bench.advance(ms(2_000));
    }
    assert!(count.late_sends <= LATE_SENDS_MAX, "{count:?}");
}

/// Guards against a count that starts anew with each daemon that is replaced, or when all lose power at
/// once, in the middle of a trial too.
#[test]
fn daemons_that_are_replaced_keep_the_limit() {
    for at_once in [false, true] {
        let (mut bench, mut count) = refused(4, single());
        for round in 0..200 {
            let daemon = round % 4;
            if at_once && round % 20 == 7 {
                bench.restart_daemons(single(), 40);
            } else if !at_once && round % 5 == 2 {
                bench.replace_daemon(daemon, single(), 40);
            }
            count.arrive(&mut bench, &[daemon], |_| identity("/p", 1));
            bench.advance(ms(4_500));
        }
        assert!(count.late_sends <= LATE_SENDS_MAX, "{at_once}: {count:?}");
    }
}

/// Guards against a second trial beside one whose daemon has died before it knew the outcome.
#[test]
fn a_trial_whose_daemon_dies_is_spent() {
    let (mut bench, _) = refused(4, single());
    bench.advance(Duration::from_secs(60));
    let sends = bench.send_log.len();
    let tried = bench.arrive(0, identity("/p", 1));
    assert_eq!(bench.attempts_of(tried).len(), 1);
    bench.replace_daemon(0, single(), 40);
    for daemon in 0..4 {
        let other = bench.arrive(daemon, identity("/p", 1));
        assert!(bench.is_quarantined(other), "{daemon}");
    }
    assert_eq!(bench.send_log.len(), sends + 1);
}

/// Guards against trials that nobody counts: without the store there is none, and the caller is told
/// when to come back.
#[test]
fn there_is_no_trial_without_the_store() {
    let (mut bench, mut count) = refused(4, single());
    let late = count.late_sends;
    bench.without_store = vec![0, 1, 2, 3];
    for _ in 0..300 {
        count.arrive(&mut bench, &[0, 1, 2, 3], |_| identity("/p", 1));
        bench.advance(ms(2_500));
    }
    assert_eq!(count.late_sends, late, "{count:?}");
    let waiting = bench.arrive(0, identity("/p", 1));
    assert!(bench.is_quarantined(waiting));
    bench.without_store.clear();
    bench.advance(ms(1_000));
    let tried = bench.arrive(0, identity("/p", 1));
    assert_eq!(bench.attempts_of(tried).len(), 1);
}

/// Guards against the end of all service for a harmless query that ran on replicas which fell together: it
/// goes to one replica first, to all others as soon as that has answered, and is free from then on.
#[test]
fn a_harmless_query_is_free_again_after_one_reply() {
    let mut bench = CrashBench::new(3, gather(10, 0.89), 12);
    let query = bench.arrive(0, identity("/all", 1));
    let attempts = bench.attempts_of(query);
    bench.break_attempts(&attempts, ProbeOutcome::Refused);
    bench.notify(0, ForwardEvent::CallerGone { query });
    bench.advance(ms(5_000));
    assert_eq!(
        bench.store.len(),
        1,
        "it is refused, and the store knows it"
    );
    let again = bench.arrive(1, identity("/all", 1));
    let first = bench.attempts_of(again);
    assert_eq!(first.len(), 1);
    bench.serve_attempt(first[0].0, &first[0].1);
    assert_eq!(bench.attempts_of(again).len(), 9);
    bench.serve(again);
    assert!(bench.is_served(again));
    bench.advance(ms(100));
    assert!(bench.store.is_empty());
    for daemon in 0..3 {
        let free = bench.arrive(daemon, identity("/all", 1));
        assert_eq!(bench.attempts_of(free).len(), 10);
        bench.serve(free);
    }
}

/// Guards against the loss of most replicas to one query: the retries of its parts wait until another part
/// has been answered, or none is awaited.
#[test]
fn a_query_whose_parts_all_break_is_retried_on_one_replica() {
    let mut bench = CrashBench::new(1, gather(10, 0.89), 12);
    let mut count = SendCount::default();
    count.arrive(&mut bench, &[0], |_| identity("/all", 1));
    assert!(count.crashes <= 13, "{count:?}");
}

/// Guards against the loss of a replica of each shard to a query that several callers send at once: while it is
/// not clear what has ended the replicas, each of them may cost one.
#[test]
fn a_query_of_several_callers_ends_one_replica_for_each() {
    let mut bench = CrashBench::new(6, gather(10, 0.89), 12);
    let mut first = SendCount::default();
    first.arrive(&mut bench, &[0], |_| identity("/all", 1));
    let mut bench = CrashBench::new(6, gather(10, 0.89), 12);
    let query = bench.arrive(0, identity("/all", 1));
    let attempts = bench.attempts_of(query);
    bench.break_attempts(&attempts, ProbeOutcome::Refused);
    bench.advance(ms(200));
    let mut others = SendCount::default();
    others.arrive(&mut bench, &[1, 2, 3, 4, 5], |daemon| {
        identity("/all", daemon as u8 + 1)
    });
    // One for each caller, and one or two by which it becomes clear.
    assert!(others.crashes <= 7, "{others:?}");
}

/// Guards against a trial that is granted and not sent, because the store knows of a crash that this daemon
/// learns of with the grant.
#[test]
fn a_trial_is_sent_though_the_store_knows_more_crashes() {
    let (mut bench, _) = refused(2, single());
    bench.advance(Duration::from_secs(60));
    for notice in bench.store.values_mut() {
        notice.crashes += 1;
    }
    let tried = bench.arrive(0, identity("/p", 1));
    assert_eq!(bench.attempts_of(tried).len(), 1);
}
