//! When a replica counts as cold, and which rate all daemons keep for it then.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use std::{
    sync::Arc,
    time::Duration, //
};

use forward_kit::{
    ms,
    route,
    START, //
};
use policy::{
    forward::{
        ForwardAction,
        ForwardCall,
        ForwardEngine,
        ForwardEvent,
        ForwardFailure,
        ForwardReply,
        ForwardSettings,
        ReplicaKey,
        RequestIdentity,
        RouteIndex,
        SendCommand, //
    },
    places::{
        ColdPhase,
        ColdState, //
    },
};
use schema::{
    ColdBounds,
    ColdLimit,
    DaemonName,
    FleetEntry,
    FleetRecord,
    QueryId,
    ReplicaEntry,
    RouteSpec,
    RouteTable,
    RouteTarget,
    TimePoint,
    ZoneName, //
};

const PERIOD: Duration = Duration::from_secs(8);
const LIMIT: ColdLimit = ColdLimit {
    period: PERIOD,
    per_second: 10.0,
};
const BOUNDS: ColdBounds = ColdBounds {
    overage: 1.5,
    slack: 5.0,
};

/// The state of a replica that started `age` ago.
fn started(age: Duration) -> ColdState {
    let mut state = ColdState::default();
    let born_ms = START.0 / 1_000 - u64::try_from(age.as_millis()).unwrap();
    state.set_period(START, PERIOD, born_ms);
    state
}

fn is_cold(state: &ColdState, at: TimePoint) -> bool {
    state.phase(at) == ColdPhase::Cold
}

/// Guards against a replica that gets full traffic right after its start because its registration names no
/// time, and against one that counts as cold only because this daemon has just started.
#[test]
fn a_replica_is_cold_for_a_period_after_its_start() {
    let state = started(ms(3_000));
    assert!(is_cold(&state, START + ms(4_999)));
    assert!(!is_cold(&state, START + ms(5_001)));
    assert_eq!(started(ms(60_000)).phase(START), ColdPhase::Warm);
    // The clock of its VM is an hour ahead.
    let mut ahead = ColdState::default();
    ahead.set_period(START, PERIOD, START.0 / 1_000 + 3_600_000);
    assert!(is_cold(&ahead, START));
    assert!(!is_cold(&ahead, START + PERIOD));
    // The time of its start is unknown.
    let mut unknown = ColdState::default();
    unknown.set_period(START, PERIOD, 0);
    assert_eq!(unknown.phase(START), ColdPhase::Warm);
}

/// Guards against a time of the registration or of a health reply that is ignored, and against an older
/// registration that ends the cold time early.
#[test]
fn what_a_replica_says_counts() {
    let mut state = started(ms(60_000));
    state.record_listed(START, ms(2_000));
    assert!(is_cold(&state, START + ms(1_999)));
    state.record_listed(START + ms(100), Duration::ZERO);
    assert!(is_cold(&state, START + ms(1_999)));
    state.record_report(START + ms(200), ms(5_000));
    assert!(is_cold(&state, START + ms(5_199)));
    state.record_report(START + ms(300), Duration::ZERO);
    assert!(!is_cold(&state, START + ms(300)));
}

/// Guards against full traffic to a replica that could not be reached for a while and has restarted meanwhile.
#[test]
fn a_replica_that_returns_is_cold_unless_it_says_otherwise() {
    let mut state = started(ms(60_000));
    state.record_unreachable();
    // The first requests after the failure come before any reply.
    assert!(is_cold(&state, START + ms(60_000)));
    let back = START + ms(60_000);
    assert!(state.record_reached(back));
    assert!(!state.record_reached(back + ms(1)));
    assert!(is_cold(&state, back + PERIOD - ms(1)));
    assert!(!is_cold(&state, back + PERIOD));
    state.record_report(back + ms(10), Duration::ZERO);
    assert!(!is_cold(&state, back + ms(10)));
    // The daemon itself had lost its links.
    state.record_unreachable();
    state.forgive();
    assert!(!state.record_reached(back + ms(20)));
    assert!(!is_cold(&state, back + ms(20)));
}

/// Guards against full traffic the moment a replica is warm, and against a rate that is never lifted.
#[test]
fn full_traffic_returns_in_steps() {
    let mut state = ColdState::default();
    state.record_report(START, ms(1_000));
    let rate = |at: u64| {
        let rate = state.rate(START + ms(at), &LIMIT, &BOUNDS);
        rate.map(|rate| rate.per_second)
    };
    let rates = [0, 999, 1_000, 1_500, 2_000, 2_499, 2_500].map(rate);
    let expected = [10.0, 10.0, 20.0, 40.0, 80.0, 80.0].map(Some);
    assert_eq!(rates[..6], expected);
    assert_eq!(rates[6], None);
    let cold = state.rate(START, &LIMIT, &BOUNDS).unwrap();
    let bound = cold.per_second * (1.0 + cold.overage) + cold.slack;
    assert!((bound - 20.0).abs() < 1e-9);
}

/// An engine with a cold limit on its only service, and `replicas` replicas in one data centre.
fn engine(replicas: u64) -> (ForwardEngine, Arc<RouteIndex>) {
    let mut engine = ForwardEngine::new(ForwardSettings {
        cold_bounds: Some(BOUNDS),
        ..ForwardSettings::default()
    });
    let table = RouteTable {
        // The rate of a replica that has just turned cold allows the first request after 0.1 s.
        routes: vec![RouteSpec {
            goal: ms(1_000),
            ..route("r", RouteTarget::Single("s".parse().unwrap()))
        }],
        services: vec![("s".parse().unwrap(), 40)],
        cold_limits: vec![("s".parse().unwrap(), LIMIT)],
        ..RouteTable::default()
    };
    let index = Arc::new(RouteIndex::new(table));
    // Without a share of the fleet's rates, a daemon sends cold replicas next to nothing.
    let fleet = FleetEntry {
        record: FleetRecord {
            version: 1,
            daemons: vec![DaemonName::from_static("daemon")],
        },
        revision: 1,
    };
    let mut events = vec![
        ForwardEvent::FleetListed(fleet),
        ForwardEvent::TableApplied(index.clone()),
    ];
    for number in 0..replicas {
        events.push(ForwardEvent::ReplicaListed(ReplicaEntry {
            name: format!("i{number}").parse().unwrap(),
            service: "s".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "a".parse().unwrap(),
            slots: 2,
            draining: false,
            cold_left: Duration::ZERO,
            born_ms: 1,
        }));
    }
    for event in events {
        engine.on_event(START, event, &mut Vec::new());
    }
    (engine, index)
}

/// The replicas that are asked for their health after `event`.
fn checked(engine: &mut ForwardEngine, now: TimePoint, event: ForwardEvent) -> Vec<ReplicaKey> {
    let mut actions = Vec::new();
    engine.on_event(now, event, &mut actions);
    let checks = actions.into_iter().filter_map(|action| match action {
        ForwardAction::CheckHealth { replica, .. } => Some(replica),
        _ => None,
    });
    checks.collect()
}

/// Sends a request and returns its first attempt, which may wait for the rate of a cold replica.
fn send(engine: &mut ForwardEngine, now: TimePoint, index: &Arc<RouteIndex>) -> SendCommand {
    let call = ForwardCall {
        index: index.clone(),
        route: 0,
        time_left: Some(ms(3_000)),
        identity: RequestIdentity::default(),
        shards: Vec::new(),
        account: None,
        terms: None,
    };
    let query = QueryId(now.0);
    let mut actions = Vec::new();
    engine.on_event(now, ForwardEvent::Arrived { query, call }, &mut actions);
    for step in 0..300 {
        let mut sent = actions.drain(..).filter_map(|action| match action {
            ForwardAction::Send(command) => Some(command),
            _ => None,
        });
        if let Some(command) = sent.next() {
            return command;
        }
        drop(sent);
        let now = now + ms(10 * (step + 1));
        engine.on_event(now, ForwardEvent::TimerFired, &mut actions);
    }
    panic!("the request at {now:?} was not sent: {actions:?}");
}

fn reply() -> ForwardReply {
    ForwardReply {
        status: 200,
        stamp: Some("stamp".into()),
        ..ForwardReply::default()
    }
}

/// Guards against replicas that are not asked whether they are cold when they return from a failure or an
/// evacuation, and so stay limited though they are warm.
#[test]
fn replicas_that_return_are_asked_whether_they_are_cold() {
    let (mut engine, index) = engine(1);
    let first = send(&mut engine, START, &index);
    let failed = ForwardEvent::Failed {
        attempt: first.attempt,
        failure: ForwardFailure::Unconnected,
    };
    engine.on_event(START + ms(1), failed, &mut Vec::new());
    let later = START + ms(5_000);
    let second = send(&mut engine, later, &index);
    let replied = |attempt| ForwardEvent::Replied {
        attempt,
        reply: reply(),
    };
    let event = replied(second.attempt);
    assert_eq!(checked(&mut engine, later, event), [second.replica]);
    // One that was reached all the time is not asked.
    let third = send(&mut engine, later + ms(1), &index);
    let event = replied(third.attempt);
    assert!(checked(&mut engine, later + ms(2), event).is_empty());
    let zone: ZoneName = "a".parse().unwrap();
    for evacuated in [true, false] {
        let zone = zone.clone();
        let event = ForwardEvent::ZoneEvacuated { zone, evacuated };
        let asked = checked(&mut engine, later + ms(3), event);
        assert_eq!(asked.is_empty(), evacuated);
    }
}
