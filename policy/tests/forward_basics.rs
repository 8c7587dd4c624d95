//! Tests the forwarding engine with single requests: to which replicas they are sent and how they
//! are answered.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use forward_kit::{
    gather,
    ms,
    route,
    ForwardSimulation,
    ReplicaModel,
    START, //
};
use policy::forward::{
    ForwardAnswer,
    RefusalReason, //
};
use schema::{
    RouteSpec,
    RouteTarget,
    TimePoint, //
};

fn single_route() -> RouteSpec {
    route("single", RouteTarget::Single("s0".parse().unwrap()))
}

fn non_idempotent_route() -> RouteSpec {
    RouteSpec {
        idempotent: false,
        ..single_route()
    }
}

fn simulation(spec: RouteSpec) -> ForwardSimulation {
    ForwardSimulation::new(&["a"], vec![spec], 60)
}

fn local_replica() -> ReplicaModel {
    ReplicaModel::default()
}

fn remote_replica() -> ReplicaModel {
    ReplicaModel {
        zone: "b",
        ..local_replica()
    }
}

#[test]
fn the_nearest_replica_is_chosen() {
    let mut simulation = simulation(single_route());
    simulation.add("s0", "near", local_replica());
    simulation.add("s0", "far", remote_replica());
    let query = simulation.send_request(0, 0, ms(1_000));
    simulation.advance(ms(500));
    assert!(matches!(
        simulation.answered_request(query).answer,
        ForwardAnswer::Relayed { .. }
    ));
    assert!(simulation.answered_request(query).latency() < ms(40));
    assert_eq!(simulation.sent_attempts.len(), 1);
}

/// For each fault of the nearest replica: whether an idempotent and a non-idempotent request are
/// answered, and how many replicas run them.
#[test]
fn faults_of_the_nearest_replica() {
    let down = ReplicaModel {
        down: true,
        ..local_replica()
    };
    let refuses = ReplicaModel {
        refuses_pct: 100,
        ..local_replica()
    };
    let breaks = ReplicaModel {
        breaks_pct: 100,
        ..local_replica()
    };
    let fails = ReplicaModel {
        status: 500,
        ..local_replica()
    };
    // Fault, whether the request runs, and whether it is answered if idempotent and if not.
    let cases = [
        ("down", down, false, true, true),
        ("refuses", refuses, false, true, true),
        ("breaks", breaks, true, true, false),
        ("fails", fails, true, true, true),
    ];
    for (fault, model, ran, if_idempotent, if_not_idempotent) in cases {
        for (spec, success) in [
            (single_route(), if_idempotent),
            (non_idempotent_route(), if_not_idempotent),
        ] {
            let idempotent = spec.idempotent;
            let mut simulation = simulation(spec);
            simulation.add("s0", "far", remote_replica());
            // First attempts that give the retry budget room for extra attempts.
            simulation.send_load(0, 50, ms(1_000), ms(1_000));
            simulation.add("s0", "near", model.clone());
            let query = simulation.send_request(0, 0, ms(1_000));
            simulation.advance(ms(1_500));
            let answered = simulation.answered_request(query);
            assert_eq!(
                answered.is_success(),
                success,
                "{fault} {idempotent} {answered:?}"
            );
            let executions = simulation.executions.get(&(0, query, "s0".into())).copied();
            let expected = u32::from(ran) + u32::from(!ran || idempotent);
            assert_eq!(executions, Some(expected), "{fault} {idempotent}");
        }
    }
}

#[test]
fn a_non_idempotent_request_is_never_hedged() {
    let mut simulation = simulation(non_idempotent_route());
    simulation.add("s0", "far", remote_replica());
    simulation.send_load(0, 50, ms(3_000), ms(1_000));
    let slow = ReplicaModel {
        service_time: ms(900),
        ..local_replica()
    };
    simulation.add("s0", "near", slow);
    let query = simulation.send_request(0, 0, ms(3_000));
    simulation.advance(ms(2_500));
    assert!(simulation.answered_request(query).is_success());
    let sent_attempts = simulation
        .sent_attempts
        .iter()
        .filter(|attempt| attempt.request == (0, query));
    assert_eq!(sent_attempts.count(), 1);
}

#[test]
fn a_request_without_replicas_is_refused_at_once() {
    let mut simulation = simulation(single_route());
    let query = simulation.send_request(0, 0, ms(1_000));
    let answered = simulation.answered_request(query);
    assert_eq!(answered.answered_at, START);
    let ForwardAnswer::NotRun {
        reason,
        retry_after,
    } = &answered.answer
    else {
        panic!("{answered:?}");
    };
    assert_eq!(*reason, RefusalReason::NoReplica);
    assert!(!retry_after.is_zero());
    assert!(simulation.sent_attempts.is_empty());
}

#[test]
fn a_draining_replica_gets_no_new_requests() {
    let mut simulation = simulation(single_route());
    simulation.add("s0", "near", local_replica());
    simulation.add("s0", "far", remote_replica());
    let earlier = simulation.send_request(0, 0, ms(1_000));
    simulation.drain("near");
    simulation.advance(ms(300));
    assert!(
        simulation.answered_request(earlier).is_success(),
        "a request in flight completes"
    );
    simulation.sent_attempts.clear();
    for _ in 0..20 {
        simulation.send_request(0, 0, ms(1_000));
        simulation.advance(ms(50));
    }
    assert!(simulation
        .answered
        .iter()
        .all(|answered| answered.is_success()));
    assert!(simulation
        .answered
        .iter()
        .skip(1)
        .all(|answered| answered.latency() > ms(20)));
}

/// Number of shards that are down, the minimum share, and the number of missing shards in the
/// answer, if there is one.
#[test]
fn a_gather_needs_its_minimum_share() {
    let cases = [
        (0, 0.89, Some(0)),
        (1, 0.89, Some(1)),
        (2, 0.89, None),
        (2, 0.8, Some(2)),
        (3, 0.75, None),
        (10, 0.1, None),
    ];
    for (down, share, missing) in cases {
        let mut simulation = simulation(route("all", gather(10, share)));
        for shard in down..10 {
            simulation.add(&format!("s{shard}"), &format!("r{shard}"), local_replica());
        }
        let query = simulation.send_request(0, 0, ms(1_000));
        simulation.advance(ms(900));
        let answered = simulation.answered_request(query);
        assert_eq!(answered.missing(), missing, "{down} {share}");
        if missing.is_none() {
            assert_eq!(answered.answered_at, START, "{down} {share}");
            assert!(
                simulation.sent_attempts.is_empty(),
                "refused before anything is sent"
            );
        }
    }
}

#[test]
fn a_late_shard_is_left_out_at_the_goal() {
    let mut simulation = simulation(route("all", gather(10, 0.89)));
    for shard in 0..10 {
        let service_time = if shard == 0 { ms(2_000) } else { ms(20) };
        let model = ReplicaModel {
            service_time,
            ..local_replica()
        };
        simulation.add(&format!("s{shard}"), &format!("r{shard}"), model);
    }
    let query = simulation.send_request(0, 0, ms(3_000));
    simulation.advance(ms(900));
    let answered = simulation.answered_request(query);
    assert_eq!(answered.missing(), Some(1));
    assert!(
        answered.latency() > ms(150) && answered.latency() < ms(200),
        "{answered:?}"
    );
}

#[test]
fn a_gather_below_its_share_waits_past_the_goal() {
    let mut simulation = simulation(route("all", gather(10, 0.89)));
    for shard in 0..10 {
        let service_time = if shard < 2 { ms(400) } else { ms(20) };
        let model = ReplicaModel {
            service_time,
            ..local_replica()
        };
        simulation.add(&format!("s{shard}"), &format!("r{shard}"), model);
    }
    let query = simulation.send_request(0, 0, ms(3_000));
    simulation.advance(ms(900));
    let answered = simulation.answered_request(query);
    assert_eq!(
        answered.missing(),
        Some(1),
        "the reply of one late shard is enough"
    );
}

#[test]
fn a_caller_retry_keeps_the_goal_of_its_first_request() {
    let mut simulation = simulation(route("all", gather(10, 0.89)));
    for shard in 0..10 {
        let service_time = if shard == 0 { ms(2_000) } else { ms(20) };
        let model = ReplicaModel {
            service_time,
            ..local_replica()
        };
        simulation.add(&format!("s{shard}"), &format!("r{shard}"), model);
    }
    simulation.send_request(0, 0, ms(3_000));
    simulation.advance(ms(900));
    // The caller has already waited for 120 ms at another daemon.
    let retry = simulation.send_request(0, 0, ms(2_880));
    simulation.advance(ms(900));
    assert!(simulation.answered_request(retry).latency() < ms(80));
}

#[test]
fn a_disconnected_caller_cancels_its_attempts() {
    let mut simulation = simulation(route("all", gather(3, 0.5)));
    for shard in 0..3 {
        let model = ReplicaModel {
            service_time: ms(700),
            ..local_replica()
        };
        simulation.add(&format!("s{shard}"), &format!("r{shard}"), model);
    }
    let query = simulation.send_request(0, 0, ms(3_000));
    simulation.advance(ms(10));
    simulation.drop_caller(0, query);
    assert_eq!(simulation.engines[0].in_flight(), 0);
    assert_eq!(
        simulation.in_flight_attempts(),
        0,
        "no attempt outlives its caller"
    );
}

#[test]
fn an_answer_is_sent_by_the_deadline() {
    let mut simulation = simulation(single_route());
    let silent = ReplicaModel {
        silent: Some((START, START + ms(60_000))),
        ..local_replica()
    };
    simulation.add("s0", "near", silent);
    let query = simulation.send_request(0, 0, ms(800));
    simulation.advance(ms(2_000));
    let answered = simulation.answered_request(query);
    assert_eq!(
        answered.answer,
        ForwardAnswer::Failed {
            reason: RefusalReason::Deadline
        }
    );
    assert!(answered.latency() <= ms(800));
}

/// A part without attempts in flight and without retry budget must fail at the goal of its request,
/// not only at its deadline.
#[test]
fn a_part_without_retry_budget_fails_at_the_goal() {
    let mut simulation = simulation(single_route());
    let fails = ReplicaModel {
        breaks_pct: 100,
        ..local_replica()
    };
    simulation.add("s0", "near", fails);
    let query = simulation.send_request(0, 0, ms(3_000));
    simulation.advance(ms(4_000));
    let answered = simulation.answered_request(query);
    assert_eq!(
        answered.answer,
        ForwardAnswer::Failed {
            reason: RefusalReason::UpstreamFailed
        }
    );
    assert!(answered.latency() <= ms(220), "{answered:?}");
}

/// A success without a signature does not come from the replica, and 503 tells the caller that
/// nothing ran; neither may be relayed for a request that did run.
#[test]
fn unsigned_successes_and_503_are_not_relayed() {
    for (status, signed, relayed) in [
        (200, false, false),
        (503, true, false),
        (500, true, true),
        (404, true, true),
        (404, false, true),
    ] {
        let mut simulation = simulation(non_idempotent_route());
        let model = ReplicaModel {
            status,
            signed,
            ..local_replica()
        };
        simulation.add("s0", "near", model);
        let query = simulation.send_request(0, 0, ms(1_000));
        simulation.advance(ms(2_000));
        let answered = simulation.answered_request(query);
        assert_eq!(
            answered.is_success(),
            relayed,
            "{status} {signed} {answered:?}"
        );
        let not_run = matches!(answered.answer, ForwardAnswer::NotRun { .. });
        assert!(!not_run, "status {status}: the request ran");
    }
}

/// After a whole window without requests a daemon knows that it has spent none of its retry budget,
/// so it may use its part of the slack.
#[test]
fn the_first_request_after_an_idle_window_is_hedged() {
    for (idle, hedged) in [(ms(10_500), true), (ms(1_000), false)] {
        let mut simulation = ForwardSimulation::new(&["a", "b"], vec![single_route()], 31);
        simulation.add("s0", "near", local_replica());
        simulation.add("s0", "far", remote_replica());
        simulation.advance(idle);
        simulation.models.get_mut("near").unwrap().silent = Some((START, TimePoint::NEVER));
        let query = simulation.send_request(0, 0, ms(2_000));
        simulation.advance(ms(2_500));
        let extra_attempts = simulation
            .sent_attempts
            .iter()
            .filter(|attempt| attempt.extra)
            .count();
        assert_eq!(
            extra_attempts > 0,
            hedged,
            "after {idle:?}: {extra_attempts}"
        );
        assert_eq!(
            simulation.answered_request(query).is_success(),
            hedged,
            "after {idle:?}"
        );
    }
}
