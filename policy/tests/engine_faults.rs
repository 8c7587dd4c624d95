//! One fault a row: what the answer must say, and by when.

#![allow(clippy::unwrap_used)]

mod engine_world;

use std::time::Duration;

use engine_world::{
    span,
    EngineWorld, //
};
use policy::engine::{
    AnswerOutcome,
    QueryReason, //
};
use schema::{
    bundle::PolicySpec,
    SpanSet, //
};

const SHARDS: u32 = 4;
const DEADLINE_MS: u64 = 500;
const QUARTER: u32 = 16384;

struct FaultRow {
    name: &'static str,
    group: &'static str,
    min: Option<u32>,
    fault: fn(&mut EngineWorld),
    outcome: AnswerOutcome,
    reason: Option<QueryReason>,
    /// Quarters of the key space heard.
    heard: u32,
    snapshot: u64,
    within_ms: u64,
}

const WELL: FaultRow = FaultRow {
    name: "no fault",
    group: "find",
    min: None,
    fault: |_| {},
    outcome: AnswerOutcome::Complete,
    reason: None,
    heard: 4,
    snapshot: 1,
    within_ms: 20,
};

const ORDER: FaultRow = FaultRow {
    name: "order without a fault",
    group: "order",
    ..WELL
};

/// Does `change` to one replica in three, or to all.
fn each(world: &mut EngineWorld, all: bool, change: fn(&mut engine_world::FakeVm)) {
    for (vm, fake) in &mut world.vms {
        if all || vm.as_str().ends_with('0') {
            change(fake);
        }
    }
}

fn shard(world: &mut EngineWorld, shard: u32, change: fn(&mut engine_world::FakeVm)) {
    for vm in world.shard(shard) {
        change(world.vms.get_mut(&vm).unwrap());
    }
}

fn rows() -> Vec<FaultRow> {
    let mut rows = scatter_rows();
    rows.extend(snapshot_rows());
    rows.extend(refusal_rows());
    rows.extend(order_rows());
    rows
}

fn scatter_rows() -> Vec<FaultRow> {
    vec![
        WELL,
        FaultRow {
            name: "one replica of each shard lost",
            fault: |world| each(world, false, |vm| vm.dead = true),
            within_ms: 30,
            ..WELL
        },
        FaultRow {
            name: "one replica of each shard silent",
            fault: |world| each(world, false, |vm| vm.silent = true),
            within_ms: 60,
            ..WELL
        },
        FaultRow {
            name: "one replica of each shard 20 times slower",
            fault: |world| each(world, false, |vm| vm.latency *= 20),
            within_ms: 60,
            ..WELL
        },
        FaultRow {
            name: "a shard lost",
            fault: |world| shard(world, 1, |vm| vm.dead = true),
            outcome: AnswerOutcome::Partial,
            reason: Some(QueryReason::Unreachable),
            heard: 3,
            within_ms: 40,
            ..WELL
        },
        FaultRow {
            name: "a shard lost that the caller needs",
            fault: |world| {
                each(world, true, |vm| vm.latency *= 10);
                shard(world, 1, |vm| vm.dead = true);
            },
            min: Some(100),
            outcome: AnswerOutcome::Unknown,
            reason: Some(QueryReason::Straggler),
            heard: 0,
            snapshot: 0,
            within_ms: 40,
            ..WELL
        },
        FaultRow {
            name: "a shard split",
            fault: |world| {
                let [a, b, c] = [0, 1, 2].map(|place| format!("find-1-{place}"));
                world.vm(&a).serves = span(QUARTER, QUARTER + 7000);
                world.vm(&b).serves = span(QUARTER, QUARTER + 7000);
                world.vm(&c).serves = span(QUARTER + 7000, 2 * QUARTER);
            },
            within_ms: 60,
            ..WELL
        },
        FaultRow {
            name: "two shards merged",
            fault: |world| {
                shard(world, 0, |vm| vm.serves = span(0, 2 * QUARTER));
                shard(world, 1, |vm| vm.serves = SpanSet::default());
            },
            within_ms: 60,
            ..WELL
        },
    ]
}

fn snapshot_rows() -> Vec<FaultRow> {
    vec![
        FaultRow {
            name: "the index moved on",
            fault: |world| each(world, true, |vm| vm.snapshots = vec![2]),
            snapshot: 2,
            within_ms: 40,
            ..WELL
        },
        FaultRow {
            name: "the index is moving, one replica of each shard first",
            fault: |world| each(world, false, |vm| vm.snapshots = vec![2]),
            within_ms: 30,
            ..WELL
        },
        FaultRow {
            name: "no snapshot common to all shards",
            fault: |world| shard(world, 1, |vm| vm.snapshots = vec![2]),
            outcome: AnswerOutcome::Partial,
            reason: Some(QueryReason::SnapshotGone),
            heard: 3,
            within_ms: 40,
            ..WELL
        },
    ]
}

fn refusal_rows() -> Vec<FaultRow> {
    let refused = FaultRow {
        outcome: AnswerOutcome::NotRun,
        heard: 0,
        snapshot: 0,
        within_ms: 200,
        ..WELL
    };
    vec![
        FaultRow {
            name: "every replica lost",
            fault: |world| each(world, true, |vm| vm.dead = true),
            reason: Some(QueryReason::Unreachable),
            ..refused
        },
        FaultRow {
            name: "every replica drains",
            fault: |world| each(world, true, |vm| vm.draining = true),
            reason: Some(QueryReason::Unreachable),
            ..refused
        },
        FaultRow {
            name: "every replica sheds",
            fault: |world| world.rates.shed = 100,
            reason: Some(QueryReason::Shed),
            ..refused
        },
        FaultRow {
            name: "every run fails",
            fault: |world| world.rates.ran_failed = 100,
            outcome: AnswerOutcome::RanFailed,
            reason: Some(QueryReason::UpstreamFailed),
            ..refused
        },
        FaultRow {
            name: "every reply is broken",
            fault: |world| world.rates.bad_reply = 100,
            outcome: AnswerOutcome::Unknown,
            reason: Some(QueryReason::UpstreamFailed),
            ..refused
        },
        FaultRow {
            name: "every replica silent",
            fault: |world| each(world, true, |vm| vm.silent = true),
            outcome: AnswerOutcome::Unknown,
            reason: Some(QueryReason::Straggler),
            within_ms: DEADLINE_MS,
            ..refused
        },
    ]
}

fn order_rows() -> Vec<FaultRow> {
    let refused = FaultRow {
        outcome: AnswerOutcome::NotRun,
        heard: 0,
        snapshot: 0,
        within_ms: 200,
        ..ORDER
    };
    vec![
        ORDER,
        FaultRow {
            name: "order, one replica lost",
            fault: |world| each(world, false, |vm| vm.dead = true),
            within_ms: 30,
            ..ORDER
        },
        FaultRow {
            name: "order, store down",
            fault: |world| world.store_down = true,
            reason: Some(QueryReason::StoreDown),
            ..refused
        },
        FaultRow {
            name: "order, every replica sheds",
            fault: |world| world.rates.shed = 100,
            reason: Some(QueryReason::Shed),
            ..refused
        },
        FaultRow {
            name: "order, nothing can be opened",
            fault: |world| world.rates.connect_failed = 100,
            reason: Some(QueryReason::Unreachable),
            ..refused
        },
        FaultRow {
            name: "order, the run fails",
            fault: |world| world.rates.ran_failed = 100,
            outcome: AnswerOutcome::RanFailed,
            reason: Some(QueryReason::UpstreamFailed),
            ..refused
        },
        FaultRow {
            name: "order, the connection breaks",
            fault: |world| world.rates.broke_after = 100,
            outcome: AnswerOutcome::Unknown,
            reason: Some(QueryReason::ConnectionLost),
            ..refused
        },
        FaultRow {
            name: "order, silent",
            fault: |world| world.rates.silent = 100,
            outcome: AnswerOutcome::Unknown,
            reason: Some(QueryReason::Straggler),
            within_ms: DEADLINE_MS,
            ..refused
        },
    ]
}

/// A world in which both groups have been asked often enough to be known.
fn warm(policy: PolicySpec) -> EngineWorld {
    let mut world = EngineWorld::new(11, SHARDS, policy);
    for _ in 0..40 {
        world.answer("find", DEADLINE_MS, None);
        world.answer("order", DEADLINE_MS, None);
    }
    world
}

#[test]
fn fault_table() {
    for row in rows() {
        let mut world = warm(PolicySpec::default());
        (row.fault)(&mut world);
        let began = world.now;
        let answer = world.answer(row.group, DEADLINE_MS, row.min);
        let took = world.now.since(began);
        let name = row.name;
        assert_eq!(answer.outcome, row.outcome, "{name}: {:?}", answer.reason);
        assert_eq!(answer.reason, row.reason, "{name}");
        assert_eq!(answer.heard.size(), row.heard * QUARTER, "{name}");
        assert_eq!(answer.snapshot.0, row.snapshot, "{name}");
        assert!(
            took <= Duration::from_millis(row.within_ms),
            "{name}: {took:?}"
        );
        let again = answer.retry_after.is_some();
        assert_eq!(again, row.outcome != AnswerOutcome::Complete, "{name}");
    }
}

#[test]
fn goal_ends_the_wait() {
    for (min_coverage_pct, within_ms) in [(70, 30), (80, DEADLINE_MS)] {
        let mut world = warm(PolicySpec {
            goal_ms: 30,
            min_coverage_pct,
            charge_partial: true,
            ..Default::default()
        });
        shard(&mut world, 1, |vm| vm.silent = true);
        let began = world.now;
        let answer = world.answer("find", DEADLINE_MS, None);
        assert_eq!(answer.heard.size(), 3 * QUARTER);
        assert_eq!(world.now.since(began), Duration::from_millis(within_ms));
        // 75 of 100 units, or nothing for less than the group promises.
        assert_eq!(answer.charge.0, if min_coverage_pct == 70 { 75 } else { 0 });
    }
}

#[test]
fn hedges_stop_when_the_group_is_slow() {
    let mut hedges = [0; 2];
    for (place, all) in [(0, false), (1, true)] {
        let mut world = warm(PolicySpec::default());
        for _ in 0..60 {
            world.answer("find", DEADLINE_MS, None);
        }
        each(&mut world, all, |vm| vm.latency *= 4);
        for _ in 0..60 {
            world.answer("find", DEADLINE_MS, None);
        }
        let before = world.engine.status(world.now).groups[0].counts.hedges;
        for _ in 0..100 {
            world.answer("find", DEADLINE_MS, None);
        }
        let status = world.engine.status(world.now);
        assert_eq!(status.groups[0].slow, all);
        hedges[place] = status.groups[0].counts.hedges - before;
    }
    assert_eq!(hedges[1], 0);
}

#[test]
fn killer_takes_two_replicas() {
    let mut world = warm(PolicySpec::default());
    for _ in 0..4 {
        let query = world.ask("find", "kill", Duration::from_millis(DEADLINE_MS), None);
        world.pass(Duration::from_millis(DEADLINE_MS));
        assert_ne!(
            world.queries[&query].answers[0].1.outcome,
            AnswerOutcome::Complete
        );
    }
    let dead = world.vms.values().filter(|vm| vm.dead).count();
    assert!(dead <= 2, "{dead} lost");
    let query = world.ask("find", "kill", Duration::from_millis(DEADLINE_MS), None);
    let answer = &world.queries[&query].answers[0].1;
    assert_eq!(answer.reason, Some(QueryReason::Quarantined));
    assert_eq!(
        world.answer("find", DEADLINE_MS, None).outcome,
        AnswerOutcome::Complete
    );
}

#[test]
fn silent_connections_are_closed() {
    let mut world = warm(PolicySpec::default());
    world.pass(Duration::from_secs(5));
    each(&mut world, false, |vm| vm.silent = true);
    for _ in 0..20 {
        world.answer("find", DEADLINE_MS, None);
    }
    let mut closed = world.closed_idle.clone();
    closed.retain(|vm| !world.vms[vm].silent);
    assert!(!world.closed_idle.is_empty());
    assert!(closed.is_empty(), "closed without cause: {closed:?}");
}

#[test]
fn caller_gone_cancels_what_may_run_twice() {
    for (group, answers) in [("find", 0), ("order", 1)] {
        let mut world = warm(PolicySpec::default());
        let query = world.ask(group, "plank", Duration::from_millis(DEADLINE_MS), None);
        world.pass(Duration::from_millis(4));
        world.tell(policy::engine::EngineEvent::CallerGone { query });
        world.pass(Duration::from_millis(DEADLINE_MS));
        assert_eq!(world.queries[&query].answers.len(), answers);
        let mut logs = world.orders.values().filter(|log| log.order.query == query);
        assert!(logs.all(|log| log.cancelled == (group == "find")));
        assert_eq!(world.engine.status(world.now).attempts, 0);
    }
}
