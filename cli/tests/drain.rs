//! `pollentally drain`: drain orders in a bundle file.

#![allow(clippy::unwrap_used)]

mod workdir;

use workdir::workdir_with_store;

#[test]
fn adds_and_lifts_drain_orders() {
    let (dir, _store) = workdir_with_store();
    let before = dir.read("bundle.yaml") + "# a comment\n";
    dir.write("bundle.yaml", &before);
    let out = dir.run_ok(&["drain", "bundle.yaml", "search-0-1", "search-0-0"]);
    assert_eq!(
        out,
        "draining: search-0-0\ndraining: search-0-1\n2 drain orders\n"
    );
    let text = dir.read("bundle.yaml");
    assert_eq!(
        text,
        before.clone() + "drains:\n  - \"search-0-0\"\n  - \"search-0-1\"\n"
    );
    dir.run_ok(&["drain", "bundle.yaml", "search-0-1"]);
    assert_eq!(dir.read("bundle.yaml"), text);
    dir.run_ok(&["drain", "--lift", "bundle.yaml", "search-0-0", "search-0-1"]);
    assert_eq!(dir.read("bundle.yaml"), before);
}

#[test]
fn replaces_block_at_the_start() {
    let (dir, _store) = workdir_with_store();
    let before = dir.read("bundle.yaml");
    let first = "drains: [a, b]\n".to_owned() + &before;
    dir.write("bundle.yaml", &first);
    dir.run_ok(&["drain", "--lift", "bundle.yaml", "a"]);
    assert_eq!(dir.read("bundle.yaml"), before + "drains:\n  - \"b\"\n");
}

#[test]
fn bad_names() {
    let (dir, _store) = workdir_with_store();
    let before = dir.read("bundle.yaml");
    let result = dir.run(&["drain", "bundle.yaml", "two words"]);
    assert_eq!(result.exit_code, 2);
    assert_eq!(dir.read("bundle.yaml"), before);
}
