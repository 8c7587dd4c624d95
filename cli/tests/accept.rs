//! `pollentally accept`: operators that race, lost replies, forged and replayed bundles.

#![allow(clippy::unwrap_used)]

mod workdir;

use std::{
    fs,
    thread, //
};

use standin::StoreFault;
use workdir::{
    with_store,
    RanCommand,
    WorkDir, //
};

/// Writes, signs and accepts a version with so many slots.
fn put_in_force(dir: &WorkDir, slots: u32) -> RanCommand {
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
    let ran = dir.sign("ann", &file, out);
    assert_eq!(ran.code, 0, "{ran:?}");
}

fn head(store: &standin::StoreServer) -> Option<(Vec<u8>, u64)> {
    store.value("bundle/head")
}

#[test]
fn versions_in_order() {
    let (dir, _store) = with_store();
    for slots in 2..5 {
        let ran = put_in_force(&dir, slots);
        assert_eq!(ran.out, format!("version {} is in force\n", slots - 1));
    }
    let again = dir.accept("slots-4");
    assert_eq!(
        (again.code, again.out.as_str()),
        (0, "version 3 is in force\n")
    );
    let before = dir.accept("slots-3");
    assert_eq!(
        before.out,
        "version 2 was in force and has been followed by another\n"
    );
    let replayed = dir.accept("slots-2");
    assert_eq!(replayed.code, 3, "{replayed:?}");
}

#[test]
fn racing_operators() {
    let (dir, _store) = with_store();
    assert_eq!(put_in_force(&dir, 2).code, 0);
    for round in 0..5 {
        let names = [0, 1].map(|one| format!("race-{round}-{one}"));
        for (place, name) in names.iter().enumerate() {
            sign_slots(&dir, 10 + 2 * round + place as u32, name);
        }
        let dir = &dir;
        let ran = thread::scope(|scope| {
            let tasks = names.map(|name| scope.spawn(move || dir.accept(&name)));
            tasks.map(|task| task.join().unwrap())
        });
        let mut codes = [ran[0].code, ran[1].code];
        codes.sort_unstable();
        assert_eq!(codes, [0, 3], "{ran:?}");
        let loser = ran.iter().find(|one| one.code == 3).unwrap();
        let version = round + 2;
        let named = format!("error: version {version}, signed by ann, is in force;");
        assert!(loser.err.starts_with(&named), "{loser:?}");
    }
    let history = dir.ok(&["history", "--settings", "settings.yaml", "--json"]);
    let versions: Vec<serde_json::Value> = serde_json::from_str(&history).unwrap();
    assert_eq!(versions.len(), 6);
}

#[test]
fn lost_replies() {
    let (dir, store) = with_store();
    // The part's reply and the head's.
    for lost in 1..=4 {
        store.lose_replies(lost);
        let ran = put_in_force(&dir, lost + 2);
        assert_eq!(ran.out, format!("version {lost} is in force\n"), "{ran:?}");
        store.lose_replies(0);
    }
}

#[test]
fn store_down() {
    let (dir, store) = with_store();
    sign_slots(&dir, 2, "one.signed");
    store.set_fault(StoreFault::Down);
    let ran = dir.accept("one.signed");
    assert_eq!(ran.code, 5);
    assert!(ran.err.starts_with("error: the store at http"), "{ran:?}");
    store.set_fault(StoreFault::None);
    assert_eq!(head(&store), None);
}

#[test]
fn forged_bundles() {
    let (dir, store) = with_store();
    sign_slots(&dir, 2, "good");
    let good = fs::read(dir.path("good")).unwrap();
    for place in 0..good.len() {
        let mut bad = good.clone();
        bad[place] ^= 0x40;
        fs::write(dir.path("bad"), bad).unwrap();
        let ran = dir.accept("bad");
        assert!(ran.code == 2 || ran.code == 4, "byte {place}: {ran:?}");
    }
    fs::write(dir.path("bad"), &good[..good.len() / 2]).unwrap();
    assert_ne!(dir.accept("bad").code, 0);
    assert_eq!(head(&store), None);
}

#[test]
fn store_back_with_an_old_copy() {
    let (dir, store) = with_store();
    assert_eq!(put_in_force(&dir, 2).code, 0);
    let copy = store.copy();
    assert_eq!(put_in_force(&dir, 3).code, 0);
    sign_slots(&dir, 4, "third");
    store.restore(copy);
    let ran = dir.accept("third");
    assert_eq!(ran.code, 4);
    assert!(ran.err.contains("the next one is 2"), "{ran:?}");
    assert_eq!(dir.accept("slots-3").out, "version 2 is in force\n");
    assert_eq!(dir.accept("third").out, "version 3 is in force\n");
}

#[test]
fn signers_change() {
    let (dir, _store) = with_store();
    assert_eq!(put_in_force(&dir, 2).code, 0);
    let bob = dir.keygen("bob");
    let text = dir.read("bundle.yaml");
    let (start, rest) = text.split_once("  - { name: ann").unwrap();
    let (_, rest) = rest.split_once('\n').unwrap();
    dir.write(
        "bundle.yaml",
        &format!("{start}  - {{ name: bob, key: \"{bob}\" }}\n{rest}"),
    );
    assert_eq!(dir.sign("bob", "bundle.yaml", "early").code, 4);
    assert_eq!(dir.sign("ann", "bundle.yaml", "two").code, 0);
    assert_eq!(dir.accept("two").code, 0);
    assert_eq!(dir.sign("ann", "bundle.yaml", "late").code, 4);
    assert_eq!(dir.sign("bob", "bundle.yaml", "three").code, 0);
    assert_eq!(dir.accept("three").out, "version 3 is in force\n");
}
