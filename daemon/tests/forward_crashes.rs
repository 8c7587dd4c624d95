//! Requests that crash the replicas on which they run, and crashes for other reasons.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use std::{
    thread::sleep,
    time::Duration, //
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

/// Sends requests that allow some retries of later ones.
fn fill_budget(daemon: &DaemonProcess) {
    for n in 0..20 {
        assert_eq!(get(daemon, "/one/x", &format!("fill-{n}")).status, 200);
    }
}

/// A crash is logged with the request that ran on the replica; a broken reply is no crash.
#[test]
fn tells_a_crash_from_a_broken_reply() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let near = FakeReplica::start(&cluster.store, "s1", "i-near", "z1");
    let far = FakeReplica::start(&cluster.store, "s1", "i-far", "z2");
    let daemon = cluster.ready_daemon("z1");
    fill_budget(&daemon);
    near.set_fault(ReplicaFault::Truncates);
    assert_eq!(get(&daemon, "/one/x", "id-1").status, 200);
    sleep(Duration::from_millis(400));
    assert!(daemon.log().contains("\"cause\":\"broken\""));
    assert!(!daemon.log().contains("E7013"), "{}", daemon.log());
    near.set_fault(ReplicaFault::None);
    let reply = get(&daemon, "/one/crashes-replicas", "id-2");
    assert_eq!(reply.status, 502, "{reply:?}");
    let crashes = (near.crashing_runs().len(), far.crashing_runs().len());
    assert_eq!(crashes, (1, 1));
    wait_for("both crashes are logged", || {
        daemon.log().matches("E7013").count() == 2
    });
    assert!(daemon.metrics().contains("forward_crashes_total 2"));
}
