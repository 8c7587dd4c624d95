//! Ejection by own observation, its floor, and the way back.

mod replicas_fixture;

use policy::{
    engine::{
        AttemptFailure,
        EngineNote, //
    },
    replicas::{
        AttemptEnding,
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
    PoolBench,
    PoolShape,
    SETTLED, //
};
use schema::{
    KeySpan,
    TimePoint,
    VmName, //
};

fn ejected(bench: &PoolBench) -> Vec<VmName> {
    let mut out = Vec::new();
    for note in &bench.notes {
        match note {
            EngineNote::ReplicaEjected { vm } => out.push(vm.clone()),
            EngineNote::ReplicaRestored { vm } => out.retain(|other| other != vm),
            _ => {}
        }
    }
    out
}

#[test]
fn faults_in_a_row_that_eject() {
    let cancelled = AttemptEnding::Cancelled { latency: ms(200) };
    let brief = AttemptEnding::Cancelled { latency: ms(12) };
    let table = [
        (failed(AttemptFailure::ConnectFailed), Some(2)),
        (failed(AttemptFailure::BrokeBefore), Some(3)),
        (failed(AttemptFailure::BrokeAfter), Some(3)),
        (failed(AttemptFailure::BadReply), Some(3)),
        (failed(AttemptFailure::RanFailed), Some(10)),
        (replied(200), Some(3)),
        (replied(80), Some(5)),
        (cancelled, Some(3)),
        (brief, None),
        (replied(30), None),
        (failed(AttemptFailure::Shed), None),
        (failed(AttemptFailure::Late), None),
        (failed(AttemptFailure::SnapshotGone), None),
        (failed(AttemptFailure::RangeGone), None),
    ];
    for (ending, expected) in table {
        let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
        bench.settle();
        let mut count = None;
        for place in 1..40 {
            bench.pool.begin(SETTLED, &vm(0, 0));
            bench.end(SETTLED, &vm(0, 0), ending);
            if count.is_none() && ejected(&bench).contains(&vm(0, 0)) {
                count = Some(place);
            }
        }
        assert_eq!(count, expected, "{ending:?}");
    }
}

#[test]
fn a_slow_replica_loses_its_work() {
    let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
    let slow = |vm_asked: &VmName| {
        let millis = if *vm_asked == vm(0, 0) { 200 } else { 10 };
        replied(millis)
    };
    let mut slow_picks = 0;
    for step in 0..2_000 {
        let now = SETTLED + ms(5 * step);
        let picked = bench.run(now, slow);
        slow_picks += u32::from(picked == Some(vm(0, 0)));
    }
    assert!(slow_picks < 40, "{slow_picks} of 2000");
    assert!(slow_picks > 5, "{slow_picks} of 2000");
}

#[test]
fn stragglers_everywhere_eject_nobody() {
    let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
    for step in 0_u64..5_000 {
        let straggles = step.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0x3f == 0;
        let millis = if straggles { 100 } else { 10 };
        bench.run(SETTLED + ms(step), |_| replied(millis));
    }
    assert_eq!(ejected(&bench), []);
}

#[test]
fn one_probe_at_a_time_then_a_ramp() {
    let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
    bench.settle();
    for _ in 0..2 {
        bench.pool.begin(SETTLED, &vm(0, 0));
        bench.end(SETTLED, &vm(0, 0), failed(AttemptFailure::ConnectFailed));
    }
    assert_eq!(ejected(&bench), [vm(0, 0)]);
    let soon = bench.spread(SETTLED + ms(1_400), 300);
    assert_eq!(soon[0].1, 0, "{soon:?}");
    assert!(bench.pool.next_wakeup() <= SETTLED + ms(2_500));
    let back = SETTLED + ms(2_600);
    assert_eq!(bench.pick(back).unwrap().vm, vm(0, 0));
    bench.pool.begin(back, &vm(0, 0));
    for _ in 0..20 {
        assert_ne!(bench.pick(back).unwrap().vm, vm(0, 0));
    }
    bench.end(back, &vm(0, 0), replied(10));
    assert_eq!(ejected(&bench), []);
    let cold = bench.spread(back + ms(100), 600);
    let warm = bench.spread(back + ms(9_000), 600);
    assert!(cold[0].1 < 60, "{cold:?}");
    assert!(warm[0].1 > 150, "{warm:?}");
}

#[test]
fn a_new_vm_starts_cold_and_a_daemon_start_does_not() {
    let shape = PoolShape::default();
    let mut bench = PoolBench::new("d0", shape, 1);
    let first = bench.spread(SETTLED, 600);
    assert!(first.iter().all(|(_, count)| *count > 150), "{first:?}");
    let mut list = placement(shape, 1);
    list.push(placed(0, 3, 1));
    bench.shape.replicas = 4;
    bench.pool.apply_placement(SETTLED, &list, &mut bench.notes);
    let cold = bench.spread(SETTLED + ms(100), 800);
    assert!(cold[3].1 < 60 && cold[3].1 > 0, "{cold:?}");
}

#[test]
fn the_list_does_not_bring_an_ejected_one_back() {
    let shape = PoolShape::default();
    let mut bench = PoolBench::new("d0", shape, 1);
    for _ in 0..2 {
        bench.pool.begin(SETTLED, &vm(0, 0));
        bench.end(SETTLED, &vm(0, 0), failed(AttemptFailure::ConnectFailed));
    }
    let list = placement(shape, 1);
    let without: Vec<_> = list
        .iter()
        .filter(|one| one.vm != vm(0, 0))
        .cloned()
        .collect();
    bench
        .pool
        .apply_placement(SETTLED, &without, &mut bench.notes);
    bench.pool.apply_placement(SETTLED, &list, &mut bench.notes);
    bench.pool.apply_placement(SETTLED, &[], &mut bench.notes);
    let spread = bench.spread(SETTLED + ms(100), 100);
    assert_eq!(spread[0].1, 0);
    assert_eq!(spread[1].1 + spread[2].1, 100);
}

#[test]
fn the_last_replica_is_used_however_it_fares() {
    let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
    let span = KeySpan::new(0, 100).unwrap();
    let mut now = SETTLED;
    for _ in 0..200 {
        now = now + ms(20);
        let PickResult::Picked(picked) = bench.pick_as(now, span, &[]) else {
            panic!("no replica at {now}");
        };
        bench.pool.begin(now, &picked.vm);
        bench.end(now, &picked.vm, failed(AttemptFailure::ConnectFailed));
    }
    assert_eq!(ejected(&bench).len(), 1);
    assert!(bench.pool.views(now, &group()).len() >= 4);
}

/// When each of eight daemons gives the same ejected replica its first probe.
fn returns() -> Vec<TimePoint> {
    let mut returns = Vec::new();
    for daemon in 0..8 {
        let mut bench = PoolBench::new(&format!("d{daemon}"), PoolShape::default(), 1);
        for _ in 0..2 {
            bench.pool.begin(SETTLED, &vm(0, 0));
            bench.end(SETTLED, &vm(0, 0), failed(AttemptFailure::ConnectFailed));
        }
        let mut now = SETTLED;
        while bench.pick(now).map(|picked| picked.vm) != Some(vm(0, 0)) {
            now = now + ms(10);
        }
        returns.push(now);
    }
    returns
}

#[test]
fn daemons_return_apart_and_repeatably() {
    let first = returns();
    let mut sorted = first.clone();
    sorted.sort();
    let spread = sorted[7].since(sorted[0]);
    assert!(spread > ms(400), "{spread:?}");
    for window in sorted.windows(4) {
        assert!(window[3].since(window[0]) > ms(20), "{sorted:?}");
    }
    assert_eq!(first, returns());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever replicas do, at most half of a shard is out and a pick always finds a replica.
    #[test]
    fn floor(steps in prop::collection::vec((0_u32..8, 0_u32..4, 0_usize..5), 50..400)) {
        let shape = PoolShape { replicas: 4, ..PoolShape::default() };
        let mut bench = PoolBench::new("d0", shape, 1);
        bench.settle();
        let endings = [
            replied(10),
            replied(300),
            failed(AttemptFailure::ConnectFailed),
            failed(AttemptFailure::BrokeAfter),
            failed(AttemptFailure::RanFailed),
        ];
        let mut now = SETTLED;
        for (pause, replica, ending) in steps {
            now = now + ms(u64::from(pause) * 40);
            bench.pool.begin(now, &vm(0, replica));
            bench.end(now, &vm(0, replica), endings[ending]);
            prop_assert!(ejected(&bench).len() <= 2);
            prop_assert!(bench.pick(now).is_some());
        }
    }
}
