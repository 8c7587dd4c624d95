//! A grey replica runs orders, which may run once at most, and then fails some of them with 429. It doesn't say
//! that it has not run them.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    daemon::{free_subnet, Daemon, DaemonSettings},
    http::{call, request_bytes, response_bytes, Request},
    replica::{Caller, Replica},
    store::Store,
    Stage, Verdict,
};

const ZONES: [&str; 3] = ["z1", "z2", "z3"];
const REPLICAS: usize = 7;
/// Time for which the grey replica fails requests, and how many of them in a hundred.
const GREY_PERIOD: Duration = Duration::from_millis(6_500);
const GREY_PERCENT: u64 = 45;
const CALM: Duration = Duration::from_secs(2);
const CLIENTS: usize = 8;
const PATIENCE: Duration = Duration::from_secs(3);

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"r-rendeles","host":"a.example","prefix":"/rendeles/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":600,"priority":2,"service":"rendeles","maxAttempts":2}],
"services":[{"name":"rendeles","healthPath":"/health","maxConns":44,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Replicas that ran a request, by its id.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let subnet = free_subnet();
    let host = Daemon::address(subnet, 100);
    let store = Store::new();
    let store_address = store.serve();
    store.put("op/config", CONFIG);
    let runs = Runs::default();
    let grey = Arc::new(AtomicBool::new(false));
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let (runs, grey) = (Arc::clone(&runs), Arc::clone(&grey));
        let counter = AtomicU64::new(0);
        let handler = move |replica: &Replica, request: &Request, caller: &Caller| {
            let id = request.header("request-id");
            let stamp = replica.next_stamp(id);
            runs.lock()
                .unwrap()
                .entry(id.into())
                .or_default()
                .push(replica.name.clone());
            sleep(Duration::from_millis(20));
            let headers = format!("Server-Stamp: {stamp}\r\nRequest-Id: {id}\r\n");
            let fails = counter.fetch_add(1, Ordering::SeqCst) * 37 % 100 < GREY_PERCENT;
            let status = match number == 0 && fails && grey.load(Ordering::SeqCst) {
                true => "429 Too Many Requests",
                false => "200 OK",
            };
            caller.write(&response_bytes(status, &headers, b"order"))
        };
        let name = format!("i-rendeles-{number}");
        let zone = ZONES[number % 3];
        let replica = Replica::start("rendeles", &name, zone, host, Box::new(handler));
        replica.register(&store, "ready", 4);
        replicas.push(replica);
    }
    let daemon = Daemon::start(&DaemonSettings {
        number: 1,
        zone: "z1",
        store: store_address,
        folder: &stage.folder,
        subnet,
        seeds: [1, 2, 3],
        bootstrap: true,
    });
    if !daemon.wait_until_ready() {
        record.say("the daemon did not get ready");
        return Verdict::NotPlayed;
    }
    let done = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, done) = (daemon.front, Arc::clone(&done));
            thread::spawn(move || {
                let mut answers = Vec::new();
                let mut order = 0;
                while !done.load(Ordering::SeqCst) {
                    order += 1;
                    // A client repeats an order once, after a status that promises that it has not run.
                    for attempt in 1..3 {
                        let id = format!("o{client}x{order}a{attempt}");
                        let path = format!("POST /rendeles/{client}/{order}");
                        let bytes = request_bytes(&path, "a.example", &id, PATIENCE, b"washi");
                        let status = call(front, &bytes, PATIENCE).status;
                        answers.push((start.elapsed(), id, status));
                        if ![408, 421, 429, 503].contains(&status) {
                            break;
                        }
                        sleep(Duration::from_millis(50));
                    }
                }
                answers
            })
        })
        .collect();
    sleep(CALM);
    grey.store(stage.trouble != "0", Ordering::SeqCst);
    sleep(GREY_PERIOD);
    grey.store(false, Ordering::SeqCst);
    sleep(CALM);
    done.store(true, Ordering::SeqCst);
    let runs = runs.lock().unwrap();
    let (mut sent, mut refused, mut orders) = (0, 0, BTreeMap::<String, usize>::new());
    for client in clients {
        for (at, id, status) in client.join().unwrap_or_default() {
            sent += 1;
            let ran = runs.get(&id).cloned().unwrap_or_default();
            let (order, _) = id.split_once('a').unwrap_or((&id, ""));
            *orders.entry(order.into()).or_default() += ran.len();
            let broken = [408, 421, 429, 503].contains(&status) && !ran.is_empty();
            refused += usize::from(broken);
            let mark = if broken { " WRONG: it has run" } else { "" };
            record.line(&format!(
                "{id} at {:.3}: {status}, ran on {ran:?}{mark}",
                at.as_secs_f64()
            ));
        }
    }
    let doubled = orders.values().filter(|count| **count > 1).count();
    record.say(&format!(
        "{sent} requests; {refused} were answered as not run and had run; {doubled} orders ran twice in all"
    ));
    match (sent, refused) {
        (0, _) => Verdict::NotPlayed,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
