//! Connections to upstreams: their limit, and what happens when they close or stop answering.

#![allow(clippy::unwrap_used)]

mod bench;

use std::{
    thread,
    time::Duration, //
};

use bench::{
    body,
    TestBench, //
};
use standin::ServiceTime;

fn bundle_with_small_limits() -> schema::bundle::BundleBody {
    let mut body = body();
    body.groups[0].connections = 3;
    body.groups[0].slots = 2;
    body
}

#[test]
fn connections_stay_within_the_limit() {
    let bench = TestBench::with(&bundle_with_small_limits(), |_| {});
    bench.fleet.adjust_all(|settings| {
        settings.service = ServiceTime::constant(Duration::from_millis(5));
    });
    thread::scope(|scope| {
        for caller in 0..12 {
            let bench = &bench;
            scope.spawn(move || {
                for number in 0..10 {
                    let id = format!("c{caller}-{number}");
                    let reply = bench.ask("planks", &id, "oak");
                    assert_ne!(reply.status, 0);
                }
            });
        }
    });
    for (vm, server) in bench.fleet.upstreams() {
        let counts = server.counts();
        assert!(counts.connections_max <= 3, "{vm}: {counts:?}");
        assert_eq!(counts.refused, 0, "{vm}: {counts:?}");
    }
}

#[test]
fn closed_connections_are_replaced() {
    let bench = TestBench::start();
    for round in 0..5 {
        let answer = bench.ask("planks", &format!("r{round}"), "oak").answer();
        assert_eq!(
            answer.outcome, "complete",
            "round {round}: {}",
            answer.reason
        );
        for (_, server) in bench.fleet.upstreams() {
            server.close_connections();
        }
        while bench.status().connections > 0 {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

#[test]
fn silent_connections_are_avoided() {
    let bench = TestBench::start();
    for round in 0..100 {
        let answer = bench.ask("planks", &format!("warm{round}"), "oak").answer();
        assert_eq!(answer.outcome, "complete");
    }
    // Longer than 1 s, for which the pool still expects a used connection to work.
    thread::sleep(Duration::from_millis(1_100));
    for (_, server) in bench.fleet.upstreams() {
        server.blackhole_connections();
    }
    for round in 0..20 {
        let answer = bench.ask("planks", &format!("r{round}"), "oak").answer();
        assert_eq!(
            answer.outcome, "complete",
            "round {round}: {}",
            answer.reason
        );
    }
}

#[test]
fn queries_complete_while_an_upstream_is_down_and_after_its_restart() {
    let bench = TestBench::start();
    let names: Vec<String> = bench
        .fleet
        .upstreams()
        .map(|(name, _)| name.into())
        .collect();
    bench.fleet.kill(&names[0]).unwrap();
    for round in 0..5 {
        let answer = bench.ask("planks", &format!("r{round}"), "oak").answer();
        assert_eq!(
            answer.outcome, "complete",
            "round {round}: {}",
            answer.reason
        );
    }
    bench.fleet.restart(&names[0]).unwrap();
    assert_eq!(
        bench.ask("planks", "last", "oak").answer().outcome,
        "complete"
    );
}

#[test]
fn a_disconnect_cancels_the_attempts() {
    let bench = TestBench::start();
    bench.fleet.adjust_all(|settings| {
        settings.service = ServiceTime::constant(Duration::from_secs(1));
    });
    let headers = "x-request-id: r\r\nx-end-user: u\r\n";
    let mut stream = std::net::TcpStream::connect(bench.bound.caller).unwrap();
    std::io::Write::write_all(&mut stream, &bench::request("planks", headers, b"oak")).unwrap();
    while bench.status().attempts == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    drop(stream);
    while bench.status().requests > 0 {
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(bench.status().attempts, 0);
}
