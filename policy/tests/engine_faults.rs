//! A table of faults, with the answer expected for each and the time by which it must be sent.

#![allow(clippy::unwrap_used)]

mod engine_simulation;

use std::time::Duration;

use engine_simulation::{
    span,
    EngineSimulation, //
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
const QUARTER_KEYS: u32 = 16384;

struct FaultRow {
    name: &'static str,
    group: &'static str,
    min_coverage_pct: Option<u32>,
    fault: fn(&mut EngineSimulation),
    outcome: AnswerOutcome,
    reason: Option<QueryReason>,
    /// Quarters of the key space that the answer covers.
    covered_quarters: u32,
    snapshot: u64,
    within_ms: u64,
}

const NO_FAULT: FaultRow = FaultRow {
    name: "no fault",
    group: "find",
    min_coverage_pct: None,
    fault: |_| {},
    outcome: AnswerOutcome::Complete,
    reason: None,
    covered_quarters: 4,
    snapshot: 1,
    within_ms: 20,
};

const ORDER_NO_FAULT: FaultRow = FaultRow {
    name: "order without a fault",
    group: "order",
    ..NO_FAULT
};

/// Applies `change` to one replica in three, or to all.
fn change_replicas(
    simulation: &mut EngineSimulation,
    all: bool,
    change: fn(&mut engine_simulation::FakeVm),
) {
    for (vm, vm_state) in &mut simulation.vms {
        if all || vm.as_str().ends_with('0') {
            change(vm_state);
        }
    }
}

fn change_shard(
    simulation: &mut EngineSimulation,
    shard: u32,
    change: fn(&mut engine_simulation::FakeVm),
) {
    for vm in simulation.shard_vms(shard) {
        change(simulation.vms.get_mut(&vm).unwrap());
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
        NO_FAULT,
        FaultRow {
            name: "one replica of each shard crashed",
            fault: |simulation| change_replicas(simulation, false, |vm| vm.crashed = true),
            within_ms: 30,
            ..NO_FAULT
        },
        FaultRow {
            name: "one replica of each shard silent",
            fault: |simulation| change_replicas(simulation, false, |vm| vm.silent = true),
            within_ms: 60,
            ..NO_FAULT
        },
        FaultRow {
            name: "one replica of each shard 20 times slower",
            fault: |simulation| change_replicas(simulation, false, |vm| vm.latency *= 20),
            within_ms: 60,
            ..NO_FAULT
        },
        FaultRow {
            name: "every replica of a shard crashed",
            fault: |simulation| change_shard(simulation, 1, |vm| vm.crashed = true),
            outcome: AnswerOutcome::Partial,
            reason: Some(QueryReason::Unreachable),
            covered_quarters: 3,
            within_ms: 40,
            ..NO_FAULT
        },
        FaultRow {
            name: "every replica of a shard crashed, full coverage required",
            fault: |simulation| {
                change_replicas(simulation, true, |vm| vm.latency *= 10);
                change_shard(simulation, 1, |vm| vm.crashed = true);
            },
            min_coverage_pct: Some(100),
            outcome: AnswerOutcome::Unknown,
            reason: Some(QueryReason::Straggler),
            covered_quarters: 0,
            snapshot: 0,
            within_ms: 40,
            ..NO_FAULT
        },
        FaultRow {
            name: "a shard split",
            fault: |simulation| {
                let [a, b, c] = [0, 1, 2].map(|index| format!("find-1-{index}"));
                simulation.vm_mut(&a).serves = span(QUARTER_KEYS, QUARTER_KEYS + 7000);
                simulation.vm_mut(&b).serves = span(QUARTER_KEYS, QUARTER_KEYS + 7000);
                simulation.vm_mut(&c).serves = span(QUARTER_KEYS + 7000, 2 * QUARTER_KEYS);
            },
            within_ms: 60,
            ..NO_FAULT
        },
        FaultRow {
            name: "two shards merged",
            fault: |simulation| {
                change_shard(simulation, 0, |vm| vm.serves = span(0, 2 * QUARTER_KEYS));
                change_shard(simulation, 1, |vm| vm.serves = SpanSet::default());
            },
            within_ms: 60,
            ..NO_FAULT
        },
    ]
}

fn snapshot_rows() -> Vec<FaultRow> {
    vec![
        FaultRow {
            name: "every replica on a newer snapshot",
            fault: |simulation| change_replicas(simulation, true, |vm| vm.snapshots = vec![2]),
            snapshot: 2,
            within_ms: 40,
            ..NO_FAULT
        },
        FaultRow {
            name: "one replica of each shard on a newer snapshot",
            fault: |simulation| change_replicas(simulation, false, |vm| vm.snapshots = vec![2]),
            within_ms: 30,
            ..NO_FAULT
        },
        FaultRow {
            name: "no snapshot common to all shards",
            fault: |simulation| change_shard(simulation, 1, |vm| vm.snapshots = vec![2]),
            outcome: AnswerOutcome::Partial,
            reason: Some(QueryReason::SnapshotGone),
            covered_quarters: 3,
            within_ms: 40,
            ..NO_FAULT
        },
    ]
}

fn refusal_rows() -> Vec<FaultRow> {
    let not_run = FaultRow {
        outcome: AnswerOutcome::NotRun,
        covered_quarters: 0,
        snapshot: 0,
        within_ms: 200,
        ..NO_FAULT
    };
    vec![
        FaultRow {
            name: "every replica crashed",
            fault: |simulation| change_replicas(simulation, true, |vm| vm.crashed = true),
            reason: Some(QueryReason::Unreachable),
            ..not_run
        },
        FaultRow {
            name: "every replica draining",
            fault: |simulation| change_replicas(simulation, true, |vm| vm.draining = true),
            reason: Some(QueryReason::Unreachable),
            ..not_run
        },
        FaultRow {
            name: "every replica sheds requests",
            fault: |simulation| simulation.rates.shed = 100,
            reason: Some(QueryReason::Shed),
            ..not_run
        },
        FaultRow {
            name: "every upstream run fails",
            fault: |simulation| simulation.rates.ran_failed = 100,
            outcome: AnswerOutcome::RanFailed,
            reason: Some(QueryReason::UpstreamFailed),
            ..not_run
        },
        FaultRow {
            name: "every reply malformed",
            fault: |simulation| simulation.rates.bad_reply = 100,
            outcome: AnswerOutcome::Unknown,
            reason: Some(QueryReason::UpstreamFailed),
            ..not_run
        },
        FaultRow {
            name: "every replica silent",
            fault: |simulation| change_replicas(simulation, true, |vm| vm.silent = true),
            outcome: AnswerOutcome::Unknown,
            reason: Some(QueryReason::Straggler),
            within_ms: DEADLINE_MS,
            ..not_run
        },
    ]
}

fn order_rows() -> Vec<FaultRow> {
    let not_run = FaultRow {
        outcome: AnswerOutcome::NotRun,
        covered_quarters: 0,
        snapshot: 0,
        within_ms: 200,
        ..ORDER_NO_FAULT
    };
    vec![
        ORDER_NO_FAULT,
        FaultRow {
            name: "order, one replica crashed",
            fault: |simulation| change_replicas(simulation, false, |vm| vm.crashed = true),
            within_ms: 30,
            ..ORDER_NO_FAULT
        },
        FaultRow {
            name: "order, store down",
            fault: |simulation| simulation.store_down = true,
            reason: Some(QueryReason::StoreDown),
            ..not_run
        },
        FaultRow {
            name: "order, every replica sheds requests",
            fault: |simulation| simulation.rates.shed = 100,
            reason: Some(QueryReason::Shed),
            ..not_run
        },
        FaultRow {
            name: "order, no connection can be opened",
            fault: |simulation| simulation.rates.connect_failed = 100,
            reason: Some(QueryReason::Unreachable),
            ..not_run
        },
        FaultRow {
            name: "order, the run fails",
            fault: |simulation| simulation.rates.ran_failed = 100,
            outcome: AnswerOutcome::RanFailed,
            reason: Some(QueryReason::UpstreamFailed),
            ..not_run
        },
        FaultRow {
            name: "order, the connection breaks",
            fault: |simulation| simulation.rates.broke_after = 100,
            outcome: AnswerOutcome::Unknown,
            reason: Some(QueryReason::ConnectionLost),
            ..not_run
        },
        FaultRow {
            name: "order, every replica silent",
            fault: |simulation| simulation.rates.silent = 100,
            outcome: AnswerOutcome::Unknown,
            reason: Some(QueryReason::Straggler),
            within_ms: DEADLINE_MS,
            ..not_run
        },
    ]
}

/// Returns a simulation in which both groups have served enough requests for stable latency
/// measurements.
fn warmed_up(policy: PolicySpec) -> EngineSimulation {
    let mut simulation = EngineSimulation::new(11, SHARDS, policy);
    for _ in 0..40 {
        simulation.run_query("find", DEADLINE_MS, None);
        simulation.run_query("order", DEADLINE_MS, None);
    }
    simulation
}

#[test]
fn answers_match_fault_table() {
    for row in rows() {
        let mut simulation = warmed_up(PolicySpec::default());
        (row.fault)(&mut simulation);
        let started_at = simulation.now;
        let answer = simulation.run_query(row.group, DEADLINE_MS, row.min_coverage_pct);
        let elapsed = simulation.now.since(started_at);
        let name = row.name;
        assert_eq!(answer.outcome, row.outcome, "{name}: {:?}", answer.reason);
        assert_eq!(answer.reason, row.reason, "{name}");
        assert_eq!(
            answer.covered.size(),
            row.covered_quarters * QUARTER_KEYS,
            "{name}"
        );
        assert_eq!(answer.snapshot.0, row.snapshot, "{name}");
        assert!(
            elapsed <= Duration::from_millis(row.within_ms),
            "{name}: {elapsed:?}"
        );
        let has_retry_after = answer.retry_after.is_some();
        assert_eq!(
            has_retry_after,
            row.outcome != AnswerOutcome::Complete,
            "{name}"
        );
    }
}

/// After the latency goal an answer with minimum coverage is sent; with less, the request waits
/// until its deadline.
#[test]
fn latency_goal_allows_partial_answer() {
    for (min_coverage_pct, within_ms) in [(70, 30), (80, DEADLINE_MS)] {
        let mut simulation = warmed_up(PolicySpec {
            goal_ms: 30,
            min_coverage_pct,
            charge_partial: true,
            ..Default::default()
        });
        change_shard(&mut simulation, 1, |vm| vm.silent = true);
        let started_at = simulation.now;
        let answer = simulation.run_query("find", DEADLINE_MS, None);
        assert_eq!(answer.covered.size(), 3 * QUARTER_KEYS);
        assert_eq!(
            simulation.now.since(started_at),
            Duration::from_millis(within_ms)
        );
        // 75 of 100 units, or none if the coverage is below the minimum of the group.
        assert_eq!(answer.charge.0, if min_coverage_pct == 70 { 75 } else { 0 });
    }
}

/// When every replica is slow, hedges add load without making answers faster.
#[test]
fn hedges_stop_when_the_group_is_slow() {
    let mut hedges = [0; 2];
    for (index, all) in [(0, false), (1, true)] {
        let mut simulation = warmed_up(PolicySpec::default());
        for _ in 0..60 {
            simulation.run_query("find", DEADLINE_MS, None);
        }
        change_replicas(&mut simulation, all, |vm| vm.latency *= 4);
        for _ in 0..60 {
            simulation.run_query("find", DEADLINE_MS, None);
        }
        let hedges_before = simulation.engine.status(simulation.now).groups[0]
            .counts
            .hedges;
        for _ in 0..100 {
            simulation.run_query("find", DEADLINE_MS, None);
        }
        let status = simulation.engine.status(simulation.now);
        assert_eq!(status.groups[0].slow, all);
        hedges[index] = status.groups[0].counts.hedges - hedges_before;
    }
    assert_eq!(hedges[1], 0);
}

/// A query that crashes each replica it runs on is quarantined after two of them.
#[test]
fn crashing_query_costs_at_most_two_replicas() {
    let mut simulation = warmed_up(PolicySpec::default());
    for _ in 0..4 {
        let query = simulation.send_query("find", "kill", Duration::from_millis(DEADLINE_MS), None);
        simulation.advance(Duration::from_millis(DEADLINE_MS));
        assert_ne!(
            simulation.queries[&query].answers[0].1.outcome,
            AnswerOutcome::Complete
        );
    }
    let crashed = simulation.vms.values().filter(|vm| vm.crashed).count();
    assert!(crashed <= 2, "{crashed} replicas crashed");
    let query = simulation.send_query("find", "kill", Duration::from_millis(DEADLINE_MS), None);
    let answer = &simulation.queries[&query].answers[0].1;
    assert_eq!(answer.reason, Some(QueryReason::Quarantined));
    assert_eq!(
        simulation.run_query("find", DEADLINE_MS, None).outcome,
        AnswerOutcome::Complete
    );
}

/// Only connections to silent replicas may be closed.
#[test]
fn silent_connections_are_closed() {
    let mut simulation = warmed_up(PolicySpec::default());
    simulation.advance(Duration::from_secs(5));
    change_replicas(&mut simulation, false, |vm| vm.silent = true);
    for _ in 0..20 {
        simulation.run_query("find", DEADLINE_MS, None);
    }
    let mut closed_without_cause = simulation.closed_idle.clone();
    closed_without_cause.retain(|vm| !simulation.vms[vm].silent);
    assert!(!simulation.closed_idle.is_empty());
    assert!(
        closed_without_cause.is_empty(),
        "connections of responsive VMs closed: {closed_without_cause:?}"
    );
}

/// Requests of `order` may run only once, so they continue after the caller has disconnected.
#[test]
fn caller_disconnect_cancels_repeatable_requests() {
    for (group, answers) in [("find", 0), ("order", 1)] {
        let mut simulation = warmed_up(PolicySpec::default());
        let query = simulation.send_query(group, "plank", Duration::from_millis(DEADLINE_MS), None);
        simulation.advance(Duration::from_millis(4));
        simulation.send_event(policy::engine::EngineEvent::CallerGone { query });
        simulation.advance(Duration::from_millis(DEADLINE_MS));
        assert_eq!(simulation.queries[&query].answers.len(), answers);
        let mut logs = simulation
            .attempts
            .values()
            .filter(|log| log.order.query == query);
        assert!(logs.all(|log| log.cancelled == (group == "find")));
        assert_eq!(simulation.engine.status(simulation.now).attempts, 0);
    }
}
