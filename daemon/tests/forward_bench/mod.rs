//! Real daemons on loopback numbers over stand-ins of the platform.

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
    FakeStore, //
    RouteText,
};
use tempfile::TempDir;

/// Longest wait for something that is due within seconds.
const PATIENCE: Duration = Duration::from_secs(20);

static LAST_BENCH: AtomicU32 = AtomicU32::new(0);

/// Who takes what a daemon logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LogReader {
    /// A file.
    File,
    /// A pipe that is never read.
    Nobody,
}

/// A daemon's process, killed when this is dropped.
#[derive(Debug)]
pub(crate) struct DaemonStand {
    pub(crate) ip: [u8; 4],
    folder: TempDir,
    child: Child,
}

impl DaemonStand {
    fn start(boot: &str, ip: [u8; 4], log: LogReader) -> Self {
        let folder = TempDir::new().unwrap();
        let path = folder.path().join("boot.json");
        std::fs::write(&path, boot).unwrap();
        let stdout = match log {
            LogReader::File => {
                Stdio::from(std::fs::File::create(folder.path().join("log")).unwrap())
            }
            LogReader::Nobody => Stdio::piped(),
        };
        let child = Command::new(env!("CARGO_BIN_EXE_pollentallyd"))
            .arg("--platform")
            .arg(&path)
            .stdout(stdout)
            .spawn()
            .unwrap();
        Self { ip, folder, child }
    }

    /// Where callers connect.
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 7401))
    }

    /// What it has logged.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap()
    }

    /// Its metrics.
    pub(crate) fn metrics(&self) -> String {
        let address = SocketAddr::from((self.ip, 9464));
        let reply = call(address, "GET /metrics", "m", Duration::from_secs(2), b"");
        String::from_utf8(reply.body).unwrap()
    }

    /// Whether it says that it is ready.
    pub(crate) fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, 7402));
        let reply = call(address, "GET /api/ready", "x", Duration::from_secs(2), b"");
        reply.status == 200
    }

    /// Sends it a signal by its name.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.unwrap().success());
    }

    /// Waits for its end and gives its exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            sleep(Duration::from_millis(20));
        }
        panic!("still there");
    }
}

impl Drop for DaemonStand {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A store and the daemons over it, each on a loopback number of its own.
pub(crate) struct ForwardBench {
    pub(crate) store: FakeStore,
    /// Where daemons reach the store.
    pub(crate) store_address: SocketAddr,
    net: [u8; 2],
    last: u8,
}

impl ForwardBench {
    /// A store with a configuration.
    pub(crate) fn start(routes: &[RouteText]) -> Self {
        let bench = LAST_BENCH.fetch_add(1, Ordering::Relaxed);
        // Tests of several processes run at once: the process and the bench make the number.
        let [_, _, high, low] = (std::process::id() * 16 + bench).to_be_bytes();
        let store = FakeStore::start();
        let this = Self {
            store_address: store.address(),
            store,
            net: [high.max(1), low],
            last: 0,
        };
        this.configure(1, routes);
        this
    }

    /// Writes a configuration.
    pub(crate) fn configure(&self, version: u64, routes: &[RouteText]) {
        self.store.put("op/config", config_text(version, routes));
    }

    /// Starts a daemon, which need not be ready yet.
    pub(crate) fn spawn(&mut self, zone: &str) -> DaemonStand {
        self.last += 1;
        self.spawn_as(self.last, zone)
    }

    /// Starts the daemon with a number, for the first time or again.
    pub(crate) fn spawn_as(&self, number: u8, zone: &str) -> DaemonStand {
        self.spawn_logging(number, zone, LogReader::File)
    }

    /// The same with another reader of its log.
    pub(crate) fn spawn_logging(&self, number: u8, zone: &str, log: LogReader) -> DaemonStand {
        let [high, low] = self.net;
        let ip = [127, high, low, number];
        let seeds = [[127, high, low, 1], [127, high, low, 2]];
        let name = format!("d{number}");
        let boot = boot_text(&name, ip, zone, self.store_address, &seeds);
        DaemonStand::start(&boot, ip, log)
    }

    /// Starts a daemon and waits until it is ready.
    pub(crate) fn daemon(&mut self, zone: &str) -> DaemonStand {
        let daemon = self.spawn(zone);
        wait_for("ready", || daemon.is_ready());
        daemon
    }
}

/// Waits until `holds`.
pub(crate) fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "{what}");
        sleep(Duration::from_millis(20));
    }
}

/// A GET request of a caller that waits for two seconds.
pub(crate) fn get(daemon: &DaemonStand, path: &str, id: &str) -> CallerReply {
    let line = format!("GET {path}");
    call(daemon.callers(), &line, id, Duration::from_secs(2), b"")
}
