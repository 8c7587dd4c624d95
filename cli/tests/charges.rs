//! `pollentally history --charges`.

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
    with_store,
    WorkDir, //
};

const START: u64 = 5;

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
        incarnation: START,
        first: 0,
    });
    let body = RosterBody {
        entries: entries.collect(),
    };
    let key = roster_key(&"zone-1".parse().unwrap(), now());
    put(store, &key, &body.encode_to_vec());
}

/// Writes a segment of charges with these tokens, after so many answers of the daemon in all.
fn put_segment(store: &StoreServer, daemon: &str, sequence: u64, tokens: &[u64], answered: u64) {
    let records = tokens.iter().map(|token| ChargeRecord {
        token_low: *token,
        user: format!("user-{}", token % 2),
        units: 10,
        ..Default::default()
    });
    let segment = ChargeSegment {
        daemon: daemon.into(),
        incarnation: START,
        sequence,
        sealed_us: now().0,
        records: records.collect(),
        answered,
        closing: true,
    };
    let key = segment_key(daemon, START, sequence);
    put(store, &key, &segment.encode_to_vec());
}

fn in_force() -> (WorkDir, StoreServer) {
    let (dir, store) = with_store();
    assert_eq!(dir.sign("ann", "bundle.yaml", "signed").code, 0);
    assert_eq!(dir.accept("signed").code, 0);
    (dir, store)
}

/// Two days, so that midnight between the writing and the reading changes nothing.
const CHARGES: [&str; 6] = [
    "history",
    "--settings",
    "settings.yaml",
    "--charges",
    "--days",
    "2",
];

#[test]
fn repeats_count_once() {
    let (dir, store) = in_force();
    put_roster(&store, &["d1", "d2"]);
    put_segment(&store, "d1", 0, &[1, 2, 3], 3);
    put_segment(&store, "d2", 0, &[3, 4], 2);
    insta::assert_snapshot!(dir.ok(&CHARGES));
}

#[test]
fn losses_are_named() {
    let (dir, store) = in_force();
    put_roster(&store, &["d1"]);
    put_segment(&store, "d1", 1, &[4, 5], 5);
    let ran = dir.run(&CHARGES);
    assert_eq!(ran.code, 6, "{ran:?}");
    insta::assert_snapshot!(ran.out + &ran.err);
}

#[test]
fn nothing_yet() {
    let (dir, _store) = in_force();
    assert_eq!(
        dir.ok(&CHARGES).lines().last(),
        Some("answered 0, charged 0, repeated 0, waiting 0")
    );
    let ran = dir.run(&[&CHARGES[..5], &["32"]].concat());
    assert_eq!(ran.code, 2, "{ran:?}");
}
