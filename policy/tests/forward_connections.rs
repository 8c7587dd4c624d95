//! Tests that daemons spread their connections over the replicas, which may accept fewer
//! connections than there are daemons.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use forward_kit::START;
use policy::{
    forward::{
        ForwardSettings,
        PickOutcome,
        ReplicaRegistry, //
    },
    places::RequestPlacement, //
};
use schema::{
    CpuCapacity,
    ReplicaEntry,
    ZoneName, //
};

/// Data centres and their regions, two for each of three regions. The replicas of a shard are in
/// the first data centre of each region.
const ZONES: [(&str, &str); 6] = [
    ("a1", "a"),
    ("a2", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
    ("c2", "c"),
];
const SHARDS: usize = 36;

fn registry(daemon: usize) -> ReplicaRegistry {
    let regions = ZONES.map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()));
    let mut registry = ReplicaRegistry::new(ForwardSettings {
        daemon: format!("d{daemon}").parse().unwrap(),
        zone: ZONES[daemon % ZONES.len()].0.parse().unwrap(),
        regions: BTreeMap::from(regions),
        seed: daemon as u64 + 1,
        retry_budget_ratio: 0.2,
        retry_budget_slack: 160.0,
        retry_budget_window: Duration::from_secs(10),
        capacity: CpuCapacity(120),
        work: Default::default(),
    });
    for shard in 0..SHARDS {
        for (zone, _) in ZONES.iter().step_by(2) {
            registry.upsert(START, entry(shard, zone));
        }
    }
    registry
}

fn entry(shard: usize, zone: &str) -> ReplicaEntry {
    let zone: ZoneName = zone.parse().unwrap();
    ReplicaEntry {
        name: format!("i-{shard}-{zone}").parse().unwrap(),
        service: format!("s{shard}").parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone,
        slots: 4,
        draining: false,
        born_ms: 1,
        cold_left: Duration::ZERO,
    }
}

/// For each replica, the number of daemons that connect to it for the first attempts and hedges of
/// many requests.
fn connected_daemons(daemons: usize) -> Vec<usize> {
    let mut counts = BTreeMap::<(usize, u32), usize>::new();
    for daemon in 0..daemons {
        let mut registry = registry(daemon);
        let anywhere = RequestPlacement::default();
        let mut connected = BTreeSet::new();
        for _ in 0..30 {
            for shard in 0..SHARDS {
                let PickOutcome::Picked(first) = registry.pick(START, shard, &anywhere, &[]) else {
                    panic!("no replica");
                };
                let PickOutcome::Picked(second) = registry.pick(START, shard, &anywhere, &[first])
                else {
                    panic!("no second replica");
                };
                connected.extend([(shard, first.0), (shard, second.0)]);
            }
        }
        // Keys are assigned in the order of the entries, which is the same at all daemons.
        for key in connected {
            *counts.entry(key).or_default() += 1;
        }
    }
    counts.into_values().collect()
}

/// Replicas accept 62 connections with 60 daemons and 78 with 91. Each replica is the nearest one
/// of a third of the daemons, and the second choice of half of the others.
#[test]
fn a_daemon_connects_to_two_replicas_of_a_shard() {
    for (daemons, accepted) in [(60, 62), (91, 78)] {
        let counts = connected_daemons(daemons);
        let (least, most) = (*counts.iter().min().unwrap(), *counts.iter().max().unwrap());
        assert_eq!(counts.len(), SHARDS * 3);
        assert!(most < accepted, "{daemons}: {most}");
        let connected: usize = counts.iter().sum();
        assert_eq!(connected, daemons * SHARDS * 2, "{daemons}");
        assert!(most <= least * 2, "{daemons}: {least} to {most}");
    }
}
