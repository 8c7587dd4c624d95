//! What the daemon tells on the platform: its log and its metrics.

#![allow(clippy::unwrap_used)]

mod forward_bench;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use forward_bench::{
    get,
    wait_for,
    ForwardBench,
    LogReader, //
};
use platform_standin::{
    FakeReplica,
    ReplicaFault,
    RouteText, //
};

/// Each line of the log is JSON with an event of the catalogue, and a failed request's id leads to
/// its attempts.
#[test]
fn the_log_explains_a_failure() {
    let mut bench = ForwardBench::start(&[RouteText {
        services: vec!["s1", "s2", "s3"],
        min_share: 0.6,
        ..RouteText::single("/all/", "s1")
    }]);
    let shards = ["s1", "s2", "s3"]
        .map(|service| FakeReplica::start(&bench.store, service, &format!("i-{service}"), "z1"));
    let daemon = bench.daemon("z1");
    shards[0].set_fault(ReplicaFault::Truncates);
    shards[1].set_fault(ReplicaFault::Fails);
    assert_eq!(get(&daemon, "/all/x", "the-id").status, 502);
    wait_for("the end", || {
        daemon.log().contains("\"result\":\"few_shards\"")
    });
    let log = daemon.log();
    let mut codes = Vec::new();
    for line in log.lines() {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        let code = line["event"].as_str().unwrap().to_string();
        assert!(daemon::events::CATALOGUE
            .iter()
            .any(|kind| kind.code == code));
        if line["request"] == "the-id" {
            codes.push((code, line["cause"].as_str().map(String::from)));
        }
    }
    let failed = |cause: &str| codes.contains(&("E7003".into(), Some(cause.into())));
    assert!(failed("broken") && failed("ran_failed"), "{codes:?}");
    assert!(codes.iter().any(|(code, _)| code == "E7001"));
}

/// A pipe holds some 64 KiB, and the writer's queue 512 lines: refusals with long paths fill both.
#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
    let bench = ForwardBench::start(&[RouteText::single("/one/", "s1")]);
    let _replica = FakeReplica::start(&bench.store, "s1", "i-1", "z1");
    let mut daemon = bench.spawn_logging(1, "z1", LogReader::Nobody);
    wait_for("ready", || daemon.is_ready());
    let long = format!("/none/{}", "x".repeat(2_000));
    let start = Instant::now();
    let mut asked = 0;
    while start.elapsed() < Duration::from_secs(10) {
        let asking = Instant::now();
        asked += 1;
        assert_eq!(get(&daemon, &long, &format!("a{asked}")).status, 404);
        assert_eq!(get(&daemon, "/one/x", &format!("b{asked}")).status, 200);
        assert!(asking.elapsed() < Duration::from_secs(1), "request {asked}");
        thread::sleep(Duration::from_millis(5));
    }
    // The pipe and the queue hold fewer lines, and the daemon may write 100 of these a second.
    assert!(asked > 600, "{asked}");
    daemon.signal("TERM");
    assert_eq!(daemon.wait(), Some(0));
}

/// What the metrics say after a day's worth of events in small.
#[test]
fn metrics_tell_of_refusals_replicas_and_the_store() {
    let mut bench = ForwardBench::start(&[RouteText::single("/one/", "s1")]);
    let _replica = FakeReplica::start(&bench.store, "s1", "i-1", "z1");
    let daemon = bench.daemon("z1");
    assert_eq!(get(&daemon, "/one/x", "id-1").status, 200);
    assert_eq!(get(&daemon, "/none/x", "id-2").status, 404);
    let expected = [
        "pollentally_forward_refusals_total{reason=\"no_route\"} 1",
        "pollentally_forward_replicas{state=\"usable\"} 1",
        "pollentally_forward_replicas{state=\"avoided\"} 0",
        "pollentally_forward_budget_left{service=\"s1\"} 0",
        "pollentally_forward_waiting 0",
        "pollentally_forward_store_reads_total{call=\"all\",result=\"answered\"} 1",
        "pollentally_forward_requests_total{route=",
    ];
    wait_for("all figures", || {
        let metrics = daemon.metrics();
        expected.iter().all(|line| metrics.contains(line))
    });
    let log = daemon.log();
    assert!(log.contains("E7012") && log.contains("id-2"), "{log}");
}
