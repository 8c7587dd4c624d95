//! Tests that all daemons together never hold more connections to a replica than it accepts.

mod replicas_fixture;

use policy::replicas::ConnectionShare;
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use replicas_fixture::{
    ms,
    vm,
    PoolHarness,
    PoolShape,
    START, //
};
use schema::TimePoint;

#[test]
fn full_and_joining_shares_fit() {
    for connections in 1..200 {
        for planned in 1..=connections.min(40) {
            let share = ConnectionShare::divide(connections, planned, planned);
            let held = (share.full + share.joining) * planned;
            assert!(
                held <= connections,
                "{connections} connections for {planned} daemons: {held} held"
            );
            for live in planned..3 * planned {
                let share = ConnectionShare::divide(connections, planned, live);
                assert!(
                    share.full * live <= connections,
                    "{connections} connections for {live} daemons"
                );
            }
        }
    }
}

#[test]
fn shares_of_known_deployments() {
    let shares = [(25, 2, 1), (30, 2, 1), (45, 4, 1), (100, 9, 3)];
    for (connections, full, joining) in shares {
        let share = ConnectionShare::divide(connections, 8, 8);
        assert_eq!((share.full, share.joining), (full, joining));
    }
}

/// A daemon that starts at `start` and is gone at `end`. The others learn of its start `lag` ms
/// later.
#[derive(Clone, Debug)]
struct DaemonLife {
    start: TimePoint,
    end: TimePoint,
    lag: u64,
}

/// Eight daemons, each replaced a few times. The old one of a pair leaves up to 3 s after the new
/// one has started.
fn lifetimes() -> impl Strategy<Value = Vec<DaemonLife>> {
    let restart = (200_u64..12_000, 0_u64..3_000, 0_u64..2_800);
    prop::collection::vec(prop::collection::vec(restart, 1..4), 8).prop_map(|daemons| {
        let mut lifetimes = Vec::new();
        for restarts in daemons {
            let mut start = START;
            for (uptime, overlap, lag) in restarts {
                let next_start = start + ms(uptime.max(overlap + 1));
                let end = next_start + ms(overlap);
                lifetimes.push(DaemonLife { start, end, lag });
                start = next_start;
            }
            let end = TimePoint::NEVER;
            let lag = 0;
            lifetimes.push(DaemonLife { start, end, lag });
        }
        lifetimes
    })
}

fn live_count(lifetimes: &[DaemonLife], own_index: usize, now: TimePoint) -> u32 {
    let is_known = |(index, lifetime): (usize, &DaemonLife)| {
        let lag = if index == own_index { 0 } else { lifetime.lag };
        lifetime.start + ms(lag) <= now && now < lifetime.end
    };
    lifetimes
        .iter()
        .enumerate()
        .filter(|entry| is_known(*entry))
        .count() as u32
}

fn check_total(lifetimes: &[DaemonLife], shape: PoolShape) -> Result<(), TestCaseError> {
    let mut harnesses: Vec<Option<PoolHarness>> = lifetimes.iter().map(|_| None).collect();
    for step in 0..400 {
        let now = START + ms(100 * step);
        let mut connections = 0;
        let mut outstanding = 0;
        for (index, lifetime) in lifetimes.iter().enumerate() {
            if now < lifetime.start || lifetime.end <= now {
                continue;
            }
            let harness =
                harnesses[index].get_or_insert_with(|| start_pool(index, shape, lifetime.start));
            harness
                .pool
                .set_daemons(now, live_count(lifetimes, index, now));
            let mut sent = 0;
            let mut share = 0;
            while let Some(picked) = harness.pick(now) {
                share = picked.connections;
                harness.pool.begin_attempt(now, &picked.vm);
                sent += 1;
            }
            for _ in 0..sent {
                harness.finish(now, &vm(0, 0), replicas_fixture::replied(10));
            }
            connections += share;
            outstanding += sent;
        }
        prop_assert!(
            connections <= shape.connections,
            "{connections} connections at step {step}"
        );
        prop_assert!(
            outstanding <= shape.connections,
            "{outstanding} requests at step {step}"
        );
    }
    Ok(())
}

fn start_pool(index: usize, shape: PoolShape, start: TimePoint) -> PoolHarness {
    PoolHarness::start(&format!("d{index}"), shape, 1, start)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn total_holds_while_daemons_are_replaced(lifetimes in lifetimes(), connections in 16_u32..110) {
        let shape = PoolShape { shards: 1, replicas: 1, connections, ..PoolShape::default() };
        check_total(&lifetimes, shape)?;
    }
}

#[test]
fn total_holds_when_all_daemons_restart_at_once() {
    let shape = PoolShape {
        shards: 1,
        replicas: 1,
        ..PoolShape::default()
    };
    let restart = START + ms(10_000);
    let mut lifetimes = Vec::new();
    for _ in 0..8 {
        lifetimes.push(DaemonLife {
            start: START,
            end: restart + ms(3_000),
            lag: 2_500,
        });
        lifetimes.push(DaemonLife {
            start: restart,
            end: TimePoint::NEVER,
            lag: 2_500,
        });
    }
    check_total(&lifetimes, shape).unwrap();
}
