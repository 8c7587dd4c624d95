//! Gathers of a large fleet whose daemons each send too few requests to keep connections to the replicas:
//! a few daemons near the replicas gather for the others.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use forward_kit::{
    gather,
    ms,
    route,
    ForwardSimulation,
    ReplicaModel, //
};
use policy::forward::LoggedEvent;
use schema::{
    BundleVersion,
    RouteSpec,
    RouteTable, //
};

const ZONES: [&str; 3] = ["a", "b", "c"];
const DAEMONS: usize = 60;
const SHARDS: usize = 6;
/// Connections that a replica accepts, of which 24 are shared: fewer than daemons.
const CONNECTIONS: u32 = 40;
/// Daemons that gather in each data centre: four of the shared connections each, over three data centres.
const DELEGATES: usize = 2;
const ATTEMPTS: u32 = 3;
const PER_SECOND: u64 = 50;

/// `daemons` daemons in three data centres, and a replica of each shard in each.
fn fleet(daemons: usize) -> ForwardSimulation {
    let all = RouteSpec {
        attempts: ATTEMPTS,
        ..route("all", gather(SHARDS, 0.8))
    };
    let zones: Vec<&'static str> = ZONES.into_iter().cycle().take(daemons).collect();
    let mut simulation = ForwardSimulation::new(&zones, vec![all], CONNECTIONS);
    for shard in 0..SHARDS {
        for zone in ZONES {
            let model = ReplicaModel {
                zone,
                slots: 8,
                service_time: ms(10),
                ..ReplicaModel::default()
            };
            simulation.add(&format!("s{shard}"), &format!("s{shard}-{zone}"), model);
        }
    }
    simulation
}

/// Daemons that sent requests to replicas.
fn senders(simulation: &ForwardSimulation) -> BTreeSet<usize> {
    let sent = simulation.sent_attempts.iter();
    sent.map(|attempt| attempt.request.0).collect()
}

/// Daemons to which requests were handed.
fn delegates(simulation: &ForwardSimulation) -> BTreeSet<usize> {
    simulation.sent_relays.iter().map(|relay| relay.2).collect()
}

fn load(simulation: &mut ForwardSimulation, seconds: u64) {
    simulation.send_load(0, PER_SECOND, ms(1_000), Duration::from_secs(seconds));
    simulation.advance(Duration::from_secs(2));
}

/// Requests that were answered with success, and all.
fn served(simulation: &ForwardSimulation) -> (usize, usize) {
    let answered = &simulation.answered;
    let served = answered.iter().filter(|answered| answered.is_success());
    (served.count(), answered.len())
}

fn avoided(simulation: &ForwardSimulation, wanted: &str) -> usize {
    let logged = simulation.logged.iter();
    let avoided = logged.filter(|(_, event)| {
        matches!(event, LoggedEvent::DelegateAvoided { cause, .. } if *cause == wanted)
    });
    avoided.count()
}

/// Guards against a fleet in which each daemon opens connections to all replicas for a gather in some
/// seconds.
#[test]
fn few_daemons_send_requests_to_replicas() {
    let mut simulation = fleet(DAEMONS);
    load(&mut simulation, 10);
    assert_eq!(senders(&simulation).len(), ZONES.len() * DELEGATES);
    let complete = |answered: &&forward_kit::AnsweredRequest| answered.missing() == Some(0);
    let complete = simulation.answered.iter().filter(complete).count();
    assert_eq!((complete, simulation.answered.len()), (500, 500));
    // Each shard of each request was sent once, but for hedges.
    let first = simulation.sent_attempts.iter().filter(|sent| !sent.extra);
    assert_eq!(first.count(), 500 * SHARDS);
    assert!(simulation.most_in_flight <= 4);
}

/// Guards against hand-overs where each daemon can hold its own connections.
#[test]
fn a_small_fleet_gathers_itself() {
    let mut simulation = fleet(8);
    load(&mut simulation, 5);
    assert!(simulation.sent_relays.is_empty());
    assert_eq!(served(&simulation), (250, 250));
}

/// Answers that were no success, with the time that each took.
fn failures(simulation: &ForwardSimulation) -> Vec<Duration> {
    let failed = simulation
        .answered
        .iter()
        .filter(|answered| !answered.is_success());
    failed.map(forward_kit::AnsweredRequest::latency).collect()
}

/// Guards against a delegate that is frozen, cut off or of an older build and gets gathers again and again.
#[test]
fn a_silent_delegate_is_avoided() {
    let mut simulation = fleet(DAEMONS);
    load(&mut simulation, 2);
    let silent = *delegates(&simulation).first().unwrap();
    simulation.mute.insert(silent);
    load(&mut simulation, 10);
    // Each of the 20 daemons of its data centre tries it once. There is no budget to repeat what it may have
    // sent, so the caller can go elsewhere soon after the goal.
    let failures = failures(&simulation);
    assert!(failures.len() <= 20, "{}", failures.len());
    assert!(
        failures.iter().all(|latency| *latency <= ms(320)),
        "{failures:?}"
    );
    assert!(avoided(&simulation, "silent") >= failures.len());
}

/// Guards against a fleet that serves nobody after all delegates are lost at once.
#[test]
fn requests_are_served_without_any_delegate() {
    let mut simulation = fleet(DAEMONS);
    load(&mut simulation, 2);
    let lost = delegates(&simulation);
    simulation.mute.extend(&lost);
    load(&mut simulation, 5);
    simulation.answered.clear();
    load(&mut simulation, 10);
    let (served, all) = served(&simulation);
    assert!(20 * served >= 19 * all, "{served} of {all}");
    for shard in 0..SHARDS {
        let (extra, first) = simulation.worst_budget_window(&format!("s{shard}"));
        assert!(
            extra as f64 <= 0.2 * first as f64 + 56.0,
            "{extra}, {first}"
        );
    }
}

/// Guards against callers that wait for a delegate whose process has ended.
#[test]
fn requests_of_a_killed_delegate_end_at_once() {
    let mut simulation = fleet(DAEMONS);
    load(&mut simulation, 2);
    let killed = *delegates(&simulation).first().unwrap();
    simulation.answered.clear();
    for daemon in 0..DAEMONS {
        simulation.send_request(daemon, 0, ms(1_000));
    }
    simulation.advance(ms(5));
    simulation.mute.insert(killed);
    simulation.break_relays(killed);
    simulation.advance(ms(10));
    // There is no budget to repeat what it may have sent, so its callers can go elsewhere.
    let failures = failures(&simulation);
    assert!(failures.len() >= 5, "{}", failures.len());
    simulation.advance(ms(1_000));
    let (served, all) = served(&simulation);
    assert_eq!((served, all), (DAEMONS - failures.len(), DAEMONS));
    for sent in &simulation.sent_relays {
        assert_eq!(sent.3.attempts, ATTEMPTS - 1);
    }
}

/// Guards against refusals of delegates that reach callers or count as repeats.
#[test]
fn a_delegate_that_takes_nothing_costs_no_repeat() {
    for refusal in ["not_ready", "no_room", "old_table", "new_table", "stranded"] {
        let mut simulation = fleet(DAEMONS);
        simulation.relays_end = Some(refusal);
        load(&mut simulation, 3);
        assert_eq!(served(&simulation), (150, 150), "{refusal}");
        let extra = simulation.sent_attempts.iter().filter(|sent| sent.extra);
        let first = simulation.sent_attempts.iter().filter(|sent| !sent.extra);
        assert_eq!(first.count(), 150 * SHARDS);
        assert!(extra.count() <= 150 * SHARDS / 10, "{refusal}");
        assert!(avoided(&simulation, refusal) > 0);
    }
}

/// Guards against giving up a delegate that waits for slow replicas.
#[test]
fn a_delegate_that_waits_for_replicas_is_kept() {
    let mut simulation = fleet(DAEMONS);
    load(&mut simulation, 2);
    for model in simulation.models.values_mut() {
        model.service_time = ms(350);
        model.slots = 200;
        model.queue_limit = 1_000;
    }
    load(&mut simulation, 3);
    assert_eq!(served(&simulation), (250, 250));
    assert_eq!(avoided(&simulation, "silent"), 0);
}

/// Guards against work that goes on at a delegate after the caller has left.
#[test]
fn a_caller_that_leaves_ends_the_work_of_delegates() {
    let mut simulation = fleet(DAEMONS);
    load(&mut simulation, 2);
    let delegates = delegates(&simulation);
    let daemon = (0..DAEMONS)
        .find(|daemon| !delegates.contains(daemon))
        .unwrap();
    let query = simulation.send_request(daemon, 0, ms(1_000));
    simulation.advance(ms(12));
    assert!(simulation.in_flight_attempts() > 0);
    simulation.drop_caller(daemon, query);
    simulation.advance(ms(300));
    assert_eq!(simulation.in_flight_attempts(), 0);
}

/// Guards against shards of two route tables in one answer: a gather that arrived before a new table is
/// handed over by the old one, also to a second delegate, and a plan made for the old table is not used for
/// the new one, which may have fewer shards.
#[test]
fn a_gather_keeps_the_route_table_with_which_it_arrived() {
    let mut simulation = fleet(DAEMONS);
    load(&mut simulation, 2);
    let delegates = delegates(&simulation);
    let daemon = (0..DAEMONS)
        .find(|daemon| !delegates.contains(daemon))
        .unwrap();
    simulation.relays_end = Some("not_ready");
    simulation.relayed_shards.clear();
    simulation.send_request(daemon, 0, ms(1_000));
    let newer = RouteTable {
        version: BundleVersion(2),
        routes: vec![RouteSpec {
            attempts: ATTEMPTS,
            ..route("all", gather(2, 0.5))
        }],
        services: simulation.index.table.services.clone(),
        ..RouteTable::default()
    };
    simulation.apply_table(daemon, newer);
    simulation.advance(ms(100));
    assert_eq!(simulation.relayed_shards.len(), 2, "a second delegate");
    for (table, shards) in &simulation.relayed_shards {
        assert_eq!((*table, shards.len()), (BundleVersion(1), SHARDS));
    }
    simulation.relays_end = None;
    simulation.advance(ms(1_000));
    simulation.relayed_shards.clear();
    simulation.send_request(daemon, 0, ms(1_000));
    assert_eq!(simulation.relayed_shards, [(BundleVersion(2), vec![0, 1])]);
}
