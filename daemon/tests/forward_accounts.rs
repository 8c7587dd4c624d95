//! Client accounts, with real processes: which requests are let in, and what replicas are told of them.

#![allow(clippy::unwrap_used)]

mod account_kit;
mod forward_cluster;

use std::thread::{
    self,
    JoinHandle, //
};

use account_kit::{
    bearer,
    check_account,
    check_secrecy,
    complete_log,
    configure,
    get_with,
    routes,
    start,
    FORGED,
    KEY,
    ODD_KEY,
    OTHER_KEY, //
};
use forward_cluster::wait_for;
use platform_standin::{
    KeyedCaller,
    StoreFault, //
};
use serde_json::json;

/// Guards against an API key that reaches replicas, and against a caller that names an account itself, also by
/// having the daemon's header removed as one of the connection.
#[test]
fn replicas_are_told_the_account_and_no_key() {
    let (mut cluster, replicas) = start();
    let replicas = [&replicas[0], &replicas[1]];
    let daemon = cluster.ready_daemon("z1");
    let mut caller = KeyedCaller::connect(daemon.callers());
    let key = bearer(KEY);
    let keyed: (&str, &[u8]) = ("aUTHORIZATION", &key);
    for path in ["/one/x", "/open/x", "/all/x"] {
        let id = format!("keyed{}", path.replace('/', "-"));
        let hop: (&str, &[u8]) = ("Connection", b"tenant, authorization");
        let headers = [FORGED, keyed, FORGED, hop];
        let reply = caller.get(path, &id, &headers);
        assert_eq!(reply.status, 200, "{reply:?}");
        check_account(&replicas, &id, Some("acme"));
    }
    let reply = caller.get("/open/x", "public", &[FORGED]);
    assert_eq!(reply.status, 200, "{reply:?}");
    check_account(&replicas, "public", None);
    let reply = get_with(daemon.callers(), "/one/x", "odd", ODD_KEY);
    assert_eq!(reply.status, 200, "{reply:?}");
    check_account(&replicas, "odd", Some("other"));
    check_secrecy(&[&daemon]);
    let log = complete_log(&daemon);
    assert!(log.contains("\"account\":\"acme\""), "{log}");
    let metrics = daemon.metrics();
    let counted = r#"forward_account_requests_total{account="acme",result="served"} 3"#;
    assert!(metrics.contains(counted), "{metrics}");
}

/// Guards against requests that run without a valid key, and against 401 where there is no such route.
#[test]
fn requests_without_a_valid_key_are_refused() {
    let (mut cluster, replicas) = start();
    let daemon = cluster.ready_daemon("z1");
    let mut caller = KeyedCaller::connect(daemon.callers());
    let cases: [&[&[u8]]; 8] = [
        &[],
        &[b"Bearer s3cret-wrong"],
        &[b"Bearer"],
        &[b"Bearer "],
        &[b"Basic s3cret-acme"],
        &[b"s3cret-acme"],
        &[b"Bearer s3cret-acme", b"Bearer s3cret-acme"],
        &[b"Bearer s3cret-acm\xc3\xa9\xff"],
    ];
    for (number, values) in cases.iter().enumerate() {
        let mut headers = vec![FORGED];
        headers.extend(values.iter().map(|value| ("Authorization", *value)));
        for (path, expected) in [("/one/x", 401), ("/open/x", 401), ("/none/x", 404)] {
            let expected = match (path, values.is_empty()) {
                ("/open/x", true) => 200,
                _ => expected,
            };
            let id = format!("refused-{number}{}", path.replace('/', "-"));
            let reply = caller.get(path, &id, &headers);
            assert_eq!(reply.status, expected, "{path} {number} {reply:?}");
            let challenge = if expected == 401 { "Bearer" } else { "" };
            assert_eq!(reply.header("www-authenticate"), challenge);
        }
    }
    // Only the public request without a key.
    assert_eq!(replicas[0].runs(), 1);
    check_secrecy(&[&daemon]);
    let log = complete_log(&daemon);
    let of_kind = |reason: &str| {
        let lines = log.lines().filter(|line| line.contains("E7040"));
        lines.filter(|line| line.contains(reason)).count()
    };
    assert_eq!((of_kind("missing_key"), of_kind("unknown_key")), (1, 14));
    let metrics = daemon.metrics();
    let counted = r#"forward_refusals_total{reason="unknown_key"} 14"#;
    assert!(metrics.contains(counted), "{metrics}");
}

/// Guards against routes that become open to everyone because no account can be read.
#[test]
fn malformed_accounts_open_no_route() {
    let (mut cluster, replicas) = start();
    let broken = json!([{"name": "acme", "apiKeys": KEY}, 5, "s3cret"]);
    configure(&cluster, 3, &routes(), broken);
    let daemon = cluster.ready_daemon("z1");
    let mut caller = KeyedCaller::connect(daemon.callers());
    assert_eq!(caller.get("/one/x", "open-1", &[]).status, 401);
    let reply = get_with(daemon.callers(), "/one/x", "open-2", KEY);
    assert_eq!((reply.status, replicas[0].runs()), (401, 0));
    assert!(complete_log(&daemon).contains("tenants[0]"));
    check_secrecy(&[&daemon]);
}

/// Guards against memory that grows with each wrong key, and against a daemon that serves nobody beside them.
#[test]
fn wrong_keys_cost_no_memory() {
    const CALLERS: usize = 4;
    const KEYS: usize = 25_000;
    let (mut cluster, _replicas) = start();
    let daemon = cluster.ready_daemon("z1");
    let try_keys = |round: usize, count: usize| {
        let callers = (0..CALLERS).map(|caller| {
            let address = daemon.callers();
            thread::spawn(move || {
                let mut connection = KeyedCaller::connect(address);
                for number in 0..count {
                    let key = bearer(&format!("s3cret-{round}-{caller}-{number}"));
                    let headers: [(&str, &[u8]); 1] = [("Authorization", &key)];
                    let reply = connection.get("/one/x", "guess", &headers);
                    assert_eq!(reply.status, 401);
                }
            })
        });
        let callers: Vec<JoinHandle<()>> = callers.collect();
        callers
            .into_iter()
            .for_each(|caller| caller.join().unwrap());
    };
    try_keys(0, 500);
    let before = daemon.peak_memory();
    try_keys(1, KEYS);
    let grown = daemon.peak_memory() - before;
    // The digests alone would take 1.6 MB.
    assert!(grown < 1_500_000, "{grown} bytes");
    let reply = get_with(daemon.callers(), "/one/x", "right", KEY);
    assert_eq!(reply.status, 200);
    check_secrecy(&[&daemon]);
}

/// Guards against a daemon that serves without a key, or refuses every key, because it has started while the
/// store is away; it has the accounts from the others, or serves nobody.
#[test]
fn a_restarted_daemon_has_the_accounts_of_the_others() {
    let (mut cluster, _replicas) = start();
    let first = cluster.ready_daemon("z1");
    cluster.store.set_fault(StoreFault::Busy);
    let second = cluster.ready_daemon("z1");
    let mut caller = KeyedCaller::connect(second.callers());
    assert_eq!(caller.get("/one/x", "none", &[]).status, 401);
    assert_eq!(caller.get("/open/x", "public", &[]).status, 200);
    let wrong = get_with(second.callers(), "/one/x", "wrong", "s3cret-wrong");
    assert_eq!(wrong.status, 401);
    let right = get_with(second.callers(), "/one/x", "right", OTHER_KEY);
    assert_eq!(right.status, 200);
    drop((first, second));
    let alone = cluster.spawn("z1");
    wait_for("the port is open", || {
        let probed = std::net::TcpStream::connect(alone.callers());
        probed.is_ok()
    });
    for path in ["/one/x", "/open/x"] {
        let reply = get_with(alone.callers(), path, "alone", KEY);
        assert_eq!(reply.status, 503, "{reply:?}");
    }
}
