//! A daemon as the platform starts it, with the settings of a small deployment.

use std::{
    env, fs,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Memory of a machine of the small deployments, in megabytes, and its descriptors.
pub const MEMORY_MB: u64 = 260;
pub const MAX_FDS: u32 = 4_100;

/// Signals: the settings file has changed, and the process is to end.
const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// A running daemon, which is killed when it is dropped.
pub struct DaemonProcess {
    pub child: Child,
    pub caller_address: SocketAddr,
    ready_address: String,
    directory: PathBuf,
}

impl DaemonProcess {
    /// Starts the program of the deploy file on `ip` in the zone `zone`, with the first three of `fleet` as its
    /// seeds, and waits until it is ready.
    pub fn start(ip: &str, zone: &str, fleet: &[String], store: SocketAddr) -> Result<Self, String> {
        Self::start_as(true, ip, zone, fleet, store)
    }

    /// Starts the program on a machine that is added to a running system, in the same way.
    pub fn start_added(ip: &str, zone: &str, fleet: &[String], store: SocketAddr) -> Result<Self, String> {
        Self::start_as(false, ip, zone, fleet, store)
    }

    fn start_as(
        bootstrap: bool,
        ip: &str,
        zone: &str,
        fleet: &[String],
        store: SocketAddr,
    ) -> Result<Self, String> {
        let directory = env::temp_dir().join(format!("review-3-{}-{ip}", std::process::id()));
        fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let file = directory.join("boot.json");
        fs::write(&file, settings_text(bootstrap, ip, zone, fleet, store)).map_err(|error| error.to_string())?;
        let caller_address = format!("{ip}:8226").parse().map_err(|_| "bad address")?;
        let mut daemon = Self {
            child: spawn(&file)?,
            caller_address,
            ready_address: format!("{ip}:8227"),
            directory,
        };
        daemon.wait_until_ready()?;
        Ok(daemon)
    }

    /// Replaces the settings file by one with other seeds, and tells the process by SIGHUP.
    pub fn change_seeds(&self, ip: &str, zone: &str, fleet: &[String], store: SocketAddr) -> Result<(), String> {
        let file = self.directory.join("boot.json");
        fs::write(file, settings_text(false, ip, zone, fleet, store)).map_err(|error| error.to_string())?;
        self.signal(SIGHUP)
    }

    /// Ends the process by SIGTERM.
    pub fn stop(&mut self) -> Result<(), String> {
        self.signal(SIGTERM)?;
        self.child.wait().map_err(|error| error.to_string())?;
        Ok(())
    }

    fn signal(&self, number: i32) -> Result<(), String> {
        let process = i32::try_from(self.child.id()).map_err(|error| error.to_string())?;
        // SAFETY: the call takes two numbers; the process is a child that has not been waited for.
        match unsafe { kill(process, number) } {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error().to_string()),
        }
    }

    /// Starts the program again after its end, and waits until it is ready.
    pub fn restart(&mut self) -> Result<(), String> {
        self.spawn_again()?;
        self.wait_until_ready()
    }

    /// Starts the program again after its end.
    pub fn spawn_again(&mut self) -> Result<(), String> {
        self.child = spawn(&self.directory.join("boot.json"))?;
        Ok(())
    }

    /// Kills the process, if it still runs.
    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the daemon answers that it is ready.
    pub fn wait_until_ready(&mut self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if is_ready(&self.ready_address) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the daemon is not ready after 10 s".into())
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.end();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// The settings of a machine of the small deployments, with the first three of `fleet` as its seeds.
fn settings_text(bootstrap: bool, ip: &str, zone: &str, fleet: &[String], store: SocketAddr) -> String {
    let name = format!("front-{}", ip.rsplit('.').next().unwrap_or("1"));
    let seeds = fleet.iter().take(3).map(|ip| format!("\"{ip}:8224\""));
    let seeds = seeds.collect::<Vec<String>>().join(",");
    format!(
        r#"{{"node":"{name}","role":"query","machineClass":"front","serves":["front","control"],
"ip":"{ip}","zone":"{zone}","region":"r1","zones":{{"z1":"r1","z2":"r1"}},
"listen":{{"front":"{ip}:8226","ready":"{ip}:8227","control":"{ip}:8224"}},
"internalPortRange":[7740,7755],"seeds":[{seeds}],"bootstrap":{bootstrap},"lossCounts":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":{MEMORY_MB},"maxFds":{MAX_FDS},"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","beatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],
"tolerate":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"settleWindowMs":5000,"ackMs":6000,"catchUpS":4,"drainMs":3000,
"graceS":6,"lossSlackMs":200,"configApplyMs":3000,"downgradeMs":250,"skewMaxMs":15000,
"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":56,"recoverS":12}},
"platform":{{"address":"{store}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#
    )
}

fn spawn(file: &Path) -> Result<Child, String> {
    Command::new("target/release/pollentallyd")
        .arg("--platform")
        .arg(file)
        .env("POLLENTALLY_SETTINGS", file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| format!("the daemon does not start: {error}"))
}

fn is_ready(address: &str) -> bool {
    use std::io::{Read, Write};
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let mut answer = [0; 12];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && &answer == b"HTTP/1.1 200"
}
