//! The operators' port: status, metrics and unknown paths.

#![allow(clippy::unwrap_used)]

mod bench;

use bench::TestBench;

#[test]
fn status_of_idle_daemon() {
    let bench = TestBench::start();
    let mut status: serde_json::Value = serde_json::from_str(&bench.admin("/status").body).unwrap();
    assert!(status["incarnation"].as_u64().unwrap() > 0);
    status["incarnation"] = "(start)".into();
    insta::assert_snapshot!(serde_json::to_string_pretty(&status).unwrap());
}

#[test]
fn metrics_have_units_and_help() {
    let bench = TestBench::start();
    assert_eq!(
        bench.ask("planks", "r1", "oak").answer().outcome,
        "complete"
    );
    let reply = bench.admin("/metrics");
    assert!(reply.head.contains("application/openmetrics-text"));
    let lines: Vec<&str> = reply.body.lines().collect();
    for line in [
        r#"pollentally_requests_total{group="planks",result="complete"} 1"#,
        r#"pollentally_attempts_total{group="planks",result="replied"} 4"#,
        "pollentally_request_latency_seconds_count 1",
        "pollentally_requests_in_flight 0",
        "pollentally_bundle_version 1",
        "# EOF",
    ] {
        assert!(lines.contains(&line), "{line} is not in\n{}", reply.body);
    }
    for line in lines.iter().filter(|line| line.starts_with("# HELP")) {
        assert!(line.split(' ').count() > 3, "no help: {line}");
    }
}

#[test]
fn unknown_admin_paths() {
    let bench = TestBench::start();
    for (path, status) in [("/live", 200), ("/ready", 200), ("/", 404), ("/statu", 404)] {
        assert_eq!(bench.admin(path).status, status, "{path}");
    }
}
