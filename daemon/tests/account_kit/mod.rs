//! A cluster with client accounts, and checks of what replicas are told of them.

#![allow(clippy::unwrap_used, dead_code)]

use std::net::SocketAddr;

use platform_standin::{
    account_config_text,
    AccountText,
    CallerReply,
    FakeReplica,
    KeyedCaller,
    RouteText, //
};
use serde_json::{
    json,
    Value, //
};

use crate::forward_cluster::{
    wait_for,
    DaemonProcess,
    ForwardCluster, //
};

pub(crate) const KEY: &str = "s3cret-acme";
pub(crate) const OTHER_KEY: &str = "s3cret-other";
pub(crate) const ODD_KEY: &str = "s3cret ключ,;=\"%é";
/// What the caller of a request without an account sends in its place.
pub(crate) const FORGED: (&str, &[u8]) = ("Tenant", b"other");
pub(crate) fn accounts() -> Value {
    json!([
        AccountText::new("acme", &[KEY]).to_json(),
        AccountText::new("other", &[OTHER_KEY, ODD_KEY]).to_json(),
    ])
}

pub(crate) fn routes() -> [RouteText; 3] {
    [
        RouteText::single("/one/", "s1"),
        RouteText::single("/open/", "s1"),
        RouteText {
            services: vec!["s1", "s2"],
            ..RouteText::single("/all/", "s1")
        },
    ]
}

pub(crate) fn configure(
    cluster: &ForwardCluster,
    version: u64,
    routes: &[RouteText],
    tenants: Value,
) {
    let text = account_config_text(version, routes, &["/open/"], tenants);
    cluster.store.put("op/config", text);
}

/// A cluster with accounts, and a replica of each of two services.
pub(crate) fn start() -> (ForwardCluster, [FakeReplica; 2]) {
    let cluster = ForwardCluster::start(&[]);
    configure(&cluster, 2, &routes(), accounts());
    let replicas =
        ["s1", "s2"].map(|s| FakeReplica::start(&cluster.store, s, &format!("i-{s}"), "z1"));
    (cluster, replicas)
}

pub(crate) fn bearer(key: &str) -> Vec<u8> {
    [b"Bearer ", key.as_bytes()].concat()
}

/// Sends a request with `key` on a new connection.
pub(crate) fn get_with(address: SocketAddr, path: &str, id: &str, key: &str) -> CallerReply {
    let headers: [(&str, &[u8]); 1] = [("Authorization", &bearer(key))];
    KeyedCaller::connect(address).get(path, id, &headers)
}

/// The values of the header `name` that replicas got with the request `id`, one list for each send.
pub(crate) fn sent_headers(replicas: &[&FakeReplica], id: &str, name: &str) -> Vec<Vec<String>> {
    let heads = replicas.iter().flat_map(|replica| replica.heads());
    let heads = heads.filter(|(sent, _)| sent == id);
    let lists = heads.map(|(_, headers)| {
        let values = headers.get_all(name).iter();
        let texts = values.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
        texts.collect()
    });
    lists.collect()
}

/// Checks that each replica that got the request `id` was told `account` and no key.
pub(crate) fn check_account(replicas: &[&FakeReplica], id: &str, account: Option<&str>) {
    let tenants = sent_headers(replicas, id, "tenant");
    assert!(!tenants.is_empty(), "{id} was not sent");
    for tenant in tenants {
        assert_eq!(tenant, Vec::from_iter(account), "{id}");
    }
    for keys in sent_headers(replicas, id, "authorization") {
        assert_eq!(keys, [""; 0], "{id}");
    }
}

/// The log of a daemon with the lines about all requests so far, which are written with a delay: the line about a
/// last request is awaited.
pub(crate) fn complete_log(daemon: &DaemonProcess) -> String {
    let id = format!("last-{}", daemon.log().len());
    let reply = KeyedCaller::connect(daemon.callers()).get("/nowhere", &id, &[]);
    assert_eq!(reply.status, 404, "{reply:?}");
    let line = format!("\"request\":\"{id}\"");
    wait_for("the log is written", || daemon.log().contains(&line));
    daemon.log()
}

/// Checks that nothing that operators see holds a key.
pub(crate) fn check_secrecy(daemons: &[&DaemonProcess]) {
    for daemon in daemons {
        for text in [complete_log(daemon), daemon.metrics(), daemon.status()] {
            assert!(!text.is_empty() && !text.contains("s3cret"), "{text}");
        }
    }
}
