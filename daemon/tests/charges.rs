//! Charges of answers: their state in the answer and their records in the store.

#![allow(clippy::unwrap_used)]

mod bench;

use std::{
    collections::BTreeSet,
    thread,
    time::Duration, //
};

use bench::{
    body,
    TestBench, //
};
use daemon::DaemonConfig;
use prost::Message;
use schema::peer::{
    ChargeRecord,
    ChargeSegment, //
};
use standin::{
    StoreFault,
    StoreServer,
    StoreSettings, //
};

fn start_with_store(change: impl FnOnce(&mut DaemonConfig)) -> (StoreServer, TestBench) {
    let store = StoreServer::spawn(StoreSettings::default()).unwrap();
    let url = store.url();
    let bench = TestBench::with(&body(), |config| {
        config.platform.store = Some(url.parse().unwrap());
        change(config);
    });
    (store, bench)
}

fn stored_records(store: &StoreServer) -> Vec<ChargeRecord> {
    let mut records = Vec::new();
    for key in store.keys() {
        if !key.starts_with("charges/") {
            continue;
        }
        let (value, _) = store.value(&key).unwrap();
        records.extend(ChargeSegment::decode(value.as_slice()).unwrap().records);
    }
    records
}

#[test]
fn every_answer_is_charged_and_stored_before_stop() {
    let (store, bench) = start_with_store(|_| {});
    for number in 0..20 {
        let answer = bench.ask("planks", &format!("r{number}"), "oak").answer();
        let charge = answer.charge.unwrap();
        assert_eq!((charge.user.as_str(), charge.units), ("user", 100));
        assert_ne!(charge.state, "none");
    }
    assert!(bench
        .admin("/metrics")
        .body
        .contains("pollentally_charged_units_total 2000"));
    bench.handle.stop();
    assert_eq!(bench.join().unwrap().requests_cut, 0);
    let records = stored_records(&store);
    assert_eq!(records.len(), 20);
    assert_eq!(
        records.iter().map(|record| record.units).sum::<u64>(),
        2_000
    );
}

#[test]
fn repeated_request_has_same_charge_token() {
    let (store, bench) = start_with_store(|_| {});
    for _ in 0..3 {
        bench.ask("planks", "same", "oak");
    }
    bench.ask("planks", "other", "oak");
    bench.handle.stop();
    bench.join().unwrap();
    let tokens: BTreeSet<(u64, u64)> = stored_records(&store)
        .iter()
        .map(|record| (record.token_high, record.token_low))
        .collect();
    assert_eq!(tokens.len(), 2);
}

#[test]
fn refused_requests_are_not_charged() {
    let (store, bench) = start_with_store(|_| {});
    let refused = bench.ask("nope", "r1", "oak");
    assert_eq!(refused.status, 404);
    for (_, server) in bench.fleet.upstreams() {
        server.kill();
    }
    let answer = bench.ask("planks", "r2", "oak").answer();
    assert_eq!(answer.charge.unwrap().state, "none", "{}", answer.outcome);
    bench.handle.stop();
    bench.join().unwrap();
    assert!(stored_records(&store).is_empty());
}

#[test]
fn store_outage_delays_charges_without_loss() {
    let (store, bench) = start_with_store(|_| {});
    store.set_fault(StoreFault::Down);
    for number in 0..10 {
        let answer = bench.ask("planks", &format!("r{number}"), "oak").answer();
        assert_eq!(answer.outcome, "complete");
        assert_eq!(answer.charge.unwrap().state, "uncopied");
    }
    assert_eq!(bench.status().charges_waiting, 10);
    store.set_fault(StoreFault::None);
    bench.handle.stop();
    assert_eq!(bench.join().unwrap().requests_cut, 0);
    assert_eq!(stored_records(&store).len(), 10);
}

#[test]
fn store_outage_does_not_delay_stop_without_charges() {
    let (store, bench) = start_with_store(|_| {});
    store.set_fault(StoreFault::Down);
    while bench.status().store != "down" {
        thread::sleep(Duration::from_millis(5));
    }
    bench.handle.stop();
    assert_eq!(bench.join().unwrap().requests_cut, 0);
}

#[test]
fn full_ledger_refuses_requests_until_store_recovers() {
    let (store, bench) = start_with_store(|config| config.limits.charge_bytes = 200);
    store.set_fault(StoreFault::Down);
    let mut refused = None;
    for number in 0..50 {
        let reply = bench.ask("planks", &format!("r{number}"), "oak");
        if reply.status == 503 {
            refused = Some(reply);
            break;
        }
    }
    let refused = refused
        .expect("no request was refused although the ledger is full")
        .answer();
    assert_eq!(
        (refused.outcome.as_str(), refused.reason.as_str()),
        ("not_run", "charges_full")
    );
    assert!(refused.retry_after_ms > 0);
    store.set_fault(StoreFault::None);
    while bench.status().charges_waiting > 0 {
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(
        bench.ask("planks", "after", "oak").answer().outcome,
        "complete"
    );
}
