//! Help texts and usage errors.

#![allow(clippy::unwrap_used)]

mod workdir;

use std::process::Stdio;

use workdir::WorkDir;

const COMMANDS: [&str; 12] = [
    "check",
    "diff",
    "keygen",
    "sign",
    "accept",
    "history",
    "status",
    "drain",
    "query",
    "load",
    "explain",
    "completion",
];

#[test]
fn help_texts() {
    let dir = WorkDir::new();
    insta::assert_snapshot!("main", dir.ok(&["--help"]));
    for command in COMMANDS {
        insta::assert_snapshot!(command, dir.ok(&[command, "--help"]));
    }
}

#[test]
fn usage_errors() {
    let dir = WorkDir::new();
    let cases: [&[&str]; 4] = [&[], &["nope"], &["check"], &["load", "search"]];
    for args in cases {
        let ran = dir.run(args);
        assert_eq!(ran.code, 2, "{args:?}");
        assert!(!ran.err.is_empty(), "{args:?}");
        assert_eq!(ran.out, "", "{args:?}");
    }
}

#[test]
fn broken_pipe() {
    let dir = WorkDir::new();
    let bundle = workdir::project_file("deploy/trust/bundle.yaml");
    let mut command = dir.command(&["check", "--json"]);
    command.arg(bundle).stdout(Stdio::piped());
    let mut child = command.spawn().unwrap();
    drop(child.stdout.take());
    assert!(child.wait().unwrap().success());
}
