//! All processes of the system are killed while all replicas of the only shard are down for a short time.
//! The directory has an entry of another writer: it names a service which the configuration doesn't name, and
//! nothing listens at its address.

use std::{
    net::TcpListener,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    daemon::{free_subnet, Daemon, DaemonSettings},
    http::{call, request_bytes, response_bytes},
    replica::{registration, Replica},
    store::Store,
    Stage, Verdict,
};

const ZONES: [&str; 3] = ["z1", "z2", "z3"];
const REPLICAS: usize = 3;
/// Time for which all replicas of the shard are down.
const REPLICAS_DOWN: Duration = Duration::from_millis(4_500);
/// When the processes are killed after that began, and for how long they are down.
const KILLED_AFTER: Duration = Duration::from_millis(500);
const DAEMONS_DOWN: Duration = Duration::from_millis(700);
/// `recoverS` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time after it in which requests are counted.
const COUNTED: Duration = Duration::from_secs(25);
const CLIENTS: usize = 4;
const PATIENCE: Duration = Duration::from_millis(3_000);

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"r-minta","host":"a.example","prefix":"/minta/","type":"safe","timeoutMs":3000,"targetLatencyMs":200,"priority":1,"gather":["archivum-1"],"maxAttempts":2,"topN":20,"minShare":0.89}],
"services":[{"name":"archivum-1","healthPath":"/health","maxConns":31,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let subnet = free_subnet();
    let host = Daemon::address(subnet, 100);
    let store = Store::new();
    let store_address = store.serve();
    store.put("op/config", CONFIG);
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let replica = Replica::start(
            "archivum-1",
            &format!("i-archivum-{number}"),
            ZONES[number],
            host,
            Box::new(|replica, request, caller| {
                let id = request.header("request-id");
                let stamp = replica.next_stamp(id);
                sleep(Duration::from_millis(20));
                let headers = format!("Server-Stamp: {stamp}\r\nRequest-Id: {id}\r\n");
                caller.write(&response_bytes("200 OK", &headers, &[b'r'; 32]))
            }),
        );
        replica.register(&store, "ready", 4);
        replicas.push(replica);
    }
    if stage.trouble == "1" {
        // The listener is closed again at once.
        let unused =
            TcpListener::bind((Daemon::address(subnet, 99), 0)).and_then(|l| l.local_addr());
        let Ok(unused) = unused else {
            return Verdict::NotPlayed;
        };
        let value = registration("ledger-export", &unused.to_string(), "z1", "ready", 1);
        record.line(&format!("servers/x-ledger-1 is {value}"));
        store.put("servers/x-ledger-1", &value);
    }
    let start_daemons = |bootstrap: bool| -> Vec<Daemon> {
        let daemons = (0..2u8).map(|index| {
            Daemon::start(&DaemonSettings {
                number: index + 1,
                zone: ZONES[usize::from(index)],
                store: store_address,
                folder: &stage.folder,
                subnet,
                seeds: [1, 2, 3],
                bootstrap,
            })
        });
        daemons.collect()
    };
    let mut daemons = start_daemons(true);
    if !daemons.iter().all(Daemon::wait_until_ready) {
        record.say("a daemon did not get ready");
        return Verdict::NotPlayed;
    }
    sleep(Duration::from_secs(2));
    let done = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let mut clients = Vec::new();
    for (index, daemon) in daemons.iter().enumerate() {
        for client in 0..CLIENTS {
            let (front, done) = (daemon.front, Arc::clone(&done));
            clients.push(thread::spawn(move || {
                let mut tries = Vec::new();
                let mut number = 0;
                while !done.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("q-{index}-{client}-{number}");
                    let sent_at = start.elapsed();
                    let path = format!("GET /minta/{number}");
                    let bytes = request_bytes(&path, "a.example", &id, PATIENCE, b"");
                    let status = call(front, &bytes, PATIENCE).status;
                    tries.push((sent_at, id, status, start.elapsed()));
                    sleep(Duration::from_millis(100));
                }
                tries
            }));
        }
    }
    sleep(Duration::from_secs(6));
    let fault_at = start.elapsed();
    let mut back_at = fault_at;
    if stage.trouble != "0" {
        record.say(&format!("{:.3} all replicas crash", fault_at.as_secs_f64()));
        replicas.iter().for_each(|replica| replica.set_down(true));
        sleep(KILLED_AFTER);
        record.say(&format!(
            "{:.3} all daemons are killed",
            start.elapsed().as_secs_f64()
        ));
        daemons.clear();
        sleep(DAEMONS_DOWN);
        daemons = start_daemons(false);
        back_at = start.elapsed();
        record.say(&format!(
            "{:.3} the daemons are started again",
            back_at.as_secs_f64()
        ));
        sleep(REPLICAS_DOWN.saturating_sub(KILLED_AFTER + DAEMONS_DOWN));
        replicas.iter().for_each(|replica| replica.set_down(false));
        record.say(&format!(
            "{:.3} all replicas run again",
            start.elapsed().as_secs_f64()
        ));
    }
    sleep((back_at + RECOVERY + COUNTED).saturating_sub(start.elapsed()));
    done.store(true, Ordering::SeqCst);
    let (mut before, mut after) = ([0usize; 2], [0usize; 2]);
    for client in clients {
        for (sent_at, id, status, answered_at) in client.join().unwrap_or_default() {
            let served = usize::from(status == 200);
            if sent_at < fault_at {
                before[served] += 1;
            }
            if sent_at > back_at + RECOVERY {
                after[served] += 1;
            }
            let (sent_at, answered_at) = (sent_at.as_secs_f64(), answered_at.as_secs_f64());
            record.line(&format!(
                "{id}: sent at {sent_at:.3}, status {status} at {answered_at:.3}"
            ));
        }
    }
    let total = |counts: [usize; 2]| counts[0] + counts[1];
    record.say(&format!(
        "served {} of {} before the final fault, {} of {} sent later than {} s after the daemons were back",
        before[1], total(before), after[1], total(after), RECOVERY.as_secs(),
    ));
    for daemon in &daemons {
        record.line(&format!("{}: {}", daemon.name, daemon.page("/status")));
    }
    if total(before) < 20 || total(after) < 20 || 4 * before[1] < total(before) {
        return Verdict::NotPlayed;
    }
    match 4 * after[1] < total(after) {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
