//! Client accounts, with real processes: which requests are let in, and what replicas are told of them.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use std::{
    net::SocketAddr,
    thread::{
        self,
        sleep,
        JoinHandle, //
    },
    time::Duration, //
};

use forward_cluster::{
    wait_for,
    DaemonProcess,
    ForwardCluster, //
};
use platform_standin::{
    account_config_text,
    AccountText,
    CallerReply,
    FakeReplica,
    KeyedCaller,
    LinkFault,
    LinkProxy,
    ReplicaFault,
    RouteText,
    StoreFault, //
};
use serde_json::{
    json,
    Value, //
};

const KEY: &str = "s3cret-acme";
const OTHER_KEY: &str = "s3cret-other";
const ODD_KEY: &str = "s3cret ключ,;=\"%é";
/// What the caller of a request without an account sends in its place.
const FORGED: (&str, &[u8]) = ("Tenant", b"other");
/// Time for which a replica runs each request while another one waits.
const SLOW_RUN: Duration = Duration::from_secs(3);

fn accounts() -> Value {
    json!([
        AccountText::new("acme", &[KEY]).to_json(),
        AccountText::new("other", &[OTHER_KEY, ODD_KEY]).to_json(),
    ])
}

fn routes() -> [RouteText; 3] {
    [
        RouteText::single("/one/", "s1"),
        RouteText::single("/open/", "s1"),
        RouteText {
            services: vec!["s1", "s2"],
            ..RouteText::single("/all/", "s1")
        },
    ]
}

fn configure(cluster: &ForwardCluster, version: u64, routes: &[RouteText], tenants: Value) {
    let text = account_config_text(version, routes, &["/open/"], tenants);
    cluster.store.put("op/config", text);
}

/// A cluster with accounts, and a replica of each of two services.
fn start() -> (ForwardCluster, [FakeReplica; 2]) {
    let cluster = ForwardCluster::start(&[]);
    configure(&cluster, 2, &routes(), accounts());
    let replicas =
        ["s1", "s2"].map(|s| FakeReplica::start(&cluster.store, s, &format!("i-{s}"), "z1"));
    (cluster, replicas)
}

fn bearer(key: &str) -> Vec<u8> {
    [b"Bearer ", key.as_bytes()].concat()
}

/// Sends a request with `key` on a new connection.
fn get_with(address: SocketAddr, path: &str, id: &str, key: &str) -> CallerReply {
    let headers: [(&str, &[u8]); 1] = [("Authorization", &bearer(key))];
    KeyedCaller::connect(address).get(path, id, &headers)
}

/// The values of the header `name` that replicas got with the request `id`, one list for each send.
fn sent_headers(replicas: &[&FakeReplica], id: &str, name: &str) -> Vec<Vec<String>> {
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
fn check_account(replicas: &[&FakeReplica], id: &str, account: Option<&str>) {
    let tenants = sent_headers(replicas, id, "tenant");
    assert!(!tenants.is_empty(), "{id} was not sent");
    for tenant in tenants {
        assert_eq!(tenant, Vec::from_iter(account), "{id}");
    }
    for keys in sent_headers(replicas, id, "authorization") {
        assert_eq!(keys, [""; 0], "{id}");
    }
}

/// Checks that nothing that operators see holds a key.
fn check_secrecy(daemons: &[&DaemonProcess]) {
    for daemon in daemons {
        for text in [daemon.log(), daemon.metrics(), daemon.status()] {
            assert!(!text.is_empty() && !text.contains("s3cret"), "{text}");
        }
    }
}

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
    let log = daemon.log();
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
    let log = daemon.log();
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
    assert!(daemon.log().contains("tenants[0]"));
    check_secrecy(&[&daemon]);
}

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
    let log = daemon.log();
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
    assert!(grown < 4_000_000, "{grown} bytes");
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
    assert!(daemons[0].log().contains("E7026"));
    check_secrecy(&[&daemons[0], &daemons[1]]);
}
