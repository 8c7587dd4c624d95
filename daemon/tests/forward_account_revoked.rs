//! API keys that are revoked, and accounts that are configured, while requests wait or connections are open.

#![allow(clippy::unwrap_used)]

mod account_kit;
mod forward_cluster;

use std::{
    thread::{
        self,
        sleep,
        JoinHandle, //
    },
    time::Duration, //
};

use account_kit::{
    accounts,
    bearer,
    check_account,
    check_secrecy,
    complete_log,
    configure,
    get_with,
    routes,
    sent_headers,
    start,
    FORGED,
    KEY,
    OTHER_KEY, //
};
use forward_cluster::{
    wait_for,
    DaemonProcess,
    ForwardCluster, //
};
use platform_standin::{
    AccountText,
    CallerReply,
    FakeReplica,
    KeyedCaller,
    ReplicaFault,
    RouteText, //
};
use serde_json::{
    json,
    Value, //
};

/// Time for which a replica runs each request while another one waits.
const SLOW_RUN: Duration = Duration::from_secs(3);

/// Guards against a revoked key that goes on being served on an open connection, and against another key that
/// is refused with it.
#[test]
fn a_revoked_key_is_refused_on_an_open_connection() {
    let (mut cluster, _replicas) = start();
    let daemon = cluster.ready_daemon("z1");
    let mut caller = KeyedCaller::connect(daemon.callers());
    let key = bearer(KEY);
    let headers: [(&str, &[u8]); 1] = [("Authorization", &key)];
    assert_eq!(caller.get("/one/x", "before", &headers).status, 200);
    let left = json!([
        AccountText::new("acme", &["s3cret-new"]).to_json(),
        AccountText::new("other", &[OTHER_KEY]).to_json(),
    ]);
    configure(&cluster, 3, &routes(), left);
    let mut number = 0;
    wait_for("the key is refused", || {
        number += 1;
        caller
            .get("/one/x", &format!("open-{number}"), &headers)
            .status
            == 401
    });
    for number in 0..20 {
        let reply = caller.get("/one/x", &format!("after-{number}"), &headers);
        assert_eq!(reply.status, 401);
    }
    for (id, key) in [("new", "s3cret-new"), ("other", OTHER_KEY)] {
        assert_eq!(get_with(daemon.callers(), "/one/x", id, key).status, 200);
    }
    check_secrecy(&[&daemon]);
}

/// Requests that a daemon sends to a replica at once at least, however few connections the replica accepts.
const RUNNING: [&str; 2] = ["running-1", "running-2"];

/// A daemon that may have few requests at its replica, which is slow, so that further requests wait.
fn start_narrow(tenants: Value) -> (ForwardCluster, DaemonProcess, FakeReplica, RouteText) {
    let narrow = RouteText {
        connections: 1,
        timeout_ms: 20_000,
        goal_ms: 20_000,
        ..RouteText::single("/one/", "s1")
    };
    let mut cluster = ForwardCluster::start(&[]);
    configure(&cluster, 2, std::slice::from_ref(&narrow), tenants);
    let replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let daemon = cluster.ready_daemon("z1");
    replica.set_fault(ReplicaFault::Slow(SLOW_RUN));
    (cluster, daemon, replica, narrow)
}

/// Sends a request in a thread of its own, with `key` if that is not empty.
fn send(daemon: &DaemonProcess, id: &'static str, key: &'static str) -> JoinHandle<CallerReply> {
    let address = daemon.callers();
    let reply = thread::spawn(move || match key {
        "" => KeyedCaller::connect(address).get("/one/x", id, &[FORGED]),
        key => get_with(address, "/one/x", id, key),
    });
    sleep(Duration::from_millis(150));
    reply
}

/// Sends as many requests as the replica gets at once.
fn fill(
    daemon: &DaemonProcess,
    replica: &FakeReplica,
    key: &'static str,
) -> [JoinHandle<CallerReply>; 2] {
    let replies = RUNNING.map(|id| send(daemon, id, key));
    wait_for("the first requests run", || replica.runs() == 2);
    replies
}

/// Guards against a revoked key whose requests are sent because they were waiting, and against the loss of a
/// request that a replica has.
#[test]
fn a_waiting_request_with_a_revoked_key_is_refused() {
    let (cluster, daemon, replica, route) = start_narrow(accounts());
    let running = fill(&daemon, &replica, KEY);
    let revoked = send(&daemon, "revoked", KEY);
    let waiting = send(&daemon, "waiting", OTHER_KEY);
    let left = json!([AccountText::new("other", &[OTHER_KEY]).to_json()]);
    configure(&cluster, 3, &[route], left);
    let reply = revoked.join().unwrap();
    let log = complete_log(&daemon);
    assert_eq!(reply.status, 401, "{log}");
    assert!(log.contains("E7042"), "{log}");
    for reply in running {
        assert_eq!(reply.join().unwrap().status, 200);
    }
    assert_eq!(waiting.join().unwrap().status, 200);
    assert_eq!(replica.runs_of("revoked"), 0);
    check_account(&[&replica], "waiting", Some("other"));
    check_secrecy(&[&daemon]);
}

/// Guards against the key or the forged account of a request that came before the first account was
/// configured, and reaches a replica after it.
#[test]
fn waiting_requests_lose_their_key_with_the_first_account() {
    let (cluster, daemon, replica, route) = start_narrow(json!([]));
    let running = fill(&daemon, &replica, "");
    // Without accounts, headers are passed on as they are.
    let passed = sent_headers(&[&replica], RUNNING[0], "tenant");
    assert_eq!(passed, [["other"]]);
    let keyed = send(&daemon, "keyed", KEY);
    let keyless = send(&daemon, "keyless", "");
    configure(&cluster, 3, &[route], accounts());
    assert_eq!(keyless.join().unwrap().status, 401, "{}", daemon.log());
    for reply in running {
        assert_eq!(reply.join().unwrap().status, 200);
    }
    assert_eq!(keyed.join().unwrap().status, 200, "{}", daemon.log());
    check_account(&[&replica], "keyed", Some("acme"));
    assert_eq!(replica.runs_of("keyless"), 0);
}
