//! Tests of the store's HTTP interface and its faults.

#![allow(clippy::unwrap_used)]

mod plain_http;

use std::{
    thread,
    time::Duration, //
};

use plain_http::call;
use standin::{
    CallCounts,
    StoreFault,
    StoreServer,
    StoreSettings, //
};

fn start_store() -> StoreServer {
    StoreServer::spawn(StoreSettings::default()).unwrap()
}

fn put(store: &StoreServer, key: &str, value: &str, expect: u64) -> Option<(u16, String)> {
    let body = format!(r#"{{"value":"{value}","expect":{expect},"lease":0}}"#);
    call(store.address(), "PUT", &format!("/v1/kv/{key}"), &body)
}

#[test]
fn compare_and_swap() {
    let store = start_store();
    let cases = [
        // value, expect, status, revision
        ("YQ==", 0, 200, 1),
        ("Yg==", 0, 409, 1),
        ("Yg==", 7, 409, 1),
        ("Yg==", 1, 200, 2),
        ("Yw==", 1, 409, 2),
    ];
    for (value, expect, status, revision) in cases {
        let reply = put(&store, "a/b", value, expect).unwrap();
        assert_eq!(reply, (status, format!(r#"{{"revision":{revision}}}"#)));
    }
    assert_eq!(store.value("a/b"), Some((b"b".to_vec(), 2)));
    let (status, body) = call(store.address(), "GET", "/v1/kv/a/b", "").unwrap();
    assert_eq!(status, 200);
    assert_eq!(body, r#"{"key":"a/b","value":"Yg==","revision":2}"#);
    assert_eq!(call(store.address(), "GET", "/v1/kv/a", "").unwrap().0, 404);
    let counts = CallCounts {
        reads: 2,
        writes: 5,
        watches: 0,
    };
    assert_eq!(store.counts(), counts);
}

#[test]
fn invalid_calls() {
    let store = start_store();
    let large = "A".repeat((1 << 20) / 3 * 4 + 8);
    let cases = [
        ("PUT", "/v1/kv/a", "{", 400),
        ("PUT", "/v1/kv/a", r#"{"value":"*"}"#, 400),
        ("PUT", "/v1/kv/a", &format!(r#"{{"value":"{large}"}}"#), 413),
        ("PUT", "/v1/lease/9", "", 404),
        ("DELETE", "/v1/lease/9", "", 404),
        ("POST", "/v1/kv/a", "", 404),
        ("GET", "/", "", 404),
    ];
    for (method, path, body, status) in cases {
        let reply = call(store.address(), method, path, body).unwrap();
        assert_eq!(reply.0, status, "{method} {path}");
    }
    assert!(store.keys().is_empty());
}

#[test]
fn write_completes_watch() {
    let store = start_store();
    let address = store.address();
    assert_eq!(
        call(address, "GET", "/v1/watch/a?after=0&wait_ms=10", ""),
        Some((304, String::new()))
    );
    let waiting =
        thread::spawn(move || call(address, "GET", "/v1/watch/a?after=0&wait_ms=60000", ""));
    while store.counts().watches < 2 {
        thread::sleep(Duration::from_millis(1));
    }
    put(&store, "b", "YQ==", 0).unwrap();
    put(&store, "a", "YQ==", 0).unwrap();
    let (status, body) = waiting.join().unwrap().unwrap();
    assert_eq!(status, 200);
    assert_eq!(body, r#"{"key":"a","value":"YQ==","revision":2}"#);
}

#[test]
fn lease_end_removes_keys() {
    let store = start_store();
    let grant = call(store.address(), "POST", "/v1/lease", r#"{"ttl_ms":60000}"#).unwrap();
    assert_eq!(grant, (200, r#"{"lease":1,"ttl_ms":60000}"#.into()));
    let body = r#"{"value":"YQ==","lease":1}"#;
    assert_eq!(
        call(store.address(), "PUT", "/v1/kv/a", body).unwrap().0,
        200
    );
    assert_eq!(
        call(store.address(), "PUT", "/v1/lease/1", "").unwrap().0,
        200
    );
    assert_eq!(store.keys(), ["a"]);
    let revoked = call(store.address(), "DELETE", "/v1/lease/1", "").unwrap();
    assert_eq!(revoked.0, 200);
    assert!(store.keys().is_empty());
    let late = call(store.address(), "PUT", "/v1/kv/b", body).unwrap();
    assert_eq!(late.0, 409);
}

#[test]
fn lost_reply_keeps_write() {
    let store = start_store();
    store.lose_replies(1);
    assert_eq!(put(&store, "a", "YQ==", 0), None);
    assert_eq!(store.value("a"), Some((b"a".to_vec(), 1)));
    assert_eq!(put(&store, "a", "YQ==", 0).unwrap().0, 409);
}

#[test]
fn outage_and_restore() {
    let store = start_store();
    put(&store, "a", "YQ==", 0).unwrap();
    let copy = store.copy();
    put(&store, "a", "Yg==", 1).unwrap();
    store.set_fault(StoreFault::Down);
    while call(store.address(), "GET", "/v1/kv/a", "").is_some() {
        thread::sleep(Duration::from_millis(1));
    }
    store.set_fault(StoreFault::None);
    let reply = loop {
        if let Some(reply) = call(store.address(), "GET", "/v1/kv/a", "") {
            break reply;
        }
        thread::sleep(Duration::from_millis(1));
    };
    assert_eq!(reply.0, 200);
    store.restore(copy);
    assert_eq!(store.value("a"), Some((b"a".to_vec(), 1)));
}

#[test]
fn ports_fail_independently() {
    let store = start_store();
    let host = standin::TaskHost::spawn().unwrap();
    let other = store.second_port(&host).unwrap();
    store.set_fault(StoreFault::Hang);
    put(&other, "a", "YQ==", 0).unwrap();
    assert_eq!(store.value("a"), Some((b"a".to_vec(), 1)));
    assert_eq!(other.counts().writes, 1);
    assert_eq!(store.counts().writes, 0);
}
