//! The daemon on the platform, as callers, replicas and the store see it.

#![allow(clippy::unwrap_used)]

mod forward_bench;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use forward_bench::{
    get,
    wait_for,
    ForwardBench, //
};
use platform_standin::{
    call,
    send,
    FakeReplica,
    ReplicaFault,
    RouteText,
    StoreFault, //
};

fn gather() -> RouteText {
    RouteText {
        services: vec!["s1", "s2", "s3"],
        min_share: 0.6,
        ..RouteText::single("/all/", "s1")
    }
}

fn once() -> RouteText {
    RouteText {
        safe: false,
        ..RouteText::single("/once/", "s1")
    }
}

#[test]
fn a_request_passes_unchanged() {
    let mut bench = ForwardBench::start(&[RouteText::single("/one/", "s1")]);
    let replica = FakeReplica::start(&bench.store, "s1", "i-1", "z1");
    let daemon = bench.daemon("z1");
    let patience = Duration::from_secs(2);
    let path = "/one/a%20b//c?d=e&f";
    let reply = call(
        daemon.callers(),
        &format!("POST {path}"),
        "id-1",
        patience,
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
fn the_greatest_records_of_all_shards() {
    let mut bench = ForwardBench::start(&[gather()]);
    let shards = ["s1", "s2", "s3"]
        .map(|service| FakeReplica::start(&bench.store, service, &format!("i-{service}"), "z1"));
    let daemon = bench.daemon("z1");
    let reply = get(&daemon, "/all/x", "id-1");
    assert_eq!((reply.status, reply.stamps().len()), (200, 3), "{reply:?}");
    assert_eq!(reply.header("missing-parts"), "0");
    assert_eq!(reply.body.len(), 3 * 16);
    assert!(reply.body.chunks(16).all(|record| record[0] == 0xff));
    assert!(reply.body[..16] > reply.body[16..32]);
    // A shard that fails is left out, and not named.
    shards[1].set_fault(ReplicaFault::Fails);
    let reply = get(&daemon, "/all/x", "id-2");
    assert_eq!(reply.header("missing-parts"), "1", "{reply:?}");
    let expected = ["stamp.i-s1.id-2", "stamp.i-s3.id-2"];
    assert_eq!(reply.stamps(), expected);
    // Two are too many.
    shards[2].set_fault(ReplicaFault::Fails);
    let reply = get(&daemon, "/all/x", "id-3");
    assert_eq!(reply.status, 502, "{reply:?}");
}

/// Faults of the near replica, and the status of a request that may run once. One that may be
/// repeated is answered by the far replica.
#[test]
fn faulty_replies_are_no_answers() {
    let mut bench = ForwardBench::start(&[RouteText::single("/one/", "s1"), once()]);
    let near = FakeReplica::start(&bench.store, "s1", "i-near", "z1");
    let far = FakeReplica::start(&bench.store, "s1", "i-far", "z2");
    let daemon = bench.daemon("z1");
    let mut last = 0;
    let mut ask = |path: &str| {
        last += 1;
        get(&daemon, path, &format!("id-{last}"))
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
            // What it did before is forgotten, and further sends are earned.
            wait_for("the near one serves", || {
                let before = near.runs();
                (0..10).for_each(|_| assert_eq!(ask(path).status, 200));
                near.runs() == before + 10
            });
            near.set_fault(fault);
            let reply = ask(path);
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
        "no replica runs one twice"
    );
}

#[test]
fn refusals_say_when_to_come_back() {
    let mut bench = ForwardBench::start(&[RouteText::single("/one/", "s1")]);
    let daemon = bench.daemon("z1");
    let reply = get(&daemon, "/one/x", "id-1");
    assert_eq!(reply.status, 503);
    let seconds: f64 = reply.header("retry-after").parse().unwrap();
    assert!(seconds > 0.0 && seconds < 5.0);
    assert_eq!(get(&daemon, "/other/x", "id-2").status, 404);
    let patience = Duration::from_secs(1);
    let long = call(
        daemon.callers(),
        "POST /one/x",
        "id-3",
        patience,
        &[7; 2_000],
    );
    assert_eq!(long.status, 413);
}

#[test]
fn nothing_is_served_before_there_is_a_configuration() {
    let mut bench = ForwardBench::start(&[RouteText::single("/one/", "s1")]);
    bench.store.set_fault(StoreFault::Busy);
    let daemon = bench.spawn("z1");
    wait_for("the port", || get(&daemon, "/one/x", "id").status != 0);
    let reply = get(&daemon, "/one/x", "id-1");
    assert_eq!(reply.status, 503, "never 404");
    assert!(!reply.header("retry-after").is_empty());
    assert!(!daemon.is_ready());
    bench.store.set_fault(StoreFault::None);
    wait_for("ready", || daemon.is_ready());
}

/// A drained, a removed and a replaced replica; the store dropped its history meanwhile.
#[test]
fn the_directory_is_followed() {
    let routes = [
        RouteText::single("/one/", "s1"),
        RouteText::single("/two/", "s2"),
    ];
    let mut bench = ForwardBench::start(&routes);
    let near = FakeReplica::start(&bench.store, "s1", "i-near", "z1");
    let far = FakeReplica::start(&bench.store, "s1", "i-far", "z2");
    // A registration of another writer names no replica.
    bench
        .store
        .put("servers/i-forged", r#"{"service":"s1","address":5}"#);
    bench.store.put("servers/i-broken", "no json");
    let daemon = bench.daemon("z1");
    assert_eq!(
        get(&daemon, "/one/x", "id-0").header("server-stamp"),
        "stamp.i-near.id-0"
    );
    near.register(&bench.store, "draining");
    bench.store.compact();
    thread::sleep(Duration::from_millis(3_000));
    let runs = near.runs();
    for n in 0..20 {
        assert_eq!(get(&daemon, "/one/x", &format!("a-{n}")).status, 200);
    }
    assert_eq!(
        (near.runs(), far.runs()),
        (runs, 20),
        "no new work within 3 s"
    );
    // The far one's address goes to another service before the daemon knows.
    far.unregister(&bench.store);
    let address = far.address();
    drop(far);
    let other = loop {
        // The old socket may take a moment to close.
        if std::net::TcpListener::bind(address).is_ok() {
            break FakeReplica::start_at(address, &bench.store, "s2", "i-other", "z2");
        }
        thread::sleep(Duration::from_millis(10));
    };
    let reply = get(&daemon, "/one/x", "id-1");
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(other
        .requests()
        .iter()
        .all(|(_, path, _)| path.starts_with("/two/")));
    wait_for("the other service", || {
        get(&daemon, "/two/x", "id-2").status == 200
    });
    assert!(
        daemon.log().contains("E7008"),
        "the forged entries are named"
    );
}

#[test]
fn a_new_configuration_is_in_force_within_its_bound() {
    let mut bench = ForwardBench::start(&[RouteText::single("/one/", "s1")]);
    let _one = FakeReplica::start(&bench.store, "s1", "i-1", "z1");
    let _two = FakeReplica::start(&bench.store, "s2", "i-2", "z1");
    let daemon = bench.daemon("z1");
    assert_eq!(get(&daemon, "/two/x", "id-1").status, 404);
    bench.configure(7, &[RouteText::single("/two/", "s2")]);
    thread::sleep(Duration::from_millis(3_000));
    assert_eq!(get(&daemon, "/two/x", "id-2").status, 200);
    assert_eq!(get(&daemon, "/one/x", "id-3").status, 404);
    // An older version, and one that can't be read, change nothing.
    bench.configure(5, &[RouteText::single("/one/", "s1")]);
    bench.store.put("op/config", r#"{"version":"x"}"#);
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(get(&daemon, "/two/x", "id-4").status, 200);
    assert_eq!(get(&daemon, "/one/x", "id-5").status, 404);
}

/// Queries go on while the store is away, and what it says after its return is heard.
#[test]
fn the_store_may_be_away() {
    for fault in [StoreFault::Busy, StoreFault::Silent] {
        let mut bench = ForwardBench::start(&[RouteText::single("/one/", "s1")]);
        let near = FakeReplica::start(&bench.store, "s1", "i-near", "z1");
        let far = FakeReplica::start(&bench.store, "s1", "i-far", "z2");
        let daemon = bench.daemon("z1");
        bench.store.set_fault(fault);
        thread::sleep(Duration::from_millis(2_500));
        near.unregister(&bench.store);
        assert_eq!(get(&daemon, "/one/x", "id-1").status, 200);
        bench.store.set_fault(StoreFault::None);
        wait_for("back", || daemon.log().contains("E2006"));
        thread::sleep(Duration::from_millis(3_500));
        let runs = near.runs();
        assert_eq!(get(&daemon, "/one/x", "id-2").status, 200);
        assert_eq!((near.runs(), far.runs() > 0), (runs, true), "{fault:?}");
    }
}

/// Two daemons read the store for four; all of them follow it.
#[test]
fn daemons_read_for_each_other() {
    let mut bench = ForwardBench::start(&[RouteText::single("/one/", "s1")]);
    let replica = FakeReplica::start(&bench.store, "s1", "i-1", "z1");
    let daemons = ["z1", "z1", "z2", "z2"].map(|zone| bench.daemon(zone));
    wait_for("all known", || {
        let knows = |metrics: String| metrics.contains("forward_daemons 4");
        daemons.iter().all(|daemon| knows(daemon.metrics()))
    });
    thread::sleep(Duration::from_millis(1_500));
    let before = bench.store.calls();
    thread::sleep(Duration::from_millis(5_000));
    let calls = bench.store.calls() - before;
    assert!(calls <= 13, "{calls} calls of two readers in five seconds");
    replica.register(&bench.store, "draining");
    thread::sleep(Duration::from_millis(3_000));
    for daemon in &daemons {
        assert_eq!(get(daemon, "/one/x", "id").status, 503, "{}", daemon.log());
    }
}

#[test]
fn the_work_of_a_caller_that_left_ends() {
    let mut bench = ForwardBench::start(&[RouteText::single("/one/", "s1")]);
    let replica = FakeReplica::start(&bench.store, "s1", "i-1", "z1");
    replica.set_fault(ReplicaFault::Slow(Duration::from_secs(30)));
    let daemon = bench.daemon("z1");
    let patience = Duration::from_secs(20);
    let stream = send(daemon.callers(), "GET /one/x", "i", patience, b"").unwrap();
    wait_for("it runs", || replica.runs() == 1);
    drop(stream);
    let left = Instant::now();
    wait_for("it is given up", || replica.cancelled() == 1);
    assert!(left.elapsed() < Duration::from_millis(500));
}

/// A stop: not ready at once, still serving, nothing cut, over within the bound.
#[test]
fn a_stop_cuts_nothing() {
    let mut bench = ForwardBench::start(&[RouteText::single("/one/", "s1")]);
    let replica = FakeReplica::start(&bench.store, "s1", "i-1", "z1");
    let mut daemon = bench.daemon("z1");
    replica.set_fault(ReplicaFault::Slow(Duration::from_millis(1_200)));
    let callers = daemon.callers();
    let late = thread::spawn(move || {
        thread::sleep(Duration::from_millis(1_800));
        call(callers, "GET /one/x", "late", Duration::from_secs(3), b"")
    });
    daemon.signal("TERM");
    wait_for("not ready", || !daemon.is_ready());
    let during = get(&daemon, "/one/x", "during");
    assert_eq!(during.status, 200);
    assert_eq!(
        late.join().unwrap().status,
        200,
        "one that came before the balancer had moved on"
    );
    let stopped = Instant::now();
    assert_eq!(daemon.wait(), Some(0), "{}", daemon.log());
    assert!(stopped.elapsed() < Duration::from_secs(6));
    assert!(daemon.log().contains("E1005"));
}

#[test]
fn a_hangup_is_survived() {
    let mut bench = ForwardBench::start(&[RouteText::single("/one/", "s1")]);
    let _replica = FakeReplica::start(&bench.store, "s1", "i-1", "z1");
    let daemon = bench.daemon("z1");
    daemon.signal("HUP");
    wait_for("the line", || daemon.log().contains("E7009"));
    assert_eq!(get(&daemon, "/one/x", "id").status, 200);
}
