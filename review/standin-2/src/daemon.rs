//! Runs the project's daemon as separate processes with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::http::{call, request_bytes};

/// A daemon process. Dropping it kills the process.
pub struct Daemon {
    pub name: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// What differs between daemons.
pub struct DaemonSettings<'a> {
    /// Number from 1; the last byte of its address.
    pub number: u8,
    pub zone: &'a str,
    pub store: SocketAddr,
    /// Folder for its settings and its log.
    pub folder: &'a Path,
    /// First two free bytes of the loopback subnet of this run.
    pub subnet: [u8; 2],
    /// Last bytes of the addresses of the machines that are named as seeds.
    pub seeds: [u8; 3],
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
}

impl DaemonSettings<'_> {
    fn name(&self) -> String {
        format!("front-{}-{}", self.zone, self.number)
    }

    /// The settings file, with the bounds of the site `hajtas-kereso`.
    fn text(&self) -> String {
        let (name, zone, store) = (self.name(), self.zone, self.store);
        let ip = Daemon::address(self.subnet, self.number);
        let at = |port: u16| SocketAddr::from((ip, port));
        let seeds = self.seeds.iter();
        let seeds = seeds.map(|seed| format!("\"{}:7404\"", Daemon::address(self.subnet, *seed)));
        let seeds: Vec<String> = seeds.collect();
        format!(
            r#"{{"node":"{name}","role":"query","machineClass":"front","serves":["front","control"],
"ip":"{ip}","zone":"{zone}","region":"r1","zones":{{"z1":"r1","z2":"r2","z3":"r3"}},
"listen":{{"front":"{}","ready":"{}","control":"{}"}},"internalPortRange":[7410,7425],
"seeds":[{}],"bootstrap":{},"lossCounts":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","beatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],
"tolerate":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"settleWindowMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":3000,
"graceS":6,"lossSlackMs":200,"configApplyMs":3000,"downgradeMs":250,"skewMaxMs":12000,
"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":56,"recoverS":12}},
"platform":{{"address":"{store}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,
"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
            at(7401),
            at(7402),
            at(7404),
            seeds.join(","),
            self.bootstrap,
        )
    }

    /// Writes the settings file and returns its path.
    pub fn write(&self) -> PathBuf {
        let path = self.folder.join(format!("boot-{}.json", self.number));
        fs::write(&path, self.text()).unwrap();
        path
    }
}

/// A loopback subnet that no other run uses at the moment.
pub fn free_subnet() -> [u8; 2] {
    let start = std::process::id();
    for step in 0..1_000u32 {
        let number = start.wrapping_add(step * 7);
        let [_, _, high, low] = number.to_be_bytes();
        let subnet = [high % 100 + 100, low];
        let free = |last: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, subnet[0], subnet[1], last), port)).is_ok()
        };
        if (1..9).all(|last| free(last, 7401) && free(last, 7410) && free(last, 9464)) {
            return subnet;
        }
    }
    [77, 77]
}

impl Daemon {
    /// The address of the daemon `number`.
    pub fn address(subnet: [u8; 2], number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, subnet[0], subnet[1], number)
    }

    /// Starts the daemon with the settings of a small deployment.
    pub fn start(settings: &DaemonSettings<'_>) -> Self {
        let ip = Self::address(settings.subnet, settings.number);
        let at = |port: u16| SocketAddr::from((ip, port));
        let path = settings.write();
        let log = settings
            .folder
            .join(format!("daemon-{}.log", settings.number));
        let output = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .unwrap();
        let program = std::env::var("POLLENTALLYD").unwrap_or("target/release/pollentallyd".into());
        let child = Command::new(program)
            .arg("--platform")
            .arg(&path)
            .env_clear()
            .env("POLLENTALLY_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap();
        Self {
            name: settings.name(),
            ip,
            front: at(7401),
            ready: at(7402),
            child,
        }
    }

    /// Process id.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let request = request_bytes(
            "GET /api/ready",
            "ready",
            "ready",
            Duration::from_secs(1),
            b"",
        );
        call(self.ready, &request, Duration::from_secs(1)).status == 200
    }

    pub fn wait_until_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(15) {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    /// Tells the process that its settings file has changed.
    pub fn signal_change(&self) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-HUP", &pid]).status();
    }

    /// The status page of the daemon.
    pub fn page(&self, path: &str) -> String {
        let to = SocketAddr::from((self.ip, 9464));
        let request = request_bytes(
            &format!("GET {path}"),
            "admin",
            "admin",
            Duration::from_secs(1),
            b"",
        );
        String::from_utf8_lossy(&call(to, &request, Duration::from_secs(1)).body).into_owned()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
