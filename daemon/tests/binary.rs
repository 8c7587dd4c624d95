//! The `pollentallyd` binary as a process: exit codes, signals and a query.

#![allow(clippy::unwrap_used)]

mod bench;

use std::{
    fs,
    io::BufReader,
    net::SocketAddr,
    process::{
        Child,
        Command,
        Output,
        Stdio, //
    },
    time::Duration, //
};

use bench::{
    store_fixture::StoreFixture,
    wait_for_event, //
};
use standin::{
    FleetServer,
    FleetSettings,
    ServiceTime, //
};

const SAMPLE_SETTINGS: &str = include_str!("../../deploy/sample-settings.yaml");

fn pollentallyd() -> Command {
    Command::new(env!("CARGO_BIN_EXE_pollentallyd"))
}

fn run_with_settings(text: &str, flags: &[&str]) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    fs::write(&path, text).unwrap();
    let mut command = pollentallyd();
    command.arg("--settings").arg(&path).args(flags);
    command.output().unwrap()
}

#[test]
fn exit_code_names_the_failure() {
    let invalid = run_with_settings(&SAMPLE_SETTINGS.replace("kochi", "\"\""), &[]);
    assert_eq!(invalid.status.code(), Some(2));
    let text = String::from_utf8(invalid.stderr).unwrap();
    assert!(text.contains(":9: zone: "), "{text}");
    assert_eq!(
        run_with_settings(SAMPLE_SETTINGS, &["--check"])
            .status
            .code(),
        Some(0)
    );
    assert_eq!(
        run_with_settings(SAMPLE_SETTINGS, &["--no-such-flag"])
            .status
            .code(),
        Some(1)
    );
    let missing = pollentallyd()
        .args(["-s", "/nowhere/settings.yaml"])
        .output()
        .unwrap();
    assert_eq!(missing.status.code(), Some(2));
    let bound_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = bound_listener.local_addr().unwrap().to_string();
    let refused = run_with_settings(SAMPLE_SETTINGS, &["--caller", &address]);
    assert_eq!(refused.status.code(), Some(3));
}

struct RunningBinary {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
}

impl RunningBinary {
    fn start(path: &std::path::Path) -> Self {
        let mut child = pollentallyd()
            .arg("--settings")
            .arg(path)
            .args([
                "--caller",
                "127.0.0.1:0",
                "--admin",
                "127.0.0.1:0",
                "--peer",
                "127.0.0.1:0",
            ])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        Self { child, log }
    }
}

impl Drop for RunningBinary {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn starts_without_bundle_and_stops_on_sigterm() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    fs::write(
        &path,
        SAMPLE_SETTINGS.replace("quiet_ms: 5000", "quiet_ms: 50"),
    )
    .unwrap();
    let mut binary = RunningBinary::start(&path);
    let started = wait_for_event(&mut binary.log, "E1001");
    let admin: SocketAddr = started["admin"].as_str().unwrap().parse().unwrap();
    let ready = bench::exchange(
        admin,
        b"GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    );
    assert_eq!(ready.status, 503, "ready without a bundle");
    let live = bench::exchange(
        admin,
        b"GET /live HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    );
    assert_eq!(live.status, 200);
    let pid = binary.child.id().to_string();
    assert!(Command::new("kill")
        .args(["-TERM", &pid])
        .status()
        .unwrap()
        .success());
    wait_for_event(&mut binary.log, "E1005");
    assert_eq!(binary.child.wait().unwrap().code(), Some(0));
}

/// Settings of a daemon that trusts the signer of `fixture` and reads its store and the VM list of
/// `fleet`.
fn settings_text(fixture: &StoreFixture, fleet: &FleetServer) -> String {
    let key = hex::encode(fixture.key.verifying_key().to_bytes());
    let store = fixture.store.url();
    let vms = fleet.vms().url();
    format!(
        "name: entry\ndeployment: deployment\nzone: zone\nregion: region\n\
         peer_key: \"{}\"\n\
         platform:\n  store: {store}\n  vms: {vms}\n  vms_interval_ms: 50\n\
         trust:\n  signers:\n    - name: ann\n      key: \"{key}\"\n  required: 1\n\
         log:\n  format: json\n\
         stop:\n  quiet_ms: 100\n  bound_ms: 60000\n",
        "5a".repeat(32)
    )
}

#[test]
fn sigterm_stops_after_requests_in_flight_are_answered() {
    let mut fixture = StoreFixture::new();
    fixture.accept_bundle(&fixture.body());
    let fleet = FleetServer::start(&bench::spec(&bench::body()), FleetSettings::default()).unwrap();
    fleet.adjust_all(|upstream| {
        upstream.service = ServiceTime::constant(Duration::from_millis(150));
    });
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    fs::write(&path, settings_text(&fixture, &fleet)).unwrap();
    let mut binary = RunningBinary::start(&path);
    let started = wait_for_event(&mut binary.log, "E1001");
    let caller: SocketAddr = started["caller"].as_str().unwrap().parse().unwrap();
    wait_for_event(&mut binary.log, "E1002");
    let head = "x-request-id: r\r\nx-end-user: u\r\n";
    let mut stream = std::net::TcpStream::connect(caller).unwrap();
    std::io::Write::write_all(&mut stream, &bench::request("planks", head, b"oak")).unwrap();
    while fleet.counts().runs == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    let pid = binary.child.id().to_string();
    assert!(Command::new("kill")
        .args(["-TERM", &pid])
        .status()
        .unwrap()
        .success());
    let answer = bench::read_reply(&mut stream).answer();
    assert_eq!(answer.outcome, "complete", "{}", answer.reason);
    assert_eq!(answer.bundle_version, 1);
    wait_for_event(&mut binary.log, "E1005");
    assert_eq!(binary.child.wait().unwrap().code(), Some(0));
    let segments = fixture
        .store
        .keys()
        .into_iter()
        .filter(|key| key.starts_with("charges/entry/"));
    assert!(
        segments.count() > 0,
        "the store has no charge of the answered request"
    );
}
