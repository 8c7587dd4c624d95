//! Tests of the ejection of replicas: what ejects one, how many may be ejected, and how one
//! returns.

mod replicas_fixture;

use policy::{
    engine::{
        AttemptFailure,
        EngineNote, //
    },
    replicas::{
        AttemptOutcome,
        PickResult, //
    },
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use replicas_fixture::{
    failed,
    group,
    ms,
    placed,
    placement,
    replied,
    vm,
    PoolHarness,
    PoolShape,
    JOINED, //
};
use schema::{
    KeySpan,
    TimePoint,
    VmName, //
};

fn ejected_replicas(harness: &PoolHarness) -> Vec<VmName> {
    let mut ejected = Vec::new();
    for note in &harness.notes {
        match note {
            EngineNote::ReplicaEjected { vm } => ejected.push(vm.clone()),
            EngineNote::ReplicaRestored { vm } => ejected.retain(|other| other != vm),
            _ => {}
        }
    }
    ejected
}

#[test]
fn ejection_after_faults_in_a_row() {
    let cancelled = AttemptOutcome::Cancelled { latency: ms(200) };
    let short_cancelled = AttemptOutcome::Cancelled { latency: ms(12) };
    let cases = [
        (failed(AttemptFailure::ConnectFailed), Some(2)),
        (failed(AttemptFailure::BrokeBefore), Some(3)),
        (failed(AttemptFailure::BrokeAfter), Some(3)),
        (failed(AttemptFailure::BadReply), Some(3)),
        (failed(AttemptFailure::RanFailed), Some(10)),
        (replied(200), Some(3)),
        (replied(80), Some(5)),
        (cancelled, Some(3)),
        (short_cancelled, None),
        (replied(30), None),
        (failed(AttemptFailure::Shed), None),
        (failed(AttemptFailure::Late), None),
        (failed(AttemptFailure::SnapshotGone), None),
        (failed(AttemptFailure::RangeGone), None),
    ];
    for (outcome, expected) in cases {
        let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
        harness.set_median();
        let mut ejected_after = None;
        for attempt in 1..40 {
            harness.pool.begin_attempt(JOINED, &vm(0, 0));
            harness.finish(JOINED, &vm(0, 0), outcome);
            if ejected_after.is_none() && ejected_replicas(&harness).contains(&vm(0, 0)) {
                ejected_after = Some(attempt);
            }
        }
        assert_eq!(ejected_after, expected, "{outcome:?}");
    }
}

#[test]
fn a_slow_replica_gets_few_requests() {
    let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
    let slow = |picked_vm: &VmName| {
        let millis = if *picked_vm == vm(0, 0) { 200 } else { 10 };
        replied(millis)
    };
    let mut slow_picks = 0;
    for step in 0..2_000 {
        let now = JOINED + ms(5 * step);
        let picked = harness.run_attempt(now, slow);
        slow_picks += u32::from(picked == Some(vm(0, 0)));
    }
    assert!(slow_picks < 40, "{slow_picks} of 2000 picks");
    assert!(slow_picks > 5, "{slow_picks} of 2000 picks");
}

#[test]
fn stragglers_on_all_replicas_eject_none() {
    let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
    for step in 0_u64..5_000 {
        let is_straggler = step.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0x3f == 0;
        let millis = if is_straggler { 100 } else { 10 };
        harness.run_attempt(JOINED + ms(step), |_| replied(millis));
    }
    assert_eq!(ejected_replicas(&harness), []);
}

#[test]
fn one_probe_at_a_time_before_warm_up() {
    let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
    harness.set_median();
    for _ in 0..2 {
        harness.pool.begin_attempt(JOINED, &vm(0, 0));
        harness.finish(JOINED, &vm(0, 0), failed(AttemptFailure::ConnectFailed));
    }
    assert_eq!(ejected_replicas(&harness), [vm(0, 0)]);
    let during_ejection = harness.count_picks(JOINED + ms(1_400), 300);
    assert_eq!(during_ejection[0].1, 0, "{during_ejection:?}");
    assert!(harness.pool.next_wakeup() <= JOINED + ms(2_500));
    let probe_time = JOINED + ms(2_600);
    assert_eq!(harness.pick(probe_time).unwrap().vm, vm(0, 0));
    harness.pool.begin_attempt(probe_time, &vm(0, 0));
    for _ in 0..20 {
        assert_ne!(harness.pick(probe_time).unwrap().vm, vm(0, 0));
    }
    harness.finish(probe_time, &vm(0, 0), replied(10));
    assert_eq!(ejected_replicas(&harness), []);
    let cold = harness.count_picks(probe_time + ms(100), 600);
    let warm = harness.count_picks(probe_time + ms(9_000), 600);
    assert!(cold[0].1 < 60, "{cold:?}");
    assert!(warm[0].1 > 150, "{warm:?}");
}

#[test]
fn only_replicas_new_to_a_running_daemon_start_cold() {
    let shape = PoolShape::default();
    let mut harness = PoolHarness::new("d0", shape, 1);
    let first = harness.count_picks(JOINED, 600);
    assert!(first.iter().all(|(_, count)| *count > 150), "{first:?}");
    let mut list = placement(shape, 1);
    list.push(placed(0, 3, 1));
    harness.shape.replicas = 4;
    harness
        .pool
        .apply_placement(JOINED, &list, &mut harness.notes);
    let cold = harness.count_picks(JOINED + ms(100), 800);
    assert!(cold[3].1 < 60 && cold[3].1 > 0, "{cold:?}");
}

#[test]
fn a_new_list_does_not_restore_an_ejected_replica() {
    let shape = PoolShape::default();
    let mut harness = PoolHarness::new("d0", shape, 1);
    for _ in 0..2 {
        harness.pool.begin_attempt(JOINED, &vm(0, 0));
        harness.finish(JOINED, &vm(0, 0), failed(AttemptFailure::ConnectFailed));
    }
    let list = placement(shape, 1);
    let without: Vec<_> = list
        .iter()
        .filter(|placed| placed.vm != vm(0, 0))
        .cloned()
        .collect();
    harness
        .pool
        .apply_placement(JOINED, &without, &mut harness.notes);
    harness
        .pool
        .apply_placement(JOINED, &list, &mut harness.notes);
    harness
        .pool
        .apply_placement(JOINED, &[], &mut harness.notes);
    let counts = harness.count_picks(JOINED + ms(100), 100);
    assert_eq!(counts[0].1, 0);
    assert_eq!(counts[1].1 + counts[2].1, 100);
}

#[test]
fn the_last_replica_is_used_despite_failures() {
    let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
    let span = KeySpan::new(0, 100).unwrap();
    let mut now = JOINED;
    for _ in 0..200 {
        now = now + ms(20);
        let PickResult::Picked(picked) = harness.pick_span(now, span, &[]) else {
            panic!("no replica could be picked at {now}");
        };
        harness.pool.begin_attempt(now, &picked.vm);
        harness.finish(now, &picked.vm, failed(AttemptFailure::ConnectFailed));
    }
    assert_eq!(ejected_replicas(&harness).len(), 1);
    assert!(harness.pool.views(now, &group()).len() >= 4);
}

/// When each of eight daemons sends its first probe to the same ejected replica.
fn first_probe_times() -> Vec<TimePoint> {
    let mut first_probe_times = Vec::new();
    for daemon in 0..8 {
        let mut harness = PoolHarness::new(&format!("d{daemon}"), PoolShape::default(), 1);
        for _ in 0..2 {
            harness.pool.begin_attempt(JOINED, &vm(0, 0));
            harness.finish(JOINED, &vm(0, 0), failed(AttemptFailure::ConnectFailed));
        }
        let mut now = JOINED;
        while harness.pick(now).map(|picked| picked.vm) != Some(vm(0, 0)) {
            now = now + ms(10);
        }
        first_probe_times.push(now);
    }
    first_probe_times
}

#[test]
fn daemons_probe_at_different_but_repeatable_times() {
    let first = first_probe_times();
    let mut sorted = first.clone();
    sorted.sort();
    let spread = sorted[7].since(sorted[0]);
    assert!(spread > ms(400), "{spread:?}");
    for window in sorted.windows(4) {
        assert!(window[3].since(window[0]) > ms(20), "{sorted:?}");
    }
    assert_eq!(first, first_probe_times());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever the outcomes, at most half of a shard is ejected and a pick always finds a replica.
    #[test]
    fn at_most_half_of_a_shard_is_ejected(steps in prop::collection::vec((0_u32..8, 0_u32..4, 0_usize..5), 50..400)) {
        let shape = PoolShape { replicas: 4, ..PoolShape::default() };
        let mut harness = PoolHarness::new("d0", shape, 1);
        harness.set_median();
        let outcomes = [
            replied(10),
            replied(300),
            failed(AttemptFailure::ConnectFailed),
            failed(AttemptFailure::BrokeAfter),
            failed(AttemptFailure::RanFailed),
        ];
        let mut now = JOINED;
        for (pause, replica, outcome) in steps {
            now = now + ms(u64::from(pause) * 40);
            harness.pool.begin_attempt(now, &vm(0, replica));
            harness.finish(now, &vm(0, replica), outcomes[outcome]);
            prop_assert!(ejected_replicas(&harness).len() <= 2);
            prop_assert!(harness.pick(now).is_some());
        }
    }
}
