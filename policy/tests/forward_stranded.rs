//! Daemons that lose their links to all replicas, and the requests that others forward for them.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use std::time::Duration;

use forward_kit::{
    gather,
    ms,
    name_of,
    route,
    ForwardSimulation,
    ReplicaModel,
    SimulatedCut, //
};
use policy::forward::{
    ForwardAnswer,
    ForwardEvent,
    LinkLoss,
    LoggedEvent,
    RefusalReason,
    RelayRefusal, //
};
use schema::{
    BundleVersion,
    QueryId,
    RouteSpec,
    RouteTarget, //
};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// A gather over four shards.
const GATHER: usize = 0;
/// One replica, runs at most once.
const ONCE: usize = 1;
/// One replica of a service with slow work.
const SLOW: usize = 2;
/// Time after a cut within which the daemon has to know: a quarter of the platform's settle window.
const KNOWN_WITHIN: Duration = Duration::from_millis(1_000);

fn single(service: &str) -> RouteTarget {
    RouteTarget::Single(service.parse().unwrap())
}

/// `daemons` daemons in three data centres, and a replica of each service in each.
fn cluster(daemons: usize) -> ForwardSimulation {
    let once = RouteSpec {
        idempotent: false,
        attempts: 1,
        ..route("once", single("s0"))
    };
    let slow = RouteSpec {
        goal: ms(600),
        timeout: ms(10_000),
        ..route("slow", single("slow"))
    };
    let gather = RouteSpec {
        attempts: 3,
        ..route("all", gather(4, 0.7))
    };
    let zones: Vec<&'static str> = ZONES.into_iter().cycle().take(daemons).collect();
    let mut simulation = ForwardSimulation::new(&zones, vec![gather, once, slow], 40);
    for service in ["s0", "s1", "s2", "s3", "slow"] {
        for zone in ZONES {
            let model = ReplicaModel {
                zone,
                // Replicas grow with the number of daemons.
                slots: 3 * daemons.div_ceil(8),
                service_time: if service == "slow" { ms(160) } else { ms(10) },
                ..ReplicaModel::default()
            };
            simulation.add(service, &format!("{service}-{zone}"), model);
        }
    }
    simulation
}

/// Sends each daemon requests of the routes in turn, `per_s` a second, for `span`.
fn load(simulation: &mut ForwardSimulation, per_s: u64, span: Duration) {
    let daemons = simulation.engines.len();
    let gap = Duration::from_micros(1_000_000 / per_s / daemons as u64);
    let end = simulation.now + span;
    let mut number = 0;
    while simulation.now < end {
        for daemon in 0..daemons {
            simulation.send_request(daemon, (number + daemon) % 3, ms(3_000));
            simulation.advance(gap);
        }
        number += 1;
    }
}

/// Requests of a daemon since the last call of `answered.clear()`: served, and all.
fn served_of(simulation: &ForwardSimulation, daemon: usize) -> (usize, usize) {
    let answered = simulation.answered.iter();
    let of_daemon: Vec<_> = answered.filter(|answer| answer.daemon == daemon).collect();
    let served = of_daemon.iter().filter(|answer| answer.is_success());
    (served.count(), of_daemon.len())
}

fn lost_at(simulation: &ForwardSimulation, daemon: usize) -> Option<LinkLoss> {
    simulation.engines[daemon]
        .status(simulation.now)
        .lost_links
        .map(|(loss, _)| loss)
}

/// Guards against a daemon that does not notice, or late, that it has lost its links, or that notices
/// their return only by the loss of a request.
#[test]
fn lost_links_are_noticed_soon_and_so_is_their_return() {
    for (cut, loss) in [
        (SimulatedCut::Hang, LinkLoss::Silent),
        (SimulatedCut::Refuse, LinkLoss::Unconnected),
    ] {
        let mut simulation = cluster(3);
        load(&mut simulation, 30, ms(1_000));
        simulation.cuts.insert(0, cut);
        // Refused connections show only where more of them are needed than are open.
        let per_s = if cut == SimulatedCut::Hang { 20 } else { 200 };
        load(&mut simulation, per_s, KNOWN_WITHIN);
        assert_eq!(lost_at(&simulation, 0), Some(loss), "{cut:?}");
        assert_eq!(lost_at(&simulation, 1), None);
        load(&mut simulation, 20, ms(3_000));
        simulation.cuts.clear();
        simulation.answered.clear();
        load(&mut simulation, 20, ms(2_000));
        assert_eq!(lost_at(&simulation, 0), None, "{cut:?}");
        simulation.advance(ms(3_000));
        let (served, all) = served_of(&simulation, 0);
        assert_eq!(served, all, "{cut:?}: a request was lost at the end");
    }
}

/// Guards against requests of a stranded daemon that are lost (issue 25, RECOVER): those that arrive
/// once it knows, and those in flight when the links were lost, if they may run again.
#[test]
fn requests_of_a_stranded_daemon_are_served_by_others() {
    for stranded in [1, 3, 5] {
        let mut simulation = cluster(8);
        load(&mut simulation, 20, ms(1_000));
        for daemon in 0..stranded {
            simulation.cuts.insert(daemon, SimulatedCut::Hang);
        }
        load(&mut simulation, 20, KNOWN_WITHIN);
        simulation.advance(ms(3_000));
        simulation.answered.clear();
        load(&mut simulation, 20, ms(3_000));
        simulation.advance(ms(3_000));
        for daemon in 0..8 {
            let (served, all) = served_of(&simulation, daemon);
            assert!(
                50 * served >= 49 * all,
                "{stranded}: {daemon}: {served} of {all}"
            );
        }
    }
}

/// Guards against a request that runs more often than its route allows because a stranded daemon and
/// the one that forwards it both send it, and against a second run of one that may run once.
#[test]
fn a_relayed_request_keeps_to_its_attempts() {
    let mut simulation = cluster(4);
    load(&mut simulation, 30, ms(1_000));
    let query = simulation.send_request(0, ONCE, ms(3_000));
    simulation.cuts.insert(0, SimulatedCut::Hang);
    load(&mut simulation, 30, ms(4_000));
    simulation.advance(ms(4_000));
    // The request that may run once was on its way, so it went to no other daemon.
    let answer = &simulation.answered_request(query).answer;
    assert!(matches!(answer, ForwardAnswer::Failed { .. }), "{answer:?}");
    for (_, _, _, terms) in &simulation.sent_relays {
        assert!(terms.attempts <= 3, "{terms:?}");
        assert!(!terms.sent || terms.attempts < 3, "{terms:?}");
    }
    for ((daemon, query, service), runs) in &simulation.executions {
        assert!(*runs <= 3, "{daemon} {query:?} {service}: {runs} runs");
    }
}

/// Guards against a request that is refused as not run although an attempt of the stranded daemon may
/// have run it, because the helper has not run it; and against one that no daemon has run but ends as if
/// it might have, because a helper declined it.
#[test]
fn what_a_helper_has_not_run_may_have_run_before() {
    let mut simulation = cluster(3);
    load(&mut simulation, 30, ms(1_000));
    let in_flight = simulation.send_request(0, SLOW, ms(3_000));
    simulation.advance(ms(20));
    simulation.cuts.insert(0, SimulatedCut::Hang);
    simulation.relays_end = Some("not_run");
    load(&mut simulation, 20, ms(2_000));
    let answer = &simulation.answered_request(in_flight).answer;
    assert!(matches!(answer, ForwardAnswer::Failed { .. }), "{answer:?}");
    assert!(lost_at(&simulation, 0).is_some());
    simulation.relays_end = Some("no_room");
    let once = simulation.send_request(0, ONCE, ms(3_000));
    simulation.advance(ms(1_000));
    let answer = &simulation.answered_request(once).answer;
    assert!(matches!(answer, ForwardAnswer::NotRun { .. }), "{answer:?}");
}

/// Guards against daemons that send a request in a circle or ask each other without end where nobody
/// reaches a replica: the request is refused at once, with a time to come back.
#[test]
fn requests_are_refused_at_once_where_no_daemon_has_links() {
    let mut simulation = cluster(8);
    load(&mut simulation, 20, ms(1_000));
    for daemon in 0..8 {
        simulation.cuts.insert(daemon, SimulatedCut::Hang);
    }
    load(&mut simulation, 20, ms(2_000));
    simulation.advance(ms(3_000));
    simulation.answered.clear();
    simulation.asks.clear();
    simulation.sent_relays.clear();
    load(&mut simulation, 20, ms(2_000));
    assert_eq!(simulation.sent_relays, []);
    for answered in &simulation.answered {
        let ForwardAnswer::NotRun {
            reason,
            retry_after,
        } = &answered.answer
        else {
            panic!("{answered:?}");
        };
        assert_eq!(*reason, RefusalReason::Stranded);
        assert!(*retry_after >= ms(100) && *retry_after <= ms(2_000));
        assert!(answered.latency() <= ms(300), "{answered:?}");
    }
    let asks = simulation.asks.len();
    assert!(asks <= 8 * 2 * 12, "{asks} questions in 2 s");
}

/// Guards against requests that wait at a daemon which is cut off from the other daemons, too.
#[test]
fn a_daemon_that_is_cut_off_from_everything_refuses_at_once() {
    let mut simulation = cluster(4);
    load(&mut simulation, 20, ms(1_000));
    simulation.cuts.insert(0, SimulatedCut::Hang);
    simulation.mute.extend([1, 2, 3]);
    while lost_at(&simulation, 0).is_none() {
        load(&mut simulation, 20, ms(50));
    }
    // The last reply is not a second old, and still none comes on the open connections.
    let first = simulation.send_request(0, GATHER, ms(3_000));
    simulation.advance(ms(600));
    let first = simulation.answered_request(first);
    assert!(
        matches!(first.answer, ForwardAnswer::NotRun { .. }),
        "{first:?}"
    );
    load(&mut simulation, 20, ms(3_000));
    simulation.advance(ms(3_000));
    simulation.answered.clear();
    load(&mut simulation, 20, ms(2_000));
    let (served, all) = served_of(&simulation, 0);
    assert!(served == 0 && all > 30, "{served} of {all}");
    let answered = simulation.answered.iter();
    for answered in answered.filter(|answered| answered.daemon == 0) {
        let refused = matches!(answered.answer, ForwardAnswer::NotRun { .. });
        assert!(refused && answered.latency() < ms(5), "{answered:?}");
    }
}

/// Guards against a relayed request that is charged to the retry budget although it is the first to
/// reach its service, and against one that is not although the stranded daemon had sent it.
#[test]
fn a_relayed_request_is_charged_as_what_it_is() {
    let mut simulation = cluster(4);
    load(&mut simulation, 60, ms(11_000));
    simulation.cuts.insert(0, SimulatedCut::Hang);
    load(&mut simulation, 60, ms(3_000));
    let mut counts = [0, 0];
    for (request, terms) in &simulation.relay_terms {
        let sent = simulation.sent_attempts.iter();
        let Some(first) = sent.clone().find(|attempt| attempt.request == *request) else {
            continue;
        };
        assert_eq!(first.extra, terms.sent, "{request:?} {terms:?}");
        counts[usize::from(terms.sent)] += 1;
    }
    assert!(counts[0] > 50 && counts[1] > 0, "{counts:?}");
}

/// Guards against a daemon that takes the end of all replicas for a loss of its own links and turns to
/// others for each request: they can't serve it either.
#[test]
fn replicas_that_are_all_down_cause_no_storm() {
    let mut simulation = cluster(8);
    load(&mut simulation, 20, ms(1_000));
    for model in simulation.models.values_mut() {
        model.down = true;
    }
    load(&mut simulation, 20, ms(2_000));
    simulation.sent_relays.clear();
    simulation.asks.clear();
    load(&mut simulation, 20, ms(2_000));
    assert_eq!(simulation.sent_relays, []);
    assert!(simulation.asks.len() <= 8 * 2 * 12);
    for model in simulation.models.values_mut() {
        model.down = false;
    }
    load(&mut simulation, 20, ms(2_000));
    simulation.advance(ms(3_000));
    simulation.answered.clear();
    load(&mut simulation, 20, ms(1_000));
    simulation.advance(ms(3_000));
    for daemon in 0..8 {
        let (served, all) = served_of(&simulation, daemon);
        assert_eq!(served, all);
    }
}

/// Guards against a loss that is seen where there is none: one service is silent, or some replicas of
/// each service are down.
#[test]
fn a_silent_service_or_lost_replicas_are_no_lost_links() {
    let mut simulation = cluster(3);
    load(&mut simulation, 30, ms(1_000));
    for zone in ZONES {
        let model = simulation.models.get_mut(&format!("s1-{zone}")).unwrap();
        model.silent = Some((simulation.now, simulation.now + ms(60_000)));
    }
    for service in ["s0", "s2", "slow"] {
        let model = simulation.models.get_mut(&format!("{service}-a")).unwrap();
        model.down = true;
    }
    load(&mut simulation, 30, ms(4_000));
    let lost = simulation.logged.iter();
    let lost = lost.filter(|(_, event)| matches!(event, LoggedEvent::LinksLost { .. }));
    assert_eq!(lost.count(), 0);
    assert_eq!(simulation.sent_relays, []);
}

/// Guards against requests that hang at a helper which was frozen, or are lost with one that was killed:
/// they go to another one, and new requests avoid it.
#[test]
fn a_helper_that_freezes_or_ends_loses_few_requests() {
    for frozen in [true, false] {
        let mut simulation = cluster(6);
        load(&mut simulation, 20, ms(1_000));
        simulation.cuts.insert(0, SimulatedCut::Hang);
        load(&mut simulation, 20, ms(3_000));
        let (_, _, helper, _) = *simulation.sent_relays.last().unwrap();
        simulation.mute.insert(helper);
        simulation.answered.clear();
        if !frozen {
            simulation.break_relays(helper);
        }
        let muted_at = simulation.now;
        load(&mut simulation, 20, ms(4_000));
        let later = simulation.sent_relays.iter();
        let later = later.filter(|(at, _, to, _)| *to == helper && *at > muted_at + ms(2_000));
        assert_eq!(later.count(), 0, "{frozen}: the helper is used on");
        simulation.advance(ms(4_000));
        let (served, all) = served_of(&simulation, 0);
        assert!(10 * served >= 8 * all, "{frozen}: {served} of {all}");
        let slow = simulation.answered.iter().filter(|answered| {
            answered.daemon == 0 && answered.is_success() && answered.latency() > ms(2_500)
        });
        assert_eq!(slow.count(), 0);
    }
}

/// Guards against work at replicas for a caller that has left the stranded daemon.
#[test]
fn a_caller_who_leaves_cancels_the_work_of_the_helper() {
    let mut simulation = cluster(3);
    load(&mut simulation, 20, ms(1_000));
    simulation.cuts.insert(0, SimulatedCut::Hang);
    load(&mut simulation, 20, ms(2_000));
    simulation.advance(ms(4_000));
    let query = simulation.send_request(0, SLOW, ms(3_000));
    simulation.advance(ms(40));
    assert!(simulation.in_flight_attempts() > 0);
    simulation.drop_caller(0, query);
    simulation.advance(ms(1));
    assert_eq!(simulation.in_flight_attempts(), 0);
}

/// Guards against many daemons that ask all others, and against a whole data centre that asks itself.
#[test]
fn few_daemons_are_asked_where_there_are_many() {
    let mut simulation = cluster(60);
    load(&mut simulation, 4, ms(1_000));
    // All daemons of the first data centre.
    for daemon in (0..60).step_by(3) {
        simulation.cuts.insert(daemon, SimulatedCut::Hang);
    }
    load(&mut simulation, 4, ms(2_500));
    simulation.advance(ms(3_000));
    simulation.answered.clear();
    simulation.asks.clear();
    load(&mut simulation, 4, ms(2_000));
    simulation.advance(ms(3_000));
    let per_daemon = simulation.asks.len() as f64 / 20.0 / 5.0;
    assert!(
        per_daemon <= 8.0,
        "{per_daemon} questions a second and daemon"
    );
    for daemon in 0..60 {
        let (served, all) = served_of(&simulation, daemon);
        assert!(50 * served >= 49 * all, "{daemon}: {served} of {all}");
    }
}

/// Guards against a helper that serves the callers of others worse than its own, or its own worse because
/// of them: it takes no more than it has room for, and refuses an older table.
#[test]
fn a_helper_takes_only_what_it_has_room_for() {
    let mut simulation = cluster(3);
    load(&mut simulation, 20, ms(1_000));
    let tables = (BundleVersion(1), BundleVersion(2));
    let now = simulation.now;
    let offer = simulation.engines[1].offer(now, &name_of(0), 1, tables);
    assert_eq!(offer, Err(RelayRefusal::OldTable));
    let tables = (BundleVersion(2), BundleVersion(1));
    let free = simulation.engines[1]
        .offer(now, &name_of(0), 1, tables)
        .unwrap();
    assert!((1..=64).contains(&free), "{free}");
    // Two of three daemons lean on the third with far more than it can serve.
    simulation.cuts.insert(0, SimulatedCut::Hang);
    simulation.cuts.insert(1, SimulatedCut::Hang);
    load(&mut simulation, 40, ms(2_000));
    simulation.advance(ms(3_000));
    simulation.answered.clear();
    for _ in 0..200 {
        for _ in 0..4 {
            simulation.send_request(0, GATHER, ms(1_000));
            simulation.send_request(1, GATHER, ms(1_000));
        }
        simulation.send_request(2, GATHER, ms(1_000));
        simulation.advance(ms(10));
    }
    simulation.advance(ms(2_000));
    let (own, all) = served_of(&simulation, 2);
    assert!(10 * own >= 9 * all, "{own} of {all} own requests served");
    let (relayed, _) = served_of(&simulation, 0);
    assert!(relayed > 0);
}

/// Guards against crash counts that grow because connections are refused behind a cut.
#[test]
fn a_cut_counts_no_crashes() {
    let mut simulation = cluster(3);
    load(&mut simulation, 30, ms(1_000));
    simulation.cuts.insert(0, SimulatedCut::Refuse);
    load(&mut simulation, 200, ms(3_000));
    assert!(lost_at(&simulation, 0).is_some());
    let counted = simulation.logged.iter();
    let counted = counted.filter(|(_, event)| matches!(event, LoggedEvent::CrashCounted { .. }));
    assert_eq!(counted.count(), 0);
    simulation.engines[0].on_event(simulation.now, ForwardEvent::TimerFired, &mut Vec::new());
}

/// Guards against a daemon that does not notice lost links because its callers use one service only.
#[test]
fn lost_links_are_noticed_with_requests_for_one_service() {
    let mut simulation = cluster(3);
    load(&mut simulation, 30, ms(1_000));
    simulation.advance(ms(1_000));
    simulation.cuts.insert(0, SimulatedCut::Hang);
    simulation.send_request(0, ONCE, ms(3_000));
    simulation.advance(ms(2_500));
    assert_eq!(lost_at(&simulation, 0), Some(LinkLoss::Silent));
}

/// Adds a replica that another program registers, of a service that no route names.
fn add_foreign_replica(simulation: &mut ForwardSimulation, down: bool) {
    simulation.foreign_service = Some("foreign");
    let model = ReplicaModel {
        down,
        ..ReplicaModel::default()
    };
    simulation.add("foreign", "foreign-1", model);
}

/// Guards against an outage of all replicas that never ends for a daemon, because a registration of another
/// service fails each health check (review/6, first outcome).
#[test]
fn a_foreign_registration_that_refuses_does_not_prolong_an_outage() {
    let mut simulation = ForwardSimulation::new(&["a", "b"], vec![route("one", single("s0"))], 40);
    for zone in ZONES {
        let model = ReplicaModel {
            zone,
            ..ReplicaModel::default()
        };
        simulation.add("s0", &format!("s0-{zone}"), model);
    }
    add_foreign_replica(&mut simulation, true);
    simulation.send_load(0, 40, ms(3_000), ms(1_000));
    for down in [true, false] {
        for zone in ZONES {
            let model = simulation.models.get_mut(&format!("s0-{zone}"));
            model.unwrap().down = down;
        }
        simulation.send_load(0, 40, ms(3_000), ms(4_500));
    }
    simulation.advance(ms(3_000));
    simulation.answered.clear();
    simulation.send_load(0, 40, ms(3_000), ms(1_000));
    simulation.advance(ms(3_000));
    for daemon in 0..2 {
        let (served, all) = served_of(&simulation, daemon);
        assert!(all > 0 && served == all, "{served} of {all}");
    }
}

/// Guards against a daemon that does not find out that it is cut off from all replicas, because a registration of
/// another service answers its health check (review/6, second outcome).
#[test]
fn a_foreign_registration_that_answers_does_not_hide_lost_links() {
    for cut in [SimulatedCut::Hang, SimulatedCut::Refuse] {
        let mut simulation = cluster(3);
        add_foreign_replica(&mut simulation, false);
        load(&mut simulation, 30, ms(1_000));
        simulation.cuts.insert(0, cut);
        load(&mut simulation, 200, KNOWN_WITHIN);
        assert!(lost_at(&simulation, 0).is_some(), "{cut:?}");
    }
}

/// Guards against a helper that is left alone for a second, for all requests, because the replicas of one service
/// have no room for a request of another route (review/9).
#[test]
fn a_helper_without_room_for_one_route_serves_the_others() {
    let mut simulation = cluster(3);
    load(&mut simulation, 60, ms(2_000));
    simulation.cuts.insert(0, SimulatedCut::Hang);
    load(&mut simulation, 60, ms(2_000));
    for zone in ZONES {
        let model = simulation.models.get_mut(&format!("slow-{zone}"));
        let model = model.unwrap();
        (model.service_time, model.queue_limit) = (ms(400), 1_000);
    }
    let start = simulation.now;
    let mut fast = Vec::new();
    while simulation.now < start + ms(5_000) {
        for daemon in [1, 2] {
            simulation.send_request(daemon, SLOW, ms(3_000));
        }
        simulation.send_request(0, SLOW, ms(3_000));
        fast.push(simulation.send_request(0, ONCE, ms(3_000)));
        simulation.advance(ms(20));
    }
    simulation.advance(ms(3_000));
    let declined = |(daemon, event): &(usize, LoggedEvent)| {
        let LoggedEvent::RelayEnded { outcome, .. } = event else {
            return false;
        };
        *daemon == 0 && outcome.as_str() == "no_room"
    };
    assert!(simulation.logged.iter().any(declined));
    let served = |query: &&QueryId| simulation.answered_request(**query).is_success();
    let served = fast.iter().filter(served).count();
    assert!(served * 10 >= fast.len() * 9, "{served} of {}", fast.len());
}
