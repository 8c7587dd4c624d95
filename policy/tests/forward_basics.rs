//! One request at a time: what is sent where, and what its caller gets.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use forward_kit::{
    gather,
    ms,
    route,
    ForwardWorld,
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

fn single() -> RouteSpec {
    route("single", RouteTarget::Single("s0".parse().unwrap()))
}

fn unsafe_single() -> RouteSpec {
    RouteSpec {
        idempotent: false,
        ..single()
    }
}

fn world(spec: RouteSpec) -> ForwardWorld {
    ForwardWorld::new(&["a"], vec![spec], 60)
}

fn near() -> ReplicaModel {
    ReplicaModel::default()
}

fn far() -> ReplicaModel {
    ReplicaModel {
        zone: "b",
        ..near()
    }
}

#[test]
fn the_near_replica_serves() {
    let mut world = world(single());
    world.add("s0", "near", near());
    world.add("s0", "far", far());
    let query = world.ask(0, 0, ms(1_000));
    world.run(ms(500));
    assert!(matches!(
        world.end_of(query).answer,
        ForwardAnswer::Relayed { .. }
    ));
    assert!(world.end_of(query).age() < ms(40));
    assert_eq!(world.sends.len(), 1);
}

/// Each fault of the nearest replica, with what becomes of a request that may be repeated and of
/// one that may not, and how many replicas run them.
#[test]
fn faults_of_one_replica() {
    let down = ReplicaModel {
        down: true,
        ..near()
    };
    let sheds = ReplicaModel {
        sheds_pct: 100,
        ..near()
    };
    let breaks = ReplicaModel {
        breaks_pct: 100,
        ..near()
    };
    let fails = ReplicaModel {
        status: 500,
        ..near()
    };
    // Fault, whether it may have run, answered where it may be repeated, where it may not.
    let cases = [
        ("down", down, false, true, true),
        ("sheds", sheds, false, true, true),
        ("breaks", breaks, true, true, false),
        ("fails", fails, true, true, true),
    ];
    for (fault, model, ran, repeated, once) in cases {
        for (spec, served) in [(single(), repeated), (unsafe_single(), once)] {
            let idempotent = spec.idempotent;
            let mut world = world(spec);
            world.add("s0", "far", far());
            // Enough traffic for second sends.
            world.load(0, 50, ms(1_000), ms(1_000));
            world.add("s0", "near", model.clone());
            let query = world.ask(0, 0, ms(1_000));
            world.run(ms(1_500));
            let ended = world.end_of(query);
            assert_eq!(ended.is_success(), served, "{fault} {idempotent} {ended:?}");
            let runs = world.runs.get(&(0, query, "s0".into())).copied();
            let expected = u32::from(ran) + u32::from(!ran || idempotent);
            assert_eq!(runs, Some(expected), "{fault} {idempotent}");
        }
    }
}

#[test]
fn a_request_that_may_run_once_is_never_hedged() {
    let mut world = world(unsafe_single());
    world.add("s0", "far", far());
    world.load(0, 50, ms(3_000), ms(1_000));
    let slow = ReplicaModel {
        work: ms(900),
        ..near()
    };
    world.add("s0", "near", slow);
    let query = world.ask(0, 0, ms(3_000));
    world.run(ms(2_500));
    assert!(world.end_of(query).is_success());
    let sends = world.sends.iter().filter(|send| send.request == (0, query));
    assert_eq!(sends.count(), 1);
}

#[test]
fn nothing_up_is_refused_at_once_as_not_run() {
    let mut world = world(single());
    let query = world.ask(0, 0, ms(1_000));
    let ended = world.end_of(query);
    assert_eq!(ended.at, START);
    let ForwardAnswer::NotRun {
        reason,
        retry_after,
    } = &ended.answer
    else {
        panic!("{ended:?}");
    };
    assert_eq!(*reason, RefusalReason::NoReplica);
    assert!(!retry_after.is_zero());
    assert!(world.sends.is_empty());
}

#[test]
fn a_draining_replica_gets_nothing_new() {
    let mut world = world(single());
    world.add("s0", "near", near());
    world.add("s0", "far", far());
    let before = world.ask(0, 0, ms(1_000));
    world.drain("near");
    world.run(ms(300));
    assert!(
        world.end_of(before).is_success(),
        "what is under way finishes"
    );
    world.sends.clear();
    for _ in 0..20 {
        world.ask(0, 0, ms(1_000));
        world.run(ms(50));
    }
    assert!(world.ended.iter().all(|ended| ended.is_success()));
    assert!(world.ended.iter().skip(1).all(|ended| ended.age() > ms(20)));
}

/// Shards that are down, the share needed, and whether there is an answer.
#[test]
fn a_gather_needs_its_share() {
    let cases = [
        (0, 0.89, Some(0)),
        (1, 0.89, Some(1)),
        (2, 0.89, None),
        (2, 0.8, Some(2)),
        (3, 0.75, None),
        (10, 0.1, None),
    ];
    for (down, share, missing) in cases {
        let mut world = world(route("all", gather(10, share)));
        for shard in down..10 {
            world.add(&format!("s{shard}"), &format!("r{shard}"), near());
        }
        let query = world.ask(0, 0, ms(1_000));
        world.run(ms(900));
        let ended = world.end_of(query);
        assert_eq!(ended.missing(), missing, "{down} {share}");
        if missing.is_none() {
            assert_eq!(ended.at, START, "{down} {share}");
            assert!(world.sends.is_empty(), "refused before anything is sent");
        }
    }
}

#[test]
fn a_late_shard_is_left_out_just_before_the_goal() {
    let mut world = world(route("all", gather(10, 0.89)));
    for shard in 0..10 {
        let work = if shard == 0 { ms(2_000) } else { ms(20) };
        let model = ReplicaModel { work, ..near() };
        world.add(&format!("s{shard}"), &format!("r{shard}"), model);
    }
    let query = world.ask(0, 0, ms(3_000));
    world.run(ms(900));
    let ended = world.end_of(query);
    assert_eq!(ended.missing(), Some(1));
    assert!(ended.age() > ms(150) && ended.age() < ms(200), "{ended:?}");
}

#[test]
fn too_few_shards_are_waited_for_after_the_goal() {
    let mut world = world(route("all", gather(10, 0.89)));
    for shard in 0..10 {
        let work = if shard < 2 { ms(400) } else { ms(20) };
        let model = ReplicaModel { work, ..near() };
        world.add(&format!("s{shard}"), &format!("r{shard}"), model);
    }
    let query = world.ask(0, 0, ms(3_000));
    world.run(ms(900));
    let ended = world.end_of(query);
    assert_eq!(
        ended.missing(),
        Some(1),
        "the first of the two late ones is enough"
    );
}

#[test]
fn a_second_try_keeps_the_goal_of_the_first() {
    let mut world = world(route("all", gather(10, 0.89)));
    for shard in 0..10 {
        let work = if shard == 0 { ms(2_000) } else { ms(20) };
        let model = ReplicaModel { work, ..near() };
        world.add(&format!("s{shard}"), &format!("r{shard}"), model);
    }
    world.ask(0, 0, ms(3_000));
    world.run(ms(900));
    // This caller has waited for 120 ms at another daemon.
    let again = world.ask(0, 0, ms(2_880));
    world.run(ms(900));
    assert!(world.end_of(again).age() < ms(80));
}

#[test]
fn the_work_of_a_caller_that_left_ends() {
    let mut world = world(route("all", gather(3, 0.5)));
    for shard in 0..3 {
        let model = ReplicaModel {
            work: ms(700),
            ..near()
        };
        world.add(&format!("s{shard}"), &format!("r{shard}"), model);
    }
    let query = world.ask(0, 0, ms(3_000));
    world.run(ms(10));
    world.leave(0, query);
    assert_eq!(world.engines[0].in_flight(), 0);
    assert_eq!(world.under_way(), 0, "no attempt outlives its caller");
}

#[test]
fn an_answer_comes_by_the_deadline() {
    let mut world = world(single());
    let dark = ReplicaModel {
        dark: Some((START, START + ms(60_000))),
        ..near()
    };
    world.add("s0", "near", dark);
    let query = world.ask(0, 0, ms(800));
    world.run(ms(2_000));
    let ended = world.end_of(query);
    assert_eq!(
        ended.answer,
        ForwardAnswer::Failed {
            reason: RefusalReason::Deadline
        }
    );
    assert!(ended.age() <= ms(800));
}

/// Nothing under way and no further send in the budget: the caller is told once it is late, not at
/// its deadline.
#[test]
fn a_part_without_budget_is_given_up_at_the_goal() {
    let mut world = world(single());
    let fails = ReplicaModel {
        breaks_pct: 100,
        ..near()
    };
    world.add("s0", "near", fails);
    let query = world.ask(0, 0, ms(3_000));
    world.run(ms(4_000));
    let ended = world.end_of(query);
    assert_eq!(
        ended.answer,
        ForwardAnswer::Failed {
            reason: RefusalReason::UpstreamFailed
        }
    );
    assert!(ended.age() <= ms(220), "{ended:?}");
}

/// A success without a signature is not the replica's, and a status that says that nothing ran is
/// not passed on for a request that did.
#[test]
fn what_is_not_relayed() {
    for (status, stamped, relayed) in [
        (200, false, false),
        (503, true, false),
        (500, true, true),
        (404, true, true),
        (404, false, true),
    ] {
        let mut world = world(unsafe_single());
        let model = ReplicaModel {
            status,
            stamped,
            ..near()
        };
        world.add("s0", "near", model);
        let query = world.ask(0, 0, ms(1_000));
        world.run(ms(2_000));
        let ended = world.end_of(query);
        assert_eq!(ended.is_success(), relayed, "{status} {stamped} {ended:?}");
        let refused = matches!(ended.answer, ForwardAnswer::NotRun { .. });
        assert!(!refused, "{status}: it ran");
    }
}

/// A daemon that has run for a whole window without a request knows that it has spent nothing.
#[test]
fn the_first_request_after_a_quiet_window_is_hedged() {
    for (idle, hedged) in [(ms(10_500), true), (ms(1_000), false)] {
        let mut world = ForwardWorld::new(&["a", "b"], vec![single()], 31);
        world.add("s0", "near", near());
        world.add("s0", "far", far());
        world.run(idle);
        world.models.get_mut("near").unwrap().dark = Some((START, TimePoint::NEVER));
        let query = world.ask(0, 0, ms(2_000));
        world.run(ms(2_500));
        let extras = world.sends.iter().filter(|send| send.extra).count();
        assert_eq!(extras > 0, hedged, "after {idle:?}: {extras}");
        assert_eq!(world.end_of(query).is_success(), hedged, "after {idle:?}");
    }
}
