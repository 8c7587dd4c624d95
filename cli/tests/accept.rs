//! `pollentally accept`: concurrent operators, lost store replies, corrupted and replayed bundles.

#![allow(clippy::unwrap_used)]

mod workdir;

use std::{
    fs,
    thread, //
};

use standin::StoreFault;
use workdir::{
    workdir_with_store,
    CommandResult,
    WorkDir, //
};

/// Signs and accepts a bundle that differs in `slots`.
fn put_in_force(dir: &WorkDir, slots: u32) -> CommandResult {
    let name = format!("slots-{slots}");
    sign_slots(dir, slots, &name);
    dir.accept(&name)
}

fn sign_slots(dir: &WorkDir, slots: u32, out: &str) {
    let text = dir.read("bundle.yaml");
    let file = format!("{out}.yaml");
    dir.write(
        &file,
        &text.replacen("slots: 2", &format!("slots: {slots}"), 1),
    );
    let result = dir.sign("ann", &file, out);
    assert_eq!(result.exit_code, 0, "{result:?}");
}

fn head(store: &standin::StoreServer) -> Option<(Vec<u8>, u64)> {
    store.value("bundle/head")
}

#[test]
fn accepts_versions_in_order() {
    let (dir, _store) = workdir_with_store();
    for slots in 2..5 {
        let result = put_in_force(&dir, slots);
        assert_eq!(
            result.stdout,
            format!("version {} is in force\n", slots - 1)
        );
    }
    let repeated = dir.accept("slots-4");
    assert_eq!(
        (repeated.exit_code, repeated.stdout.as_str()),
        (0, "version 3 is in force\n")
    );
    let superseded = dir.accept("slots-3");
    assert_eq!(
        superseded.stdout,
        "version 2 was accepted earlier and has been superseded by a later version\n"
    );
    let replayed = dir.accept("slots-2");
    assert_eq!(replayed.exit_code, 3, "{replayed:?}");
}

#[test]
fn one_of_two_racing_operators_succeeds() {
    let (dir, _store) = workdir_with_store();
    assert_eq!(put_in_force(&dir, 2).exit_code, 0);
    for round in 0..5 {
        let names = [0, 1].map(|operator| format!("race-{round}-{operator}"));
        for (index, name) in names.iter().enumerate() {
            sign_slots(&dir, 10 + 2 * round + index as u32, name);
        }
        let dir = &dir;
        let result = thread::scope(|scope| {
            let tasks = names.map(|name| scope.spawn(move || dir.accept(&name)));
            tasks.map(|task| task.join().unwrap())
        });
        let mut codes = [result[0].exit_code, result[1].exit_code];
        codes.sort_unstable();
        assert_eq!(codes, [0, 3], "{result:?}");
        let rejected = result.iter().find(|accept| accept.exit_code == 3).unwrap();
        let version = round + 2;
        let expected = format!("error: version {version}, signed by ann, is in force;");
        assert!(rejected.stderr.starts_with(&expected), "{rejected:?}");
    }
    let history = dir.run_ok(&["history", "--settings", "settings.yaml", "--json"]);
    let versions: Vec<serde_json::Value> = serde_json::from_str(&history).unwrap();
    assert_eq!(versions.len(), 6);
}

#[test]
fn lost_replies_are_resolved() {
    let (dir, store) = workdir_with_store();
    // Each loss hits the reply to a write of a part or of the head.
    for lost in 1..=4 {
        store.lose_replies(lost);
        let result = put_in_force(&dir, lost + 2);
        assert_eq!(
            result.stdout,
            format!("version {lost} is in force\n"),
            "{result:?}"
        );
        store.lose_replies(0);
    }
}

#[test]
fn store_down_writes_nothing() {
    let (dir, store) = workdir_with_store();
    sign_slots(&dir, 2, "one.signed");
    store.set_fault(StoreFault::Down);
    let result = dir.accept("one.signed");
    assert_eq!(result.exit_code, 5);
    assert!(
        result.stderr.starts_with("error: the store at http"),
        "{result:?}"
    );
    store.set_fault(StoreFault::None);
    assert_eq!(head(&store), None);
}

#[test]
fn corrupted_bundles_are_rejected() {
    let (dir, store) = workdir_with_store();
    sign_slots(&dir, 2, "good");
    let good = fs::read(dir.path("good")).unwrap();
    for index in 0..good.len() {
        let mut bad = good.clone();
        bad[index] ^= 0x40;
        fs::write(dir.path("bad"), bad).unwrap();
        let result = dir.accept("bad");
        assert!(
            result.exit_code == 2 || result.exit_code == 4,
            "byte {index}: {result:?}"
        );
    }
    fs::write(dir.path("bad"), &good[..good.len() / 2]).unwrap();
    assert_ne!(dir.accept("bad").exit_code, 0);
    assert_eq!(head(&store), None);
}

#[test]
fn store_restored_from_an_old_copy() {
    let (dir, store) = workdir_with_store();
    assert_eq!(put_in_force(&dir, 2).exit_code, 0);
    let copy = store.copy();
    assert_eq!(put_in_force(&dir, 3).exit_code, 0);
    sign_slots(&dir, 4, "third");
    store.restore(copy);
    let result = dir.accept("third");
    assert_eq!(result.exit_code, 4);
    assert!(result.stderr.contains("the next one is 2"), "{result:?}");
    assert_eq!(dir.accept("slots-3").stdout, "version 2 is in force\n");
    assert_eq!(dir.accept("third").stdout, "version 3 is in force\n");
}

#[test]
fn signers_are_replaced() {
    let (dir, _store) = workdir_with_store();
    assert_eq!(put_in_force(&dir, 2).exit_code, 0);
    let bob = dir.keygen("bob");
    let text = dir.read("bundle.yaml");
    let (start, rest) = text.split_once("  - { name: ann").unwrap();
    let (_, rest) = rest.split_once('\n').unwrap();
    dir.write(
        "bundle.yaml",
        &format!("{start}  - {{ name: bob, key: \"{bob}\" }}\n{rest}"),
    );
    assert_eq!(dir.sign("bob", "bundle.yaml", "early").exit_code, 4);
    assert_eq!(dir.sign("ann", "bundle.yaml", "two").exit_code, 0);
    assert_eq!(dir.accept("two").exit_code, 0);
    assert_eq!(dir.sign("ann", "bundle.yaml", "late").exit_code, 4);
    assert_eq!(dir.sign("bob", "bundle.yaml", "three").exit_code, 0);
    assert_eq!(dir.accept("three").stdout, "version 3 is in force\n");
}
