//! Case `deadly-query`: one request of a host crashes the replicas that run it, and comes again and again. The
//! host also sends harmless requests to the same path, each with another query. The rule BUDGET is checked.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    process::id,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon_process::DaemonProcess,
    http_text::{call_on, connect_from},
    replica_server::{ReplicaServer, DEADLY_TEXT},
    run_record::RunRecord,
    store_server::StoreServer,
};

const DAEMONS: usize = 2;
const REPLICAS: usize = 10;
const ZONES: [&str; 2] = ["z1", "z2"];
/// Time for which a harmless request runs at a replica.
const WORK_TIME: Duration = Duration::from_millis(20);
/// Connections of the host with harmless requests, and the pause of each between two.
const CALLERS: usize = 8;
const CALLER_PAUSE: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 2_000;
/// Time of harmless requests alone, and pause between two retries of the deadly one.
const CALM_TIME: Duration = Duration::from_secs(10);
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Time for which the deadly request comes.
const DEADLY_TIME: Duration = Duration::from_secs(20);
/// `settleWindowMs` of the settings.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Retries that may reach replicas later than that after the third crash.
const LATE_RETRIES_MAX: usize = 3;

/// The answers by what was asked and their status.
type AnswerCounts = Arc<Mutex<BTreeMap<(&'static str, String), u64>>>;

/// Runs the case; returns whether few enough late retries reached replicas.
pub fn run(record: &RunRecord, trouble: bool) -> Result<bool, String> {
    let net = format!("127.{}.{}", 20 + id() % 200, 1 + id() / 200 % 200);
    let store = StoreServer::start(&format!("{net}.100"))?;
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let (name, zone) = (format!("i-a{number}"), ZONES[number % 2]);
        let ip = format!("{net}.{}", 101 + number);
        replicas.push(ReplicaServer::start(&store, "receipt-desk", &name, zone, &ip, WORK_TIME)?);
    }
    store.put("op/config", CONFIG);
    let fleet: Vec<String> = (1..=DAEMONS).map(|number| format!("{net}.{number}")).collect();
    let mut daemons = Vec::new();
    for (number, ip) in fleet.iter().enumerate() {
        daemons.push(DaemonProcess::start(ip, ZONES[number % 2], &fleet, store.address)?);
    }
    // The daemons find each other.
    thread::sleep(Duration::from_secs(3));
    record.line(&format!("{DAEMONS} daemons ready, trouble {trouble}"));
    let mut addresses = Vec::new();
    for daemon in &daemons {
        match daemon.caller_address {
            SocketAddr::V4(address) => addresses.push(address),
            SocketAddr::V6(_) => return Err("not an IPv4 address".into()),
        }
    }
    let source: Ipv4Addr = format!("{net}.150").parse().map_err(|_| "bad address")?;
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), AnswerCounts::default());
    let mut threads = Vec::new();
    for caller in 0..CALLERS {
        let (addresses, stop, counts) = (addresses.clone(), stop.clone(), counts.clone());
        threads.push(thread::spawn(move || {
            for count in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                thread::sleep(CALLER_PAUSE);
                let address = addresses[(caller + count) % addresses.len()];
                let (query, id) = (format!("{caller}-{count}"), format!("q{caller}x{count}"));
                let answer = send(source, address, &query, &id);
                *counts.lock().unwrap().entry(("harmless", answer)).or_default() += 1;
            }
        }));
    }
    thread::sleep(CALM_TIME);
    let start = Instant::now();
    for retry in 0.. {
        if start.elapsed() >= DEADLY_TIME {
            break;
        }
        if trouble {
            let id = format!("d{retry}");
            let answer = send(source, addresses[retry % addresses.len()], DEADLY_TEXT, &id);
            record.line(&format!("deadly request {id}: {answer}"));
            *counts.lock().unwrap().entry(("deadly", answer)).or_default() += 1;
        }
        thread::sleep(RETRY_PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for daemon in &mut daemons {
        if !daemon.runs() {
            return Err("a daemon has ended by itself".into());
        }
    }
    let mut runs: Vec<(Instant, String)> = replicas.iter().flat_map(ReplicaServer::deadly_runs).collect();
    runs.sort();
    for (at, id) in &runs {
        let after = at.saturating_duration_since(start).as_secs_f64();
        record.line(&format!("request {id} crashed a replica {after:.3} s after the first was sent"));
    }
    for ((asked, answer), count) in counts.lock().unwrap().iter() {
        record.line(&format!("{asked} requests: {count} answers {answer}"));
    }
    let third = runs.get(2).map(|(at, _)| *at);
    let is_late = |at: Instant| third.is_some_and(|third| at > third + SETTLE_TIME);
    let late: BTreeSet<&str> = runs.iter().filter(|(at, _)| is_late(*at)).map(|(_, id)| id.as_str()).collect();
    record.line(&format!(
        "{} crashes; {} retries reached replicas later than {} s after the third, allowed are {LATE_RETRIES_MAX}",
        runs.len(),
        late.len(),
        SETTLE_TIME.as_secs()
    ));
    Ok(late.len() <= LATE_RETRIES_MAX)
}

const CONFIG: &str = r#"{"version":10,"routes":[{"name":"receipts","host":"a.example","prefix":"/receipt/","type":"safe","timeoutMs":2000,"targetLatencyMs":300,"priority":1,"maxAttempts":2,"service":"receipt-desk"}],"services":[{"name":"receipt-desk","healthPath":"/health","maxConns":110}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Sends a request of the host; returns the status of the answer, or why there is none.
fn send(source: Ipv4Addr, address: SocketAddrV4, query: &str, id: &str) -> String {
    let request = format!(
        "GET /receipt/search?plank={query} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Remaining: {DEADLINE_MS}\r\nConnection: close\r\n\r\n"
    );
    let stream = connect_from(source, address).map_err(|error| error.kind());
    let answer = stream.and_then(|stream| call_on(stream, &request, DEADLINE_MS));
    answer.unwrap_or_else(|error| format!("{error:?}"))
}
