//! Requests of client accounts that delegates gather and that relays serve, with real processes.

#![allow(clippy::unwrap_used)]

mod account_kit;
mod forward_cluster;

use account_kit::{
    accounts,
    bearer,
    check_account,
    check_secrecy,
    complete_log,
    configure,
    sent_headers,
    start,
    FORGED,
    KEY, //
};
use forward_cluster::{
    wait_for,
    DaemonProcess,
    ForwardCluster, //
};
use platform_standin::{
    FakeReplica,
    KeyedCaller,
    LinkFault,
    LinkProxy,
    RouteText, //
};

/// Guards against a key that reaches another daemon or a replica by way of a delegate, and against an account
/// that is lost or forged on that way.
#[test]
fn delegates_are_told_the_account_and_no_key() {
    const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];
    const DAEMONS: usize = 6;
    let gather = RouteText {
        services: SHARDS.to_vec(),
        min_share: 0.7,
        connections: 5,
        ..RouteText::single("/all/", "s1")
    };
    let open = RouteText {
        prefix: "/open/",
        ..gather.clone()
    };
    let mut cluster = ForwardCluster::start(&[]);
    configure(&cluster, 2, &[gather, open], accounts());
    let replicas = SHARDS.map(|s| FakeReplica::start(&cluster.store, s, &format!("i-{s}"), "z1"));
    let replicas = replicas.each_ref();
    let daemons: Vec<DaemonProcess> = (0..DAEMONS).map(|_| cluster.ready_daemon("z1")).collect();
    let taken = || {
        let metrics = daemons.iter().map(DaemonProcess::metrics);
        let counts = metrics.map(|metrics| {
            let mut lines = metrics.lines();
            let name = "pollentally_forward_relays_taken_total ";
            let count = lines.find_map(|line| line.strip_prefix(name));
            count.map_or(0, |count| count.parse::<u64>().unwrap())
        });
        counts.sum::<u64>()
    };
    let key = bearer(KEY);
    let keyed: [(&str, &[u8]); 2] = [FORGED, ("Authorization", &key)];
    let mut round = 0;
    wait_for("most daemons have others gather for them", || {
        round += 1;
        let before = taken();
        for (number, daemon) in daemons.iter().enumerate() {
            let id = format!("keyed-{round}-{number}");
            let mut caller = KeyedCaller::connect(daemon.callers());
            if caller.get("/all/x", &id, &keyed).status == 200 {
                check_account(&replicas, &id, Some("acme"));
            }
            let id = format!("public-{round}-{number}");
            if caller.get("/open/x", &id, &[FORGED]).status == 200 {
                check_account(&replicas, &id, None);
            }
        }
        taken() >= before + 6
    });
    check_secrecy(&daemons.iter().collect::<Vec<_>>());
}

/// Guards against the same by way of a daemon that serves the requests of one that has lost its links.
#[test]
fn relays_are_told_the_account_and_no_key() {
    let (mut cluster, replicas) = start();
    let proxies = replicas.each_ref().map(|replica| {
        let proxy = LinkProxy::start(replica.address());
        replica.register_at(proxy.address(), &cluster.store, "ready");
        proxy
    });
    let daemons = [cluster.ready_daemon("z1"), cluster.ready_daemon("z1")];
    for daemon in &daemons {
        wait_for("the daemons know each other", || {
            daemon.metrics().contains("pollentally_forward_daemons 2")
        });
    }
    for proxy in &proxies {
        proxy.set_fault_of(daemons[1].pid(), LinkFault::None);
        proxy.set_fault_of(daemons[0].pid(), LinkFault::Silent);
    }
    let key = bearer(KEY);
    let keyed: [(&str, &[u8]); 2] = [FORGED, ("Authorization", &key)];
    let replicas = replicas.each_ref();
    let mut caller = KeyedCaller::connect(daemons[0].callers());
    let mut number = 0;
    wait_for("requests are relayed", || {
        number += 1;
        let id = format!("relay-{number}");
        caller.get("/one/x", &id, &keyed).status == 200
    });
    let before = sent_headers(&replicas, "relayed", "tenant").len();
    let reply = caller.get("/one/x", "relayed", &keyed);
    assert_eq!((before, reply.status), (0, 200), "{}", daemons[0].log());
    check_account(&replicas, "relayed", Some("acme"));
    let reply = caller.get("/open/x", "public", &[FORGED]);
    assert_eq!(reply.status, 200, "{}", daemons[0].log());
    check_account(&replicas, "public", None);
    assert_eq!(caller.get("/one/x", "refused", &[FORGED]).status, 401);
    assert!(complete_log(&daemons[0]).contains("E7026"));
    check_secrecy(&[&daemons[0], &daemons[1]]);
}
