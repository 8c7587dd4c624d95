//! Replies of replicas that never end.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use std::{
    thread,
    time::Duration, //
};

use forward_cluster::{
    get,
    wait_for,
    ForwardCluster, //
};
use platform_standin::{
    call,
    send,
    BabblingReplica,
    BabblingStore,
    EndlessReply,
    FakeReplica,
    ReplicaFault,
    RouteText, //
};

/// Memory of the smallest VMs of the platform.
const VM_MEMORY: usize = 160 * 1_000 * 1_000;
/// Memory of the VM, in megabytes, where a small crowd is to use it up.
const SMALL_MEMORY_MB: usize = 64;
/// Descriptors of the platform's smallest VM.
const VM_FDS: usize = 2_870;
/// Largest head of a reply that is read, with what the sockets of both sides buffer meanwhile.
const HEAD_BYTES_MAX: usize = 8 * 1024 * 1024;
/// The same for a whole reply.
const REPLY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Guards against a reply that holds its connection, the daemon's time or its memory for as long as
/// the replica sends (issue 19, "New on our pages").
#[test]
fn endless_replies_are_closed_in_time_and_size() {
    for reply in EndlessReply::ALL {
        let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
        let endless = BabblingReplica::start(&cluster.store, "s1", "i-near", "z1", reply);
        let _far = FakeReplica::start(&cluster.store, "s1", "i-far", "z2");
        let daemon = cluster.ready_daemon("z1");
        let mut number = 0;
        wait_for("the endless replica has had requests", || {
            number += 1;
            let answer = get(&daemon, "/one/x", &format!("id-{number}"));
            // A retry needs budget, which the first requests have not gained yet.
            assert!(
                [200, 502, 504].contains(&answer.status),
                "{reply:?} {answer:?}"
            );
            endless.requests() > 0 && number >= 20
        });
        assert_eq!(get(&daemon, "/one/x", "last").status, 200, "{reply:?}");
        // Callers wait for two seconds.
        thread::sleep(Duration::from_millis(2_500));
        assert_eq!(endless.open_replies(), 0, "{reply:?}");
        let most_bytes = match reply {
            EndlessReply::Body | EndlessReply::Chunks => REPLY_BYTES_MAX,
            _ => HEAD_BYTES_MAX,
        };
        let sent = endless.most_bytes();
        assert!(sent <= most_bytes, "{reply:?}: {sent} bytes");
    }
}

/// Guards against endless bodies that together exceed the memory of the VM, though each is within
/// its limit.
#[test]
fn endless_bodies_do_not_use_up_the_memory() {
    let services = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"];
    let route = RouteText {
        services: services.to_vec(),
        min_share: 1.0,
        ..RouteText::single("/all/", "s1")
    };
    let mut cluster = ForwardCluster::start(&[route, RouteText::single("/one/", "s9")]);
    let replicas: Vec<BabblingReplica> = services
        .iter()
        .flat_map(|service| [(service, "a"), (service, "b")])
        .map(|(service, copy)| {
            let name = format!("i-{service}-{copy}");
            BabblingReplica::start(&cluster.store, service, &name, "z1", EndlessReply::Body)
        })
        .collect();
    let _served = FakeReplica::start(&cluster.store, "s9", "i-served", "z1");
    let daemon = cluster.ready_daemon("z1");
    let address = daemon.callers();
    let callers: Vec<_> = (0..12)
        .map(|number| {
            thread::spawn(move || {
                for round in 0..4 {
                    let id = format!("all-{number}-{round}");
                    call(address, "GET /all/x", &id, Duration::from_secs(2), b"");
                }
            })
        })
        .collect();
    while callers.iter().any(|caller| !caller.is_finished()) {
        assert_eq!(get(&daemon, "/one/x", "served").status, 200);
    }
    let requests: usize = replicas.iter().map(BabblingReplica::requests).sum();
    assert!(requests >= 8, "{requests} requests");
    let peak = daemon.peak_memory();
    assert!(peak < VM_MEMORY, "{peak} bytes of memory");
    wait_for("all replies are closed", || {
        replicas.iter().all(|replica| replica.open_replies() == 0)
    });
}

/// Guards against a store whose answers never end: they use up the memory, and the requests of callers end with
/// the process.
#[test]
fn endless_answers_of_the_store_do_not_use_up_the_memory() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let _served = FakeReplica::start(&cluster.store, "s1", "i-served", "z1");
    let store = BabblingStore::start(cluster.store_address);
    cluster.store_address = store.address();
    let daemon = cluster.limited_daemon("z1", SMALL_MEMORY_MB, VM_FDS);
    for reply in EndlessReply::ALL {
        store.babble(Some(reply));
        let before = store.endless();
        wait_for("the store has babbled", || store.endless() >= before + 4);
        assert_eq!(get(&daemon, "/one/x", "served").status, 200, "{reply:?}");
        let peak = daemon.peak_memory();
        assert!(peak < SMALL_MEMORY_MB * 1024 * 1024, "{reply:?}: {peak}");
    }
    store.babble(None);
    let _new = FakeReplica::start(&cluster.store, "s1", "i-new", "z1");
    wait_for("the daemon reads the store again", || {
        daemon.log().contains("i-new")
    });
}

/// Guards against large replies that callers do not read: each is complete and within its limit, and all of them
/// are held until their callers have them.
#[test]
fn large_replies_that_wait_for_their_callers_do_not_use_up_the_memory() {
    /// More than the system buffers for a connection, and less than the largest reply.
    const REPLY_BYTES: usize = 7_500_000;
    const MEMORY_MB: usize = 120;
    const CALLERS: usize = 50;
    let routes = [
        RouteText::single("/large/", "s1"),
        RouteText::single("/one/", "s2"),
    ];
    let mut cluster = ForwardCluster::start(&routes);
    let large = FakeReplica::start(&cluster.store, "s1", "i-large", "z1");
    large.set_fault(ReplicaFault::Large(REPLY_BYTES));
    let _served = FakeReplica::start(&cluster.store, "s2", "i-served", "z1");
    let daemon = cluster.limited_daemon("z1", MEMORY_MB, VM_FDS);
    let patience = Duration::from_secs(30);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let id = format!("large-{number}");
            let caller = send(daemon.callers(), "GET /large/x", &id, patience, b"");
            // Replies that are read at the same time leave no room for each other.
            thread::sleep(Duration::from_millis(100));
            caller
        })
        .collect();
    assert_eq!(get(&daemon, "/one/x", "beside").status, 200);
    let peak = daemon.peak_memory();
    assert!(peak < MEMORY_MB * 1024 * 1024, "{peak}, {}", large.runs());
    drop(callers);
    wait_for("a large reply is passed on again", || {
        let answer = get(&daemon, "/large/x", &format!("again-{}", large.runs()));
        answer.status == 200 && answer.body.len() == REPLY_BYTES
    });
}
