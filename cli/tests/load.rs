//! `pollentally load`: load runs.

#![allow(clippy::unwrap_used)]

mod live;
mod workdir;

use live::LiveDeployment;
use workdir::WorkDir;

#[test]
fn counts_every_request() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let daemon = live.start_daemon("d1");
    live.wait_ready(&daemon);
    let address = daemon.caller.to_string();
    let out = live.dir.run_ok(&[
        "load",
        "--json",
        "--daemon",
        &address,
        "--rate",
        "50",
        "--seconds",
        "0.5",
        "--warm-up",
        "0.1",
        "--users",
        "3",
        "--distinct",
        "7",
        "search",
    ]);
    let report: serde_json::Value = serde_json::from_str(&out).unwrap();
    let outcomes = report["outcomes"].as_object().unwrap();
    let total: u64 = outcomes.values().map(|count| count.as_u64().unwrap()).sum();
    assert!(total > 0);
    let complete = outcomes["complete"].as_u64().unwrap();
    assert_eq!(report["charged"], complete * 100);
    assert_eq!(report["skipped"], 0);
    assert!(live.fleet.log().of_body("search", "query 0") > 0);
    assert_eq!(live.fleet.log().of_body("search", "query 7"), 0);
}

#[test]
fn skips_requests_above_max_in_flight() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let daemon = live.start_daemon("d1");
    live.wait_ready(&daemon);
    live.fleet
        .adjust_all(|settings| settings.slowdown_factor = 300.0);
    let address = daemon.caller.to_string();
    let out = live.dir.run_ok(&[
        "load",
        "--json",
        "--daemon",
        &address,
        "--rate",
        "200",
        "--seconds",
        "0.5",
        "--warm-up",
        "0",
        "--in-flight",
        "1",
        "search",
    ]);
    let report: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert!(report["skipped"].as_u64().unwrap() > 0, "{out}");
}

#[test]
fn bounds() {
    let dir = WorkDir::new();
    let cases: [(&str, &[&str]); 7] = [
        ("192.0.2.1:7100", &[]),
        ("127.0.0.1:1", &["--rate", "0"]),
        ("127.0.0.1:1", &["--rate", "200000"]),
        ("127.0.0.1:1", &["--seconds", "4000"]),
        ("127.0.0.1:1", &["--warm-up", "NaN"]),
        ("127.0.0.1:1", &["--users", "0"]),
        ("127.0.0.1:1", &["--in-flight", "20000"]),
    ];
    let mut errors = String::new();
    for (address, args) in cases {
        let mut all = vec!["load", "--daemon", address];
        all.extend(args);
        all.push("search");
        let result = dir.run(&all);
        assert_eq!(result.exit_code, 2, "{result:?}");
        errors += &result.stderr;
    }
    insta::assert_snapshot!(errors);
}

#[test]
fn unreachable_daemon() {
    let dir = WorkDir::new();
    let out = dir.run_ok(&[
        "load",
        "--json",
        "--daemon",
        "127.0.0.1:1",
        "--rate",
        "100",
        "--seconds",
        "0.1",
        "--warm-up",
        "0",
        "search",
    ]);
    let report: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert!(
        report["outcomes"]["no reply"].as_u64().unwrap() > 0,
        "{out}"
    );
    assert_eq!(report["answers_per_second"], 0.0);
    assert_eq!(report["latency_us"], serde_json::json!({}));
}

#[test]
fn omits_latencies_without_answers() {
    let dir = WorkDir::new();
    let args = [
        "load",
        "--daemon",
        "127.0.0.1:1",
        "--rate",
        "100",
        "--seconds",
        "0.1",
        "search",
    ];
    let out = dir.run_ok(&args);
    assert!(
        out.contains("no latencies: no request was answered"),
        "{out}"
    );
    assert!(!out.contains("0.00 ms"), "{out}");
}

#[test]
fn reports_missing_idempotency_keys() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let daemon = live.start_daemon("d1");
    live.wait_ready(&daemon);
    let address = daemon.caller.to_string();
    let mut args = vec![
        "load",
        "--daemon",
        &address,
        "--rate",
        "50",
        "--seconds",
        "0.5",
    ];
    args.extend(["--warm-up", "0", "orders"]);
    let out = live.dir.run_ok(&args);
    assert!(
        out.contains("key_missing") && out.contains("pass --once"),
        "{out}"
    );
    args.push("--once");
    let out = live.dir.run_ok(&args);
    assert!(out.contains("complete") && out.contains("p99.9"), "{out}");
}
