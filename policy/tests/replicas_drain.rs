//! Draining replicas get no new work.

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
    PoolBench,
    PoolShape,
    SETTLED, //
};
use schema::KeySpan;

/// Gives the pool one sign that a replica drains.
type Sign = fn(&mut PoolBench, u32);

const SIGNS: [(&str, Sign); 5] = [
    ("reply", by_reply),
    ("refusal", by_refusal),
    ("list", by_list),
    ("bundle", by_bundle),
    ("peer", by_peer),
];

fn by_reply(bench: &mut PoolBench, replica: u32) {
    let load = ReplicaLoad {
        draining: true,
        ..ReplicaLoad::default()
    };
    bench.reply(SETTLED, &vm(0, replica), &load);
}

fn by_refusal(bench: &mut PoolBench, replica: u32) {
    bench.pool.begin(SETTLED, &vm(0, replica));
    bench.end(SETTLED, &vm(0, replica), failed(AttemptFailure::Draining));
}

fn by_list(bench: &mut PoolBench, replica: u32) {
    let mut list = placement(bench.shape, 1);
    for placed in &mut list {
        let number = placed.vm.as_str().trim_start_matches("r0-").parse();
        placed.leaving = number.is_ok_and(|number: u32| number <= replica);
    }
    bench.pool.apply_placement(SETTLED, &list, &mut bench.notes);
}

fn by_bundle(bench: &mut PoolBench, replica: u32) {
    let mut body = body(bench.shape);
    for number in 0..=replica {
        body.drains.push(vm(0, number).to_string());
    }
    bench.pool.apply_spec(SETTLED, &spec(&body));
}

fn by_peer(bench: &mut PoolBench, replica: u32) {
    let until = SETTLED + ms(5_000);
    let vm = vm(0, replica);
    let notes = &mut bench.notes;
    assert!(bench.pool.mark_drain(SETTLED, &vm, until, notes));
    assert!(!bench.pool.mark_drain(SETTLED, &vm, until, notes));
}

#[test]
fn no_new_work_after_any_first_sign() {
    for (name, sign) in SIGNS {
        let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
        sign(&mut bench, 0);
        let spread = bench.spread(SETTLED + ms(1), 200);
        assert_eq!(spread[0].1, 0, "{name}");
        assert_eq!(spread[1].1 + spread[2].1, 200, "{name}");
        let views = bench.pool.views(SETTLED + ms(1), &group());
        assert!(views.iter().all(|view| view.vm != vm(0, 0)), "{name}");
    }
}

#[test]
fn all_of_a_shard_draining_is_unreachable() {
    for (name, sign) in SIGNS {
        let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
        for replica in 0..3 {
            sign(&mut bench, replica);
        }
        let span = KeySpan::new(0, 100).unwrap();
        let result = bench.pick_as(SETTLED + ms(1), span, &[]);
        let missing = PickResult::Missing(QueryReason::Unreachable);
        assert_eq!(result, missing, "{name}");
    }
}

#[test]
fn a_mark_lapses_into_a_probe() {
    for sign in [by_reply as Sign, by_refusal, by_peer] {
        let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
        sign(&mut bench, 0);
        let lapsed = SETTLED + DRAIN_PERIOD;
        assert!(bench.pool.next_wakeup() <= lapsed);
        bench.pool.wake(lapsed);
        assert_eq!(bench.pick(lapsed).unwrap().vm, vm(0, 0));
        bench.pool.begin(lapsed, &vm(0, 0));
        assert_ne!(bench.pick(lapsed).unwrap().vm, vm(0, 0));
    }
}

#[test]
fn a_list_that_takes_leaving_back_ends_the_drain() {
    let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
    by_reply(&mut bench, 0);
    by_list(&mut bench, 0);
    let list = placement(bench.shape, 1);
    bench.pool.apply_placement(SETTLED, &list, &mut bench.notes);
    assert_eq!(bench.pick(SETTLED).unwrap().vm, vm(0, 0));
}

#[test]
fn a_mark_heard_before_the_list_names_the_vm() {
    let shape = PoolShape::default();
    let mut bench = PoolBench::new(
        "d0",
        PoolShape {
            replicas: 2,
            ..shape
        },
        1,
    );
    let until = SETTLED + ms(5_000);
    let early = vm(0, 2);
    let notes = &mut bench.notes;
    assert!(bench.pool.mark_drain(SETTLED, &early, until, notes));
    assert!(!bench.pool.mark_drain(SETTLED, &early, until, notes));
    bench.shape = shape;
    bench
        .pool
        .apply_placement(SETTLED, &placement(shape, 1), &mut bench.notes);
    let spread = bench.spread(SETTLED + ms(10), 300);
    assert_eq!(spread[2].1, 0, "{spread:?}");
}

#[test]
fn exchanges_in_flight_finish_and_are_counted() {
    let mut bench = PoolBench::new("d0", PoolShape::default(), 1);
    bench.pool.begin(SETTLED, &vm(0, 0));
    by_peer(&mut bench, 0);
    bench.end(SETTLED, &vm(0, 0), replicas_fixture::replied(10));
    let draining = EngineNote::ReplicaDraining { vm: vm(0, 0) };
    assert_eq!(bench.notes, [draining]);
}
