//! Replicas of shards send a second copy of some of their answers, late. Their answers bear a signature and
//! no request id, as the example of the pages shows them.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    daemon::{free_subnet, Daemon, DaemonSettings},
    http::{call, request_bytes, response_bytes},
    replica::Replica,
    store::Store,
    Stage, Verdict,
};

const SHARDS: [&str; 4] = ["archivum-1", "archivum-2", "archivum-3", "archivum-4"];
const ZONES: [&str; 2] = ["z1", "z2"];
const WORK: Duration = Duration::from_millis(6);
/// Of half of the replicas, one answer of this many is sent again, this much later.
const COPIED: u64 = 25;
const LATENESS: Duration = Duration::from_millis(16);
const CLIENTS: usize = 12;
/// Time before the copies begin, while they come, and after.
const CALM: Duration = Duration::from_secs(2);
const COPYING: Duration = Duration::from_secs(5);

fn config() -> String {
    let names = SHARDS.map(|name| format!("\"{name}\"")).join(",");
    let services = SHARDS.map(|name| {
        format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":31,"protocol":"h1","tls":false}}"#)
    });
    format!(
        r#"{{"version":3,"routes":[
{{"name":"r-minta","host":"a.example","prefix":"/minta/","type":"safe","timeoutMs":3000,"targetLatencyMs":200,"priority":1,"gather":[{names}],"maxAttempts":2,"topN":5,"minShare":0.75}}],
"services":[{}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        services.join(",")
    )
}

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let subnet = free_subnet();
    let host = Daemon::address(subnet, 100);
    let store = Store::new();
    let store_address = store.serve();
    store.put("op/config", &config());
    let copies = Arc::new(AtomicU64::new(0));
    let echoes = stage.trouble == "echo";
    let copying = Arc::new(AtomicBool::new(false));
    let mut replicas = Vec::new();
    for service in SHARDS {
        for zone in ZONES {
            let copies = Arc::clone(&copies);
            let answers = AtomicU64::new(0);
            let copying = Arc::clone(&copying);
            let copies_some = zone == ZONES[0];
            let handler = move |replica: &Replica,
                                request: &crate::http::Request,
                                caller: &crate::replica::Caller| {
                let id = request.header("request-id");
                let stamp = replica.next_stamp(id);
                sleep(WORK);
                let echo = if echoes {
                    format!("Request-Id: {id}\r\n")
                } else {
                    String::new()
                };
                let headers = format!("Server-Stamp: {stamp}\r\n{echo}");
                let bytes = response_bytes("200 OK", &headers, &[b'r'; 32]);
                if !caller.write(&bytes) {
                    return false;
                }
                let number = answers.fetch_add(1, Ordering::Relaxed);
                let is_copied = copies_some && copying.load(Ordering::SeqCst);
                if is_copied && number % COPIED == 0 {
                    let (caller, copies) = (caller.clone(), Arc::clone(&copies));
                    thread::spawn(move || {
                        sleep(LATENESS);
                        copies.fetch_add(u64::from(caller.write(&bytes)), Ordering::Relaxed);
                    });
                }
                true
            };
            let replica = Replica::start(
                service,
                &format!("i-{service}-{zone}"),
                zone,
                host,
                Box::new(handler),
            );
            replica.register(&store, "ready", 4);
            replicas.push(replica);
        }
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
    sleep(Duration::from_secs(1));
    let done = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, done) = (daemon.front, Arc::clone(&done));
            thread::spawn(move || {
                let mut answers = Vec::new();
                let mut number = 0;
                while !done.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("q{client}x{number}");
                    let patience = Duration::from_millis(3_000);
                    let bytes = request_bytes(
                        &format!("GET /minta/{number}"),
                        "a.example",
                        &id,
                        patience,
                        b"",
                    );
                    let response = call(front, &bytes, patience);
                    let stamps = response.header("part-stamps").to_owned();
                    answers.push((start.elapsed(), id, response.status, stamps));
                }
                answers
            })
        })
        .collect();
    sleep(CALM);
    copying.store(stage.trouble != "0", Ordering::SeqCst);
    sleep(COPYING);
    copying.store(false, Ordering::SeqCst);
    sleep(CALM);
    done.store(true, Ordering::SeqCst);
    let (mut served, mut wrong) = (0, 0);
    for client in clients {
        for (at, id, status, stamps) in client.join().unwrap_or_default() {
            served += usize::from(status == 200);
            let is_own = |stamp: &str| stamp.rsplit('.').next() == Some(id.as_str());
            let foreign = status == 200 && !stamps.split(", ").all(is_own);
            wrong += usize::from(foreign);
            let mark = if foreign {
                " WRONG: a part is of another request"
            } else {
                ""
            };
            record.line(&format!(
                "{id} at {:.3}: {status}, parts {stamps}{mark}",
                at.as_secs_f64()
            ));
        }
    }
    let copies = copies.load(Ordering::Relaxed);
    record.say(&format!("{copies} late copies; {served} answers served, {wrong} of them with a part of another request"));
    match (served, wrong) {
        (0, _) => Verdict::NotPlayed,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
