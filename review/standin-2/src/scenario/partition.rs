//! One of three daemons is partitioned from all replicas.
//!
//! `foreign-entry`: the directory has an entry that names a service which the configuration doesn't name.
//! `stale-seeds`: the daemon was added while its seeds were stale. Its settings file has been brought up to date
//! before the partition.

use std::{
    net::{SocketAddr, TcpListener},
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

const SERVICES: [&str; 3] = ["archivum-1", "archivum-2", "rendeles"];
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
const DAEMONS: u8 = 3;
/// `settleWindowMs` of the settings.
const SETTLE: Duration = Duration::from_secs(4);
/// Time from the cut to the end of the count.
const CUT: Duration = Duration::from_secs(12);
/// `seedLagS` of the settings.
const SEED_LAG: Duration = Duration::from_secs(3);
/// Pause between two requests to a daemon, and how long a client waits.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);
const PATIENCE: Duration = Duration::from_millis(3_000);

fn config() -> String {
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConns":31,"protocol":"h1","tls":false}}"#
        )
    };
    let services: Vec<String> = SERVICES.iter().map(|name| service(name)).collect();
    format!(
        r#"{{"version":3,"routes":[
{{"name":"r-minta","host":"a.example","prefix":"/minta/","type":"safe","timeoutMs":3000,"targetLatencyMs":200,"priority":1,"gather":["archivum-1","archivum-2"],"maxAttempts":2,"topN":5,"minShare":0.75}},
{{"name":"r-rendeles","host":"a.example","prefix":"/rendeles/","type":"safe","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"rendeles","maxAttempts":2}}],
"services":[{}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        services.join(",")
    )
}

/// What stands in the way of the daemon that is cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartitionKind {
    ForeignEntry,
    StaleSeeds,
}

pub fn play(stage: &Stage, kind: PartitionKind) -> Verdict {
    let record = &stage.record;
    let subnet = free_subnet();
    record.line(&format!(
        "the machines are in 127.{}.{}.0",
        subnet[0], subnet[1]
    ));
    let host = Daemon::address(subnet, 100);
    let store = Store::new();
    let store_address = store.serve();
    store.put("op/config", &config());
    let mut replicas = Vec::new();
    for service in SERVICES {
        for zone in ZONES {
            let name = format!("i-{service}-{zone}");
            let replica = Replica::start(
                service,
                &name,
                zone,
                host,
                Box::new(|replica, request, caller| {
                    let id = request.header("request-id");
                    let stamp = replica.next_stamp(id);
                    sleep(Duration::from_millis(8));
                    let headers = format!("Server-Stamp: {stamp}\r\nRequest-Id: {id}\r\n");
                    caller.write(&response_bytes("200 OK", &headers, &[b'r'; 32]))
                }),
            );
            replica.register(&store, "ready", 4);
            replicas.push(replica);
        }
    }
    // Another writer's entry. What listens there is no replica and is not a part of the partition.
    let foreign = TcpListener::bind("127.0.0.1:0").unwrap();
    if kind == PartitionKind::ForeignEntry && stage.trouble == "1" {
        let address = foreign.local_addr().unwrap().to_string();
        let value = registration("ledger-export", &address, "z1", "ready", 1);
        record.line(&format!("servers/x-ledger-1 is {value}"));
        store.put("servers/x-ledger-1", &value);
    }
    thread::spawn(move || {
        let mut held = Vec::new();
        for stream in foreign.incoming().flatten() {
            held.push(stream);
        }
    });
    let settings_of = |number: u8, seeds: [u8; 3], bootstrap: bool| DaemonSettings {
        number,
        zone: ZONES[usize::from(number - 1)],
        store: store_address,
        folder: &stage.folder,
        subnet,
        seeds,
        bootstrap,
    };
    // The first daemon is the one that is cut off. With stale seeds it is added to the two others, and its seeds
    // are machines that have just been removed.
    let is_added = kind == PartitionKind::StaleSeeds;
    let others = if is_added { [2, 3, 53] } else { [1, 2, 3] };
    let mut daemons: Vec<Daemon> = Vec::new();
    for number in 2..=DAEMONS {
        daemons.push(Daemon::start(&settings_of(number, others, true)));
    }
    if is_added && !daemons.iter().all(Daemon::wait_until_ready) {
        return Verdict::NotPlayed;
    }
    let seeds = match is_added && stage.trouble == "1" {
        true => [51, 52, 53],
        false => others,
    };
    daemons.insert(0, Daemon::start(&settings_of(1, seeds, !is_added)));
    if !daemons.iter().all(Daemon::wait_until_ready) {
        record.say("a daemon did not get ready");
        return Verdict::NotPlayed;
    }
    if is_added {
        sleep(SEED_LAG);
        settings_of(1, others, false).write();
        daemons[0].signal_change();
        record.line("the settings of the first daemon name the other two; it got SIGHUP");
    }
    sleep(Duration::from_secs(4));
    let done = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let mut clients = Vec::new();
    for (index, daemon) in daemons.iter().enumerate() {
        let (front, done) = (daemon.front, Arc::clone(&done));
        clients.push(thread::spawn(move || {
            let mut tries = Vec::new();
            let mut number = 0;
            while !done.load(Ordering::SeqCst) {
                number += 1;
                tries.push(thread::spawn(move || send_try(start, index, number, front)));
                sleep(REQUEST_PAUSE);
            }
            let tries = tries.into_iter().filter_map(|request| request.join().ok());
            tries.collect::<Vec<_>>()
        }));
    }
    sleep(Duration::from_secs(3));
    let cut_at = start.elapsed();
    if stage.trouble != "0" {
        record.say(&format!(
            "{} is partitioned from all replicas",
            daemons[0].name
        ));
        replicas
            .iter()
            .for_each(|replica| replica.cut(daemons[0].process()));
    }
    sleep(CUT);
    for daemon in &daemons {
        let metrics = daemon.page("/metrics");
        let lines = metrics.lines().filter(|line| {
            !line.starts_with('#') && (line.contains("relay") || line.contains("health_check"))
        });
        lines.for_each(|line| record.line(&format!("{}: {line}", daemon.name)));
        record.line(&format!("{}: {}", daemon.name, daemon.page("/status")));
    }
    done.store(true, Ordering::SeqCst);
    let mut counts = [[0usize; 2]; 2];
    for client in clients {
        for (sent_at, answered_at, index, id, status) in client.join().unwrap_or_default() {
            let counted = sent_at >= cut_at + SETTLE;
            record.line(&format!(
                "{id} to {}: sent at {:.3}, status {status} at {:.3}{}",
                daemons[index].name,
                sent_at.as_secs_f64(),
                answered_at.as_secs_f64(),
                if counted { ", counted" } else { "" },
            ));
            if counted {
                counts[index.min(1)][usize::from(status == 200)] += 1;
            }
        }
    }
    let [[cut_failed, cut_served], [failed, served]] = counts;
    record.say(&format!(
        "from {} s after the cut: {cut_served} of {} first tries served at the cut machine, {served} of {} at the others",
        SETTLE.as_secs(), cut_served + cut_failed, served + failed,
    ));
    let (cut_all, all) = (cut_served + cut_failed, served + failed);
    if cut_all < 20 || all < 20 {
        return Verdict::NotPlayed;
    }
    let cut_share = cut_served as f64 / cut_all as f64;
    let share = served as f64 / all as f64;
    let too_few = cut_share < share * 2.0 / 3.0;
    let too_many_failed = cut_failed as f64 > 10.0 + (cut_all + all) as f64 / 50.0;
    match too_few && too_many_failed {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends one request; returns when it was sent and answered, the daemon, its id and the status.
fn send_try(
    start: Instant,
    index: usize,
    number: usize,
    front: SocketAddr,
) -> (Duration, Duration, usize, String, u16) {
    let id = format!("q-{index}-{number}");
    let path = match number % 2 {
        0 => format!("GET /minta/{number}"),
        _ => format!("GET /rendeles/{number}"),
    };
    let bytes = request_bytes(&path, "a.example", &id, PATIENCE, b"");
    let sent_at = start.elapsed();
    let status = call(front, &bytes, PATIENCE).status;
    (sent_at, start.elapsed(), index, id, status)
}
