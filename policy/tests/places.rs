//! Where requests are served: home regions, evacuated data centres, and the daemons that may get a request.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use forward_kit::{
    gather,
    ms,
    route,
    ForwardSimulation,
    ReplicaModel,
    SimulatedCut, //
};
use policy::forward::{
    ForwardAnswer,
    LoggedEvent,
    RefusalReason, //
};
use schema::{
    AccountSpec,
    BundleVersion,
    RegionName,
    RouteSpec,
    RouteTable,
    RouteTarget, //
};

/// Each data centre is a region of the same name.
const ZONES: [&str; 3] = ["a", "b", "c"];

fn homes<const N: usize>(names: [&str; N]) -> Vec<RegionName> {
    names.map(|name| name.parse().unwrap()).into()
}

fn one(name: &str, at: &[RegionName]) -> RouteSpec {
    RouteSpec {
        homes: at.iter().cloned().collect(),
        ..route(name, RouteTarget::Single("s0".parse().unwrap()))
    }
}

fn account(at: &[RegionName]) -> Arc<AccountSpec> {
    Arc::new(AccountSpec {
        name: "acme".parse().unwrap(),
        keys: Default::default(),
        priority: None,
        quota: None,
        homes: at.iter().cloned().collect(),
    })
}

/// `daemons` daemons in the data centres in turn, and `replicas` replicas of each of `shards` services in each.
fn fleet(
    daemons: usize,
    routes: Vec<RouteSpec>,
    shards: usize,
    replicas: usize,
    connections: u32,
) -> ForwardSimulation {
    let zones: Vec<&'static str> = ZONES.into_iter().cycle().take(daemons).collect();
    let mut simulation = ForwardSimulation::new(&zones, routes, connections);
    for shard in 0..shards {
        for zone in ZONES {
            for number in 0..replicas {
                let model = ReplicaModel {
                    zone,
                    slots: 8,
                    service_time: ms(10),
                    ..ReplicaModel::default()
                };
                let name = format!("s{shard}-{zone}{number}");
                simulation.add(&format!("s{shard}"), &name, model);
            }
        }
    }
    simulation
}

/// Data centres of the replicas that were sent attempts from attempt number `from` on.
fn zones_used(simulation: &ForwardSimulation, from: usize) -> BTreeSet<&'static str> {
    let sent = simulation.sent_attempts[from..].iter();
    sent.map(|sent| simulation.models[&sent.replica].zone)
        .collect()
}

/// Data centres of the daemons to which requests were handed over.
fn zones_handed_to(simulation: &ForwardSimulation) -> BTreeSet<&'static str> {
    let relays = simulation.sent_relays.iter();
    relays
        .map(|(_, _, to, _)| ZONES[to % ZONES.len()])
        .collect()
}

fn served(simulation: &ForwardSimulation) -> (usize, usize) {
    let answered = &simulation.answered;
    let served = answered.iter().filter(|answered| answered.is_success());
    (served.count(), answered.len())
}

fn set_models(simulation: &mut ForwardSimulation, zone: &str, change: impl Fn(&mut ReplicaModel)) {
    let models = simulation.models.values_mut();
    for model in models.filter(|model| model.zone == zone) {
        change(model);
    }
}

/// The one answer of a simulation, which must be a refusal that came at once.
fn refusal(simulation: &ForwardSimulation) -> (RefusalReason, Duration) {
    let answered = simulation.answered.last().unwrap();
    assert_eq!(answered.latency(), Duration::ZERO);
    match answered.answer {
        ForwardAnswer::NotRun {
            reason,
            retry_after,
        } => (reason, retry_after),
        ref other => panic!("{other:?}"),
    }
}

/// Guards against hedges and retries that leave the home region while its replicas are slow, refuse requests,
/// break connections or are gone.
#[test]
fn a_request_stays_at_home_whatever_its_replicas_do() {
    let faults: [fn(&mut ReplicaModel); 5] = [
        |model| model.silent = Some((forward_kit::START, forward_kit::START + ms(60_000))),
        |model| model.service_time = ms(400),
        |model| model.refuses_pct = 60,
        |model| model.breaks_pct = 60,
        |model| model.down = true,
    ];
    let mut extra = 0;
    for fault in faults {
        let mut simulation = fleet(6, vec![one("r", &homes(["b"]))], 1, 3, 40);
        set_models(&mut simulation, "b", fault);
        simulation.send_load(0, 50, ms(1_000), ms(4_000));
        simulation.advance(ms(2_000));
        assert_eq!(zones_used(&simulation, 0), ["b"].into());
        assert!(simulation.sent_attempts.len() > 3);
        extra += simulation
            .sent_attempts
            .iter()
            .filter(|sent| sent.extra)
            .count();
        assert_eq!(simulation.answered.len(), 200);
    }
    assert!(extra > 100, "{extra}");
}

/// Guards against an account's homes that are ignored, or that widen those of the route.
#[test]
fn homes_of_route_and_account_both_apply() {
    let cases = [
        (homes([]), homes(["c"]), vec!["c"]),
        (homes(["a", "b"]), homes(["c", "b"]), vec!["b"]),
        (homes(["a", "b"]), homes([]), vec!["a"]),
        (homes(["a"]), homes(["c"]), vec![]),
    ];
    for (of_route, of_account, expected) in cases {
        let mut simulation = fleet(1, vec![one("r", &of_route)], 1, 2, 40);
        for _ in 0..20 {
            simulation.send_request_as(0, 0, ms(1_000), Some(account(&of_account)));
            simulation.advance(ms(100));
        }
        let expected: BTreeSet<&str> = expected.into_iter().collect();
        assert_eq!(zones_used(&simulation, 0), expected);
        let count = if expected.is_empty() { 0 } else { 20 };
        assert_eq!(served(&simulation), (count, 20));
    }
}

/// Guards against requests that wait although no replica in a home region can ever take them.
#[test]
fn requests_without_a_replica_at_home_are_refused_at_once() {
    let mut simulation = fleet(1, vec![one("r", &homes(["nowhere"]))], 1, 1, 40);
    simulation.send_request(0, 0, ms(1_000));
    let (reason, retry_after) = refusal(&simulation);
    assert_eq!(reason, RefusalReason::NoHome);
    assert!(retry_after >= ms(100));
    assert!(simulation.sent_attempts.is_empty());
}

/// Guards against a home region that is misspelt without notice, or reported with each request or version.
#[test]
fn an_unknown_home_is_reported_once() {
    let routes = vec![
        one("r", &homes(["nowhere", "a"])),
        one("q", &homes(["nowhere"])),
    ];
    let mut simulation = fleet(1, routes.clone(), 1, 1, 40);
    let table = |version, routes| RouteTable {
        version: BundleVersion(version),
        routes,
        services: vec![("s0".parse().unwrap(), 40)],
        ..RouteTable::default()
    };
    simulation.apply_table(0, table(2, routes));
    simulation.send_request(0, 0, ms(1_000));
    simulation.advance(ms(100));
    let unknown =
        |event: &&(usize, LoggedEvent)| matches!(event.1, LoggedEvent::HomeUnknown { .. });
    let events: Vec<_> = simulation.logged.iter().filter(unknown).collect();
    let expected = LoggedEvent::HomeUnknown {
        region: "nowhere".parse().unwrap(),
        routes: 2,
        accounts: 0,
    };
    assert_eq!(events, [&(0, expected)]);
    // The rest of the version is served.
    assert_eq!(served(&simulation), (1, 1));
}

/// Guards against a stranded daemon that hands a request with homes to a daemon elsewhere, and against one
/// that asks only the nearest daemons, which are all elsewhere.
#[test]
fn a_stranded_daemon_hands_requests_with_homes_to_daemons_at_home() {
    for cut in [SimulatedCut::Hang, SimulatedCut::Refuse] {
        let routes = vec![one("r", &homes(["c"])), one("open", &[])];
        let mut simulation = fleet(18, routes, 1, 4, 40);
        simulation.advance(ms(100));
        simulation.cuts.insert(0, cut);
        for _ in 0..150 {
            simulation.send_request(0, 0, ms(1_000));
            simulation.advance(ms(20));
        }
        simulation.advance(ms(2_000));
        assert_eq!(zones_handed_to(&simulation), ["c"].into(), "{cut:?}");
        assert_eq!(zones_used(&simulation, 0), ["c"].into());
        let (served, all) = served(&simulation);
        assert!(all == 150 && served >= 110, "{cut:?}: {served} of {all}");
    }
}

/// Guards against bodies that reach a daemon of an older build, which knows no homes and would serve them
/// anywhere.
#[test]
fn an_older_build_gets_no_request_with_homes() {
    let routes = vec![one("r", &homes(["c"])), one("open", &[])];
    let mut simulation = fleet(9, routes, 1, 4, 40);
    simulation.set_old_builds(&(1..9).collect::<Vec<_>>());
    simulation.advance(ms(100));
    simulation.cuts.insert(0, SimulatedCut::Hang);
    for _ in 0..100 {
        simulation.send_request(0, 0, ms(1_000));
        simulation.advance(ms(20));
    }
    simulation.advance(ms(2_000));
    assert!(simulation.sent_relays.is_empty());
    assert_eq!(zones_used(&simulation, 0), ["c"].into());
    assert_eq!(simulation.answered.len(), 100);
    // Requests without homes go to these daemons as before.
    simulation.send_request(0, 1, ms(1_000));
    simulation.advance(ms(1_000));
    assert_eq!(simulation.sent_relays.len(), 1);
}

fn gather_fleet(at: &[RegionName]) -> ForwardSimulation {
    let all = RouteSpec {
        homes: at.iter().cloned().collect(),
        attempts: 3,
        ..route("all", gather(4, 0.8))
    };
    fleet(60, vec![all], 4, 1, 40)
}

/// Guards against shards of a request with homes that delegates elsewhere gather.
#[test]
fn delegates_of_a_route_with_homes_are_at_home() {
    let mut simulation = gather_fleet(&homes(["b"]));
    simulation.send_load(0, 50, ms(1_000), ms(5_000));
    simulation.advance(ms(2_000));
    assert_eq!(zones_handed_to(&simulation), ["b"].into());
    assert_eq!(zones_used(&simulation, 0), ["b"].into());
    assert_eq!(served(&simulation), (250, 250));
}

/// Guards against branches that go to a delegate of the route's plan which is outside the homes of the
/// account, also as a second choice after one that takes nothing.
#[test]
fn delegates_outside_the_homes_of_the_account_get_no_shards() {
    for relays_end in [None, Some("no_room")] {
        let mut simulation = gather_fleet(&[]);
        simulation.relays_end = relays_end;
        for daemon in 0..60 {
            let account = account(&homes(["b"]));
            simulation.send_request_as(daemon, 0, ms(1_000), Some(account));
            simulation.advance(ms(20));
        }
        simulation.advance(ms(2_000));
        assert!(zones_handed_to(&simulation).is_subset(&["b"].into()));
        assert!(!simulation.sent_relays.is_empty());
        // The delegates know no account in this simulation, so only the attempts of others are compared.
        let own = simulation.sent_attempts.iter();
        let own = own.filter(|sent| sent.request.0 % 3 != 1);
        let mut zones = own.map(|sent| simulation.models[&sent.replica].zone);
        assert!(zones.all(|zone| zone == "b"));
        assert_eq!(served(&simulation), (60, 60));
    }
}

/// Guards against shards at delegates of an older build.
#[test]
fn a_daemon_gathers_itself_where_delegates_at_home_are_of_an_older_build() {
    let mut simulation = gather_fleet(&homes(["b"]));
    simulation.set_old_builds(&(0..60).collect::<Vec<_>>());
    simulation.send_load(0, 50, ms(1_000), ms(3_000));
    simulation.advance(ms(2_000));
    assert!(simulation.sent_relays.is_empty());
    assert_eq!(zones_used(&simulation, 0), ["b"].into());
    assert_eq!(served(&simulation), (150, 150));
}

/// Guards against parts that stay queued for the replicas of an evacuated data centre, and against hedges and
/// new requests that go there, at each daemon that knows the evacuation and only there.
#[test]
fn queued_parts_and_hedges_leave_an_evacuated_data_centre() {
    let mut simulation = fleet(3, vec![one("r", &[])], 1, 1, 40);
    set_models(&mut simulation, "a", |model| model.service_time = ms(150));
    // One more than the daemon has connections for; the rest is refused.
    for _ in 0..60 {
        simulation.send_request(0, 0, ms(2_000));
    }
    simulation.advance(ms(5));
    let refused = simulation.answered.len();
    assert!(simulation.engines[0].status(simulation.now).waiting > 0);
    simulation.evacuate(&[0, 1], "a", true);
    let sent = simulation.sent_attempts.len();
    simulation.send_load(0, 100, ms(1_000), ms(2_000));
    simulation.advance(ms(2_000));
    let after = &simulation.sent_attempts[sent..];
    let at_a = |daemon: usize| {
        let of_daemon = after.iter().filter(|sent| sent.request.0 == daemon);
        of_daemon.filter(|sent| sent.replica == "s0-a0").count()
    };
    assert_eq!([at_a(0), at_a(1)], [0, 0]);
    assert!(after.iter().any(|sent| sent.request.0 == 0));
    // The attempts in flight at the start ended normally.
    let (served, all) = served(&simulation);
    assert_eq!(served + refused, all);
    let evacuated = simulation.engines[0].status(simulation.now).evacuated;
    assert_eq!(evacuated, ["a".parse().unwrap()]);
    assert!(simulation.engines[2]
        .status(simulation.now)
        .evacuated
        .is_empty());
}

/// Guards against an evacuation that a new route table, or a replica that registers again or anew, ends.
#[test]
fn an_evacuation_lasts_until_it_is_ended() {
    let mut simulation = fleet(1, vec![one("r", &[])], 1, 1, 40);
    simulation.evacuate(&[0], "a", true);
    let table = RouteTable {
        version: BundleVersion(2),
        routes: vec![one("r", &[])],
        services: vec![("s0".parse().unwrap(), 40)],
        ..RouteTable::default()
    };
    simulation.apply_table(0, table);
    simulation.unlist("s0-a0");
    simulation.list("s0-a0");
    simulation.add("s0", "s0-a1", ReplicaModel::default());
    set_models(&mut simulation, "a", |model| model.born_ms = 2);
    simulation.list("s0-a1");
    simulation.send_load(0, 50, ms(1_000), ms(1_000));
    assert!(!zones_used(&simulation, 0).contains("a"));
    simulation.evacuate(&[0], "a", false);
    let sent = simulation.sent_attempts.len();
    simulation.send_load(0, 50, ms(1_000), ms(1_000));
    simulation.advance(ms(1_000));
    assert!(zones_used(&simulation, sent).contains("a"));
    assert_eq!(served(&simulation), (100, 100));
}

/// Guards against requests that wait where all data centres of a service are evacuated, or that can't run
/// again after the end of the evacuation.
#[test]
fn requests_are_refused_at_once_where_all_data_centres_are_evacuated() {
    let mut simulation = fleet(1, vec![one("r", &[]), one("b", &homes(["b"]))], 1, 1, 40);
    simulation.evacuate(&[0], "b", true);
    simulation.send_request(0, 1, ms(1_000));
    assert_eq!(refusal(&simulation).0, RefusalReason::Evacuated);
    simulation.evacuate(&[0], "a", true);
    simulation.evacuate(&[0], "c", true);
    simulation.send_request(0, 0, ms(1_000));
    let (reason, retry_after) = refusal(&simulation);
    assert_eq!(reason, RefusalReason::Evacuated);
    assert!(retry_after >= ms(100));
    assert!(simulation.sent_attempts.is_empty());
    simulation.evacuate(&[0], "c", false);
    simulation.send_request(0, 0, ms(1_000));
    simulation.advance(ms(1_000));
    assert_eq!(zones_used(&simulation, 0), ["c"].into());
}

/// Guards against parts that wait for their deadline when the last data centre is evacuated while they are
/// queued.
#[test]
fn queued_parts_are_refused_when_the_last_data_centre_is_evacuated() {
    let mut simulation = fleet(1, vec![one("r", &homes(["a"]))], 1, 1, 40);
    set_models(&mut simulation, "a", |model| model.service_time = ms(150));
    // One more than the daemon has connections for; the rest is refused.
    for _ in 0..60 {
        simulation.send_request(0, 0, ms(2_000));
    }
    simulation.advance(ms(5));
    let before = simulation.answered.len();
    let waiting = simulation.engines[0].status(simulation.now).waiting;
    assert!(waiting > 0);
    simulation.evacuate(&[0], "a", true);
    let refused = simulation.answered.iter();
    let refused =
        refused.filter(|answered| matches!(answered.answer, ForwardAnswer::NotRun { .. }));
    assert_eq!(refused.count(), before + waiting);
}

/// Guards against an unknown data centre that is not reported, or is shown and counted as evacuated.
#[test]
fn an_evacuation_of_an_unknown_data_centre_is_reported_once() {
    let mut simulation = fleet(1, vec![one("r", &[])], 1, 1, 40);
    simulation.evacuate(&[0], "moon", true);
    simulation.evacuate(&[0], "moon", false);
    let events: Vec<_> = simulation.logged.iter().map(|(_, event)| event).collect();
    let unknown = LoggedEvent::ZoneUnknown {
        zone: "moon".parse().unwrap(),
    };
    let reported = events.iter().filter(|event| ***event == unknown);
    assert_eq!(reported.count(), 1);
    let started = |event: &&&LoggedEvent| matches!(event, LoggedEvent::ZoneEvacuated { .. });
    assert_eq!(events.iter().filter(started).count(), 0);
    assert!(simulation.engines[0]
        .status(simulation.now)
        .evacuated
        .is_empty());
}
