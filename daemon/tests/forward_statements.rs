//! What replicas say of themselves in their replies: that they leave, or want a rest.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use std::{
    thread::sleep,
    time::{
        Duration,
        Instant, //
    },
};

use forward_cluster::{
    get,
    wait_for,
    DaemonProcess,
    ForwardCluster, //
};
use platform_standin::{
    FakeReplica,
    ReplicaFault,
    RouteText, //
};

/// Time after a reply that says so from which a leaving replica gets no new requests (`drainMs`).
const DRAIN_PERIOD: Duration = Duration::from_secs(3);
/// Rest that the replica of these tests wants.
const REST_PERIOD: Duration = Duration::from_secs(3);

/// A near and a far replica of one service, and a daemon.
fn two_replicas() -> (ForwardCluster, [FakeReplica; 2], DaemonProcess) {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let replicas = [("i-near", "z1"), ("i-far", "z2")]
        .map(|(name, zone)| FakeReplica::start(&cluster.store, "s1", name, zone));
    let daemon = cluster.ready_daemon("z1");
    wait_for("requests are served", || {
        get(&daemon, "/one/warm", "warm").status == 200
    });
    (cluster, replicas, daemon)
}

/// Sends requests for `span`, one each 10 ms; returns how many are not served.
fn send_for(daemon: &DaemonProcess, span: Duration) -> usize {
    let start = Instant::now();
    let (mut failed, mut sent) = (0, 0);
    while start.elapsed() < span {
        sent += 1;
        let reply = get(daemon, "/one/x", &format!("load-{sent}"));
        failed += usize::from(reply.status != 200);
        sleep(Duration::from_millis(10));
    }
    failed
}

fn arrivals_after(replica: &FakeReplica, from: Instant) -> usize {
    let arrivals = replica.arrivals();
    arrivals.iter().filter(|at| **at > from).count()
}

/// Guards against requests that reach a replica which has said in its replies that it leaves (issue 25,
/// DRAIN), although the directory still lists it as ready, and after that has listed it anew.
#[test]
fn a_replica_that_says_it_leaves_gets_no_new_requests() {
    let (cluster, [near, _far], daemon) = two_replicas();
    near.set_headers(&[("server-leaving", "1")]);
    let told_at = Instant::now();
    assert_eq!(get(&daemon, "/one/x", "told").status, 200);
    // The registration expires and comes back, as after an outage of the store.
    near.unregister(&cluster.store);
    sleep(Duration::from_millis(1_500));
    near.register(&cluster.store, "ready");
    assert_eq!(send_for(&daemon, DRAIN_PERIOD + Duration::from_secs(2)), 0);
    let late = arrivals_after(&near, told_at + DRAIN_PERIOD);
    assert_eq!(
        late, 0,
        "requests later than {DRAIN_PERIOD:?} after the reply"
    );
    assert!(daemon.log().contains("E7028"));
    assert!(daemon.status().contains("\"draining\":[\"i-near\"]"));
}

/// Guards against requests that reach a replica which has turned one away and named a time until which it
/// wants none (issue 25, BUDGET).
#[test]
fn a_replica_that_wants_a_rest_gets_it() {
    let (_cluster, [near, _far], daemon) = two_replicas();
    near.set_fault(ReplicaFault::Sheds);
    near.set_headers(&[("retry-after", "3")]);
    let before = near.arrivals().len();
    // A daemon alone has no retry budget at first, so that the requests which are turned away fail.
    assert!(send_for(&daemon, REST_PERIOD * 2) <= 3);
    let arrivals = near.arrivals();
    let turned_away_at = arrivals[before];
    let within = |at: &&Instant| {
        let age = at.duration_since(turned_away_at);
        age > Duration::from_millis(500) && age < REST_PERIOD
    };
    let count = arrivals[before..].iter().filter(within).count();
    assert!(count <= 2, "{count} requests within the rest");
    assert!(daemon.log().contains("E7030"));
    assert!(daemon
        .metrics()
        .contains("forward_replicas{state=\"resting\"}"));
}

/// Guards against requests that wait or fail late where all replicas want a rest: they are refused at
/// once with the time until the first is back.
#[test]
fn requests_are_refused_at_once_where_all_replicas_rest() {
    let (_cluster, replicas, daemon) = two_replicas();
    for replica in &replicas {
        replica.set_fault(ReplicaFault::Sheds);
        replica.set_headers(&[("retry-after", "2.5")]);
    }
    wait_for("both replicas rest", || {
        get(&daemon, "/one/x", "probe");
        daemon.log().matches("E7030").count() >= 2
    });
    assert!(daemon.status().contains("\"resting\":[{\"replica\":\"i-"));
    let start = Instant::now();
    let reply = get(&daemon, "/one/x", "refused");
    assert!(start.elapsed() < Duration::from_millis(200));
    assert_eq!(reply.status, 503);
    let seconds: f64 = reply.header("retry-after").parse().unwrap();
    assert!((0.5..=3.0).contains(&seconds), "{seconds}");
}

/// Guards against a value that can't be read and changes what is believed, or is not logged.
#[test]
fn unreadable_statements_change_nothing_and_are_logged() {
    let (_cluster, [near, _far], daemon) = two_replicas();
    near.set_fault(ReplicaFault::Sheds);
    let values = [
        "Wed, 21 Oct 2026 07:28:00 GMT",
        "-1",
        "NaN",
        "1e30",
        "999999999",
        "",
    ];
    for value in values {
        near.set_headers(&[("retry-after", value), ("server-leaving", "maybe")]);
        get(&daemon, "/one/x", "unreadable");
    }
    near.set_headers(&[("retry-after", "9"), ("retry-after", "9")]);
    get(&daemon, "/one/x", "unreadable");
    wait_for("the values are logged", || daemon.log().contains("E7029"));
    assert!(near.arrivals().len() >= 2);
    assert!(!daemon.log().contains("E7028") && !daemon.log().contains("E7030"));
}
