//! Requests that may run only once, with a daemon, a store and upstreams.

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

fn start_with_store() -> (StoreServer, TestBench) {
    let store = StoreServer::spawn(StoreSettings::default()).unwrap();
    let url = store.url();
    let bench = TestBench::with(&once_body(), |config| {
        config.platform.store = Some(url.parse().unwrap());
    });
    (store, bench)
}

fn send_renewal(bench: &TestBench, id: &str, key: &str) -> PlainReply {
    let key_header = if key.is_empty() {
        String::new()
    } else {
        format!("idempotency-key: {key}\r\n")
    };
    let head = format!("x-request-id: {id}\r\nx-end-user: user\r\n{key_header}");
    bench.send("receipts", &head, b"renew plank 7")
}

#[test]
fn repeated_key_runs_once_and_returns_its_outcome() {
    let (_store, bench) = start_with_store();
    let first = send_renewal(&bench, "r1", "k1").answer();
    assert_eq!(first.outcome, "complete", "{}", first.reason);
    for round in 0..3 {
        let repeated = send_renewal(&bench, &format!("again{round}"), "k1");
        let answer = repeated.answer();
        let has_outcome = answer.outcome == "complete" || answer.outcome == "unknown";
        assert!(has_outcome, "{}", repeated.body);
    }
    assert_eq!(bench.fleet.log().of_key("receipts", "k1"), 1);
}

#[test]
fn refused_without_key_or_store() {
    let (store, bench) = start_with_store();
    let without_key = send_renewal(&bench, "r1", "");
    assert_eq!(
        (without_key.status, without_key.answer().reason.as_str()),
        (400, "key_missing")
    );
    store.set_fault(StoreFault::Down);
    let without_store = send_renewal(&bench, "r2", "k2");
    assert_eq!(
        (
            without_store.status,
            without_store.answer().outcome.as_str()
        ),
        (503, "not_run")
    );
    assert_eq!(without_store.answer().reason, "store_down");
    assert_eq!(bench.fleet.log().of_key("receipts", "k2"), 0);
    assert_eq!(
        bench.ask("planks", "r3", "oak").answer().outcome,
        "complete"
    );
}

/// Eight callers send the same key at once, and the store loses the reply to one call.
#[test]
fn concurrent_requests_with_one_key_run_once() {
    let (store, bench) = start_with_store();
    store.lose_replies(1);
    thread::scope(|scope| {
        for caller in 0..8 {
            let bench = &bench;
            scope.spawn(move || send_renewal(bench, &format!("r{caller}"), "k1").answer());
        }
    });
    assert_eq!(bench.fleet.log().of_key("receipts", "k1"), 1);
}

/// A caller that disconnects must not cancel a request that may run only once: a second request
/// with the key could then run it again.
#[test]
fn request_is_finished_after_its_caller_disconnects() {
    let (_store, bench) = start_with_store();
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
    let repeated = send_renewal(&bench, "again", "k").answer();
    assert_ne!(repeated.outcome, "not_run", "{}", repeated.reason);
    assert_eq!(bench.fleet.log().of_key("receipts", "k"), 1);
}

/// After a lost connection the daemon can't know whether the upstream ran the request. It must not
/// send the request again and answers `unknown`.
#[test]
fn request_is_not_retried_after_lost_connections() {
    let (_store, bench) = start_with_store();
    bench.fleet.adjust_all(|settings| {
        settings.service = standin::ServiceTime::constant(Duration::from_millis(200));
    });
    thread::scope(|scope| {
        let pending = scope.spawn(|| send_renewal(&bench, "r1", "k1").answer());
        while bench.status().attempts == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        while bench.fleet.log().of_key("receipts", "k1") == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        for (_, server) in bench.fleet.upstreams() {
            server.close_connections();
        }
        assert_eq!(pending.join().unwrap().outcome, "unknown");
    });
    assert_eq!(send_renewal(&bench, "r2", "k1").answer().outcome, "unknown");
    assert_eq!(bench.fleet.log().of_key("receipts", "k1"), 1);
}
