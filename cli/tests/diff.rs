//! `pollentally diff`: changes between two bundles.

#![allow(clippy::unwrap_used)]

mod workdir;

use workdir::workdir_with_store;

#[test]
fn changes() {
    let (dir, _store) = workdir_with_store();
    let old = dir.read("bundle.yaml");
    let new = old
        .replacen("slots: 2", "slots: 3", 1)
        .replace("name: orders", "name: sales");
    dir.write("new.yaml", &new);
    let out = dir.run_ok(&["diff", "--against", "bundle.yaml", "new.yaml"]);
    insta::assert_snapshot!(out);
    let unchanged = dir.run_ok(&["diff", "--against", "new.yaml", "new.yaml"]);
    assert_eq!(unchanged, "no differences\n");
}

#[test]
fn against_the_version_in_force() {
    let (dir, _store) = workdir_with_store();
    let empty = dir.run(&["diff", "--settings", "settings.yaml", "bundle.yaml"]);
    assert_eq!((empty.exit_code, empty.stdout.as_str()), (5, ""));
    assert_eq!(dir.sign("ann", "bundle.yaml", "one.signed").exit_code, 0);
    assert_eq!(dir.accept("one.signed").exit_code, 0);
    let new = dir.read("bundle.yaml").replacen("slots: 2", "slots: 3", 1);
    dir.write("bundle.yaml", &new);
    let out = dir.run_ok(&["diff", "--settings", "settings.yaml", "bundle.yaml"]);
    assert_eq!(out, "~ groups[search].slots: 2 -> 3\n");
}
