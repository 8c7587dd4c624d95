//! `pollentally status`: reports on daemons.

#![allow(clippy::unwrap_used)]

mod live;
mod workdir;

use live::{
    DaemonProcess,
    LiveDeployment, //
};
use standin::StoreFault;

#[test]
fn all_daemons() {
    let live = LiveDeployment::new(2);
    live.put_in_force();
    let daemons = [live.start_daemon("d1"), live.start_daemon("d2")];
    for daemon in &daemons {
        live.wait_ready(daemon);
        wait_store(&live, daemon, "up");
    }
    let addresses = [0, 1].map(|index: usize| daemons[index].admin.to_string());
    let out = live.dir.run_ok(&["status", &addresses[0], &addresses[1]]);
    insta::assert_snapshot!(out);
    live.store.set_fault(StoreFault::Down);
    wait_store(&live, &daemons[0], "down");
    let out = live.dir.run_ok(&["status", &addresses[0]]);
    assert!(out.contains("store down at: d1"), "{out}");
}

#[test]
fn unanswered_daemons() {
    let live = LiveDeployment::new(1);
    let daemon = live.start_daemon("d1");
    wait_store(&live, &daemon, "up");
    let address = daemon.admin.to_string();
    let result = live.dir.run(&["status", &address, "127.0.0.1:1"]);
    assert_eq!(result.exit_code, 5, "{result:?}");
    insta::assert_snapshot!(result.stdout);
    insta::assert_snapshot!(result.stderr, @"error: 1 of 2 daemons did not answer");
}

fn wait_store(live: &LiveDeployment, daemon: &DaemonProcess, state: &str) {
    while live.status(daemon)["store"] != state {
        std::thread::sleep(live::POLL_INTERVAL);
    }
}
