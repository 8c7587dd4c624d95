//! Case `body-crowd`: many callers send bodies of legal size that stop just short of their end. The
//! platform ends a process whose memory, with the bytes that it has received and not yet read, exceeds the
//! `memoryMb` of its settings, and starts it again.

use std::{
    collections::BTreeMap,
    fs,
    io::{ErrorKind, Read, Write},
    net::{IpAddr, SocketAddr, TcpStream},
    process::id,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon_process::{DaemonProcess, MEMORY_MB},
    http_text::call_once,
    replica_server::ReplicaServer,
    run_record::RunRecord,
    store_server::StoreServer,
};

/// Machines with a daemon. A tenth of the machines, two at least, have to lose their processes.
const MACHINES: usize = 2;
/// How often the process of each has to end.
const ENDS_MAX: u32 = 3;
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Memory of each machine.
const LIMIT_BYTES: u64 = MEMORY_MB * 1024 * 1024;
/// Connections of the crowd at each machine, and the threads that serve them.
const CROWD: usize = 2_500;
const CROWD_THREADS: usize = 25;
/// Largest body that the configuration allows, and the bytes that are held back.
const BODY_BYTES: usize = 262_144;
const HELD_BACK_BYTES: usize = 10;
/// Length of the case.
const CASE_TIME: Duration = Duration::from_secs(60);
/// Time after which a caller of the crowd gives up.
const CROWD_PATIENCE: Duration = Duration::from_secs(8);
/// Time for which a request runs at a replica.
const WORK_TIME: Duration = Duration::from_millis(20);
/// Deadline of ordinary callers.
const ORDINARY_DEADLINE_MS: u64 = 1_500;

type AnswerCounts = Arc<Mutex<BTreeMap<String, u64>>>;

/// Runs the case; returns whether fewer than two machines have lost their process three times.
pub fn run(record: &RunRecord, trouble: bool) -> Result<bool, String> {
    let net = format!("127.{}.{}", 20 + id() % 200, 1 + id() / 200 % 200);
    let store = StoreServer::start(&format!("{net}.100"))?;
    let mut replicas = Vec::new();
    for name in ["i-a1", "i-a2", "i-a3"] {
        replicas.push(ReplicaServer::start(&store, "orders", name, "z1", &format!("{net}.101"), WORK_TIME)?);
    }
    store.put("op/config", &config_text());
    let fleet: Vec<String> = (1..=MACHINES).map(|number| format!("{net}.{number}")).collect();
    let mut machines = Vec::new();
    for number in 1..=MACHINES {
        let ip = format!("{net}.{number}");
        let daemon = DaemonProcess::start(&ip, "z1", &fleet, store.address)?;
        machines.push(Machine {
            address: daemon.caller_address,
            ip,
            daemon,
            ends: 0,
            peak: (0, 0, 0),
        });
    }
    record.line(&format!("{MACHINES} daemons ready, memoryMb {MEMORY_MB} each, trouble {trouble}"));
    let stop = Arc::new(AtomicBool::new(false));
    let (ordinary, crowd) = (AnswerCounts::default(), AnswerCounts::default());
    let mut threads = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        let address = machine.address;
        {
            let (stop, ordinary, record) = (stop.clone(), ordinary.clone(), record.clone());
            threads.push(thread::spawn(move || {
                call_normally(address, number, &stop, &ordinary, &record);
            }));
        }
        for part in 0..CROWD_THREADS {
            if !trouble {
                break;
            }
            let (stop, crowd) = (stop.clone(), crowd.clone());
            let part = number * CROWD_THREADS + part;
            threads.push(thread::spawn(move || hold_bodies(address, part, &stop, &crowd)));
        }
    }
    let end = Instant::now() + CASE_TIME;
    let mut next_line = Instant::now();
    while Instant::now() < end && machines.iter().any(|machine| machine.ends < ENDS_MAX) {
        thread::sleep(Duration::from_millis(20));
        let writes_line = Instant::now() >= next_line;
        if writes_line {
            next_line = Instant::now() + Duration::from_millis(500);
        }
        for machine in machines.iter_mut().filter(|machine| machine.ends < ENDS_MAX) {
            machine.check(record, writes_line)?;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for machine in &machines {
        let (resident, unread, connections) = machine.peak;
        record.line(&format!(
            "machine {}: process ended {} times; peak: resident {resident} + unread {unread} = {} bytes on {connections} connections; limit {LIMIT_BYTES}",
            machine.ip, machine.ends, resident + unread,
        ));
    }
    let broken = machines.iter().filter(|machine| machine.ends >= ENDS_MAX).count() >= MACHINES;
    drop(machines);
    for thread in threads {
        let _ = thread.join();
    }
    let runs: u64 = replicas.iter().map(ReplicaServer::runs).sum();
    record.line(&format!("answers to ordinary callers: {:?}", ordinary.lock().unwrap()));
    record.line(&format!("answers to the crowd: {:?}", crowd.lock().unwrap()));
    record.line(&format!("requests run by the replicas: {runs}"));
    if !trouble && !ordinary.lock().unwrap().contains_key("200") {
        return Err("no ordinary caller was served".into());
    }
    Ok(!broken)
}

/// A machine with its daemon.
struct Machine {
    ip: String,
    address: SocketAddr,
    daemon: DaemonProcess,
    /// How often its process has ended.
    ends: u32,
    /// Resident bytes, unread bytes and connections when the sum of the first two was greatest.
    peak: (u64, u64, usize),
}

impl Machine {
    /// Measures the memory, and does what the platform does with a process that has ended or exceeds its limit.
    fn check(&mut self, record: &RunRecord, writes_line: bool) -> Result<(), String> {
        let ip = &self.ip;
        if self.daemon.runs() {
            let resident = resident_bytes(self.daemon.child.id()).unwrap_or(0);
            let (unread, connections) = unread_bytes(self.address)?;
            if resident + unread > self.peak.0 + self.peak.1 {
                self.peak = (resident, unread, connections);
            }
            if writes_line {
                record.line(&format!(
                    "machine {ip}: resident {resident} bytes, received and unread {unread} bytes on {connections} connections"
                ));
            }
            if resident + unread <= LIMIT_BYTES {
                return Ok(());
            }
            record.line(&format!(
                "machine {ip}: over the limit of {LIMIT_BYTES} bytes: resident {resident} + unread {unread} on {connections} connections; the platform kills the process"
            ));
        } else {
            record.line(&format!("machine {ip}: the process has ended by itself"));
        }
        self.ends += 1;
        self.daemon.end();
        if self.ends < ENDS_MAX {
            thread::sleep(RESTART_DELAY);
            self.daemon.restart()?;
            record.line(&format!("machine {ip}: process started again"));
        }
        Ok(())
    }
}

fn config_text() -> String {
    format!(
        r#"{{"version":10,"routes":[{{"name":"r1","host":"a.example","prefix":"/u/","type":"safe","timeoutMs":10000,"targetLatencyMs":300,"priority":1,"maxAttempts":2,"service":"orders"}}],"services":[{{"name":"orders","healthPath":"/health","maxConns":110}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{BODY_BYTES},"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Sends a small request on a new connection ten times a second.
fn call_normally(
    address: SocketAddr,
    machine: usize,
    stop: &AtomicBool,
    counts: &AnswerCounts,
    record: &RunRecord,
) {
    let mut number = machine * 1_000_000;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(100));
        number += 1;
        let request = format!(
            "GET /u/{number} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: n{number:07}\r\nDeadline-Remaining: {ORDINARY_DEADLINE_MS}\r\nConnection: close\r\n\r\n"
        );
        let answer = call_once(address, &request, ORDINARY_DEADLINE_MS).unwrap_or_else(|error| format!("{error:?}"));
        if answer != "200" {
            record.line(&format!("ordinary request n{number:07}: {answer}"));
        }
        *counts.lock().unwrap().entry(answer).or_default() += 1;
    }
}

/// A connection of the crowd, and how much of its request has been sent.
struct HeldRequest {
    stream: TcpStream,
    head: Vec<u8>,
    sent: usize,
    since: Instant,
}

/// Keeps a part of the crowd's connections open with bodies that stop short of their end.
fn hold_bodies(address: SocketAddr, part: usize, stop: &AtomicBool, counts: &AnswerCounts) {
    let body = vec![b'x'; BODY_BYTES - HELD_BACK_BYTES];
    let mut held: Vec<HeldRequest> = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        for _ in 0..20 {
            if held.len() >= CROWD / CROWD_THREADS {
                break;
            }
            number += 1;
            let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
                *counts.lock().unwrap().entry("not connected".into()).or_default() += 1;
                break;
            };
            let _ = stream.set_nonblocking(true);
            let head = format!(
                "POST /u/c HTTP/1.1\r\nHost: a.example\r\nRequest-Id: c{part:02}{number:08}\r\nDeadline-Remaining: 8000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            );
            held.push(HeldRequest {
                stream,
                head: head.into_bytes(),
                sent: 0,
                since: Instant::now(),
            });
        }
        held.retain_mut(|request| match advance(request, &body) {
            None => true,
            Some(answer) => {
                *counts.lock().unwrap().entry(answer).or_default() += 1;
                false
            }
        });
        thread::sleep(Duration::from_millis(10));
    }
}

/// Sends what can be sent; returns how the request has ended, if it has.
fn advance(request: &mut HeldRequest, body: &[u8]) -> Option<String> {
    loop {
        let rest = match request.sent < request.head.len() {
            true => &request.head[request.sent..],
            false => &body[request.sent - request.head.len()..],
        };
        if rest.is_empty() {
            break;
        }
        match request.stream.write(rest) {
            Ok(count) => request.sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(_) => break,
        }
    }
    let mut start = [0; 12];
    match request.stream.read(&mut start) {
        Ok(12) => Some(String::from_utf8_lossy(&start[9..]).into_owned()),
        Ok(_) => Some("closed".into()),
        Err(error) if error.kind() != ErrorKind::WouldBlock => Some("reset".into()),
        Err(_) if request.since.elapsed() > CROWD_PATIENCE => Some("given up".into()),
        Err(_) => None,
    }
}

/// Resident memory of a process.
fn resident_bytes(process: u32) -> Result<u64, String> {
    let status = fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.map_err(|error| error.to_string())?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").trim().parse::<u64>().ok());
    kilobytes.map(|count| count * 1024).ok_or("no resident memory".into())
}

/// Bytes that have been received for the caller port and not been read, and the connections: open ones and
/// those that wait to be accepted, not those that the process has closed.
fn unread_bytes(address: SocketAddr) -> Result<(u64, usize), String> {
    let IpAddr::V4(ip) = address.ip() else {
        return Err("not an IPv4 address".into());
    };
    let ip = u32::from_le_bytes(ip.octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").map_err(|error| error.to_string())?;
    let (mut unread, mut connections) = (0, 0);
    for line in table.lines() {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_open = fields.len() > 4 && fields[1] == local && matches!(fields[3], "01" | "08");
        if !is_open {
            continue;
        }
        let queue = fields[4].split(':').nth(1).unwrap_or("0");
        unread += u64::from_str_radix(queue, 16).unwrap_or(0);
        connections += 1;
    }
    Ok((unread, connections))
}
