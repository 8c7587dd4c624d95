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

#[test]
fn unequal_speeds() {
    let load = Load {
        replicas: replicas(|number, replica| replica.slowness = [0.8, 1.0, 1.3][number / 3 % 3]),
        kinds: vec![Kind::new("plain", 20.0, 850.0, ms(100))],
        ..Load::default()
    };
    compare("unequal speeds", &load);
}

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
    compare("noisy neighbours", &load);
}

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
    compare("three kinds", &load);
}

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
    compare("a third slow", &load);
}

/// Older deployments send no load.
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
    compare("no reported load", &load);
}
