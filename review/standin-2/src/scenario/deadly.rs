//! A client sends a request again and again that crashes each replica which begins to run it. A crashed
//! replica closes its connections, and its address gives no answer until it is back.

use std::{
    collections::BTreeSet,
    sync::{
        atomic::{AtomicBool, Ordering},
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

const ZONES: [&str; 2] = ["z1", "z2"];
const REPLICAS: usize = 5;
/// Time after which a crashed replica is back, and the interval at which it writes to the store.
const DOWN: Duration = Duration::from_millis(4_000);
const BEAT: Duration = Duration::from_millis(1_200);
/// A registration lapses after three silent intervals.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Time for which the deadly request comes, and the pause between two of them.
const DEADLY_PERIOD: Duration = Duration::from_secs(20);
const DEADLY_PAUSE: Duration = Duration::from_secs(1);
const DEADLY_PATH: &str = "/rendeles/deadly";
/// `settleWindowMs` of the settings.
const SETTLE: Duration = Duration::from_secs(4);
const CLIENTS: usize = 3;
const PATIENCE: Duration = Duration::from_secs(3);

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"r-rendeles","host":"a.example","prefix":"/rendeles/","type":"safe","timeoutMs":3000,"targetLatencyMs":600,"priority":2,"service":"rendeles","maxAttempts":2}],
"services":[{"name":"rendeles","healthPath":"/health","maxConns":44,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Time, request id and replica of each crash.
type Crashes = Arc<Mutex<Vec<(Duration, String, String)>>>;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let subnet = free_subnet();
    let host = Daemon::address(subnet, 100);
    let store = Store::new();
    let store_address = store.serve();
    store.put("op/config", CONFIG);
    let start = Instant::now();
    let crashes = Crashes::default();
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let crashes = Arc::clone(&crashes);
        let handler = move |replica: &Replica, request: &Request, caller: &Caller| {
            let id = request.header("request-id");
            let stamp = replica.next_stamp(id);
            if request.path() == DEADLY_PATH {
                crashes
                    .lock()
                    .unwrap()
                    .push((start.elapsed(), id.into(), replica.name.clone()));
                sleep(Duration::from_millis(2));
                replica.set_down(true);
                return false;
            }
            sleep(Duration::from_millis(20));
            let headers = format!("Server-Stamp: {stamp}\r\nRequest-Id: {id}\r\n");
            caller.write(&response_bytes("200 OK", &headers, b"order"))
        };
        let name = format!("i-rendeles-{number}");
        let replica = Replica::start(
            "rendeles",
            &name,
            ZONES[number % 2],
            host,
            Box::new(handler),
        );
        // `TROUBLE=refused`: a crashed replica refuses connections until it is back.
        replica
            .dark
            .store(stage.trouble != "refused", Ordering::SeqCst);
        replica.register(&store, "ready", 4);
        replicas.push(replica);
    }
    for replica in &replicas {
        let (replica, store) = (Arc::clone(replica), store.clone());
        thread::spawn(move || keep_registered(&replica, &store));
    }
    let daemons: Vec<Daemon> = (0..2u8)
        .map(|index| {
            Daemon::start(&DaemonSettings {
                number: index + 1,
                zone: ZONES[usize::from(index)],
                store: store_address,
                folder: &stage.folder,
                subnet,
                seeds: [1, 2, 3],
                bootstrap: true,
            })
        })
        .collect();
    if !daemons.iter().all(Daemon::wait_until_ready) {
        record.say("a daemon did not get ready");
        return Verdict::NotPlayed;
    }
    sleep(Duration::from_secs(2));
    let done = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, daemon) in daemons.iter().enumerate() {
        for client in 0..CLIENTS {
            let (front, done) = (daemon.front, Arc::clone(&done));
            clients.push(thread::spawn(move || {
                let (mut number, mut served) = (0, 0);
                while !done.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("q-{index}-{client}-{number}");
                    let path = format!("GET /rendeles/{index}/{client}/{number}");
                    let bytes = request_bytes(&path, "a.example", &id, PATIENCE, b"");
                    served += usize::from(call(front, &bytes, PATIENCE).status == 200);
                    sleep(Duration::from_millis(100));
                }
                (served, number)
            }));
        }
    }
    sleep(Duration::from_secs(2));
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < DEADLY_PERIOD {
        number += 1;
        let daemon = &daemons[number % 2];
        let id = format!("deadly-{number}");
        if stage.trouble != "0" {
            let at = start.elapsed().as_secs_f64();
            let bytes = request_bytes(
                &format!("GET {DEADLY_PATH}"),
                "a.example",
                &id,
                PATIENCE,
                b"",
            );
            let status = call(daemon.front, &bytes, PATIENCE).status;
            record.line(&format!(
                "{id} sent to {} at {at:.3}: status {status}",
                daemon.name
            ));
        }
        sleep(DEADLY_PAUSE);
    }
    done.store(true, Ordering::SeqCst);
    for client in clients {
        let (served, sent) = client.join().unwrap_or_default();
        record.line(&format!(
            "a client of other requests was served {served} of {sent}"
        ));
    }
    let crashes = crashes.lock().unwrap();
    for (at, id, replica) in crashes.iter() {
        record.line(&format!(
            "{id} reached {replica} at {:.3} and crashed it",
            at.as_secs_f64()
        ));
    }
    let third = crashes.get(2).map_or(Duration::MAX, |(at, ..)| *at);
    let late = crashes
        .iter()
        .filter(|(at, ..)| *at > third.saturating_add(SETTLE));
    let retries: BTreeSet<&String> = late.map(|(_, id, _)| id).collect();
    record.say(&format!(
        "{number} times sent, {} crashes; {} retries reached replicas later than {} s after the third crash",
        crashes.len(), retries.len(), SETTLE.as_secs(),
    ));
    match retries.len() > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Writes the registration of a replica as long as it runs, removes it when it lapses, and starts the replica
/// again after its crash.
fn keep_registered(replica: &Replica, store: &Store) {
    loop {
        let beat = Instant::now();
        while beat.elapsed() < BEAT {
            if replica.is_down() {
                sleep(LAPSE);
                store.remove(&format!("servers/{}", replica.name));
                sleep(DOWN - LAPSE);
                replica.set_down(false);
                break;
            }
            sleep(Duration::from_millis(5));
        }
        replica.register(store, "ready", 4);
    }
}
