//! Tests of the upstream's HTTP interface and its faults.

#![allow(clippy::unwrap_used)]

mod plain_http;

use std::{
    net::TcpStream,
    thread,
    time::Duration, //
};

use plain_http::{
    call,
    send,
    set_read_timeout, //
};
use schema::{
    upstream::{
        RunCall,
        RunReply,
        TaskEntry, //
    },
    KeySpan,
    SnapshotId, //
};
use standin::{
    items_for,
    DrainMode,
    RunLog,
    ServiceTime,
    UpstreamServer,
    UpstreamSettings, //
};

/// Time without a reply after which a test concludes that none arrives.
const NO_REPLY_TIMEOUT: Duration = Duration::from_millis(150);

fn start_upstream(settings: UpstreamSettings) -> (UpstreamServer, RunLog) {
    let log = RunLog::default();
    let settings = UpstreamSettings {
        service: ServiceTime::constant(Duration::from_millis(1)),
        ..settings
    };
    (UpstreamServer::spawn(settings, &log).unwrap(), log)
}

fn task(query: &str) -> TaskEntry {
    TaskEntry {
        attempt: "d1-1".into(),
        shard: "0".into(),
        start: 0,
        end: 65536,
        snapshot: 1,
        deadline_ms: 60_000,
        query: query.into(),
        once_key: String::new(),
    }
}

fn call_body(task: TaskEntry) -> String {
    let call = RunCall {
        group: "search".into(),
        zone: "zone-1".into(),
        cell: String::new(),
        tasks: vec![task],
    };
    serde_json::to_string(&call).unwrap()
}

fn run(server: &UpstreamServer, task: TaskEntry) -> Option<(u16, RunReply)> {
    let (status, text) = call(server.address(), "POST", "/v1/run", &call_body(task))?;
    Some((status, serde_json::from_str(&text).ok()?))
}

#[test]
fn reply_matches_items() {
    let (server, log) = start_upstream(UpstreamSettings::default());
    let (status, reply) = run(&server, task("oak")).unwrap();
    let task_reply = &reply.replies[0];
    assert_eq!((status, task_reply.refusal.as_str()), (200, ""));
    assert_eq!(
        (task_reply.attempt.as_str(), task_reply.snapshot),
        ("d1-1", 1)
    );
    assert_eq!(task_reply.spans, [0, 65536]);
    assert_eq!(
        task_reply.hits,
        items_for(KeySpan::ALL, SnapshotId(1), "oak")
    );
    assert_eq!(task_reply.hits.len(), 64);
    assert_eq!(log.of_body("search", "oak"), 1);
    let load = reply.load.unwrap();
    assert_eq!((load.slots, load.draining), (2, false));
    assert_eq!(load.snapshots, [1]);
    assert_eq!(load.spans, [0, 65536]);
}

#[test]
fn adjacent_spans_join() {
    for query in ["", "oak", "a longer query"] {
        let whole = items_for(KeySpan::ALL, SnapshotId(3), query);
        for split in [1, 1023, 1024, 30_000, 65_535] {
            let mut parts = items_for(KeySpan::new(0, split).unwrap(), SnapshotId(3), query);
            let rest = KeySpan::new(split, 65536).unwrap();
            parts.extend(items_for(rest, SnapshotId(3), query));
            assert_eq!(parts, whole, "{query} split at {split}");
        }
    }
}

#[test]
fn refusal_codes() {
    let served_span = KeySpan::new(0, 100).unwrap();
    let defaults = UpstreamSettings::default;
    let full = |name: &str| UpstreamSettings {
        slots: 0,
        queue: u32::from(name == "late"),
        ..defaults()
    };
    let draining = UpstreamSettings {
        drain: DrainMode::Refusing,
        ..defaults()
    };
    let moved = UpstreamSettings {
        serves: served_span.into(),
        ..defaults()
    };
    let gone = TaskEntry {
        snapshot: 9,
        ..task("q")
    };
    let elsewhere = TaskEntry {
        start: 100,
        end: 200,
        ..task("q")
    };
    let short = TaskEntry {
        deadline_ms: 5,
        ..task("q")
    };
    let cases = [
        ("shed", 503, full("shed"), task("q")),
        ("late", 200, full("late"), short),
        ("draining", 503, draining, task("q")),
        ("snapshot_gone", 200, defaults(), gone),
        ("range_gone", 200, moved, elsewhere),
    ];
    for (refusal, status, settings, task) in cases {
        let (server, log) = start_upstream(settings);
        let (actual_status, reply) = run(&server, task).unwrap();
        assert_eq!(reply.replies[0].refusal, refusal);
        assert_eq!(actual_status, status, "{refusal}");
        assert_eq!(log.total(), 0, "{refusal}");
    }
}

#[test]
fn faulty_replies() {
    let faulty_reply = |change: fn(&mut UpstreamSettings)| {
        let mut settings = UpstreamSettings::default();
        change(&mut settings);
        let (server, log) = start_upstream(settings);
        let reply = call(server.address(), "POST", "/v1/run", &call_body(task("q")));
        assert_eq!(log.total(), 1);
        reply
    };
    assert_eq!(
        faulty_reply(|settings| settings.truncated_ppm = 1_000_000),
        None
    );
    let (_, text) = faulty_reply(|settings| settings.malformed_ppm = 1_000_000).unwrap();
    assert!(serde_json::from_str::<RunReply>(&text).is_err());
    let (_, text) = faulty_reply(|settings| settings.wrong_echo_ppm = 1_000_000).unwrap();
    let reply: RunReply = serde_json::from_str(&text).unwrap();
    assert_eq!(reply.replies[0].attempt, "d1-10");
    let (_, text) = faulty_reply(|settings| settings.failed_ppm = 1_000_000).unwrap();
    let reply: RunReply = serde_json::from_str(&text).unwrap();
    assert_eq!(reply.replies[0].refusal, "failed");
}

#[test]
fn crash_and_restart() {
    let (server, log) = start_upstream(UpstreamSettings {
        crash_marker: "poison".into(),
        restart_after: Some(Duration::from_millis(20)),
        ..Default::default()
    });
    let mut idle = TcpStream::connect(server.address()).unwrap();
    assert!(send(&mut idle, "POST", "/v1/run", &call_body(task("q"))).is_some());
    assert!(run(&server, task("some poison")).is_none());
    assert!(send(&mut idle, "POST", "/v1/run", &call_body(task("q"))).is_none());
    while run(&server, task("q")).is_none() {
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(server.counts().crashes, 1);
    assert_eq!(log.of_body("search", "some poison"), 1);
}

#[test]
fn blackholed_connection() {
    let (server, _) = start_upstream(UpstreamSettings::default());
    let mut old = TcpStream::connect(server.address()).unwrap();
    assert!(send(&mut old, "POST", "/v1/run", &call_body(task("q"))).is_some());
    server.blackhole_connections();
    set_read_timeout(&old, NO_REPLY_TIMEOUT);
    assert!(send(&mut old, "POST", "/v1/run", &call_body(task("q"))).is_none());
    assert!(run(&server, task("q")).is_some());
}

#[test]
fn connection_limit() {
    let (server, _) = start_upstream(UpstreamSettings {
        connections: 1,
        ..Default::default()
    });
    let mut held = TcpStream::connect(server.address()).unwrap();
    assert!(send(&mut held, "POST", "/v1/run", &call_body(task("q"))).is_some());
    assert!(run(&server, task("q")).is_none());
    assert_eq!(server.counts().refused, 1);
    assert_eq!(server.counts().connections_max, 1);
}

#[test]
fn closed_connection_cancels() {
    let log = RunLog::default();
    let settings = UpstreamSettings {
        service: ServiceTime::constant(Duration::from_secs(60)),
        ..Default::default()
    };
    let server = UpstreamServer::spawn(settings, &log).unwrap();
    let mut stream = TcpStream::connect(server.address()).unwrap();
    set_read_timeout(&stream, NO_REPLY_TIMEOUT);
    assert!(send(&mut stream, "POST", "/v1/run", &call_body(task("q"))).is_none());
    while server.counts().runs < 1 {
        thread::sleep(Duration::from_millis(1));
    }
    drop(stream);
    while server.counts().outstanding > 0 {
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(server.counts().cancelled, 1);
    assert_eq!(log.total(), 1);
}

#[test]
fn blocked_zone_gets_no_reply() {
    let (server, log) = start_upstream(UpstreamSettings {
        blocked_zones: vec!["zone-1".into()],
        ..Default::default()
    });
    let mut stream = TcpStream::connect(server.address()).unwrap();
    set_read_timeout(&stream, NO_REPLY_TIMEOUT);
    assert!(send(&mut stream, "POST", "/v1/run", &call_body(task("q"))).is_none());
    assert_eq!(log.total(), 0);
}

#[test]
fn link_delay_and_retransmission() {
    let delay = Duration::from_millis(30);
    let (server, _) = start_upstream(UpstreamSettings {
        links: [("zone-1".to_owned(), delay)].into(),
        link_loss_ppm: 1_000_000,
        retransmit: Duration::from_millis(50),
        ..Default::default()
    });
    let start = std::time::Instant::now();
    assert!(run(&server, task("q")).is_some());
    assert!(start.elapsed() >= Duration::from_millis(160));
}
