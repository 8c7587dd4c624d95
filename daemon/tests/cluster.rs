//! Several daemons in one process, each on its own thread, with one store and one set of upstreams.

#![allow(clippy::unwrap_used)]

mod bench;

use std::{
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use bench::{
    body,
    config,
    spec,
    TestBench, //
};
use daemon::RunControl;
use schema::DaemonName;
use standin::{
    DrainMode,
    FleetServer,
    FleetSettings,
    StoreServer,
    StoreSettings, //
};

/// Far longer than a wait takes unless the daemons are faulty.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

struct TestCluster {
    fleet: Arc<FleetServer>,
    store: StoreServer,
    daemons: Vec<TestBench>,
}

fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out: {condition}");
        thread::sleep(Duration::from_millis(10));
    }
}

impl TestCluster {
    fn start(count: usize) -> Self {
        let mut body = body();
        body.daemons = count as u32;
        let spec = spec(&body);
        let fleet = Arc::new(FleetServer::start(&spec, FleetSettings::default()).unwrap());
        let store = StoreServer::spawn(StoreSettings::default()).unwrap();
        let mut daemons: Vec<TestBench> = Vec::new();
        for place in 0..count {
            let mut config = config(&fleet);
            config.name = format!("d{place}").parse::<DaemonName>().unwrap();
            config.platform.store = Some(store.url().parse().unwrap());
            config.seeds = daemons.iter().map(|daemon| daemon.bound.peer).collect();
            let (mut control, handle) = RunControl::new();
            control.bundle = Some(spec.clone());
            daemons.push(TestBench::launch(fleet.clone(), config, control, handle));
        }
        for daemon in &daemons {
            daemon.wait_ready();
        }
        let cluster = Self {
            fleet,
            store,
            daemons,
        };
        wait_until("all see all others", || cluster.all_see_peers(count - 1));
        cluster
    }

    fn all_see_peers(&self, expected: usize) -> bool {
        self.daemons.iter().all(|daemon| {
            let peers = daemon.status().peers;
            peers.iter().filter(|peer| peer.state == "alive").count() == expected
        })
    }
}

#[test]
fn copied_charges_are_stored_after_daemon_is_killed() {
    let mut cluster = TestCluster::start(3);
    for number in 0..10 {
        let answer = cluster.daemons[0].ask("planks", &format!("r{number}"), "oak");
        let charge = answer.answer().charge.unwrap();
        assert_eq!(charge.state, "copied", "request {number}");
    }
    let killed = cluster.daemons.remove(0);
    killed.handle.stop();
    killed.handle.stop();
    let _ = killed.join();
    let records = || {
        let keys = cluster.store.keys();
        let segments = keys.iter().filter(|key| key.starts_with("charges/d0/"));
        let values = segments.map(|key| cluster.store.value(key).unwrap().0);
        let decode = |value: Vec<u8>| {
            <schema::peer::ChargeSegment as prost::Message>::decode(value.as_slice()).unwrap()
        };
        values
            .map(|value| decode(value).records.len())
            .sum::<usize>()
    };
    wait_until("copied charges are stored", || records() == 10);
}

#[test]
fn drain_of_upstream_reaches_every_daemon() {
    let cluster = TestCluster::start(3);
    let vm = cluster.fleet.upstreams().next().unwrap().0.to_owned();
    cluster.fleet.drain(&vm, DrainMode::Marked, false).unwrap();
    wait_until("one daemon sees the drain", || {
        cluster.daemons[0].ask("planks", "r", "oak");
        cluster.daemons[0].status().draining.contains(&vm)
    });
    for daemon in &cluster.daemons {
        wait_until("all see drain", || daemon.status().draining.contains(&vm));
    }
}

#[test]
fn stopping_daemon_leaves_the_cluster() {
    let mut cluster = TestCluster::start(3);
    let leaving = cluster.daemons.remove(1);
    leaving.handle.stop();
    assert_eq!(leaving.join().unwrap().requests_cut, 0);
    wait_until("the others see the stop", || cluster.all_see_peers(1));
    let answer = cluster.daemons[0].ask("planks", "r", "oak").answer();
    assert_eq!(answer.outcome, "complete", "{}", answer.reason);
}

#[test]
fn daemons_share_the_connection_limit() {
    let cluster = TestCluster::start(4);
    thread::scope(|scope| {
        for daemon in &cluster.daemons {
            for caller in 0..4 {
                scope.spawn(move || {
                    for number in 0..10 {
                        daemon.ask("planks", &format!("c{caller}-{number}"), "oak");
                    }
                });
            }
        }
    });
    for (vm, server) in cluster.fleet.upstreams() {
        let counts = server.counts();
        assert!(counts.connections_max <= 8, "{vm}: {counts:?}");
        assert_eq!(counts.refused, 0, "{vm}: {counts:?}");
    }
}

#[test]
fn daemon_without_platform_starts_from_its_peers() {
    let cluster = TestCluster::start(2);
    let unused_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let unreachable_url = format!("http://{}", unused_listener.local_addr().unwrap());
    drop(unused_listener);
    let mut config = config(&cluster.fleet);
    config.name = DaemonName::from_static("cut");
    config.platform.store = Some(unreachable_url.parse().unwrap());
    config.platform.vms = Some(format!("{unreachable_url}/v1/vms").parse().unwrap());
    config.seeds = cluster
        .daemons
        .iter()
        .map(|daemon| daemon.bound.peer)
        .collect();
    let (mut control, handle) = RunControl::new();
    control.bundle = Some(spec(&body()));
    let isolated = TestBench::launch(cluster.fleet.clone(), config, control, handle);
    isolated.wait_ready();
    let answer = isolated.ask("planks", "r", "oak").answer();
    assert_eq!(answer.outcome, "complete", "{}", answer.reason);
}
