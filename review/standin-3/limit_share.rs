//! Case `limit-share`: two machines are added while their seeds are stale. Later a replica names a limit. The
//! rule LIMIT is checked from then on.

use std::{
    collections::BTreeMap,
    io::{BufReader, ErrorKind, Write},
    net::{SocketAddr, TcpStream},
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
    http_text::{read_body, read_head},
    replica_server::ReplicaServer,
    run_record::RunRecord,
    store_server::StoreServer,
};

/// Machines at the start, by the last byte of their addresses. The first three are the seeds, and are removed.
const FIRST_MACHINES: [u8; 5] = [1, 2, 3, 4, 5];
const REMOVED: usize = 3;
/// Machines that are added then.
const ADDED_MACHINES: [u8; 2] = [6, 7];
const ZONES: [&str; 2] = ["z1", "z2"];
/// Time for which a request runs at a replica.
const WORK_TIME: Duration = Duration::from_millis(20);
/// Callers of each machine, and the pause of each between two requests.
const CALLERS: usize = 4;
const CALLER_PAUSE: Duration = Duration::from_millis(50);
const DEADLINE_MS: u64 = 1_000;
/// `seedLagS` of the settings: time after which the settings name seeds that live.
const SEED_LAG: Duration = Duration::from_secs(3);
/// Time of calm between that and the limit.
const CALM_TIME: Duration = Duration::from_secs(15);
/// The limit that a replica names, in requests a second.
const LIMIT: u64 = 10;
/// Time for which it is named.
const LIMITED_TIME: Duration = Duration::from_secs(25);
/// `settleWindowMs` of the settings, from which the limit binds.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time from which an answer with the limit binds the machine that passed it on.
const PASSED_TIME: Duration = Duration::from_millis(500);
/// The window of the rule.
const WINDOW: Duration = Duration::from_secs(4);

/// What the callers saw of a machine.
#[derive(Default)]
struct MachineView {
    /// The answers by status.
    answers: BTreeMap<String, u64>,
    /// When it first passed on an answer that names the limit.
    passed_limit_at: Option<Instant>,
}

type Views = Arc<Mutex<BTreeMap<u8, MachineView>>>;

/// Runs the case; returns whether the limit was kept.
pub fn run(record: &RunRecord, trouble: bool) -> Result<bool, String> {
    let net = format!("127.{}.{}", 20 + id() % 200, 1 + id() / 200 % 200);
    let ip = |number: u8| format!("{net}.{number}");
    let ips = |numbers: &[u8]| numbers.iter().map(|number| ip(*number)).collect::<Vec<String>>();
    let zone = |number: u8| ZONES[usize::from(number) % 2];
    let store = StoreServer::start(&ip(100))?;
    let mut replicas = Vec::new();
    for number in 0..2 {
        let (name, ip) = (format!("i-a{number}"), ip(101 + number));
        replicas.push(ReplicaServer::start(&store, "receipt-desk", &name, zone(number), &ip, WORK_TIME)?);
    }
    store.put("op/config", CONFIG);
    let mut machines = BTreeMap::new();
    let first = ips(&FIRST_MACHINES);
    for number in FIRST_MACHINES {
        machines.insert(number, DaemonProcess::start(&ip(number), zone(number), &first, store.address)?);
    }
    // The machines find each other.
    thread::sleep(Duration::from_secs(3));
    for number in &FIRST_MACHINES[..REMOVED] {
        if let Some(mut machine) = machines.remove(number) {
            machine.stop()?;
        }
    }
    record.line(&format!("machines {:?} are removed", &FIRST_MACHINES[..REMOVED]));
    let stale = first.clone();
    let living = [&FIRST_MACHINES[REMOVED..], &ADDED_MACHINES[..1]].concat();
    let living = ips(&living);
    let seeds = if trouble { &stale } else { &living };
    for number in ADDED_MACHINES {
        let machine = DaemonProcess::start_added(&ip(number), zone(number), seeds, store.address)?;
        machines.insert(number, machine);
    }
    record.line(&format!("machines {ADDED_MACHINES:?} are added, seeds {:?}", &seeds[..3]));
    thread::sleep(SEED_LAG);
    for (number, machine) in &machines {
        machine.change_seeds(&ip(*number), zone(*number), &living, store.address)?;
    }
    record.line(&format!("the settings of all machines name the seeds {living:?}, and they get SIGHUP"));
    let (stop, views) = (Arc::new(AtomicBool::new(false)), Views::default());
    let mut threads = Vec::new();
    for (number, machine) in &machines {
        for caller in 0..CALLERS {
            let (number, address) = (*number, machine.caller_address);
            let (stop, views) = (stop.clone(), views.clone());
            threads.push(thread::spawn(move || send_requests(number, address, caller, &stop, &views)));
        }
    }
    thread::sleep(CALM_TIME);
    replicas[0].name_limit(LIMIT);
    let named_at = Instant::now();
    record.line(&format!("replica i-a0 names Server-Limit: {LIMIT} from now on"));
    thread::sleep(LIMITED_TIME);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for machine in machines.values_mut() {
        if !machine.runs() {
            return Err("a daemon has ended by itself".into());
        }
    }
    let mut counted_from = named_at + SETTLE_TIME;
    for (number, view) in views.lock().unwrap().iter() {
        let Some(passed_at) = view.passed_limit_at else {
            return Err(format!("machine {number} passed on no answer that names the limit"));
        };
        let after = passed_at.saturating_duration_since(named_at).as_secs_f64();
        let answers = &view.answers;
        record.line(&format!("machine {number}: answers {answers:?}, the first with the limit after {after:.3} s"));
        counted_from = counted_from.max(passed_at + PASSED_TIME);
    }
    let arrivals = replicas[0].limited_arrivals();
    for second in 0..LIMITED_TIME.as_secs() {
        let start = named_at + Duration::from_secs(second);
        let within = arrivals.iter().filter(|at| **at >= start && **at < start + Duration::from_secs(1));
        record.line(&format!("requests at i-a0 in second {second} of the limit: {}", within.count()));
    }
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= counted_from).collect();
    let in_window = |start: &Instant| counted.iter().filter(|at| *at >= start && **at < *start + WINDOW).count();
    let most = counted.iter().map(in_window).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT as f64 * WINDOW.as_secs_f64() + 5.0;
    record.line(&format!("at most {most} requests in {} s, allowed are {allowed}", WINDOW.as_secs()));
    Ok(most as f64 <= allowed)
}

const CONFIG: &str = r#"{"version":10,"routes":[{"name":"receipts","host":"a.example","prefix":"/receipt/","type":"safe","timeoutMs":1000,"targetLatencyMs":300,"priority":1,"maxAttempts":2,"service":"receipt-desk"}],"services":[{"name":"receipt-desk","healthPath":"/health","maxConns":110}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Sends requests to one machine until the run stops.
fn send_requests(machine: u8, address: SocketAddr, caller: usize, stop: &AtomicBool, views: &Views) {
    for count in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(CALLER_PAUSE);
        let target = format!("/receipt/{machine}-{caller}-{count}");
        let request = format!(
            "GET {target} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q{machine}x{caller}x{count}\r\nDeadline-Remaining: {DEADLINE_MS}\r\nConnection: close\r\n\r\n"
        );
        let result = call(address, &request);
        let mut views = views.lock().unwrap();
        let view = views.entry(machine).or_default();
        let status = match result {
            Ok((status, names_limit)) => {
                if names_limit && view.passed_limit_at.is_none() {
                    view.passed_limit_at = Some(Instant::now());
                }
                status
            }
            Err(error) => format!("{error:?}"),
        };
        *view.answers.entry(status).or_default() += 1;
    }
}

/// Sends a request; returns the status of the answer and whether it names a limit.
fn call(address: SocketAddr, request: &str) -> Result<(String, bool), ErrorKind> {
    let wait = Duration::from_millis(DEADLINE_MS);
    let call = || -> std::io::Result<(String, bool)> {
        let mut stream = TcpStream::connect_timeout(&address, wait)?;
        stream.set_read_timeout(Some(wait))?;
        stream.write_all(request.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        read_body(&head, &mut reader)?;
        Ok((head.second_word().to_string(), !head.header("server-limit").is_empty()))
    };
    call().map_err(|error| error.kind())
}
