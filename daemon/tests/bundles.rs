//! Bundles that a daemon reads from the store or gets from other daemons.

#![allow(clippy::unwrap_used)]

mod bench;

use std::{
    thread,
    time::Duration, //
};

use bench::{
    store_fixture::StoreFixture,
    TestBench, //
};
use ed25519_dalek::SigningKey;
use standin::StoreFault;

fn wait_for_version(bench: &TestBench, version: u64) {
    while bench.status().bundle_version != version {
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn not_ready_without_a_bundle() {
    let mut fixture = StoreFixture::new();
    let bench = fixture.start_daemon();
    assert_eq!(bench.admin("/ready").status, 503);
    let refused = bench.ask("planks", "r1", "oak");
    assert_eq!(
        (refused.status, refused.code().as_str()),
        (503, "not_serving")
    );
    fixture.accept_bundle(&fixture.body());
    bench.wait_ready();
    assert_eq!(bench.ask("planks", "r2", "oak").answer().bundle_version, 1);
}

#[test]
fn applies_each_new_bundle_version() {
    let mut fixture = StoreFixture::new();
    fixture.accept_bundle(&fixture.body());
    let bench = fixture.start_daemon();
    bench.wait_ready();
    for version in 2..5 {
        fixture.accept_bundle(&fixture.body());
        wait_for_version(&bench, version);
    }
    let status = bench.status();
    assert_eq!(status.bundle_digest.len(), 64);
    assert_eq!(status.store, "up");
}

/// A daemon has version 2. The store then gets an unsigned bundle and is restored from a copy with
/// version 1. The daemon must keep version 2 and write it back into the store.
#[test]
fn rejects_unsigned_and_older_bundles() {
    let mut fixture = StoreFixture::new();
    fixture.accept_bundle(&fixture.body());
    let old_copy = fixture.store.copy();
    fixture.accept_bundle(&fixture.body());
    let bench = fixture.start_daemon();
    wait_for_version(&bench, 2);
    let unsigned = fixture.sign_bundle(&fixture.body(), &SigningKey::from_bytes(&[9; 32]));
    let newest_revision = fixture.revision;
    fixture.write_bundle(&unsigned);
    fixture.store.restore(old_copy);
    fixture.revision = 0;
    fixture.store.set_fault(StoreFault::Down);
    while bench.status().store != "down" {
        thread::sleep(Duration::from_millis(5));
    }
    fixture.store.set_fault(StoreFault::None);
    while bench.status().store != "up" {
        thread::sleep(Duration::from_millis(5));
    }
    assert!(newest_revision > 0);
    assert_eq!(bench.status().bundle_version, 2);
    assert_eq!(bench.ask("planks", "r1", "oak").answer().bundle_version, 2);
    // The daemon writes the version in force back, so that a new daemon gets it from the store.
    let other = fixture.start_daemon_with(|config| {
        config.name = schema::DaemonName::from_static("other");
    });
    wait_for_version(&other, 2);
}

/// A daemon whose store and VM list are unreachable at its start must become ready by asking the
/// other daemons.
#[test]
fn daemon_without_platform_gets_bundle_and_vm_list_from_peers() {
    let mut fixture = StoreFixture::new();
    fixture.accept_bundle(&fixture.body());
    let connected = fixture.start_daemon();
    connected.wait_ready();
    let unused_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", unused_listener.local_addr().unwrap());
    drop(unused_listener);
    let isolated = fixture.start_daemon_with(|config| {
        config.name = schema::DaemonName::from_static("far");
        config.platform.store = Some(url.parse().unwrap());
        config.platform.vms = Some(format!("{url}/v1/vms").parse().unwrap());
        config.seeds = vec![connected.bound.peer];
    });
    isolated.wait_ready();
    // Its upstreams come from the VM list of the other daemon.
    let answer = isolated.ask("planks", "r1", "oak").answer();
    assert_eq!(
        (answer.outcome.as_str(), answer.bundle_version),
        ("complete", 1)
    );
}

#[test]
fn daemon_without_store_gets_new_bundles_from_peers() {
    let mut fixture = StoreFixture::new();
    fixture.accept_bundle(&fixture.body());
    let connected = fixture.start_daemon();
    connected.wait_ready();
    let isolated = fixture.start_daemon_with(|config| {
        config.name = schema::DaemonName::from_static("far");
        config.platform.store = None;
        config.seeds = vec![connected.bound.peer];
    });
    isolated.wait_ready();
    assert_eq!(isolated.status().bundle_version, 1);
    for version in 2..4 {
        fixture.accept_bundle(&fixture.body());
        wait_for_version(&isolated, version);
    }
    assert_eq!(
        isolated.status().bundle_digest,
        connected.status().bundle_digest
    );
}
