//! Tests that draining replicas get no new requests.

mod replicas_fixture;

use policy::{
    engine::{
        AttemptFailure,
        EngineNote,
        QueryReason,
        ReplicaLoad, //
    },
    replicas::{
        PickResult,
        DRAIN_PERIOD, //
    },
};
use replicas_fixture::{
    body,
    failed,
    group,
    ms,
    placement,
    spec,
    vm,
    PoolHarness,
    PoolShape,
    JOINED, //
};
use schema::KeySpan;

/// Gives the pool one sign that a replica drains.
type DrainSign = fn(&mut PoolHarness, u32);

const SIGNS: [(&str, DrainSign); 5] = [
    ("reply", by_reply),
    ("refusal", by_refusal),
    ("list", by_list),
    ("bundle", by_bundle),
    ("peer", by_peer),
];

fn by_reply(harness: &mut PoolHarness, replica: u32) {
    let load = ReplicaLoad {
        draining: true,
        ..ReplicaLoad::default()
    };
    harness.reply(JOINED, &vm(0, replica), &load);
}

fn by_refusal(harness: &mut PoolHarness, replica: u32) {
    harness.pool.begin_attempt(JOINED, &vm(0, replica));
    harness.finish(JOINED, &vm(0, replica), failed(AttemptFailure::Draining));
}

fn by_list(harness: &mut PoolHarness, replica: u32) {
    let mut list = placement(harness.shape, 1);
    for placed in &mut list {
        let number = placed.vm.as_str().trim_start_matches("r0-").parse();
        placed.leaving = number.is_ok_and(|number: u32| number <= replica);
    }
    harness
        .pool
        .apply_placement(JOINED, &list, &mut harness.notes);
}

fn by_bundle(harness: &mut PoolHarness, replica: u32) {
    let mut body = body(harness.shape);
    for number in 0..=replica {
        body.drains.push(vm(0, number).to_string());
    }
    harness.pool.apply_spec(JOINED, &spec(&body));
}

fn by_peer(harness: &mut PoolHarness, replica: u32) {
    let until = JOINED + ms(5_000);
    let vm = vm(0, replica);
    let notes = &mut harness.notes;
    assert!(harness.pool.mark_draining(JOINED, &vm, until, notes));
    assert!(!harness.pool.mark_draining(JOINED, &vm, until, notes));
}

#[test]
fn any_drain_sign_stops_new_requests() {
    for (name, sign) in SIGNS {
        let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
        sign(&mut harness, 0);
        let counts = harness.count_picks(JOINED + ms(1), 200);
        assert_eq!(counts[0].1, 0, "{name}");
        assert_eq!(counts[1].1 + counts[2].1, 200, "{name}");
        let views = harness.pool.views(JOINED + ms(1), &group());
        assert!(views.iter().all(|view| view.vm != vm(0, 0)), "{name}");
    }
}

#[test]
fn a_shard_with_all_replicas_draining_is_unreachable() {
    for (name, sign) in SIGNS {
        let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
        for replica in 0..3 {
            sign(&mut harness, replica);
        }
        let span = KeySpan::new(0, 100).unwrap();
        let result = harness.pick_span(JOINED + ms(1), span, &[]);
        let missing = PickResult::NoReplica(QueryReason::Unreachable);
        assert_eq!(result, missing, "{name}");
    }
}

#[test]
fn a_replica_is_probed_after_its_drain_mark_expires() {
    for sign in [by_reply as DrainSign, by_refusal, by_peer] {
        let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
        sign(&mut harness, 0);
        let expired_at = JOINED + DRAIN_PERIOD;
        assert!(harness.pool.next_wakeup() <= expired_at);
        harness.pool.on_timer(expired_at);
        assert_eq!(harness.pick(expired_at).unwrap().vm, vm(0, 0));
        harness.pool.begin_attempt(expired_at, &vm(0, 0));
        assert_ne!(harness.pick(expired_at).unwrap().vm, vm(0, 0));
    }
}

#[test]
fn a_drain_ends_when_the_list_withdraws_leaving() {
    let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
    by_reply(&mut harness, 0);
    by_list(&mut harness, 0);
    let list = placement(harness.shape, 1);
    harness
        .pool
        .apply_placement(JOINED, &list, &mut harness.notes);
    assert_eq!(harness.pick(JOINED).unwrap().vm, vm(0, 0));
}

#[test]
fn a_drain_mark_for_an_unlisted_vm_is_kept() {
    let shape = PoolShape::default();
    let mut harness = PoolHarness::new(
        "d0",
        PoolShape {
            replicas: 2,
            ..shape
        },
        1,
    );
    let until = JOINED + ms(5_000);
    let unlisted = vm(0, 2);
    let notes = &mut harness.notes;
    assert!(harness.pool.mark_draining(JOINED, &unlisted, until, notes));
    assert!(!harness.pool.mark_draining(JOINED, &unlisted, until, notes));
    harness.shape = shape;
    harness
        .pool
        .apply_placement(JOINED, &placement(shape, 1), &mut harness.notes);
    let counts = harness.count_picks(JOINED + ms(10), 300);
    assert_eq!(counts[2].1, 0, "{counts:?}");
}

#[test]
fn requests_in_flight_finish_after_a_drain_mark() {
    let mut harness = PoolHarness::new("d0", PoolShape::default(), 1);
    harness.pool.begin_attempt(JOINED, &vm(0, 0));
    by_peer(&mut harness, 0);
    harness.finish(JOINED, &vm(0, 0), replicas_fixture::replied(10));
    let draining = EngineNote::ReplicaDraining { vm: vm(0, 0) };
    assert_eq!(harness.notes, [draining]);
}
