//! Tests of the forwarding daemon through its sockets: callers, replicas and the store.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use forward_cluster::{
    get,
    wait_for,
    ForwardCluster, //
};
use platform_standin::{
    call,
    send,
    FakeReplica,
    ReplicaFault,
    RouteText,
    StoreFault, //
};

fn gather_route() -> RouteText {
    RouteText {
        services: vec!["s1", "s2", "s3"],
        min_share: 0.6,
        ..RouteText::single("/all/", "s1")
    }
}

fn once_route() -> RouteText {
    RouteText {
        safe: false,
        ..RouteText::single("/once/", "s1")
    }
}

#[test]
fn forwards_a_request_unchanged() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let daemon = cluster.ready_daemon("z1");
    let timeout = Duration::from_secs(2);
    let path = "/one/a%20b//c?d=e&f";
    let reply = call(
        daemon.callers(),
        &format!("POST {path}"),
        "id-1",
        timeout,
        b"body",
    );
    assert_eq!((reply.status, reply.complete), (200, true), "{reply:?}");
    assert_eq!(reply.header("server-stamp"), "stamp.i-1.id-1");
    assert_eq!(reply.header("request-id"), "id-1");
    assert_eq!(
        replica.requests(),
        [("POST".into(), path.into(), b"body".to_vec())]
    );
}

#[test]
fn merges_the_greatest_records_of_all_shards() {
    let mut cluster = ForwardCluster::start(&[gather_route()]);
    let shards = ["s1", "s2", "s3"]
        .map(|service| FakeReplica::start(&cluster.store, service, &format!("i-{service}"), "z1"));
    let daemon = cluster.ready_daemon("z1");
    let reply = get(&daemon, "/all/x", "id-1");
    assert_eq!((reply.status, reply.stamps().len()), (200, 3), "{reply:?}");
    assert_eq!(reply.header("missing-parts"), "0");
    assert_eq!(reply.body.len(), 3 * 16);
    assert!(reply.body.chunks(16).all(|record| record[0] == 0xff));
    assert!(reply.body[..16] > reply.body[16..32]);
    // The reply counts a shard that failed as missing and has no stamp of it.
    shards[1].set_fault(ReplicaFault::Fails);
    let reply = get(&daemon, "/all/x", "id-2");
    assert_eq!(reply.header("missing-parts"), "1", "{reply:?}");
    let expected = ["stamp.i-s1.id-2", "stamp.i-s3.id-2"];
    assert_eq!(reply.stamps(), expected);
    // Two of three shards missing are below the minimum share of 0.6.
    shards[2].set_fault(ReplicaFault::Fails);
    let reply = get(&daemon, "/all/x", "id-3");
    assert_eq!(reply.status, 502, "{reply:?}");
}

/// A faulty reply of the near replica must not reach the caller. A request that may be repeated is
/// answered by the far replica; one that may run only once gets the status given with the fault.
#[test]
fn does_not_relay_faulty_replies() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1"), once_route()]);
    let near = FakeReplica::start(&cluster.store, "s1", "i-near", "z1");
    let far = FakeReplica::start(&cluster.store, "s1", "i-far", "z2");
    let daemon = cluster.ready_daemon("z1");
    let mut last_id = 0;
    let mut request = |path: &str| {
        last_id += 1;
        get(&daemon, path, &format!("id-{last_id}"))
    };
    let cases = [
        (ReplicaFault::WrongId, 502),
        (ReplicaFault::Encoded, 502),
        (ReplicaFault::Truncates, 502),
        (ReplicaFault::Unsigned, 502),
        (ReplicaFault::Fails, 500),
        (ReplicaFault::Sheds, 200),
    ];
    for (fault, status) in cases {
        for (path, expected) in [("/one/x", 200), ("/once/x", status)] {
            near.set_fault(ReplicaFault::None);
            // These requests clear the record of past failures and refill the retry budget.
            wait_for("the near replica serves all requests", || {
                let before = near.runs();
                (0..10).for_each(|_| assert_eq!(request(path).status, 200));
                near.runs() == before + 10
            });
            near.set_fault(fault);
            let reply = request(path);
            assert_eq!(reply.status, expected, "{fault:?} {path} {reply:?}");
            if expected == 200 {
                let stamp = reply.header("server-stamp");
                assert!(stamp.starts_with("stamp.i-far."), "{fault:?} {path}");
                assert!(reply.complete);
            }
        }
    }
    assert_eq!(
        near.max_runs().max(far.max_runs()),
        1,
        "a replica ran one request twice"
    );
}

#[test]
fn refusals_have_a_status_and_retry_after() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let daemon = cluster.ready_daemon("z1");
    let reply = get(&daemon, "/one/x", "id-1");
    assert_eq!(reply.status, 503);
    let seconds: f64 = reply.header("retry-after").parse().unwrap();
    assert!(seconds > 0.0 && seconds < 5.0);
    assert_eq!(get(&daemon, "/other/x", "id-2").status, 404);
    let timeout = Duration::from_secs(1);
    let too_large = call(
        daemon.callers(),
        "POST /one/x",
        "id-3",
        timeout,
        &[7; 2_000],
    );
    assert_eq!(too_large.status, 413);
}

#[test]
fn refuses_requests_before_the_first_configuration() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    cluster.store.set_fault(StoreFault::Busy);
    let daemon = cluster.spawn("z1");
    wait_for("port is open", || get(&daemon, "/one/x", "id").status != 0);
    let reply = get(&daemon, "/one/x", "id-1");
    assert_eq!(
        reply.status, 503,
        "must be 503, not 404, before the first configuration"
    );
    assert!(!reply.header("retry-after").is_empty());
    assert!(!daemon.is_ready());
    cluster.store.set_fault(StoreFault::None);
    wait_for("the daemon is ready", || daemon.is_ready());
}

/// A replica drains, another is removed, and its address is given to a replica of another service.
/// The store discards its history meanwhile, so the daemon has to read everything again.
#[test]
fn follows_changes_of_the_directory() {
    let routes = [
        RouteText::single("/one/", "s1"),
        RouteText::single("/two/", "s2"),
    ];
    let mut cluster = ForwardCluster::start(&routes);
    let near = FakeReplica::start(&cluster.store, "s1", "i-near", "z1");
    let far = FakeReplica::start(&cluster.store, "s1", "i-far", "z2");
    // Entries that are no valid registration must be skipped.
    cluster
        .store
        .put("servers/i-forged", r#"{"service":"s1","address":5}"#);
    cluster.store.put("servers/i-broken", "no json");
    let daemon = cluster.ready_daemon("z1");
    assert_eq!(
        get(&daemon, "/one/x", "id-0").header("server-stamp"),
        "stamp.i-near.id-0"
    );
    near.register(&cluster.store, "draining");
    cluster.store.compact();
    thread::sleep(Duration::from_millis(3_000));
    let runs = near.runs();
    for n in 0..20 {
        assert_eq!(get(&daemon, "/one/x", &format!("a-{n}")).status, 200);
    }
    assert_eq!(
        (near.runs(), far.runs()),
        (runs, 20),
        "the draining replica must get no new requests after 3 s"
    );
    // Another service takes the far replica's address before the daemon has read the change.
    far.unregister(&cluster.store);
    let address = far.address();
    drop(far);
    let other = loop {
        // The old socket may still be closing.
        if std::net::TcpListener::bind(address).is_ok() {
            break FakeReplica::start_at(address, &cluster.store, "s2", "i-other", "z2");
        }
        thread::sleep(Duration::from_millis(10));
    };
    let reply = get(&daemon, "/one/x", "id-1");
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(other
        .requests()
        .iter()
        .all(|(_, path, _)| path.starts_with("/two/")));
    wait_for("the route of the other service answers", || {
        get(&daemon, "/two/x", "id-2").status == 200
    });
    assert!(
        daemon.log().contains("E7008"),
        "the invalid entries must be logged"
    );
}

#[test]
fn applies_a_new_configuration_within_its_bound() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let _one = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let _two = FakeReplica::start(&cluster.store, "s2", "i-2", "z1");
    let daemon = cluster.ready_daemon("z1");
    assert_eq!(get(&daemon, "/two/x", "id-1").status, 404);
    cluster.configure(7, &[RouteText::single("/two/", "s2")]);
    thread::sleep(Duration::from_millis(3_000));
    assert_eq!(get(&daemon, "/two/x", "id-2").status, 200);
    assert_eq!(get(&daemon, "/one/x", "id-3").status, 404);
    // An older version and an invalid configuration have no effect.
    cluster.configure(5, &[RouteText::single("/one/", "s1")]);
    cluster.store.put("op/config", r#"{"version":"x"}"#);
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(get(&daemon, "/two/x", "id-4").status, 200);
    assert_eq!(get(&daemon, "/one/x", "id-5").status, 404);
}

/// Requests are served while the store does not answer, and changes are read once it answers again.
#[test]
fn serves_while_the_store_is_unavailable() {
    for fault in [StoreFault::Busy, StoreFault::Silent] {
        let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
        let near = FakeReplica::start(&cluster.store, "s1", "i-near", "z1");
        let far = FakeReplica::start(&cluster.store, "s1", "i-far", "z2");
        let daemon = cluster.ready_daemon("z1");
        cluster.store.set_fault(fault);
        thread::sleep(Duration::from_millis(2_500));
        near.unregister(&cluster.store);
        assert_eq!(get(&daemon, "/one/x", "id-1").status, 200);
        cluster.store.set_fault(StoreFault::None);
        wait_for("the store is back", || daemon.log().contains("E2006"));
        thread::sleep(Duration::from_millis(3_500));
        let runs = near.runs();
        assert_eq!(get(&daemon, "/one/x", "id-2").status, 200);
        assert_eq!((near.runs(), far.runs() > 0), (runs, true), "{fault:?}");
    }
}

/// Of four daemons, two read the store; the others ask these. All four apply a change.
#[test]
fn daemons_share_reads_of_the_store() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let daemons = ["z1", "z1", "z2", "z2"].map(|zone| cluster.ready_daemon(zone));
    wait_for("all daemons know each other", || {
        let knows_all = |metrics: String| metrics.contains("forward_daemons 4");
        daemons.iter().all(|daemon| knows_all(daemon.metrics()))
    });
    thread::sleep(Duration::from_millis(1_500));
    let before = cluster.store.calls();
    thread::sleep(Duration::from_millis(5_000));
    let calls = cluster.store.calls() - before;
    assert!(
        calls <= 13,
        "{calls} calls by two reading daemons in five seconds"
    );
    replica.register(&cluster.store, "draining");
    thread::sleep(Duration::from_millis(3_000));
    for daemon in &daemons {
        assert_eq!(get(daemon, "/one/x", "id").status, 503, "{}", daemon.log());
    }
}

#[test]
fn cancels_the_request_of_a_disconnected_caller() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    replica.set_fault(ReplicaFault::Slow(Duration::from_secs(30)));
    let daemon = cluster.ready_daemon("z1");
    let timeout = Duration::from_secs(20);
    let stream = send(daemon.callers(), "GET /one/x", "i", timeout, b"").unwrap();
    wait_for("the replica runs the request", || replica.runs() == 1);
    drop(stream);
    let disconnected = Instant::now();
    wait_for("the replica's request ends", || replica.cancelled() == 1);
    assert!(disconnected.elapsed() < Duration::from_millis(500));
}

/// After SIGTERM the daemon is not ready, but still serves new requests while the load balancer may
/// send them. It cuts no request and ends within its bound.
#[test]
fn graceful_stop_cuts_no_request() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let mut daemon = cluster.ready_daemon("z1");
    replica.set_fault(ReplicaFault::Slow(Duration::from_millis(1_200)));
    let callers = daemon.callers();
    let late = thread::spawn(move || {
        thread::sleep(Duration::from_millis(1_800));
        call(callers, "GET /one/x", "late", Duration::from_secs(3), b"")
    });
    daemon.signal("TERM");
    wait_for("the daemon is not ready", || !daemon.is_ready());
    let early = get(&daemon, "/one/x", "during");
    assert_eq!(early.status, 200);
    assert_eq!(
        late.join().unwrap().status,
        200,
        "a request sent before the load balancer switched over must be served"
    );
    let wait_start = Instant::now();
    assert_eq!(daemon.wait(), Some(0), "{}", daemon.log());
    assert!(wait_start.elapsed() < Duration::from_secs(6));
    assert!(daemon.log().contains("E1005"));
}

/// Guards against requests that are cut with no answer at the end of a planned stop: those that may not be
/// repeated and last longer than what is left, among them one that came late.
#[test]
fn requests_that_outlast_a_stop_are_answered() {
    let unsafe_route = RouteText {
        safe: false,
        ..RouteText::single("/one/", "s1")
    };
    let mut cluster = ForwardCluster::start(&[unsafe_route]);
    let replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let mut daemon = cluster.ready_daemon("z1");
    replica.set_fault(ReplicaFault::Slow(Duration::from_secs(30)));
    let callers = daemon.callers();
    let pauses = [0, 1_000, 2_000, 2_500];
    let requests = pauses.map(|pause| {
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(pause));
            let id = format!("late-{pause}");
            call(callers, "POST /one/x", &id, Duration::from_secs(20), b"")
        })
    });
    thread::sleep(Duration::from_millis(100));
    daemon.signal("TERM");
    for (pause, request) in pauses.into_iter().zip(requests) {
        let answer = request.join().unwrap();
        // The request may have run, so that no status is allowed that says the contrary.
        assert!([502, 504].contains(&answer.status), "{pause}: {answer:?}");
    }
    daemon.wait();
}

#[test]
fn sighup_does_not_stop_the_daemon() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let _replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let daemon = cluster.ready_daemon("z1");
    daemon.signal("HUP");
    wait_for("the signal is logged", || daemon.log().contains("E7009"));
    assert_eq!(get(&daemon, "/one/x", "id").status, 200);
}
