//! `pollentally history --charges`: reconciliation of charges in the store.

#![allow(clippy::unwrap_used)]

mod workdir;

use std::time::{
    Duration,
    SystemTime, //
};

use daemon::store::StoreClient;
use policy::charges::{
    roster_key,
    segment_key, //
};
use prost::Message;
use schema::{
    peer::{
        ChargeRecord,
        ChargeSegment,
        RosterBody,
        RosterEntry, //
    },
    TimePoint, //
};
use standin::StoreServer;
use workdir::{
    workdir_with_store,
    WorkDir, //
};

const INCARNATION: u64 = 5;

fn now() -> TimePoint {
    let age = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    TimePoint(age.unwrap().as_micros() as u64)
}

fn put(store: &StoreServer, key: &str, value: &[u8]) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let client = StoreClient::new(&store.url(), Duration::from_secs(5)).unwrap();
    runtime.block_on(client.write(key, value, 0, 0)).unwrap();
}

fn put_roster(store: &StoreServer, daemons: &[&str]) {
    let entries = daemons.iter().map(|name| RosterEntry {
        daemon: (*name).into(),
        incarnation: INCARNATION,
        first: 0,
    });
    let body = RosterBody {
        entries: entries.collect(),
    };
    let key = roster_key(&"zone-1".parse().unwrap(), now());
    put(store, &key, &body.encode_to_vec());
}

/// Writes a segment with one charge per token; `answered` is the number of answers that the daemon
/// has counted in total.
fn put_segment(store: &StoreServer, daemon: &str, sequence: u64, tokens: &[u64], answered: u64) {
    let records = tokens.iter().map(|token| ChargeRecord {
        token_low: *token,
        user: format!("user-{}", token % 2),
        units: 10,
        ..Default::default()
    });
    let segment = ChargeSegment {
        daemon: daemon.into(),
        incarnation: INCARNATION,
        sequence,
        sealed_us: now().0,
        records: records.collect(),
        answered,
        closing: true,
    };
    let key = segment_key(daemon, INCARNATION, sequence);
    put(store, &key, &segment.encode_to_vec());
}

fn accept_bundle() -> (WorkDir, StoreServer) {
    let (dir, store) = workdir_with_store();
    assert_eq!(dir.sign("ann", "bundle.yaml", "signed").exit_code, 0);
    assert_eq!(dir.accept("signed").exit_code, 0);
    (dir, store)
}

/// Two days, so that the test also passes if midnight falls between writing and reading.
const CHARGES: [&str; 6] = [
    "history",
    "--settings",
    "settings.yaml",
    "--charges",
    "--days",
    "2",
];

#[test]
fn repeated_charges_count_once() {
    let (dir, store) = accept_bundle();
    put_roster(&store, &["d1", "d2"]);
    put_segment(&store, "d1", 0, &[1, 2, 3], 3);
    put_segment(&store, "d2", 0, &[3, 4], 2);
    insta::assert_snapshot!(dir.run_ok(&CHARGES));
}

#[test]
fn lost_charges_are_reported() {
    let (dir, store) = accept_bundle();
    put_roster(&store, &["d1"]);
    put_segment(&store, "d1", 1, &[4, 5], 5);
    let result = dir.run(&CHARGES);
    assert_eq!(result.exit_code, 6, "{result:?}");
    insta::assert_snapshot!(result.stdout + &result.stderr);
}

#[test]
fn no_charges() {
    let (dir, _store) = accept_bundle();
    assert_eq!(
        dir.run_ok(&CHARGES).lines().last(),
        Some("answered 0, charged 0, repeated 0, waiting 0")
    );
    let result = dir.run(&[&CHARGES[..5], &["32"]].concat());
    assert_eq!(result.exit_code, 2, "{result:?}");
}
