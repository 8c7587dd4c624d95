//! Tests of the choice of a replica.

mod replicas_fixture;

use policy::{
    engine::{
        AttemptFailure,
        QueryReason,
        ReplicaLoad, //
    },
    replicas::{
        PickCriteria,
        PickResult, //
    },
};
use replicas_fixture::{
    failed,
    group,
    ms,
    replied,
    vm,
    PoolHarness,
    PoolShape,
    JOINED, //
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
fn other_data_centres_are_used_if_the_deadline_allows() {
    let mut harness = PoolHarness::new("d0", PoolShape::default(), 3);
    for _ in 0..2 {
        let picked = harness.pick(JOINED).unwrap();
        assert_eq!(picked.vm, vm(0, 0));
        assert_eq!(picked.connections, 2);
        harness.pool.begin_attempt(JOINED, &picked.vm);
    }
    let other = harness.pick(JOINED).unwrap().vm;
    assert_ne!(other, vm(0, 0));
    let group = group();
    let mut criteria = PickCriteria {
        group: &group,
        span: KeySpan::new(0, 100).unwrap(),
        snapshot: SnapshotId(0),
        avoid: &[],
        deadline: JOINED + ms(15),
        unproven: None,
    };
    assert_eq!(harness.pool.pick(JOINED, &criteria), PickResult::Busy);
    let avoid = [vm(0, 0)];
    criteria.avoid = &avoid;
    let deadline_missed = PickResult::NoReplica(QueryReason::Deadline);
    assert_eq!(harness.pool.pick(JOINED, &criteria), deadline_missed);
}

#[test]
fn a_full_pool_is_busy_until_an_attempt_finishes() {
    let shape = PoolShape::default();
    let mut harness = PoolHarness::new("d0", shape, 1);
    let mut sent = Vec::new();
    while let Some(picked) = harness.pick(JOINED) {
        harness.pool.begin_attempt(JOINED, &picked.vm);
        sent.push(picked.vm);
    }
    assert_eq!(sent.len(), 6);
    harness.finish(JOINED, &sent[3].clone(), replied(5));
    assert_eq!(harness.pick(JOINED).unwrap().vm, sent[3]);
}

#[test]
fn a_fresh_load_report_steers_requests_to_the_less_loaded_replica() {
    let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
    for replica in 0..3 {
        let queued = if replica == 1 { 1 } else { 8 };
        harness.reply(JOINED, &vm(0, replica), &load(2, queued, &[1], &[0, 32768]));
    }
    let fresh = harness.count_picks(JOINED + ms(1), 300);
    let stale = harness.count_picks(JOINED + ms(700), 300);
    assert!(fresh[1].1 > 170, "{fresh:?}");
    assert!(stale[1].1 < 140, "{stale:?}");
}

#[test]
fn a_refusal_halves_the_limit() {
    let mut harness = PoolHarness::new(
        "d0",
        PoolShape {
            connections: 100,
            ..PoolShape::default()
        },
        1,
    );
    let target = vm(0, 0);
    let others = [vm(0, 1), vm(0, 2)];
    let free_capacity = |harness: &mut PoolHarness, now| {
        let mut sent = 0;
        let span = KeySpan::new(0, 100).unwrap();
        while let PickResult::Picked(picked) = harness.pick_span(now, span, &others) {
            harness.pool.begin_attempt(now, &picked.vm);
            sent += 1;
        }
        for _ in 0..sent {
            harness.finish(now, &target, failed(AttemptFailure::SnapshotGone));
        }
        sent
    };
    assert_eq!(free_capacity(&mut harness, JOINED), 9);
    for _ in 0..20 {
        harness.pool.begin_attempt(JOINED, &target);
        harness.finish(JOINED, &target, replied(10));
    }
    let mut now = JOINED;
    for expected in [4, 2, 1, 1] {
        now = now + ms(50);
        harness.pool.begin_attempt(now, &target);
        harness.finish(now, &target, failed(AttemptFailure::Shed));
        assert_eq!(free_capacity(&mut harness, now), expected);
    }
}

#[test]
fn reported_spans_and_snapshots_replace_the_plan() {
    let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
    let all = KeySpan::ALL;
    let first_span = |harness: &mut PoolHarness, span| match harness.pick_span(JOINED, span, &[]) {
        PickResult::Picked(picked) => Ok(picked.span),
        PickResult::NoReplica(reason) => Err(reason),
        PickResult::Busy => Err(QueryReason::Overload),
    };
    assert_eq!(
        first_span(&mut harness, all),
        Ok(KeySpan::new(0, 32768).unwrap())
    );
    // The shard splits: its replicas now hold the keys below 1000, and those of the other shard the
    // keys from 2000.
    for replica in 0..3 {
        harness.reply(JOINED, &vm(0, replica), &load(0, 0, &[3, 4], &[0, 1000]));
        harness.reply(JOINED, &vm(1, replica), &load(0, 0, &[4], &[2000, 65536]));
    }
    assert_eq!(
        first_span(&mut harness, all),
        Ok(KeySpan::new(0, 1000).unwrap())
    );
    let rest = KeySpan::new(1000, 65536).unwrap();
    assert_eq!(
        first_span(&mut harness, rest),
        Ok(KeySpan::new(2000, 65536).unwrap())
    );
    let views = harness.pool.views(JOINED, &group());
    assert_eq!(views.len(), 6);
    assert_eq!(
        views[0].snapshots.as_slice(),
        [SnapshotId(3), SnapshotId(4)]
    );
    let group = group();
    let mut criteria = PickCriteria {
        group: &group,
        span: rest,
        snapshot: SnapshotId(3),
        avoid: &[],
        deadline: JOINED + ms(500),
        unproven: None,
    };
    let gone = PickResult::NoReplica(QueryReason::SnapshotGone);
    assert_eq!(harness.pool.pick(JOINED, &criteria), gone);
    criteria.span = KeySpan::new(0, 10).unwrap();
    assert!(matches!(
        harness.pool.pick(JOINED, &criteria),
        PickResult::Picked(_)
    ));
}

#[test]
fn a_pick_for_an_unknown_group_is_refused() {
    let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
    let group = "nobody".parse().unwrap();
    let criteria = PickCriteria {
        group: &group,
        span: KeySpan::ALL,
        snapshot: SnapshotId(0),
        avoid: &[],
        deadline: JOINED + ms(500),
        unproven: None,
    };
    let unknown = PickResult::NoReplica(QueryReason::UnknownGroup);
    assert_eq!(harness.pool.pick(JOINED, &criteria), unknown);
}

#[test]
fn a_slow_outstanding_request_sends_the_next_elsewhere() {
    let mut harness = PoolHarness::new("d0", PoolShape::default(), 3);
    let first = harness.pick(JOINED).unwrap().vm;
    assert_eq!(first, vm(0, 0));
    harness.pool.begin_attempt(JOINED, &first);
    assert_eq!(harness.pick(JOINED + ms(5)).unwrap().vm, vm(0, 0));
    assert_ne!(harness.pick(JOINED + ms(60)).unwrap().vm, vm(0, 0));
    harness.finish(JOINED + ms(60), &first, replied(60));
    assert_eq!(harness.pick(JOINED + ms(2_000)).unwrap().vm, vm(0, 0));
}
