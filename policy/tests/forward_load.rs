//! Patterns of load and trouble: who is served in time, and what it costs.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use std::time::Duration;

use forward_kit::{
    gather,
    ms,
    route,
    ForwardWorld,
    ReplicaModel,
    START, //
};
use policy::forward::ForwardAnswer;
use schema::RouteSpec;

const ZONES: [&str; 3] = ["a", "b", "c"];
const GOAL: Duration = Duration::from_millis(200);
const SHARDS: usize = 10;

fn search() -> RouteSpec {
    route("all", gather(SHARDS, 0.89))
}

/// Eight daemons over a replica of each shard in each zone, as `model` says.
fn world(connections: u32, model: impl Fn(usize, usize) -> ReplicaModel) -> ForwardWorld {
    let zones = ["a", "a", "a", "b", "b", "c", "c", "c"];
    let mut world = ForwardWorld::new(&zones, vec![search()], connections);
    for shard in 0..SHARDS {
        for (place, zone) in ZONES.into_iter().enumerate() {
            let model = ReplicaModel {
                zone,
                ..model(shard, place)
            };
            world.add(&format!("s{shard}"), &format!("r{shard}-{zone}"), model);
        }
    }
    world
}

fn paused(shard: usize, place: usize) -> ReplicaModel {
    ReplicaModel {
        pause: ms(250),
        pause_every: ms(6_000),
        pause_phase: ms((shard * 3 + place) as u64 * 197),
        ..ReplicaModel::default()
    }
}

/// Share of requests that succeeded within the goal, and of those that were whole.
fn shares(world: &ForwardWorld) -> (f64, f64) {
    let all = world.ended.len() as f64;
    let whole = world
        .ended
        .iter()
        .filter(|ended| ended.missing() == Some(0));
    (world.in_time(GOAL) as f64 / all, whole.count() as f64 / all)
}

fn assert_budget(world: &ForwardWorld) {
    for shard in 0..SHARDS {
        let (extras, firsts) = world.worst_window(&format!("s{shard}"));
        let allowed = firsts as f64 * 0.2 + 56.0;
        assert!(extras as f64 <= allowed, "s{shard}: {extras} of {firsts}");
    }
}

/// Each replica stands still one part in 24 of the time: a query over ten shards meets one in three
/// times.
#[test]
fn pauses_are_hedged() {
    let mut world = world(31, paused);
    world.load(0, 180, ms(3_000), ms(20_000));
    world.run(ms(3_000));
    let (in_time, whole) = shares(&world);
    assert!(in_time > 0.99, "{in_time}");
    assert!(whole > 0.93, "{whole}");
    assert_budget(&world);
    let extras = world.sends.iter().filter(|send| send.extra).count();
    assert!(
        extras * 10 < world.sends.len(),
        "{extras} of {}",
        world.sends.len()
    );
}

/// All replicas of a shard are silent for five seconds: answers leave it out in time.
#[test]
fn a_dark_shard_is_left_out() {
    let from = START + ms(3_000);
    let mut world = world(31, |shard, place| ReplicaModel {
        dark: (shard == 3).then_some((from, from + ms(5_000))),
        ..paused(shard, place)
    });
    world.load(0, 180, ms(3_000), ms(12_000));
    world.run(ms(3_000));
    let (in_time, _) = shares(&world);
    assert!(in_time > 0.97, "{in_time}");
    assert_budget(&world);
}

/// One replica in seven turns nine times slower.
#[test]
fn slow_replicas_are_gone_around() {
    let mut world = world(31, |shard, place| ReplicaModel {
        work: ms(if (shard * 3 + place) % 7 == 0 {
            180
        } else {
            20
        }),
        ..paused(shard, place)
    });
    world.load(0, 180, ms(3_000), ms(12_000));
    world.run(ms(3_000));
    let (in_time, whole) = shares(&world);
    assert!(in_time > 0.99, "{in_time}");
    assert!(whole > 0.9, "{whole}");
    assert_budget(&world);
}

/// Two of three replicas refuse most of their requests; the third could serve all. The budget holds,
/// and the work goes to the third.
#[test]
fn shedding_replicas_do_not_break_the_budget() {
    let mut world = world(31, |shard, place| ReplicaModel {
        sheds_pct: if place == 0 { 0 } else { 60 },
        ..paused(shard, place)
    });
    // The third serves 150 a second.
    world.load(0, 110, ms(3_000), ms(15_000));
    world.run(ms(3_000));
    assert_budget(&world);
    let (in_time, _) = shares(&world);
    assert!(in_time > 0.85, "{in_time}");
}

/// One shard has a single replica left, which can't serve all, and another one is down: each request
/// needs the crowded one. Most of what it can serve is served in time; the rest is refused early or
/// late, never all of them late.
#[test]
fn a_crowded_shard_serves_what_it_can_in_time() {
    let rate = 180;
    let mut world = world(60, |_, _| ReplicaModel::default());
    for zone in ZONES {
        world.drain(&format!("r4-{zone}"));
        if zone != "a" {
            world.drain(&format!("r5-{zone}"));
        }
    }
    world.load(0, rate, ms(3_000), ms(10_000));
    world.run(ms(3_000));
    // Three slots of 20 ms serve 150 a second.
    let (in_time, _) = shares(&world);
    assert!(in_time > 0.9 * 150.0 / rate as f64, "{in_time}");
    let refused = world
        .ended
        .iter()
        .filter(|ended| matches!(ended.answer, ForwardAnswer::NotRun { .. }));
    for ended in refused {
        assert!(ended.age() < GOAL / 4, "a refusal comes at once: {ended:?}");
        let key = (ended.daemon, ended.query);
        assert!(
            world.sends.iter().all(|send| send.request != key),
            "it has not run"
        );
    }
}

/// No more than a replica's connections are in use by all daemons, also when all is slow.
#[test]
fn connections_are_shared() {
    let mut world = world(26, |_, _| ReplicaModel {
        work: ms(150),
        ..ReplicaModel::default()
    });
    world.load(0, 300, ms(1_200), ms(5_000));
    assert!(world.most_out * 8 <= 26, "{} each", world.most_out);
}

/// A request runs on at most two replicas of a shard, whatever happens.
#[test]
fn attempts_are_bounded() {
    let mut world = world(31, |shard, place| ReplicaModel {
        breaks_pct: 20,
        sheds_pct: if place == 1 { 30 } else { 0 },
        ..paused(shard, place)
    });
    world.load(0, 200, ms(3_000), ms(10_000));
    world.run(ms(3_000));
    let most = world.runs.values().max().copied();
    assert!(most <= Some(2), "{most:?}");
    assert_budget(&world);
}
