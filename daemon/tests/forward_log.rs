//! Tests of the log and the metrics of the forwarding daemon.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use forward_cluster::{
    get,
    wait_for,
    ForwardCluster,
    LogSink, //
};
use platform_standin::{
    FakeReplica,
    ReplicaFault,
    RouteText, //
};

/// Each line of the log is JSON with an event of the catalogue, and the failed attempts of a
/// request can be found by its id.
#[test]
fn log_lists_the_failed_attempts_of_a_request() {
    let mut cluster = ForwardCluster::start(&[RouteText {
        services: vec!["s1", "s2", "s3"],
        min_share: 0.6,
        ..RouteText::single("/all/", "s1")
    }]);
    let shards = ["s1", "s2", "s3"]
        .map(|service| FakeReplica::start(&cluster.store, service, &format!("i-{service}"), "z1"));
    let daemon = cluster.ready_daemon("z1");
    shards[0].set_fault(ReplicaFault::Truncates);
    shards[1].set_fault(ReplicaFault::Fails);
    assert_eq!(get(&daemon, "/all/x", "the-id").status, 502);
    wait_for("the end of the request is logged", || {
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
            let cause = line["cause"].as_str().map(String::from);
            codes.push((code, cause, line["status"].as_u64()));
        }
    }
    let expected = [
        ("E7003".into(), Some("broken".into()), None),
        ("E7003".into(), Some("ran_failed".into()), Some(500)),
        ("E7001".into(), None, Some(502)),
    ];
    for line in expected {
        assert!(codes.contains(&line), "{line:?} {codes:?}");
    }
}

/// A log that is not read must not delay requests. A pipe holds about 64 KiB and the writer's queue
/// 512 lines; refusals with long paths fill both.
#[test]
fn unread_log_does_not_delay_requests() {
    let cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let _replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let mut daemon = cluster.spawn_with_sink(1, "z1", LogSink::UnreadPipe);
    wait_for("the daemon is ready", || daemon.is_ready());
    let long_path = format!("/none/{}", "x".repeat(2_000));
    let start = Instant::now();
    let mut rounds = 0;
    while start.elapsed() < Duration::from_secs(10) {
        let round_start = Instant::now();
        rounds += 1;
        assert_eq!(get(&daemon, &long_path, &format!("a{rounds}")).status, 404);
        assert_eq!(get(&daemon, "/one/x", &format!("b{rounds}")).status, 200);
        assert!(
            round_start.elapsed() < Duration::from_secs(1),
            "round {rounds}"
        );
        thread::sleep(Duration::from_millis(5));
    }
    // The pipe and the queue hold fewer lines than this, and the daemon may write 100 of them per
    // second.
    assert!(rounds > 600, "{rounds}");
    daemon.signal("TERM");
    assert_eq!(daemon.wait(), Some(0));
}

/// The metrics after one served and one refused request.
#[test]
fn metrics_count_refusals_replicas_and_store_reads() {
    let mut cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let _replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    let daemon = cluster.ready_daemon("z1");
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
    wait_for("the metrics have all expected values", || {
        let metrics = daemon.metrics();
        expected.iter().all(|line| metrics.contains(line))
    });
    let log = daemon.log();
    assert!(log.contains("E7012") && log.contains("id-2"), "{log}");
}
