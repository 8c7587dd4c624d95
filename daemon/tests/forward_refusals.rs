//! Replicas that run a request and answer with a status by which callers know that it has not run.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use std::time::Duration;

use forward_cluster::{
    wait_for,
    DaemonProcess,
    ForwardCluster, //
};
use platform_standin::{
    call,
    CallerReply,
    FakeReplica,
    LinkFault,
    LinkProxy,
    ReplicaFault,
    RouteText, //
};

/// Statuses by which callers know that a request has not run. With 421 a replica says so itself.
const REFUSALS: [u16; 3] = [408, 429, 503];

fn once_route() -> RouteText {
    RouteText {
        safe: false,
        ..RouteText::single("/once/", "s1")
    }
}

fn post(daemon: &DaemonProcess, id: &str) -> CallerReply {
    let patience = Duration::from_secs(2);
    call(daemon.callers(), "POST /once/x", id, patience, b"body")
}

/// Checks that the caller learns nothing of whether its request has run, and gets nothing of the reply.
fn check_failed(answer: &CallerReply) {
    assert_eq!(answer.status, 502, "{answer:?}");
    for header in ["server-stamp", "retry-after"] {
        assert_eq!(answer.header(header), "", "{answer:?}");
    }
    assert_eq!(answer.body, b"");
}

/// Guards against an order that runs twice: its caller is told that it has not run, and sends it again.
#[test]
fn a_request_that_has_run_is_not_answered_as_not_run() {
    let mut cluster = ForwardCluster::start(&[once_route()]);
    let replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let daemon = cluster.ready_daemon("z1");
    replica.set_headers(&[("retry-after", "1")]);
    for status in REFUSALS {
        replica.set_fault(ReplicaFault::Answers(status));
        let id = format!("refused-{status}");
        // The rest that the reply with 503 asks for is respected; the route has no other replica.
        check_failed(&post(&daemon, &id));
        assert_eq!(replica.runs_of(&id), 1);
    }
    wait_for("the replica has rested", || {
        replica.set_fault(ReplicaFault::Answers(404));
        post(&daemon, "not-found").status == 404
    });
    let answer = post(&daemon, "not-found-again");
    assert_eq!(
        (answer.status, answer.body.as_slice()),
        (404, &b"answered"[..])
    );
    assert!(!answer.header("server-stamp").is_empty());
    let log = daemon.log();
    let refused = log.lines().filter(|line| line.contains("\"ran_refused\""));
    assert_eq!(refused.count(), REFUSALS.len(), "{log}");
}

/// Guards against the same where another daemon serves the request for one that has lost its links.
#[test]
fn a_relayed_request_that_has_run_is_not_answered_as_not_run() {
    let mut cluster = ForwardCluster::start(&[once_route()]);
    let replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let proxy = LinkProxy::start(replica.address());
    replica.register_at(proxy.address(), &cluster.store, "ready");
    let daemons = [cluster.ready_daemon("z1"), cluster.ready_daemon("z1")];
    for daemon in &daemons {
        wait_for("the daemons know each other", || {
            daemon.metrics().contains("pollentally_forward_daemons 2")
        });
    }
    proxy.set_fault_of(daemons[1].pid(), LinkFault::None);
    proxy.set_fault_of(daemons[0].pid(), LinkFault::Silent);
    let mut number = 0;
    wait_for("requests are relayed", || {
        number += 1;
        post(&daemons[0], &format!("served-{number}")).status == 200
    });
    for status in [408, 429] {
        replica.set_fault(ReplicaFault::Answers(status));
        let id = format!("refused-{status}");
        check_failed(&post(&daemons[0], &id));
        assert_eq!(replica.runs_of(&id), 1, "{}", daemons[0].log());
    }
}
