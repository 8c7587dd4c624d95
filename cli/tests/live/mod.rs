//! Test deployment: simulated store and upstreams, and daemon processes of the real binary.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration, //
};

use schema::{
    bundle::BundleBody,
    parse_yaml,
    DeploymentSpec, //
};
use standin::{
    FleetServer,
    FleetSettings,
    ServiceTime,
    StoreServer,
    StoreSettings, //
};

use crate::workdir::{
    bundle_yaml,
    settings_yaml,
    CommandResult,
    WorkDir, //
};

/// Interval at which a test polls for an expected state.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Code of the log event that a daemon writes once it listens.
const STARTED_EVENT: &str = "E1001";

/// A running daemon process; killed when dropped.
pub(crate) struct DaemonProcess {
    pub(crate) caller: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) peer: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl DaemonProcess {
    /// Starts a daemon with the settings file `settings` and waits until it listens.
    pub(crate) fn start(dir: &WorkDir, settings: &str, flags: &[&str]) -> Self {
        let mut child = Command::new(binary())
            .arg("--settings")
            .arg(dir.path(settings))
            .args(["--caller", "127.0.0.1:0", "--admin", "127.0.0.1:0"])
            .args(["--peer", "127.0.0.1:0", "--log-format", "json"])
            .args(flags)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let log = Arc::new(Mutex::new(Vec::new()));
        let started = loop {
            let line = lines
                .next()
                .expect("the daemon exited before it listened")
                .unwrap();
            if line.contains(STARTED_EVENT) {
                break line;
            }
        };
        let shared_log = Arc::clone(&log);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                shared_log.lock().unwrap().push(line);
            }
        });
        let event: serde_json::Value = serde_json::from_str(&started).unwrap();
        let address = |name: &str| event[name].as_str().unwrap().parse().unwrap();
        Self {
            caller: address("caller"),
            admin: address("admin"),
            peer: address("peer"),
            child,
            log,
        }
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends the signal with this name, such as `STOP` or `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.unwrap().success(), "kill -s {name}");
    }

    /// Kills the process without a graceful stop, as when its VM fails.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the process to exit and returns its exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Lines logged after the daemon started to listen.
    pub(crate) fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A simulated store and upstreams; the test accepts the bundle and starts the daemons.
pub(crate) struct LiveDeployment {
    pub(crate) dir: WorkDir,
    pub(crate) store: StoreServer,
    pub(crate) fleet: FleetServer,
}

impl LiveDeployment {
    /// Starts store and upstreams, and writes settings and a bundle for `daemons` daemons that the
    /// signer `ann` may sign.
    pub(crate) fn new(daemons: u32) -> Self {
        let dir = WorkDir::new();
        let key = dir.keygen("ann");
        let signers = [("ann", key.as_str())];
        let yaml =
            bundle_yaml(&signers, 1, 2).replace("daemons: 1", &format!("daemons: {daemons}"));
        let body: BundleBody = parse_yaml("bundle.yaml", &yaml).unwrap();
        let spec = DeploymentSpec::from_body(&BundleBody { version: 1, ..body }).unwrap();
        let settings = FleetSettings {
            service: ServiceTime::constant(Duration::from_millis(1)),
            ..Default::default()
        };
        let fleet = FleetServer::start(&spec, settings).unwrap();
        let store = StoreServer::spawn(StoreSettings::default()).unwrap();
        let text = settings_yaml(&store.url(), &signers, 1).replace(
            "platform:\n",
            &format!(
                "peer_key: \"{}\"\nstop: {{ quiet_ms: 50 }}\nplatform:\n  vms_interval_ms: 20\n  \
                 vms: {}\n",
                "5a".repeat(32),
                fleet.vms().url()
            ),
        );
        dir.write("settings.yaml", &text);
        dir.write("bundle.yaml", &yaml);
        Self { dir, store, fleet }
    }

    /// Signs and accepts `bundle.yaml` as it is in the working directory.
    pub(crate) fn put_in_force(&self) {
        let signed = self.dir.sign("ann", "bundle.yaml", "bundle.signed");
        assert_eq!(signed.exit_code, 0, "{signed:?}");
        let accepted = self.dir.accept("bundle.signed");
        assert_eq!(accepted.exit_code, 0, "{accepted:?}");
    }

    /// Starts a daemon named `name`.
    pub(crate) fn start_daemon(&self, name: &str) -> DaemonProcess {
        DaemonProcess::start(&self.dir, "settings.yaml", &["--name", name])
    }

    /// Starts daemons that join through the first one's peer address, and waits until each knows
    /// all others.
    pub(crate) fn start_joined(&self, count: u32) -> Vec<DaemonProcess> {
        let mut daemons = vec![self.start_daemon("d0")];
        for number in 1..count {
            let name = format!("d{number}");
            daemons.push(self.start_joining(&daemons[0], &["--name", &name]));
        }
        self.wait_joined(&daemons);
        daemons
    }

    /// Starts a daemon that joins through the peer address of `seed`.
    pub(crate) fn start_joining(&self, seed: &DaemonProcess, flags: &[&str]) -> DaemonProcess {
        let seeds = format!("seeds: [\"{}\"]\n", seed.peer);
        let text = self.dir.read("settings.yaml");
        self.dir.write("joining.yaml", &(seeds + &text));
        DaemonProcess::start(&self.dir, "joining.yaml", flags)
    }

    /// Waits until each daemon considers all others alive.
    pub(crate) fn wait_joined(&self, daemons: &[DaemonProcess]) {
        for daemon in daemons {
            while self.alive_peers(daemon) + 1 < daemons.len() {
                thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Number of other daemons that `daemon` considers alive.
    pub(crate) fn alive_peers(&self, daemon: &DaemonProcess) -> usize {
        let status = self.status(daemon);
        let peers = status["peers"].as_array().cloned().unwrap_or_default();
        peers.iter().filter(|peer| peer["state"] == "alive").count()
    }

    /// Waits until a daemon has `version` in force.
    pub(crate) fn wait_version(&self, daemon: &DaemonProcess, version: u64) {
        while self.status(daemon)["bundle_version"] != version {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until a daemon is ready.
    pub(crate) fn wait_ready(&self, daemon: &DaemonProcess) {
        while self.status(daemon)["phase"] != "ready" {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Status of a daemon, as reported by `pollentally status`.
    pub(crate) fn status(&self, daemon: &DaemonProcess) -> serde_json::Value {
        let out = self
            .dir
            .run_ok(&["status", "--json", &daemon.admin.to_string()]);
        let report: serde_json::Value = serde_json::from_str(&out).unwrap();
        report["daemons"][0]["status"].clone()
    }

    /// Runs `pollentally query` and returns its result and the JSON answer, null if there is none.
    pub(crate) fn query(
        &self,
        daemon: &DaemonProcess,
        args: &[&str],
    ) -> (CommandResult, serde_json::Value) {
        let address = daemon.caller.to_string();
        let mut all = vec!["query", "--json", "--daemon", &address];
        all.extend(args);
        let result = self.dir.run(&all);
        let answer = serde_json::from_str(&result.stdout).unwrap_or_default();
        (result, answer)
    }
}

// Cargo puts all binaries of a workspace into the same directory.
fn binary() -> PathBuf {
    let own = PathBuf::from(env!("CARGO_BIN_EXE_pollentally"));
    let daemon = own.with_file_name("pollentallyd");
    assert!(
        daemon.exists(),
        "pollentallyd not found: run cargo build --workspace first"
    );
    daemon
}
