//! Requests of callers, valid and invalid. An invalid one is rejected without a call to an
//! upstream, and the daemon answers requests after it.

#![allow(clippy::unwrap_used)]

mod bench;

use std::{
    io::Write,
    net::{
        Shutdown,
        TcpStream, //
    },
};

use bench::{
    exchange,
    read_reply,
    request,
    TestBench, //
};

const REQUIRED_HEADERS: &str = "x-request-id: r\r\nx-end-user: u\r\n";

fn raw_request(request_line: &str) -> Vec<u8> {
    format!("{request_line}\r\nhost: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

fn request_with(extra_headers: &str) -> Vec<u8> {
    request(
        "planks",
        &format!("{REQUIRED_HEADERS}{extra_headers}"),
        b"oak",
    )
}

#[test]
fn invalid_requests_are_rejected() {
    let bench = TestBench::start();
    let long_key = "x".repeat(129);
    let cases: Vec<(Vec<u8>, u16, &str)> = vec![
        (raw_request("POST /v1/other HTTP/1.1"), 404, "unknown_path"),
        (raw_request("POST / HTTP/1.1"), 404, "unknown_path"),
        (
            raw_request("GET /v1/query/planks HTTP/1.1"),
            405,
            "bad_method",
        ),
        (raw_request("POST /v1/query/%ff HTTP/1.1"), 400, "bad_path"),
        (
            request("nope", REQUIRED_HEADERS, b"oak"),
            404,
            "unknown_group",
        ),
        (
            request("%20", REQUIRED_HEADERS, b"oak"),
            404,
            "unknown_group",
        ),
        (
            request("planks", "x-end-user: u\r\n", b"oak"),
            400,
            "missing_header",
        ),
        (
            request("planks", "x-request-id: r\r\n", b"oak"),
            400,
            "missing_header",
        ),
        (
            request_with("x-request-id: r2\r\n"),
            400,
            "duplicate_header",
        ),
        (request_with("x-end-user: u\r\n"), 400, "duplicate_header"),
        (
            request_with("x-deadline-ms: 5\r\nx-deadline-ms: 5\r\n"),
            400,
            "duplicate_header",
        ),
        (
            request_with("idempotency-key: a\r\nidempotency-key: b\r\n"),
            400,
            "duplicate_header",
        ),
        (request_with("x-deadline-ms: 0\r\n"), 400, "bad_deadline"),
        (request_with("x-deadline-ms: -1\r\n"), 400, "bad_deadline"),
        (request_with("x-deadline-ms: +5\r\n"), 400, "bad_deadline"),
        (request_with("x-deadline-ms: soon\r\n"), 400, "bad_deadline"),
        (request_with("x-deadline-ms: 5001\r\n"), 400, "bad_deadline"),
        (
            request_with("x-deadline-ms: 99999999999999999999999\r\n"),
            400,
            "bad_deadline",
        ),
        (request_with("x-min-coverage: 101\r\n"), 400, "bad_header"),
        (request_with("x-min-coverage: all\r\n"), 400, "bad_header"),
        (
            request_with(&format!("idempotency-key: {long_key}\r\n")),
            400,
            "bad_header",
        ),
        (request_with("idempotency-key: a b\r\n"), 400, "bad_header"),
        (
            request_with("traceparent: 00-0-0-01\r\n"),
            400,
            "bad_header",
        ),
        (
            request_with(&format!("x-other: {}\r\n", "y".repeat(9_000))),
            431,
            "headers_too_large",
        ),
        (
            request("planks", REQUIRED_HEADERS, &[b'a'; 4_097]),
            413,
            "body_too_large",
        ),
        (
            request("planks", REQUIRED_HEADERS, b"\xff\xfe"),
            400,
            "body_not_text",
        ),
    ];
    for (bytes, status, code) in cases {
        let request_text = String::from_utf8_lossy(&bytes[..bytes.len().min(300)]).into_owned();
        let reply = exchange(bench.bound.caller, &bytes);
        assert_eq!(
            (reply.status, reply.code().as_str()),
            (status, code),
            "{request_text}"
        );
        let body: schema::caller::ErrorBody = serde_json::from_str(&reply.body).unwrap();
        assert_eq!(body.outcome, "not_run", "{request_text}");
        assert!(!body.message.is_empty(), "{request_text}");
    }
    assert_eq!(
        bench.fleet.counts().tasks,
        0,
        "a refused request reached an upstream"
    );
    assert_eq!(
        bench.ask("planks", "r1", "oak").answer().outcome,
        "complete"
    );
}

#[test]
fn headers_that_are_not_utf8_are_rejected() {
    let bench = TestBench::start();
    for header in [
        "x-request-id",
        "x-end-user",
        "idempotency-key",
        "x-min-coverage",
    ] {
        let mut bytes =
            b"POST /v1/query/planks HTTP/1.1\r\nhost: a\r\nconnection: close\r\n".to_vec();
        for other in ["x-request-id", "x-end-user"] {
            if other != header {
                bytes.extend_from_slice(format!("{other}: a\r\n").as_bytes());
            }
        }
        bytes.extend_from_slice(header.as_bytes());
        bytes.extend_from_slice(b": \xc3\x28\r\ncontent-length: 0\r\n\r\n");
        let reply = exchange(bench.bound.caller, &bytes);
        assert_eq!(
            (reply.status, reply.code().as_str()),
            (400, "bad_header"),
            "{header}"
        );
    }
    assert_eq!(
        bench.ask("planks", "r1", "oak").answer().outcome,
        "complete"
    );
}

#[test]
fn a_truncated_body_is_rejected() {
    let bench = TestBench::start();
    let mut bytes = request("planks", REQUIRED_HEADERS, b"a longer body");
    bytes.truncate(bytes.len() - 5);
    let mut stream = TcpStream::connect(bench.bound.caller).unwrap();
    stream.write_all(&bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let reply = read_reply(&mut stream);
    assert!(reply.status == 400 || reply.status == 0, "{}", reply.body);
    assert_eq!(bench.fleet.counts().tasks, 0);
    assert_eq!(
        bench.ask("planks", "r1", "oak").answer().outcome,
        "complete"
    );
}

#[test]
fn valid_requests_are_answered() {
    let bench = TestBench::start();
    let cases = [
        "",
        "x-deadline-ms: 5000\r\n",
        "x-min-coverage: 100\r\n",
        "x-min-coverage: 0\r\n",
        "idempotency-key: k\r\n",
        "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n",
    ];
    for extra_headers in cases {
        let reply = exchange(bench.bound.caller, &request_with(extra_headers));
        assert_eq!(reply.status, 200, "{extra_headers}: {}", reply.body);
        assert_eq!(reply.answer().outcome, "complete", "{extra_headers}");
    }
    let largest_body_reply = exchange(
        bench.bound.caller,
        &request("planks", REQUIRED_HEADERS, &[b'a'; 4_096]),
    );
    assert_eq!(largest_body_reply.answer().outcome, "complete");
}
