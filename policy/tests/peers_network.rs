//! Networks of daemons: joining, spreading, deaths, partitions.

#![allow(clippy::expect_used)]

mod peers_kit;

use std::time::Duration;

use peers_kit::PeerNet;
use policy::peers::{
    MemberState,
    PeerEvent,
    DATAGRAM_MAX, //
};
use schema::{
    QueryPrint,
    TimePoint, //
};

const SECOND: Duration = Duration::from_secs(1);

/// Daemons and data centres.
const SIZES: [(usize, usize); 3] = [(8, 3), (32, 3), (207, 1)];

fn lossy(seed: u64, nodes: usize, zones: usize) -> PeerNet {
    let mut net = PeerNet::new(seed, nodes, zones);
    net.loss_pct = 10;
    net.double_pct = 5;
    net
}

fn settled(seed: u64, nodes: usize, zones: usize) -> PeerNet {
    let mut net = lossy(seed, nodes, zones);
    let time = net.run_until(60 * SECOND, PeerNet::agrees);
    println!("{nodes} daemons join in {time:?}");
    assert!(time.is_some(), "{nodes} daemons do not agree");
    net
}

#[test]
fn a_bundle_spreads_within_three_seconds() {
    for (nodes, zones) in SIZES {
        let mut net = settled(1, nodes, zones);
        let mut worst = Duration::ZERO;
        for version in 1..=20 {
            let now = net.now;
            net.apply(now, version as usize % nodes, version);
            let time = net.run_until(10 * SECOND, |net| net.in_force(version));
            let time = time.expect("in force everywhere");
            worst = worst.max(time);
            net.run_for(SECOND / 2);
        }
        println!("{nodes} daemons: in force everywhere after at most {worst:?}");
        assert!(worst < 3 * SECOND, "{nodes}: {worst:?}");
    }
}

#[test]
fn drains_and_quarantines_reach_all_within_two_seconds() {
    for (nodes, zones) in SIZES {
        let mut net = settled(2, nodes, zones);
        let now = net.now;
        let until = now + 60 * SECOND;
        let drain = PeerEvent::SpreadDrain {
            vm: "upstream-7".parse().expect("vm"),
            until,
        };
        net.tell(now, 3, drain);
        let quarantine = PeerEvent::SpreadQuarantine {
            print: QueryPrint(99),
            deaths: vec!["upstream-1".parse().expect("vm")],
            until,
        };
        net.tell(now, 5, quarantine);
        net.run_for(2 * SECOND);
        for (place, node) in net.nodes.iter().enumerate() {
            assert_eq!(node.core.drains().len(), 1, "drain at {place} of {nodes}");
            let held = node.core.quarantines().count();
            assert_eq!(held, 1, "quarantine at {place} of {nodes}");
            assert!(node.heard.len() <= 2);
        }
        net.run_for(61 * SECOND);
        for node in &net.nodes {
            assert!(node.core.drains().is_empty());
            assert_eq!(node.core.quarantines().count(), 0);
        }
    }
}

#[test]
fn the_living_are_not_taken_for_dead() {
    for (nodes, zones) in SIZES {
        let mut net = settled(3, nodes, zones);
        net.run_for(120 * SECOND);
        let gone: usize = net.nodes.iter().map(|node| node.gone.len()).sum();
        let counts = net.nodes.iter().map(|node| node.core.counts().suspected);
        let bytes = net.bytes_per_second();
        println!(
            "{nodes} daemons: {} suspicions, {bytes} bytes a second, largest datagram {}",
            counts.sum::<u64>(),
            net.largest
        );
        assert_eq!(gone, 0, "{nodes}");
        assert!(net.largest <= DATAGRAM_MAX);
        assert!(bytes < 7_000, "{nodes}: {bytes} bytes a second");
    }
}

#[test]
fn the_dead_are_found_and_come_back() {
    for (nodes, zones) in SIZES {
        let mut net = settled(4, nodes, zones);
        net.kill(4);
        let time = net.run_until(60 * SECOND, PeerNet::agrees);
        println!("{nodes} daemons: a death is known after {time:?}");
        assert!(time.expect("death known") < 30 * SECOND);
        net.restart(4);
        let time = net.run_until(60 * SECOND, PeerNet::agrees);
        println!("{nodes} daemons: a restart is known after {time:?}");
        assert!(time.expect("restart known") < 10 * SECOND);
    }
}

#[test]
fn a_zone_cut_off_keeps_its_members_and_heals() {
    let mut net = settled(5, 32, 4);
    let now = net.now;
    net.apply(now, 0, 1);
    net.run_for(3 * SECOND);
    net.cut = vec![1];
    let now = net.now;
    net.apply(now, 0, 2);
    net.run_for(60 * SECOND);
    for node in &net.nodes {
        assert_eq!(node.core.daemon_count(), 32);
        assert_eq!(node.gone, Vec::new());
        assert_eq!(node.version, if node.zone == 1 { 1 } else { 2 });
    }
    // A daemon restarted inside gets the bundle from its own data centre.
    net.kill(5);
    net.run_for(SECOND);
    net.restart(5);
    net.nodes[5].core = {
        let mut core = net.nodes[5].core.clone();
        let mut actions = Vec::new();
        let addresses = vec![peers_kit::address(9), peers_kit::address(13)];
        core.on_event(net.now, PeerEvent::ListRead { addresses }, &mut actions);
        core
    };
    let time = net.run_until(30 * SECOND, |net| net.nodes[5].version == 1);
    println!("restarted inside: {time:?}");
    assert!(time.is_some());
    net.cut.clear();
    let time = net.run_until(30 * SECOND, |net| net.in_force(2));
    println!("healed after {time:?}");
    assert!(time.expect("healed") < 10 * SECOND);
    let time = net.run_until(60 * SECOND, PeerNet::agrees);
    assert!(time.is_some());
}

#[test]
fn two_of_each_zone_watch_the_store() {
    let mut net = settled(6, 32, 4);
    for zone in 0..4 {
        let nodes = net.nodes.iter().filter(|node| node.zone == zone);
        assert_eq!(nodes.filter(|node| node.core.is_watcher()).count(), 2);
    }
    let watcher = net.nodes.iter().position(|node| node.core.is_watcher());
    let watcher = watcher.expect("watcher");
    net.kill(watcher);
    net.run_until(60 * SECOND, PeerNet::agrees)
        .expect("death known");
    let zone = net.nodes[watcher].zone;
    let nodes = net.nodes.iter().filter(|node| node.zone == zone && node.up);
    assert_eq!(nodes.filter(|node| node.core.is_watcher()).count(), 2);
}

#[test]
fn a_planned_stop_is_known_at_once() {
    let mut net = settled(7, 32, 3);
    let now = net.now;
    net.tell(now, 3, PeerEvent::LeaveAsked);
    net.run_for(2 * SECOND);
    for (place, node) in net.nodes.iter().enumerate() {
        if place == 3 {
            continue;
        }
        let member = node
            .core
            .members()
            .find(|member| member.daemon.as_str() == "entry-daemon-3");
        assert_eq!(member.expect("member").state, MemberState::Leaving);
        assert_eq!(node.gone.len(), 1);
    }
}

#[test]
fn a_pause_of_one_daemon_condemns_nobody_else() {
    let mut net = settled(8, 8, 1);
    // Node 2 stands still for a minute and is found dead, then goes on where it was.
    let held = net.nodes[2].core.clone();
    net.kill(2);
    net.run_for(60 * SECOND);
    net.nodes[2].core = held;
    net.nodes[2].up = true;
    let now = net.now;
    net.tell(now, 2, PeerEvent::TimerFired);
    let time = net.run_until(60 * SECOND, PeerNet::agrees);
    assert!(time.is_some(), "it does not come back");
    assert_eq!(net.nodes[2].gone, Vec::new());
    for (place, node) in net.nodes.iter().enumerate() {
        assert!(
            node.gone.iter().all(|(_, name)| name == "entry-daemon-2"),
            "{place}"
        );
        assert!(place == 2 || node.core.counts().refuted == 0 || node.core.daemon_count() == 8);
    }
    let _: TimePoint = now;
}

/// A daemon takes the time of its start for its incarnation. One whose clock was set back while it was
/// down comes with an earlier one than the others remember.
#[test]
fn a_clock_set_back_keeps_no_daemon_out() {
    let mut net = settled(3, 6, 2);
    net.kill(4);
    net.run_for(2 * SECOND);
    net.restart_set_back(4);
    let time = net.run_until(30 * SECOND, PeerNet::agrees);
    assert!(time.is_some(), "the others do not take it back");
}
