//! Home regions and evacuated data centres, as the replicas see them: real processes on loopback.

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
    RouteText, //
};

/// Time after the acknowledgement from which an evacuation is in force (`evacuateMs`).
const EVACUATION_BOUND: Duration = Duration::from_secs(3);
const KEY: &str = "op/evacuate/z1";

/// A route to a service with a replica in each region, and one whose requests stay in the region `west`.
fn start() -> (ForwardCluster, [FakeReplica; 2], DaemonProcess) {
    let routes = [
        RouteText::single("/any/", "s1"),
        RouteText {
            homes: vec!["west"],
            ..RouteText::single("/west/", "s1")
        },
        RouteText {
            homes: vec!["nowhere"],
            ..RouteText::single("/nowhere/", "s1")
        },
    ];
    let mut cluster = ForwardCluster::start(&routes);
    let replicas = [("i-east", "z1"), ("i-west", "z2")]
        .map(|(name, zone)| FakeReplica::start(&cluster.store, "s1", name, zone));
    let daemon = cluster.ready_daemon("z1");
    wait_for("requests are served", || {
        get(&daemon, "/west/warm", "warm").status == 200
    });
    (cluster, replicas, daemon)
}

/// Sends requests for `span`, one each 20 ms, and returns how many are not served.
fn send_for(daemon: &DaemonProcess, path: &str, span: Duration) -> usize {
    let start = Instant::now();
    let (mut failed, mut sent) = (0, 0);
    while start.elapsed() < span {
        sent += 1;
        let reply = get(daemon, path, &format!("load-{sent}"));
        failed += usize::from(reply.status != 200);
        sleep(Duration::from_millis(20));
    }
    failed
}

/// Guards against requests that are served outside their home region because another replica is nearer, and
/// against a misspelt home that costs more than its own route.
#[test]
fn requests_with_a_home_reach_only_its_replicas() {
    let (_cluster, [east, west], daemon) = start();
    let east_before = east.arrivals().len();
    assert_eq!(send_for(&daemon, "/west/x", Duration::from_secs(1)), 0);
    assert_eq!(east.arrivals().len(), east_before);
    assert!(west.arrivals().len() > 10);
    let reply = get(&daemon, "/nowhere/x", "n1");
    assert_eq!(reply.status, 503);
    // The log is written in the background.
    wait_for("the refusal is logged", || {
        daemon.log().contains("\"no_home\"")
    });
    assert_eq!(daemon.log().matches("E7060").count(), 1);
    // The nearer replica still serves the other route.
    assert_eq!(get(&daemon, "/any/x", "a1").status, 200);
    assert!(east.arrivals().len() > east_before);
}

/// Guards against requests that reach a replica of an evacuated data centre later than `evacuateMs` after the
/// store has acknowledged the evacuation, and against an end of it that takes no effect.
#[test]
fn an_evacuated_data_centre_gets_no_requests_until_the_end() {
    let (cluster, [east, west], daemon) = start();
    assert_eq!(send_for(&daemon, "/any/x", Duration::from_millis(500)), 0);
    assert!(!east.arrivals().is_empty());
    cluster.store.put(KEY, "{}");
    let acknowledged = Instant::now();
    let span = EVACUATION_BOUND + Duration::from_secs(2);
    assert_eq!(send_for(&daemon, "/any/x", span), 0);
    let late = |at: &&Instant| **at > acknowledged + EVACUATION_BOUND;
    assert_eq!(east.arrivals().iter().filter(late).count(), 0);
    assert!(daemon.status().contains("\"evacuated\":[\"z1\"]"));
    assert!(daemon.metrics().contains("forward_evacuated 1"));
    wait_for("the evacuation is logged", || {
        daemon.log().contains("E7037")
    });
    // A daemon that starts now must not send requests there either.
    let mut cluster = cluster;
    let late_daemon = cluster.ready_daemon("z1");
    let before = east.arrivals().len();
    assert_eq!(send_for(&late_daemon, "/any/x", Duration::from_secs(1)), 0);
    assert_eq!(east.arrivals().len(), before);
    // With the other data centre evacuated, too, requests are refused.
    cluster.store.put("op/evacuate/z2", "{}");
    wait_for("requests are refused", || {
        get(&daemon, "/any/x", "refused").status == 503
    });
    wait_for("the refusals are logged", || {
        daemon.log().contains("\"evacuated\"")
    });
    let before = west.arrivals().len();
    cluster.store.remove(KEY);
    wait_for("the data centre gets requests again", || {
        get(&daemon, "/any/x", "again").status == 200
    });
    wait_for("the end of the evacuation is logged", || {
        daemon.log().contains("E7038")
    });
    assert_eq!(west.arrivals().len(), before);
}
