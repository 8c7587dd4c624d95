//! Joining, dissemination, failure detection and partitions in simulated networks of daemons.

#![allow(clippy::expect_used)]

mod peers_kit;

use std::time::Duration;

use peers_kit::PeerNet;
use policy::peers::{
    MemberState,
    PeerEvent,
    DATAGRAM_BYTES_MAX, //
};
use schema::{
    QueryPrint,
    TimePoint, //
};

const SECOND: Duration = Duration::from_secs(1);

/// Number of daemons and of data centres of each simulated network.
const NETWORK_SIZES: [(usize, usize); 3] = [(8, 3), (32, 3), (207, 1)];

fn lossy_net(seed: u64, nodes: usize, zones: usize) -> PeerNet {
    let mut net = PeerNet::new(seed, nodes, zones);
    net.loss_pct = 10;
    net.duplicate_pct = 5;
    net
}

fn converged_net(seed: u64, nodes: usize, zones: usize) -> PeerNet {
    let mut net = lossy_net(seed, nodes, zones);
    let time = net.run_until(60 * SECOND, PeerNet::has_converged);
    println!("{nodes} daemons: all joined after {time:?}");
    assert!(
        time.is_some(),
        "{nodes} daemons did not converge on the same members"
    );
    net
}

#[test]
fn a_bundle_reaches_all_daemons_within_three_seconds() {
    for (nodes, zones) in NETWORK_SIZES {
        let mut net = converged_net(1, nodes, zones);
        let mut longest = Duration::ZERO;
        for version in 1..=20 {
            let now = net.now;
            net.apply_bundle(now, version as usize % nodes, version);
            let time = net.run_until(10 * SECOND, |net| net.has_version(version));
            let time = time.expect("bundle in force on all daemons");
            longest = longest.max(time);
            net.run_for(SECOND / 2);
        }
        println!("{nodes} daemons: bundle in force on all after at most {longest:?}");
        assert!(longest < 3 * SECOND, "{nodes}: {longest:?}");
    }
}

/// Lets one daemon observe a drain and another one a quarantine, both of which expire after `span`.
fn observe_drain_and_quarantine(net: &mut PeerNet, daemons: [usize; 2], span: Duration) {
    let now = net.now;
    let until = now + span;
    let drain = PeerEvent::DrainObserved {
        vm: "upstream-7".parse().expect("vm"),
        until,
    };
    net.deliver(now, daemons[0], drain);
    let quarantine = PeerEvent::QuarantineObserved {
        print: QueryPrint(99),
        deaths: vec!["upstream-1".parse().expect("vm")],
        until,
    };
    net.deliver(now, daemons[1], quarantine);
}

#[test]
fn drains_and_quarantines_reach_all_daemons_within_two_seconds() {
    for (nodes, zones) in NETWORK_SIZES {
        let mut net = converged_net(2, nodes, zones);
        observe_drain_and_quarantine(&mut net, [3, 5], 60 * SECOND);
        net.run_for(2 * SECOND);
        for (index, node) in net.nodes.iter().enumerate() {
            assert_eq!(node.core.drains().len(), 1, "drain at {index} of {nodes}");
            let quarantine_count = node.core.quarantines().count();
            assert_eq!(quarantine_count, 1, "quarantine at {index} of {nodes}");
            assert!(node.received_notes.len() <= 2);
        }
        net.run_for(61 * SECOND);
        for node in &net.nodes {
            assert!(node.core.drains().is_empty());
            assert_eq!(node.core.quarantines().count(), 0);
        }
    }
}

/// Guards against a daemon that never learns of a drain or a quarantine because it was cut off while
/// the note was passed on, for a time too short to change the members.
#[test]
fn drains_and_quarantines_reach_a_zone_that_was_cut_off() {
    for (nodes, zones) in [(8, 3), (32, 3)] {
        let mut net = converged_net(6, nodes, zones);
        net.isolated_zones = vec![1];
        observe_drain_and_quarantine(&mut net, [0, 2], 120 * SECOND);
        net.run_for(6 * SECOND);
        net.isolated_zones.clear();
        net.run_for(10 * SECOND);
        for (index, node) in net.nodes.iter().enumerate() {
            let known = (node.core.drains().len(), node.core.quarantines().count());
            assert_eq!(
                known,
                (1, 1),
                "drains and quarantines at {index} of {nodes}"
            );
        }
    }
}

#[test]
fn live_daemons_are_not_declared_dead() {
    for (nodes, zones) in NETWORK_SIZES {
        let mut net = converged_net(3, nodes, zones);
        net.run_for(120 * SECOND);
        let gone: usize = net.nodes.iter().map(|node| node.gone_members.len()).sum();
        let counts = net
            .nodes
            .iter()
            .map(|node| node.core.counts().suspicions_raised);
        let bytes = net.bytes_per_second();
        println!(
            "{nodes} daemons: {} suspicions, {bytes} bytes a second, largest datagram {}",
            counts.sum::<u64>(),
            net.largest_datagram
        );
        assert_eq!(gone, 0, "{nodes}");
        assert!(net.largest_datagram <= DATAGRAM_BYTES_MAX);
        assert!(bytes < 7_000, "{nodes}: {bytes} bytes a second");
    }
}

#[test]
fn a_stopped_daemon_is_detected_and_rejoins() {
    for (nodes, zones) in NETWORK_SIZES {
        let mut net = converged_net(4, nodes, zones);
        net.kill(4);
        let time = net.run_until(60 * SECOND, PeerNet::has_converged);
        println!("{nodes} daemons: stopped daemon detected by all after {time:?}");
        assert!(time.expect("stopped daemon detected by all") < 30 * SECOND);
        net.restart(4);
        let time = net.run_until(60 * SECOND, PeerNet::has_converged);
        println!("{nodes} daemons: restart known to all after {time:?}");
        assert!(time.expect("restart known to all") < 10 * SECOND);
    }
}

#[test]
fn a_partitioned_zone_keeps_its_members_and_recovers() {
    let mut net = converged_net(5, 32, 4);
    let now = net.now;
    net.apply_bundle(now, 0, 1);
    net.run_for(3 * SECOND);
    net.isolated_zones = vec![1];
    let now = net.now;
    net.apply_bundle(now, 0, 2);
    net.run_for(60 * SECOND);
    for node in &net.nodes {
        assert_eq!(node.core.daemon_count(), 32);
        assert_eq!(node.gone_members, Vec::new());
        assert_eq!(node.version, if node.zone == 1 { 1 } else { 2 });
    }
    // A daemon that restarts in the partitioned data centre gets the bundle from daemons there.
    net.kill(5);
    net.run_for(SECOND);
    net.restart(5);
    net.nodes[5].core = {
        let mut core = net.nodes[5].core.clone();
        let mut actions = Vec::new();
        let addresses = vec![peers_kit::address(9), peers_kit::address(13)];
        core.on_event(net.now, PeerEvent::VmListRead { addresses }, &mut actions);
        core
    };
    let time = net.run_until(30 * SECOND, |net| net.nodes[5].version == 1);
    println!("daemon restarted in the partitioned zone has the bundle after {time:?}");
    assert!(time.is_some());
    net.isolated_zones.clear();
    let time = net.run_until(30 * SECOND, |net| net.has_version(2));
    println!("bundle in force on all {time:?} after the partition ended");
    assert!(time.expect("bundle in force after the partition") < 10 * SECOND);
    let time = net.run_until(60 * SECOND, PeerNet::has_converged);
    assert!(time.is_some());
}

#[test]
fn two_daemons_of_each_zone_watch_the_store() {
    let mut net = converged_net(6, 32, 4);
    for zone in 0..4 {
        let nodes = net.nodes.iter().filter(|node| node.zone == zone);
        assert_eq!(nodes.filter(|node| node.core.is_watcher()).count(), 2);
    }
    let watcher = net.nodes.iter().position(|node| node.core.is_watcher());
    let watcher = watcher.expect("watcher");
    net.kill(watcher);
    net.run_until(60 * SECOND, PeerNet::has_converged)
        .expect("stopped daemon detected by all");
    let zone = net.nodes[watcher].zone;
    let nodes = net
        .nodes
        .iter()
        .filter(|node| node.zone == zone && node.running);
    assert_eq!(nodes.filter(|node| node.core.is_watcher()).count(), 2);
}

#[test]
fn a_planned_stop_is_known_within_two_seconds() {
    let mut net = converged_net(7, 32, 3);
    let now = net.now;
    net.deliver(now, 3, PeerEvent::LeaveRequested);
    net.run_for(2 * SECOND);
    for (index, node) in net.nodes.iter().enumerate() {
        if index == 3 {
            continue;
        }
        let member = node
            .core
            .members()
            .find(|member| member.daemon.as_str() == "entry-daemon-3");
        assert_eq!(member.expect("member").state, MemberState::Leaving);
        assert_eq!(node.gone_members.len(), 1);
    }
}

#[test]
fn a_paused_daemon_declares_no_other_daemon_dead() {
    let mut net = converged_net(8, 8, 1);
    // Node 2 is paused for a minute and declared dead, then resumes with its old state.
    let paused_core = net.nodes[2].core.clone();
    net.kill(2);
    net.run_for(60 * SECOND);
    net.nodes[2].core = paused_core;
    net.nodes[2].running = true;
    let now = net.now;
    net.deliver(now, 2, PeerEvent::TimerFired);
    let time = net.run_until(60 * SECOND, PeerNet::has_converged);
    assert!(time.is_some(), "the paused daemon did not rejoin");
    assert_eq!(net.nodes[2].gone_members, Vec::new());
    for (index, node) in net.nodes.iter().enumerate() {
        assert!(
            node.gone_members
                .iter()
                .all(|(_, name)| name == "entry-daemon-2"),
            "{index}"
        );
        assert!(index == 2 || node.core.counts().refutations == 0 || node.core.daemon_count() == 8);
    }
    let _: TimePoint = now;
}

/// A daemon uses the time of its start as its incarnation. If its clock was set back while it was
/// down, it restarts with a lower incarnation than the others have stored, and their entry for the
/// earlier start takes precedence. It must still rejoin.
#[test]
fn a_daemon_restarted_with_an_earlier_clock_rejoins() {
    let mut net = converged_net(3, 6, 2);
    net.kill(4);
    net.run_for(2 * SECOND);
    net.restart_with_clock_set_back(4);
    let time = net.run_until(30 * SECOND, PeerNet::has_converged);
    assert!(time.is_some(), "the restarted daemon did not rejoin");
}
