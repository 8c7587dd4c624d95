//! Tests the forwarding engine under load and with faulty replicas: the share of requests that are
//! in time, and the use of the retry budget.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use std::time::Duration;

use forward_kit::{
    gather,
    ms,
    route,
    ForwardSimulation,
    ReplicaModel,
    START, //
};
use policy::forward::ForwardAnswer;
use schema::{
    RouteSpec,
    RouteTarget, //
};

const ZONES: [&str; 3] = ["a", "b", "c"];
const GOAL: Duration = Duration::from_millis(200);
const SHARDS: usize = 10;

fn gather_route() -> RouteSpec {
    route("all", gather(SHARDS, 0.89))
}

/// Eight daemons, and a replica of each shard in each data centre that behaves as `model` returns
/// for the indexes of shard and data centre.
fn simulation(connections: u32, model: impl Fn(usize, usize) -> ReplicaModel) -> ForwardSimulation {
    let zones = ["a", "a", "a", "b", "b", "c", "c", "c"];
    let mut simulation = ForwardSimulation::new(&zones, vec![gather_route()], connections);
    for shard in 0..SHARDS {
        for (zone_index, zone) in ZONES.into_iter().enumerate() {
            let model = ReplicaModel {
                zone,
                ..model(shard, zone_index)
            };
            simulation.add(&format!("s{shard}"), &format!("r{shard}-{zone}"), model);
        }
    }
    simulation
}

fn pausing_replica(shard: usize, zone_index: usize) -> ReplicaModel {
    ReplicaModel {
        pause: ms(250),
        pause_every: ms(6_000),
        pause_phase: ms((shard * 3 + zone_index) as u64 * 197),
        ..ReplicaModel::default()
    }
}

/// Share of the requests that succeeded within the goal, and share of those answered without a
/// missing shard.
fn success_shares(simulation: &ForwardSimulation) -> (f64, f64) {
    let all = simulation.answered.len() as f64;
    let complete = simulation
        .answered
        .iter()
        .filter(|answered| answered.missing() == Some(0));
    (
        simulation.successes_within(GOAL) as f64 / all,
        complete.count() as f64 / all,
    )
}

fn assert_budget(simulation: &ForwardSimulation) {
    for shard in 0..SHARDS {
        let (extra_attempts, first_attempts) = simulation.worst_budget_window(&format!("s{shard}"));
        let allowed = first_attempts as f64 * 0.2 + 56.0;
        assert!(
            extra_attempts as f64 <= allowed,
            "s{shard}: {extra_attempts} of {first_attempts}"
        );
    }
}

/// Each replica pauses for 1/24 of the time, so a request to ten shards meets a paused replica
/// about one time in three.
#[test]
fn replica_pauses_are_hedged() {
    let mut simulation = simulation(31, pausing_replica);
    simulation.send_load(0, 180, ms(3_000), ms(20_000));
    simulation.advance(ms(3_000));
    let (in_time_share, complete_share) = success_shares(&simulation);
    assert!(in_time_share > 0.99, "{in_time_share}");
    assert!(complete_share > 0.93, "{complete_share}");
    assert_budget(&simulation);
    let extra_attempts = simulation
        .sent_attempts
        .iter()
        .filter(|attempt| attempt.extra)
        .count();
    assert!(
        extra_attempts * 10 < simulation.sent_attempts.len(),
        "{extra_attempts} of {}",
        simulation.sent_attempts.len()
    );
}

/// All replicas of one shard are silent for five seconds. Requests must be answered in time without
/// it.
#[test]
fn a_silent_shard_is_left_out() {
    let from = START + ms(3_000);
    let mut simulation = simulation(31, |shard, zone_index| ReplicaModel {
        silent: (shard == 3).then_some((from, from + ms(5_000))),
        ..pausing_replica(shard, zone_index)
    });
    simulation.send_load(0, 180, ms(3_000), ms(12_000));
    simulation.advance(ms(3_000));
    let (in_time_share, _) = success_shares(&simulation);
    assert!(in_time_share > 0.97, "{in_time_share}");
    assert_budget(&simulation);
}

/// One replica in seven is nine times slower than the others.
#[test]
fn slow_replicas_are_avoided() {
    let mut simulation = simulation(31, |shard, zone_index| ReplicaModel {
        service_time: ms(if (shard * 3 + zone_index) % 7 == 0 {
            180
        } else {
            20
        }),
        ..pausing_replica(shard, zone_index)
    });
    simulation.send_load(0, 180, ms(3_000), ms(12_000));
    simulation.advance(ms(3_000));
    let (in_time_share, complete_share) = success_shares(&simulation);
    assert!(in_time_share > 0.99, "{in_time_share}");
    assert!(complete_share > 0.9, "{complete_share}");
    assert_budget(&simulation);
}

/// Two of three replicas refuse most of their requests, and the third could serve all. The retry
/// budget must hold, and the third replica must get the work.
#[test]
fn refusing_replicas_do_not_exceed_the_retry_budget() {
    let mut simulation = simulation(31, |shard, zone_index| ReplicaModel {
        refuses_pct: if zone_index == 0 { 0 } else { 60 },
        ..pausing_replica(shard, zone_index)
    });
    // The third replica can serve 150 requests per second.
    simulation.send_load(0, 110, ms(3_000), ms(15_000));
    simulation.advance(ms(3_000));
    assert_budget(&simulation);
    let (in_time_share, _) = success_shares(&simulation);
    assert!(in_time_share > 0.85, "{in_time_share}");
}

/// One shard has a single replica, which can't serve the whole load, and another shard is down, so
/// each request needs the overloaded shard. The engine must use most of the shard's capacity for
/// requests that are in time; others may be refused or late, but not every request may be late.
#[test]
fn an_overloaded_shard_serves_its_capacity_in_time() {
    let rate = 180;
    let mut simulation = simulation(60, |_, _| ReplicaModel::default());
    for zone in ZONES {
        simulation.drain(&format!("r4-{zone}"));
        if zone != "a" {
            simulation.drain(&format!("r5-{zone}"));
        }
    }
    simulation.send_load(0, rate, ms(3_000), ms(10_000));
    simulation.advance(ms(3_000));
    // Three slots with 20 ms per request serve 150 requests per second.
    let (in_time_share, _) = success_shares(&simulation);
    assert!(in_time_share > 0.9 * 150.0 / rate as f64, "{in_time_share}");
    let refused = simulation
        .answered
        .iter()
        .filter(|answered| matches!(answered.answer, ForwardAnswer::NotRun { .. }));
    for answered in refused {
        assert!(
            answered.latency() < GOAL / 4,
            "a refused request waited too long: {answered:?}"
        );
        let key = (answered.daemon, answered.query);
        assert!(
            simulation
                .sent_attempts
                .iter()
                .all(|attempt| attempt.request != key),
            "a refused request was sent to a replica"
        );
    }
}

/// All daemons together must not use more connections than a replica accepts, even if all replicas
/// are slow.
#[test]
fn daemons_share_the_connection_limit() {
    let mut simulation = simulation(26, |_, _| ReplicaModel {
        service_time: ms(150),
        ..ReplicaModel::default()
    });
    simulation.send_load(0, 300, ms(1_200), ms(5_000));
    assert!(
        simulation.most_in_flight * 8 <= 26,
        "{} connections for each daemon",
        simulation.most_in_flight
    );
}

/// At most two replicas of a shard may run a request, whatever faults occur.
#[test]
fn executions_per_shard_are_bounded() {
    let mut simulation = simulation(31, |shard, zone_index| ReplicaModel {
        breaks_pct: 20,
        refuses_pct: if zone_index == 1 { 30 } else { 0 },
        ..pausing_replica(shard, zone_index)
    });
    simulation.send_load(0, 200, ms(3_000), ms(10_000));
    simulation.advance(ms(3_000));
    let most_executions = simulation.executions.values().max().copied();
    assert!(most_executions <= Some(2), "{most_executions:?}");
    assert_budget(&simulation);
}

/// Guards against replicas that stay unused for long after they have been slow, while a queue of requests waits
/// for the only one that was not.
#[test]
fn replicas_that_were_slow_are_used_again_where_requests_queue() {
    const NAMES: [&str; 3] = ["one", "two", "three"];
    /// Time after the last slow reply within which the replicas are used again.
    const RECOVERY_PERIOD: Duration = Duration::from_secs(1);
    let slow = ms(2_900);
    let once = RouteSpec {
        idempotent: false,
        goal: ms(600),
        timeout: ms(3_000),
        ..route("once", RouteTarget::Single("s0".parse().unwrap()))
    };
    let mut simulation = ForwardSimulation::new(&["a"], vec![once], 60);
    for name in NAMES {
        simulation.add("s0", name, ReplicaModel::default());
    }
    // More than one replica can serve, less than two can.
    let per_s = 220;
    simulation.send_load(0, per_s, ms(3_000), ms(2_000));
    for name in &NAMES[1..] {
        simulation.models.get_mut(*name).unwrap().service_time = slow;
    }
    simulation.send_load(0, per_s, ms(3_000), ms(6_500));
    for name in NAMES {
        simulation.models.get_mut(name).unwrap().service_time = ms(20);
    }
    // What the slow replicas have begun to run ends.
    simulation.send_load(0, per_s, ms(3_000), slow + RECOVERY_PERIOD);
    simulation.answered.clear();
    simulation.send_load(0, per_s, ms(3_000), ms(2_000));
    let in_time = simulation.successes_within(ms(600));
    let all = simulation.answered.len();
    assert!(in_time as f64 >= 0.95 * all as f64, "{in_time} of {all}");
    assert!(all >= 400, "{all}");
}
