//! Large replies that reach their callers by way of another daemon.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use std::{
    io::Read,
    thread::sleep,
    time::Duration, //
};

use forward_cluster::{
    get,
    wait_for,
    ForwardCluster, //
};
use platform_standin::{
    send,
    FakeReplica,
    LinkFault,
    LinkProxy,
    ReplicaFault,
    RouteText, //
};

/// Guards against large replies by way of a helper that callers do not read, and that use up the memory of the
/// daemon that they have asked.
#[test]
fn large_replies_of_helpers_do_not_use_up_the_memory() {
    /// More than the system buffers for a connection, and less than the largest reply.
    const REPLY_BYTES: usize = 7_500_000;
    const CALLERS: usize = 20;
    const REQUESTS_MAX: usize = 400;
    const MEMORY_MB: usize = 120;
    const VM_FDS: usize = 2_870;
    let routes = [
        RouteText {
            timeout_ms: 20_000,
            ..RouteText::single("/large/", "s1")
        },
        RouteText::single("/one/", "s2"),
    ];
    let mut cluster = ForwardCluster::start(&routes);
    let replicas = ["s1", "s2"].map(|service| {
        let replica = FakeReplica::start(&cluster.store, service, &format!("i-{service}"), "z1");
        let proxy = LinkProxy::start(replica.address());
        replica.register_at(proxy.address(), &cluster.store, "ready");
        (replica, proxy)
    });
    let daemons = [0, 1].map(|_| cluster.limited_daemon("z1", MEMORY_MB, VM_FDS));
    for daemon in &daemons {
        wait_for("the daemons know each other", || {
            daemon.metrics().contains("pollentally_forward_daemons 2")
        });
    }
    for (_, proxy) in &replicas {
        proxy.set_fault_of(daemons[1].pid(), LinkFault::None);
        proxy.set_fault_of(daemons[0].pid(), LinkFault::Silent);
    }
    let mut number = 0;
    wait_for("requests are relayed", || {
        number += 1;
        get(&daemons[0], "/one/x", &format!("one-{number}")).status == 200
    });
    replicas[0].0.set_fault(ReplicaFault::Large(REPLY_BYTES));
    let patience = Duration::from_secs(30);
    let mut callers = Vec::new();
    for sent in 0..REQUESTS_MAX {
        let id = format!("large-{sent}");
        let caller = send(daemons[0].callers(), "GET /large/x", &id, patience, b"");
        let mut caller = caller.unwrap();
        // The reply has come once its status is here. The rest is not read.
        let mut line = [0; 12];
        caller.read_exact(&mut line).unwrap();
        // A helper that is busy with a large reply seems silent, and the next request is refused.
        match &line[9..] {
            b"503" => sleep(Duration::from_millis(100)),
            _ => callers.push(caller),
        }
        if callers.len() >= CALLERS {
            break;
        }
    }
    assert_eq!(callers.len(), CALLERS);
    wait_for("an ordinary request is answered", || {
        number += 1;
        get(&daemons[0], "/one/x", &format!("one-{number}")).status == 200
    });
    let peaks = daemons.each_ref().map(|daemon| daemon.peak_memory());
    let bounded = peaks.iter().all(|peak| *peak < MEMORY_MB * 1024 * 1024);
    assert!(bounded, "{peaks:?}, {} runs", replicas[0].0.runs());
    drop(callers);
}
