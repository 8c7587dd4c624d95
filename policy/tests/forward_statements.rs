//! What replicas say of themselves in their replies: that they leave, or want a rest.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use std::time::Duration;

use forward_kit::{
    gather,
    ms,
    route,
    ForwardSimulation,
    ReplicaModel, //
};
use policy::forward::{
    ForwardAnswer,
    ForwardEvent,
    LimitStatement,
    LoggedEvent,
    RefusalReason,
    ReplicaStatements,
    UnreadableStatement, //
};
use schema::{
    RouteTarget,
    TimePoint, //
};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// A gather over three shards, two of which are enough.
const GATHER: usize = 0;
/// One replica.
const SINGLE: usize = 1;

/// A daemon in `a`, and a replica of each of three services in each data centre.
fn cluster() -> ForwardSimulation {
    let single = RouteTarget::Single("s0".parse().unwrap());
    let routes = vec![route("all", gather(3, 0.6)), route("one", single)];
    let mut simulation = ForwardSimulation::new(&["a"], routes, 40);
    for service in ["s0", "s1", "s2"] {
        for zone in ZONES {
            let model = ReplicaModel {
                zone,
                service_time: ms(5),
                ..ReplicaModel::default()
            };
            simulation.add(service, &format!("{service}-{zone}"), model);
        }
    }
    simulation
}

fn leaving() -> ReplicaStatements {
    ReplicaStatements {
        leaving: true,
        ..ReplicaStatements::default()
    }
}

/// What makes a replica behave in another way.
type ModelChange = fn(&mut ReplicaModel);

/// Changes the model of a replica.
fn change(simulation: &mut ForwardSimulation, name: &str, change: impl Fn(&mut ReplicaModel)) {
    change(simulation.models.get_mut(name).unwrap());
}

/// Requests that were sent to a replica from `from` on.
fn sent_to(simulation: &ForwardSimulation, name: &str, from: TimePoint) -> usize {
    let sent = simulation.sent_attempts.iter();
    let sent = sent.filter(|attempt| attempt.replica == name && attempt.sent_at >= from);
    sent.count()
}

fn load(simulation: &mut ForwardSimulation, span: Duration) {
    let end = simulation.now + span;
    while simulation.now < end {
        simulation.send_request(0, GATHER, ms(2_000));
        simulation.send_request(0, SINGLE, ms(2_000));
        simulation.advance(ms(20));
    }
}

/// Guards against a word that is heard in some replies only (issue 25, DRAIN): a success, a failure, a
/// refusal, a part of a gather, the reply to a hedge that is not needed any more.
#[test]
fn each_kind_of_reply_tells_that_a_replica_leaves() {
    let success = |_: &mut ReplicaModel| {};
    let fails = |model: &mut ReplicaModel| model.status = 500;
    let refuses = |model: &mut ReplicaModel| model.refuses_pct = 100;
    let late = |model: &mut ReplicaModel| model.service_time = ms(90);
    let kinds: [(&str, ModelChange); 4] = [
        ("success", success),
        ("failure", fails),
        ("refusal", refuses),
        ("late", late),
    ];
    for route in [GATHER, SINGLE] {
        for (kind, make) in kinds {
            let mut simulation = cluster();
            load(&mut simulation, ms(500));
            simulation.advance(ms(500));
            change(&mut simulation, "s0-a", make);
            change(&mut simulation, "s0-a", |model| {
                model.statements = leaving()
            });
            simulation.send_request(0, route, ms(2_000));
            simulation.advance(ms(1_000));
            let from = simulation.now;
            load(&mut simulation, ms(500));
            assert_eq!(sent_to(&simulation, "s0-a", from), 0, "{route} {kind}");
        }
    }
}

/// Guards against a word that is forgotten: after a refresh of the registration, its expiry and return,
/// or a store that goes back. A new start under the same id is free of it.
#[test]
fn the_word_holds_for_one_start_of_a_replica() {
    let mut simulation = cluster();
    change(&mut simulation, "s0-a", |model| {
        model.statements = leaving()
    });
    load(&mut simulation, ms(500));
    let from = simulation.now;
    simulation.list("s0-a");
    load(&mut simulation, ms(500));
    simulation.unlist("s0-a");
    load(&mut simulation, ms(500));
    simulation.advance(ms(3_000));
    simulation.list("s0-a");
    load(&mut simulation, ms(500));
    assert_eq!(sent_to(&simulation, "s0-a", from), 0);
    // The directory says that it drains, and a store that went back says that it is ready.
    simulation.drain("s0-a");
    simulation.list("s0-a");
    load(&mut simulation, ms(500));
    assert_eq!(sent_to(&simulation, "s0-a", from), 0);
    change(&mut simulation, "s0-a", |model| {
        model.born_ms = 2;
        model.statements = ReplicaStatements::default();
    });
    simulation.list("s0-a");
    load(&mut simulation, ms(500));
    assert!(sent_to(&simulation, "s0-a", from) > 0);
}

/// Guards against requests that wait where all replicas of a service leave: a gather answers without the
/// shard, and a request for that service alone is refused at once.
#[test]
fn a_service_whose_replicas_all_leave_is_left_out() {
    let mut simulation = cluster();
    load(&mut simulation, ms(500));
    for zone in ZONES {
        let name = format!("s0-{zone}");
        change(&mut simulation, &name, |model| model.statements = leaving());
        // Each of them has to be heard: the others are away until then.
        simulation.send_request(0, SINGLE, ms(2_000));
        simulation.advance(ms(200));
    }
    simulation.advance(ms(1_000));
    let all = simulation.send_request(0, GATHER, ms(2_000));
    let one = simulation.send_request(0, SINGLE, ms(2_000));
    simulation.advance(ms(500));
    assert_eq!(simulation.answered_request(all).missing(), Some(1));
    let one = simulation.answered_request(one);
    let ForwardAnswer::NotRun {
        reason,
        retry_after,
    } = &one.answer
    else {
        panic!("{one:?}");
    };
    assert_eq!(*reason, RefusalReason::NoReplica);
    assert!(*retry_after >= ms(50) && one.latency() < ms(5));
}

/// Guards against a daemon that sends requests to a replica whose word it has passed on with the answer
/// of another daemon, and against other values than the platform's.
#[test]
fn a_helper_tells_which_replicas_leave_and_unknown_values_change_nothing() {
    let mut simulation = cluster();
    change(&mut simulation, "s0-a", |model| {
        model.statements.unreadable.push(UnreadableStatement {
            subject: "leaving",
            value: "yes".into(),
        });
    });
    load(&mut simulation, ms(500));
    assert!(sent_to(&simulation, "s0-a", TimePoint(0)) > 20);
    let unreadable = simulation.logged.iter();
    let unreadable =
        unreadable.filter(|(_, event)| matches!(event, LoggedEvent::StatementUnreadable { .. }));
    assert!(unreadable.count() > 0);
    change(&mut simulation, "s0-a", |model| {
        model.statements = leaving()
    });
    let mut other = cluster();
    load(&mut simulation, ms(500));
    let instances = simulation.engines[0].leaving_instances();
    assert_eq!(instances.len(), 1);
    let event = ForwardEvent::LeavingNamed { instances };
    other.engines[0].on_event(other.now, event, &mut Vec::new());
    load(&mut other, ms(500));
    assert_eq!(sent_to(&other, "s0-a", TimePoint(0)), 0);
}

fn rest(seconds: &str) -> ReplicaStatements {
    ReplicaStatements {
        rest: Some(seconds.parse().unwrap()),
        ..ReplicaStatements::default()
    }
}

/// Turns all requests at a replica away.
fn turn_away(simulation: &mut ForwardSimulation, name: &str, statements: &ReplicaStatements) {
    change(simulation, name, |model| {
        model.refuses_pct = 100;
        model.statements = statements.clone();
    });
}

/// Requests that reached a replica between half a second after `from` and `until`.
fn sent_between(
    simulation: &ForwardSimulation,
    name: &str,
    from: TimePoint,
    until: TimePoint,
) -> usize {
    let sent = simulation.sent_attempts.iter().filter(|attempt| {
        let in_time = attempt.sent_at > from + ms(500) && attempt.sent_at < until;
        attempt.replica == name && in_time
    });
    sent.count()
}

/// Guards against requests in the rest of a replica (issue 25, BUDGET): first tries, retries and hedges
/// count, a fraction of a second, too, and of two rests the one that ends last.
#[test]
fn a_replica_gets_the_rest_that_it_wants() {
    for (seconds, length) in [("3", ms(3_000)), ("0.75", ms(750)), ("10.5", ms(10_500))] {
        let mut simulation = cluster();
        load(&mut simulation, ms(500));
        turn_away(&mut simulation, "s0-a", &rest(seconds));
        let from = simulation.now;
        load(&mut simulation, length);
        let sent = sent_between(&simulation, "s0-a", from + ms(20), from + length);
        assert!(sent <= 2, "{seconds}: {sent} requests");
        // It gets requests again, one at a time until it serves one.
        change(&mut simulation, "s0-a", |model| {
            model.refuses_pct = 0;
            model.statements = ReplicaStatements::default();
        });
        let end = simulation.now;
        load(&mut simulation, ms(8_000));
        assert!(sent_to(&simulation, "s0-a", end) > 20, "{seconds}");
    }
    let mut simulation = cluster();
    load(&mut simulation, ms(500));
    // Two requests are on their way when the first is turned away; the second wants a shorter rest.
    simulation.send_request(0, SINGLE, ms(2_000));
    simulation.send_request(0, SINGLE, ms(2_000));
    turn_away(&mut simulation, "s0-a", &rest("3"));
    let from = simulation.now;
    simulation.advance(ms(1));
    turn_away(&mut simulation, "s0-a", &rest("0.2"));
    load(&mut simulation, ms(3_000));
    let sent = sent_between(&simulation, "s0-a", from, from + ms(3_000));
    assert!(sent <= 2, "{sent} requests");
}

/// Guards against a rest of no time that counts as one, and against a rest that goes on for a new start
/// of the replica or is forgotten when its registration expires.
#[test]
fn a_rest_holds_for_one_start_of_a_replica() {
    let mut simulation = cluster();
    load(&mut simulation, ms(500));
    change(&mut simulation, "s0-a", |model| {
        model.statements = rest("0")
    });
    let from = simulation.now;
    load(&mut simulation, ms(1_000));
    assert!(sent_to(&simulation, "s0-a", from + ms(500)) > 20);
    turn_away(&mut simulation, "s0-a", &rest("8"));
    load(&mut simulation, ms(500));
    let from = simulation.now;
    simulation.unlist("s0-a");
    load(&mut simulation, ms(500));
    simulation.list("s0-a");
    load(&mut simulation, ms(2_000));
    assert_eq!(sent_to(&simulation, "s0-a", from), 0);
    change(&mut simulation, "s0-a", |model| {
        model.born_ms = 2;
        model.refuses_pct = 0;
        model.statements = ReplicaStatements::default();
    });
    simulation.list("s0-a");
    load(&mut simulation, ms(1_000));
    // The new start is free of what the old one wanted, and of its failures.
    assert!(sent_to(&simulation, "s0-a", from) > 20);
}

/// Guards against requests that wait or fail late where all replicas of a service rest, and against a
/// time to come back that is not that of the first one.
#[test]
fn a_service_whose_replicas_all_rest_is_left_out() {
    let mut simulation = cluster();
    load(&mut simulation, ms(500));
    for (zone, seconds) in [("a", "6"), ("b", "4"), ("c", "8")] {
        turn_away(&mut simulation, &format!("s0-{zone}"), &rest(seconds));
    }
    load(&mut simulation, ms(1_000));
    simulation.advance(ms(500));
    let all = simulation.send_request(0, GATHER, ms(2_000));
    let one = simulation.send_request(0, SINGLE, ms(2_000));
    simulation.advance(ms(500));
    assert_eq!(simulation.answered_request(all).missing(), Some(1));
    let one = simulation.answered_request(one);
    let ForwardAnswer::NotRun {
        reason,
        retry_after,
    } = &one.answer
    else {
        panic!("{one:?}");
    };
    assert_eq!(*reason, RefusalReason::Resting);
    assert!(one.latency() < ms(5));
    assert!(
        *retry_after > ms(1_800) && *retry_after < ms(3_500),
        "{retry_after:?}"
    );
}

/// Guards against many daemons that come back at once at the end of a rest, and against a daemon that
/// sends all it has.
#[test]
fn nobody_rushes_in_at_the_end_of_a_rest() {
    let single = RouteTarget::Single("s0".parse().unwrap());
    let zones = ["a"; 12];
    let mut simulation = ForwardSimulation::new(&zones, vec![route("one", single)], 200);
    for name in ["s0-a", "s0-b"] {
        let model = ReplicaModel {
            zone: if name == "s0-a" { "a" } else { "b" },
            service_time: ms(30),
            slots: 20,
            queue_limit: 100,
            ..ReplicaModel::default()
        };
        simulation.add("s0", name, model);
    }
    simulation.send_load(0, 400, ms(2_000), ms(500));
    turn_away(&mut simulation, "s0-a", &rest("3"));
    simulation.send_load(0, 400, ms(2_000), ms(1_000));
    change(&mut simulation, "s0-a", |model| {
        model.refuses_pct = 0;
        model.statements = ReplicaStatements::default();
    });
    let from = simulation.now;
    simulation.send_load(0, 400, ms(2_000), ms(3_500));
    let back: Vec<TimePoint> = simulation
        .sent_attempts
        .iter()
        .filter(|attempt| attempt.replica == "s0-a" && attempt.sent_at > from)
        .map(|attempt| attempt.sent_at)
        .collect();
    let first = *back.first().unwrap();
    let within = |period| back.iter().filter(|at| **at < first + period).count();
    assert!(within(ms(20)) <= 4, "{} in the first 20 ms", within(ms(20)));
    assert!(within(ms(1_500)) > 100, "{}", within(ms(1_500)));
}

/// Guards against a rest that a limit hides, or the other way round.
#[test]
fn a_rest_and_a_limit_hold_side_by_side() {
    let mut simulation = cluster();
    load(&mut simulation, ms(500));
    let statements = ReplicaStatements {
        limit: LimitStatement::Limited("20".parse().unwrap()),
        ..rest("2")
    };
    turn_away(&mut simulation, "s0-a", &statements);
    let from = simulation.now;
    load(&mut simulation, ms(2_000));
    assert!(sent_between(&simulation, "s0-a", from + ms(20), from + ms(2_000)) <= 2);
    change(&mut simulation, "s0-a", |model| {
        model.refuses_pct = 0;
        model.statements.rest = None;
    });
    load(&mut simulation, ms(1_000));
    let from = simulation.now;
    load(&mut simulation, ms(4_000));
    let sent = sent_to(&simulation, "s0-a", from);
    // A daemon alone uses the whole limit; the platform allows half as much again.
    assert!((10..=125).contains(&sent), "{sent} requests in 4 s");
}
