//! Cases `crash-loop` and `crash-forms`: the replicas of a service crash while callers send them harmless
//! requests. Then all daemons are killed. The rule RECOVER is checked after their return.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    process::id,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon_process::DaemonProcess,
    http_text::{call_on, connect_from},
    replica_server::ReplicaServer,
    run_record::RunRecord,
    store_server::StoreServer,
};

const DAEMONS: usize = 2;
/// The service whose replicas crash.
const CRASHING_SERVICE: &str = "finder-0";
/// Replicas of each of the two services.
const REPLICAS: usize = 3;
/// Time for which a request runs at a replica of the service that never crashes.
const OTHER_WORK_TIME: Duration = Duration::from_millis(30);
/// Pause of callers of that service between two requests.
const OTHER_PAUSE: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 3_000;
/// Time after a crash until the next one or the final fault.
const UP_TIME: Duration = Duration::from_secs(5);
/// Time for which the daemons are down at the end.
const KILLED_TIME: Duration = Duration::from_millis(600);
/// `recoverS` of the settings.
const RECOVER_TIME: Duration = Duration::from_secs(12);
/// Time for which requests count after that.
const COUNTED_TIME: Duration = Duration::from_secs(8);

/// The course of a case.
#[derive(Clone, Copy)]
pub struct CrashPlan {
    /// Time of calm at the start.
    calm_time: Duration,
    /// Number of crashes, and the time for which the replicas are down.
    crashes: usize,
    down_time: Duration,
    /// Further services which the route asks beside the one that crashes; it is a query over shards if there are any.
    further_shards: usize,
    /// Time for which a request runs at a replica of these services.
    work_time: Duration,
    /// Callers of that route, side by side, and the pause of each between two requests.
    callers: usize,
    caller_pause: Duration,
    /// Addresses of these callers.
    hosts: usize,
    /// Whether they send the same request all the time, or one path with another query each time.
    sends_same: bool,
    /// Callers of the other service.
    other_callers: usize,
}

/// Many callers, each with an address of its own, send the same request. There are six crashes.
pub const SAME_REQUEST: CrashPlan = CrashPlan {
    calm_time: Duration::from_secs(14),
    crashes: 6,
    down_time: Duration::from_secs(5),
    further_shards: 0,
    work_time: Duration::from_millis(200),
    callers: 32,
    caller_pause: Duration::from_millis(200),
    hosts: 32,
    sends_same: true,
    other_callers: 5,
};

/// A host sends queries over ten shards to one path, each with another query string. One shard crashes once.
pub const MANY_FORMS: CrashPlan = CrashPlan {
    calm_time: Duration::from_secs(20),
    crashes: 1,
    down_time: Duration::from_millis(4_500),
    further_shards: 9,
    work_time: Duration::from_millis(50),
    callers: 16,
    caller_pause: Duration::from_millis(30),
    hosts: 1,
    sends_same: false,
    other_callers: 2,
};

/// What becomes of the requests: by phase and route the answers with their number.
type AnswerCounts = Arc<Mutex<BTreeMap<(&'static str, &'static str, String), u64>>>;

/// The phases of a run, by number.
const PHASES: [&str; 3] = ["before the final fault", "while it is recovered from", "after recoverS"];

/// Runs the case; returns whether at least a quarter of the requests was served after the recovery.
pub fn run(record: &RunRecord, trouble: bool, plan: CrashPlan) -> Result<bool, String> {
    let net = format!("127.{}.{}", 20 + id() % 200, 1 + id() / 200 % 200);
    let store = StoreServer::start(&format!("{net}.100"))?;
    let zones = ["z1", "z2"];
    let mut crashing = Vec::new();
    let mut others = Vec::new();
    let mut further = Vec::new();
    for number in 0..REPLICAS {
        let (zone, ip) = (zones[number % 2], format!("{net}.{}", 101 + number));
        let name = format!("i-a{number}");
        crashing.push(ReplicaServer::start(&store, CRASHING_SERVICE, &name, zone, &ip, plan.work_time)?);
        for shard in 1..=plan.further_shards {
            let (service, name) = (shard_name(shard), format!("i-s{shard}x{number}"));
            further.push(ReplicaServer::start(&store, &service, &name, zone, &ip, plan.work_time)?);
        }
        let name = format!("i-b{number}");
        others.push(ReplicaServer::start(&store, "donor-mailer", &name, zone, &ip, OTHER_WORK_TIME)?);
    }
    store.put("op/config", &config_text(10, plan));
    let fleet: Vec<String> = (1..=DAEMONS).map(|number| format!("{net}.{number}")).collect();
    let mut daemons = Vec::new();
    for (number, ip) in fleet.iter().enumerate() {
        daemons.push(DaemonProcess::start(ip, zones[number % 2], &fleet, store.address)?);
    }
    // The daemons find each other.
    thread::sleep(Duration::from_secs(3));
    record.line(&format!("{DAEMONS} daemons ready, trouble {trouble}"));
    let (stop, phase) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let counts = AnswerCounts::default();
    let mut addresses = Vec::new();
    for daemon in &daemons {
        match daemon.caller_address {
            SocketAddr::V4(address) => addresses.push(address),
            SocketAddr::V6(_) => return Err("not an IPv4 address".into()),
        }
    }
    let mut threads = Vec::new();
    for number in 0..plan.callers + plan.other_callers {
        let of_other = number >= plan.callers;
        let host = if of_other { number } else { number % plan.hosts };
        let caller = Caller {
            number,
            of_other,
            sends_same: plan.sends_same,
            pause: if of_other { OTHER_PAUSE } else { plan.caller_pause },
            source: format!("{net}.{}", 150 + host).parse().map_err(|_| "bad address")?,
            addresses: addresses.clone(),
            stop: stop.clone(),
            phase: phase.clone(),
            counts: counts.clone(),
        };
        threads.push(thread::spawn(move || caller.call()));
    }
    thread::sleep(plan.calm_time);
    for number in 1..=plan.crashes {
        if trouble {
            record.line(&format!("crash {number} of all replicas of {CRASHING_SERVICE}"));
            ReplicaServer::crash_all(&crashing);
        }
        thread::sleep(plan.down_time);
        if trouble {
            for replica in &crashing {
                replica.start_again()?;
            }
            record.line("they are back");
            record_notices(record, &store);
        }
        thread::sleep(UP_TIME);
        record_counts(record, &counts, 0);
    }
    store.put("op/config", &config_text(11, plan));
    record.line("a configuration is acknowledged, and all daemons are killed");
    phase.store(1, Ordering::SeqCst);
    for daemon in &mut daemons {
        daemon.end();
    }
    thread::sleep(KILLED_TIME);
    for daemon in &mut daemons {
        daemon.spawn_again()?;
    }
    let back_at = Instant::now();
    record.line("all daemons are started again");
    for daemon in &mut daemons {
        daemon.wait_until_ready()?;
    }
    record.line("all daemons are ready");
    record_notices(record, &store);
    thread::sleep(RECOVER_TIME.saturating_sub(back_at.elapsed()));
    phase.store(2, Ordering::SeqCst);
    thread::sleep(COUNTED_TIME);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for number in 0..PHASES.len() {
        record_counts(record, &counts, number);
    }
    let runs: u64 = crashing.iter().map(ReplicaServer::runs).sum();
    let other_runs: u64 = others.iter().map(ReplicaServer::runs).sum();
    let further_runs: u64 = further.iter().map(ReplicaServer::runs).sum();
    record.line(&format!(
        "requests run: {CRASHING_SERVICE} {runs}, further shards {further_runs}, donor-mailer {other_runs}"
    ));
    let before = served_share(&counts, 0);
    let after = served_share(&counts, 2);
    record.line(&format!("served: {before:.3} of the requests before the final fault, {after:.3} after recoverS"));
    if before < 0.25 {
        return Err("too few requests were served before the final fault".into());
    }
    Ok(after >= 0.25)
}

/// What the daemons keep in the store about requests under which replicas crashed.
fn record_notices(record: &RunRecord, store: &StoreServer) {
    for value in store.values("crashes/") {
        record.line(&format!("in the store: {value}"));
    }
}

fn shard_name(shard: usize) -> String {
    format!("finder-{shard}")
}

fn config_text(version: u64, plan: CrashPlan) -> String {
    let route = |name: &str, prefix: &str, target: &str| {
        format!(
            r#"{{"name":"{name}","host":"a.example","prefix":"{prefix}","type":"safe","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"maxAttempts":2,{target}}}"#
        )
    };
    let mut services: Vec<String> = (1..=plan.further_shards).map(shard_name).collect();
    services.insert(0, CRASHING_SERVICE.to_string());
    let names: Vec<String> = services.iter().map(|name| format!("\"{name}\"")).collect();
    let target = match plan.further_shards {
        0 => format!(r#""service":"{CRASHING_SERVICE}""#),
        _ => format!(r#""gather":[{}],"topN":20,"minShare":0.89"#, names.join(",")),
    };
    let routes = [
        route("searches", "/search/", &target),
        route("letters", "/letter/", r#""service":"donor-mailer""#),
    ];
    services.push("donor-mailer".to_string());
    let service = |name: &String| format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":110}}"#);
    let services: Vec<String> = services.iter().map(service).collect();
    let (routes, services) = (routes.join(","), services.join(","));
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// A caller that sends one request after the other, each to the next daemon.
struct Caller {
    number: usize,
    /// Whether it sends to the service that does not crash.
    of_other: bool,
    sends_same: bool,
    /// Time between two requests.
    pause: Duration,
    /// Its address.
    source: Ipv4Addr,
    addresses: Vec<SocketAddrV4>,
    stop: Arc<AtomicBool>,
    phase: Arc<AtomicU64>,
    counts: AnswerCounts,
}

impl Caller {
    fn call(&self) {
        let route = match self.of_other {
            false => "searches",
            true => "letters",
        };
        for count in 0.. {
            if self.stop.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(self.pause);
            let target = match (self.of_other, self.sends_same) {
                (true, _) => format!("/letter/{}-{count}", self.number),
                (false, true) => "/search/plank-4711".to_string(),
                (false, false) => format!("/search/planks?name={}-{count}", self.number),
            };
            let request = format!(
                "GET {target} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q{}x{count}\r\nDeadline-Remaining: {DEADLINE_MS}\r\nConnection: close\r\n\r\n",
                self.number
            );
            let address = self.addresses[(self.number + count) % self.addresses.len()];
            let phase = PHASES[self.phase.load(Ordering::SeqCst) as usize];
            let stream = connect_from(self.source, address).map_err(|error| error.kind());
            let answer = stream.and_then(|stream| call_on(stream, &request, DEADLINE_MS));
            let answer = answer.unwrap_or_else(|error| format!("{error:?}"));
            *self.counts.lock().unwrap().entry((phase, route, answer)).or_default() += 1;
        }
    }
}

fn record_counts(record: &RunRecord, counts: &AnswerCounts, phase: usize) {
    for ((known, route, answer), count) in counts.lock().unwrap().iter() {
        if *known == PHASES[phase] {
            record.line(&format!("{known}, {route}: {count} answers {answer}"));
        }
    }
}

/// Share of the requests of a phase that were answered 200.
fn served_share(counts: &AnswerCounts, phase: usize) -> f64 {
    let (mut served, mut all) = (0, 0);
    for ((known, _, answer), count) in counts.lock().unwrap().iter() {
        if *known == PHASES[phase] {
            all += count;
            served += if answer == "200" { *count } else { 0 };
        }
    }
    served as f64 / (all as f64).max(1.0)
}
