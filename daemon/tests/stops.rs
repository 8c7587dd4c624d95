//! Graceful stops: requests in flight are answered, or cut at the time limit or a second request.

#![allow(clippy::unwrap_used)]

mod bench;

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::Duration, //
};

use bench::{
    body,
    read_reply,
    request,
    TestBench, //
};
use daemon::{
    DaemonLife,
    LifeEvent,
    LifePhase, //
};

const HEADERS: &str = "x-request-id: r\r\nx-end-user: u\r\n";

#[test]
fn lifecycle_transitions() {
    use LifeEvent::*;
    use LifePhase::*;
    let cases: &[(&[LifeEvent], LifePhase, bool)] = &[
        (&[], Starting, false),
        (&[PrerequisitesMet], Ready, false),
        (&[PrerequisitesMet, PrerequisitesMet], Ready, false),
        (&[PrerequisitesMet, QuietEnded], Ready, false),
        (&[PrerequisitesMet, StopRequested], Quiet, false),
        (
            &[PrerequisitesMet, StopRequested, PrerequisitesMet],
            Quiet,
            false,
        ),
        (
            &[PrerequisitesMet, StopRequested, WorkDrained],
            Quiet,
            false,
        ),
        (
            &[PrerequisitesMet, StopRequested, QuietEnded],
            Draining,
            false,
        ),
        (
            &[PrerequisitesMet, StopRequested, QuietEnded, WorkDrained],
            Stopped,
            false,
        ),
        (
            &[PrerequisitesMet, StopRequested, StopRequested],
            Stopped,
            true,
        ),
        (
            &[PrerequisitesMet, StopRequested, StopTimedOut],
            Stopped,
            true,
        ),
        (
            &[PrerequisitesMet, StopRequested, QuietEnded, StopTimedOut],
            Stopped,
            true,
        ),
        (
            &[
                PrerequisitesMet,
                StopRequested,
                QuietEnded,
                WorkDrained,
                StopRequested,
            ],
            Stopped,
            false,
        ),
        (&[StopRequested], Draining, false),
        (&[StopRequested, WorkDrained], Stopped, false),
        (&[StopTimedOut], Starting, false),
    ];
    for (events, phase, cut) in cases {
        let mut machine = DaemonLife::machine();
        for event in *events {
            machine.handle(event);
        }
        let life = machine.inner();
        assert_eq!((life.phase(), life.was_cut()), (*phase, *cut), "{events:?}");
    }
}

fn start_slow_bench() -> TestBench {
    let bench = TestBench::start();
    bench.fleet.adjust_all(|settings| {
        settings.service = standin::ServiceTime::constant(Duration::from_millis(300));
    });
    bench
}

fn wait_for_requests_in_flight(bench: &TestBench, count: u64) {
    loop {
        let status: daemon::StatusBody =
            serde_json::from_str(&bench.admin("/status").body).unwrap();
        if status.requests == count && status.attempts > 0 {
            return;
        }
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn graceful_stop_answers_all_requests() {
    let bench = start_slow_bench();
    let mut streams = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(bench.bound.caller).unwrap();
        stream
            .write_all(&request("planks", HEADERS, b"oak"))
            .unwrap();
        streams.push(stream);
    }
    wait_for_requests_in_flight(&bench, 2);
    bench.handle.stop();
    while bench.admin("/ready").status == 200 {
        thread::sleep(Duration::from_millis(1));
    }
    let during_quiet = bench.ask("planks", "r3", "elm");
    assert_eq!(during_quiet.answer().outcome, "complete");
    assert!(during_quiet.head.contains("connection: close"));
    for stream in &mut streams {
        let reply = read_reply(stream);
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.answer().outcome, "complete");
    }
    let caller = bench.bound.caller;
    assert_eq!(bench.join().unwrap().requests_cut, 0);
    assert!(TcpStream::connect(caller).is_err());
}

#[test]
fn idle_connections_do_not_delay_stop() {
    let bench = TestBench::start();
    let idle = TcpStream::connect(bench.bound.caller).unwrap();
    bench.handle.stop();
    assert_eq!(bench.join().unwrap().requests_cut, 0);
    drop(idle);
}

#[test]
fn second_stop_request_answers_stop_cut() {
    let bench = start_slow_bench();
    let mut stream = TcpStream::connect(bench.bound.caller).unwrap();
    stream
        .write_all(&request("planks", HEADERS, b"oak"))
        .unwrap();
    wait_for_requests_in_flight(&bench, 1);
    bench.handle.stop();
    bench.handle.stop();
    let reply = read_reply(&mut stream);
    assert_eq!(reply.code(), "stop_cut");
    assert!(
        reply.body.contains(r#""outcome":"unknown""#),
        "{}",
        reply.body
    );
    assert_eq!(bench.join().unwrap().requests_cut, 1);
}

#[test]
fn stop_timeout_answers_stop_cut() {
    let bench = TestBench::with(&body(), |config| {
        config.stop.quiet = Duration::from_millis(10);
        config.stop.bound = Duration::from_millis(60);
    });
    bench.fleet.adjust_all(|settings| {
        settings.service = standin::ServiceTime::constant(Duration::from_secs(1));
    });
    let mut stream = TcpStream::connect(bench.bound.caller).unwrap();
    stream
        .write_all(&request("planks", HEADERS, b"oak"))
        .unwrap();
    wait_for_requests_in_flight(&bench, 1);
    bench.handle.stop();
    assert_eq!(read_reply(&mut stream).code(), "stop_cut");
    assert_eq!(bench.join().unwrap().requests_cut, 1);
}
