//! Charges of running daemons: each answered request is charged once, despite lost replies,
//! repeated requests, store outages and killed daemons.

#![allow(clippy::unwrap_used)]

mod live;
mod workdir;

use std::thread;

use live::{
    DaemonProcess,
    LiveDeployment,
    POLL_INTERVAL, //
};
use serde_json::Value;
use standin::StoreFault;

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

fn send_query(live: &LiveDeployment, daemon: &DaemonProcess, request: &str) {
    let (result, _) = live.query(
        daemon,
        &["--request", request, "--user", "kiosk-1", "search", "oak"],
    );
    assert_eq!(result.exit_code, 0, "{result:?}");
}

/// Reconciles the charges, and includes those that the daemons in `alive` have not written yet.
fn reconcile(live: &LiveDeployment, alive: &[&DaemonProcess]) -> Value {
    let addresses: Vec<String> = alive
        .iter()
        .map(|daemon| daemon.admin.to_string())
        .collect();
    let mut args = vec![
        "history",
        "--settings",
        "settings.yaml",
        "--charges",
        "--json",
    ];
    args.extend(["--days", "2"]);
    for address in &addresses {
        args.extend(["--daemon", address]);
    }
    let result = live.dir.run(&args);
    serde_json::from_str(&result.stdout).unwrap_or_else(|_| panic!("{result:?}"))
}

fn wait_charged(live: &LiveDeployment, alive: &[&DaemonProcess], charged: u64) -> Value {
    loop {
        let report = reconcile(live, alive);
        if report["charged"].as_u64() >= Some(charged) {
            return report;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

#[test]
fn repeated_requests_are_charged_once() {
    let (live, daemons) = start_daemons(2);
    send_query(&live, &daemons[0], "r1");
    send_query(&live, &daemons[1], "r1");
    send_query(&live, &daemons[1], "r2");
    let alive: Vec<&DaemonProcess> = daemons.iter().collect();
    wait_charged(&live, &alive, 2);
    while reconcile(&live, &alive)["waiting"] != 0 {
        thread::sleep(POLL_INTERVAL);
    }
    let report = reconcile(&live, &alive);
    assert_eq!(report["charged"], 2, "{report}");
    assert_eq!(report["repeated"], 1, "{report}");
    assert_eq!(report["users"][0]["units"], 200, "{report}");
    assert_eq!(report["lost"], Value::Array(Vec::new()), "{report}");
}

#[test]
fn store_outage_delays_charges() {
    let (live, daemons) = start_daemons(1);
    live.store.set_fault(StoreFault::Down);
    for number in 0..5 {
        send_query(&live, &daemons[0], &format!("r{number}"));
    }
    assert!(live.status(&daemons[0])["charges_waiting"].as_u64() > Some(0));
    live.store.set_fault(StoreFault::None);
    let report = wait_charged(&live, &[&daemons[0]], 5);
    assert_eq!(report["charged"], 5, "{report}");
    assert_eq!(report["users"][0]["units"], 500, "{report}");
}

#[test]
fn lost_replies_do_not_duplicate_charges() {
    let (live, daemons) = start_daemons(1);
    for number in 0..5 {
        live.store.lose_replies(2);
        send_query(&live, &daemons[0], &format!("r{number}"));
        wait_charged(&live, &[&daemons[0]], number + 1);
    }
    let report = reconcile(&live, &[&daemons[0]]);
    assert_eq!(report["charged"], 5, "{report}");
    assert_eq!(report["repeated"], 0, "{report}");
}

#[test]
fn graceful_stop_writes_all_charges() {
    let (live, mut daemons) = start_daemons(1);
    for number in 0..5 {
        send_query(&live, &daemons[0], &format!("r{number}"));
    }
    daemons[0].signal("TERM");
    assert_eq!(daemons[0].wait(), Some(0));
    let report = reconcile(&live, &[]);
    assert_eq!(report["answered"], 5, "{report}");
    assert_eq!(report["charged"], 5, "{report}");
    assert_eq!(report["lost"], Value::Array(Vec::new()), "{report}");
}

#[test]
fn killed_daemon_keeps_copied_charges() {
    let live = LiveDeployment::new(3);
    live.put_in_force();
    let mut daemons = live.start_joined(3);
    for daemon in &daemons {
        live.wait_ready(daemon);
    }
    live.store.set_fault(StoreFault::Down);
    let mut copied = 0;
    for number in 0..5 {
        let request = format!("r{number}");
        let (result, answer) = live.query(
            &daemons[0],
            &["--request", &request, "--user", "kiosk-1", "search", "oak"],
        );
        assert_eq!(result.exit_code, 0, "{result:?}");
        copied += u64::from(answer["charge"]["state"] == "copied");
    }
    assert!(copied > 0);
    daemons[0].kill();
    live.store.set_fault(StoreFault::None);
    let alive: Vec<&DaemonProcess> = daemons[1..].iter().collect();
    let report = wait_charged(&live, &alive, copied);
    assert!(report["charged"].as_u64() <= Some(5), "{report}");
    while reconcile(&live, &alive)["waiting"] != 0 {
        thread::sleep(POLL_INTERVAL);
    }
    let report = reconcile(&live, &alive);
    assert!(report["charged"].as_u64() <= Some(5), "{report}");
    assert_eq!(report["repeated"], 0, "{report}");
}
