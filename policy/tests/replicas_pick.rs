//! The choice of a replica.

mod replicas_fixture;

use policy::{
    engine::{
        AttemptFailure,
        QueryReason,
        ReplicaLoad, //
    },
    replicas::{
        PickQuery,
        PickResult, //
    },
};
use replicas_fixture::{
    failed,
    group,
    ms,
    replied,
    vm,
    PoolBench,
    PoolShape,
    SETTLED, //
};
use schema::{
    KeySpan,
    SnapshotId,
    SpanSet, //
};

fn load(running: u32, queued: u32, snapshots: &[u64], spans: &[u32]) -> ReplicaLoad {
    ReplicaLoad {
        running,
        queued,
        slots: 2,
        draining: false,
        snapshots: snapshots.iter().copied().map(SnapshotId).collect(),
        serves: SpanSet::from_pairs(spans).unwrap_or_default(),
    }
}

#[test]
fn own_data_centre_first_then_others_in_time() {
    let mut bench = PoolBench::new("d0", PoolShape::default(), 3);
    for _ in 0..2 {
        let picked = bench.pick(SETTLED).unwrap();
        assert_eq!(picked.vm, vm(0, 0));
        assert_eq!(picked.connections, 2);
        bench.pool.begin(SETTLED, &picked.vm);
    }
    let other = bench.pick(SETTLED).unwrap().vm;
    assert_ne!(other, vm(0, 0));
    let group = group();
    let mut want = PickQuery {
        group: &group,
        span: KeySpan::new(0, 100).unwrap(),
        snapshot: SnapshotId(0),
        avoid: &[],
        deadline: SETTLED + ms(15),
        pair: None,
    };
    assert_eq!(bench.pool.pick(SETTLED, &want), PickResult::Busy);
    let avoid = [vm(0, 0)];
    want.avoid = &avoid;
    let late = PickResult::Missing(QueryReason::Deadline);
    assert_eq!(bench.pool.pick(SETTLED, &want), late);
}

#[test]
fn busy_until_a_finish() {
    let shape = PoolShape::default();
    let mut bench = PoolBench::new("d0", shape, 1);
    let mut begun = Vec::new();
    while let Some(picked) = bench.pick(SETTLED) {
        bench.pool.begin(SETTLED, &picked.vm);
        begun.push(picked.vm);
    }
    assert_eq!(begun.len(), 6);
    bench.end(SETTLED, &begun[3].clone(), replied(5));
    assert_eq!(bench.pick(SETTLED).unwrap().vm, begun[3]);
}

#[test]
fn less_work_wins_while_the_report_is_fresh() {
    let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
    for replica in 0..3 {
        let queued = if replica == 1 { 1 } else { 8 };
        bench.reply(
            SETTLED,
            &vm(0, replica),
            &load(2, queued, &[1], &[0, 32768]),
        );
    }
    let fresh = bench.spread(SETTLED + ms(1), 300);
    let stale = bench.spread(SETTLED + ms(700), 300);
    assert!(fresh[1].1 > 170, "{fresh:?}");
    assert!(stale[1].1 < 140, "{stale:?}");
}

#[test]
fn a_shed_reply_halves_the_limit() {
    let mut bench = PoolBench::new(
        "d0",
        PoolShape {
            connections: 100,
            ..PoolShape::default()
        },
        1,
    );
    let at = vm(0, 0);
    let others = [vm(0, 1), vm(0, 2)];
    let room = |bench: &mut PoolBench, now| {
        let mut begun = 0;
        let span = KeySpan::new(0, 100).unwrap();
        while let PickResult::Picked(picked) = bench.pick_as(now, span, &others) {
            bench.pool.begin(now, &picked.vm);
            begun += 1;
        }
        for _ in 0..begun {
            bench.end(now, &at, failed(AttemptFailure::SnapshotGone));
        }
        begun
    };
    assert_eq!(room(&mut bench, SETTLED), 9);
    for _ in 0..20 {
        bench.pool.begin(SETTLED, &at);
        bench.end(SETTLED, &at, replied(10));
    }
    let mut now = SETTLED;
    for expected in [4, 2, 1, 1] {
        now = now + ms(50);
        bench.pool.begin(now, &at);
        bench.end(now, &at, failed(AttemptFailure::Shed));
        assert_eq!(room(&mut bench, now), expected);
    }
}

#[test]
fn reported_spans_and_snapshots_decide() {
    let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
    let all = KeySpan::ALL;
    let first = |bench: &mut PoolBench, span| match bench.pick_as(SETTLED, span, &[]) {
        PickResult::Picked(picked) => Ok(picked.span),
        PickResult::Missing(reason) => Err(reason),
        PickResult::Busy => Err(QueryReason::Overload),
    };
    assert_eq!(first(&mut bench, all), Ok(KeySpan::new(0, 32768).unwrap()));
    // The shard splits: its replicas now hold keys up to 1000, the other shard's the rest.
    for replica in 0..3 {
        bench.reply(SETTLED, &vm(0, replica), &load(0, 0, &[3, 4], &[0, 1000]));
        bench.reply(SETTLED, &vm(1, replica), &load(0, 0, &[4], &[2000, 65536]));
    }
    assert_eq!(first(&mut bench, all), Ok(KeySpan::new(0, 1000).unwrap()));
    let rest = KeySpan::new(1000, 65536).unwrap();
    assert_eq!(
        first(&mut bench, rest),
        Ok(KeySpan::new(2000, 65536).unwrap())
    );
    let views = bench.pool.views(SETTLED, &group());
    assert_eq!(views.len(), 6);
    assert_eq!(
        views[0].snapshots.as_slice(),
        [SnapshotId(3), SnapshotId(4)]
    );
    let group = group();
    let mut want = PickQuery {
        group: &group,
        span: rest,
        snapshot: SnapshotId(3),
        avoid: &[],
        deadline: SETTLED + ms(500),
        pair: None,
    };
    let gone = PickResult::Missing(QueryReason::SnapshotGone);
    assert_eq!(bench.pool.pick(SETTLED, &want), gone);
    want.span = KeySpan::new(0, 10).unwrap();
    assert!(matches!(
        bench.pool.pick(SETTLED, &want),
        PickResult::Picked(_)
    ));
}

#[test]
fn unknown_group() {
    let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
    let group = "nobody".parse().unwrap();
    let want = PickQuery {
        group: &group,
        span: KeySpan::ALL,
        snapshot: SnapshotId(0),
        avoid: &[],
        deadline: SETTLED + ms(500),
        pair: None,
    };
    let unknown = PickResult::Missing(QueryReason::UnknownGroup);
    assert_eq!(bench.pool.pick(SETTLED, &want), unknown);
}

#[test]
fn a_request_out_for_long_sends_the_next_elsewhere() {
    let mut bench = PoolBench::new("d0", PoolShape::default(), 3);
    let first = bench.pick(SETTLED).unwrap().vm;
    assert_eq!(first, vm(0, 0));
    bench.pool.begin(SETTLED, &first);
    assert_eq!(bench.pick(SETTLED + ms(5)).unwrap().vm, vm(0, 0));
    assert_ne!(bench.pick(SETTLED + ms(60)).unwrap().vm, vm(0, 0));
    bench.end(SETTLED + ms(60), &first, replied(60));
    assert_eq!(bench.pick(SETTLED + ms(2_000)).unwrap().vm, vm(0, 0));
}
