//! Daemon processes that are paused with SIGSTOP in the middle of requests that may run only once,
//! and continue after the requests were repeated at another daemon.

#![allow(clippy::unwrap_used)]

mod bench;

use std::{
    fs,
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    process::{
        Child,
        Command,
        Stdio, //
    },
    thread,
    time::Duration, //
};

use bench::{
    body,
    exchange,
    request,
    spec,
    wait_for_event,
    PlainReply, //
};
use daemon::store::StoreClient;
use ed25519_dalek::SigningKey;
use policy::bundle::{
    add_signature,
    draft_bundle,
    part_key,
    split_parts,
    BundleChain,
    SignerSet,
    HEAD_KEY, //
};
use prost::Message;
use schema::bundle::{
    BundleBody,
    GroupSpec,
    PolicySpec,
    SignedBundle,
    SignerSpec, //
};
use standin::{
    FleetServer,
    FleetSettings,
    ServiceTime,
    StoreServer,
    StoreSettings, //
};

const KEY_COUNT: u64 = 16;
/// Time between two requests, short enough that the last ones are still being claimed when the
/// daemon is paused.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Longer than every timeout of the daemon and the store, and than the deadline of the requests.
const PAUSE_DURATION: Duration = Duration::from_millis(2_500);

fn signing_key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn once_body() -> BundleBody {
    let mut body = body();
    body.version = 0;
    body.daemons = 2;
    body.signers = vec![SignerSpec {
        name: "ann".into(),
        key: hex::encode(signing_key().verifying_key().to_bytes()),
    }];
    body.groups.push(GroupSpec {
        name: "receipts".into(),
        mode: "single".into(),
        once: true,
        shard_count: 1,
        replicas: 3,
        slots: 8,
        connections: 16,
        policy: Some(PolicySpec {
            deadline_ms: 1_000,
            deadline_max_ms: 1_000,
            ..PolicySpec::default()
        }),
        ..GroupSpec::default()
    });
    body
}

fn sign_bundle(body: &BundleBody) -> SignedBundle {
    let trust = SignerSet::from_specs(&body.signers, 1).unwrap();
    let chain = BundleChain::new(body.deployment.parse().unwrap(), trust);
    let mut draft = draft_bundle(&chain, body).unwrap();
    add_signature(&chain, &mut draft, &"ann".parse().unwrap(), &signing_key()).unwrap();
    draft
}

fn write_bundle(store: &StoreServer, signed: &SignedBundle) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(async {
        let client = StoreClient::new(&store.url(), Duration::from_secs(5)).unwrap();
        for (entry, bytes) in split_parts(&signed.body) {
            client
                .write(&part_key(&entry.digest), bytes, 0, 0)
                .await
                .unwrap();
        }
        let head = signed.head.as_ref().unwrap().encode_to_vec();
        client.write(HEAD_KEY, &head, 0, 0).await.unwrap();
    });
}

/// A daemon in a process of its own.
struct DaemonProcess {
    child: Child,
    caller: SocketAddr,
    _log: thread::JoinHandle<()>,
    _folder: tempfile::TempDir,
}

impl DaemonProcess {
    fn start(name: &str, store: &StoreServer, fleet: &FleetServer) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("settings.yaml");
        let key = hex::encode(signing_key().verifying_key().to_bytes());
        let text = format!(
            "name: {name}\ndeployment: deployment\nzone: zone\nregion: region\n\
             listen:\n  caller: 127.0.0.1:0\n  admin: 127.0.0.1:0\n  peer: 127.0.0.1:0\n\
             peer_key: \"{}\"\n\
             platform:\n  store: {}\n  vms: {}\n  store_timeout_ms: 300\n\
             trust:\n  signers:\n    - name: ann\n      key: \"{key}\"\n  required: 1\n\
             log:\n  format: json\n",
            "07".repeat(32),
            store.url(),
            fleet.vms().url(),
        );
        fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_pollentallyd"))
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let started = wait_for_event(&mut log, "E1001");
        wait_for_event(&mut log, "E1002");
        // The daemon would block on a full pipe, so its log is read to the end.
        let log = thread::spawn(move || for _ in log.lines() {});
        Self {
            child,
            caller: started["caller"].as_str().unwrap().parse().unwrap(),
            _log: log,
            _folder: folder,
        }
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status().unwrap();
        assert!(status.success());
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn send_renewal(caller: SocketAddr, key: u64) -> PlainReply {
    let head =
        format!("x-request-id: r{key}\r\nx-end-user: user-{key}\r\nidempotency-key: k{key}\r\n");
    exchange(caller, &request("receipts", &head, b"renew plank 7"))
}

/// Sends a request for every key, `REQUEST_INTERVAL` apart, and reads each reply on its own thread.
fn send_renewals(caller: SocketAddr) -> Vec<thread::JoinHandle<PlainReply>> {
    let mut calls = Vec::new();
    for key in 0..KEY_COUNT {
        calls.push(thread::spawn(move || send_renewal(caller, key)));
        thread::sleep(REQUEST_INTERVAL);
    }
    calls
}

fn outcomes(calls: Vec<thread::JoinHandle<PlainReply>>) -> Vec<String> {
    let ended = calls.into_iter().map(|call| call.join().unwrap());
    ended.map(|reply| reply.answer().outcome).collect()
}

/// The first daemon is paused while it claims and sends requests. The second daemon gets the same
/// keys during the pause and after it. No key may run twice, although the first daemon goes on with
/// claims that have expired.
#[test]
fn daemon_paused_past_every_timeout_runs_no_request_twice() {
    let store = StoreServer::spawn(StoreSettings {
        latency: Duration::from_millis(30),
        ..StoreSettings::default()
    });
    let store = store.unwrap();
    let body = once_body();
    let signed = sign_bundle(&body);
    let mut accepted_body = body.clone();
    accepted_body.version = 1;
    let fleet = FleetSettings {
        service: ServiceTime::constant(Duration::from_millis(40)),
        ..FleetSettings::default()
    };
    let fleet = FleetServer::start(&spec(&accepted_body), fleet).unwrap();
    write_bundle(&store, &signed);
    let first = DaemonProcess::start("first", &store, &fleet);
    let second = DaemonProcess::start("second", &store, &fleet);

    let paused = send_renewals(first.caller);
    first.signal("-STOP");
    let repeated = outcomes(send_renewals(second.caller));
    thread::sleep(PAUSE_DURATION);
    first.signal("-CONT");
    let paused = outcomes(paused);
    let after_resume = outcomes(send_renewals(second.caller));

    let log = fleet.log();
    assert_eq!(log.repeated_keys(), Vec::new());
    let mut runs = 0;
    for key in 0..KEY_COUNT as usize {
        let key_runs = log.of_key("receipts", &format!("k{key}"));
        let replies = [&paused[key], &repeated[key], &after_resume[key]];
        let refused = replies
            .iter()
            .filter(|outcome| **outcome == "not_run")
            .count();
        assert!(
            key_runs == 0 || refused < replies.len(),
            "k{key} ran although every reply says not_run: {replies:?}"
        );
        runs += key_runs;
    }
    println!(
        "{runs} runs; paused {paused:?}; repeated {repeated:?}; after resume {after_resume:?}"
    );
    assert!(runs > 0);
}
