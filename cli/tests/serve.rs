//! The whole path through the real binaries.

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
    PAUSE, //
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
fn from_key_to_answer() {
    let live = LiveDeployment::new(1);
    let daemon = live.daemon("d1");
    assert_eq!(live.status(&daemon)["phase"], "starting");
    let (early, refusal) = live.query(&daemon, &["search", "oak"]);
    assert_eq!(early.code, 6, "{early:?}");
    assert_eq!(refusal["outcome"], "not_run");
    live.put_in_force();
    live.wait_ready(&daemon);
    let (ran, answer) = live.query(&daemon, &["--user", "kiosk-1", "search", "oak"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(answer["outcome"], "complete");
    assert_eq!(answer["coverage"]["share_ppm"], 1_000_000);
    assert_eq!(answer["charge"]["user"], "kiosk-1");
    let expected = items_for(KeySpan::ALL, SnapshotId(1), "oak");
    let expected = serde_json::to_value(expected).unwrap();
    assert_eq!(answer["items"], expected);
    // Both shards were asked, and once more only where the daemon says that it hedged: on a busy
    // machine a reply may take longer than the hedge delay, and come before the hedge has arrived.
    let extra = extra_attempts(&daemon);
    let asked = live.fleet.log().of_body("search", "oak");
    assert!((2..=2 + extra).contains(&asked), "{asked}, {extra} extra");
    assert!(extra <= 1, "{extra}: the budget starts with one token");
}

/// Hedges and retries that the daemon has counted.
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
fn partial_answers_say_so() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let daemon = live.daemon("d1");
    live.wait_ready(&daemon);
    live.fleet.kill("search-1-0").unwrap();
    live.fleet.kill("search-1-1").unwrap();
    let (ran, answer) = live.query(&daemon, &["--deadline-ms", "400", "search", "oak"]);
    assert_eq!(ran.code, 6, "{ran:?}");
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
    let daemon = live.daemon("d1");
    live.wait_ready(&daemon);
    live.dir.ok(&["drain", "bundle.yaml", "search-0-0"]);
    live.put_in_force();
    live.wait_version(&daemon, 2);
    let drained = live.fleet.upstream("search-0-0").unwrap();
    let before = drained.counts().tasks;
    for number in 0..20 {
        let (ran, _) = live.query(&daemon, &["search", &format!("oak {number}")]);
        assert_eq!(ran.code, 0, "{ran:?}");
    }
    assert_eq!(drained.counts().tasks, before);
    live.dir
        .ok(&["drain", "--lift", "bundle.yaml", "search-0-0"]);
    live.put_in_force();
    live.wait_version(&daemon, 3);
    while drained.counts().tasks == before {
        let (ran, _) = live.query(&daemon, &["search", "oak"]);
        assert_eq!(ran.code, 0, "{ran:?}");
    }
}

#[test]
fn serves_on_without_the_store() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let daemon = live.daemon("d1");
    live.wait_ready(&daemon);
    live.store.set_fault(StoreFault::Down);
    let (ran, _) = live.query(&daemon, &["search", "oak"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    let (ran, answer) = live.query(&daemon, &["--once-key", "a", "orders", "washi"]);
    assert_eq!(ran.code, 6, "{ran:?}");
    assert_eq!(answer["outcome"], "not_run");
    assert_eq!(live.fleet.log().of_body("orders", "washi"), 0);
    live.store.set_fault(StoreFault::None);
    live.put_in_force();
    live.wait_version(&daemon, 2);
}

#[test]
fn store_with_an_old_copy_reverts_nothing() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let copy = live.store.copy();
    let daemon = live.daemon("d1");
    live.wait_ready(&daemon);
    live.put_in_force();
    live.wait_version(&daemon, 2);
    std::fs::copy(live.dir.path("bundle.signed"), live.dir.path("two.signed")).unwrap();
    live.store.restore(copy);
    let (ran, answer) = live.query(&daemon, &["search", "oak"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(answer["bundle_version"], 2);
    assert_eq!(live.dir.accept("two.signed").code, 0);
    live.put_in_force();
    live.wait_version(&daemon, 3);
}

#[test]
fn graceful_stop_cuts_nothing() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let mut daemon = live.daemon("d1");
    live.wait_ready(&daemon);
    // A daemon that knows no snapshot yet asks one shard before the others.
    assert_eq!(live.query(&daemon, &["search", "oak"]).0.code, 0);
    live.fleet
        .adjust_all(|settings| settings.slowdown_factor = 600.0);
    let runs = live.fleet.log().total();
    let answered = thread::scope(|scope| {
        let (live, daemon) = (&live, &daemon);
        let asked = scope.spawn(move || live.query(daemon, &["search", "oak"]));
        while live.fleet.log().total() == runs {
            thread::sleep(PAUSE);
        }
        daemon.signal("TERM");
        asked.join().unwrap()
    });
    assert_eq!(answered.0.code, 0, "{}", daemon.log().join("\n"));
    assert_eq!(answered.1["outcome"], "complete");
    assert_eq!(daemon.wait(), Some(0));
}

#[test]
fn second_signal_says_what_it_cut() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let mut daemon = live.daemon("d1");
    live.wait_ready(&daemon);
    live.fleet
        .adjust_all(|settings| settings.slowdown_factor = 60_000.0);
    let runs = live.fleet.log().total();
    let answered = thread::scope(|scope| {
        let (live, daemon) = (&live, &daemon);
        let asked =
            scope.spawn(move || live.query(daemon, &["--deadline-ms", "9000", "search", "oak"]));
        while live.fleet.log().total() == runs {
            thread::sleep(PAUSE);
        }
        daemon.signal("TERM");
        while !daemon.log().iter().any(|line| line.contains("E1003")) {
            thread::sleep(PAUSE);
        }
        daemon.signal("TERM");
        asked.join().unwrap()
    });
    assert_ne!(answered.0.code, 0, "{answered:?}");
    assert_eq!(daemon.wait(), Some(5));
    assert!(daemon.log().iter().any(|line| line.contains("E1006")));
}

#[test]
fn bundle_from_peers_without_the_store() {
    let live = LiveDeployment::new(3);
    live.put_in_force();
    let daemons = live.joined(2);
    live.wait_ready(&daemons[0]);
    // A daemon that no store answers, as in a data centre cut off from the platform.
    let flags = ["--name", "d3", "--store", "http://127.0.0.1:1"];
    let cut = live.join(&daemons[0], &flags);
    live.wait_ready(&cut);
    assert_eq!(live.status(&cut)["bundle_version"], 1);
    live.put_in_force();
    live.wait_version(&cut, 2);
    let (ran, answer) = live.query(&cut, &["search", "oak"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(answer["bundle_version"], 2);
    let (_, answer) = live.query(&cut, &["--once-key", "k", "orders", "washi"]);
    assert_eq!(answer["outcome"], "not_run");
}

#[test]
fn daemons_find_each_other_by_the_list() {
    let live = LiveDeployment::new(2);
    let daemons = [live.daemon("d0"), live.daemon("d1")];
    for (daemon, name) in daemons.iter().zip(["d0", "d1"]) {
        live.fleet
            .list_daemon(name, daemon.caller, daemon.peer, "zone-1");
    }
    live.wait_joined(&daemons);
    assert_eq!(live.alive_peers(&daemons[0]), 1);
}
