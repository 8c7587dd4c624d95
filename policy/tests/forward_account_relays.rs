//! Requests of accounts with a quota that other daemons forward: which of them count against it.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use std::sync::Arc;

use forward_kit::{
    ms,
    route,
    ForwardSimulation,
    ReplicaModel,
    SimulatedCut, //
};
use policy::forward::ForwardAnswer;
use schema::{
    AccountQuota,
    AccountSpec,
    RouteTarget, //
};

/// Two daemons, a replica near each, and requests of an account with a quota that is far away. The first daemon
/// has lost its links, and knows it.
fn stranded() -> ForwardSimulation {
    let spec = route("single", RouteTarget::Single("s0".parse().unwrap()));
    let mut simulation = ForwardSimulation::new(&["a", "b"], vec![spec], 40);
    for zone in ["a", "b"] {
        let model = ReplicaModel {
            zone,
            ..ReplicaModel::default()
        };
        simulation.add("s0", zone, model);
    }
    simulation.account = Some(Arc::new(AccountSpec {
        name: "acme".parse().unwrap(),
        keys: Default::default(),
        priority: None,
        quota: Some(AccountQuota {
            per_second: 1e6,
            burst: 1e6,
        }),
        homes: Default::default(),
    }));
    simulation.send_load(0, 40, ms(1_000), ms(1_000));
    simulation.cuts.insert(0, SimulatedCut::Hang);
    simulation.send_load(0, 40, ms(1_000), ms(3_000));
    simulation.advance(ms(2_000));
    assert!(simulation.engines[0]
        .status(simulation.now)
        .lost_links
        .is_some());
    simulation
}

fn returned(simulation: &ForwardSimulation, daemon: usize) -> u64 {
    simulation.engines[daemon]
        .status(simulation.now)
        .quota_returned
}

/// Guards against a quota that is used up by requests that no replica ran, and against one that does not count what
/// other daemons run: the daemon that the caller reached keeps the admission, and the other one has none.
#[test]
fn only_relayed_requests_that_did_not_run_give_their_admission_back() {
    let mut simulation = stranded();
    let ends = [
        (Some("not_run"), 1),
        (Some("answered"), 0),
        (Some("broken"), 0),
        // No daemon takes it, so it ends as refused.
        (Some("no_room"), 1),
        (None, 0),
    ];
    for (end, expected) in ends {
        simulation.relays_end = end;
        // A helper that declined or broke off is asked again after a while.
        simulation.advance(ms(5_000));
        let before = [returned(&simulation, 0), returned(&simulation, 1)];
        simulation.sent_relays.clear();
        let query = simulation.send_request(0, 0, ms(1_000));
        simulation.advance(ms(2_000));
        let answer = simulation.answered_request(query).answer.clone();
        assert!(!simulation.sent_relays.is_empty(), "{end:?} {answer:?}");
        let refused = matches!(answer, ForwardAnswer::NotRun { .. });
        assert_eq!(refused, end == Some("no_room"), "{end:?} {answer:?}");
        let given_back = returned(&simulation, 0) - before[0];
        assert_eq!(given_back, expected, "{end:?} {answer:?}");
        assert_eq!(returned(&simulation, 1), before[1], "{end:?}");
    }
}
