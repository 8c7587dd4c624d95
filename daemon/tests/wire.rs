//! Requests that the daemon sends to an upstream and to the trace collector.

#![allow(clippy::unwrap_used)]

mod bench;

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::mpsc::{
        channel,
        Receiver,
        Sender, //
    },
    thread,
    time::Duration, //
};

use bench::{
    body,
    request,
    TestBench, //
};
use schema::{
    platform::VmEntry,
    upstream::{
        LoadEntry,
        RunCall,
        RunReply,
        TaskReply, //
    }, //
};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

fn header(head: &str, name: &str) -> Option<String> {
    let prefix = format!("{name}: ");
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(&prefix).map(str::to_owned))
}

/// Reads one request; `None` at the end of the connection.
fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let length: usize = header(&head, "content-length")?.parse().ok()?;
            let start = received.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
            if received.len() >= start + length {
                return Some((head, received[start..start + length].to_vec()));
            }
        }
        let count = stream.read(&mut chunk).ok()?;
        if count == 0 {
            return None;
        }
        received.extend_from_slice(&chunk[..count]);
    }
}

fn serve_requests(
    listener: TcpListener,
    sender: Sender<(String, Vec<u8>)>,
    reply: impl Fn(&[u8]) -> String + Send + Copy + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let sender = sender.clone();
            thread::spawn(move || {
                while let Some((head, body)) = read_request(&mut stream) {
                    let text = reply(&body);
                    let _ = sender.send((head, body));
                    let length = text.len();
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                    let _ = stream.write_all(format!("{head}{text}").as_bytes());
                }
            });
        }
    });
}

fn start_server(
    reply: impl Fn(&[u8]) -> String + Send + Copy + 'static,
) -> (String, Receiver<(String, Vec<u8>)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, requests) = channel();
    serve_requests(listener, sender, reply);
    (address, requests)
}

fn full_reply(body: &[u8]) -> String {
    let call: RunCall = serde_json::from_slice(body).unwrap();
    let task = &call.tasks[0];
    let reply = RunReply {
        replies: vec![TaskReply {
            attempt: task.attempt.clone(),
            snapshot: 1,
            spans: vec![task.start, task.end],
            ..TaskReply::default()
        }],
        load: Some(LoadEntry {
            slots: 2,
            snapshots: vec![1],
            spans: vec![0, 65_536],
            ..LoadEntry::default()
        }),
    };
    serde_json::to_string(&reply).unwrap()
}

fn bundle_with_one_shard() -> schema::bundle::BundleBody {
    let mut body = body();
    body.groups[0].shard_count = 1;
    body.groups[0].replicas = 1;
    body
}

/// Starts a bench whose only upstream is at `address`.
fn bench_with(address: &str, change: impl FnOnce(&mut daemon::DaemonConfig)) -> TestBench {
    let bench = TestBench::with(&bundle_with_one_shard(), change);
    let names: Vec<String> = bench
        .fleet
        .upstreams()
        .map(|(name, _)| name.into())
        .collect();
    let shard = bench.fleet.upstream(&names[0]).unwrap().settings().shard;
    bench.fleet.vms().put([VmEntry {
        name: "fake".into(),
        address: address.into(),
        zone: "zone".into(),
        role: "upstream".into(),
        group: "planks".into(),
        shard,
        state: "live".into(),
        ..VmEntry::default()
    }]);
    for name in &names {
        bench.fleet.vms().remove(name);
    }
    bench
}

#[test]
fn an_upstream_call_carries_trace_deadline_and_shard() {
    let (address, requests) = start_server(full_reply);
    let bench = bench_with(&address, |_| {});
    let head = format!(
        "x-request-id: r\r\nx-end-user: u\r\nx-deadline-ms: 1500\r\n\
         traceparent: 00-{TRACE}-b7ad6b7169203331-01\r\n"
    );
    let (head, body) = loop {
        let reply = bench::exchange(bench.bound.caller, &request("planks", &head, b"o\"ak"));
        assert_eq!(reply.status, 200, "{}", reply.body);
        // The daemon may not have read the new list yet.
        if let Ok(received) = requests.try_recv() {
            break received;
        }
        thread::sleep(Duration::from_millis(5));
    };
    assert!(head.starts_with("post /v1/run http/1.1"), "{head}");
    let trace = header(&head, "traceparent").unwrap();
    assert!(trace.starts_with(&format!("00-{TRACE}-")), "{trace}");
    assert!(
        !trace.contains("b7ad6b7169203331"),
        "the hop has a span of its own: {trace}"
    );
    let left: u64 = header(&head, "x-deadline-ms").unwrap().parse().unwrap();
    assert!((1..=1500).contains(&left), "{left}");
    let call: RunCall = serde_json::from_slice(&body).unwrap();
    assert_eq!(
        (call.group.as_str(), call.zone.as_str()),
        ("planks", "zone")
    );
    let [task] = call.tasks.as_slice() else {
        panic!("{call:?}");
    };
    assert_eq!(task.query, "o\"ak");
    assert_eq!((task.start, task.end), (0, 65_536));
    assert_eq!(task.deadline_ms, left);
    assert_eq!(task.once_key, "");
    let status = bench.status();
    assert!(task
        .attempt
        .starts_with(&format!("daemon.{}.", status.incarnation)));
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

#[test]
fn spans_reach_the_collector() {
    let (address, requests) = start_server(|_| String::new());
    let bench = TestBench::with(&body(), |config| {
        config.trace.collector = Some(format!("http://{address}").parse().unwrap());
    });
    let head = format!(
        "x-request-id: r\r\nx-end-user: u\r\ntraceparent: 00-{TRACE}-b7ad6b7169203331-01\r\n"
    );
    let unsampled_headers = head.replace(
        &format!("{TRACE}-b7ad6b7169203331-01"),
        &format!("{}-b7ad6b7169203331-00", "ab".repeat(16)),
    );
    bench::exchange(
        bench.bound.caller,
        &request("planks", &unsampled_headers, b"elm"),
    );
    bench::exchange(bench.bound.caller, &request("planks", &head, b"oak"));
    let (head, body) = requests.recv_timeout(Duration::from_secs(60)).unwrap();
    assert!(head.starts_with("post /v1/traces"), "{head}");
    assert!(contains(&body, &hex::decode(TRACE).unwrap()));
    assert!(
        !contains(&body, &[0xab; 16]),
        "a trace that is not sampled was exported"
    );
    for name in [
        "pollentallyd",
        "query",
        "attempt",
        "planks",
        "complete",
        "replied",
    ] {
        assert!(contains(&body, name.as_bytes()), "{name}");
    }
    let parent = hex::decode("b7ad6b7169203331").unwrap();
    assert!(contains(&body, &parent), "the caller's span is the parent");
}
