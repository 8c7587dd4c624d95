//! Requests that run only once, through a daemon, a store and upstreams.

#![allow(clippy::unwrap_used)]

mod bench;

use std::{
    thread,
    time::Duration, //
};

use bench::{
    body,
    PlainReply,
    TestBench, //
};
use schema::bundle::{
    BundleBody,
    GroupSpec, //
};
use standin::{
    StoreFault,
    StoreServer,
    StoreSettings, //
};

fn once_body() -> BundleBody {
    let mut body = body();
    body.groups.push(GroupSpec {
        name: "receipts".into(),
        mode: "single".into(),
        once: true,
        shard_count: 1,
        replicas: 3,
        slots: 4,
        connections: 8,
        ..GroupSpec::default()
    });
    body
}

fn start() -> (StoreServer, TestBench) {
    let store = StoreServer::spawn(StoreSettings::default()).unwrap();
    let url = store.url();
    let bench = TestBench::with(&once_body(), |config| {
        config.platform.store = Some(url.parse().unwrap());
    });
    (store, bench)
}

fn renew(bench: &TestBench, id: &str, key: &str) -> PlainReply {
    let key = if key.is_empty() {
        String::new()
    } else {
        format!("idempotency-key: {key}\r\n")
    };
    let head = format!("x-request-id: {id}\r\nx-end-user: user\r\n{key}");
    bench.send("receipts", &head, b"renew plank 7")
}

#[test]
fn runs_once_and_repeats_its_outcome() {
    let (_store, bench) = start();
    let first = renew(&bench, "r1", "k1").answer();
    assert_eq!(first.outcome, "complete", "{}", first.reason);
    for round in 0..3 {
        let again = renew(&bench, &format!("again{round}"), "k1");
        let answer = again.answer();
        let told = answer.outcome == "complete" || answer.outcome == "unknown";
        assert!(told, "{}", again.body);
    }
    assert_eq!(bench.fleet.log().of_key("receipts", "k1"), 1);
}

#[test]
fn needs_a_key_and_the_store() {
    let (store, bench) = start();
    let bare = renew(&bench, "r1", "");
    assert_eq!(
        (bare.status, bare.answer().reason.as_str()),
        (400, "key_missing")
    );
    store.set_fault(StoreFault::Down);
    let down = renew(&bench, "r2", "k2");
    assert_eq!(
        (down.status, down.answer().outcome.as_str()),
        (503, "not_run")
    );
    assert_eq!(down.answer().reason, "store_down");
    assert_eq!(bench.fleet.log().of_key("receipts", "k2"), 0);
    assert_eq!(
        bench.ask("planks", "r3", "oak").answer().outcome,
        "complete"
    );
}

#[test]
fn racing_callers_run_it_once() {
    let (store, bench) = start();
    store.lose_replies(1);
    thread::scope(|scope| {
        for caller in 0..8 {
            let bench = &bench;
            scope.spawn(move || renew(bench, &format!("r{caller}"), "k1").answer());
        }
    });
    assert_eq!(bench.fleet.log().of_key("receipts", "k1"), 1);
}

#[test]
fn a_caller_that_leaves_changes_nothing() {
    let (_store, bench) = start();
    bench.fleet.adjust_all(|settings| {
        settings.service = standin::ServiceTime::constant(Duration::from_millis(100));
    });
    let head = "x-request-id: r\r\nx-end-user: user\r\nidempotency-key: k\r\n";
    let mut stream = std::net::TcpStream::connect(bench.bound.caller).unwrap();
    let call = bench::request("receipts", head, b"renew plank 7");
    std::io::Write::write_all(&mut stream, &call).unwrap();
    while bench.status().attempts == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    drop(stream);
    while bench.status().attempts > 0 {
        thread::sleep(Duration::from_millis(1));
    }
    let again = renew(&bench, "again", "k").answer();
    assert_ne!(again.outcome, "not_run", "{}", again.reason);
    assert_eq!(bench.fleet.log().of_key("receipts", "k"), 1);
}

#[test]
fn broken_connections_are_not_retried() {
    let (_store, bench) = start();
    bench.fleet.adjust_all(|settings| {
        settings.service = standin::ServiceTime::constant(Duration::from_millis(200));
    });
    thread::scope(|scope| {
        let asked = scope.spawn(|| renew(&bench, "r1", "k1").answer());
        while bench.status().attempts == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        while bench.fleet.log().of_key("receipts", "k1") == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        for (_, server) in bench.fleet.upstreams() {
            server.close_connections();
        }
        assert_eq!(asked.join().unwrap().outcome, "unknown");
    });
    assert_eq!(renew(&bench, "r2", "k1").answer().outcome, "unknown");
    assert_eq!(bench.fleet.log().of_key("receipts", "k1"), 1);
}
