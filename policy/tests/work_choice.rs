//! Tests the choice of replicas by expected work against today's choice and least in flight.

#![allow(clippy::unwrap_used)]

mod work_model;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use work_model::{
    compare,
    ms,
    noise,
    Kind,
    Load,
    Report,
    SimReplica, //
};

/// Replicas of one service, four in each data centre.
fn replicas(change: impl Fn(usize, &mut SimReplica)) -> Vec<SimReplica> {
    let replicas = (0..12).map(|number| {
        let mut replica = SimReplica::new(0, number % 3);
        change(number, &mut replica);
        replica
    });
    replicas.collect()
}

/// Asserts that a kind reaches the share within the goal that its callers need, and falls behind neither
/// baseline by more than the difference between two runs.
fn assert_share(reports: &[Report; 3], kind: &str, needed: f64) {
    const RUN_DIFFERENCE: f64 = 0.005;
    let [work, today, least] = reports.each_ref().map(|report| report.kind(kind).share());
    assert!(work >= needed, "{kind}: {work} of {needed}");
    assert!(
        work >= today - RUN_DIFFERENCE,
        "{kind}: {work}, today {today}"
    );
    assert!(
        work >= least - RUN_DIFFERENCE,
        "{kind}: {work}, least in flight {least}"
    );
}

/// Fails if the speed of replicas is not learned.
#[test]
fn unequal_speeds() {
    let load = Load {
        replicas: replicas(|number, replica| replica.slowness = [0.8, 1.0, 1.3][number / 3 % 3]),
        kinds: vec![Kind::new("plain", 20.0, 850.0, ms(100))],
        ..Load::default()
    };
    let reports = compare("unequal speeds", &load);
    assert_share(&reports, "plain", 0.99);
}

/// Fails if short noise and pauses are not noticed in time.
#[test]
fn noisy_neighbours() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut load = Load {
        replicas: replicas(|_, _| {}),
        kinds: vec![Kind::new("plain", 20.0, 700.0, ms(100))],
        ..Load::default()
    };
    for (number, replica) in load.replicas.iter_mut().enumerate() {
        replica.noise = noise(&mut random, load.span);
        replica.pause_every = Some((4_500_000 + number as u64 * 125_000, number as u64 * 377_000));
    }
    let reports = compare("noisy neighbours", &load);
    assert_share(&reports, "plain", 0.96);
}

/// Fails if a long request makes its replica count as stalled or slow for short ones.
#[test]
fn three_kinds_on_the_same_replicas() {
    let load = Load {
        replicas: replicas(|_, replica| replica.slots = 4),
        kinds: vec![
            Kind::new("short", 6.7, 600.0, ms(50)),
            Kind::new("middle", 20.0, 500.0, ms(120)),
            Kind::new("long", 160.0, 110.0, ms(600)),
        ],
        ..Load::default()
    };
    let reports = compare("three kinds", &load);
    assert_share(&reports, "short", 0.99);
    assert_share(&reports, "middle", 0.99);
    assert_share(&reports, "long", 0.99);
}

/// Fails if attempts that are given up at a slow replica teach nothing, or if hedges go to slow ones.
#[test]
fn a_third_of_the_replicas_slow() {
    let load = Load {
        replicas: replicas(|number, replica| {
            if number / 3 % 3 == 0 {
                replica.slowness = 5.0 + (number % 4) as f64;
            }
        }),
        kinds: vec![Kind::new("plain", 20.0, 500.0, ms(150))],
        ..Load::default()
    };
    let reports = compare("a third slow", &load);
    assert_share(&reports, "plain", 0.99);
}

/// Older deployments send no load. Fails if they are served otherwise than before.
#[test]
fn two_kinds_without_reported_load() {
    let load = Load {
        replicas: replicas(|_, _| {}),
        kinds: vec![
            Kind::new("short", 6.7, 700.0, ms(50)),
            Kind::new("middle", 20.0, 500.0, ms(120)),
        ],
        reports_load: false,
        ..Load::default()
    };
    let reports = compare("no reported load", &load);
    assert_share(&reports, "short", 0.99);
    assert_share(&reports, "middle", 0.99);
}

/// Thirty daemons that each see little of the load, with shards in each of three data centres.
#[test]
fn gathers_of_many_daemons() {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let span = Load::default().span;
    let mut replicas = Vec::new();
    for shard in 0..12 {
        for zone in [0, 0, 1, 2] {
            let number = replicas.len() as u64;
            let mut replica = SimReplica::new(shard, zone);
            replica.slowness = [0.8, 1.0, 1.3][number as usize % 3];
            replica.noise = noise(&mut random, span);
            replica.pause_every = Some((4_500_000 + number * 31_000, number * 377_000));
            replicas.push(replica);
        }
    }
    let gather = |name, work_ms, per_s, goal| Kind {
        services: (0..12).collect(),
        gather: true,
        ..Kind::new(name, work_ms, per_s, goal)
    };
    let load = Load {
        daemons: 30,
        replicas,
        kinds: vec![
            gather("light", 6.7, 60.0, ms(150)),
            gather("heavy", 20.0, 60.0, ms(300)),
        ],
        ..Load::default()
    };
    let reports = compare("gathers", &load);
    assert_share(&reports, "light", 0.99);
    assert_share(&reports, "heavy", 0.99);
}
