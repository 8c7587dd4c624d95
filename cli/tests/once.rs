//! At-most-once requests through running daemons: concurrent repeats, killed and paused daemons,
//! lost store replies, failing upstreams.

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
use standin::{
    ServiceTime,
    StoreFault, //
};

const GROUP: &str = "orders";

/// Accepts the bundle, starts daemons and waits until they are ready.
fn start_daemons(count: u32) -> (LiveDeployment, Vec<DaemonProcess>) {
    let live = LiveDeployment::new(count);
    live.put_in_force();
    let daemons: Vec<DaemonProcess> = (0..count)
        .map(|number| live.start_daemon(&format!("d{number}")))
        .collect();
    for daemon in &daemons {
        live.wait_ready(daemon);
    }
    (live, daemons)
}

/// Sends a request with the idempotency key `key` and returns its outcome, empty if there was no
/// answer.
fn send(live: &LiveDeployment, daemon: &DaemonProcess, key: &str) -> String {
    let (_, answer) = live.query(
        daemon,
        &["--once-key", key, "--deadline-ms", "3000", GROUP, "washi"],
    );
    answer["outcome"].as_str().unwrap_or_default().to_owned()
}

/// Checks the invariants of a key: its request ran at most once, and that agrees with the outcomes
/// that callers have received so far.
fn check_key(live: &LiveDeployment, key: &str, outcomes: &[String]) {
    let runs = live.fleet.log().of_key(GROUP, key);
    assert!(runs <= 1, "{key} ran {runs} times: {outcomes:?}");
    let has_outcome = |outcome: &str| outcomes.iter().any(|received| received == outcome);
    if has_outcome("complete") || has_outcome("ran_failed") {
        assert_eq!(runs, 1, "{key}: {outcomes:?}");
    }
    if has_outcome("not_run") {
        assert_eq!(runs, 0, "{key}: {outcomes:?}");
    }
}

fn wait_runs(live: &LiveDeployment, key: &str, runs: u64) {
    while live.fleet.log().of_key(GROUP, key) < runs {
        thread::sleep(POLL_INTERVAL);
    }
}

fn slow_orders(live: &LiveDeployment, time: Duration) {
    live.fleet.adjust_all(|settings| {
        if settings.group == GROUP {
            settings.service = ServiceTime::constant(time);
        }
    });
}

#[test]
fn repeated_requests_get_the_same_answer() {
    let (live, daemons) = start_daemons(2);
    let first = send(&live, &daemons[0], "k");
    let repeated = send(&live, &daemons[0], "k");
    let from_other_daemon = send(&live, &daemons[1], "k");
    assert_eq!(
        [
            first.as_str(),
            repeated.as_str(),
            from_other_daemon.as_str()
        ],
        ["complete"; 3]
    );
    check_key(&live, "k", &[first, repeated, from_other_daemon]);
}

#[test]
fn racing_daemons() {
    let (live, daemons) = start_daemons(3);
    for round in 0..5 {
        let key = format!("race-{round}");
        let outcomes: Vec<String> = thread::scope(|scope| {
            let tasks: Vec<_> = (0..6)
                .map(|number| {
                    let daemon = &daemons[number % daemons.len()];
                    let (live, key) = (&live, &key);
                    scope.spawn(move || send(live, daemon, key))
                })
                .collect();
            tasks.into_iter().map(|task| task.join().unwrap()).collect()
        });
        check_key(&live, &key, &outcomes);
        assert!(
            outcomes.iter().any(|outcome| outcome == "complete"),
            "{outcomes:?}"
        );
    }
}

#[test]
fn lost_store_replies() {
    let (live, daemons) = start_daemons(2);
    for number in 0..5 {
        let key = format!("lost-{number}");
        live.store.lose_replies(1);
        let first = send(&live, &daemons[0], &key);
        check_key(&live, &key, std::slice::from_ref(&first));
        live.store.lose_replies(0);
        let repeated = send(&live, &daemons[1], &key);
        check_key(&live, &key, &[repeated]);
    }
}

#[test]
fn daemon_killed_while_running() {
    let (live, mut daemons) = start_daemons(2);
    slow_orders(&live, Duration::from_secs(2));
    let (first, second) = daemons.split_at_mut(1);
    let outcomes = thread::scope(|scope| {
        let caller = first[0].caller;
        let live = &live;
        let query_task = scope.spawn(move || {
            let address = caller.to_string();
            let result = live.dir.run(&[
                "query",
                "--daemon",
                &address,
                "--once-key",
                "kill",
                "--deadline-ms",
                "3000",
                GROUP,
                "washi",
            ]);
            assert_eq!(result.exit_code, 5, "{result:?}");
            String::new()
        });
        wait_runs(live, "kill", 1);
        first[0].kill();
        let repeated = send(live, &second[0], "kill");
        [query_task.join().unwrap(), repeated]
    });
    assert_eq!(outcomes[1], "unknown");
    check_key(&live, "kill", &outcomes);
}

#[test]
fn daemon_paused_past_its_deadline() {
    let (live, daemons) = start_daemons(2);
    live.store
        .set_fault(StoreFault::Slow(Duration::from_millis(300)));
    let writes = live.store.counts().writes;
    let outcomes = thread::scope(|scope| {
        let (live, daemons) = (&live, &daemons);
        let paused = scope.spawn(move || send(live, &daemons[0], "pause"));
        while live.store.counts().writes == writes && !paused.is_finished() {
            thread::sleep(POLL_INTERVAL);
        }
        // The daemon is paused after it has sent the claim, so that the store's reply arrives while
        // it is stopped.
        daemons[0].signal("STOP");
        thread::sleep(Duration::from_millis(500));
        live.store.set_fault(StoreFault::None);
        let from_other_daemon = send(live, &daemons[1], "pause");
        thread::sleep(Duration::from_secs(3));
        daemons[0].signal("CONT");
        [paused.join().unwrap(), from_other_daemon]
    });
    check_key(&live, "pause", &outcomes);
    let repeated = send(&live, &daemons[1], "pause");
    check_key(&live, "pause", &[repeated]);
}

#[test]
fn upstream_dies_after_receiving() {
    let (live, daemons) = start_daemons(2);
    live.fleet.adjust_all(|settings| {
        settings.crash_marker = "washi".into();
        settings.restart_after = Some(Duration::from_millis(50));
    });
    let first = send(&live, &daemons[0], "crash");
    let repeated = send(&live, &daemons[1], "crash");
    assert_eq!(first, "unknown");
    assert_eq!(repeated, "unknown");
    check_key(&live, "crash", &[first, repeated]);
    assert_eq!(live.fleet.log().of_key(GROUP, "crash"), 1);
}

#[test]
fn silent_connection_does_not_cause_a_second_run() {
    let (live, daemons) = start_daemons(1);
    assert_eq!(send(&live, &daemons[0], "warm"), "complete");
    for (_, upstream) in live.fleet.upstreams() {
        upstream.blackhole_connections();
    }
    let first = send(&live, &daemons[0], "silent");
    check_key(&live, "silent", &[first]);
    let repeated = send(&live, &daemons[0], "silent");
    check_key(&live, "silent", &[repeated]);
}

#[test]
fn store_down_refuses_requests() {
    let (live, daemons) = start_daemons(1);
    live.store.set_fault(StoreFault::Down);
    let first = send(&live, &daemons[0], "down");
    assert_eq!(first, "not_run");
    assert_eq!(live.fleet.log().of_key(GROUP, "down"), 0);
    live.store.set_fault(StoreFault::None);
    let mut repeated = send(&live, &daemons[0], "down");
    while repeated == "not_run" {
        thread::sleep(POLL_INTERVAL);
        repeated = send(&live, &daemons[0], "down");
    }
    assert_eq!(repeated, "complete");
    assert_eq!(live.fleet.log().of_key(GROUP, "down"), 1);
}
