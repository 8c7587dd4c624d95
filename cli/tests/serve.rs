//! End-to-end tests of the daemon and the command-line tool: bundles, queries, drains, store
//! outages and stops.

#![allow(clippy::unwrap_used)]

mod live;
mod workdir;

use std::{
    thread,
    time::Duration, //
};

use live::{
    DaemonProcess,
    LiveDeployment,
    POLL_INTERVAL, //
};
use platform_standin::call;
use schema::{
    KeySpan,
    SnapshotId, //
};
use standin::{
    items_for,
    StoreFault, //
};

#[test]
fn serves_once_a_bundle_is_accepted() {
    let live = LiveDeployment::new(1);
    let daemon = live.start_daemon("d1");
    assert_eq!(live.status(&daemon)["phase"], "starting");
    let (early, refusal) = live.query(&daemon, &["search", "oak"]);
    assert_eq!(early.exit_code, 6, "{early:?}");
    assert_eq!(refusal["outcome"], "not_run");
    live.put_in_force();
    live.wait_ready(&daemon);
    let (result, answer) = live.query(&daemon, &["--user", "kiosk-1", "search", "oak"]);
    assert_eq!(result.exit_code, 0, "{result:?}");
    assert_eq!(answer["outcome"], "complete");
    assert_eq!(answer["coverage"]["share_ppm"], 1_000_000);
    assert_eq!(answer["charge"]["user"], "kiosk-1");
    let expected = items_for(KeySpan::ALL, SnapshotId(1), "oak");
    let expected = serde_json::to_value(expected).unwrap();
    assert_eq!(answer["items"], expected);
    // Each shard gets one request, plus the hedges that the daemon has counted: on a busy machine a
    // reply may take longer than the hedge delay. A reply may also come before its hedge has
    // arrived, so the upstreams may have received fewer.
    let extra = extra_attempts(&daemon);
    let request_count = live.fleet.log().of_body("search", "oak");
    assert!(
        (2..=2 + extra).contains(&request_count),
        "{request_count}, {extra} extra"
    );
    assert!(
        extra <= 1,
        "{extra}: the retry budget starts with one token"
    );
}

/// Number of hedges and retries, from the metrics of the daemon.
fn extra_attempts(daemon: &DaemonProcess) -> u64 {
    let reply = call(
        daemon.admin,
        "GET /metrics",
        "m",
        Duration::from_secs(2),
        b"",
    );
    let text = String::from_utf8(reply.body).unwrap();
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix("pollentally_extra_attempts_total "));
    value.unwrap().parse().unwrap()
}

#[test]
fn partial_answer_reports_missing_range() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let daemon = live.start_daemon("d1");
    live.wait_ready(&daemon);
    live.fleet.kill("search-1-0").unwrap();
    live.fleet.kill("search-1-1").unwrap();
    let (result, answer) = live.query(&daemon, &["--deadline-ms", "400", "search", "oak"]);
    assert_eq!(result.exit_code, 6, "{result:?}");
    assert_eq!(answer["outcome"], "partial");
    assert_eq!(answer["coverage"]["share_ppm"], 500_000);
    assert_eq!(answer["coverage"]["missing"][0]["start"], 32768);
    let half = KeySpan::new(0, 32768).unwrap();
    let expected = items_for(half, SnapshotId(1), "oak");
    assert_eq!(answer["items"], serde_json::to_value(expected).unwrap());
}

#[test]
fn drain_order_takes_effect() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let daemon = live.start_daemon("d1");
    live.wait_ready(&daemon);
    live.dir.run_ok(&["drain", "bundle.yaml", "search-0-0"]);
    live.put_in_force();
    live.wait_version(&daemon, 2);
    let drained = live.fleet.upstream("search-0-0").unwrap();
    let before = drained.counts().tasks;
    for number in 0..20 {
        let (result, _) = live.query(&daemon, &["search", &format!("oak {number}")]);
        assert_eq!(result.exit_code, 0, "{result:?}");
    }
    assert_eq!(drained.counts().tasks, before);
    live.dir
        .run_ok(&["drain", "--lift", "bundle.yaml", "search-0-0"]);
    live.put_in_force();
    live.wait_version(&daemon, 3);
    while drained.counts().tasks == before {
        let (result, _) = live.query(&daemon, &["search", "oak"]);
        assert_eq!(result.exit_code, 0, "{result:?}");
    }
}

#[test]
fn serves_without_the_store() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let daemon = live.start_daemon("d1");
    live.wait_ready(&daemon);
    live.store.set_fault(StoreFault::Down);
    let (result, _) = live.query(&daemon, &["search", "oak"]);
    assert_eq!(result.exit_code, 0, "{result:?}");
    let (result, answer) = live.query(&daemon, &["--once-key", "a", "orders", "washi"]);
    assert_eq!(result.exit_code, 6, "{result:?}");
    assert_eq!(answer["outcome"], "not_run");
    assert_eq!(live.fleet.log().of_body("orders", "washi"), 0);
    live.store.set_fault(StoreFault::None);
    live.put_in_force();
    live.wait_version(&daemon, 2);
}

#[test]
fn restored_store_does_not_revert_the_bundle() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let copy = live.store.copy();
    let daemon = live.start_daemon("d1");
    live.wait_ready(&daemon);
    live.put_in_force();
    live.wait_version(&daemon, 2);
    std::fs::copy(live.dir.path("bundle.signed"), live.dir.path("two.signed")).unwrap();
    live.store.restore(copy);
    let (result, answer) = live.query(&daemon, &["search", "oak"]);
    assert_eq!(result.exit_code, 0, "{result:?}");
    assert_eq!(answer["bundle_version"], 2);
    assert_eq!(live.dir.accept("two.signed").exit_code, 0);
    live.put_in_force();
    live.wait_version(&daemon, 3);
}

#[test]
fn graceful_stop_finishes_requests() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let mut daemon = live.start_daemon("d1");
    live.wait_ready(&daemon);
    // A daemon that knows no snapshot yet queries one shard before the others, so a first query is
    // sent in advance.
    assert_eq!(live.query(&daemon, &["search", "oak"]).0.exit_code, 0);
    live.fleet
        .adjust_all(|settings| settings.slowdown_factor = 600.0);
    let requests_before = live.fleet.log().total();
    let query_result = thread::scope(|scope| {
        let (live, daemon) = (&live, &daemon);
        let task = scope.spawn(move || live.query(daemon, &["search", "oak"]));
        while live.fleet.log().total() == requests_before {
            thread::sleep(POLL_INTERVAL);
        }
        daemon.signal("TERM");
        task.join().unwrap()
    });
    assert_eq!(query_result.0.exit_code, 0, "{}", daemon.log().join("\n"));
    assert_eq!(query_result.1["outcome"], "complete");
    assert_eq!(daemon.wait(), Some(0));
}

#[test]
fn second_signal_logs_cut_requests() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let mut daemon = live.start_daemon("d1");
    live.wait_ready(&daemon);
    live.fleet
        .adjust_all(|settings| settings.slowdown_factor = 60_000.0);
    let requests_before = live.fleet.log().total();
    let query_result = thread::scope(|scope| {
        let (live, daemon) = (&live, &daemon);
        let task =
            scope.spawn(move || live.query(daemon, &["--deadline-ms", "9000", "search", "oak"]));
        while live.fleet.log().total() == requests_before {
            thread::sleep(POLL_INTERVAL);
        }
        daemon.signal("TERM");
        while !daemon.log().iter().any(|line| line.contains("E1003")) {
            thread::sleep(POLL_INTERVAL);
        }
        daemon.signal("TERM");
        task.join().unwrap()
    });
    assert_ne!(query_result.0.exit_code, 0, "{query_result:?}");
    assert_eq!(daemon.wait(), Some(5));
    assert!(daemon.log().iter().any(|line| line.contains("E1006")));
}

#[test]
fn bundle_from_peers_without_the_store() {
    let live = LiveDeployment::new(3);
    live.put_in_force();
    let daemons = live.start_joined(2);
    live.wait_ready(&daemons[0]);
    // No store listens at this address, as in a data centre that is cut off from the platform.
    let flags = ["--name", "d3", "--store", "http://127.0.0.1:1"];
    let isolated = live.start_joining(&daemons[0], &flags);
    live.wait_ready(&isolated);
    assert_eq!(live.status(&isolated)["bundle_version"], 1);
    live.put_in_force();
    live.wait_version(&isolated, 2);
    let (result, answer) = live.query(&isolated, &["search", "oak"]);
    assert_eq!(result.exit_code, 0, "{result:?}");
    assert_eq!(answer["bundle_version"], 2);
    let (_, answer) = live.query(&isolated, &["--once-key", "k", "orders", "washi"]);
    assert_eq!(answer["outcome"], "not_run");
}

#[test]
fn daemons_join_by_the_vm_list() {
    let live = LiveDeployment::new(2);
    let daemons = [live.start_daemon("d0"), live.start_daemon("d1")];
    for (daemon, name) in daemons.iter().zip(["d0", "d1"]) {
        live.fleet
            .list_daemon(name, daemon.caller, daemon.peer, "zone-1");
    }
    live.wait_joined(&daemons);
    assert_eq!(live.alive_peers(&daemons[0]), 1);
}
