//! Daemons whose seeds are stale: what they learn from the settings file and from the store.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use forward_cluster::{
    wait_for,
    DaemonProcess,
    ForwardCluster, //
};
use platform_standin::{
    FakeReplica,
    RouteText, //
};

/// Bytes that are no record of contacts, so that no daemon finds others by it.
const BAD_CONTACTS: &str = "no record";

/// Number of daemons that `daemon` reckons with.
fn daemons(daemon: &DaemonProcess) -> u32 {
    let metrics = daemon.metrics();
    let mut lines = metrics.lines();
    let line = lines.find(|line| !line.starts_with('#') && line.contains("forward_daemons "));
    let (_, count) = line.unwrap().rsplit_once(' ').unwrap();
    count.parse().unwrap()
}

fn start_cluster() -> (ForwardCluster, FakeReplica) {
    let cluster = ForwardCluster::start(&[RouteText::single("/one/", "s1")]);
    let replica = FakeReplica::start(&cluster.store, "s1", "i-1", "z1");
    (cluster, replica)
}

/// Guards against a daemon that stays alone after its settings file names living seeds, with SIGHUP or without,
/// and after a half-written file.
#[test]
fn seeds_of_a_changed_settings_file_are_used() {
    let (mut cluster, _replica) = start_cluster();
    cluster.store.put("contacts", BAD_CONTACTS);
    let first = cluster.ready_daemon("z1");
    let second = cluster.ready_daemon("z2");
    wait_for("the first two know each other", || {
        daemons(&first) == 2 && daemons(&second) == 2
    });
    for signalled in [true, false] {
        let known = daemons(&first);
        let added = cluster.daemon_with_stale_seeds("z2");
        assert!(daemons(&added) <= 1, "it knows no other");
        let settings = added.settings_with_seeds(&[first.ip]);
        added.write_settings(&settings[..settings.len() / 2]);
        if signalled {
            added.signal("HUP");
        }
        wait_for("the half-written file is reported", || {
            added.log().contains("E7073")
        });
        added.write_settings(&settings);
        if signalled {
            added.signal("HUP");
        }
        wait_for("the daemons know each other", || {
            daemons(&added) > 1 && daemons(&first) > known
        });
        assert!(added.log().contains("E7009"), "{}", added.log());
    }
}

/// Guards against daemons that stay alone because all their seeds are stale for good: they find the others by the
/// store, also two that know neither each other nor the others.
#[test]
fn daemons_with_stale_seeds_find_the_others_in_the_store() {
    let (mut cluster, _replica) = start_cluster();
    let mut fleet = vec![cluster.ready_daemon("z1"), cluster.ready_daemon("z2")];
    for zone in ["z1", "z2"] {
        fleet.push(cluster.daemon_with_stale_seeds(zone));
    }
    wait_for("all daemons know each other", || {
        fleet.iter().all(|daemon| daemons(daemon) == 4)
    });
}
