//! Replies whose HTTP status promises that the request has not run, of replicas that do not say so.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use forward_kit::{
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
    RouteSpec,
    RouteTarget, //
};

/// Statuses by which a caller knows that its request has not run.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];
/// Runs at most once.
const ONCE: usize = 0;
/// May run again.
const SAFE: usize = 1;

const FAILED: ForwardAnswer = ForwardAnswer::Failed {
    reason: RefusalReason::UpstreamFailed,
};

/// Daemons in the given data centres, with a far replica that works. Safe requests may run `attempts` times.
fn simulation(zones: &[&'static str], attempts: u32) -> ForwardSimulation {
    let target = RouteTarget::Single("s0".parse().unwrap());
    let once = RouteSpec {
        idempotent: false,
        ..route("once", target.clone())
    };
    let safe = RouteSpec {
        attempts,
        ..route("safe", target)
    };
    let mut simulation = ForwardSimulation::new(zones, vec![once, safe], 60);
    let far = ReplicaModel {
        zone: "b",
        ..ReplicaModel::default()
    };
    simulation.add("s0", "far", far);
    // First attempts that give the retry budget room for extra attempts.
    simulation.send_load(SAFE, 50, ms(1_000), ms(1_000));
    simulation
}

fn answer_of(simulation: &mut ForwardSimulation, route: usize) -> (ForwardAnswer, u32) {
    let query = simulation.send_request(0, route, ms(1_000));
    simulation.advance(ms(1_500));
    let runs = simulation.executions.get(&(0, query, "s0".into())).copied();
    let answered = simulation.answered_request(query);
    (answered.answer.clone(), runs.unwrap_or_default())
}

fn near(status: u16) -> ReplicaModel {
    ReplicaModel {
        status,
        ..ReplicaModel::default()
    }
}

/// Guards against a caller that is told that its request has not run, though a replica has run it.
#[test]
fn a_refusal_that_does_not_say_not_run_is_not_passed_on() {
    for status in REFUSALS {
        let mut once = simulation(&["a"], 2);
        once.add("s0", "near", near(status));
        assert_eq!(answer_of(&mut once, ONCE), (FAILED, 1), "{status}");
        let mut served = simulation(&["a"], 2);
        served.add("s0", "near", near(status));
        let (answer, runs) = answer_of(&mut served, SAFE);
        assert!(matches!(answer, ForwardAnswer::Relayed { .. }), "{status}");
        assert_eq!(runs, 2, "{status}");
        let mut failed = simulation(&["a"], 2);
        failed.models.get_mut("far").unwrap().status = status;
        assert_eq!(answer_of(&mut failed, SAFE), (FAILED, 2), "{status}");
        let refused = |(_, event): &(usize, LoggedEvent)| {
            let LoggedEvent::AttemptFailed {
                cause, status: by, ..
            } = event
            else {
                return false;
            };
            *cause == "ran_refused" && *by == Some(status)
        };
        assert!(once.logged.iter().any(refused), "{status}");
    }
}

/// Guards against a status that promises nothing and is no longer passed on.
#[test]
fn other_failures_of_the_request_are_passed_on() {
    for status in [302, 400, 404, 409, 425, 500] {
        let mut simulation = simulation(&["a"], 2);
        simulation.add("s0", "near", near(status));
        let (answer, runs) = answer_of(&mut simulation, ONCE);
        assert!(matches!(answer, ForwardAnswer::Relayed { .. }), "{status}");
        assert_eq!(runs, 1, "{status}");
    }
}

/// Guards against an attempt that truly did not run and hides another one that may have: the answer is no
/// refusal, in whatever order their replies come.
#[test]
fn a_true_refusal_says_nothing_of_another_attempt() {
    let refuses = ReplicaModel {
        refuses_pct: 100,
        ..ReplicaModel::default()
    };
    let slow = ReplicaModel {
        service_time: ms(400),
        ..near(429)
    };
    // The route, the replicas that the request meets, and the number of its runs.
    let cases = [
        ("refused, then run", ONCE, refuses.clone(), near(429), 1),
        (
            "run, refused, then run",
            SAFE,
            near(429),
            refuses.clone(),
            2,
        ),
        ("hedge refused while it runs", SAFE, slow, refuses, 2),
    ];
    for (case, route, near, far, expected) in cases {
        let mut simulation = simulation(&["a"], 2);
        *simulation.models.get_mut("far").unwrap() = ReplicaModel { zone: "b", ..far };
        simulation.add("s0", "near", near);
        let (answer, runs) = answer_of(&mut simulation, route);
        let failed = matches!(answer, ForwardAnswer::Failed { .. });
        assert!(
            failed && runs == expected,
            "{case}: {answer:?}, {runs} runs"
        );
    }
}

/// Guards against the same by way of another daemon of an older build, which passes such a reply on: the
/// daemon that answers the caller decides.
#[test]
fn a_refusal_that_another_daemon_passes_on_is_no_answer() {
    for route in [ONCE, SAFE] {
        let mut simulation = simulation(&["a", "a", "b", "c"], 3);
        for number in 0..20 {
            simulation.send_request(0, number % 2, ms(500));
            simulation.advance(ms(50));
        }
        simulation.cuts.insert(0, SimulatedCut::Hang);
        for _ in 0..40 {
            simulation.send_request(0, SAFE, ms(500));
            simulation.advance(ms(50));
        }
        simulation.sent_relays.clear();
        simulation.relays_end = Some("refused");
        let (answer, _) = answer_of(&mut simulation, route);
        assert_eq!(answer, FAILED);
        let helpers = if route == SAFE { 2 } else { 1 };
        assert_eq!(simulation.sent_relays.len(), helpers, "route {route}");
    }
}

/// Guards against a replica that fails fast and looks best: replies that are no answer to their request count
/// against it, whatever their status.
#[test]
fn replies_that_are_no_answer_count_against_the_replica() {
    let sent_to_near = |status: u16, signed: bool| {
        let mut simulation = simulation(&["a"], 2);
        let model = ReplicaModel {
            signed,
            service_time: ms(1),
            ..near(status)
        };
        simulation.add("s0", "near", model);
        simulation.sent_attempts.clear();
        simulation.send_load(ONCE, 200, ms(4_000), ms(1_000));
        simulation.advance(ms(1_000));
        let attempts = simulation.sent_attempts.iter();
        attempts.filter(|sent| sent.replica == "near").count()
    };
    let failing = sent_to_near(500, true);
    assert!(failing <= 20, "{failing} of 200");
    for (status, signed) in [(408, true), (429, true), (503, true), (200, false)] {
        let sent = sent_to_near(status, signed);
        assert_eq!(sent, failing, "{status}, signed {signed}");
    }
    for status in [200, 404, 409] {
        let sent = sent_to_near(status, true);
        assert!(sent > 150, "{status}: {sent} of 200");
    }
}
