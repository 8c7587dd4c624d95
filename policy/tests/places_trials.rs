//! Trials of refused requests with home regions.

#![allow(clippy::unwrap_used)]

mod crash_bench;
mod forward_kit;

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use crash_bench::{
    identity,
    single,
    CrashBench,
    SETTLE_PERIOD, //
};
use forward_kit::{
    ms,
    route, //
};
use policy::forward::{
    ForwardEvent,
    LoggedEvent,
    RouteIndex, //
};
use schema::{
    ReplicaEntry,
    RouteSpec,
    RouteTable, //
};

/// Guards against a request that crashes replicas, or a trial of it, that leaves the home region when its
/// replicas there are gone or tried.
#[test]
fn crashing_requests_and_their_trials_stay_at_home() {
    let mut bench = CrashBench::new(1, single(), 0);
    let spec = RouteSpec {
        homes: ["b".parse().unwrap()].into_iter().collect(),
        ..route("r", single())
    };
    let service = (*spec.services()[0]).clone();
    let table = RouteTable {
        services: vec![(service.clone(), 40)],
        routes: vec![spec],
        ..RouteTable::default()
    };
    bench.index = Arc::new(RouteIndex::new(table));
    bench.notify(0, ForwardEvent::TableApplied(bench.index.clone()));
    for zone in ["a", "b"] {
        for number in 0..8 {
            let entry = ReplicaEntry {
                name: format!("{zone}{number}").parse().unwrap(),
                service: service.clone(),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: zone.parse().unwrap(),
                slots: 4,
                draining: false,
                cold_left: Duration::ZERO,
                born_ms: 1,
            };
            bench.notify(0, ForwardEvent::ReplicaListed(entry));
        }
    }
    let mut used = BTreeSet::new();
    for _ in 0..40 {
        let query = bench.arrive(0, identity("crash", 1));
        let sent = bench.attempts_of(query);
        used.extend(sent.iter().map(|(_, command)| command.name.to_string()));
        bench.break_attempts(&sent, policy::forward::ProbeOutcome::Refused);
        let again = bench.attempts_of(query);
        used.extend(again.iter().map(|(_, command)| command.name.to_string()));
        bench.crash_all(query);
        bench.advance(SETTLE_PERIOD + ms(1_000));
    }
    let trials = bench.logged.iter();
    let trials = trials.filter(|event| matches!(event, LoggedEvent::TrialClaimed { .. }));
    assert!(trials.count() > 0);
    assert!(used.len() >= 3, "{used:?}");
    assert!(used.iter().all(|name| name.starts_with('b')), "{used:?}");
}
