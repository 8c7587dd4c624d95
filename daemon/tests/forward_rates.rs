//! Daemons that share the rates of client accounts.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use std::{
    thread::sleep,
    time::Duration, //
};

use forward_cluster::{
    wait_for,
    DaemonProcess,
    ForwardCluster, //
};
use platform_standin::{
    config_text,
    RouteText, //
};

const QUOTA_BOUNDS: &str = "\"quotaWindowS\": 5, \"quotaOverage\": 0.1, \"quotaSlack\": 20, ";

/// The value of a metric; 0 if it is not there.
fn metric(daemon: &DaemonProcess, name: &str) -> f64 {
    let metrics = daemon.metrics();
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or(0.0)
}

fn shares(daemons: &[DaemonProcess]) -> Vec<f64> {
    let share = |daemon| metric(daemon, "pollentally_forward_rate_share");
    daemons.iter().map(share).collect()
}

/// Guards against daemons that don't find each other: one of them writes the record of the fleet, and the shares of
/// all are pledged to one, before and after the authority has ended.
#[test]
fn the_shares_are_pledged_to_one_daemon() {
    let routes = [RouteText::single("/", "web")];
    let mut cluster = ForwardCluster::start(&routes);
    cluster.extra_bounds = QUOTA_BOUNDS;
    let tenants =
        "\"tenants\": [{\"name\": \"acme\", \"apiKeys\": [\"k\"], \"ratePerS\": 5, \"burst\": 5}],";
    let config = config_text(2, &routes).replacen('{', &format!("{{{tenants}"), 1);
    cluster.store.put("op/config", config);
    let mut daemons: Vec<DaemonProcess> = (0..3).map(|_| cluster.ready_daemon("z1")).collect();
    wait_for("all shares are at one daemon", || {
        let mut shares = shares(&daemons);
        shares.sort_by(f64::total_cmp);
        shares[..2] == [0.0, 0.0] && shares[2] > 0.99
    });
    let authority = shares(&daemons).iter().position(|share| *share > 0.9);
    drop(daemons.remove(authority.unwrap()));
    wait_for("the shares of the others are at one of them", || {
        let mut shares = shares(&daemons);
        shares.sort_by(f64::total_cmp);
        shares[0] == 0.0 && (0.6..0.7).contains(&shares[1])
    });
}

/// Guards against messages and writes in deployments without quotas.
#[test]
fn without_accounts_no_rates_are_shared() {
    let routes = [RouteText::single("/", "web")];
    let mut cluster = ForwardCluster::start(&routes);
    cluster.extra_bounds = QUOTA_BOUNDS;
    let daemons: Vec<DaemonProcess> = (0..2).map(|_| cluster.ready_daemon("z1")).collect();
    sleep(Duration::from_secs(5));
    for daemon in &daemons {
        let metrics = daemon.metrics();
        assert!(!metrics.contains("kind=\"asks\""), "{metrics}");
        assert!(!metrics.contains("outcome=\"written\""), "{metrics}");
    }
}
