//! Shares of connections: never more than a replica accepts, over all daemons.

mod replicas_fixture;

use policy::replicas::ConnectionShare;
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use replicas_fixture::{
    ms,
    vm,
    PoolBench,
    PoolShape,
    START, //
};
use schema::TimePoint;

#[test]
fn full_and_joining_fit() {
    for connections in 1..200 {
        for planned in 1..=connections.min(40) {
            let share = ConnectionShare::divide(connections, planned, planned);
            let held = (share.full + share.joining) * planned;
            assert!(held <= connections, "{connections} for {planned}: {held}");
            for live in planned..3 * planned {
                let share = ConnectionShare::divide(connections, planned, live);
                assert!(share.full * live <= connections, "{connections} for {live}");
            }
        }
    }
}

#[test]
fn shares_of_the_deployments() {
    let shares = [(25, 2, 1), (30, 2, 1), (45, 4, 1), (100, 9, 3)];
    for (connections, full, joining) in shares {
        let share = ConnectionShare::divide(connections, 8, 8);
        assert_eq!((share.full, share.joining), (full, joining));
    }
}

/// A daemon that starts at `start` and is gone at `end`; others hear of both `lag` later.
#[derive(Clone, Debug)]
struct Life {
    start: TimePoint,
    end: TimePoint,
    lag: u64,
}

/// Eight daemons, each replaced a few times; the old one leaves for up to `overlap` ms.
fn lives() -> impl Strategy<Value = Vec<Life>> {
    let restart = (200_u64..12_000, 0_u64..3_000, 0_u64..2_800);
    prop::collection::vec(prop::collection::vec(restart, 1..4), 8).prop_map(|daemons| {
        let mut lives = Vec::new();
        for restarts in daemons {
            let mut start = START;
            for (up, overlap, lag) in restarts {
                let next = start + ms(up.max(overlap + 1));
                let end = next + ms(overlap);
                lives.push(Life { start, end, lag });
                start = next;
            }
            let end = TimePoint::NEVER;
            let lag = 0;
            lives.push(Life { start, end, lag });
        }
        lives
    })
}

fn live_count(lives: &[Life], own: usize, now: TimePoint) -> u32 {
    let known = |(place, life): (usize, &Life)| {
        let lag = if place == own { 0 } else { life.lag };
        life.start + ms(lag) <= now && now < life.end
    };
    lives
        .iter()
        .enumerate()
        .filter(|entry| known(*entry))
        .count() as u32
}

fn check_sum(lives: &[Life], shape: PoolShape) -> Result<(), TestCaseError> {
    let mut benches: Vec<Option<PoolBench>> = lives.iter().map(|_| None).collect();
    for step in 0..400 {
        let now = START + ms(100 * step);
        let mut connections = 0;
        let mut outstanding = 0;
        for (place, life) in lives.iter().enumerate() {
            if now < life.start || life.end <= now {
                continue;
            }
            let bench = benches[place].get_or_insert_with(|| started(place, shape, life.start));
            bench.pool.set_daemons(now, live_count(lives, place, now));
            let mut begun = 0;
            let mut share = 0;
            while let Some(picked) = bench.pick(now) {
                share = picked.connections;
                bench.pool.begin(now, &picked.vm);
                begun += 1;
            }
            for _ in 0..begun {
                bench.end(now, &vm(0, 0), replicas_fixture::replied(10));
            }
            connections += share;
            outstanding += begun;
        }
        prop_assert!(
            connections <= shape.connections,
            "{connections} at step {step}"
        );
        prop_assert!(
            outstanding <= shape.connections,
            "{outstanding} at step {step}"
        );
    }
    Ok(())
}

fn started(place: usize, shape: PoolShape, start: TimePoint) -> PoolBench {
    PoolBench::start(&format!("d{place}"), shape, 1, start)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn sum_over_replaced_daemons(lives in lives(), connections in 16_u32..110) {
        let shape = PoolShape { shards: 1, replicas: 1, connections, ..PoolShape::default() };
        check_sum(&lives, shape)?;
    }
}

#[test]
fn all_daemons_restart_at_once() {
    let shape = PoolShape {
        shards: 1,
        replicas: 1,
        ..PoolShape::default()
    };
    let restart = START + ms(10_000);
    let mut lives = Vec::new();
    for _ in 0..8 {
        lives.push(Life {
            start: START,
            end: restart + ms(3_000),
            lag: 2_500,
        });
        lives.push(Life {
            start: restart,
            end: TimePoint::NEVER,
            lag: 2_500,
        });
    }
    check_sum(&lives, shape).unwrap();
}
