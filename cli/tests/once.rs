//! Requests that run once, through real daemons that race, die, pause and lose replies.

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
use standin::{
    ServiceTime,
    StoreFault, //
};

const GROUP: &str = "orders";

/// Starts daemons with the bundle in force.
fn started(count: u32) -> (LiveDeployment, Vec<DaemonProcess>) {
    let live = LiveDeployment::new(count);
    live.put_in_force();
    let daemons: Vec<DaemonProcess> = (0..count)
        .map(|number| live.daemon(&format!("d{number}")))
        .collect();
    for daemon in &daemons {
        live.wait_ready(daemon);
    }
    (live, daemons)
}

/// Sends the request with `key` and gives its outcome; empty where no answer came.
fn send(live: &LiveDeployment, daemon: &DaemonProcess, key: &str) -> String {
    let (_, answer) = live.query(
        daemon,
        &["--once-key", key, "--deadline-ms", "3000", GROUP, "washi"],
    );
    answer["outcome"].as_str().unwrap_or_default().to_owned()
}

/// What must hold of a key whatever happened, from the outcomes that its callers got so far.
fn check_key(live: &LiveDeployment, key: &str, outcomes: &[String]) {
    let runs = live.fleet.log().of_key(GROUP, key);
    assert!(runs <= 1, "{key} ran {runs} times: {outcomes:?}");
    let said = |outcome: &str| outcomes.iter().any(|one| one == outcome);
    if said("complete") || said("ran_failed") {
        assert_eq!(runs, 1, "{key}: {outcomes:?}");
    }
    if said("not_run") {
        assert_eq!(runs, 0, "{key}: {outcomes:?}");
    }
}

fn wait_runs(live: &LiveDeployment, key: &str, runs: u64) {
    while live.fleet.log().of_key(GROUP, key) < runs {
        thread::sleep(PAUSE);
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
fn repeats_get_the_same_answer() {
    let (live, daemons) = started(2);
    let first = send(&live, &daemons[0], "k");
    let again = send(&live, &daemons[0], "k");
    let elsewhere = send(&live, &daemons[1], "k");
    assert_eq!(
        [first.as_str(), again.as_str(), elsewhere.as_str()],
        ["complete"; 3]
    );
    check_key(&live, "k", &[first, again, elsewhere]);
}

#[test]
fn racing_daemons() {
    let (live, daemons) = started(3);
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
        assert!(outcomes.iter().any(|one| one == "complete"), "{outcomes:?}");
    }
}

#[test]
fn lost_store_replies() {
    let (live, daemons) = started(2);
    for number in 0..5 {
        let key = format!("lost-{number}");
        live.store.lose_replies(1);
        let first = send(&live, &daemons[0], &key);
        check_key(&live, &key, std::slice::from_ref(&first));
        live.store.lose_replies(0);
        let again = send(&live, &daemons[1], &key);
        check_key(&live, &key, &[again]);
    }
}

#[test]
fn daemon_killed_while_running() {
    let (live, mut daemons) = started(2);
    slow_orders(&live, Duration::from_secs(2));
    let (first, second) = daemons.split_at_mut(1);
    let outcomes = thread::scope(|scope| {
        let caller = first[0].caller;
        let live = &live;
        let waiting = scope.spawn(move || {
            let address = caller.to_string();
            let ran = live.dir.run(&[
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
            assert_eq!(ran.code, 5, "{ran:?}");
            String::new()
        });
        wait_runs(live, "kill", 1);
        first[0].kill();
        let again = send(live, &second[0], "kill");
        [waiting.join().unwrap(), again]
    });
    assert_eq!(outcomes[1], "unknown");
    check_key(&live, "kill", &outcomes);
}

#[test]
fn daemon_paused_past_its_deadline() {
    let (live, daemons) = started(2);
    live.store
        .set_fault(StoreFault::Slow(Duration::from_millis(300)));
    let writes = live.store.counts().writes;
    let outcomes = thread::scope(|scope| {
        let (live, daemons) = (&live, &daemons);
        let paused = scope.spawn(move || send(live, &daemons[0], "pause"));
        while live.store.counts().writes == writes && !paused.is_finished() {
            thread::sleep(PAUSE);
        }
        // The claim is on its way to the store; its answer finds the daemon stopped.
        daemons[0].signal("STOP");
        thread::sleep(Duration::from_millis(500));
        live.store.set_fault(StoreFault::None);
        let elsewhere = send(live, &daemons[1], "pause");
        thread::sleep(Duration::from_secs(3));
        daemons[0].signal("CONT");
        [paused.join().unwrap(), elsewhere]
    });
    check_key(&live, "pause", &outcomes);
    let again = send(&live, &daemons[1], "pause");
    check_key(&live, "pause", &[again]);
}

#[test]
fn upstream_dies_after_receiving() {
    let (live, daemons) = started(2);
    live.fleet.adjust_all(|settings| {
        settings.crash_marker = "washi".into();
        settings.restart_after = Some(Duration::from_millis(50));
    });
    let first = send(&live, &daemons[0], "crash");
    let again = send(&live, &daemons[1], "crash");
    assert_eq!(first, "unknown");
    assert_eq!(again, "unknown");
    check_key(&live, "crash", &[first, again]);
    assert_eq!(live.fleet.log().of_key(GROUP, "crash"), 1);
}

#[test]
fn silent_connection_is_no_second_run() {
    let (live, daemons) = started(1);
    assert_eq!(send(&live, &daemons[0], "warm"), "complete");
    for (_, upstream) in live.fleet.upstreams() {
        upstream.blackhole_connections();
    }
    let first = send(&live, &daemons[0], "silent");
    check_key(&live, "silent", &[first]);
    let again = send(&live, &daemons[0], "silent");
    check_key(&live, "silent", &[again]);
}

#[test]
fn store_down_refuses() {
    let (live, daemons) = started(1);
    live.store.set_fault(StoreFault::Down);
    let first = send(&live, &daemons[0], "down");
    assert_eq!(first, "not_run");
    assert_eq!(live.fleet.log().of_key(GROUP, "down"), 0);
    live.store.set_fault(StoreFault::None);
    let mut again = send(&live, &daemons[0], "down");
    while again == "not_run" {
        thread::sleep(PAUSE);
        again = send(&live, &daemons[0], "down");
    }
    assert_eq!(again, "complete");
    assert_eq!(live.fleet.log().of_key(GROUP, "down"), 1);
}
