//! When a replica counts as cold, and which rate all daemons keep for it then.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use std::time::Duration;

use forward_kit::{
    ms,
    START, //
};
use policy::places::{
    ColdBounds,
    ColdPhase,
    ColdState, //
};
use schema::{
    ColdLimit,
    TimePoint, //
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
