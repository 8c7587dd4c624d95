//! Runs daemon processes on loopback addresses against stand-ins for the services of the platform.

#![allow(clippy::unwrap_used, dead_code)]

use std::{
    net::SocketAddr,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    thread::sleep,
    time::{
        Duration,
        Instant, //
    },
};

use platform_standin::{
    boot_text,
    call,
    config_text,
    CallerReply,
    FakeStore,
    RouteText, //
};
use tempfile::TempDir;

/// Longest time to wait for a condition that normally holds within seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

static LAST_CLUSTER: AtomicU32 = AtomicU32::new(0);

/// Where the log of a daemon goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LogSink {
    /// To a file that [`DaemonProcess::log`] reads.
    File,
    /// To a pipe that is never read.
    UnreadPipe,
}

/// A daemon process. Dropping it kills the process.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    pub(crate) ip: [u8; 4],
    directory: TempDir,
    child: Child,
}

impl DaemonProcess {
    fn start(boot: &str, ip: [u8; 4], sink: LogSink) -> Self {
        let directory = TempDir::new().unwrap();
        let path = directory.path().join("boot.json");
        std::fs::write(&path, boot).unwrap();
        let stdout = match sink {
            LogSink::File => {
                Stdio::from(std::fs::File::create(directory.path().join("log")).unwrap())
            }
            LogSink::UnreadPipe => Stdio::piped(),
        };
        // Figures of an optimized build are measured with the tests' own kit.
        let binary = std::env::var("POLLENTALLYD_BINARY");
        let binary = binary.unwrap_or_else(|_| env!("CARGO_BIN_EXE_pollentallyd").into());
        let child = Command::new(binary)
            .arg("--platform")
            .arg(&path)
            .stdout(stdout)
            .spawn()
            .unwrap();
        Self {
            ip,
            directory,
            child,
        }
    }

    /// Replaces the settings file, as the platform does.
    pub(crate) fn write_settings(&self, text: &str) {
        std::fs::write(self.directory.path().join("boot.json"), text).unwrap();
    }

    /// The settings file with other seeds.
    pub(crate) fn settings_with_seeds(&self, seeds: &[[u8; 4]]) -> String {
        let text = std::fs::read(self.directory.path().join("boot.json")).unwrap();
        let mut boot: serde_json::Value = serde_json::from_slice(&text).unwrap();
        let seeds = seeds.iter().map(|ip| SocketAddr::from((*ip, 7404)));
        boot["seeds"] = seeds.map(|seed| seed.to_string()).collect();
        boot.to_string()
    }

    /// The id of the process.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The address of the caller port.
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 7401))
    }

    /// The log so far.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.directory.path().join("log")).unwrap()
    }

    /// The text of the metrics endpoint.
    pub(crate) fn metrics(&self) -> String {
        let address = SocketAddr::from((self.ip, 9464));
        let reply = call(address, "GET /metrics", "m", Duration::from_secs(2), b"");
        String::from_utf8(reply.body).unwrap()
    }

    /// The text of the status endpoint.
    pub(crate) fn status(&self) -> String {
        let address = SocketAddr::from((self.ip, 9464));
        let reply = call(address, "GET /status", "s", Duration::from_secs(2), b"");
        String::from_utf8(reply.body).unwrap()
    }

    /// Whether the readiness endpoint answers with status 200.
    pub(crate) fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, 7402));
        let reply = call(address, "GET /api/ready", "x", Duration::from_secs(2), b"");
        reply.status == 200
    }

    /// Largest memory that the process has had, in bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        peak_memory(self.child.id())
    }

    /// Number of descriptors that the process has open.
    pub(crate) fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).unwrap().count()
    }

    /// Sends the signal `name`, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.unwrap().success());
    }

    /// Waits until the process ends and returns its exit code; `None` if a signal ended it.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            sleep(Duration::from_millis(20));
        }
        panic!("the daemon has not exited");
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A store and the daemons that use it, each on its own loopback address.
pub(crate) struct ForwardCluster {
    pub(crate) store: FakeStore,
    /// Address at which daemons reach the store.
    pub(crate) store_address: SocketAddr,
    subnet: [u8; 2],
    last_number: u8,
    /// Bounds in the settings of daemons, in addition to the usual ones.
    pub(crate) extra_bounds: &'static str,
}

impl ForwardCluster {
    /// Starts a store that holds a configuration with `routes`.
    pub(crate) fn start(routes: &[RouteText]) -> Self {
        let index = LAST_CLUSTER.fetch_add(1, Ordering::Relaxed);
        // Several test processes may run at once, so the address contains the process id and the
        // index of the cluster in the process.
        let [_, _, high, low] = (std::process::id() * 16 + index).to_be_bytes();
        let store = FakeStore::start();
        let cluster = Self {
            store_address: store.address(),
            store,
            subnet: [high.max(1), low],
            last_number: 0,
            extra_bounds: "",
        };
        cluster.configure(1, routes);
        cluster
    }

    /// Writes a configuration with `routes` to the store.
    pub(crate) fn configure(&self, version: u64, routes: &[RouteText]) {
        self.store.put("op/config", config_text(version, routes));
    }

    /// Starts a daemon without waiting until it is ready.
    pub(crate) fn spawn(&mut self, zone: &str) -> DaemonProcess {
        self.last_number += 1;
        self.spawn_as(self.last_number, zone)
    }

    /// Starts the daemon `number`, which decides its address. A number may be used again after its
    /// daemon has ended.
    pub(crate) fn spawn_as(&self, number: u8, zone: &str) -> DaemonProcess {
        self.spawn_with_sink(number, zone, LogSink::File)
    }

    /// Like [`Self::spawn_as`], with the log sent to `sink`.
    pub(crate) fn spawn_with_sink(&self, number: u8, zone: &str, sink: LogSink) -> DaemonProcess {
        let [high, low] = self.subnet;
        let ip = [127, high, low, number];
        let seeds = [[127, high, low, 1], [127, high, low, 2]];
        let name = format!("d{number}");
        let boot = boot_text(&name, ip, zone, self.store_address, &seeds);
        let bounds = format!("\"bounds\":{{{}", self.extra_bounds);
        let boot = boot.replacen("\"bounds\":{", &bounds, 1);
        DaemonProcess::start(&boot, ip, sink)
    }

    /// Starts a daemon whose seeds are all addresses at which no daemon runs, and waits until it is ready.
    pub(crate) fn daemon_with_stale_seeds(&mut self, zone: &str) -> DaemonProcess {
        self.last_number += 1;
        let [high, low] = self.subnet;
        let ip = [127, high, low, self.last_number];
        let seeds = [251, 252, 253].map(|number| [127, high, low, number]);
        let name = format!("d{}", self.last_number);
        let boot = boot_text(&name, ip, zone, self.store_address, &seeds);
        let daemon = DaemonProcess::start(&boot, ip, LogSink::File);
        wait_for("the daemon is ready", || daemon.is_ready());
        daemon
    }

    /// Starts a daemon whose settings limit its memory to `memory_mb` and its open descriptors to
    /// `max_fds`, and waits until it is ready.
    pub(crate) fn limited_daemon(
        &mut self,
        zone: &str,
        memory_mb: usize,
        max_fds: usize,
    ) -> DaemonProcess {
        self.last_number += 1;
        let [high, low] = self.subnet;
        let ip = [127, high, low, self.last_number];
        let seeds = [[127, high, low, 1], [127, high, low, 2]];
        let name = format!("d{}", self.last_number);
        let boot = boot_text(&name, ip, zone, self.store_address, &seeds);
        let mut boot: serde_json::Value = serde_json::from_str(&boot).unwrap();
        boot["limits"]["memoryMb"] = memory_mb.into();
        boot["limits"]["maxFds"] = max_fds.into();
        let daemon = DaemonProcess::start(&boot.to_string(), ip, LogSink::File);
        wait_for("the daemon is ready", || daemon.is_ready());
        daemon
    }

    /// Starts a daemon and waits until it is ready.
    pub(crate) fn ready_daemon(&mut self, zone: &str) -> DaemonProcess {
        let daemon = self.spawn(zone);
        wait_for("the daemon is ready", || daemon.is_ready());
        daemon
    }
}

/// Waits until `condition` returns true; `what` describes it in the panic message.
pub(crate) fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        sleep(Duration::from_millis(20));
    }
}

/// Sends a GET request as a caller that waits two seconds for the reply.
pub(crate) fn get(daemon: &DaemonProcess, path: &str, id: &str) -> CallerReply {
    let line = format!("GET {path}");
    call(daemon.callers(), &line, id, Duration::from_secs(2), b"")
}

/// Largest memory that the process `pid` has had, in bytes.
pub(crate) fn peak_memory(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
    kilobytes.parse::<usize>().unwrap() * 1024
}
