//! Random schedules, with each answer compared to a reference computed from all replies.

#![allow(clippy::unwrap_used)]

mod engine_simulation;

use std::time::Duration;

use engine_simulation::{
    expected_items,
    span,
    EngineSimulation,
    FaultRates, //
};
use policy::engine::{
    AnswerOutcome,
    EngineEvent, //
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use rand::Rng;
use schema::{
    bundle::PolicySpec,
    QueryId,
    SpanSet,
    VmName, //
};

const SHARDS: u32 = 4;

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    }
}

fn rates() -> impl Strategy<Value = FaultRates> {
    let pct = || prop_oneof![3 => Just(0u32), 2 => 1..20u32];
    (
        pct(),
        pct(),
        pct(),
        pct(),
        pct(),
        pct(),
        pct(),
        pct(),
        pct(),
    )
        .prop_map(
            |(connect, before, after, bad, failed, shed, silent, slow, wrong)| FaultRates {
                connect_failed: connect,
                broke_before: before,
                broke_after: after / 2,
                bad_reply: bad,
                ran_failed: failed,
                shed,
                silent: silent / 2,
                slow,
                wrong_snapshot: wrong / 2,
            },
        )
}

/// Changes an upstream at random: its key range, its snapshots, whether it is up, silent or
/// draining; or sends the current VM list.
fn apply_random_change(simulation: &mut EngineSimulation) {
    let vms: Vec<VmName> = simulation.vms.keys().cloned().collect();
    let vm = vms[simulation.random.random_range(0..vms.len())].clone();
    let change = simulation.random.random_range(0..9);
    let boundary = simulation.random.random_range(1..65535);
    let snapshot_step = simulation.random.random_range(1..3);
    let is_scatter = simulation.vms[&vm].group == "find";
    let vm_state = simulation.vms.get_mut(&vm).unwrap();
    let newest = vm_state.snapshots.last().copied().unwrap_or(1);
    match change {
        0 if is_scatter => vm_state.serves = vm_state.serves.intersection(&span(0, boundary)),
        1 if is_scatter => vm_state.serves.union(&span(boundary, 65536)),
        2 if is_scatter => vm_state.serves = SpanSet::all(),
        3 => vm_state.snapshots.push(newest + snapshot_step),
        4 if vm_state.snapshots.len() > 1 => {
            vm_state.snapshots.remove(0);
        }
        5 => vm_state.crashed = !vm_state.crashed,
        6 => vm_state.draining = !vm_state.draining,
        7 => vm_state.silent = !vm_state.silent,
        _ => simulation.update_placement(),
    }
}

/// Runs a random schedule. Before `change_pct` per cent of the requests an upstream changes.
fn run_schedule(
    seed: u64,
    rates: FaultRates,
    policy: PolicySpec,
    queries: u32,
    change_pct: u32,
) -> EngineSimulation {
    let mut simulation = EngineSimulation::new(seed, SHARDS, policy);
    simulation.rates = rates;
    for index in 0..queries {
        let gap = simulation.random.random_range(0..6000);
        simulation.advance(Duration::from_micros(gap));
        if simulation.chance(change_pct) {
            apply_random_change(&mut simulation);
        }
        simulation.store_down = simulation.chance(5);
        let deadline = Duration::from_millis(simulation.random.random_range(1..120));
        let group = if simulation.chance(25) {
            "order"
        } else {
            "find"
        };
        let min_coverage_pct = simulation.chance(20).then_some(60);
        let query =
            simulation.send_query(group, &format!("plank {index}"), deadline, min_coverage_pct);
        if simulation.chance(5) {
            simulation.advance(Duration::from_micros(gap));
            simulation.queries.get_mut(&query).unwrap().caller_gone = true;
            simulation.send_event(EngineEvent::CallerGone { query });
        }
    }
    simulation.advance(Duration::from_millis(200));
    simulation
}

fn check_request(simulation: &EngineSimulation, query: QueryId) {
    let log = &simulation.queries[&query];
    let once = log.call.once_key.is_some();
    if log.caller_gone && log.answers.is_empty() {
        return;
    }
    assert_eq!(log.answers.len(), 1, "{query}: number of answers");
    let (answered_at, answer) = &log.answers[0];
    assert!(
        *answered_at <= log.call.deadline,
        "{query} answered after its deadline"
    );
    if answer.outcome == AnswerOutcome::NotRun {
        assert!(
            !simulation.may_have_run(query),
            "{query} answered not_run although an upstream may have run it"
        );
    }
    if once {
        assert!(log.recorded_outcome.is_some() || answer.outcome == AnswerOutcome::NotRun);
        assert!(!log.claim_granted || log.claim_released != log.recorded_outcome.is_some());
    }
    let covered = simulation.expected_coverage(query, answer.snapshot);
    assert_eq!(answer.covered, covered, "{query}: coverage");
    assert_eq!(
        answer.items,
        expected_items(answer.snapshot.0, &covered),
        "{query}: items"
    );
    let mut accounted = answer.covered.clone();
    for (span, _) in &answer.missing {
        assert!(
            accounted.intersection(&(*span).into()).is_empty(),
            "{query}: key reported twice"
        );
        accounted.insert(*span);
    }
    assert_eq!(accounted, SpanSet::all(), "{query}: keys unaccounted for");
    assert_eq!(
        answer.outcome == AnswerOutcome::Complete,
        covered == SpanSet::all()
    );
}

proptest! {
    #![proptest_config(config(4, 2000))]

    /// Each request has one answer by its deadline, which covers exactly the keys that replies
    /// brought.
    #[test]
    fn answers_match_reference(seed in any::<u64>(), rates in rates(), goal in 0..60u32) {
        let policy = PolicySpec { goal_ms: goal / 2, min_coverage_pct: goal, ..Default::default() };
        let simulation = run_schedule(seed, rates, policy, 16, 12);
        prop_assert_eq!(simulation.engine.in_flight(), 0);
        prop_assert_eq!(simulation.engine.status(simulation.now).attempts, 0);
        for query in simulation.queries.keys() {
            check_request(&simulation, *query);
        }
    }
}

proptest! {
    #![proptest_config(config(5, 100))]

    /// Hedges and retries stay within 5 % of the first attempts, plus two.
    #[test]
    fn hedges_stay_within_budget(seed in any::<u64>(), slow in 0..60u32, shed in 0..60u32) {
        let rates = FaultRates { slow, shed, ..Default::default() };
        let simulation = run_schedule(seed, rates, PolicySpec { budget_pct: 5, ..Default::default() }, 150, 0);
        let mut first_attempts = 0;
        let mut extra_attempts = 0;
        for group in simulation.engine.status(simulation.now).groups {
            first_attempts += group.counts.first_attempts;
            extra_attempts += group.counts.hedges + group.counts.retries;
        }
        let max_extra = first_attempts * 5 / 100 + 2;
        prop_assert!(extra_attempts <= max_extra, "{extra_attempts} hedges and retries for {first_attempts} first attempts");
    }
}
