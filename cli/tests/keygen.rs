//! `pollentally keygen`: key files.

#![allow(clippy::unwrap_used)]

mod workdir;

use std::{
    fs,
    os::unix::fs::PermissionsExt, //
};

use workdir::WorkDir;

#[test]
fn does_not_overwrite_a_key() {
    let dir = WorkDir::new();
    let out = dir.run_ok(&["keygen", "ann", "--out", "ann.key"]);
    assert!(out.starts_with("signers:\n  - name: ann\n    key: \""));
    let private = dir.read("ann.key");
    assert_eq!(private.trim().len(), 64);
    assert!(!out.contains(private.trim()));
    let mode = fs::metadata(dir.path("ann.key"))
        .unwrap()
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    let repeated = dir.run(&["keygen", "ann", "--out", "ann.key"]);
    assert_eq!(repeated.exit_code, 2);
    insta::assert_snapshot!(repeated.stderr, @"error: ann.key: file already exists; choose another path");
    assert_eq!(dir.read("ann.key"), private);
}

#[test]
fn bad_names() {
    let dir = WorkDir::new();
    let result = dir.run(&["keygen", "two words", "--out", "key"]);
    assert_eq!(result.exit_code, 2);
    insta::assert_snapshot!(result.stderr, @r#"error: SIGNER: "two words" is not allowed, expected printable ASCII without spaces"#);
    assert!(!dir.path("key").exists());
}
