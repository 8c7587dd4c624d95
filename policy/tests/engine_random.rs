//! Random schedules against a naive reference: what every shard really said, one by one.

#![allow(clippy::unwrap_used)]

mod engine_world;

use std::time::Duration;

use engine_world::{
    items,
    span,
    EngineWorld, //
    FaultRates,
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

/// Changes the upstreams at random: splits, moves, new and dropped snapshots, deaths, drains.
fn disturb(world: &mut EngineWorld) {
    let names: Vec<VmName> = world.vms.keys().cloned().collect();
    let vm = names[world.random.random_range(0..names.len())].clone();
    let kind = world.random.random_range(0..9);
    let cut = world.random.random_range(1..65535);
    let step = world.random.random_range(1..3);
    let scattered = world.vms[&vm].group == "find";
    let fake = world.vms.get_mut(&vm).unwrap();
    let newest = fake.snapshots.last().copied().unwrap_or(1);
    match kind {
        0 if scattered => fake.serves = fake.serves.intersection(&span(0, cut)),
        1 if scattered => fake.serves.union(&span(cut, 65536)),
        2 if scattered => fake.serves = SpanSet::all(),
        3 => fake.snapshots.push(newest + step),
        4 if fake.snapshots.len() > 1 => {
            fake.snapshots.remove(0);
        }
        5 => fake.dead = !fake.dead,
        6 => fake.draining = !fake.draining,
        7 => fake.silent = !fake.silent,
        _ => world.list(),
    }
}

/// Runs a random schedule in which `unrest` per cent of the requests see a change of upstreams.
fn play(
    seed: u64,
    rates: FaultRates,
    policy: PolicySpec,
    queries: u32,
    unrest: u32,
) -> EngineWorld {
    let mut world = EngineWorld::new(seed, SHARDS, policy);
    world.rates = rates;
    for place in 0..queries {
        let gap = world.random.random_range(0..6000);
        world.pass(Duration::from_micros(gap));
        if world.strikes(unrest) {
            disturb(&mut world);
        }
        world.store_down = world.strikes(5);
        let deadline = Duration::from_millis(world.random.random_range(1..120));
        let group = if world.strikes(25) { "order" } else { "find" };
        let min = world.strikes(20).then_some(60);
        let query = world.ask(group, &format!("plank {place}"), deadline, min);
        if world.strikes(5) {
            world.pass(Duration::from_micros(gap));
            world.queries.get_mut(&query).unwrap().gone = true;
            world.tell(EngineEvent::CallerGone { query });
        }
    }
    world.pass(Duration::from_millis(200));
    world
}

fn judge(world: &EngineWorld, query: QueryId) {
    let log = &world.queries[&query];
    let once = log.call.once_key.is_some();
    if log.gone && log.answers.is_empty() {
        return;
    }
    assert_eq!(log.answers.len(), 1, "{query} answered once");
    let (at, answer) = &log.answers[0];
    assert!(*at <= log.call.deadline, "{query} late");
    if answer.outcome == AnswerOutcome::NotRun {
        assert!(!world.may_have_run(query), "{query} ran");
    }
    if once {
        assert!(log.recorded.is_some() || answer.outcome == AnswerOutcome::NotRun);
        assert!(!log.granted || log.released != log.recorded.is_some());
    }
    let heard = world.really_heard(query, answer.snapshot);
    assert_eq!(answer.heard, heard, "{query} coverage");
    assert_eq!(
        answer.items,
        items(answer.snapshot.0, &heard),
        "{query} items"
    );
    let mut keys = answer.heard.clone();
    for (span, _) in &answer.missing {
        assert!(
            keys.intersection(&(*span).into()).is_empty(),
            "{query} twice"
        );
        keys.insert(*span);
    }
    assert_eq!(keys, SpanSet::all(), "{query} keys unaccounted");
    assert_eq!(
        answer.outcome == AnswerOutcome::Complete,
        heard == SpanSet::all()
    );
}

proptest! {
    #![proptest_config(config(4, 2000))]

    #[test]
    fn answers_are_what_was_heard(seed in any::<u64>(), rates in rates(), goal in 0..60u32) {
        let policy = PolicySpec { goal_ms: goal / 2, min_coverage_pct: goal, ..Default::default() };
        let world = play(seed, rates, policy, 16, 12);
        prop_assert_eq!(world.engine.in_flight(), 0);
        prop_assert_eq!(world.engine.status(world.now).attempts, 0);
        for query in world.queries.keys() {
            judge(&world, *query);
        }
    }
}

proptest! {
    #![proptest_config(config(5, 100))]

    #[test]
    fn hedges_keep_to_the_budget(seed in any::<u64>(), slow in 0..60u32, shed in 0..60u32) {
        let rates = FaultRates { slow, shed, ..Default::default() };
        let world = play(seed, rates, PolicySpec { budget_pct: 5, ..Default::default() }, 150, 0);
        let mut firsts = 0;
        let mut extra = 0;
        for group in world.engine.status(world.now).groups {
            firsts += group.counts.firsts;
            extra += group.counts.hedges + group.counts.retries;
        }
        let allowed = firsts * 5 / 100 + 2;
        prop_assert!(extra <= allowed, "{extra} extra to {firsts}");
    }
}
